//! Who waits is looked at again only when it may matter: held, call by call, against looks at all
//! of them every time.

// Not all of the stories' caller is needed here.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use host::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// The same calls go to one that leaves looks out and to one that never does.
struct Both {
    leaves_out: Scheduler,
    looks: Scheduler,
    now: Ticks,
    waiting: Vec<Allocation>,
    running: Vec<Allocation>,
    /// When the one that leaves out wants to be asked at the latest.
    due: Ticks,
    /// Looks by the one and by the other, and what was placed for those that had waited.
    counts: [usize; 3],
}

impl Both {
    fn new(cluster: Cluster, seed: u64, machines: u32) -> Self {
        let now = 100 * SECOND;
        let new = || {
            let mut scheduler = Scheduler::new(cluster.clone(), seed, now);
            scheduler.apply_endpoint_list(
                ListUpdate::Cached,
                &(0..machines).map(entry).collect::<Vec<_>>(),
            );
            scheduler
        };
        let (leaves_out, looks) = (new(), new().evaluating_exhaustively());
        Both {
            leaves_out,
            looks,
            now,
            waiting: Vec::new(),
            running: Vec::new(),
            due: now,
            counts: [0; 3],
        }
    }

    fn tell(&mut self, mut call: impl FnMut(&mut Scheduler)) {
        call(&mut self.leaves_out);
        call(&mut self.looks);
    }

    /// One comes. It is asked for at both.
    fn comes(&mut self, allocation: Allocation) {
        let answers =
            [&mut self.leaves_out, &mut self.looks].map(|one| one.place(self.now, &allocation));
        assert_eq!(answers[0], answers[1], "at {}: {allocation:?}", self.now);
        self.answered(allocation, answers[1]);
    }

    fn answered(&mut self, mut allocation: Allocation, answer: Placement) {
        match answer {
            // Asked for again at the moment at which it came it would count as one more.
            Placement::Deferred => self.waiting.push(Allocation {
                accepted_at: 0,
                ..allocation
            }),
            Placement::Dispatch { machine, .. } => {
                allocation.attempts.push(Attempt {
                    machine,
                    sent_at: self.now,
                    state: AttemptState::Pending,
                });
                self.running.push(allocation);
            }
            _ => {}
        }
    }

    fn returns(
        &mut self,
        index: usize,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        report: Option<LoadReport>,
    ) {
        let mut allocation = self.running.swap_remove(index);
        let (now, shot) = (self.now, allocation.attempts.len() - 1);
        let never = matches!(
            ending,
            AttemptResult::Rejected | AttemptResult::ConnectFailed
        );
        allocation.attempts[shot].state = if never {
            AttemptState::NotExecuted
        } else {
            AttemptState::PossiblyExecuted
        };
        let outcome = Outcome::Returned {
            ending,
            reason,
            finished: ending == AttemptResult::Completed,
            report,
        };
        let answers = [&mut self.leaves_out, &mut self.looks]
            .map(|one| one.on_outcome(now, &allocation, shot, outcome));
        assert_eq!(answers[0], answers[1]);
        if answers[0] == NextStep::Retry {
            self.comes(allocation);
        }
    }

    /// Both are asked how long to wait. A look that the one leaves out must be in vain at the
    /// other.
    fn rests(&mut self, nothing_said: bool) -> PollResult {
        let [one, other] = [&mut self.leaves_out, &mut self.looks].map(|one| one.poll(self.now));
        assert!(
            !one.retry_deferred || other.retry_deferred,
            "at {}: a look that is not due",
            self.now
        );
        assert!(
            !(one.retry_deferred && nothing_said) || self.due <= self.now,
            "it would have slept"
        );
        assert_eq!(
            (&one.health_checks, &one.migrations, &one.lost),
            (&other.health_checks, &other.migrations, &other.lost)
        );
        self.due = self.now + one.next_poll;
        if other.retry_deferred {
            for allocation in std::mem::take(&mut self.waiting) {
                let asked = one.retry_deferred
                    && one
                        .retry_deadline_limit
                        .is_none_or(|end| allocation.deadline <= end);
                let answer = self.looks.place(self.now, &allocation);
                let mine = if asked {
                    self.leaves_out.place(self.now, &allocation)
                } else {
                    Placement::Deferred
                };
                assert_eq!(
                    mine, answer,
                    "at {}, asked: {asked}, {allocation:?}",
                    self.now
                );
                self.counts[0] += usize::from(asked);
                self.counts[1] += 1;
                self.counts[2] += usize::from(matches!(answer, Placement::Dispatch { .. }));
                self.answered(allocation, answer);
            }
        }
        if one.retry_deadline_limit.is_some() && self.waiting.is_empty() {
            self.leaves_out.no_deferred_left();
        }
        if other.retry_deferred && one.retry_deferred {
            return self.rests(false);
        }
        other
    }
}

