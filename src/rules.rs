//! All decisions of corkspan: PrV-WorstFit of docs/design.md and the guards around it.
//!
//! Called from one dispatcher, types in interface.rs. Three calls ask: [`Scheduler::place`] where to send an
//! allocation (or not yet, or never), [`Scheduler::after`] what to do after an outcome of its last shot,
//! [`Scheduler::wait`] how long to wait and what to set going meanwhile. The rest hand over plain facts.
//! The caller keeps the allocations in hand and the timers, and decides nothing.

use crate::interface::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const SECOND: Tenths = 10_000;
/// The paper's figures for the share of draws that may cross the line and for the number of draws.
const THETA: f64 = 0.01;
const DRAWS: usize = 100;
/// f for memory, below the size since machines slow down before they evict; f for cores is the track's calm.
const F_MEMORY: f64 = 0.9;
const TIE: f64 = 0.02;
/// Share of memory that a machine is filled to when none is under theta: beyond, all slow down, then some
/// are evicted. Cores may pass the calm share by some: crowded ones serve worse, but serve.
const LIMIT: f64 = 0.92;
const FADE: f64 = 0.25;
/// Load share that present need should fill on the machines not held back.
const FILL: f64 = 0.8;
/// Records kept of a service: enough to draw from, few enough to forget a use that has changed.
const RECORDS: usize = 48;
/// From this long after its send an allocation's use is taken to be in a machine's reports.
const REPORT_LAG: Tenths = SECOND;
/// A report older than this says less of a machine than the average does.
/// Likewise for the room that the list tells.
const LIST_LAG: Tenths = 2 * SECOND;
const REPORT_STALE: Tenths = 12 * SECOND;
/// Programs remembered as kept by a machine after our last allocation of the service there.
const KEPT: usize = 6;
/// Left before the abandon time, so that the answer itself is not late.
const MARGIN: Tenths = 40;
/// Between two looks at an allocation that no machine could take.
const ASK_AGAIN: Tenths = SECOND / 20;

/// What an ended allocation of a service came to use, by asked unit, and how long it ran.
#[derive(Clone, Copy)]
struct Record {
    peak: Amount,
    life: Tenths,
}

/// An allocation of ours on a machine, from the shot on until the machine has answered for it.
struct Guest {
    machine: MachineId,
    service: ServiceId,
    asks: Amount,
    sent: Tenths,
    placed: bool,
    runs: bool,
    had_program: bool,
    present: Option<Amount>,
    highest: Amount,
    cores: Vec<f64>,
}

#[derive(Default)]
struct Machine {
    entry: Option<Entry>,
    /// Use by others: what was reported, less our own part of it.
    base: Option<(Tenths, Amount)>,
    unasked: Option<(Tenths, Amount)>,
    guests: Vec<AllocationId>,
    kept: VecDeque<ServiceId>,
    offers: VecDeque<Tenths>,
    /// Shots in a row that it left without an answer, and until when it is left alone for that.
    silent: u32,
    shunned: Tenths,
    /// Until when an ask of at least this much is not offered again, after a refusal.
    full: Option<(Tenths, Amount)>,
    probed: Tenths,
}

/// A machine weighed for one allocation.
struct Weighed {
    machine: MachineId,
    load: f64,
    /// Whether it can bear the allocation by present use, draws aside.
    bears: bool,
    risk: f64,
    rise: f64,
    /// 0: to be used first; held-back machines come last.
    rank: u8,
}

/// A decaying mean, brought up to date when it is added to.
#[derive(Default, Clone, Copy)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64) {
        (self.sum, self.weight) = (self.sum * 0.95 + value, self.weight * 0.95 + 1.0);
    }
    fn or(&self, default: f64) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { default }
    }
}

pub struct Scheduler {
    cluster: Cluster,
    rng: Pcg64Mcg,
    machines: BTreeMap<MachineId, Machine>,
    guests: BTreeMap<AllocationId, Guest>,
    records: BTreeMap<ServiceId, VecDeque<Record>>,
    /// Use by asked unit over all records: what is expected of one whose use is not known yet.
    usual: [Mean; 2],
    /// Likewise use at any time, of the running.
    present: [Mean; 2],
    /// Time from offer to running without [0] and with [1] the program in place.
    start_time: [Mean; 2],
    born: Tenths,
    watch_at: Option<Tenths>,
    watch_fails: u32,
    /// When the allocations answered with "not yet" are to be looked at again.
    ask_at: Option<Tenths>,
}

