//! One scenario for each failure met, against a fake engine.

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

fn deduplicated(within: Option<Domain>) -> RetrySafety {
    RetrySafety::Deduplicated {
        scope: within,
        window: WINDOW,
    }
}

#[test_case(RetrySafety::Idempotent, Placement::Shed)]
#[test_case(RetrySafety::NotRetryable, Placement::Shed)]
fn an_allocation_that_no_machine_takes_is_answered_before_its_deadline(
    repeat: RetrySafety,
    last: Placement,
) {
    let mut host = Host::new(cluster(track(repeat)), 1, 0);
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert_eq!(host.place(&mut allocation), Placement::Deferred);
    let answer = loop {
        let wait = host.scheduler.poll(host.now);
        if wait.retry_deferred {
            match host.place(&mut allocation) {
                Placement::Deferred => continue,
                answer => break answer,
            }
        }
        host.now += wait.next_poll;
        assert!(
            host.now < allocation.deadline,
            "slept through the abandon time"
        );
    };
    assert_eq!(answer, last);
}

#[test]
fn an_attempt_times_out_before_the_deadline() {
    let mut host = Host::new(cluster(track(RetrySafety::NotRetryable)), 1, 1);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let Placement::Dispatch { timeout, .. } = host.place(&mut allocation) else {
        panic!("not sent")
    };
    assert!(host.now + timeout <= allocation.deadline);
}

#[test_case(RetrySafety::Idempotent, AttemptResult::TimedOut, true; "an idempotent one may run again")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::TimedOut, false; "an unrepeatable one may not")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::Error, false; "nor after an error")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::Rejected, true; "but after a refusal it never ran")]
#[test_case(RetrySafety::NotRetryable, AttemptResult::ConnectFailed, true; "nor where no connection stood")]
fn an_attempt_that_may_have_run_restricts_retries(
    repeat: RetrySafety,
    ending: AttemptResult,
    again: bool,
) {
    let mut host = Host::new(cluster(track(repeat)), 1, 4);
    let mut allocation = host.ask(1, 1.0, 1.0);
    host.place(&mut allocation);
    assert_eq!(
        host.returned(&mut allocation, ending, None),
        NextStep::Retry
    );
    match host.place(&mut allocation) {
        Placement::Dispatch { .. } => assert!(again),
        answer => assert_eq!((answer, again), (Placement::Indeterminate, false)),
    }
}

#[test_case(None, |_, _| true, Placement::Shed)]
#[test_case(Some(Domain::Zone), |a, b| a % 2 == b % 2, Placement::Indeterminate)]
#[test_case(Some(Domain::Cell), |a, b| a / 2 == b / 2, Placement::Indeterminate)]
fn a_deduplicated_allocation_is_retried_only_in_its_domain_and_window(
    within: Option<Domain>,
    same: fn(u32, u32) -> bool,
    late: Placement,
) {
    for seed in 0..8 {
        let mut host = Host::new(cluster(track(deduplicated(within))), seed, 8);
        let mut allocation = host.ask(1, 1.0, 1.0);
        let first = host.sent_to(&mut allocation).expect("sent");
        host.now += SECOND / 2;
        host.returned(&mut allocation, AttemptResult::TimedOut, None);
        let second = host.sent_to(&mut allocation).expect("sent again");
        assert!(same(first, second) && first != second);
        host.now += WINDOW;
        host.returned(&mut allocation, AttemptResult::TimedOut, None);
        assert_eq!(host.place(&mut allocation), late);
    }
}

#[test_case(ListUpdate::Incremental, MachineState::Draining; "told that it drains")]
#[test_case(ListUpdate::Incremental, MachineState::Removed; "told that it is gone")]
#[test_case(ListUpdate::Complete, MachineState::Serving; "left out of a whole list")]
fn nothing_is_dispatched_to_a_draining_or_removed_machine(scope: ListUpdate, state: MachineState) {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    host.reports(0, 0.0, 0.0);
    host.reports(1, 20.0, 20.0);
    let leaving = Endpoint { state, ..entry(0) };
    let entries = if scope == ListUpdate::Complete {
        vec![entry(1)]
    } else {
        vec![leaving]
    };
    host.scheduler.apply_endpoint_list(scope, &entries);
    for _ in 0..5 {
        let mut allocation = host.ask(1, 1.0, 1.0);
        assert_eq!(host.sent_to(&mut allocation), Some(1));
    }
}

