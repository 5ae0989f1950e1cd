//! What a node tells a dispatcher of an allocation, and what it records of it.

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

/// Events that wait for a dispatcher to read them; further ones are dropped.
const MAX_WAITING_EVENTS: usize = 256;

/// Sends the events of one offer or attendance.
pub(super) type EventSender = async_channel::Sender<v1::AttemptEvent>;

/// The events of one offer or attendance.
pub struct EventStream {
    events: Pin<Box<async_channel::Receiver<v1::AttemptEvent>>>,
    /// Of an offer: what is recorded where the stream is dropped before its end.
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
    /// A stream that goes before its node has closed it: the dispatcher has dropped it, or its
    /// connection broke.
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
        self.events.as_mut().poll_next(cx).map(|said| said.map(Ok))
    }
}

/// What the capture calls an event; none where it records nothing of it.
fn recorded_as(said: &Event) -> Option<AllocationEvent> {
    Some(match said {
        Event::Accepted(_) => AllocationEvent::Accepted,
        Event::Running(_) => AllocationEvent::Running,
        Event::Rejected(_) => AllocationEvent::Rejected,
        Event::Ended(over) => match over.outcome() {
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
    /// Sends an event with a load report, unless the node is muted.
    pub(super) fn notify(
        &self,
        state: &mut State,
        request: &v1::AttemptRequest,
        events: &EventSender,
        said: Event,
    ) {
        let event = recorded_as(&said);
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
            .muted_until
            .is_none_or(|until| until <= Instant::now())
        {
            let said = Some(said);
            // Events that the dispatcher does not read are dropped.
            let _ = events.try_send(v1::AttemptEvent {
                event: said,
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
        why: Rejection,
    ) {
        let floor = self
            .fence()
            .minimum()
            .filter(|_| why == Rejection::BelowMinimumVersion)
            .map(minimum_version::minimum_version_message);
        let why = why.into();
        self.notify(
            state,
            request,
            events,
            Event::Rejected(v1::AttemptRejected {
                reason: why,
                minimum_version: floor,
            }),
        );
        events.close();
    }

    /// Records that an allocation has become ready.
    pub(super) fn record_ready(&self, request: &v1::AttemptRequest) {
        self.record_readiness(request, true, None);
    }

    /// Records that an allocation is no longer ready; `end` is how it ended, if it did not die with
    /// the process.
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
