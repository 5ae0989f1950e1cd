//! A stand-in control service: streams what its books say to each subscriber, or what a story puts
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
    pub told: v1::PushReply,
    /// What the books say of it.
    pub heard: ReplyStatus,
    pub at: std::time::Instant,
}

#[derive(Default)]
struct State {
    books: Publisher,
    /// Ways to the subscribers whose streams stand.
    open: BTreeMap<u32, async_channel::Sender<v1::VersionPush>>,
    replies: Vec<Reply>,
    /// Pushes go out as stories say alone.
    scripted: bool,
    opened: usize,
    /// What the books had pushed.
    pushes: Vec<v1::VersionPush>,
}

/// One control service. Clones share it.
#[derive(Clone)]
pub struct Control {
    state: Arc<Mutex<State>>,
    world: Arc<World>,
    pub address: SocketAddr,
}

/// Keeps it up; dropped, its links break.
pub struct Up(#[allow(dead_code)] async_executor::Task<()>);

/// Pushes that wait for a subscriber to read them.
const WAITING: usize = 100_000;

impl Control {
    pub async fn up(world: &Arc<World>) -> std::io::Result<(Control, Up)> {
        Control::up_at(world, "127.0.0.1:0").await
    }

    pub async fn up_at(world: &Arc<World>, address: &str) -> std::io::Result<(Control, Up)> {
        let listener = TcpListener::bind(address).await?;
        let control = Control {
            state: Arc::default(),
            world: Arc::clone(world),
            address: listener.local_addr()?,
        };
        let up = control.serve(world, listener);
        Ok((control, up))
    }

    /// The same service with its books, on its former address, after it was away.
    pub async fn up_again(&self, world: &Arc<World>) -> std::io::Result<Up> {
        let listener = TcpListener::bind(self.address).await?;
        Ok(self.serve(world, listener))
    }

    fn serve(&self, world: &Arc<World>, listener: TcpListener) -> Up {
        let service =
            control_server::ControlServer::new(Service(self.clone(), Arc::clone(&world.tasks)));
        let tasks = &world.tasks;
        Up(tasks.spawn(async move {
            corkspan_rpc::serve(listener, service, corkspan_rpc::Bounds::default()).await;
        }))
    }

    fn with<R>(&self, call: impl FnOnce(&mut State) -> R) -> R {
        call(&mut self.state.lock().expect("no one panics over the books"))
    }

    /// From here on only what [`Control::send`] is told goes out.
    pub fn scripted(&self) {
        self.with(|state| state.scripted = true);
    }

    /// The next version, streamed to all.
    pub fn publish(&self, texts: SharedParts, cuts: bool) -> VersionId {
        self.with(|state| {
            let stamp = state.books.publish(texts, cuts);
            self.world.capture.see(Seen::Pushed {
                number: stamp.number,
            });
            state.flush();
            stamp
        })
    }

    /// Puts a push on one subscriber's stream, whatever the books say. False where none stands.
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
                .map(|reply| &reply.told)
                .find(|told| told.nonce == nonce)
                .cloned()
        })
    }

    /// What each subscriber told last of what runs there.
    pub fn running(&self, who: u32) -> Option<VersionId> {
        self.with(|state| state.books.active_version(who))
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
            books,
            open,
            pushes,
            ..
        } = self;
        open.retain(|who, open| {
            if let Some(push) = books.push_for(*who) {
                pushes.push(message(&push));
                // One that does not read loses its stream, and tells anew what it runs.
                return open.try_send(message(&push)).is_ok();
            }
            !open.is_closed()
        });
    }
}

pub fn stamp_message(stamp: VersionId) -> v1::VersionId {
    v1::VersionId {
        number: stamp.number,
        digest: stamp.digest.to_string(),
    }
}

pub fn stamp_of(message: &v1::VersionId) -> Option<VersionId> {
    Some(VersionId {
        number: message.number,
        digest: Digest::from_hex(&message.digest)?,
    })
}

pub fn message(push: &VersionPush) -> v1::VersionPush {
    v1::VersionPush {
        nonce: push.nonce,
        version: Some(stamp_message(push.version)),
        ancestors: push
            .predecessors
            .iter()
            .copied()
            .map(stamp_message)
            .collect(),
        base: push.base.map(stamp_message),
        parts: push
            .changes
            .iter()
            .map(|(name, text)| (name.into(), text.into()))
            .collect(),
        removed: push.removed.clone(),
        allows_large_cuts: push.allows_cuts,
    }
}

fn said(told: &v1::PushReply) -> PushReply {
    match told.answer() {
        Answer::Applied => PushReply::Applied,
        Answer::Rejected => PushReply::Rejected(told.reasons.clone()),
        Answer::Superseded => PushReply::Superseded(told.superseded_by),
        Answer::FullRequired => PushReply::FullRequired,
        Answer::Nothing | Answer::Unchanged | Answer::RolledBack => PushReply::Unchanged,
    }
}

struct Service(Control, Tasks);

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
        let running = first.active.as_ref().and_then(stamp_of);
        let running =
            running.ok_or_else(|| Status::invalid_argument("it does not tell what it runs"))?;
        let (to, from) = async_channel::bounded(WAITING);
        let control = self.0.clone();
        control.with(|state| {
            state.replies.push(Reply {
                told: first,
                heard: ReplyStatus::Accepted,
                at: std::time::Instant::now(),
            });
            state.opened += 1;
            state.books.subscriber_connected(who, running);
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
                    let heard = match told.active.as_ref().and_then(stamp_of) {
                        Some(running) => state.books.receive_reply(
                            told.dispatcher,
                            told.nonce,
                            &said(&told),
                            running,
                        ),
                        None => ReplyStatus::UnknownSubscriber,
                    };
                    state.replies.push(Reply {
                        told,
                        heard,
                        at: std::time::Instant::now(),
                    });
                    state.flush();
                });
            }
        };
        self.1.spawn(replies).detach();
        Ok(Response::new(Box::pin(from.map(Ok))))
    }
}
