//! Who waits is looked at again only when it may matter: held, call by call, against looks at all
//! of them every time.

// Not all of the stories' caller is needed here.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::interface::*;
use corkspan_scheduler::rules::Scheduler;
use host::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// The same calls go to one that leaves looks out and to one that never does.
struct Both {
    leaves_out: Scheduler,
    looks: Scheduler,
    now: Tenths,
    waiting: Vec<Allocation>,
    running: Vec<Allocation>,
    /// When the one that leaves out wants to be asked at the latest.
    due: Tenths,
    /// Looks by the one and by the other, and what was placed for those that had waited.
    counts: [usize; 3],
}

impl Both {
    fn new(cluster: Cluster, seed: u64, machines: u32) -> Self {
        let now = 100 * SECOND;
        let new = || {
            let mut scheduler = Scheduler::new(cluster.clone(), seed, now);
            scheduler.listed(
                Scope::Remembered,
                &(0..machines).map(entry).collect::<Vec<_>>(),
            );
            scheduler
        };
        let (leaves_out, looks) = (new(), new().always_looking());
        Both {
            leaves_out,
            looks,
            now,
            waiting: Vec::new(),
            running: Vec::new(),
            due: now,
            counts: [0; 3],
        }
    }

    fn tell(&mut self, mut call: impl FnMut(&mut Scheduler)) {
        call(&mut self.leaves_out);
        call(&mut self.looks);
    }

    /// One comes. It is asked for at both.
    fn comes(&mut self, allocation: Allocation) {
        let answers =
            [&mut self.leaves_out, &mut self.looks].map(|one| one.place(self.now, &allocation));
        assert_eq!(answers[0], answers[1], "at {}: {allocation:?}", self.now);
        self.answered(allocation, answers[1]);
    }

    fn answered(&mut self, mut allocation: Allocation, answer: Placement) {
        match answer {
            // Asked for again at the moment at which it came it would count as one more.
            Placement::NotYet => self.waiting.push(Allocation {
                taken: 0,
                ..allocation
            }),
            Placement::Send { machine, .. } => {
                allocation.shots.push(Shot {
                    machine,
                    sent: self.now,
                    fate: Fate::Pending,
                });
                self.running.push(allocation);
            }
            _ => {}
        }
    }

    fn returns(
        &mut self,
        index: usize,
        ending: Ending,
        reason: Option<Reason>,
        report: Option<Report>,
    ) {
        let mut allocation = self.running.swap_remove(index);
        let (now, shot) = (self.now, allocation.shots.len() - 1);
        let never = matches!(ending, Ending::Refused | Ending::Unconnected);
        allocation.shots[shot].fate = if never {
            Fate::NeverRan
        } else {
            Fate::MayHaveRun
        };
        let outcome = Outcome::Returned {
            ending,
            reason,
            over: ending == Ending::Ended,
            report,
        };
        let answers = [&mut self.leaves_out, &mut self.looks]
            .map(|one| one.after(now, &allocation, shot, outcome));
        assert_eq!(answers[0], answers[1]);
        if answers[0] == After::PlaceAgain {
            self.comes(allocation);
        }
    }

    /// Both are asked how long to wait. A look that the one leaves out must be in vain at the
    /// other.
    fn rests(&mut self, nothing_said: bool) -> Wait {
        let [one, other] = [&mut self.leaves_out, &mut self.looks].map(|one| one.wait(self.now));
        assert!(
            !one.ask_again || other.ask_again,
            "at {}: a look that is not due",
            self.now
        );
        assert!(
            !(one.ask_again && nothing_said) || self.due <= self.now,
            "it would have slept"
        );
        assert_eq!(
            (&one.probes, &one.moves, &one.lost),
            (&other.probes, &other.moves, &other.lost)
        );
        self.due = self.now + one.time;
        if other.ask_again {
            for allocation in std::mem::take(&mut self.waiting) {
                let asked = one.ask_again && one.ends.is_none_or(|end| allocation.abandon <= end);
                let answer = self.looks.place(self.now, &allocation);
                let mine = if asked {
                    self.leaves_out.place(self.now, &allocation)
                } else {
                    Placement::NotYet
                };
                assert_eq!(
                    mine, answer,
                    "at {}, asked: {asked}, {allocation:?}",
                    self.now
                );
                self.counts[0] += usize::from(asked);
                self.counts[1] += 1;
                self.counts[2] += usize::from(matches!(answer, Placement::Send { .. }));
                self.answered(allocation, answer);
            }
        }
        if one.ends.is_some() && self.waiting.is_empty() {
            self.leaves_out.none_waits();
        }
        if other.ask_again && one.ask_again {
            return self.rests(false);
        }
        other
    }
}

