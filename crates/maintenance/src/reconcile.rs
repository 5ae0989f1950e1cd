//! What a dispatcher does next, by what a majority of the keepers and the machines tell. It keeps
//! nothing: whoever looks may go on where another died.

use crate::cost::drain_order;
use crate::lease_table::LeaseOutcome;
use crate::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, LeasePhase, Machine, MachineDomains,
    MaintenanceLease, MaintenanceRequest, RunState, Slots, majority, shares,
};
use corkspan_quorum::in_force;
use std::collections::{BTreeMap, BTreeSet};

/// What one keeper tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberReply {
    pub request: Option<MaintenanceRequest>,
    pub leases: BTreeMap<Machine, MaintenanceLease>,
    pub outcomes: BTreeMap<Machine, LeaseOutcome>,
    pub withdrawn: BTreeSet<ClaimId>,
    pub votes: BTreeMap<ClaimId, LeasePhase>,
    pub costs: BTreeMap<Machine, f64>,
}

/// What a machine says of itself; none where it does not answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineStatus {
    pub cordoned_by: Option<ClaimId>,
    /// Of the outings asked about, those that are over there.
    pub finished: BTreeSet<ClaimId>,
    /// Allocations that run there.
    pub running: u32,
    /// Since it is closed, or open, or started: whichever came last.
    pub unchanged_ms: u64,
}

/// What a majority says of one outing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    pub lease: MaintenanceLease,
    /// Which a majority has heard of at least; none where no majority has it at all.
    pub phase: Option<LeasePhase>,
    pub withdrawals: usize,
    /// A keeper says that it is over and how: it was told so by who had seen it open and warm.
    pub outcome: Option<LeaseOutcome>,
}

/// What all keepers that answer come to.
#[derive(Clone, Debug, Default)]
pub struct QuorumView {
    pub request: Option<MaintenanceRequest>,
    pub leases: Vec<(Machine, ObservedLease)>,
    pub outcomes: BTreeMap<Machine, LeaseOutcome>,
    /// The highest that any keeper tells of a wish: the next is to be above it, or one that no
    /// majority took could bar it.
    pub highest_revision: u64,
    costs: Vec<BTreeMap<Machine, f64>>,
}

impl QuorumView {
    /// None where no majority answers: then nothing is known.
    pub fn from_replies(words: &[MemberReply], keepers: usize) -> Option<QuorumView> {
        if !majority(words.len(), keepers) {
            return None;
        }
        let wishes: Vec<MaintenanceRequest> = words
            .iter()
            .filter_map(|word| word.request.clone())
            .collect();
        let mut by_claim: BTreeMap<(Machine, ClaimId), Vec<MaintenanceLease>> = BTreeMap::new();
        for (machine, outing) in words.iter().flat_map(|word| &word.leases) {
            by_claim
                .entry((*machine, outing.claim))
                .or_default()
                .push(*outing);
        }
        let outings = by_claim.into_iter().map(|((machine, claim), all)| {
            let mut phases: Vec<LeasePhase> = all.iter().map(|outing| outing.phase).collect();
            phases.sort_unstable_by(|a, b| b.cmp(a));
            let votes = |phase| {
                words
                    .iter()
                    .filter(|word| word.votes.get(&claim) == Some(&phase))
                    .count()
            };
            let phase = phases.get(keepers / 2).map(|&phase| match phase {
                LeasePhase::Granted | LeasePhase::Cordoned
                    if majority(votes(LeasePhase::Cancelled), keepers) =>
                {
                    LeasePhase::Cancelled
                }
                LeasePhase::Granted | LeasePhase::Cordoned
                    if majority(votes(LeasePhase::Drained), keepers) =>
                {
                    LeasePhase::Drained
                }
                phase => phase,
            });
            let ended = words.iter().find_map(|word| {
                let mine = word
                    .request
                    .as_ref()
                    .is_some_and(|wish| wish.job == all[0].job);
                word.outcomes.get(&machine).copied().filter(|_| mine)
            });
            let withdrawn = words
                .iter()
                .filter(|word| word.withdrawn.contains(&claim))
                .count();
            let known = ObservedLease {
                lease: all[0],
                phase,
                withdrawals: withdrawn,
                outcome: ended,
            };
            (machine, known)
        });
        let ended = |machine: &Machine| {
            let told: Vec<LeaseOutcome> = words
                .iter()
                .filter_map(|word| word.outcomes.get(machine).copied())
                .collect();
            majority(told.len(), keepers).then(|| told[0])
        };
        let machines: BTreeSet<Machine> = words
            .iter()
            .flat_map(|word| word.outcomes.keys().copied())
            .collect();
        Some(QuorumView {
            highest_revision: wishes.iter().map(|wish| wish.revision).max().unwrap_or(0),
            request: in_force(&wishes, keepers).cloned(),
            leases: outings.collect(),
            outcomes: machines
                .into_iter()
                .filter_map(|own| Some((own, ended(&own)?)))
                .collect(),
            costs: words.iter().map(|word| word.costs.clone()).collect(),
        })
    }

