//! Open-loop load: asks go out at times that were fixed beforehand, whatever the replies do, and
//! every latency is counted from the time that the ask was meant to go out. A dispatcher that
//! stands still for a second is seen to have cost each ask that was due in it what is left of that
//! second; a client that waits for its replies would have sent one and seen one. docs/load.md says
//! more.
//!
//! [`shape`] says when, [`mix`] what, [`tally`] what came of it, all without I/O; [`run`] sends.

pub mod compare;
pub mod mix;
pub mod plan;
pub mod plot;
pub mod run;
pub mod shape;
pub mod tally;
