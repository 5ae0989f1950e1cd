//! The stream of configuration versions: reads and answers pushes, and changes the active version.
//! The decisions are made in `corkspan_config_sync`.

pub use crate::active_version::{
    ACTIVE_VERSION_NUMBER, ActiveVersion, push_from_message, push_message, version_id_from_message,
    version_id_message,
};
use crate::clock::{duration, ticks};
use crate::core::DispatcherCore;
use crate::link_counters::ConnectionKind;
use corkspan_api::v1::push_reply::Answer;
use corkspan_api::v1::{self, control_client::ControlClient};
use corkspan_config_sync::{
    NextPush, PushAdmission, PushReply, ReconnectBackoff, RequestCounts, VersionCache, VersionPush,
};
use corkspan_rpc::Connection;
use corkspan_version_fencing::history::VersionOrigin;
use futures_lite::{FutureExt, future};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tonic::Status;
use tracing::{info, warn};

/// Interval between two checks of a version on trial.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of replies that a service has not read; with more, the stream is closed.
const MAX_UNREAD_REPLIES: usize = 10_000;
/// Longest push, in bytes.
const MAX_PUSH_BYTES: usize = 8 << 20;

fn request_counts(core: &DispatcherCore) -> RequestCounts {
    let (request_count, rejected_count) = core.request_counters();
    RequestCounts {
        requests: request_count,
        rejected: rejected_count,
    }
}

