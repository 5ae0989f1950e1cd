//! All decisions of corkspan: PrV-WorstFit of docs/design.md and the guards around it.
//!
//! Called from one dispatcher, types in interface.rs. Three calls ask: [`Scheduler::place`] where
//! to send an allocation (or not yet, or never), [`Scheduler::after`] what to do after an outcome
//! of its last shot, [`Scheduler::wait`] how long to wait and what to set going meanwhile. The rest
//! hand over plain facts. The caller keeps the allocations in hand and the timers, and decides
//! nothing.

use crate::interface::*;
use crate::state::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

mod books;
mod filters;
mod liveness;
mod migration;
mod outcomes;
mod overload;
mod placement;
mod summary;
mod vain;

const SECOND: Ticks = 10_000;
/// Records kept of a service: enough to draw from, few enough to forget a use that has changed.
const RECORDS: usize = 48;
/// Services of which records are kept.
const SERVICES: usize = 1_024;
/// From this long after its send an allocation is taken to be in reports and in the room that the
/// list tells.
const LAG: Ticks = SECOND * 3 / 2;
/// Programs remembered as kept by a machine after our last allocation of the service there.
const KEPT: usize = 10;
/// Weight that a learnt mean keeps with each new value.
const KEEP: f64 = 0.95;
/// Between two looks over all machines, or for allocations to move.
const LOOK: Ticks = SECOND / 4;
/// Between two looks at an allocation that no machine could take, at the least.
const ASK_AGAIN: Ticks = SECOND / 20;
/// Left before the abandon time, so that the answer itself is not late.
const MARGIN: Ticks = 40;
/// In this time room comes and goes: so long a machine that refused is not offered as much again,
/// one is kept free for a large allocation, and one may be silent before it is probed, where it may
/// be.
const TURNOVER: Ticks = 2 * SECOND;
/// A machine is left alone for so long after a fault, doubled with each further one in a row.
const UNWELL: Ticks = SECOND;

pub struct Scheduler {
    cluster: Cluster,
    rng: Pcg64Mcg,
    seed: u64,
    machines: BTreeMap<MachineId, Machine>,
    /// Where each allocation of ours is.
    at: BTreeMap<AllocationId, MachineId>,
    at_service: Services,
    /// Where the one asked for now has the others of its service.
    near: Vec<(u64, usize)>,
    records: Records,
    learnt: Learnt,
    born: Ticks,
    watch_at: Option<Ticks>,
    watch_fails: u32,
    waits: Waits,
    rooms: Rooms,
    /// A large allocation that fits nowhere, though the room that it needs may be there in pieces.
    starved: Option<Allocation>,
    promise: Option<MachineId>,
    look_at: Ticks,
    view: View,
    /// Probes that may be sent: what they cost stays in step with what is placed.
    probes: f64,
}

impl Scheduler {
    pub fn new(cluster: Cluster, seed: u64, now: Ticks) -> Self {
        Scheduler {
            watch_at: cluster.list_poll_interval.map(|_| now),
            cluster,
            rng: Pcg64Mcg::seed_from_u64(seed),
            seed: mix(seed),
            machines: BTreeMap::new(),
            at: BTreeMap::new(),
            at_service: Services::default(),
            near: Vec::new(),
            records: Records::default(),
            learnt: Learnt::default(),
            born: now,
            watch_fails: 0,
            waits: Waits::default(),
            rooms: Rooms::default(),
            starved: None,
            promise: None,
            look_at: now,
            view: View::default(),
            probes: 0.0,
        }
    }

    /// Other figures are in force from here on, for the same kinds and halls. What was learnt
    /// stays; so do the ids of tracks and accounts that allocations in hand have.
    pub fn reconfigure(&mut self, now: Ticks, cluster: Cluster) {
        // Offers older than the former window are forgotten: as after a restart, a longer one is
        // waited for first. Where there are more or fewer of us, the parts of others change
        // too, and not at one moment.
        let others = cluster.scheduler_count != self.cluster.scheduler_count
            || cluster.scheduler_index != self.cluster.scheduler_index;
        if others || cluster.slow_start.window > self.cluster.slow_start.window {
            self.born = now;
        }
        self.cluster = cluster;
        self.view.taken = None;
        self.rooms.void();
        self.waits.ask_at = Some(now);
    }

    /// How long to wait before asking again, and what to set going meanwhile.
    pub fn poll(&mut self, now: Ticks) -> PollResult {
        let mut wait = PollResult {
            next_poll: SECOND,
            ..PollResult::default()
        };
        wait.watch_endpoints = self.watch_at.take_if(|at| *at <= now).is_some();
        if self.waits.due(now) {
            self.retries(now, &mut wait);
        }
        let due = [self.watch_at, self.waits.next()]
            .into_iter()
            .flatten()
            .min();
        wait.next_poll = due.map_or(wait.next_poll, |at| {
            wait.next_poll.min(at.saturating_sub(now))
        });
        if self.cluster.health_checks && self.probes >= 1.0 {
            wait.health_checks = self.health_checks(now);
        }
        if self.look_at <= now {
            self.look_at = now + LOOK;
            self.forget();
            wait.migrations = self.moves(now);
            wait.lost = self.lost(now, &mut wait.health_checks);
        }
        wait.next_poll = wait.next_poll.min(self.look_at - now);
        wait
    }

    /// Which of those that were answered "not yet" are worth another call.
    fn retries(&mut self, now: Ticks, wait: &mut PollResult) {
        let changed = self.waits.looks_always || self.changed(now);
        if changed {
            self.waits.round(self.rooms.changes());
        }
        // Else those whose time is up, at the moments at which a round would have been.
        wait.deadlines_until = (!changed).then_some(now + MARGIN);
        wait.retry_deferred = changed || self.waits.end(now, now + ASK_AGAIN);
    }
}
