//! A fake host that drives a scheduler with a few machines and requests allocations. It makes no
//! decisions.

use corkspan_scheduler::Scheduler;
use corkspan_scheduler::interface::*;

pub const SECOND: Ticks = 10_000;
pub const SIZE: Resources = Resources {
    cores: 40.0,
    memory: 100.0,
};

/// Returns a service class with this retry safety and otherwise plain settings.
pub fn service_class(safety: RetrySafety) -> ServiceClass {
    ServiceClass {
        retry_safety: safety,
        latency_objective: SECOND,
        target_utilization: 1.0,
        priority: 0,
        machine_type: None,
        spread: None,
    }
}

/// Returns the settings of a cluster with one machine type and this service class.
pub fn cluster(class: ServiceClass) -> Cluster {
    Cluster {
        zone: ZoneId(0),
        scheduler_index: 0,
        scheduler_count: 1,
        machine_types: vec![SIZE],
        service_classes: vec![class],
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
            max_attempts: 6.0,
        },
        connect_timeout: 0,
        cross_zone_cost: 0.0,
        caller_detects_losses: true,
    }
}

/// Returns the endpoint list entry of a serving machine: two machines form a cell, and the machines
/// alternate between two zones.
pub fn endpoint(id: u32) -> Endpoint {
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
    allocation_count: u64,
}

impl Host {
    pub fn new(cluster: Cluster, seed: u64, machines: u32) -> Self {
        let mut scheduler = Scheduler::new(cluster, seed, 100 * SECOND);
        let endpoints: Vec<Endpoint> = (0..machines).map(endpoint).collect();
        scheduler.apply_endpoint_list(ListUpdate::Cached, &endpoints);
        Host {
            scheduler,
            now: 100 * SECOND,
            allocation_count: 0,
        }
    }

    pub fn new_allocation(&mut self, service: u64, cores: f64, memory: f64) -> Allocation {
        self.allocation_count += 1;
        Allocation {
            id: AllocationId(self.allocation_count),
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

    /// Places the allocation and returns the machine to which it is dispatched, if any.
    pub fn dispatch_target(&mut self, allocation: &mut Allocation) -> Option<u32> {
        match self.place(allocation) {
            Placement::Dispatch { machine, .. } => Some(machine.0),
            _ => None,
        }
    }

    /// Places a new small allocation of this service and returns the machine to which it is
    /// dispatched, if any.
    pub fn dispatch_small(&mut self, service: u64) -> Option<u32> {
        let mut allocation = self.new_allocation(service, 0.1, 0.1);
        self.dispatch_target(&mut allocation)
    }

    pub fn report_placed(&mut self, allocation: &Allocation) {
        self.scheduler.on_outcome(
            self.now,
            allocation,
            allocation.attempts.len() - 1,
            Outcome::Placed,
        );
    }

    pub fn report_returned(
        &mut self,
        allocation: &mut Allocation,
        result: AttemptResult,
        reason: Option<ReturnReason>,
    ) -> NextStep {
        let attempt = allocation.attempts.len() - 1;
        let not_executed = matches!(
            result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        allocation.attempts[attempt].state = if not_executed {
            AttemptState::NotExecuted
        } else {
            AttemptState::PossiblyExecuted
        };
        let outcome = Outcome::Returned {
            result,
            reason,
            finished: result == AttemptResult::Completed,
            report: None,
        };
        self.scheduler
            .on_outcome(self.now, allocation, attempt, outcome)
    }

    /// Adds an allocation that has been running on the machine for `started_ago` and uses `used`.
    pub fn add_running(
        &mut self,
        service: u64,
        requested: Resources,
        used: Resources,
        machine: u32,
        started_ago: Ticks,
    ) -> Allocation {
        let mut allocation = self.new_allocation(service, requested.cores, requested.memory);
        allocation.attempts.push(Attempt {
            machine: MachineId(machine),
            sent_at: self.now,
            state: AttemptState::PossiblyExecuted,
        });
        self.now -= started_ago;
        self.scheduler
            .adopt_running(self.now, &allocation, MachineId(machine));
        self.now += started_ago;
        self.report_usage(&allocation, used);
        allocation
    }

    pub fn report_usage(&mut self, allocation: &Allocation, used: Resources) {
        self.scheduler
            .record_metric(self.now, allocation.id, Metric::Cores(used.cores));
        self.scheduler
            .record_metric(self.now, allocation.id, Metric::Memory(used.memory));
    }

    /// Reports a health check in which the machine has this much in use.
    pub fn report_load(&mut self, machine: u32, cores: f64, memory: f64) {
        let available_resources = SIZE - Resources { cores, memory };
        let report = LoadReport {
            available: available_resources,
        };
        self.scheduler.record_health_check(
            self.now,
            MachineId(machine),
            AttemptResult::Completed,
            Some(report),
        );
    }

    /// Adds usage records to the service, with this share of the request used.
    pub fn add_usage_records(&mut self, service: u64, used_share: f64) {
        for _ in 0..5 {
            let requested = Resources {
                cores: 2.0,
                memory: 4.0,
            };
            let mut ended =
                self.add_running(service, requested, requested * used_share, 0, 30 * SECOND);
            self.report_returned(&mut ended, AttemptResult::Completed, None);
        }
    }
}
