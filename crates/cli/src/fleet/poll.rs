//! Polls all dispatchers and nodes concurrently.

use crate::connection::{ANSWER_TIMEOUT, MAX_ANSWER_BYTES, connect};
use crate::error::Error;
use corkspan_api::v1::{self, node_client::NodeClient, versions_client::VersionsClient};
use corkspan_rpc::{Connection, SharedExecutor, within};
use corkspan_version_fencing::audit::{DispatcherReport, NodeObservation, RejectedVersion, Reply};
use corkspan_version_fencing::operations::{OperationKind, VersionedOperation};
use std::net::SocketAddr;

/// The operations recorded by each node, or `None` for a node that does not answer.
pub(super) type Observations = Vec<Reply<Vec<NodeObservation>>>;

pub(super) async fn versions_client(
    tasks: &SharedExecutor,
    address: SocketAddr,
) -> Result<VersionsClient<Connection>, Error> {
    let connection = connect(tasks, address).await?;
    Ok(VersionsClient::new(connection).max_decoding_message_size(MAX_ANSWER_BYTES))
}

/// The status of each, all polled at once; none where one does not answer in time.
pub(super) async fn poll_dispatchers(
    tasks: &SharedExecutor,
    addresses: &[SocketAddr],
) -> Vec<Option<v1::VersionStatus>> {
    let pending: Vec<_> = addresses
        .iter()
        .map(|&address| {
            let tasks_of_call = tasks.clone();
            tasks.spawn(within(ANSWER_TIMEOUT, async move {
                let mut client = versions_client(&tasks_of_call, address).await.ok()?;
                client
                    .status(v1::VersionStatusRequest {})
                    .await
                    .ok()
                    .map(tonic::Response::into_inner)
            }))
        })
        .collect();
    let mut reports = Vec::new();
    for poll in pending {
        reports.push(poll.await.flatten());
    }
    reports
}

/// Polls the operations that nodes have recorded.
pub(super) async fn poll_nodes(tasks: &SharedExecutor, addresses: &[SocketAddr]) -> Observations {
    let pending: Vec<_> = addresses
        .iter()
        .map(|&address| {
            let tasks_of_call = tasks.clone();
            tasks.spawn(within(ANSWER_TIMEOUT, async move {
                let connection = connect(&tasks_of_call, address).await.ok()?;
                let mut client =
                    NodeClient::new(connection).max_decoding_message_size(MAX_ANSWER_BYTES);
                client
                    .acts(v1::OperationsRequest {})
                    .await
                    .ok()
                    .map(tonic::Response::into_inner)
            }))
        })
        .collect();
    let mut reports = Vec::new();
    for (address, poll) in addresses.iter().zip(pending) {
        let observations = poll.await.flatten().map(|response| {
            let records = response.operations.iter();
            records
                .map(|record| NodeObservation {
                    dispatcher: record.dispatcher,
                    incarnation: record.incarnation,
                    version: record.version,
                    kind: kind(record.kind),
                    seen: record.count,
                    rejected: record.fenced,
                })
                .collect()
        });
        reports.push(Reply {
            address: address.to_string(),
            report: observations,
        });
    }
    reports
}

/// Converts the kind of an operation. A kind that only a later version of the program knows counts
/// as a claim; claims are not shown separately.
fn kind(kind: i32) -> OperationKind {
    usize::try_from(kind)
        .ok()
        .and_then(|kind| OperationKind::ALL.get(kind))
        .copied()
        .unwrap_or(OperationKind::Claim)
}

pub(super) fn dispatcher_report(status: &v1::VersionStatus) -> DispatcherReport {
    let running = status.active.clone().unwrap_or_default();
    let last_rejected = status
        .last_rejected
        .as_ref()
        .map(|version| RejectedVersion {
            version: version.number,
            reason: status.reasons.join("; "),
        });
    DispatcherReport {
        dispatcher: status.dispatcher,
        incarnation: status.incarnation,
        version: running.number,
        digest: running.digest,
        on_trial: status.on_trial,
        has_stream: !status.control_service.is_empty(),
        last_rejected,
        rolled_back: status
            .given_up
            .iter()
            .map(|version| version.number)
            .collect(),
        fenced: status.fenced,
        operations: status
            .operation_counts
            .iter()
            .map(|own| {
                (
                    VersionedOperation {
                        version: own.version,
                        kind: kind(own.kind as i32),
                    },
                    own.count,
                )
            })
            .collect(),
    }
}