fn most(a: Amount, b: Amount) -> Amount {
    Amount { cores: a.cores.max(b.cores), memory: a.memory.max(b.memory) }
}

fn plus(a: Amount, b: Amount, times: f64) -> Amount {
    Amount { cores: a.cores + b.cores * times, memory: a.memory + b.memory * times }
}

fn by(a: Amount, b: Amount) -> Amount {
    Amount { cores: a.cores * b.cores, memory: a.memory * b.memory }
}

impl Scheduler {
    pub fn new(cluster: Cluster, seed: u64, now: Tenths) -> Self {
        Scheduler {
            watch_at: cluster.ask_list.map(|_| now),
            cluster,
            rng: Pcg64Mcg::seed_from_u64(seed),
            machines: BTreeMap::new(),
            guests: BTreeMap::new(),
            records: BTreeMap::new(),
            usual: Default::default(),
            present: Default::default(),
            start_time: Default::default(),
            born: now,
            watch_fails: 0,
            ask_at: None,
        }
    }

    /// Where to send this allocation, or not yet, or never.
    pub fn place(&mut self, now: Tenths, allocation: &Allocation) -> Placement {
        if now + MARGIN >= allocation.abandon || allocation.shots.len() >= self.cluster.shots {
            return self.give_up(allocation);
        }
        let bound = allocation.shots.iter().find(|shot| shot.fate != Fate::NeverRan);
        let mut scan: Vec<MachineId> = self.machines.keys().copied().collect();
        if let Some(shot) = bound {
            match self.cluster.tracks[allocation.track.0].repeat {
                Repeat::Idempotent => {}
                Repeat::Unrepeatable => return self.give_up(allocation),
                // Past the window its repeats are no longer dropped, and outside the group never were.
                Repeat::Deduplicated { window, .. } if now + MARGIN >= shot.sent + window => {
                    return self.give_up(allocation);
                }
                Repeat::Deduplicated { group, .. } => {
                    scan.retain(|&machine| self.same_group(machine, shot.machine, group))
                }
            }
        }
        scan.retain(|&machine| self.admits(now, machine, allocation));
        if scan.is_empty() {
            return self.not_yet(now, allocation);
        }
        let open = self.open_machines(now);
        let average = self.average_use();
        let weighed: Vec<Weighed> = scan
            .into_iter()
            .map(|machine| {
                let size = self.size(machine).unwrap_or_default();
                let fits = self.fits(self.asked(now, &self.machines[&machine], size), allocation.asks, size);
                let near = self.machines[&machine].entry.is_some_and(|entry| entry.hall == self.cluster.hall);
                let rank = match fits && open.contains(&machine) {
                    true if near || self.cluster.other_hall_price == 0.0 => 0,
                    true => 1,
                    false => 2,
                };
                self.weigh(now, machine, allocation, average, rank)
            })
            .collect();
        match self.choose(&weighed) {
            Some(machine) => self.send(now, machine, allocation),
            None => self.not_yet(now, allocation),
        }
    }

    fn not_yet(&mut self, now: Tenths, allocation: &Allocation) -> Placement {
        let at = (now + ASK_AGAIN).min(allocation.abandon - MARGIN);
        self.ask_at = Some(self.ask_at.map_or(at, |other| other.min(at)));
        Placement::NotYet
    }

