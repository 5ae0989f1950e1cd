//! A fake host: a handful of machines and whoever asks, with nothing decided in it.

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;

pub const SECOND: Ticks = 10_000;
pub const SIZE: Resources = Resources {
    cores: 40.0,
    memory: 100.0,
};

pub fn track(repeat: RetrySafety) -> ServiceClass {
    ServiceClass {
        retry_safety: repeat,
        latency_objective: SECOND,
        target_utilization: 1.0,
        priority: 0,
        machine_type: None,
        spread: None,
    }
}

pub fn cluster(track: ServiceClass) -> Cluster {
    Cluster {
        zone: ZoneId(0),
        scheduler_index: 0,
        scheduler_count: 1,
        machine_types: vec![SIZE],
        service_classes: vec![track],
        tenants: Vec::new(),
        admission_limit: Resources {
            cores: 3.0,
            memory: 1.5,
        },
        preempts: false,
        max_attempts: 3,
        placed_means_running: true,
        list_reports_capacity: false,
        health_checks: false,
        list_poll_interval: Some(10 * SECOND),
        slow_start: SlowStart {
            duration: 10 * SECOND,
            window: SECOND,
            max_offers: 6.0,
        },
        connect_timeout: 0,
        cross_zone_cost: 0.0,
        caller_detects_losses: true,
    }
}

pub fn entry(id: u32) -> Endpoint {
    Endpoint {
        machine: MachineId(id),
        machine_type: MachineTypeId(0),
        zone: ZoneId(id as usize % 2),
        cell: CellId(u64::from(id / 2)),
        state: MachineState::Serving,
        started_at: None,
        unreserved: None,
    }
}

pub struct Host {
    pub scheduler: Scheduler,
    pub now: Ticks,
    asked: u64,
}

impl Host {
    pub fn new(cluster: Cluster, seed: u64, machines: u32) -> Self {
        let mut scheduler = Scheduler::new(cluster, seed, 100 * SECOND);
        let entries: Vec<Endpoint> = (0..machines).map(entry).collect();
        scheduler.apply_endpoint_list(ListUpdate::Cached, &entries);
        Host {
            scheduler,
            now: 100 * SECOND,
            asked: 0,
        }
    }

    pub fn ask(&mut self, service: u64, cores: f64, memory: f64) -> Allocation {
        self.asked += 1;
        Allocation {
            id: AllocationId(self.asked),
            service: ServiceId(service),
            service_class: ServiceClassId(0),
            tenant: TenantId(0),
            requested: Resources { cores, memory },
            accepted_at: self.now,
            deadline: self.now + 6 * SECOND,
            attempts: Vec::new(),
        }
    }

    pub fn place(&mut self, allocation: &mut Allocation) -> Placement {
        let placement = self.scheduler.place(self.now, allocation);
        if let Placement::Dispatch { machine, .. } = placement {
            allocation.attempts.push(Attempt {
                machine,
                sent_at: self.now,
                state: AttemptState::Pending,
            });
        }
        placement
    }

    /// Where a further allocation goes, or none.
    pub fn sent_to(&mut self, allocation: &mut Allocation) -> Option<u32> {
        match self.place(allocation) {
            Placement::Dispatch { machine, .. } => Some(machine.0),
            _ => None,
        }
    }

    /// Where a further small one of this service goes, or none.
    pub fn sends(&mut self, service: u64) -> Option<u32> {
        let mut allocation = self.ask(service, 0.1, 0.1);
        self.sent_to(&mut allocation)
    }

    pub fn seated(&mut self, allocation: &Allocation) {
        self.scheduler.on_outcome(
            self.now,
            allocation,
            allocation.attempts.len() - 1,
            Outcome::Placed,
        );
    }

    pub fn returned(
        &mut self,
        allocation: &mut Allocation,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
    ) -> NextStep {
        let shot = allocation.attempts.len() - 1;
        let never = matches!(
            ending,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        allocation.attempts[shot].state = if never {
            AttemptState::NotExecuted
        } else {
            AttemptState::PossiblyExecuted
        };
        let outcome = Outcome::Returned {
            ending,
            reason,
            finished: ending == AttemptResult::Completed,
            report: None,
        };
        self.scheduler
            .on_outcome(self.now, allocation, shot, outcome)
    }

    /// An allocation of ours that runs on a machine since `ago`, using so much.
    pub fn runs(
        &mut self,
        service: u64,
        asks: Resources,
        uses: Resources,
        machine: u32,
        ago: Ticks,
    ) -> Allocation {
        let mut allocation = self.ask(service, asks.cores, asks.memory);
        allocation.attempts.push(Attempt {
            machine: MachineId(machine),
            sent_at: self.now,
            state: AttemptState::PossiblyExecuted,
        });
        self.now -= ago;
        self.scheduler
            .adopt_running(self.now, &allocation, MachineId(machine));
        self.now += ago;
        self.note(&allocation, uses);
        allocation
    }

    pub fn note(&mut self, allocation: &Allocation, uses: Resources) {
        self.scheduler
            .record_metric(self.now, allocation.id, Metric::Cores(uses.cores));
        self.scheduler
            .record_metric(self.now, allocation.id, Metric::Memory(uses.memory));
    }

    /// A machine reports so much in use.
    pub fn reports(&mut self, machine: u32, cores: f64, memory: f64) {
        let unused = SIZE - Resources { cores, memory };
        let report = LoadReport { available: unused };
        self.scheduler.record_health_check(
            self.now,
            MachineId(machine),
            AttemptResult::Completed,
            Some(report),
        );
    }

    /// The service comes to have records of this use by asked unit.
    pub fn has_records(&mut self, service: u64, share: f64) {
        for _ in 0..5 {
            let asks = Resources {
                cores: 2.0,
                memory: 4.0,
            };
            let mut ended = self.runs(service, asks, asks * share, 0, 30 * SECOND);
            self.returned(&mut ended, AttemptResult::Completed, None);
        }
    }
}
