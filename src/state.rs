//! What the decisions keep in mind: plain state, by which `rules` alone decides.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A moment that never comes by itself.
pub const NEVER: Tenths = Tenths::MAX;

/// What an ended allocation of a service came to use, by asked unit, and how long it ran.
#[derive(Clone, Copy)]
pub struct Record {
    pub peak: Amount,
    pub life: Tenths,
    pub ended: Tenths,
}

/// An allocation of ours on a machine, from the shot on until the machine has answered for it.
pub struct Guest {
    pub service: ServiceId,
    pub track: TrackId,
    pub account: AccountId,
    pub asks: Amount,
    pub sent: Tenths,
    pub placed: bool,
    pub runs: bool,
    /// Whether the machine was thought to hold the program when it was sent.
    pub had_program: bool,
    pub moved: bool,
    pub present: Option<Amount>,
    pub highest: Amount,
    /// Noted uses of cores, for the percentile.
    pub cores: Vec<f64>,
}

impl Guest {
    pub fn new(allocation: &Allocation, sent: Tenths, had_program: bool) -> Self {
        Guest {
            service: allocation.service,
            track: allocation.track,
            account: allocation.account,
            asks: allocation.asks,
            sent,
            placed: false,
            runs: false,
            had_program,
            moved: false,
            present: None,
            highest: Amount::default(),
            cores: Vec::new(),
        }
    }
}

impl Guest {
    /// Notes its use now; what is not told yet is taken to be as usual by asked unit.
    pub fn noted(&mut self, note: Note, usual: Amount) {
        let present = self.present.unwrap_or(self.asks * usual);
        match note {
            Note::Cores(cores) => {
                self.present = Some(Amount { cores, ..present });
                self.highest.cores = self.highest.cores.max(cores);
                self.cores.push(cores);
            }
            Note::Memory(memory) => {
                self.present = Some(Amount { memory, ..present });
                self.highest.memory = self.highest.memory.max(memory);
            }
            _ => {}
        }
    }
}

#[derive(Default)]
pub struct Machine {
    pub entry: Option<Entry>,
    /// Use by others: what was reported, less our own part of it.
    pub base: Option<(Tenths, Amount)>,
    /// What the list tells that all have asked for there.
    pub listed: Option<Amount>,
    pub guests: BTreeMap<AllocationId, Guest>,
    /// Programs kept after our last allocation of the service there.
    pub kept: VecDeque<ServiceId>,
    /// Our offers within the last cold window.
    pub offers: VecDeque<Tenths>,
    /// Shots in a row that it left without an answer, and until when it is left alone for that.
    pub silent: u32,
    pub shunned: Tenths,
    /// The last allocation that it answered with an error.
    pub doubted: Option<AllocationId>,
    /// Until when an ask of at least this much is not offered again, after a refusal.
    pub full: Option<(Tenths, Amount)>,
    /// Kept free until then for an allocation that fits nowhere.
    pub promised: Option<(Tenths, AllocationId)>,
    pub probed: Tenths,
    /// The last sign of life, or when we first had something there.
    pub heard: Tenths,
}

impl Machine {
    pub fn serving(&self) -> bool {
        self.entry
            .is_some_and(|entry| entry.state == State::Serving)
    }

    /// Left out of a whole list.
    pub fn leave_list(&mut self) {
        if let Some(entry) = self.entry.as_mut() {
            entry.state = State::Gone;
        }
    }

    /// Another process under the same id: of what was learnt only our own shots still count.
    pub fn restart(&mut self) {
        let Machine { guests, offers, .. } = std::mem::take(self);
        *self = Machine {
            guests,
            offers,
            ..Machine::default()
        };
    }

    /// From when on fewer than `part` of our offers are so recent, if none is added. 0: they are.
    pub fn offers_below(&self, part: usize, now: Tenths, recent: Tenths) -> Tenths {
        let offers = self.offers.iter().filter(|&&at| at + recent >= now);
        let over = (offers.clone().count() + 1).saturating_sub(part);
        match over {
            0 => 0,
            _ if part == 0 => NEVER,
            _ => offers.take(over).max().map_or(NEVER, |at| at + recent + 1),
        }
    }

    /// Counts one more fault in a row, and leaves the machine alone for `rest`, doubled with each.
    pub fn fault(&mut self, now: Tenths, rest: Tenths) {
        self.shunned = now + (rest << self.silent.min(4));
        self.silent += 1;
    }

