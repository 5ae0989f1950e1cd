//! Requests the cordon status of machines, and changes it.

use crate::core::DispatcherCore;
use corkspan_api::v1;
use corkspan_api::v1::cordon_request::CordonAction;
use corkspan_api::v1::node_client::NodeClient;
use corkspan_maintenance::quorum_view::MachineStatus;
use corkspan_maintenance::{ClaimId, Machine};
use corkspan_rpc::within;
use corkspan_scheduler::interface::MachineId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Returns the status of these machines, each for the given claim. Machines that do not answer are
/// left out.
pub async fn machine_statuses(
    core: &Arc<DispatcherCore>,
    claims: BTreeMap<Machine, Option<ClaimId>>,
) -> BTreeMap<Machine, MachineStatus> {
    let mut calls = Vec::new();
    for (machine, claim) in claims {
        let (claim, owned_core) = (claim.unwrap_or(ClaimId(0)), Arc::clone(core));
        calls.push((
            machine,
            claim,
            core.tasks.spawn(async move {
                cordon_request(&owned_core, machine, claim, CordonAction::Get).await
            }),
        ));
    }
    let mut statuses = BTreeMap::new();
    for (machine, claim, call) in calls {
        if let Some(reply) = call.await {
            let cordon = (reply.cordoned_for != 0).then_some(ClaimId(reply.cordoned_for));
            let finished_claim = reply.claim_ended.then_some(claim).into_iter().collect();
            statuses.insert(
                machine,
                MachineStatus {
                    cordoned_by: cordon,
                    finished: finished_claim,
                    running: reply.running,
                    unchanged_ms: reply.since_ms,
                },
            );
        }
    }
    statuses
}

pub async fn cordon_request(
    core: &Arc<DispatcherCore>,
    machine: Machine,
    claim: ClaimId,
    action: CordonAction,
) -> Option<v1::CordonResponse> {
    let node = core.node(MachineId(machine.0))?;
    let _call = node.count_call();
    let request = v1::CordonRequest {
        claim: claim.0,
        action: action.into(),
    };
    let exchange = async {
        let connection = node
            .ready(&core.tasks, &core.connection_limits)
            .await
            .ok()?;
        NodeClient::new(connection)
            .door(request)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    };
    within(
        core.connection_limits.connect_timeout * 2,
        Box::pin(exchange),
    )
    .await
    .flatten()
}
