//! Compares the decisions of three dispatchers' controllers in a scripted run with a fixed seed,
//! byte for byte, with the transcript that an earlier version of this program wrote.

mod text;

use corkspan_rollout::controller::{
    ClaimRequest, ReportedSlot, RolloutController, SurgeEnd, Votes,
};
use corkspan_rollout::{ClaimId, ClaimOutcome, Grant, Order, Phase, QuorumMember, Rollout};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt::Write;
use text::{assert_same, claims, describe};

const STEPS: usize = 420;
const DISPATCHERS: usize = 3;
const MEMBERS: usize = 3;

fn first_rollout(order: Order) -> Rollout {
    Rollout {
        service: "s".into(),
        revision: 1,
        proposer: 1,
        version: "v2".into(),
        previous_version: "v1".into(),
        initial_version: "v1".into(),
        max_unavailable: 4,
        max_in_progress: 2,
        order,
        min_ready: 20_000,
        progress_deadline: 100_000,
        max_failures: 1,
        phase: Phase::Rolling,
    }
}

struct Simulation {
    rng: Pcg64Mcg,
    now: u64,
    rollout: Rollout,
    members: Vec<QuorumMember>,
    controllers: Vec<RolloutController>,
    /// Replicas that are being started, by task: when they are ready, and whether they are surge
    /// replicas.
    starting: BTreeMap<String, (u64, bool)>,
    /// Claims that dispatchers have on disk: dispatcher, task and whether the claim was won.
    on_disk: BTreeMap<ClaimId, (usize, String, bool)>,
    text: String,
}

impl Simulation {
    fn new(order: Order) -> Self {
        let rollout = first_rollout(order);
        let mut members = vec![QuorumMember::default(); MEMBERS];
        members
            .iter_mut()
            .for_each(|member| assert!(member.propose(rollout.clone()).is_some()));
        let controllers = (0..DISPATCHERS).map(|index| {
            let mut controller =
                RolloutController::new(index as u32, 40 + index as u64, rollout.clone(), 0);
            for number in 0..6 {
                let task = format!("d{index}t{number}");
                controller.replica_assigned(0, &task, if number == 3 { "" } else { "v1" }, false);
                controller.replica_ready(0, &task);
            }
            controller.forbid_surge(&format!("d{index}t2"));
            controller
        });
        Simulation {
            rng: Pcg64Mcg::seed_from_u64(8),
            now: 0,
            controllers: controllers.collect(),
            rollout,
            members,
            starting: BTreeMap::new(),
            on_disk: BTreeMap::new(),
            text: String::new(),
        }
    }

    /// Returns the slots that all members except the first `silent` report.
    fn reported(&self, silent: usize) -> Vec<ReportedSlot> {
        let mut reported: Vec<ReportedSlot> = Vec::new();
        let members = self.members[silent..].iter();
        for (slot, grant) in members
            .flat_map(|member| member.entries())
            .flat_map(|entry| &entry.slots)
        {
            match reported
                .iter_mut()
                .find(|known| known.slot == *slot && known.grant == *grant)
            {
                Some(known) => known.members += 1,
                None => reported.push(ReportedSlot {
                    slot: *slot,
                    grant: grant.clone(),
                    members: 1,
                }),
            }
        }
        reported
    }

    fn write(&mut self, index: usize, text: &str) {
        writeln!(self.text, "{:>7} d{index} {text}", self.now).expect("text");
    }

    fn release(&mut self, claims: Vec<ClaimId>) {
        for claim in claims {
            // Half of the time the claim stays on disk, as if the dispatcher were killed now.
            if self.rng.random_range(0..2) > 0 {
                self.on_disk.remove(&claim);
            }
            for member in &mut self.members {
                // Some members miss the release, and report the slot again.
                if self.rng.random_range(0..4) > 0 {
                    member.release("s", claim);
                }
            }
        }
    }

    fn propose(&mut self, next: Rollout) {
        let text = format!(
            "rollout {} to {} phase {}",
            next.revision,
            next.desired_version(),
            match &next.phase {
                Phase::Rolling => "rolling",
                Phase::Paused => "paused",
                Phase::Halted(_) => "halted",
            }
        );
        writeln!(self.text, "{:>7} -- {text}", self.now).expect("text");
        for member in &mut self.members {
            member.propose(next.clone());
        }
        for controller in &mut self.controllers {
            controller.adopt(next.clone());
        }
        self.rollout = next;
    }

