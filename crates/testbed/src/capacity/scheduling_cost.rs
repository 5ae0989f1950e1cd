//! Measures the cost of scheduling decisions alone: of one request, and of a second in which many
//! allocations wait for capacity. The clock is virtual; the processor time is that of the thread.

use corkspan_engine::{AllocationRequest, Effects, Engine, RetryBatch, ReturnedAttempt};
use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;

const SECOND: Ticks = 10_000;
const MACHINE_SIZE: Resources = Resources {
    cores: 64.0,
    memory: 256.0,
};
/// The resources that each machine reports as available if none has capacity for a request.
const FULL_MACHINE: Resources = Resources {
    cores: 1.0,
    memory: 4.0,
};
/// The resources that each machine reports as available if it has capacity for a request.
const FREE_MACHINE: Resources = Resources {
    cores: 40.0,
    memory: 160.0,
};
/// Allocations that run during a measurement: the share of one of a hundred dispatchers in 4,300.
const RUNNING: usize = 43;
const SERVICES: u64 = 150;

/// One measured point on an axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub figure: &'static str,
    pub x: f64,
    pub value: f64,
    pub unit: &'static str,
}

/// How similar the waiting allocations are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Similarity {
    /// They belong to five services.
    Few,
    /// Each belongs to a service of its own and requests other resources.
    None,
}

/// The changes in each second while allocations wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changes {
    Nothing,
    /// This many machines report an unchanged load.
    Reports(u32),
    /// This many running allocations end, and others start in their places.
    Ends(u32),
    /// This many waiting allocations reach their deadline, and others are requested.
    Deadlines(u32),
}

/// Returns the processor time of this thread, in seconds, or none if the system doesn't report it.
fn thread_time_s() -> Option<f64> {
    let times = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    times
        .split_whitespace()
        .next()?
        .parse::<f64>()
        .ok()
        .map(|ns| ns / 1e9)
}

fn cluster() -> Cluster {
    let service_class = |priority| ServiceClass {
        retry_safety: RetrySafety::Idempotent,
        latency_objective: SECOND,
        target_utilization: 0.9,
        priority,
        machine_type: None,
        spread: None,
    };
    Cluster {
        zone: ZoneId(0),
        scheduler_index: 0,
        scheduler_count: 100,
        machine_types: vec![MACHINE_SIZE],
        service_classes: vec![service_class(0), service_class(1)],
        tenants: Vec::new(),
        admission_limit: Resources {
            cores: 3.0,
            memory: 1.5,
        },
        preempts: true,
        max_attempts: 3,
        placed_means_running: true,
        list_reports_capacity: false,
        health_checks: false,
        list_poll_interval: None,
        slow_start: SlowStart {
            duration: SECOND,
            window: SECOND,
            max_attempts: 5.0,
        },
        connect_timeout: 0,
        cross_zone_cost: 0.0,
        caller_detects_losses: true,
    }
}

fn endpoints(machines: u32) -> Vec<Endpoint> {
    let endpoint = |id| Endpoint {
        machine: MachineId(id),
        machine_type: MachineTypeId(0),
        zone: ZoneId(0),
        cell: CellId(u64::from(id / 8)),
        state: MachineState::Serving,
        started_at: None,
        unreserved: None,
    };
    (0..machines).map(endpoint).collect()
}

fn request(service: u64, requested: Resources, deadline: Ticks) -> AllocationRequest {
    let service_class = ServiceClassId(service as usize % 2);
    AllocationRequest {
        service: ServiceId(service),
        service_class,
        tenant: TenantId(0),
        requested,
        deadline,
    }
}

/// The shortest measured time, in seconds. The system reports a thread's time some milliseconds
/// late.
const MIN_MEASURED_S: f64 = 0.02;

