//! What a caller relies on, one story each, against a wire that writes down what it is told.

use corkspan_engine::{
    AdmissionError, AllocationRequest, Effects, Engine, RetryBatch, ReturnedAttempt, service_id,
};
use corkspan_scheduler::interface::*;

const SECOND: Ticks = 10_000;

#[derive(Default)]
struct Noted(Vec<String>);

impl Effects<&'static str> for Noted {
    fn dispatch(
        &mut self,
        own: &mut &'static str,
        allocation: &Allocation,
        machine: MachineId,
        _: Ticks,
    ) {
        self.0.push(format!(
            "{own}: shot {} to {}",
            allocation.attempts.len(),
            machine.0
        ));
    }
    fn shed(&mut self, own: &mut &'static str, _: &Allocation) {
        self.0.push(format!("{own}: shed"));
    }
    fn indeterminate(&mut self, own: &mut &'static str, _: &Allocation) {
        self.0.push(format!("{own}: scrapped"));
    }
    fn migrate(&mut self, own: &mut &'static str, _: &Allocation) {
        self.0.push(format!("{own}: moved"));
    }
    fn check_health(&mut self, _: MachineId) {}
    fn watch_endpoints(&mut self) {
        self.0.push("watch".into());
    }
    fn set_timer(&mut self, after: Ticks) {
        assert!(after > 0, "a timer of 0 would spin");
        self.0.push("wake".into());
    }
}

impl Noted {
    fn said(&mut self) -> String {
        std::mem::take(&mut self.0).join("; ")
    }
}

fn host(repeat: RetrySafety, machines: u32, most: usize) -> Engine<&'static str> {
    sliced(
        repeat,
        machines,
        most,
        RetryBatch {
            max_size: 2,
            interval: 20,
        },
    )
}

/// The next that waits has its turn; false where none does.
fn turn(host: &mut Engine<&'static str>, now: Ticks, wire: &mut Noted) -> bool {
    host.next_queued()
        .map(|id| host.evaluate(now, id, wire))
        .is_some()
}

fn sliced(
    repeat: RetrySafety,
    machines: u32,
    most: usize,
    slice: RetryBatch,
) -> Engine<&'static str> {
    let size = Resources {
        cores: 40.0,
        memory: 100.0,
    };
    let track = ServiceClass {
        retry_safety: repeat,
        latency_objective: SECOND,
        target_utilization: 1.0,
        priority: 0,
        machine_type: None,
        spread: None,
    };
    let cluster = Cluster {
        zone: ZoneId(0),
        scheduler_index: 0,
        scheduler_count: 1,
        machine_types: vec![size],
        service_classes: vec![track],
        tenants: Vec::new(),
        admission_limit: Resources {
            cores: 2.0,
            memory: 1.5,
        },
        preempts: false,
        max_attempts: 3,
        placed_means_running: false,
        list_reports_capacity: false,
        health_checks: false,
        list_poll_interval: Some(10 * SECOND),
        slow_start: SlowStart {
            duration: SECOND,
            window: SECOND,
            max_offers: 5.0,
        },
        connect_timeout: 0,
        cross_zone_cost: 0.0,
        caller_detects_losses: true,
    };
    let mut host = Engine::new(cluster, 1, 0, most, slice);
    host.apply_endpoint_list(
        ListUpdate::Cached,
        &(0..machines).map(entry).collect::<Vec<_>>(),
    );
    host
}

fn entry(id: u32) -> Endpoint {
    Endpoint {
        machine: MachineId(id),
        machine_type: MachineTypeId(0),
        zone: ZoneId(0),
        cell: CellId(0),
        state: MachineState::Serving,
        started_at: None,
        unreserved: None,
    }
}

fn asked(abandon: Ticks) -> AllocationRequest {
    let asks = Resources {
        cores: 1.0,
        memory: 1.0,
    };
    AllocationRequest {
        service: service_id("s"),
        service_class: ServiceClassId(0),
        tenant: TenantId(0),
        requested: asks,
        deadline: abandon,
    }
}

