//! The state of machines and of our allocations on them.

use super::NEVER;
use super::reachability::Reachability;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// One of our allocations on a machine, from its dispatch until the machine has reported its end.
pub struct PlacedAllocation {
    /// The service to which it belongs.
    pub service: ServiceId,
    /// Its service class.
    pub service_class: ServiceClassId,
    /// The tenant that requested it.
    pub tenant: TenantId,
    /// The requested resources.
    pub requested: Resources,
    /// The time of its dispatch.
    pub sent_at: Ticks,
    /// Whether the machine has reported it as placed.
    pub placed: bool,
    /// Whether it runs.
    pub running: bool,
    /// Whether the machine was expected to have the program cached when it was dispatched.
    pub program_was_cached: bool,
    /// Whether its migration has been requested.
    pub moving: bool,
    /// Its current usage, once a metric has reported it.
    pub current_usage: Option<Resources>,
    /// Its highest usage so far, for each resource.
    pub peak_usage: Resources,
    /// The reported core usages, from which the percentile is computed.
    pub core_usage_samples: Vec<f64>,
}

impl PlacedAllocation {
    /// Returns the state of an allocation that has just been dispatched.
    pub fn new(allocation: &Allocation, sent_at: Ticks, program_was_cached: bool) -> Self {
        PlacedAllocation {
            service: allocation.service,
            service_class: allocation.service_class,
            tenant: allocation.tenant,
            requested: allocation.requested,
            sent_at,
            placed: false,
            running: false,
            program_was_cached,
            moving: false,
            current_usage: None,
            peak_usage: Resources::default(),
            core_usage_samples: Vec::new(),
        }
    }

    /// Records a usage metric. A resource that hasn't been reported yet is assumed to be used at
    /// the share `usual` of its request.
    pub fn record_metric(&mut self, metric: Metric, usual: Resources) {
        let current = self.current_usage.unwrap_or(self.requested * usual);
        match metric {
            Metric::Cores(cores) => {
                self.current_usage = Some(Resources { cores, ..current });
                self.peak_usage.cores = self.peak_usage.cores.max(cores);
                self.core_usage_samples.push(cores);
            }
            Metric::Memory(memory) => {
                self.current_usage = Some(Resources { memory, ..current });
                self.peak_usage.memory = self.peak_usage.memory.max(memory);
            }
            _ => {}
        }
    }
}

/// Usage by other schedulers' allocations, as last reported.
#[derive(Clone, Copy)]
pub struct ReportedUsage {
    /// The time of the report.
    pub at: Ticks,
    /// The usage without that of our own allocations.
    pub usage: Resources,
}

/// A machine's rejection of an allocation. Until it ends, allocations that request at least as much
/// are not dispatched to the machine.
#[derive(Clone, Copy)]
pub struct Rejection {
    /// The end of the rejection.
    pub until: Ticks,
    /// The smallest request that it covers.
    pub requested: Resources,
}

/// Capacity kept free for one allocation.
#[derive(Clone, Copy)]
pub struct Reservation {
    /// The end of the reservation.
    pub until: Ticks,
    /// The allocation for which it is kept.
    pub allocation: AllocationId,
}

/// The known state of a machine.
#[derive(Default)]
pub struct Machine {
    /// Its entry in the endpoint list; `None` while only an outcome or a metric has named it.
    pub endpoint: Option<Endpoint>,
    /// Usage by other schedulers' allocations, as last reported.
    pub reported_usage: Option<ReportedUsage>,
    /// The requests of all schedulers' allocations there, according to the endpoint list.
    pub listed_requested: Option<Resources>,
    /// Our allocations there.
    pub allocations: BTreeMap<AllocationId, PlacedAllocation>,
    /// Services whose programs it should still have cached, the most recent last.
    pub cached_programs: VecDeque<ServiceId>,
    /// The times of our dispatches to it within the last slow-start window.
    pub recent_dispatches: VecDeque<Ticks>,
    /// The number of consecutive faults, usually attempts that it left unanswered.
    pub consecutive_timeouts: u32,
    /// The time before which nothing is dispatched to it.
    pub ejected_until: Ticks,
    /// The last allocation that it answered with an error, until it is known whether the machine or
    /// the allocation was at fault.
    pub unconfirmed_error: Option<AllocationId>,
    /// Its last rejection.
    pub rejection: Option<Rejection>,
    /// Capacity reserved for an allocation that fits on no machine yet.
    pub reservation: Option<Reservation>,
    /// The time at which its last health check was sent.
    pub last_health_check: Ticks,
    /// Its last sign of life, and the connections that were opened to it since.
    pub reachability: Reachability,
}

impl Machine {
    /// Returns our allocations that it has reported as placed.
    pub fn placed_allocations(&self) -> impl Iterator<Item = AllocationId> {
        let placed = self.allocations.iter().filter(|(_, placed)| placed.placed);
        placed.map(|(&id, _)| id)
    }

    /// Returns whether it takes allocations, according to the endpoint list.
    pub fn is_serving(&self) -> bool {
        self.endpoint
            .is_some_and(|endpoint| endpoint.state == MachineState::Serving)
    }

    /// Returns whether it is draining, according to the endpoint list.
    pub fn is_draining(&self) -> bool {
        self.endpoint
            .is_some_and(|endpoint| endpoint.state == MachineState::Draining)
    }

    /// Marks the machine as removed, since a complete endpoint list doesn't contain it.
    pub fn mark_removed(&mut self) {
        if let Some(endpoint) = self.endpoint.as_mut() {
            endpoint.state = MachineState::Removed;
        }
    }

    /// Resets the state when another process runs under the same id. Only our allocations and
    /// dispatches are kept, and the time from which its silence counts.
    pub fn reset_after_restart(&mut self) {
        let former = std::mem::take(self);
        *self = Machine {
            allocations: former.allocations,
            recent_dispatches: former.recent_dispatches,
            reachability: Reachability::heard_at(former.reachability.last_heard_at()),
            ..Machine::default()
        };
    }

    /// Returns the time from which fewer than `quota` of our dispatches lie within `window` if none
    /// is added, or 0 if that is already the case.
    pub fn below_quota_at(&self, quota: usize, now: Ticks, window: Ticks) -> Ticks {
        let recent = self
            .recent_dispatches
            .iter()
            .filter(|&&at| at + window >= now);
        let excess = (recent.clone().count() + 1).saturating_sub(quota);
        match excess {
            0 => 0,
            _ if quota == 0 => NEVER,
            _ => recent
                .take(excess)
                .max()
                .map_or(NEVER, |at| at + window + 1),
        }
    }

    /// Counts another consecutive fault and ejects the machine for `ejection_time`, doubled for
    /// each earlier one up to `max_doublings` times.
    pub fn record_fault(&mut self, now: Ticks, ejection_time: Ticks, max_doublings: u32) {
        let doublings = self.consecutive_timeouts.min(max_doublings);
        self.ejected_until = now + (ejection_time << doublings);
        self.consecutive_timeouts += 1;
    }

    /// Records the service's program as the most recently cached one, keeping at most
    /// `max_programs`.
    pub fn cache_program(&mut self, service: ServiceId, max_programs: usize) {
        self.cached_programs.retain(|&other| other != service);
        self.cached_programs.push_back(service);
        if self.cached_programs.len() > max_programs {
            self.cached_programs.pop_front();
        }
    }

    /// Returns whether the machine should have the service's program, in use or cached.
    pub fn has_program(&self, service: ServiceId) -> bool {
        let in_use = |placed: &PlacedAllocation| placed.service == service;
        self.cached_programs.contains(&service) || self.allocations.values().any(in_use)
    }
}
