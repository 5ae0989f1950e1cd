//! Case 8.

use super::*;

/// A bad client sends requests under the ids of open requests, with other descriptions, and takes
/// them back.
pub fn run(trouble: bool) -> Outcome {
    let (_nodes, feed) = start_nodes(4, 400);
    let dispatcher = Dispatcher::start(0, &Settings::default(), &feed)?;
    let owner = connect_owner("owner", &dispatcher)?;
    let bad = connect("bad", &dispatcher)?;
    let tasks: Vec<u64> = (1..=8)
        .map(|number| 0x9b1f_03aa_5c7e_0000 + number)
        .collect();
    for &task in &tasks {
        owner.set_up(&SetUp::new(task, "batch", 3_000));
    }
    sleep_ms(100);
    if trouble {
        let mut bytes = Vec::new();
        for &task in &tasks {
            let mut other = SetUp::new(task, "batch", 3_000);
            other.text = "another description".into();
            record::line(&format!(
                "bad -> dispatcher: set-up {task:016x}, and it is taken back"
            ));
            bytes.extend(client::encode_set_up(&other));
            bytes.extend(client::encode(RELEASE, task, &[(208, &[16])]));
        }
        bad.write(&bytes);
    }
    // Up to half a second after its time an answer only earns nothing; each limit is 50 ms longer.
    sleep_ms(3_000 + 550);
    let missing = tasks
        .iter()
        .filter(|&&task| owner.reply(task, ms(0)).is_none());
    let missing: Vec<String> = missing.map(|task| format!("{task:016x}")).collect();
    Ok(match missing.is_empty() {
        true => Vec::new(),
        false => vec![format!(
            "{} of {} requests of the owner got no answer: {}",
            missing.len(),
            tasks.len(),
            missing.join(" ")
        )],
    })
}
