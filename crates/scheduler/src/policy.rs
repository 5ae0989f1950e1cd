//! Every decision of corkspan: PrV-WorstFit of docs/design.md and the guards around it.
//!
//! Called by one dispatcher with the types of `interface`. Three calls ask: [`Scheduler::place`]
//! where to dispatch an allocation, [`Scheduler::on_outcome`] what follows from the outcome of an
//! attempt, [`Scheduler::poll`] how long to wait and what to set going meanwhile. The others only
//! report facts. The caller keeps the allocations and the timers, and decides nothing.

use crate::Scheduler;
use crate::interface::*;
use crate::state::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

mod filters;
mod infeasible;
mod liveness;
mod migration;
mod outcomes;
mod overload;
mod placement;
mod summary;

const SECOND: Ticks = 10_000;
/// Usage records kept of a service: enough to draw from, few enough to forget a changed usage.
pub(crate) const MAX_RECORDS_PER_SERVICE: usize = 48;
/// Percentile of the uses of cores that a usage record holds.
pub(crate) const CORE_PERCENTILE: usize = 90;
/// Services of which usage records, and groups of which infeasible requests are kept.
pub(crate) const MAX_SERVICES: usize = 1_024;
/// From this long after its dispatch an allocation is taken to be in load reports and in the list.
pub(crate) const REPORT_DELAY: Ticks = SECOND * 3 / 2;
/// Programs that a machine is taken to keep cached after our last allocation of the service there.
pub(crate) const MAX_CACHED_PROGRAMS: usize = 10;
/// Weight that a learned mean keeps with each new value.
pub(crate) const MEAN_RETENTION: f64 = 0.95;
/// Time between two summaries of all machines, and between two searches for allocations to move.
const SUMMARY_INTERVAL: Ticks = SECOND / 4;
/// Least time between two evaluations of a deferred allocation.
const RETRY_INTERVAL: Ticks = SECOND / 20;
/// Time left before the deadline, so that the answer itself is not late.
const ANSWER_MARGIN: Ticks = 40;
/// Time in which capacity comes and goes: how long a refusal and a reservation stand, and how long
/// a machine may be silent before a health check.
const CAPACITY_TURNOVER: Ticks = 2 * SECOND;
/// A machine is ejected for this time after a fault, doubled with each further one in a row.
const EJECTION_TIME: Ticks = SECOND;
/// The ejection time is doubled so many times at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

impl Scheduler {
    /// New settings are in force, for the same machine types and zones. What was learned stays, and
    /// so do the ids of service classes and tenants that allocations have.
    pub fn reconfigure(&mut self, now: Ticks, cluster: Cluster) {
        // Dispatches older than the former slow-start window are forgotten: as after a restart, a
        // longer one is waited for first. With more or fewer schedulers the others' quotas change
        // too, and not at one moment.
        let others = cluster.scheduler_count != self.cluster.scheduler_count
            || cluster.scheduler_index != self.cluster.scheduler_index;
        if others || cluster.slow_start.window > self.cluster.slow_start.window {
            self.started_at = now;
        }
        self.cluster = cluster;
        self.summary.computed_at = None;
        self.capacity_index.invalidate();
        self.retry_schedule.next_round_at = Some(now);
    }

    /// How long to wait until the next call, and what to set going meanwhile.
    pub fn poll(&mut self, now: Ticks) -> PollResult {
        let mut result = PollResult {
            next_poll: SECOND,
            ..PollResult::default()
        };
        result.watch_endpoints = self.watch_retry_at.take_if(|at| *at <= now).is_some();
        if self.retry_schedule.is_due(now) {
            self.schedule_retries(now, &mut result);
        }
        let due = [self.watch_retry_at, self.retry_schedule.next_at()];
        if let Some(at) = due.into_iter().flatten().min() {
            result.next_poll = result.next_poll.min(at.saturating_sub(now));
        }
        if self.cluster.health_checks && self.health_check_budget >= 1.0 {
            result.health_checks = self.health_checks(now);
        }
        if self.next_sweep_at <= now {
            self.next_sweep_at = now + SUMMARY_INTERVAL;
            self.forget_gone_machines();
            result.migrations = self.migrations(now);
            result.lost = self.lost_allocations(now, &mut result.health_checks);
        }
        result.next_poll = result.next_poll.min(self.next_sweep_at - now);
        result
    }

    /// Which deferred allocations are worth another evaluation.
    fn schedule_retries(&mut self, now: Ticks, result: &mut PollResult) {
        let changed = self.retry_schedule.exhaustive || self.retry_worthwhile(now);
        if changed {
            let changes = self.capacity_index.changes();
            self.retry_schedule.begin_round(changes);
        }
        // Else those at their deadline, at the moments at which a round would have been.
        result.retry_deadline_limit = (!changed).then_some(now + ANSWER_MARGIN);
        result.retry_deferred =
            changed || self.retry_schedule.skip_round(now, now + RETRY_INTERVAL);
    }
}