#[test_case(1, 6; "alone")]
#[test_case(3, 2; "one of three")]
fn a_machine_in_slow_start_gets_our_quota_of_attempts(schedulers: usize, part: usize) {
    let mut host = Host::new(
        Cluster {
            scheduler_count: schedulers,
            ..cluster(track(RetrySafety::Idempotent))
        },
        1,
        1,
    );
    host.now += 20 * SECOND;
    // The same id under a new process: all that was known of the old one is void.
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now),
            ..entry(0)
        }],
    );
    for window in 0..2 {
        let sent = (0..20).filter(|_| {
            let mut allocation = host.ask(1, 0.1, 0.1);
            host.sent_to(&mut allocation).is_some()
        });
        assert_eq!(sent.count(), part, "window {window}");
        host.now += SECOND + SECOND / 50;
    }
}

#[test]
fn after_our_restart_a_machine_in_slow_start_may_have_had_its_quota() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now - SECOND),
            ..entry(0)
        }],
    );
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert_eq!(host.place(&mut allocation), Placement::Deferred);
    host.now += SECOND;
    assert_eq!(host.sent_to(&mut allocation), Some(0));
}

#[test]
fn a_longer_slow_start_window_counts_what_the_shorter_one_forgot() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    host.now += 20 * SECOND;
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now),
            ..entry(0)
        }],
    );
    let sent = |host: &mut Host| (0..20).filter(|_| host.sends(1).is_some()).count();
    assert_eq!(sent(&mut host), 6);
    host.now += SECOND + SECOND / 50;
    let longer = SlowStart {
        duration: 10 * SECOND,
        window: 3 * SECOND,
        max_offers: 6.0,
    };
    host.scheduler.reconfigure(
        host.now,
        Cluster {
            slow_start: longer,
            ..cluster(track(RetrySafety::Idempotent))
        },
    );
    assert_eq!(sent(&mut host), 0, "six came within three seconds");
    host.now += 3 * SECOND + SECOND / 50;
    assert_eq!(sent(&mut host), 6);
}

#[test]
fn new_settings_take_effect_and_placed_replicas_stay_counted() {
    let spread = |most| ServiceClass {
        spread: Some((Domain::Machine, most)),
        ..track(RetrySafety::Idempotent)
    };
    let mut host = Host::new(cluster(spread(2)), 1, 1);
    let sent = |host: &mut Host| (0..20).filter(|_| host.sends(1).is_some()).count();
    assert_eq!(sent(&mut host), 2);
    host.scheduler.reconfigure(host.now, cluster(spread(5)));
    assert_eq!(sent(&mut host), 3);
    host.scheduler.reconfigure(host.now, cluster(spread(1)));
    assert_eq!(sent(&mut host), 0);
}

#[test_case(Domain::Machine, 8)]
#[test_case(Domain::Cell, 4)]
#[test_case(Domain::Zone, 2)]
fn a_service_is_spread_as_its_class_requires(place: Domain, places: usize) {
    let spread = ServiceClass {
        spread: Some((place, 2)),
        ..track(RetrySafety::Idempotent)
    };
    let mut host = Host::new(cluster(spread), 1, 8);
    let sent = (0..40).filter(|_| {
        let mut allocation = host.ask(1, 0.1, 0.1);
        host.sent_to(&mut allocation).is_some()
    });
    assert_eq!(sent.count(), 2 * places);
}

#[test]
fn a_young_allocation_is_not_taken_off_a_report_that_never_held_it() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    host.reports(0, 16.0, 10.0);
    host.reports(1, 20.0, 10.0);
    let mut first = host.ask(1, 8.0, 4.0);
    assert_eq!(host.sent_to(&mut first), Some(0));
    host.seated(&first);
    host.note(&first, first.requested);
    host.reports(0, 16.0, 10.0);
    let mut second = host.ask(1, 1.0, 1.0);
    assert_eq!(
        host.sent_to(&mut second),
        Some(1),
        "16 reported and 8 unseen are more than 20"
    );
}

