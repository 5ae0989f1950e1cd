//! Decisions of planned machine maintenance, without I/O and without a clock. `docs/maintenance.md`
//! gives the reasons for the design.
//!
//! An operator's [`MaintenanceRequest`] names machines and limits and is held by a majority of the
//! quorum members. A machine is taken out of service under a [`MaintenanceLease`] that a majority
//! holds and that occupies numbered slots under each limit. There is no leader, and no dispatcher
//! owns a lease: any dispatcher that has the replies of a majority may take the next step
//! ([`reconcile::reconcile`]), and every message may arrive late, twice or never. The machine
//! itself fences late messages, with its [`cordon::Cordon`].

#![warn(missing_docs, clippy::too_many_lines)]

pub mod cordon;
pub mod cost;
mod lease;
pub mod lease_table;
mod limits;
pub mod quorum_view;
pub mod reconcile;
mod request;

pub use corkspan_quorum::{ClaimId, is_majority};
pub use lease::{JobOutcome, LeaseId, LeaseOutcome, LeasePhase, LeaseProgress, MaintenanceLease};
pub use limits::{DisruptionLimits, LimitScope, Machine, MachineDomains, Slots};
pub use request::{DrainTimeoutAction, MAX_MACHINES, MaintenanceRequest, RunState};
