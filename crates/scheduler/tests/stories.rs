//! One story for each failure met, told against a fake host.

mod host;

use corkspan_scheduler::interface::*;
use corkspan_scheduler::rules::Scheduler;
use host::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use test_case::test_case;

const SMALL: Amount = Amount {
    cores: 2.0,
    memory: 4.0,
};
const WINDOW: Tenths = 2 * SECOND;

fn deduplicated(within: Option<Place>) -> Repeat {
    Repeat::Deduplicated {
        within,
        window: WINDOW,
    }
}

#[test_case(Repeat::Idempotent, Placement::Shed)]
#[test_case(Repeat::Unrepeatable, Placement::Shed)]
fn one_that_no_machine_takes_is_answered_before_its_abandon_time(repeat: Repeat, last: Placement) {
    let mut host = Host::new(cluster(track(repeat)), 1, 0);
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert_eq!(host.place(&mut allocation), Placement::NotYet);
    let answer = loop {
        let wait = host.scheduler.wait(host.now);
        if wait.ask_again {
            match host.place(&mut allocation) {
                Placement::NotYet => continue,
                answer => break answer,
            }
        }
        host.now += wait.time;
        assert!(
            host.now < allocation.abandon,
            "slept through the abandon time"
        );
    };
    assert_eq!(answer, last);
}

#[test]
fn a_shot_is_never_waited_for_past_the_abandon_time() {
    let mut host = Host::new(cluster(track(Repeat::Unrepeatable)), 1, 1);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let Placement::Send { time_out, .. } = host.place(&mut allocation) else {
        panic!("not sent")
    };
    assert!(host.now + time_out <= allocation.abandon);
}

#[test_case(Repeat::Idempotent, Ending::TimedOut, true; "an idempotent one may run again")]
#[test_case(Repeat::Unrepeatable, Ending::TimedOut, false; "an unrepeatable one may not")]
#[test_case(Repeat::Unrepeatable, Ending::Error, false; "nor after an error")]
#[test_case(Repeat::Unrepeatable, Ending::Refused, true; "but after a refusal it never ran")]
#[test_case(Repeat::Unrepeatable, Ending::Unconnected, true; "nor where no connection stood")]
fn a_shot_that_may_have_run_binds(repeat: Repeat, ending: Ending, again: bool) {
    let mut host = Host::new(cluster(track(repeat)), 1, 4);
    let mut allocation = host.ask(1, 1.0, 1.0);
    host.place(&mut allocation);
    assert_eq!(
        host.returned(&mut allocation, ending, None),
        After::PlaceAgain
    );
    match host.place(&mut allocation) {
        Placement::Send { .. } => assert!(again),
        answer => assert_eq!((answer, again), (Placement::Scrap, false)),
    }
}

#[test_case(None, |_, _| true, Placement::Shed)]
#[test_case(Some(Place::Hall), |a, b| a % 2 == b % 2, Placement::Scrap)]
#[test_case(Some(Place::Cell), |a, b| a / 2 == b / 2, Placement::Scrap)]
fn a_deduplicated_one_stays_in_its_group_and_window(
    within: Option<Place>,
    same: fn(u32, u32) -> bool,
    late: Placement,
) {
    for seed in 0..8 {
        let mut host = Host::new(cluster(track(deduplicated(within))), seed, 8);
        let mut allocation = host.ask(1, 1.0, 1.0);
        let first = host.sent_to(&mut allocation).expect("sent");
        host.now += SECOND / 2;
        host.returned(&mut allocation, Ending::TimedOut, None);
        let second = host.sent_to(&mut allocation).expect("sent again");
        assert!(same(first, second) && first != second);
        host.now += WINDOW;
        host.returned(&mut allocation, Ending::TimedOut, None);
        assert_eq!(host.place(&mut allocation), late);
    }
}

