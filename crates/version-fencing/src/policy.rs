//! Raises the minimum version by a policy: which version enough dispatchers have adopted, according
//! to the quorum members, and which minimum follows from it. Times are passed in, in any unit.

use crate::ReportedVersion;
use crate::minimum::fleet_share;
use corkspan_quorum::is_majority;
use std::collections::{BTreeMap, VecDeque};

/// Largest number of dispatchers whose version a quorum member remembers.
const MAX_DISPATCHERS: usize = 4_096;
/// Largest number of adopted versions that a watch remembers.
const MAX_ADOPTED: usize = 64;

/// The version that each dispatcher last reported to a quorum member. The last report of a
/// dispatcher that is gone stays, and so delays a raise rather than advancing it: the dispatcher
/// may be cut off and still act.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedVersions(BTreeMap<u32, ReportedVersion>);

impl ReportedVersions {
    /// Records a dispatcher's report, which replaces its earlier one.
    pub fn report(&mut self, dispatcher: u32, reported: ReportedVersion) {
        if self.0.len() < MAX_DISPATCHERS || self.0.contains_key(&dispatcher) {
            self.0.insert(dispatcher, reported);
        }
    }

    /// Returns the highest version such that `permille` thousandths of a fleet run it or a later
    /// one past its trial. Returns `None` if fewer dispatchers than that have ever reported.
    /// Dispatchers whose number is beyond the size of the fleet do not count.
    pub fn adopted(&self, fleet: usize, permille: u32) -> Option<u64> {
        let numbers = ..u32::try_from(fleet).unwrap_or(u32::MAX);
        let reports = self.0.range(numbers).map(|(_, reported)| reported);
        let mut versions: Vec<u64> = reports
            .filter(|reported| !reported.on_trial)
            .map(|reported| reported.version)
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        let required = fleet_share(fleet, permille).max(1);
        versions.get(required - 1).copied()
    }
}

/// The policy for raising the minimum version, as configured in the deployment file:
/// `(floor … (behind 10) (after 60 s) (part 900))`. With neither limit it is never raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumVersionPolicy {
    /// Versions further behind the adopted one than this number of versions may not act.
    pub max_behind: Option<u64>,
    /// Versions below one that was adopted at least this long ago may not act.
    pub max_age: Option<u64>,
    /// Thousandths of the fleet that must run a version for it to be adopted.
    pub adoption_permille: u32,
}

/// A version that was adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Adopted {
    version: u64,
    /// Time at which its adoption was first observed.
    since: u64,
}

/// One dispatcher's evaluation of the policy. Any dispatcher may propose a raise: the quorum
/// commits at most one of several proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyWatch {
    /// Adopted versions, the oldest first.
    adopted: VecDeque<Adopted>,
}

impl PolicyWatch {
    /// Returns the minimum version to propose now, if the policy requires another. `replies` has
    /// the version that each replying quorum member counts as adopted; `current` is the present
    /// minimum.
    pub fn evaluate(
        &mut self,
        now: u64,
        policy: MinimumVersionPolicy,
        replies: &[Option<u64>],
        members: usize,
        current: Option<u64>,
    ) -> Option<u64> {
        if !is_majority(replies.len(), members) {
            return None;
        }
        // A majority reports at least this version, so a minority with wrong reports can't raise
        // the minimum.
        let mut highest_first: Vec<Option<u64>> = replies.to_vec();
        highest_first.sort_unstable_by(|a, b| b.cmp(a));
        let adopted = highest_first[members / 2]?;
        self.observe(now, adopted);
        let by_distance = policy
            .max_behind
            .map(|max_behind| adopted.saturating_sub(max_behind));
        let by_age = policy.max_age.and_then(|max_age| self.aged(now, max_age));
        let minimum = by_distance.max(by_age)?;
        (minimum > current.unwrap_or(0)).then_some(minimum)
    }

    /// Records the adopted version. Later versions, which some dispatchers have rolled back
    /// meanwhile, are forgotten: their age starts again when they are adopted again.
    fn observe(&mut self, now: u64, version: u64) {
        self.adopted.retain(|adopted| adopted.version <= version);
        let latest = self.adopted.back();
        if latest.is_none_or(|latest| latest.version < version) {
            self.adopted.push_back(Adopted {
                version,
                since: now,
            });
        }
        if self.adopted.len() > MAX_ADOPTED {
            self.adopted.pop_front();
        }
    }

    /// Returns the highest version that was adopted at least `age` ago.
    fn aged(&self, now: u64, age: u64) -> Option<u64> {
        let aged = self
            .adopted
            .iter()
            .filter(|adopted| adopted.since.saturating_add(age) <= now);
        aged.map(|adopted| adopted.version).max()
    }
}
