//! Time and ids.

/// A moment or a length of time in ticks of 0.1 ms. Callers round moments and allowances down, so
/// that "earlier than" here is never later than in the caller's finer time.
pub type Ticks = u64;

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($of:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

id! {
    /// One placement of an allocation; an allocation that returns gets a new one.
    AllocationId(u64);
    /// A machine. The same at every scheduler, also after the machine's process restarts.
    MachineId(u32);
    /// A service. Its allocations have one service class, one shape and one program. The same at
    /// every scheduler.
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
