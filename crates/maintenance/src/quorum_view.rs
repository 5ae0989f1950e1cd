//! What a majority of the quorum members reports, put together by one dispatcher.

use crate::cost::drain_order;
use crate::{
    ClaimId, DisruptionLimits, LeaseId, LeaseOutcome, LeasePhase, LeaseProgress, MAX_MACHINES,
    Machine, MachineDomains, MaintenanceLease, MaintenanceRequest, is_majority,
};
use corkspan_quorum::committed;
use std::collections::{BTreeMap, BTreeSet};

/// What one quorum member reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberReply {
    /// The request that it holds.
    pub request: Option<MaintenanceRequest>,
    /// The leases that it holds.
    pub leases: BTreeMap<Machine, MaintenanceLease>,
    /// What became of machines in the current job.
    pub outcomes: BTreeMap<Machine, LeaseOutcome>,
    /// Claims that it will never grant.
    pub withdrawn: BTreeSet<ClaimId>,
    /// Its votes for [`LeasePhase::Drained`] or [`LeasePhase::Cancelled`].
    pub votes: BTreeMap<ClaimId, LeasePhase>,
    /// Its sums of the cost estimates.
    pub costs: BTreeMap<Machine, f64>,
}

/// What a machine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MachineStatus {
    /// The claim that it is cordoned for, if it is.
    pub cordoned_by: Option<ClaimId>,
    /// Of the claims asked about, those that are finished there.
    pub finished: BTreeSet<ClaimId>,
    /// Allocations that run there.
    pub running: u32,
    /// Time since it was last cordoned, uncordoned or started, in ms.
    pub unchanged_ms: u64,
}

/// What the members report of one lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// The machine.
    pub machine: Machine,
    /// The lease, with the phase of the first member that reports it.
    pub lease: MaintenanceLease,
    /// The phase that a majority knows it to have reached; none where no majority holds it.
    pub phase: Option<LeasePhase>,
    /// How many members have withdrawn the claim.
    pub withdrawals: usize,
    /// How it ended, if any member knows: it was informed by one who saw the end.
    pub outcome: Option<LeaseOutcome>,
}

impl ObservedLease {
    /// The lease's name.
    pub fn id(&self) -> LeaseId {
        LeaseId {
            machine: self.machine,
            claim: self.lease.claim,
        }
    }
}

/// The replies of a majority, put together.
#[derive(Clone, Debug, Default)]
pub struct QuorumView {
    /// The request that is committed.
    pub request: Option<MaintenanceRequest>,
    /// The leases that any member reports, by machine and claim.
    pub leases: Vec<ObservedLease>,
    /// What became of machines, as a majority reports.
    pub outcomes: BTreeMap<Machine, LeaseOutcome>,
    /// The highest revision that any member reports. The next one must be above it, or a proposal
    /// that no majority accepted could block it.
    pub highest_revision: u64,
    costs: Vec<BTreeMap<Machine, f64>>,
}

impl QuorumView {
    /// Puts the replies together. None without a majority of `members`: then nothing is known.
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

    /// The machines that are ready for the operator's work: drained, as a majority reports, and
    /// cordoned for that lease, as the machine itself reports.
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

    /// Which machines to poll for their status, and about which claim: those with a lease, and of
    /// those still to come `candidates` of the cheapest and as many drawn at random. Without the
    /// random ones, some dead machines without cost would block all others for good. `draw` is
    /// called with the number to draw from.
    pub fn machines_to_poll(
        &self,
        candidates: usize,
        mut draw: impl FnMut(usize) -> usize,
    ) -> BTreeMap<Machine, Option<ClaimId>> {
        // Of two claims on one machine, that of the lease which has come further.
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

    /// Whether a new job on these machines may start. `members` are the machines on which the
    /// quorum members run.
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
        // With so many members out at once that no majority is left, the job could never end.
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

    /// The leases whose machines are out of service, as a majority reports: cordoned or about to
    /// be, drained, or not warm yet.
    pub fn unavailable(&self) -> impl Iterator<Item = LeaseProgress> {
        self.leases.iter().filter_map(|observed| {
            let phase = observed
                .phase
                .filter(|phase| *phase >= LeasePhase::Granted && observed.outcome.is_none())?;
            let lease = observed.id();
            Some(LeaseProgress { lease, phase })
        })
    }

    /// In which order the given machines are to be drained.
    pub(crate) fn drain_order(&self, machines: impl IntoIterator<Item = Machine>) -> Vec<Machine> {
        drain_order(machines, &self.costs)
    }
}

/// What the replies come to for one lease, which `reported` holds as each member reports it.
fn observe(
    id: LeaseId,
    reported: &[MaintenanceLease],
    replies: &[MemberReply],
    members: usize,
) -> ObservedLease {
    let LeaseId { machine, claim } = id;
    let mut phases: Vec<LeasePhase> = reported.iter().map(|lease| lease.phase).collect();
    phases.sort_unstable_by(|a, b| b.cmp(a));
    let is_voted = |phase| {
        let votes = replies
            .iter()
            .filter(|reply| reply.votes.get(&claim) == Some(&phase));
        is_majority(votes.count(), members)
    };
    let phase = phases.get(members / 2).map(|&phase| match phase {
        LeasePhase::Granted | LeasePhase::Cordoned if is_voted(LeasePhase::Cancelled) => {
            LeasePhase::Cancelled
        }
        LeasePhase::Granted | LeasePhase::Cordoned if is_voted(LeasePhase::Drained) => {
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

/// What became of machines, where a majority reports any outcome: the first reply's counts.
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

/// Why a job does not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// No machine is named, or too many.
    #[error("1 to {max} machines are wanted, not {named}")]
    MachineCount {
        /// So many are named.
        named: usize,
        /// So many may be.
        max: usize,
    },
    /// So many quorum members could be out that no majority is left.
    #[error("{named} of the machines are keepers, and of these {spare} may be out at a time")]
    Members {
        /// So many members are among the machines.
        named: usize,
        /// So many may be out at a time.
        spare: usize,
    },
    /// This machine, among others, is out of service for an earlier job.
    #[error("machines of an earlier wish are out still, {0} among them")]
    Unavailable(u32),
}
