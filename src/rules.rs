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
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

mod books;
mod vain;

const SECOND: Tenths = 10_000;
/// The paper's figures for the share of draws that may cross the line and for the number of draws.
const THETA: f64 = 0.01;
const DRAWS: usize = 100;
/// f for memory, below the size since machines slow down before they evict; f for cores is the
/// track's calm.
const F_MEMORY: f64 = 0.9;
const TIE: f64 = 0.02;
/// Share of memory that a machine is filled to when none is under theta: beyond, all slow down,
/// then some are evicted. Cores may pass the calm share by some: crowded ones serve worse, but
/// serve.
const LIMIT: f64 = 0.92;
const FADE: f64 = 0.25;
/// Part of the use of lower priorities that stays.
const YIELDS: f64 = 0.5;
/// Load share that present need should fill on the machines not held back.
const FILL: f64 = 0.7;
/// Of the standard error of a count, taken on top of need.
const DOUBT: f64 = 3.0;
/// Records kept of a service: enough to draw from, few enough to forget a use that has changed.
const RECORDS: usize = 48;
/// Services of which records are kept.
const SERVICES: usize = 1_024;
/// From this long after its send an allocation is taken to be in reports and in the room that the
/// list tells.
const LAG: Tenths = SECOND * 3 / 2;
/// In this time a report loses half its weight against what is expected of the machine without it.
const REPORT_HALF: f64 = 4.0 * SECOND as f64;
/// So many open machines of a service's order are scanned first.
const SCAN: usize = 2;
const HELD_BACK: u8 = 3;
/// Programs remembered as kept by a machine after our last allocation of the service there.
const KEPT: usize = 10;
/// Weight that a learnt mean keeps with each new value.
const KEEP: f64 = 0.95;
/// Between two looks over all machines, or for allocations to move.
const LOOK: Tenths = SECOND / 4;
/// So many times the usual ask is large.
const LARGE: f64 = 4.0;
/// So many times its share is well beyond it: the front is not even.
const BEYOND: f64 = 1.3;
/// Share of memory past which some are moved away, if a machine under the second share could take
/// them.
const OVER: f64 = 0.95;
const SPARE: f64 = 0.8;
/// So many times the usual answer time without one is silence.
const PATIENCE: f64 = 8.0;
/// Left before the abandon time, so that the answer itself is not late.
const MARGIN: Tenths = 40;
/// In this time room comes and goes: so long a machine that refused is not offered as much again,
/// one is kept free for a large allocation, and one may be silent before it is probed, where it may
/// be.
const TURNOVER: Tenths = 2 * SECOND;
/// So long without a sign of life, probes notwithstanding, and what is placed on a machine is lost.
const VANISHED: Tenths = 5 * SECOND;
/// A machine is left alone for so long after a fault, doubled with each further one in a row.
const UNWELL: Tenths = SECOND;
/// Probes for each allocation taken.
const PROBES: f64 = 1.0;
/// Between two looks at an allocation that no machine could take, at the least.
const ASK_AGAIN: Tenths = SECOND / 20;
/// Weight in the average of what we guess from our own, against one of a fresh report.
const FAINT: f64 = 0.1;

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
    born: Tenths,
    watch_at: Option<Tenths>,
    watch_fails: u32,
    waits: Waits,
    rooms: Rooms,
    /// A large allocation that fits nowhere, though the room that it needs may be there in pieces.
    starved: Option<Allocation>,
    promise: Option<MachineId>,
    look_at: Tenths,
    view: View,
    /// Probes that may be sent: what they cost stays in step with what is placed.
    probes: f64,
}

