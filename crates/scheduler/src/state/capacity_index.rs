//! Keeps an upper bound of each machine's available capacity and the requests found to be
//! infeasible.

use super::statistics::ResourceMeans;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The capacity that a machine has available or that an allocation requires. An allocation fits if
/// it fits by expected usage or by the least draw, and also by requests.
#[derive(Clone, Copy)]
pub struct AvailableCapacity {
    /// Capacity by expected usage.
    pub by_expected_usage: Resources,
    /// Capacity by the least usage that can be drawn.
    pub by_least_draw: Resources,
    /// Capacity by requests.
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

/// A group of similar allocations: if one of them is infeasible, so is any other that requests at
/// least as much.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AllocationGroup {
    /// The service of all of them.
    pub service: ServiceId,
    service_class: ServiceClassId,
    tenant: TenantId,
}

impl AllocationGroup {
    /// Returns the group of this allocation.
    pub fn of(allocation: &Allocation) -> Self {
        AllocationGroup {
            service: allocation.service,
            service_class: allocation.service_class,
            tenant: allocation.tenant,
        }
    }
}

/// A record that no machine can take a request of at least `requested` before `until`, except
/// machines that have gained capacity since the index counted `changes` changes.
struct Infeasible {
    requested: Resources,
    until: Ticks,
    changes: u64,
}

/// The machines that may take an allocation, and the time until which no other machine can.
pub struct PossibleMachines {
    /// The time until which the allocation is infeasible on all other machines.
    pub until: Ticks,
    /// The machines to be evaluated.
    pub machines: Vec<MachineId>,
}

/// An upper bound of each machine's available capacity, valid until a given time, and the
/// infeasible requests.
#[derive(Default)]
pub struct CapacityIndex {
    until: Ticks,
    /// The means from which the bounds were computed.
    means: [ResourceMeans; 2],
    ids: Vec<MachineId>,
    /// For each machine in the order of `ids`, one bound for each service class.
    bounds: Vec<AvailableCapacity>,
    /// Machines whose bounds must be recomputed, and whether each may take requests that it didn't
    /// before even if its bounds don't rise.
    changed: BTreeMap<MachineId, bool>,
    /// The machines that gained capacity in the latest changes, the last one last.
    gained: VecDeque<MachineId>,
    changes: u64,
    infeasible: BTreeMap<AllocationGroup, Infeasible>,
}

impl CapacityIndex {
    /// Discards all bounds and infeasible requests.
    pub fn invalidate(&mut self) {
        *self = CapacityIndex {
            changes: self.changes + 1,
            ..CapacityIndex::default()
        };
    }

    /// Replaces all bounds. `machines` must be sorted by id.
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

    /// Returns whether the bounds were computed for this time and these means.
    pub fn is_current(&self, until: Ticks, means: [ResourceMeans; 2]) -> bool {
        (self.until, self.means) == (until, means)
    }

    /// Returns the number of times that capacity was or may have been gained.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Marks the machine as changed. With `may_gain` it may take requests that it didn't before,
    /// whatever its bounds are.
    pub fn mark_changed(&mut self, id: MachineId, may_gain: bool) {
        match self.ids.binary_search(&id) {
            Ok(_) => *self.changed.entry(id).or_default() |= may_gain,
            Err(_) => self.invalidate(),
        }
    }

    /// Returns the machines marked as changed.
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

    /// Forgets the infeasible requests of the matching groups, which may have become feasible
    /// though no machine has gained capacity.
    pub fn reconsider(&mut self, matches_group: impl Fn(&AllocationGroup) -> bool) {
        self.infeasible.retain(|group, _| !matches_group(group));
        self.changes += 1;
    }

    /// Returns the machines that may take an allocation of this group with this required capacity.
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

    /// Records that the group is infeasible until this time, as of the changes so far. If
    /// `max_groups` groups are recorded already, all of them are forgotten first.
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
