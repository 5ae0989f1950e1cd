//! Decides a service's roll for one dispatcher, from its own copies and what the keepers tell.

use crate::Grant;
use crate::{ClaimId, Order, Phase, Roll, majority};
use corkspan::interface::Tenths;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Between two looks where nothing falls due.
const LOOK: Tenths = 5_000;
/// After a claim that others won, so long at the least before the next; twice at the most, and
/// longer each time.
const BACK_OFF: Tenths = 500;
const LONGEST_BACK_OFF: Tenths = 20_000;
/// A copy handed over says within so long whether it is ready.
const SAY: Tenths = 10_000;
/// A grant whose holder has not been heard of is left alone for so many times the time to get
/// ready.
const FORGET: u64 = 3;

/// One copy of ours.
#[derive(Clone, Debug, PartialEq)]
struct Copy {
    version: String,
    /// Since when it is ready by its own word.
    ready: Option<Tenths>,
    /// Since when it is not.
    unready: Tenths,
    /// It was here or elsewhere before, and is down now by no doing of a roll.
    returning: bool,
    claim: Option<ClaimId>,
    step: Step,
}

#[derive(Clone, Debug, PartialEq)]
struct Claim {
    task: String,
    /// A majority has granted it.
    won: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// As it is.
    Stays,
    /// A slot is being claimed for it.
    Claims,
    /// It is being replaced: the slot is held.
    Replaced,
    /// A new copy is under way beside it, since when, and ready since when: the slot is held.
    Grows {
        version: String,
        since: Tenths,
        ready: Option<Tenths>,
    },
    /// The new copy has stayed ready for its time; this one is being stopped.
    Retires { version: String, ready: Tenths },
}

/// What to set going now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Look {
    /// Claims to send to all keepers: claim, slot and task.
    pub claims: Vec<(ClaimId, u32, String)>,
    /// Copies to replace by the version wanted, in the order of the roll.
    pub replace: Vec<String>,
    /// Copies beside which one of the version wanted is to be started.
    pub grow: Vec<String>,
    /// Copies that the new one beside them takes over from: to be stopped, and said again until
    /// they are gone.
    pub retire: Vec<String>,
    /// Copies whose new one beside them is to be stopped: its version is not wanted any more.
    pub withdraw: Vec<String>,
    /// Claims to give back at all keepers.
    pub release: Vec<ClaimId>,
    /// Claims of others, dead or gone, under which a new copy may still stand beside ours of this
    /// task: to be given back once every node has put such a one away, as told by
    /// [`Conductor::cleared`].
    pub clear: Vec<(ClaimId, String)>,
    /// The roll is to halt for this reason.
    pub halt: Option<String>,
    /// Until the next look.
    pub wait: Tenths,
}

/// What became of claims of an earlier life.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recalled {
    pub gone: Vec<ClaimId>,
    /// To be sent to all keepers once more, as the same claims: claim, slot and task.
    pub again: Vec<(ClaimId, u32, String)>,
}

/// Why a new copy beside an old one is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withdrawn {
    /// By our own doing.
    NotWanted,
    /// It died, before it had taken over.
    Failed,
    /// No machine took it in its time.
    NoRoom,
}

/// How a claim came out, of all keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Votes {
    pub granted: usize,
    pub keepers: usize,
}

pub struct Conductor {
    me: u32,
    rng: Pcg64Mcg,
    roll: Roll,
    copies: BTreeMap<String, Copy>,
    /// Claims of ours that are out or held.
    claims: BTreeMap<ClaimId, Claim>,
    /// Claims of an earlier life that was never known to have won: nothing was taken down under
    /// them.
    unwon: Vec<ClaimId>,
    /// Copies that must not run beside themselves, whatever the roll's order.
    once: BTreeSet<String>,
    /// Claims of an earlier life of which it is not known yet whether they still hold their slots.
    recalled: BTreeSet<ClaimId>,
    failures: u32,
    /// Of those, new copies that found no room.
    without_room: u32,
    halted: bool,
    lost_in_a_row: u32,
    claim_at: Tenths,
    /// Claims that are being cleared, and for which task.
    clearing: BTreeMap<ClaimId, String>,
    /// Grants that nobody was heard to use, and since when.
    idle: BTreeMap<ClaimId, Tenths>,
}

