//! What the decisions alone cost where allocations wait for room: one ask, and a second of so many
//! that wait. The clock is virtual, the processor time that of the thread.

use corkspan_engine::{AllocationRequest, Effects, Engine, RetryBatch, ReturnedAttempt};
use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;

const SECOND: Ticks = 10_000;
const SIZE: Resources = Resources {
    cores: 64.0,
    memory: 256.0,
};
/// What each machine reports as unused where none has room.
const CRAMPED: Resources = Resources {
    cores: 1.0,
    memory: 4.0,
};
const ROOMY: Resources = Resources {
    cores: 40.0,
    memory: 160.0,
};
/// Of ours that run meanwhile: one of a hundred dispatchers' part of 4,300.
const RUNNING: usize = 43;
const SERVICES: u64 = 150;

/// One measured place on an axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub figure: &'static str,
    pub x: f64,
    pub value: f64,
    pub unit: &'static str,
}

/// How unlike those that wait are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Similarity {
    /// Of five services.
    Few,
    /// Each of its own service and need.
    None,
}

/// What happens each second while they wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changes {
    Nothing,
    /// So many machines report as before.
    Reports(u32),
    /// So many of ours end, and others begin in their places.
    Ends(u32),
    /// So many times one of those that wait comes to its end, and another comes.
    Deadlines(u32),
}

/// Processor time of this thread, in seconds. None where the system doesn't tell.
fn thread_time_s() -> Option<f64> {
    let told = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    told.split_whitespace()
        .next()?
        .parse::<f64>()
        .ok()
        .map(|ns| ns / 1e9)
}

fn cluster() -> Cluster {
    let track = |priority| ServiceClass {
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
        machine_types: vec![SIZE],
        service_classes: vec![track(0), track(1)],
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
            max_offers: 5.0,
        },
        connect_timeout: 0,
        cross_zone_cost: 0.0,
        caller_detects_losses: true,
    }
}

fn entries(machines: u32) -> Vec<Endpoint> {
    let entry = |id| Endpoint {
        machine: MachineId(id),
        machine_type: MachineTypeId(0),
        zone: ZoneId(0),
        cell: CellId(u64::from(id / 8)),
        state: MachineState::Serving,
        started_at: None,
        unreserved: None,
    };
    (0..machines).map(entry).collect()
}

fn request(service: u64, asks: Resources, abandon: Ticks) -> AllocationRequest {
    let track = ServiceClassId(service as usize % 2);
    AllocationRequest {
        service: ServiceId(service),
        service_class: track,
        tenant: TenantId(0),
        requested: asks,
        deadline: abandon,
    }
}

/// The system tells a thread's time some milliseconds late: less than this much is not measured.
const LEAST: f64 = 0.02;

