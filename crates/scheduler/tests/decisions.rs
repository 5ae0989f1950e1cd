//! Every answer of the decisions over seeded random walks, held against a recording: a change that
//! moves one decision, one draw or one order fails here.
//!
//! Of each walk the recording has one answer in five hundred and a hash of all. Where a decision is
//! changed on purpose, `CORKSPAN_RECORD=1 cargo test --test decisions` writes it anew.

// Not all of the stories' caller is needed here.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::interface::*;
use corkspan_scheduler::rules::Scheduler;
use fnv::FnvHasher;
use host::{SECOND, track};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::hash::Hasher;

const RECORDING: &str = include_str!("data/decisions.txt");
const KEPT_EVERY: usize = 500;
const MACHINES: u32 = 9;
const KINDS: [Amount; 2] = [
    Amount {
        cores: 16.0,
        memory: 40.0,
    },
    Amount {
        cores: 32.0,
        memory: 64.0,
    },
];

/// The answers so far, hashed, and some of them in full.
#[derive(Default)]
struct Transcript {
    hasher: FnvHasher,
    count: usize,
    kept: String,
}

impl Transcript {
    fn add(&mut self, now: Tenths, answer: &str) {
        let line = format!("{now} {answer}\n");
        self.hasher.write(line.as_bytes());
        if self.count.is_multiple_of(KEPT_EVERY) {
            self.kept.push_str(&line);
        }
        self.count += 1;
    }
}

/// How much is asked of the machines, and by how many services of each track.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    steps: u64,
    asks: f64,
    services: usize,
    unused: (f64, f64),
}

/// So much that some wait, and so little that some machines are not needed.
const LOADS: [Load; 2] = [
    Load {
        name: "crowded",
        steps: 4_000,
        asks: 1.0,
        services: 3,
        unused: (0.05, 0.9),
    },
    Load {
        name: "quiet",
        steps: 12_000,
        asks: 0.15,
        services: 1,
        unused: (0.85, 1.0),
    },
];

/// A caller that does at random whatever callers may do.
struct Walk {
    scheduler: Scheduler,
    cluster: Cluster,
    load: Load,
    rng: Pcg64Mcg,
    now: Tenths,
    ids: u64,
    started: Vec<Option<Tenths>>,
    waiting: Vec<Allocation>,
    pending: Vec<Allocation>,
    placed: Vec<Allocation>,
    transcript: Transcript,
}

fn machine(id: u32) -> Entry {
    Entry {
        machine: MachineId(id),
        kind: KindId(id as usize % 2),
        hall: HallId(id as usize / 2 % 2),
        cell: CellId(u64::from(id / 3)),
        state: State::Serving,
        started: None,
        unasked: None,
    }
}

impl Walk {
    fn new(cluster: &Cluster, load: Load, seed: u64) -> Self {
        let now = 100 * SECOND;
        let mut scheduler = Scheduler::new(cluster.clone(), seed, now);
        let entries: Vec<Entry> = (0..MACHINES - 2).map(machine).collect();
        scheduler.listed(Scope::Remembered, &entries);
        Walk {
            scheduler,
            cluster: cluster.clone(),
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            ids: 0,
            started: vec![None; MACHINES as usize],
            waiting: Vec::new(),
            pending: Vec::new(),
            placed: Vec::new(),
            transcript: Transcript::default(),
        }
    }

    fn any(&mut self, many: usize) -> usize {
        self.rng.random_range(0..many)
    }

    fn share(&mut self) -> Amount {
        Amount {
            cores: self.rng.random(),
            memory: self.rng.random(),
        }
    }

    fn report(&mut self, id: u32) -> Option<Report> {
        let (least, most) = self.load.unused;
        let mut share = || self.rng.random_range(least..most);
        let unused = Amount {
            cores: share(),
            memory: share(),
        };
        let unused = unused * KINDS[id as usize % 2];
        self.rng.random_bool(0.6).then_some(Report { unused })
    }

    fn new_allocation(&mut self) -> Allocation {
        self.ids += 1;
        let large = match self.rng.random_range(0..30) {
            0 => 0.8,
            1..=4 => 0.25,
            _ => 0.1,
        };
        let track = self.any(self.cluster.tracks.len());
        Allocation {
            id: AllocationId(self.ids),
            service: ServiceId(
                (track + self.cluster.tracks.len() * self.any(self.load.services)) as u64,
            ),
            track: TrackId(track),
            account: AccountId(self.any(self.cluster.accounts.len())),
            asks: (self.share() * 0.9 + Amount::ONE * 0.1) * KINDS[1] * (large * self.load.asks),
            taken: self.now,
            abandon: self.now + self.rng.random_range(30..6 * SECOND),
            shots: Vec::new(),
        }
    }

