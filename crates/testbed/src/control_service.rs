//! A stand-in control service: streams to each subscriber the pushes that its publisher decides, or
//! those that a test sends, and stores every reply.

use crate::capture::Observation;
use crate::node::SharedContext;
use async_net::TcpListener;
use corkspan_api::v1::push_reply::Answer;
use corkspan_api::v1::{self, control_server};
use corkspan_config::version::{Digest, SharedParts, VersionId};
use corkspan_config_sync::{Publisher, PushReply, ReplyStatus, VersionPush};
use corkspan_rpc::SharedExecutor;
use futures_lite::{Stream, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use tonic::{Request, Response, Status, Streaming};

/// A reply or report of a subscriber.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The message as received.
    pub message: v1::PushReply,
    /// The publisher's evaluation of the reply.
    pub status: ReplyStatus,
    /// The time at which the message was received.
    pub received_at: std::time::Instant,
}

#[derive(Default)]
struct State {
    publisher: Publisher,
    /// Senders to the subscribers with open streams, by subscriber.
    open_streams: BTreeMap<u32, async_channel::Sender<v1::VersionPush>>,
    replies: Vec<Reply>,
    /// Whether the service sends only the pushes passed to [`ControlService::send`].
    uses_scripted_pushes: bool,
    /// The number of streams opened so far.
    streams_opened: usize,
    /// The pushes that the publisher decided.
    pushes: Vec<v1::VersionPush>,
}

/// A stand-in control service. Clones share its state.
#[derive(Clone)]
pub struct ControlService {
    state: Arc<Mutex<State>>,
    context: Arc<SharedContext>,
    /// The address at which it listens.
    pub address: SocketAddr,
}