#[test]
fn an_old_allocation_is_not_counted_on_top_of_a_report_that_holds_it() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    let asks = Resources {
        cores: 8.0,
        memory: 4.0,
    };
    host.runs(1, asks, asks, 0, 5 * SECOND);
    host.reports(0, 10.0, 10.0);
    host.reports(1, 14.0, 10.0);
    let mut allocation = host.ask(2, 1.0, 1.0);
    assert_eq!(
        host.sent_to(&mut allocation),
        Some(0),
        "10 in all against 14"
    );
}

#[test_case(0.25, Some(0); "with calm records the emptier machine is safe")]
#[test_case(1.0, Some(1); "with records of full use it is not")]
#[test_case(0.0, Some(1); "without records its ask is drawn")]
fn usage_records_decide_between_machines_with_the_same_capacity(share: f64, expected: Option<u32>) {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    if share > 0.0 {
        host.has_records(7, share);
    }
    // Machine 0 is the emptier by present use, but memory for the whole ask is only on machine 1.
    host.reports(0, 34.0, 60.0);
    host.reports(1, 10.0, 62.0);
    let mut allocation = host.ask(7, 10.0, 10.0);
    allocation.requested.memory = 24.0;
    host.reports(0, 10.0, 70.0);
    host.reports(1, 29.0, 62.0);
    assert_eq!(host.sent_to(&mut allocation), expected);
}

#[test]
fn a_record_below_the_present_usage_is_not_drawn() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    host.has_records(7, 0.25);
    // All of it runs at its full ask now: calm records would leave 32 of its 40 cores out.
    let asks = Resources {
        cores: 40.0,
        memory: 8.0,
    };
    host.runs(7, asks, asks, 0, 5 * SECOND);
    host.reports(0, 40.0, 10.0);
    host.reports(1, 39.0, 80.0);
    let mut allocation = host.ask(7, 0.5, 8.0);
    assert_eq!(host.sent_to(&mut allocation), Some(1));
}

#[test]
fn a_machine_over_the_line_does_not_attract_all_allocations() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    host.reports(0, 20.0, 99.0);
    host.reports(1, 20.0, 85.0);
    for _ in 0..2 {
        let mut allocation = host.ask(1, 1.0, 3.0);
        assert_eq!(
            host.sent_to(&mut allocation),
            Some(1),
            "the other rises by nothing, being over"
        );
    }
    let mut third = host.ask(1, 1.0, 3.0);
    assert_eq!(
        host.place(&mut third),
        Placement::Deferred,
        "neither can bear it"
    );
}

#[test]
fn near_ties_break_at_random() {
    let chosen: BTreeSet<_> = (0..20)
        .map(|seed| {
            let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), seed, 2);
            host.reports(0, 20.0, 60.0);
            host.reports(1, 20.0, 60.5);
            let mut allocation = host.ask(1, 1.0, 1.0);
            host.sent_to(&mut allocation)
        })
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn machines_beyond_the_demand_are_held_back_until_the_others_are_full() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 6);
    for _ in 0..100 {
        // Who holds next to nothing knows too little of need to hold anything back.
        host.runs(
            1,
            Resources::ONE * 0.01,
            Resources::ONE * 0.01,
            0,
            5 * SECOND,
        );
    }
    host.reports(0, 16.0, 40.0);
    for id in 1..6 {
        host.reports(id, 0.0, 0.0);
    }
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert_eq!(
        host.sent_to(&mut allocation),
        Some(0),
        "the emptier five are not needed"
    );
    let mut too_large = host.ask(1, 10.0, 60.0);
    assert!(
        host.sent_to(&mut too_large)
            .is_some_and(|machine| machine > 0)
    );
}

#[test]
fn a_machine_that_never_reported_counts_as_the_average() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 3);
    host.reports(0, 30.0, 80.0);
    host.reports(1, 30.0, 20.0);
    let mut allocation = host.ask(1, 1.0, 1.0);
    // 0.5 of the memory and 0.75 of the cores on average, the same share as on machine 1 and less
    // than on 0.
    assert_ne!(host.sent_to(&mut allocation), Some(0));
}

#[test]
fn a_machine_that_leaves_an_attempt_unanswered_is_ejected_for_a_time() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    host.reports(0, 0.0, 0.0);
    host.reports(1, 30.0, 30.0);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let first = host.sent_to(&mut allocation);
    host.returned(&mut allocation, AttemptResult::TimedOut, None);
    assert_ne!(host.sent_to(&mut allocation), first);
}

