//! The cases: their course, their disruption and the rule that is checked.

use crate::sites;
use crate::world::{Record, Task, World, give_up, lock, unix_ms};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Each time limit of the pages is 50 ms longer on sockets.
const SLACK_MS: u64 = 50;
/// What has stood and is over is released within so long of its end where no release could be sent.
const UNSENT_MS: u64 = 8_000;
/// And within so long of the release by the node.
const SENT_MS: u64 = 1_000;

pub fn play(case: &str, path: &str, trouble: bool) -> bool {
    let record = Record::create(path);
    record.line(&format!("case {case}, with its disruption: {trouble}"));
    let (site, life_ms) = match case {
        "release-on-a-spoilt-connection" => (sites::east_campus(), 30_000),
        "vanished-machine" => (sites::centro_dados_sede(), 28_000),
        "restart-after-a-drain" => (sites::east_campus(), 14_000),
        other => give_up(&format!("there is no case {other}")),
    };
    let site = Arc::new(site);
    let worlds: Vec<Arc<World>> = (0..site.dispatchers)
        .map(|index| World::start(Arc::clone(&site), index, &record, trouble, life_ms))
        .collect();
    let broken = match case {
        "release-on-a-spoilt-connection" => release_on_a_spoilt_connection(&worlds, &record),
        "vanished-machine" => vanished_machine(&worlds, &record, trouble),
        _ => restart_after_a_drain(&worlds, &record, trouble),
    };
    let runs = worlds.iter().all(|world| world.runs());
    for world in &worlds {
        let unanswered = world.unanswered();
        record.line(&format!(
            "set-ups without exactly one final answer in time: {}",
            unanswered.len()
        ));
        world.end();
    }
    if !runs {
        record.line("a dispatcher has ended or has closed its owner's connection");
    }
    record.line(if broken { "RULE BROKEN" } else { "rule held" });
    println!("{}", if broken { "rule broken" } else { "rule held" });
    broken
}

fn wait_until(record: &Record, at: u64) {
    thread::sleep(Duration::from_millis(at.saturating_sub(record.now())));
}

/// Sends a set-up every `every` milliseconds to each dispatcher until `until`.
fn traffic(worlds: &[Arc<World>], record: &Record, services: usize, every: u64, until: u64) {
    let mut number = 0;
    while record.now() < until {
        let at = record.now() + every;
        for world in worlds {
            world.set_up(number % services);
        }
        number += 1;
        wait_until(record, at);
    }
}

/// The limit up to which the task must have been released towards its owner, if it has ended.
fn release_limit(task: &Task) -> Option<u64> {
    let ended_at = task.ended_at.filter(|_| task.placed_at.is_some())?;
    let ended_by_us = task.how == "ended by the dispatcher";
    let within = if task.release_written {
        SENT_MS
    } else {
        UNSENT_MS
    };
    (!ended_by_us).then_some(ended_at + within + SLACK_MS)
}

/// The rule on what has stood and is over.
fn left_standing(worlds: &[Arc<World>], record: &Record) -> usize {
    let now = record.now();
    let mut count = 0;
    for world in worlds {
        for (sid, task) in world.tasks() {
            let Some(limit) = release_limit(&task).filter(|&limit| limit < now) else {
                continue;
            };
            let released = task.releases.first().map(|(at, _)| *at);
            if released.is_none_or(|at| at > limit) {
                count += 1;
                let ended_at = task.ended_at.unwrap_or(0);
                let text = released.map_or("not released".into(), |at| {
                    format!("released after {} ms", at - ended_at)
                });
                record.line(&format!(
                    "LEFT STANDING {sid:016x}: {} at {ended_at}, node's release arrived: {}, {text}; limit {} ms, now {} ms after its end",
                    task.how, task.release_written, limit - ended_at, now - ended_at
                ));
            }
        }
    }
    count
}

