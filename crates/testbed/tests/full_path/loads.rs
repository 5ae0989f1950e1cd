//! What the load generator tells of a dispatcher that stands still.

use corkspan_load_generator::tally::Outcome;
use corkspan_testbed::loads;
use std::time::Duration;

#[test]
fn a_dispatcher_that_stands_still_raises_the_tail_by_all_of_it_which_a_closed_loop_hides() {
    let program = [
        env!("CARGO_BIN_EXE_corkspan-testbed").into(),
        "corkspan".into(),
    ];
    let pause = Duration::from_millis(1_500);
    let (open, closed) = loads::stalled(&program, pause).unwrap_or_else(|why| panic!("{why}"));
    let (open, closed) = (&open.kinds[0], &closed.kinds[0]);
    let whole = pause.as_micros() as u64;
    // The first ask due after it began to stand waits for nearly all of it; one in a hundred is due
    // within 40 ms of that.
    assert!(open.from_intended.max + 20_000 >= whole, "{open:?}");
    assert!(open.from_intended.p99 * 10 >= whole * 9, "{open:?}");
    assert!(
        open.outcomes.get(&Outcome::Placed).copied().unwrap_or(0) >= 390,
        "{open:?}"
    );
    assert!(
        closed.from_intended.count > 200,
        "enough for a percentile: {closed:?}"
    );
    assert!(closed.from_intended.p99 * 5 < whole, "{closed:?}");
}
