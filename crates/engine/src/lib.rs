//! What every caller of the decisions keeps and nothing else: the allocations in hand, their shots,
//! the "not yet" queue and the one timer. No I/O, no clock of its own, and no decision: those are
//! asked of [`corkspan_scheduler::Scheduler`], whose answers go straight to the caller's [`Wire`].

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use fnv::FnvHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hasher;

/// What the caller does with the answers of the decisions. `T` is what it keeps with each
/// allocation.
pub trait Wire<T> {
    /// Offers the allocation to a machine, as the shot of this number, and waits `time_out` for its
    /// answer.
    fn send(&mut self, held: &mut T, allocation: &Allocation, machine: MachineId, time_out: Ticks);
    /// The final answer that another try is harmless.
    fn shed(&mut self, held: &mut T, allocation: &Allocation);
    /// The final answer that promises nothing.
    fn scrap(&mut self, held: &mut T, allocation: &Allocation);
    /// Stops a placed allocation so that its owner asks for it anew.
    fn relocate(&mut self, held: &mut T, allocation: &Allocation);
    /// A placed allocation is lost with its machine. Only where the caller doesn't learn that by
    /// itself.
    fn lost(&mut self, _held: &mut T, _allocation: &Allocation) {}
    fn probe(&mut self, machine: MachineId);
    fn watch_list(&mut self);
    /// Calls for [`Host::woken`] after so long; never 0.
    fn wake(&mut self, after: Ticks);
}

/// The id of a service. No instance sees all services, so it comes from the name and not from the
/// order of asks, and is the same everywhere.
pub fn service(name: &str) -> ServiceId {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    ServiceId(hasher.finish())
}

struct Held<T> {
    name: String,
    own: T,
    allocation: Allocation,
    /// Shots without a return.
    pending: usize,
    placed: bool,
    over: bool,
    /// The decisions have been asked where to.
    asked: bool,
}

/// Why an allocation was not taken into hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotTaken {
    #[error("as many allocations as may be are in hand")]
    Full,
    #[error("one of this name is in hand, or a shot of it is still out")]
    SameName,
}

/// What an allocation is, as its owner says.
#[derive(Clone, Debug)]
pub struct Asked {
    pub service: ServiceId,
    pub track: ServiceClassId,
    pub account: TenantId,
    pub asks: Resources,
    /// When the owner stops waiting for the final answer.
    pub abandon: Ticks,
}

/// How many allocations stand where.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub in_hand: usize,
    pub not_yet: usize,
    pub shots_out: usize,
    pub placed: usize,
}

/// How many that were answered "not yet" are asked for again in one go, and the time between two
/// goes. Thousands at once would keep a caller with sockets from reading them: then nothing is
/// heard of the links whose word is waited for, and all are asked for again in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slice {
    pub most: usize,
    pub apart: Ticks,
}

impl Slice {
    /// All at once, for a caller that has nothing else to do meanwhile.
    pub const ALL: Slice = Slice {
        most: usize::MAX,
        apart: 0,
    };
    /// None by itself: the caller asks with [`Host::turn`] as it finds time, between what it hears.
    pub const BY_TURNS: Slice = Slice { most: 0, apart: 0 };
}

/// Those that wait for a turn, [`Slice::BY_TURNS`]. To ask for one costs some hundred times what it
/// costs to hear a word; where words wait behind asks, an overloaded caller hears of ends too late
/// to pass them on in time.
#[derive(Default)]
struct Turns {
    /// New ones and those whose shot has come back, with their abandon times.
    first: VecDeque<(Ticks, AllocationId)>,
    /// Such as were answered "not yet".
    again: VecDeque<(Ticks, AllocationId)>,
    again_next: bool,
    /// All of them. However many wait, each is answered once its time is up.
    ends: BTreeSet<(Ticks, AllocationId)>,
}

impl Turns {
    fn next(&mut self) -> Option<AllocationId> {
        // Neither kind can hold up the other.
        self.again_next = !self.again_next;
        let (one, other) = match self.again_next {
            true => (&mut self.again, &mut self.first),
            false => (&mut self.first, &mut self.again),
        };
        let next = one.pop_front().or_else(|| other.pop_front())?;
        self.ends.remove(&next);
        Some(next.1)
    }