/// One answer of a node stops short, and the connection stays open. Another task that was set up on
/// this connection comes to its end meanwhile.
fn release_on_a_spoilt_connection(worlds: &[Arc<World>], record: &Arc<Record>) -> bool {
    let world = &worlds[0];
    // Pairs at once, so that nodes have more than one connection.
    for number in 0..20 {
        let at = record.now() + 200;
        for world in worlds {
            world.set_up(number % 5);
            world.set_up(number % 5);
        }
        wait_until(record, at);
    }
    thread::sleep(Duration::from_millis(500));
    world.spoil_next.store(true, Ordering::Relaxed);
    let started = record.now();
    let mut number = 0;
    while lock(&world.spoilt_task).is_none() && record.now() < started + 10_000 {
        let at = record.now() + 400;
        world.set_up_and_wait(number % 5);
        number += 1;
        wait_until(record, at);
    }
    let Some(sid) = *lock(&world.spoilt_task) else {
        give_up("no set-up came on a connection that another task was set up on");
    };
    let until = record.now() + 25_000;
    while record.now() < until {
        let at = record.now() + 400;
        world.set_up_and_wait(number % 5);
        number += 1;
        wait_until(record, at);
    }
    let task = world.tasks().get(&sid).cloned().unwrap_or_default();
    record.line(&format!("the task that ended: {sid:016x} {task:?}"));
    left_standing(worlds, record) > 0
}

/// A machine vanishes; the list tells that it has gone 12 s later.
fn vanished_machine(worlds: &[Arc<World>], record: &Arc<Record>, trouble: bool) -> bool {
    traffic(worlds, record, 6, 250, 8_000);
    let node = worlds[0].busiest_node();
    let vanished_at = record.now();
    if trouble {
        worlds.iter().for_each(|world| world.nodes[node].vanish());
    }
    traffic(worlds, record, 6, 500, vanished_at + 12_000);
    if trouble {
        worlds.iter().for_each(|world| world.tell(node, "left", 0));
    }
    wait_until(record, vanished_at + 14_000);
    left_standing(worlds, record) > 0
}

/// A node drains, its process stops, and it comes back under its id 2.7 s later.
fn restart_after_a_drain(worlds: &[Arc<World>], record: &Arc<Record>, trouble: bool) -> bool {
    traffic(worlds, record, 8, 200, 6_000);
    let node = worlds[0].busiest_node();
    let start = record.now();
    let each = |step: &dyn Fn(&World)| {
        if trouble {
            worlds.iter().for_each(|world| step(world));
        }
    };
    each(&|world| world.tell(node, "leaving", 0));
    traffic(worlds, record, 8, 250, start + 2_000);
    each(&|world| world.nodes[node].stop());
    traffic(worlds, record, 8, 250, start + 3_200);
    each(&|world| world.tell(node, "left", 0));
    traffic(worlds, record, 8, 250, start + 4_700);
    let up_since = unix_ms();
    each(&|world| world.nodes[node].start());
    traffic(worlds, record, 8, 250, start + 5_200);
    each(&|world| world.tell(node, "active", up_since));
    traffic(worlds, record, 8, 150, start + 10_000);
    // Until the tasks of the new process have come to their end.
    wait_until(record, start + 25_000);
    let mut broken = 0;
    for world in worlds {
        for (sid, task) in world.tasks() {
            let Some((at, text)) = task.releases.first().filter(|(_, text)| text != "move") else {
                continue;
            };
            if task.ended_at.is_some_and(|ended_at| ended_at <= *at) {
                continue;
            }
            // Broken is the rule only if, beside that, its end was not passed on when it came.
            let passed_on = task.ended_at.is_none_or(|ended_at| {
                let within = ended_at..=ended_at + SENT_MS + SLACK_MS;
                task.releases.iter().any(|(at, _)| within.contains(at))
            });
            broken += usize::from(task.release_written && !passed_on);
            let node = task.node.map_or("?", |node| &world.nodes[node].name);
            let end = format!(
                "it ran there until {:?}, its node's release was written: {}, its end was passed on: {passed_on}",
                task.ended_at, task.release_written
            );
            record.line(&format!(
                "RELEASED WHILE IT STANDS {sid:016x}: {text} at {at}; node {node}: {end}"
            ));
        }
    }
    broken > 0
}
