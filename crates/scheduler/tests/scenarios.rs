//! Scenario tests against a fake host, each of which guards against one failure.

mod host;

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use host::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use test_case::test_case;

const SMALL: Resources = Resources {
    cores: 2.0,
    memory: 4.0,
};
const WINDOW: Ticks = 2 * SECOND;

fn deduplicated(domain: Option<Domain>) -> RetrySafety {
    RetrySafety::Deduplicated {
        scope: domain,
        window: WINDOW,
    }
}

#[test_case(RetrySafety::Idempotent, Placement::Shed)]
#[test_case(RetrySafety::NotRetryable, Placement::Shed)]
fn an_allocation_that_no_machine_takes_is_answered_before_its_deadline(
    safety: RetrySafety,
    expected: Placement,
) {
    let mut host = Host::new(cluster(service_class(safety)), 1, 0);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    assert_eq!(host.place(&mut allocation), Placement::Deferred);
    let decision = loop {
        let result = host.scheduler.poll(host.now);
        if result.retry_deferred {
            match host.place(&mut allocation) {
                Placement::Deferred => continue,
                decision => break decision,
            }
        }
        host.now += result.next_poll;
        assert!(
            host.now < allocation.deadline,
            "no answer before the deadline"
        );
    };
    assert_eq!(decision, expected);
}

#[test]
fn an_attempt_times_out_before_the_deadline() {
    let mut host = Host::new(cluster(service_class(RetrySafety::NotRetryable)), 1, 1);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    let Placement::Dispatch { timeout, .. } = host.place(&mut allocation) else {
        panic!("not sent")
    };
    assert!(host.now + timeout <= allocation.deadline);
}

#[test_case(RetrySafety::Idempotent, AttemptResult::TimedOut, true; "idempotent, after a timeout")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::TimedOut, false; "not retryable, after a timeout")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::Error, false; "not retryable, after an error")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::Rejected, true; "not retryable, but rejected and so never run")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::ConnectFailed, true; "not retryable, but without a connection")]
fn an_attempt_that_may_have_run_restricts_retries(
    safety: RetrySafety,
    result: AttemptResult,
    retried: bool,
) {
    let mut host = Host::new(cluster(service_class(safety)), 1, 4);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    host.place(&mut allocation);
    assert_eq!(
        host.report_returned(&mut allocation, result, None),
        NextStep::Retry
    );
    match host.place(&mut allocation) {
        Placement::Dispatch { .. } => assert!(retried),
        decision => assert_eq!((decision, retried), (Placement::Indeterminate, false)),
    }
}

#[test_case(None, |_, _| true, Placement::Shed)]
#[test_case(Some(Domain::Zone), |a, b| a % 2 == b % 2, Placement::Indeterminate)]
#[test_case(Some(Domain::Cell), |a, b| a / 2 == b / 2, Placement::Indeterminate)]
fn a_deduplicated_allocation_is_retried_only_in_its_domain_and_window(
    scope: Option<Domain>,
    same_domain: fn(u32, u32) -> bool,
    after_window: Placement,
) {
    for seed in 0..8 {
        let mut host = Host::new(cluster(service_class(deduplicated(scope))), seed, 8);
        let mut allocation = host.new_allocation(1, 1.0, 1.0);
        let first = host.dispatch_target(&mut allocation).expect("sent");
        host.now += SECOND / 2;
        host.report_returned(&mut allocation, AttemptResult::TimedOut, None);
        let second = host.dispatch_target(&mut allocation).expect("sent again");
        assert!(same_domain(first, second) && first != second);
        host.now += WINDOW;
        host.report_returned(&mut allocation, AttemptResult::TimedOut, None);
        assert_eq!(host.place(&mut allocation), after_window);
    }
}

#[test_case(ListUpdate::Incremental, MachineState::Draining; "listed as draining")]
#[test_case(ListUpdate::Incremental, MachineState::Removed; "listed as removed")]
#[test_case(ListUpdate::Complete, MachineState::Serving; "left out of a complete list")]
fn nothing_is_dispatched_to_a_draining_or_removed_machine(update: ListUpdate, state: MachineState) {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    host.report_load(0, 0.0, 0.0);
    host.report_load(1, 20.0, 20.0);
    let leaving_endpoint = Endpoint {
        state,
        ..endpoint(0)
    };
    let endpoints = if update == ListUpdate::Complete {
        vec![endpoint(1)]
    } else {
        vec![leaving_endpoint]
    };
    host.scheduler.apply_endpoint_list(update, &endpoints);
    for _ in 0..5 {
        let mut allocation = host.new_allocation(1, 1.0, 1.0);
        assert_eq!(host.dispatch_target(&mut allocation), Some(1));
    }
}

