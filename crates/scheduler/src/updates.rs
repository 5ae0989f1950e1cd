//! Records what is reported, and looks it up. Nothing is decided here; the constants are those of
//! `policy`.

use crate::Scheduler;
use crate::interface::*;
use crate::policy::{
    CORE_PERCENTILE, MAX_CACHED_PROGRAMS, MAX_RECORDS_PER_SERVICE, MAX_SERVICES, MEAN_RETENTION,
    REPORT_DELAY,
};
use crate::state::*;

impl Scheduler {
    /// The endpoint list, or what has changed in it.
    pub fn apply_endpoint_list(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        if update == ListUpdate::Complete {
            self.machines.values_mut().for_each(Machine::mark_gone);
        }
        if update != ListUpdate::Cached {
            self.watch_failures = 0;
        }
        for &endpoint in endpoints {
            let machine = self.machines.entry(endpoint.machine).or_default();
            // Where it is counts for the spread of all machines there.
            let identity = |one: Endpoint| (one.cell, one.zone, one.started_at);
            if machine.endpoint.map(identity) != Some(identity(endpoint)) {
                self.capacity_index.invalidate();
            }
            self.capacity_index.mark_changed(endpoint.machine, false);
            let former = machine.endpoint;
            if former.is_some_and(|former| former.started_at != endpoint.started_at) {
                machine.reset_after_restart();
            }
            machine.endpoint = Some(endpoint);
            let size = self.cluster.machine_types.get(endpoint.machine_type.0);
            let listed = size.filter(|_| self.cluster.list_reports_capacity);
            machine.listed_requested = listed
                .zip(endpoint.unreserved)
                .map(|(&size, unreserved)| size - unreserved);
        }
    }

    /// An allocation that already runs has passed into our care.
    pub fn adopt_running(&mut self, now: Ticks, allocation: &Allocation, machine: MachineId) {
        self.add_placed(now, allocation, machine);
        if let Some(placed) = self.placed_allocation(allocation.id) {
            (placed.placed, placed.running) = (true, true);
            placed.sent_at = now.saturating_sub(REPORT_DELAY);
        }
    }

    /// An attempt dispatched earlier has left only now: it counts for the machine's slow start in
    /// this window, not in that one.
    pub fn record_attempt_sent(&mut self, now: Ticks, machine: MachineId, sent_at: Ticks) {
        let Some(machine) = self.machines.get_mut(&machine) else {
            return;
        };
        let dispatches = &mut machine.recent_dispatches;
        if let Some(at) = dispatches.iter().position(|&at| at == sent_at) {
            dispatches.remove(at);
            dispatches.push_back(now);
        }
    }

    /// A metric of a placed allocation has been reported.
    pub fn record_metric(&mut self, now: Ticks, id: AllocationId, metric: Metric) {
        let usual = self.learned.peak_usage.mean_or_one();
        let machine = self.machine_of.get(&id);
        let Some(machine) = machine.and_then(|at| self.machines.get_mut(at)) else {
            return;
        };
        machine.last_heard_at = now;
        let Some(placed) = machine.allocations.get_mut(&id) else {
            return;
        };
        placed.record_metric(metric, usual);
        let current = &mut self.learned.current_usage;
        match metric {
            Metric::Running if !placed.running => {
                placed.running = true;
                let time = (now - placed.sent_at) as f64;
                let cached = usize::from(placed.program_was_cached);
                self.learned.start_time[cached].add(time, MEAN_RETENTION);
                // The need of every start has changed.
                self.capacity_index.reconsider(|_| true);
            }
            Metric::Cores(cores) => current
                .cores
                .add(cores / placed.requested.cores, MEAN_RETENTION),
            Metric::Memory(memory) => {
                let share = memory / placed.requested.memory;
                current.memory.add(share, MEAN_RETENTION)
            }
            _ => {}
        }
    }