fn walks(cluster: &Cluster, seed: u64, steps: usize) -> [usize; 3] {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let machines = rng.random_range(1..6);
    let mut both = Both::new(cluster.clone(), seed, machines);
    let mut started = vec![None; machines as usize];
    let mut wait = both.rests(false);
    for number in 0..steps as u64 {
        let most = if rng.random_bool(0.01) {
            3 * SECOND
        } else {
            wait.next_poll.max(1)
        };
        // A clock that stands still, moves on, or has jumped.
        both.now += rng.random_range(0..=most);
        let id = rng.random_range(0..machines);
        let share = |rng: &mut Pcg64Mcg| Resources {
            cores: rng.random(),
            memory: rng.random(),
        };
        let unused = share(&mut rng) * SIZE * if rng.random_bool(0.7) { 0.2 } else { 0.8 };
        let report = rng
            .random_bool(0.5)
            .then_some(LoadReport { available: unused });
        let (now, running) = (both.now, both.running.len());
        let event = if rng.random_bool(0.9) {
            99
        } else {
            rng.random_range(0..14)
        };
        match event {
            0..=2 => {
                let large = if rng.random_bool(0.2) { 0.6 } else { 0.15 };
                let allocation = Allocation {
                    id: AllocationId(number),
                    service: ServiceId(rng.random_range(0..4)),
                    service_class: ServiceClassId(0),
                    tenant: TenantId(rng.random_range(0..2)),
                    requested: (share(&mut rng) + Resources::ONE * 0.05) * SIZE * large,
                    accepted_at: now,
                    deadline: now + rng.random_range(50..8 * SECOND),
                    attempts: Vec::new(),
                };
                let track =
                    ServiceClassId(allocation.service.0 as usize % cluster.service_classes.len());
                both.comes(Allocation {
                    service_class: track,
                    ..allocation
                });
            }
            3 => both.tell(|one| {
                one.record_health_check(
                    now,
                    MachineId(id),
                    AttemptResult::Completed,
                    Some(LoadReport { available: unused }),
                )
            }),
            4 if running > 0 => both.returns(
                rng.random_range(0..running),
                AttemptResult::Completed,
                None,
                report,
            ),
            5 if running > 0 => {
                let endings = [
                    AttemptResult::Rejected,
                    AttemptResult::TimedOut,
                    AttemptResult::Error,
                    AttemptResult::ConnectFailed,
                    AttemptResult::Reset,
                ];
                let reasons = [
                    None,
                    Some(ReturnReason::NoCores),
                    Some(ReturnReason::QueueFull),
                    Some(ReturnReason::Evicted),
                ];
                let ending = endings[rng.random_range(0..endings.len())];
                let reason = reasons[rng.random_range(0..reasons.len())];
                both.returns(rng.random_range(0..running), ending, reason, report);
            }
            6..=8 if running > 0 => {
                let allocation = both.running[rng.random_range(0..running)].clone();
                let use_ = allocation.requested * rng.random_range(0.1..1.2);
                let notes = [
                    Metric::Running,
                    Metric::Cores(use_.cores),
                    Metric::Memory(use_.memory),
                ];
                let note = notes[rng.random_range(0..notes.len())];
                let shot = allocation.attempts.len() - 1;
                both.tell(|one| {
                    one.on_outcome(now, &allocation, shot, Outcome::Placed);
                    one.record_metric(now, allocation.id, note);
                });
            }
            9 => {
                let states = [
                    MachineState::Serving,
                    MachineState::Serving,
                    MachineState::Draining,
                    MachineState::Removed,
                ];
                let state = states[rng.random_range(0..states.len())];
                if rng.random_bool(0.3) {
                    started[id as usize] = Some(now);
                }
                let unasked = rng.random_bool(0.7).then_some(unused);
                let entry = Endpoint {
                    state,
                    started_at: started[id as usize],
                    unreserved: unasked,
                    ..entry(id)
                };
                let scope = if rng.random_bool(0.1) {
                    ListUpdate::Complete
                } else {
                    ListUpdate::Incremental
                };
                both.tell(|one| one.apply_endpoint_list(scope, &[entry]));
            }
            10 if rng.random_bool(0.2) => {
                let accepts = Resources {
                    cores: rng.random_range(1.0..3.0),
                    memory: 1.5,
                };
                let cluster = Cluster {
                    admission_limit: accepts,
                    ..cluster.clone()
                };
                both.tell(|one| one.reconfigure(now, cluster.clone()));
            }
            11 if running > 0 => {
                let last = both.running[running - 1].attempts.last().cloned();
                last.into_iter().for_each(|shot| {
                    both.tell(|one| one.record_attempt_sent(now, shot.machine, shot.sent_at))
                });
            }
            12 => both.tell(|one| {
                one.record_health_check(now, MachineId(id), AttemptResult::TimedOut, None)
            }),
            13 if rng.random_bool(0.1) => {
                // Its owner wants it no longer, and not in its last moment.
                both.waiting
                    .pop_if(|allocation| now + SECOND < allocation.deadline);
            }
            _ => {}
        }
        wait = both.rests(event == 99);
    }
    both.counts
}