    /// Applies a random event to one replica.
    fn apply_random_event(&mut self, index: usize) {
        let (now, task) = (
            self.now,
            format!("d{index}t{}", self.rng.random_range(0..6)),
        );
        match self.rng.random_range(0..24) {
            0 => {
                let failed = self.controllers[index].replica_unready(now, &task);
                self.write(index, &format!("{task} unready, failed {failed}"));
            }
            1 => self.controllers[index].replica_ready(now, &task),
            2 => {
                self.starting.remove(&task);
                let released = self.controllers[index].replica_removed(&task);
                self.write(
                    index,
                    &format!("{task} gone, releases {}", claims(&released)),
                );
                self.release(released);
                let version = self.rollout.desired_version().to_string();
                self.controllers[index].replica_assigned(now, &task, &version, false);
                self.starting.insert(task, (now + 8_000, false));
            }
            3 => {
                self.starting.remove(&task);
                self.controllers[index].replica_lost(now, &task);
                let released = self.controllers[index].surge_ended(now, &task, SurgeEnd::Cancelled);
                self.write(
                    index,
                    &format!("{task} died, releases {}", claims(&released)),
                );
                self.release(released);
                let version = self.rollout.desired_version().to_string();
                self.controllers[index].replica_assigned(now, &task, &version, true);
                self.starting.insert(task, (now + 12_000, false));
            }
            _ => {}
        }
    }

    /// Completes the starts that are due: each replica becomes ready or has failed.
    fn complete_starts(&mut self, index: usize) {
        let due: Vec<(String, bool)> = self
            .starting
            .iter()
            .filter(|(task, (at, _))| task.starts_with(&format!("d{index}")) && *at <= self.now)
            .map(|(task, (_, is_surge))| (task.clone(), *is_surge))
            .collect();
        for (task, is_surge) in due {
            self.starting.remove(&task);
            let outcome = self.rng.random_range(0..9);
            let controller = &mut self.controllers[index];
            if is_surge && controller.is_surging(&task) && outcome < 5 {
                let reason = [SurgeEnd::Failed, SurgeEnd::NoCapacity][outcome % 2];
                let released = controller.surge_ended(self.now, &task, reason);
                let text = format!(
                    "{task} surge failed {outcome}, releases {}",
                    claims(&released)
                );
                self.write(index, &text);
                self.release(released);
            } else if is_surge {
                controller.surge_readiness(self.now, &task, true);
            } else if outcome > 0 {
                controller.replica_ready(self.now, &task);
            }
        }
    }

    fn start(&mut self, index: usize, tasks: Vec<String>, is_surge: bool) {
        let version = self.rollout.desired_version().to_string();
        for task in tasks {
            if is_surge && self.rng.random_range(0..12) == 0 {
                self.controllers[index].postpone_surge(&task);
                continue;
            }
            if !is_surge {
                self.controllers[index].replica_assigned(self.now, &task, &version, false);
            }
            let delay = self.rng.random_range(3_000..15_000);
            self.starting.insert(task, (self.now + delay, is_surge));
        }
    }

    /// Runs one round of one dispatcher and carries out its decisions.
    fn round(&mut self, index: usize) {
        let silent = usize::from(self.rng.random_range(0..3) == 0);
        let reported = self.reported(silent);
        let controller = &mut self.controllers[index];
        let restored = controller.verify_restored_claims(&reported, MEMBERS - silent, MEMBERS);
        let mut actions = controller.reconcile(self.now, &reported);
        let counts = controller.counts();
        let text = format!(
            "{}; {} replicas, {} wanted, {} unready, steps {}",
            describe(&actions),
            counts.total,
            counts.desired,
            counts.unready,
            controller.has_work()
        );
        self.write(index, &text);
        for ClaimRequest { claim, slot, task } in &restored.retry {
            let text = format!("claim again {:016x} slot {slot} for {task}", claim.0);
            self.write(index, &text);
        }
        if !restored.lost.is_empty() {
            self.write(index, &format!("no longer held {}", claims(&restored.lost)));
        }
        actions.release.extend(restored.lost);
        actions.claims.extend(restored.retry);
        let released = std::mem::take(&mut actions.release);
        self.release(released);
        for orphaned in &actions.clean_up {
            self.controllers[index].cleaned_up(orphaned.claim);
            self.release(vec![orphaned.claim]);
        }
        if let Some(reason) = actions.halt.take() {
            self.propose(self.rollout.with_phase(Phase::Halted(reason), 5));
        }
        for task in &actions.cancel_surge {
            self.starting.remove(task);
            let released = self.controllers[index].surge_ended(self.now, task, SurgeEnd::Cancelled);
            self.release(released);
        }
        for task in &actions.stop_old {
            if self.rng.random_range(0..3) > 0 {
                let released = self.controllers[index].surge_took_over(task);
                self.write(
                    index,
                    &format!("{task} taken over, releases {}", claims(&released)),
                );
                self.release(released);
            }
        }
        self.start(index, actions.surge, true);
        self.start(index, actions.replace, false);
        for request in actions.claims {
            self.claim(index, request);
        }
    }

