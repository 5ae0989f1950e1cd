//! Tests when the allocations on a machine from which nothing is heard count as lost, whether or not
//! health checks may be sent.

// The fake host has helpers that only the scenario tests use.
#[allow(dead_code)]
mod host;

use corkspan_scheduler::interface::*;
use host::*;
use std::collections::BTreeMap;
use test_case::test_matrix;

const SMALL: Resources = Resources {
    cores: 2.0,
    memory: 4.0,
};
/// The protocol's limit for the release of an allocation whose machine has disappeared.
const RELEASE_LIMIT: Ticks = 8 * SECOND;
const PARTITION: Ticks = 6 * SECOND;
/// Time in which a connection must be established.
const CONNECT_TIMEOUT: Ticks = SECOND / 4;
/// Time in which a health check must be answered.
const HEALTH_CHECK_TIMEOUT: Ticks = SECOND;
const NETWORK_DELAY: Ticks = 10;
/// A time by which the usual intervals are known.
const WARM_UP: Ticks = 20 * SECOND;
const NEVER: Ticks = Ticks::MAX / 2;

/// Returns the cluster settings of a platform that does not report lost machines.
fn platform(health_checks: bool) -> Cluster {
    Cluster {
        caller_detects_losses: false,
        health_checks,
        ..cluster(ServiceClass {
            spread: None,
            ..service_class(RetrySafety::Idempotent)
        })
    }
}

#[derive(Clone, Copy)]
enum Event {
    Connection(ConnectionResult),
    HealthCheck(AttemptResult),
    Metric,
}

/// Machine 0 with one allocation, and the network to it. Machine 1 runs nothing.
struct SilentMachine {
    host: Host,
    started_at: Ticks,
    events: BTreeMap<(Ticks, usize), Event>,
    event_count: usize,
    /// Returns the time until which the machine is unreachable, if it is at the given time. Times
    /// count from the start.
    unreachable_until: Box<dyn Fn(Ticks) -> Option<Ticks>>,
    /// Whether its process answers health checks.
    answers: bool,
    /// Times from the start. The first connection at or after each fails, whatever the network
    /// allows.
    failing_once_from: Vec<Ticks>,
    health_checks: bool,
    /// The times of the connections, from the start.
    connected_at: Vec<Ticks>,
    /// The time from the start at which the allocation was lost.
    lost_at: Option<Ticks>,
}

impl SilentMachine {
    fn new(
        health_checks: bool,
        unreachable_until: impl Fn(Ticks) -> Option<Ticks> + 'static,
    ) -> SilentMachine {
        let mut host = Host::new(platform(health_checks), 1, 2);
        host.add_running(1, SMALL, SMALL, 0, 0);
        SilentMachine {
            started_at: host.now,
            host,
            events: BTreeMap::new(),
            event_count: 0,
            unreachable_until: Box::new(unreachable_until),
            answers: true,
            failing_once_from: Vec::new(),
            health_checks,
            connected_at: Vec::new(),
            lost_at: None,
        }
    }

    /// Adds metrics of the allocation at this interval. Those sent during a partition arrive at its
    /// end.
    fn with_metrics(mut self, interval: Option<Ticks>) -> SilentMachine {
        let sent = (1..).map(|number| number * interval.unwrap_or(NEVER));
        for sent_at in sent.take_while(|&at| at < 60 * SECOND) {
            let arrives_at = (self.unreachable_until)(sent_at).unwrap_or(sent_at);
            if arrives_at < NEVER {
                self.add_event(arrives_at + NETWORK_DELAY, Event::Metric);
            }
        }
        self
    }

