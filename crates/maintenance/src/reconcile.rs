//! The next actions of a dispatcher, computed from the replies of a majority of the quorum members
//! and of the machines. No state is kept, so any dispatcher can continue where another died.

use crate::quorum_view::{MachineStatus, ObservedLease, QuorumView};
use crate::{
    ClaimId, DrainTimeoutAction, JobOutcome, LeaseId, LeaseOutcome, LeasePhase, LeaseProgress,
    LimitScope, Machine, MachineDomains, MaintenanceLease, MaintenanceRequest, RunState, Slots,
    is_majority,
};
use std::collections::{BTreeMap, BTreeSet};

/// A claim on a machine, to be sent to the quorum members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The revision of the request that the lease is claimed under.
    pub revision: u64,
    /// The machine and the claim.
    pub lease: LeaseId,
    /// The slots that the lease would occupy.
    pub slots: Slots,
}

/// A lease whose slots are to be freed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    /// The lease.
    pub lease: LeaseId,
    /// The outcome, if the job is finished with the machine.
    pub outcome: Option<JobOutcome>,
}

/// The messages to send, each either to all quorum members or to the machine of the lease.
#[derive(Clone, Debug, Default, PartialEq)]
#[must_use = "actions take effect only once they are sent"]
pub struct Actions {
    /// The next claim, for the members.
    pub claim: Option<Claim>,
    /// Claims to withdraw, for the members.
    pub withdraw: Vec<LeaseId>,
    /// Phases that leases have reached, for the members.
    pub advance: Vec<LeaseProgress>,
    /// Leases that have ended, for the members.
    pub release: Vec<Release>,
    /// Leases whose machine is to accept no further allocations, for the machines.
    pub cordon: Vec<LeaseId>,
    /// Leases whose machine is to accept allocations again, for the machines.
    pub uncordon: Vec<LeaseId>,
    /// Leases whose machine is to stop the allocations that still run there, for the machines.
    pub stop: Vec<LeaseId>,
}

/// The information that the caller has in addition to the replies.
#[derive(Clone, Debug)]
pub struct ReconcileContext<'a> {
    /// Number of quorum members.
    pub members: usize,
    /// The id for the next claim, drawn at random for each.
    pub next_claim: ClaimId,
    /// Whether the dispatcher may claim in this round. If hundreds claimed a free slot at the same
    /// time, all of them would be rejected.
    pub may_claim: bool,
    /// Claims that no majority holds although they were first seen so long ago that their claimants
    /// have had enough time to win them.
    pub expired: &'a BTreeSet<ClaimId>,
    /// Machines that are lost or are draining on their own, with their domains. They count as out
    /// of service.
    pub unreachable: &'a BTreeMap<Machine, MachineDomains>,
    /// Whether claims are held back, because demand has risen or a rollout needs the replicas.
    pub hold_claims: bool,
}

/// Returns the next actions.
pub fn reconcile(
    view: &QuorumView,
    statuses: &BTreeMap<Machine, MachineStatus>,
    context: &ReconcileContext,
) -> Actions {
    let mut actions = Actions::default();
    for observed in &view.leases {
        reconcile_lease(&mut actions, view, observed, statuses, context);
    }
    if context.may_claim && !context.hold_claims {
        actions.claim = next_claim(view, statuses, context);
    }
    actions
}

