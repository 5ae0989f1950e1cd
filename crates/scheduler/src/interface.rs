//! The argument and result types of the scheduler: plain values, independent of any wire format.

mod allocation;
mod cluster;
mod endpoints;
mod outcomes;
mod resources;
mod units;

pub use allocation::{Allocation, Attempt, AttemptState, NextStep, Placement, PollResult};
pub use cluster::{Cluster, Domain, RetrySafety, ServiceClass, SlowStart, Tenant};
pub use endpoints::{Endpoint, ListUpdate, MachineState};
pub use outcomes::{
    AttemptResult, ConnectionResult, LateEnd, LoadReport, Metric, Outcome, ReturnReason,
};
pub use resources::Resources;
pub use units::{
    AllocationId, CellId, MachineId, MachineTypeId, ServiceClassId, ServiceId, TenantId, Ticks,
    ZoneId,
};
