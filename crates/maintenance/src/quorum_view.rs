//! A dispatcher's view of what a majority of the quorum members reports.

use crate::cost::drain_order;
use crate::{
    ClaimId, DisruptionLimits, LeaseId, LeaseOutcome, LeasePhase, LeaseProgress, MAX_MACHINES,
    Machine, MachineDomains, MaintenanceLease, MaintenanceRequest, is_majority,
};
use corkspan_quorum::committed;
use std::collections::{BTreeMap, BTreeSet};

/// The reply of one quorum member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberReply {
    /// The request that the member holds.
    pub request: Option<MaintenanceRequest>,
    /// The leases that the member holds.
    pub leases: BTreeMap<Machine, MaintenanceLease>,
    /// The outcomes of leases in the current job.
    pub outcomes: BTreeMap<Machine, LeaseOutcome>,
    /// Withdrawn claims, which the member will not grant.
    pub withdrawn: BTreeSet<ClaimId>,
    /// The member's votes for [`LeasePhase::Drained`] or [`LeasePhase::Cancelled`].
    pub votes: BTreeMap<ClaimId, LeasePhase>,
    /// The sums of the cost estimates that the member has recorded.
    pub costs: BTreeMap<Machine, f64>,
}

/// The status that a machine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineStatus {
    /// The claim that the machine is cordoned for, if any.
    pub cordoned_by: Option<ClaimId>,
    /// Those of the polled claims that are finished at the machine.
    pub finished: BTreeSet<ClaimId>,
    /// Number of allocations that run on the machine.
    pub running: u32,
    /// Time since the machine was last cordoned, uncordoned or started, in ms.
    pub unchanged_ms: u64,
}

/// One lease as the members report it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// The machine.
    pub machine: Machine,
    /// The lease, with the phase of the first member that reports it.
    pub lease: MaintenanceLease,
    /// The phase that a majority knows the lease to have reached, or `None` if no majority holds
    /// it.
    pub phase: Option<LeasePhase>,
    /// Number of members that have withdrawn the claim.
    pub withdrawals: usize,
    /// The outcome, if any member reports one: a single report is enough, since it comes from a
    /// dispatcher that saw the lease end.
    pub outcome: Option<LeaseOutcome>,
}

impl ObservedLease {
    /// Returns the identity of the lease.
    pub fn id(&self) -> LeaseId {
        LeaseId {
            machine: self.machine,
            claim: self.lease.claim,
        }
    }
}

/// The combined replies of a majority.
#[derive(Clone, Debug, Default)]
pub struct QuorumView {
    /// The committed request.
    pub request: Option<MaintenanceRequest>,
    /// The leases that any member reports, by machine and claim.
    pub leases: Vec<ObservedLease>,
    /// The outcomes of leases that a majority reports.
    pub outcomes: BTreeMap<Machine, LeaseOutcome>,
    /// The highest revision that any member reports. The next revision must be above it, or a
    /// proposal that no majority accepted could block it.
    pub highest_revision: u64,
    costs: Vec<BTreeMap<Machine, f64>>,
}

impl QuorumView {
    /// Combines the replies. Returns `None` if fewer than a majority of `members` replied, since
    /// nothing is certain then.
    pub fn from_replies(replies: &[MemberReply], members: usize) -> Option<QuorumView> {
        if !is_majority(replies.len(), members) {
            return None;
        }
        let requests: Vec<MaintenanceRequest> = replies
            .iter()
            .filter_map(|reply| reply.request.clone())
            .collect();
        let mut by_claim: BTreeMap<LeaseId, Vec<MaintenanceLease>> = BTreeMap::new();
        for (&machine, lease) in replies.iter().flat_map(|reply| &reply.leases) {
            let claim = lease.claim;
            let reported = by_claim.entry(LeaseId { machine, claim }).or_default();
            reported.push(*lease);
        }
        let leases = by_claim
            .into_iter()
            .map(|(id, reported)| observe(id, &reported, replies, members));
        Some(QuorumView {
            highest_revision: requests.iter().map(|held| held.revision).max().unwrap_or(0),
            request: committed(&requests, members).cloned(),
            leases: leases.collect(),
            outcomes: agreed_outcomes(replies, members),
            costs: replies.iter().map(|reply| reply.costs.clone()).collect(),
        })
    }

    /// Returns the leases whose machines are ready for the operator's work: a majority reports them
    /// as drained, and the machine itself reports that it is cordoned for that lease.
    pub fn drained(&self, statuses: &BTreeMap<Machine, MachineStatus>) -> Vec<LeaseId> {
        let is_cordoned = |lease: &LeaseId| {
            statuses
                .get(&lease.machine)
                .is_some_and(|status| status.cordoned_by == Some(lease.claim))
        };
        self.unavailable()
            .filter(|progress| progress.phase == LeasePhase::Drained)
            .map(|progress| progress.lease)
            .filter(is_cordoned)
            .collect()
    }

