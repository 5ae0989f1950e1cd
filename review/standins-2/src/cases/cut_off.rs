//! Case 7.

use super::*;

/// One of five machines is cut off for 6 s, and meanwhile a task that may not be repeated comes to
/// its end there.
pub fn run(trouble: bool) -> Outcome {
    let (nodes, feed) = start_nodes(5, 30);
    let dispatcher = Dispatcher::start(0, &Settings::default(), &feed)?;
    let owner = connect_owner("owner", &dispatcher)?;
    let task = 0x9b1f_03aa_5c7e_2d41;
    owner.set_up(&SetUp::new(task, "once", 9_000));
    match owner.reply(task, ms(9_500)) {
        Some(reply) if reply.kind == ANSWER => {}
        other => return Err(format!("the task was not placed: {other:?}")),
    }
    let node = nodes
        .iter()
        .find(|node| node.stands(task))
        .ok_or("the task stands nowhere")?;
    sleep_ms(3_000);
    let since = record::elapsed();
    if trouble {
        node.cut_off();
    }
    sleep_ms(5_600u64.saturating_sub((record::elapsed() - since).as_millis() as u64));
    node.end(task, 16);
    sleep_ms(5_990u64.saturating_sub((record::elapsed() - since).as_millis() as u64));
    if trouble {
        node.reach();
    }
    sleep_ms(1_000);
    Ok(ask_again_for_lost(&owner, &nodes, &[task]))
}