#[test_case(1, 6; "alone")]
#[test_case(3, 2; "one of three")]
fn a_machine_in_slow_start_gets_our_quota_of_attempts(schedulers: usize, quota: usize) {
    let mut host = Host::new(
        Cluster {
            scheduler_count: schedulers,
            ..cluster(service_class(RetrySafety::Idempotent))
        },
        1,
        1,
    );
    host.now += 20 * SECOND;
    // A new process under the same id: what was known about the old process no longer applies.
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now),
            ..endpoint(0)
        }],
    );
    for window in 0..2 {
        let sent = (0..20).filter(|_| {
            let mut allocation = host.new_allocation(1, 0.1, 0.1);
            host.dispatch_target(&mut allocation).is_some()
        });
        assert_eq!(sent.count(), quota, "window {window}");
        host.now += SECOND + SECOND / 50;
    }
}

#[test]
fn after_our_restart_a_machine_in_slow_start_gets_no_attempt_for_one_window() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now - SECOND),
            ..endpoint(0)
        }],
    );
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    assert_eq!(host.place(&mut allocation), Placement::Deferred);
    host.now += SECOND;
    assert_eq!(host.dispatch_target(&mut allocation), Some(0));
}

#[test]
fn a_longer_slow_start_window_counts_attempts_that_the_shorter_one_dropped() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    host.now += 20 * SECOND;
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now),
            ..endpoint(0)
        }],
    );
    let sent = |host: &mut Host| (0..20).filter(|_| host.dispatch_small(1).is_some()).count();
    assert_eq!(sent(&mut host), 6);
    host.now += SECOND + SECOND / 50;
    let longer_window = SlowStart {
        duration: 10 * SECOND,
        window: 3 * SECOND,
        max_attempts: 6.0,
    };
    host.scheduler.reconfigure(
        host.now,
        Cluster {
            slow_start: longer_window,
            ..cluster(service_class(RetrySafety::Idempotent))
        },
    );
    assert_eq!(
        sent(&mut host),
        0,
        "six attempts were sent within the last three seconds"
    );
    host.now += 3 * SECOND + SECOND / 50;
    assert_eq!(sent(&mut host), 6);
}

#[test]
fn new_settings_take_effect_and_placed_replicas_stay_counted() {
    let spread = |max_replicas| ServiceClass {
        spread: Some((Domain::Machine, max_replicas)),
        ..service_class(RetrySafety::Idempotent)
    };
    let mut host = Host::new(cluster(spread(2)), 1, 1);
    let sent = |host: &mut Host| (0..20).filter(|_| host.dispatch_small(1).is_some()).count();
    assert_eq!(sent(&mut host), 2);
    host.scheduler.reconfigure(host.now, cluster(spread(5)));
    assert_eq!(sent(&mut host), 3);
    host.scheduler.reconfigure(host.now, cluster(spread(1)));
    assert_eq!(sent(&mut host), 0);
}

#[test_case(Domain::Machine, 8)]
#[test_case(Domain::Cell, 4)]
#[test_case(Domain::Zone, 2)]
fn a_service_is_spread_as_its_class_requires(domain: Domain, domain_count: usize) {
    let spread_class = ServiceClass {
        spread: Some((domain, 2)),
        ..service_class(RetrySafety::Idempotent)
    };
    let mut host = Host::new(cluster(spread_class), 1, 8);
    let sent = (0..40).filter(|_| {
        let mut allocation = host.new_allocation(1, 0.1, 0.1);
        host.dispatch_target(&mut allocation).is_some()
    });
    assert_eq!(sent.count(), 2 * domain_count);
}

#[test]
fn a_recent_allocation_is_not_subtracted_from_a_report_that_does_not_include_it() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    host.report_load(0, 16.0, 10.0);
    host.report_load(1, 20.0, 10.0);
    let mut first = host.new_allocation(1, 8.0, 4.0);
    assert_eq!(host.dispatch_target(&mut first), Some(0));
    host.report_placed(&first);
    host.report_usage(&first, first.requested);
    host.report_load(0, 16.0, 10.0);
    let mut second = host.new_allocation(1, 1.0, 1.0);
    assert_eq!(
        host.dispatch_target(&mut second),
        Some(1),
        "16 cores reported plus 8 not in the report exceed 20"
    );
}

#[test]
fn an_old_allocation_is_not_added_to_a_report_that_includes_it() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    let requested = Resources {
        cores: 8.0,
        memory: 4.0,
    };
    host.add_running(1, requested, requested, 0, 5 * SECOND);
    host.report_load(0, 10.0, 10.0);
    host.report_load(1, 14.0, 10.0);
    let mut allocation = host.new_allocation(2, 1.0, 1.0);
    assert_eq!(
        host.dispatch_target(&mut allocation),
        Some(0),
        "machine 0 has 10 cores in use, machine 1 has 14"
    );
}