    pub(crate) fn record_report(&mut self, now: Ticks, id: MachineId, report: Option<LoadReport>) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let Some((size, report)) = self.size(machine).zip(report) else {
            return;
        };
        // One too young to be in the report would be taken off a sum that never held it.
        let old = machine
            .allocations
            .values()
            .filter(|placed| placed.running && placed.sent_at + REPORT_DELAY <= now);
        let own = old.map(|placed| self.usage_of(placed)).sum();
        let usage = (size - report.available - own).max(Resources::default());
        self.machines.entry(id).or_default().reported_usage =
            Some(ReportedUsage { at: now, usage });
    }

    pub(crate) fn add_placed(&mut self, now: Ticks, allocation: &Allocation, id: MachineId) {
        self.machine_of.insert(allocation.id, id);
        let machine = self.machines.entry(id).or_default();
        let cached = machine.has_program(allocation.service);
        if machine.allocations.is_empty() {
            machine.last_heard_at = now;
        }
        let placed = PlacedAllocation::new(allocation, now, cached);
        machine.allocations.insert(allocation.id, placed);
        let reservation = &mut machine.reservation;
        let used = reservation.take_if(|one| one.allocation == allocation.id);
        self.service_placements.add(allocation.service, id);
        self.capacity_index.mark_changed(id, used.is_some());
    }

    /// The machine has reported the end of an allocation. One that ended well leaves a record.
    pub(crate) fn remove_placed(&mut self, now: Ticks, id: AllocationId, ended: bool) {
        let Some(at) = self.machine_of.remove(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&at) else {
            return;
        };
        let Some(placed) = machine.allocations.remove(&id) else {
            return;
        };
        let service = placed.service;
        if placed.running {
            machine.cache_program(service, MAX_CACHED_PROGRAMS);
        }
        self.service_placements.remove(service, at);
        self.capacity_index.mark_changed(at, false);
        // Its service may have one replica more, and what is drawn for its likes may be less.
        self.capacity_index
            .reconsider(|group| group.service == service);
        for (id, _) in self.service_placements.machines_of(service) {
            self.capacity_index.mark_changed(id, false);
        }
        if ended {
            self.record_usage(now, placed);
        }
    }

    fn record_usage(&mut self, now: Ticks, placed: PlacedAllocation) {
        let mut samples = placed.core_samples;
        if samples.is_empty() || placed.peak_usage.memory <= 0.0 {
            return;
        }
        samples.sort_by(f64::total_cmp);
        let rank = (samples.len() * CORE_PERCENTILE).div_ceil(100);
        let cores = samples[rank - 1] / placed.requested.cores;
        let memory = placed.peak_usage.memory / placed.requested.memory;
        let peak_usage = &mut self.learned.peak_usage;
        peak_usage.cores.add(cores, MEAN_RETENTION);
        peak_usage.memory.add(memory, MEAN_RETENTION);
        let record = UsageRecord {
            peak: Resources { cores, memory },
            duration: now - placed.sent_at,
            ended_at: now,
        };
        let history = &mut self.usage_history;
        history.push(
            placed.service,
            record,
            MAX_RECORDS_PER_SERVICE,
            MAX_SERVICES,
        );
    }

    /// A machine that has gone and holds nothing of ours is forgotten: where machines are replaced
    /// all the time, the state would grow without end.
    pub(crate) fn forget_gone_machines(&mut self) {
        let listed = |machine: &Machine| {
            machine
                .endpoint
                .is_some_and(|endpoint| endpoint.state != MachineState::Removed)
        };
        let before = self.machines.len();
        self.machines
            .retain(|_, machine| listed(machine) || !machine.allocations.is_empty());
        let machines = &self.machines;
        let open = &mut self.summary.open_machines;
        open.retain(|id| machines.contains_key(id));
        if self.machines.len() < before {
            self.capacity_index.invalidate();
        }
    }

    /// The last reservation, if it still stands, and its machine.
    pub(crate) fn reservation(&self) -> Option<(MachineId, Reservation)> {
        let id = self.reserved_machine?;
        Some((id, self.machines.get(&id)?.reservation?))
    }

    pub(crate) fn placed_allocation(&mut self, id: AllocationId) -> Option<&mut PlacedAllocation> {
        let machine = self.machines.get_mut(self.machine_of.get(&id)?)?;
        machine.allocations.get_mut(&id)
    }

    pub(crate) fn size(&self, machine: &Machine) -> Option<Resources> {
        self.cluster
            .machine_types
            .get(machine.endpoint?.machine_type.0)
            .copied()
    }

    pub(crate) fn domain_of(&self, place: Domain, id: MachineId) -> Option<u64> {
        let endpoint = self.machines.get(&id)?.endpoint?;
        Some(endpoint.domain(place))
    }

    pub(crate) fn same_domain(&self, place: Domain, a: MachineId, b: MachineId) -> bool {
        match (self.domain_of(place, a), self.domain_of(place, b)) {
            (Some(one), Some(other)) => one == other,
            _ => a == b,
        }
    }

    /// After a time told by [`PollResult::retry_deadline_limit`]: no deferred allocation is left.
    pub fn no_deferred_left(&mut self) {
        self.retry_schedule.next_round_at = None;
    }

    /// How much is remembered: machines, allocations, and services with usage records.
    pub fn state_sizes(&self) -> [usize; 3] {
        [
            self.machines.len(),
            self.machine_of.len(),
            self.usage_history.len(),
        ]
    }

    /// Every evaluation is complete and every round comes. Only for tests to compare with.
    pub fn evaluating_exhaustively(mut self) -> Self {
        self.retry_schedule.exhaustive = true;
        self
    }
}
