//! The handling of an offer, from its arrival to its acceptance or rejection.

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

/// The share of its request that an allocation is assumed to use before its first report.
const INITIAL_USE: Resources = Resources {
    cores: 0.5,
    memory: 0.7,
};

/// Returns the source of an attempt.
pub(super) fn sender(request: &v1::AttemptRequest) -> OperationSource {
    source(request.decider.as_ref(), request.dispatcher)
}

/// Returns the source of an operation. A dispatcher that reports nothing is recorded with version 0
/// (its own file) and the unknown incarnation 0.
pub(super) fn source(decider: Option<&v1::Decider>, dispatcher: u32) -> OperationSource {
    let version = decider
        .and_then(|decider| decider.version.as_ref())
        .map_or(0, |version_id| version_id.number);
    let (incarnation, dispatcher) = decider.map_or((0, dispatcher), |decider| {
        (decider.incarnation, decider.dispatcher)
    });
    OperationSource {
        dispatcher,
        incarnation,
        version,
    }
}

impl Node {
    /// Counts and records an offer that has arrived. Returns the incarnation that reviews it; none
    /// if the process is down or crashes because of too many offers. Runs within the handler of the
    /// call and not in a separate task: an offer recorded after the death of the process would
    /// appear open forever.
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
            version_number: sender(request).version,
        });
        self.learn_minimum_version(request);
        let mut state = self.state();
        if state.count_offer(Instant::now(), &self.config.slow_start) {
            drop(state);
            let node = Arc::clone(self);
            // In a separate task: `kill` drops the server that runs this handler.
            self.context
                .tasks
                .spawn(async move { node.kill(NodeState::Crashed) })
                .detach();
            return None;
        }
        state.is_up.then_some(state.incarnation)
    }

    /// Stores the minimum version that an offer carries, if it is newer than the stored
    /// one.
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
                    version_number: minimum.version,
                });
        }
    }

    /// Waits while the process is stalled. Returns whether this incarnation still runs.
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

    /// Reviews an offer in its turn and, if it is accepted, runs the allocation to its end.
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
            // An offer that its dispatcher dropped while it waited is not reviewed: time spent on
            // it would delay all other offers.
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

    /// Accepts or rejects an offer that has been reviewed. Returns whether it was accepted.
    fn decide(&self, incarnation: u64, request: &v1::AttemptRequest, events: &EventSender) -> bool {
        let mut state = self.state();
        if state.incarnation != incarnation {
            return false;
        }
        state.queued -= 1;
        if events.is_closed() {
            return false;
        }
        if let Err(rejection) = self.admit(&mut state, request) {
            self.reject(&mut state, request, events, rejection);
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

    /// Decides whether an offer is accepted. Preempts other allocations for it where needed.
    fn admit(&self, state: &mut State, request: &v1::AttemptRequest) -> Result<(), Rejection> {
        self.check_version(request)?;
        self.ensure_capacity(state, request)?;
        if let Some(key) = self.dedup_key(request) {
            let mut deduplicated = self.context.deduplicated();
            if deduplicated.contains_key(&key) {
                return Err(Rejection::NotPresent);
            }
            deduplicated.insert(key, self.config.id);
        }
        Ok(())
    }

    /// Checks the offer against the minimum version. Done at the review and not at the arrival, as
    /// the minimum version may have been stored in between.
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

    /// Checks that the offer fits on the node. Preempts allocations of lower priority if it does
    /// not fit otherwise.
    fn ensure_capacity(
        &self,
        state: &mut State,
        request: &v1::AttemptRequest,
    ) -> Result<(), Rejection> {
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

    /// Returns the key of a deduplicated task in its zone; none if its service class is not
    /// deduplicated.
    pub(super) fn dedup_key(&self, request: &v1::AttemptRequest) -> Option<DedupKey> {
        let is_deduplicated = self.context.dedup_class.as_ref() == Some(&request.service_class);
        is_deduplicated.then(|| (self.config.zone.clone(), request.task.clone()))
    }
}
