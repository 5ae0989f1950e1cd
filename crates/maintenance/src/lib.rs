//! Decisions of planned machine maintenance, without I/O and without a clock. docs/maintenance.md
//! gives the reasons for the design.
//!
//! An operator's [`MaintenanceRequest`] names machines and limits; a majority of the quorum members
//! holds it. A machine is taken out by a [`MaintenanceLease`] that a majority holds and that
//! occupies numbered slots under each limit. There is no leader and no owner of a lease: whoever
//! sees what a majority reports may take the next step ([`reconcile::reconcile`]), and every message
//! may arrive late, twice or never. The fence is at the machine, in its [`cordon::Cordon`].

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
