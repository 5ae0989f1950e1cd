//! Counts traffic by kind of connection. Each dispatcher has its own counters, even if several run
//! in one process.

use corkspan_api::v1;
pub use corkspan_api::v1::connection_traffic::Kind as ConnectionKind;
use corkspan_rpc::{Meter, MeterSelector};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Direction {
    In,
    Out,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    link: &'static str,
    way: Direction,
}

/// The traffic counters of all kinds of connections. Clones share the counters.
#[derive(Clone, Default)]
pub struct ConnectionCounters {
    bytes: Family<Labels, Counter>,
    messages: Family<Labels, Counter>,
}

const CONNECTION_KINDS: [ConnectionKind; 6] = [
    ConnectionKind::Roster,
    ConnectionKind::Control,
    ConnectionKind::Keepers,
    ConnectionKind::Dispatchers,
    ConnectionKind::Nodes,
    ConnectionKind::Owners,
];

impl ConnectionCounters {
    /// Returns the counters of a kind of connection.
    pub fn meter(&self, kind: ConnectionKind) -> Meter {
        let labels = |way| Labels {
            link: kind.as_str_name(),
            way,
        };
        let counter =
            |family: &Family<Labels, Counter>, way| family.get_or_create_owned(&labels(way));
        Meter {
            bytes_in: counter(&self.bytes, Direction::In),
            bytes_out: counter(&self.bytes, Direction::Out),
            messages_in: counter(&self.messages, Direction::In),
            messages_out: counter(&self.messages, Direction::Out),
        }
    }

    /// Classifies incoming connections by their first call: another dispatcher requests a version
    /// and makes no other calls.
    pub fn meter_selector(&self) -> MeterSelector {
        let counts = self.clone();
        Arc::new(move |path| {
            counts.meter(match path {
                "/corkspan.v1.Versions/Give" => ConnectionKind::Dispatchers,
                _ => ConnectionKind::Owners,
            })
        })
    }

    pub fn messages(&self) -> Vec<v1::ConnectionTraffic> {
        let message = |kind: ConnectionKind| {
            let meter = self.meter(kind);
            v1::ConnectionTraffic {
                kind: kind.into(),
                bytes_in: meter.bytes_in.get(),
                bytes_out: meter.bytes_out.get(),
                messages_in: meter.messages_in.get(),
                messages_out: meter.messages_out.get(),
            }
        };
        CONNECTION_KINDS.map(message).into()
    }
}
