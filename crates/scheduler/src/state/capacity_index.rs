//! An upper bound of each machine's available capacity, and which requests were infeasible.

use super::statistics::ResourceMeans;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// What a machine has available, or an allocation needs. It fits by either of the first two, and by
/// the third.
#[derive(Clone, Copy)]
pub struct AvailableCapacity {
    /// By the expected usage.
    pub by_expected_usage: Resources,
    /// By the least that draws may come to.
    pub by_least_draw: Resources,
    /// By what is requested.
    pub by_requests: Resources,
}

impl AvailableCapacity {
    fn fits(&self, available: &AvailableCapacity) -> bool {
        let usage_fits = self.by_expected_usage.fits_in(available.by_expected_usage)
            || self.by_least_draw.fits_in(available.by_least_draw);
        usage_fits && self.by_requests.fits_in(available.by_requests)
    }

    fn exceeds_any(&self, former: &AvailableCapacity) -> bool {
        !self.by_expected_usage.fits_in(former.by_expected_usage)
            || !self.by_least_draw.fits_in(former.by_least_draw)
            || !self.by_requests.fits_in(former.by_requests)
    }
}

/// Allocations that are alike: where one of them is infeasible, so is another that requests as much
/// or more.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AllocationGroup {
    /// The service of all of them.
    pub service: ServiceId,
    service_class: ServiceClassId,
    tenant: TenantId,
}

impl AllocationGroup {
    /// The group of this allocation.
    pub fn of(allocation: &Allocation) -> Self {
        AllocationGroup {
            service: allocation.service,
            service_class: allocation.service_class,
            tenant: allocation.tenant,
        }
    }
}

/// No machine takes a request of at least this size until then, but for those that have gained
/// capacity after so many changes.
struct Infeasible {
    requested: Resources,
    until: Ticks,
    changes: u64,
}

/// The machines that may take an allocation, and until when no other does.
pub struct PossibleMachines {
    /// Until when it is infeasible elsewhere.
    pub until: Ticks,
    /// The machines to be evaluated.
    pub machines: Vec<MachineId>,
}

/// An upper bound of each machine's available capacity until a moment, and infeasible requests.
#[derive(Default)]
pub struct CapacityIndex {
    until: Ticks,
    /// The means that the bounds rest on.
    means: [ResourceMeans; 2],
    ids: Vec<MachineId>,
    /// For each machine in the order of `ids`, one bound for each service class.
    bounds: Vec<AvailableCapacity>,
    /// Machines to be bounded anew, and whether they may have gained what bounds don't show.
    changed: BTreeMap<MachineId, bool>,
    /// The machines that gained, the last ones of so many changes.
    gained: VecDeque<MachineId>,
    changes: u64,
    infeasible: BTreeMap<AllocationGroup, Infeasible>,
}

impl CapacityIndex {
    /// Nothing in it is true any more.
    pub fn invalidate(&mut self) {
        *self = CapacityIndex {
            changes: self.changes + 1,
            ..CapacityIndex::default()
        };
    }

    /// Replaces all bounds. `machines` is in the order of ids.
    pub fn rebuild(
        &mut self,
        until: Ticks,
        means: [ResourceMeans; 2],
        machines: Vec<(MachineId, Vec<AvailableCapacity>)>,
    ) {
        self.invalidate();
        (self.until, self.means) = (until, means);
        self.ids = machines.iter().map(|(id, _)| *id).collect();
        self.bounds = machines.into_iter().flat_map(|(_, all)| all).collect();
    }

    /// Whether the bounds were made for this moment and these means.
    pub fn is_current(&self, until: Ticks, means: [ResourceMeans; 2]) -> bool {
        (self.until, self.means) == (until, means)
    }

    /// How often capacity was gained, or may have been.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Something happened to the machine. `gains`: it may take what it would not before, whatever
    /// its bounds are.
    pub fn mark_changed(&mut self, id: MachineId, may_gain: bool) {
        match self.ids.binary_search(&id) {
            Ok(_) => *self.changed.entry(id).or_default() |= may_gain,
            Err(_) => self.invalidate(),
        }
    }

    /// The machines marked as changed.
    pub fn changed_machines(&self) -> Vec<MachineId> {
        self.changed.keys().copied().collect()
    }

    /// Replaces the bounds of a machine.
    pub fn update(&mut self, id: MachineId, bounds: Vec<AvailableCapacity>) {
        let may_gain = self.changed.remove(&id).unwrap_or(true);
        let Ok(at) = self.ids.binary_search(&id) else {
            return self.invalidate();
        };
        let former = &mut self.bounds[at * bounds.len()..][..bounds.len()];
        let mut pairs = std::iter::zip(&bounds, &*former);
        if may_gain || pairs.any(|(bound, former)| bound.exceeds_any(former)) {
            self.changes += 1;
            self.gained.push_back(id);
            if self.gained.len() > self.ids.len() {
                self.gained.pop_front();
            }
        }
        former.copy_from_slice(&bounds);
    }

    /// Such groups may be feasible though no machine has gained capacity.
    pub fn reconsider(&mut self, matches_group: impl Fn(&AllocationGroup) -> bool) {
        self.infeasible.retain(|group, _| !matches_group(group));
        self.changes += 1;
    }

    /// The machines that may take one of this group with this need.
    pub fn possible_machines(
        &self,
        now: Ticks,
        group: AllocationGroup,
        required: AvailableCapacity,
    ) -> PossibleMachines {
        let classes = self.bounds.len() / self.ids.len().max(1);
        let fits = |at: usize| required.fits(&self.bounds[at * classes + group.service_class.0]);
        let known = self.infeasible.get(&group).filter(|infeasible| {
            infeasible.requested.fits_in(required.by_requests) && infeasible.until > now
        });
        let since = known.map(|infeasible| {
            let changes = self.changes - infeasible.changes;
            (infeasible.until, changes as usize)
        });
        match since.filter(|(_, changes)| *changes <= self.gained.len()) {
            Some((until, changes)) => {
                let gained = self.gained.iter().rev().take(changes);
                let fits = |id: &&MachineId| self.ids.binary_search(id).is_ok_and(fits);
                let machines = gained.filter(fits).copied().collect();
                PossibleMachines { until, machines }
            }
            None => {
                let fitting = (0..self.ids.len()).filter(|&at| fits(at));
                PossibleMachines {
                    until: self.until,
                    machines: fitting.map(|at| self.ids[at]).collect(),
                }
            }
        }
    }

    /// The group is infeasible until then, as of the changes so far. Past `max_groups` all known
    /// groups are forgotten.
    pub fn record_infeasible(
        &mut self,
        group: AllocationGroup,
        requested: Resources,
        until: Ticks,
        max_groups: usize,
    ) {
        let changes = self.changes;
        let known = self.infeasible.get(&group).is_some_and(|known| {
            known.changes == changes && known.until == until && known.requested.fits_in(requested)
        });
        if known {
            return;
        }
        if self.infeasible.len() >= max_groups {
            self.infeasible.clear();
        }
        let infeasible = Infeasible {
            requested,
            until,
            changes,
        };
        self.infeasible.insert(group, infeasible);
    }
}
