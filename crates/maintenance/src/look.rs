//! What a dispatcher does next, by what a majority of the keepers and the machines tell. It keeps
//! nothing: whoever looks may go on where another died.

use crate::board::End;
use crate::order::order;
use crate::{
    At, ClaimId, Course, Limits, Machine, Outing, Phase, Slots, Then, Wish, majority, shares,
};
use corkspan_quorum::in_force;
use std::collections::{BTreeMap, BTreeSet};

/// What one keeper tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Word {
    pub wish: Option<Wish>,
    pub outings: BTreeMap<Machine, Outing>,
    pub ended: BTreeMap<Machine, End>,
    pub withdrawn: BTreeSet<ClaimId>,
    pub votes: BTreeMap<ClaimId, Phase>,
    pub bids: BTreeMap<Machine, f64>,
}

/// What a machine says of itself; none where it does not answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Says {
    pub closed: Option<ClaimId>,
    /// Of the outings asked about, those that are over there.
    pub over: BTreeSet<ClaimId>,
    /// Allocations that run there.
    pub runs: u32,
    /// Since it is closed, or open, or started: whichever came last.
    pub since_ms: u64,
}

/// What a majority says of one outing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    pub outing: Outing,
    /// Which a majority has heard of at least; none where no majority has it at all.
    pub phase: Option<Phase>,
    pub withdrawn: usize,
    /// A keeper says that it is over and how: it was told so by who had seen it open and warm.
    pub ended: Option<End>,
}

/// What all keepers that answer come to.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub wish: Option<Wish>,
    pub outings: Vec<(Machine, Known)>,
    pub ended: BTreeMap<Machine, End>,
    /// The highest that any keeper tells of a wish: the next is to be above it, or one that no
    /// majority took could bar it.
    pub highest: u64,
    bids: Vec<BTreeMap<Machine, f64>>,
}

impl View {
    /// None where no majority answers: then nothing is known.
    pub fn of(words: &[Word], keepers: usize) -> Option<View> {
        if !majority(words.len(), keepers) {
            return None;
        }
        let wishes: Vec<Wish> = words.iter().filter_map(|word| word.wish.clone()).collect();
        let mut by_claim: BTreeMap<(Machine, ClaimId), Vec<Outing>> = BTreeMap::new();
        for (machine, outing) in words.iter().flat_map(|word| &word.outings) {
            by_claim
                .entry((*machine, outing.claim))
                .or_default()
                .push(*outing);
        }
        let outings = by_claim.into_iter().map(|((machine, claim), all)| {
            let mut phases: Vec<Phase> = all.iter().map(|outing| outing.phase).collect();
            phases.sort_unstable_by(|a, b| b.cmp(a));
            let votes = |phase| {
                words
                    .iter()
                    .filter(|word| word.votes.get(&claim) == Some(&phase))
                    .count()
            };
            let phase = phases.get(keepers / 2).map(|&phase| match phase {
                Phase::Held | Phase::Closed if majority(votes(Phase::Returned), keepers) => {
                    Phase::Returned
                }
                Phase::Held | Phase::Closed if majority(votes(Phase::Handed), keepers) => {
                    Phase::Handed
                }
                phase => phase,
            });
            let ended = words.iter().find_map(|word| {
                let mine = word
                    .wish
                    .as_ref()
                    .is_some_and(|wish| wish.job == all[0].job);
                word.ended.get(&machine).copied().filter(|_| mine)
            });
            let withdrawn = words
                .iter()
                .filter(|word| word.withdrawn.contains(&claim))
                .count();
            let known = Known {
                outing: all[0],
                phase,
                withdrawn,
                ended,
            };
            (machine, known)
        });
        let ended = |machine: &Machine| {
            let told: Vec<End> = words
                .iter()
                .filter_map(|word| word.ended.get(machine).copied())
                .collect();
            majority(told.len(), keepers).then(|| told[0])
        };
        let machines: BTreeSet<Machine> = words
            .iter()
            .flat_map(|word| word.ended.keys().copied())
            .collect();
        Some(View {
            highest: wishes.iter().map(|wish| wish.number).max().unwrap_or(0),
            wish: in_force(&wishes, keepers).cloned(),
            outings: outings.collect(),
            ended: machines
                .into_iter()
                .filter_map(|own| Some((own, ended(&own)?)))
                .collect(),
            bids: words.iter().map(|word| word.bids.clone()).collect(),
        })
    }

    /// The worker's, by a majority's word and the machine's own.
    pub fn in_work(&self, says: &BTreeMap<Machine, Says>) -> Vec<(Machine, ClaimId)> {
        let closed = |machine, claim| {
            says.get(&machine)
                .is_some_and(|says| says.closed == Some(claim))
        };
        let handed = self.out().filter(|(_, _, phase)| *phase == Phase::Handed);
        handed
            .map(|(machine, claim, _)| (machine, claim))
            .filter(|&(own, claim)| closed(own, claim))
            .collect()
    }

