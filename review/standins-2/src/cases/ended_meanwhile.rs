//! Case 6.

use super::*;

/// The number of tasks that stand, about as many as the site has at a dispatcher.
const TASKS: u64 = 240;
/// The number of tasks that may not be repeated and come to their end, the last ones that are handed
/// over.
const ENDING: u64 = 40;

fn set_up<'a>(task: u64) -> SetUp<'a> {
    let may_repeat = task & 0xffff <= TASKS - ENDING;
    let class = if may_repeat { "batch" } else { "once" };
    SetUp {
        needs: "cores:0.25;memory:0.5;service:00000000b4d65521".into(),
        ..SetUp::new(task, class, 6_000)
    }
}

/// A dispatcher is killed and started again. Once it has passed its test the owner hands over its
/// tasks, all in one write. Then those of them that may not be repeated come to their end. The owner
/// asks again for what was lost.
pub fn run(trouble: bool) -> Outcome {
    let (nodes, feed) = start_nodes(4, 30);
    let mut dispatcher = Dispatcher::start(0, &Settings::default(), &feed)?;
    let mut owner = connect_owner("owner", &dispatcher)?;
    let tasks: Vec<u64> = (1..=TASKS)
        .map(|number| 0x9b1f_03aa_5c7e_0000 + number)
        .collect();
    for &task in &tasks {
        owner.set_up(&set_up(task));
        sleep_ms(40);
    }
    let mut standing = Vec::new();
    for &task in &tasks {
        match owner.reply(task, ms(2_000)) {
            Some(reply) if reply.kind == ANSWER => {}
            other => return Err(format!("{task:016x} was not placed: {other:?}")),
        }
        let node = nodes.iter().find(|node| node.stands(task));
        standing.push((task, node.ok_or("a task stands nowhere")?));
    }
    if trouble {
        dispatcher.signal(sys::SIGKILL);
        if !dispatcher.wait_end(ms(2_000)) {
            return Err("the dispatcher has not ended".into());
        }
        sleep_ms(600);
        dispatcher.write_config(&feed);
        dispatcher.spawn()?;
        owner = connect_owner("owner", &dispatcher)?;
        let mut bytes = Vec::new();
        for (task, node) in &standing {
            let mut set_up = set_up(*task);
            set_up.needs = format!("{};at:{}", set_up.needs, node.name);
            bytes.extend(client::encode_set_up(&set_up));
        }
        if !standing.iter().all(|(task, node)| node.stands(*task)) {
            return Err("not all tasks stand when they are handed over".into());
        }
        owner.write(&bytes);
        record::line(&format!(
            "owner -> dispatcher: {TASKS} tasks are handed over, all stand"
        ));
    }
    let ending = &standing[(TASKS - ENDING) as usize..];
    for (task, node) in ending {
        node.end(*task, 16);
    }
    sleep_ms(2_000);
    let ending: Vec<u64> = ending.iter().map(|(task, _)| *task).collect();
    Ok(ask_again_for_lost(&owner, &nodes, &ending))
}
