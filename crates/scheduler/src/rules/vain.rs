//! Which looks would be in vain. Nothing is decided here: a look is left out only where the whole
//! one in `rules` would end in "not yet", which tests hold against it call by call. The figures are
//! those of `rules`.

use super::overload::{F_MEMORY, FADE, LIMIT, THETA};
use super::*;

/// What rounding may take off, in parts.
const ROUNDING: f64 = 1e-9;
const NO_ROOM: Resources = Resources {
    cores: f64::NEG_INFINITY,
    memory: f64::NEG_INFINITY,
};

impl Scheduler {
    /// Until when no machine can take this one if nothing happens meanwhile; `now` where one may.
    /// Machines are held against their rooms, and only those that pass are weighed; of a kind
    /// that has been in vain before, only the machines that have gained since.
    pub(super) fn vain_until(&mut self, now: Ticks, new: &Allocation) -> Ticks {
        if self.promise().is_some_and(|(_, _, to)| to == new.id) {
            return now;
        }
        self.refresh(now);
        self.waits.begun(self.rooms.changes());
        let kind = Kind::of(new);
        let least = self.records.least(new.service);
        let track = &self.cluster.service_classes[new.service_class.0];
        let start = self.start(true, track).min(self.start(false, track));
        let need = Room {
            bears: new.requested * self.learnt.usual.or_one() + start,
            line: new.requested * least,
            asked: new.requested,
        };
        let (mut until, ids) = self.rooms.passing(now, kind, need);
        let mut beyond = None;
        for id in ids.iter().copied() {
            let at = self.open_from(now, id, new, &mut beyond);
            if at <= now {
                return now;
            }
            until = until.min(at);
        }
        self.rooms.keep(kind, new.requested, until, SERVICES);
        until
    }

    /// The first moment from which the machine might take it, weighed now, if nothing happens
    /// meanwhile.
    fn open_from(
        &self,
        now: Ticks,
        id: MachineId,
        new: &Allocation,
        beyond: &mut Option<bool>,
    ) -> Ticks {
        let opens = self.opens(now, id, new);
        let yields = self.stays(new.service_class, None) < 1.0;
        let Some(weighed) = self.weigh(now, id, new, yields).filter(|_| opens <= now) else {
            return opens;
        };
        let bears = weighed.bears && !*beyond.get_or_insert_with(|| self.beyond_share(new));
        let may = bears
            || self
                .risk(
                    now,
                    &Weighed {
                        bears: false,
                        ..weighed
                    },
                    new,
                )
                .0
                <= THETA;
        now + Ticks::from(!may)
    }

    /// Brings the rooms up to date: all of them with each new view and when what is learnt has
    /// changed.
    fn refresh(&mut self, now: Ticks) {
        let until = self.view.taken.unwrap_or(now) + LOOK;
        let learnt = [self.learnt.usual, self.learnt.present];
        if self.rooms.stand(until, learnt) {
            for id in self.rooms.touched() {
                let room = self.room(now, until, id);
                self.rooms.renew(id, room);
            }
        } else {
            let all: Vec<_> = self
                .machines
                .keys()
                .map(|&id| (id, self.room(now, until, id)))
                .collect();
            self.rooms.build(until, learnt, all);
        }
    }

    /// What the machine has room for until then at the most, for each track, unless something
    /// happens to it. Its use by others lies between its ends, and guests that come of age
    /// meanwhile count as of age.
    fn room(&self, now: Ticks, until: Ticks, id: MachineId) -> Vec<Room> {
        let none = Room {
            bears: NO_ROOM,
            line: NO_ROOM,
            asked: NO_ROOM,
        };
        let Some(machine) = self.machines.get(&id).filter(|machine| machine.serving()) else {
            return vec![none; self.cluster.service_classes.len()];
        };
        let Some((size, entry)) = self.size(machine).zip(machine.entry) else {
            return vec![none; self.cluster.service_classes.len()];
        };
        let others = self
            .others(until, now, machine)
            .min(self.others(until, until, machine));
        let asked = size * self.cluster.admission_limit - self.asked(until, machine, || others);
        let asked = if self.cluster.list_reports_capacity {
            asked + size * ROUNDING
        } else {
            Resources::ONE * f64::INFINITY
        };
        let rooms = self
            .cluster
            .service_classes
            .iter()
            .enumerate()
            .map(|(track, of)| {
                if of
                    .machine_type
                    .is_some_and(|kind| kind != entry.machine_type)
                {
                    return none;
                }
                let (uses, least) = self.likely_use(machine, ServiceClassId(track), others);
                let most = size
                    * Resources {
                        cores: of.target_utilization + FADE + ROUNDING,
                        memory: LIMIT + ROUNDING,
                    };
                let line = size
                    * Resources {
                        cores: of.target_utilization + ROUNDING,
                        memory: F_MEMORY + ROUNDING,
                    };
                Room {
                    bears: most - uses,
                    line: line - least,
                    asked,
                }
            });
        rooms.collect()
    }

    /// What one of this track finds in use, and the least that may be drawn.
    fn likely_use(
        &self,
        machine: &Machine,
        track: ServiceClassId,
        others: Resources,
    ) -> (Resources, Resources) {
        let stays = |of| self.stays(track, of);
        let (mut uses, mut least) = (others * stays(None), others * stays(None));
        for guest in machine.guests.values() {
            let own = self.use_of(guest);
            let least_drawn = || guest.asks * self.records.least(guest.service);
            let drawn = guest.present.map_or_else(least_drawn, |_| guest.highest);
            (uses, least) = (
                uses + own * stays(Some(guest.track)),
                least + drawn * stays(Some(guest.track)),
            );
        }
        (uses, least)
    }

    /// Whether one of those that wait might find a machine now that found none in the last round.
    pub(super) fn changed(&mut self, now: Ticks) -> bool {
        let old = self.view.taken.is_none_or(|taken| taken + LOOK <= now);
        if old || self.waits.open_at <= now {
            return true;
        }
        self.refresh(now);
        self.rooms.changes() != self.waits.changes
    }
}