impl Conductor {
    pub fn new(me: u32, seed: u64, roll: Roll, now: Tenths) -> Self {
        Conductor {
            me,
            rng: Pcg64Mcg::seed_from_u64(seed),
            roll,
            copies: BTreeMap::new(),
            claims: BTreeMap::new(),
            unwon: Vec::new(),
            once: BTreeSet::new(),
            recalled: BTreeSet::new(),
            failures: 0,
            without_room: 0,
            halted: false,
            lost_in_a_row: 0,
            claim_at: now,
            clearing: BTreeMap::new(),
            idle: BTreeMap::new(),
        }
    }

    pub fn roll(&self) -> &Roll {
        &self.roll
    }

    /// A later wish is in force. What is being replaced goes on under the slot it holds.
    pub fn adopt(&mut self, roll: Roll) {
        if roll.number > self.roll.number {
            // Only a change of version begins anew: a pause must not forget what has failed.
            if roll.version != self.roll.version {
                (self.failures, self.without_room) = (0, 0);
            }
            self.halted = false;
            self.lost_in_a_row = 0;
            self.roll = roll;
        }
    }

    /// Takes a claim back from an earlier life of ours. One that was known to be won is used again
    /// once [`Conductor::recall`] finds that it still holds its slot: it may have been given
    /// back just before the end.
    pub fn remember(&mut self, claim: ClaimId, task: &str, won: bool) {
        if won {
            self.claims.insert(
                claim,
                Claim {
                    task: task.into(),
                    won: false,
                },
            );
            self.recalled.insert(claim);
        } else {
            self.unwon.push(claim);
        }
    }

    /// What became of the claims of an earlier life, by the slots that `heard` of the keepers tell
    /// of: claims that hold nothing any more, to be given back, and such as must be claimed
    /// again to know, with slot and task. Where a keeper is gone for good, waiting for its word
    /// would leave their copies as they are for good.
    pub fn recall(
        &mut self,
        held: &[(u32, Grant, usize)],
        heard: usize,
        keepers: usize,
    ) -> Recalled {
        let mut recalled = Recalled::default();
        for claim in self.recalled.clone() {
            let told = held.iter().filter(|(_, grant, _)| grant.claim == claim);
            let told = told.map(|(slot, _, many)| (*many, *slot)).max();
            let many = told.map_or(0, |(many, _)| many);
            let holds = majority(many, keepers);
            let copy = self
                .copies
                .values_mut()
                .find(|copy| copy.claim == Some(claim));
            if !holds && majority(many + keepers.saturating_sub(heard), keepers) {
                if let (Some(_), Some((_, slot))) = (copy, told)
                    && let Some(own) = self.claims.get(&claim)
                {
                    recalled.again.push((claim, slot, own.task.clone()));
                    self.recalled.remove(&claim);
                }
                continue;
            }
            self.recalled.remove(&claim);
            match self.claims.get_mut(&claim) {
                Some(own) if holds => {
                    own.won = true;
                    copy.into_iter().for_each(|copy| copy.step = Step::Replaced);
                }
                _ => {
                    self.claims.remove(&claim);
                    copy.into_iter()
                        .for_each(|copy| (copy.claim, copy.step) = (None, Step::Stays));
                    recalled.gone.push(claim);
                }
            }
        }
        recalled
    }

    /// A copy is ours, of this version and not known to be ready: placed, being placed, or handed
    /// over. `returning`: its owner asks for it again after it was lost, evicted or sent away.
    pub fn copy(&mut self, now: Tenths, task: &str, version: &str, returning: bool) {
        let own = self.claims.iter().find(|(_, own)| own.task == task);
        let (claim, step) = match own {
            Some((claim, own)) if own.won => (Some(*claim), Step::Replaced),
            // Not yet known to be won: it is no leave to take anything down.
            Some((claim, _)) => (Some(*claim), Step::Claims),
            None => (None, Step::Stays),
        };
        let version = if version.is_empty() {
            &self.roll.unversioned
        } else {
            version
        };
        let copy = Copy {
            version: version.into(),
            ready: None,
            unready: now,
            returning,
            claim,
            step,
        };
        self.copies.insert(task.into(), copy);
    }