fn walks(cluster: &Cluster, seed: u64, steps: usize) -> [usize; 3] {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let machines = rng.random_range(1..6);
    let mut both = Both::new(cluster.clone(), seed, machines);
    let mut started = vec![None; machines as usize];
    let mut wait = both.rests(false);
    for number in 0..steps as u64 {
        let most = if rng.random_bool(0.01) {
            3 * SECOND
        } else {
            wait.time.max(1)
        };
        // A clock that stands still, moves on, or has jumped.
        both.now += rng.random_range(0..=most);
        let id = rng.random_range(0..machines);
        let share = |rng: &mut Pcg64Mcg| Amount {
            cores: rng.random(),
            memory: rng.random(),
        };
        let unused = share(&mut rng) * SIZE * if rng.random_bool(0.7) { 0.2 } else { 0.8 };
        let report = rng.random_bool(0.5).then_some(Report { unused });
        let (now, running) = (both.now, both.running.len());
        let event = if rng.random_bool(0.9) {
            99
        } else {
            rng.random_range(0..14)
        };
        match event {
            0..=2 => {
                let large = if rng.random_bool(0.2) { 0.6 } else { 0.15 };
                let allocation = Allocation {
                    id: AllocationId(number),
                    service: ServiceId(rng.random_range(0..4)),
                    track: TrackId(0),
                    account: AccountId(rng.random_range(0..2)),
                    asks: (share(&mut rng) + Amount::ONE * 0.05) * SIZE * large,
                    taken: now,
                    abandon: now + rng.random_range(50..8 * SECOND),
                    shots: Vec::new(),
                };
                let track = TrackId(allocation.service.0 as usize % cluster.tracks.len());
                both.comes(Allocation {
                    track,
                    ..allocation
                });
            }
            3 => both
                .tell(|one| one.probed(now, MachineId(id), Ending::Ended, Some(Report { unused }))),
            4 if running > 0 => {
                both.returns(rng.random_range(0..running), Ending::Ended, None, report)
            }
            5 if running > 0 => {
                let endings = [
                    Ending::Refused,
                    Ending::TimedOut,
                    Ending::Error,
                    Ending::Unconnected,
                    Ending::Reset,
                ];
                let reasons = [
                    None,
                    Some(Reason::NoCores),
                    Some(Reason::QueueFull),
                    Some(Reason::Evicted),
                ];
                let ending = endings[rng.random_range(0..endings.len())];
                let reason = reasons[rng.random_range(0..reasons.len())];
                both.returns(rng.random_range(0..running), ending, reason, report);
            }
            6..=8 if running > 0 => {
                let allocation = both.running[rng.random_range(0..running)].clone();
                let use_ = allocation.asks * rng.random_range(0.1..1.2);
                let notes = [
                    Note::Runs,
                    Note::Cores(use_.cores),
                    Note::Memory(use_.memory),
                ];
                let note = notes[rng.random_range(0..notes.len())];
                let shot = allocation.shots.len() - 1;
                both.tell(|one| {
                    one.after(now, &allocation, shot, Outcome::Placed);
                    one.noted(now, allocation.id, note);
                });
            }
            9 => {
                let states = [State::Serving, State::Serving, State::Draining, State::Gone];
                let state = states[rng.random_range(0..states.len())];
                if rng.random_bool(0.3) {
                    started[id as usize] = Some(now);
                }
                let unasked = rng.random_bool(0.7).then_some(unused);
                let entry = Entry {
                    state,
                    started: started[id as usize],
                    unasked,
                    ..entry(id)
                };
                let scope = if rng.random_bool(0.1) {
                    Scope::Whole
                } else {
                    Scope::Changes
                };
                both.tell(|one| one.listed(scope, &[entry]));
            }
            10 if rng.random_bool(0.2) => {
                let accepts = Amount {
                    cores: rng.random_range(1.0..3.0),
                    memory: 1.5,
                };
                let cluster = Cluster {
                    accepts,
                    ..cluster.clone()
                };
                both.tell(|one| one.adopt(now, cluster.clone()));
            }
            11 if running > 0 => {
                let last = both.running[running - 1].shots.last().cloned();
                last.into_iter()
                    .for_each(|shot| both.tell(|one| one.left(now, shot.machine, shot.sent)));
            }
            12 => both.tell(|one| one.probed(now, MachineId(id), Ending::TimedOut, None)),
            13 if rng.random_bool(0.1) => {
                // Its owner wants it no longer, and not in its last moment.
                both.waiting
                    .pop_if(|allocation| now + SECOND < allocation.abandon);
            }
            _ => {}
        }
        wait = both.rests(event == 99);
    }
    both.counts
}

