//! A machine's own part: whether it takes new work. Kept on its disk before it is answered.

use crate::ClaimId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Outings that a machine remembers as over. Word to close for one of them comes late; one further
/// back than these has been on its way through as many outings.
const MAX_FINISHED_CLAIMS: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Cordon {
    #[serde(rename = "closed")]
    active: Option<ClaimId>,
    #[serde(rename = "over")]
    finished: VecDeque<ClaimId>,
}

impl Cordon {
    /// For an outing. False where that is over already, or it is closed for another.
    pub fn cordon(&mut self, claim: ClaimId) -> bool {
        if self.finished.contains(&claim) || self.active.is_some_and(|closed| closed != claim) {
            return false;
        }
        self.active = Some(claim);
        true
    }

    /// The outing is over here, whether word to close has come yet or not.
    pub fn uncordon(&mut self, claim: ClaimId) {
        if self.active == Some(claim) {
            self.active = None;
        }
        if !self.finished.contains(&claim) {
            self.finished.push_back(claim);
        }
        if self.finished.len() > MAX_FINISHED_CLAIMS {
            self.finished.pop_front();
        }
    }

    pub fn active(&self) -> Option<ClaimId> {
        self.active
    }

    pub fn is_finished(&self, claim: ClaimId) -> bool {
        self.finished.contains(&claim)
    }
}