    /// The worker's, by a majority's word and the machine's own.
    pub fn drained(&self, says: &BTreeMap<Machine, MachineStatus>) -> Vec<(Machine, ClaimId)> {
        let closed = |machine, claim| {
            says.get(&machine)
                .is_some_and(|says| says.cordoned_by == Some(claim))
        };
        let handed = self
            .unavailable()
            .filter(|(_, _, phase)| *phase == LeasePhase::Drained);
        handed
            .map(|(machine, claim, _)| (machine, claim))
            .filter(|&(own, claim)| closed(own, claim))
            .collect()
    }

    /// Which machines to ask what they say, and of which claim: those that are out, and of those
    /// still to come so many of the cheapest and as many drawn by chance, or some dead ones
    /// that cost nothing would bar all others for good.
    pub fn machines_to_poll(
        &self,
        many: usize,
        mut drawn: impl FnMut(usize) -> usize,
    ) -> BTreeMap<Machine, Option<ClaimId>> {
        // Of two claims on one machine that of the outing which is held.
        let mut known: Vec<&(Machine, ObservedLease)> = self.leases.iter().collect();
        known.sort_by_key(|(_, known)| known.phase);
        let mut asks: BTreeMap<Machine, Option<ClaimId>> = known
            .iter()
            .map(|(machine, known)| (*machine, Some(known.lease.claim)))
            .collect();
        let wished = self
            .request
            .iter()
            .flat_map(|wish| wish.machines.keys().copied());
        let free = wished.filter(|own| !asks.contains_key(own) && !self.outcomes.contains_key(own));
        let mut free = drain_order(free.collect::<Vec<_>>(), &self.costs);
        let rest = free.split_off(many.min(free.len()));
        let chance = (0..many.min(rest.len())).map(|_| rest[drawn(rest.len()) % rest.len()]);
        free.extend(chance);
        asks.extend(free.into_iter().map(|machine| (machine, None)));
        asks
    }

    /// Whether a new work may begin, of these machines.
    pub fn check_start(
        &self,
        machines: &BTreeMap<Machine, MachineDomains>,
        limits: &DisruptionLimits,
        keepers: &[Machine],
    ) -> Result<(), StartError> {
        if machines.is_empty() || machines.len() > crate::MAX_MACHINES {
            return Err(StartError::MachineCount {
                named: machines.len(),
                max: crate::MAX_MACHINES,
            });
        }
        // So many keepers in work at once that no majority is left could never be ended.
        let named = keepers
            .iter()
            .filter(|own| machines.contains_key(own))
            .count();
        let spare = keepers.len().saturating_sub(1) / 2;
        if named.min(limits.total as usize) > spare {
            return Err(StartError::Members { named, spare });
        }
        match self.unavailable().next() {
            Some((machine, _, _)) => Err(StartError::Unavailable(machine.0)),
            None => Ok(()),
        }
    }

    /// Out, by a majority's word: closed or about to be, in work, or not warm yet.
    pub fn unavailable(&self) -> impl Iterator<Item = (Machine, ClaimId, LeasePhase)> {
        let held = |(machine, known): &(Machine, ObservedLease)| {
            let phase = known
                .phase
                .filter(|phase| *phase >= LeasePhase::Granted && known.outcome.is_none())?;
            Some((*machine, known.lease.claim, phase))
        };
        self.leases.iter().filter_map(held)
    }
}

