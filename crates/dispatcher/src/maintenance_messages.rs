//! Conversions between machine maintenance and messages of `corkspan.v1`.

use corkspan_api::v1::{self, maintenance_step::Step};
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseTable};
use corkspan_maintenance::quorum_view::MemberReply;
use corkspan_maintenance::reconcile::Actions;
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, JobOutcome, LeaseId, LeaseOutcome, LeasePhase,
    Machine, MachineDomains, MaintenanceLease, MaintenanceRequest, RunState, Slots,
};
use std::collections::BTreeMap;

fn phase(step: Step) -> Option<LeasePhase> {
    Some(match step {
        Step::None => LeasePhase::Requested,
        Step::Granted => LeasePhase::Granted,
        Step::Cordoned => LeasePhase::Cordoned,
        Step::Drained => LeasePhase::Drained,
        Step::Completed => LeasePhase::Completed,
        Step::Cancelled => LeasePhase::Cancelled,
        Step::Withdrawn | Step::Released => return None,
    })
}

fn step(phase: LeasePhase) -> Step {
    match phase {
        LeasePhase::Requested => Step::None,
        LeasePhase::Granted => Step::Granted,
        LeasePhase::Cordoned => Step::Cordoned,
        LeasePhase::Drained => Step::Drained,
        LeasePhase::Completed => Step::Completed,
        LeasePhase::Cancelled => Step::Cancelled,
    }
}

fn machine_message(machine: Machine, machine_domains: MachineDomains) -> v1::MaintenanceMachine {
    v1::MaintenanceMachine {
        node: machine.0,
        zone: machine_domains.zone,
        cell: machine_domains.cell,
        machine_type: machine_domains.machine_type,
    }
}

fn machine_from_message(message: &v1::MaintenanceMachine) -> (Machine, MachineDomains) {
    (
        Machine(message.node),
        MachineDomains {
            zone: message.zone,
            cell: message.cell,
            machine_type: message.machine_type,
        },
    )
}

/// Converts a request for maintenance to a message.
pub fn request_message(request: &MaintenanceRequest) -> v1::MaintenancePlan {
    v1::MaintenancePlan {
        revision: request.revision,
        proposer: request.proposer,
        job: request.job,
        machines: request
            .machines
            .iter()
            .map(|(machine, machine_domains)| machine_message(*machine, *machine_domains))
            .collect(),
        limits: request.limits.to_array().to_vec(),
        warm_up_ms: request.warm_up_ms,
        drain_timeout_ms: request.drain_timeout_ms,
        on_drain_timeout: match request.on_drain_timeout {
            DrainTimeoutAction::Wait => v1::maintenance_plan::DrainTimeoutAction::Wait,
            DrainTimeoutAction::Skip => v1::maintenance_plan::DrainTimeoutAction::Skip,
            DrainTimeoutAction::Stop => v1::maintenance_plan::DrainTimeoutAction::Stop,
        }
        .into(),
        run_state: match request.run_state {
            RunState::Running => v1::maintenance_plan::RunState::Running,
            RunState::Paused => v1::maintenance_plan::RunState::Paused,
            RunState::Aborted => v1::maintenance_plan::RunState::Aborted,
        }
        .into(),
    }
}

/// Converts a message to a request for maintenance. Returns none if it does not have four limits.
pub fn request_from_message(message: &v1::MaintenancePlan) -> Option<MaintenanceRequest> {
    let [total_limit, zone_limit, cell, machine_type_limit] = message.limits[..] else {
        return None;
    };
    Some(MaintenanceRequest {
        revision: message.revision,
        proposer: message.proposer,
        job: message.job,
        machines: message.machines.iter().map(machine_from_message).collect(),
        limits: DisruptionLimits {
            total: total_limit,
            zone: zone_limit,
            cell,
            machine_type: machine_type_limit,
        },
        warm_up_ms: message.warm_up_ms,
        drain_timeout_ms: message.drain_timeout_ms,
        on_drain_timeout: drain_timeout_action(message.on_drain_timeout()),
        run_state: match message.run_state() {
            v1::maintenance_plan::RunState::Running => RunState::Running,
            v1::maintenance_plan::RunState::Paused => RunState::Paused,
            v1::maintenance_plan::RunState::Aborted => RunState::Aborted,
        },
    })
}

/// Converts the action for a machine that does not drain in time.
pub fn drain_timeout_action(then: v1::maintenance_plan::DrainTimeoutAction) -> DrainTimeoutAction {
    match then {
        v1::maintenance_plan::DrainTimeoutAction::Wait => DrainTimeoutAction::Wait,
        v1::maintenance_plan::DrainTimeoutAction::Skip => DrainTimeoutAction::Skip,
        v1::maintenance_plan::DrainTimeoutAction::Stop => DrainTimeoutAction::Stop,
    }
}

/// Converts a lease to a message, with the phase that a majority reports.
pub fn lease_message(
    machine: Machine,
    lease: &MaintenanceLease,
    phase: LeasePhase,
) -> v1::MaintenanceLease {
    v1::MaintenanceLease {
        machine: Some(machine_message(machine, lease.domains)),
        claim: lease.claim.0,
        job: lease.job,
        slots: lease.slots.to_array().to_vec(),
        phase: step(phase).into(),
    }
}