/// Adds the next action for one lease.
fn reconcile_lease(
    actions: &mut Actions,
    view: &QuorumView,
    observed: &ObservedLease,
    statuses: &BTreeMap<Machine, MachineStatus>,
    context: &ReconcileContext,
) {
    let lease = observed.id();
    // No majority will ever hold this lease, so it is released at the minority that holds it.
    if is_majority(observed.withdrawals, context.members) {
        let outcome = None;
        return actions.release.push(Release { lease, outcome });
    }
    if let Some(outcome) = observed.outcome {
        let job = observed.lease.job;
        let outcome = Some(JobOutcome { job, outcome });
        return actions.release.push(Release { lease, outcome });
    }
    let is_aborted = view
        .request
        .as_ref()
        .is_none_or(|request| request.run_state == RunState::Aborted);
    match observed.phase {
        None | Some(LeasePhase::Requested)
            if context.expired.contains(&lease.claim) || is_aborted =>
        {
            actions.withdraw.push(lease);
        }
        None => {}
        Some(LeasePhase::Requested) => actions.advance.push(LeaseProgress {
            lease,
            phase: LeasePhase::Granted,
        }),
        Some(phase) => {
            // Until a machine reports, its lease keeps its phase and it stays out of service.
            if let Some(status) = statuses.get(&lease.machine) {
                let step = LeaseStep::new(lease, &observed.lease, view.request.as_ref(), status);
                step.act(actions, phase);
            }
        }
    }
}

/// A granted lease and the conditions that determine its next step.
struct LeaseStep<'a> {
    lease: LeaseId,
    job: u64,
    status: &'a MachineStatus,
    /// Whether the committed request is not aborted and still names the machine.
    is_requested: bool,
    /// Whether the drain timeout has passed.
    is_timed_out: bool,
    on_drain_timeout: DrainTimeoutAction,
    /// How long an uncordoned machine still counts as out of service, in ms.
    warm_up_ms: u64,
    /// Whether the machine has been uncordoned for this claim.
    is_finished: bool,
}

impl LeaseStep<'_> {
    fn new<'a>(
        id: LeaseId,
        lease: &MaintenanceLease,
        request: Option<&MaintenanceRequest>,
        status: &'a MachineStatus,
    ) -> LeaseStep<'a> {
        LeaseStep {
            lease: id,
            job: lease.job,
            status,
            is_requested: request.is_some_and(|request| {
                request.run_state != RunState::Aborted && request.machines.contains_key(&id.machine)
            }),
            is_timed_out: request
                .is_some_and(|request| status.unchanged_ms >= request.drain_timeout_ms),
            on_drain_timeout: request
                .map_or(DrainTimeoutAction::Wait, |request| request.on_drain_timeout),
            warm_up_ms: request.map_or(0, |request| request.warm_up_ms),
            is_finished: status.finished.contains(&id.claim),
        }
    }

    /// Adds the actions that follow from the phase that a majority knows.
    fn act(&self, actions: &mut Actions, phase: LeasePhase) {
        // A machine is uncordoned only once a majority knows the lease as cancelled or completed.
        // If it is uncordoned and no majority knows that any more, some members have released the
        // lease already.
        let phase = match phase {
            LeasePhase::Granted | LeasePhase::Cordoned if self.is_finished => LeasePhase::Cancelled,
            LeasePhase::Drained if self.is_finished => LeasePhase::Completed,
            phase => phase,
        };
        match phase {
            LeasePhase::Granted | LeasePhase::Cordoned => self.drain(actions, phase),
            LeasePhase::Completed | LeasePhase::Cancelled if !self.is_finished => {
                actions.uncordon.push(self.lease);
            }
            LeasePhase::Completed if self.status.unchanged_ms >= self.warm_up_ms => {
                self.release(actions, Some(LeaseOutcome::Completed));
            }
            LeasePhase::Cancelled => {
                let is_skipped =
                    self.is_requested && self.on_drain_timeout == DrainTimeoutAction::Skip;
                self.release(actions, is_skipped.then_some(LeaseOutcome::Skipped));
            }
            // A drained lease advances only when the operator reports the work as completed.
            LeasePhase::Requested | LeasePhase::Drained | LeasePhase::Completed => {}
        }
    }

    /// Advances a lease from granted to drained, or to cancelled.
    fn drain(&self, actions: &mut Actions, phase: LeasePhase) {
        let is_cordoned = self.status.cordoned_by == Some(self.lease.claim);
        if !self.is_requested {
            self.advance(actions, LeasePhase::Cancelled);
        } else if !is_cordoned {
            // Includes a machine that was cordoned and has lost its disk since.
            actions.cordon.push(self.lease);
        } else if phase == LeasePhase::Granted {
            self.advance(actions, LeasePhase::Cordoned);
        } else if self.status.running == 0 {
            self.advance(actions, LeasePhase::Drained);
        } else if self.is_timed_out {
            match self.on_drain_timeout {
                DrainTimeoutAction::Wait => {}
                DrainTimeoutAction::Skip => self.advance(actions, LeasePhase::Cancelled),
                DrainTimeoutAction::Stop => actions.stop.push(self.lease),
            }
        }
    }

    fn advance(&self, actions: &mut Actions, phase: LeasePhase) {
        let lease = self.lease;
        actions.advance.push(LeaseProgress { lease, phase });
    }

    fn release(&self, actions: &mut Actions, outcome: Option<LeaseOutcome>) {
        let (lease, job) = (self.lease, self.job);
        let outcome = outcome.map(|outcome| JobOutcome { job, outcome });
        actions.release.push(Release { lease, outcome });
    }
}

