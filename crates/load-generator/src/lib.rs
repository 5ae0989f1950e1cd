//! Generates open-loop load. Requests are sent at times that are fixed in advance, independently of
//! the replies, and each latency is measured from the intended send time. If a dispatcher stalls
//! for a second, each request that was due in that second is charged with the rest of the second; a
//! closed-loop client would send one request and observe one delay. See docs/load.md.
//!
//! [`shape`] determines when requests are sent, [`mix`] draws their kinds, [`tally`] counts the
//! outcomes and [`compare`] compares two variants, all without I/O. [`plan`] reads the load file,
//! [`run`] sends the requests, and [`plot`] draws a report.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod compare;
mod connections;
pub mod mix;
pub mod plan;
pub mod plot;
pub mod run;
pub mod shape;
pub mod tally;