    fn add_event(&mut self, at: Ticks, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn connect(&mut self, at: Ticks) {
        self.connected_at.push(at);
        let before = self.failing_once_from.len();
        self.failing_once_from.retain(|&from| at < from);
        let fails = self.failing_once_from.len() < before;
        if fails || (self.unreachable_until)(at).is_some() {
            let attempted_at = self.started_at + at;
            let failed = ConnectionResult::Failed { attempted_at };
            self.add_event(at + CONNECT_TIMEOUT, Event::Connection(failed));
        } else {
            let established = Event::Connection(ConnectionResult::Answered);
            self.add_event(at + NETWORK_DELAY, established);
        }
    }

    fn check_health(&mut self, at: Ticks) {
        assert!(self.health_checks, "health checks are forbidden");
        let is_answered = self.answers && (self.unreachable_until)(at).is_none();
        let (delay, result) = match is_answered {
            true => (NETWORK_DELAY, AttemptResult::Completed),
            false => (HEALTH_CHECK_TIMEOUT, AttemptResult::TimedOut),
        };
        self.add_event(at + delay, Event::HealthCheck(result));
    }

    fn handle(&mut self, event: Event) {
        let (now, scheduler) = (self.host.now, &mut self.host.scheduler);
        match event {
            Event::Connection(result) => scheduler.record_connection(now, MachineId(0), result),
            Event::HealthCheck(result) => {
                scheduler.record_health_check(now, MachineId(0), result, None);
            }
            Event::Metric => scheduler.record_metric(now, AllocationId(1), Metric::Cores(1.0)),
        }
    }

    /// Polls the scheduler after each event and when it asks for it, until that time from the start.
    fn run_until(mut self, until: Ticks) -> SilentMachine {
        while self.host.now < self.started_at + until {
            let at = self.host.now - self.started_at;
            while let Some(entry) = self.events.first_entry().filter(|next| next.key().0 <= at) {
                let event = entry.remove();
                self.handle(event);
            }
            let poll = self.host.scheduler.poll(self.host.now);
            if !poll.lost.is_empty() {
                self.lost_at.get_or_insert(at);
            }
            let checked = [&poll.connection_checks, &poll.health_checks];
            assert!(
                checked.into_iter().flatten().all(|id| id.0 == 0),
                "machine 1 runs nothing"
            );
            poll.connection_checks.iter().for_each(|_| self.connect(at));
            poll.health_checks
                .iter()
                .for_each(|_| self.check_health(at));
            let next_event = self
                .events
                .first_key_value()
                .map_or(NEVER, |(key, _)| key.0);
            self.host.now += poll.next_poll.min(next_event.saturating_sub(at)).max(1);
        }
        self
    }
}

/// Returns the network to a machine that vanishes at a given time from the start.
fn vanishes_at(time: Ticks) -> impl Fn(Ticks) -> Option<Ticks> {
    move |at| (at >= time).then_some(NEVER)
}

/// Returns the network to a machine that is cut off at a given time for the length of a partition,
/// and again each time after it was reachable for `reachable_for`.
fn cut_off_repeatedly(from: Ticks, reachable_for: Ticks) -> impl Fn(Ticks) -> Option<Ticks> {
    move |at| {
        let since_first = at.checked_sub(from)?;
        let since = since_first % (PARTITION + reachable_for);
        (since < PARTITION).then_some(at - since + PARTITION)
    }
}

/// Guards against allocations left standing on a machine that has disappeared, whenever it does and
/// however seldom it was heard.
#[test_matrix([false, true], [None, Some(SECOND / 2), Some(SECOND), Some(2 * SECOND), Some(5 * SECOND)])]
fn allocations_on_a_vanished_machine_are_lost_in_time_to_be_released(
    health_checks: bool,
    metric_interval: Option<Ticks>,
) {
    for step in 0..25 {
        let vanished_at = WARM_UP + step * SECOND / 10 + 1;
        let machine = SilentMachine::new(health_checks, vanishes_at(vanished_at));
        let machine = machine.with_metrics(metric_interval);
        let machine = machine.run_until(vanished_at + 2 * RELEASE_LIMIT);
        let lost_after = machine.lost_at.expect("lost") - vanished_at;
        assert!(
            (PARTITION + 1..RELEASE_LIMIT).contains(&lost_after),
            "step {step}: lost after {lost_after} ticks"
        );
    }
}

/// Guards against releasing allocations that still run behind a partition, whenever it begins and
/// however often (review case 7).
#[test_matrix(
    [false, true],
    [None, Some(SECOND / 2), Some(SECOND), Some(2 * SECOND), Some(5 * SECOND)],
    [SECOND, 3 * SECOND, 30 * SECOND]
)]
fn allocations_outlast_partitions_of_their_machine(
    health_checks: bool,
    metric_interval: Option<Ticks>,
    reachable_for: Ticks,
) {
    for step in 0..25 {
        let cut_off = cut_off_repeatedly(WARM_UP + step * SECOND / 10 + 1, reachable_for);
        let machine = SilentMachine::new(health_checks, cut_off);
        let machine = machine.with_metrics(metric_interval);
        let machine = machine.run_until(60 * SECOND);
        assert_eq!(machine.lost_at, None, "step {step}");
    }
}

/// Guards against counting a connection that fails by chance, right before a partition or right
/// after it, as part of the partition.
#[test_matrix([false, true])]
fn a_connection_that_fails_beside_a_partition_shows_nothing(health_checks: bool) {
    let silent = |unreachable_until: Box<dyn Fn(Ticks) -> Option<Ticks>>| {
        let mut machine = SilentMachine::new(health_checks, unreachable_until);
        machine.answers = false;
        machine
    };
    let vanished = silent(Box::new(vanishes_at(0))).run_until(RELEASE_LIMIT);
    let [first, second] = [vanished.connected_at[0], vanished.connected_at[1]];
    for begin in (first + 1..=second).step_by(50) {
        let mut machine = silent(Box::new(cut_off_repeatedly(begin, 60 * SECOND)));
        let end = begin + PARTITION;
        machine.failing_once_from = vec![first, end];
        let machine = machine.run_until(30 * SECOND);
        assert_eq!(machine.lost_at, None, "cut off from {begin}");
    }
}

