//! Machines, and our allocations on them.

use super::NEVER;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// An allocation of ours on a machine, from its dispatch until the machine has reported its end.
pub struct PlacedAllocation {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its service class.
    pub service_class: ServiceClassId,
    /// The tenant who requested it.
    pub tenant: TenantId,
    /// What was requested.
    pub requested: Resources,
    /// When it was dispatched.
    pub sent_at: Ticks,
    /// The machine has accepted it.
    pub placed: bool,
    /// It runs.
    pub running: bool,
    /// Whether the machine was expected to have the program cached when it was dispatched.
    pub program_was_cached: bool,
    /// It was told to move.
    pub moving: bool,
    /// What it uses, once a metric has told it.
    pub current_usage: Option<Resources>,
    /// The most that it has used so far.
    pub peak_usage: Resources,
    /// Reported uses of cores, for the percentile.
    pub core_usage_samples: Vec<f64>,
}

impl PlacedAllocation {
    /// An allocation just dispatched.
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

    /// Records what it uses now. A resource not reported yet is taken to be used as `usual`, a
    /// share of what was requested.
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
    /// When it was reported.
    pub at: Ticks,
    /// Usage without that of our own allocations.
    pub usage: Resources,
}

/// A machine refused an allocation: one that requests as much or more is not offered until then.
#[derive(Clone, Copy)]
pub struct Rejection {
    /// The end of the refusal.
    pub until: Ticks,
    /// The least request that it covers.
    pub requested: Resources,
}

/// Capacity kept free for one allocation.
#[derive(Clone, Copy)]
pub struct Reservation {
    /// The end of the reservation.
    pub until: Ticks,
    /// The allocation that it is kept for.
    pub allocation: AllocationId,
}

/// What is known of a machine.
#[derive(Default)]
pub struct Machine {
    /// Its line of the endpoint list; none while only an outcome or a metric has named it.
    pub endpoint: Option<Endpoint>,
    /// Usage by other schedulers' allocations, as last reported.
    pub reported_usage: Option<ReportedUsage>,
    /// What all schedulers' allocations request there, by the endpoint list.
    pub listed_requested: Option<Resources>,
    /// Our allocations there.
    pub allocations: BTreeMap<AllocationId, PlacedAllocation>,
    /// Services whose program it should still have cached, the last one last.
    pub cached_programs: VecDeque<ServiceId>,
    /// When we dispatched to it within the last slow-start window.
    pub recent_dispatches: VecDeque<Ticks>,
    /// Attempts in a row that it left unanswered.
    pub consecutive_timeouts: u32,
    /// Nothing is dispatched to it before.
    pub ejected_until: Ticks,
    /// The last allocation that it answered with an error, until it is known whose fault that was.
    pub unconfirmed_error: Option<AllocationId>,
    /// Its last refusal.
    pub rejection: Option<Rejection>,
    /// Capacity kept for an allocation that fits nowhere.
    pub reservation: Option<Reservation>,
    /// When its last health check was sent.
    pub last_health_check: Ticks,
    /// When it last answered, or when we first had an allocation there.
    pub last_heard_at: Ticks,
}

impl Machine {
    /// Whether the list says that it takes allocations.
    pub fn is_serving(&self) -> bool {
        self.endpoint
            .is_some_and(|endpoint| endpoint.state == MachineState::Serving)
    }

    /// Whether the list says that it is draining.
    pub fn is_draining(&self) -> bool {
        self.endpoint
            .is_some_and(|endpoint| endpoint.state == MachineState::Draining)
    }

    /// It was left out of a complete list.
    pub fn mark_removed(&mut self) {
        if let Some(endpoint) = self.endpoint.as_mut() {
            endpoint.state = MachineState::Removed;
        }
    }

    /// Another process runs under the same id: only our own allocations and dispatches still count.
    pub fn reset_after_restart(&mut self) {
        let former = std::mem::take(self);
        *self = Machine {
            allocations: former.allocations,
            recent_dispatches: former.recent_dispatches,
            ..Machine::default()
        };
    }

    /// From when on fewer than `quota` of our dispatches lie within `window`, if none is added; 0
    /// if that is so already.
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

    /// Counts one more fault in a row and ejects the machine for `time`, doubled with each up to
    /// `max_doublings`.
    pub fn record_fault(&mut self, now: Ticks, ejection_time: Ticks, max_doublings: u32) {
        let doublings = self.consecutive_timeouts.min(max_doublings);
        self.ejected_until = now + (ejection_time << doublings);
        self.consecutive_timeouts += 1;
    }

    /// The service's program is the one cached last, of `max_programs` at most.
    pub fn cache_program(&mut self, service: ServiceId, max_programs: usize) {
        self.cached_programs.retain(|&other| other != service);
        self.cached_programs.push_back(service);
        if self.cached_programs.len() > max_programs {
            self.cached_programs.pop_front();
        }
    }

    /// Whether it should have the service's program, in use or cached.
    pub fn has_program(&self, service: ServiceId) -> bool {
        let in_use = |placed: &PlacedAllocation| placed.service == service;
        self.cached_programs.contains(&service) || self.allocations.values().any(in_use)
    }
}
