//! What the decisions keep in mind: plain state, by which `rules` alone decides.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
        self.entry.is_some_and(|entry| entry.state == State::Serving)
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
#[derive(Default, Clone, Copy)]
pub struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    pub fn add(&mut self, value: f64, keep: f64) {
        (self.sum, self.weight) = (self.sum * keep + value, self.weight * keep + 1.0);
    }

    pub fn or(&self, default: f64) -> f64 {
        if self.weight > 0.0 { self.sum / self.weight } else { default }
    }
}

/// A mean of cores and one of memory.
#[derive(Default, Clone, Copy)]
pub struct Means {
    pub cores: Mean,
    pub memory: Mean,
}

impl Means {
    pub fn or_one(&self) -> Amount {
        Amount { cores: self.cores.or(1.0), memory: self.memory.or(1.0) }
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

/// Scatters an id, alike at every scheduler (the last steps of splitmix64).
pub fn mix(id: u64) -> u64 {
    let id = id.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}
