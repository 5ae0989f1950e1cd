//! The state that is searched: three quorum members, two machines, and all messages ever sent, each
//! of which may arrive at any time and repeatedly.

use crate::fault::Fault;
use corkspan_maintenance::cordon::Cordon;
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseTable};
use corkspan_maintenance::quorum_view::{MachineStatus, MemberReply, QuorumView};
use corkspan_maintenance::reconcile::{Actions, ReconcileContext, reconcile};
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, JobOutcome, LeaseId, LeaseOutcome, LeasePhase,
    LeaseProgress, Machine, MachineDomains, MaintenanceRequest, RunState, Slots,
};
use std::collections::{BTreeMap, BTreeSet};

pub const MEMBERS: usize = 3;
pub const MACHINES: u32 = 2;
/// Sets of members, as bit sets, that are a majority.
pub const MAJORITIES: [usize; 4] = [0b011, 0b101, 0b110, 0b111];
/// Largest number of claims in one world.
const MAX_CLAIMS: u64 = 4;

/// A message to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Claim(u64, LeaseId, Slots),
    Advance(LeaseId, LeasePhase),
    Withdraw(LeaseId),
    Release(LeaseId, Option<u64>),
    Abort,
}

#[derive(Clone, Debug)]
pub struct World {
    pub members: Vec<LeaseTable>,
    pub cordons: Vec<Cordon>,
    /// Number of allocations on each machine.
    pub running: Vec<u32>,
    /// All messages that were sent to members.
    pub sent: BTreeSet<Message>,
    /// Messages to machines, to cordon and to uncordon, which may still arrive.
    pub cordons_sent: BTreeSet<LeaseId>,
    pub uncordons_sent: BTreeSet<LeaseId>,
    pub claims: u64,
    /// Number of allocations that have been placed.
    pub placed: u32,
    /// Leases that any majority has reported as drained, and those that the operator has reported
    /// as completed.
    pub drained: BTreeSet<LeaseId>,
    pub completed: BTreeSet<LeaseId>,
    pub breach: Option<&'static str>,
}

fn request(revision: u64, run_state: RunState) -> MaintenanceRequest {
    let domains = MachineDomains {
        zone: 0,
        cell: 0,
        machine_type: 0,
    };
    MaintenanceRequest {
        revision,
        proposer: 1,
        job: 1,
        machines: (0..MACHINES)
            .map(|number| (Machine(number), domains))
            .collect(),
        limits: DisruptionLimits {
            total: 1,
            zone: 9,
            cell: 9,
            machine_type: 9,
        },
        warm_up_ms: 0,
        drain_timeout_ms: u64::MAX,
        on_drain_timeout: DrainTimeoutAction::Wait,
        run_state,
    }
}

/// Returns the indices of the bits that are set.
fn bits(set: usize) -> impl Iterator<Item = usize> {
    (0..MEMBERS).filter(move |member| set >> member & 1 == 1)
}

impl World {
    pub fn new() -> World {
        let mut member = LeaseTable::default();
        member.propose(request(1, RunState::Running));
        World {
            members: vec![member; MEMBERS],
            cordons: vec![Cordon::default(); MACHINES as usize],
            running: vec![1, 0],
            sent: BTreeSet::new(),
            cordons_sent: BTreeSet::new(),
            uncordons_sent: BTreeSet::new(),
            claims: 0,
            placed: 0,
            drained: BTreeSet::new(),
            completed: BTreeSet::new(),
            breach: None,
        }
    }

    fn replies(&self, members: usize) -> Vec<MemberReply> {
        let heard = bits(members).map(|member| &self.members[member]);
        heard
            .map(|member| MemberReply {
                request: member.request().cloned(),
                leases: member.leases().clone(),
                outcomes: member.outcomes().collect(),
                withdrawn: member.withdrawn().collect(),
                votes: member.votes().collect(),
                costs: BTreeMap::new(),
            })
            .collect()
    }

    fn statuses(&self, fault: Fault) -> BTreeMap<Machine, MachineStatus> {
        let status = |number: u32| {
            let machine = Machine(number);
            let cordon = &self.cordons[number as usize];
            let is_finished = |claim: &ClaimId| {
                // With this fault, an uncordon message that was sent counts as carried out unless
                // the machine is still cordoned for the claim.
                let is_believed = fault == Fault::ForgetfulCordon
                    && cordon.active() != Some(*claim)
                    && self.uncordons_sent.contains(&LeaseId {
                        machine,
                        claim: *claim,
                    });
                cordon.is_finished(*claim) || is_believed
            };
            let status = MachineStatus {
                cordoned_by: cordon.active(),
                finished: (0..8).map(ClaimId).filter(is_finished).collect(),
                running: self.running[number as usize],
                unchanged_ms: 0,
            };
            (machine, status)
        };
        (0..MACHINES).map(status).collect()
    }

