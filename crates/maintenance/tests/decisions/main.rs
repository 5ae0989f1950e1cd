//! Compares decisions byte for byte with a recorded transcript: for seeded states of three quorum
//! members and eight machines, the decisions of a dispatcher that has replies from some of the
//! members. The transcript contains only stored names, numbers and messages, so that it does not
//! depend on names in the code.

mod states;

use corkspan_maintenance::cost::drain_order;
use corkspan_maintenance::lease_table::LeaseTable;
use corkspan_maintenance::quorum_view::{MachineStatus, MemberReply, QuorumView};
use corkspan_maintenance::reconcile::{ReconcileContext, reconcile};
use corkspan_maintenance::{ClaimId, LeaseId, Machine, MachineDomains};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use states::{MACHINES, MEMBERS, Quorum};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{Display, Write};

const EXPECTED: &str = include_str!("../data/decisions.txt");
const CASES: u64 = 200;

fn stored<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value)
        .expect("the type can be serialized")
        .replace('"', "")
}

fn reply(member: &LeaseTable) -> MemberReply {
    MemberReply {
        request: member.request().cloned(),
        leases: member.leases().clone(),
        outcomes: member.outcomes().collect(),
        withdrawn: member.withdrawn().collect(),
        votes: member.votes().collect(),
        costs: member.total_costs(3),
    }
}

/// The text to compare with the recorded file, built line by line.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn line(&mut self, line: impl Display) {
        writeln!(self.0, "{line}").expect("writing to a string succeeds");
    }

    fn leases(&mut self, what: &str, leases: &[LeaseId]) {
        for lease in leases {
            self.line(format_args!(
                " {what} {} {}",
                lease.machine.0, lease.claim.0
            ));
        }
    }

    fn view(&mut self, view: &QuorumView, statuses: &BTreeMap<Machine, MachineStatus>) {
        let revision = view.request.as_ref().map(|request| request.revision);
        let highest = view.highest_revision;
        self.line(format_args!(" request {revision:?} highest {highest}"));
        for observed in &view.leases {
            let (lease, phase) = (stored(&observed.lease), stored(&observed.phase));
            let (withdrawn, ended) = (observed.withdrawals, stored(&observed.outcome));
            let number = observed.machine.0;
            self.line(format_args!(
                " seen {number} {lease} at {phase} withdrawn {withdrawn} ended {ended}"
            ));
        }
        self.line(format_args!(" ended {}", stored(&view.outcomes)));
        for progress in view.unavailable() {
            let (lease, phase) = (progress.lease, stored(&progress.phase));
            let (machine, claim) = (lease.machine.0, lease.claim.0);
            self.line(format_args!(" out {machine} {claim} {phase}"));
        }
        self.leases("in-work", &view.drained(statuses));
        if let Some(request) = &view.request {
            let members = [0, 2, 9].map(Machine);
            let starts = view.check_start(&request.machines, &request.limits, &members);
            let starts = starts.map_or_else(|why| why.to_string(), |()| "yes".to_owned());
            self.line(format_args!(" may-begin {starts}"));
        }
    }

    fn actions(
        &mut self,
        view: &QuorumView,
        statuses: &BTreeMap<Machine, MachineStatus>,
        context: &ReconcileContext,
    ) {
        let actions = reconcile(view, statuses, context);
        if let Some(claim) = actions.claim {
            let (revision, slots) = (claim.revision, stored(&claim.slots));
            let (machine, claim) = (claim.lease.machine.0, claim.lease.claim.0);
            self.line(format_args!(
                " do claim {revision} {machine} {claim} {slots}"
            ));
        }
        self.leases("do withdraw", &actions.withdraw);
        for progress in &actions.advance {
            let (lease, phase) = (progress.lease, stored(&progress.phase));
            let (machine, claim) = (lease.machine.0, lease.claim.0);
            self.line(format_args!(" do advance {machine} {claim} {phase}"));
        }
        for release in &actions.release {
            let (lease, outcome) = (release.lease, stored(&release.outcome));
            let (machine, claim) = (lease.machine.0, lease.claim.0);
            self.line(format_args!(" do release {machine} {claim} {outcome}"));
        }
        self.leases("do close", &actions.cordon);
        self.leases("do open", &actions.uncordon);
        self.leases("do stop", &actions.stop);
    }

    fn add_case(&mut self, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let quorum = Quorum::seeded(&mut rng);
        let heard = [&[0, 1, 2][..], &[0, 1], &[1, 2], &[0, 2], &[1]][rng.random_range(0..9) / 2];
        self.line(format_args!("case {seed} heard {heard:?}"));
        let replies = heard.iter().map(|&member| reply(&quorum.members[member]));
        let replies: Vec<MemberReply> = replies.collect();
        let Some(view) = QuorumView::from_replies(&replies, MEMBERS) else {
            return self.line(" no majority");
        };
        let statuses = quorum.statuses(&mut rng);
        self.view(&view, &statuses);
        let mut polled = view.machines_to_poll(2, |count| rng.random_range(0..count));
        polled.retain(|_, claim| claim.is_none());
        let candidates: Vec<u32> = polled.keys().map(|machine| machine.0).collect();
        let costs: Vec<_> = replies.iter().map(|reply| reply.costs.clone()).collect();
        let order = drain_order((0..MACHINES).map(Machine), &costs);
        let order: Vec<u32> = order.into_iter().map(|machine| machine.0).collect();
        self.line(format_args!(" candidates {candidates:?} order {order:?}"));
        let claims = view.leases.iter().map(|observed| observed.lease.claim);
        let expired: BTreeSet<ClaimId> = claims.filter(|_| rng.random_range(0..4) == 0).collect();
        let mut unreachable = BTreeMap::new();
        if rng.random_range(0..4) == 0 {
            let domains = MachineDomains {
                zone: 1,
                cell: 2,
                machine_type: 1,
            };
            unreachable.insert(Machine(rng.random_range(0..12)), domains);
        }
        let context = ReconcileContext {
            members: MEMBERS,
            next_claim: ClaimId(1_000 + seed),
            may_claim: rng.random_range(0..5) > 0,
            expired: &expired,
            unreachable: &unreachable,
            hold_claims: rng.random_range(0..6) == 0,
        };
        self.actions(&view, &statuses, &context);
    }
}

#[test]
fn decisions_are_the_same_byte_for_byte() {
    let mut transcript = Transcript::default();
    (0..CASES).for_each(|seed| transcript.add_case(seed));
    let first_difference = transcript
        .0
        .lines()
        .zip(EXPECTED.lines())
        .position(|(now, expected)| now != expected);
    assert_eq!(
        first_difference, None,
        "index of the first line that differs"
    );
    assert_eq!(transcript.0, EXPECTED);
}

#[test]
fn the_transcript_holds_every_kind_of_decision() {
    for kind in [
        "no majority",
        "do claim",
        "do withdraw",
        "do advance",
        "do release",
        "do close",
        "do open",
        "do stop",
        "in-work",
        "may-begin yes",
        "[1,worked]",
        "[1,skipped]",
        " held\n",
        " closed\n",
        " handed\n",
        " returned\n",
    ] {
        let count = EXPECTED.matches(kind).count();
        assert!(count >= 1, "{kind}: {count} times");
    }
}