/// Returns the mean time of one request, over `min_requests` requests or more. With
/// `deferred`, no machine has capacity for it.
pub fn request_cost(machines: u32, deferred: bool, min_requests: u64) -> Option<Point> {
    let mut scheduler = Scheduler::new(cluster(), 1, 0);
    scheduler.apply_endpoint_list(ListUpdate::Cached, &endpoints(machines));
    let available = if deferred { FULL_MACHINE } else { FREE_MACHINE };
    for id in 0..machines {
        scheduler.record_health_check(
            SECOND,
            MachineId(id),
            AttemptResult::Completed,
            Some(LoadReport { available }),
        );
    }
    let size = if deferred {
        Resources {
            cores: 4.0,
            memory: 16.0,
        }
    } else {
        Resources {
            cores: 0.1,
            memory: 0.1,
        }
    };
    let (mut now, started) = (2 * SECOND, thread_time_s()?);
    let (mut as_expected, mut requests) = (0, 0);
    // An allocation that is placed stays, and too many of them would fill the machines.
    while requests < min_requests
        || deferred && requests % 1_000 != 0
        || deferred && thread_time_s()? - started < MIN_MEASURED_S
    {
        let number = requests;
        requests += 1;
        // The clock advances by one tick only, so that load reports stay recent until the end.
        now += 1;
        let AllocationRequest {
            service,
            service_class,
            tenant,
            requested,
            deadline,
        } = request(number % SERVICES, size, now + 10 * SECOND);
        let id = AllocationId(number);
        let allocation = Allocation {
            id,
            service,
            service_class,
            tenant,
            requested,
            accepted_at: now,
            deadline,
            attempts: Vec::new(),
        };
        as_expected +=
            u64::from((scheduler.place(now, &allocation) == Placement::Deferred) == deferred);
    }
    let value = (thread_time_s()? - started) * 1e6 / requests as f64;
    let figure = if deferred {
        "one ask in vain"
    } else {
        "one ask that finds a machine"
    };
    (as_expected == requests).then_some(Point {
        figure,
        x: f64::from(machines),
        value,
        unit: "us",
    })
}

/// Effects that are counted and discarded, except the timer.
#[derive(Default)]
struct CountingEffects {
    due: Option<Ticks>,
    now: Ticks,
    sent: u64,
    finished: u64,
}