/// Converts everything that a quorum member stores to a message, for a fleet of `fleet`
/// dispatchers.
pub fn lease_table_message(lease_table: &LeaseTable, fleet: u32) -> v1::LeaseTable {
    let ended = |which| {
        lease_table
            .outcomes()
            .filter(move |(_, end)| *end == which)
            .map(|(machine, _)| machine.0)
    };
    let votes = |which| {
        lease_table
            .votes()
            .filter(move |(_, vote)| *vote == which)
            .map(|(claim, _)| claim.0)
    };
    let costs = lease_table
        .total_costs(fleet)
        .into_iter()
        .map(|(machine, cost)| (machine.0, cost));
    v1::LeaseTable {
        plan: lease_table.request().map(request_message),
        leases: lease_table
            .leases()
            .iter()
            .map(|(machine, lease)| lease_message(*machine, lease, lease.phase))
            .collect(),
        completed: ended(LeaseOutcome::Completed).collect(),
        skipped: ended(LeaseOutcome::Skipped).collect(),
        withdrawn: lease_table.withdrawn().map(|claim| claim.0).collect(),
        drained: votes(LeasePhase::Drained).collect(),
        cancelled: votes(LeasePhase::Cancelled).collect(),
        costs: costs.collect(),
    }
}

/// Converts a message to the reply of a quorum member. Parts that can't be read are left out.
pub fn member_reply_from_message(message: &v1::LeaseTable) -> MemberReply {
    let lease = |lease_message: &v1::MaintenanceLease| {
        let (machine, machine_domains) = machine_from_message(lease_message.machine.as_ref()?);
        let slots = Slots::try_from(&lease_message.slots[..]).ok()?;
        let phase = phase(lease_message.phase())?;
        Some((
            machine,
            MaintenanceLease {
                claim: ClaimId(lease_message.claim),
                job: lease_message.job,
                domains: machine_domains,
                slots,
                phase,
            },
        ))
    };
    let votes = |claims: &[u64], vote| {
        claims
            .iter()
            .map(move |claim| (ClaimId(*claim), vote))
            .collect::<Vec<_>>()
    };
    let ended = |nodes: &[u32], end| {
        nodes
            .iter()
            .map(move |node| (Machine(*node), end))
            .collect::<Vec<_>>()
    };
    let cost = |(node, cost): (&u32, &f64)| cost.is_finite().then_some((Machine(*node), *cost));
    MemberReply {
        request: message.plan.as_ref().and_then(request_from_message),
        leases: message.leases.iter().filter_map(lease).collect(),
        outcomes: ended(&message.completed, LeaseOutcome::Completed)
            .into_iter()
            .chain(ended(&message.skipped, LeaseOutcome::Skipped))
            .collect(),
        withdrawn: message
            .withdrawn
            .iter()
            .map(|claim| ClaimId(*claim))
            .collect(),
        votes: votes(&message.drained, LeasePhase::Drained)
            .into_iter()
            .chain(votes(&message.cancelled, LeasePhase::Cancelled))
            .collect(),
        costs: message
            .costs
            .iter()
            .filter_map(cost)
            .collect::<BTreeMap<_, _>>(),
    }
}

/// Returns the messages of the steps to send to the quorum members.
pub fn step_messages(actions: &Actions) -> Vec<v1::MaintenanceStep> {
    let plain = |lease: LeaseId, step: Step| v1::MaintenanceStep {
        node: lease.machine.0,
        claim: lease.claim.0,
        step: step.into(),
        ..v1::MaintenanceStep::default()
    };
    let withdrawn = actions
        .withdraw
        .iter()
        .map(|lease| plain(*lease, Step::Withdrawn));
    let advance = actions
        .advance
        .iter()
        .map(|progress| plain(progress.lease, step(progress.phase)));
    let released = actions.release.iter().map(|release| {
        let outcome = release.outcome.map(|of| of.outcome);
        v1::MaintenanceStep {
            job: release.outcome.map_or(0, |of| of.job),
            completed: outcome == Some(LeaseOutcome::Completed),
            skipped: outcome == Some(LeaseOutcome::Skipped),
            ..plain(release.lease, Step::Released)
        }
    });
    withdrawn.chain(advance).chain(released).collect()
}

/// Applies a step at a quorum member.
pub fn apply_step(lease_table: &mut LeaseTable, message: &v1::MaintenanceStep) {
    let (machine, claim) = (Machine(message.node), ClaimId(message.claim));
    let end = match (message.completed, message.skipped) {
        (true, _) => Some(LeaseOutcome::Completed),
        (false, true) => Some(LeaseOutcome::Skipped),
        (false, false) => None,
    };
    match (message.step(), phase(message.step())) {
        (Step::Withdrawn, _) => lease_table.withdraw(machine, claim),
        (Step::Released, _) => lease_table.release(
            machine,
            claim,
            end.map(|outcome| JobOutcome {
                job: message.job,
                outcome,
            }),
        ),
        (_, Some(phase)) => lease_table.advance(machine, claim, phase),
        (_, None) => {}
    }
}

/// Applies a claim at a quorum member. Returns whether it is granted.
pub fn apply_claim(lease_table: &mut LeaseTable, message: &v1::MaintenanceClaim) -> bool {
    let Ok(slots) = Slots::try_from(&message.slots[..]) else {
        return false;
    };
    // Claim 0 means that the machine is not cordoned.
    if message.claim == 0 {
        return false;
    }
    let claim = lease_table.claim(
        message.revision,
        Machine(message.node),
        ClaimId(message.claim),
        slots,
    );
    claim == ClaimOutcome::Granted
}