    fn place(&mut self, mut allocation: Allocation) {
        let placement = self.scheduler.place(self.now, &allocation);
        let answer = match placement {
            Placement::Send { machine, time_out } => {
                allocation.shots.push(Shot {
                    machine,
                    sent: self.now,
                    fate: Fate::Pending,
                });
                format!("dispatch to {} within {time_out}", machine.0)
            }
            Placement::NotYet => "defer".into(),
            Placement::Shed => "shed".into(),
            Placement::Scrap => "indeterminate".into(),
        };
        let answer = format!("place {}: {answer}", allocation.id.0);
        self.transcript.add(self.now, &answer);
        match placement {
            Placement::Send { .. } => self.pending.push(allocation),
            Placement::NotYet => self.waiting.push(allocation),
            _ => {}
        }
    }

    fn after(&mut self, allocation: Allocation, outcome: Outcome) {
        let shot = allocation.shots.len() - 1;
        let next = self.scheduler.after(self.now, &allocation, shot, outcome);
        let answer = match next {
            After::Rest => "nothing",
            After::PlaceAgain => "place again",
            After::Shed => "shed",
            After::Scrap => "indeterminate",
        };
        let answer = format!("after {}: {answer}", allocation.id.0);
        self.transcript.add(self.now, &answer);
        match (next, outcome) {
            (After::PlaceAgain, _) => self.place(allocation),
            (_, Outcome::Placed) => self.placed.push(allocation),
            _ => {}
        }
    }

    fn returned(&mut self, mut allocation: Allocation, ending: Ending, over: bool) {
        let reasons = [
            None,
            Some(Reason::NoCores),
            Some(Reason::NoMemory),
            Some(Reason::QueueFull),
            Some(Reason::NotHere),
            Some(Reason::Evicted),
            Some(Reason::PushedOut),
            Some(Reason::SentAway),
        ];
        let reason = reasons[self.any(reasons.len())];
        let shot = allocation.shots.last_mut().unwrap();
        let report = self.report(shot.machine.0);
        shot.fate = match ending {
            Ending::Refused | Ending::Unconnected | Ending::NotSent => Fate::NeverRan,
            _ => Fate::MayHaveRun,
        };
        let outcome = Outcome::Returned {
            ending,
            reason,
            over,
            report,
        };
        self.after(allocation, outcome);
    }

    /// Asks how long to wait until nothing more is to be looked at.
    fn rest(&mut self) -> Tenths {
        loop {
            let wait = self.scheduler.wait(self.now);
            let mut answer = format!("wait {}", wait.time);
            if wait.watch_list {
                answer.push_str(" watch");
            }
            if wait.ask_again {
                answer.push_str(" retry");
            }
            if let Some(end) = wait.ends {
                let _ = write!(answer, " up to {end}");
            }
            for id in &wait.probes {
                let _ = write!(answer, " probe {}", id.0);
            }
            for id in &wait.moves {
                let _ = write!(answer, " move {}", id.0);
            }
            for id in &wait.lost {
                let _ = write!(answer, " lost {}", id.0);
            }
            self.transcript.add(self.now, &answer);
            let gone: Vec<AllocationId> = wait.moves.iter().chain(&wait.lost).copied().collect();
            for id in gone {
                // Some take their time; the rest are met by whatever comes by chance.
                let at = self.placed.iter().position(|one| one.id == id);
                if let Some(at) = at.filter(|_| self.rng.random_bool(0.7)) {
                    let allocation = self.placed.swap_remove(at);
                    self.returned(allocation, Ending::Cancelled, true);
                }
            }
            if wait.ask_again || wait.ends.is_some() {
                for allocation in std::mem::take(&mut self.waiting) {
                    if wait.ends.is_none_or(|end| allocation.abandon <= end) {
                        self.place(allocation);
                    } else {
                        self.waiting.push(allocation);
                    }
                }
                if wait.ends.is_some() && self.waiting.is_empty() {
                    self.scheduler.none_waits();
                }
            }
            if !wait.ask_again {
                return wait.time;
            }
        }
    }