impl Effects<()> for CountingEffects {
    fn dispatch(&mut self, _: &mut (), _: &Allocation, _: MachineId, _: Ticks) {
        self.sent += 1;
    }
    fn shed(&mut self, _: &mut (), _: &Allocation) {
        self.finished += 1;
    }
    fn indeterminate(&mut self, _: &mut (), _: &Allocation) {
        self.finished += 1;
    }
    fn migrate(&mut self, _: &mut (), _: &Allocation) {}
    fn check_health(&mut self, _: MachineId) {}
    fn watch_endpoints(&mut self) {}
    fn set_timer(&mut self, after: Ticks) {
        let at = self.now + after;
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

/// A dispatcher whose machines have no capacity for the waiting allocations.
pub struct WaitingRequests {
    pub machines: u32,
    pub waiting: u32,
    pub similarity: Similarity,
    pub changes: Changes,
    /// Whether waiting allocations are evaluated on demand, one by one between events, instead of
    /// all at once.
    pub on_demand: bool,
}

/// An engine with its timer and running allocations.
struct EngineRun {
    engine: Engine<()>,
    effects: CountingEffects,
    running: Vec<(AllocationId, MachineId)>,
    created: u64,
}

impl WaitingRequests {
    /// Returns the share of a core, in percent, over this many virtual seconds, or none if an
    /// allocation was sent to a machine or the system doesn't report the thread's time.
    pub fn share_of_core(&self, seconds: u64) -> Option<Point> {
        let mut run = self.start_run();
        // The first evaluations are not part of the cost of waiting.
        run.advance_to(4 * SECOND);
        let before = (thread_time_s()?, run.effects.sent);
        let rate = match self.changes {
            Changes::Nothing => 0,
            Changes::Reports(rate) | Changes::Ends(rate) | Changes::Deadlines(rate) => {
                u64::from(rate)
            }
        };
        for number in 0..seconds * rate {
            run.advance_to(4 * SECOND + number * SECOND / rate);
            self.apply_change(&mut run, number);
        }
        run.advance_to((4 + seconds) * SECOND);
        let value = (thread_time_s()? - before.0) * 100.0 / seconds as f64;
        let figure = match self.changes {
            Changes::Nothing => "waiting while nothing changes",
            Changes::Reports(_) => "waiting while reports come",
            Changes::Ends(_) => "waiting while some end",
            Changes::Deadlines(_) => "waiting to the end",
        };
        let none_sent = run.effects.sent == before.1;
        none_sent.then_some(Point {
            figure,
            x: f64::from(self.waiting),
            value,
            unit: "% of a core",
        })
    }

    fn start_run(&self) -> EngineRun {
        let batch = if self.on_demand {
            RetryBatch::ON_DEMAND
        } else {
            RetryBatch::ALL
        };
        let mut engine = Engine::new(cluster(), 1, 0, usize::MAX, batch);
        engine.apply_endpoint_list(ListUpdate::Cached, &endpoints(self.machines));
        let mut run = EngineRun {
            engine,
            effects: CountingEffects::default(),
            running: Vec::new(),
            created: 0,
        };
        for _ in 0..RUNNING {
            run.add_running(0, self.machines);
        }
        for id in 0..self.machines {
            self.report_load(&mut run, 2 * SECOND, id);
        }
        run.advance_to(2 * SECOND);
        for _ in 0..self.waiting {
            self.add_waiting(&mut run, 3_600 * SECOND);
        }
        run
    }

    fn report_load(&self, run: &mut EngineRun, now: Ticks, id: u32) {
        run.engine.record_health_check(
            now,
            MachineId(id),
            AttemptResult::Completed,
            Some(LoadReport {
                available: FULL_MACHINE,
            }),
        );
    }

    fn add_waiting(&self, run: &mut EngineRun, deadline: Ticks) {
        let now = run.effects.now;
        let number = run.created;
        let variant = match self.similarity {
            Similarity::Few => number % 5,
            Similarity::None => number,
        };
        let requested = Resources {
            cores: 4.0,
            memory: 16.0,
        } * (1.0 + variant as f64 % 97.0 / 100.0);
        run.created += 1;
        let admitted = run.engine.admit(
            now,
            &format!("w{number}"),
            request(variant, requested, deadline),
            (),
        );
        if let Ok(id) = admitted {
            run.engine.place(now, id, &mut run.effects);
        }
        run.run_pending();
    }

    fn apply_change(&self, run: &mut EngineRun, number: u64) {
        let now = run.effects.now;
        match self.changes {
            Changes::Nothing => {}
            Changes::Reports(_) => {
                self.report_load(run, now, (number % u64::from(self.machines)) as u32)
            }
            Changes::Ends(_) => {
                let (id, machine) = run.running.remove(0);
                run.engine.attempt_returned(
                    now,
                    id,
                    0,
                    ReturnedAttempt {
                        result: AttemptResult::Completed,
                        reason: None,
                        finished: true,
                        report: None,
                    },
                    &mut run.effects,
                );
                run.add_running(now, machine.0 + 1);
            }
            Changes::Deadlines(_) => self.add_waiting(run, now + SECOND),
        }
        run.run_pending();
    }
}

impl EngineRun {
    /// Adds a running allocation: on the last of this many machines, or during setup on any of
    /// them.
    fn add_running(&mut self, now: Ticks, machines: u32) {
        let number = self.running.len() as u32 + self.created as u32;
        let machine = MachineId(if now > 0 {
            machines - 1
        } else {
            number * 31 % machines
        });
        let requested = Resources {
            cores: 1.0,
            memory: 4.0,
        };
        self.created += 1;
        let request = request(u64::from(number) % SERVICES, requested, 3_600 * SECOND);
        if let Ok(id) =
            self.engine
                .admit_running(now, &format!("r{}", self.created), request, machine, ())
        {
            self.engine.record_metric(now, id, Metric::Cores(0.5));
            self.engine.record_metric(now, id, Metric::Memory(3.0));
            self.running.push((id, machine));
        }
    }

    /// Runs the work that a caller does after each event.
    fn run_pending(&mut self) {
        let now = self.effects.now;
        self.engine.poll(now, &mut self.effects);
        while let Some(id) = self.engine.next_queued() {
            self.engine.evaluate(now, id, &mut self.effects);
        }
        self.engine.poll(now, &mut self.effects);
    }

    fn advance_to(&mut self, end: Ticks) {
        while let Some(at) = self.effects.due.filter(|at| *at <= end) {
            self.effects.due = None;
            self.effects.now = at.max(self.effects.now);
            self.engine.timer_fired(self.effects.now);
            self.run_pending();
        }
        self.effects.now = end.max(self.effects.now);
        self.run_pending();
    }
}
