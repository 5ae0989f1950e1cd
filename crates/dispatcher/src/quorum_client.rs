//! Asking the keepers, all at once.

use crate::core::Desk;
use crate::node_links::NodeLink;
use corkspan_api::v1::{self, quorum_request::Operation};
use corkspan_rpc::within;
use std::sync::Arc;
use tonic::Response;

/// Asks all keepers at once; what those say that answer within a link's time.
pub async fn ask_all(desk: &Arc<Desk>, ask: Operation) -> Vec<v1::QuorumResponse> {
    let calls: Vec<_> = (desk.deployment().keepers.iter())
        .filter_map(|keeper| desk.node(*keeper))
        .map(|node| {
            let (desk, ask) = (
                Arc::clone(desk),
                v1::QuorumRequest {
                    operation: Some(ask.clone()),
                },
            );
            let tasks = Arc::clone(&desk.tasks);
            tasks.spawn(async move { keep(&desk, &node, ask).await })
        })
        .collect();
    let mut words = Vec::new();
    for call in calls {
        words.extend(call.await);
    }
    words
}

/// Asks the how-manieth keeper alone.
pub async fn ask_one(desk: &Arc<Desk>, which: usize, ask: Operation) -> Option<v1::QuorumResponse> {
    let keeper = *desk.deployment().keepers.get(which)?;
    keep(
        desk,
        &desk.node(keeper)?,
        v1::QuorumRequest {
            operation: Some(ask),
        },
    )
    .await
}

async fn keep(
    desk: &Desk,
    node: &Arc<NodeLink>,
    ask: v1::QuorumRequest,
) -> Option<v1::QuorumResponse> {
    let _call = node.call();
    let whole = async {
        let link = node.ready(&desk.tasks, &desk.link_bounds).await.ok()?;
        let client = v1::node_client::NodeClient::new(link);
        // Longer than a client's message: all rolls and their slots.
        let mut client = client.max_decoding_message_size(16 << 20);
        client.keep(ask).await.ok().map(Response::into_inner)
    };
    within(desk.link_bounds.connect_within * 2, Box::pin(whole))
        .await
        .flatten()
}