#[test_case(0.25, Some(0); "with records of low usage the emptier machine is safe")]
#[test_case(1.0, Some(1); "with records of full usage it is not")]
#[test_case(0.0, Some(1); "without records its request is drawn")]
fn usage_records_decide_between_machines_with_the_same_capacity(
    used_share: f64,
    expected: Option<u32>,
) {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    if used_share > 0.0 {
        host.add_usage_records(7, used_share);
    }
    // Machine 0 has the lower current usage, but only machine 1 has memory for the whole request.
    host.report_load(0, 34.0, 60.0);
    host.report_load(1, 10.0, 62.0);
    let mut allocation = host.new_allocation(7, 10.0, 10.0);
    allocation.requested.memory = 24.0;
    host.report_load(0, 10.0, 70.0);
    host.report_load(1, 29.0, 62.0);
    assert_eq!(host.dispatch_target(&mut allocation), expected);
}

#[test]
fn a_record_below_the_present_usage_is_not_drawn() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    host.add_usage_records(7, 0.25);
    // The service currently uses its full request; with its low usage records, 32 of the 40 cores
    // would be left out.
    let requested = Resources {
        cores: 40.0,
        memory: 8.0,
    };
    host.add_running(7, requested, requested, 0, 5 * SECOND);
    host.report_load(0, 40.0, 10.0);
    host.report_load(1, 39.0, 80.0);
    let mut allocation = host.new_allocation(7, 0.5, 8.0);
    assert_eq!(host.dispatch_target(&mut allocation), Some(1));
}

#[test]
fn a_machine_over_its_usable_capacity_does_not_attract_all_allocations() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    host.report_load(0, 20.0, 99.0);
    host.report_load(1, 20.0, 85.0);
    for _ in 0..2 {
        let mut allocation = host.new_allocation(1, 1.0, 3.0);
        assert_eq!(
            host.dispatch_target(&mut allocation),
            Some(1),
            "machine 0 is over its usable capacity, so its risk cannot increase"
        );
    }
    let mut third = host.new_allocation(1, 1.0, 3.0);
    assert_eq!(
        host.place(&mut third),
        Placement::Deferred,
        "neither machine has the capacity"
    );
}

#[test]
fn near_ties_break_at_random() {
    let chosen: BTreeSet<_> = (0..20)
        .map(|seed| {
            let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), seed, 2);
            host.report_load(0, 20.0, 60.0);
            host.report_load(1, 20.0, 60.5);
            let mut allocation = host.new_allocation(1, 1.0, 1.0);
            host.dispatch_target(&mut allocation)
        })
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn machines_beyond_the_demand_are_held_back_until_the_others_are_full() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 6);
    for _ in 0..100 {
        // A scheduler with hardly any allocations knows too little of the demand to hold machines
        // back.
        host.add_running(
            1,
            Resources::ONE * 0.01,
            Resources::ONE * 0.01,
            0,
            5 * SECOND,
        );
    }
    host.report_load(0, 16.0, 40.0);
    for id in 1..6 {
        host.report_load(id, 0.0, 0.0);
    }
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    assert_eq!(
        host.dispatch_target(&mut allocation),
        Some(0),
        "the five emptier machines are not needed"
    );
    let mut too_large = host.new_allocation(1, 10.0, 60.0);
    assert!(
        host.dispatch_target(&mut too_large)
            .is_some_and(|machine| machine > 0)
    );
}

#[test]
fn a_machine_that_never_reported_counts_as_the_average() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 3);
    host.report_load(0, 30.0, 80.0);
    host.report_load(1, 30.0, 20.0);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    // The average is 0.5 of the memory and 0.75 of the cores: the same larger share as on machine 1
    // and less than on machine 0.
    assert_ne!(host.dispatch_target(&mut allocation), Some(0));
}

#[test]
fn a_machine_that_leaves_an_attempt_unanswered_is_ejected_for_a_time() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    host.report_load(0, 0.0, 0.0);
    host.report_load(1, 30.0, 30.0);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    let first = host.dispatch_target(&mut allocation);
    host.report_returned(&mut allocation, AttemptResult::TimedOut, None);
    assert_ne!(host.dispatch_target(&mut allocation), first);
}