    /// What to do after this outcome of the allocation's last shot.
    pub fn after(&mut self, now: Tenths, allocation: &Allocation, shot: usize, outcome: Outcome) -> After {
        let Some(machine) = allocation.shots.get(shot).map(|shot| shot.machine) else { return After::Rest };
        let Outcome::Returned { ending, reason, over, report } = outcome else {
            self.machines.entry(machine).or_default().silent = 0;
            if let Some(guest) = self.guests.get_mut(&allocation.id) {
                guest.placed = true;
            }
            if self.cluster.placed_runs {
                self.noted(now, allocation.id, Note::Runs);
            }
            return After::Rest;
        };
        let was_placed = self.guests.get(&allocation.id).is_some_and(|guest| guest.placed);
        self.leave(now, allocation.id, ending == Ending::Ended);
        if let Some(report) = report {
            self.reported(now, machine, report);
        }
        let at = self.machines.entry(machine).or_default();
        match ending {
            Ending::Ended | Ending::Cancelled | Ending::NotSent => {}
            Ending::Refused => {
                at.silent = 0;
                let rest = match reason {
                    Some(Reason::QueueFull) => SECOND / 5,
                    Some(Reason::NotHere) => 2 * SECOND,
                    _ => SECOND,
                };
                let asks = if matches!(reason, Some(Reason::NoCores | Reason::NoMemory)) {
                    allocation.asks
                } else {
                    Amount::default()
                };
                at.full = Some((now + rest, asks));
            }
            Ending::Reset if was_placed && reason.is_some() => {}
            Ending::Error | Ending::TimedOut | Ending::Unconnected | Ending::Reset => {
                // A machine that leaves shots unanswered, whatever the cause: dead, cut off or standing still.
                at.silent += 1;
                at.shunned = now + (SECOND / 2 << at.silent.min(5));
            }
        }
        if over {
            return After::Rest;
        }
        After::PlaceAgain
    }

    /// How long to wait before asking again, and what to set going meanwhile.
    pub fn wait(&mut self, now: Tenths) -> Wait {
        let mut wait = Wait { time: SECOND, ..Wait::default() };
        if let Some(at) = self.watch_at {
            if at <= now {
                self.watch_at = None;
                wait.watch_list = true;
            } else {
                wait.time = wait.time.min(at - now);
            }
        }
        if let Some(at) = self.ask_at {
            if at <= now {
                self.ask_at = None;
                wait.ask_again = true;
            } else {
                wait.time = wait.time.min(at - now);
            }
        }
        if self.cluster.may_probe {
            for (&id, machine) in &mut self.machines {
                let heard = machine.base.map_or(0, |(at, _)| at).max(machine.probed);
                let serving = machine.entry.is_some_and(|entry| entry.state == State::Serving);
                if serving && heard + 2 * SECOND <= now {
                    machine.probed = now;
                    wait.probes.push(id);
                }
            }
        }
        wait
    }

    /// The list of machines, or what has changed in it.
    pub fn listed(&mut self, now: Tenths, scope: Scope, entries: &[Entry]) {
        if scope == Scope::Whole {
            for machine in self.machines.values_mut() {
                if let Some(entry) = machine.entry.as_mut() {
                    entry.state = State::Gone;
                }
            }
        }
        if scope != Scope::Remembered {
            self.watch_fails = 0;
        }
        for &entry in entries {
            let machine = self.machines.entry(entry.machine).or_default();
            let restarted = machine.entry.is_some_and(|old| old.started != entry.started);
            if restarted {
                // Another process under the same id: nothing learnt of the last one holds.
                *machine = Machine { guests: std::mem::take(&mut machine.guests), ..Machine::default() };
            }
            machine.entry = Some(entry);
            if let Some(unasked) = entry.unasked {
                machine.unasked = Some((now, unasked));
            }
        }
    }

    /// Asking for the list failed, or the watch on it broke: it doesn't say which.
    pub fn list_failed(&mut self, now: Tenths) {
        if self.cluster.ask_list.is_some() && self.watch_at.is_none() {
            let longest = SECOND << self.watch_fails.min(2);
            self.watch_fails += 1;
            self.watch_at = Some(now + longest / 2 + self.rng.random_range(0..longest));
        }
    }

    /// An allocation that already runs has passed into our care.
    pub fn taken_over(&mut self, now: Tenths, allocation: &Allocation, machine: MachineId) {
        self.arrive(now, allocation, machine);
        if let Some(guest) = self.guests.get_mut(&allocation.id) {
            (guest.placed, guest.runs) = (true, true);
            guest.sent = now.saturating_sub(REPORT_LAG);
        }
    }

