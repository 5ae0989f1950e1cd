//! What a node tells a dispatcher of an allocation, and what it records of it.

use super::Node;
use super::state::State;
use crate::capture::{Seen, Word};
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
    pub placing: String,
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
            offer.node.world.capture.see(Seen::LetGo {
                node: offer.node.config.id,
                placing: offer.placing,
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
fn recorded_as(said: &Event) -> Option<Word> {
    Some(match said {
        Event::Accepted(_) => Word::Accepted,
        Event::Running(_) => Word::Running,
        Event::Rejected(_) => Word::Refused,
        Event::Ended(over) => match over.outcome() {
            AttemptOutcome::Evicted => Word::Evicted,
            AttemptOutcome::Preempted => Word::PushedOut,
            AttemptOutcome::Drained => Word::SentAway,
            AttemptOutcome::Stopped => Word::Stopped,
            AttemptOutcome::Migrated => Word::Moved,
            AttemptOutcome::Error => Word::Lost,
            AttemptOutcome::Ended => Word::Ended,
        },
        _ => return None,
    })
}

impl Node {
    /// Sends an event with a load report, unless the node is muted.
    pub(super) fn notify(
        &self,
        state: &mut State,
        shot: &v1::AttemptRequest,
        events: &EventSender,
        said: Event,
    ) {
        let word = recorded_as(&said);
        let load = Some(self.load_report(state));
        if let Some(word) = word {
            let (node, placing) = (self.config.id, shot.placement_id.clone());
            self.world.capture.see(Seen::Said {
                node,
                placing,
                number: shot.attempt,
                word,
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
        shot: &v1::AttemptRequest,
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
            shot,
            events,
            Event::Rejected(v1::AttemptRejected {
                reason: why,
                minimum_version: floor,
            }),
        );
        events.close();
    }

    /// Records that an allocation has become ready.
    pub(super) fn record_ready(&self, shot: &v1::AttemptRequest) {
        self.record_readiness(shot, true, None);
    }

    /// Records that an allocation is no longer ready; `end` is how it ended, if it did not die with
    /// the process.
    pub(super) fn record_unready(&self, shot: &v1::AttemptRequest, end: Option<AttemptOutcome>) {
        self.record_readiness(shot, false, end);
    }

    fn record_readiness(
        &self,
        shot: &v1::AttemptRequest,
        ready: bool,
        end: Option<AttemptOutcome>,
    ) {
        self.world.capture.see(Seen::Ready {
            node: self.config.id,
            task: shot.task.clone(),
            service: shot.service.clone(),
            version: shot.version.clone(),
            ready,
            done: end == Some(AttemptOutcome::Ended),
            stopped: end == Some(AttemptOutcome::Stopped),
        });
    }
}