#[test_case(Scope::Changes, State::Draining; "told that it drains")]
#[test_case(Scope::Changes, State::Gone; "told that it is gone")]
#[test_case(Scope::Whole, State::Serving; "left out of a whole list")]
fn nothing_new_goes_to_a_machine_told_to_leave(scope: Scope, state: State) {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    host.reports(0, 0.0, 0.0);
    host.reports(1, 20.0, 20.0);
    let leaving = Entry { state, ..entry(0) };
    let entries = if scope == Scope::Whole {
        vec![entry(1)]
    } else {
        vec![leaving]
    };
    host.scheduler.listed(scope, &entries);
    for _ in 0..5 {
        let mut allocation = host.ask(1, 1.0, 1.0);
        assert_eq!(host.sent_to(&mut allocation), Some(1));
    }
}

#[test_case(1, 6; "alone")]
#[test_case(3, 2; "one of three")]
fn a_just_started_machine_gets_our_part_of_what_it_bears(schedulers: usize, part: usize) {
    let mut host = Host::new(
        Cluster {
            schedulers,
            ..cluster(track(Repeat::Idempotent))
        },
        1,
        1,
    );
    host.now += 20 * SECOND;
    // The same id under a new process: all that was known of the old one is void.
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            started: Some(host.now),
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
fn after_a_restart_of_ours_a_cold_machine_may_have_had_its_part() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            started: Some(host.now - SECOND),
            ..entry(0)
        }],
    );
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert_eq!(host.place(&mut allocation), Placement::NotYet);
    host.now += SECOND;
    assert_eq!(host.sent_to(&mut allocation), Some(0));
}

#[test]
fn a_longer_cold_window_counts_what_the_shorter_one_forgot() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    host.now += 20 * SECOND;
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            started: Some(host.now),
            ..entry(0)
        }],
    );
    let sent = |host: &mut Host| (0..20).filter(|_| host.sends(1).is_some()).count();
    assert_eq!(sent(&mut host), 6);
    host.now += SECOND + SECOND / 50;
    let longer = Cold {
        lasts: 10 * SECOND,
        window: 3 * SECOND,
        offers: 6.0,
    };
    host.scheduler.adopt(
        host.now,
        Cluster {
            cold: longer,
            ..cluster(track(Repeat::Idempotent))
        },
    );
    assert_eq!(sent(&mut host), 0, "six came within three seconds");
    host.now += 3 * SECOND + SECOND / 50;
    assert_eq!(sent(&mut host), 6);
}

#[test]
fn other_figures_take_effect_and_what_is_held_stays_counted() {
    let spread = |most| Track {
        spread: Some((Place::Machine, most)),
        ..track(Repeat::Idempotent)
    };
    let mut host = Host::new(cluster(spread(2)), 1, 1);
    let sent = |host: &mut Host| (0..20).filter(|_| host.sends(1).is_some()).count();
    assert_eq!(sent(&mut host), 2);
    host.scheduler.adopt(host.now, cluster(spread(5)));
    assert_eq!(sent(&mut host), 3);
    host.scheduler.adopt(host.now, cluster(spread(1)));
    assert_eq!(sent(&mut host), 0);
}

