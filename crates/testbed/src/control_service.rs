//! A stand-in control service: streams what its publisher decides to each subscriber, or what a
//! test puts on the wire, and keeps every reply.

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
    /// As it came.
    pub message: v1::PushReply,
    /// How the publisher took it.
    pub status: ReplyStatus,
    /// When it came.
    pub received_at: std::time::Instant,
}

#[derive(Default)]
struct State {
    publisher: Publisher,
    /// Senders to the subscribers whose streams are open.
    open: BTreeMap<u32, async_channel::Sender<v1::VersionPush>>,
    replies: Vec<Reply>,
    /// Only what [`ControlService::send`] is given is pushed.
    scripted: bool,
    /// Streams opened so far.
    opened: usize,
    /// What the publisher decided to push.
    pushes: Vec<v1::VersionPush>,
}

/// One control service. Clones share it.
#[derive(Clone)]
pub struct ControlService {
    state: Arc<Mutex<State>>,
    context: Arc<SharedContext>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Keeps the service up; when it is dropped, all connections break.
pub struct ControlServiceGuard(#[allow(dead_code)] async_executor::Task<()>);

/// Pushes that may wait for a subscriber to read them.
const MAX_WAITING_PUSHES: usize = 100_000;

impl ControlService {
    /// Starts a service on a free port.
    pub async fn start(
        context: &Arc<SharedContext>,
    ) -> std::io::Result<(ControlService, ControlServiceGuard)> {
        ControlService::start_at(context, "127.0.0.1:0").await
    }

    /// Starts a service on this address.
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
        let up = control.serve(context, listener);
        Ok((control, up))
    }

    /// Starts the same service again, with its state, on its former address.
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

    fn with<R>(&self, call: impl FnOnce(&mut State) -> R) -> R {
        call(
            &mut self
                .state
                .lock()
                .expect("no one panics while holding the state"),
        )
    }

    /// From now on only what [`ControlService::send`] is given is pushed.
    pub fn scripted(&self) {
        self.with(|state| state.scripted = true);
    }

    /// Publishes the next version and streams it to all.
    pub fn publish(&self, texts: SharedParts, cuts: bool) -> VersionId {
        self.with(|state| {
            let stamp = state.publisher.publish(texts, cuts);
            self.context.capture.record(Observation::Pushed {
                number: stamp.number,
            });
            state.flush();
            stamp
        })
    }

    /// Puts a push on one subscriber's stream, whatever the publisher decides. False where no stream
    /// is open.
    pub fn send(&self, who: u32, push: v1::VersionPush) -> bool {
        self.with(|state| {
            state
                .open
                .get(&who)
                .is_some_and(|open| open.try_send(push).is_ok())
        })
    }

    /// Ends all streams.
    pub fn hang_up(&self) {
        self.with(|state| state.open.clear());
    }

    /// A reply or report of a subscriber.
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

    /// All replies and reports so far.
    pub fn replies(&self) -> Vec<Reply> {
        self.with(|state| state.replies.clone())
    }

    /// All that the publisher decided to push.
    pub fn pushes(&self) -> Vec<v1::VersionPush> {
        self.with(|state| state.pushes.clone())
    }

    /// The last reply to this push.
    pub fn reply_to(&self, nonce: u64) -> Option<v1::PushReply> {
        self.with(|state| {
            let replies = state.replies.iter().rev();
            replies
                .map(|reply| &reply.message)
                .find(|told| told.nonce == nonce)
                .cloned()
        })
    }

    /// The active version of a subscriber, as it reported last.
    pub fn running(&self, who: u32) -> Option<VersionId> {
        self.with(|state| state.publisher.active_version(who))
    }

    /// Streams opened so far.
    pub fn opened(&self) -> usize {
        self.with(|state| state.opened)
    }
}

impl State {
    fn flush(&mut self) {
        if self.scripted {
            return;
        }
        let State {
            publisher,
            open,
            pushes,
            ..
        } = self;
        open.retain(|who, open| {
            if let Some(push) = publisher.push_for(*who) {
                pushes.push(push_message(&push));
                // One that does not read loses its stream, and reports its version anew.
                return open.try_send(push_message(&push)).is_ok();
            }
            !open.is_closed()
        });
    }
}

/// A version id on the wire.
pub fn version_id_message(stamp: VersionId) -> v1::VersionId {
    v1::VersionId {
        number: stamp.number,
        digest: stamp.digest.to_string(),
    }
}

/// None where the digest is none.
pub fn parse_version_id(message: &v1::VersionId) -> Option<VersionId> {
    Some(VersionId {
        number: message.number,
        digest: Digest::from_hex(&message.digest)?,
    })
}

/// A push on the wire.
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

fn push_reply(told: &v1::PushReply) -> PushReply {
    match told.answer() {
        Answer::Applied => PushReply::Applied,
        Answer::Rejected => PushReply::Rejected(told.reasons.clone()),
        Answer::Superseded => PushReply::Superseded(told.superseded_by),
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
        let mut tells = request.into_inner();
        let first = tells
            .message()
            .await?
            .ok_or_else(|| Status::invalid_argument("nothing is told"))?;
        let who = first.dispatcher;
        let running = first.active.as_ref().and_then(parse_version_id);
        let running =
            running.ok_or_else(|| Status::invalid_argument("it does not tell what it runs"))?;
        let (to, from) = async_channel::bounded(MAX_WAITING_PUSHES);
        let control = self.0.clone();
        control.with(|state| {
            state.replies.push(Reply {
                message: first,
                status: ReplyStatus::Accepted,
                received_at: std::time::Instant::now(),
            });
            state.opened += 1;
            state.publisher.subscriber_connected(who, running);
            state.open.insert(who, to);
            state.flush();
        });
        let replies = async move {
            while let Ok(Some(message)) = tells.message().await {
                control.receive(message);
            }
        };
        self.1.spawn(replies).detach();
        Ok(Response::new(Box::pin(from.map(Ok))))
    }
}
