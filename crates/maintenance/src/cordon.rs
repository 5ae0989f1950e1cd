//! Whether a machine accepts allocations. The state must be on the machine's disk before the
//! machine replies.

use crate::ClaimId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of claims that a machine remembers as finished, so that a late cordon message for one of
/// them is rejected. A message for an older claim would have been in transit while this many leases
/// ended.
const MAX_FINISHED_CLAIMS: usize = 64;

/// The machine's fence against late cordon messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cordon {
    #[serde(rename = "closed")]
    active: Option<ClaimId>,
    #[serde(rename = "over")]
    finished: VecDeque<ClaimId>,
}

impl Cordon {
    /// Cordons the machine for a claim. Returns false if the claim is finished already or the
    /// machine is cordoned for another claim.
    pub fn cordon(&mut self, claim: ClaimId) -> bool {
        if self.is_finished(claim) || self.active.is_some_and(|active| active != claim) {
            return false;
        }
        self.active = Some(claim);
        true
    }

    /// Records the claim as finished, whether or not its cordon message has arrived yet, and
    /// uncordons the machine if it is cordoned for this claim.
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

    /// Returns the claim that the machine is cordoned for, if any.
    pub fn active(&self) -> Option<ClaimId> {
        self.active
    }

    /// Returns whether the machine remembers this claim as finished.
    pub fn is_finished(&self, claim: ClaimId) -> bool {
        self.finished.contains(&claim)
    }
}