#[test_case(Place::Machine, 8)]
#[test_case(Place::Cell, 4)]
#[test_case(Place::Hall, 2)]
fn a_service_is_spread_as_its_track_asks(place: Place, places: usize) {
    let spread = Track {
        spread: Some((place, 2)),
        ..track(Repeat::Idempotent)
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
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    host.reports(0, 16.0, 10.0);
    host.reports(1, 20.0, 10.0);
    let mut first = host.ask(1, 8.0, 4.0);
    assert_eq!(host.sent_to(&mut first), Some(0));
    host.seated(&first);
    host.note(&first, first.asks);
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
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    let asks = Amount {
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
fn records_decide_where_room_looks_the_same(share: f64, expected: Option<u32>) {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    if share > 0.0 {
        host.has_records(7, share);
    }
    // Machine 0 is the emptier by present use, but memory for the whole ask is only on machine 1.
    host.reports(0, 34.0, 60.0);
    host.reports(1, 10.0, 62.0);
    let mut allocation = host.ask(7, 10.0, 10.0);
    allocation.asks.memory = 24.0;
    host.reports(0, 10.0, 70.0);
    host.reports(1, 29.0, 62.0);
    assert_eq!(host.sent_to(&mut allocation), expected);
}

#[test]
fn a_record_below_what_a_guest_uses_already_is_not_drawn_for_it() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    host.has_records(7, 0.25);
    // All of it runs at its full ask now: calm records would leave 32 of its 40 cores out.
    let asks = Amount {
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
fn one_over_the_line_already_does_not_draw_all_to_it() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
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
        Placement::NotYet,
        "neither can bear it"
    );
}

#[test]
fn near_ties_break_at_random() {
    let chosen: BTreeSet<_> = (0..20)
        .map(|seed| {
            let mut host = Host::new(cluster(track(Repeat::Idempotent)), seed, 2);
            host.reports(0, 20.0, 60.0);
            host.reports(1, 20.0, 60.5);
            let mut allocation = host.ask(1, 1.0, 1.0);
            host.sent_to(&mut allocation)
        })
        .collect();
    assert_eq!(chosen.len(), 2);
}

#[test]
fn machines_beyond_need_are_held_back_until_the_others_would_be_over() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 6);
    for _ in 0..100 {
        // Who holds next to nothing knows too little of need to hold anything back.
        host.runs(1, Amount::ONE * 0.01, Amount::ONE * 0.01, 0, 5 * SECOND);
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
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 3);
    host.reports(0, 30.0, 80.0);
    host.reports(1, 30.0, 20.0);
    let mut allocation = host.ask(1, 1.0, 1.0);
    // 0.5 of the memory and 0.75 of the cores on average, the same share as on machine 1 and less
    // than on 0.
    assert_ne!(host.sent_to(&mut allocation), Some(0));
}

#[test]
fn a_machine_that_leaves_a_shot_unanswered_is_left_alone_for_a_while() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    host.reports(0, 0.0, 0.0);
    host.reports(1, 30.0, 30.0);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let first = host.sent_to(&mut allocation);
    host.returned(&mut allocation, Ending::TimedOut, None);
    assert_ne!(host.sent_to(&mut allocation), first);
}

#[test]
fn a_refused_ask_is_not_offered_again_at_once_but_a_smaller_one_is() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    let mut allocation = host.ask(1, 2.0, 4.0);
    host.place(&mut allocation);
    host.returned(&mut allocation, Ending::Refused, Some(Reason::NoMemory));
    assert_eq!(host.place(&mut allocation), Placement::NotYet);
    let mut smaller = host.ask(1, 1.0, 2.0);
    assert_eq!(host.sent_to(&mut smaller), Some(0));
}

#[test]
fn the_listed_room_is_late_so_what_was_sent_since_counts() {
    let listed = Cluster {
        shows_room: true,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut host = Host::new(listed, 1, 1);
    let unasked = Some(Amount {
        cores: 40.0,
        memory: -40.0,
    });
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            unasked,
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
fn a_watch_that_fails_is_asked_for_again_and_not_all_the_time() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    assert!(host.scheduler.wait(host.now).watch_list, "at start");
    let mut calls = 0;
    host.scheduler.list_failed(host.now);
    let until = host.now + 20 * SECOND;
    while host.now < until {
        let wait = host.scheduler.wait(host.now);
        if wait.watch_list {
            calls += 1;
            host.scheduler.list_failed(host.now);
        }
        host.now += wait.time;
    }
    assert!((4..=20).contains(&calls), "{calls} calls in 20 s");
}

#[test]
fn a_machine_short_of_memory_is_relieved_while_another_has_room() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    for _ in 0..30 {
        let mut usual = host.ask(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::NotYet);
    }
    let asks = SMALL;
    host.runs(
        1,
        asks,
        Amount {
            cores: 1.0,
            memory: 4.0,
        },
        0,
        5 * SECOND,
    );
    host.runs(
        1,
        asks,
        Amount {
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
        let wait = host.scheduler.wait(host.now);
        host.now += wait.time;
        !wait.moves.is_empty()
    });
    assert!(
        moved,
        "by chance, so that many schedulers do not all move theirs"
    );
}