#[test]
fn a_rejected_request_is_not_dispatched_again_at_once_but_a_smaller_one_is() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    let mut allocation = host.new_allocation(1, 2.0, 4.0);
    host.place(&mut allocation);
    host.report_returned(
        &mut allocation,
        AttemptResult::Rejected,
        Some(ReturnReason::NoMemory),
    );
    assert_eq!(host.place(&mut allocation), Placement::Deferred);
    let mut smaller = host.new_allocation(1, 1.0, 2.0);
    assert_eq!(host.dispatch_target(&mut smaller), Some(0));
}

#[test]
fn recent_dispatches_count_on_top_of_the_listed_capacity() {
    let listed_cluster = Cluster {
        list_reports_capacity: true,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut host = Host::new(listed_cluster, 1, 1);
    let unreserved_capacity = Some(Resources {
        cores: 40.0,
        memory: -40.0,
    });
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            unreserved: unreserved_capacity,
            ..endpoint(0)
        }],
    );
    let sent = (0..5).filter(|_| {
        let mut allocation = host.new_allocation(1, 1.0, 4.0);
        host.dispatch_target(&mut allocation).is_some()
    });
    assert_eq!(
        sent.count(),
        2,
        "10 of memory are left below the admission limit"
    );
}

#[test]
fn a_failed_watch_is_retried_with_backoff() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    assert!(host.scheduler.poll(host.now).watch_endpoints, "at start");
    let mut watches = 0;
    host.scheduler.endpoint_watch_failed(host.now);
    let until = host.now + 20 * SECOND;
    while host.now < until {
        let result = host.scheduler.poll(host.now);
        if result.watch_endpoints {
            watches += 1;
            host.scheduler.endpoint_watch_failed(host.now);
        }
        host.now += result.next_poll;
    }
    assert!((4..=20).contains(&watches), "{watches} watches in 20 s");
}

#[test]
fn allocations_migrate_off_a_machine_short_of_memory_while_another_has_capacity() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    for _ in 0..30 {
        let mut usual = host.new_allocation(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::Deferred);
    }
    let requested = SMALL;
    host.add_running(
        1,
        requested,
        Resources {
            cores: 1.0,
            memory: 4.0,
        },
        0,
        5 * SECOND,
    );
    host.add_running(
        1,
        requested,
        Resources {
            cores: 1.0,
            memory: 4.0,
        },
        1,
        5 * SECOND,
    );
    host.now += 10 * SECOND;
    host.report_load(0, 10.0, 30.0);
    host.report_load(1, 10.0, 99.0);
    let moved = (0..100).any(|_| {
        host.report_load(0, 10.0, 30.0);
        host.report_load(1, 10.0, 99.0);
        let result = host.scheduler.poll(host.now);
        host.now += result.next_poll;
        !result.migrations.is_empty()
    });
    assert!(
        moved,
        "migrations are made at random so that not all schedulers migrate theirs"
    );
}

#[test]
fn capacity_for_a_large_allocation_is_cleared_where_it_is_fragmented() {
    let listed_cluster = Cluster {
        list_reports_capacity: true,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut host = Host::new(listed_cluster, 1, 1);
    let unreserved_capacity = Some(Resources {
        cores: 20.0,
        memory: 10.0,
    });
    for _ in 0..30 {
        let mut usual = host.new_allocation(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::Deferred);
    }
    let mut running: Vec<Allocation> = (0..5)
        .map(|_| {
            host.add_running(
                1,
                Resources {
                    cores: 2.0,
                    memory: 15.0,
                },
                SMALL,
                0,
                5 * SECOND,
            )
        })
        .collect();
    host.report_load(0, 10.0, 20.0);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            unreserved: unreserved_capacity,
            ..endpoint(0)
        }],
    );
    let mut large = host.new_allocation(2, 12.0, 70.0);
    assert_eq!(host.place(&mut large), Placement::Deferred);
    let moves = host.scheduler.poll(host.now).migrations;
    assert_eq!(moves.len(), 1, "one migration is enough");
    let mut other = host.new_allocation(1, 0.5, 0.5);
    assert_eq!(
        host.place(&mut other),
        Placement::Deferred,
        "the capacity is reserved"
    );
    for allocation in running.iter_mut().filter(|one| moves.contains(&one.id)) {
        host.report_returned(allocation, AttemptResult::Cancelled, None);
    }
    assert_eq!(host.dispatch_target(&mut large), Some(0));
}

