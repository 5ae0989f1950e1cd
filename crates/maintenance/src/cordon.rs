//! A machine's own part: whether it accepts allocations. It must be on the machine's disk before
//! the machine answers.

use crate::ClaimId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Claims that a machine remembers as finished. A late message to cordon names one of these; an
/// older one would have been on its way through as many leases.
const MAX_FINISHED_CLAIMS: usize = 64;

/// The fence at the machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cordon {
    #[serde(rename = "closed")]
    active: Option<ClaimId>,
    #[serde(rename = "over")]
    finished: VecDeque<ClaimId>,
}

impl Cordon {
    /// Cordons the machine for a claim. False where the claim is finished already, or the machine
    /// is cordoned for another.
    pub fn cordon(&mut self, claim: ClaimId) -> bool {
        if self.is_finished(claim) || self.active.is_some_and(|active| active != claim) {
            return false;
        }
        self.active = Some(claim);
        true
    }

    /// The claim is finished here, whether the message to cordon has arrived yet or not.
    pub fn uncordon(&mut self, claim: ClaimId) {
        if self.active == Some(claim) {
            self.active = None;
        }
        if !self.is_finished(claim) {
            self.finished.push_back(claim);
        }
        if self.finished.len() > MAX_FINISHED_CLAIMS {
            self.finished.pop_front();
        }
    }

    /// The claim that the machine is cordoned for, if it is.
    pub fn active(&self) -> Option<ClaimId> {
        self.active
    }

    /// Whether the machine was uncordoned for this claim, as far as it remembers.
    pub fn is_finished(&self, claim: ClaimId) -> bool {
        self.finished.contains(&claim)
    }
}
