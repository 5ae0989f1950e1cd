//! Machines asked for the status of their cordon, or told to change it.

use crate::core::DispatcherCore;
use corkspan_api::v1;
use corkspan_api::v1::cordon_request::CordonAction as Do;
use corkspan_api::v1::node_client::NodeClient;
use corkspan_maintenance::quorum_view::MachineStatus;
use corkspan_maintenance::{ClaimId, Machine};
use corkspan_rpc::within;
use corkspan_scheduler::interface::MachineId;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The status of these machines, each asked about its claim.
pub async fn machine_statuses(
    core: &Arc<DispatcherCore>,
    asks: BTreeMap<Machine, Option<ClaimId>>,
) -> BTreeMap<Machine, MachineStatus> {
    let mut calls = Vec::new();
    for (machine, claim) in asks {
        let (claim, own) = (claim.unwrap_or(ClaimId(0)), Arc::clone(core));
        calls.push((
            machine,
            claim,
            core.tasks
                .spawn(async move { cordon_request(&own, machine, claim, Do::Get).await }),
        ));
    }
    let mut says = BTreeMap::new();
    for (machine, claim, call) in calls {
        if let Some(word) = call.await {
            let closed = (word.cordoned_for != 0).then_some(ClaimId(word.cordoned_for));
            let over = word.claim_ended.then_some(claim).into_iter().collect();
            says.insert(
                machine,
                MachineStatus {
                    cordoned_by: closed,
                    finished: over,
                    running: word.running,
                    unchanged_ms: word.since_ms,
                },
            );
        }
    }
    says
}

pub async fn cordon_request(
    core: &Arc<DispatcherCore>,
    machine: Machine,
    claim: ClaimId,
    what: Do,
) -> Option<v1::CordonResponse> {
    let node = core.node(MachineId(machine.0))?;
    let _call = node.count_call();
    let request = v1::CordonRequest {
        claim: claim.0,
        action: what.into(),
    };
    let whole = async {
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
    within(core.connection_limits.connect_timeout * 2, Box::pin(whole))
        .await
        .flatten()
}