/// Keeps the service running. Dropping it breaks all connections.
pub struct ControlServiceGuard(#[allow(dead_code)] async_executor::Task<()>);

/// The maximum number of pushes that wait for a subscriber to read them.
const MAX_WAITING_PUSHES: usize = 100_000;

impl ControlService {
    /// Starts a service on a free port.
    pub async fn start(
        context: &Arc<SharedContext>,
    ) -> std::io::Result<(ControlService, ControlServiceGuard)> {
        ControlService::start_at(context, "127.0.0.1:0").await
    }

    /// Starts a service on the given address.
    pub async fn start_at(
        context: &Arc<SharedContext>,
        address: &str,
    ) -> std::io::Result<(ControlService, ControlServiceGuard)> {
        let listener = TcpListener::bind(address).await?;
        let control = ControlService {
            state: Arc::default(),
            context: Arc::clone(context),
            address: listener.local_addr()?,
        };
        let guard = control.serve(context, listener);
        Ok((control, guard))
    }

    /// Restarts the service on its previous address with its state.
    pub async fn restart(
        &self,
        context: &Arc<SharedContext>,
    ) -> std::io::Result<ControlServiceGuard> {
        let listener = TcpListener::bind(self.address).await?;
        Ok(self.serve(context, listener))
    }

    fn serve(&self, context: &Arc<SharedContext>, listener: TcpListener) -> ControlServiceGuard {
        let service =
            control_server::ControlServer::new(Service(self.clone(), Arc::clone(&context.tasks)));
        let tasks = &context.tasks;
        ControlServiceGuard(tasks.spawn(async move {
            corkspan_rpc::serve(listener, service, corkspan_rpc::ConnectionLimits::default()).await;
        }))
    }

    fn with<R>(&self, operation: impl FnOnce(&mut State) -> R) -> R {
        operation(
            &mut self
                .state
                .lock()
                .expect("no thread panics while holding the lock"),
        )
    }

    /// Makes the service send only the pushes passed to [`ControlService::send`] from now on.
    pub fn use_scripted_pushes(&self) {
        self.with(|state| state.uses_scripted_pushes = true);
    }

    /// Publishes the next version and streams it to all subscribers.
    pub fn publish(&self, parts: SharedParts, allows_cuts: bool) -> VersionId {
        self.with(|state| {
            let version_id = state.publisher.publish(parts, allows_cuts);
            self.context.capture.record(Observation::Pushed {
                number: version_id.number,
            });
            state.flush();
            version_id
        })
    }

    /// Sends a push on one subscriber's stream, regardless of the publisher. Returns false if no
    /// stream is open.
    pub fn send(&self, subscriber: u32, push: v1::VersionPush) -> bool {
        self.with(|state| {
            state
                .open_streams
                .get(&subscriber)
                .is_some_and(|stream| stream.try_send(push).is_ok())
        })
    }

    /// Closes all streams.
    pub fn close_streams(&self) {
        self.with(|state| state.open_streams.clear());
    }

    /// Records a reply or report of a subscriber and sends the pushes that follow from it.
    fn receive(&self, message: v1::PushReply) {
        if let Some(active) = &message.active {
            let (dispatcher, number) = (message.dispatcher, active.number);
            self.context
                .capture
                .record(Observation::VersionActive { dispatcher, number });
        }
        self.with(|state| {
            let active = message.active.as_ref().and_then(parse_version_id);
            let status = match active {
                Some(active) => state.publisher.receive_reply(
                    message.dispatcher,
                    message.nonce,
                    &push_reply(&message),
                    active,
                ),
                None => ReplyStatus::UnknownSubscriber,
            };
            state.replies.push(Reply {
                message,
                status,
                received_at: std::time::Instant::now(),
            });
            state.flush();
        });
    }

    /// Returns all replies and reports received so far.
    pub fn replies(&self) -> Vec<Reply> {
        self.with(|state| state.replies.clone())
    }

    /// Returns all pushes that the publisher decided.
    pub fn pushes(&self) -> Vec<v1::VersionPush> {
        self.with(|state| state.pushes.clone())
    }

    /// Returns the last reply to the push with this nonce.
    pub fn reply_to(&self, nonce: u64) -> Option<v1::PushReply> {
        self.with(|state| {
            let replies = state.replies.iter().rev();
            replies
                .map(|reply| &reply.message)
                .find(|reply| reply.nonce == nonce)
                .cloned()
        })
    }

    /// Returns the active version that a subscriber reported last.
    pub fn active_version(&self, subscriber: u32) -> Option<VersionId> {
        self.with(|state| state.publisher.active_version(subscriber))
    }

    /// Returns the number of streams opened so far.
    pub fn streams_opened(&self) -> usize {
        self.with(|state| state.streams_opened)
    }
}

impl State {
    fn flush(&mut self) {
        if self.uses_scripted_pushes {
            return;
        }
        let State {
            publisher,
            open_streams,
            pushes,
            ..
        } = self;
        open_streams.retain(|subscriber, stream| {
            if let Some(push) = publisher.push_for(*subscriber) {
                pushes.push(push_message(&push));
                // A subscriber that does not read loses its stream and has to report its version
                // again on a new one.
                return stream.try_send(push_message(&push)).is_ok();
            }
            !stream.is_closed()
        });
    }
}

/// Returns the message of a version id.
pub fn version_id_message(version_id: VersionId) -> v1::VersionId {
    v1::VersionId {
        number: version_id.number,
        digest: version_id.digest.to_string(),
    }
}

/// Parses the message of a version id. Returns none if the digest is invalid.
pub fn parse_version_id(message: &v1::VersionId) -> Option<VersionId> {
    Some(VersionId {
        number: message.number,
        digest: Digest::from_hex(&message.digest)?,
    })
}

/// Returns the message of a push.
pub fn push_message(push: &VersionPush) -> v1::VersionPush {
    v1::VersionPush {
        nonce: push.nonce,
        version: Some(version_id_message(push.version)),
        ancestors: push
            .predecessors
            .iter()
            .copied()
            .map(version_id_message)
            .collect(),
        base: push.base.map(version_id_message),
        parts: push
            .changes
            .iter()
            .map(|(name, text)| (name.into(), text.into()))
            .collect(),
        removed: push.removed.clone(),
        allows_large_cuts: push.allows_cuts,
    }
}

fn push_reply(reply: &v1::PushReply) -> PushReply {
    match reply.answer() {
        Answer::Applied => PushReply::Applied,
        Answer::Rejected => PushReply::Rejected(reply.reasons.clone()),
        Answer::Superseded => PushReply::Superseded(reply.superseded_by),
        Answer::FullRequired => PushReply::FullRequired,
        Answer::Nothing | Answer::Unchanged | Answer::RolledBack => PushReply::Unchanged,
    }
}

struct Service(ControlService, SharedExecutor);

#[tonic::async_trait]
impl control_server::Control for Service {
    type StreamStream = Pin<Box<dyn Stream<Item = Result<v1::VersionPush, Status>> + Send>>;

    async fn stream(
        &self,
        request: Request<Streaming<v1::PushReply>>,
    ) -> Result<Response<Self::StreamStream>, Status> {
        let mut messages = request.into_inner();
        let first = messages
            .message()
            .await?
            .ok_or_else(|| Status::invalid_argument("the stream ended before its first report"))?;
        let subscriber = first.dispatcher;
        let active = first.active.as_ref().and_then(parse_version_id);
        let active = active.ok_or_else(|| {
            Status::invalid_argument("the first report has no valid active version")
        })?;
        let (sender, pushes) = async_channel::bounded(MAX_WAITING_PUSHES);
        let control = self.0.clone();
        control.with(|state| {
            state.replies.push(Reply {
                message: first,
                status: ReplyStatus::Accepted,
                received_at: std::time::Instant::now(),
            });
            state.streams_opened += 1;
            state.publisher.subscriber_connected(subscriber, active);
            state.open_streams.insert(subscriber, sender);
            state.flush();
        });
        let receive_replies = async move {
            while let Ok(Some(message)) = messages.message().await {
                control.receive(message);
            }
        };
        self.1.spawn(receive_replies).detach();
        Ok(Response::new(Box::pin(pushes.map(Ok))))
    }
}
