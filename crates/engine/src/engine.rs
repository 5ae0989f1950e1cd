//! The allocations of one instance.

use crate::queues::RunQueue;
use crate::requests::Tracked;
use crate::{AdmissionError, AllocationCounts, AllocationRequest, RetryBatch};
use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// One instance: its scheduler and its allocations. `T` is what the caller keeps with each of them.
pub struct Engine<T> {
    pub(crate) scheduler: Scheduler,
    pub(crate) tracked: BTreeMap<AllocationId, Tracked<T>>,
    pub(crate) by_name: HashMap<String, AllocationId>,
    /// The deferred ones, in the order in which they came.
    pub(crate) deferred: Vec<AllocationId>,
    /// The same with their deadlines: some are evaluated again alone, as their time is up.
    pub(crate) deferred_by_deadline: BTreeSet<(Ticks, AllocationId)>,
    /// Those to be evaluated again now, batch by batch.
    pub(crate) retries: VecDeque<AllocationId>,
    pub(crate) run_queue: RunQueue,
    pub(crate) batch: RetryBatch,
    /// No batch begins before.
    pub(crate) next_batch_at: Ticks,
    next_id: u64,
    max_tracked: usize,
    /// When the earliest timer under way falls due.
    pub(crate) timer_at: Option<Ticks>,
}

impl<T> Engine<T> {
    /// An instance without allocations. It keeps `max_tracked` at a time at most; `usize::MAX` where
    /// the caller is bounded otherwise.
    pub fn new(
        cluster: Cluster,
        seed: u64,
        now: Ticks,
        max_tracked: usize,
        batch: RetryBatch,
    ) -> Self {
        Engine {
            scheduler: Scheduler::new(cluster, seed, now),
            tracked: BTreeMap::new(),
            by_name: HashMap::new(),
            deferred: Vec::new(),
            deferred_by_deadline: BTreeSet::new(),
            retries: VecDeque::new(),
            run_queue: RunQueue::default(),
            batch,
            next_batch_at: now,
            next_id: 0,
            max_tracked,
            timer_at: None,
        }
    }

    /// New settings are in force. Ids of service classes and tenants must mean what they meant.
    pub fn reconfigure(&mut self, now: Ticks, cluster: Cluster, max_tracked: usize) {
        self.scheduler.reconfigure(now, cluster);
        self.max_tracked = max_tracked;
    }

    /// Admits an allocation. It is not placed yet: [`Engine::place`] is the next call.
    ///
    /// # Errors
    /// If there are as many as there may be, or another has this name. `data` is given back.
    pub fn admit(
        &mut self,
        now: Ticks,
        name: &str,
        request: AllocationRequest,
        data: T,
    ) -> Result<AllocationId, (AdmissionError, T)> {
        if self.by_name.contains_key(name) {
            return Err((AdmissionError::DuplicateName, data));
        }
        if self.tracked.len() >= self.max_tracked {
            return Err((AdmissionError::Full, data));
        }
        let id = AllocationId(self.next_id);
        self.next_id += 1;
        let allocation = Allocation {
            id,
            service: request.service,
            service_class: request.service_class,
            tenant: request.tenant,
            requested: request.requested,
            accepted_at: now,
            deadline: request.deadline,
            attempts: Vec::new(),
        };
        self.by_name.insert(name.into(), id);
        let tracked = Tracked {
            name: name.into(),
            data,
            allocation,
            pending_attempts: 0,
            placed: false,
            finished: false,
            evaluated: false,
        };
        self.tracked.insert(id, tracked);
        Ok(id)
    }

    /// Admits one that already runs on a machine. No final answer is owed, only its end is awaited.
    ///
    /// # Errors
    /// As [`Engine::admit`].
    pub fn admit_running(
        &mut self,
        now: Ticks,
        name: &str,
        request: AllocationRequest,
        machine: MachineId,
        data: T,
    ) -> Result<AllocationId, (AdmissionError, T)> {
        let id = self.admit(now, name, request, data)?;
        if let Some(tracked) = self.tracked.get_mut(&id) {
            // The attempt that started it counts as made, though not by us.
            tracked.allocation.attempts.push(Attempt {
                machine,
                sent_at: now,
                state: AttemptState::PossiblyExecuted,
            });
            (tracked.pending_attempts, tracked.placed) = (1, true);
            self.scheduler
                .adopt_running(now, &tracked.allocation, machine);
        }
        Ok(id)
    }

