//! A machine's own part: whether it takes new work. Kept on its disk before it is answered.

use crate::ClaimId;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Outings that a machine remembers as over. Word to close for one of them comes late; one further
/// back than these has been on its way through as many outings.
const OVER: usize = 64;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Door {
    closed: Option<ClaimId>,
    over: VecDeque<ClaimId>,
}

impl Door {
    /// For an outing. False where that is over already, or it is closed for another.
    pub fn close(&mut self, claim: ClaimId) -> bool {
        if self.over.contains(&claim) || self.closed.is_some_and(|closed| closed != claim) {
            return false;
        }
        self.closed = Some(claim);
        true
    }

    /// The outing is over here, whether word to close has come yet or not.
    pub fn open(&mut self, claim: ClaimId) {
        if self.closed == Some(claim) {
            self.closed = None;
        }
        if !self.over.contains(&claim) {
            self.over.push_back(claim);
        }
        if self.over.len() > OVER {
            self.over.pop_front();
        }
    }

    pub fn closed(&self) -> Option<ClaimId> {
        self.closed
    }

    pub fn is_over(&self, claim: ClaimId) -> bool {
        self.over.contains(&claim)
    }
}
