//! An accepted allocation's way from its start to its end.

use super::events::EventSender;
use super::state::{PlacedAllocation, State, requested};
use super::{Node, VersionFault};
use async_io::Timer;
use corkspan_api::v1::attempt_ended::AttemptOutcome;
use corkspan_api::v1::{self, attempt_event::Event};
use corkspan_scheduler::interface::Resources;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Between two reports of an allocation's resource use.
const USE_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// What an allocation uses, as a share of what it requested.
const MEMORY_USE: Range<f64> = 0.55..0.9;
const CORES_USE: Range<f64> = 0.3..0.8;

impl Node {
    /// Ends an allocation that is here; does nothing for any other.
    pub(super) fn end(&self, state: &mut State, placement_id: &str, how: AttemptOutcome) {
        let Some(allocation) = state.allocations.remove(placement_id) else {
            return;
        };
        if allocation.is_ready {
            self.record_unready(&allocation.request, Some(how));
        }
        if let Some(key) = self.dedup_key(&allocation.request) {
            self.context.deduplicated().remove(&key);
        }
        if allocation.is_running {
            let service = allocation.request.service.clone();
            state.cached_programs.retain(|other| *other != service);
            state.cached_programs.push_back(service);
            if state.cached_programs.len() > self.config.max_cached_programs {
                state.cached_programs.pop_front();
            }
        }
        let ended = Event::Ended(v1::AttemptEnded {
            outcome: how.into(),
        });
        self.notify(state, &allocation.request, &allocation.events, ended);
        allocation.events.close();
    }

    /// Starts an accepted allocation, once fewer than the most start at a time.
    pub(super) async fn start(&self, incarnation: u64, request: &v1::AttemptRequest) {
        let _slot = self.starts.acquire().await;
        Timer::after(self.start_time(request)).await;
        if !self.wait_while_stalled(incarnation).await {
            return;
        }
        let mut state = self.state();
        if state.incarnation != incarnation {
            return;
        }
        let Some(allocation) = state.allocations.get_mut(&request.placement_id) else {
            return;
        };
        allocation.is_running = true;
        let events = allocation.events.clone();
        let version = request.version.clone();
        let running = Event::Running(v1::Started { version });
        self.notify(&mut state, request, &events, running);
    }

    /// AttemptOutcome long a start takes now.
    fn start_time(&self, request: &v1::AttemptRequest) -> Duration {
        let state = self.state();
        let runs_program = |allocation: &PlacedAllocation| {
            allocation.request.service == request.service && allocation.is_running
        };
        let has_program = state.cached_programs.contains(&request.service)
            || state.allocations.values().any(runs_program);
        let time = if has_program {
            self.config.start_time
        } else {
            self.config.start_time * self.config.load_factor
        };
        time.div_f64(state.rate(&self.config.slow_start))
    }

    /// Runs a started allocation to its end, with reports of its use; evicts where memory runs out.
    pub(super) async fn run(&self, incarnation: u64, request: v1::AttemptRequest) {
        let mut rng = Pcg64Mcg::seed_from_u64(
            self.config.seed ^ corkspan_engine::service_id(&request.placement_id).0,
        );
        let ends_at = Instant::now() + Duration::from_millis(request.expected_duration_ms.max(1));
        let fault = self.context.version_fault(&request.version);
        let mut fails_at = None;
        if fault != Some(VersionFault::NeverReady) {
            Timer::after(self.config.start_time / 2).await;
            if !self.become_ready(&request) {
                return;
            }
            if let Some(VersionFault::FailsAfter(time)) = fault {
                fails_at = Some(Instant::now() + time);
            }
        }
        loop {
            Timer::at(ends_at.min(Instant::now() + USE_REPORT_INTERVAL)).await;
            if !self.wait_while_stalled(incarnation).await {
                return;
            }
            let mut state = self.state();
            if state.incarnation != incarnation
                || !state.allocations.contains_key(&request.placement_id)
            {
                return;
            }
            if fails_at.is_some_and(|at| Instant::now() >= at) {
                return self.end(&mut state, &request.placement_id, AttemptOutcome::Error);
            }
            if Instant::now() >= ends_at {
                return self.end(&mut state, &request.placement_id, AttemptOutcome::Ended);
            }
            if let Some(events) = self.report_use(&mut state, &request, &mut rng) {
                self.report_overload(&mut state, &request, &events);
            }
        }
    }

    /// A running allocation becomes ready; false where it does not run.
    fn become_ready(&self, request: &v1::AttemptRequest) -> bool {
        let mut state = self.state();
        let Some(allocation) = state
            .allocations
            .get_mut(&request.placement_id)
            .filter(|allocation| allocation.is_running)
        else {
            return false;
        };
        allocation.is_ready = true;
        let events = allocation.events.clone();
        self.record_ready(request);
        self.notify(&mut state, request, &events, Event::Ready(true));
        true
    }

    /// Draws what an allocation uses now, and reports it.
    fn report_use(
        &self,
        state: &mut State,
        request: &v1::AttemptRequest,
        rng: &mut Pcg64Mcg,
    ) -> Option<EventSender> {
        let allocation = state.allocations.get_mut(&request.placement_id)?;
        let requested = requested(request);
        let memory = rng.random_range(MEMORY_USE) * requested.memory;
        let cores = rng.random_range(CORES_USE) * requested.cores;
        let memory = allocation.used.memory.max(memory);
        allocation.used = Resources { cores, memory };
        let events = allocation.events.clone();
        let said = Event::Usage(v1::Usage { cores, memory });
        self.notify(state, request, &events, said);
        Some(events)
    }

    /// Where all use more than there is: reports the share of cores that this one gets, and evicts
    /// the lowest priority where memory runs out.
    fn report_overload(
        &self,
        state: &mut State,
        request: &v1::AttemptRequest,
        events: &EventSender,
    ) {
        let (used, capacity) = (state.used(), self.config.capacity);
        if used.cores > capacity.cores {
            let share = capacity.cores / used.cores;
            self.notify(state, request, events, Event::ServiceLevel(share));
        }
        if used.memory > capacity.memory {
            let running = state.allocations.iter().filter(|(_, own)| own.is_running);
            let lowest = running
                .min_by_key(|(_, allocation)| allocation.request.priority)
                .map(|(placement_id, _)| placement_id.clone());
            if let Some(placement_id) = lowest {
                self.end(state, &placement_id, AttemptOutcome::Evicted);
            }
        }
    }
}
