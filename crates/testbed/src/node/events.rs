//! The events of an allocation that a node sends to a dispatcher, and their records in the capture.

use super::Node;
use super::state::State;
use crate::capture::{AllocationEvent, Observation};
use corkspan_api::v1::attempt_ended::AttemptOutcome;
use corkspan_api::v1::{self, attempt_event::Event, attempt_rejected::Rejection};
use corkspan_dispatcher::minimum_version;
use futures_lite::Stream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;
use tonic::Status;

/// The maximum number of events that wait for a dispatcher to read them; further ones are dropped.
const MAX_WAITING_EVENTS: usize = 256;

/// The sender of the events of one `Offer` or `Attend` call.
pub(super) type EventSender = async_channel::Sender<v1::AttemptEvent>;

/// The stream of the events of one `Offer` or `Attend` call.
pub struct EventStream {
    events: Pin<Box<async_channel::Receiver<v1::AttemptEvent>>>,
    /// The offer to record as dropped if the stream is dropped before its end; none for `Attend`.
    offer: Option<OpenOffer>,
}

/// An offer whose stream is open.
pub(super) struct OpenOffer {
    pub node: Arc<Node>,
    pub placement_id: String,
    pub number: u32,
}

impl EventStream {
    pub(super) fn new(offer: Option<OpenOffer>) -> (EventSender, EventStream) {
        let (sender, events) = async_channel::bounded(MAX_WAITING_EVENTS);
        let events = Box::pin(events);
        (sender, EventStream { events, offer })
    }
}

impl Drop for EventStream {
    /// Records an offer whose stream is dropped before the node has closed it: the dispatcher
    /// dropped it, or its connection broke.
    fn drop(&mut self) {
        if let Some(offer) = self.offer.take()
            && !self.events.is_closed()
        {
            offer
                .node
                .context
                .capture
                .record(Observation::OfferDropped {
                    node: offer.node.config.id,
                    placement_id: offer.placement_id,
                    number: offer.number,
                });
        }
    }
}

impl Stream for EventStream {
    type Item = Result<v1::AttemptEvent, Status>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.events
            .as_mut()
            .poll_next(cx)
            .map(|event| event.map(Ok))
    }
}

/// Returns the event under which the capture records it; none for events that are not recorded.
fn recorded_as(event: &Event) -> Option<AllocationEvent> {
    Some(match event {
        Event::Accepted(_) => AllocationEvent::Accepted,
        Event::Running(_) => AllocationEvent::Running,
        Event::Rejected(_) => AllocationEvent::Rejected,
        Event::Ended(ended) => match ended.outcome() {
            AttemptOutcome::Evicted => AllocationEvent::Evicted,
            AttemptOutcome::Preempted => AllocationEvent::Preempted,
            AttemptOutcome::Drained => AllocationEvent::Drained,
            AttemptOutcome::Stopped => AllocationEvent::Stopped,
            AttemptOutcome::Migrated => AllocationEvent::Migrated,
            AttemptOutcome::Error => AllocationEvent::Lost,
            AttemptOutcome::Ended => AllocationEvent::Ended,
        },
        _ => return None,
    })
}

impl Node {
    /// Records an event and sends it with a load report. While events are dropped, it is only
    /// recorded.
    pub(super) fn notify(
        &self,
        state: &mut State,
        request: &v1::AttemptRequest,
        events: &EventSender,
        attempt_event: Event,
    ) {
        let event = recorded_as(&attempt_event);
        let load = Some(self.load_report(state));
        if let Some(event) = event {
            let (node, placement_id) = (self.config.id, request.placement_id.clone());
            self.context.capture.record(Observation::EventSent {
                node,
                placement_id,
                number: request.attempt,
                event,
            });
        }
        if state
            .events_dropped_until
            .is_none_or(|until| until <= Instant::now())
        {
            let attempt_event = Some(attempt_event);
            // An event that finds the channel full is dropped: the dispatcher does not read them.
            let _ = events.try_send(v1::AttemptEvent {
                event: attempt_event,
                load_report: load,
            });
        }
    }

    /// Rejects an offer and closes its stream.
    pub(super) fn reject(
        &self,
        state: &mut State,
        request: &v1::AttemptRequest,
        events: &EventSender,
        rejection: Rejection,
    ) {
        let minimum = self
            .fence()
            .minimum()
            .filter(|_| rejection == Rejection::BelowMinimumVersion)
            .map(minimum_version::minimum_version_message);
        let rejection = rejection.into();
        self.notify(
            state,
            request,
            events,
            Event::Rejected(v1::AttemptRejected {
                reason: rejection,
                minimum_version: minimum,
            }),
        );
        events.close();
    }

    /// Records that an allocation has become ready.
    pub(super) fn record_ready(&self, request: &v1::AttemptRequest) {
        self.record_readiness(request, true, None);
    }

    /// Records that an allocation is no longer ready. `end` is its outcome, or none if it was lost
    /// with the process.
    pub(super) fn record_unready(&self, request: &v1::AttemptRequest, end: Option<AttemptOutcome>) {
        self.record_readiness(request, false, end);
    }

    fn record_readiness(
        &self,
        request: &v1::AttemptRequest,
        ready: bool,
        end: Option<AttemptOutcome>,
    ) {
        self.context.capture.record(Observation::Ready {
            node: self.config.id,
            task: request.task.clone(),
            service: request.service.clone(),
            version: request.version.clone(),
            ready,
            done: end == Some(AttemptOutcome::Ended),
            stopped: end == Some(AttemptOutcome::Stopped),
        });
    }
}
