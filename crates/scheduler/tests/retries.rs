//! Tests that deferred allocations are evaluated again only when an evaluation may succeed, by
//! comparing the scheduler, call by call, with one that evaluates all of them every time.

// The fake host has helpers that only the scenario tests use.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use host::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Two schedulers that get the same calls: one skips evaluations, the other never does.
struct Both {
    skipping: Scheduler,
    exhaustive: Scheduler,
    now: Ticks,
    deferred: Vec<Allocation>,
    running: Vec<Allocation>,
    /// The latest time at which the skipping scheduler requested the next poll.
    next_poll_at: Ticks,
    /// Evaluations of deferred allocations by the skipping and by the exhaustive scheduler, and how
    /// many of them dispatched the allocation.
    counts: [usize; 3],
}

impl Both {
    fn new(cluster: Cluster, seed: u64, machines: u32) -> Self {
        let now = 100 * SECOND;
        let new = || {
            let mut scheduler = Scheduler::new(cluster.clone(), seed, now);
            scheduler.apply_endpoint_list(
                ListUpdate::Cached,
                &(0..machines).map(endpoint).collect::<Vec<_>>(),
            );
            scheduler
        };
        let (skipping, exhaustive) = (new(), new().evaluating_exhaustively());
        Both {
            skipping,
            exhaustive,
            now,
            deferred: Vec::new(),
            running: Vec::new(),
            next_poll_at: now,
            counts: [0; 3],
        }
    }

    fn call_both(&mut self, mut call: impl FnMut(&mut Scheduler)) {
        call(&mut self.skipping);
        call(&mut self.exhaustive);
    }

    /// Places the allocation on both schedulers, which must decide alike.
    fn place_on_both(&mut self, allocation: Allocation) {
        let decisions =
            [&mut self.skipping, &mut self.exhaustive].map(|one| one.place(self.now, &allocation));
        assert_eq!(
            decisions[0], decisions[1],
            "at {}: {allocation:?}",
            self.now
        );
        self.record_decision(allocation, decisions[1]);
    }

