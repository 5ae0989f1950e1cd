//! Where an allocation goes: PrV-WorstFit over the machines that the filters let through.

use super::overload::{HELD_BACK, THETA};
use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const TIE: f64 = 0.02;
/// So many open machines of a service's order are scanned first.
const SCAN: usize = 2;
/// So many times the usual answer time without one is silence.
const PATIENCE: f64 = 8.0;
/// Probes for each allocation taken.
const PROBES: f64 = 1.0;

/// The machines that an allocation may go to.
enum Eligible {
    All,
    Only(Vec<MachineId>),
}

impl Scheduler {
    /// Where to send this allocation, or not yet, or never.
    pub fn place(&mut self, now: Ticks, allocation: &Allocation) -> Placement {
        if now + MARGIN >= allocation.deadline
            || allocation.attempts.len() >= self.cluster.max_attempts
        {
            return self.give_up(allocation);
        }
        if allocation.attempts.is_empty() && allocation.accepted_at == now {
            self.count_new(now, allocation);
        }
        let Some(eligible) = self.eligible(now, allocation) else {
            return self.give_up(allocation);
        };
        self.look(now);
        self.near = self.near(allocation);
        // Where others wait, this one most likely finds no machine either.
        let waited = self.waits.since(now.saturating_sub(2 * LOOK));
        if waited {
            let until = self.vain_until(now, allocation);
            if until > now {
                return self.not_yet(now, allocation, until);
            }
        }
        let reserved = self.reserved(now, allocation, &eligible);
        match reserved.or_else(|| self.choose_by_rank(now, allocation, &eligible)) {
            Some(machine) => self.send(now, machine, allocation),
            None => {
                if allocation.possibly_executed_attempt().is_none() && waited {
                    let kind = Kind::of(allocation);
                    self.rooms
                        .keep(kind, allocation.requested, now + 1, SERVICES);
                }
                self.not_yet(now, allocation, now + 1)
            }
        }
    }

    fn count_new(&mut self, now: Ticks, allocation: &Allocation) {
        // One that waits may be large from here on.
        if allocation.requested.cores < self.learnt.ask.or(0.0) {
            self.waits.open_at = now;
        }
        self.learnt.ask.add(allocation.requested.cores, KEEP);
        self.probes = (self.probes + PROBES).min(self.machines.len() as f64);
    }

    /// The machines at which an attempt has no effect beyond the one wanted; none where no attempt
    /// is safe any more.
    fn eligible(&self, now: Ticks, allocation: &Allocation) -> Option<Eligible> {
        let Some(shot) = allocation.possibly_executed_attempt() else {
            return Some(Eligible::All);
        };
        let ids = self.machines.keys().copied();
        let latest = now + self.cluster.connect_timeout;
        match self.cluster.service_classes[allocation.service_class.0].retry_safety {
            // A copy may stand where a shot broke: that machine would take no second one.
            RetrySafety::Idempotent => {
                let may_have_run = |shot: &Attempt| shot.state != AttemptState::NotExecuted;
                let ran = |id| {
                    let mut shots = allocation.attempts.iter();
                    shots.any(|shot| shot.machine == id && may_have_run(shot))
                };
                let others: Vec<MachineId> = ids.filter(|&id| !ran(id)).collect();
                Some(if others.is_empty() {
                    Eligible::All
                } else {
                    Eligible::Only(others)
                })
            }
            RetrySafety::NotRetryable => None,
            // Past the window its repeats are no longer dropped, and outside the group never were.
            RetrySafety::Deduplicated { window, .. }
                if latest + MARGIN >= shot.sent_at + window =>
            {
                None
            }
            RetrySafety::Deduplicated { scope, .. } => {
                let same =
                    |&id: &MachineId| scope.is_none_or(|place| self.same(place, id, shot.machine));
                Some(Eligible::Only(ids.filter(same).collect()))
            }
        }
    }

    /// The machine that keeps room for this allocation, if it is open to it.
    fn reserved(
        &self,
        now: Ticks,
        allocation: &Allocation,
        eligible: &Eligible,
    ) -> Option<MachineId> {
        let (id, _, to) = self.promise()?;
        let eligible = match eligible {
            Eligible::All => true,
            Eligible::Only(ids) => ids.contains(&id),
        };
        let open = || self.opens(now, id, allocation) <= now;
        (to == allocation.id && eligible && open()).then_some(id)
    }

