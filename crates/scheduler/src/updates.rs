//! Records reports in the state and looks them up. This module makes no decisions; its constants
//! are defined in `policy`.

use crate::Scheduler;
use crate::interface::*;
use crate::policy::{
    CORE_PERCENTILE, MAX_CACHED_PROGRAMS, MAX_RECORDS_PER_SERVICE, MAX_SERVICES, MEAN_RETENTION,
    REPORT_DELAY,
};
use crate::state::*;

impl Scheduler {
    /// Records that the process sends attempts from now on. Until now a former process may have sent
    /// some, which count toward the slow start of machines that were starting.
    pub fn record_start(&mut self, now: Ticks) {
        self.started_at = now;
    }

    /// Applies an update of the endpoint list.
    pub fn apply_endpoint_list(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        if update == ListUpdate::Complete {
            self.machines.values_mut().for_each(Machine::mark_removed);
        }
        if update != ListUpdate::Cached {
            self.watch_failures = 0;
        }
        for &endpoint in endpoints {
            let machine = self.machines.entry(endpoint.machine).or_default();
            // The location of a machine affects the spread of every machine in the same domain.
            let identity = |endpoint: Endpoint| (endpoint.cell, endpoint.zone, endpoint.started_at);
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

    /// Adopts an allocation that already runs on the machine.
    pub fn adopt_running(&mut self, now: Ticks, allocation: &Allocation, machine: MachineId) {
        self.add_placed(now, allocation, machine);
        if let Some(placed) = self.placed_allocation(allocation.id) {
            (placed.placed, placed.running) = (true, true);
            placed.sent_at = now.saturating_sub(REPORT_DELAY);
        }
    }

    /// Records that an attempt dispatched earlier has been sent only now. It counts toward the
    /// machine's slow start in the current window instead of the one of its dispatch.
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

    /// Records a metric of a placed allocation.
    pub fn record_metric(&mut self, now: Ticks, id: AllocationId, metric: Metric) {
        let usual = self.learned.peak_usage.mean_or_one();
        let machine = self.machine_of.get(&id);
        let Some(machine) = machine.and_then(|machine_id| self.machines.get_mut(machine_id)) else {
            return;
        };
        machine.reachability = Reachability::heard_at(now);
        let Some(placed) = machine.allocations.get_mut(&id) else {
            return;
        };
        placed.record_metric(metric, usual);
        let current = &mut self.learned.current_usage;
        match metric {
            Metric::Running if !placed.running => {
                placed.running = true;
                let start_time = (now - placed.sent_at) as f64;
                let cached = usize::from(placed.program_was_cached);
                self.learned.start_time[cached].add(start_time, MEAN_RETENTION);
                // The capacity required by every start has changed.
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

    /// Records the usage by other schedulers' allocations according to a machine's load report.
    pub(crate) fn record_report(&mut self, now: Ticks, id: MachineId, report: Option<LoadReport>) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let Some((size, report)) = self.size(machine).zip(report) else {
            return;
        };
        // An allocation too recent to be included in the report must not be subtracted from it.
        let reported_own = machine
            .allocations
            .values()
            .filter(|placed| placed.running && placed.sent_at + REPORT_DELAY <= now);
        let own_usage = reported_own.map(|placed| self.usage_of(placed)).sum();
        let usage = (size - report.available - own_usage).max(Resources::default());
        self.machines.entry(id).or_default().reported_usage =
            Some(ReportedUsage { at: now, usage });
    }

    /// Adds an allocation that has been dispatched to the machine or already runs there.
    pub(crate) fn add_placed(&mut self, now: Ticks, allocation: &Allocation, id: MachineId) {
        self.machine_of.insert(allocation.id, id);
        let machine = self.machines.entry(id).or_default();
        let cached = machine.has_program(allocation.service);
        if machine.allocations.is_empty() {
            machine.reachability = Reachability::heard_at(now);
        }
        let placed = PlacedAllocation::new(allocation, now, cached);
        machine.allocations.insert(allocation.id, placed);
        let reservation = &mut machine.reservation;
        let used_reservation =
            reservation.take_if(|reservation| reservation.allocation == allocation.id);
        self.service_placements.add(allocation.service, id);
        self.capacity_index
            .mark_changed(id, used_reservation.is_some());
    }

    /// Removes an allocation whose machine has reported its end. If it completed, a usage record is
    /// kept.
    pub(crate) fn remove_placed(&mut self, now: Ticks, id: AllocationId, completed: bool) {
        let Some(machine_id) = self.machine_of.remove(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&machine_id) else {
            return;
        };
        let Some(placed) = machine.allocations.remove(&id) else {
            return;
        };
        let service = placed.service;
        if placed.running {
            machine.cache_program(service, MAX_CACHED_PROGRAMS);
        }
        self.service_placements.remove(service, machine_id);
        self.capacity_index.mark_changed(machine_id, false);
        // Its service may have one more replica, and lower peaks may be drawn for its allocations.
        self.capacity_index
            .reconsider(|group| group.service == service);
        for (id, _) in self.service_placements.machines_of(service) {
            self.capacity_index.mark_changed(id, false);
        }
        if completed {
            self.record_usage(now, placed);
        }
    }

    fn record_usage(&mut self, now: Ticks, placed: PlacedAllocation) {
        let mut samples = placed.core_usage_samples;
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

    /// Forgets removed machines that hold none of our allocations. Otherwise the state would grow
    /// without bound in clusters that constantly replace machines.
    pub(crate) fn forget_removed_machines(&mut self) {
        let listed = |machine: &Machine| {
            machine
                .endpoint
                .is_some_and(|endpoint| endpoint.state != MachineState::Removed)
        };
        let before = self.machines.len();
        self.machines
            .retain(|_, machine| listed(machine) || !machine.allocations.is_empty());
        let machines = &self.machines;
        let needed = &mut self.summary.needed_machines;
        needed.retain(|id| machines.contains_key(id));
        if self.machines.len() < before {
            self.capacity_index.invalidate();
        }
    }

    /// Returns the last reservation and its machine, if it hasn't been used or cleared.
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

    pub(crate) fn domain_of(&self, domain: Domain, id: MachineId) -> Option<u64> {
        let endpoint = self.machines.get(&id)?.endpoint?;
        Some(endpoint.domain(domain))
    }

    pub(crate) fn same_domain(&self, domain: Domain, a: MachineId, b: MachineId) -> bool {
        match (self.domain_of(domain, a), self.domain_of(domain, b)) {
            (Some(domain_a), Some(domain_b)) => domain_a == domain_b,
            _ => a == b,
        }
    }

    /// Records that no deferred allocation is left after those within
    /// [`PollResult::retry_deadline_limit`] were placed again.
    pub fn no_deferred_left(&mut self) {
        self.retry_schedule.next_round_at = None;
    }

    /// Returns the numbers of machines, of allocations, and of services with usage records in the
    /// state.
    pub fn state_sizes(&self) -> [usize; 3] {
        [
            self.machines.len(),
            self.machine_of.len(),
            self.usage_history.len(),
        ]
    }

    /// Returns the scheduler set to evaluate completely and in every round. Only tests use this, to
    /// compare with.
    pub fn evaluating_exhaustively(mut self) -> Self {
        self.retry_schedule.exhaustive = true;
        self
    }
}