    /// Which machines to ask what they say, and of which claim: those that are out, and of those
    /// still to come so many of the cheapest and as many drawn by chance, or some dead ones
    /// that cost nothing would bar all others for good.
    pub fn to_ask(
        &self,
        many: usize,
        mut drawn: impl FnMut(usize) -> usize,
    ) -> BTreeMap<Machine, Option<ClaimId>> {
        // Of two claims on one machine that of the outing which is held.
        let mut known: Vec<&(Machine, Known)> = self.outings.iter().collect();
        known.sort_by_key(|(_, known)| known.phase);
        let mut asks: BTreeMap<Machine, Option<ClaimId>> = known
            .iter()
            .map(|(machine, known)| (*machine, Some(known.outing.claim)))
            .collect();
        let wished = self
            .wish
            .iter()
            .flat_map(|wish| wish.machines.keys().copied());
        let free = wished.filter(|own| !asks.contains_key(own) && !self.ended.contains_key(own));
        let mut free = order(free.collect::<Vec<_>>(), &self.bids);
        let rest = free.split_off(many.min(free.len()));
        let chance = (0..many.min(rest.len())).map(|_| rest[drawn(rest.len()) % rest.len()]);
        free.extend(chance);
        asks.extend(free.into_iter().map(|machine| (machine, None)));
        asks
    }

    /// Whether a new work may begin, of these machines.
    pub fn may_begin(
        &self,
        machines: &BTreeMap<Machine, At>,
        limits: &Limits,
        keepers: &[Machine],
    ) -> Result<(), NotBegun> {
        if machines.is_empty() || machines.len() > crate::MOST {
            return Err(NotBegun::Machines {
                many: machines.len(),
                most: crate::MOST,
            });
        }
        // So many keepers in work at once that no majority is left could never be ended.
        let named = keepers
            .iter()
            .filter(|own| machines.contains_key(own))
            .count();
        let spare = keepers.len().saturating_sub(1) / 2;
        if named.min(limits.all as usize) > spare {
            return Err(NotBegun::Keepers { named, spare });
        }
        match self.out().next() {
            Some((machine, _, _)) => Err(NotBegun::Out(machine.0)),
            None => Ok(()),
        }
    }

    /// Out, by a majority's word: closed or about to be, in work, or not warm yet.
    pub fn out(&self) -> impl Iterator<Item = (Machine, ClaimId, Phase)> {
        let held = |(machine, known): &(Machine, Known)| {
            let phase = known
                .phase
                .filter(|phase| *phase >= Phase::Held && known.ended.is_none())?;
            Some((*machine, known.outing.claim, phase))
        };
        self.outings.iter().filter_map(held)
    }
}

/// The slots of a claim are free again; `ended`: of this job, the machine has come to its end so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    pub machine: Machine,
    pub claim: ClaimId,
    pub ended: Option<(u64, End)>,
}

/// Why a work on machines is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotBegun {
    #[error("1 to {most} machines are wanted, not {many}")]
    Machines { many: usize, most: usize },
    #[error("{named} of the machines are keepers, and of these {spare} may be out at a time")]
    Keepers { named: usize, spare: usize },
    #[error("machines of an earlier wish are out still, {0} among them")]
    Out(u32),
}

/// What is to be told, all of it to all keepers or to the machine named.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Look {
    /// To keepers: a claim of this wish, and the slots for it.
    pub claim: Option<(u64, Machine, ClaimId, Slots)>,
    pub withdraw: Vec<(Machine, ClaimId)>,
    pub advance: Vec<(Machine, ClaimId, Phase)>,
    pub release: Vec<Release>,
    /// To machines.
    pub close: Vec<(Machine, ClaimId)>,
    pub open: Vec<(Machine, ClaimId)>,
    /// What still runs there is to be stopped.
    pub stop: Vec<(Machine, ClaimId)>,
}

/// What one who looks knows beside what keepers and machines tell.
#[derive(Clone, Debug)]
pub struct Own<'a> {
    pub keepers: usize,
    /// For a claim, if one is made: drawn anew for each.
    pub claim: ClaimId,
    /// Whether it may claim in this look: hundreds that see a free slot at once would all be
    /// turned away.
    pub claims: bool,
    /// Whether claims that no majority holds have been seen for so long that whoever made them has
    /// had time enough.
    pub old: &'a BTreeSet<ClaimId>,
    /// Machines of the roster that are lost or leaving by themselves, where they stand: they count
    /// as out.
    pub lost: &'a BTreeMap<Machine, At>,
    /// Nothing further is to be taken now: demand has jumped, or a roll needs the copies.
    pub gives_way: bool,
}