/// The slots of a claim are free again; `ended`: of this job, the machine has come to its end so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    pub machine: Machine,
    pub claim: ClaimId,
    pub outcome: Option<(u64, LeaseOutcome)>,
}

/// Why a work on machines is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    #[error("1 to {max} machines are wanted, not {named}")]
    MachineCount { named: usize, max: usize },
    #[error("{named} of the machines are keepers, and of these {spare} may be out at a time")]
    Members { named: usize, spare: usize },
    #[error("machines of an earlier wish are out still, {0} among them")]
    Unavailable(u32),
}

/// What is to be told, all of it to all keepers or to the machine named.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// To keepers: a claim of this wish, and the slots for it.
    pub claim: Option<(u64, Machine, ClaimId, Slots)>,
    pub withdraw: Vec<(Machine, ClaimId)>,
    pub advance: Vec<(Machine, ClaimId, LeasePhase)>,
    pub release: Vec<Release>,
    /// To machines.
    pub cordon: Vec<(Machine, ClaimId)>,
    pub uncordon: Vec<(Machine, ClaimId)>,
    /// What still runs there is to be stopped.
    pub stop: Vec<(Machine, ClaimId)>,
}

/// What one who looks knows beside what keepers and machines tell.
#[derive(Clone, Debug)]
pub struct ReconcileContext<'a> {
    pub members: usize,
    /// For a claim, if one is made: drawn anew for each.
    pub next_claim: ClaimId,
    /// Whether it may claim in this look: hundreds that see a free slot at once would all be
    /// turned away.
    pub may_claim: bool,
    /// Whether claims that no majority holds have been seen for so long that whoever made them has
    /// had time enough.
    pub expired: &'a BTreeSet<ClaimId>,
    /// Machines of the roster that are lost or leaving by themselves, where they stand: they count
    /// as out.
    pub unreachable: &'a BTreeMap<Machine, MachineDomains>,
    /// Nothing further is to be taken now: demand has jumped, or a roll needs the copies.
    pub hold_claims: bool,
}

pub fn reconcile(
    view: &QuorumView,
    says: &BTreeMap<Machine, MachineStatus>,
    own: &ReconcileContext,
) -> Actions {
    let mut look = Actions::default();
    let aborted = view
        .request
        .as_ref()
        .is_none_or(|wish| wish.run_state == RunState::Aborted);
    for &(machine, known) in &view.leases {
        let claim = known.lease.claim;
        match known.phase {
            // A majority will never have it: what a minority holds of it goes.
            _ if majority(known.withdrawals, own.members) => look.release.push(Release {
                machine,
                claim,
                outcome: None,
            }),
            _ if let Some(end) = known.outcome => {
                look.release.push(Release {
                    machine,
                    claim,
                    outcome: Some((known.lease.job, end)),
                });
            }
            None | Some(LeasePhase::Requested) if own.expired.contains(&claim) || aborted => {
                look.withdraw.push((machine, claim));
            }
            None => {}
            Some(LeasePhase::Requested) => look.advance.push((machine, claim, LeasePhase::Granted)),
            Some(phase) => {
                // One that does not answer is where it is, and stays out until it does.
                let Some(says) = says.get(&machine) else {
                    continue;
                };
                next_step(
                    &mut look,
                    view.request.as_ref(),
                    machine,
                    &known.lease,
                    phase,
                    says,
                );
            }
        }
    }
    if own.may_claim && !own.hold_claims {
        look.claim = next_claim(view, says, own);
    }
    look
}