    /// This copy must not run beside itself: it is stopped first, whatever the roll's order.
    pub fn only_once(&mut self, task: &str) {
        if self.copies.contains_key(task) {
            self.once.insert(task.into());
        }
    }

    /// The new copy beside it says that it is ready, or no longer.
    pub fn grown(&mut self, now: Tenths, task: &str, word: bool) {
        if let Some(Copy {
            step: Step::Grows { ready, .. },
            ..
        }) = self.copies.get_mut(task)
        {
            *ready = if word { ready.or(Some(now)) } else { None };
        }
    }

    /// The new copy beside it is known to be gone, or was never placed. The claims to give back.
    /// `why`: what it says of the version.
    pub fn withdrawn(&mut self, now: Tenths, task: &str, why: Withdrawn) -> Vec<ClaimId> {
        let longest = LONGEST_BACK_OFF;
        let Some(copy) = self.copies.get_mut(task) else {
            return Vec::new();
        };
        match copy.step {
            // The old one is being stopped already: what follows is a replacing like any other.
            Step::Retires { .. } => {
                copy.step = Step::Replaced;
                (copy.version, copy.ready, copy.unready) = (self.roll.wanted().into(), None, now);
                self.failures += u32::from(why != Withdrawn::NotWanted);
                Vec::new()
            }
            Step::Grows { .. } => {
                copy.step = Step::Stays;
                let claim = copy.claim.take();
                self.failures += u32::from(why != Withdrawn::NotWanted);
                self.without_room += u32::from(why == Withdrawn::NoRoom);
                self.claim_at = now + longest / 2 + self.rng.random_range(0..longest / 2);
                claim
                    .into_iter()
                    .inspect(|claim| drop(self.claims.remove(claim)))
                    .collect()
            }
            _ => Vec::new(),
        }
    }

    /// The old copy is gone and the new one beside it has its place. The claims to give back.
    pub fn retired(&mut self, task: &str) -> Vec<ClaimId> {
        let Some(copy) = self.copies.get_mut(task) else {
            return Vec::new();
        };
        let Step::Retires { version, ready } = &copy.step else {
            return Vec::new();
        };
        (copy.version, copy.ready, copy.step) = (version.clone(), Some(*ready), Step::Stays);
        copy.claim
            .take()
            .into_iter()
            .inspect(|claim| drop(self.claims.remove(claim)))
            .collect()
    }

    /// Something is still to be put away before a new one may stand beside it: its turn comes
    /// again.
    pub fn grow_later(&mut self, task: &str) {
        if let Some(copy) = self
            .copies
            .get_mut(task)
            .filter(|copy| matches!(copy.step, Step::Grows { .. }))
        {
            copy.step = Step::Replaced;
        }
    }

    /// No node has any copy left that was begun under this claim of another.
    pub fn cleared(&mut self, claim: ClaimId) {
        self.clearing.remove(&claim);
    }

    /// Whether a new copy is wanted beside it.
    pub fn grows(&self, task: &str) -> bool {
        self.copies
            .get(task)
            .is_some_and(|copy| matches!(copy.step, Step::Grows { .. }))
    }

    /// The claim under which a copy is replaced.
    pub fn claim_of(&self, task: &str) -> Option<ClaimId> {
        self.copies.get(task)?.claim
    }

    /// By its own word.
    pub fn ready(&mut self, now: Tenths, task: &str) {
        if let Some(copy) = self.copies.get_mut(task) {
            copy.ready.get_or_insert(now);
        }
    }

    /// By its own word, or since its node is lost, evicts it, or sends it away. True where that is
    /// a failure of the version being rolled out: it had not yet stayed ready for its time.
    pub fn unready(&mut self, now: Tenths, task: &str) -> bool {
        let (version, time) = (self.roll.version.clone(), self.roll.ready_for);
        let Some(copy) = self.copies.get_mut(task) else {
            return false;
        };
        let Some(since) = copy.ready.take() else {
            return false;
        };
        copy.unready = now;
        let failed = copy.version == version && copy.claim.is_some() && now < since + time;
        self.failures += u32::from(failed);
        failed
    }

