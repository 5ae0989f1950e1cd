//! Faults planted in the protocol, each of which the search must find.

use crate::world::MEMBERS;
use corkspan_maintenance::quorum_view::{MachineStatus, MemberReply, QuorumView};
use corkspan_maintenance::reconcile::{Actions, Release};
use corkspan_maintenance::{JobOutcome, LeaseOutcome, LeasePhase, Machine};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Slots are released when the work is completed, before the machine is uncordoned and warm.
    ReleasesEarly,
    /// The report of a single member is enough to establish a phase.
    NoMajority,
    /// A machine does not remember which claims are finished.
    ForgetfulCordon,
    /// The machine is cordoned as soon as a majority holds the claim, before a majority knows that.
    CordonsWhenRequested,
    /// A withdrawn claim is released whatever its phase.
    WithdrawsAnyPhase,
    /// A machine is reported as drained as soon as it is cordoned.
    DrainedWhileRunning,
    /// A dispatcher that has seen the request aborted uncordons machines without a vote of the
    /// members.
    UncordonsWithoutVote,
}

impl Fault {
    /// Returns the number of members that the dispatcher assumes.
    pub fn members(self) -> usize {
        match self {
            Fault::NoMajority => 1,
            _ => MEMBERS,
        }
    }

    pub fn view(self, replies: &[MemberReply]) -> Option<QuorumView> {
        let mut view = QuorumView::from_replies(replies, self.members())?;
        if self == Fault::NoMajority {
            let majority = QuorumView::from_replies(replies, MEMBERS);
            view.request = majority.and_then(|view| view.request);
        }
        if self == Fault::CordonsWhenRequested {
            let requested = view
                .leases
                .iter_mut()
                .filter(|lease| lease.phase == Some(LeasePhase::Requested));
            requested.for_each(|lease| lease.phase = Some(LeasePhase::Granted));
        }
        Some(view)
    }

    pub fn change_statuses(self, statuses: &mut BTreeMap<Machine, MachineStatus>) {
        if self == Fault::DrainedWhileRunning {
            statuses.values_mut().for_each(|status| status.running = 0);
        }
    }

    pub fn change_actions(self, actions: &mut Actions, view: &QuorumView) {
        if self == Fault::ReleasesEarly {
            let completed = view
                .leases
                .iter()
                .filter(|lease| lease.phase == Some(LeasePhase::Completed));
            actions.release.extend(completed.map(|lease| Release {
                lease: lease.id(),
                outcome: Some(JobOutcome {
                    job: 1,
                    outcome: LeaseOutcome::Completed,
                }),
            }));
        }
        if self == Fault::UncordonsWithoutVote {
            let cancelled = actions
                .advance
                .iter()
                .filter(|progress| progress.phase == LeasePhase::Cancelled);
            let cancelled = cancelled.map(|progress| progress.lease);
            actions.uncordon.extend(cancelled);
        }
    }
}
