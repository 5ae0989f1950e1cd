//! Traffic by kind of connection. Each dispatcher has its own counters, also where several share a
//! process.

use corkspan_api::v1;
pub use corkspan_api::v1::connection_traffic::Kind as LinkKind;
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

/// Clones share the counters.
#[derive(Clone, Default)]
pub struct LinkCounters {
    bytes: Family<Labels, Counter>,
    messages: Family<Labels, Counter>,
}

const LINK_KINDS: [LinkKind; 6] = [
    LinkKind::Roster,
    LinkKind::Control,
    LinkKind::Keepers,
    LinkKind::Dispatchers,
    LinkKind::Nodes,
    LinkKind::Owners,
];

impl LinkCounters {
    /// The counters of a kind of connection.
    pub fn meter(&self, kind: LinkKind) -> Meter {
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

    /// Classifies incoming connections by their first call: another dispatcher requests a version,
    /// and nothing else.
    pub fn link_classifier(&self) -> MeterSelector {
        let counts = self.clone();
        Arc::new(move |path| {
            counts.meter(match path {
                "/corkspan.v1.Versions/Give" => LinkKind::Dispatchers,
                _ => LinkKind::Owners,
            })
        })
    }

    pub fn messages(&self) -> Vec<v1::ConnectionTraffic> {
        let message = |kind: LinkKind| {
            let meter = self.meter(kind);
            v1::ConnectionTraffic {
                kind: kind.into(),
                bytes_in: meter.bytes_in.get(),
                bytes_out: meter.bytes_out.get(),
                messages_in: meter.messages_in.get(),
                messages_out: meter.messages_out.get(),
            }
        };
        LINK_KINDS.map(message).into()
    }
}