    fn len(&self) -> usize {
        self.first.len() + self.again.len()
    }
}

/// One instance: its decisions and what it holds.
pub struct Host<T> {
    scheduler: Scheduler,
    held: BTreeMap<AllocationId, Held<T>>,
    by_name: HashMap<String, AllocationId>,
    /// Answered with "not yet", in the order taken.
    not_yet: Vec<AllocationId>,
    /// The same with their abandon times: some are asked for again alone, as their time is up.
    not_yet_ends: BTreeSet<(Ticks, AllocationId)>,
    /// Of those, the ones to be asked for again now, slice by slice.
    again: VecDeque<AllocationId>,
    turns: Turns,
    slice: Slice,
    /// No slice is begun before.
    slice_at: Ticks,
    taken: u64,
    most: usize,
    /// When the earliest timer under way falls due.
    armed: Option<Ticks>,
}

impl<T> Host<T> {
    /// `most` allocations are in hand at a time at the most; usize::MAX where the caller is bounded
    /// otherwise.
    pub fn new(cluster: Cluster, seed: u64, now: Ticks, most: usize, slice: Slice) -> Self {
        Host {
            scheduler: Scheduler::new(cluster, seed, now),
            held: BTreeMap::new(),
            by_name: HashMap::new(),
            not_yet: Vec::new(),
            not_yet_ends: BTreeSet::new(),
            again: VecDeque::new(),
            turns: Turns::default(),
            slice,
            slice_at: now,
            taken: 0,
            most,
            armed: None,
        }
    }

    /// Other figures are in force from here on. Ids of tracks and accounts in hand must mean what
    /// they meant.
    pub fn adopt(&mut self, now: Ticks, cluster: Cluster, most: usize) {
        self.scheduler.reconfigure(now, cluster);
        self.most = most;
    }

    /// How many in hand are of each track; none where there is no such track among them.
    pub fn by_track(&self) -> BTreeMap<ServiceClassId, usize> {
        let mut counts = BTreeMap::new();
        self.held
            .values()
            .for_each(|held| *counts.entry(held.allocation.service_class).or_default() += 1);
        counts
    }

    /// Takes an allocation into hand. It is not yet placed: [`Host::place`] is the next call.
    pub fn take(
        &mut self,
        now: Ticks,
        name: &str,
        asked: Asked,
        own: T,
    ) -> Result<AllocationId, (NotTaken, T)> {
        if self.by_name.contains_key(name) {
            return Err((NotTaken::SameName, own));
        }
        if self.held.len() >= self.most {
            return Err((NotTaken::Full, own));
        }
        let id = AllocationId(self.taken);
        self.taken += 1;
        let Asked {
            service,
            track,
            account,
            asks,
            abandon,
        } = asked;
        let allocation = Allocation {
            id,
            service,
            service_class: track,
            tenant: account,
            requested: asks,
            accepted_at: now,
            deadline: abandon,
            attempts: Vec::new(),
        };
        self.by_name.insert(name.into(), id);
        let (name, pending, placed, over, asked) = (name.into(), 0, false, false, false);
        let held = Held {
            name,
            own,
            allocation,
            pending,
            placed,
            over,
            asked,
        };
        self.held.insert(id, held);
        Ok(id)
    }

    /// Takes one into hand that already runs on a machine. No final answer is owed, only its
    /// return.
    pub fn take_running(
        &mut self,
        now: Ticks,
        name: &str,
        asked: Asked,
        machine: MachineId,
        own: T,
    ) -> Result<AllocationId, (NotTaken, T)> {
        let id = self.take(now, name, asked, own)?;
        if let Some(held) = self.held.get_mut(&id) {
            // The attempt that started it counts as made, though not by us.
            held.allocation.attempts.push(Attempt {
                machine,
                sent_at: now,
                state: AttemptState::PossiblyExecuted,
            });
            (held.pending, held.placed) = (1, true);
            self.scheduler.adopt_running(now, &held.allocation, machine);
        }
        Ok(id)
    }

