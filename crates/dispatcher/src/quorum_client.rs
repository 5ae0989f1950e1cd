//! Sends requests to the quorum members.

use crate::core::DispatcherCore;
use crate::node_links::NodeConnection;
use corkspan_api::v1::{self, quorum_request::Operation};
use corkspan_rpc::within;
use std::sync::Arc;
use tonic::Response;

/// Sends a request to all quorum members at once. Returns the replies that arrive within twice the
/// connect timeout.
pub async fn request_all(
    core: &Arc<DispatcherCore>,
    request: Operation,
) -> Vec<v1::QuorumResponse> {
    let calls: Vec<_> = (core.deployment().quorum_members.iter())
        .filter_map(|member| core.node(*member))
        .map(|node| {
            let (core, request) = (
                Arc::clone(core),
                v1::QuorumRequest {
                    operation: Some(request.clone()),
                },
            );
            let tasks = Arc::clone(&core.tasks);
            tasks.spawn(async move { keep(&core, &node, request).await })
        })
        .collect();
    let mut replies = Vec::new();
    for call in calls {
        replies.extend(call.await);
    }
    replies
}

/// Sends a request to one quorum member, given by its index in the deployment.
pub async fn request_one(
    core: &Arc<DispatcherCore>,
    index: usize,
    request: Operation,
) -> Option<v1::QuorumResponse> {
    let member = *core.deployment().quorum_members.get(index)?;
    keep(
        core,
        &core.node(member)?,
        v1::QuorumRequest {
            operation: Some(request),
        },
    )
    .await
}

async fn keep(
    core: &DispatcherCore,
    node: &Arc<NodeConnection>,
    request: v1::QuorumRequest,
) -> Option<v1::QuorumResponse> {
    let _call = node.count_call();
    let exchange = async {
        let connection = node
            .ready(&core.tasks, &core.connection_limits)
            .await
            .ok()?;
        let client = v1::node_client::NodeClient::new(connection);
        // A reply contains all rollouts and their slots, so it may be longer than a client's
        // message.
        let mut client = client.max_decoding_message_size(16 << 20);
        client.keep(request).await.ok().map(Response::into_inner)
    };
    within(
        core.connection_limits.connect_timeout * 2,
        Box::pin(exchange),
    )
    .await
    .flatten()
}
