//! When the floor is raised without an operator: what enough of the fleet have taken, told by
//! keepers, and the rule that is applied to it. Times are told, in any unit.

use crate::Runs;
use corkspan_quorum::majority;
use std::collections::{BTreeMap, VecDeque};

/// Dispatchers whose version one keeper remembers.
const ROWS: usize = 4_096;
/// Versions whose moment is remembered.
const MOMENTS: usize = 64;

/// What a keeper was told last by each dispatcher of what it runs. One that is gone stays with what
/// it told last, and so holds a rule back rather than on: it may be cut off and still act.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows(BTreeMap<u32, Runs>);

impl Rows {
    pub fn tells(&mut self, dispatcher: u32, runs: Runs) {
        if self.0.len() < ROWS || self.0.contains_key(&dispatcher) {
            self.0.insert(dispatcher, runs);
        }
    }

    /// The highest version that so many thousandths of a fleet run, or a later one, for good. None
    /// where as many have never told.
    /// A dispatcher beyond the fleet's size has no say.
    pub fn taken(&self, fleet: usize, part: u32) -> Option<u64> {
        let own = self
            .0
            .range(..u32::try_from(fleet).unwrap_or(u32::MAX))
            .map(|(_, runs)| runs);
        let mut good: Vec<u64> = own
            .filter(|runs| !runs.on_trial)
            .map(|runs| runs.version)
            .collect();
        good.sort_unstable_by(|a, b| b.cmp(a));
        let wanted = (fleet * part.min(1_000) as usize).div_ceil(1_000).max(1);
        good.get(wanted - 1).copied()
    }
}

/// `(floor … (behind 10) (after 60 s) (part 900))`: none who is so far behind what enough have
/// taken may act, nor one that runs none of what enough have taken so long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    pub behind: Option<u64>,
    pub after: Option<u64>,
    /// In thousandths of the fleet.
    pub part: u32,
}

/// One dispatcher's watch over a rule. Any of them may ask for the raise: wishes of many come to
/// one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Watch {
    /// Versions that came to be taken by enough, with when that was seen first, the oldest first.
    moments: VecDeque<(u64, u64)>,
}

impl Watch {
    /// The floor to ask for. `told`: what each keeper that answers says enough have taken;
    /// `stands`: the floor in force.
    pub fn look(
        &mut self,
        now: u64,
        rule: Rule,
        told: &[Option<u64>],
        keepers: usize,
        stands: Option<u64>,
    ) -> Option<u64> {
        if !majority(told.len(), keepers) {
            return None;
        }
        // Taken by what a majority says at least: no minority that tells what is not so can shut
        // anybody out.
        let mut all: Vec<Option<u64>> = told.to_vec();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let taken = all[keepers / 2]?;
        // Given up by some meanwhile: it counts from anew.
        self.moments.retain(|(version, _)| *version <= taken);
        if self
            .moments
            .back()
            .is_none_or(|(version, _)| *version < taken)
        {
            self.moments.push_back((taken, now));
        }
        if self.moments.len() > MOMENTS {
            self.moments.pop_front();
        }
        let far = rule.behind.map(|behind| taken.saturating_sub(behind));
        let long = rule.after.and_then(|after| {
            let old = self
                .moments
                .iter()
                .filter(|(_, at)| at.saturating_add(after) <= now);
            old.map(|(version, _)| *version).max()
        });
        let lowest = far.max(long)?;
        (lowest > stands.unwrap_or(0)).then_some(lowest)
    }
}