pub fn look(view: &View, says: &BTreeMap<Machine, Says>, own: &Own) -> Look {
    let mut look = Look::default();
    let aborted = view
        .wish
        .as_ref()
        .is_none_or(|wish| wish.course == Course::Aborted);
    for &(machine, known) in &view.outings {
        let claim = known.outing.claim;
        match known.phase {
            // A majority will never have it: what a minority holds of it goes.
            _ if majority(known.withdrawn, own.keepers) => look.release.push(Release {
                machine,
                claim,
                ended: None,
            }),
            _ if let Some(end) = known.ended => {
                look.release.push(Release {
                    machine,
                    claim,
                    ended: Some((known.outing.job, end)),
                });
            }
            None | Some(Phase::Asked) if own.old.contains(&claim) || aborted => {
                look.withdraw.push((machine, claim));
            }
            None => {}
            Some(Phase::Asked) => look.advance.push((machine, claim, Phase::Held)),
            Some(phase) => {
                // One that does not answer is where it is, and stays out until it does.
                let Some(says) = says.get(&machine) else {
                    continue;
                };
                next(
                    &mut look,
                    view.wish.as_ref(),
                    machine,
                    &known.outing,
                    phase,
                    says,
                );
            }
        }
    }
    if own.claims && !own.gives_way {
        look.claim = take(view, says, own);
    }
    look
}

/// The next step of a machine whose slots are held.
fn next(
    look: &mut Look,
    wish: Option<&Wish>,
    machine: Machine,
    outing: &Outing,
    phase: Phase,
    says: &Says,
) {
    let (claim, job, warm_ms) = (
        outing.claim,
        outing.job,
        wish.map_or(0, |wish| wish.warm_ms),
    );
    // A machine that a later wish no longer names is not to be worked on.
    let wanted = wish
        .is_some_and(|wish| wish.course != Course::Aborted && wish.machines.contains_key(&machine));
    let late = wish.is_some_and(|wish| says.since_ms >= wish.empty_within_ms);
    let then = wish.map_or(Then::Wait, |wish| wish.then);
    let over = says.over.contains(&claim);
    // Machines are opened only once a majority has heard that it is returned, or done. Where that
    // is so and a majority no longer tells it, some have let go of it already.
    let phase = match phase {
        Phase::Held | Phase::Closed if over => Phase::Returned,
        Phase::Handed if over => Phase::Done,
        phase => phase,
    };
    match phase {
        Phase::Asked => {}
        Phase::Held | Phase::Closed if !wanted => {
            look.advance.push((machine, claim, Phase::Returned))
        }
        Phase::Held if says.closed == Some(claim) => {
            look.advance.push((machine, claim, Phase::Closed))
        }
        Phase::Held => look.close.push((machine, claim)),
        // It was closed and says that it is not: a machine that lost its disk. It is closed anew.
        Phase::Closed if says.closed != Some(claim) => look.close.push((machine, claim)),
        Phase::Closed if says.runs == 0 => look.advance.push((machine, claim, Phase::Handed)),
        Phase::Closed if late && then == Then::Skip => {
            look.advance.push((machine, claim, Phase::Returned));
        }
        Phase::Closed if late && then == Then::Stop => look.stop.push((machine, claim)),
        Phase::Closed => {}
        // The worker's: only his word goes on from here.
        Phase::Handed => {}
        Phase::Done | Phase::Returned if !over => look.open.push((machine, claim)),
        Phase::Returned => {
            let skipped = wanted && then == Then::Skip;
            look.release.push(Release {
                machine,
                claim,
                ended: skipped.then_some((job, End::Skipped)),
            });
        }
        Phase::Done if says.since_ms >= warm_ms => {
            look.release.push(Release {
                machine,
                claim,
                ended: Some((job, End::Worked)),
            });
        }
        Phase::Done => {}
    }
}

/// The next machine to claim, and its slots: the first of the order that every limit has room for.
fn take(
    view: &View,
    says: &BTreeMap<Machine, Says>,
    own: &Own,
) -> Option<(u64, Machine, ClaimId, Slots)> {
    let wish = view
        .wish
        .as_ref()
        .filter(|wish| wish.course == Course::Going)?;
    let taken: BTreeSet<Machine> = view.outings.iter().map(|(machine, _)| *machine).collect();
    // Only such as answer: what is lost by itself can't be told to close.
    let free = wish.machines.keys().copied().filter(|machine| {
        let ready = says.get(machine).is_some_and(|says| says.closed.is_none());
        ready && !taken.contains(machine) && !view.ended.contains_key(machine)
    });
    let limits = wish.limits.each();
    for machine in order(free, &view.bids) {
        let at = wish.machines[&machine];
        let slot = |limit: usize| {
            let near: Vec<u32> = view
                .outings
                .iter()
                .filter(|(_, known)| shares(limit, known.outing.at, at))
                .map(|(_, known)| known.outing.slots[limit])
                .collect();
            let out: BTreeSet<Machine> = view.out().map(|(machine, _, _)| machine).collect();
            let lost = own.lost.iter().filter(|(lost, other)| {
                **lost != machine && !out.contains(lost) && shares(limit, **other, at)
            });
            let lost = lost.count() as u32;
            if near.len() as u32 + lost >= limits[limit] {
                return None;
            }
            (0..limits[limit]).find(|slot| !near.contains(slot))
        };
        let slots: Option<Vec<u32>> = (0..4).map(slot).collect();
        if let Some(slots) = slots.and_then(|slots| Slots::try_from(slots).ok()) {
            return Some((wish.number, machine, own.claim, slots));
        }
    }
    None
}
