//! The unit of time and the id types.

/// A point in time or a duration, in ticks of 0.1 ms. Callers round times and allowances down, so
/// that a time before a deadline here is never after it on the caller's finer clock.
pub type Ticks = u64;

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($value:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $value);
    )*};
}

id! {
    /// One placement of an allocation; an allocation that is requested again gets a new id.
    AllocationId(u64);
    /// A machine. The id is the same at every scheduler and stays the same when the machine's
    /// process restarts.
    MachineId(u32);
    /// A service, whose allocations share one service class, one shape and one program. The id is
    /// the same at every scheduler.
    ServiceId(u64);
    /// Index into [`Cluster::service_classes`](crate::interface::Cluster::service_classes).
    ServiceClassId(usize);
    /// Index into [`Cluster::tenants`](crate::interface::Cluster::tenants).
    TenantId(usize);
    /// Index into [`Cluster::machine_types`](crate::interface::Cluster::machine_types).
    MachineTypeId(usize);
    /// An availability zone.
    ZoneId(usize);
    /// A small group of related machines.
    CellId(u64);
}