fn tracks() -> Vec<Track> {
    let plain = Track {
        contract_time: 2 * SECOND,
        calm: 0.9,
        ..track(Repeat::Idempotent)
    };
    let again = Repeat::Deduplicated {
        within: Some(Place::Cell),
        window: 5 * SECOND,
    };
    let spread = Track {
        spread: Some((Place::Hall, 2)),
        repeat: again,
        ..plain.clone()
    };
    vec![
        plain.clone(),
        Track {
            priority: 1,
            ..spread
        },
        Track {
            repeat: Repeat::Unrepeatable,
            ..plain
        },
    ]
}

#[test_case(false, false, 1; "one that few share, by what is told")]
#[test_case(true, false, 3; "room is listed")]
#[test_case(true, true, 1; "room is listed and lower priorities are pushed out")]
fn a_look_that_is_left_out_would_have_been_in_vain(
    shows_room: bool,
    makes_room: bool,
    schedulers: usize,
) {
    let account = |share| Account {
        share_cores: Some(share),
    };
    let cluster = Cluster {
        schedulers,
        tracks: tracks(),
        accounts: vec![account(20.0), account(200.0)],
        shows_room,
        makes_room,
        may_probe: true,
        tells_loss: false,
        ..cluster(track(Repeat::Idempotent))
    };
    let mut all = [0; 3];
    for seed in 0..150 {
        let counts = walks(&cluster, seed, 4_000);
        (0..3).for_each(|at| all[at] += counts[at]);
    }
    assert!(
        all[2] > 500 && all[0] * 4 < all[1] * 3,
        "too few that waited, or none left out: {all:?}"
    );
}

/// Starts were long, so a crowded machine could not bear one more. What is learnt of others' starts
/// changes that.
#[test]
fn one_that_waits_is_looked_at_again_when_starts_turn_out_to_be_short() {
    let mut host = Host::new(cluster(track(Repeat::Idempotent)), 1, 1);
    let sends = |host: &mut Host, services: &[u64]| -> Vec<Allocation> {
        let mut sent: Vec<_> = services
            .iter()
            .map(|&service| host.ask(service, 0.1, 0.1))
            .collect();
        sent.iter_mut()
            .for_each(|allocation| assert!(host.sent_to(allocation).is_some()));
        sent
    };
    // With and without the program in place.
    let long = sends(&mut host, &[1, 1]);
    host.now += 20 * SECOND;
    long.iter()
        .for_each(|allocation| host.scheduler.noted(host.now, allocation.id, Note::Runs));
    let short = sends(&mut host, &[2, 2, 2, 4, 4, 4]);
    host.reports(0, 39.5, 10.0);
    host.now += SECOND / 4;
    let mut waits = host.ask(3, 0.5, 1.0);
    assert_eq!(host.place(&mut waits), Placement::NotYet);
    let step = |host: &mut Host| {
        host.now += SECOND / 20;
        host.scheduler.wait(host.now).ask_again
    };
    assert!(step(&mut host));
    assert_eq!(host.place(&mut waits), Placement::NotYet);
    assert!(!step(&mut host), "nothing has changed");
    short
        .iter()
        .for_each(|allocation| host.scheduler.noted(host.now, allocation.id, Note::Runs));
    assert!(step(&mut host));
    assert!(host.sent_to(&mut waits).is_some());
}
