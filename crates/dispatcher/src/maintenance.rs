//! Machine maintenance: polls quorum members and machines, and sends them the steps that
//! `corkspan_maintenance` decides. Any dispatcher may take the next step.

use crate::clock::duration;
use crate::core::DispatcherCore;
use crate::machine_status::{cordon_request, machine_statuses};
use crate::maintenance_messages;
use crate::quorum_client::request_all;
use corkspan_api::v1::cordon_request::CordonAction;
use corkspan_api::v1::{self, maintenance_request::Action, quorum_request::Operation};
use corkspan_maintenance::cost::estimate_cost;
use corkspan_maintenance::quorum_view::QuorumView;
use corkspan_maintenance::reconcile::{ReconcileContext, reconcile};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, LeaseOutcome, LeasePhase, LeaseProgress, Machine, MachineDomains,
    MaintenanceRequest, RunState,
};
use corkspan_quorum::{committed, is_majority, sampled};
use corkspan_scheduler::interface::{MachineId, Ticks};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tonic::Status;
use tracing::info;

/// A claim that no majority holds after this time was abandoned by its dispatcher. In ticks.
const ABANDONED_CLAIM_TIMEOUT: Ticks = 100_000;
/// Interval between two reports of cost estimates, in ticks.
const COST_REPORT_INTERVAL: Ticks = 50_000;
/// Number of the cheapest candidates polled in one round, and of further ones drawn at random.
const CANDIDATES: usize = 8;

/// Reconciles at intervals until the future is dropped.
pub async fn run(core: Arc<DispatcherCore>) {
    let mut rng = Pcg64Mcg::seed_from_u64(core.fencing.incarnation ^ 2);
    let mut first_seen: BTreeMap<ClaimId, Ticks> = BTreeMap::new();
    let mut next_report = 0;
    while let Some(every) = core.deployment().maintenance_interval {
        if let Some(view) = quorum_view(&core).await {
            let now = core.clock.now();
            for progress in view.unavailable() {
                if progress.phase == LeasePhase::Cordoned {
                    core.drain(MachineId(progress.lease.machine.0));
                }
            }
            let waiting = view.leases.iter().filter(|observed| {
                observed
                    .phase
                    .is_none_or(|phase| phase == LeasePhase::Requested)
            });
            let waiting: BTreeSet<ClaimId> = waiting.map(|observed| observed.lease.claim).collect();
            first_seen.retain(|claim, _| waiting.contains(claim));
            for claim in waiting {
                first_seen.entry(claim).or_insert(now);
            }
            let expired = first_seen
                .iter()
                .filter(|(_, at)| **at + ABANDONED_CLAIM_TIMEOUT <= now)
                .map(|(claim, _)| *claim);
            let expired: BTreeSet<ClaimId> = expired.collect();
            if let Some(maintenance) = view.request.as_ref().filter(|_| next_report <= now) {
                next_report = now + COST_REPORT_INTERVAL;
                report_costs(&core, maintenance).await;
            }
            if sampled(core.deployment().cluster.scheduler_count, rng.random()) {
                apply_actions(&core, &view, &expired, &mut rng).await;
            }
        }
        async_io::Timer::after(duration(every)).await;
    }
}

/// Returns the state that a majority of the quorum members holds; none without a majority.
async fn quorum_view(core: &Arc<DispatcherCore>) -> Option<QuorumView> {
    let fleet = core.deployment().cluster.scheduler_count as u32;
    let query = v1::QuorumQuery {
        minimum_version_only: true,
        include_leases: true,
        fleet_size: fleet,
        ..v1::QuorumQuery::default()
    };
    let replies = request_all(core, Operation::Query(query)).await;
    let replies: Vec<_> = replies
        .iter()
        .filter_map(|reply| {
            reply
                .leases
                .as_ref()
                .map(maintenance_messages::member_reply_from_message)
        })
        .collect();
    QuorumView::from_replies(&replies, core.deployment().quorum_members.len())
}

async fn report_costs(core: &Arc<DispatcherCore>, maintenance: &MaintenanceRequest) {
    let held = core
        .allocations_by_machine()
        .into_iter()
        .filter(|(node, _)| maintenance.machines.contains_key(&Machine(node.0)));
    let costs = held
        .map(|(node, (movable, not_retryable))| (node.0, estimate_cost(movable, not_retryable)))
        .collect();
    let dispatcher = core.deployment().cluster.scheduler_index as u32;
    request_all(
        core,
        Operation::CostEstimates(v1::CostEstimates { dispatcher, costs }),
    )
    .await;
}