#[test]
fn room_for_a_large_one_is_made_where_it_lies_in_pieces() {
    let listed = Cluster {
        shows_room: true,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut host = Host::new(listed, 1, 1);
    let unasked = Some(Amount {
        cores: 20.0,
        memory: 10.0,
    });
    for _ in 0..30 {
        let mut usual = host.ask(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::NotYet);
    }
    let mut guests: Vec<Allocation> = (0..5)
        .map(|_| {
            host.runs(
                1,
                Amount {
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
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            unasked,
            ..entry(0)
        }],
    );
    let mut large = host.ask(2, 12.0, 70.0);
    assert_eq!(host.place(&mut large), Placement::NotYet);
    let moves = host.scheduler.wait(host.now).moves;
    assert_eq!(moves.len(), 1, "one is enough");
    let mut other = host.ask(1, 0.5, 0.5);
    assert_eq!(
        host.place(&mut other),
        Placement::NotYet,
        "the room is promised"
    );
    for guest in guests.iter_mut().filter(|guest| moves.contains(&guest.id)) {
        host.returned(guest, Ending::Cancelled, None);
    }
    assert_eq!(host.sent_to(&mut large), Some(0));
}

#[test_case(1, 10.0, None; "well beyond its share it waits while others would be crowded")]
#[test_case(1, 100.0, Some(0); "within its share it takes the smallest rise in risk")]
#[test_case(300, 3000.0, Some(0); "one of many may hold two times its part by chance")]
fn an_account_beyond_its_share_waits_for_room(
    schedulers: usize,
    share: f64,
    expected: Option<u32>,
) {
    let accounts = vec![Account {
        share_cores: Some(share),
    }];
    let mut host = Host::new(
        Cluster {
            schedulers,
            accounts,
            ..cluster(track(Repeat::Idempotent))
        },
        1,
        1,
    );
    let held = Amount {
        cores: if schedulers == 1 { 20.0 } else { 16.0 },
        memory: 4.0,
    };
    host.runs(1, held, held, 0, 5 * SECOND);
    host.reports(0, 39.5, 20.0);
    let mut allocation = host.ask(1, 2.0, 4.0);
    assert_eq!(host.sent_to(&mut allocation), expected);
}

#[test]
fn an_unrepeatable_one_is_never_timed_out_early() {
    let mut host = Host::new(cluster(track(Repeat::Unrepeatable)), 1, 2);
    for _ in 0..5 {
        let mut quick = host.ask(1, 1.0, 1.0);
        host.place(&mut quick);
        host.now += SECOND / 100;
        host.seated(&quick);
    }
    let mut allocation = host.ask(1, 1.0, 1.0);
    let Placement::Send { time_out, .. } = host.place(&mut allocation) else {
        panic!("not sent")
    };
    assert!(time_out > 5 * SECOND, "a copy in a queue would bind it");
}

#[test]
fn with_more_schedulers_than_offers_borne_some_may_send_and_the_sum_is_borne() {
    let sent = |number| {
        let many = Cluster {
            number,
            schedulers: 20,
            ..cluster(track(Repeat::Idempotent))
        };
        let mut host = Host::new(many, 1, 1);
        host.now += 20 * SECOND;
        host.scheduler.listed(
            Scope::Changes,
            &[Entry {
                started: Some(host.now),
                ..entry(0)
            }],
        );
        (0..5).filter(|_| host.sends(1).is_some()).count()
    };
    assert_eq!((0..20).map(sent).sum::<usize>(), 6);
}

#[test]
fn schedulers_that_never_spoke_send_a_service_to_the_same_few_machines() {
    let machines = |service| -> BTreeSet<u32> {
        let many = |number| Cluster {
            number,
            schedulers: 300,
            ..cluster(track(Repeat::Idempotent))
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
fn one_that_holds_next_to_nothing_holds_no_machine_back() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 3);
    host.reports(0, 20.0, 50.0);
    host.reports(1, 0.0, 0.0);
    host.reports(2, 0.0, 0.0);
    assert!(
        (1..=10).any(|service| host.sends(service) != Some(0)),
        "its view of need is chance"
    );
}

#[test]
fn probes_keep_step_with_what_is_placed_however_many_machines_are_unheard_of() {
    let probing = Cluster {
        may_probe: true,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut host = Host::new(probing, 1, 100);
    let mut probes = 0;
    for second in 0..20 {
        if second < 3 {
            host.sends(1);
        }
        probes += host.scheduler.wait(host.now).probes.len();
        host.now += SECOND;
    }
    assert_eq!(probes, 3);
}

#[test]
fn an_old_report_gives_way_to_the_room_that_the_list_tells() {
    let listed = Cluster {
        shows_room: true,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut host = Host::new(listed, 1, 2);
    host.runs(1, SMALL, SMALL, 0, 5 * SECOND);
    host.reports(0, 36.0, 20.0);
    host.now += 30 * SECOND;
    let unasked = |cores| {
        Some(Amount {
            cores,
            memory: 90.0,
        })
    };
    let entries = [(0, 35.0), (1, 15.0)].map(|(id, cores)| Entry {
        unasked: unasked(cores),
        ..entry(id)
    });
    host.scheduler.listed(Scope::Changes, &entries);
    assert_eq!(host.sends(2), Some(0), "5 asked there now, 25 on the other");
}

#[test]
fn of_many_schedulers_with_one_each_on_a_short_machine_a_few_move_theirs() {
    let moving = |seed: &u64| {
        let mut host = Host::new(cluster(track(Repeat::Idempotent)), *seed, 2);
        let mut usual = host.ask(1, 2.0, 200.0);
        assert_eq!(host.place(&mut usual), Placement::NotYet);
        host.runs(
            1,
            SMALL,
            Amount {
                cores: 1.0,
                memory: 4.0,
            },
            1,
            5 * SECOND,
        );
        host.reports(0, 10.0, 30.0);
        host.reports(1, 10.0, 99.0);
        !host.scheduler.wait(host.now).moves.is_empty()
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
fn lower_priorities_yield_to_a_higher_one(priority: u8, makes_room: bool, expected: Option<u32>) {
    let plain = track(Repeat::Idempotent);
    let tracks = vec![plain.clone(), Track { priority, ..plain }];
    let mut host = Host::new(
        Cluster {
            tracks,
            makes_room,
            ..cluster(track(Repeat::Idempotent))
        },
        1,
        1,
    );
    host.reports(0, 20.0, 80.0);
    let mut allocation = Allocation {
        track: TrackId(1),
        ..host.ask(1, 4.0, 30.0)
    };
    assert_eq!(host.sent_to(&mut allocation), expected);
}

#[test]
fn asks_that_no_machine_can_use_shut_none() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 4);
    for service in 0..20 {
        let mut bad = host.ask(service, 1.0, 1.0);
        while host.sent_to(&mut bad).is_some() {
            host.returned(&mut bad, Ending::Error, None);
        }
    }
    assert!(host.sends(99).is_some(), "the machines answered each time");
}

#[test]
fn one_answer_that_breaks_shuts_no_machine_but_two_in_a_row_do() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    for sent in [true, true, false] {
        let mut allocation = host.ask(1, 1.0, 1.0);
        assert_eq!(host.sent_to(&mut allocation).is_some(), sent);
        if sent {
            host.returned(&mut allocation, Ending::Reset, None);
        }
    }
}

#[test]
fn an_error_is_held_against_its_machine_once_another_has_placed_the_same_one() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let failing = host.sent_to(&mut allocation).expect("sent");
    host.returned(&mut allocation, Ending::Error, None);
    host.sent_to(&mut allocation).expect("sent to the other");
    host.seated(&allocation);
    let next: BTreeSet<u32> = (2..12).filter_map(|service| host.sends(service)).collect();
    assert_eq!(next, BTreeSet::from([1 - failing]));
}

#[test]
fn a_further_shot_avoids_the_machine_where_a_copy_may_stand() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 2);
    let mut allocation = host.ask(1, 1.0, 1.0);
    let first = host.sent_to(&mut allocation);
    host.returned(&mut allocation, Ending::Reset, None);
    let second = host.sent_to(&mut allocation);
    assert!(second.is_some() && second != first);
}

#[test_case(deduplicated(None), 1; "its owner would have to wait until it is sure that it runs no longer")]
#[test_case(Repeat::Idempotent, 0; "one that may run twice comes again at once anyway")]
#[test_case(Repeat::Unrepeatable, 0; "one that may not is never stopped")]
fn what_stands_on_a_draining_machine_is_moved_in_time(repeat: Repeat, moved: usize) {
    let mut host = Host::new(cluster(track(repeat)), 1, 2);
    host.runs(1, SMALL, SMALL, 0, 5 * SECOND);
    host.sends(2);
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            state: State::Draining,
            ..entry(0)
        }],
    );
    assert_eq!(host.scheduler.wait(host.now).moves.len(), moved);
    host.now += SECOND;
    assert!(
        host.scheduler.wait(host.now).moves.is_empty(),
        "once is enough"
    );
}