    /// Notes a program as the last one kept, of so many at the most.
    pub fn keep(&mut self, service: ServiceId, most: usize) {
        self.kept.retain(|&other| other != service);
        self.kept.push_back(service);
        if self.kept.len() > most {
            self.kept.pop_front();
        }
    }

    pub fn has_program(&self, service: ServiceId) -> bool {
        self.kept.contains(&service) || self.guests.values().any(|guest| guest.service == service)
    }
}

/// A mean in which what came earlier decays by `keep` with each value.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    pub fn add(&mut self, value: f64, keep: f64) {
        (self.sum, self.weight) = (self.sum * keep + value, self.weight * keep + 1.0);
    }

    pub fn or(&self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }
}

/// A mean of cores and one of memory.
#[derive(Default, Clone, Copy, PartialEq)]
pub struct Means {
    pub cores: Mean,
    pub memory: Mean,
}

impl Means {
    pub fn or_one(&self) -> Amount {
        Amount {
            cores: self.cores.or(1.0),
            memory: self.memory.or(1.0),
        }
    }
}

/// What is learnt over all machines.
#[derive(Default)]
pub struct Learnt {
    /// Use by asked unit over all records: what is expected of one whose use is not known yet.
    pub usual: Means,
    /// Likewise use at any time, of the running.
    pub present: Means,
    /// Time from offer to running without [0] and with [1] the program in place.
    pub start_time: [Mean; 2],
    /// Time from offer to the placed answer.
    pub answer_time: Mean,
    /// Cores asked by the allocations taken.
    pub ask: Mean,
}

/// How many of each service are on which machines.
#[derive(Default)]
pub struct Services(BTreeMap<ServiceId, BTreeMap<MachineId, usize>>);

impl Services {
    pub fn add(&mut self, service: ServiceId, machine: MachineId) {
        *self
            .0
            .entry(service)
            .or_default()
            .entry(machine)
            .or_default() += 1;
    }

    pub fn remove(&mut self, service: ServiceId, machine: MachineId) {
        let Some(at) = self.0.get_mut(&service) else {
            return;
        };
        at.entry(machine).and_modify(|many| *many -= 1);
        at.retain(|_, many| *many > 0);
        if at.is_empty() {
            self.0.remove(&service);
        }
    }

    /// How many of it are in each place.
    pub fn by_place(
        &self,
        service: ServiceId,
        place: impl Fn(MachineId) -> Option<u64>,
    ) -> Vec<(u64, usize)> {
        let mut places: Vec<(u64, usize)> = Vec::new();
        for (there, many) in self
            .of(service)
            .filter_map(|(id, many)| Some((place(id)?, many)))
        {
            match places.iter_mut().find(|(other, _)| *other == there) {
                Some((_, sum)) => *sum += many,
                None => places.push((there, many)),
            }
        }
        places
    }

    pub fn of(&self, service: ServiceId) -> impl Iterator<Item = (MachineId, usize)> {
        self.0
            .get(&service)
            .into_iter()
            .flatten()
            .map(|(&id, &many)| (id, many))
    }
}

/// The records of each service, the last one first.
#[derive(Default)]
pub struct Records(BTreeMap<ServiceId, VecDeque<Record>>);

impl Records {
    /// Keeps so many of a service, and so many services: they come and go without end, and the one
    /// longest without an end gives way.
    pub fn push(&mut self, service: ServiceId, record: Record, most: usize, services: usize) {
        let records = self.0.entry(service).or_default();
        records.push_front(record);
        records.truncate(most);
        if self.0.len() > services {
            let ended = |records: &VecDeque<Record>| records.front().map(|record| record.ended);
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, records)| ended(records))
                .map(|(&id, _)| id);
            oldest.map(|id| self.0.remove(&id));
        }
    }

    /// Peaks of those that fit a guest of this age and highest use by asked unit, else the one
    /// given.
    pub fn fitting(
        &self,
        service: ServiceId,
        age: Tenths,
        highest: Amount,
        none: Amount,
    ) -> Vec<Amount> {
        let records = self.0.get(&service).into_iter().flatten();
        let fits = records.filter(|record| record.life >= age && highest.within(record.peak));
        let peaks: Vec<Amount> = fits.map(|record| record.peak).collect();
        if peaks.is_empty() { vec![none] } else { peaks }
    }

    /// No peak of the service is below this, nor the one taken where none is known.
    pub fn least(&self, service: ServiceId) -> Amount {
        let records = self.0.get(&service).into_iter().flatten();
        records.fold(Amount::ONE, |least, record| least.least(record.peak))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}

