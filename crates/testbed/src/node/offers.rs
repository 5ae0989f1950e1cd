//! An offer's way from its arrival to its acceptance or rejection.

use super::Node;
use super::context::DedupKey;
use super::events::EventSender;
use super::state::{PlacedAllocation, State, requested};
use crate::capture::{NodeState, Observation};
use async_io::Timer;
use corkspan_api::v1::attempt_ended::AttemptOutcome;
use corkspan_api::v1::{self, attempt_event::Event, attempt_rejected::Rejection};
use corkspan_dispatcher::minimum_version;
use corkspan_scheduler::interface::Resources;
use corkspan_version_fencing::FenceDecision;
use corkspan_version_fencing::operations::{OperationKind, OperationSource};
use std::sync::Arc;
use std::time::Instant;

/// The share of what is requested that an allocation uses before its first report.
const INITIAL_USE: Resources = Resources {
    cores: 0.5,
    memory: 0.7,
};

/// Who sent an attempt.
pub(super) fn sender(request: &v1::AttemptRequest) -> OperationSource {
    source(request.decider.as_ref(), request.dispatcher)
}

/// Who acts. One that reports nothing counts as one by its own file, in no incarnation that is
/// known.
pub(super) fn source(by: Option<&v1::Decider>, dispatcher: u32) -> OperationSource {
    let version = by
        .and_then(|by| by.version.as_ref())
        .map_or(0, |stamp| stamp.number);
    let (incarnation, dispatcher) =
        by.map_or((0, dispatcher), |by| (by.incarnation, by.dispatcher));
    OperationSource {
        dispatcher,
        incarnation,
        version,
    }
}

impl Node {
    /// Counts an offer that has arrived. Returns the incarnation that reviews it; none where the
    /// process is down, or crashes of too many. Called as its call is served, not in a task of its
    /// own: an offer recorded by a process after its death would look open for good.
    pub(super) fn receive_offer(self: &Arc<Self>, request: &v1::AttemptRequest) -> Option<u64> {
        self.operations()
            .record(sender(request), OperationKind::Attempt);
        self.context.capture.record(Observation::Offered {
            node: self.config.id,
            placement_id: request.placement_id.clone(),
            number: request.attempt,
            dispatcher: request.dispatcher,
            service: request.service.clone(),
            task: request.task.clone(),
            version: request.version.clone(),
            decided: sender(request).version,
        });
        self.learn_minimum_version(request);
        let mut state = self.state();
        if state.count_offer(Instant::now(), &self.config.slow_start) {
            drop(state);
            let node = Arc::clone(self);
            // Not from within its own server.
            self.context
                .tasks
                .spawn(async move { node.kill(NodeState::Crashed) })
                .detach();
            return None;
        }
        state.is_up.then_some(state.incarnation)
    }

    /// Stores the minimum version that an offer brings, if it is news.
    fn learn_minimum_version(&self, request: &v1::AttemptRequest) {
        let Some(minimum) = request
            .minimum_version
            .as_ref()
            .map(minimum_version::minimum_version_from_message)
        else {
            return;
        };
        let mut fence = self.fence();
        if fence.should_store(minimum) {
            fence.apply_stored(minimum);
            self.context
                .capture
                .record(Observation::MinimumVersionStored {
                    node: self.config.id,
                    lowest: minimum.version,
                });
        }
    }

    /// Waits while the process is stalled. Whether this incarnation still runs.
    pub(super) async fn wait_while_stalled(&self, incarnation: u64) -> bool {
        loop {
            let (is_alive, until) = {
                let state = self.state();
                (
                    state.is_up && state.incarnation == incarnation,
                    state.stalled_until,
                )
            };
            match until.filter(|until| *until > Instant::now()) {
                Some(until) if is_alive => {
                    Timer::at(until).await;
                }
                _ => return is_alive,
            }
        }
    }