    fn record_decision(&mut self, mut allocation: Allocation, decision: Placement) {
        match decision {
            // If it were placed again at the time of its acceptance, it would be counted as another
            // new allocation.
            Placement::Deferred => self.deferred.push(Allocation {
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

    fn report_returned(
        &mut self,
        index: usize,
        result: AttemptResult,
        reason: Option<ReturnReason>,
        report: Option<LoadReport>,
    ) {
        let mut allocation = self.running.swap_remove(index);
        let (now, attempt) = (self.now, allocation.attempts.len() - 1);
        let not_executed = matches!(
            result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed
        );
        allocation.attempts[attempt].state = if not_executed {
            AttemptState::NotExecuted
        } else {
            AttemptState::PossiblyExecuted
        };
        let outcome = Outcome::Returned {
            result,
            reason,
            finished: result == AttemptResult::Completed,
            report,
        };
        let next_steps = [&mut self.skipping, &mut self.exhaustive]
            .map(|one| one.on_outcome(now, &allocation, attempt, outcome));
        assert_eq!(next_steps[0], next_steps[1]);
        if next_steps[0] == NextStep::Retry {
            self.place_on_both(allocation);
        }
    }

    /// Polls both schedulers. An evaluation that one of them skips must find no machine at the
    /// other.
    fn poll_both(&mut self, nothing_reported: bool) -> PollResult {
        let [skipping_poll, exhaustive_poll] =
            [&mut self.skipping, &mut self.exhaustive].map(|one| one.poll(self.now));
        assert!(
            !skipping_poll.retry_deferred || exhaustive_poll.retry_deferred,
            "at {}: an evaluation that is not due",
            self.now
        );
        assert!(
            !(skipping_poll.retry_deferred && nothing_reported) || self.next_poll_at <= self.now,
            "the requested poll would have been too late for this evaluation"
        );
        assert_eq!(
            (
                &skipping_poll.health_checks,
                &skipping_poll.migrations,
                &skipping_poll.lost
            ),
            (
                &exhaustive_poll.health_checks,
                &exhaustive_poll.migrations,
                &exhaustive_poll.lost
            )
        );
        self.next_poll_at = self.now + skipping_poll.next_poll;
        if exhaustive_poll.retry_deferred {
            for allocation in std::mem::take(&mut self.deferred) {
                let evaluated = skipping_poll.retry_deferred
                    && skipping_poll
                        .retry_deadline_limit
                        .is_none_or(|end| allocation.deadline <= end);
                let decision = self.exhaustive.place(self.now, &allocation);
                let skipping_decision = if evaluated {
                    self.skipping.place(self.now, &allocation)
                } else {
                    Placement::Deferred
                };
                assert_eq!(
                    skipping_decision, decision,
                    "at {}, evaluated: {evaluated}, {allocation:?}",
                    self.now
                );
                self.counts[0] += usize::from(evaluated);
                self.counts[1] += 1;
                self.counts[2] += usize::from(matches!(decision, Placement::Dispatch { .. }));
                self.record_decision(allocation, decision);
            }
        }
        if skipping_poll.retry_deadline_limit.is_some() && self.deferred.is_empty() {
            self.skipping.no_deferred_left();
        }
        if exhaustive_poll.retry_deferred && skipping_poll.retry_deferred {
            return self.poll_both(false);
        }
        exhaustive_poll
    }
}

fn random_walk(cluster: &Cluster, seed: u64, steps: usize) -> [usize; 3] {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let machines = rng.random_range(1..6);
    let mut both = Both::new(cluster.clone(), seed, machines);
    let mut started_at = vec![None; machines as usize];
    let mut result = both.poll_both(false);
    for index in 0..steps as u64 {
        let max_step = if rng.random_bool(0.01) {
            3 * SECOND
        } else {
            result.next_poll.max(1)
        };
        // The clock stands still, advances or jumps.
        both.now += rng.random_range(0..=max_step);
        let id = rng.random_range(0..machines);
        let random_share = |rng: &mut Pcg64Mcg| Resources {
            cores: rng.random(),
            memory: rng.random(),
        };
        let available_resources =
            random_share(&mut rng) * SIZE * if rng.random_bool(0.7) { 0.2 } else { 0.8 };
        let report = rng.random_bool(0.5).then_some(LoadReport {
            available: available_resources,
        });
        let (now, running) = (both.now, both.running.len());
        let event = if rng.random_bool(0.9) {
            99
        } else {
            rng.random_range(0..14)
        };
        match event {
            0..=2 => {
                let scale = if rng.random_bool(0.2) { 0.6 } else { 0.15 };
                let allocation = Allocation {
                    id: AllocationId(index),
                    service: ServiceId(rng.random_range(0..4)),
                    service_class: ServiceClassId(0),
                    tenant: TenantId(rng.random_range(0..2)),
                    requested: (random_share(&mut rng) + Resources::ONE * 0.05) * SIZE * scale,
                    accepted_at: now,
                    deadline: now + rng.random_range(50..8 * SECOND),
                    attempts: Vec::new(),
                };
                let class =
                    ServiceClassId(allocation.service.0 as usize % cluster.service_classes.len());
                both.place_on_both(Allocation {
                    service_class: class,
                    ..allocation
                });
            }
            3 => both.call_both(|one| {
                one.record_health_check(
                    now,
                    MachineId(id),
                    AttemptResult::Completed,
                    Some(LoadReport {
                        available: available_resources,
                    }),
                )
            }),
            4 if running > 0 => both.report_returned(
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
                let result = endings[rng.random_range(0..endings.len())];
                let reason = reasons[rng.random_range(0..reasons.len())];
                both.report_returned(rng.random_range(0..running), result, reason, report);
            }
            6..=8 if running > 0 => {
                let allocation = both.running[rng.random_range(0..running)].clone();
                let used = allocation.requested * rng.random_range(0.1..1.2);
                let metrics = [
                    Metric::Running,
                    Metric::Cores(used.cores),
                    Metric::Memory(used.memory),
                ];
                let metric = metrics[rng.random_range(0..metrics.len())];
                let attempt = allocation.attempts.len() - 1;
                both.call_both(|one| {
                    one.on_outcome(now, &allocation, attempt, Outcome::Placed);
                    one.record_metric(now, allocation.id, metric);
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
                    started_at[id as usize] = Some(now);
                }
                let unreserved_capacity = rng.random_bool(0.7).then_some(available_resources);
                let endpoint = Endpoint {
                    state,
                    started_at: started_at[id as usize],
                    unreserved: unreserved_capacity,
                    ..endpoint(id)
                };
                let update = if rng.random_bool(0.1) {
                    ListUpdate::Complete
                } else {
                    ListUpdate::Incremental
                };
                both.call_both(|one| one.apply_endpoint_list(update, &[endpoint]));
            }
            10 if rng.random_bool(0.2) => {
                let random_limit = Resources {
                    cores: rng.random_range(1.0..3.0),
                    memory: 1.5,
                };
                let cluster = Cluster {
                    admission_limit: random_limit,
                    ..cluster.clone()
                };
                both.call_both(|one| one.reconfigure(now, cluster.clone()));
            }
            11 if running > 0 => {
                let last_attempt = both.running[running - 1].attempts.last().cloned();
                last_attempt.into_iter().for_each(|attempt| {
                    both.call_both(|one| {
                        one.record_attempt_sent(now, attempt.machine, attempt.sent_at)
                    })
                });
            }
            12 => both.call_both(|one| {
                one.record_health_check(now, MachineId(id), AttemptResult::TimedOut, None)
            }),
            13 if rng.random_bool(0.1) => {
                // The client withdraws its request, but not right before the deadline.
                both.deferred
                    .pop_if(|allocation| now + SECOND < allocation.deadline);
            }
            _ => {}
        }
        result = both.poll_both(event == 99);
    }
    both.counts
}

fn service_classes() -> Vec<ServiceClass> {
    let base_class = ServiceClass {
        latency_objective: 2 * SECOND,
        target_utilization: 0.9,
        ..service_class(RetrySafety::Idempotent)
    };
    let deduplicated = RetrySafety::Deduplicated {
        scope: Some(Domain::Cell),
        window: 5 * SECOND,
    };
    let spread = ServiceClass {
        spread: Some((Domain::Zone, 2)),
        retry_safety: deduplicated,
        ..base_class.clone()
    };
    vec![
        base_class.clone(),
        ServiceClass {
            priority: 1,
            ..spread
        },
        ServiceClass {
            retry_safety: RetrySafety::NotRetryable,
            ..base_class
        },
    ]
}

#[test_case(false, false, 1; "one scheduler, by load reports")]
#[test_case(true, false, 3; "the capacity is listed")]
#[test_case(true, true, 1; "the capacity is listed and lower priorities are preempted")]
fn a_skipped_evaluation_would_have_found_no_machine(
    capacity_listed: bool,
    preempting: bool,
    schedulers: usize,
) {
    let tenant = |quota| Tenant {
        quota_cores: Some(quota),
    };
    let cluster = Cluster {
        scheduler_count: schedulers,
        service_classes: service_classes(),
        tenants: vec![tenant(20.0), tenant(200.0)],
        list_reports_capacity: capacity_listed,
        preempts: preempting,
        health_checks: true,
        caller_detects_losses: false,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut totals = [0; 3];
    for seed in 0..150 {
        let counts = random_walk(&cluster, seed, 4_000);
        (0..3).for_each(|at| totals[at] += counts[at]);
    }
    assert!(
        totals[2] > 500 && totals[0] * 4 < totals[1] * 3,
        "too few dispatched after deferral, or too few evaluations skipped: {totals:?}"
    );
}

/// Starts were slow, so a crowded machine couldn't take another one. Faster starts of other
/// allocations change that.
#[test]
fn a_deferred_allocation_is_evaluated_again_when_starts_turn_out_to_be_short() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    let dispatch_all = |host: &mut Host, services: &[u64]| -> Vec<Allocation> {
        let mut sent: Vec<_> = services
            .iter()
            .map(|&service| host.new_allocation(service, 0.1, 0.1))
            .collect();
        sent.iter_mut()
            .for_each(|allocation| assert!(host.dispatch_target(allocation).is_some()));
        sent
    };
    // With and without the program cached.
    let slow_starts = dispatch_all(&mut host, &[1, 1]);
    host.now += 20 * SECOND;
    slow_starts.iter().for_each(|allocation| {
        host.scheduler
            .record_metric(host.now, allocation.id, Metric::Running)
    });
    let fast_starts = dispatch_all(&mut host, &[2, 2, 2, 4, 4, 4]);
    host.report_load(0, 39.5, 10.0);
    host.now += SECOND / 4;
    let mut deferred = host.new_allocation(3, 0.5, 1.0);
    assert_eq!(host.place(&mut deferred), Placement::Deferred);
    let step = |host: &mut Host| {
        host.now += SECOND / 20;
        host.scheduler.poll(host.now).retry_deferred
    };
    assert!(step(&mut host));
    assert_eq!(host.place(&mut deferred), Placement::Deferred);
    assert!(!step(&mut host), "nothing has changed");
    fast_starts.iter().for_each(|allocation| {
        host.scheduler
            .record_metric(host.now, allocation.id, Metric::Running)
    });
    assert!(step(&mut host));
    assert!(host.dispatch_target(&mut deferred).is_some());
}