    /// First under theta those first in the service's order: all schedulers then send it to the
    /// same few machines, which so hold its program. It also spares weighing them all.
    fn choose_by_rank(
        &self,
        now: Ticks,
        allocation: &Allocation,
        eligible: &Eligible,
    ) -> Option<MachineId> {
        let rank = |id, machine| Reverse((self.turn(allocation.service, id, machine), id));
        // A heap: mostly a few are looked at, and to sort them all would cost as much as all the
        // rest.
        let mut ranked: BinaryHeap<_> = match eligible {
            Eligible::All => self.machines.iter().map(|(&id, m)| rank(id, m)).collect(),
            Eligible::Only(ids) => ids
                .iter()
                .map(|&id| rank(id, &self.machines[&id]))
                .collect(),
        };
        let (mut first, mut scan) = (Vec::new(), Vec::new());
        while first.len() < SCAN
            && let Some(Reverse((_, id))) = ranked.pop()
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
        if let Some(machine) = self.choose(now, first, allocation) {
            return Some(machine);
        }
        // Of those looked at only such as the filters let through; then the rest of the order.
        let rest = ranked.into_sorted_vec().into_iter().rev();
        scan.extend(rest.map(|Reverse((_, id))| id));
        // Lower priorities are made to yield only where no machine is under theta without that.
        let passes: &[bool] = if self.stays(allocation.service_class, None) < 1.0 {
            &[false, true]
        } else {
            &[true]
        };
        passes
            .iter()
            .find_map(|&last| self.pick(now, &scan, allocation, last))
    }

    fn pick(
        &self,
        now: Ticks,
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

    fn not_yet(&mut self, now: Ticks, new: &Allocation, until: Ticks) -> Placement {
        // One that is bound is given up once its window is over.
        let gives_up = match (
            self.cluster.service_classes[new.service_class.0].retry_safety,
            new.possibly_executed_attempt(),
        ) {
            (RetrySafety::Deduplicated { window, .. }, Some(shot)) => shot.sent_at + window,
            _ => NEVER,
        };
        let until = until.min(gives_up.saturating_sub(self.cluster.connect_timeout + MARGIN));
        // With the next view all are looked at again.
        let end = Some(new.deadline - MARGIN).filter(|end| *end <= now + LOOK + ASK_AGAIN);
        self.waits.not_yet(now, now + ASK_AGAIN, until, end);
        if self.large(new.requested) {
            // Room is asked for anew once what was made is gone, or none could be made.
            let promised = self.promise().map_or(0, |(_, until, _)| until);
            if promised <= now {
                self.starved = Some(new.clone());
            }
            self.waits.open_at = self.waits.open_at.min(self.look_at.max(promised));
        }
        Placement::Deferred
    }

    /// The smallest promise that holds: a shed reply only where no shot may have run or a repeat is
    /// harmless.
    fn give_up(&self, allocation: &Allocation) -> Placement {
        let unproven = allocation.possibly_executed_attempt().is_some();
        let anywhere = |repeat| {
            matches!(
                repeat,
                RetrySafety::Idempotent | RetrySafety::Deduplicated { scope: None, .. }
            )
        };
        let harmless = !unproven
            || anywhere(self.cluster.service_classes[allocation.service_class.0].retry_safety);
        if harmless {
            Placement::Shed
        } else {
            Placement::Indeterminate
        }
    }

    /// Where a machine stands in the order of a service, the same at every scheduler: larger ones
    /// earlier in proportion, and hardly changed when a machine comes or goes.
    fn turn(&self, service: ServiceId, id: MachineId, machine: &Machine) -> u64 {
        let chance = (mix(service.0 ^ mix(u64::from(id.0))) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let size = machine
            .entry
            .and_then(|entry| self.cluster.machine_types.get(entry.machine_type.0));
        (-chance.ln() / size.map_or(1.0, |size| size.cores) * 1e12) as u64
    }

    /// Lowest W Max among those under theta and not held back; else among the held back under
    /// theta; else the smallest rise in risk. Near ties at random, so that schedulers with one
    /// view don't herd.
    fn choose(&self, now: Ticks, mut weighed: Vec<Weighed>, new: &Allocation) -> Option<MachineId> {
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

    fn send(&mut self, now: Ticks, machine: MachineId, allocation: &Allocation) -> Placement {
        self.arrive(now, allocation, machine);
        let (cold, opens) = (&self.cluster.slow_start, self.cluster.connect_timeout);
        let at = self.machines.entry(machine).or_default();
        at.offers.push_back(now);
        at.offers
            .retain(|&sent| sent + cold.window.max(opens) + MARGIN >= now);
        let left = allocation.deadline - MARGIN / 2 - now;
        let track = &self.cluster.service_classes[allocation.service_class.0];
        // Giving up on a shot that waits in a queue leaves a copy behind and binds what may not run
        // twice. So only a machine far slower than all usually are counts as silent, and
        // only for what may run again.
        let patience = (self.learnt.answer_time.or(left as f64) * PATIENCE) as Ticks;
        let again = track.retry_safety == RetrySafety::Idempotent
            && allocation.attempts.len() + 1 < self.cluster.max_attempts;
        let time_out = if again {
            left.min(patience.max(2 * track.latency_objective))
        } else {
            left
        };
        Placement::Dispatch {
            machine,
            timeout: time_out,
        }
    }
}
