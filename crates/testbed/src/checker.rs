//! Checks a capture against the scenario's rules. The checker sees only what crossed the stand-ins'
//! sockets, and nothing of the dispatchers' state or decisions.

use crate::capture::*;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A violation of a rule: the rule's number (from 1), a description, and the lines of the capture
/// that show it, counted from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: u8,
    pub description: String,
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
            self.description,
            lines.join(", ")
        )
    }
}

/// Names of the rules by number: the five basic rules, a rollout's limit on unavailable replicas,
/// the halt of a failed rollout, and the minimum version.
pub const RULE_NAMES: [&str; 8] = [
    "lost", "twice", "drains", "cold", "spread", "unready", "halts", "floor",
];

/// A client's placement call.
struct Call<'a> {
    request: &'a RequestedPlacement,
    line: usize,
    t: u64,
    final_events: Vec<(u64, usize, AllocationEvent)>,
    closed: Option<u64>,
    cancelled: Option<u64>,
    /// Whether the connection broke, so that the dispatcher sent no final answer.
    broken: bool,
}

/// An offer as its node saw it.
struct Offer {
    node: u32,
    dispatcher: u32,
    number: u32,
    t: u64,
    line: usize,
    rejected: Option<u64>,
    accepted: Option<u64>,
    dropped: Option<u64>,
    /// When it stopped holding its slot: ended, rejected or dropped, or its node gone or cut off.
    ended: Option<u64>,
}

/// A replica of the version that a rollout introduces.
struct NewReplica<'a> {
    dispatcher: u32,
    task: &'a str,
    accepted: u64,
    ready: Option<u64>,
    failed: Option<u64>,
    line: usize,
    /// Whether it is gone, for any reason.
    ended: bool,
}

/// A rollout as its operator requested it, and its progress. Durations are in µs.
struct RolloutState<'a> {
    version: &'a str,
    min_ready_us: u64,
    progress_deadline_us: u64,
    max_failures: usize,
    replicas: Vec<NewReplica<'a>>,
    must_halt: bool,
}

impl RolloutState<'_> {
    /// Marks replicas that missed the progress deadline as failed, and sets `must_halt` if more
    /// than `max_failures` replicas of one dispatcher failed at least `halt_delay_us` ago.
    fn update_must_halt(&mut self, now: u64, halt_delay_us: u64) {
        for replica in self
            .replicas
            .iter_mut()
            .filter(|replica| !replica.ended && replica.ready.is_none())
        {
            let due = replica.accepted.saturating_add(self.progress_deadline_us);
            replica.failed = replica.failed.or((now >= due).then_some(due));
        }
        let failed_long_ago =
            |replica: &&NewReplica| replica.failed.is_some_and(|at| now >= at + halt_delay_us);
        let failures_at = |dispatcher: u32| {
            self.replicas
                .iter()
                .filter(|replica| replica.dispatcher == dispatcher)
                .filter(failed_long_ago)
                .count()
        };
        self.must_halt |= self
            .replicas
            .iter()
            .any(|replica| failures_at(replica.dispatcher) > self.max_failures);
    }
}

/// An interval in which some connections of a dispatcher were held or delayed. A `delay_us` of 0
/// means held.
struct FaultInterval {
    dispatcher: u32,
    from: u64,
    to: u64,
    delay_us: u64,
}

fn fault_intervals(lines: &[Line]) -> Vec<FaultInterval> {
    let mut intervals: Vec<FaultInterval> = Vec::new();
    for Line { t, observation } in lines {
        let Observation::ConnectionFault {
            dispatcher,
            begins,
            delay_us,
        } = *observation
        else {
            continue;
        };
        match begins {
            true => intervals.push(FaultInterval {
                dispatcher,
                from: *t,
                to: u64::MAX,
                delay_us,
            }),
            false => {
                // Of two overlapping faults, the one that began first is assumed to end first.
                let open = intervals
                    .iter_mut()
                    .find(|interval| interval.dispatcher == dispatcher && interval.to == u64::MAX);
                open.into_iter().for_each(|interval| interval.to = *t);
            }
        }
    }
    intervals
}

