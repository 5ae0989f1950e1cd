//! Shows that no attempt below the minimum version takes effect at a node that knows the minimum,
//! in every state of a small fleet. Messages are late, lost and duplicated, any subset of the
//! quorum replies, and nodes and dispatchers restart at any time. Planted mistakes show that the
//! search detects protocols which accept such an attempt.

mod states;

use corkspan_quorum::{QuorumMember, is_majority};
use corkspan_version_fencing::{Fence, FenceDecision, MinimumVersion, StoredState, VersionGate};
use test_case::test_case;

const MEMBERS: usize = 3;
const OLD: u64 = 1;
const NEW: u64 = 2;

/// Two concurrent proposals, and a later one that lowers the minimum again.
const PROPOSALS: [MinimumVersion; 3] = [
    proposal(1, 1, NEW),
    proposal(1, 2, OLD),
    proposal(2, 1, OLD),
];

const fn proposal(revision: u64, proposer: u64, version: u64) -> MinimumVersion {
    MinimumVersion {
        revision,
        proposer,
        version,
    }
}

const UNCOMMITTED: &str = "a minimum version that no majority has held";
const ACCEPTED_BELOW: &str = "an attempt below the minimum version was accepted";

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// One member's reply is enough for a dispatcher.
    NoMajority,
    /// A node forgets the minimum version when it restarts.
    NodeForgets,
    /// A node enforces a minimum version that is not on its disk yet.
    EnforcedBeforeStored,
    /// A node decides by the version that the sender runs now.
    DecidesBySender,
    /// A node whose disk was lost accepts attempts before it has queried the quorum.
    LostDiskAccepts,
    /// A node that restarts before it has queried the quorum treats its empty disk as intact.
    EmptyDiskIsIntact,
    /// A node whose disk was lost uses the highest minimum that any member reports.
    UsesHighest,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Attempt {
    from: usize,
    version: u64,
    /// Index of the minimum version that it carries.
    carried: Option<usize>,
}

#[derive(Clone, Debug)]
struct World {
    members: Vec<QuorumMember<MinimumVersion>>,
    gates: [VersionGate; 2],
    running: [u64; 2],
    fence: Fence,
    disk: Option<usize>,
    /// How often the disk was lost, and whether it is lost now.
    losses: u8,
    lost: bool,
    /// Proposal that was reported to the node and is not on disk yet.
    pending: Option<usize>,
    /// All attempts sent. Each may arrive at any time, never, or repeatedly.
    attempts: Vec<Attempt>,
    // The remaining fields are only used by the check.
    /// Whether a majority has ever held each proposal.
    committed: [bool; 3],
    /// The latest proposal by which the node has rejected an attempt.
    rejected_by: Option<usize>,
    violation: Option<&'static str>,
}

fn proposal_index(minimum: MinimumVersion) -> usize {
    PROPOSALS
        .iter()
        .position(|proposal| *proposal == minimum)
        .expect("one of the proposals")
}

fn held_by(member: &QuorumMember<MinimumVersion>) -> Option<MinimumVersion> {
    member.entries().next().map(|entry| entry.proposal)
}

/// Returns the replies of a subset of the members, which is a bit mask.
fn replies(members: &[QuorumMember<MinimumVersion>], subset: usize) -> Vec<Option<MinimumVersion>> {
    let replying = members
        .iter()
        .enumerate()
        .filter(|(member, _)| subset >> member & 1 == 1);
    replying.map(|(_, member)| held_by(member)).collect()
}

fn start() -> World {
    World {
        members: vec![QuorumMember::default(); MEMBERS],
        gates: [VersionGate::default(); 2],
        running: [OLD, NEW],
        fence: Fence::restore(StoredState::Intact(None)),
        disk: None,
        losses: 0,
        lost: false,
        pending: None,
        attempts: Vec::new(),
        committed: [false; 3],
        rejected_by: None,
        violation: None,
    }
}

fn deliver(world: &mut World, attempt: &Attempt, mistake: Mistake) {
    if let Some(carried) = attempt.carried {
        if !world.committed[carried] {
            world.violation = Some(UNCOMMITTED);
        }
        if world.fence.should_store(PROPOSALS[carried]) {
            if mistake == Mistake::EnforcedBeforeStored {
                world.fence.apply_stored(PROPOSALS[carried]);
            }
            world.pending = Some(carried);
        }
    }
    let decided_by = if mistake == Mistake::DecidesBySender {
        world.running[attempt.from]
    } else {
        attempt.version
    };
    match world.fence.decide(decided_by) {
        FenceDecision::Accepted => check_accepted(world, attempt),
        FenceDecision::Fenced(minimum) => {
            let by = proposal_index(minimum);
            if world
                .rejected_by
                .is_none_or(|known| PROPOSALS[known].revision <= minimum.revision)
            {
                world.rejected_by = Some(by);
            }
            world.gates[attempt.from].apply_node_report(minimum);
        }
        FenceDecision::Unknown => {}
    }
}

/// Checks an accepted attempt against the latest minimum version that the node has rejected by or
/// has on disk.
fn check_accepted(world: &mut World, attempt: &Attempt) {
    let known = world.rejected_by.into_iter().chain(world.disk);
    let latest = known.max_by_key(|&by| PROPOSALS[by].revision);
    if latest.is_some_and(|by| attempt.version < PROPOSALS[by].version) {
        world.violation = Some(ACCEPTED_BELOW);
    }
}

