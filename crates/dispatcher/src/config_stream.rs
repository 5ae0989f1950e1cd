//! The stream of configuration versions: pushes are read and answered, and the active version is
//! changed. The decisions are in `corkspan_config_sync`.

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

/// Between two checks of a version on trial.
const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Replies that wait for a service to read them; then the stream is closed.
const MAX_UNREAD_REPLIES: usize = 10_000;
/// Longest push, in bytes.
const MAX_PUSH_BYTES: usize = 8 << 20;

fn request_counts(core: &DispatcherCore) -> RequestCounts {
    let (asked, refused) = core.request_counters();
    RequestCounts {
        requests: asked,
        rejected: refused,
    }
}

/// Why a stream of versions ended.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error(transparent)]
    Connect(#[from] corkspan_rpc::ConnectError),
    #[error("{}", .0.message())]
    Status(#[from] Box<Status>),
    #[error("it does not take the stream in time")]
    NotAccepted,
    #[error("the service ended the stream")]
    Ended,
    #[error("it does not read its answers")]
    UnreadReplies,
}

/// Replies on one stream.
struct Answers {
    to: async_channel::Sender<v1::PushReply>,
    dispatcher: u32,
}

impl Answers {
    /// Sends the reply to a push. False where the service does not read.
    fn send_reply(&self, versions: &ActiveVersion, nonce: u64, said: &PushReply) -> bool {
        let (running, on_trial) = versions.with(|state| {
            match said {
                PushReply::Applied => state.applied += 1,
                PushReply::Rejected(_) => state.refused += 1,
                PushReply::Superseded(_) => state.superseded += 1,
                PushReply::Unchanged | PushReply::FullRequired => {}
            }
            (
                state.subscriber.active_version(),
                state.subscriber.on_trial(),
            )
        });
        let (answer, why, superseded_by) = match said {
            PushReply::Applied => (Answer::Applied, Vec::new(), 0),
            PushReply::Unchanged => (Answer::Unchanged, Vec::new(), 0),
            PushReply::Rejected(why) => (Answer::Rejected, why.clone(), 0),
            PushReply::Superseded(by) => (Answer::Superseded, Vec::new(), *by),
            PushReply::FullRequired => (Answer::FullRequired, Vec::new(), 0),
        };
        let told = v1::PushReply {
            dispatcher: self.dispatcher,
            active: Some(version_id_message(running)),
            nonce,
            answer: answer.into(),
            reasons: why,
            superseded_by,
            on_trial,
        };
        self.to.try_send(told).is_ok()
    }

    /// Sends the active version without a push. False where the service does not read.
    fn send_status(&self, versions: &ActiveVersion, answer: Answer, why: Vec<String>) -> bool {
        let (running, on_trial) = versions.with(|state| {
            (
                state.subscriber.active_version(),
                state.subscriber.on_trial(),
            )
        });
        let (dispatcher, running) = (self.dispatcher, Some(version_id_message(running)));
        let told = v1::PushReply {
            dispatcher,
            active: running,
            answer: answer.into(),
            reasons: why,
            on_trial,
            ..v1::PushReply::default()
        };
        self.to.try_send(told).is_ok()
    }
}

/// Streams from one control service after the other for as long as it is polled, and watches over
/// trials.
pub async fn run(core: Arc<DispatcherCore>) {
    let services = core.deployment().control_services.clone();
    // The stream reports a version that was rolled back.
    let (gave_up, given_up) = async_channel::bounded::<String>(1);
    let trial_watch = watch_trial(Arc::clone(&core), gave_up);
    let streams = async {
        if services.is_empty() {
            return future::pending().await;
        }
        let number = core.deployment().cluster.scheduler_index;
        let mut retry = ReconnectBackoff::new(core.clock.now() ^ (number as u64) << 32);
        // Dispatchers that start together must not all connect at once.
        async_io::Timer::after(duration(retry.next_delay(0)) / 4).await;
        for service in services.iter().cycle() {
            let mut began = None;
            let ended = stream(&core, *service, &given_up, &mut began).await;
            core.active_version.with(|state| {
                state.control_service = None;
                state.subscriber.stream_closed();
            });
            let stood = began.map_or(0, |began: Instant| ticks(began.elapsed()));
            let wait = retry.next_delay(stood);
            warn!(%service, why = ended.to_string(), again_in_ms = wait / 10, "no stream of versions; the one in force stays");
            async_io::Timer::after(duration(wait)).await;
        }
    };
    trial_watch.or(streams).await;
}

async fn stream(
    core: &Arc<DispatcherCore>,
    service: SocketAddr,
    given_up: &async_channel::Receiver<String>,
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
    let answers = Answers {
        to,
        dispatcher: core.deployment().cluster.scheduler_index as u32,
    };
    answers.send_status(&core.active_version, Answer::Nothing, Vec::new());
    let mut pushes = match open_stream(core, connection, from).await {
        Ok(pushes) => pushes,
        Err(error) => return error,
    };
    *began = Some(Instant::now());
    core.active_version
        .with(|state| state.control_service = Some(service));
    info!(%service, "versions are streamed from here");
    loop {
        let pace = core
            .active_version
            .with(|state| state.subscriber.next_push(core.clock.now()));
        if pace == NextPush::Now {
            // A push that has arrived since replaces the one that waits.
            while let Some(push) = future::poll_once(pushes.message()).await {
                if let Err(why) = receive_push(core, &answers, push) {
                    return why;
                }
            }
            let Some(push) = core
                .active_version
                .with(|state| state.subscriber.take_push())
            else {
                continue;
            };
            if !apply_and_answer(core, &answers, &push).await {
                return StreamError::UnreadReplies;
            }
            continue;
        }
        let pushed = async { Some(pushes.message().await) };
        let due = async {
            match pace {
                NextPush::After(time) => drop(async_io::Timer::after(duration(time)).await),
                _ => future::pending().await,
            }
            None
        };
        let gave_up = async {
            if let Ok(why) = given_up.recv().await {
                answers.send_status(&core.active_version, Answer::RolledBack, vec![why]);
            }
            None
        };
        if let Some(push) = pushed.or(due).or(gave_up).await
            && let Err(why) = receive_push(core, &answers, push)
        {
            return why;
        }
    }
}

/// The first push may take long, but accepting the stream must not.
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

/// Applies a push and answers it. False where the service does not read.
async fn apply_and_answer(core: &DispatcherCore, answers: &Answers, push: &VersionPush) -> bool {
    let reply = apply(core, push, VersionOrigin::Push).await;
    if let PushReply::Rejected(why) = &reply {
        warn!(
            version = push.version.number,
            ?why,
            "a version is turned down"
        );
        core.active_version
            .with(|state| state.refused_last = Some((push.version, why.clone())));
    }
    answers.send_reply(&core.active_version, push.nonce, &reply)
}

/// Handles a message of the stream, or its end.
fn receive_push(
    core: &DispatcherCore,
    answers: &Answers,
    push: Result<Option<v1::VersionPush>, Status>,
) -> Result<(), StreamError> {
    let push = push.map_err(Box::new)?.ok_or(StreamError::Ended)?;
    let nonce = push.nonce;
    let Some(push) = push_from_message(push) else {
        let said = PushReply::Rejected(vec![
            "its stamp is none: a number above 0 and 64 hexadecimal digits".into(),
        ]);
        let read = answers.send_reply(&core.active_version, nonce, &said);
        return read.then_some(()).ok_or(StreamError::UnreadReplies);
    };
    if let Some(superseded) = core
        .active_version
        .with(|state| state.subscriber.receive(push))
        && !answers.send_reply(&core.active_version, superseded.nonce, &superseded.reply)
    {
        return Err(StreamError::UnreadReplies);
    }
    Ok(())
}

/// Validates a version, stores it on disk and makes it active, on trial.
pub async fn apply(core: &DispatcherCore, push: &VersionPush, how: VersionOrigin) -> PushReply {
    let versions = &core.active_version;
    let _step = versions.step.lock().await;
    let texts = match versions.with(|state| state.subscriber.admit(push)) {
        PushAdmission::Reply(said) => return said,
        PushAdmission::Validate(texts) => texts,
    };
    let next = match versions.deployment(push.version, &texts) {
        Ok(next) => next,
        Err(why) => return PushReply::Rejected(why),
    };
    let why = core.obstacles(&next, push.allows_cuts);
    if !why.is_empty() {
        return PushReply::Rejected(why);
    }
    let (now, counted) = (core.clock.now(), request_counts(core));
    let kept = versions.with(|state| {
        state
            .subscriber
            .prepare_trial(now, counted, push.version, texts.clone())
    });
    if let Err(why) = versions.save(&kept).await {
        return PushReply::Rejected(vec![format!("it can't be kept on disk: {why}")]);
    }
    if !core.activate(next) {
        // Not active, so it must not be on disk either.
        let former = versions.with(|state| state.subscriber.persisted().clone());
        if let Err(why) = versions.save(&former).await {
            warn!(
                why = why.to_string(),
                "a version that is not in force stays on disk"
            );
        }
        return PushReply::Rejected(vec![
            "more names have come and gone than are kept; a restart is needed".into(),
        ]);
    }
    versions.with(|state| {
        state
            .subscriber
            .start_trial(core.clock.now(), kept, request_counts(core));
        state.version_cache.record_active(
            push.version,
            texts,
            push.allows_cuts,
            &push.predecessors,
        );
    });
    ACTIVE_VERSION_NUMBER.store(push.version.number, Ordering::Relaxed);
    core.fencing.version_activated(push.version, how);
    info!(number = push.version.number, ?how, digest = ?push.version.digest, "a version is in force, on trial");
    PushReply::Applied
}

/// Checks the version on trial at intervals.
async fn watch_trial(core: Arc<DispatcherCore>, gave_up: async_channel::Sender<String>) {
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
        let (kept, why) = (outcome.persisted, outcome.rollback_reason);
        let before = versions.with(|state| state.subscriber.active_version());
        if let Some(why) = &why {
            // Active before it is on disk: a harmful version must not stay because a disk is full.
            let version = kept
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
                    "the version does harm, and the one before does not fit any more"
                );
                continue;
            }
        }
        if let Err(why) = versions.save(&kept).await {
            warn!(
                why = why.to_string(),
                "how a trial came out can't be kept on disk; a restart tries that version again"
            );
        }
        versions.with(|state| {
            state
                .subscriber
                .finish_trial(core.clock.now(), kept, request_counts(&core));
            let version_id = state.subscriber.active_version();
            ACTIVE_VERSION_NUMBER.store(version_id.number, Ordering::Relaxed);
            if why.is_some() {
                // A version that was rolled back here is not offered to others.
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
                    why, "a version is given up for the last good one"
                );
                let _ = gave_up.force_send(why);
            }
            None => info!(number = before.number, "a version has stood its trial"),
        }
    }
}