    pub fn noted(&mut self, now: Tenths, id: AllocationId, note: Note) {
        let usual = self.usual_use();
        let Some(guest) = self.guests.get_mut(&id) else { return };
        let expected = by(guest.asks, usual);
        match note {
            Note::Runs if !guest.runs => {
                guest.runs = true;
                self.start_time[usize::from(guest.had_program)].add((now - guest.sent) as f64);
            }
            Note::Cores(cores) => {
                guest.present.get_or_insert(expected).cores = cores;
                guest.highest.cores = guest.highest.cores.max(cores);
                guest.cores.push(cores);
                self.present[0].add(cores / guest.asks.cores);
            }
            Note::Memory(memory) => {
                guest.present.get_or_insert(expected).memory = memory;
                guest.highest.memory = guest.highest.memory.max(memory);
                self.present[1].add(memory / guest.asks.memory);
            }
            _ => {}
        }
    }

    pub fn probed(&mut self, now: Tenths, machine: MachineId, ending: Ending, report: Option<Report>) {
        if ending == Ending::Ended {
            self.machines.entry(machine).or_default().silent = 0;
        }
        if let Some(report) = report {
            self.reported(now, machine, report);
        }
    }

    fn reported(&mut self, now: Tenths, id: MachineId, report: Report) {
        let Some(size) = self.size(id) else { return };
        let mut base = plus(size, report.unused, -1.0);
        for guest in self.machines[&id].guests.iter().filter_map(|guest| self.guests.get(guest)) {
            // One too young to be in the report would be taken off a sum that never held it.
            if guest.runs && guest.sent + REPORT_LAG <= now {
                base = plus(base, guest.present.unwrap_or(by(guest.asks, self.usual_use())), -1.0);
            }
        }
        let machine = self.machines.entry(id).or_default();
        machine.base = Some((now, most(base, Amount::default())));
    }

    /// The smallest promise that holds: a shed reply only where no shot may have run or a repeat is harmless.
    fn give_up(&self, allocation: &Allocation) -> Placement {
        let unproven = allocation.shots.iter().any(|shot| shot.fate != Fate::NeverRan);
        match self.cluster.tracks[allocation.track.0].repeat {
            Repeat::Unrepeatable | Repeat::Deduplicated { group: Group::Hall | Group::Cell, .. }
                if unproven =>
            {
                Placement::Scrap
            }
            _ => Placement::Shed,
        }
    }

    fn same_group(&self, a: MachineId, b: MachineId, group: Group) -> bool {
        let entry = |id| self.machines.get(&id).and_then(|machine: &Machine| machine.entry);
        let (Some(a), Some(b)) = (entry(a), entry(b)) else { return a == b };
        match group {
            Group::All => true,
            Group::Hall => a.hall == b.hall,
            Group::Cell => a.cell == b.cell,
        }
    }

    fn size(&self, machine: MachineId) -> Option<Amount> {
        let entry = self.machines.get(&machine)?.entry?;
        self.cluster.kinds.get(entry.kind.0).copied()
    }

    /// The filters: state, kind, health, cold limit, accept limit, spread.
    fn admits(&self, now: Tenths, id: MachineId, allocation: &Allocation) -> bool {
        let machine = &self.machines[&id];
        let track = &self.cluster.tracks[allocation.track.0];
        let (Some(entry), Some(size)) = (machine.entry, self.size(id)) else { return false };
        if entry.state != State::Serving || track.kind.is_some_and(|kind| kind != entry.kind) {
            return false;
        }
        if machine.shunned > now {
            return false;
        }
        if let Some((until, asks)) = machine.full
            && until > now
            && allocation.asks.cores >= asks.cores
            && allocation.asks.memory >= asks.memory
        {
            return false;
        }
        self.cold_bears(now, machine, entry)
            && (!self.cluster.shows_room || self.fits(self.asked(now, machine, size), allocation.asks, size))
            && self.spread_holds(id, entry, allocation)
    }

    /// A just started machine falls over under too many offers. Nothing is known of those of other schedulers,
    /// so each keeps to its part of what is always borne, in any window.
    fn cold_bears(&self, now: Tenths, machine: &Machine, entry: Entry) -> bool {
        let cold = &self.cluster.cold;
        let Some(started) = entry.started else { return true };
        if now > started + cold.lasts + MARGIN {
            return true;
        }
        // An earlier life of ours may have used up its part of this window.
        if now < self.born + cold.window && started < self.born {
            return false;
        }
        let part = (cold.offers / self.cluster.schedulers.max(1) as f64) as usize;
        let recent = machine.offers.iter().filter(|&&at| at + cold.window + MARGIN >= now).count();
        recent < part
    }

