//! Which of our allocations move away: off machines short of memory, off draining ones, and to
//! clear capacity for a large one.

use super::overload::MAX_MEMORY_SHARE;
use super::*;

/// A request of so many times the usual one is large.
const LARGE_FACTOR: f64 = 4.0;
/// Part of the memory in use past which some move away.
const CROWDED_MEMORY_SHARE: f64 = 0.95;
/// An open machine with less than this in use could take them.
const SPARE_CAPACITY_LOAD: f64 = 0.8;
/// Allocations moved off a crowded machine at a time.
const MAX_MOVES_PER_MACHINE: usize = 4;

impl Scheduler {
    /// So much larger than usual that capacity for it comes in pieces.
    pub(super) fn is_large(&self, requested: Resources) -> bool {
        requested.cores > LARGE_FACTOR * self.learned.requested_cores.mean_or(f64::INFINITY)
    }

    /// Our allocations that move now. The paper moves where a machine is over the line or an
    /// allocation fits only in pieces; so do we, and off draining machines.
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

    /// Off machines short of memory. All schedulers see the same machine: each of ours moves by the
    /// chance at which as many move in all as must.
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

    /// An allocation may go down with its draining machine. The client of a deduplicated one would
    /// then wait until it is certain to run no longer; after a move it comes again at once.
    fn moves_off_draining(&self) -> Vec<AllocationId> {
        let client_waits = |placed: &PlacedAllocation| {
            let retry_safety = self.cluster.service_classes[placed.service_class.0].retry_safety;
            matches!(retry_safety, RetrySafety::Deduplicated { .. })
        };
        let draining = self.machines.values().filter(|one| one.is_draining());
        draining
            .flat_map(|machine| &machine.allocations)
            .filter(|(_, placed)| placed.placed && !placed.moving && client_waits(placed))
            .map(|(&id, _)| id)
            .collect()
    }

    /// Our allocations there that may move, low priorities first: those that run, are not large and
    /// may start again.
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

    /// Clears the machine on which the fewest moves make the starved allocation fit, and reserves
    /// its capacity.
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

    /// The moves after which the machine can take it; none if it can't.
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