    /// A metric of a placed allocation has been reported.
    pub fn record_metric(&mut self, now: Ticks, id: AllocationId, metric: Metric) {
        self.scheduler.record_metric(now, id, metric);
    }

    /// A health check has come to this.
    pub fn record_health_check(
        &mut self,
        now: Ticks,
        machine: MachineId,
        ending: AttemptResult,
        report: Option<LoadReport>,
    ) {
        self.scheduler
            .record_health_check(now, machine, ending, report);
    }

    /// The endpoint list, or what has changed in it.
    pub fn apply_endpoint_list(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        self.scheduler.apply_endpoint_list(update, endpoints);
    }

    /// The request for the endpoint list failed, or the watch on it broke.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        self.scheduler.endpoint_watch_failed(now);
    }

    /// No answer is owed to its client any more, and nothing more is sent. It is forgotten once its
    /// attempts have an outcome.
    pub fn finish(&mut self, id: AllocationId) {
        let Some(tracked) = self.tracked.get_mut(&id) else {
            return;
        };
        tracked.finished = true;
        let deadline = tracked.allocation.deadline;
        self.deferred_by_deadline.remove(&(deadline, id));
        if tracked.pending_attempts == 0
            && let Some(tracked) = self.tracked.remove(&id)
        {
            self.by_name.remove(&tracked.name);
        }
    }

    /// Those that are owed an answer while an attempt of theirs is pending, with its number.
    pub fn unanswered(&self) -> Vec<(AllocationId, usize)> {
        let tracked = self.tracked.iter();
        let owed = tracked.filter(|(_, one)| one.awaits_answer() && one.pending_attempts > 0);
        owed.map(|(&id, one)| (id, one.allocation.attempts.len() - 1))
            .collect()
    }

    /// The allocation of this name.
    pub fn find(&self, name: &str) -> Option<AllocationId> {
        self.by_name.get(name).copied()
    }

    /// Exchanges the names of two allocations: the one takes the other's place with its client.
    pub fn swap_names(&mut self, one: AllocationId, other: AllocationId) {
        if !self.tracked.contains_key(&one) {
            return;
        }
        let Some(name) = self.tracked.get(&other).map(|tracked| tracked.name.clone()) else {
            return;
        };
        let Some(tracked) = self.tracked.get_mut(&one) else {
            return;
        };
        let former = std::mem::replace(&mut tracked.name, name.clone());
        self.by_name.insert(name, one);
        self.by_name.insert(former.clone(), other);
        if let Some(tracked) = self.tracked.get_mut(&other) {
            tracked.name = former;
        }
    }

    /// What the caller keeps with an allocation, and the allocation.
    pub fn data_mut(&mut self, id: AllocationId) -> Option<(&mut T, &Allocation)> {
        let tracked = self.tracked.get_mut(&id)?;
        Some((&mut tracked.data, &tracked.allocation))
    }

    /// All allocations with what the caller keeps with them, and whether they are placed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (AllocationId, &mut T, bool)> {
        let tracked = self.tracked.iter_mut();
        tracked.map(|(&id, one)| (id, &mut one.data, one.placed && !one.finished))
    }

    /// How many there are of each service class; classes without any are left out.
    pub fn count_by_class(&self) -> BTreeMap<ServiceClassId, usize> {
        let mut counts = BTreeMap::new();
        for tracked in self.tracked.values() {
            *counts.entry(tracked.allocation.service_class).or_default() += 1;
        }
        counts
    }

    /// How many there are, by what they wait for.
    pub fn counts(&self) -> AllocationCounts {
        let mut counts = AllocationCounts {
            tracked: self.tracked.len(),
            ..AllocationCounts::default()
        };
        for tracked in self.tracked.values() {
            let pending = tracked.pending_attempts > 0;
            counts.placed += usize::from(tracked.placed && !tracked.finished);
            counts.attempts_pending += usize::from(pending && !tracked.placed);
            counts.deferred += usize::from(!pending && tracked.awaits_answer());
        }
        counts
    }

    /// The number of entries in all state, also the scheduler's: it must not grow without end.
    pub fn state_size(&self) -> usize {
        let waiting = self.deferred.len() + self.retries.len() + self.run_queue.entries();
        let scheduler: usize = self.scheduler.state_sizes().iter().sum();
        self.tracked.len() + self.by_name.len() + waiting + scheduler
    }
}