/// The reason why a stream of versions ended.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error(transparent)]
    Connect(#[from] corkspan_rpc::ConnectError),
    #[error("{}", .0.message())]
    Status(#[from] Box<Status>),
    #[error("the service did not accept the stream in time")]
    NotAccepted,
    #[error("the service ended the stream")]
    Ended,
    #[error("the service does not read the replies")]
    UnreadReplies,
}

/// Sends the replies on one stream.
struct ReplySender {
    to: async_channel::Sender<v1::PushReply>,
    dispatcher: u32,
}

impl ReplySender {
    /// Sends the reply to a push. Returns false if the service does not read its replies.
    fn send_reply(&self, versions: &ActiveVersion, nonce: u64, reply: &PushReply) -> bool {
        let (running, on_trial) = versions.with(|state| {
            match reply {
                PushReply::Applied => state.applied += 1,
                PushReply::Rejected(_) => state.rejected += 1,
                PushReply::Superseded(_) => state.superseded += 1,
                PushReply::Unchanged | PushReply::FullRequired => {}
            }
            (
                state.subscriber.active_version(),
                state.subscriber.on_trial(),
            )
        });
        let (answer, why, superseded_by) = match reply {
            PushReply::Applied => (Answer::Applied, Vec::new(), 0),
            PushReply::Unchanged => (Answer::Unchanged, Vec::new(), 0),
            PushReply::Rejected(why) => (Answer::Rejected, why.clone(), 0),
            PushReply::Superseded(by) => (Answer::Superseded, Vec::new(), *by),
            PushReply::FullRequired => (Answer::FullRequired, Vec::new(), 0),
        };
        let message = v1::PushReply {
            dispatcher: self.dispatcher,
            active: Some(version_id_message(running)),
            nonce,
            answer: answer.into(),
            reasons: why,
            superseded_by,
            on_trial,
        };
        self.to.try_send(message).is_ok()
    }

    /// Sends the active version without a push. Returns false if the service does not read its
    /// replies.
    fn send_status(&self, versions: &ActiveVersion, answer: Answer, why: Vec<String>) -> bool {
        let (running, on_trial) = versions.with(|state| {
            (
                state.subscriber.active_version(),
                state.subscriber.on_trial(),
            )
        });
        let (dispatcher, running) = (self.dispatcher, Some(version_id_message(running)));
        let message = v1::PushReply {
            dispatcher,
            active: running,
            answer: answer.into(),
            reasons: why,
            on_trial,
            ..v1::PushReply::default()
        };
        self.to.try_send(message).is_ok()
    }
}

/// Streams versions from one control service after the other, and evaluates trials, until the
/// future is dropped.
pub async fn run(core: Arc<DispatcherCore>) {
    let services = core.deployment().control_services.clone();
    // Passes the reason of a rollback to the stream, which reports it.
    let (rollback_sender, rollbacks) = async_channel::bounded::<String>(1);
    let trial_watch = watch_trial(Arc::clone(&core), rollback_sender);
    let streams = async {
        if services.is_empty() {
            return future::pending().await;
        }
        let number = core.deployment().cluster.scheduler_index;
        let mut retry = ReconnectBackoff::new(core.clock.now() ^ (number as u64) << 32);
        // Delays the first connection, so that dispatchers that start together do not all connect
        // at once.
        async_io::Timer::after(duration(retry.next_delay(0)) / 4).await;
        for service in services.iter().cycle() {
            let mut began = None;
            let ended = stream(&core, *service, &rollbacks, &mut began).await;
            core.active_version.with(|state| {
                state.control_service = None;
                state.subscriber.stream_closed();
            });
            let lasted = began.map_or(0, |began: Instant| ticks(began.elapsed()));
            let wait = retry.next_delay(lasted);
            warn!(%service, why = ended.to_string(), again_in_ms = wait / 10, "no version stream; the active version stays");
            async_io::Timer::after(duration(wait)).await;
        }
    };
    trial_watch.or(streams).await;
}

async fn stream(
    core: &Arc<DispatcherCore>,
    service: SocketAddr,
    rollbacks: &async_channel::Receiver<String>,
    began: &mut Option<Instant>,
) -> StreamError {
    let meter = core.connection_counters.meter(ConnectionKind::Control);
    let connection =
        match Connection::open_counted(&core.tasks, service, &core.connection_limits, &meter).await
        {
            Ok(connection) => connection,
            Err(error) => return error.into(),
        };
    let (to, from) = async_channel::bounded(MAX_UNREAD_REPLIES);
    let replies = ReplySender {
        to,
        dispatcher: core.deployment().cluster.scheduler_index as u32,
    };
    replies.send_status(&core.active_version, Answer::Nothing, Vec::new());
    let mut pushes = match open_stream(core, connection, from).await {
        Ok(pushes) => pushes,
        Err(error) => return error,
    };
    *began = Some(Instant::now());
    core.active_version
        .with(|state| state.control_service = Some(service));
    info!(%service, "streaming versions from a control service");
    loop {
        let next_push = core
            .active_version
            .with(|state| state.subscriber.next_push(core.clock.now()));
        if next_push == NextPush::Now {
            // A push that has arrived in the meantime replaces the one that waits.
            while let Some(push) = future::poll_once(pushes.message()).await {
                if let Err(why) = receive_push(core, &replies, push) {
                    return why;
                }
            }
            let Some(push) = core
                .active_version
                .with(|state| state.subscriber.take_push())
            else {
                continue;
            };
            if !apply_and_answer(core, &replies, &push).await {
                return StreamError::UnreadReplies;
            }
            continue;
        }
        let pushed = async { Some(pushes.message().await) };
        let due = async {
            match next_push {
                NextPush::After(time) => drop(async_io::Timer::after(duration(time)).await),
                _ => future::pending().await,
            }
            None
        };
        let rollback = async {
            if let Ok(why) = rollbacks.recv().await {
                replies.send_status(&core.active_version, Answer::RolledBack, vec![why]);
            }
            None
        };
        if let Some(push) = pushed.or(due).or(rollback).await
            && let Err(why) = receive_push(core, &replies, push)
        {
            return why;
        }
    }
}

/// Opens the stream. The first push may take long to arrive, but the service must accept the stream
/// in time.
async fn open_stream(
    core: &DispatcherCore,
    connection: Connection,
    replies: async_channel::Receiver<v1::PushReply>,
) -> Result<tonic::Streaming<v1::VersionPush>, StreamError> {
    let mut client = ControlClient::new(connection).max_decoding_message_size(MAX_PUSH_BYTES);
    let opened = corkspan_rpc::within(
        core.connection_limits.connect_timeout * 4,
        Box::pin(client.stream(replies)),
    );
    match opened.await {
        Some(Ok(pushes)) => Ok(pushes.into_inner()),
        Some(Err(status)) => Err(Box::new(status).into()),
        None => Err(StreamError::NotAccepted),
    }
}

/// Applies a push and answers it. Returns false if the service does not read its replies.
async fn apply_and_answer(
    core: &DispatcherCore,
    replies: &ReplySender,
    push: &VersionPush,
) -> bool {
    let reply = apply(core, push, VersionOrigin::Push).await;
    if let PushReply::Rejected(why) = &reply {
        warn!(version = push.version.number, ?why, "rejected a version");
        core.active_version
            .with(|state| state.last_rejected = Some((push.version, why.clone())));
    }
    replies.send_reply(&core.active_version, push.nonce, &reply)
}

/// Handles a message of the stream, or its end.
fn receive_push(
    core: &DispatcherCore,
    replies: &ReplySender,
    push: Result<Option<v1::VersionPush>, Status>,
) -> Result<(), StreamError> {
    let push = push.map_err(Box::new)?.ok_or(StreamError::Ended)?;
    let nonce = push.nonce;
    let Some(push) = push_from_message(push) else {
        let reply = PushReply::Rejected(vec![
            "malformed version id: a number above 0 and 64 hexadecimal digits are required".into(),
        ]);
        let read = replies.send_reply(&core.active_version, nonce, &reply);
        return read.then_some(()).ok_or(StreamError::UnreadReplies);
    };
    if let Some(superseded) = core
        .active_version
        .with(|state| state.subscriber.receive(push))
        && !replies.send_reply(&core.active_version, superseded.nonce, &superseded.reply)
    {
        return Err(StreamError::UnreadReplies);
    }
    Ok(())
}

/// Validates a version, stores it on disk, and makes it active, on trial.
pub async fn apply(core: &DispatcherCore, push: &VersionPush, how: VersionOrigin) -> PushReply {
    let versions = &core.active_version;
    let _step = versions.step.lock().await;
    let texts = match versions.with(|state| state.subscriber.admit(push)) {
        PushAdmission::Reply(reply) => return reply,
        PushAdmission::Validate(texts) => texts,
    };
    let next = match versions.deployment(push.version, &texts) {
        Ok(next) => next,
        Err(why) => return PushReply::Rejected(why),
    };
    let why = core.compatibility_violations(&next, push.allows_cuts);
    if !why.is_empty() {
        return PushReply::Rejected(why);
    }
    let (now, counted) = (core.clock.now(), request_counts(core));
    let persisted = versions.with(|state| {
        state
            .subscriber
            .prepare_trial(now, counted, push.version, texts.clone())
    });
    if let Err(why) = versions.save(&persisted).await {
        return PushReply::Rejected(vec![format!("the version can't be stored on disk: {why}")]);
    }
    if !core.activate(next) {
        // The version is not active, so it must not stay on disk either.
        let previous = versions.with(|state| state.subscriber.persisted().clone());
        if let Err(why) = versions.save(&previous).await {
            warn!(
                why = why.to_string(),
                "a version that is not active stays on disk"
            );
        }
        return PushReply::Rejected(vec![
            "more names were added and removed than ids can be kept for; a restart is needed"
                .into(),
        ]);
    }
    versions.with(|state| {
        state
            .subscriber
            .start_trial(core.clock.now(), persisted, request_counts(core));
        state.version_cache.record_active(
            push.version,
            texts,
            push.allows_cuts,
            &push.predecessors,
        );
    });
    ACTIVE_VERSION_NUMBER.store(push.version.number, Ordering::Relaxed);
    core.fencing.version_activated(push.version, how);
    info!(number = push.version.number, ?how, digest = ?push.version.digest, "a version is active, on trial");
    PushReply::Applied
}

/// Evaluates the version on trial at intervals.
async fn watch_trial(core: Arc<DispatcherCore>, rollback_sender: async_channel::Sender<String>) {
    loop {
        async_io::Timer::after(TRIAL_CHECK_INTERVAL).await;
        let versions = &core.active_version;
        let _step = versions.step.lock().await;
        let now = core.clock.now();
        let Some(outcome) =
            versions.with(|state| state.subscriber.evaluate_trial(now, request_counts(&core)))
        else {
            continue;
        };
        let (persisted, why) = (outcome.persisted, outcome.rollback_reason);
        let before = versions.with(|state| state.subscriber.active_version());
        if let Some(why) = &why {
            // The last good version is activated before it is stored: a harmful version must not
            // stay active because a disk is full.
            let version = persisted
                .last_good
                .as_ref()
                .map(|good| (good.id, good.texts.clone()));
            let back = match &version {
                Some((version_id, texts)) => versions.deployment(*version_id, texts),
                None => Ok(versions.file.clone()),
            };
            if !back.is_ok_and(|back| core.activate(back)) {
                warn!(
                    why,
                    "the version on trial has caused a regression, but the last good one can't be activated any more"
                );
                continue;
            }
        }
        if let Err(why) = versions.save(&persisted).await {
            warn!(
                why = why.to_string(),
                "the outcome of a trial can't be stored on disk; a restart will try that version again"
            );
        }
        versions.with(|state| {
            state
                .subscriber
                .finish_trial(core.clock.now(), persisted, request_counts(&core));
            let version_id = state.subscriber.active_version();
            ACTIVE_VERSION_NUMBER.store(version_id.number, Ordering::Relaxed);
            if why.is_some() {
                // A version that was rolled back here must not be offered to others.
                let texts = state.subscriber.active_texts().clone();
                state.version_cache = VersionCache::default();
                if version_id.number > 0 {
                    state
                        .version_cache
                        .record_active(version_id, texts, false, &[]);
                }
            }
        });
        match why {
            Some(why) => {
                core.fencing
                    .version_activated(core.deployment().version, VersionOrigin::Rollback);
                warn!(
                    number = before.number,
                    why, "rolled back to the last good version"
                );
                let _ = rollback_sender.force_send(why);
            }
            None => info!(number = before.number, "a version has passed its trial"),
        }
    }
}
