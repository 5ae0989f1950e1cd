//! Machine maintenance: quorum members and machines are polled, and steps sent to them. The
//! decisions are in `corkspan_maintenance`; any dispatcher may take the next step.

use crate::clock::duration;
use crate::core::DispatcherCore;
use crate::machine_status::{cordon_request, machine_statuses};
use crate::maintenance_messages;
use crate::quorum_client::request_all;
use corkspan_api::v1::cordon_request::CordonAction as Do;
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

/// A claim that no majority holds after this time was abandoned by its dispatcher.
const ABANDONED_CLAIM_TIMEOUT: Ticks = 100_000;
/// Between two reports of cost estimates.
const COST_REPORT_INTERVAL: Ticks = 50_000;
/// Machines polled in one round whether they could be taken next: of the cheapest, and by chance.
const CANDIDATES: usize = 8;

/// Reconciles at intervals, for as long as it is polled.
pub async fn run(core: Arc<DispatcherCore>) {
    let mut rng = Pcg64Mcg::seed_from_u64(core.fencing.incarnation ^ 2);
    let mut first_seen: BTreeMap<ClaimId, Ticks> = BTreeMap::new();
    let mut bid_at = 0;
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
            let old = first_seen
                .iter()
                .filter(|(_, at)| **at + ABANDONED_CLAIM_TIMEOUT <= now)
                .map(|(claim, _)| *claim);
            let old: BTreeSet<ClaimId> = old.collect();
            if let Some(wish) = view.request.as_ref().filter(|_| bid_at <= now) {
                bid_at = now + COST_REPORT_INTERVAL;
                report_costs(&core, wish).await;
            }
            if sampled(core.deployment().cluster.scheduler_count, rng.random()) {
                apply_actions(&core, &view, &old, &mut rng).await;
            }
        }
        async_io::Timer::after(duration(every)).await;
    }
}

/// What a majority of the quorum members holds; none without a majority.
async fn quorum_view(core: &Arc<DispatcherCore>) -> Option<QuorumView> {
    let fleet = core.deployment().cluster.scheduler_count as u32;
    let tell = v1::QuorumQuery {
        minimum_version_only: true,
        include_leases: true,
        fleet_size: fleet,
        ..v1::QuorumQuery::default()
    };
    let replies = request_all(core, Operation::Query(tell)).await;
    let replies: Vec<_> = replies
        .iter()
        .filter_map(|word| {
            word.leases
                .as_ref()
                .map(maintenance_messages::member_reply_from_message)
        })
        .collect();
    QuorumView::from_replies(&replies, core.deployment().quorum_members.len())
}

async fn report_costs(core: &Arc<DispatcherCore>, wish: &MaintenanceRequest) {
    let held = core
        .allocations_by_machine()
        .into_iter()
        .filter(|(own, _)| wish.machines.contains_key(&Machine(own.0)));
    let costs = held
        .map(|(own, (movable, once))| (own.0, estimate_cost(movable, once)))
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
    old: &BTreeSet<ClaimId>,
    rng: &mut Pcg64Mcg,
) {
    let says = machine_statuses(
        core,
        view.machines_to_poll(CANDIDATES, |of| rng.random_range(0..of)),
    )
    .await;
    let claim = ClaimId(rng.random_range(1..=u64::MAX));
    let lost = BTreeMap::new();
    let keepers = core.deployment().quorum_members.len();
    // A rollout needs its replicas: during one no further machine is taken.
    let gives_way = core.with_rollouts(|_, rollouts| rollouts.in_progress());
    let own = ReconcileContext {
        members: keepers,
        next_claim: claim,
        may_claim: true,
        expired: old,
        unreachable: &lost,
        hold_claims: gives_way,
    };
    let next = reconcile(view, &says, &own);
    // Machines first: the steps sent to the quorum members in this round don't depend on their
    // answers.
    let cordon = next.cordon.iter().map(|lease| (lease, Do::Cordon));
    let uncordon = next.uncordon.iter().map(|lease| (lease, Do::Uncordon));
    let stop = next.stop.iter().map(|lease| (lease, Do::Stop));
    for (lease, what) in cordon.chain(uncordon).chain(stop) {
        cordon_request(core, lease.machine, lease.claim, what).await;
    }
    for step in maintenance_messages::step_messages(&next) {
        request_all(core, Operation::MaintenanceStep(step)).await;
    }
    if let Some(claim) = next.claim {
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
    let keepers = core.deployment().quorum_members.len();
    if keepers == 0 || core.deployment().maintenance_interval.is_none() {
        return Err(Status::failed_precondition(
            "the deployment names no keepers, or has no `(maintenance …)`",
        ));
    }
    let Some(view) = quorum_view(core).await else {
        return Err(Status::unavailable("no majority of the keepers answers"));
    };
    let what = request.action();
    let taken = match what {
        Action::Status => true,
        Action::Done => complete(core, &view, &request).await?,
        _ => propose(core, &view, request).await?,
    };
    let text = if taken {
        ""
    } else {
        "turned down: another wish stands, or no majority has taken it"
    };
    let after = self::quorum_view(core).await.unwrap_or(view);
    let says = machine_statuses(core, after.machines_to_poll(0, |_| 0)).await;
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
            .filter(move |(_, own)| **own == end)
            .map(|(machine, _)| machine.0)
    };
    Ok(v1::MaintenanceResponse {
        accepted: taken,
        message: text.into(),
        current: after
            .request
            .as_ref()
            .map(maintenance_messages::request_message),
        leases: after.unavailable().filter_map(phase).collect(),
        completed: ended(LeaseOutcome::Completed).collect(),
        skipped: ended(LeaseOutcome::Skipped).collect(),
        in_maintenance: after
            .drained(&says)
            .into_iter()
            .map(|lease| lease.machine.0)
            .collect(),
    })
}