/// What holds over all machines.
#[derive(Default)]
pub struct View {
    pub taken: Option<Tenths>,
    /// Use by others as a share of size, in the mean.
    pub average: Amount,
    /// The machines not held back.
    pub open: BTreeSet<MachineId>,
}

/// A machine weighed for one allocation.
#[derive(Clone, Copy)]
pub struct Weighed {
    pub machine: MachineId,
    /// Whether lower priorities were taken to yield.
    pub yields: bool,
    pub load: f64,
    /// Whether it can bear the allocation by present use, draws aside.
    pub bears: bool,
    pub base: Amount,
    pub line: Amount,
    /// 0: to be used first; held-back machines come last.
    pub rank: u8,
}

/// What a machine has room for, or an allocation needs: by what is likely in use, by the least that
/// may be drawn, and by what is asked.
#[derive(Clone, Copy)]
pub struct Room {
    pub bears: Amount,
    pub line: Amount,
    pub asked: Amount,
}

impl Room {
    fn within(&self, room: &Room) -> bool {
        let uses = self.bears.within(room.bears) || self.line.within(room.line);
        uses && self.asked.within(room.asked)
    }

    fn gains(&self, former: &Room) -> bool {
        let of = |room: &Room| [room.bears, room.line, room.asked];
        std::iter::zip(of(self), of(former)).any(|(now, former)| !now.within(former))
    }
}

/// Likes: what one of them finds no machine for, another that asks for no less finds none for
/// either.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    pub service: ServiceId,
    track: TrackId,
    account: AccountId,
}

impl Kind {
    pub fn of(allocation: &Allocation) -> Self {
        Kind {
            service: allocation.service,
            track: allocation.track,
            account: allocation.account,
        }
    }
}

/// So much was asked for in vain, and will be until then but for machines that gain after so many
/// changes.
struct Vain {
    asks: Amount,
    until: Tenths,
    changes: u64,
}

/// The room that each machine has at the most until a moment, and what was asked for in vain.
#[derive(Default)]
pub struct Rooms {
    until: Tenths,
    learnt: [Means; 2],
    ids: Vec<MachineId>,
    /// Of each machine, one for each track.
    rooms: Vec<Room>,
    /// Machines that something happened to, and whether they may have gained what rooms don't
    /// tell.
    touched: BTreeMap<MachineId, bool>,
    /// The machines that gained, the last ones of so many changes.
    gained: VecDeque<MachineId>,
    changes: u64,
    vain: BTreeMap<Kind, Vain>,
}

impl Rooms {
    /// Nothing of it holds any more.
    pub fn void(&mut self) {
        *self = Rooms {
            changes: self.changes + 1,
            ..Rooms::default()
        };
    }

    pub fn build(&mut self, until: Tenths, learnt: [Means; 2], all: Vec<(MachineId, Vec<Room>)>) {
        self.void();
        (self.until, self.learnt) = (until, learnt);
        self.ids = all.iter().map(|(id, _)| *id).collect();
        self.rooms = all.into_iter().flat_map(|(_, rooms)| rooms).collect();
    }