#[test]
fn a_refused_request_is_not_offered_again_at_once_but_a_smaller_one_is() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    let mut allocation = host.ask(1, 2.0, 4.0);
    host.place(&mut allocation);
    host.returned(
        &mut allocation,
        AttemptResult::Rejected,
        Some(ReturnReason::NoMemory),
    );
    assert_eq!(host.place(&mut allocation), Placement::Deferred);
    let mut smaller = host.ask(1, 1.0, 2.0);
    assert_eq!(host.sent_to(&mut smaller), Some(0));
}

#[test]
fn the_listed_capacity_is_late_so_later_dispatches_count() {
    let listed = Cluster {
        list_reports_capacity: true,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut host = Host::new(listed, 1, 1);
    let unasked = Some(Resources {
        cores: 40.0,
        memory: -40.0,
    });
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            unreserved: unasked,
            ..entry(0)
        }],
    );
    let sent = (0..5).filter(|_| {
        let mut allocation = host.ask(1, 1.0, 4.0);
        host.sent_to(&mut allocation).is_some()
    });
    assert_eq!(sent.count(), 2, "10 of memory were left below the limit");
}

#[test]
fn a_failed_watch_is_retried_with_backoff() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    assert!(host.scheduler.poll(host.now).watch_endpoints, "at start");
    let mut calls = 0;
    host.scheduler.endpoint_watch_failed(host.now);
    let until = host.now + 20 * SECOND;
    while host.now < until {
        let wait = host.scheduler.poll(host.now);
        if wait.watch_endpoints {
            calls += 1;
            host.scheduler.endpoint_watch_failed(host.now);
        }
        host.now += wait.next_poll;
    }
    assert!((4..=20).contains(&calls), "{calls} calls in 20 s");
}

#[test]
fn allocations_move_off_a_machine_short_of_memory_while_another_has_capacity() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    for _ in 0..30 {
        let mut usual = host.ask(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::Deferred);
    }
    let asks = SMALL;
    host.runs(
        1,
        asks,
        Resources {
            cores: 1.0,
            memory: 4.0,
        },
        0,
        5 * SECOND,
    );
    host.runs(
        1,
        asks,
        Resources {
            cores: 1.0,
            memory: 4.0,
        },
        1,
        5 * SECOND,
    );
    host.now += 10 * SECOND;
    host.reports(0, 10.0, 30.0);
    host.reports(1, 10.0, 99.0);
    let moved = (0..100).any(|_| {
        host.reports(0, 10.0, 30.0);
        host.reports(1, 10.0, 99.0);
        let wait = host.scheduler.poll(host.now);
        host.now += wait.next_poll;
        !wait.migrations.is_empty()
    });
    assert!(
        moved,
        "by chance, so that many schedulers do not all move theirs"
    );
}