    /// What all schedulers' allocations on a machine ask for. The listed room is late: what we sent since then
    /// counts on top. Where no room is listed, others' asks are guessed from what they use.
    fn asked(&self, now: Tenths, machine: &Machine, size: Amount) -> Amount {
        let guests = machine.guests.iter().filter_map(|guest| self.guests.get(guest));
        let (listed, since) = match machine.unasked.filter(|_| self.cluster.shows_room) {
            Some((_, unasked)) => (plus(size, unasked, -1.0), now.saturating_sub(LIST_LAG)),
            None => {
                let base = machine.base.map_or(Amount::default(), |(_, base)| base);
                let usual = Amount { cores: self.present[0].or(1.0), memory: self.present[1].or(1.0) };
                (Amount { cores: base.cores / usual.cores, memory: base.memory / usual.memory }, 0)
            }
        };
        guests.filter(|guest| guest.sent >= since).fold(listed, |sum, guest| plus(sum, guest.asks, 1.0))
    }

    fn fits(&self, asked: Amount, asks: Amount, size: Amount) -> bool {
        asked.cores + asks.cores <= size.cores * self.cluster.accepts.cores
            && asked.memory + asks.memory <= size.memory * self.cluster.accepts.memory
    }

    fn spread_holds(&self, id: MachineId, entry: Entry, allocation: &Allocation) -> bool {
        let Some((place, most)) = self.cluster.tracks[allocation.track.0].spread else { return true };
        let there = self.guests.values().filter(|guest| {
            let other = self.machines.get(&guest.machine).and_then(|machine| machine.entry);
            guest.service == allocation.service
                && match place {
                    Place::Machine => guest.machine == id,
                    Place::Cell => other.is_none_or(|other| other.cell == entry.cell),
                    Place::Hall => other.is_none_or(|other| other.hall == entry.hall),
                }
        });
        there.count() < most
    }

    /// Use by asked unit that is expected where none is known; the whole ask before any record.
    fn usual_use(&self) -> Amount {
        Amount { cores: self.usual[0].or(1.0), memory: self.usual[1].or(1.0) }
    }

    /// What our own guests use there now, by their last notes or as usual.
    fn own_use(&self, machine: &Machine) -> Amount {
        machine
            .guests
            .iter()
            .filter_map(|guest| self.guests.get(guest))
            .fold(Amount::default(), |sum, guest| {
                plus(sum, guest.present.unwrap_or(by(guest.asks, self.usual_use())), 1.0)
            })
    }

    /// Present use of a machine; none where nothing lately told.
    fn present_use(&self, now: Tenths, machine: &Machine) -> Option<Amount> {
        let (at, base) = machine.base?;
        (at + REPORT_STALE > now).then(|| plus(base, self.own_use(machine), 1.0))
    }

    /// Mean use by others as a share of size, over the machines that reported.
    fn average_use(&self) -> Amount {
        let mut sum = (Amount::default(), 0.0);
        for (&id, machine) in &self.machines {
            if let (Some((_, base)), Some(size)) = (machine.base, self.size(id)) {
                let share = Amount { cores: base.cores / size.cores, memory: base.memory / size.memory };
                sum = (plus(sum.0, share, 1.0), sum.1 + 1.0);
            }
        }
        if sum.1 == 0.0 { Amount::default() } else { plus(Amount::default(), sum.0, 1.0 / sum.1) }
    }

    /// The machines not held back: as many as present need fills, those in use first, then by id, an order
    /// that all schedulers share without speaking.
    fn open_machines(&self, now: Tenths) -> Vec<MachineId> {
        let mut order = Vec::new();
        let (mut need, mut asked) = (Amount::default(), Amount::default());
        for (&id, machine) in &self.machines {
            let Some(size) = self.size(id) else { continue };
            let serving = machine.entry.is_some_and(|entry| entry.state == State::Serving);
            let used = self.present_use(now, machine);
            need = plus(need, used.unwrap_or(self.own_use(machine)), 1.0);
            asked = plus(asked, self.asked(now, machine, size), 1.0);
            if serving && machine.shunned <= now {
                let share = used.map_or(0.0, |used| (used.cores / size.cores).max(used.memory / size.memory));
                let idle = machine.guests.is_empty() && share < 0.1;
                order.push((idle, id, size));
            }
        }
        order.sort_by_key(|&(idle, id, _)| (idle, id));
        let limit = self.cluster.accepts;
        need = most(need, Amount { cores: asked.cores / limit.cores, memory: asked.memory / limit.memory });
        let mut room = Amount::default();
        let mut open = Vec::new();
        for (_, id, size) in order {
            if room.cores * FILL >= need.cores && room.memory * FILL >= need.memory && !open.is_empty() {
                break;
            }
            room = plus(room, size, 1.0);
            open.push(id);
        }
        open
    }

