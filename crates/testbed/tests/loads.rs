//! Tests the latencies that the load generator reports for a paused dispatcher.

use corkspan_load_generator::tally::Outcome;
use corkspan_testbed::loads;
use std::time::Duration;

#[test]
fn a_paused_dispatcher_raises_the_open_loop_tail_by_the_pause_which_a_closed_loop_hides() {
    let program = [
        env!("CARGO_BIN_EXE_corkspan-testbed").into(),
        "corkspan".into(),
    ];
    let pause = Duration::from_millis(1_500);
    let (open, closed) =
        loads::measure_pause(&program, pause).unwrap_or_else(|error| panic!("{error}"));
    let (open, closed) = (&open.kinds[0], &closed.kinds[0]);
    let pause_us = pause.as_micros() as u64;
    // The first request due after the pause begins waits for nearly all of it; one in a hundred is
    // due within 40 ms of that.
    assert!(open.from_intended.max + 20_000 >= pause_us, "{open:?}");
    assert!(open.from_intended.p99 * 10 >= pause_us * 9, "{open:?}");
    assert!(
        open.outcomes.get(&Outcome::Placed).copied().unwrap_or(0) >= 390,
        "{open:?}"
    );
    assert!(
        closed.from_intended.count > 200,
        "enough for a percentile: {closed:?}"
    );
    assert!(closed.from_intended.p99 * 5 < pause_us, "{closed:?}");
}
