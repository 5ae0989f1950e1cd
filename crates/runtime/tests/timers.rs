//! Tests the timeouts, the scheduler's timer and the clock.

use corkspan_runtime::clock::{Clock, duration, ticks};
use corkspan_runtime::{run_timer, within};
use futures_lite::{FutureExt, future};
use std::time::{Duration, Instant};

#[test]
fn a_value_that_is_ready_is_returned_even_after_its_timeout() {
    let ready = within(Duration::ZERO, async { 7 });
    std::thread::sleep(Duration::from_millis(2));
    assert_eq!(future::block_on(ready), Some(7));
}

#[test]
fn a_value_that_takes_too_long_is_none() {
    let never = within(Duration::from_millis(5), future::pending::<()>());
    assert_eq!(future::block_on(never), None);
}

#[test]
fn the_timer_fires_once_at_the_earliest_instant_that_it_was_armed_for() {
    let (arm, armed) = async_channel::unbounded();
    let start = Instant::now();
    for after in [10_000, 20, 30_000] {
        arm.try_send(start + Duration::from_millis(after))
            .expect("room");
    }
    let (fired, firings) = async_channel::unbounded();
    let timer = run_timer(armed, move || fired.try_send(()).expect("room"));
    let first = async {
        firings.recv().await.expect("it fires");
        start.elapsed()
    };
    let timer = async {
        timer.await;
        Duration::ZERO
    };
    let elapsed = future::block_on(timer.or(first));
    assert!(elapsed >= Duration::from_millis(20) && elapsed < Duration::from_secs(5));
    assert!(firings.is_empty(), "once");
}

#[test]
fn the_timer_ends_when_all_its_senders_are_dropped() {
    let (arm, armed) = async_channel::unbounded::<Instant>();
    drop(arm);
    future::block_on(run_timer(armed, || panic!("it was not armed")));
}

#[test]
fn ticks_are_tenths_of_a_millisecond_rounded_down() {
    assert_eq!(ticks(Duration::from_micros(1_299)), 12);
    assert_eq!(duration(12), Duration::from_micros(1_200));
    let clock = Clock::start();
    let (now, at) = (clock.now(), clock.instant(clock.now() + 50));
    assert!(clock.instant(now) <= Instant::now() && at > clock.instant(now));
}