    /// Where to: for one in hand. By turns, it waits for its own.
    pub fn place(&mut self, now: Ticks, id: AllocationId, wire: &mut impl Wire<T>) {
        if self.slice != Slice::BY_TURNS {
            return self.ask(now, id, wire);
        }
        let Some(held) = self.held.get(&id) else {
            return;
        };
        let waits = (held.allocation.deadline, id);
        self.turns.first.push_back(waits);
        self.turns.ends.insert(waits);
        // Such as owners gave up meanwhile must not pile up behind those that are wanted.
        if self.turns.first.len() > 2 * self.held.len() + 64 {
            let held = &self.held;
            self.turns.first.retain(|(_, id)| held.contains_key(id));
            self.turns.ends.retain(|(_, id)| held.contains_key(id));
        }
    }

    /// The next of those that wait for their turn, for [`Host::ask`]. None where none does.
    pub fn next_turn(&mut self) -> Option<AllocationId> {
        while let Some(id) = self.turns.next() {
            if self.held.contains_key(&id) {
                return Some(id);
            }
        }
        None
    }

    /// Whether one waits for its turn.
    pub fn waits_for_turn(&self) -> bool {
        self.turns.len() > 0
    }

    /// Asked of the decisions for one in hand, and again for one that they answered "not yet".
    pub fn ask(&mut self, now: Ticks, id: AllocationId, wire: &mut impl Wire<T>) {
        let Some(held) = self.held.get_mut(&id).filter(|held| !held.over) else {
            return;
        };
        if !std::mem::replace(&mut held.asked, true) {
            // What the decisions learn of it they learn once, when it first comes before them.
            held.allocation.accepted_at = now;
        }
        match self.scheduler.place(now, &held.allocation) {
            Placement::Dispatch { machine, timeout } => {
                wire.send(&mut held.own, &held.allocation, machine, timeout);
                held.allocation.attempts.push(Attempt {
                    machine,
                    sent_at: now,
                    state: AttemptState::Pending,
                });
                held.pending += 1;
            }
            Placement::Deferred => {
                self.not_yet_ends.insert((held.allocation.deadline, id));
                self.not_yet.push(id);
            }
            Placement::Shed => self.shed(id, wire),
            Placement::Indeterminate => self.scrap(id, wire),
        }
    }

    /// Its last shot has left only now, later than it was sent on its way: a connection had to come
    /// up first.
    pub fn left(&mut self, now: Ticks, id: AllocationId) {
        if let Some(shot) = self
            .held
            .get(&id)
            .and_then(|held| held.allocation.attempts.last())
        {
            self.scheduler
                .record_departure(now, shot.machine, shot.sent_at);
        }
    }

    /// A shot is placed. False where the answer is of no use: the allocation is over, or has been
    /// answered.
    pub fn placed(
        &mut self,
        now: Ticks,
        id: AllocationId,
        shot: usize,
        wire: &mut impl Wire<T>,
    ) -> bool {
        let Some(held) = self.held.get_mut(&id) else {
            return false;
        };
        let first = !held.over && !held.placed;
        held.placed = true;
        self.outcome(now, id, shot, Outcome::Placed, wire);
        first
    }

    /// A shot has returned. False where there is no such shot.
    #[allow(clippy::too_many_arguments)]
    pub fn returned(
        &mut self,
        now: Ticks,
        id: AllocationId,
        shot: usize,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        over: bool,
        report: Option<LoadReport>,
        wire: &mut impl Wire<T>,
    ) -> bool {
        let Some(held) = self.held.get_mut(&id) else {
            return true;
        };
        let Some(made) = held.allocation.attempts.get_mut(shot) else {
            return false;
        };
        made.state = match ending {
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent => {
                AttemptState::NotExecuted
            }
            _ => AttemptState::PossiblyExecuted,
        };
        held.pending = held.pending.saturating_sub(1);
        let over = over || held.over;
        self.outcome(
            now,
            id,
            shot,
            Outcome::Returned {
                ending,
                reason,
                over,
                report,
            },
            wire,
        );
        if over {
            self.finish(id);
        }
        true
    }