/// Returns all violations in a capture, or an error if the capture is unreadable.
pub fn check(lines: &[Line]) -> Result<Vec<Violation>, String> {
    let Some(Line {
        observation: Observation::Rules(rules),
        ..
    }) = lines.first()
    else {
        return Err("the first line does not hold the scenario's rules".into());
    };
    let mut checker = Checker {
        rules,
        lines,
        calls: BTreeMap::new(),
        offers: HashMap::new(),
        fault_intervals: fault_intervals(lines),
        violations: Vec::new(),
    };
    checker.collect()?;
    checker.check_lost();
    checker.check_twice();
    checker.check_drains();
    checker.check_slow_start();
    checker.check_spread();
    checker.check_unready();
    checker.check_halts();
    checker.check_minimum_version();
    checker
        .violations
        .sort_by_key(|violation| (violation.rule, violation.lines.first().copied()));
    Ok(checker.violations)
}

struct Checker<'a> {
    rules: &'a RuleParameters,
    lines: &'a [Line],
    calls: BTreeMap<u64, Call<'a>>,
    /// Offers by placement id.
    offers: HashMap<&'a str, Vec<Offer>>,
    fault_intervals: Vec<FaultInterval>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// Rule 8: a node never accepts what was decided under a version below its minimum version.
    fn check_minimum_version(&mut self) {
        let (mut minimum_versions, mut decisions) = (HashMap::new(), HashMap::new());
        let mut violations = Vec::new();
        for (line, observation) in self
            .lines
            .iter()
            .enumerate()
            .map(|(index, line)| (index + 1, &line.observation))
        {
            match observation {
                Observation::MinimumVersionStored {
                    node,
                    version_number,
                } => {
                    minimum_versions.insert(*node, (*version_number, line));
                }
                Observation::Offered {
                    node,
                    placement_id,
                    number,
                    version_number: version,
                    dispatcher,
                    ..
                } => {
                    decisions.insert(
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
                    let Some(&(minimum_version, stored_line)) = minimum_versions.get(node) else {
                        continue;
                    };
                    let Some(&(version, dispatcher, offered_line)) =
                        decisions.get(&(*node, placement_id, *number))
                    else {
                        continue;
                    };
                    if version < minimum_version {
                        let description = format!(
                            "node {node} accepted {placement_id}, which dispatcher {dispatcher} decided under version {version}, below the minimum version {minimum_version}"
                        );
                        violations.push((description, vec![stored_line, offered_line, line]));
                    }
                }
                _ => {}
            }
        }
        violations
            .into_iter()
            .for_each(|(description, lines)| self.report(8, description, lines));
    }

    fn report(&mut self, rule: u8, description: String, lines: Vec<usize>) {
        self.violations.push(Violation {
            rule,
            description,
            lines,
        });
    }

    /// Collects calls and offers from the lines.
    fn collect(&mut self) -> Result<(), String> {
        let mut last = 0;
        // Offers dropped before their nodes recorded them: offer and drop arrived together.
        let mut early_drops: HashSet<(u32, &str, u32)> = HashSet::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            let (t, line) = (*t, index + 1);
            if t < last {
                return Err(format!(
                    "line {line}: its time is before that of the previous line"
                ));
            }
            last = t;
            match observation {
                Observation::Requested(request) => {
                    if request.service_class >= self.rules.service_classes.len() {
                        return Err(format!(
                            "line {line}: no service class {}",
                            request.service_class
                        ));
                    }
                    let call = Call {
                        request,
                        line,
                        t,
                        final_events: Vec::new(),
                        closed: None,
                        cancelled: None,
                        broken: false,
                    };
                    self.calls.insert(request.call, call);
                }
                Observation::EventReceived {
                    call,
                    event:
                        event @ (AllocationEvent::Placed
                        | AllocationEvent::Rejected
                        | AllocationEvent::Failed),
                } => {
                    if let Some(call) = self.calls.get_mut(call) {
                        call.final_events.push((t, line, *event));
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
                        rejected: None,
                        accepted: None,
                        dropped: None,
                        ended: None,
                    };
                    let was_dropped = early_drops.remove(&(*node, &placement_id[..], *number));
                    let dropped = was_dropped.then_some(t);
                    let offer = Offer {
                        dropped,
                        ended: dropped,
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
                    let Some(offer) = find_offer(&mut self.offers, placement_id, *number, *node)
                    else {
                        continue;
                    };
                    match event {
                        AllocationEvent::Accepted => offer.accepted = Some(t),
                        AllocationEvent::Running => offer.accepted = offer.accepted.or(Some(t)),
                        AllocationEvent::Rejected => {
                            (offer.rejected, offer.ended) = (Some(t), Some(t))
                        }
                        AllocationEvent::ServiceLevel
                        | AllocationEvent::Placed
                        | AllocationEvent::Failed => {}
                        _ => offer.ended = offer.ended.or(Some(t)),
                    }
                }
                Observation::OfferDropped {
                    node,
                    placement_id,
                    number,
                } => {
                    if let Some(offer) = find_offer(&mut self.offers, placement_id, *number, *node)
                    {
                        (offer.dropped, offer.ended) = (Some(t), offer.ended.or(Some(t)));
                    } else {
                        early_drops.insert((*node, placement_id, *number));
                    }
                }
                Observation::Node {
                    node,
                    state: NodeState::Gone | NodeState::Crashed,
                } => {
                    let on_node = self
                        .offers
                        .values_mut()
                        .flatten()
                        .filter(|offer| offer.node == *node);
                    on_node.for_each(|offer| offer.ended = offer.ended.or(Some(t)));
                }
                Observation::ConnectionsCut { node } => {
                    let on_node = self
                        .offers
                        .values_mut()
                        .flatten()
                        .filter(|offer| offer.node == *node);
                    // For the dispatcher the attempt ends with its connection, whatever the node
                    // goes on to do.
                    on_node.for_each(|offer| offer.ended = offer.ended.or(Some(t)));
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Returns whether a dispatcher was paused or dead at some time between `from` and `to`.
    /// Missing or late answers in that time are not violations.
    fn was_unavailable(&self, dispatcher: u32, from: u64, to: u64) -> bool {
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

    /// Rule 1: each call gets one final answer in time, and no offer follows it.
    fn check_lost(&mut self) {
        let mut found = Vec::new();
        for call in self.calls.values() {
            let request = call.request;
            let latest = call.t + request.deadline_us + self.rules.slack_us;
            let name = &request.placement_id;
            if let [first, second, ..] = call.final_events[..] {
                found.push((
                    format!("{name} has two final answers"),
                    vec![call.line, first.1, second.1],
                ));
            }
            if let Some((t, line, _)) = call.final_events.first()
                && *t > latest
                && !self.was_unavailable(request.dispatcher, call.t, *t)
            {
                found.push((
                    format!("{name} is answered after its client's deadline"),
                    vec![call.line, *line],
                ));
            }
            let cancelled_in_time = call.cancelled.is_some_and(|at| at <= latest);
            if call.final_events.is_empty()
                && !cancelled_in_time
                && !self.was_unavailable(
                    request.dispatcher,
                    call.t,
                    latest.min(call.closed.unwrap_or(latest) + self.rules.slack_us),
                )
            {
                found.push((format!("{name} has no final answer"), vec![call.line]));
            }
            // An offer that reaches its node after the final answer is allowed only if the
            // connection delayed it.
            let Some((t, line, _)) = call.final_events.first() else {
                continue;
            };
            let after = |offer: &&Offer| offer.t > t + self.rules.slack_us && !self.is_stale(offer);
            if let Some(offer) = self.offers.get(&name[..]).into_iter().flatten().find(after) {
                found.push((
                    format!("{name} is offered after its final answer"),
                    vec![*line, offer.line],
                ));
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(1, description, lines));
    }

    /// Returns whether the dispatcher abandoned an offer while it was in flight, so that its node
    /// saw the offer and the drop together. Where connections were held, both arrive once they are
    /// released, and the node may accept the offer in between.
    fn is_stale(&self, offer: &Offer) -> bool {
        let at_once = offer
            .dropped
            .is_some_and(|at| at <= offer.t + self.rules.slack_us);
        at_once
            && (offer.accepted.is_none() || self.visible_by(offer.dispatcher, offer.t).is_some())
    }

    /// Returns the time by which nodes see a drop that a dispatcher sent at `t`, or `None` if no
    /// fault affected its connections then.
    fn visible_by(&self, dispatcher: u32, t: u64) -> Option<u64> {
        let slack = self.rules.slack_us;
        let intervals = self
            .fault_intervals
            .iter()
            .filter(|interval| interval.dispatcher == dispatcher);
        let active = intervals
            .filter(|interval| interval.from <= t && t <= interval.to.saturating_add(slack));
        let by = active.map(|interval| match interval.delay_us {
            0 => interval.to.saturating_add(slack),
            delay_us => t + delay_us + slack,
        });
        by.max()
    }

    /// Rule 2: attempts of a placement do not overlap, and one that may have run is retried, or
    /// reported as rejected, only if the service class's retry safety allows it.
    fn check_twice(&mut self) {
        let mut found = Vec::new();
        let service_classes: HashMap<&str, usize> = self
            .calls
            .values()
            .map(|call| (&call.request.placement_id[..], call.request.service_class))
            .collect();
        for (name, offers) in &self.offers {
            let Some(service_class) = service_classes
                .get(name)
                .map(|&service_class| &self.rules.service_classes[service_class])
            else {
                continue;
            };
            let mut sent: Vec<&Offer> = offers
                .iter()
                .filter(|offer| !self.is_stale(offer))
                .collect();
            sent.sort_by_key(|offer| (offer.number, offer.t));
            for (index, later) in sent.iter().enumerate() {
                for earlier in &sent[..index] {
                    if earlier.number == later.number {
                        found.push((
                            format!("{name}: attempt {} is offered twice", later.number),
                            vec![earlier.line, later.line],
                        ));
                        continue;
                    }
                    let ended = earlier.ended.unwrap_or(u64::MAX);
                    let visible = self.visible_by(earlier.dispatcher, later.t);
                    if ended > visible.unwrap_or(0).max(later.t + self.rules.slack_us) {
                        let description = format!(
                            "{name}: attempt {} is offered while attempt {} is outstanding",
                            later.number, earlier.number
                        );
                        found.push((description, vec![earlier.line, later.line]));
                    }
                    let never_ran = earlier.rejected.is_some();
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
                        let description = format!(
                            "{name}: attempt {} may run beside attempt {}",
                            later.number, earlier.number
                        );
                        found.push((description, vec![earlier.line, later.line]));
                    }
                }
            }
        }
        for call in self.calls.values() {
            let Some((t, line, AllocationEvent::Rejected)) = call.final_events.first() else {
                continue;
            };
            if self.rules.service_classes[call.request.service_class].retry_safety
                == RetrySafety::Idempotent
            {
                continue;
            }
            for offer in self
                .offers
                .get(&call.request.placement_id[..])
                .into_iter()
                .flatten()
            {
                if offer.rejected.is_none()
                    && offer
                        .accepted
                        .is_some_and(|at| at <= t + self.rules.slack_us)
                {
                    let description = format!(
                        "{} is rejected, though an attempt may run",
                        call.request.placement_id
                    );
                    found.push((description, vec![offer.line, *line]));
                }
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(2, description, lines));
    }

    /// Rule 6: during a rollout, a replica is stopped only if at most `max_unavailable` replicas
    /// are then unavailable, of those that were ready once and are still wanted. A replica that
    /// failed by itself counts once it has been down for `RESPONSE_US`: by then its client has
    /// requested it again, and the rollout must have reacted.
    fn check_unready(&mut self) {
        const RESPONSE_US: u64 = 5_000_000;
        struct Replica {
            ready: usize,
            /// Since when no instance is ready, and whether the last one was stopped.
            down_since: Option<(u64, bool)>,
        }
        let mut found = Vec::new();
        let mut limits: HashMap<&str, usize> = HashMap::new();
        // Whether new replicas may run beside old ones, by service.
        let mut surge_by_service: HashMap<&str, bool> = HashMap::new();
        let mut replicas: HashMap<&str, BTreeMap<&str, Replica>> = HashMap::new();
        let mut call_tasks: HashMap<u64, &str> = HashMap::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::Requested(new) => drop(call_tasks.insert(new.call, &new.task)),
                Observation::HandedOver { call, task, .. } => drop(call_tasks.insert(*call, task)),
                Observation::Cancelled { call } => {
                    // The client no longer wants it, so it does not count as unavailable.
                    let task = call_tasks.get(call).copied().unwrap_or_default();
                    for tasks in replicas.values_mut() {
                        tasks.remove(task);
                    }
                }
                Observation::RolloutStarted {
                    service,
                    max_unavailable,
                    surge,
                    ..
                } => {
                    limits.insert(service, *max_unavailable);
                    surge_by_service.insert(service, *surge);
                }
                Observation::Ready {
                    task,
                    service,
                    ready,
                    done,
                    stopped,
                    ..
                } => {
                    let tasks = replicas.entry(service).or_default();
                    if *done {
                        tasks.remove(&task[..]);
                    } else if *ready {
                        let replica = tasks.entry(task).or_insert(Replica {
                            ready: 0,
                            down_since: None,
                        });
                        (replica.ready, replica.down_since) = (replica.ready + 1, None);
                    } else if let Some(replica) = tasks.get_mut(&task[..]) {
                        replica.ready = replica.ready.saturating_sub(1);
                        replica.down_since = (replica.ready == 0).then_some((*t, *stopped));
                    }
                    let is_unavailable = |replica: &&Replica| {
                        replica
                            .down_since
                            .is_some_and(|(since, stopped)| stopped || t - since > RESPONSE_US)
                    };
                    let surplus: usize = tasks
                        .values()
                        .map(|replica| replica.ready.saturating_sub(1))
                        .sum();
                    let limit = limits
                        .get(&service[..])
                        .filter(|_| surge_by_service.get(&service[..]) == Some(&true));
                    if *ready && limit.is_some_and(|limit| surplus > *limit) {
                        let description =
                            format!("{surplus} surplus replicas of {service} run beside others");
                        found.push((description, vec![index + 1]));
                    }
                    let unready = tasks.values().filter(is_unavailable).count();
                    if *stopped
                        && limits
                            .get(&service[..])
                            .is_some_and(|limit| unready > *limit)
                    {
                        found.push((
                            format!("{unready} replicas of {service} are not ready"),
                            vec![index + 1],
                        ));
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(6, description, lines));
    }

    /// Rule 7: a rollout halts once more new replicas than `max_failures` have failed at one
    /// dispatcher. From `HALT_DELAY_US` after that, no replica of another version may be stopped
    /// unless an operator starts a new rollout.
    fn check_halts(&mut self) {
        const HALT_DELAY_US: u64 = 5_000_000;
        let mut found = Vec::new();
        let mut rollouts: HashMap<&str, RolloutState> = HashMap::new();
        // Task, service, version and dispatcher of the latest offer, by node and placement id.
        let mut offered: HashMap<(u32, &str), (&str, &str, &str, u32)> = HashMap::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::RolloutStarted {
                    service,
                    version,
                    min_ready_us,
                    progress_deadline_us,
                    max_failures,
                    ..
                } => {
                    let rollout = RolloutState {
                        version,
                        min_ready_us: *min_ready_us,
                        progress_deadline_us: *progress_deadline_us,
                        max_failures: *max_failures,
                        replicas: Vec::new(),
                        must_halt: false,
                    };
                    rollouts.insert(service, rollout);
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
                    let Some(rollout) = rollouts
                        .get_mut(service)
                        .filter(|rollout| rollout.version == *version)
                    else {
                        continue;
                    };
                    rollout.replicas.push(NewReplica {
                        dispatcher: *dispatcher,
                        task,
                        accepted: *t,
                        ready: None,
                        failed: None,
                        line: index + 1,
                        ended: false,
                    });
                }
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Killed | DispatcherState::Crashed,
                } => {
                    // The dispatcher's failure counts are lost with it, unless it had time to halt.
                    for rollout in rollouts.values_mut() {
                        rollout.update_must_halt(*t, HALT_DELAY_US);
                        rollout
                            .replicas
                            .retain(|replica| replica.dispatcher != *dispatcher);
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
                    let Some(rollout) = rollouts.get_mut(&service[..]) else {
                        continue;
                    };
                    rollout.update_must_halt(*t, HALT_DELAY_US);
                    if version != rollout.version {
                        if rollout.must_halt && *stopped && !*ready {
                            let shown = rollout
                                .replicas
                                .iter()
                                .filter(|replica| replica.failed.is_some());
                            let lines = shown
                                .map(|replica| replica.line)
                                .chain([index + 1])
                                .collect();
                            found.push((
                                format!("{task} of {service} is stopped by a failed rollout"),
                                lines,
                            ));
                        }
                        continue;
                    }
                    let min_ready_us = rollout.min_ready_us;
                    let newest = rollout
                        .replicas
                        .iter_mut()
                        .rev()
                        .find(|replica| replica.task == task && !replica.ended);
                    let Some(replica) = newest else { continue };
                    if *ready {
                        // It missed the deadline but is ready now, so it no longer counts as
                        // failed.
                        (replica.ready, replica.failed) = (Some(*t), None);
                    } else {
                        let settled = replica
                            .ready
                            .is_some_and(|since| *t >= since + min_ready_us);
                        replica.ended = true;
                        if !*stopped && !*done && !settled {
                            replica.failed = replica.failed.or(Some(*t));
                        }
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(7, description, lines));
    }

    fn zone(&self, node: u32) -> Option<&str> {
        self.rules
            .nodes
            .iter()
            .find(|site| site.node == node)
            .map(|site| &site.zone[..])
    }

    /// Rule 3: no offer goes to a node that the dispatcher knows to be draining or gone.
    fn check_drains(&mut self) {
        let mut found = Vec::new();
        // Since when each dispatcher knows that a node accepts no new offers, and the line.
        let mut notified: HashMap<(u32, u32), (u64, usize)> = HashMap::new();
        for (index, Line { t, observation }) in self.lines.iter().enumerate() {
            match observation {
                Observation::EndpointSent {
                    dispatcher,
                    node,
                    state: NodeState::Draining | NodeState::Gone,
                } => {
                    notified
                        .entry((*dispatcher, *node))
                        .or_insert((*t, index + 1));
                }
                Observation::EndpointSent {
                    dispatcher, node, ..
                } => drop(notified.remove(&(*dispatcher, *node))),
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Resumed,
                }
                | Observation::ConnectionFault {
                    dispatcher,
                    begins: false,
                    ..
                } => {
                    // While it was paused or its connections were held, it received no updates.
                    let known = notified
                        .iter_mut()
                        .filter(|((which, _), _)| which == dispatcher);
                    known.for_each(|(_, (since, _))| *since = *t);
                }
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Started,
                } => {
                    notified.retain(|(which, _), _| which != dispatcher);
                }
                Observation::Offered {
                    node,
                    placement_id,
                    dispatcher,
                    number,
                    ..
                } => {
                    let Some((since, line)) = notified.get(&(*dispatcher, *node)) else {
                        continue;
                    };
                    let offer = self.offers.get(&placement_id[..]).into_iter().flatten();
                    let stale = offer
                        .filter(|offer| offer.line == index + 1)
                        .any(|offer| self.is_stale(offer));
                    if *t > since + self.rules.grace_us + self.rules.slack_us && !stale {
                        let description = format!(
                            "{placement_id}: attempt {number} offered to node {node}, known to be draining or gone"
                        );
                        found.push((description, vec![*line, index + 1]));
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(3, description, lines));
    }

    /// Rule 4: a node in slow start gets at most `max_offers` offers in a window.
    fn check_slow_start(&mut self) {
        let mut found = Vec::new();
        let mut started: HashMap<u32, (u64, usize)> = HashMap::new();
        let mut notified: HashMap<(u32, u32), u64> = HashMap::new();
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
                    notified.insert((*dispatcher, *node), *t);
                }
                Observation::Dispatcher {
                    dispatcher,
                    state: DispatcherState::Killed | DispatcherState::Crashed,
                } => {
                    // A restarted dispatcher loads its stored endpoint list or receives it again.
                    notified.retain(|(which, _), _| which != dispatcher);
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
                    let was_notified = notified
                        .get(&(*dispatcher, *node))
                        .is_some_and(|at| *at >= since && at <= t);
                    let window = offers.entry(*node).or_default();
                    window.retain(|(at, _, _)| at + slow_start.window_us > *t);
                    window.push((*t, index + 1, was_notified));
                    let notified_offers = window
                        .iter()
                        .filter(|(_, _, was_notified)| *was_notified)
                        .count();
                    // A violation only if at least two thirds of the offers came from dispatchers
                    // that knew of the restart.
                    if window.len() > slow_start.max_offers
                        && notified_offers * 3 >= window.len() * 2
                    {
                        let description = format!(
                            "node {node} got {} offers in one window during slow start",
                            window.len()
                        );
                        let first = window.first().map_or(0, |(_, line, _)| *line);
                        found.push((description, vec![line, first, index + 1]));
                        window.clear();
                    }
                }
                _ => {}
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(4, description, lines));
    }

    /// Rule 5: a dispatcher places at most `spread` allocations of a service on one node.
    fn check_spread(&mut self) {
        let mut found = Vec::new();
        let mut by_service: HashMap<(u32, &str, u32), Vec<&Offer>> = HashMap::new();
        let limits: HashMap<&str, usize> = (self.calls.values())
            .filter_map(|call| {
                Some((
                    &call.request.service[..],
                    self.rules.service_classes[call.request.service_class].spread?,
                ))
            })
            .collect();
        let services: HashMap<&str, &str> = self
            .calls
            .values()
            .map(|call| (&call.request.placement_id[..], &call.request.service[..]))
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
                    // A restarted dispatcher holds only what is handed over to it.
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
            let Some(&limit) = limits.get(&service[..]) else {
                continue;
            };
            let mut offers = self.offers.get(&placement_id[..]).into_iter().flatten();
            let Some(offer) = offers.find(|o| o.number == *number && o.node == *node) else {
                continue;
            };
            let current = by_service.entry((*dispatcher, service, *node)).or_default();
            // Allocations that ended before this offer no longer count. No slack is needed: a
            // node's end is recorded before the dispatcher's next offer can overtake it.
            current.retain(|other| other.ended.is_none_or(|ended| ended > offer.t));
            current.push(offer);
            if current.len() > limit && !self.is_stale(offer) {
                let description = format!(
                    "{} allocations of {service} on node {node} from dispatcher {dispatcher}",
                    current.len()
                );
                found.push((
                    description,
                    current.iter().map(|other| other.line).collect(),
                ));
            }
        }
        found
            .into_iter()
            .for_each(|(description, lines)| self.report(5, description, lines));
    }
}

fn find_offer<'o>(
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
