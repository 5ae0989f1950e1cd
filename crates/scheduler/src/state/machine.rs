//! Machines and what we have placed on them.

use super::NEVER;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// An allocation of ours on a machine, from the shot on until the machine has answered for it.
pub struct Guest {
    pub service: ServiceId,
    pub track: ServiceClassId,
    pub account: TenantId,
    pub asks: Resources,
    pub sent: Ticks,
    pub placed: bool,
    pub runs: bool,
    /// Whether the machine was thought to hold the program when it was sent.
    pub had_program: bool,
    pub moved: bool,
    pub present: Option<Resources>,
    pub highest: Resources,
    /// Noted uses of cores, for the percentile.
    pub cores: Vec<f64>,
}

impl Guest {
    pub fn new(allocation: &Allocation, sent: Ticks, had_program: bool) -> Self {
        Guest {
            service: allocation.service,
            track: allocation.service_class,
            account: allocation.tenant,
            asks: allocation.requested,
            sent,
            placed: false,
            runs: false,
            had_program,
            moved: false,
            present: None,
            highest: Resources::default(),
            cores: Vec::new(),
        }
    }
}

impl Guest {
    /// Notes its use now; what is not told yet is taken to be as usual by asked unit.
    pub fn noted(&mut self, note: Metric, usual: Resources) {
        let present = self.present.unwrap_or(self.asks * usual);
        match note {
            Metric::Cores(cores) => {
                self.present = Some(Resources { cores, ..present });
                self.highest.cores = self.highest.cores.max(cores);
                self.cores.push(cores);
            }
            Metric::Memory(memory) => {
                self.present = Some(Resources { memory, ..present });
                self.highest.memory = self.highest.memory.max(memory);
            }
            _ => {}
        }
    }
}

#[derive(Default)]
pub struct Machine {
    pub entry: Option<Endpoint>,
    /// Use by others: what was reported, less our own part of it.
    pub base: Option<(Ticks, Resources)>,
    /// What the list tells that all have asked for there.
    pub listed: Option<Resources>,
    pub guests: BTreeMap<AllocationId, Guest>,
    /// Programs kept after our last allocation of the service there.
    pub kept: VecDeque<ServiceId>,
    /// Our offers within the last cold window.
    pub offers: VecDeque<Ticks>,
    /// Shots in a row that it left without an answer, and until when it is left alone for that.
    pub silent: u32,
    pub shunned: Ticks,
    /// The last allocation that it answered with an error.
    pub doubted: Option<AllocationId>,
    /// Until when an ask of at least this much is not offered again, after a refusal.
    pub full: Option<(Ticks, Resources)>,
    /// Kept free until then for an allocation that fits nowhere.
    pub promised: Option<(Ticks, AllocationId)>,
    pub probed: Ticks,
    /// The last sign of life, or when we first had something there.
    pub heard: Ticks,
}

impl Machine {
    pub fn serving(&self) -> bool {
        self.entry
            .is_some_and(|entry| entry.state == MachineState::Serving)
    }

    /// Left out of a whole list.
    pub fn leave_list(&mut self) {
        if let Some(entry) = self.entry.as_mut() {
            entry.state = MachineState::Removed;
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
    pub fn offers_below(&self, part: usize, now: Ticks, recent: Ticks) -> Ticks {
        let offers = self.offers.iter().filter(|&&at| at + recent >= now);
        let over = (offers.clone().count() + 1).saturating_sub(part);
        match over {
            0 => 0,
            _ if part == 0 => NEVER,
            _ => offers.take(over).max().map_or(NEVER, |at| at + recent + 1),
        }
    }

    /// Counts one more fault in a row, and leaves the machine alone for `rest`, doubled with each.
    pub fn fault(&mut self, now: Ticks, rest: Ticks) {
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