    /// The records that fit a guest of this age and highest use by asked unit.
    fn fitting(&self, service: ServiceId, age: Tenths, highest: Amount) -> Vec<Amount> {
        let records = self.records.get(&service).into_iter().flatten();
        let fits = records.filter(|record| {
            record.life >= age && record.peak.cores >= highest.cores && record.peak.memory >= highest.memory
        });
        fits.map(|record| record.peak).collect()
    }

    /// Risk of overload with and without the allocation by draws, and W Max with its expected start use.
    fn weigh(&mut self, now: Tenths, id: MachineId, new: &Allocation, average: Amount, rank: u8) -> Weighed {
        let size = self.size(id).unwrap_or_default();
        let machine = &self.machines[&id];
        let fresh = machine.base.filter(|&(at, _)| at + REPORT_STALE > now).map(|(_, base)| base);
        let base = fresh.unwrap_or(by(average, size));
        // What the other schedulers have sent there since is in no report yet: as much as we did, each.
        let young = machine.guests.iter().filter_map(|guest| self.guests.get(guest));
        let young = young.filter(|guest| guest.sent + REPORT_LAG > now);
        let others = self.cluster.schedulers.saturating_sub(1) as f64;
        let unseen =
            young.fold(Amount::default(), |sum, guest| plus(sum, by(guest.asks, self.usual_use()), others));
        let base = plus(base, unseen, 1.0);
        let mut pools: Vec<(Vec<Amount>, Amount)> = Vec::new();
        for guest in machine.guests.iter().filter_map(|guest| self.guests.get(guest)) {
            let highest = Amount {
                cores: guest.highest.cores / guest.asks.cores,
                memory: guest.highest.memory / guest.asks.memory,
            };
            let mut pool = self.fitting(guest.service, now - guest.sent, highest);
            if pool.is_empty() {
                // No record reaches what it uses: its own highest use, or its ask while nothing is known.
                pool.push(if guest.present.is_some() { highest } else { Amount { cores: 1.0, memory: 1.0 } });
            }
            pools.push((pool, guest.asks));
        }
        let mut pool = self.fitting(new.service, 0, Amount::default());
        if pool.is_empty() {
            pool.push(Amount { cores: 1.0, memory: 1.0 });
        }
        let line = Amount {
            cores: size.cores * self.cluster.tracks[new.track.0].calm,
            memory: size.memory * F_MEMORY,
        };
        let over = |sum: Amount| sum.cores > line.cores || sum.memory > line.memory;
        let (mut without, mut with) = (0, 0);
        for _ in 0..DRAWS {
            let mut sum = base;
            for (pool, asks) in &pools {
                sum = plus(sum, by(*asks, pool[self.rng.random_range(0..pool.len())]), 1.0);
            }
            without += usize::from(over(sum));
            sum = plus(sum, by(new.asks, pool[self.rng.random_range(0..pool.len())]), 1.0);
            with += usize::from(over(sum));
        }
        let machine = &self.machines[&id];
        let used = plus(base, self.own_use(machine), 1.0);
        let start = plus(by(new.asks, self.usual_use()), self.start_use(machine, new), 1.0);
        let load = plus(used, start, 1.0);
        Weighed {
            machine: id,
            load: (load.cores / size.cores).max(load.memory / size.memory),
            bears: load.memory <= size.memory * LIMIT
                && load.cores <= size.cores * (self.cluster.tracks[new.track.0].calm + FADE),
            risk: with as f64 / DRAWS as f64,
            rise: (with as f64 - without as f64) / DRAWS as f64,
            rank,
        }
    }

