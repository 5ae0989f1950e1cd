//! Open-loop load. Requests are sent at times that were fixed beforehand, whatever the replies do,
//! and every latency counts from the time that the request was intended to be sent. A dispatcher
//! that stalls for a second is thus seen to have cost each request that was due in it what is left
//! of that second; a client that waits for its replies would have sent one and seen one.
//! docs/load.md says more.
//!
//! [`shape`] says when requests are sent, [`mix`] which, [`tally`] what came of them, [`compare`]
//! which of two variants does better, all without I/O. [`plan`] reads the load file, [`run`] sends,
//! and [`plot`] draws.

#![warn(missing_docs, clippy::too_many_lines)]

pub mod compare;
mod connections;
pub mod mix;
pub mod plan;
pub mod plot;
pub mod run;
pub mod shape;
pub mod tally;
