//! Seeded states of the quorum members and of the machines. The draws and their order must not
//! change, since the recorded transcript depends on them.

use corkspan_maintenance::cost::estimate_cost;
use corkspan_maintenance::lease_table::{ClaimOutcome, LeaseTable};
use corkspan_maintenance::quorum_view::MachineStatus;
use corkspan_maintenance::{
    ClaimId, DisruptionLimits, DrainTimeoutAction, JobOutcome, LeaseId, LeaseOutcome, LeasePhase,
    Machine, MachineDomains, MaintenanceRequest, RunState,
};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const MEMBERS: usize = 3;
pub const MACHINES: u32 = 8;

fn request(revision: u64, rng: &mut Pcg64Mcg) -> MaintenanceRequest {
    let domains = |number: u32| MachineDomains {
        zone: number % 2,
        cell: u64::from(number / 2),
        machine_type: number % 3,
    };
    // Some requests leave out one machine.
    let left_out = rng.random_range(0..MACHINES * 2);
    MaintenanceRequest {
        revision,
        proposer: 1,
        job: 1 + revision / 4,
        machines: (0..MACHINES)
            .filter(|number| *number != left_out)
            .map(|number| (Machine(number), domains(number)))
            .collect(),
        limits: DisruptionLimits {
            total: rng.random_range(3..8),
            zone: rng.random_range(2..5),
            cell: rng.random_range(1..3),
            machine_type: rng.random_range(2..5),
        },
        warm_up_ms: 1_000,
        drain_timeout_ms: 2_000,
        on_drain_timeout: [
            DrainTimeoutAction::Wait,
            DrainTimeoutAction::Skip,
            DrainTimeoutAction::Stop,
            DrainTimeoutAction::Stop,
        ][rng.random_range(0..4)],
        run_state: [
            RunState::Running,
            RunState::Running,
            RunState::Running,
            RunState::Paused,
            RunState::Aborted,
        ][rng.random_range(0..5)],
    }
}

/// Draws the members that a message reaches, mostly all.
fn reached(rng: &mut Pcg64Mcg) -> Vec<usize> {
    (0..MEMBERS)
        .filter(|_| rng.random_range(0..12) > 0)
        .collect()
}

/// The members and what has been sent to them.
pub struct Quorum {
    pub members: Vec<LeaseTable>,
    /// Claims that any member has granted, each with the step that it has reached.
    claims: Vec<(LeaseId, usize)>,
    revision: u64,
}

impl Quorum {
    pub fn seeded(rng: &mut Pcg64Mcg) -> Quorum {
        let first = MaintenanceRequest {
            run_state: RunState::Running,
            ..request(1, rng)
        };
        let mut member = LeaseTable::default();
        member.propose(first);
        let mut quorum = Quorum {
            members: vec![member; MEMBERS],
            claims: Vec::new(),
            revision: 1,
        };
        for _ in 0..rng.random_range(10..60) {
            quorum.send(rng);
        }
        quorum
    }

    /// Sends one message to some members.
    fn send(&mut self, rng: &mut Pcg64Mcg) {
        let reached = reached(rng);
        let claim_index = (!self.claims.is_empty()).then(|| rng.random_range(0..self.claims.len()));
        match (rng.random_range(0..24), claim_index) {
            (0..=6, _) | (_, None) => self.claim(&reached, rng),
            (7..=18, Some(claim_index)) => self.advance(claim_index, &reached),
            (19, Some(claim_index)) => {
                let lease = self.claims[claim_index].0;
                for member in reached {
                    self.members[member].withdraw(lease.machine, lease.claim);
                }
            }
            (20, Some(claim_index)) => self.release(claim_index, &reached, rng),
            (21 | 22, _) => self.estimate_costs(&reached, rng),
            _ => {
                self.revision += 1;
                let next = request(self.revision, rng);
                for member in reached {
                    self.members[member].propose(next.clone());
                }
            }
        }
    }

    fn claim(&mut self, reached: &[usize], rng: &mut Pcg64Mcg) {
        let machine = Machine(rng.random_range(0..MACHINES));
        let claim = ClaimId(self.claims.len() as u64 + 1);
        let slots = [5, 3, 2, 3].map(|count: u32| rng.random_range(0..count));
        let mut is_granted = false;
        for &member in reached {
            let outcome = self.members[member].claim(self.revision, machine, claim, slots.into());
            is_granted |= outcome == ClaimOutcome::Granted;
        }
        if is_granted {
            self.claims.push((LeaseId { machine, claim }, 0));
        }
    }

    fn advance(&mut self, claim_index: usize, reached: &[usize]) {
        let (lease, step) = self.claims[claim_index];
        let end = [
            LeasePhase::Drained,
            LeasePhase::Drained,
            LeasePhase::Cancelled,
        ][lease.claim.0 as usize % 3];
        let phase = [
            LeasePhase::Granted,
            LeasePhase::Cordoned,
            end,
            LeasePhase::Completed,
        ][step];
        // Some leases never get beyond granted, others never beyond cordoned, and so on.
        let kind = (lease.claim.0 + u64::from(lease.machine.0)) as usize % 6;
        let last_step = [0, 1, 1, 2, 2, 3][kind];
        self.claims[claim_index].1 = (step + 1).min(last_step);
        for &member in reached {
            self.members[member].advance(lease.machine, lease.claim, phase);
        }
    }

    fn release(&mut self, claim_index: usize, reached: &[usize], rng: &mut Pcg64Mcg) {
        let lease = self.claims[claim_index].0;
        let job = rng.random_range(1..3);
        let outcome = [
            None,
            Some(LeaseOutcome::Completed),
            Some(LeaseOutcome::Skipped),
        ][rng.random_range(0..3)];
        let outcome = outcome.map(|outcome| JobOutcome { job, outcome });
        for &member in reached {
            self.members[member].release(lease.machine, lease.claim, outcome);
        }
    }

    fn estimate_costs(&mut self, reached: &[usize], rng: &mut Pcg64Mcg) {
        let dispatcher = rng.random_range(0..4);
        let mut estimate = |number| {
            let cost = estimate_cost(rng.random_range(0..4), rng.random_range(0..2));
            (Machine(number), cost)
        };
        let costs: Vec<(Machine, f64)> = (0..MACHINES).map(&mut estimate).collect();
        for &member in reached {
            self.members[member].record_cost_estimates(dispatcher, costs.clone());
        }
    }

    /// Draws the statuses of the machines that reply, which may not match what the members hold.
    pub fn statuses(&self, rng: &mut Pcg64Mcg) -> BTreeMap<Machine, MachineStatus> {
        let mut statuses = BTreeMap::new();
        for machine in (0..MACHINES).map(Machine) {
            let claims: BTreeSet<ClaimId> = self
                .members
                .iter()
                .filter_map(|member| Some(member.leases().get(&machine)?.claim))
                .collect();
            let first = claims.first().copied();
            let cordoned_by = first.filter(|_| rng.random_range(0..5) > 0);
            let finished = claims.into_iter().filter(|_| rng.random_range(0..6) == 0);
            let status = MachineStatus {
                cordoned_by,
                finished: finished.collect(),
                running: rng.random_range(0..2),
                unchanged_ms: rng.random_range(0..4_000),
            };
            if rng.random_range(0..6) > 0 {
                statuses.insert(machine, status);
            }
        }
        statuses
    }
}