    /// Cores that the start itself takes if it is to be done within the contract time: far more where the
    /// machine must load the program first.
    fn start_use(&self, machine: &Machine, new: &Allocation) -> Amount {
        let has = self.has_program(machine, new.service);
        let time = self.start_time[usize::from(has)].or(self.start_time[1].or(0.0));
        let contract = self.cluster.tracks[new.track.0].contract_time.max(1);
        Amount { cores: time / contract as f64, memory: 0.0 }
    }

    fn has_program(&self, machine: &Machine, service: ServiceId) -> bool {
        machine.kept.contains(&service)
            || machine
                .guests
                .iter()
                .filter_map(|guest| self.guests.get(guest))
                .any(|guest| guest.service == service)
    }

    /// Lowest W Max among those under theta and not held back; else among the held back under theta; else
    /// the smallest rise in risk. Near ties at random, so that schedulers with one view don't herd.
    fn choose(&mut self, weighed: &[Weighed]) -> Option<MachineId> {
        let safe = || weighed.iter().filter(|w| w.risk <= THETA);
        let rank = safe().map(|w| w.rank).min();
        let mut group: Vec<&Weighed> = safe().filter(|w| Some(w.rank) == rank).collect();
        if group.is_empty() {
            // A machine that is over the line already rises by nothing: unless left out it would draw all to it.
            let bearable = || weighed.iter().filter(|w| w.bears);
            let least = bearable().map(|w| w.rise).fold(f64::INFINITY, f64::min);
            group = bearable().filter(|w| w.rise <= least + TIE).collect();
        }
        if group.is_empty() {
            return None;
        }
        let lowest = group.iter().map(|w| w.load).fold(f64::INFINITY, f64::min);
        group.retain(|w| w.load <= lowest * (1.0 + TIE));
        Some(group[self.rng.random_range(0..group.len())].machine)
    }

    fn send(&mut self, now: Tenths, machine: MachineId, allocation: &Allocation) -> Placement {
        self.arrive(now, allocation, machine);
        let cold = &self.cluster.cold;
        let at = self.machines.entry(machine).or_default();
        at.offers.push_back(now);
        while at.offers.front().is_some_and(|&first| first + cold.window + MARGIN < now) {
            at.offers.pop_front();
        }
        let left = allocation.abandon - MARGIN / 2 - now;
        let last = allocation.shots.len() + 1 >= self.cluster.shots;
        let repeat = self.cluster.tracks[allocation.track.0].repeat;
        let time_out = if last || repeat == Repeat::Unrepeatable { left } else { left.min(3 * SECOND) };
        Placement::Send { machine, time_out }
    }

    fn arrive(&mut self, now: Tenths, allocation: &Allocation, machine: MachineId) {
        let at = self.machines.entry(machine).or_default();
        at.guests.push(allocation.id);
        let had_program = self.has_program(&self.machines[&machine], allocation.service)
            && self.machines[&machine].guests.len() > 1;
        let guest = Guest {
            machine,
            service: allocation.service,
            asks: allocation.asks,
            sent: now,
            placed: false,
            runs: false,
            had_program,
            present: None,
            highest: Amount::default(),
            cores: Vec::new(),
        };
        self.guests.insert(allocation.id, guest);
    }

    /// The machine has answered for a guest: it is gone from there. An ended one leaves a record.
    fn leave(&mut self, now: Tenths, id: AllocationId, ended: bool) {
        let Some(mut guest) = self.guests.remove(&id) else { return };
        let machine = self.machines.entry(guest.machine).or_default();
        machine.guests.retain(|&other| other != id);
        if guest.runs {
            machine.kept.retain(|&service| service != guest.service);
            machine.kept.push_back(guest.service);
            if machine.kept.len() > KEPT {
                machine.kept.pop_front();
            }
        }
        if !ended || guest.cores.is_empty() || guest.highest.memory <= 0.0 {
            return;
        }
        guest.cores.sort_by(f64::total_cmp);
        let cores = guest.cores[(guest.cores.len() * 9).div_ceil(10) - 1] / guest.asks.cores;
        let memory = guest.highest.memory / guest.asks.memory;
        let life = now - guest.sent;
        self.usual[0].add(cores);
        self.usual[1].add(memory);
        let records = self.records.entry(guest.service).or_default();
        records.push_back(Record { peak: Amount { cores, memory }, life });
        if records.len() > RECORDS {
            records.pop_front();
        }
    }
}