/// Records that the work on each named machine is completed.
async fn complete(
    core: &Arc<DispatcherCore>,
    view: &QuorumView,
    request: &v1::MaintenanceRequest,
) -> Result<bool, Status> {
    let says = machine_statuses(core, view.machines_to_poll(0, |_| 0)).await;
    let in_work = view.drained(&says).into_iter();
    let in_work: BTreeMap<Machine, ClaimId> =
        in_work.map(|lease| (lease.machine, lease.claim)).collect();
    for node in &request.nodes {
        let machine = Machine(*node);
        let Some(claim) = in_work.get(&machine) else {
            return Err(Status::failed_precondition(format!(
                "machine {node} is not in work"
            )));
        };
        let step = v1::MaintenanceStep {
            node: *node,
            claim: claim.0,
            step: v1::maintenance_step::Step::Completed.into(),
            ..v1::MaintenanceStep::default()
        };
        let heard = request_all(core, Operation::MaintenanceStep(step))
            .await
            .len();
        let keepers = core.deployment().quorum_members.len();
        if !is_majority(heard, keepers) {
            let text = format!(
                "{heard} of {keepers} keepers have heard that machine {node} is done: say it again"
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
    let wish = match (request.action(), &view.request) {
        (Action::Start, _) => start(core, view, request, number, proposer)?,
        (_, None) => return Err(Status::not_found("there is no work under way")),
        (Action::Pause, Some(wish)) => MaintenanceRequest {
            revision: number,
            proposer,
            run_state: RunState::Paused,
            ..wish.clone()
        },
        (Action::Resume, Some(wish)) => MaintenanceRequest {
            revision: number,
            proposer,
            run_state: RunState::Running,
            ..wish.clone()
        },
        (_, Some(wish)) => MaintenanceRequest {
            revision: number,
            proposer,
            run_state: RunState::Aborted,
            ..wish.clone()
        },
    };
    let replies = request_all(
        core,
        Operation::Maintenance(maintenance_messages::request_message(&wish)),
    )
    .await;
    let stands: Vec<MaintenanceRequest> = replies
        .iter()
        .filter_map(|word| {
            maintenance_messages::request_from_message(word.leases.as_ref()?.plan.as_ref()?)
        })
        .collect();
    info!(number, course = ?wish.run_state, machines = wish.machines.len(), "a wish for work on machines");
    Ok(committed(&stands, core.deployment().quorum_members.len()) == Some(&wish))
}

fn start(
    core: &Arc<DispatcherCore>,
    view: &QuorumView,
    request: v1::MaintenanceRequest,
    number: u64,
    proposer: u64,
) -> Result<MaintenanceRequest, Status> {
    let wrong = |why: String| Status::invalid_argument(why);
    let [all, hall, cell, kind] = request.limits[..] else {
        return Err(wrong("limits: four are wanted".into()));
    };
    let entries = core.endpoints();
    let mut machines = BTreeMap::new();
    for node in &request.nodes {
        let entry = entries.get(&MachineId(*node));
        let entry =
            entry.ok_or_else(|| wrong(format!("machine {node} is not in the roster's list")))?;
        let at = MachineDomains {
            zone: entry.zone.0 as u32,
            cell: entry.cell.0,
            machine_type: entry.machine_type.0 as u32,
        };
        machines.insert(Machine(*node), at);
    }
    let limits = DisruptionLimits {
        total: all,
        zone: hall,
        cell,
        machine_type: kind,
    };
    let keepers: Vec<Machine> = core
        .deployment()
        .quorum_members
        .iter()
        .map(|own| Machine(own.0))
        .collect();
    let begun = view.check_start(&machines, &limits, &keepers);
    begun.map_err(|why| Status::failed_precondition(why.to_string()))?;
    let (warm_ms, empty_within_ms) = (request.warm_up_ms, request.drain_timeout_ms);
    let then = maintenance_messages::drain_timeout_action(request.on_drain_timeout());
    let job = proposer;
    Ok(MaintenanceRequest {
        revision: number,
        proposer,
        job,
        machines,
        limits,
        warm_up_ms: warm_ms,
        drain_timeout_ms: empty_within_ms,
        on_drain_timeout: then,
        run_state: RunState::Running,
    })
}