/// The time of one ask, in the mean over `least` of them or more: in vain, or one that finds a
/// machine.
pub fn request_cost(machines: u32, in_vain: bool, least: u64) -> Option<Point> {
    let mut scheduler = Scheduler::new(cluster(), 1, 0);
    scheduler.apply_endpoint_list(ListUpdate::Cached, &entries(machines));
    let unused = if in_vain { CRAMPED } else { ROOMY };
    for id in 0..machines {
        scheduler.record_health_check(
            SECOND,
            MachineId(id),
            AttemptResult::Completed,
            Some(LoadReport { available: unused }),
        );
    }
    let size = if in_vain {
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
    let (mut now, since) = (2 * SECOND, thread_time_s()?);
    let (mut answered, mut asks) = (0, 0);
    // One that goes out stays: too many would fill the machines.
    while asks < least
        || in_vain && asks % 1_000 != 0
        || in_vain && thread_time_s()? - since < LEAST
    {
        let number = asks;
        asks += 1;
        // Reports must not be old before all have been asked for.
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
        answered +=
            u64::from((scheduler.place(now, &allocation) == Placement::Deferred) == in_vain);
    }
    let value = (thread_time_s()? - since) * 1e6 / asks as f64;
    let figure = if in_vain {
        "one ask in vain"
    } else {
        "one ask that finds a machine"
    };
    (answered == asks).then_some(Point {
        figure,
        x: f64::from(machines),
        value,
        unit: "us",
    })
}

/// What the host says goes nowhere, but for the timer.
#[derive(Default)]
struct Timer {
    due: Option<Ticks>,
    now: Ticks,
    sent: u64,
    answered: u64,
}

impl Effects<()> for Timer {
    fn dispatch(&mut self, _: &mut (), _: &Allocation, _: MachineId, _: Ticks) {
        self.sent += 1;
    }
    fn shed(&mut self, _: &mut (), _: &Allocation) {
        self.answered += 1;
    }
    fn indeterminate(&mut self, _: &mut (), _: &Allocation) {
        self.answered += 1;
    }
    fn migrate(&mut self, _: &mut (), _: &Allocation) {}
    fn check_health(&mut self, _: MachineId) {}
    fn watch_endpoints(&mut self) {}
    fn set_timer(&mut self, after: Ticks) {
        let at = self.now + after;
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

/// A dispatcher whose machines have no room for those that wait.
pub struct WaitingRequests {
    pub machines: u32,
    pub waiting: u32,
    pub similarity: Similarity,
    pub changes: Changes,
    pub by_turns: bool,
}

struct Stage {
    host: Engine<()>,
    timer: Timer,
    running: Vec<(AllocationId, MachineId)>,
    came: u64,
}

impl WaitingRequests {
    /// Share of a core, in percent, over so many virtual seconds. None where one found a machine,
    /// or the system doesn't tell the thread's time.
    pub fn share_of_core(&self, seconds: u64) -> Option<Point> {
        let mut stage = self.stage();
        // The first looks are not what waiting costs.
        stage.until(4 * SECOND);
        let before = (thread_time_s()?, stage.timer.sent);
        let rate = match self.changes {
            Changes::Nothing => 0,
            Changes::Reports(rate) | Changes::Ends(rate) | Changes::Deadlines(rate) => {
                u64::from(rate)
            }
        };
        for number in 0..seconds * rate {
            stage.until(4 * SECOND + number * SECOND / rate);
            self.happens(&mut stage, number);
        }
        stage.until((4 + seconds) * SECOND);
        let value = (thread_time_s()? - before.0) * 100.0 / seconds as f64;
        let figure = match self.changes {
            Changes::Nothing => "waiting while nothing changes",
            Changes::Reports(_) => "waiting while reports come",
            Changes::Ends(_) => "waiting while some end",
            Changes::Deadlines(_) => "waiting to the end",
        };
        let still = stage.timer.sent == before.1;
        still.then_some(Point {
            figure,
            x: f64::from(self.waiting),
            value,
            unit: "% of a core",
        })
    }

    fn stage(&self) -> Stage {
        let slice = if self.by_turns {
            RetryBatch::ON_DEMAND
        } else {
            RetryBatch::ALL
        };
        let mut host = Engine::new(cluster(), 1, 0, usize::MAX, slice);
        host.apply_endpoint_list(ListUpdate::Cached, &entries(self.machines));
        let mut stage = Stage {
            host,
            timer: Timer::default(),
            running: Vec::new(),
            came: 0,
        };
        for _ in 0..RUNNING {
            stage.runs(0, self.machines);
        }
        for id in 0..self.machines {
            self.reports(&mut stage, 2 * SECOND, id);
        }
        stage.until(2 * SECOND);
        for _ in 0..self.waiting {
            self.comes(&mut stage, 3_600 * SECOND);
        }
        stage
    }

    fn reports(&self, stage: &mut Stage, now: Ticks, id: u32) {
        stage.host.record_health_check(
            now,
            MachineId(id),
            AttemptResult::Completed,
            Some(LoadReport { available: CRAMPED }),
        );
    }

    fn comes(&self, stage: &mut Stage, abandon: Ticks) {
        let now = stage.timer.now;
        let number = stage.came;
        let own = match self.similarity {
            Similarity::Few => number % 5,
            Similarity::None => number,
        };
        let asks = Resources {
            cores: 4.0,
            memory: 16.0,
        } * (1.0 + own as f64 % 97.0 / 100.0);
        stage.came += 1;
        let taken = stage
            .host
            .admit(now, &format!("w{number}"), request(own, asks, abandon), ());
        if let Ok(id) = taken {
            stage.host.place(now, id, &mut stage.timer);
        }
        stage.rest();
    }

    fn happens(&self, stage: &mut Stage, number: u64) {
        let now = stage.timer.now;
        match self.changes {
            Changes::Nothing => {}
            Changes::Reports(_) => {
                self.reports(stage, now, (number % u64::from(self.machines)) as u32)
            }
            Changes::Ends(_) => {
                let (id, machine) = stage.running.remove(0);
                stage.host.attempt_returned(
                    now,
                    id,
                    0,
                    ReturnedAttempt {
                        ending: AttemptResult::Completed,
                        reason: None,
                        finished: true,
                        report: None,
                    },
                    &mut stage.timer,
                );
                stage.runs(now, machine.0 + 1);
            }
            Changes::Deadlines(_) => self.comes(stage, now + SECOND),
        }
        stage.rest();
    }
}

impl Stage {
    /// One of ours runs on the last of so many machines, or on any before.
    fn runs(&mut self, now: Ticks, machines: u32) {
        let number = self.running.len() as u32 + self.came as u32;
        let machine = MachineId(if now > 0 {
            machines - 1
        } else {
            number * 31 % machines
        });
        let asks = Resources {
            cores: 1.0,
            memory: 4.0,
        };
        self.came += 1;
        let request = request(u64::from(number) % SERVICES, asks, 3_600 * SECOND);
        if let Ok(id) =
            self.host
                .admit_running(now, &format!("r{}", self.came), request, machine, ())
        {
            self.host.record_metric(now, id, Metric::Cores(0.5));
            self.host.record_metric(now, id, Metric::Memory(3.0));
            self.running.push((id, machine));
        }
    }

    /// What a caller does after each thing that it heard.
    fn rest(&mut self) {
        let now = self.timer.now;
        self.host.poll(now, &mut self.timer);
        while let Some(id) = self.host.next_queued() {
            self.host.evaluate(now, id, &mut self.timer);
        }
        self.host.poll(now, &mut self.timer);
    }

    fn until(&mut self, end: Ticks) {
        while let Some(at) = self.timer.due.filter(|at| *at <= end) {
            self.timer.due = None;
            self.timer.now = at.max(self.timer.now);
            self.host.timer_fired(self.timer.now);
            self.rest();
        }
        self.timer.now = end.max(self.timer.now);
        self.rest();
    }
}