#[test]
fn capacity_for_a_large_allocation_is_cleared_where_it_is_fragmented() {
    let listed = Cluster {
        list_reports_capacity: true,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut host = Host::new(listed, 1, 1);
    let unasked = Some(Resources {
        cores: 20.0,
        memory: 10.0,
    });
    for _ in 0..30 {
        let mut usual = host.ask(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::Deferred);
    }
    let mut guests: Vec<Allocation> = (0..5)
        .map(|_| {
            host.runs(
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
    host.reports(0, 10.0, 20.0);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            unreserved: unasked,
            ..entry(0)
        }],
    );
    let mut large = host.ask(2, 12.0, 70.0);
    assert_eq!(host.place(&mut large), Placement::Deferred);
    let moves = host.scheduler.poll(host.now).migrations;
    assert_eq!(moves.len(), 1, "one is enough");
    let mut other = host.ask(1, 0.5, 0.5);
    assert_eq!(
        host.place(&mut other),
        Placement::Deferred,
        "the room is promised"
    );
    for guest in guests.iter_mut().filter(|guest| moves.contains(&guest.id)) {
        host.returned(guest, AttemptResult::Cancelled, None);
    }
    assert_eq!(host.sent_to(&mut large), Some(0));
}

#[test_case(1, 10.0, None; "well beyond its share it waits while others would be crowded")]
#[test_case(1, 100.0, Some(0); "within its share it takes the smallest rise in risk")]
#[test_case(300, 3000.0, Some(0); "one of many may hold two times its part by chance")]
fn a_tenant_over_its_quota_waits_for_capacity(
    schedulers: usize,
    share: f64,
    expected: Option<u32>,
) {
    let accounts = vec![Tenant {
        quota_cores: Some(share),
    }];
    let mut host = Host::new(
        Cluster {
            scheduler_count: schedulers,
            tenants: accounts,
            ..cluster(track(RetrySafety::Idempotent))
        },
        1,
        1,
    );
    let held = Resources {
        cores: if schedulers == 1 { 20.0 } else { 16.0 },
        memory: 4.0,
    };
    host.runs(1, held, held, 0, 5 * SECOND);
    host.reports(0, 39.5, 20.0);
    let mut allocation = host.ask(1, 2.0, 4.0);
    assert_eq!(host.sent_to(&mut allocation), expected);
}

#[test]
fn an_allocation_that_must_not_run_twice_never_times_out_early() {
    let mut host = Host::new(cluster(track(RetrySafety::NotRetryable)), 1, 2);
    for _ in 0..5 {
        let mut quick = host.ask(1, 1.0, 1.0);
        host.place(&mut quick);
        host.now += SECOND / 100;
        host.seated(&quick);
    }
    let mut allocation = host.ask(1, 1.0, 1.0);
    let Placement::Dispatch { timeout, .. } = host.place(&mut allocation) else {
        panic!("not sent")
    };
    assert!(timeout > 5 * SECOND, "a copy in a queue would bind it");
}

#[test]
fn with_more_schedulers_than_slow_start_attempts_the_quotas_add_up() {
    let sent = |number| {
        let many = Cluster {
            scheduler_index: number,
            scheduler_count: 20,
            ..cluster(track(RetrySafety::Idempotent))
        };
        let mut host = Host::new(many, 1, 1);
        host.now += 20 * SECOND;
        host.scheduler.apply_endpoint_list(
            ListUpdate::Incremental,
            &[Endpoint {
                started_at: Some(host.now),
                ..entry(0)
            }],
        );
        (0..5).filter(|_| host.sends(1).is_some()).count()
    };
    assert_eq!((0..20).map(sent).sum::<usize>(), 6);
}

#[test]
fn independent_schedulers_place_a_service_on_the_same_few_machines() {
    let machines = |service| -> BTreeSet<u32> {
        let many = |number| Cluster {
            scheduler_index: number,
            scheduler_count: 300,
            ..cluster(track(RetrySafety::Idempotent))
        };
        (0..30)
            .filter_map(|number| Host::new(many(number), number as u64, 12).sends(service))
            .collect()
    };
    assert!(
        (1..=20).all(|service| machines(service).len() <= 2),
        "so that they hold its program"
    );
    assert!(
        (1..=20).flat_map(machines).collect::<BTreeSet<_>>().len() > 8,
        "and each service its own"
    );
}

#[test]
fn a_scheduler_with_hardly_any_allocation_holds_no_machine_back() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 3);
    host.reports(0, 20.0, 50.0);
    host.reports(1, 0.0, 0.0);
    host.reports(2, 0.0, 0.0);
    assert!(
        (1..=10).any(|service| host.sends(service) != Some(0)),
        "its view of need is chance"
    );
}

