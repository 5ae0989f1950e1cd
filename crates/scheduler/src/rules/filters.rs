//! The filters: state, kind, health, slow start, acceptance and spread. What they let through is weighed.

use super::*;

impl Scheduler {
    /// The filters: state, kind, health, cold limit, accept limit, spread. From when the machine
    /// passes them, as far as that comes by itself: `now` or before where it does already.
    pub(super) fn opens(&self, now: Ticks, id: MachineId, allocation: &Allocation) -> Ticks {
        let machine = &self.machines[&id];
        let track = &self.cluster.service_classes[allocation.service_class.0];
        let (Some(entry), Some(size)) = (machine.entry, self.size(machine)) else {
            return NEVER;
        };
        let wrong = track
            .machine_type
            .is_some_and(|kind| kind != entry.machine_type);
        if !machine.serving() || wrong || !self.spread_holds(id, allocation) {
            return NEVER;
        }
        let full = machine
            .full
            .filter(|(_, asks)| asks.fits_in(allocation.requested))
            .map_or(0, |(until, _)| until);
        let room = match machine.promised.filter(|&(until, _)| until > now) {
            Some((_, to))
                if to == allocation.id && !machine.guests.values().any(|guest| guest.moved) =>
            {
                0
            }
            Some((until, _)) => until,
            None if !self.cluster.list_reports_capacity
                || self.fits(now, machine, size, allocation.requested) =>
            {
                0
            }
            None => now + 1,
        };
        full.max(machine.shunned)
            .max(room)
            .max(self.cold_opens(now, id, entry))
    }

    /// A just started machine falls over under too many offers, and those of others are not known.
    /// So each keeps to its part of what is always borne, in any window; what whole parts leave
    /// over goes to as many schedulers, by the machine's id. The sum is borne however many
    /// there are.
    pub(super) fn cold_opens(&self, now: Ticks, id: MachineId, entry: Endpoint) -> Ticks {
        let cold = &self.cluster.slow_start;
        let Some(started) = entry.started_at else {
            return 0;
        };
        let warm = started + cold.duration + MARGIN + 1;
        if now >= warm {
            return 0;
        }
        // An earlier life of ours may have used up its part of this window.
        if now < self.born + cold.window && started < self.born {
            return warm.min(self.born + cold.window);
        }
        let (offers, schedulers) = (
            cold.max_offers as usize,
            self.cluster.scheduler_count.max(1),
        );
        let place = (mix(u64::from(id.0)) as usize % schedulers + self.cluster.scheduler_index)
            % schedulers;
        let part = offers / schedulers + usize::from(place < offers % schedulers);
        // One that still waits for its connection may leave any moment until that must be up.
        let window = cold.window.max(self.cluster.connect_timeout);
        warm.min(self.machines[&id].offers_below(part, now, window + MARGIN))
    }

    pub(super) fn fits(
        &self,
        now: Ticks,
        machine: &Machine,
        size: Resources,
        asks: Resources,
    ) -> bool {
        let asked = self.asked(now, machine, || self.others(now, now, machine));
        (asked + asks).fits_in(size * self.cluster.admission_limit)
    }

    /// How many of its service we hold in each place of the kind that its track spreads by. Counted
    /// once for an ask: where a service has all that its places may hold, each of hundreds of
    /// machines is asked about.
    pub(super) fn near(&self, allocation: &Allocation) -> Vec<(u64, usize)> {
        let Some((place, _)) = self.cluster.service_classes[allocation.service_class.0].spread
        else {
            return Vec::new();
        };
        self.at_service
            .by_place(allocation.service, |id| self.place_of(place, id))
    }

    pub(super) fn spread_holds(&self, id: MachineId, allocation: &Allocation) -> bool {
        let Some((place, most)) = self.cluster.service_classes[allocation.service_class.0].spread
        else {
            return true;
        };
        let there = self.place_of(place, id);
        let near = self.near.iter().find(|(other, _)| Some(*other) == there);
        near.is_none_or(|&(_, many)| many < most)
    }
}
