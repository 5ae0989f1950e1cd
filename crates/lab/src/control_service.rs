//! A stand-in control service: streams what its publisher say to each subscriber, or what a story puts
//! on the wire, and keeps every reply.

use crate::capture::Seen;
use crate::node::World;
use async_net::TcpListener;
use corkspan_api::v1::push_reply::Answer;
use corkspan_api::v1::{self, control_server};
use corkspan_config::version::{Digest, SharedParts, VersionId};
use corkspan_config_sync::{Publisher, PushReply, ReplyStatus, VersionPush};
use corkspan_rpc::Tasks;
use futures_lite::{Stream, StreamExt};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use tonic::{Request, Response, Status, Streaming};

/// A reply or another word of a subscriber.
#[derive(Clone, Debug)]
pub struct Reply {
    pub message: v1::PushReply,
    /// What the publisher say of it.
    pub status: ReplyStatus,
    pub received_at: std::time::Instant,
}

#[derive(Default)]
struct State {
    publisher: Publisher,
    /// Ways to the subscribers whose streams stand.
    open: BTreeMap<u32, async_channel::Sender<v1::VersionPush>>,
    replies: Vec<Reply>,
    /// Pushes go out as stories say alone.
    scripted: bool,
    opened: usize,
    /// What the publisher had pushed.
    pushes: Vec<v1::VersionPush>,
}

/// One control service. Clones share it.
#[derive(Clone)]
pub struct ControlService {
    state: Arc<Mutex<State>>,
    world: Arc<World>,
    pub address: SocketAddr,
}

/// Keeps it up; dropped, its links break.
pub struct ControlServiceGuard(#[allow(dead_code)] async_executor::Task<()>);

/// Pushes that wait for a subscriber to read them.
const MAX_WAITING_PUSHES: usize = 100_000;

impl ControlService {
    pub async fn start(
        world: &Arc<World>,
    ) -> std::io::Result<(ControlService, ControlServiceGuard)> {
        ControlService::start_at(world, "127.0.0.1:0").await
    }

    pub async fn start_at(
        world: &Arc<World>,
        address: &str,
    ) -> std::io::Result<(ControlService, ControlServiceGuard)> {
        let listener = TcpListener::bind(address).await?;
        let control = ControlService {
            state: Arc::default(),
            world: Arc::clone(world),
            address: listener.local_addr()?,
        };
        let up = control.serve(world, listener);
        Ok((control, up))
    }

    /// The same service with its publisher, on its former address, after it was away.
    pub async fn restart(&self, world: &Arc<World>) -> std::io::Result<ControlServiceGuard> {
        let listener = TcpListener::bind(self.address).await?;
        Ok(self.serve(world, listener))
    }

    fn serve(&self, world: &Arc<World>, listener: TcpListener) -> ControlServiceGuard {
        let service =
            control_server::ControlServer::new(Service(self.clone(), Arc::clone(&world.tasks)));
        let tasks = &world.tasks;
        ControlServiceGuard(tasks.spawn(async move {
            corkspan_rpc::serve(listener, service, corkspan_rpc::Bounds::default()).await;
        }))
    }

    fn with<R>(&self, call: impl FnOnce(&mut State) -> R) -> R {
        call(&mut self.state.lock().expect("no one panics over the publisher"))
    }

    /// From here on only what [`ControlService::send`] is told goes out.
    pub fn scripted(&self) {
        self.with(|state| state.scripted = true);
    }

    /// The next version, streamed to all.
    pub fn publish(&self, texts: SharedParts, cuts: bool) -> VersionId {
        self.with(|state| {
            let stamp = state.publisher.publish(texts, cuts);
            self.world.capture.see(Seen::Pushed {
                number: stamp.number,
            });
            state.flush();
            stamp
        })
    }

    /// Puts a push on one subscriber's stream, whatever the publisher say. False where none stands.
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

    pub fn replies(&self) -> Vec<Reply> {
        self.with(|state| state.replies.clone())
    }

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

    /// What each subscriber told last of what runs there.
    pub fn running(&self, who: u32) -> Option<VersionId> {
        self.with(|state| state.publisher.active_version(who))
    }

    /// Streams that were opened ever.
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
                // One that does not read loses its stream, and tells anew what it runs.
                return open.try_send(push_message(&push)).is_ok();
            }
            !open.is_closed()
        });
    }
}

pub fn version_id_message(stamp: VersionId) -> v1::VersionId {
    v1::VersionId {
        number: stamp.number,
        digest: stamp.digest.to_string(),
    }
}

pub fn parse_version_id(message: &v1::VersionId) -> Option<VersionId> {
    Some(VersionId {
        number: message.number,
        digest: Digest::from_hex(&message.digest)?,
    })
}

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

struct Service(ControlService, Tasks);

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
            while let Ok(Some(told)) = tells.message().await {
                control.with(|state| {
                    if let Some(running) = &told.active {
                        let (dispatcher, number) = (told.dispatcher, running.number);
                        control
                            .world
                            .capture
                            .see(Seen::InForce { dispatcher, number });
                    }
                    let heard = match told.active.as_ref().and_then(parse_version_id) {
                        Some(running) => state.publisher.receive_reply(
                            told.dispatcher,
                            told.nonce,
                            &push_reply(&told),
                            running,
                        ),
                        None => ReplyStatus::UnknownSubscriber,
                    };
                    state.replies.push(Reply {
                        message: told,
                        status: heard,
                        received_at: std::time::Instant::now(),
                    });
                    state.flush();
                });
            }
        };
        self.1.spawn(replies).detach();
        Ok(Response::new(Box::pin(from.map(Ok))))
    }
}