/// Collects the successors of a state, in a fixed order.
struct Successors<'a> {
    world: &'a World,
    mistake: Mistake,
    all: Vec<World>,
}

impl Successors<'_> {
    fn step(&mut self, change: impl Fn(&mut World)) {
        let mut next = self.world.clone();
        change(&mut next);
        for (proposal, committed) in next.committed.iter_mut().enumerate() {
            let holds = next
                .members
                .iter()
                .filter(|member| held_by(member) == Some(PROPOSALS[proposal]))
                .count();
            *committed |= is_majority(holds, MEMBERS);
        }
        self.all.push(next);
    }

    fn quorum(&mut self) {
        for member in 0..MEMBERS {
            for proposal in PROPOSALS {
                self.step(|next| {
                    next.members[member].propose(proposal);
                });
            }
        }
    }

    fn dispatcher(&mut self, dispatcher: usize) {
        let members = match self.mistake {
            Mistake::NoMajority => 1,
            _ => MEMBERS,
        };
        for subset in 1..1 << MEMBERS {
            self.step(|next| {
                let replies = replies(&next.members, subset);
                next.gates[dispatcher].apply_quorum_replies(&replies, members);
            });
        }
        let running = self.world.running[dispatcher];
        if self.world.gates[dispatcher].fenced_by(running).is_none() {
            self.step(|next| {
                let attempt = Attempt {
                    from: dispatcher,
                    version: running,
                    carried: next.gates[dispatcher].minimum().map(proposal_index),
                };
                if !next.attempts.contains(&attempt) {
                    next.attempts.push(attempt);
                    next.attempts.sort();
                }
            });
        }
        // The dispatcher restarts and forgets the minimum version.
        self.step(|next| next.gates[dispatcher] = VersionGate::default());
    }

    fn messages(&mut self) {
        let mistake = self.mistake;
        for attempt in &self.world.attempts {
            self.step(|next| deliver(next, attempt, mistake));
        }
    }

    fn disk(&mut self) {
        let mistake = self.mistake;
        if let Some(pending) = self.world.pending {
            self.step(|next| {
                // A later minimum may have arrived from the quorum meanwhile: an older one must not
                // replace it on disk.
                if next.fence.should_store(PROPOSALS[pending]) {
                    next.disk = Some(pending);
                    next.fence.apply_stored(PROPOSALS[pending]);
                }
                next.pending = None;
            });
        }
        self.step(|next| {
            let on_disk = next
                .disk
                .filter(|_| mistake != Mistake::NodeForgets)
                .map(|proposal| PROPOSALS[proposal]);
            let lost = next.lost && mistake != Mistake::EmptyDiskIsIntact;
            next.fence = Fence::restore(match lost {
                true => StoredState::Lost,
                false => StoredState::Intact(on_disk),
            });
            next.pending = None;
        });
        if self.world.losses == 0 {
            self.step(|next| {
                next.fence = Fence::restore(match mistake {
                    Mistake::LostDiskAccepts => StoredState::Intact(None),
                    _ => StoredState::Lost,
                });
                (next.disk, next.pending, next.losses, next.lost) = (None, None, 1, true);
            });
        }
    }

    fn recovery(&mut self) {
        let mistake = self.mistake;
        for subset in 1..1 << MEMBERS {
            self.step(|next| {
                let replies = replies(&next.members, subset);
                let known = replies.iter().flatten();
                let highest = known.max_by_key(|minimum| minimum.revision).copied();
                if let Some(highest) = highest.filter(|_| mistake == Mistake::UsesHighest) {
                    next.fence = Fence::restore(StoredState::Intact(Some(highest)));
                    (next.disk, next.lost) = (Some(proposal_index(highest)), false);
                } else if next.fence.apply_quorum_replies(&replies, MEMBERS) {
                    (next.disk, next.lost) = (next.fence.minimum().map(proposal_index), false);
                }
            });
        }
    }
}

fn successors(world: &World, mistake: Mistake) -> Vec<World> {
    let mut successors = Successors {
        world,
        mistake,
        all: Vec::new(),
    };
    successors.quorum();
    successors.dispatcher(0);
    successors.dispatcher(1);
    successors.step(|next| next.running[0] = NEW);
    successors.messages();
    successors.disk();
    if world.lost {
        successors.recovery();
    }
    successors.all
}

fn search(mistake: Mistake, depth: usize) -> (Option<&'static str>, usize) {
    states::search(
        start(),
        depth,
        |world| successors(world, mistake),
        |world| world.violation,
    )
}

#[test]
fn no_attempt_below_a_known_minimum_version_takes_effect() {
    let (violation, states) = search(Mistake::None, 11);
    assert_eq!(violation, None);
    assert!(states > 50_000, "only {states} states");
}

#[test_case(Mistake::NoMajority, UNCOMMITTED)]
#[test_case(Mistake::NodeForgets, ACCEPTED_BELOW)]
#[test_case(Mistake::EnforcedBeforeStored, ACCEPTED_BELOW)]
#[test_case(Mistake::DecidesBySender, ACCEPTED_BELOW)]
#[test_case(Mistake::LostDiskAccepts, ACCEPTED_BELOW)]
#[test_case(Mistake::EmptyDiskIsIntact, ACCEPTED_BELOW)]
#[test_case(Mistake::UsesHighest, UNCOMMITTED)]
fn a_planted_mistake_is_found(mistake: Mistake, violation: &str) {
    assert_eq!(search(mistake, 12).0, Some(violation));
}