#[test_case(false, true, true; "where nobody else tells it")]
#[test_case(true, true, false; "not where the caller is told")]
#[test_case(false, false, false; "not where it may not be asked")]
fn what_is_placed_on_a_machine_that_vanished_is_lost_after_a_while(
    tells: bool,
    may: bool,
    is_lost: bool,
) {
    let telling = Cluster {
        tells_loss: tells,
        may_probe: may,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut host = Host::new(telling, 1, 2);
    let (gone, alive) = (
        host.runs(1, SMALL, SMALL, 0, 0),
        host.runs(2, SMALL, SMALL, 1, 0),
    );
    let (mut lost, mut probed, began) = (Vec::new(), BTreeSet::new(), host.now);
    while host.now < began + 7 * SECOND {
        let wait = host.scheduler.wait(host.now);
        lost.extend(wait.lost);
        probed.extend(wait.probes);
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
fn a_machine_that_has_gone_is_forgotten_and_may_come_again() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            state: State::Gone,
            ..entry(0)
        }],
    );
    host.scheduler.wait(host.now);
    assert_eq!(host.sends(1), None);
    host.scheduler.listed(Scope::Changes, &[entry(0)]);
    host.now += SECOND;
    assert_eq!(host.sends(2), Some(0));
}

/// Where a service holds all that its places may, every machine of a large fleet is asked about,
/// and in vain: that cost two thousand microseconds an ask and kept a dispatcher from passing on
/// what its nodes told.
#[test]
fn an_ask_whose_places_are_all_full_costs_little_more_than_one_that_goes_out() {
    let spent = |spread| {
        let mut host = Host::new(
            cluster(Track {
                spread,
                ..track(Repeat::Idempotent)
            }),
            1,
            400,
        );
        for number in 0..1_200 {
            let mut allocation = host.ask(number % 150, 0.1, 0.1);
            let machine = MachineId(((number * 37 + number / 150) % 400) as u32);
            allocation.shots.push(Shot {
                machine,
                sent: host.now,
                fate: Fate::MayHaveRun,
            });
            host.scheduler.taken_over(host.now, &allocation, machine);
        }
        let rounds = (0..5).map(|_| {
            let since = std::time::Instant::now();
            for service in 0..20 {
                host.now += 1;
                let mut allocation = host.ask(service, 0.1, 0.1);
                assert_eq!(
                    host.place(&mut allocation) == Placement::NotYet,
                    spread.is_some()
                );
            }
            since.elapsed()
        });
        rounds.min().expect("five")
    };
    let (free, full) = (spent(None), spent(Some((Place::Hall, 4))));
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
fn a_cold_machine_gets_no_more_than_it_bears_from_a_whole_fleet(
    schedulers: usize,
    offers: usize,
    late: bool,
) {
    const STEP: Tenths = SECOND / 100;
    let (window, opens) = (SECOND, SECOND / 4);
    let fleet = |number| Cluster {
        number,
        schedulers,
        cold: Cold {
            lasts: 8 * SECOND,
            window,
            offers: offers as f64,
        },
        opens_within: opens,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut hosts: Vec<Host> = (0..schedulers)
        .map(|number| Host::new(fleet(number), number as u64, 1))
        .collect();
    let began = hosts[0].now + 20 * SECOND;
    let started = Entry {
        started: Some(began),
        ..entry(0)
    };
    for host in &mut hosts {
        host.now = began;
        host.scheduler.listed(Scope::Changes, &[started]);
    }
    let mut leaves: Vec<(Tenths, usize, Allocation)> = Vec::new();
    let mut arrived: Vec<Tenths> = Vec::new();
    for now in (began..began + 6 * SECOND).step_by(STEP as usize) {
        let (gone, stay) = leaves.into_iter().partition(|(at, _, _)| *at <= now);
        leaves = stay;
        for (_, number, mut allocation) in gone as Vec<(Tenths, usize, Allocation)> {
            let scheduler = &mut hosts[number].scheduler;
            arrived.push(now);
            if late {
                scheduler.left(now, MachineId(0), allocation.shots[0].sent);
            }
            allocation.shots[0].fate = Fate::MayHaveRun;
            let over = Outcome::Returned {
                ending: Ending::Ended,
                reason: None,
                over: true,
                report: None,
            };
            scheduler.after(now, &allocation, 0, over);
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            host.now = now;
            if rng.random_range(0..2_000) == 0 {
                host.scheduler = Scheduler::new(fleet(number), now, now);
                host.scheduler.listed(Scope::Changes, &[started]);
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
fn a_repeat_that_might_arrive_after_its_window_is_not_sent(later: Tenths, sent: bool) {
    let slow = Cluster {
        opens_within: SECOND / 4,
        ..cluster(track(deduplicated(None)))
    };
    let mut host = Host::new(slow, 1, 2);
    let mut allocation = host.ask(1, 1.0, 1.0);
    assert!(host.sent_to(&mut allocation).is_some());
    host.now += WINDOW - SECOND / 3 + later;
    host.returned(&mut allocation, Ending::Reset, None);
    assert_eq!(host.sent_to(&mut allocation).is_some(), sent);
}

/// The others learn of it at moments of their own, and keep to their larger parts until then.
#[test]
fn after_a_change_of_the_fleets_size_a_cold_machine_is_left_alone_for_one_window() {
    let sized = |schedulers| Cluster {
        schedulers,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut host = Host::new(sized(3), 1, 1);
    host.now += 20 * SECOND;
    host.scheduler.listed(
        Scope::Changes,
        &[Entry {
            started: Some(host.now),
            ..entry(0)
        }],
    );
    let sent = |host: &mut Host| (0..20).filter(|_| host.sends(1).is_some()).count();
    assert_eq!(sent(&mut host), 2);
    host.now += SECOND / 2;
    host.scheduler.adopt(host.now, sized(1));
    host.now += SECOND / 2 + SECOND / 50;
    assert_eq!(sent(&mut host), 0);
    host.now += SECOND / 2;
    assert_eq!(sent(&mut host), 6);
}