#[test_case(1, 10.0, None; "well over its quota it waits while no machine is under theta")]
#[test_case(1, 100.0, Some(0); "within its quota it takes the smallest increase in risk")]
#[test_case(300, 3000.0, Some(0); "one of many schedulers may hold twice its part by chance")]
fn a_tenant_over_its_quota_waits_for_capacity(
    schedulers: usize,
    quota: f64,
    expected: Option<u32>,
) {
    let quota_tenants = vec![Tenant {
        quota_cores: Some(quota),
    }];
    let mut host = Host::new(
        Cluster {
            scheduler_count: schedulers,
            tenants: quota_tenants,
            ..cluster(service_class(RetrySafety::Idempotent))
        },
        1,
        1,
    );
    let held = Resources {
        cores: if schedulers == 1 { 20.0 } else { 16.0 },
        memory: 4.0,
    };
    host.add_running(1, held, held, 0, 5 * SECOND);
    host.report_load(0, 39.5, 20.0);
    let mut allocation = host.new_allocation(1, 2.0, 4.0);
    assert_eq!(host.dispatch_target(&mut allocation), expected);
}

#[test]
fn an_allocation_that_must_not_run_twice_never_times_out_early() {
    let mut host = Host::new(cluster(service_class(RetrySafety::NotRetryable)), 1, 2);
    for _ in 0..5 {
        let mut quick = host.new_allocation(1, 1.0, 1.0);
        host.place(&mut quick);
        host.now += SECOND / 100;
        host.report_placed(&quick);
    }
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    let Placement::Dispatch { timeout, .. } = host.place(&mut allocation) else {
        panic!("not sent")
    };
    assert!(
        timeout > 5 * SECOND,
        "a queued copy that timed out may still run and would prevent retries"
    );
}

#[test]
fn with_more_schedulers_than_slow_start_attempts_the_quotas_add_up() {
    let sent = |index| {
        let many = Cluster {
            scheduler_index: index,
            scheduler_count: 20,
            ..cluster(service_class(RetrySafety::Idempotent))
        };
        let mut host = Host::new(many, 1, 1);
        host.now += 20 * SECOND;
        host.scheduler.apply_endpoint_list(
            ListUpdate::Incremental,
            &[Endpoint {
                started_at: Some(host.now),
                ..endpoint(0)
            }],
        );
        (0..5).filter(|_| host.dispatch_small(1).is_some()).count()
    };
    assert_eq!((0..20).map(sent).sum::<usize>(), 6);
}

#[test]
fn independent_schedulers_place_a_service_on_the_same_few_machines() {
    let machines = |service| -> BTreeSet<u32> {
        let many = |index| Cluster {
            scheduler_index: index,
            scheduler_count: 300,
            ..cluster(service_class(RetrySafety::Idempotent))
        };
        (0..30)
            .filter_map(|index| Host::new(many(index), index as u64, 12).dispatch_small(service))
            .collect()
    };
    assert!(
        (1..=20).all(|service| machines(service).len() <= 2),
        "each service is placed on at most two machines, which cache its program"
    );
    assert!(
        (1..=20).flat_map(machines).collect::<BTreeSet<_>>().len() > 8,
        "different services are placed on different machines"
    );
}

#[test]
fn a_scheduler_with_hardly_any_allocation_holds_no_machine_back() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 3);
    host.report_load(0, 20.0, 50.0);
    host.report_load(1, 0.0, 0.0);
    host.report_load(2, 0.0, 0.0);
    assert!(
        (1..=10).any(|service| host.dispatch_small(service) != Some(0)),
        "its view of the demand is too small a sample"
    );
}

#[test]
fn health_checks_are_no_more_than_placed_allocations() {
    let health_checked = Cluster {
        health_checks: true,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut host = Host::new(health_checked, 1, 100);
    let mut health_checks = 0;
    for second in 0..20 {
        if second < 3 {
            host.dispatch_small(1);
        }
        health_checks += host.scheduler.poll(host.now).health_checks.len();
        host.now += SECOND;
    }
    assert_eq!(health_checks, 3);
}

#[test]
fn an_old_load_report_gives_way_to_the_listed_capacity() {
    let listed_cluster = Cluster {
        list_reports_capacity: true,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut host = Host::new(listed_cluster, 1, 2);
    host.add_running(1, SMALL, SMALL, 0, 5 * SECOND);
    host.report_load(0, 36.0, 20.0);
    host.now += 30 * SECOND;
    let unreserved_capacity = |cores| {
        Some(Resources {
            cores,
            memory: 90.0,
        })
    };
    let endpoints = [(0, 35.0), (1, 15.0)].map(|(id, cores)| Endpoint {
        unreserved: unreserved_capacity(cores),
        ..endpoint(id)
    });
    host.scheduler
        .apply_endpoint_list(ListUpdate::Incremental, &endpoints);
    assert_eq!(
        host.dispatch_small(2),
        Some(0),
        "5 cores requested on machine 0, 25 on machine 1"
    );
}

#[test]
fn only_some_of_many_schedulers_migrate_off_a_machine_short_of_memory() {
    let migrates = |seed: &u64| {
        let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), *seed, 2);
        let mut usual = host.new_allocation(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::Deferred);
        host.add_running(
            1,
            SMALL,
            Resources {
                cores: 1.0,
                memory: 4.0,
            },
            1,
            5 * SECOND,
        );
        host.report_load(0, 10.0, 30.0);
        host.report_load(1, 10.0, 99.0);
        !host.scheduler.poll(host.now).migrations.is_empty()
    };
    let migrated = (0..200).filter(migrates).count();
    assert!(
        (1..40).contains(&migrated),
        "{migrated} of 200 migrated; 4 of 99 are over the limit"
    );
}

