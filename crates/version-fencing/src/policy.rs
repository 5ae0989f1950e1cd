//! Raising the minimum version without an operator: what enough of a fleet have adopted, as quorum
//! members report it, and the policy that is applied to it. Times are passed in, in any unit.

use crate::ReportedVersion;
use crate::minimum::share_of;
use corkspan_quorum::is_majority;
use std::collections::{BTreeMap, VecDeque};

/// Dispatchers whose version one quorum member remembers.
const MAX_DISPATCHERS: usize = 4_096;
/// Adopted versions that a watch remembers with their times.
const MAX_ADOPTED: usize = 64;

/// The version that each dispatcher last reported to a quorum member. One that is gone stays with
/// its last report, and so holds a policy back rather than advancing it: it may be cut off and still
/// act.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedVersions(BTreeMap<u32, ReportedVersion>);

impl ReportedVersions {
    /// Remembers a dispatcher's report in place of its earlier one.
    pub fn report(&mut self, dispatcher: u32, reported: ReportedVersion) {
        if self.0.len() < MAX_DISPATCHERS || self.0.contains_key(&dispatcher) {
            self.0.insert(dispatcher, reported);
        }
    }

    /// The highest version that `permille` thousandths of a fleet run past its trial, or a later
    /// one. None where fewer than that have ever reported. Dispatchers whose number is beyond the
    /// size of the fleet do not count.
    pub fn adopted(&self, fleet: usize, permille: u32) -> Option<u64> {
        let numbers = ..u32::try_from(fleet).unwrap_or(u32::MAX);
        let reports = self.0.range(numbers).map(|(_, reported)| reported);
        let mut versions: Vec<u64> = reports
            .filter(|reported| !reported.on_trial)
            .map(|reported| reported.version)
            .collect();
        versions.sort_unstable_by(|a, b| b.cmp(a));
        let required = share_of(fleet, permille).max(1);
        versions.get(required - 1).copied()
    }
}

/// When the minimum version is raised, as the deployment file has it:
/// `(floor … (behind 10) (after 60 s) (part 900))`. With neither limit it never is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumVersionPolicy {
    /// Versions further than this behind the adopted one may not act.
    pub max_behind: Option<u64>,
    /// Versions older than one that was adopted this long ago may not act.
    pub max_age: Option<u64>,
    /// A version is adopted once so many thousandths of the fleet run it.
    pub adoption_permille: u32,
}

/// A version that was adopted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Adopted {
    version: u64,
    /// When that was first seen.
    since: u64,
}

/// One dispatcher's watch over a policy. Any dispatcher may propose the raise: the quorum settles
/// on one of several proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyWatch {
    /// The oldest first.
    adopted: VecDeque<Adopted>,
}

impl PolicyWatch {
    /// The minimum version to propose now, if the policy wants another. `replies` has the version
    /// that each quorum member which replies counts as adopted; `current` is the minimum in force.
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
        // What a majority reports at least: a minority with wrong reports can fence nobody.
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

    /// Remembers the adopted version. Later ones, which some have rolled back meanwhile, are
    /// forgotten: their time starts again when they are adopted again.
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

    /// The highest version that was adopted at least so long ago.
    fn aged(&self, now: u64, age: u64) -> Option<u64> {
        let aged = self
            .adopted
            .iter()
            .filter(|adopted| adopted.since.saturating_add(age) <= now);
        aged.map(|adopted| adopted.version).max()
    }
}
