//! What a node's process holds in memory: gone when the process dies.

use super::{Node, SlowStart};
use corkspan_api::v1;
use corkspan_scheduler::interface::Resources;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Load reports are so old, unless a fault delays them further.
const REPORT_AGE: Duration = Duration::from_millis(200);
/// Load reports that are kept until they are old enough.
const MAX_REPORTS: usize = 4096;

/// An allocation that was accepted.
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

/// What an offer requests.
pub(super) fn requested(request: &v1::AttemptRequest) -> Resources {
    Resources {
        cores: request.cores,
        memory: request.memory,
    }
}

/// Load reports are older than usual until then.
pub(super) struct ReportDelay {
    pub until: Instant,
    pub by: Duration,
}

#[derive(Default)]
pub(super) struct State {
    /// Counts the starts of the process: what belongs to an earlier one is gone.
    pub incarnation: u64,
    pub is_up: bool,
    pub is_draining: bool,
    /// When the process started; none where the node counts as warm.
    pub started_at: Option<Instant>,
    pub stalled_until: Option<Instant>,
    pub muted_until: Option<Instant>,
    pub report_delay: Option<ReportDelay>,
    /// By placing.
    pub allocations: BTreeMap<String, PlacedAllocation>,
    /// By service, the oldest first.
    pub cached_programs: VecDeque<String>,
    /// When the offers of the last window arrived.
    pub recent_offers: VecDeque<Instant>,
    /// Offers that wait for review.
    pub queued: usize,
    pub load_reports: VecDeque<(Instant, v1::LoadReport)>,
}

impl State {
    /// What the accepted allocations requested.
    pub fn requested(&self) -> Resources {
        self.allocations
            .values()
            .map(PlacedAllocation::requested)
            .sum()
    }

    /// What the running allocations use.
    pub fn used(&self) -> Resources {
        self.allocations
            .values()
            .filter(|allocation| allocation.is_running)
            .map(|allocation| allocation.used)
            .sum()
    }

    /// Counts an offer. True where the process crashes of too many during its slow start.
    pub fn count_offer(&mut self, now: Instant, slow_start: &SlowStart) -> bool {
        self.recent_offers.push_back(now);
        while self
            .recent_offers
            .front()
            .is_some_and(|&at| at + slow_start.window <= now)
        {
            self.recent_offers.pop_front();
        }
        let is_warming_up = self
            .started_at
            .is_some_and(|at| now < at + slow_start.duration);
        is_warming_up && self.recent_offers.len() > slow_start.max_offers
    }

    /// AttemptOutcome fast the node works, from its initial rate to 1.
    pub fn rate(&self, slow_start: &SlowStart) -> f64 {
        let warm = self.started_at.map_or(1.0, |at| {
            at.elapsed().div_duration_f64(slow_start.duration).min(1.0)
        });
        slow_start.initial_rate + (1.0 - slow_start.initial_rate) * warm
    }
}

impl Node {
    /// What is not in use, as of a little while ago, and longer where reports are delayed.
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
            .map_or(REPORT_AGE, |delay| REPORT_AGE + delay.by);
        while state.load_reports.len() > 2 && state.load_reports[1].0 + age <= now {
            state.load_reports.pop_front();
        }
        state.load_reports.truncate(MAX_REPORTS);
        state.load_reports[0].1
    }
}