#[test_case(2, false, Some(0); "usage of lower priorities counts half")]
#[test_case(2, true, None; "usage counts in full if lower priorities are preempted")]
#[test_case(0, false, None; "usage counts in full for the same priority")]
fn usage_of_lower_priorities_is_discounted_for_a_higher_one(
    priority: u8,
    preempting: bool,
    expected: Option<u32>,
) {
    let lowest = service_class(RetrySafety::Idempotent);
    let classes = vec![lowest.clone(), ServiceClass { priority, ..lowest }];
    let mut host = Host::new(
        Cluster {
            service_classes: classes,
            preempts: preempting,
            ..cluster(service_class(RetrySafety::Idempotent))
        },
        1,
        1,
    );
    host.report_load(0, 20.0, 80.0);
    let mut allocation = Allocation {
        service_class: ServiceClassId(1),
        ..host.new_allocation(1, 4.0, 30.0)
    };
    assert_eq!(host.dispatch_target(&mut allocation), expected);
}

#[test]
fn requests_that_no_machine_can_run_eject_no_machine() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 4);
    for service in 0..20 {
        let mut invalid = host.new_allocation(service, 1.0, 1.0);
        while host.dispatch_target(&mut invalid).is_some() {
            host.report_returned(&mut invalid, AttemptResult::Error, None);
        }
    }
    assert!(
        host.dispatch_small(99).is_some(),
        "the machines answered each time"
    );
}

#[test]
fn one_reset_ejects_no_machine_but_two_in_a_row_do() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    for dispatched in [true, true, false] {
        let mut allocation = host.new_allocation(1, 1.0, 1.0);
        assert_eq!(host.dispatch_target(&mut allocation).is_some(), dispatched);
        if dispatched {
            host.report_returned(&mut allocation, AttemptResult::Reset, None);
        }
    }
}

#[test]
fn an_error_counts_as_a_fault_once_another_machine_has_placed_the_allocation() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    let failing = host.dispatch_target(&mut allocation).expect("sent");
    host.report_returned(&mut allocation, AttemptResult::Error, None);
    host.dispatch_target(&mut allocation)
        .expect("sent to the other");
    host.report_placed(&allocation);
    let next: BTreeSet<u32> = (2..12)
        .filter_map(|service| host.dispatch_small(service))
        .collect();
    assert_eq!(next, BTreeSet::from([1 - failing]));
}

#[test]
fn a_retry_avoids_the_machine_that_may_still_run_an_earlier_attempt() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 2);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    let first = host.dispatch_target(&mut allocation);
    host.report_returned(&mut allocation, AttemptResult::Reset, None);
    let second = host.dispatch_target(&mut allocation);
    assert!(second.is_some() && second != first);
}

#[test_case(deduplicated(None), 1; "the client of a deduplicated one would wait until it certainly no longer runs")]
#[test_case(RetrySafety::Idempotent, 0; "an idempotent one is retried at once anyway")]
#[test_case(RetrySafety::NotRetryable, 0; "one that must not run twice is never stopped")]
fn allocations_on_a_draining_machine_migrate_if_their_clients_would_wait(
    safety: RetrySafety,
    migration_count: usize,
) {
    let mut host = Host::new(cluster(service_class(safety)), 1, 2);
    host.add_running(1, SMALL, SMALL, 0, 5 * SECOND);
    host.dispatch_small(2);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            state: MachineState::Draining,
            ..endpoint(0)
        }],
    );
    assert_eq!(
        host.scheduler.poll(host.now).migrations.len(),
        migration_count
    );
    host.now += SECOND;
    assert!(
        host.scheduler.poll(host.now).migrations.is_empty(),
        "each is migrated only once"
    );
}