#[test]
fn health_checks_are_no_more_than_placed_allocations() {
    let probing = Cluster {
        health_checks: true,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut host = Host::new(probing, 1, 100);
    let mut probes = 0;
    for second in 0..20 {
        if second < 3 {
            host.sends(1);
        }
        probes += host.scheduler.poll(host.now).health_checks.len();
        host.now += SECOND;
    }
    assert_eq!(probes, 3);
}

#[test]
fn an_old_load_report_gives_way_to_the_listed_capacity() {
    let listed = Cluster {
        list_reports_capacity: true,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut host = Host::new(listed, 1, 2);
    host.runs(1, SMALL, SMALL, 0, 5 * SECOND);
    host.reports(0, 36.0, 20.0);
    host.now += 30 * SECOND;
    let unasked = |cores| {
        Some(Resources {
            cores,
            memory: 90.0,
        })
    };
    let entries = [(0, 35.0), (1, 15.0)].map(|(id, cores)| Endpoint {
        unreserved: unasked(cores),
        ..entry(id)
    });
    host.scheduler
        .apply_endpoint_list(ListUpdate::Incremental, &entries);
    assert_eq!(host.sends(2), Some(0), "5 asked there now, 25 on the other");
}

#[test]
fn of_many_schedulers_on_a_machine_short_of_memory_only_some_move_theirs() {
    let moving = |seed: &u64| {
        let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), *seed, 2);
        let mut usual = host.ask(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::Deferred);
        host.runs(
            1,
            SMALL,
            Resources {
                cores: 1.0,
                memory: 4.0,
            },
            1,
            5 * SECOND,
        );
        host.reports(0, 10.0, 30.0);
        host.reports(1, 10.0, 99.0);
        !host.scheduler.poll(host.now).migrations.is_empty()
    };
    let moved = (0..200).filter(moving).count();
    assert!(
        (1..40).contains(&moved),
        "{moved} of 200 moved; 4 of 99 are over"
    );
}

#[test_case(2, false, Some(0); "what lower priorities use counts half for it")]
#[test_case(2, true, None; "not where they would be pushed out for it")]
#[test_case(0, false, None; "nor for one of their own priority")]
fn usage_of_lower_priorities_is_discounted_for_a_higher_one(
    priority: u8,
    makes_room: bool,
    expected: Option<u32>,
) {
    let plain = track(RetrySafety::Idempotent);
    let tracks = vec![plain.clone(), ServiceClass { priority, ..plain }];
    let mut host = Host::new(
        Cluster {
            service_classes: tracks,
            preempts: makes_room,
            ..cluster(track(RetrySafety::Idempotent))
        },
        1,
        1,
    );
    host.reports(0, 20.0, 80.0);
    let mut allocation = Allocation {
        service_class: ServiceClassId(1),
        ..host.ask(1, 4.0, 30.0)
    };
    assert_eq!(host.sent_to(&mut allocation), expected);
}

#[test]
fn requests_that_no_machine_can_run_eject_no_machine() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 4);
    for service in 0..20 {
        let mut bad = host.ask(service, 1.0, 1.0);
        while host.sent_to(&mut bad).is_some() {
            host.returned(&mut bad, AttemptResult::Error, None);
        }
    }
    assert!(host.sends(99).is_some(), "the machines answered each time");
}

#[test]
fn one_reset_ejects_no_machine_but_two_in_a_row_do() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    for sent in [true, true, false] {
        let mut allocation = host.ask(1, 1.0, 1.0);
        assert_eq!(host.sent_to(&mut allocation).is_some(), sent);
        if sent {
            host.returned(&mut allocation, AttemptResult::Reset, None);
        }
    }
}

#[test]
fn an_error_counts_as_a_fault_once_another_machine_has_placed_the_allocation() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let failing = host.sent_to(&mut allocation).expect("sent");
    host.returned(&mut allocation, AttemptResult::Error, None);
    host.sent_to(&mut allocation).expect("sent to the other");
    host.seated(&allocation);
    let next: BTreeSet<u32> = (2..12).filter_map(|service| host.sends(service)).collect();
    assert_eq!(next, BTreeSet::from([1 - failing]));
}

#[test]
fn a_retry_avoids_the_machine_that_may_still_run_an_earlier_attempt() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 2);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let first = host.sent_to(&mut allocation);
    host.returned(&mut allocation, AttemptResult::Reset, None);
    let second = host.sent_to(&mut allocation);
    assert!(second.is_some() && second != first);
}

#[test_case(deduplicated(None), 1; "its owner would have to wait until it is sure that it runs no longer")]
#[test_case(RetrySafety::Idempotent, 0; "one that may run twice comes again at once anyway")]
#[test_case(RetrySafety::NotRetryable, 0; "one that may not is never stopped")]
fn allocations_on_a_draining_machine_move_in_time(repeat: RetrySafety, moved: usize) {
    let mut host = Host::new(cluster(track(repeat)), 1, 2);
    host.runs(1, SMALL, SMALL, 0, 5 * SECOND);
    host.sends(2);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            state: MachineState::Draining,
            ..entry(0)
        }],
    );
    assert_eq!(host.scheduler.poll(host.now).migrations.len(), moved);
    host.now += SECOND;
    assert!(
        host.scheduler.poll(host.now).migrations.is_empty(),
        "once is enough"
    );
}