/// Returns the next claim: on the first machine in the drain order that has a free slot under every
/// limit.
fn next_claim(
    view: &QuorumView,
    statuses: &BTreeMap<Machine, MachineStatus>,
    context: &ReconcileContext,
) -> Option<Claim> {
    let request = view
        .request
        .as_ref()
        .filter(|request| request.run_state == RunState::Running)?;
    let leased: BTreeSet<Machine> = view.leases.iter().map(|lease| lease.machine).collect();
    // Only machines that report are claimed: a lost machine cannot be cordoned.
    let waiting = request.machines.keys().copied().filter(|machine| {
        statuses
            .get(machine)
            .is_some_and(|status| status.cordoned_by.is_none())
            && !leased.contains(machine)
            && !view.outcomes.contains_key(machine)
    });
    view.drain_order(waiting).into_iter().find_map(|machine| {
        let slots = free_slots(view, request, machine, context)?;
        let claim = context.next_claim;
        Some(Claim {
            revision: request.revision,
            lease: LeaseId { machine, claim },
            slots,
        })
    })
}

/// Returns the lowest free slot under each limit, or `None` if there is none under some limit.
fn free_slots(
    view: &QuorumView,
    request: &MaintenanceRequest,
    machine: Machine,
    context: &ReconcileContext,
) -> Option<Slots> {
    let slot = |scope| free_slot(view, request, machine, scope, context);
    Some(Slots {
        total: slot(LimitScope::Total)?,
        zone: slot(LimitScope::Zone)?,
        cell: slot(LimitScope::Cell)?,
        machine_type: slot(LimitScope::MachineType)?,
    })
}

/// Returns the lowest free slot under the limit of one scope, if there is one.
fn free_slot(
    view: &QuorumView,
    request: &MaintenanceRequest,
    machine: Machine,
    scope: LimitScope,
    context: &ReconcileContext,
) -> Option<u32> {
    let domains = request.machines[&machine];
    let limit = request.limits.for_scope(scope);
    let occupied: Vec<u32> = view
        .leases
        .iter()
        .filter(|other| scope.is_shared(other.lease.domains, domains))
        .map(|other| other.lease.slots.for_scope(scope))
        .collect();
    let unavailable: BTreeSet<Machine> = view
        .unavailable()
        .map(|progress| progress.lease.machine)
        .collect();
    let unreachable = context.unreachable.iter().filter(|(other, their_domains)| {
        **other != machine
            && !unavailable.contains(other)
            && scope.is_shared(**their_domains, domains)
    });
    if occupied.len() as u32 + unreachable.count() as u32 >= limit {
        return None;
    }
    (0..limit).find(|slot| !occupied.contains(slot))
}
