//! The engine: the allocations of one scheduler instance, their names and their counts.

use crate::queues::RunQueue;
use crate::requests::Tracked;
use crate::{AdmissionError, AllocationCounts, AllocationRequest, RetryBatch};
use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A scheduler with its allocations. `T` is the caller's data for each allocation.
pub struct Engine<T> {
    pub(crate) scheduler: Scheduler,
    pub(crate) tracked: BTreeMap<AllocationId, Tracked<T>>,
    pub(crate) by_name: HashMap<String, AllocationId>,
    /// Deferred allocations, in the order in which they were deferred.
    pub(crate) deferred: Vec<AllocationId>,
    /// Deferred allocations by deadline: those that are due are evaluated again outside the
    /// batches.
    pub(crate) deferred_by_deadline: BTreeSet<(Ticks, AllocationId)>,
    /// Allocations to be evaluated again now, in batches.
    pub(crate) retries: VecDeque<AllocationId>,
    pub(crate) run_queue: RunQueue,
    pub(crate) batch: RetryBatch,
    /// Earliest time of the next batch.
    pub(crate) next_batch_at: Ticks,
    next_id: u64,
    max_tracked: usize,
    /// Time at which the earliest pending timer fires.
    pub(crate) timer_at: Option<Ticks>,
}

impl<T> Engine<T> {
    /// Creates an engine without allocations. It tracks at most `max_tracked` at a time; pass
    /// `usize::MAX` if the caller enforces another bound.
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

    /// Records that the process sends attempts from now on, and no former process does any more.
    pub fn record_start(&mut self, now: Ticks) {
        self.scheduler.record_start(now);
    }

    /// Applies new settings. Ids of service classes and tenants must keep their meaning.
    pub fn reconfigure(&mut self, now: Ticks, cluster: Cluster, max_tracked: usize) {
        self.scheduler.reconfigure(now, cluster);
        self.max_tracked = max_tracked;
    }

    /// Admits an allocation without placing it; call [`Engine::place`] next.
    ///
    /// # Errors
    /// Returns an error, with `data`, if the limit of allocations is reached or another allocation
    /// has this name.
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
            source: 0,
            allocation,
            pending_attempts: 0,
            placed: false,
            finished: false,
            evaluated: false,
        };
        self.tracked.insert(id, tracked);
        Ok(id)
    }

    /// Admits an allocation that already runs on a machine. Its client waits for no answer; it ends
    /// with its attempt.
    ///
    /// # Errors
    /// Returns the same errors as [`Engine::admit`].
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
            // The attempt that started it is recorded, although another process made it.
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

    /// Sets the source of an allocation. Allocations of different sources are evaluated in turn.
    pub fn set_source(&mut self, id: AllocationId, source: u64) {
        if let Some(tracked) = self.tracked.get_mut(&id) {
            tracked.source = source;
        }
    }

    /// Records a reported metric of a placed allocation.
    pub fn record_metric(&mut self, now: Ticks, id: AllocationId, metric: Metric) {
        self.scheduler.record_metric(now, id, metric);
    }

    /// Records the outcome of a health check.
    pub fn record_health_check(
        &mut self,
        now: Ticks,
        machine: MachineId,
        result: AttemptResult,
        report: Option<LoadReport>,
    ) {
        self.scheduler
            .record_health_check(now, machine, result, report);
    }

    /// Records that something has arrived from a machine, whatever it is about.
    pub fn record_heard(&mut self, now: Ticks, machine: MachineId) {
        self.scheduler.record_heard(now, machine);
    }

    /// Records whether a machine has answered a request for a connection.
    pub fn record_connection(&mut self, now: Ticks, machine: MachineId, result: ConnectionResult) {
        self.scheduler.record_connection(now, machine, result);
    }

    /// Applies the endpoint list, or the changes to it.
    pub fn apply_endpoint_list(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        self.scheduler.apply_endpoint_list(update, endpoints);
    }

    /// Records that the request for the endpoint list failed or the watch on it broke.
    pub fn endpoint_watch_failed(&mut self, now: Ticks) {
        self.scheduler.endpoint_watch_failed(now);
    }

    /// Ends an allocation: its client needs no answer any more, and no further attempt is sent. The
    /// allocation is removed once no attempt of it is pending.
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

    /// Returns the allocations whose client waits for an answer while an attempt is pending, each
    /// with that attempt's index.
    pub fn unanswered(&self) -> Vec<(AllocationId, usize)> {
        let tracked = self.tracked.iter();
        let unanswered =
            tracked.filter(|(_, tracked)| tracked.awaits_answer() && tracked.pending_attempts > 0);
        unanswered
            .map(|(&id, tracked)| (id, tracked.allocation.attempts.len() - 1))
            .collect()
    }

    /// Returns the allocation of this name.
    pub fn find(&self, name: &str) -> Option<AllocationId> {
        self.by_name.get(name).copied()
    }

    /// Exchanges the names of two allocations, so that each takes the other's place for its client.
    pub fn swap_names(&mut self, first: AllocationId, second: AllocationId) {
        if !self.tracked.contains_key(&first) {
            return;
        }
        let Some(second_name) = self
            .tracked
            .get(&second)
            .map(|tracked| tracked.name.clone())
        else {
            return;
        };
        let Some(tracked) = self.tracked.get_mut(&first) else {
            return;
        };
        let first_name = std::mem::replace(&mut tracked.name, second_name.clone());
        self.by_name.insert(second_name, first);
        self.by_name.insert(first_name.clone(), second);
        if let Some(tracked) = self.tracked.get_mut(&second) {
            tracked.name = first_name;
        }
    }

    /// Returns the caller's data for an allocation, and the allocation.
    pub fn data_mut(&mut self, id: AllocationId) -> Option<(&mut T, &Allocation)> {
        let tracked = self.tracked.get_mut(&id)?;
        Some((&mut tracked.data, &tracked.allocation))
    }

    /// Iterates over all allocations with the caller's data and whether they are placed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (AllocationId, &mut T, bool)> {
        let tracked = self.tracked.iter_mut();
        tracked.map(|(&id, tracked)| (id, &mut tracked.data, tracked.placed && !tracked.finished))
    }

    /// Iterates over the allocations that clients want and that are placed or have been sent to a
    /// machine, with the caller's data.
    pub fn dispatched(&self) -> impl Iterator<Item = (AllocationId, &T)> {
        let wanted = self.tracked.iter().filter(|(_, tracked)| !tracked.finished);
        let dispatched =
            wanted.filter(|(_, tracked)| tracked.placed || tracked.pending_attempts > 0);
        dispatched.map(|(&id, tracked)| (id, &tracked.data))
    }

    /// Counts the allocations of each service class that has any.
    pub fn count_by_class(&self) -> BTreeMap<ServiceClassId, usize> {
        let mut counts = BTreeMap::new();
        for tracked in self.tracked.values() {
            *counts.entry(tracked.allocation.service_class).or_default() += 1;
        }
        counts
    }

    /// Returns the number of allocations.
    pub fn tracked(&self) -> usize {
        self.tracked.len()
    }

    /// Counts the allocations by what they wait for.
    pub fn counts(&self) -> AllocationCounts {
        let mut counts = AllocationCounts {
            total: self.tracked.len(),
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

    /// Returns the number of entries in all state, including the scheduler's. It must stay bounded.
    pub fn state_size(&self) -> usize {
        let waiting = self.deferred.len() + self.retries.len() + self.run_queue.entries();
        let scheduler: usize = self.scheduler.state_sizes().iter().sum();
        self.tracked.len() + self.by_name.len() + waiting + scheduler
    }
}