    /// The copy is not wanted any more. The claims to give back.
    pub fn gone(&mut self, task: &str) -> Vec<ClaimId> {
        self.copies.remove(task);
        self.once.remove(task);
        let mine: Vec<ClaimId> = self
            .claims
            .iter()
            .filter(|(_, own)| own.task == task)
            .map(|(claim, _)| *claim)
            .collect();
        mine.iter()
            .for_each(|claim| drop(self.claims.remove(claim)));
        mine
    }

    /// The copy is no longer here: lost with its node, evicted, sent away, or without room for its
    /// new one. Its owner comes again, to us or another, and a slot that it holds stays held
    /// until it is ready there.
    pub fn died(&mut self, now: Tenths, task: &str) {
        let Some(copy) = self.copies.remove(task) else {
            return;
        };
        let settled = copy.ready.is_some_and(|at| now >= at + self.roll.ready_for);
        let replaced = copy.step == Step::Replaced && copy.version == self.roll.version;
        self.failures += u32::from(replaced && !settled);
    }

    /// How a claim came out. False where it is lost: it is to be given back at all keepers, for
    /// some may have granted it, or may still.
    pub fn claimed(&mut self, now: Tenths, claim: ClaimId, votes: Votes) -> bool {
        let Some(task) = self.claims.get(&claim).map(|claim| claim.task.clone()) else {
            return false;
        };
        let won = majority(votes.granted, votes.keepers);
        let copy = self
            .copies
            .get_mut(&task)
            .filter(|copy| copy.claim == Some(claim));
        // While it was out its copy may have gone, or the roll been paused: then it is not used.
        let rolling = self.roll.phase == Phase::Rolling && !self.halted;
        match copy {
            Some(copy) if won && (rolling || copy.ready.is_none()) => {
                copy.step = Step::Replaced;
                self.claims.insert(claim, Claim { task, won });
                self.lost_in_a_row = 0;
                true
            }
            copy => {
                if let Some(copy) = copy {
                    (copy.claim, copy.step) = (None, Step::Stays);
                }
                self.claims.remove(&claim);
                self.lost_in_a_row = self.lost_in_a_row.saturating_add(1);
                let longest = (BACK_OFF << self.lost_in_a_row.min(6)).min(LONGEST_BACK_OFF);
                self.claim_at = now + longest / 2 + self.rng.random_range(0..longest / 2);
                false
            }
        }
    }

    /// What to set going now. `held` are the slots that keepers tell of, each with how many tell
    /// it.
    pub fn look(&mut self, now: Tenths, held: &[(u32, Grant, usize)]) -> Look {
        let mut look = Look {
            wait: LOOK,
            ..Look::default()
        };
        look.release = std::mem::take(&mut self.unwon);
        self.settle(now, &mut look);
        self.give_back(now, held, &mut look);
        self.halt(now, &mut look);
        if self.roll.phase != Phase::Rolling || self.halted {
            return look;
        }
        let wanted = self.roll.wanted().to_string();
        look.grow = self.look_to_grow(now);
        look.replace = self.look_at_held(now);
        if now < self.claim_at {
            look.wait = look.wait.min(self.claim_at - now);
            return look;
        }
        let free: Vec<u32> = {
            let taken = |slot: &u32| held.iter().any(|(other, _, _)| other == slot);
            (0..self.roll.unready_most)
                .filter(|slot| !taken(slot))
                .collect()
        };
        let batch = (self.roll.batch.max(1) as usize)
            .saturating_sub(self.claims.len())
            .min(free.len());
        // Those not ready by themselves come first: they take a slot from the roll while they are
        // down, of the version wanted too, so that all dispatchers give way. Then old ones
        // that are ready.
        let down = |copy: &Copy| copy.returning && copy.ready.is_none();
        let mut next: Vec<(bool, &String)> = (self.copies.iter())
            .filter(|(task, _)| !self.clearing.values().any(|other| other == *task))
            .filter(|(_, copy)| copy.step == Step::Stays && (copy.version != wanted || down(copy)))
            .map(|(task, copy)| (copy.ready.is_some(), task))
            .collect();
        next.sort();
        let next: Vec<String> = next
            .into_iter()
            .take(batch)
            .map(|(_, task)| task.clone())
            .collect();
        // Each dispatcher begins at another slot, so that not all go for the same.
        let first = self.rng.random_range(0..free.len().max(1));
        for (index, task) in next.into_iter().enumerate() {
            let claim = ClaimId(self.rng.random());
            let slot = free[(first + index) % free.len()];
            if let Some(copy) = self.copies.get_mut(&task) {
                (copy.claim, copy.step) = (Some(claim), Step::Claims);
            }
            self.claims.insert(
                claim,
                Claim {
                    task: task.clone(),
                    won: false,
                },
            );
            look.claims.push((claim, slot, task));
        }
        look
    }

