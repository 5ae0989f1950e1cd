//! Judges a capture by the five rules. It knows what crossed the sockets and nothing of dispatchers
//! or decisions.

use crate::capture::*;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A broken rule: which, by what, and the lines of the capture that show it, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: u8,
    pub what: String,
    pub lines: Vec<usize>,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let lines: Vec<String> = self.lines.iter().map(ToString::to_string).collect();
        write!(
            f,
            "rule {} ({}): {}; lines {}",
            self.rule,
            RULE_NAMES[usize::from(self.rule) - 1],
            self.what,
            lines.join(", ")
        )
    }
}

/// The brief's five, the limit of a roll, that a failed one halts by itself, and the floor of
/// versions.
pub const RULE_NAMES: [&str; 8] = [
    "lost", "twice", "drains", "cold", "spread", "unready", "halts", "floor",
];

/// One call of an owner.
struct Call<'a> {
    asked: &'a RequestedPlacement,
    line: usize,
    t: u64,
    finals: Vec<(u64, usize, AllocationEvent)>,
    closed: Option<u64>,
    cancelled: Option<u64>,
    /// A dispatcher that broke off without an answer: the link broke.
    broken: bool,
}

/// One offer as its node saw it.
struct Offer {
    node: u32,
    dispatcher: u32,
    number: u32,
    t: u64,
    line: usize,
    refused: Option<u64>,
    accepted: Option<u64>,
    let_go: Option<u64>,
    /// It holds its place no longer: ended, refused, let go, or its node is gone.
    over: Option<u64>,
}

/// A new copy of a roll.
struct New<'a> {
    dispatcher: u32,
    task: &'a str,
    accepted: u64,
    ready: Option<u64>,
    failed: Option<u64>,
    line: usize,
    /// It is gone, for whatever reason.
    over: bool,
}

/// A roll as its operator asked for it, and what came of it.
struct Rolled<'a> {
    version: &'a str,
    ready_for: u64,
    ready_within: u64,
    failures_most: usize,
    copies: Vec<New<'a>>,
    halts: bool,
}

impl Rolled<'_> {
    /// Whether it must have halted by now: more than may have failed at one dispatcher, and that
    /// `within` ago.
    fn halted(&mut self, now: u64, within: u64) {
        for copy in self
            .copies
            .iter_mut()
            .filter(|copy| !copy.over && copy.ready.is_none())
        {
            let due = copy.accepted.saturating_add(self.ready_within);
            copy.failed = copy.failed.or((now >= due).then_some(due));
        }
        let long_ago = |copy: &&New| copy.failed.is_some_and(|at| now >= at + within);
        let at = |which: u32| {
            self.copies
                .iter()
                .filter(|copy| copy.dispatcher == which)
                .filter(long_ago)
                .count()
        };
        self.halts |= self
            .copies
            .iter()
            .any(|copy| at(copy.dispatcher) > self.failures_most);
    }
}

/// When some links of a dispatcher were held, or late by so much.
struct Struck {
    dispatcher: u32,
    from: u64,
    to: u64,
    late: u64,
}

fn struck(lines: &[Line]) -> Vec<Struck> {
    let mut all: Vec<Struck> = Vec::new();
    for Line { t, observation } in lines {
        let Observation::ConnectionFault {
            dispatcher,
            struck,
            late_us,
        } = *observation
        else {
            continue;
        };
        match struck {
            true => all.push(Struck {
                dispatcher,
                from: *t,
                to: u64::MAX,
                late: late_us,
            }),
            false => {
                // Of two troubles at once the first that began is taken to end first.
                let open = all
                    .iter_mut()
                    .find(|own| own.dispatcher == dispatcher && own.to == u64::MAX);
                open.into_iter().for_each(|own| own.to = *t);
            }
        }
    }
    all
}

/// All broken rules of a capture, or what makes it unreadable.
pub fn check(lines: &[Line]) -> Result<Vec<Violation>, String> {
    let Some(Line {
        observation: Observation::Rules(rules),
        ..
    }) = lines.first()
    else {
        return Err("the first line does not tell the day's rules".into());
    };
    let mut checker = Checker {
        rules,
        lines,
        calls: BTreeMap::new(),
        offers: HashMap::new(),
        struck: struck(lines),
        breaches: Vec::new(),
    };
    checker.read()?;
    checker.lost();
    checker.twice();
    checker.drains();
    checker.cold();
    checker.spread();
    checker.unready();
    checker.halts();
    checker.floor();
    checker
        .breaches
        .sort_by_key(|breach| (breach.rule, breach.lines.first().copied()));
    Ok(checker.breaches)
}

