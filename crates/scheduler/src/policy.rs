//! The scheduling policy: PrV-WorstFit as described in docs/design.md, and the safeguards around
//! it.
//!
//! A dispatcher calls three decision methods: [`Scheduler::place`] chooses the machine for an
//! allocation, [`Scheduler::on_outcome`] decides what follows the outcome of an attempt, and
//! [`Scheduler::poll`] returns the time until the next call and the work to start before it. The
//! other methods only report facts. The caller keeps the allocations and the timers and makes no
//! decisions.

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
/// Usage records kept for each service: enough to draw from, but few enough that records from
/// before a change in usage are soon dropped.
pub(crate) const MAX_RECORDS_PER_SERVICE: usize = 48;
/// Percentile of the core usage samples that goes into a usage record.
pub(crate) const CORE_PERCENTILE: usize = 90;
/// Maximum number of services with usage records, and of allocation groups with a recorded
/// infeasible request.
pub(crate) const MAX_SERVICES: usize = 1_024;
/// Time after its dispatch from which an allocation is assumed to be included in load reports and
/// in the endpoint list.
pub(crate) const REPORT_DELAY: Ticks = SECOND * 3 / 2;
/// Number of programs that a machine is assumed to keep cached after our last allocation of their
/// service there has ended.
pub(crate) const MAX_CACHED_PROGRAMS: usize = 10;
/// Factor by which the weight of earlier values in a learned mean is multiplied with each new
/// value.
pub(crate) const MEAN_RETENTION: f64 = 0.95;
/// Time between two summaries of all machines, and between two searches for allocations to migrate.
const SUMMARY_INTERVAL: Ticks = SECOND / 4;
/// Minimum time between two evaluations of a deferred allocation.
const RETRY_INTERVAL: Ticks = SECOND / 20;
/// Time reserved before the deadline so that the answer itself arrives in time.
const ANSWER_MARGIN: Ticks = 40;
/// Time scale on which available capacity changes: how long a rejection and a reservation remain
/// valid, and how long a load report remains of use.
const CAPACITY_TURNOVER: Ticks = 2 * SECOND;
/// Time for which a machine is ejected after a fault; doubled with each further consecutive fault.
const EJECTION_TIME: Ticks = SECOND;
/// Maximum number of times that the ejection time is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

impl Scheduler {
    /// Applies new settings for the same machine types and zones. Learned statistics are kept, and
    /// the service class and tenant ids of existing allocations stay valid.
    pub fn reconfigure(&mut self, now: Ticks, cluster: Cluster) {
        // Dispatches older than the previous slow-start window are no longer known, so a longer
        // window must pass once before attempts are sent, as after a restart. The same applies when
        // the number of schedulers changes: the other schedulers' quotas change too, and not all at
        // the same moment.
        let quotas_change = cluster.scheduler_count != self.cluster.scheduler_count
            || cluster.scheduler_index != self.cluster.scheduler_index;
        if quotas_change || cluster.slow_start.window > self.cluster.slow_start.window {
            self.started_at = now;
        }
        self.cluster = cluster;
        self.summary.computed_at = None;
        self.capacity_index.invalidate();
        self.retry_schedule.next_round_at = Some(now);
    }

    /// Returns the time until the next call and the work that the caller must start before it.
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
            self.forget_removed_machines();
            result.migrations = self.migrations(now);
        }
        result.next_poll = result.next_poll.min(self.next_sweep_at - now);
        if !self.cluster.caller_detects_losses {
            if self.next_silence_check_at <= now {
                self.check_silent_machines(now, &mut result);
            }
            let next_check = self.next_silence_check_at - now;
            result.next_poll = result.next_poll.min(next_check);
        }
        result
    }

    /// Sets in `result` which deferred allocations are to be evaluated again.
    fn schedule_retries(&mut self, now: Ticks, result: &mut PollResult) {
        let changed = self.retry_schedule.exhaustive || self.retry_worthwhile(now);
        if changed {
            let changes = self.capacity_index.changes();
            self.retry_schedule.begin_round(changes);
        }
        // If nothing has changed, only allocations at their deadline are evaluated, at the times at
        // which a round would have been due.
        result.retry_deadline_limit = (!changed).then_some(now + ANSWER_MARGIN);
        result.retry_deferred =
            changed || self.retry_schedule.skip_round(now, now + RETRY_INTERVAL);
    }
}
