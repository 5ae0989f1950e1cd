//! Which placed allocations are moved away: from machines over their memory, for a large one, and from draining ones.

use super::overload::LIMIT;
use super::*;

/// So many times the usual ask is large.
const LARGE: f64 = 4.0;
/// Share of memory past which some are moved away, if a machine under the second share could take
/// them.
const OVER: f64 = 0.95;
const SPARE: f64 = 0.8;
/// Allocations moved off a machine at a time, at the most.
const MOST_MOVES: usize = 4;

impl Scheduler {
    /// Far larger than the usual, so that room for it comes in pieces.
    pub(super) fn large(&self, asks: Resources) -> bool {
        asks.cores > LARGE * self.learnt.ask.or(f64::INFINITY)
    }

    /// Ours there that may be moved, low priorities first: such as run, are not large and may start
    /// again.
    pub(super) fn movable(&self, machine: &Machine) -> Vec<AllocationId> {
        let track = |guest: &Guest| &self.cluster.service_classes[guest.track.0];
        let may = |guest: &Guest| {
            let again = track(guest).retry_safety != RetrySafety::NotRetryable;
            guest.placed && guest.runs && !guest.moved && again && !self.large(guest.asks)
        };
        let mut guests: Vec<_> = machine
            .guests
            .iter()
            .filter(|(_, guest)| may(guest))
            .collect();
        guests.sort_by_key(|(_, guest)| track(guest).priority);
        guests.into_iter().map(|(&id, _)| id).collect()
    }

    /// The paper moves where a machine is over the line or an allocation fits only in pieces. So do
    /// we, and off draining machines.
    pub(super) fn moves(&mut self, now: Ticks) -> Vec<AllocationId> {
        let mut moves = self.make_room(now);
        let size = |machine: &Machine| self.size(machine).unwrap_or_default();
        let spare =
            |machine: &Machine| self.present_use(now, machine).fraction_of(size(machine)) < SPARE;
        if self.view.open.iter().any(|id| spare(&self.machines[id])) {
            moves.extend(self.relief(now));
            moves.extend(self.on_draining());
        }
        for id in &moves {
            if let Some(guest) = self.guest(*id) {
                guest.moved = true;
            }
        }
        moves
    }

    /// Off machines over their memory. All schedulers see the same machine: each of ours goes by the
    /// chance that makes as many as must go in all.
    fn relief(&mut self, now: Ticks) -> Vec<AllocationId> {
        let mut crowded = Vec::new();
        for machine in self.machines.values() {
            let limit = self.size(machine).unwrap_or_default().memory * OVER;
            let used = || self.present_use(now, machine).memory;
            if !machine.guests.is_empty() && used() > limit {
                crowded.push((1.0 - limit / used(), self.movable(machine)));
            }
        }
        let mut moves = Vec::new();
        for (part, movable) in crowded {
            let chosen = movable
                .into_iter()
                .filter(|_| self.rng.random::<f64>() < part);
            moves.extend(chosen.take(MOST_MOVES));
        }
        moves
    }

    /// What stands on a draining machine may go down with it. The owner of a deduplicated one would
    /// then wait until it is sure that it runs no longer; after a move it comes again at once.
    fn on_draining(&self) -> Vec<AllocationId> {
        let drains = |machine: &&Machine| {
            let state = machine.entry.map(|entry| entry.state);
            state == Some(MachineState::Draining)
        };
        let waits = |guest: &Guest| {
            let repeat = self.cluster.service_classes[guest.track.0].retry_safety;
            matches!(repeat, RetrySafety::Deduplicated { .. })
        };
        let draining = self.machines.values().filter(drains);
        let held = draining.flat_map(|machine| &machine.guests);
        let held = held.filter(|(_, guest)| guest.placed && !guest.moved && waits(guest));
        held.map(|(&id, _)| id).collect()
    }

    /// Clears the machine on which the fewest moves make a large allocation fit, and promises it
    /// the room.
    pub(super) fn make_room(&mut self, now: Ticks) -> Vec<AllocationId> {
        let Some(starved) = self.starved.take() else {
            return Vec::new();
        };
        let mut best: Option<(MachineId, Vec<AllocationId>)> = None;
        for (&id, machine) in &self.machines {
            let usable = machine.serving() && machine.shunned <= now;
            let Some(size) = self.size(machine).filter(|_| usable) else {
                continue;
            };
            let mut asked =
                self.asked(now, machine, || self.others(now, now, machine)) + starved.requested;
            let mut used =
                self.present_use(now, machine) + starved.requested * self.learnt.usual.or_one();
            let fits = |asked: Resources, used: Resources| {
                asked.fits_in(size * self.cluster.admission_limit) && used.fits_in(size * LIMIT)
            };
            let (mut cleared, mut movable) = (Vec::new(), self.movable(machine).into_iter());
            while !fits(asked, used)
                && let Some(id) = movable.next()
            {
                let guest = &machine.guests[&id];
                (asked, used) = (asked - guest.asks, used - self.use_of(guest));
                cleared.push(id);
            }
            if fits(asked, used)
                && best
                    .as_ref()
                    .is_none_or(|(_, fewest)| cleared.len() < fewest.len())
            {
                best = Some((id, cleared));
            }
        }
        let Some((id, cleared)) = best else {
            return Vec::new();
        };
        if let Some(former) = self
            .promise
            .replace(id)
            .and_then(|id| self.machines.get_mut(&id))
        {
            former.promised = None;
        }
        self.machines.entry(id).or_default().promised = Some((now + TURNOVER, starved.id));
        cleared
    }
}