fn refused(
    host: &mut Engine<&'static str>,
    now: Ticks,
    id: AllocationId,
    shot: usize,
    wire: &mut Noted,
) {
    host.attempt_returned(
        now,
        id,
        shot,
        ReturnedAttempt {
            ending: AttemptResult::Rejected,
            reason: Some(ReturnReason::NoCores),
            finished: false,
            report: None,
        },
        wire,
    );
}

#[test]
fn a_duplicate_name_is_not_admitted_and_the_data_is_given_back() {
    let mut host = host(RetrySafety::Idempotent, 1, 10);
    host.admit(0, "a", asked(SECOND), "first").expect("room");
    let again = host.admit(0, "a", asked(SECOND), "second");
    assert_eq!(again.err(), Some((AdmissionError::DuplicateName, "second")));
}

#[test]
fn past_the_limit_none_is_admitted_until_one_is_over() {
    let mut host = host(RetrySafety::Idempotent, 0, 1);
    let id = host.admit(0, "a", asked(SECOND), "a").expect("room");
    assert_eq!(
        host.admit(0, "b", asked(SECOND), "b").err(),
        Some((AdmissionError::Full, "b"))
    );
    host.finish(id);
    assert!(host.admit(0, "b", asked(SECOND), "b").is_ok());
}

#[test]
fn an_allocation_that_no_machine_takes_waits_and_is_shed_before_its_deadline() {
    let (mut host, mut wire) = (host(RetrySafety::Idempotent, 0, 10), Noted::default());
    let id = host.admit(0, "a", asked(SECOND), "a").expect("room");
    host.place(0, id, &mut wire);
    assert_eq!(host.counts().deferred, 1);
    let mut now = 0;
    while !wire.0.iter().any(|said| said == "a: shed") {
        now += 10;
        assert!(now < SECOND, "no answer in time");
        host.timer_fired(now);
        host.poll(now, &mut wire);
    }
    assert_eq!(host.counts(), Default::default());
}

#[test]
fn deferred_allocations_are_retried_in_batches_and_all_of_them() {
    let (mut host, mut wire) = (host(RetrySafety::Idempotent, 0, 10), Noted::default());
    for name in ["a", "b", "c", "d", "e"] {
        let id = host.admit(0, name, asked(10 * SECOND), name).expect("room");
        host.place(0, id, &mut wire);
    }
    assert_eq!((wire.said(), host.counts().deferred), (String::new(), 5));
    host.apply_endpoint_list(ListUpdate::Complete, &[entry(7)]);
    let mut slices = Vec::new();
    for now in 1..2 * SECOND {
        host.timer_fired(now);
        host.poll(now, &mut wire);
        let sent = wire.said().matches("to 7").count();
        if sent > 0 {
            slices.push((now, sent));
        }
    }
    assert_eq!(
        slices.iter().map(|(_, sent)| sent).collect::<Vec<_>>(),
        [&2, &2, &1]
    );
    assert!(
        slices.windows(2).all(|two| two[1].0 >= two[0].0 + 20),
        "with time between: {slices:?}"
    );
}

#[test]
fn after_a_swap_of_names_each_is_found_by_the_others_name() {
    let mut host = host(RetrySafety::Idempotent, 1, 10);
    let old = host.admit(0, "task", asked(SECOND), "old").expect("room");
    let new = host.admit(0, "beside", asked(SECOND), "new").expect("room");
    host.swap_names(old, new);
    assert_eq!(
        (host.find("task"), host.find("beside")),
        (Some(new), Some(old))
    );
    host.finish(old);
    assert_eq!((host.find("task"), host.find("beside")), (Some(new), None));
}

#[test]
fn the_name_of_a_cancelled_allocation_is_kept_while_its_attempt_is_pending() {
    let (mut host, mut wire) = (host(RetrySafety::NotRetryable, 1, 10), Noted::default());
    let id = host.admit(0, "a", asked(SECOND), "a").expect("room");
    host.place(0, id, &mut wire);
    host.finish(id);
    assert_eq!(
        host.admit(1, "a", asked(SECOND), "again").err(),
        Some((AdmissionError::DuplicateName, "again"))
    );
    refused(&mut host, 2, id, 0, &mut wire);
    assert_eq!(
        wire.said(),
        "a: shot 0 to 0",
        "nothing is sent for one that is over"
    );
    assert!(host.admit(3, "a", asked(SECOND), "again").is_ok());
}