    /// Copies beside which a new one is to be started now, of those that hold a slot. A copy that
    /// is down has nothing to keep: it is replaced as in the other order.
    pub fn look_to_grow(&mut self, now: Tenths) -> Vec<String> {
        let wanted = self.roll.wanted().to_string();
        let mut grow = Vec::new();
        if self.roll.phase != Phase::Rolling || self.halted || self.roll.order != Order::StartFirst
        {
            return grow;
        }
        for (task, copy) in &mut self.copies {
            let may = copy.ready.is_some() && !self.once.contains(task);
            if copy.step == Step::Replaced && copy.version != wanted && may {
                copy.step = Step::Grows {
                    version: wanted.clone(),
                    since: now,
                    ready: None,
                };
                grow.push(task.clone());
            }
        }
        grow
    }

    /// Copies to replace now, of those that hold a slot: of another version than is wanted, since
    /// the slot was just won, or a later wish or an undo came.
    pub fn look_at_held(&mut self, now: Tenths) -> Vec<String> {
        let wanted = self.roll.wanted().to_string();
        let mut replace = Vec::new();
        if self.roll.phase != Phase::Rolling || self.halted {
            return replace;
        }
        for (task, copy) in &mut self.copies {
            // One that was just handed over has not yet had its say.
            let may_say = self.roll.order == Order::StartFirst && !self.once.contains(task);
            if may_say && (copy.ready.is_some() || now < copy.unready + SAY) {
                continue;
            }
            if copy.step == Step::Replaced && copy.version != wanted {
                copy.version.clone_from(&wanted);
                (copy.ready, copy.unready) = (None, now);
                replace.push(task.clone());
            }
        }
        replace
    }

    /// Copies that have stayed ready for their time give their slot back.
    fn settle(&mut self, now: Tenths, look: &mut Look) {
        let wanted = self.roll.wanted().to_string();
        for (task, copy) in &mut self.copies {
            match &copy.step {
                // A later wish, an undo or a halt has come.
                Step::Grows { version, .. } if *version != wanted => {
                    look.withdraw.push(task.clone())
                }
                Step::Grows {
                    version,
                    ready: Some(since),
                    ..
                } => {
                    let due = since + self.roll.ready_for;
                    if now >= due {
                        copy.step = Step::Retires {
                            version: version.clone(),
                            ready: *since,
                        };
                        look.retire.push(task.clone());
                    } else {
                        look.wait = look.wait.min(due - now);
                    }
                }
                Step::Retires { .. } => look.retire.push(task.clone()),
                _ => {}
            }
        }
        for copy in self
            .copies
            .values_mut()
            .filter(|copy| copy.step == Step::Replaced)
        {
            let Some(since) = copy.ready else { continue };
            if now < since + self.roll.ready_for {
                look.wait = look.wait.min(since + self.roll.ready_for - now);
            } else if copy.version == wanted || self.roll.phase != Phase::Rolling {
                copy.step = Step::Stays;
                if let Some(claim) = copy.claim.take() {
                    self.claims.remove(&claim);
                    look.release.push(claim);
                }
            }
        }
    }

