//! Implements the command `status`, which prints the counters of one dispatcher.

use crate::connection::{ANSWER_TIMEOUT, answer_within};
use crate::error::Error;
use corkspan_api::v1::{self, placement_client::PlacementClient};
use corkspan_rpc::Connection;

/// Prints a dispatcher's counters of requests, attempts and connections.
pub(crate) async fn status(connection: Connection) -> Result<(), Error> {
    let mut client = PlacementClient::new(connection);
    let status = answer_within(ANSWER_TIMEOUT, client.status(v1::StatusRequest {})).await?;
    let rows = [
        ("in flight", status.in_flight),
        ("deferred", status.deferred),
        ("attempts in flight", status.attempts_in_flight),
        ("running", status.running),
        ("requested", status.requested),
        ("placed", status.placed),
        ("rejected", status.rejected),
        ("failed", status.failed),
        ("cancelled", status.cancelled),
        ("node connections", status.connections),
        ("machines serving", status.machines_serving),
        ("machines known", status.machines_known),
        ("decision time, us", status.decision_time_us),
    ];
    println!(
        "dispatcher {} of {}{}",
        status.number,
        status.schedulers,
        if status.stopping { ", stopping" } else { "" }
    );
    rows.iter()
        .for_each(|(label, value)| println!("{label:>18} {value}"));
    for traffic in &status.connection_traffic {
        println!(
            "{:>18} {} bytes in, {} out; {} messages in, {} out",
            traffic.kind().as_str_name().to_lowercase(),
            traffic.bytes_in,
            traffic.bytes_out,
            traffic.messages_in,
            traffic.messages_out
        );
    }
    Ok(())
}