    /// Returns the actions of a dispatcher that has the replies of these members.
    pub fn reconcile(&mut self, members: usize, expire_all: bool, fault: Fault) -> Actions {
        let replies = self.replies(members);
        let Some(view) = fault.view(&replies) else {
            return Actions::default();
        };
        let expired: BTreeSet<ClaimId> = match expire_all {
            true => view.leases.iter().map(|lease| lease.lease.claim).collect(),
            false => BTreeSet::new(),
        };
        let unreachable = BTreeMap::new();
        let context = ReconcileContext {
            members: fault.members(),
            next_claim: ClaimId(self.claims),
            may_claim: self.claims < MAX_CLAIMS,
            expired: &expired,
            unreachable: &unreachable,
            hold_claims: false,
        };
        let mut statuses = self.statuses(fault);
        fault.change_statuses(&mut statuses);
        let mut actions = reconcile(&view, &statuses, &context);
        fault.change_actions(&mut actions, &view);
        self.claims += u64::from(actions.claim.is_some());
        actions
    }

    /// Sends all messages. They arrive at once at the members in the set and, if `machines` is set,
    /// at all machines.
    pub fn send(&mut self, actions: &Actions, members: usize, machines: bool, fault: Fault) {
        for message in messages(actions) {
            for member in bits(members) {
                self.arrive(member, &message, fault);
            }
            self.sent.insert(message);
        }
        self.cordons_sent.extend(&actions.cordon);
        self.uncordons_sent.extend(&actions.uncordon);
        if machines {
            for &lease in &actions.cordon {
                self.cordon(lease);
            }
            for &lease in &actions.uncordon {
                self.uncordon(lease, fault);
            }
        }
    }

    /// Delivers a message to a member.
    pub fn arrive(&mut self, member: usize, message: &Message, fault: Fault) {
        let member = &mut self.members[member];
        match *message {
            Message::Claim(revision, lease, slots) => {
                let _: ClaimOutcome = member.claim(revision, lease.machine, lease.claim, slots);
            }
            Message::Advance(lease, phase) => member.advance(lease.machine, lease.claim, phase),
            Message::Withdraw(lease) => {
                if fault == Fault::WithdrawsAnyPhase {
                    member.release(lease.machine, lease.claim, None);
                }
                member.withdraw(lease.machine, lease.claim);
            }
            Message::Release(lease, job) => {
                let outcome = LeaseOutcome::Completed;
                let outcome = job.map(|job| JobOutcome { job, outcome });
                member.release(lease.machine, lease.claim, outcome);
            }
            Message::Abort => drop(member.propose(request(2, RunState::Aborted)).cloned()),
        }
    }

    pub fn cordon(&mut self, lease: LeaseId) {
        self.cordons[lease.machine.0 as usize].cordon(lease.claim);
    }

    pub fn uncordon(&mut self, lease: LeaseId, fault: Fault) {
        let cordon = &mut self.cordons[lease.machine.0 as usize];
        if fault == Fault::ForgetfulCordon {
            if cordon.active() == Some(lease.claim) {
                *cordon = Cordon::default();
            }
        } else {
            cordon.uncordon(lease.claim);
        }
    }

    /// Reports as completed, as the operator, all leases that were ever reported as drained.
    pub fn complete(&mut self, members: usize) {
        for lease in self.drained.clone() {
            self.completed.insert(lease);
            let phase = LeasePhase::Completed;
            let actions = Actions {
                advance: vec![LeaseProgress { lease, phase }],
                ..Actions::default()
            };
            self.send(&actions, members, false, Fault::None);
        }
    }

    /// Records which machines any majority reports as drained.
    pub fn observe_drained(&mut self) {
        let views = MAJORITIES
            .iter()
            .filter_map(|members| QuorumView::from_replies(&self.replies(*members), MEMBERS));
        let statuses = self.statuses(Fault::None);
        let drained: BTreeSet<LeaseId> = views.flat_map(|view| view.drained(&statuses)).collect();
        self.drained.extend(drained);
    }

    /// Records a breach if a rule is broken.
    pub fn check(&mut self) {
        let cordoned = self
            .cordons
            .iter()
            .filter(|cordon| cordon.active().is_some());
        if cordoned.count() > 1 {
            self.breach = Some("more machines are out of service than the limit allows");
        }
        self.observe_drained();
        for lease in self.drained.difference(&self.completed) {
            let machine = lease.machine.0 as usize;
            if self.running[machine] > 0 || self.cordons[machine].active() != Some(lease.claim) {
                self.breach = Some("a machine is worked on while something may run there");
            }
        }
    }
}

fn messages(actions: &Actions) -> Vec<Message> {
    let claim = actions
        .claim
        .map(|claim| Message::Claim(claim.revision, claim.lease, claim.slots));
    let advance = actions.advance.iter();
    let advance = advance.map(|progress| Message::Advance(progress.lease, progress.phase));
    let withdraw = actions.withdraw.iter().copied().map(Message::Withdraw);
    let release = actions.release.iter().map(|release| {
        let job = release.outcome.map(|outcome| outcome.job);
        Message::Release(release.lease, job)
    });
    claim
        .into_iter()
        .chain(advance)
        .chain(withdraw)
        .chain(release)
        .collect()
}