impl Scheduler {
    pub fn new(cluster: Cluster, seed: u64, now: Tenths) -> Self {
        Scheduler {
            watch_at: cluster.ask_list.map(|_| now),
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
    pub fn adopt(&mut self, now: Tenths, cluster: Cluster) {
        // Offers older than the former window are forgotten: as after a restart, a longer one is
        // waited for first. Where there are more or fewer of us, the parts of others change
        // too, and not at one moment.
        let others =
            cluster.schedulers != self.cluster.schedulers || cluster.number != self.cluster.number;
        if others || cluster.cold.window > self.cluster.cold.window {
            self.born = now;
        }
        self.cluster = cluster;
        self.view.taken = None;
        self.rooms.void();
        self.waits.ask_at = Some(now);
    }

    /// Where to send this allocation, or not yet, or never.
    pub fn place(&mut self, now: Tenths, allocation: &Allocation) -> Placement {
        if now + MARGIN >= allocation.abandon || allocation.shots.len() >= self.cluster.shots {
            return self.give_up(allocation);
        }
        if allocation.shots.is_empty() && allocation.taken == now {
            // One that waits may be large from here on.
            if allocation.asks.cores < self.learnt.ask.or(0.0) {
                self.waits.open_at = now;
            }
            self.learnt.ask.add(allocation.asks.cores, KEEP);
            self.probes = (self.probes + PROBES).min(self.machines.len() as f64);
        }
        let bound = allocation.bound();
        // None: all machines.
        let mut scan: Option<Vec<MachineId>> = None;
        if let Some(shot) = bound {
            let mut ids: Vec<MachineId> = self.machines.keys().copied().collect();
            let latest = now + self.cluster.opens_within;
            match self.cluster.tracks[allocation.track.0].repeat {
                // A copy may stand where a shot broke: that machine would take no second one.
                Repeat::Idempotent => {
                    let ran = |id| {
                        allocation
                            .shots
                            .iter()
                            .any(|s| s.machine == id && s.fate != Fate::NeverRan)
                    };
                    let others: Vec<MachineId> =
                        ids.iter().copied().filter(|&id| !ran(id)).collect();
                    ids = if others.is_empty() { ids } else { others };
                }
                Repeat::Unrepeatable => return self.give_up(allocation),
                // Past the window its repeats are no longer dropped, and outside the group never
                // were.
                Repeat::Deduplicated { window, .. } if latest + MARGIN >= shot.sent + window => {
                    return self.give_up(allocation);
                }
                Repeat::Deduplicated { within, .. } => ids.retain(|&machine| {
                    within.is_none_or(|place| self.same(place, machine, shot.machine))
                }),
            }
            scan = Some(ids);
        }
        self.look(now);
        self.near = self.near(allocation);
        // Where others wait, this one most likely finds no machine either.
        let waited = self.waits.since(now.saturating_sub(2 * LOOK));
        let until = if waited {
            self.vain_until(now, allocation)
        } else {
            now
        };
        if until > now {
            return self.not_yet(now, allocation, until);
        }
        let turn = |(&id, machine)| (self.turn(allocation.service, id, machine), id);
        let scan: Vec<_> = match scan {
            None => self.machines.iter().map(turn).collect(),
            Some(ids) => ids
                .iter()
                .map(|id| turn((id, &self.machines[id])))
                .collect(),
        };
        let promised = self
            .promise()
            .filter(|(_, _, to)| *to == allocation.id)
            .map(|(id, ..)| id);
        let promised = promised.filter(|&id| scan.iter().any(|&(_, other)| other == id));
        let promised = promised.filter(|&id| self.opens(now, id, allocation) <= now);
        // First under theta those first in the service's order: all schedulers then send it to the
        // same few machines, which so hold its program. It also spares weighing them all.
        // A heap: mostly a few are looked at, and to sort them all would cost as much as all the
        // rest.
        let mut heap = BinaryHeap::from_iter(scan.into_iter().map(Reverse));
        let (mut first, mut scan) = (Vec::new(), Vec::new());
        while first.len() < SCAN
            && let Some(Reverse((_, id))) = heap.pop()
        {
            let Some(weighed) = self.weigh(now, id, allocation, false) else {
                continue;
            };
            scan.push(id);
            if weighed.rank < HELD_BACK {
                first.push(Weighed {
                    rank: 0,
                    bears: false,
                    ..weighed
                });
            }
        }
        let chosen = promised.or_else(|| self.choose(now, first, allocation));
        // Lower priorities are made to yield only where no machine is under theta without that.
        let passes: &[bool] = if self.stays(allocation.track, None) < 1.0 {
            &[false, true]
        } else {
            &[true]
        };
        let chosen = chosen.or_else(|| {
            // Of those looked at only such as the filters let through; then the rest of the order.
            scan.extend(
                heap.into_sorted_vec()
                    .into_iter()
                    .rev()
                    .map(|Reverse((_, id))| id),
            );
            passes
                .iter()
                .find_map(|&last| self.pick(now, &scan, allocation, last))
        });
        let Some(machine) = chosen else {
            if bound.is_none() && waited {
                self.rooms
                    .keep(Kind::of(allocation), allocation.asks, now + 1, SERVICES);
            }
            return self.not_yet(now, allocation, now + 1);
        };
        self.send(now, machine, allocation)
    }

    fn pick(
        &self,
        now: Tenths,
        scan: &[MachineId],
        new: &Allocation,
        last: bool,
    ) -> Option<MachineId> {
        let weigh = |&id: &MachineId| self.weigh(now, id, new, last);
        let mut weighed: Vec<Weighed> = scan.iter().filter_map(weigh).collect();
        let bears = weighed.iter().any(|w| w.bears);
        let beyond = !last || bears && self.beyond_share(new);
        weighed.iter_mut().for_each(|w| w.bears &= !beyond);
        bears.then(|| self.choose(now, weighed, new)).flatten()
    }

    fn not_yet(&mut self, now: Tenths, new: &Allocation, until: Tenths) -> Placement {
        // One that is bound is given up once its window is over.
        let gives_up = match (self.cluster.tracks[new.track.0].repeat, new.bound()) {
            (Repeat::Deduplicated { window, .. }, Some(shot)) => shot.sent + window,
            _ => NEVER,
        };
        let until = until.min(gives_up.saturating_sub(self.cluster.opens_within + MARGIN));
        // With the next view all are looked at again.
        let end = Some(new.abandon - MARGIN).filter(|end| *end <= now + LOOK + ASK_AGAIN);
        self.waits.not_yet(now, now + ASK_AGAIN, until, end);
        if self.large(new.asks) {
            // Room is asked for anew once what was made is gone, or none could be made.
            let promised = self.promise().map_or(0, |(_, until, _)| until);
            if promised <= now {
                self.starved = Some(new.clone());
            }
            self.waits.open_at = self.waits.open_at.min(self.look_at.max(promised));
        }
        Placement::NotYet
    }

    /// What to do after this outcome of the allocation's last shot.
    pub fn after(
        &mut self,
        now: Tenths,
        allocation: &Allocation,
        shot: usize,
        outcome: Outcome,
    ) -> After {
        let Some(machine) = allocation.shots.get(shot).map(|shot| shot.machine) else {
            return After::Rest;
        };
        let Outcome::Returned {
            ending,
            reason,
            over,
            report,
        } = outcome
        else {
            let at = self.machines.entry(machine).or_default();
            (at.silent, at.heard) = (0, now);
            // Only now is it known that the errors before were their machines' and not the
            // allocation's.
            for earlier in &allocation.shots[..shot] {
                let at = self.machines.entry(earlier.machine).or_default();
                if at.doubted.take_if(|of| *of == allocation.id).is_some() {
                    at.fault(now, UNWELL);
                    self.rooms.touch(earlier.machine, true);
                }
            }
            if let Some(guest) = self.guest(allocation.id) {
                guest.placed = true;
                let time = (now - guest.sent) as f64;
                self.learnt.answer_time.add(time, KEEP);
            }
            if self.cluster.placed_runs {
                self.noted(now, allocation.id, Note::Runs);
            }
            return After::Rest;
        };
        let was_placed = self.guest(allocation.id).is_some_and(|guest| guest.placed);
        self.leave(now, allocation.id, ending == Ending::Ended);
        self.reported(now, machine, report);
        let at = self.machines.entry(machine).or_default();
        // A refusal or a fault may put a shorter wait in the place of a longer one.
        self.rooms.touch(machine, true);
        if matches!(ending, Ending::Ended | Ending::Refused | Ending::Error) {
            at.heard = now;
        }
        match ending {
            Ending::Ended | Ending::Cancelled | Ending::NotSent => {}
            Ending::Refused => {
                at.silent = 0;
                // Room comes back only as allocations end; a line of offers is short again soon.
                let rest = if reason == Some(Reason::QueueFull) {
                    TURNOVER / 10
                } else {
                    TURNOVER
                };
                let short = matches!(reason, Some(Reason::NoCores | Reason::NoMemory));
                at.full = Some((
                    now + rest,
                    if short {
                        allocation.asks
                    } else {
                        Amount::default()
                    },
                ));
            }
            Ending::Reset if was_placed && reason.is_some() => {}
            // A machine that answers is alive. What it can't use no other can either: shunned for
            // that, all would soon be shut by a few bad asks.
            Ending::Error => at.doubted = Some(allocation.id),
            // One answer that breaks on its way tells nothing of the machine; two in a row may.
            Ending::Reset if !was_placed && at.silent == 0 => at.silent = 1,
            // A machine that leaves shots unanswered, whatever the cause: dead, cut off, standing
            // still.
            Ending::TimedOut | Ending::Unconnected | Ending::Reset => at.fault(now, UNWELL),
        }
        if over { After::Rest } else { After::PlaceAgain }
    }

    /// How long to wait before asking again, and what to set going meanwhile.
    pub fn wait(&mut self, now: Tenths) -> Wait {
        let mut wait = Wait {
            time: SECOND,
            ..Wait::default()
        };
        wait.watch_list = self.watch_at.take_if(|at| *at <= now).is_some();
        if self.waits.due(now) {
            let changed = self.waits.looks_always || self.changed(now);
            if changed {
                self.waits.round(self.rooms.changes());
            }
            // Else those whose time is up, at the moments at which a round would have been.
            wait.ends = (!changed).then_some(now + MARGIN);
            wait.ask_again = changed || self.waits.end(now, now + ASK_AGAIN);
        }
        let due = [self.watch_at, self.waits.next()]
            .into_iter()
            .flatten()
            .min();
        wait.time = due.map_or(wait.time, |at| wait.time.min(at.saturating_sub(now)));
        if self.cluster.may_probe && self.probes >= 1.0 {
            let heard =
                |machine: &Machine| machine.base.map_or(0, |(at, _)| at).max(machine.probed);
            let unheard = |machine: &Machine| machine.serving() && heard(machine) + TURNOVER <= now;
            let mut probes: Vec<_> = self
                .machines
                .iter_mut()
                .filter(|(_, machine)| unheard(machine))
                .collect();
            probes.sort_by_key(|(_, machine)| heard(machine));
            probes.truncate(self.probes as usize);
            self.probes -= probes.len() as f64;
            probes
                .iter_mut()
                .for_each(|(_, machine)| machine.probed = now);
            wait.probes = probes.into_iter().map(|(&id, _)| id).collect();
        }
        if self.look_at <= now {
            self.look_at = now + LOOK;
            self.forget();
            wait.moves = self.moves(now);
            wait.lost = self.lost(now, &mut wait.probes);
        }
        wait.time = wait.time.min(self.look_at - now);
        wait
    }

    /// What is placed on a machine that has vanished or is cut off ends without a word. One that
    /// says nothing is probed, and after a while without an answer either what is placed there
    /// is lost.
    fn lost(&mut self, now: Tenths, probes: &mut Vec<MachineId>) -> Vec<AllocationId> {
        let mut lost = Vec::new();
        for (&id, machine) in &mut self.machines {
            let placed = machine
                .guests
                .iter()
                .filter(|(_, guest)| guest.placed)
                .map(|(&id, _)| id);
            let placed: Vec<AllocationId> = placed.collect();
            let silence = now.saturating_sub(machine.heard);
            if self.cluster.tells_loss
                || !self.cluster.may_probe
                || placed.is_empty()
                || silence < TURNOVER
            {
                continue;
            }
            if silence >= VANISHED {
                lost.extend(placed);
                machine.heard = now;
            } else if machine.probed + SECOND <= now {
                machine.probed = now;
                probes.push(id);
            }
        }
        lost
    }

    /// Far larger than the usual, so that room for it comes in pieces.
    fn large(&self, asks: Amount) -> bool {
        asks.cores > LARGE * self.learnt.ask.or(f64::INFINITY)
    }

    /// Ours there that may be moved, low priorities first: such as run, are not large and may start
    /// again.
    fn movable(&self, machine: &Machine) -> Vec<AllocationId> {
        let track = |guest: &Guest| &self.cluster.tracks[guest.track.0];
        let may = |guest: &Guest| {
            let again = track(guest).repeat != Repeat::Unrepeatable;
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
    /// we. All schedulers see the same machine: each of ours goes by the chance that makes as
    /// many as must go in all.
    fn moves(&mut self, now: Tenths) -> Vec<AllocationId> {
        let mut moves = self.make_room(now);
        let size = |machine: &Machine| self.size(machine).unwrap_or_default();
        let over = |machine: &&Machine| {
            !machine.guests.is_empty()
                && self.present_use(now, machine).memory > size(machine).memory * OVER
        };
        let part =
            |machine| 1.0 - size(machine).memory * OVER / self.present_use(now, machine).memory;
        let over = self
            .machines
            .values()
            .filter(over)
            .map(|machine| (part(machine), self.movable(machine)));
        let over: Vec<_> = over.collect();
        let spare =
            |machine: &Machine| self.present_use(now, machine).share_of(size(machine)) < SPARE;
        let room = self.view.open.iter().any(|id| spare(&self.machines[id]));
        if !over.is_empty() && room {
            for (part, movable) in over {
                moves.extend(
                    movable
                        .into_iter()
                        .filter(|_| self.rng.random::<f64>() < part)
                        .take(4),
                );
            }
        }
        // What stands on a draining machine may go down with it. The owner of a deduplicated one
        // would then wait until it is sure that it runs no longer; after a move it comes
        // again at once.
        let drains = |machine: &&Machine| {
            machine
                .entry
                .is_some_and(|entry| entry.state == State::Draining)
        };
        let held = self
            .machines
            .values()
            .filter(drains)
            .flat_map(|machine| &machine.guests);
        let waits = |guest: &Guest| {
            matches!(
                self.cluster.tracks[guest.track.0].repeat,
                Repeat::Deduplicated { .. }
            )
        };
        let held = held.filter(|(_, guest)| room && guest.placed && !guest.moved && waits(guest));
        moves.extend(held.map(|(&id, _)| id).collect::<Vec<_>>());
        moves.iter().for_each(|&id| {
            self.guest(id)
                .into_iter()
                .for_each(|guest| guest.moved = true)
        });
        moves
    }

    /// Clears the machine on which the fewest moves make a large allocation fit, and promises it
    /// the room.
    fn make_room(&mut self, now: Tenths) -> Vec<AllocationId> {
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
                self.asked(now, machine, || self.others(now, now, machine)) + starved.asks;
            let mut used =
                self.present_use(now, machine) + starved.asks * self.learnt.usual.or_one();
            let fits = |asked: Amount, used: Amount| {
                asked.within(size * self.cluster.accepts) && used.within(size * LIMIT)
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

    /// Asking for the list failed, or the watch on it broke: it doesn't say which.
    pub fn list_failed(&mut self, now: Tenths) {
        if self.cluster.ask_list.is_some() && self.watch_at.is_none() {
            let longest = SECOND << self.watch_fails.min(2);
            self.watch_fails += 1;
            self.watch_at = Some(now + longest / 2 + self.rng.random_range(0..longest));
        }
    }

    pub fn probed(
        &mut self,
        now: Tenths,
        machine: MachineId,
        ending: Ending,
        report: Option<Report>,
    ) {
        let at = self.machines.entry(machine).or_default();
        match ending {
            Ending::Ended => (at.silent, at.heard) = (0, now),
            Ending::TimedOut | Ending::Unconnected if !self.cluster.tells_loss => {
                at.fault(now, UNWELL)
            }
            _ => {}
        }
        self.rooms.touch(machine, true);
        self.reported(now, machine, report);
    }

    fn reported(&mut self, now: Tenths, id: MachineId, report: Option<Report>) {
        let Some(machine) = self.machines.get(&id) else {
            return;
        };
        let Some((size, report)) = self.size(machine).zip(report) else {
            return;
        };
        // One too young to be in the report would be taken off a sum that never held it.
        let old = machine
            .guests
            .values()
            .filter(|guest| guest.runs && guest.sent + LAG <= now);
        let base = (size - report.unused - old.map(|guest| self.use_of(guest)).sum())
            .most(Amount::default());
        self.machines.entry(id).or_default().base = Some((now, base));
    }

    /// The smallest promise that holds: a shed reply only where no shot may have run or a repeat is
    /// harmless.
    fn give_up(&self, allocation: &Allocation) -> Placement {
        let unproven = allocation.bound().is_some();
        let anywhere = |repeat| {
            matches!(
                repeat,
                Repeat::Idempotent | Repeat::Deduplicated { within: None, .. }
            )
        };
        let harmless = !unproven || anywhere(self.cluster.tracks[allocation.track.0].repeat);
        if harmless {
            Placement::Shed
        } else {
            Placement::Scrap
        }
    }

    /// The filters: state, kind, health, cold limit, accept limit, spread. From when the machine
    /// passes them, as far as that comes by itself: `now` or before where it does already.
    fn opens(&self, now: Tenths, id: MachineId, allocation: &Allocation) -> Tenths {
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
    fn cold_opens(&self, now: Tenths, id: MachineId, entry: Entry) -> Tenths {
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

    /// Where a machine stands in the order of a service, the same at every scheduler: larger ones
    /// earlier in proportion, and hardly changed when a machine comes or goes.
    fn turn(&self, service: ServiceId, id: MachineId, machine: &Machine) -> u64 {
        let chance = (mix(service.0 ^ mix(u64::from(id.0))) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let size = machine
            .entry
            .and_then(|entry| self.cluster.kinds.get(entry.kind.0));
        (-chance.ln() / size.map_or(1.0, |size| size.cores) * 1e12) as u64
    }

    /// What all schedulers' allocations on a machine ask for. The listed room is late: what was
    /// sent since counts on top. Where no room is listed, others' asks are guessed from what
    /// they use.
    fn asked(&self, now: Tenths, machine: &Machine, others: impl Fn() -> Amount) -> Amount {
        let since = machine.listed.map_or(0, |_| now.saturating_sub(LAG));
        let own = machine
            .guests
            .values()
            .filter(|guest| guest.sent >= since)
            .map(|guest| guest.asks);
        machine
            .listed
            .unwrap_or_else(|| others() / self.learnt.present.or_one())
            + own.sum()
    }

    /// Part of a track's use, or of others' unknown, that counts where one of another track comes:
    /// a machine takes from lower priorities what it is short of, if only in use. Those it
    /// pushes out would come again.
    fn stays(&self, new: TrackId, of: Option<TrackId>) -> f64 {
        let priority = |track: TrackId| self.cluster.tracks[track.0].priority;
        let lowest = || {
            self.cluster
                .tracks
                .iter()
                .map(|track| track.priority)
                .min()
                .unwrap_or(0)
        };
        let yields = !self.cluster.makes_room && of.map_or_else(lowest, priority) < priority(new);
        if yields { YIELDS } else { 1.0 }
    }

    fn fits(&self, now: Tenths, machine: &Machine, size: Amount, asks: Amount) -> bool {
        let asked = self.asked(now, machine, || self.others(now, now, machine));
        (asked + asks).within(size * self.cluster.accepts)
    }

    /// How many of its service we hold in each place of the kind that its track spreads by. Counted
    /// once for an ask: where a service has all that its places may hold, each of hundreds of
    /// machines is asked about.
    fn near(&self, allocation: &Allocation) -> Vec<(u64, usize)> {
        let Some((place, _)) = self.cluster.tracks[allocation.track.0].spread else {
            return Vec::new();
        };
        self.at_service
            .by_place(allocation.service, |id| self.place_of(place, id))
    }

    fn spread_holds(&self, id: MachineId, allocation: &Allocation) -> bool {
        let Some((place, most)) = self.cluster.tracks[allocation.track.0].spread else {
            return true;
        };
        let there = self.place_of(place, id);
        let near = self.near.iter().find(|(other, _)| Some(*other) == there);
        near.is_none_or(|&(_, many)| many < most)
    }

    /// Whether the account holds well over its share of cores, if it has as much at each other
    /// scheduler. A standard error is left out: one of many holds a few of its allocations by
    /// chance.
    fn beyond_share(&self, allocation: &Allocation) -> bool {
        let share = self
            .cluster
            .accounts
            .get(allocation.account.0)
            .and_then(|own| own.share_cores);
        let guests = self
            .machines
            .values()
            .flat_map(|machine| machine.guests.values());
        let held = guests
            .filter(|guest| guest.account == allocation.account)
            .map(|guest| guest.asks.cores);
        let held = allocation.asks.cores + held.sum::<f64>();
        let sure = held - (held * self.learnt.ask.or(0.0)).sqrt();
        share.is_some_and(|share| sure * self.cluster.schedulers as f64 > share * BEYOND)
    }

    /// What a guest of ours uses now, by its last notes or as usual.
    fn use_of(&self, guest: &Guest) -> Amount {
        guest
            .present
            .unwrap_or(guest.asks * self.learnt.usual.or_one())
    }

    /// Present use of a machine by others: what it last reported and, as that ages, what the list
    /// leads us to expect, or the average. One of many schedulers hears of a machine only now
    /// and then.
    fn others(&self, aged: Tenths, now: Tenths, machine: &Machine) -> Amount {
        let size = self.size(machine).unwrap_or_default();
        let old = machine
            .guests
            .values()
            .filter(|guest| guest.sent + LAG <= aged);
        let listed = machine
            .listed
            .filter(|_| self.learnt.present.cores.or(0.0) > 0.0);
        let expected = listed.map_or(self.view.average * size, |asked| {
            let others = asked - old.map(|guest| guest.asks).sum();
            others.most(Amount::default()) * self.learnt.present.or_one()
        });
        machine.base.map_or(expected, |(at, base)| {
            expected + (base - expected) * weight(now - at)
        })
    }

    fn present_use(&self, now: Tenths, machine: &Machine) -> Amount {
        self.others(now, now, machine)
            + machine
                .guests
                .values()
                .map(|guest| self.use_of(guest))
                .sum()
    }

    /// Takes the view over all machines anew when it is old.
    fn look(&mut self, now: Tenths) {
        if self.view.taken.is_some_and(|taken| taken + LOOK > now) {
            return;
        }
        let (mut all, mut own) = (Amount::ONE * 1e-9, Amount::default());
        let (mut reported, mut weights) = (Amount::default(), 0.0);
        for machine in self.machines.values() {
            let Some(size) = self.size(machine).filter(|_| machine.serving()) else {
                continue;
            };
            all = all + size;
            own = own
                + machine
                    .guests
                    .values()
                    .map(|guest| self.use_of(guest))
                    .sum();
            if let Some((at, base)) = machine.base {
                (reported, weights) = (
                    reported + base / size * weight(now - at),
                    weights + weight(now - at),
                );
            }
        }
        let others = self.cluster.schedulers.saturating_sub(1) as f64;
        // Where hardly anything was told, as at start, each of the others is taken to use as much
        // as we do.
        let guess = own / all * others;
        self.view.average = (reported + guess * FAINT) * (1.0 / (weights + FAINT));
        self.view.taken = Some(now);
        // Held back are those that present need does not fill, the last by id: an order common to
        // all.
        let mut order = Vec::new();
        let (mut need, mut asked) = (Amount::default(), Amount::default());
        for (&id, machine) in &self.machines {
            let Some(size) = self.size(machine) else {
                continue;
            };
            need = need + self.present_use(now, machine);
            asked = asked + self.asked(now, machine, || self.others(now, now, machine));
            if machine.serving() && machine.shunned <= now {
                order.push((id, size));
            }
        }
        // What one of many schedulers knows of need is chance, the more so the fewer it holds. A
        // machine that only some hold back costs as much as one that none does.
        // Machines that have just reported tell it without chance.
        let known = self.at.len() as f64 + 1.0;
        let unheard = 1.0
            - weights
                / (self
                    .machines
                    .values()
                    .filter(|m| m.serving())
                    .count()
                    .max(1) as f64);
        let doubt = (DOUBT / known.sqrt()) * unheard.max(0.0);
        need = need.most(asked / self.cluster.accepts) * (1.0 + doubt) + all * (1.0 / known);
        let mut room = Amount::default();
        let enough = order.iter().position(|&(_, size)| {
            room = room + size;
            need.within(room * FILL)
        });
        order.truncate(enough.map_or(order.len(), |last| last + 1));
        self.view.open = order.into_iter().map(|(id, _)| id).collect();
    }

    /// Cores for a start, which takes far more where the program must be loaded: those that do it
    /// in contract time.
    fn start(&self, has: bool, track: &Track) -> f64 {
        let time = self.learnt.start_time[usize::from(has)].or(self.learnt.start_time[1].or(0.0));
        time / track.contract_time.max(1) as f64
    }

    /// W Max with the allocation's expected start use, before any draw.
    fn weigh(&self, now: Tenths, id: MachineId, new: &Allocation, yields: bool) -> Option<Weighed> {
        let stays = |of| {
            if yields {
                self.stays(new.track, of)
            } else {
                1.0
            }
        };
        let machine = &self.machines[&id];
        let size = self
            .size(machine)
            .filter(|_| self.opens(now, id, new) <= now)?;
        let track = &self.cluster.tracks[new.track.0];
        let base = self.others(now, now, machine) * stays(None);
        let start = |has: bool, track: &Track| Amount {
            cores: self.start(has, track),
            memory: 0.0,
        };
        let own = machine.guests.values().map(|guest| {
            let starts = start(guest.had_program, &self.cluster.tracks[guest.track.0]);
            self.use_of(guest) * stays(Some(guest.track))
                + starts * f64::from(u8::from(!guest.runs))
        });
        let load = base
            + own.sum()
            + new.asks * self.learnt.usual.or_one()
            + start(machine.has_program(new.service), track);
        let near = machine
            .entry
            .is_some_and(|entry| entry.hall == self.cluster.hall);
        Some(Weighed {
            machine: id,
            yields,
            base,
            line: size
                * Amount {
                    cores: track.calm,
                    memory: F_MEMORY,
                },
            load: load.share_of(size),
            bears: load.within(
                size * Amount {
                    cores: track.calm + FADE,
                    memory: LIMIT,
                },
            ),
            rank: match self.view.open.contains(&id) && self.fits(now, machine, size, new.asks) {
                true => 1 + u8::from(!near && self.cluster.other_hall_price > 0.0),
                false => HELD_BACK,
            },
        })
    }

    /// Shares of draws that cross the line, with and without the allocation: the base, and for the
    /// new one and each guest of ours a peak from the records that fit it.
    fn risk(&self, now: Tenths, weighed: &Weighed, new: &Allocation) -> (f64, f64) {
        let guests = self.machines[&weighed.machine]
            .guests
            .values()
            .map(|guest| {
                let highest = guest.highest / guest.asks;
                // Where no record reaches what it uses: its own highest use, or its ask while
                // nothing is known.
                let own = guest.present.map_or(Amount::ONE, |_| highest);
                let stays = if weighed.yields {
                    self.stays(new.track, Some(guest.track))
                } else {
                    1.0
                };
                (
                    self.records
                        .fitting(guest.service, now - guest.sent, highest, own),
                    guest.asks * stays,
                )
            });
        let pools: Vec<(Vec<Amount>, Amount)> = guests.collect();
        let pool = self
            .records
            .fitting(new.service, 0, Amount::default(), Amount::ONE);
        // Of its own for each machine, service and moment: a look that is left out moves no later
        // draw, and likes that ask for more draw alike.
        let dice = mix(new.service.0 ^ mix(now ^ mix(u64::from(weighed.machine.0) ^ self.seed)));
        let mut rng = Pcg64Mcg::seed_from_u64(dice);
        let (mut with, mut without) = (0, 0);
        for _ in 0..DRAWS {
            let mut sum = weighed.base;
            for (pool, asks) in &pools {
                sum = sum + *asks * pool[rng.random_range(0..pool.len())];
            }
            without += usize::from(!sum.within(weighed.line));
            sum = sum + new.asks * pool[rng.random_range(0..pool.len())];
            with += usize::from(!sum.within(weighed.line));
            // It is out of the question, and how far is asked only of those that could bear it.
            if !weighed.bears && with as f64 > THETA * DRAWS as f64 {
                break;
            }
        }
        (with as f64 / DRAWS as f64, without as f64 / DRAWS as f64)
    }

    /// Lowest W Max among those under theta and not held back; else among the held back under
    /// theta; else the smallest rise in risk. Near ties at random, so that schedulers with one
    /// view don't herd.
    fn choose(
        &self,
        now: Tenths,
        mut weighed: Vec<Weighed>,
        new: &Allocation,
    ) -> Option<MachineId> {
        weighed.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.load.total_cmp(&b.load)));
        let mut group: Vec<&Weighed> = Vec::new();
        let mut rises = Vec::new();
        for w in &weighed {
            // Drawn from the lowest load up: no later one can win any more.
            if group
                .first()
                .is_some_and(|first| w.rank > first.rank || w.load > first.load * (1.0 + TIE))
            {
                break;
            }
            let (with, without) = self.risk(now, w, new);
            rises.push(with - without);
            if with <= THETA {
                group.push(w);
            }
        }
        if group.is_empty() {
            // A machine over the line already rises by nothing: unless left out it would draw all
            // to it.
            let bearable = || std::iter::zip(&weighed, &rises).filter(|(w, _)| w.bears);
            let least = bearable()
                .map(|(_, rise)| *rise)
                .fold(f64::INFINITY, f64::min);
            group = bearable()
                .filter(|(_, rise)| **rise <= least + TIE)
                .map(|(w, _)| w)
                .collect();
            let lowest = group.iter().map(|w| w.load).fold(f64::INFINITY, f64::min);
            group.retain(|w| w.load <= lowest * (1.0 + TIE));
        }
        let mut rng = Pcg64Mcg::seed_from_u64(mix(new.id.0 ^ mix(now ^ self.seed)));
        (!group.is_empty()).then(|| group[rng.random_range(0..group.len())].machine)
    }

    fn send(&mut self, now: Tenths, machine: MachineId, allocation: &Allocation) -> Placement {
        self.arrive(now, allocation, machine);
        let (cold, opens) = (&self.cluster.cold, self.cluster.opens_within);
        let at = self.machines.entry(machine).or_default();
        at.offers.push_back(now);
        at.offers
            .retain(|&sent| sent + cold.window.max(opens) + MARGIN >= now);
        let left = allocation.abandon - MARGIN / 2 - now;
        let track = &self.cluster.tracks[allocation.track.0];
        // Giving up on a shot that waits in a queue leaves a copy behind and binds what may not run
        // twice. So only a machine far slower than all usually are counts as silent, and
        // only for what may run again.
        let patience = (self.learnt.answer_time.or(left as f64) * PATIENCE) as Tenths;
        let again =
            track.repeat == Repeat::Idempotent && allocation.shots.len() + 1 < self.cluster.shots;
        let time_out = if again {
            left.min(patience.max(2 * track.contract_time))
        } else {
            left
        };
        Placement::Send { machine, time_out }
    }
}

/// What is left of a report's weight at this age.
fn weight(age: Tenths) -> f64 {
    (-(age as f64) / REPORT_HALF).exp2()
}