    /// Reviews an offer when its turn has come, and runs what it accepts to its end.
    pub(super) async fn review_offer(
        self: Arc<Self>,
        incarnation: u64,
        request: v1::AttemptRequest,
        events: EventSender,
    ) {
        {
            let mut state = self.state();
            if !state.is_up || state.incarnation != incarnation {
                return;
            }
            if state.queued >= self.config.max_queued {
                return self.reject(&mut state, &request, &events, Rejection::QueueFull);
            }
            state.queued += 1;
        }
        let reviewed = async {
            let _turn = self.review.lock().await;
            // An offer that its dispatcher has dropped while it waited costs no review: a node that
            // spent its time on such would be late for all others too.
            if !events.is_closed() {
                Timer::after(self.config.review_time).await;
            }
            self.wait_while_stalled(incarnation).await
        };
        let is_alive = reviewed.await;
        if is_alive && self.decide(incarnation, &request, &events) {
            self.start(incarnation, &request).await;
            self.run(incarnation, request).await;
        }
    }

    /// Accepts an offer that has been reviewed, or rejects it.
    fn decide(&self, incarnation: u64, request: &v1::AttemptRequest, events: &EventSender) -> bool {
        let mut state = self.state();
        if state.incarnation != incarnation {
            return false;
        }
        state.queued -= 1;
        if events.is_closed() {
            return false;
        }
        if let Err(why) = self.admit(&mut state, request) {
            self.reject(&mut state, request, events, why);
            return false;
        }
        let allocation = PlacedAllocation {
            request: request.clone(),
            used: requested(request) * INITIAL_USE,
            is_running: false,
            is_ready: false,
            events: events.clone(),
        };
        state
            .allocations
            .insert(request.placement_id.clone(), allocation);
        let accepted = Event::Accepted(v1::Accepted {});
        self.notify(&mut state, request, events, accepted);
        true
    }

    /// Whether an offer is accepted; preempts others for it where that is needed.
    fn admit(&self, state: &mut State, request: &v1::AttemptRequest) -> Result<(), Rejection> {
        self.check_version(request)?;
        self.make_room(state, request)?;
        if let Some(key) = self.dedup_key(request) {
            let mut deduplicated = self.context.deduplicated();
            if deduplicated.contains_key(&key) {
                return Err(Rejection::NotPresent);
            }
            deduplicated.insert(key, self.config.id);
        }
        Ok(())
    }

    /// Checked at the review and not at the arrival: the minimum version may have come meanwhile.
    fn check_version(&self, request: &v1::AttemptRequest) -> Result<(), Rejection> {
        let source = sender(request);
        let decision = self.fence().decide(source.version);
        match decision {
            FenceDecision::Accepted => Ok(()),
            FenceDecision::Fenced(_) => {
                self.operations()
                    .record_rejected(source, OperationKind::Attempt);
                Err(Rejection::BelowMinimumVersion)
            }
            FenceDecision::Unknown => Err(Rejection::NotPresent),
        }
    }

    /// Whether the offer fits in; preempts allocations of lower priority if they would leave room.
    fn make_room(&self, state: &mut State, request: &v1::AttemptRequest) -> Result<(), Rejection> {
        let is_cordoned = self.cordon().cordon.active().is_some();
        if is_cordoned || state.is_draining || state.allocations.contains_key(&request.placement_id)
        {
            return Err(Rejection::NotPresent);
        }
        let limit = self.config.capacity * self.config.admission_limit;
        let mut sum = state.requested() + requested(request);
        let mut preempted = Vec::new();
        if self.config.preempts {
            let mut lower: Vec<_> = state
                .allocations
                .iter()
                .filter(|(_, allocation)| allocation.request.priority < request.priority)
                .collect();
            lower.sort_by_key(|(_, allocation)| allocation.request.priority);
            for (placement_id, allocation) in lower {
                if sum.fits_in(limit) {
                    break;
                }
                sum = sum - allocation.requested();
                preempted.push(placement_id.clone());
            }
        }
        if sum.memory > limit.memory {
            return Err(Rejection::NoMemory);
        }
        if sum.cores > limit.cores {
            return Err(Rejection::NoCores);
        }
        for placement_id in &preempted {
            self.end(state, placement_id, AttemptOutcome::Preempted);
        }
        Ok(())
    }

    /// By which a deduplicated task is known in its zone; none where its class is not deduplicated.
    pub(super) fn dedup_key(&self, request: &v1::AttemptRequest) -> Option<DedupKey> {
        let is_deduplicated = self.context.dedup_class.as_ref() == Some(&request.service_class);
        is_deduplicated.then(|| (self.config.zone.clone(), request.task.clone()))
    }
}