struct Checker<'a> {
    rules: &'a RuleParameters,
    lines: &'a [Line],
    calls: BTreeMap<u64, Call<'a>>,
    /// By placing.
    offers: HashMap<&'a str, Vec<Offer>>,
    struck: Vec<Struck>,
    breaches: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// What was decided under a version below the floor that a node has is never accepted there.
    fn floor(&mut self) {
        let (mut floors, mut decided) = (HashMap::new(), HashMap::new());
        let mut breaches = Vec::new();
        for (line, observation) in self
            .lines
            .iter()
            .enumerate()
            .map(|(index, line)| (index + 1, &line.observation))
        {
            match observation {
                Observation::MinimumVersionStored { node, lowest } => {
                    floors.insert(*node, (*lowest, line));
                }
                Observation::Offered {
                    node,
                    placement_id,
                    number,
                    decided: version,
                    dispatcher,
                    ..
                } => {
                    decided.insert(
                        (*node, placement_id, *number),
                        (*version, *dispatcher, line),
                    );
                }
                Observation::EventSent {
                    node,
                    placement_id,
                    number,
                    event: AllocationEvent::Accepted,
                } => {
                    let Some(&(lowest, told)) = floors.get(node) else {
                        continue;
                    };
                    let Some(&(version, dispatcher, offered)) =
                        decided.get(&(*node, placement_id, *number))
                    else {
                        continue;
                    };
                    if version < lowest {
                        let what = format!(
                            "node {node} accepted {placement_id}, decided by dispatcher {dispatcher} under version {version}, below {lowest}"
                        );
                        breaches.push((what, vec![told, offered, line]));
                    }
                }
                _ => {}
            }
        }
        breaches
            .into_iter()
            .for_each(|(what, lines)| self.breach(8, what, lines));
    }

    fn breach(&mut self, rule: u8, what: String, lines: Vec<usize>) {
        self.breaches.push(Violation { rule, what, lines });
    }

    fn read(&mut self) -> Result<(), String> {
        let mut last = 0;
        // Let go before their nodes had looked at them: both came at once.
        let mut early: HashSet<(u32, &str, u32)> = HashSet::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            let (t, line) = (*t, index + 1);
            if t < last {
                return Err(format!("line {line}: its time is before the line above it"));
            }
            last = t;
            match observation {
                Observation::Requested(asked) => {
                    if asked.service_class >= self.rules.service_classes.len() {
                        return Err(format!("line {line}: no track {}", asked.service_class));
                    }
                    let call = Call {
                        asked,
                        line,
                        t,
                        finals: Vec::new(),
                        closed: None,
                        cancelled: None,
                        broken: false,
                    };
                    self.calls.insert(asked.call, call);
                }
                Observation::EventReceived {
                    call,
                    event:
                        event @ (AllocationEvent::Placed
                        | AllocationEvent::Rejected
                        | AllocationEvent::Failed),
                } => {
                    if let Some(call) = self.calls.get_mut(call) {
                        call.finals.push((t, line, *event));
                    }
                }
                Observation::Closed { call, broken } => {
                    if let Some(call) = self.calls.get_mut(call) {
                        (call.closed, call.broken) = (Some(t), *broken);
                    }
                }
                Observation::Cancelled { call } => {
                    if let Some(call) = self.calls.get_mut(call) {
                        call.cancelled = Some(t);
                    }
                }
                Observation::Offered {
                    node,
                    placement_id,
                    number,
                    dispatcher,
                    ..
                } => {
                    let offer = Offer {
                        node: *node,
                        dispatcher: *dispatcher,
                        number: *number,
                        t,
                        line,
                        refused: None,
                        accepted: None,
                        let_go: None,
                        over: None,
                    };
                    let early = early.remove(&(*node, &placement_id[..], *number));
                    let let_go = early.then_some(t);
                    let offer = Offer {
                        let_go,
                        over: let_go,
                        ..offer
                    };
                    self.offers.entry(placement_id).or_default().push(offer);
                }
                Observation::EventSent {
                    node,
                    placement_id,
                    number,
                    event,
                } => {
                    let Some(offer) = find(&mut self.offers, placement_id, *number, *node) else {
                        continue;
                    };
                    match event {
                        AllocationEvent::Accepted => offer.accepted = Some(t),
                        AllocationEvent::Running => offer.accepted = offer.accepted.or(Some(t)),
                        AllocationEvent::Rejected => {
                            (offer.refused, offer.over) = (Some(t), Some(t))
                        }
                        AllocationEvent::ServiceLevel
                        | AllocationEvent::Placed
                        | AllocationEvent::Failed => {}
                        _ => offer.over = offer.over.or(Some(t)),
                    }
                }
                Observation::OfferDropped {
                    node,
                    placement_id,
                    number,
                } => {
                    if let Some(offer) = find(&mut self.offers, placement_id, *number, *node) {
                        (offer.let_go, offer.over) = (Some(t), offer.over.or(Some(t)));
                    } else {
                        early.insert((*node, placement_id, *number));
                    }
                }
                Observation::Node {
                    node,
                    state: NodeState::Gone | NodeState::Crashed,
                } => {
                    let there = self
                        .offers
                        .values_mut()
                        .flatten()
                        .filter(|offer| offer.node == *node);
                    there.for_each(|offer| offer.over = offer.over.or(Some(t)));
                }
                Observation::ConnectionsCut { node } => {
                    let there = self
                        .offers
                        .values_mut()
                        .flatten()
                        .filter(|offer| offer.node == *node);
                    // The dispatcher's shot is over with its link, whatever the node goes on to do.
                    there.for_each(|offer| offer.over = offer.over.or(Some(t)));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Whether a dispatcher stood still or was dead at some time between these two: what it owed
    /// then is not held against it.
    fn away(&self, dispatcher: u32, from: u64, to: u64) -> bool {
        let mut since = None;
        for Line { t, observation } in self.lines {
            let Observation::Dispatcher {
                dispatcher: which,
                state,
            } = observation
            else {
                continue;
            };
            if *which != dispatcher {
                continue;
            }
            match state {
                DispatcherState::Killed | DispatcherState::Paused | DispatcherState::Crashed => {
                    since = Some(*t)
                }
                _ => {
                    if since.take().is_some_and(|since| since <= to && *t >= from) {
                        return true;
                    }
                }
            }
        }
        since.is_some_and(|since| since <= to)
    }

    fn lost(&mut self) {
        let mut found = Vec::new();
        for call in self.calls.values() {
            let asked = call.asked;
            let latest = call.t + asked.deadline_us + self.rules.slack_us;
            let name = &asked.placement_id;
            if let [first, second, ..] = call.finals[..] {
                found.push((
                    format!("{name} has two final answers"),
                    vec![call.line, first.1, second.1],
                ));
            }
            if let Some((t, line, _)) = call.finals.first()
                && *t > latest
                && !self.away(asked.dispatcher, call.t, *t)
            {
                found.push((
                    format!("{name} is answered after its owner's time"),
                    vec![call.line, *line],
                ));
            }
            let over_by_owner = call.cancelled.is_some_and(|at| at <= latest);
            if call.finals.is_empty()
                && !over_by_owner
                && !self.away(
                    asked.dispatcher,
                    call.t,
                    latest.min(call.closed.unwrap_or(latest) + self.rules.slack_us),
                )
            {
                found.push((format!("{name} has no final answer"), vec![call.line]));
            }
            // An offer under way crosses the answer only where the link, not the dispatcher, made
            // it late.
            let Some((t, line, _)) = call.finals.first() else {
                continue;
            };
            let after = |offer: &&Offer| offer.t > t + self.rules.slack_us && !self.stale(offer);
            if let Some(offer) = self.offers.get(&name[..]).into_iter().flatten().find(after) {
                found.push((
                    format!("{name} is offered after its answer"),
                    vec![*line, offer.line],
                ));
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(1, what, lines));
    }

    /// One that was given up while it was on its way: its node sees it, and at once that it is let
    /// go. Where links were held, both come when they are no longer, and the node may have
    /// taken it in between.
    fn stale(&self, offer: &Offer) -> bool {
        let at_once = offer
            .let_go
            .is_some_and(|at| at <= offer.t + self.rules.slack_us);
        at_once && (offer.accepted.is_none() || self.heard_by(offer.dispatcher, offer.t).is_some())
    }

    /// By when what a dispatcher has given up at this time is seen at nodes; none where its links
    /// were whole.
    fn heard_by(&self, dispatcher: u32, t: u64) -> Option<u64> {
        let slack = self.rules.slack_us;
        let mine = self
            .struck
            .iter()
            .filter(|own| own.dispatcher == dispatcher);
        let over = mine.filter(|own| own.from <= t && t <= own.to.saturating_add(slack));
        let by = over.map(|own| match own.late {
            0 => own.to.saturating_add(slack),
            late => t + late + slack,
        });
        by.max()
    }

    fn twice(&mut self) {
        let mut found = Vec::new();
        let service_classes: HashMap<&str, usize> = self
            .calls
            .values()
            .map(|call| (&call.asked.placement_id[..], call.asked.service_class))
            .collect();
        for (name, offers) in &self.offers {
            let Some(service_class) = service_classes
                .get(name)
                .map(|&service_class| &self.rules.service_classes[service_class])
            else {
                continue;
            };
            let mut sent: Vec<&Offer> = offers.iter().filter(|offer| !self.stale(offer)).collect();
            sent.sort_by_key(|offer| (offer.number, offer.t));
            for (index, later) in sent.iter().enumerate() {
                for earlier in &sent[..index] {
                    if earlier.number == later.number {
                        found.push((
                            format!("{name}: shot {} is offered twice", later.number),
                            vec![earlier.line, later.line],
                        ));
                        continue;
                    }
                    let over = earlier.over.unwrap_or(u64::MAX);
                    let heard = self.heard_by(earlier.dispatcher, later.t);
                    if over > heard.unwrap_or(0).max(later.t + self.rules.slack_us) {
                        let what = format!(
                            "{name}: shot {} while shot {} is out",
                            later.number, earlier.number
                        );
                        found.push((what, vec![earlier.line, later.line]));
                    }
                    let never_ran = earlier.refused.is_some();
                    let allowed = match service_class.retry_safety {
                        RetrySafety::Idempotent => true,
                        RetrySafety::NotRetryable => never_ran,
                        RetrySafety::Deduplicated { window_us } => {
                            let zone = self.zone(earlier.node) == self.zone(later.node);
                            never_ran
                                || zone && later.t <= earlier.t + window_us + self.rules.slack_us
                        }
                    };
                    if !allowed {
                        let what = format!(
                            "{name}: shot {} may run beside shot {}",
                            later.number, earlier.number
                        );
                        found.push((what, vec![earlier.line, later.line]));
                    }
                }
            }
        }
        for call in self.calls.values() {
            let Some((t, line, AllocationEvent::Rejected)) = call.finals.first() else {
                continue;
            };
            if self.rules.service_classes[call.asked.service_class].retry_safety
                == RetrySafety::Idempotent
            {
                continue;
            }
            for offer in self
                .offers
                .get(&call.asked.placement_id[..])
                .into_iter()
                .flatten()
            {
                if offer.refused.is_none()
                    && offer
                        .accepted
                        .is_some_and(|at| at <= t + self.rules.slack_us)
                {
                    let what = format!(
                        "{} is refused, though a shot may run",
                        call.asked.placement_id
                    );
                    found.push((what, vec![offer.line, *line]));
                }
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(2, what, lines));
    }

    /// While a roll is on, a copy is stopped only where that leaves no more than so many not ready,
    /// of those that were ready once and are still wanted. What dies by itself counts once it
    /// has been down for so long that its owner has asked again and a roll must have given way.
    fn unready(&mut self) {
        const GIVES_WAY: u64 = 5_000_000;
        struct Copy {
            ready: usize,
            /// Since when none is ready, and whether it was stopped.
            down: Option<(u64, bool)>,
        }
        let mut found = Vec::new();
        let mut limits: HashMap<&str, usize> = HashMap::new();
        // Whether new copies may run beside old ones, of so many tasks.
        let mut beside: HashMap<&str, bool> = HashMap::new();
        let mut copies: HashMap<&str, BTreeMap<&str, Copy>> = HashMap::new();
        let mut tasks_of: HashMap<u64, &str> = HashMap::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::Requested(asked) => drop(tasks_of.insert(asked.call, &asked.task)),
                Observation::HandedOver { call, task, .. } => drop(tasks_of.insert(*call, task)),
                Observation::Cancelled { call } => {
                    // Its owner wants it no longer: that it stops is no copy missing.
                    let task = tasks_of.get(call).copied().unwrap_or_default();
                    for tasks in copies.values_mut() {
                        tasks.remove(task);
                    }
                }
                Observation::RolloutStarted {
                    service,
                    unready_most,
                    start_first,
                    ..
                } => {
                    limits.insert(service, *unready_most);
                    beside.insert(service, *start_first);
                }
                Observation::Ready {
                    task,
                    service,
                    ready,
                    done,
                    stopped,
                    ..
                } => {
                    let tasks = copies.entry(service).or_default();
                    if *done {
                        tasks.remove(&task[..]);
                    } else if *ready {
                        let copy = tasks.entry(task).or_insert(Copy {
                            ready: 0,
                            down: None,
                        });
                        (copy.ready, copy.down) = (copy.ready + 1, None);
                    } else if let Some(copy) = tasks.get_mut(&task[..]) {
                        copy.ready = copy.ready.saturating_sub(1);
                        copy.down = (copy.ready == 0).then_some((*t, *stopped));
                    }
                    let counts = |copy: &&Copy| {
                        copy.down
                            .is_some_and(|(since, stopped)| stopped || t - since > GIVES_WAY)
                    };
                    let twice: usize = tasks
                        .values()
                        .map(|copy| copy.ready.saturating_sub(1))
                        .sum();
                    let own = limits
                        .get(&service[..])
                        .filter(|_| beside.get(&service[..]) == Some(&true));
                    if *ready && own.is_some_and(|most| twice > *most) {
                        let what = format!("{twice} copies of {service} run beside others");
                        found.push((what, vec![index + 1]));
                    }
                    let unready = tasks.values().filter(counts).count();
                    if *stopped && limits.get(&service[..]).is_some_and(|most| unready > *most) {
                        found.push((
                            format!("{unready} copies of {service} are not ready"),
                            vec![index + 1],
                        ));
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(6, what, lines));
    }

    /// Once more new copies than may have failed at one dispatcher, the roll halts: some time after
    /// that no copy of another version is stopped any more, unless an operator begins anew.
    fn halts(&mut self) {
        const HALTS_WITHIN: u64 = 5_000_000;
        let mut found = Vec::new();
        let mut rolls: HashMap<&str, Rolled> = HashMap::new();
        // By node and placing: task, service, version and dispatcher of what was offered last.
        let mut offered: HashMap<(u32, &str), (&str, &str, &str, u32)> = HashMap::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::RolloutStarted {
                    service,
                    version,
                    ready_for_us,
                    ready_within_us,
                    failures_most,
                    ..
                } => {
                    let rolled = Rolled {
                        version,
                        ready_for: *ready_for_us,
                        ready_within: *ready_within_us,
                        failures_most: *failures_most,
                        copies: Vec::new(),
                        halts: false,
                    };
                    rolls.insert(service, rolled);
                }
                Observation::Offered {
                    node,
                    placement_id,
                    dispatcher,
                    service,
                    task,
                    version,
                    ..
                } => {
                    offered.insert((*node, placement_id), (task, service, version, *dispatcher));
                }
                Observation::EventSent {
                    node,
                    placement_id,
                    event: AllocationEvent::Accepted,
                    ..
                } => {
                    let Some((task, service, version, dispatcher)) =
                        offered.get(&(*node, &placement_id[..]))
                    else {
                        continue;
                    };
                    let Some(rolled) = rolls
                        .get_mut(service)
                        .filter(|rolled| rolled.version == *version)
                    else {
                        continue;
                    };
                    rolled.copies.push(New {
                        dispatcher: *dispatcher,
                        task,
                        accepted: *t,
                        ready: None,
                        failed: None,
                        line: index + 1,
                        over: false,
                    });
                }
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Killed | DispatcherState::Crashed,
                } => {
                    // What it has counted goes with it, unless it had the time to halt.
                    for rolled in rolls.values_mut() {
                        rolled.halted(*t, HALTS_WITHIN);
                        rolled.copies.retain(|copy| copy.dispatcher != *dispatcher);
                    }
                }
                Observation::Ready {
                    task,
                    service,
                    version,
                    ready,
                    done,
                    stopped,
                    ..
                } => {
                    let Some(rolled) = rolls.get_mut(&service[..]) else {
                        continue;
                    };
                    rolled.halted(*t, HALTS_WITHIN);
                    if version != rolled.version {
                        if rolled.halts && *stopped && !*ready {
                            let shown = rolled.copies.iter().filter(|copy| copy.failed.is_some());
                            let lines = shown.map(|copy| copy.line).chain([index + 1]).collect();
                            found.push((
                                format!("{task} of {service} is stopped by a roll that failed"),
                                lines,
                            ));
                        }
                        continue;
                    }
                    let ready_for = rolled.ready_for;
                    let own = rolled
                        .copies
                        .iter_mut()
                        .rev()
                        .find(|copy| copy.task == task && !copy.over);
                    let Some(copy) = own else { continue };
                    if *ready {
                        // Late, but no longer missing.
                        (copy.ready, copy.failed) = (Some(*t), None);
                    } else {
                        let settled = copy.ready.is_some_and(|since| *t >= since + ready_for);
                        copy.over = true;
                        if !*stopped && !*done && !settled {
                            copy.failed = copy.failed.or(Some(*t));
                        }
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(7, what, lines));
    }

    fn zone(&self, node: u32) -> Option<&str> {
        self.rules
            .nodes
            .iter()
            .find(|home| home.node == node)
            .map(|home| &home.zone[..])
    }

    fn drains(&mut self) {
        let mut found = Vec::new();
        // Since when each dispatcher knows that a node takes nothing new.
        let mut told: HashMap<(u32, u32), (u64, usize)> = HashMap::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::EndpointSent {
                    dispatcher,
                    node,
                    state: NodeState::Draining | NodeState::Gone,
                } => {
                    told.entry((*dispatcher, *node)).or_insert((*t, index + 1));
                }
                Observation::EndpointSent {
                    dispatcher, node, ..
                } => drop(told.remove(&(*dispatcher, *node))),
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Resumed,
                }
                | Observation::ConnectionFault {
                    dispatcher,
                    struck: false,
                    ..
                } => {
                    // While it stood still, or its links were held, it was told nothing.
                    let own = told
                        .iter_mut()
                        .filter(|((which, _), _)| which == dispatcher);
                    own.for_each(|(_, (since, _))| *since = *t);
                }
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Started,
                } => {
                    told.retain(|(which, _), _| which != dispatcher);
                }
                Observation::Offered {
                    node,
                    placement_id,
                    dispatcher,
                    number,
                    ..
                } => {
                    let Some((since, line)) = told.get(&(*dispatcher, *node)) else {
                        continue;
                    };
                    let offer = self.offers.get(&placement_id[..]).into_iter().flatten();
                    let stale = offer
                        .filter(|offer| offer.line == index + 1)
                        .any(|offer| self.stale(offer));
                    if *t > since + self.rules.grace_us + self.rules.slack_us && !stale {
                        let what = format!(
                            "{placement_id}: shot {number} to node {node}, told of as leaving"
                        );
                        found.push((what, vec![*line, index + 1]));
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(3, what, lines));
    }

    fn cold(&mut self) {
        let mut found = Vec::new();
        let mut started: HashMap<u32, (u64, usize)> = HashMap::new();
        let mut told: HashMap<(u32, u32), u64> = HashMap::new();
        let mut offers: HashMap<u32, Vec<(u64, usize, bool)>> = HashMap::new();
        let slow_start = &self.rules.slow_start;
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::Node {
                    node,
                    state: NodeState::SlowStart,
                } => {
                    started.insert(*node, (*t, index + 1));
                    offers.remove(node);
                }
                Observation::EndpointSent {
                    dispatcher,
                    node,
                    state: NodeState::SlowStart,
                } => {
                    told.insert((*dispatcher, *node), *t);
                }
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Killed | DispatcherState::Crashed,
                } => {
                    // A new life knows what its remembered list says, or is told anew.
                    told.retain(|(which, _), _| which != dispatcher);
                }
                Observation::Offered {
                    node, dispatcher, ..
                } => {
                    let Some((since, line)) = started.get(node).copied() else {
                        continue;
                    };
                    if *t > since + slow_start.lasts_us {
                        continue;
                    }
                    let knows = told
                        .get(&(*dispatcher, *node))
                        .is_some_and(|at| *at >= since && at <= t);
                    let window = offers.entry(*node).or_default();
                    window.retain(|(at, _, _)| at + slow_start.window_us > *t);
                    window.push((*t, index + 1, knows));
                    let knowing = window.iter().filter(|(_, _, knows)| *knows).count();
                    // Held against the dispatchers where two thirds came from such as knew.
                    if window.len() > slow_start.most && knowing * 3 >= window.len() * 2 {
                        let what = format!(
                            "node {node} got {} offers in a window while cold",
                            window.len()
                        );
                        let first = window.first().map_or(0, |(_, line, _)| *line);
                        found.push((what, vec![line, first, index + 1]));
                        window.clear();
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(4, what, lines));
    }

    fn spread(&mut self) {
        let mut found = Vec::new();
        let mut by_service: HashMap<(u32, &str, u32), Vec<&Offer>> = HashMap::new();
        let limits: HashMap<&str, usize> = (self.calls.values())
            .filter_map(|call| {
                Some((
                    &call.asked.service[..],
                    self.rules.service_classes[call.asked.service_class].spread?,
                ))
            })
            .collect();
        let services: HashMap<&str, &str> = self
            .calls
            .values()
            .map(|call| (&call.asked.placement_id[..], &call.asked.service[..]))
            .collect();
        for Line { observation, .. } in self.lines {
            let (node, placement_id, number, dispatcher, service) = match observation {
                Observation::Offered {
                    node,
                    placement_id,
                    number,
                    dispatcher,
                    service,
                    ..
                } => (node, placement_id, number, dispatcher, service),
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Started,
                } => {
                    // A new life holds what it is handed, and nothing else.
                    by_service.retain(|(which, _, _), _| which != dispatcher);
                    continue;
                }
                Observation::HandedOver {
                    placement_id,
                    dispatcher,
                    ..
                } => {
                    let offers = self.offers.get(&placement_id[..]).into_iter().flatten();
                    let service = services.get(&placement_id[..]).copied().unwrap_or_default();
                    if let Some(offer) = offers.rev().find(|offer| offer.accepted.is_some()) {
                        by_service
                            .entry((*dispatcher, service, offer.node))
                            .or_default()
                            .push(offer);
                    }
                    continue;
                }
                _ => continue,
            };
            let Some(&most) = limits.get(&service[..]) else {
                continue;
            };
            let mut offers = self.offers.get(&placement_id[..]).into_iter().flatten();
            let Some(offer) = offers.find(|o| o.number == *number && o.node == *node) else {
                continue;
            };
            let held = by_service.entry((*dispatcher, service, *node)).or_default();
            // What is over a little later may be told here before the dispatcher's next offer
            // overtakes it.
            held.retain(|other| other.over.is_none_or(|over| over > offer.t));
            held.push(offer);
            if held.len() > most && !self.stale(offer) {
                let what = format!(
                    "{} of {service} on node {node} from dispatcher {dispatcher}",
                    held.len()
                );
                found.push((what, held.iter().map(|other| other.line).collect()));
            }
        }
        found
            .into_iter()
            .for_each(|(what, lines)| self.breach(5, what, lines));
    }
}

fn find<'o>(
    offers: &'o mut HashMap<&str, Vec<Offer>>,
    placement_id: &str,
    number: u32,
    node: u32,
) -> Option<&'o mut Offer> {
    let offers = offers.get_mut(placement_id)?;
    offers
        .iter_mut()
        .rev()
        .find(|offer| offer.number == number && offer.node == node)
}