async fn apply_actions(
    core: &Arc<DispatcherCore>,
    view: &QuorumView,
    expired_claims: &BTreeSet<ClaimId>,
    rng: &mut Pcg64Mcg,
) {
    let statuses = machine_statuses(
        core,
        view.machines_to_poll(CANDIDATES, |of| rng.random_range(0..of)),
    )
    .await;
    let claim = ClaimId(rng.random_range(1..=u64::MAX));
    let unreachable = BTreeMap::new();
    let member_count = core.deployment().quorum_members.len();
    // A rollout needs its replicas, so no further machine is claimed during one.
    let rollout_in_progress = core.with_rollouts(|_, rollouts| rollouts.in_progress());
    let context = ReconcileContext {
        members: member_count,
        next_claim: claim,
        may_claim: true,
        expired: expired_claims,
        unreachable: &unreachable,
        hold_claims: rollout_in_progress,
    };
    let actions = reconcile(view, &statuses, &context);
    // Requests to machines are sent first; the steps sent to the quorum members in this round don't
    // depend on their answers.
    let cordon = actions
        .cordon
        .iter()
        .map(|lease| (lease, CordonAction::Cordon));
    let uncordon = actions
        .uncordon
        .iter()
        .map(|lease| (lease, CordonAction::Uncordon));
    let stop = actions.stop.iter().map(|lease| (lease, CordonAction::Stop));
    for (lease, action) in cordon.chain(uncordon).chain(stop) {
        cordon_request(core, lease.machine, lease.claim, action).await;
    }
    for step in maintenance_messages::step_messages(&actions) {
        request_all(core, Operation::MaintenanceStep(step)).await;
    }
    if let Some(claim) = actions.claim {
        let message = v1::MaintenanceClaim {
            revision: claim.revision,
            node: claim.lease.machine.0,
            claim: claim.lease.claim.0,
            slots: claim.slots.to_array().to_vec(),
        };
        request_all(core, Operation::MaintenanceClaim(message)).await;
    }
}

/// Carries out an operator's request.
pub async fn maintain(
    core: &Arc<DispatcherCore>,
    request: v1::MaintenanceRequest,
) -> Result<v1::MaintenanceResponse, Status> {
    let members = core.deployment().quorum_members.len();
    if members == 0 || core.deployment().maintenance_interval.is_none() {
        return Err(Status::failed_precondition(
            "the deployment names no quorum members (it has no `(keepers …)`), or has no `(maintenance …)`",
        ));
    }
    let Some(view) = quorum_view(core).await else {
        return Err(Status::unavailable(
            "no majority of the quorum members answered",
        ));
    };
    let action = request.action();
    let is_accepted = match action {
        Action::Status => true,
        Action::Done => complete(core, &view, &request).await?,
        _ => propose(core, &view, request).await?,
    };
    let text = if is_accepted {
        ""
    } else {
        "rejected: another request is committed, or no majority has accepted this one"
    };
    let after = self::quorum_view(core).await.unwrap_or(view);
    let statuses = machine_statuses(core, after.machines_to_poll(0, |_| 0)).await;
    let phase = |LeaseProgress { lease, phase }| {
        let observed = after.leases.iter().find(|observed| observed.id() == lease);
        observed.map(|observed| {
            maintenance_messages::lease_message(lease.machine, &observed.lease, phase)
        })
    };
    let ended = |end| {
        after
            .outcomes
            .iter()
            .filter(move |(_, outcome)| **outcome == end)
            .map(|(machine, _)| machine.0)
    };
    Ok(v1::MaintenanceResponse {
        accepted: is_accepted,
        message: text.into(),
        current: after
            .request
            .as_ref()
            .map(maintenance_messages::request_message),
        leases: after.unavailable().filter_map(phase).collect(),
        completed: ended(LeaseOutcome::Completed).collect(),
        skipped: ended(LeaseOutcome::Skipped).collect(),
        in_maintenance: after
            .drained(&statuses)
            .into_iter()
            .map(|lease| lease.machine.0)
            .collect(),
    })
}