    fn list(&mut self, id: u32) {
        let states = [
            State::Serving,
            State::Serving,
            State::Serving,
            State::Draining,
            State::Gone,
        ];
        let state = states[self.any(states.len())];
        if self.rng.random_bool(0.4) {
            self.started[id as usize] = Some(self.now.saturating_sub(self.rng.random_range(0..50)));
        }
        let unasked = KINDS[id as usize % 2] * self.rng.random_range(self.load.unused.0 - 0.2..1.5);
        let entry = Entry {
            state,
            started: self.started[id as usize],
            unasked: self.rng.random_bool(0.8).then_some(unasked),
            ..machine(id)
        };
        if !self.rng.random_bool(0.05) {
            return self.scheduler.listed(Scope::Changes, &[entry]);
        }
        let others = (0..MACHINES)
            .filter(|&other| other != id)
            .map(|other| Entry {
                started: self.started[other as usize],
                ..machine(other)
            });
        let entries: Vec<Entry> = others.chain([entry]).collect();
        self.scheduler.listed(Scope::Whole, &entries);
    }

    fn adopt(&mut self) {
        let mut cluster = self.cluster.clone();
        cluster.accepts.cores = self.rng.random_range(1.0..3.0);
        cluster.cold.offers = self.rng.random_range(2.0..9.0);
        if self.rng.random_bool(0.2) {
            cluster.schedulers = 1 + self.any(4);
            cluster.number = self.any(cluster.schedulers);
        }
        self.scheduler.adopt(self.now, cluster);
    }

    fn take_over(&mut self) {
        let mut allocation = self.new_allocation();
        let machine = MachineId(self.rng.random_range(0..MACHINES));
        allocation.shots.push(Shot {
            machine,
            sent: self.now,
            fate: Fate::MayHaveRun,
        });
        self.scheduler.taken_over(self.now, &allocation, machine);
        self.placed.push(allocation);
    }

    fn note(&mut self) {
        let at = self.any(self.placed.len());
        let (id, asks) = (self.placed[at].id, self.placed[at].asks);
        let uses = asks * self.rng.random_range(0.1..1.3);
        let notes = [
            Note::Runs,
            Note::Cores(uses.cores),
            Note::Memory(uses.memory),
            Note::Served(0.5),
            Note::MachineMemory(0.9),
        ];
        let note = notes[self.any(notes.len())];
        self.scheduler.noted(self.now, id, note);
    }

    /// Something that happens to one of those that are out or placed.
    fn answer(&mut self) {
        if !self.pending.is_empty() && self.rng.random_bool(0.6) {
            let at = self.any(self.pending.len());
            let allocation = self.pending.swap_remove(at);
            let endings = [
                Ending::Refused,
                Ending::Refused,
                Ending::TimedOut,
                Ending::Error,
                Ending::Unconnected,
                Ending::Reset,
                Ending::NotSent,
                Ending::Cancelled,
            ];
            if self.rng.random_bool(0.7) {
                return self.after(allocation, Outcome::Placed);
            }
            let ending = endings[self.any(endings.len())];
            return self.returned(allocation, ending, false);
        }
        if !self.placed.is_empty() {
            let at = self.any(self.placed.len());
            let allocation = self.placed.swap_remove(at);
            let endings = [Ending::Ended, Ending::Ended, Ending::Ended, Ending::Reset];
            let ending = endings[self.any(endings.len())];
            self.returned(allocation, ending, true);
        }
    }

    fn step(&mut self, longest: Tenths) {
        self.now += match self.rng.random_range(0..200) {
            0 => self.rng.random_range(0..6 * SECOND),
            1..=60 => 0,
            _ => self.rng.random_range(0..=longest.max(1)),
        };
        let id = self.rng.random_range(0..MACHINES);
        match self.rng.random_range(0..100) {
            0..=24 => {
                let allocation = self.new_allocation();
                self.place(allocation);
            }
            25..=44 => self.answer(),
            45..=69 if !self.placed.is_empty() => self.note(),
            70..=74 => {
                let report = self.report(id);
                let endings = [
                    Ending::Ended,
                    Ending::Ended,
                    Ending::TimedOut,
                    Ending::Error,
                ];
                let ending = endings[self.any(endings.len())];
                self.scheduler
                    .probed(self.now, MachineId(id), ending, report);
            }
            75..=78 => self.list(id),
            79 if self.rng.random_bool(0.3) => self.scheduler.list_failed(self.now),
            80 if self.rng.random_bool(0.3) => self.adopt(),
            81 => self.take_over(),
            82..=83 => {
                let shot = self
                    .pending
                    .last()
                    .and_then(|one| one.shots.last())
                    .cloned();
                if let Some(shot) = shot {
                    self.scheduler.left(self.now, shot.machine, shot.sent);
                }
            }
            84 => {
                let now = self.now;
                self.waiting.pop_if(|one| now + SECOND < one.abandon);
            }
            _ => {}
        }
    }
}

