//! Compares the scheduler's answers in seeded random walks with a recording, so that a change to
//! any decision, random draw or order fails.
//!
//! For each walk the recording contains one answer in five hundred and a hash of all answers. After
//! an intended change of decisions, `CORKSPAN_RECORD=1 cargo test --test decisions` records it
//! again.

// The fake host has helpers that only the scenario tests use.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;
use fnv::FnvHasher;
use host::{SECOND, service_class};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::hash::Hasher;

const RECORDING: &str = include_str!("data/decisions.txt");
const RECORD_INTERVAL: usize = 500;
const MACHINES: u32 = 9;
const MACHINE_TYPES: [Resources; 2] = [
    Resources {
        cores: 16.0,
        memory: 40.0,
    },
    Resources {
        cores: 32.0,
        memory: 64.0,
    },
];

/// A hash of all answers so far, and a sample of the answers in full.
#[derive(Default)]
struct Transcript {
    hasher: FnvHasher,
    count: usize,
    sampled: String,
}

impl Transcript {
    fn add(&mut self, now: Ticks, answer: &str) {
        let line = format!("{now} {answer}\n");
        self.hasher.write(line.as_bytes());
        if self.count.is_multiple_of(RECORD_INTERVAL) {
            self.sampled.push_str(&line);
        }
        self.count += 1;
    }
}

/// A load level: the size of the requests, the number of services in each class and the available
/// share that machines report.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    steps: u64,
    request_scale: f64,
    services: usize,
    available_range: (f64, f64),
}

/// A load at which some allocations are deferred, and one at which some machines aren't needed.
const LOADS: [Load; 2] = [
    Load {
        name: "crowded",
        steps: 4_000,
        request_scale: 1.0,
        services: 3,
        available_range: (0.05, 0.9),
    },
    Load {
        name: "quiet",
        steps: 12_000,
        request_scale: 0.15,
        services: 1,
        available_range: (0.85, 1.0),
    },
];