    pub fn stand(&self, until: Tenths, learnt: [Means; 2]) -> bool {
        (self.until, self.learnt) == (until, learnt)
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    pub fn touch(&mut self, id: MachineId, gains: bool) {
        match self.ids.binary_search(&id) {
            Ok(_) => *self.touched.entry(id).or_default() |= gains,
            Err(_) => self.void(),
        }
    }

    pub fn touched(&self) -> Vec<MachineId> {
        self.touched.keys().copied().collect()
    }

    pub fn renew(&mut self, id: MachineId, rooms: Vec<Room>) {
        let gains = self.touched.remove(&id).unwrap_or(true);
        let Ok(at) = self.ids.binary_search(&id) else {
            return self.void();
        };
        let former = &mut self.rooms[at * rooms.len()..][..rooms.len()];
        if gains || std::iter::zip(&rooms, &*former).any(|(now, former)| now.gains(former)) {
            self.changes += 1;
            self.gained.push_back(id);
            if self.gained.len() > self.ids.len() {
                self.gained.pop_front();
            }
        }
        former.copy_from_slice(&rooms);
    }

    /// Such kinds may find a machine though none has gained room.
    pub fn again(&mut self, which: impl Fn(&Kind) -> bool) {
        self.vain.retain(|kind, _| !which(kind));
        self.changes += 1;
    }

    /// The machines that one of this kind with this need is to be weighed for, and until when it is
    /// in vain but for them.
    pub fn passing(&self, now: Tenths, kind: Kind, need: Room) -> (Tenths, Vec<MachineId>) {
        let tracks = self.rooms.len() / self.ids.len().max(1);
        let passes = |at: usize| need.within(&self.rooms[at * tracks + kind.track.0]);
        let known = self
            .vain
            .get(&kind)
            .filter(|vain| vain.asks.within(need.asked) && vain.until > now);
        let since = known.map(|vain| (vain.until, (self.changes - vain.changes) as usize));
        match since.filter(|(_, since)| *since <= self.gained.len()) {
            Some((until, since)) => {
                let gained = self.gained.iter().rev().take(since);
                let at = |id: &&MachineId| self.ids.binary_search(id).is_ok_and(passes);
                (until, gained.filter(at).copied().collect())
            }
            None => {
                let all = (0..self.ids.len()).filter(|&at| passes(at));
                (self.until, all.map(|at| self.ids[at]).collect())
            }
        }
    }

    /// In vain until then, as of the changes so far. Of so many kinds at the most.
    pub fn keep(&mut self, kind: Kind, asks: Amount, until: Tenths, most: usize) {
        let changes = self.changes;
        let same =
            |vain: &Vain| vain.changes == changes && vain.until == until && vain.asks.within(asks);
        if self.vain.get(&kind).is_some_and(same) {
            return;
        }
        if self.vain.len() >= most {
            self.vain.clear();
        }
        self.vain.insert(
            kind,
            Vain {
                asks,
                until,
                changes,
            },
        );
    }
}

/// When those that were answered "not yet" are to be looked at again.
pub struct Waits {
    /// The next moment for it, if anything has changed by then or `open_at` has come.
    pub ask_at: Option<Tenths>,
    /// From here on one might find a machine though nothing happens.
    pub open_at: Tenths,
    /// Last moments to answer, of those that come before all are looked at again.
    ends: BTreeSet<Tenths>,
    /// The changes that the last round of looks began with, and whether its first look is still to
    /// come: that takes the view anew, which is no change after it.
    pub changes: u64,
    begins: bool,
    last: Option<Tenths>,
    /// Only to compare with: each ask is a whole look.
    pub looks_always: bool,
}

impl Default for Waits {
    fn default() -> Self {
        let ends = BTreeSet::new();
        Waits {
            ask_at: None,
            open_at: NEVER,
            ends,
            changes: 0,
            begins: false,
            last: None,
            looks_always: false,
        }
    }
}

impl Waits {
    /// Whether one was answered "not yet" after that moment, and looks may be left out.
    pub fn since(&self, moment: Tenths) -> bool {
        !self.looks_always && self.last.is_some_and(|at| at >= moment)
    }

    pub fn not_yet(&mut self, now: Tenths, ask_at: Tenths, open_at: Tenths, end: Option<Tenths>) {
        self.last = Some(now);
        self.ask_at = Some(self.ask_at.map_or(ask_at, |other| other.min(ask_at)));
        self.open_at = self.open_at.min(open_at);
        self.ends.extend(end);
    }

    pub fn next(&self) -> Option<Tenths> {
        [self.ask_at, self.ends.first().copied()]
            .into_iter()
            .flatten()
            .min()
    }

    pub fn due(&self, now: Tenths) -> bool {
        self.next().is_some_and(|at| at <= now)
    }

    /// All are looked at again.
    pub fn round(&mut self, changes: u64) {
        let Waits {
            last, looks_always, ..
        } = *self;
        *self = Waits {
            changes,
            begins: true,
            last,
            looks_always,
            ..Waits::default()
        };
    }

    /// With this look, of so many changes.
    pub fn begun(&mut self, changes: u64) {
        if std::mem::take(&mut self.begins) {
            self.changes = changes;
        }
    }

    /// None but those whose last moment has come, if any.
    pub fn end(&mut self, now: Tenths, ask_at: Tenths) -> bool {
        let many = self.ends.len();
        self.ends = self.ends.split_off(&(now + 1));
        self.ask_at = Some(ask_at);
        self.ends.len() < many
    }
}

/// Scatters an id, alike at every scheduler (the last steps of splitmix64).
pub fn mix(id: u64) -> u64 {
    let id = id.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}