/// Guards against a loss that rests on one connection, which may fail by chance, at either end.
#[test_matrix([false, true])]
fn two_connections_must_fail_at_each_end_of_an_outage(health_checks: bool) {
    const OUTAGE: Ticks = PARTITION + SECOND / 10;
    let cases: [(&[Ticks], bool); 4] = [
        (&[0, OUTAGE], false),
        (&[0, 100, OUTAGE], false),
        (&[0, OUTAGE - 100, OUTAGE], false),
        (&[0, 100, OUTAGE + 100, OUTAGE + 200], true),
    ];
    for (attempts, is_lost) in cases {
        let mut host = Host::new(platform(health_checks), 1, 2);
        host.add_running(1, SMALL, SMALL, 0, 0);
        let started_at = host.now + 1;
        for attempt in attempts {
            let attempted_at = started_at + attempt;
            let result = ConnectionResult::Failed { attempted_at };
            host.now = attempted_at + CONNECT_TIMEOUT;
            let scheduler = &mut host.scheduler;
            scheduler.record_connection(host.now, MachineId(0), result);
        }
        let lost = host.scheduler.poll(host.now).lost;
        assert_eq!(!lost.is_empty(), is_lost, "{attempts:?}");
    }
}

/// Guards against releasing allocations that still run: the process hangs, but its machine accepts
/// connections.
#[test_matrix([false, true])]
fn allocations_on_a_machine_whose_process_hangs_are_kept(health_checks: bool) {
    let mut machine = SilentMachine::new(health_checks, |_| None);
    machine.answers = false;
    assert_eq!(machine.run_until(60 * SECOND).lost_at, None);
}

/// Guards against releasing allocations that still run: nothing is known of connections, and a
/// health check that is not answered shows no more than a process that hangs does.
#[test_matrix([false, true])]
fn allocations_on_a_silent_machine_are_kept_without_evidence(health_checks: bool) {
    let mut host = Host::new(platform(health_checks), 1, 2);
    host.add_running(1, SMALL, SMALL, 0, 0);
    let until = host.now + 60 * SECOND;
    while host.now < until {
        let poll = host.scheduler.poll(host.now);
        assert_eq!(poll.lost, []);
        for machine in poll.health_checks {
            let result = AttemptResult::TimedOut;
            host.scheduler
                .record_health_check(host.now, machine, result, None);
        }
        host.now += SECOND / 4;
    }
}

/// Guards against releasing allocations of a machine that was heard of in an outage.
#[test_matrix([false, true])]
fn a_metric_counts_as_a_sign_of_life(health_checks: bool) {
    let mut machine = SilentMachine::new(health_checks, vanishes_at(0));
    machine.add_event(PARTITION, Event::Metric);
    let machine = machine.run_until(PARTITION + 7 * SECOND);
    assert_eq!(machine.lost_at, None, "7 s after it was heard of again");
    let machine = machine.run_until(PARTITION + RELEASE_LIMIT);
    assert!(machine.lost_at.is_some());
}

/// Guards against a connection to each machine that is merely quiet: an answered health check
/// spares it one, whether the answer is good or not.
#[test_matrix([AttemptResult::Completed, AttemptResult::Error])]
fn an_answered_health_check_counts_as_a_sign_of_life(result: AttemptResult) {
    let mut host = Host::new(platform(true), 1, 2);
    host.add_running(1, SMALL, SMALL, 0, 0);
    let until = host.now + 20 * SECOND;
    let mut answered = 0;
    while host.now < until {
        let poll = host.scheduler.poll(host.now);
        assert_eq!(poll.connection_checks, []);
        for machine in poll.health_checks {
            answered += 1;
            host.scheduler
                .record_health_check(host.now, machine, result, None);
        }
        host.now += poll.next_poll;
    }
    assert!(answered > 10, "{answered} health checks");
}

/// Guards against releasing allocations of a machine's next process: they were placed before the
/// list told of its start, and the machine counted as silent since the beginning of time.
#[test]
fn allocations_on_a_restarted_machine_are_not_lost_at_once() {
    let mut host = Host::new(platform(true), 1, 2);
    host.add_running(1, SMALL, SMALL, 0, 0);
    let restarted = Endpoint {
        started_at: Some(host.now),
        ..endpoint(0)
    };
    let scheduler = &mut host.scheduler;
    scheduler.apply_endpoint_list(ListUpdate::Incremental, &[restarted]);
    host.now += SECOND / 4;
    assert_eq!(host.scheduler.poll(host.now).lost, []);
}