    /// Slots that others left behind. A copy that is ready here for its time holds none, whoever
    /// claimed it; and what an earlier life of ours claimed for an owner that never came back
    /// is not wanted any more.
    fn give_back(&mut self, now: Tenths, held: &[(u32, Grant, usize)], look: &mut Look) {
        // A copy that left us for another has its slot given back by that one, once it is ready
        // there.
        let told = |claim: &ClaimId| held.iter().any(|(_, grant, _)| grant.claim == *claim);
        let copies = &self.copies;
        self.claims
            .retain(|claim, own| copies.contains_key(&own.task) || told(claim));
        self.clearing
            .retain(|claim, task| copies.contains_key(task) && told(claim));
        self.idle
            .retain(|claim, _| held.iter().any(|(_, grant, _)| grant.claim == *claim));
        for (_, grant, _) in held
            .iter()
            .filter(|(_, grant, _)| !self.claims.contains_key(&grant.claim))
        {
            if look.release.contains(&grant.claim)
                || look.clear.iter().any(|(claim, _)| *claim == grant.claim)
            {
                continue;
            }
            let settled = self.copies.get(&grant.task).is_some_and(|copy| {
                copy.step == Step::Stays
                    && copy.ready.is_some_and(|at| now >= at + self.roll.ready_for)
            });
            // A claim of ours that we don't know: a lost one that a keeper granted late, or an
            // earlier life's.
            let mine = grant.dispatcher == self.me && !self.copies.contains_key(&grant.task);
            let since = *self.idle.entry(grant.claim).or_insert(now);
            if settled && self.roll.order == Order::StartFirst && !self.once.contains(&grant.task) {
                // That ours is ready says nothing of one that its holder had begun beside it.
                self.clearing.insert(grant.claim, grant.task.clone());
                look.clear.push((grant.claim, grant.task.clone()));
            } else if settled || mine && now >= since + FORGET * self.roll.ready_within {
                look.release.push(grant.claim);
            }
        }
    }

    /// Too many failures, by copies that do not get ready or do not stay so.
    fn halt(&mut self, now: Tenths, look: &mut Look) {
        let version = self.roll.version.clone();
        let mut late = 0;
        for copy in self.copies.values() {
            let since = match &copy.step {
                Step::Replaced if copy.ready.is_none() && copy.version == version => {
                    Some(copy.unready)
                }
                Step::Grows {
                    version: new,
                    since,
                    ready: None,
                } if *new == version => Some(*since),
                _ => None,
            };
            if let Some(since) = since {
                let due = since + self.roll.ready_within;
                if now >= due {
                    late += 1;
                } else {
                    look.wait = look.wait.min(due - now);
                }
            }
        }
        let failed = self.failures + late;
        if self.roll.phase == Phase::Rolling && !self.halted && failed > self.roll.failures_most {
            self.halted = true;
            let why = format!(
                "{failed} copies of {version} failed at dispatcher {}, {late} not ready in time, {} without room",
                self.me, self.without_room
            );
            look.halt = Some(why);
        }
    }

    /// Copies here: all, of the wanted version, and not ready.
    pub fn counts(&self) -> (usize, usize, usize) {
        let wanted = self.roll.wanted();
        let of =
            |check: &dyn Fn(&Copy) -> bool| self.copies.values().filter(|copy| check(copy)).count();
        (
            self.copies.len(),
            of(&|copy| copy.version == wanted),
            of(&|copy| copy.ready.is_none()),
        )
    }

    /// Whether a copy here is of another version than is wanted, or not ready, while the roll goes
    /// on.
    pub fn has_steps(&self) -> bool {
        let wanted = self.roll.wanted();
        let rolling = self.roll.phase == Phase::Rolling && !self.halted;
        rolling
            && self
                .copies
                .values()
                .any(|copy| copy.version != wanted || copy.ready.is_none())
    }

    /// Claims that are out or held.
    pub fn claims(&self) -> impl Iterator<Item = ClaimId> {
        self.claims.keys().copied()
    }
}