    /// Returns the machines to poll for their status, each with the claim to poll about: all
    /// machines with a lease, and of the waiting ones the `candidates` cheapest and as many drawn
    /// at random. Without the random ones, a few dead machines without cost would block all others
    /// forever. `draw` is called with the number of machines to draw from.
    pub fn machines_to_poll(
        &self,
        candidates: usize,
        mut draw: impl FnMut(usize) -> usize,
    ) -> BTreeMap<Machine, Option<ClaimId>> {
        // If a machine has two claims, the one whose lease has reached the later phase is polled.
        let mut by_phase: Vec<&ObservedLease> = self.leases.iter().collect();
        by_phase.sort_by_key(|observed| observed.phase);
        let mut polled: BTreeMap<Machine, Option<ClaimId>> = by_phase
            .iter()
            .map(|observed| (observed.machine, Some(observed.lease.claim)))
            .collect();
        let requested = self
            .request
            .iter()
            .flat_map(|request| request.machines.keys().copied());
        let waiting = requested.filter(|machine| {
            !polled.contains_key(machine) && !self.outcomes.contains_key(machine)
        });
        let mut chosen = drain_order(waiting.collect::<Vec<_>>(), &self.costs);
        let rest = chosen.split_off(candidates.min(chosen.len()));
        let random = (0..candidates.min(rest.len())).map(|_| rest[draw(rest.len()) % rest.len()]);
        chosen.extend(random);
        polled.extend(chosen.into_iter().map(|machine| (machine, None)));
        polled
    }

    /// Checks whether a new job on these machines may start. `members` are the machines on which
    /// the quorum members run.
    pub fn check_start(
        &self,
        machines: &BTreeMap<Machine, MachineDomains>,
        limits: &DisruptionLimits,
        members: &[Machine],
    ) -> Result<(), StartError> {
        if machines.is_empty() || machines.len() > MAX_MACHINES {
            return Err(StartError::MachineCount {
                named: machines.len(),
                max: MAX_MACHINES,
            });
        }
        // If so many members are out of service that no majority is left, the job can never end.
        let named = members
            .iter()
            .filter(|member| machines.contains_key(member))
            .count();
        let spare = members.len().saturating_sub(1) / 2;
        if named.min(limits.total as usize) > spare {
            return Err(StartError::Members { named, spare });
        }
        match self.unavailable().next() {
            Some(progress) => Err(StartError::Unavailable(progress.lease.machine.0)),
            None => Ok(()),
        }
    }

    /// Returns the leases whose machines a majority reports as out of service: cordoned or about to
    /// be cordoned, drained, or still warming up.
    pub fn unavailable(&self) -> impl Iterator<Item = LeaseProgress> {
        self.leases.iter().filter_map(|observed| {
            let phase = observed
                .phase
                .filter(|phase| *phase >= LeasePhase::Granted && observed.outcome.is_none())?;
            let lease = observed.id();
            Some(LeaseProgress { lease, phase })
        })
    }

    /// Returns the given machines in the order in which they are to be drained.
    pub(crate) fn drain_order(&self, machines: impl IntoIterator<Item = Machine>) -> Vec<Machine> {
        drain_order(machines, &self.costs)
    }
}

/// Combines the replies about one lease. `reported` holds the lease as each member reports it.
fn observe(
    id: LeaseId,
    reported: &[MaintenanceLease],
    replies: &[MemberReply],
    members: usize,
) -> ObservedLease {
    let LeaseId { machine, claim } = id;
    let mut phases: Vec<LeasePhase> = reported.iter().map(|lease| lease.phase).collect();
    phases.sort_unstable_by(|a, b| b.cmp(a));
    let has_majority_vote = |phase| {
        let votes = replies
            .iter()
            .filter(|reply| reply.votes.get(&claim) == Some(&phase));
        is_majority(votes.count(), members)
    };
    let phase = phases.get(members / 2).map(|&phase| match phase {
        LeasePhase::Granted | LeasePhase::Cordoned if has_majority_vote(LeasePhase::Cancelled) => {
            LeasePhase::Cancelled
        }
        LeasePhase::Granted | LeasePhase::Cordoned if has_majority_vote(LeasePhase::Drained) => {
            LeasePhase::Drained
        }
        phase => phase,
    });
    let outcome = replies.iter().find_map(|reply| {
        let is_same_job = reply
            .request
            .as_ref()
            .is_some_and(|request| request.job == reported[0].job);
        let outcome = reply.outcomes.get(&machine).copied();
        outcome.filter(|_| is_same_job)
    });
    let withdrawals = replies
        .iter()
        .filter(|reply| reply.withdrawn.contains(&claim))
        .count();
    ObservedLease {
        machine,
        lease: reported[0],
        phase,
        withdrawals,
        outcome,
    }
}

/// Returns the outcome of each machine for which a majority reports one. If the reported outcomes
/// differ, that of the first reply counts.
fn agreed_outcomes(replies: &[MemberReply], members: usize) -> BTreeMap<Machine, LeaseOutcome> {
    let machines: BTreeSet<Machine> = replies
        .iter()
        .flat_map(|reply| reply.outcomes.keys().copied())
        .collect();
    let agreed = machines.into_iter().filter_map(|machine| {
        let reported: Vec<LeaseOutcome> = replies
            .iter()
            .filter_map(|reply| reply.outcomes.get(&machine).copied())
            .collect();
        is_majority(reported.len(), members).then(|| (machine, reported[0]))
    });
    agreed.collect()
}

/// The reason why a job cannot start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The request names no machine or too many.
    #[error("a request must name 1 to {max} machines, not {named}")]
    MachineCount {
        /// Number of machines named.
        named: usize,
        /// Largest number allowed.
        max: usize,
    },
    /// So many quorum members could be out of service at once that no majority would be left.
    #[error(
        "{named} of the machines run quorum members, of which at most {spare} may be out of service at a time"
    )]
    Members {
        /// Number of named machines that run quorum members.
        named: usize,
        /// Number of members that may be out of service at a time.
        spare: usize,
    },
    /// Machines are still out of service for an earlier job; this is one of them.
    #[error("machines of an earlier request are still out of service, machine {0} among them")]
    Unavailable(u32),
}