fn tracks() -> Vec<ServiceClass> {
    let plain = ServiceClass {
        latency_objective: 2 * SECOND,
        target_utilization: 0.9,
        ..track(RetrySafety::Idempotent)
    };
    let again = RetrySafety::Deduplicated {
        scope: Some(Domain::Cell),
        window: 5 * SECOND,
    };
    let spread = ServiceClass {
        spread: Some((Domain::Zone, 2)),
        retry_safety: again,
        ..plain.clone()
    };
    vec![
        plain.clone(),
        ServiceClass {
            priority: 1,
            ..spread
        },
        ServiceClass {
            retry_safety: RetrySafety::NotRetryable,
            ..plain
        },
    ]
}

#[test_case(false, false, 1; "one that few share, by what is told")]
#[test_case(true, false, 3; "room is listed")]
#[test_case(true, true, 1; "room is listed and lower priorities are pushed out")]
fn a_skipped_evaluation_would_have_found_no_machine(
    shows_room: bool,
    makes_room: bool,
    schedulers: usize,
) {
    let account = |share| Tenant {
        quota_cores: Some(share),
    };
    let cluster = Cluster {
        scheduler_count: schedulers,
        service_classes: tracks(),
        tenants: vec![account(20.0), account(200.0)],
        list_reports_capacity: shows_room,
        preempts: makes_room,
        health_checks: true,
        caller_detects_losses: false,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut all = [0; 3];
    for seed in 0..150 {
        let counts = walks(&cluster, seed, 4_000);
        (0..3).for_each(|at| all[at] += counts[at]);
    }
    assert!(
        all[2] > 500 && all[0] * 4 < all[1] * 3,
        "too few that waited, or none left out: {all:?}"
    );
}

/// Starts were long, so a crowded machine could not bear one more. What is learnt of others' starts
/// changes that.
#[test]
fn a_deferred_allocation_is_evaluated_again_when_starts_turn_out_to_be_short() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    let sends = |host: &mut Host, services: &[u64]| -> Vec<Allocation> {
        let mut sent: Vec<_> = services
            .iter()
            .map(|&service| host.ask(service, 0.1, 0.1))
            .collect();
        sent.iter_mut()
            .for_each(|allocation| assert!(host.sent_to(allocation).is_some()));
        sent
    };
    // With and without the program in place.
    let long = sends(&mut host, &[1, 1]);
    host.now += 20 * SECOND;
    long.iter().for_each(|allocation| {
        host.scheduler
            .record_metric(host.now, allocation.id, Metric::Running)
    });
    let short = sends(&mut host, &[2, 2, 2, 4, 4, 4]);
    host.reports(0, 39.5, 10.0);
    host.now += SECOND / 4;
    let mut waits = host.ask(3, 0.5, 1.0);
    assert_eq!(host.place(&mut waits), Placement::Deferred);
    let step = |host: &mut Host| {
        host.now += SECOND / 20;
        host.scheduler.poll(host.now).retry_deferred
    };
    assert!(step(&mut host));
    assert_eq!(host.place(&mut waits), Placement::Deferred);
    assert!(!step(&mut host), "nothing has changed");
    short.iter().for_each(|allocation| {
        host.scheduler
            .record_metric(host.now, allocation.id, Metric::Running)
    });
    assert!(step(&mut host));
    assert!(host.sent_to(&mut waits).is_some());
}