    pub fn noted(&mut self, now: Ticks, id: AllocationId, note: Metric) {
        self.scheduler.record_metric(now, id, note);
    }

    pub fn probed(
        &mut self,
        now: Ticks,
        machine: MachineId,
        ending: AttemptResult,
        report: Option<LoadReport>,
    ) {
        self.scheduler
            .record_health_check(now, machine, ending, report);
    }

    pub fn listed(&mut self, scope: ListUpdate, entries: &[Endpoint]) {
        self.scheduler.apply_endpoint_list(scope, entries);
    }

    pub fn list_failed(&mut self, now: Ticks) {
        self.scheduler.endpoint_watch_failed(now);
    }

    /// The timer of [`Wire::wake`] went off. An earlier one may still be under way.
    pub fn woken(&mut self, now: Ticks) {
        if self.armed.is_some_and(|at| at <= now) {
            self.armed = None;
        }
    }

    /// After whatever was handed over: what is to be set going, and the timer for the next look.
    pub fn rest(&mut self, now: Ticks, wire: &mut impl Wire<T>) {
        loop {
            let wait = self.scheduler.poll(now);
            if wait.watch_endpoints {
                wire.watch_list();
            }
            wait.health_checks
                .iter()
                .for_each(|&machine| wire.probe(machine));
            for id in &wait.migrations {
                if let Some(held) = self.held.get_mut(id) {
                    wire.relocate(&mut held.own, &held.allocation);
                }
            }
            for id in &wait.lost {
                if let Some(held) = self.held.get_mut(id) {
                    wire.lost(&mut held.own, &held.allocation);
                }
            }
            if let Some(upto) = wait.deadlines_until {
                while let Some(&(_, id)) = self.not_yet_ends.first().filter(|(end, _)| *end <= upto)
                {
                    self.not_yet_ends.pop_first();
                    self.ask(now, id, wire);
                }
                if self.not_yet_ends.is_empty() {
                    self.scheduler.no_deferred_left();
                }
                if wait.retry_deferred {
                    continue;
                }
            } else if wait.retry_deferred {
                self.not_yet_ends.clear();
            }
            if wait.retry_deferred && self.slice == Slice::BY_TURNS {
                for id in self.not_yet.drain(..) {
                    let waits = (
                        self.held
                            .get(&id)
                            .map_or(now, |held| held.allocation.deadline),
                        id,
                    );
                    self.turns.again.push_back(waits);
                    self.turns.ends.insert(waits);
                }
            } else if wait.retry_deferred {
                self.again.extend(self.not_yet.drain(..));
            }
            if let Some(&(_, id)) = self.turns.ends.first().filter(|(at, _)| *at <= now) {
                self.turns.ends.pop_first();
                self.ask(now, id, wire);
                continue;
            }
            if !self.again.is_empty() && now >= self.slice_at {
                let many = self.again.len().min(self.slice.most);
                let slice: Vec<AllocationId> = self.again.drain(..many).collect();
                slice.into_iter().for_each(|id| self.ask(now, id, wire));
                self.slice_at = now + self.slice.apart;
                continue;
            }
            let slice = (!self.again.is_empty()).then_some(self.slice_at);
            let end = self.turns.ends.first().map(|(at, _)| *at);
            let sooner = [slice, end].into_iter().flatten().min();
            let time = sooner.map_or(wait.next_poll, |at| {
                wait.next_poll.min(at.saturating_sub(now))
            });
            let at = now + time.max(1);
            if self.armed.is_none_or(|armed| armed > at) {
                wire.wake(time.max(1));
                self.armed = Some(at);
            }
            return;
        }
    }