/// A caller that makes random calls, covering everything that a caller may do.
struct Walk {
    scheduler: Scheduler,
    cluster: Cluster,
    load: Load,
    rng: Pcg64Mcg,
    now: Ticks,
    last_id: u64,
    started_at: Vec<Option<Ticks>>,
    deferred: Vec<Allocation>,
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
        let endpoints: Vec<Endpoint> = (0..MACHINES - 2).map(machine).collect();
        scheduler.apply_endpoint_list(ListUpdate::Cached, &endpoints);
        Walk {
            scheduler,
            cluster: cluster.clone(),
            load,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            last_id: 0,
            started_at: vec![None; MACHINES as usize],
            deferred: Vec::new(),
            pending: Vec::new(),
            placed: Vec::new(),
            transcript: Transcript::default(),
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    fn random_share(&mut self) -> Resources {
        Resources {
            cores: self.rng.random(),
            memory: self.rng.random(),
        }
    }

    fn random_report(&mut self, id: u32) -> Option<LoadReport> {
        let (least, most) = self.load.available_range;
        let mut share = || self.rng.random_range(least..most);
        let available_resources = Resources {
            cores: share(),
            memory: share(),
        };
        let available_resources = available_resources * MACHINE_TYPES[id as usize % 2];
        self.rng.random_bool(0.6).then_some(LoadReport {
            available: available_resources,
        })
    }

    fn new_allocation(&mut self) -> Allocation {
        self.last_id += 1;
        let scale = match self.rng.random_range(0..30) {
            0 => 0.8,
            1..=4 => 0.25,
            _ => 0.1,
        };
        let class = self.random_index(self.cluster.service_classes.len());
        Allocation {
            id: AllocationId(self.last_id),
            service: ServiceId(
                (class + self.cluster.service_classes.len() * self.random_index(self.load.services))
                    as u64,
            ),
            service_class: ServiceClassId(class),
            tenant: TenantId(self.random_index(self.cluster.tenants.len())),
            requested: (self.random_share() * 0.9 + Resources::ONE * 0.1)
                * MACHINE_TYPES[1]
                * (scale * self.load.request_scale),
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
            Placement::Deferred => self.deferred.push(allocation),
            _ => {}
        }
    }

    fn apply_outcome(&mut self, allocation: Allocation, outcome: Outcome) {
        let attempt = allocation.attempts.len() - 1;
        let next = self
            .scheduler
            .on_outcome(self.now, &allocation, attempt, outcome);
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

    fn report_returned(
        &mut self,
        mut allocation: Allocation,
        result: AttemptResult,
        finished: bool,
    ) {
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
        let reason = reasons[self.random_index(reasons.len())];
        let attempt = allocation.attempts.last_mut().unwrap();
        let report = self.random_report(attempt.machine.0);
        attempt.state = match result {
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent => {
                AttemptState::NotExecuted
            }
            _ => AttemptState::PossiblyExecuted,
        };
        let outcome = Outcome::Returned {
            result,
            reason,
            finished,
            report,
        };
        self.apply_outcome(allocation, outcome);
    }

    /// Polls and places deferred allocations until none are due; returns the time until the next
    /// poll.
    fn poll_until_idle(&mut self) -> Ticks {
        loop {
            let result = self.scheduler.poll(self.now);
            let mut answer = format!("wait {}", result.next_poll);
            if result.watch_endpoints {
                answer.push_str(" watch");
            }
            if result.retry_deferred {
                answer.push_str(" retry");
            }
            if let Some(limit) = result.retry_deadline_limit {
                let _ = write!(answer, " up to {limit}");
            }
            for id in &result.health_checks {
                let _ = write!(answer, " probe {}", id.0);
            }
            for id in &result.migrations {
                let _ = write!(answer, " move {}", id.0);
            }
            for id in &result.lost {
                let _ = write!(answer, " lost {}", id.0);
            }
            self.transcript.add(self.now, &answer);
            let ended_ids: Vec<AllocationId> = result
                .migrations
                .iter()
                .chain(&result.lost)
                .copied()
                .collect();
            for id in ended_ids {
                // Some of them don't end at once; a later random outcome may end them.
                let at = self.placed.iter().position(|one| one.id == id);
                if let Some(at) = at.filter(|_| self.rng.random_bool(0.7)) {
                    let allocation = self.placed.swap_remove(at);
                    self.report_returned(allocation, AttemptResult::Cancelled, true);
                }
            }
            if result.retry_deferred || result.retry_deadline_limit.is_some() {
                for allocation in std::mem::take(&mut self.deferred) {
                    if result
                        .retry_deadline_limit
                        .is_none_or(|limit| allocation.deadline <= limit)
                    {
                        self.place(allocation);
                    } else {
                        self.deferred.push(allocation);
                    }
                }
                if result.retry_deadline_limit.is_some() && self.deferred.is_empty() {
                    self.scheduler.no_deferred_left();
                }
            }
            if !result.retry_deferred {
                return result.next_poll;
            }
        }
    }

    fn update_endpoint_list(&mut self, id: u32) {
        let states = [
            MachineState::Serving,
            MachineState::Serving,
            MachineState::Serving,
            MachineState::Draining,
            MachineState::Removed,
        ];
        let state = states[self.random_index(states.len())];
        if self.rng.random_bool(0.4) {
            self.started_at[id as usize] =
                Some(self.now.saturating_sub(self.rng.random_range(0..50)));
        }
        let unreserved_capacity = MACHINE_TYPES[id as usize % 2]
            * self
                .rng
                .random_range(self.load.available_range.0 - 0.2..1.5);
        let endpoint = Endpoint {
            state,
            started_at: self.started_at[id as usize],
            unreserved: self.rng.random_bool(0.8).then_some(unreserved_capacity),
            ..machine(id)
        };
        if !self.rng.random_bool(0.05) {
            return self
                .scheduler
                .apply_endpoint_list(ListUpdate::Incremental, &[endpoint]);
        }
        let others = (0..MACHINES)
            .filter(|&other| other != id)
            .map(|other| Endpoint {
                started_at: self.started_at[other as usize],
                ..machine(other)
            });
        let endpoints: Vec<Endpoint> = others.chain([endpoint]).collect();
        self.scheduler
            .apply_endpoint_list(ListUpdate::Complete, &endpoints);
    }

    fn reconfigure(&mut self) {
        let mut cluster = self.cluster.clone();
        cluster.admission_limit.cores = self.rng.random_range(1.0..3.0);
        cluster.slow_start.max_attempts = self.rng.random_range(2.0..9.0);
        if self.rng.random_bool(0.2) {
            cluster.scheduler_count = 1 + self.random_index(4);
            cluster.scheduler_index = self.random_index(cluster.scheduler_count);
        }
        self.scheduler.reconfigure(self.now, cluster);
    }

    fn adopt_running(&mut self) {
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

    fn report_metric(&mut self) {
        let at = self.random_index(self.placed.len());
        let (id, requested) = (self.placed[at].id, self.placed[at].requested);
        let used = requested * self.rng.random_range(0.1..1.3);
        let metrics = [
            Metric::Running,
            Metric::Cores(used.cores),
            Metric::Memory(used.memory),
            Metric::ServiceLevel(0.5),
            Metric::MachineMemory(0.9),
        ];
        let metric = metrics[self.random_index(metrics.len())];
        self.scheduler.record_metric(self.now, id, metric);
    }

    /// Reports a random outcome of a pending attempt or of a placed allocation.
    fn report_random_outcome(&mut self) {
        if !self.pending.is_empty() && self.rng.random_bool(0.6) {
            let at = self.random_index(self.pending.len());
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
                return self.apply_outcome(allocation, Outcome::Placed);
            }
            let result = endings[self.random_index(endings.len())];
            return self.report_returned(allocation, result, false);
        }
        if !self.placed.is_empty() {
            let at = self.random_index(self.placed.len());
            let allocation = self.placed.swap_remove(at);
            let endings = [
                AttemptResult::Completed,
                AttemptResult::Completed,
                AttemptResult::Completed,
                AttemptResult::Reset,
            ];
            let result = endings[self.random_index(endings.len())];
            self.report_returned(allocation, result, true);
        }
    }

    fn step(&mut self, max_wait: Ticks) {
        self.now += match self.rng.random_range(0..200) {
            0 => self.rng.random_range(0..6 * SECOND),
            1..=60 => 0,
            _ => self.rng.random_range(0..=max_wait.max(1)),
        };
        let id = self.rng.random_range(0..MACHINES);
        match self.rng.random_range(0..100) {
            0..=24 => {
                let allocation = self.new_allocation();
                self.place(allocation);
            }
            25..=44 => self.report_random_outcome(),
            45..=69 if !self.placed.is_empty() => self.report_metric(),
            70..=74 => {
                let report = self.random_report(id);
                let endings = [
                    AttemptResult::Completed,
                    AttemptResult::Completed,
                    AttemptResult::TimedOut,
                    AttemptResult::Error,
                ];
                let result = endings[self.random_index(endings.len())];
                self.scheduler
                    .record_health_check(self.now, MachineId(id), result, report);
            }
            75..=78 => self.update_endpoint_list(id),
            79 if self.rng.random_bool(0.3) => self.scheduler.endpoint_watch_failed(self.now),
            80 if self.rng.random_bool(0.3) => self.reconfigure(),
            81 => self.adopt_running(),
            82..=83 => {
                let attempt = self
                    .pending
                    .last()
                    .and_then(|one| one.attempts.last())
                    .cloned();
                if let Some(attempt) = attempt {
                    self.scheduler
                        .record_attempt_sent(self.now, attempt.machine, attempt.sent_at);
                }
            }
            84 => {
                let now = self.now;
                self.deferred.pop_if(|one| now + SECOND < one.deadline);
            }
            _ => {}
        }
    }
}

fn service_classes() -> Vec<ServiceClass> {
    let base_class = ServiceClass {
        latency_objective: 2 * SECOND,
        target_utilization: 0.9,
        ..service_class(RetrySafety::Idempotent)
    };
    let deduplicated = |domain| RetrySafety::Deduplicated {
        scope: domain,
        window: 2 * SECOND,
    };
    vec![
        base_class.clone(),
        ServiceClass {
            retry_safety: deduplicated(None),
            priority: 1,
            spread: Some((Domain::Zone, 4)),
            ..base_class.clone()
        },
        ServiceClass {
            retry_safety: deduplicated(Some(Domain::Cell)),
            priority: 2,
            spread: Some((Domain::Cell, 3)),
            ..base_class.clone()
        },
        ServiceClass {
            retry_safety: deduplicated(Some(Domain::Zone)),
            target_utilization: 0.7,
            ..base_class.clone()
        },
        ServiceClass {
            retry_safety: RetrySafety::NotRetryable,
            spread: Some((Domain::Machine, 2)),
            ..base_class.clone()
        },
        ServiceClass {
            machine_type: Some(MachineTypeId(1)),
            priority: 3,
            ..base_class
        },
    ]
}

/// Returns clusters that differ in what machines and the endpoint list report and in the number of
/// schedulers that share the machines.
fn clusters() -> Vec<(&'static str, Cluster)> {
    let tenant = |quota| Tenant { quota_cores: quota };
    let unshared = Cluster {
        machine_types: MACHINE_TYPES.to_vec(),
        service_classes: service_classes(),
        tenants: vec![tenant(None), tenant(Some(30.0)), tenant(Some(4.0))],
        admission_limit: Resources {
            cores: 2.0,
            memory: 1.3,
        },
        max_attempts: 4,
        health_checks: true,
        cross_zone_cost: 0.1,
        ..host::cluster(service_class(RetrySafety::Idempotent))
    };
    let listed = Cluster {
        list_reports_capacity: true,
        placed_means_running: false,
        ..unshared.clone()
    };
    let shared = Cluster {
        scheduler_index: 1,
        scheduler_count: 3,
        connect_timeout: 2_500,
        caller_detects_losses: false,
        ..unshared.clone()
    };
    let preempting = Cluster {
        preempts: true,
        health_checks: false,
        list_poll_interval: None,
        cross_zone_cost: 0.0,
        max_attempts: 2,
        ..listed.clone()
    };
    vec![
        ("alone", unshared),
        ("room is listed", listed),
        ("shared by three", shared),
        ("lower priorities are pushed out", preempting),
    ]
}

fn transcript(cluster: &Cluster, load: Load, seed: u64) -> Transcript {
    let mut walk = Walk::new(cluster, load, seed);
    let mut max_wait = walk.poll_until_idle();
    for _ in 0..load.steps {
        walk.step(max_wait);
        max_wait = walk.poll_until_idle();
    }
    // The walk's next random draw also shows whether the same number of draws was taken.
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
            text.push_str(&transcript.sampled);
        }
    }
    if std::env::var_os("CORKSPAN_RECORD").is_some() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/decisions.txt");
        std::fs::write(path, &text).unwrap();
        panic!("recorded again without a comparison");
    }
    for (answer, recorded) in std::iter::zip(text.lines(), RECORDING.lines()) {
        assert_eq!(answer, recorded);
    }
    assert!(text == RECORDING, "the transcripts differ in length");
}