#[test_case(false, true, true; "the caller does not detect losses")]
#[test_case(true, true, false; "the caller detects losses itself")]
#[test_case(false, false, true; "no health checks may be sent")]
fn allocations_on_an_unreachable_machine_are_lost_after_a_time(
    caller_detects: bool,
    health_checks_allowed: bool,
    is_lost: bool,
) {
    let cluster_settings = Cluster {
        caller_detects_losses: caller_detects,
        health_checks: health_checks_allowed,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut host = Host::new(cluster_settings, 1, 2);
    let (silent_allocation, live_allocation) = (
        host.add_running(1, SMALL, SMALL, 0, 0),
        host.add_running(2, SMALL, SMALL, 1, 0),
    );
    let (mut lost, mut connected, began_at) = (Vec::new(), BTreeSet::new(), host.now);
    let mut health_checks = BTreeSet::new();
    while host.now < began_at + 8 * SECOND {
        let result = host.scheduler.poll(host.now);
        lost.extend(result.lost);
        health_checks.extend(result.health_checks);
        for machine in result.connection_checks {
            connected.insert(machine);
            let attempted_at = host.now;
            let failed = ConnectionResult::Failed { attempted_at };
            host.scheduler.record_connection(host.now, machine, failed);
        }
        host.report_usage(&live_allocation, SMALL);
        host.now += result.next_poll;
    }
    assert_eq!(
        lost,
        if is_lost {
            vec![silent_allocation.id]
        } else {
            vec![]
        }
    );
    assert_eq!(
        connected.contains(&MachineId(0)),
        is_lost,
        "connections are opened before its allocations are lost"
    );
    assert_eq!(
        health_checks.contains(&MachineId(0)),
        is_lost && health_checks_allowed,
        "where it may be sent, a health check comes first"
    );
}

#[test]
fn a_removed_machine_is_forgotten_and_may_return() {
    let mut host = Host::new(cluster(service_class(RetrySafety::Idempotent)), 1, 1);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            state: MachineState::Removed,
            ..endpoint(0)
        }],
    );
    host.scheduler.poll(host.now);
    assert_eq!(host.dispatch_small(1), None);
    host.scheduler
        .apply_endpoint_list(ListUpdate::Incremental, &[endpoint(0)]);
    host.now += SECOND;
    assert_eq!(host.dispatch_small(2), Some(0));
}

/// When all domains of a service are full, every machine of a large fleet is evaluated without
/// success. This once took 2,000 microseconds per request and kept a dispatcher from forwarding the
/// reports of its nodes.
#[test]
fn a_request_whose_domains_are_all_full_costs_little_more_than_one_that_is_placed() {
    let elapsed = |spread| {
        let mut host = Host::new(
            cluster(ServiceClass {
                spread,
                ..service_class(RetrySafety::Idempotent)
            }),
            1,
            400,
        );
        for index in 0..1_200 {
            let mut allocation = host.new_allocation(index % 150, 0.1, 0.1);
            let machine = MachineId(((index * 37 + index / 150) % 400) as u32);
            allocation.attempts.push(Attempt {
                machine,
                sent_at: host.now,
                state: AttemptState::PossiblyExecuted,
            });
            host.scheduler.adopt_running(host.now, &allocation, machine);
        }
        let durations = (0..5).map(|_| {
            let since = std::time::Instant::now();
            for service in 0..20 {
                host.now += 1;
                let mut allocation = host.new_allocation(service, 0.1, 0.1);
                assert_eq!(
                    host.place(&mut allocation) == Placement::Deferred,
                    spread.is_some()
                );
            }
            since.elapsed()
        });
        durations.min().expect("five")
    };
    let (placed_time, deferred_time) = (elapsed(None), elapsed(Some((Domain::Zone, 4))));
    assert!(
        deferred_time < placed_time * 25,
        "{deferred_time:?} if deferred, {placed_time:?} if placed"
    );
}

