//! Chooses which of our allocations to migrate: off machines that are short of memory, off draining
//! machines, and to clear capacity for a large allocation.

use super::overload::MAX_MEMORY_SHARE;
use super::*;

/// Multiple of the mean requested cores above which a request counts as large.
const LARGE_FACTOR: f64 = 4.0;
/// Share of a machine's memory in use above which some of its allocations are migrated.
const CROWDED_MEMORY_SHARE: f64 = 0.95;
/// Share in use below which a machine that is not held back counts as a target for migrations.
const SPARE_CAPACITY_LOAD: f64 = 0.8;
/// Maximum number of our allocations migrated off a crowded machine at a time.
const MAX_MOVES_PER_MACHINE: usize = 4;

impl Scheduler {
    /// Returns whether the request is so much larger than usual that capacity for it may be
    /// available only in fragments on several machines.
    pub(super) fn is_large(&self, requested: Resources) -> bool {
        requested.cores > LARGE_FACTOR * self.learned.requested_cores.mean_or(f64::INFINITY)
    }

    /// Returns our allocations to migrate now. Like the paper, this migrates off machines that are
    /// over their usable capacity and to defragment capacity for a large allocation; in addition,
    /// it migrates off draining machines.
    pub(super) fn migrations(&mut self, now: Ticks) -> Vec<AllocationId> {
        let mut moves = self.clear_capacity(now);
        let has_spare_capacity = |id: &MachineId| {
            let machine = &self.machines[id];
            let size = self.size(machine).unwrap_or_default();
            self.total_usage(now, machine).fraction_of(size) < SPARE_CAPACITY_LOAD
        };
        if self.summary.needed_machines.iter().any(has_spare_capacity) {
            moves.extend(self.moves_off_crowded(now));
            moves.extend(self.moves_off_draining());
        }
        for &id in &moves {
            if let Some(placed) = self.placed_allocation(id) {
                placed.moving = true;
            }
        }
        moves
    }

    /// Returns allocations to migrate off machines that are short of memory. All schedulers see the
    /// same shortage, so each allocation is chosen with a probability such that all schedulers
    /// together migrate about as many as necessary.
    fn moves_off_crowded(&mut self, now: Ticks) -> Vec<AllocationId> {
        let mut crowded = Vec::new();
        for machine in self.machines.values() {
            let limit = self.size(machine).unwrap_or_default().memory * CROWDED_MEMORY_SHARE;
            let used = || self.total_usage(now, machine).memory;
            if !machine.allocations.is_empty() && used() > limit {
                crowded.push((1.0 - limit / used(), self.movable(machine)));
            }
        }
        let mut moves = Vec::new();
        for (move_probability, movable) in crowded {
            let chosen = movable
                .into_iter()
                .filter(|_| self.rng.random::<f64>() < move_probability);
            moves.extend(chosen.take(MAX_MOVES_PER_MACHINE));
        }
        moves
    }

    /// Returns allocations to migrate off draining machines. An allocation may be lost when its
    /// draining machine stops. The client of a deduplicated allocation would then have to wait
    /// until it certainly no longer runs, while after a migration it is requested again at once.
    fn moves_off_draining(&self) -> Vec<AllocationId> {
        let client_waits = |placed: &PlacedAllocation| {
            let retry_safety = self.cluster.service_classes[placed.service_class.0].retry_safety;
            matches!(retry_safety, RetrySafety::Deduplicated { .. })
        };
        let draining = self
            .machines
            .values()
            .filter(|machine| machine.is_draining());
        draining
            .flat_map(|machine| &machine.allocations)
            .filter(|(_, placed)| placed.placed && !placed.moving && client_waits(placed))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Returns our allocations on the machine that may be migrated, lowest priority first: those
    /// that run, are not large and may be retried.
    fn movable(&self, machine: &Machine) -> Vec<AllocationId> {
        let service_class =
            |placed: &PlacedAllocation| &self.cluster.service_classes[placed.service_class.0];
        let may_move = |placed: &PlacedAllocation| {
            let repeatable = service_class(placed).retry_safety != RetrySafety::NotRetryable;
            let settled = placed.placed && placed.running && !placed.moving;
            settled && repeatable && !self.is_large(placed.requested)
        };
        let placed = machine.allocations.iter();
        let mut movable: Vec<_> = placed.filter(|(_, placed)| may_move(placed)).collect();
        movable.sort_by_key(|(_, placed)| service_class(placed).priority);
        movable.into_iter().map(|(&id, _)| id).collect()
    }

    /// Reserves capacity for the starved allocation on the machine that needs the fewest migrations
    /// to make it fit, and returns these migrations.
    fn clear_capacity(&mut self, now: Ticks) -> Vec<AllocationId> {
        let Some(starved) = self.starved.take() else {
            return Vec::new();
        };
        let mut best: Option<(MachineId, Vec<AllocationId>)> = None;
        for (&id, machine) in &self.machines {
            if !machine.is_serving() || machine.ejected_until > now {
                continue;
            }
            let Some(moves) = self.moves_to_fit(now, machine, &starved) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(_, best)| moves.len() < best.len())
            {
                best = Some((id, moves));
            }
        }
        let Some((id, moves)) = best else {
            return Vec::new();
        };
        let previous = self.reserved_machine.replace(id);
        if let Some(previous) = previous.and_then(|id| self.machines.get_mut(&id)) {
            previous.reservation = None;
        }
        self.machines.entry(id).or_default().reservation = Some(Reservation {
            until: now + CAPACITY_TURNOVER,
            allocation: starved.id,
        });
        moves
    }

    /// Returns the migrations after which the machine can take the allocation, or `None` if no
    /// migrations suffice.
    fn moves_to_fit(
        &self,
        now: Ticks,
        machine: &Machine,
        new: &Allocation,
    ) -> Option<Vec<AllocationId>> {
        let size = self.size(machine)?;
        let others = || self.usage_by_others(now, now, machine);
        let mut requested = self.total_requested(now, machine, others) + new.requested;
        let expected = new.requested * self.learned.peak_usage.mean_or_one();
        let mut used = self.total_usage(now, machine) + expected;
        let fits = |requested: Resources, used: Resources| {
            requested.fits_in(size * self.cluster.admission_limit)
                && used.fits_in(size * MAX_MEMORY_SHARE)
        };
        let (mut moves, mut movable) = (Vec::new(), self.movable(machine).into_iter());
        while !fits(requested, used) {
            let id = movable.next()?;
            let placed = &machine.allocations[&id];
            requested = requested - placed.requested;
            used = used - self.usage_of(placed);
            moves.push(id);
        }
        Some(moves)
    }
}
