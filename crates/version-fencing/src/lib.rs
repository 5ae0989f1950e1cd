//! Decisions about the minimum version of a fleet: who is fenced by it and when it may be raised.
//! Without I/O and without a clock. docs/version-fencing.md gives the reasons for this design.
//!
//! Dispatchers adopt new versions of the deployment at different times. The [`MinimumVersion`] is
//! the lowest version that may still act; a majority of the quorum members holds it. It is enforced
//! where an operation takes effect, at the nodes: each attempt carries the version that it was
//! decided under, and a node's [`Fence`] rejects it if that version is too low, whoever sends it
//! and however late it arrives. A dispatcher's [`VersionGate`] only saves it from sending
//! operations that would be rejected.
//!
//! No clock is involved. A dispatcher that is cut off from the quorum is fenced by the nodes that
//! it still reaches. While no minimum version is known, no dispatcher is fenced.
//!
//! | module | contents |
//! | --- | --- |
//! | [`fence`], [`gate`] | enforcement at nodes, and at dispatchers |
//! | [`minimum`], [`policy`] | proposals by an operator, and by a policy |
//! | [`catch_up`] | how a dispatcher that is behind fetches the newest version |
//! | [`operations`], [`history`] | what nodes and dispatchers record |
//! | [`audit`] | faults in a fleet, according to those records |

#![warn(missing_docs, clippy::too_many_lines)]

pub mod audit;
pub mod catch_up;
pub mod fence;
pub mod gate;
pub mod history;
pub mod minimum;
pub mod operations;
pub mod policy;

pub use fence::{Fence, FenceDecision, StoredState};
pub use gate::VersionGate;
pub use minimum::{MinimumVersion, RaiseError, ReportedVersion, check_adoption, propose};