    /// The owner wants it no longer: no answer is owed from here on, nothing more is sent.
    pub fn finish(&mut self, id: AllocationId) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        held.over = true;
        self.not_yet_ends.remove(&(held.allocation.deadline, id));
        if held.pending == 0
            && let Some(held) = self.held.remove(&id)
        {
            self.by_name.remove(&held.name);
        }
    }

    /// The caller stops: each one that is owed an answer gets one as soon as its shot out, if any,
    /// has returned.
    pub fn stop(&mut self, now: Ticks, wire: &mut impl Wire<T>) {
        let mut waits = Vec::new();
        for (&id, held) in self
            .held
            .iter_mut()
            .filter(|(_, held)| !held.over && !held.placed)
        {
            held.allocation.deadline = held.allocation.deadline.min(now);
            if held.pending == 0 {
                waits.push(id);
            }
        }
        waits.into_iter().for_each(|id| self.ask(now, id, wire));
        self.not_yet.clear();
        self.not_yet_ends.clear();
        self.again.clear();
        self.turns = Turns::default();
    }

    /// Those that are owed an answer while a shot of theirs is out, with the number of that shot.
    pub fn unanswered(&self) -> Vec<(AllocationId, usize)> {
        let owed = self
            .held
            .iter()
            .filter(|(_, held)| !held.over && !held.placed && held.pending > 0);
        owed.map(|(&id, held)| (id, held.allocation.attempts.len() - 1))
            .collect()
    }

    pub fn find(&self, name: &str) -> Option<AllocationId> {
        self.by_name.get(name).copied()
    }

    /// Exchanges the names of two in hand: the one takes the other's place with its owner.
    pub fn swap_names(&mut self, one: AllocationId, other: AllocationId) {
        if !self.held.contains_key(&one) {
            return;
        }
        let Some(name) = self.held.get(&other).map(|held| held.name.clone()) else {
            return;
        };
        let Some(held) = self.held.get_mut(&one) else {
            return;
        };
        let former = std::mem::replace(&mut held.name, name.clone());
        self.by_name.insert(name, one);
        self.by_name.insert(former.clone(), other);
        if let Some(held) = self.held.get_mut(&other) {
            held.name = former;
        }
    }

    /// What the caller keeps with one in hand, and the allocation.
    pub fn own(&mut self, id: AllocationId) -> Option<(&mut T, &Allocation)> {
        self.held
            .get_mut(&id)
            .map(|held| (&mut held.own, &held.allocation))
    }

    pub fn all(&mut self) -> impl Iterator<Item = (AllocationId, &mut T, bool)> {
        self.held
            .iter_mut()
            .map(|(&id, held)| (id, &mut held.own, held.placed && !held.over))
    }

    /// How much is kept in all: in hand, by name, waiting, and in the decisions.
    pub fn kept(&self) -> usize {
        let waiting =
            self.not_yet.len() + self.again.len() + self.turns.len() + self.turns.ends.len();
        self.held.len()
            + self.by_name.len()
            + waiting
            + self.scheduler.state_sizes().iter().sum::<usize>()
    }

    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            in_hand: self.held.len(),
            ..Counts::default()
        };
        for held in self.held.values() {
            counts.placed += usize::from(held.placed && !held.over);
            counts.shots_out += usize::from(held.pending > 0 && !held.placed);
            counts.not_yet += usize::from(held.pending == 0 && !held.placed && !held.over);
        }
        counts
    }

    fn outcome(
        &mut self,
        now: Ticks,
        id: AllocationId,
        shot: usize,
        outcome: Outcome,
        wire: &mut impl Wire<T>,
    ) {
        let Some(held) = self.held.get(&id) else {
            return;
        };
        match self
            .scheduler
            .on_outcome(now, &held.allocation, shot, outcome)
        {
            NextStep::Done => {}
            NextStep::Retry => self.place(now, id, wire),
            NextStep::Shed => self.shed(id, wire),
            NextStep::Indeterminate => self.scrap(id, wire),
        }
    }

    fn shed(&mut self, id: AllocationId, wire: &mut impl Wire<T>) {
        if let Some(held) = self.held.get_mut(&id) {
            wire.shed(&mut held.own, &held.allocation);
        }
        self.finish(id);
    }

    fn scrap(&mut self, id: AllocationId, wire: &mut impl Wire<T>) {
        if let Some(held) = self.held.get_mut(&id) {
            wire.scrap(&mut held.own, &held.allocation);
        }
        self.finish(id);
    }
}
