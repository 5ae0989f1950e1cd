//! The in-memory state of a node's process, lost when the process dies.

use super::{Node, SlowStart};
use corkspan_api::v1;
use corkspan_scheduler::interface::Resources;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// The age of load reports, unless a fault delays them further.
const REPORT_AGE: Duration = Duration::from_millis(200);
/// The maximum number of load reports kept until they reach the report age.
const MAX_REPORTS: usize = 4096;

/// An accepted allocation.
pub(super) struct PlacedAllocation {
    pub request: v1::AttemptRequest,
    pub used: Resources,
    pub is_running: bool,
    pub is_ready: bool,
    pub events: async_channel::Sender<v1::AttemptEvent>,
}

impl PlacedAllocation {
    pub fn requested(&self) -> Resources {
        requested(&self.request)
    }
}

/// Returns the resources that an offer requests.
pub(super) fn requested(request: &v1::AttemptRequest) -> Resources {
    Resources {
        cores: request.cores,
        memory: request.memory,
    }
}

/// A fault that delays load reports by `extra_age` until `until`.
pub(super) struct ReportDelay {
    pub until: Instant,
    pub extra_age: Duration,
}

#[derive(Default)]
pub(super) struct State {
    /// The number of starts of the process. Tasks of an earlier incarnation stop when they see a
    /// different number.
    pub incarnation: u64,
    pub is_up: bool,
    pub is_draining: bool,
    /// The start of the process; none if the node has no slow start.
    pub started_at: Option<Instant>,
    pub stalled_until: Option<Instant>,
    pub events_dropped_until: Option<Instant>,
    pub report_delay: Option<ReportDelay>,
    /// Allocations by placement id.
    pub allocations: BTreeMap<String, PlacedAllocation>,
    /// Services whose programs are cached, the oldest first.
    pub cached_programs: VecDeque<String>,
    /// The arrival times of the offers in the last window.
    pub recent_offers: VecDeque<Instant>,
    /// The number of offers that wait for review.
    pub queued: usize,
    pub load_reports: VecDeque<(Instant, v1::LoadReport)>,
}

impl State {
    /// Returns the sum of the accepted allocations' requests.
    pub fn requested(&self) -> Resources {
        self.allocations
            .values()
            .map(PlacedAllocation::requested)
            .sum()
    }

    /// Returns the resources that the running allocations use.
    pub fn used(&self) -> Resources {
        self.allocations
            .values()
            .filter(|allocation| allocation.is_running)
            .map(|allocation| allocation.used)
            .sum()
    }

    /// Counts an offer. Returns true if the process crashes because of too many offers during its
    /// slow start.
    pub fn count_offer(&mut self, now: Instant, slow_start: &SlowStart) -> bool {
        self.recent_offers.push_back(now);
        while self
            .recent_offers
            .front()
            .is_some_and(|&at| at + slow_start.window <= now)
        {
            self.recent_offers.pop_front();
        }
        let in_slow_start = self
            .started_at
            .is_some_and(|at| now < at + slow_start.duration);
        in_slow_start && self.recent_offers.len() > slow_start.max_offers
    }

    /// Returns the node's work rate, which grows from the initial rate to 1 during the slow start.
    pub fn rate(&self, slow_start: &SlowStart) -> f64 {
        let progress = self.started_at.map_or(1.0, |at| {
            at.elapsed().div_duration_f64(slow_start.duration).min(1.0)
        });
        slow_start.initial_rate + (1.0 - slow_start.initial_rate) * progress
    }
}

impl Node {
    /// Returns the unused resources as they were `REPORT_AGE` ago, or earlier while reports are
    /// delayed.
    pub(super) fn load_report(&self, state: &mut State) -> v1::LoadReport {
        let now = Instant::now();
        let free = self.config.capacity - state.used();
        let load = v1::LoadReport {
            cores: free.cores,
            memory: free.memory,
        };
        state.load_reports.push_back((now, load));
        let age = state
            .report_delay
            .as_ref()
            .filter(|delay| delay.until > now)
            .map_or(REPORT_AGE, |delay| REPORT_AGE + delay.extra_age);
        while state.load_reports.len() > 2 && state.load_reports[1].0 + age <= now {
            state.load_reports.pop_front();
        }
        state.load_reports.truncate(MAX_REPORTS);
        state.load_reports[0].1
    }
}