#[test]
fn an_answer_after_the_end_is_ignored() {
    let (mut host, mut wire) = (host(RetrySafety::Idempotent, 1, 10), Noted::default());
    let id = host.admit(0, "a", asked(SECOND), "a").expect("room");
    host.place(0, id, &mut wire);
    host.finish(id);
    assert!(!host.attempt_placed(5, id, 0, &mut wire));
}

#[test]
fn only_the_first_placed_answer_counts() {
    let (mut host, mut wire) = (host(RetrySafety::Idempotent, 1, 10), Noted::default());
    let id = host.admit(0, "a", asked(SECOND), "a").expect("room");
    host.place(0, id, &mut wire);
    assert!(host.attempt_placed(5, id, 0, &mut wire));
    assert!(!host.attempt_placed(6, id, 0, &mut wire));
}

#[test]
fn an_unknown_attempt_is_reported() {
    let (mut host, mut wire) = (host(RetrySafety::Idempotent, 1, 10), Noted::default());
    let id = host.admit(0, "a", asked(SECOND), "a").expect("room");
    assert!(!host.attempt_returned(
        1,
        id,
        7,
        ReturnedAttempt {
            ending: AttemptResult::Completed,
            reason: None,
            finished: true,
            report: None
        },
        &mut wire
    ));
}

#[test]
fn at_a_stop_deferred_allocations_are_answered_at_once_and_others_after_their_attempt() {
    let (mut host, mut wire) = (host(RetrySafety::NotRetryable, 1, 10), Noted::default());
    let out = host
        .admit(0, "out", asked(9 * SECOND), "out")
        .expect("room");
    host.place(0, out, &mut wire);
    host.apply_endpoint_list(ListUpdate::Complete, &[]);
    let waits = host
        .admit(0, "waits", asked(9 * SECOND), "waits")
        .expect("room");
    host.place(0, waits, &mut wire);
    wire.said();
    host.stop(10, &mut wire);
    assert_eq!(wire.said(), "waits: shed");
    assert_eq!(host.unanswered(), [(out, 0)]);
    host.attempt_returned(
        20,
        out,
        0,
        ReturnedAttempt {
            ending: AttemptResult::TimedOut,
            reason: None,
            finished: false,
            report: None,
        },
        &mut wire,
    );
    assert_eq!(
        wire.said(),
        "out: scrapped",
        "a shot that may have run promises nothing"
    );
    assert_eq!(host.counts().tracked, 0);
}

#[test]
fn an_adopted_allocation_is_owed_no_answer_and_ends_with_its_attempt() {
    let (mut host, mut wire) = (host(RetrySafety::NotRetryable, 1, 10), Noted::default());
    let id = host
        .admit_running(0, "a", asked(0), MachineId(0), "a")
        .expect("room");
    host.poll(100, &mut wire);
    assert!(host.unanswered().is_empty());
    host.attempt_returned(
        200,
        id,
        0,
        ReturnedAttempt {
            ending: AttemptResult::Reset,
            reason: Some(ReturnReason::Evicted),
            finished: true,
            report: None,
        },
        &mut wire,
    );
    assert!(!wire.said().contains("a:"), "no answer and no further shot");
    assert_eq!(host.counts().tracked, 0);
}

#[test]
fn a_service_has_the_same_id_everywhere() {
    assert_eq!(service_id("quotes"), service_id("quotes"));
    assert_ne!(service_id("quotes"), service_id("quote"));
}

/// So many that wait for their turn, all with the same abandon time.
fn by_turns(machines: u32, many: usize) -> (Engine<&'static str>, Noted) {
    let mut host = sliced(
        RetrySafety::Idempotent,
        machines,
        10_000,
        RetryBatch::ON_DEMAND,
    );
    let mut wire = Noted::default();
    for number in 0..many {
        let id = host
            .admit(0, &number.to_string(), asked(SECOND), "a")
            .expect("room");
        host.place(0, id, &mut wire);
    }
    (host, wire)
}

