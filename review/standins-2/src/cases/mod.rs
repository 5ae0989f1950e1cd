//! The cases. Each returns what was broken, or why it could not run.

mod cut_off;
mod ended_meanwhile;
mod evicted_owner;
mod memory;
mod taken_back;

use crate::client::{self, ANSWER, Client, RELEASE, SetUp};
use crate::dispatcher::{Dispatcher, Settings};
use crate::feed::{Entry, Feed};
use crate::node::Node;
use crate::record::{self, sleep_ms};
use crate::sys;
use std::time::Duration;

type Outcome = Result<Vec<String>, String>;

/// Runs a case, with the disruption or without it.
pub fn run(case: &str, trouble: bool) -> Outcome {
    match case {
        "ended-meanwhile" => ended_meanwhile::run(trouble),
        "cut-off" => cut_off::run(trouble),
        "taken-back" => taken_back::run(trouble),
        "memory" => memory::run(trouble),
        "evicted-owner" => evicted_owner::run(trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts nodes on which a task stands after `start_ms`, and a feed that lists them.
fn start_nodes(count: usize, start_ms: u64) -> (Vec<Node>, Feed) {
    let start = |number| Node::start(&format!("s-{number:08x}"), start_ms);
    let nodes: Vec<Node> = (0..count).map(start).collect();
    let list: Vec<Entry> = nodes
        .iter()
        .map(|node| Entry {
            id: node.name.clone(),
            address: node.address,
        })
        .collect();
    (nodes, Feed::start(&list))
}

/// Connects a client, which is in use once it has passed a test.
fn connect(name: &str, dispatcher: &Dispatcher) -> Result<Client, String> {
    Client::connect(name, dispatcher.address)
        .map_err(|error| format!("{name} can't connect: {error}"))
}

/// Connects an owner once the dispatcher has passed a test, as the front does.
fn connect_owner(name: &str, dispatcher: &Dispatcher) -> Result<Client, String> {
    let owner = connect(name, dispatcher)?;
    match owner.test(1) {
        true => Ok(owner),
        false => Err(format!("{}: the test is not passed", dispatcher.name)),
    }
}

/// Sets up a task and returns the node where it stands.
fn standing_task<'a>(owner: &Client, nodes: &'a [Node], task: u64) -> Result<&'a Node, String> {
    owner.set_up(&SetUp::new(task, "batch", 3_000));
    match owner.reply(task, ms(3_500)) {
        Some(reply) if reply.kind == ANSWER => {}
        other => return Err(format!("the first task was not placed: {other:?}")),
    }
    nodes
        .iter()
        .find(|node| node.stands(task))
        .ok_or_else(|| "the task stands nowhere".into())
}

/// A release with cause 16 says that a task has come to its end. After any other the owner waits as
/// long as the settings say, and sets the task up again if no node holds it. Returns the tasks that
/// came to their end and ran again.
fn ask_again_for_lost(owner: &Client, nodes: &[Node], tasks: &[u64]) -> Vec<String> {
    const SETTLE_MS: u64 = 3_000;
    let is_loss = |message: &client::Received| {
        message.kind == RELEASE && message.cause != Some(16) && tasks.contains(&message.task)
    };
    let lost: Vec<client::Received> = owner.received().into_iter().filter(is_loss).collect();
    for message in &lost {
        sleep_ms(
            (message.at + ms(SETTLE_MS))
                .saturating_sub(record::elapsed())
                .as_millis() as u64,
        );
        if nodes.iter().any(|node| node.stands(message.task)) {
            record::line(&format!(
                "owner: {:016x} was released and a node holds it",
                message.task
            ));
            continue;
        }
        let mut again = SetUp::new(message.task + 0x1000, "once", 9_000);
        again.name = SetUp::new(message.task, "once", 9_000).name;
        again.again = true;
        record::line(&format!(
            "owner: {:016x} was released with cause {:?}, and no node holds it",
            message.task, message.cause
        ));
        owner.set_up(&again);
    }
    sleep_ms(2_000);
    let runs: Vec<_> = nodes.iter().flat_map(Node::runs).collect();
    let mut broken = Vec::new();
    for &task in tasks {
        let name = SetUp::new(task, "once", 9_000).name;
        let of_task = || runs.iter().filter(|run| run.name == name);
        let completed = of_task().any(|run| run.end.is_some_and(|(_, cause)| cause == 16));
        if completed && of_task().count() > 1 {
            let told = lost
                .iter()
                .find(|message| message.task == task)
                .and_then(|message| message.cause);
            broken.push(format!(
                "task {name} came to its end (16), its owner was told cause {told:?}, and it ran {} times",
                of_task().count()
            ));
        }
    }
    broken
}