/// Records that the maintenance of each named machine is completed.
async fn complete(
    core: &Arc<DispatcherCore>,
    view: &QuorumView,
    request: &v1::MaintenanceRequest,
) -> Result<bool, Status> {
    let statuses = machine_statuses(core, view.machines_to_poll(0, |_| 0)).await;
    let in_maintenance = view.drained(&statuses).into_iter();
    let in_maintenance: BTreeMap<Machine, ClaimId> = in_maintenance
        .map(|lease| (lease.machine, lease.claim))
        .collect();
    for node in &request.nodes {
        let machine = Machine(*node);
        let Some(claim) = in_maintenance.get(&machine) else {
            return Err(Status::failed_precondition(format!(
                "machine {node} is not in maintenance"
            )));
        };
        let step = v1::MaintenanceStep {
            node: *node,
            claim: claim.0,
            step: v1::maintenance_step::Step::Completed.into(),
            ..v1::MaintenanceStep::default()
        };
        let reply_count = request_all(core, Operation::MaintenanceStep(step))
            .await
            .len();
        let members = core.deployment().quorum_members.len();
        if !is_majority(reply_count, members) {
            let text = format!(
                "{reply_count} of {members} quorum members have recorded that machine {node} is completed; repeat the request"
            );
            return Err(Status::unavailable(text));
        }
    }
    Ok(true)
}

async fn propose(
    core: &Arc<DispatcherCore>,
    view: &QuorumView,
    request: v1::MaintenanceRequest,
) -> Result<bool, Status> {
    let proposer = core.clock.now().rotate_left(24) ^ core.fencing.incarnation;
    let number = view.highest_revision.saturating_add(1);
    let maintenance = match (request.action(), &view.request) {
        (Action::Start, _) => start(core, view, request, number, proposer)?,
        (_, None) => return Err(Status::not_found("there is no maintenance in progress")),
        (Action::Pause, Some(maintenance)) => MaintenanceRequest {
            revision: number,
            proposer,
            run_state: RunState::Paused,
            ..maintenance.clone()
        },
        (Action::Resume, Some(maintenance)) => MaintenanceRequest {
            revision: number,
            proposer,
            run_state: RunState::Running,
            ..maintenance.clone()
        },
        (_, Some(maintenance)) => MaintenanceRequest {
            revision: number,
            proposer,
            run_state: RunState::Aborted,
            ..maintenance.clone()
        },
    };
    let replies = request_all(
        core,
        Operation::Maintenance(maintenance_messages::request_message(&maintenance)),
    )
    .await;
    let proposals: Vec<MaintenanceRequest> = replies
        .iter()
        .filter_map(|reply| {
            maintenance_messages::request_from_message(reply.leases.as_ref()?.plan.as_ref()?)
        })
        .collect();
    info!(number, run_state = ?maintenance.run_state, machines = maintenance.machines.len(), "proposed a maintenance request");
    Ok(committed(&proposals, core.deployment().quorum_members.len()) == Some(&maintenance))
}

fn start(
    core: &Arc<DispatcherCore>,
    view: &QuorumView,
    request: v1::MaintenanceRequest,
    number: u64,
    proposer: u64,
) -> Result<MaintenanceRequest, Status> {
    let invalid = |why: String| Status::invalid_argument(why);
    let [total_limit, zone_limit, cell, machine_type_limit] = request.limits[..] else {
        return Err(invalid("limits: four values are required".into()));
    };
    let entries = core.endpoints();
    let mut machines = BTreeMap::new();
    for node in &request.nodes {
        let entry = entries.get(&MachineId(*node));
        let entry =
            entry.ok_or_else(|| invalid(format!("machine {node} is not in the endpoint list")))?;
        let at = MachineDomains {
            zone: entry.zone.0 as u32,
            cell: entry.cell.0,
            machine_type: entry.machine_type.0 as u32,
        };
        machines.insert(Machine(*node), at);
    }
    let limits = DisruptionLimits {
        total: total_limit,
        zone: zone_limit,
        cell,
        machine_type: machine_type_limit,
    };
    let members: Vec<Machine> = core
        .deployment()
        .quorum_members
        .iter()
        .map(|member| Machine(member.0))
        .collect();
    let checked = view.check_start(&machines, &limits, &members);
    checked.map_err(|why| Status::failed_precondition(why.to_string()))?;
    let (warm_up, drain_timeout) = (request.warm_up_ms, request.drain_timeout_ms);
    let on_timeout = maintenance_messages::drain_timeout_action(request.on_drain_timeout());
    let job = proposer;
    Ok(MaintenanceRequest {
        revision: number,
        proposer,
        job,
        machines,
        limits,
        warm_up_ms: warm_up,
        drain_timeout_ms: drain_timeout,
        on_drain_timeout: on_timeout,
        run_state: RunState::Running,
    })
}
