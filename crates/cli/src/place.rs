//! Implements the command `place`, which requests one allocation and prints its events.

use crate::error::Error;
use clap::Args;
use corkspan_api::v1::{self, placement_client::PlacementClient, placement_event::Event};
use corkspan_rpc::{Connection, within};
use std::net::SocketAddr;
use std::time::Duration;

/// How long after the deadline the final answer may still arrive, in milliseconds.
const ANSWER_GRACE_MS: u64 = 1_000;

#[derive(Args)]
pub(crate) struct Place {
    /// The address at which the dispatcher listens.
    pub(crate) dispatcher: SocketAddr,
    /// The task's name, which must be the same on every retry.
    #[arg(long)]
    task: String,
    #[arg(long)]
    service: String,
    #[arg(long = "track")]
    service_class: String,
    #[arg(long = "account", default_value = "")]
    tenant: String,
    #[arg(long)]
    cores: f64,
    #[arg(long)]
    memory: f64,
    /// Expected duration, ms; 0 if unknown.
    #[arg(long = "life-ms", default_value_t = 0)]
    expected_duration_ms: u64,
    /// The deadline of the final answer, ms.
    #[arg(long = "abandon-ms", default_value_t = 6000)]
    deadline_ms: u64,
    /// The task was requested before.
    #[arg(long = "again")]
    retry: bool,
    /// Prints events of the allocation until it ends; an interrupt then stops it. Without this flag
    /// the call ends with the final answer, and so does the allocation.
    #[arg(long = "stay")]
    follow: bool,
}

/// Requests the allocation and prints its events.
pub(crate) async fn place(connection: Connection, place: Place) -> Result<(), Error> {
    let follow = place.follow;
    let timeout = Duration::from_millis(place.deadline_ms.saturating_add(ANSWER_GRACE_MS));
    let mut client = PlacementClient::new(connection);
    let mut events = client.place(request(place)).await?.into_inner();
    let mut answered = false;
    loop {
        let event = if answered {
            events.message().await
        } else {
            within(timeout, events.message())
                .await
                .unwrap_or_else(|| Err(tonic::Status::deadline_exceeded("no answer")))
        };
        match event?.map(|message| message.event) {
            None if answered => return Ok(()),
            None => return Err(Error::NoFinalAnswer),
            Some(Some(event)) => {
                answered |= matches!(event, Event::Placed(_));
                print(event)?;
                if answered && !follow {
                    return Ok(());
                }
            }
            Some(None) => {}
        }
    }
}

fn request(place: Place) -> v1::PlacementRequest {
    let now_ms = corkspan_dispatcher::clock::wall_ms();
    v1::PlacementRequest {
        placement_id: format!("{}/{now_ms:x}", place.task),
        task: place.task,
        service: place.service,
        service_class: place.service_class,
        tenant: place.tenant,
        cores: place.cores,
        memory: place.memory,
        expected_duration_ms: place.expected_duration_ms,
        deadline_ms: place.deadline_ms,
        retry: place.retry,
    }
}

/// Prints one event; returns a rejection or a failure as an error.
fn print(event: Event) -> Result<(), Error> {
    match event {
        Event::Placed(placed) => {
            println!(
                "placed on node {} by attempt {}",
                placed.node, placed.attempts
            );
        }
        Event::Rejected(rejected) => {
            return Err(Error::PlacementRejected {
                reason: rejected.reason(),
                message: rejected.message,
            });
        }
        Event::Failed(failed) => return Err(Error::PlacementFailed(failed.message)),
        Event::Running(_) => println!("running"),
        Event::ServiceLevel(level) => println!("served at {:.0}%", level.fraction * 100.0),
        Event::Replaced(replaced) => {
            let (version, node) = (replaced.version, replaced.node);
            println!("replaced by version {version} on node {node}");
        }
        Event::Ended(ended) => println!("ended: {:?}", ended.reason()),
    }
    Ok(())
}