#[test_case(false, true, true; "where nobody else tells it")]
#[test_case(true, true, false; "not where the caller is told")]
#[test_case(false, false, false; "not where it may not be asked")]
fn allocations_on_a_silent_machine_are_lost_after_a_time(tells: bool, may: bool, is_lost: bool) {
    let telling = Cluster {
        caller_detects_losses: tells,
        health_checks: may,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut host = Host::new(telling, 1, 2);
    let (gone, alive) = (
        host.runs(1, SMALL, SMALL, 0, 0),
        host.runs(2, SMALL, SMALL, 1, 0),
    );
    let (mut lost, mut probed, began) = (Vec::new(), BTreeSet::new(), host.now);
    while host.now < began + 7 * SECOND {
        let wait = host.scheduler.poll(host.now);
        lost.extend(wait.lost);
        probed.extend(wait.health_checks);
        host.note(&alive, SMALL);
        host.now += SECOND / 4;
    }
    assert_eq!(lost, if is_lost { vec![gone.id] } else { vec![] });
    assert_eq!(
        probed.contains(&MachineId(0)),
        is_lost,
        "asked before it is given up"
    );
}

#[test]
fn a_removed_machine_is_forgotten_and_may_return() {
    let mut host = Host::new(cluster(track(RetrySafety::Idempotent)), 1, 1);
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            state: MachineState::Removed,
            ..entry(0)
        }],
    );
    host.scheduler.poll(host.now);
    assert_eq!(host.sends(1), None);
    host.scheduler
        .apply_endpoint_list(ListUpdate::Incremental, &[entry(0)]);
    host.now += SECOND;
    assert_eq!(host.sends(2), Some(0));
}

/// Where a service holds all that its places may, every machine of a large fleet is asked about,
/// and in vain: that cost two thousand microseconds an ask and kept a dispatcher from passing on
/// what its nodes told.
#[test]
fn a_request_whose_domains_are_all_full_costs_little_more_than_one_that_is_placed() {
    let spent = |spread| {
        let mut host = Host::new(
            cluster(ServiceClass {
                spread,
                ..track(RetrySafety::Idempotent)
            }),
            1,
            400,
        );
        for number in 0..1_200 {
            let mut allocation = host.ask(number % 150, 0.1, 0.1);
            let machine = MachineId(((number * 37 + number / 150) % 400) as u32);
            allocation.attempts.push(Attempt {
                machine,
                sent_at: host.now,
                state: AttemptState::PossiblyExecuted,
            });
            host.scheduler.adopt_running(host.now, &allocation, machine);
        }
        let rounds = (0..5).map(|_| {
            let since = std::time::Instant::now();
            for service in 0..20 {
                host.now += 1;
                let mut allocation = host.ask(service, 0.1, 0.1);
                assert_eq!(
                    host.place(&mut allocation) == Placement::Deferred,
                    spread.is_some()
                );
            }
            since.elapsed()
        });
        rounds.min().expect("five")
    };
    let (free, full) = (spent(None), spent(Some((Domain::Zone, 4))));
    assert!(full < free * 25, "{full:?} against {free:?}");
}

