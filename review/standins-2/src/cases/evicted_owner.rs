//! Case 10.

use super::*;

/// Bad clients hold all connections with open requests, so that the dispatcher closes the one of an
/// owner whose task stands. The task ends, and the owner connects again.
pub fn run(trouble: bool) -> Outcome {
    const TASK: u64 = 0x9b1f_03aa_5c7e_2d41;
    let (nodes, feed) = start_nodes(4, 30);
    let dispatcher = Dispatcher::start(0, &Settings::default(), &feed)?;
    let owner = connect_owner("owner", &dispatcher)?;
    let node = standing_task(&owner, &nodes, TASK)?;
    let mut bad = Vec::new();
    if trouble {
        for number in 0..135u64 {
            let client = connect(&format!("bad{number}"), &dispatcher)?;
            for request in 0..2 {
                let task = 0xbad0_0000_0000 + number * 1_024 + request;
                let mut set_up = SetUp::new(task, "batch", 6_000);
                set_up.text = "unusable".into();
                client.set_up(&set_up);
            }
            bad.push(client);
            sleep_ms(2);
        }
        sleep_ms(100);
        if owner.closed_at().is_none() {
            return Err("the owner's connection is still open".into());
        }
    }
    node.end(TASK, 16);
    let over_at = record::elapsed();
    // The owner connects again as soon as it is let in.
    let again = loop {
        sleep_ms(200);
        match connect_owner("owner again", &dispatcher) {
            Ok(again) => break again,
            Err(error) if record::elapsed() > over_at + ms(5_000) => return Err(error),
            Err(_) => {}
        }
    };
    record::say(&format!(
        "the owner is connected again after {:?}",
        record::elapsed() - over_at
    ));
    again.set_up(&SetUp::new(TASK + 1, "batch", 3_000));
    sleep_ms(8_050);
    let is_release = |message: &client::Received| message.kind == RELEASE && message.task == TASK;
    for client in bad
        .iter()
        .filter(|client| client.received().iter().any(is_release))
    {
        record::say(&format!(
            "the release of the owner's task went to {}",
            client.name
        ));
    }
    let owners = [owner, again];
    let released = owners
        .iter()
        .any(|client| client.received().iter().any(is_release));
    Ok(match released {
        true => Vec::new(),
        false => vec!["the owner's task is over and was not released to the owner".into()],
    })
}