    fn claim(&mut self, index: usize, request: ClaimRequest) {
        let ClaimRequest { claim, slot, task } = request;
        let mut granted = 0;
        for member in &mut self.members {
            let grant = Grant {
                claim,
                task: task.clone(),
                dispatcher: index as u32,
            };
            let answers = self.rng.random_range(0..4) > 0;
            let outcome = member.claim("s", self.rollout.revision, slot, grant);
            granted += usize::from(answers && outcome == ClaimOutcome::Granted);
        }
        let votes = Votes {
            granted,
            members: MEMBERS,
        };
        let won = self.controllers[index].claim_decided(self.now, claim, votes);
        self.write(index, &format!("claim {} won {won}", claims(&[claim])));
        if !won {
            self.release(vec![claim]);
            return;
        }
        self.on_disk.insert(claim, (index, task, true));
        let surge = self.controllers[index].start_surges(self.now);
        let replace = self.controllers[index].start_replacements(self.now);
        self.write(
            index,
            &format!("at once: surge {surge:?} replace {replace:?}"),
        );
        self.start(index, surge, true);
        self.start(index, replace, false);
    }

    /// Kills a dispatcher and restarts it with what is on its disk.
    fn restart(&mut self, index: usize) {
        let now = self.now;
        let mut controller = RolloutController::new(index as u32, 90, self.rollout.clone(), now);
        for (number, (claim, (dispatcher, task, won))) in self.on_disk.iter().enumerate() {
            if *dispatcher == index {
                controller.restore_claim(*claim, task, *won && number % 3 < 2);
            }
        }
        let desired = self.rollout.desired_version().to_string();
        for number in 0..6 {
            let version = if number < 2 { &desired[..] } else { "v1" };
            controller.replica_assigned(now, &format!("d{index}t{number}"), version, number == 0);
        }
        self.controllers[index] = controller;
        self.write(index, "restarted");
    }

    fn transcript(order: Order) -> String {
        let mut simulation = Simulation::new(order);
        for step in 0..STEPS {
            simulation.now += simulation.rng.random_range(0..4_000);
            let index = simulation.rng.random_range(0..DISPATCHERS);
            simulation.apply_random_event(index);
            simulation.complete_starts(index);
            simulation.round(index);
            match step {
                60 => simulation.propose(simulation.rollout.with_phase(Phase::Paused, 2)),
                75 => simulation.propose(simulation.rollout.with_phase(Phase::Rolling, 2)),
                95 | 220 | 230 => simulation.restart(0),
                30 | 130 | 150 | 200 | 270 => simulation.propose(simulation.rollout.rolled_back(3)),
                170 | 250 | 330 => simulation.restart(1),
                180 | 300 => simulation.propose(Rollout {
                    version: format!("v{step}"),
                    max_unavailable: 3,
                    revision: simulation.rollout.revision + 1,
                    phase: Phase::Rolling,
                    ..simulation.rollout.clone()
                }),
                240 => simulation.propose(simulation.rollout.with_phase(Phase::Rolling, 4)),
                _ => {}
            }
        }
        simulation.text
    }
}

#[test]
fn stop_first_decisions_match_the_recorded_transcript() {
    assert_same(
        &Simulation::transcript(Order::StopFirst),
        include_str!("../data/decisions-stop-first.txt"),
    );
}

#[test]
fn start_first_decisions_match_the_recorded_transcript() {
    assert_same(
        &Simulation::transcript(Order::StartFirst),
        include_str!("../data/decisions-start-first.txt"),
    );
}