/// All of a fleet together: connections that come up late, processes that are started anew, and
/// numbers that are no multiple of the offers. What arrives is counted in every window, each
/// arrival at its own moment.
#[test_case(3, 29, true; "three")]
#[test_case(16, 29, true; "sixteen")]
#[test_case(20, 29, true; "twenty")]
#[test_case(30, 29, true; "thirty")]
#[test_case(30, 7, true; "more processes than offers")]
#[test_case(16, 29, false; "connections that are up already")]
fn a_machine_in_slow_start_gets_no_more_than_it_bears_from_all_schedulers(
    schedulers: usize,
    offers: usize,
    late: bool,
) {
    const STEP: Ticks = SECOND / 100;
    let (window, opens) = (SECOND, SECOND / 4);
    let fleet = |number| Cluster {
        scheduler_index: number,
        scheduler_count: schedulers,
        slow_start: SlowStart {
            duration: 8 * SECOND,
            window,
            max_offers: offers as f64,
        },
        connect_timeout: opens,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut hosts: Vec<Host> = (0..schedulers)
        .map(|number| Host::new(fleet(number), number as u64, 1))
        .collect();
    let began = hosts[0].now + 20 * SECOND;
    let started = Endpoint {
        started_at: Some(began),
        ..entry(0)
    };
    for host in &mut hosts {
        host.now = began;
        host.scheduler
            .apply_endpoint_list(ListUpdate::Incremental, &[started]);
    }
    let mut leaves: Vec<(Ticks, usize, Allocation)> = Vec::new();
    let mut arrived: Vec<Ticks> = Vec::new();
    for now in (began..began + 6 * SECOND).step_by(STEP as usize) {
        let (gone, stay) = leaves.into_iter().partition(|(at, _, _)| *at <= now);
        leaves = stay;
        for (_, number, mut allocation) in gone as Vec<(Ticks, usize, Allocation)> {
            let scheduler = &mut hosts[number].scheduler;
            arrived.push(now);
            if late {
                scheduler.record_attempt_sent(now, MachineId(0), allocation.attempts[0].sent_at);
            }
            allocation.attempts[0].state = AttemptState::PossiblyExecuted;
            let over = Outcome::Returned {
                ending: AttemptResult::Completed,
                reason: None,
                finished: true,
                report: None,
            };
            scheduler.on_outcome(now, &allocation, 0, over);
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            if rng.random_range(0..2_000) == 0 {
                host.scheduler = Scheduler::new(fleet(number), now, now);
                host.scheduler
                    .apply_endpoint_list(ListUpdate::Incremental, &[started]);
                // What waited for a connection has gone with the process.
                leaves.retain(|(_, other, _)| *other != number);
            }
            let mut allocation = host.ask(1, 0.01, 0.01);
            if host.sent_to(&mut allocation).is_some() {
                let wait = if late {
                    rng.random_range(0..=opens / STEP) * STEP
                } else {
                    0
                };
                leaves.push((now + wait, number, allocation));
            }
        }
    }
    let most = arrived.iter().map(|&from| {
        arrived
            .iter()
            .filter(|&&at| (from..from + window).contains(&at))
            .count()
    });
    let (most, used) = (
        most.max().expect("some"),
        arrived.len() as f64 / (6 * offers) as f64,
    );
    assert!(most <= offers, "{most} in a window of {offers}");
    assert!(used > 0.6, "{used:.2} of what it bears was used");
}

/// A connection may come up late: what leaves inside the window may arrive outside it, where a
/// repeat is not known.
#[test_case(0, true; "well inside")]
#[test_case(SECOND / 5, false; "if its connection comes up at once")]
fn a_retry_that_might_arrive_after_its_deduplication_window_is_not_sent(later: Ticks, sent: bool) {
    let slow = Cluster {
        connect_timeout: SECOND / 4,
        ..cluster(track(deduplicated(None)))
    };
    let mut host = Host::new(slow, 1, 2);
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert!(host.sent_to(&mut allocation).is_some());
    host.now += WINDOW - SECOND / 3 + later;
    host.returned(&mut allocation, AttemptResult::Reset, None);
    assert_eq!(host.sent_to(&mut allocation).is_some(), sent);
}

/// The others learn of it at moments of their own, and keep to their larger parts until then.
#[test]
fn after_a_change_of_the_scheduler_count_a_machine_in_slow_start_is_left_alone_for_one_window() {
    let sized = |schedulers| Cluster {
        scheduler_count: schedulers,
        ..cluster(track(RetrySafety::Idempotent))
    };
    let mut host = Host::new(sized(3), 1, 1);
    host.now += 20 * SECOND;
    host.scheduler.apply_endpoint_list(
        ListUpdate::Incremental,
        &[Endpoint {
            started_at: Some(host.now),
            ..entry(0)
        }],
    );
    let sent = |host: &mut Host| (0..20).filter(|_| host.sends(1).is_some()).count();
    assert_eq!(sent(&mut host), 2);
    host.now += SECOND / 2;
    host.scheduler.reconfigure(host.now, sized(1));
    host.now += SECOND / 2 + SECOND / 50;
    assert_eq!(sent(&mut host), 0);
    host.now += SECOND / 2;
    assert_eq!(sent(&mut host), 6);
}
