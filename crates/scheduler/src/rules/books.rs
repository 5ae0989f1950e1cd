//! The books: what is handed over is entered, and looked up again. Nothing is decided here; the
//! figures are those of `rules`.

use super::*;

impl Scheduler {
    /// The last promise, if it still stands: where, until when, to which.
    pub(super) fn promise(&self) -> Option<(MachineId, Ticks, AllocationId)> {
        let id = self.promise?;
        self.machines
            .get(&id)?
            .promised
            .map(|(until, to)| (id, until, to))
    }

    /// How much is kept: machines, allocations, and services with records.
    pub fn state_sizes(&self) -> [usize; 3] {
        [self.machines.len(), self.at.len(), self.records.len()]
    }

    pub(super) fn guest(&mut self, id: AllocationId) -> Option<&mut Guest> {
        self.machines
            .get_mut(self.at.get(&id)?)?
            .guests
            .get_mut(&id)
    }

    pub(super) fn same(&self, place: Domain, a: MachineId, b: MachineId) -> bool {
        let (one, other) = (self.place_of(place, a), self.place_of(place, b));
        if one.is_some() && other.is_some() {
            one == other
        } else {
            a == b
        }
    }

    pub(super) fn size(&self, machine: &Machine) -> Option<Resources> {
        self.cluster
            .machine_types
            .get(machine.entry?.machine_type.0)
            .copied()
    }

    pub(super) fn place_of(&self, place: Domain, id: MachineId) -> Option<u64> {
        self.machines
            .get(&id)?
            .entry
            .map(|entry| entry.domain(place))
    }

    /// For comparison only: each ask is a whole look, each round comes.
    pub fn evaluating_always(mut self) -> Self {
        self.waits.looks_always = true;
        self
    }

    /// After a time told by [`Wait::ends`]: none is left that was answered "not yet".
    pub fn no_deferred_left(&mut self) {
        self.waits.ask_at = None;
    }

    /// A machine that has gone and holds nothing of ours is forgotten: where machines are replaced
    /// all the time, what is kept of them would grow without end.
    pub(super) fn forget(&mut self) {
        let known = |machine: &Machine| {
            machine
                .entry
                .is_some_and(|entry| entry.state != MachineState::Removed)
        };
        let many = self.machines.len();
        self.machines
            .retain(|_, machine| known(machine) || !machine.guests.is_empty());
        self.view.open.retain(|id| self.machines.contains_key(id));
        if self.machines.len() < many {
            self.rooms.void();
        }
    }

    /// The list of machines, or what has changed in it.
    pub fn apply_endpoint_list(&mut self, scope: ListUpdate, entries: &[Endpoint]) {
        if scope == ListUpdate::Complete {
            self.machines.values_mut().for_each(Machine::leave_list);
        }
        if scope != ListUpdate::Cached {
            self.watch_fails = 0;
        }
        for &entry in entries {
            let machine = self.machines.entry(entry.machine).or_default();
            // Where it stands counts for what all of its place may hold.
            let was = machine
                .entry
                .map(|old| (old.cell, old.zone, old.started_at));
            if was != Some((entry.cell, entry.zone, entry.started_at)) {
                self.rooms.void();
            }
            self.rooms.touch(entry.machine, false);
            if machine
                .entry
                .is_some_and(|old| old.started_at != entry.started_at)
            {
                machine.restart();
            }
            machine.entry = Some(entry);
            let size = self
                .cluster
                .machine_types
                .get(entry.machine_type.0)
                .filter(|_| self.cluster.list_reports_capacity);
            machine.listed = size
                .zip(entry.unreserved)
                .map(|(&size, unasked)| size - unasked);
        }
    }

    /// An allocation that already runs has passed into our care.
    pub fn adopt_running(&mut self, now: Ticks, allocation: &Allocation, machine: MachineId) {
        self.arrive(now, allocation, machine);
        if let Some(guest) = self.guest(allocation.id) {
            (guest.placed, guest.runs, guest.sent) = (true, true, now.saturating_sub(LAG));
        }
    }

    /// A shot sent on its way earlier has left only now. A cold machine gets it in this window, not
    /// in that one.
    pub fn record_departure(&mut self, now: Ticks, machine: MachineId, sent: Ticks) {
        let Some(offers) = self
            .machines
            .get_mut(&machine)
            .map(|machine| &mut machine.offers)
        else {
            return;
        };
        if let Some(at) = offers.iter().position(|&at| at == sent) {
            offers.remove(at);
            offers.push_back(now);
        }
    }

    pub fn record_metric(&mut self, now: Ticks, id: AllocationId, note: Metric) {
        let usual = self.learnt.usual.or_one();
        let Some(machine) = self.at.get(&id).and_then(|at| self.machines.get_mut(at)) else {
            return;
        };
        machine.heard = now;
        let Some(guest) = machine.guests.get_mut(&id) else {
            return;
        };
        guest.noted(note, usual);
        match note {
            Metric::Running if !guest.runs => {
                guest.runs = true;
                self.learnt.start_time[usize::from(guest.had_program)]
                    .add((now - guest.sent) as f64, KEEP);
                // What any start is taken to need has changed.
                self.rooms.again(|_| true);
            }
            Metric::Cores(cores) => self
                .learnt
                .present
                .cores
                .add(cores / guest.asks.cores, KEEP),
            Metric::Memory(memory) => self
                .learnt
                .present
                .memory
                .add(memory / guest.asks.memory, KEEP),
            _ => {}
        }
    }

    pub(super) fn arrive(&mut self, now: Ticks, allocation: &Allocation, machine: MachineId) {
        self.at.insert(allocation.id, machine);
        let at = self.machines.entry(machine).or_default();
        let guest = Guest::new(allocation, now, at.has_program(allocation.service));
        if at.guests.is_empty() {
            at.heard = now;
        }
        at.guests.insert(allocation.id, guest);
        let kept = at
            .promised
            .take_if(|(_, to)| *to == allocation.id)
            .is_some();
        self.at_service.add(allocation.service, machine);
        self.rooms.touch(machine, kept);
    }

    /// The machine has answered for a guest: it is gone from there. An ended one leaves a record.
    pub(super) fn leave(&mut self, now: Ticks, id: AllocationId, ended: bool) {
        let Some(at) = self.at.remove(&id) else {
            return;
        };
        let Some(machine) = self.machines.get_mut(&at) else {
            return;
        };
        let Some(mut guest) = machine.guests.remove(&id) else {
            return;
        };
        self.at_service.remove(guest.service, at);
        self.rooms.touch(at, false);
        // Its service may have a place more, and what is drawn for its likes may be less.
        self.rooms.again(|kind| kind.service == guest.service);
        self.at_service
            .of(guest.service)
            .for_each(|(id, _)| self.rooms.touch(id, false));
        if guest.runs {
            machine.keep(guest.service, KEPT);
        }
        if !ended || guest.cores.is_empty() || guest.highest.memory <= 0.0 {
            return;
        }
        guest.cores.sort_by(f64::total_cmp);
        let cores = guest.cores[(guest.cores.len() * 9).div_ceil(10) - 1] / guest.asks.cores;
        let memory = guest.highest.memory / guest.asks.memory;
        self.learnt.usual.cores.add(cores, KEEP);
        self.learnt.usual.memory.add(memory, KEEP);
        let record = Record {
            peak: Resources { cores, memory },
            life: now - guest.sent,
            ended: now,
        };
        self.records.push(guest.service, record, RECORDS, SERVICES);
    }
}
