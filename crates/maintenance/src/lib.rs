//! What taking machines out for work decides, without I/O and without a clock. docs/maintenance.md
//! says why it is so.
//!
//! An operator's [`MaintenanceRequest`] names machines and limits; a majority of the keepers holds it. A machine
//! is out by an [`MaintenanceLease`] at a majority, which holds numbered slots under each limit; nobody leads
//! and nobody owns an outing: whoever sees what a majority tells may take the next step
//! ([`reconcile::reconcile`]), and each step may come late, doubled or never. The fence is at the machine, in
//! its [`cordon::Cordon`].

pub mod cordon;
pub mod cost;
pub mod lease_table;
pub mod reconcile;

pub use corkspan_quorum::{ClaimId, majority};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A machine, by the number that the roster gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Machine(pub u32);

/// Machines that one wish may name.
pub const MAX_MACHINES: usize = 2_000;

/// Where a machine stands and what it is, as the roster told when it was wished for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MachineDomains {
    #[serde(rename = "hall")]
    pub zone: u32,
    pub cell: u64,
    #[serde(rename = "kind")]
    pub machine_type: u32,
}

/// So many may be out at a time: in all, and of those of one hall, cell and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DisruptionLimits {
    #[serde(rename = "all")]
    pub total: u32,
    #[serde(rename = "hall")]
    pub zone: u32,
    pub cell: u32,
    #[serde(rename = "kind")]
    pub machine_type: u32,
}

impl DisruptionLimits {
    /// In the order of [`Slots`].
    pub fn each(&self) -> [u32; 4] {
        [self.total, self.zone, self.cell, self.machine_type]
    }
}

/// Which of the numbered places under each limit an outing holds. Numbers and no counts: of three
/// keepers that each count to two, two may let in three.
pub type Slots = [u32; 4];

/// Whether two machines fall under one limit, by its place in [`Slots`].
pub fn shares(limit: usize, one: MachineDomains, other: MachineDomains) -> bool {
    match limit {
        0 => true,
        1 => one.zone == other.zone,
        2 => one.cell == other.cell,
        _ => one.machine_type == other.machine_type,
    }
}

/// What becomes of allocations that may be neither moved nor repeated, once the time to empty a
/// machine is up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainTimeoutAction {
    Wait,
    /// The machine is opened again and left out of this wish.
    Skip,
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    #[serde(rename = "going")]
    Running,
    /// No further machine is taken; those that are out go on.
    Paused,
    /// Those that have not been handed to the work are opened again.
    Aborted,
}

/// What an operator wants. One is in force at a time; adding to it, pausing and ending are wishes
/// of the next number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceRequest {
    #[serde(rename = "number")]
    pub revision: u64,
    /// Drawn by who asks: two who ask at once with one number are told apart by it.
    #[serde(rename = "asker")]
    pub proposer: u64,
    /// Of the first wish of this work: what was done for an earlier one is not done for this.
    pub job: u64,
    pub machines: BTreeMap<Machine, MachineDomains>,
    pub limits: DisruptionLimits,
    /// So long a machine that is back counts as out still, in ms.
    #[serde(rename = "warm_ms")]
    pub warm_up_ms: u64,
    /// So long it may take to empty one, in ms.
    #[serde(rename = "empty_within_ms")]
    pub drain_timeout_ms: u64,
    #[serde(rename = "then")]
    pub on_drain_timeout: DrainTimeoutAction,
    #[serde(rename = "course")]
    pub run_state: RunState,
}

impl corkspan_quorum::Wish for MaintenanceRequest {
    /// There is one.
    type Matter = ();

    fn matter(&self) {}

    fn number(&self) -> u64 {
        self.revision
    }

    fn numbered(&self, number: u64) -> Self {
        MaintenanceRequest {
            revision: number,
            ..self.clone()
        }
    }

    fn slots(&self) -> u32 {
        self.limits.total
    }
}

/// How far a machine has come. Each is told to a majority before the next is begun, and none is
/// taken back. From [`LeasePhase::Cordoned`] it is either handed over or returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeasePhase {
    /// A claim that may yet fail.
    #[serde(rename = "asked")]
    Requested,
    /// Its slots stand at a majority: the machine may be closed.
    #[serde(rename = "held")]
    Granted,
    /// It takes nothing new, by its own word.
    #[serde(rename = "closed")]
    Cordoned,
    /// Nothing runs there, by its own word: it is the worker's now.
    #[serde(rename = "handed")]
    Drained,
    /// The worker says that the work is done.
    #[serde(rename = "done")]
    Completed,
    /// It is to be opened again unworked. Of each outing a keeper votes once, for this or for
    /// [`LeasePhase::Drained`], and all keepers vote, also one that never held it: or one who has
    /// seen a wish ended could open what another has just handed over, and a keeper without a
    /// vote could leave the two even for good.
    #[serde(rename = "returned")]
    Cancelled,
}

/// A machine that is out, or about to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceLease {
    pub claim: ClaimId,
    /// Of the wish that it was claimed under.
    pub job: u64,
    #[serde(rename = "at")]
    pub domains: MachineDomains,
    pub slots: Slots,
    pub phase: LeasePhase,
}