/// The next step of a machine whose slots are held.
fn next_step(
    look: &mut Actions,
    wish: Option<&MaintenanceRequest>,
    machine: Machine,
    outing: &MaintenanceLease,
    phase: LeasePhase,
    says: &MachineStatus,
) {
    let (claim, job, warm_ms) = (
        outing.claim,
        outing.job,
        wish.map_or(0, |wish| wish.warm_up_ms),
    );
    // A machine that a later wish no longer names is not to be worked on.
    let wanted = wish.is_some_and(|wish| {
        wish.run_state != RunState::Aborted && wish.machines.contains_key(&machine)
    });
    let late = wish.is_some_and(|wish| says.unchanged_ms >= wish.drain_timeout_ms);
    let then = wish.map_or(DrainTimeoutAction::Wait, |wish| wish.on_drain_timeout);
    let over = says.finished.contains(&claim);
    // Machines are opened only once a majority has heard that it is returned, or done. Where that
    // is so and a majority no longer tells it, some have let go of it already.
    let phase = match phase {
        LeasePhase::Granted | LeasePhase::Cordoned if over => LeasePhase::Cancelled,
        LeasePhase::Drained if over => LeasePhase::Completed,
        phase => phase,
    };
    match phase {
        LeasePhase::Requested => {}
        LeasePhase::Granted | LeasePhase::Cordoned if !wanted => {
            look.advance.push((machine, claim, LeasePhase::Cancelled))
        }
        LeasePhase::Granted if says.cordoned_by == Some(claim) => {
            look.advance.push((machine, claim, LeasePhase::Cordoned))
        }
        LeasePhase::Granted => look.cordon.push((machine, claim)),
        // It was closed and says that it is not: a machine that lost its disk. It is closed anew.
        LeasePhase::Cordoned if says.cordoned_by != Some(claim) => {
            look.cordon.push((machine, claim))
        }
        LeasePhase::Cordoned if says.running == 0 => {
            look.advance.push((machine, claim, LeasePhase::Drained))
        }
        LeasePhase::Cordoned if late && then == DrainTimeoutAction::Skip => {
            look.advance.push((machine, claim, LeasePhase::Cancelled));
        }
        LeasePhase::Cordoned if late && then == DrainTimeoutAction::Stop => {
            look.stop.push((machine, claim))
        }
        LeasePhase::Cordoned => {}
        // The worker's: only his word goes on from here.
        LeasePhase::Drained => {}
        LeasePhase::Completed | LeasePhase::Cancelled if !over => {
            look.uncordon.push((machine, claim))
        }
        LeasePhase::Cancelled => {
            let skipped = wanted && then == DrainTimeoutAction::Skip;
            look.release.push(Release {
                machine,
                claim,
                outcome: skipped.then_some((job, LeaseOutcome::Skipped)),
            });
        }
        LeasePhase::Completed if says.unchanged_ms >= warm_ms => {
            look.release.push(Release {
                machine,
                claim,
                outcome: Some((job, LeaseOutcome::Completed)),
            });
        }
        LeasePhase::Completed => {}
    }
}

/// The next machine to claim, and its slots: the first of the order that every limit has room for.
fn next_claim(
    view: &QuorumView,
    says: &BTreeMap<Machine, MachineStatus>,
    own: &ReconcileContext,
) -> Option<(u64, Machine, ClaimId, Slots)> {
    let wish = view
        .request
        .as_ref()
        .filter(|wish| wish.run_state == RunState::Running)?;
    let taken: BTreeSet<Machine> = view.leases.iter().map(|(machine, _)| *machine).collect();
    // Only such as answer: what is lost by itself can't be told to close.
    let free = wish.machines.keys().copied().filter(|machine| {
        let ready = says
            .get(machine)
            .is_some_and(|says| says.cordoned_by.is_none());
        ready && !taken.contains(machine) && !view.outcomes.contains_key(machine)
    });
    let limits = wish.limits.each();
    for machine in drain_order(free, &view.costs) {
        let at = wish.machines[&machine];
        let slot = |limit: usize| {
            let near: Vec<u32> = view
                .leases
                .iter()
                .filter(|(_, known)| shares(limit, known.lease.domains, at))
                .map(|(_, known)| known.lease.slots[limit])
                .collect();
            let out: BTreeSet<Machine> =
                view.unavailable().map(|(machine, _, _)| machine).collect();
            let lost = own.unreachable.iter().filter(|(lost, other)| {
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
            return Some((wish.revision, machine, own.next_claim, slots));
        }
    }
    None
}
