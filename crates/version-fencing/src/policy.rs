//! When the floor is raised without an operator: what enough of the fleet have taken, told by
//! keepers, and the rule that is applied to it. Times are told, in any unit.

use crate::ReportedVersion;
use corkspan_quorum::majority;
use std::collections::{BTreeMap, VecDeque};

/// Dispatchers whose version one keeper remembers.
const MAX_DISPATCHERS: usize = 4_096;
/// Versions whose moment is remembered.
const MAX_ADOPTED: usize = 64;

/// What a keeper was told last by each dispatcher of what it runs. One that is gone stays with what
/// it told last, and so holds a rule back rather than on: it may be cut off and still act.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedVersions(BTreeMap<u32, ReportedVersion>);

impl ReportedVersions {
    pub fn report(&mut self, dispatcher: u32, reported: ReportedVersion) {
        if self.0.len() < MAX_DISPATCHERS || self.0.contains_key(&dispatcher) {
            self.0.insert(dispatcher, reported);
        }
    }

    /// The highest version that so many thousandths of a fleet run, or a later one, for good. None
    /// where as many have never told.
    /// A dispatcher beyond the fleet's size has no say.
    pub fn adopted(&self, fleet: usize, permille: u32) -> Option<u64> {
        let own = self
            .0
            .range(..u32::try_from(fleet).unwrap_or(u32::MAX))
            .map(|(_, reported)| reported);
        let mut versions: Vec<u64> = own
            .filter(|reported| !reported.on_trial)
            .map(|reported| reported.version)
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        let required = (fleet * permille.min(1_000) as usize)
            .div_ceil(1_000)
            .max(1);
        versions.get(required - 1).copied()
    }
}

/// `(floor … (behind 10) (after 60 s) (part 900))`: none who is so far behind what enough have
/// taken may act, nor one that runs none of what enough have taken so long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumVersionPolicy {
    pub max_behind: Option<u64>,
    pub max_age: Option<u64>,
    /// In thousandths of the fleet.
    pub adoption_permille: u32,
}

/// One dispatcher's watch over a rule. Any of them may ask for the raise: wishes of many come to
/// one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyWatch {
    /// Versions that came to be taken by enough, with when that was seen first, the oldest first.
    adopted_since: VecDeque<(u64, u64)>,
}

impl PolicyWatch {
    /// The floor to ask for. `told`: what each keeper that answers says enough have taken;
    /// `stands`: the floor in force.
    pub fn evaluate(
        &mut self,
        now: u64,
        policy: MinimumVersionPolicy,
        replies: &[Option<u64>],
        members: usize,
        current: Option<u64>,
    ) -> Option<u64> {
        if !majority(replies.len(), members) {
            return None;
        }
        // Taken by what a majority says at least: no minority that tells what is not so can shut
        // anybody out.
        let mut all: Vec<Option<u64>> = replies.to_vec();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let adopted = all[members / 2]?;
        // Given up by some meanwhile: it counts from anew.
        self.adopted_since
            .retain(|(version, _)| *version <= adopted);
        if self
            .adopted_since
            .back()
            .is_none_or(|(version, _)| *version < adopted)
        {
            self.adopted_since.push_back((adopted, now));
        }
        if self.adopted_since.len() > MAX_ADOPTED {
            self.adopted_since.pop_front();
        }
        let by_distance = policy
            .max_behind
            .map(|max_behind| adopted.saturating_sub(max_behind));
        let by_age = policy.max_age.and_then(|max_age| {
            let old = self
                .adopted_since
                .iter()
                .filter(|(_, at)| at.saturating_add(max_age) <= now);
            old.map(|(version, _)| *version).max()
        });
        let minimum = by_distance.max(by_age)?;
        (minimum > current.unwrap_or(0)).then_some(minimum)
    }
}