/// Simulates all schedulers of a fleet together, with connections that are established late,
/// schedulers that restart, and scheduler counts that don't divide the allowed attempts evenly. The
/// arrivals are counted in a window that starts at each arrival.
#[test_case(3, 29, true; "three schedulers")]
#[test_case(16, 29, true; "sixteen schedulers")]
#[test_case(20, 29, true; "twenty schedulers")]
#[test_case(30, 29, true; "thirty schedulers")]
#[test_case(30, 7, true; "more schedulers than attempts")]
#[test_case(16, 29, false; "connections established already")]
fn a_machine_in_slow_start_gets_no_more_than_its_limit_from_all_schedulers(
    schedulers: usize,
    max_attempts: usize,
    connects_late: bool,
) {
    const STEP: Ticks = SECOND / 100;
    let (window, max_connect_delay) = (SECOND, SECOND / 4);
    let fleet_cluster = |index| Cluster {
        scheduler_index: index,
        scheduler_count: schedulers,
        slow_start: SlowStart {
            duration: 8 * SECOND,
            window,
            max_attempts: max_attempts as f64,
        },
        connect_timeout: max_connect_delay,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut hosts: Vec<Host> = (0..schedulers)
        .map(|index| Host::new(fleet_cluster(index), index as u64, 1))
        .collect();
    let started_at = hosts[0].now + 20 * SECOND;
    let restarted = Endpoint {
        started_at: Some(started_at),
        ..endpoint(0)
    };
    for host in &mut hosts {
        host.now = started_at;
        host.scheduler
            .apply_endpoint_list(ListUpdate::Incremental, &[restarted]);
    }
    let mut unsent: Vec<(Ticks, usize, Allocation)> = Vec::new();
    let mut arrivals: Vec<Ticks> = Vec::new();
    for now in (started_at..started_at + 6 * SECOND).step_by(STEP as usize) {
        let (due, remaining) = unsent.into_iter().partition(|(at, _, _)| *at <= now);
        unsent = remaining;
        for (_, index, mut allocation) in due as Vec<(Ticks, usize, Allocation)> {
            let scheduler = &mut hosts[index].scheduler;
            arrivals.push(now);
            if connects_late {
                scheduler.record_attempt_sent(now, MachineId(0), allocation.attempts[0].sent_at);
            }
            allocation.attempts[0].state = AttemptState::PossiblyExecuted;
            let completed = Outcome::Returned {
                result: AttemptResult::Completed,
                reason: None,
                finished: true,
                report: None,
            };
            scheduler.on_outcome(now, &allocation, 0, completed);
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            if rng.random_range(0..2_000) == 0 {
                host.scheduler = Scheduler::new(fleet_cluster(index), now, now);
                host.scheduler
                    .apply_endpoint_list(ListUpdate::Incremental, &[restarted]);
                // Attempts that were waiting for a connection are lost with the process.
                unsent.retain(|(_, other, _)| *other != index);
            }
            let mut allocation = host.new_allocation(1, 0.01, 0.01);
            if host.dispatch_target(&mut allocation).is_some() {
                let connect_delay = if connects_late {
                    rng.random_range(0..=max_connect_delay / STEP) * STEP
                } else {
                    0
                };
                unsent.push((now + connect_delay, index, allocation));
            }
        }
    }
    let most_arrivals = arrivals.iter().map(|&from| {
        arrivals
            .iter()
            .filter(|&&at| (from..from + window).contains(&at))
            .count()
    });
    let (most_arrivals, used_share) = (
        most_arrivals.max().expect("some"),
        arrivals.len() as f64 / (6 * max_attempts) as f64,
    );
    assert!(
        most_arrivals <= max_attempts,
        "{most_arrivals} attempts in a window that allows {max_attempts}"
    );
    assert!(
        used_share > 0.6,
        "{used_share:.2} of the allowed attempts were used"
    );
}

/// With a connection established late, an attempt dispatched inside the window may arrive after it,
/// when a repeated attempt is no longer recognized.
#[test_case(0, true; "well inside the window")]
#[test_case(SECOND / 5, false; "inside the window only if its connection is established at once")]
fn a_retry_that_might_arrive_after_its_deduplication_window_is_not_sent(
    extra_delay: Ticks,
    dispatched: bool,
) {
    let slow_connections = Cluster {
        connect_timeout: SECOND / 4,
        ..cluster(service_class(deduplicated(None)))
    };
    let mut host = Host::new(slow_connections, 1, 2);
    let mut allocation = host.new_allocation(1, 1.0, 1.0);
    assert!(host.dispatch_target(&mut allocation).is_some());
    host.now += WINDOW - SECOND / 3 + extra_delay;
    host.report_returned(&mut allocation, AttemptResult::Reset, None);
    assert_eq!(host.dispatch_target(&mut allocation).is_some(), dispatched);
}

/// The other schedulers learn of the change at different times and keep to their larger quotas
/// until then.
#[test]
fn after_a_change_of_the_scheduler_count_a_machine_in_slow_start_gets_no_attempt_for_one_window() {
    let cluster_of = |schedulers| Cluster {
        scheduler_count: schedulers,
        ..cluster(service_class(RetrySafety::Idempotent))
    };
    let mut host = Host::new(cluster_of(3), 1, 1);
    host.now += 20 * SECOND;
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now),
            ..endpoint(0)
        }],
    );
    let sent = |host: &mut Host| (0..20).filter(|_| host.dispatch_small(1).is_some()).count();
    assert_eq!(sent(&mut host), 2);
    host.now += SECOND / 2;
    host.scheduler.reconfigure(host.now, cluster_of(1));
    host.now += SECOND / 2 + SECOND / 50;
    assert_eq!(sent(&mut host), 0);
    host.now += SECOND / 2;
    assert_eq!(sent(&mut host), 6);
}