#[test]
fn on_demand_evaluations_wait_until_the_caller_has_time() {
    let (mut host, mut wire) = by_turns(1, 3);
    host.poll(1, &mut wire);
    assert!(!wire.said().contains("shot"), "none by itself");
    for more in [true, true, true, false] {
        assert_eq!(turn(&mut host, 2, &mut wire), more);
        assert_eq!(
            wire.said().matches("shot").count(),
            usize::from(more),
            "one a turn"
        );
    }
}

#[test]
fn a_caller_without_time_still_answers_all_at_their_deadline() {
    let (mut host, mut wire) = by_turns(1, 500);
    host.poll(SECOND - 1, &mut wire);
    assert!(!wire.said().contains("shed"), "not before");
    host.timer_fired(SECOND);
    host.poll(SECOND, &mut wire);
    assert_eq!(wire.said().matches("a: shed").count(), 500);
    while turn(&mut host, SECOND, &mut wire) {}
    assert_eq!(
        (wire.said(), host.counts()),
        (String::new(), Default::default()),
        "once each"
    );
}

#[test]
fn deferred_and_new_allocations_are_evaluated_in_turns() {
    let (mut host, mut wire) = by_turns(0, 100);
    while turn(&mut host, 1, &mut wire) {}
    host.poll(SECOND / 20 + 1, &mut wire);
    host.apply_endpoint_list(ListUpdate::Complete, &[entry(7)]);
    for number in 0..100 {
        let id = host
            .admit(600, &format!("new {number}"), asked(SECOND), "new")
            .expect("room");
        host.place(600, id, &mut wire);
    }
    wire.said();
    (0..20).for_each(|_| assert!(turn(&mut host, 600, &mut wire)));
    let said = wire.said();
    assert_eq!(
        (
            said.matches("a: shot").count(),
            said.matches("new: shot").count()
        ),
        (10, 10),
        "{said}"
    );
}

#[test]
fn requests_given_up_before_their_evaluation_do_not_pile_up() {
    let (mut host, mut wire) = by_turns(1, 0);
    for number in 0..10_000 {
        let id = host
            .admit(0, &number.to_string(), asked(SECOND), "a")
            .expect("room");
        host.place(0, id, &mut wire);
        host.finish(id);
    }
    assert!(host.state_size() < 200, "{} kept", host.state_size());
}

/// All wait as a zone goes, and all at once there is room. What is asked meanwhile goes with the
/// views, not with time.
#[test]
fn a_thousand_deferred_allocations_are_left_alone_until_there_is_capacity() {
    let mut host = sliced(RetrySafety::Idempotent, 100, 10_000, RetryBatch::ON_DEMAND);
    let report = |host: &mut Engine<&'static str>, now, cores| {
        let report = Some(LoadReport {
            available: Resources {
                cores,
                memory: 2.0 * cores,
            },
        });
        (0..100).for_each(|id| {
            host.record_health_check(now, MachineId(id), AttemptResult::Completed, report)
        });
    };
    report(&mut host, 0, 0.0);
    let mut wire = Noted::default();
    for number in 0..1_000 {
        let asks = Resources {
            cores: 0.5 + f64::from(number % 7) / 10.0,
            memory: 1.0,
        };
        let service = service_id(&(number % 50).to_string());
        let id = host.admit(
            0,
            &number.to_string(),
            AllocationRequest {
                service,
                requested: asks,
                ..asked(SECOND * 60)
            },
            "a",
        );
        host.place(0, id.expect("room"), &mut wire);
    }
    let turns = |host: &mut Engine<&'static str>, now, wire: &mut Noted| {
        host.timer_fired(now);
        host.poll(now, wire);
        std::iter::from_fn(|| turn(host, now, wire).then_some(())).count()
    };
    let asked: usize = (1..=100)
        .map(|step| turns(&mut host, step * SECOND / 100, &mut wire))
        .sum();
    assert!(
        (2_000..=6_000).contains(&asked),
        "a thousand with each view in a second, and once at first: {asked}"
    );
    assert!(!wire.said().contains("shot"));
    report(&mut host, SECOND, 30.0);
    let sent = turns(&mut host, SECOND + SECOND / 20, &mut wire);
    assert_eq!((sent, wire.said().matches("shot").count()), (1_000, 1_000));
}
