//! Catching up without a control service: requests the newest version from other dispatchers, then
//! from quorum members, and applies it like a pushed one. The order of the requests is decided in
//! `corkspan_version_fencing`.

use crate::active_version::{push_from_message, version_id_message};
use crate::config_stream::apply;
use crate::core::DispatcherCore;
use crate::link_counters::ConnectionKind;
use crate::quorum_client;
use corkspan_api::v1::{self, quorum_request::Operation, versions_client::VersionsClient};
use corkspan_config_sync::{PushReply, VersionPush};
use corkspan_rpc::{Connection, within};
use corkspan_version_fencing::catch_up::{
    CatchUp, CatchUpStatus, NextStep, RequestIntervals, RequestOutcome, VersionSource,
};
use corkspan_version_fencing::history::VersionOrigin;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};

/// Intervals between requests, in ticks of 0.1 ms.
const RETRY_INTERVALS: RequestIntervals = RequestIntervals {
    initial: 10_000,
    max: 200_000,
    idle: 200_000,
};
/// Longest message with one complete version, in bytes.
const MAX_PUSH_BYTES: usize = 8 << 20;

/// Requests newer versions until the future is dropped.
pub async fn run(core: Arc<DispatcherCore>) {
    let mut catch_up = CatchUp::new(core.fencing.incarnation ^ 1, RETRY_INTERVALS);
    while let Some(settings) = core.deployment().minimum_version.clone() {
        let status = CatchUpStatus {
            has_stream: core
                .active_version
                .with(|state| state.control_service.is_some()),
            fenced: core.fenced_by().is_some(),
            peers: settings.peers.len(),
            members: core.deployment().quorum_members.len(),
        };
        match catch_up.poll(core.clock.now(), status) {
            NextStep::Wait(time) => {
                async_io::Timer::after(crate::clock::duration(time.max(1))).await;
            }
            NextStep::Request(source) => {
                let outcome = request_version(&core, &settings.peers, source).await;
                catch_up.complete(core.clock.now(), outcome);
            }
        }
    }
}

async fn request_version(
    core: &Arc<DispatcherCore>,
    peers: &[SocketAddr],
    source: VersionSource,
) -> RequestOutcome {
    let running = core.deployment().version;
    let dispatcher = core.deployment().cluster.scheduler_index as u32;
    let request = v1::FetchVersionRequest {
        active: Some(version_id_message(running)),
        dispatcher,
    };
    let push = match source {
        VersionSource::Peer(index) => match peers.get(index) {
            Some(&peer) => request_from_peer(core, peer, request).await,
            None => None,
        },
        VersionSource::QuorumMember(index) => {
            quorum_client::request_one(core, index, Operation::FetchVersion(request))
                .await
                .and_then(|reply| reply.fetched_version)
        }
    };
    // A reply without a version means that the source has no newer one.
    let Some(push) = push.filter(|push| push.version.is_some()) else {
        return RequestOutcome::Unchanged;
    };
    let Some(push) = push_from_message(push) else {
        warn!(
            ?source,
            "received a version with a malformed id: a number above 0 and 64 hexadecimal digits are required"
        );
        return RequestOutcome::Unchanged;
    };
    // Treated as a complete version: changes to a base could be combined into a version that was
    // never active here.
    let push = VersionPush {
        base: None,
        removed: Vec::new(),
        ..push
    };
    match apply(core, &push, VersionOrigin::CatchUp).await {
        PushReply::Applied => {
            info!(number = push.version.number, ?source, "caught up");
            RequestOutcome::Advanced
        }
        PushReply::Rejected(why) => {
            warn!(
                number = push.version.number,
                ?source,
                ?why,
                "rejected a version while catching up"
            );
            core.active_version
                .with(|state| state.last_rejected = Some((push.version, why)));
            RequestOutcome::Unchanged
        }
        PushReply::Unchanged | PushReply::Superseded(_) | PushReply::FullRequired => {
            RequestOutcome::Unchanged
        }
    }
}

async fn request_from_peer(
    core: &Arc<DispatcherCore>,
    peer: SocketAddr,
    request: v1::FetchVersionRequest,
) -> Option<v1::VersionPush> {
    let timeout = core.connection_limits.connect_timeout * 4 + Duration::from_secs(1);
    let exchange = async {
        let meter = core.connection_counters.meter(ConnectionKind::Dispatchers);
        let connection =
            Connection::open_counted(&core.tasks, peer, &core.connection_limits, &meter)
                .await
                .ok()?;
        let mut client = VersionsClient::new(connection).max_decoding_message_size(MAX_PUSH_BYTES);
        client
            .give(request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    within(timeout, Box::pin(exchange)).await.flatten()
}