fn tracks() -> Vec<Track> {
    let plain = Track {
        contract_time: 2 * SECOND,
        calm: 0.9,
        ..track(Repeat::Idempotent)
    };
    let deduplicated = |within| Repeat::Deduplicated {
        within,
        window: 2 * SECOND,
    };
    vec![
        plain.clone(),
        Track {
            repeat: deduplicated(None),
            priority: 1,
            spread: Some((Place::Hall, 4)),
            ..plain.clone()
        },
        Track {
            repeat: deduplicated(Some(Place::Cell)),
            priority: 2,
            spread: Some((Place::Cell, 3)),
            ..plain.clone()
        },
        Track {
            repeat: deduplicated(Some(Place::Hall)),
            calm: 0.7,
            ..plain.clone()
        },
        Track {
            repeat: Repeat::Unrepeatable,
            spread: Some((Place::Machine, 2)),
            ..plain.clone()
        },
        Track {
            kind: Some(KindId(1)),
            priority: 3,
            ..plain
        },
    ]
}

/// What differs between clusters: what machines and the list tell, and how many share them.
fn clusters() -> Vec<(&'static str, Cluster)> {
    let account = |share_cores| Account { share_cores };
    let alone = Cluster {
        kinds: KINDS.to_vec(),
        tracks: tracks(),
        accounts: vec![account(None), account(Some(30.0)), account(Some(4.0))],
        accepts: Amount {
            cores: 2.0,
            memory: 1.3,
        },
        shots: 4,
        may_probe: true,
        other_hall_price: 0.1,
        ..host::cluster(track(Repeat::Idempotent))
    };
    let listed = Cluster {
        shows_room: true,
        placed_runs: false,
        ..alone.clone()
    };
    let shared = Cluster {
        number: 1,
        schedulers: 3,
        opens_within: 2_500,
        tells_loss: false,
        ..alone.clone()
    };
    let pushed_out = Cluster {
        makes_room: true,
        may_probe: false,
        ask_list: None,
        other_hall_price: 0.0,
        shots: 2,
        ..listed.clone()
    };
    vec![
        ("alone", alone),
        ("room is listed", listed),
        ("shared by three", shared),
        ("lower priorities are pushed out", pushed_out),
    ]
}

fn transcript(cluster: &Cluster, load: Load, seed: u64) -> Transcript {
    let mut walk = Walk::new(cluster, load, seed);
    let mut longest = walk.rest();
    for _ in 0..load.steps {
        walk.step(longest);
        longest = walk.rest();
    }
    // Whether as many draws were taken, the last answer tells too.
    let last = format!("last draw {}", walk.rng.next_u64());
    walk.transcript.add(walk.now, &last);
    walk.transcript
}

#[test]
fn every_answer_is_as_recorded() {
    let mut text = String::new();
    for (name, cluster) in clusters() {
        for (load, seed) in [(LOADS[0], 1), (LOADS[0], 2), (LOADS[1], 3), (LOADS[1], 4)] {
            let transcript = transcript(&cluster, load, seed);
            let (count, hash) = (transcript.count, transcript.hasher.finish());
            let _ = writeln!(
                text,
                "# {name}, {}, seed {seed}: {count} answers, {hash:016x}",
                load.name
            );
            text.push_str(&transcript.kept);
        }
    }
    if std::env::var_os("CORKSPAN_RECORD").is_some() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/decisions.txt");
        std::fs::write(path, &text).unwrap();
        panic!("recorded anew, compared with nothing");
    }
    for (answer, recorded) in std::iter::zip(text.lines(), RECORDING.lines()) {
        assert_eq!(answer, recorded);
    }
    assert!(text == RECORDING, "transcripts of another length");
}
