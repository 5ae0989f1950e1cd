//! The filters: state, kind, health, slow start, acceptance and spread. What they let through is weighed.

use super::*;

impl Scheduler {
    /// The filters: state, kind, health, cold limit, accept limit, spread. From when the machine
    /// passes them, as far as that comes by itself: `now` or before where it does already.
    pub(super) fn opens(&self, now: Tenths, id: MachineId, allocation: &Allocation) -> Tenths {
        let machine = &self.machines[&id];
        let track = &self.cluster.tracks[allocation.track.0];
        let (Some(entry), Some(size)) = (machine.entry, self.size(machine)) else {
            return NEVER;
        };
        let wrong = track.kind.is_some_and(|kind| kind != entry.kind);
        if !machine.serving() || wrong || !self.spread_holds(id, allocation) {
            return NEVER;
        }
        let full = machine
            .full
            .filter(|(_, asks)| asks.within(allocation.asks))
            .map_or(0, |(until, _)| until);
        let room = match machine.promised.filter(|&(until, _)| until > now) {
            Some((_, to))
                if to == allocation.id && !machine.guests.values().any(|guest| guest.moved) =>
            {
                0
            }
            Some((until, _)) => until,
            None if !self.cluster.shows_room || self.fits(now, machine, size, allocation.asks) => 0,
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
    pub(super) fn cold_opens(&self, now: Tenths, id: MachineId, entry: Entry) -> Tenths {
        let cold = &self.cluster.cold;
        let Some(started) = entry.started else {
            return 0;
        };
        let warm = started + cold.lasts + MARGIN + 1;
        if now >= warm {
            return 0;
        }
        // An earlier life of ours may have used up its part of this window.
        if now < self.born + cold.window && started < self.born {
            return warm.min(self.born + cold.window);
        }
        let (offers, schedulers) = (cold.offers as usize, self.cluster.schedulers.max(1));
        let place = (mix(u64::from(id.0)) as usize % schedulers + self.cluster.number) % schedulers;
        let part = offers / schedulers + usize::from(place < offers % schedulers);
        // One that still waits for its connection may leave any moment until that must be up.
        let window = cold.window.max(self.cluster.opens_within);
        warm.min(self.machines[&id].offers_below(part, now, window + MARGIN))
    }

    pub(super) fn fits(&self, now: Tenths, machine: &Machine, size: Amount, asks: Amount) -> bool {
        let asked = self.asked(now, machine, || self.others(now, now, machine));
        (asked + asks).within(size * self.cluster.accepts)
    }

    /// How many of its service we hold in each place of the kind that its track spreads by. Counted
    /// once for an ask: where a service has all that its places may hold, each of hundreds of
    /// machines is asked about.
    pub(super) fn near(&self, allocation: &Allocation) -> Vec<(u64, usize)> {
        let Some((place, _)) = self.cluster.tracks[allocation.track.0].spread else {
            return Vec::new();
        };
        self.at_service
            .by_place(allocation.service, |id| self.place_of(place, id))
    }

    pub(super) fn spread_holds(&self, id: MachineId, allocation: &Allocation) -> bool {
        let Some((place, most)) = self.cluster.tracks[allocation.track.0].spread else {
            return true;
        };
        let there = self.place_of(place, id);
        let near = self.near.iter().find(|(other, _)| Some(*other) == there);
        near.is_none_or(|&(_, many)| many < most)
    }
}
