//! Every answer of the decisions over seeded random walks, held against a recording: a change that
//! moves one decision, one draw or one order fails here.
//!
//! Of each walk the recording has one answer in five hundred and a hash of all. Where a decision is
//! changed on purpose, `CORKSPAN_RECORD=1 cargo test --test decisions` writes it anew.

// Not all of the stories' caller is needed here.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use fnv::FnvHasher;
use host::{SECOND, track};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::hash::Hasher;

const RECORDING: &str = include_str!("data/decisions.txt");
const KEPT_EVERY: usize = 500;
const MACHINES: u32 = 9;
const KINDS: [Resources; 2] = [
    Resources {
        cores: 16.0,
        memory: 40.0,
    },
    Resources {
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
    fn add(&mut self, now: Ticks, answer: &str) {
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
    now: Ticks,
    ids: u64,
    started: Vec<Option<Ticks>>,
    waiting: Vec<Allocation>,
    pending: Vec<Allocation>,
    placed: Vec<Allocation>,
    transcript: Transcript,
}

fn machine(id: u32) -> Endpoint {
    Endpoint {
        machine: MachineId(id),
        machine_type: MachineTypeId(id as usize % 2),
        zone: ZoneId(id as usize / 2 % 2),
        cell: CellId(u64::from(id / 3)),
        state: MachineState::Serving,
        started_at: None,
        unreserved: None,
    }
}

impl Walk {
    fn new(cluster: &Cluster, load: Load, seed: u64) -> Self {
        let now = 100 * SECOND;
        let mut scheduler = Scheduler::new(cluster.clone(), seed, now);
        let entries: Vec<Endpoint> = (0..MACHINES - 2).map(machine).collect();
        scheduler.apply_endpoint_list(ListUpdate::Cached, &entries);
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

    fn share(&mut self) -> Resources {
        Resources {
            cores: self.rng.random(),
            memory: self.rng.random(),
        }
    }

    fn report(&mut self, id: u32) -> Option<LoadReport> {
        let (least, most) = self.load.unused;
        let mut share = || self.rng.random_range(least..most);
        let unused = Resources {
            cores: share(),
            memory: share(),
        };
        let unused = unused * KINDS[id as usize % 2];
        self.rng
            .random_bool(0.6)
            .then_some(LoadReport { available: unused })
    }

    fn new_allocation(&mut self) -> Allocation {
        self.ids += 1;
        let large = match self.rng.random_range(0..30) {
            0 => 0.8,
            1..=4 => 0.25,
            _ => 0.1,
        };
        let track = self.any(self.cluster.service_classes.len());
        Allocation {
            id: AllocationId(self.ids),
            service: ServiceId(
                (track + self.cluster.service_classes.len() * self.any(self.load.services)) as u64,
            ),
            service_class: ServiceClassId(track),
            tenant: TenantId(self.any(self.cluster.tenants.len())),
            requested: (self.share() * 0.9 + Resources::ONE * 0.1)
                * KINDS[1]
                * (large * self.load.asks),
            accepted_at: self.now,
            deadline: self.now + self.rng.random_range(30..6 * SECOND),
            attempts: Vec::new(),
        }
    }

    fn place(&mut self, mut allocation: Allocation) {
        let placement = self.scheduler.place(self.now, &allocation);
        let answer = match placement {
            Placement::Dispatch { machine, timeout } => {
                allocation.attempts.push(Attempt {
                    machine,
                    sent_at: self.now,
                    state: AttemptState::Pending,
                });
                format!("dispatch to {} within {timeout}", machine.0)
            }
            Placement::Deferred => "defer".into(),
            Placement::Shed => "shed".into(),
            Placement::Indeterminate => "indeterminate".into(),
        };
        let answer = format!("place {}: {answer}", allocation.id.0);
        self.transcript.add(self.now, &answer);
        match placement {
            Placement::Dispatch { .. } => self.pending.push(allocation),
            Placement::Deferred => self.waiting.push(allocation),
            _ => {}
        }
    }

    fn after(&mut self, allocation: Allocation, outcome: Outcome) {
        let shot = allocation.attempts.len() - 1;
        let next = self
            .scheduler
            .on_outcome(self.now, &allocation, shot, outcome);
        let answer = match next {
            NextStep::Done => "nothing",
            NextStep::Retry => "place again",
            NextStep::Shed => "shed",
            NextStep::Indeterminate => "indeterminate",
        };
        let answer = format!("after {}: {answer}", allocation.id.0);
        self.transcript.add(self.now, &answer);
        match (next, outcome) {
            (NextStep::Retry, _) => self.place(allocation),
            (_, Outcome::Placed) => self.placed.push(allocation),
            _ => {}
        }
    }

    fn returned(&mut self, mut allocation: Allocation, ending: AttemptResult, finished: bool) {
        let reasons = [
            None,
            Some(ReturnReason::NoCores),
            Some(ReturnReason::NoMemory),
            Some(ReturnReason::QueueFull),
            Some(ReturnReason::Unfit),
            Some(ReturnReason::Evicted),
            Some(ReturnReason::Preempted),
            Some(ReturnReason::Migrated),
        ];
        let reason = reasons[self.any(reasons.len())];
        let shot = allocation.attempts.last_mut().unwrap();
        let report = self.report(shot.machine.0);
        shot.state = match ending {
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent => {
                AttemptState::NotExecuted
            }
            _ => AttemptState::PossiblyExecuted,
        };
        let outcome = Outcome::Returned {
            ending,
            reason,
            finished,
            report,
        };
        self.after(allocation, outcome);
    }

    /// Asks how long to wait until nothing more is to be looked at.
    fn rest(&mut self) -> Ticks {
        loop {
            let wait = self.scheduler.poll(self.now);
            let mut answer = format!("wait {}", wait.next_poll);
            if wait.watch_endpoints {
                answer.push_str(" watch");
            }
            if wait.retry_deferred {
                answer.push_str(" retry");
            }
            if let Some(end) = wait.retry_deadline_limit {
                let _ = write!(answer, " up to {end}");
            }
            for id in &wait.health_checks {
                let _ = write!(answer, " probe {}", id.0);
            }
            for id in &wait.migrations {
                let _ = write!(answer, " move {}", id.0);
            }
            for id in &wait.lost {
                let _ = write!(answer, " lost {}", id.0);
            }
            self.transcript.add(self.now, &answer);
            let gone: Vec<AllocationId> =
                wait.migrations.iter().chain(&wait.lost).copied().collect();
            for id in gone {
                // Some take their time; the rest are met by whatever comes by chance.
                let at = self.placed.iter().position(|one| one.id == id);
                if let Some(at) = at.filter(|_| self.rng.random_bool(0.7)) {
                    let allocation = self.placed.swap_remove(at);
                    self.returned(allocation, AttemptResult::Cancelled, true);
                }
            }
            if wait.retry_deferred || wait.retry_deadline_limit.is_some() {
                for allocation in std::mem::take(&mut self.waiting) {
                    if wait
                        .retry_deadline_limit
                        .is_none_or(|end| allocation.deadline <= end)
                    {
                        self.place(allocation);
                    } else {
                        self.waiting.push(allocation);
                    }
                }
                if wait.retry_deadline_limit.is_some() && self.waiting.is_empty() {
                    self.scheduler.no_deferred_left();
                }
            }
            if !wait.retry_deferred {
                return wait.next_poll;
            }
        }
    }

    fn list(&mut self, id: u32) {
        let states = [
            MachineState::Serving,
            MachineState::Serving,
            MachineState::Serving,
            MachineState::Draining,
            MachineState::Removed,
        ];
        let state = states[self.any(states.len())];
        if self.rng.random_bool(0.4) {
            self.started[id as usize] = Some(self.now.saturating_sub(self.rng.random_range(0..50)));
        }
        let unasked = KINDS[id as usize % 2] * self.rng.random_range(self.load.unused.0 - 0.2..1.5);
        let entry = Endpoint {
            state,
            started_at: self.started[id as usize],
            unreserved: self.rng.random_bool(0.8).then_some(unasked),
            ..machine(id)
        };
        if !self.rng.random_bool(0.05) {
            return self
                .scheduler
                .apply_endpoint_list(ListUpdate::Incremental, &[entry]);
        }
        let others = (0..MACHINES)
            .filter(|&other| other != id)
            .map(|other| Endpoint {
                started_at: self.started[other as usize],
                ..machine(other)
            });
        let entries: Vec<Endpoint> = others.chain([entry]).collect();
        self.scheduler
            .apply_endpoint_list(ListUpdate::Complete, &entries);
    }

    fn adopt(&mut self) {
        let mut cluster = self.cluster.clone();
        cluster.admission_limit.cores = self.rng.random_range(1.0..3.0);
        cluster.slow_start.max_offers = self.rng.random_range(2.0..9.0);
        if self.rng.random_bool(0.2) {
            cluster.scheduler_count = 1 + self.any(4);
            cluster.scheduler_index = self.any(cluster.scheduler_count);
        }
        self.scheduler.reconfigure(self.now, cluster);
    }

    fn take_over(&mut self) {
        let mut allocation = self.new_allocation();
        let machine = MachineId(self.rng.random_range(0..MACHINES));
        allocation.attempts.push(Attempt {
            machine,
            sent_at: self.now,
            state: AttemptState::PossiblyExecuted,
        });
        self.scheduler.adopt_running(self.now, &allocation, machine);
        self.placed.push(allocation);
    }

    fn note(&mut self) {
        let at = self.any(self.placed.len());
        let (id, asks) = (self.placed[at].id, self.placed[at].requested);
        let uses = asks * self.rng.random_range(0.1..1.3);
        let notes = [
            Metric::Running,
            Metric::Cores(uses.cores),
            Metric::Memory(uses.memory),
            Metric::ServiceLevel(0.5),
            Metric::MachineMemory(0.9),
        ];
        let note = notes[self.any(notes.len())];
        self.scheduler.record_metric(self.now, id, note);
    }

    /// Something that happens to one of those that are out or placed.
    fn answer(&mut self) {
        if !self.pending.is_empty() && self.rng.random_bool(0.6) {
            let at = self.any(self.pending.len());
            let allocation = self.pending.swap_remove(at);
            let endings = [
                AttemptResult::Rejected,
                AttemptResult::Rejected,
                AttemptResult::TimedOut,
                AttemptResult::Error,
                AttemptResult::ConnectFailed,
                AttemptResult::Reset,
                AttemptResult::NotSent,
                AttemptResult::Cancelled,
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
            let endings = [
                AttemptResult::Completed,
                AttemptResult::Completed,
                AttemptResult::Completed,
                AttemptResult::Reset,
            ];
            let ending = endings[self.any(endings.len())];
            self.returned(allocation, ending, true);
        }
    }

    fn step(&mut self, longest: Ticks) {
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
                    AttemptResult::Completed,
                    AttemptResult::Completed,
                    AttemptResult::TimedOut,
                    AttemptResult::Error,
                ];
                let ending = endings[self.any(endings.len())];
                self.scheduler
                    .record_health_check(self.now, MachineId(id), ending, report);
            }
            75..=78 => self.list(id),
            79 if self.rng.random_bool(0.3) => self.scheduler.endpoint_watch_failed(self.now),
            80 if self.rng.random_bool(0.3) => self.adopt(),
            81 => self.take_over(),
            82..=83 => {
                let shot = self
                    .pending
                    .last()
                    .and_then(|one| one.attempts.last())
                    .cloned();
                if let Some(shot) = shot {
                    self.scheduler
                        .record_attempt_sent(self.now, shot.machine, shot.sent_at);
                }
            }
            84 => {
                let now = self.now;
                self.waiting.pop_if(|one| now + SECOND < one.deadline);
            }
            _ => {}
        }
    }
}

fn tracks() -> Vec<ServiceClass> {
    let plain = ServiceClass {
        latency_objective: 2 * SECOND,
        target_utilization: 0.9,
        ..track(RetrySafety::Idempotent)
    };
    let deduplicated = |within| RetrySafety::Deduplicated {
        scope: within,
        window: 2 * SECOND,
    };
    vec![
        plain.clone(),
        ServiceClass {
            retry_safety: deduplicated(None),
            priority: 1,
            spread: Some((Domain::Zone, 4)),
            ..plain.clone()
        },
        ServiceClass {
            retry_safety: deduplicated(Some(Domain::Cell)),
            priority: 2,
            spread: Some((Domain::Cell, 3)),
            ..plain.clone()
        },
        ServiceClass {
            retry_safety: deduplicated(Some(Domain::Zone)),
            target_utilization: 0.7,
            ..plain.clone()
        },
        ServiceClass {
            retry_safety: RetrySafety::NotRetryable,
            spread: Some((Domain::Machine, 2)),
            ..plain.clone()
        },
        ServiceClass {
            machine_type: Some(MachineTypeId(1)),
            priority: 3,
            ..plain
        },
    ]
}

/// What differs between clusters: what machines and the list tell, and how many share them.
fn clusters() -> Vec<(&'static str, Cluster)> {
    let account = |share_cores| Tenant {
        quota_cores: share_cores,
    };
    let alone = Cluster {
        machine_types: KINDS.to_vec(),
        service_classes: tracks(),
        tenants: vec![account(None), account(Some(30.0)), account(Some(4.0))],
        admission_limit: Resources {
            cores: 2.0,
            memory: 1.3,
        },
        max_attempts: 4,
        health_checks: true,
        cross_zone_cost: 0.1,
        ..host::cluster(track(RetrySafety::Idempotent))
    };
    let listed = Cluster {
        list_reports_capacity: true,
        placed_means_running: false,
        ..alone.clone()
    };
    let shared = Cluster {
        scheduler_index: 1,
        scheduler_count: 3,
        connect_timeout: 2_500,
        caller_detects_losses: false,
        ..alone.clone()
    };
    let pushed_out = Cluster {
        preempts: true,
        health_checks: false,
        list_poll_interval: None,
        cross_zone_cost: 0.0,
        max_attempts: 2,
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
