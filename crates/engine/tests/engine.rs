//! Tests of the engine's behaviour for its caller, with effects that are only recorded.

use corkspan_engine::{
    AdmissionError, AllocationRequest, Effects, Engine, RetryBatch, ReturnedAttempt, service_id,
};
use corkspan_scheduler::interface::*;

const SECOND: Ticks = 10_000;

#[derive(Default)]
struct RecordedEffects(Vec<String>);

impl Effects<&'static str> for RecordedEffects {
    fn dispatch(
        &mut self,
        name: &mut &'static str,
        allocation: &Allocation,
        machine: MachineId,
        _: Ticks,
    ) {
        self.0.push(format!(
            "{name}: attempt {} to {}",
            allocation.attempts.len(),
            machine.0
        ));
    }
    fn shed(&mut self, name: &mut &'static str, _: &Allocation) {
        self.0.push(format!("{name}: shed"));
    }
    fn indeterminate(&mut self, name: &mut &'static str, _: &Allocation) {
        self.0.push(format!("{name}: indeterminate"));
    }
    fn migrate(&mut self, name: &mut &'static str, _: &Allocation) {
        self.0.push(format!("{name}: migrate"));
    }
    fn check_health(&mut self, _: MachineId) {}
    fn watch_endpoints(&mut self) {
        self.0.push("watch".into());
    }
    fn set_timer(&mut self, after: Ticks) {
        assert!(after > 0, "a timer of 0 would spin");
        self.0.push("timer".into());
    }
}

impl RecordedEffects {
    fn take(&mut self) -> String {
        std::mem::take(&mut self.0).join("; ")
    }
}

fn engine(retry_safety: RetrySafety, machines: u32, max_tracked: usize) -> Engine<&'static str> {
    engine_with_batch(
        retry_safety,
        machines,
        max_tracked,
        RetryBatch {
            max_size: 2,
            interval: 20,
        },
    )
}

/// Evaluates the next queued allocation. Returns false where none is queued.
fn evaluate_next(
    engine: &mut Engine<&'static str>,
    now: Ticks,
    effects: &mut RecordedEffects,
) -> bool {
    engine
        .next_queued()
        .map(|id| engine.evaluate(now, id, effects))
        .is_some()
}

fn engine_with_batch(
    retry_safety: RetrySafety,
    machines: u32,
    max_tracked: usize,
    batch: RetryBatch,
) -> Engine<&'static str> {
    let size = Resources {
        cores: 40.0,
        memory: 100.0,
    };
    let service_class = ServiceClass {
        retry_safety,
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
        service_classes: vec![service_class],
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
            max_attempts: 5.0,
        },
        connect_timeout: 0,
        cross_zone_cost: 0.0,
        caller_detects_losses: true,
    };
    let mut engine = Engine::new(cluster, 1, 0, max_tracked, batch);
    engine.apply_endpoint_list(
        ListUpdate::Cached,
        &(0..machines).map(entry).collect::<Vec<_>>(),
    );
    engine
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

fn request(deadline: Ticks) -> AllocationRequest {
    let resources = Resources {
        cores: 1.0,
        memory: 1.0,
    };
    AllocationRequest {
        service: service_id("s"),
        service_class: ServiceClassId(0),
        tenant: TenantId(0),
        requested: resources,
        deadline,
    }
}

fn reject(
    engine: &mut Engine<&'static str>,
    now: Ticks,
    id: AllocationId,
    attempt: usize,
    effects: &mut RecordedEffects,
) {
    engine.attempt_returned(
        now,
        id,
        attempt,
        ReturnedAttempt {
            result: AttemptResult::Rejected,
            reason: Some(ReturnReason::NoCores),
            finished: false,
            report: None,
        },
        effects,
    );
}

#[test]
fn a_duplicate_name_is_not_admitted_and_the_data_is_given_back() {
    let mut engine = engine(RetrySafety::Idempotent, 1, 10);
    engine
        .admit(0, "a", request(SECOND), "first")
        .expect("room");
    let again = engine.admit(0, "a", request(SECOND), "second");
    assert_eq!(again.err(), Some((AdmissionError::DuplicateName, "second")));
}

#[test]
fn past_the_limit_none_is_admitted_until_one_is_over() {
    let mut engine = engine(RetrySafety::Idempotent, 0, 1);
    let id = engine.admit(0, "a", request(SECOND), "a").expect("room");
    assert_eq!(
        engine.admit(0, "b", request(SECOND), "b").err(),
        Some((AdmissionError::Full, "b"))
    );
    engine.finish(id);
    assert!(engine.admit(0, "b", request(SECOND), "b").is_ok());
}

#[test]
fn an_allocation_that_no_machine_takes_waits_and_is_shed_before_its_deadline() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::Idempotent, 0, 10),
        RecordedEffects::default(),
    );
    let id = engine.admit(0, "a", request(SECOND), "a").expect("room");
    engine.place(0, id, &mut effects);
    assert_eq!(engine.counts().deferred, 1);
    let mut now = 0;
    while !effects.0.iter().any(|effect| effect == "a: shed") {
        now += 10;
        assert!(now < SECOND, "no answer in time");
        engine.timer_fired(now);
        engine.poll(now, &mut effects);
    }
    assert_eq!(engine.counts(), Default::default());
}

#[test]
fn deferred_allocations_are_retried_in_batches_and_all_of_them() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::Idempotent, 0, 10),
        RecordedEffects::default(),
    );
    for name in ["a", "b", "c", "d", "e"] {
        let id = engine
            .admit(0, name, request(10 * SECOND), name)
            .expect("room");
        engine.place(0, id, &mut effects);
    }
    assert_eq!(
        (effects.take(), engine.counts().deferred),
        (String::new(), 5)
    );
    engine.apply_endpoint_list(ListUpdate::Complete, &[entry(7)]);
    let mut batches = Vec::new();
    for now in 1..2 * SECOND {
        engine.timer_fired(now);
        engine.poll(now, &mut effects);
        let sent = effects.take().matches("to 7").count();
        if sent > 0 {
            batches.push((now, sent));
        }
    }
    assert_eq!(
        batches.iter().map(|(_, sent)| sent).collect::<Vec<_>>(),
        [&2, &2, &1]
    );
    assert!(
        batches.windows(2).all(|pair| pair[1].0 >= pair[0].0 + 20),
        "batches too close together: {batches:?}"
    );
}

#[test]
fn after_a_swap_of_names_each_is_found_by_the_others_name() {
    let mut engine = engine(RetrySafety::Idempotent, 1, 10);
    let old = engine
        .admit(0, "task", request(SECOND), "old")
        .expect("room");
    let new = engine
        .admit(0, "beside", request(SECOND), "new")
        .expect("room");
    engine.swap_names(old, new);
    assert_eq!(
        (engine.find("task"), engine.find("beside")),
        (Some(new), Some(old))
    );
    engine.finish(old);
    assert_eq!(
        (engine.find("task"), engine.find("beside")),
        (Some(new), None)
    );
}

#[test]
fn the_name_of_a_cancelled_allocation_is_kept_while_its_attempt_is_pending() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::NotRetryable, 1, 10),
        RecordedEffects::default(),
    );
    let id = engine.admit(0, "a", request(SECOND), "a").expect("room");
    engine.place(0, id, &mut effects);
    engine.finish(id);
    assert_eq!(
        engine.admit(1, "a", request(SECOND), "again").err(),
        Some((AdmissionError::DuplicateName, "again"))
    );
    reject(&mut engine, 2, id, 0, &mut effects);
    assert_eq!(
        effects.take(),
        "a: attempt 0 to 0",
        "nothing is sent after the end"
    );
    assert!(engine.admit(3, "a", request(SECOND), "again").is_ok());
}

#[test]
fn an_answer_after_the_end_is_ignored() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::Idempotent, 1, 10),
        RecordedEffects::default(),
    );
    let id = engine.admit(0, "a", request(SECOND), "a").expect("room");
    engine.place(0, id, &mut effects);
    engine.finish(id);
    assert!(!engine.attempt_placed(5, id, 0, &mut effects));
}

#[test]
fn only_the_first_placed_answer_counts() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::Idempotent, 1, 10),
        RecordedEffects::default(),
    );
    let id = engine.admit(0, "a", request(SECOND), "a").expect("room");
    engine.place(0, id, &mut effects);
    assert!(engine.attempt_placed(5, id, 0, &mut effects));
    assert!(!engine.attempt_placed(6, id, 0, &mut effects));
}

#[test]
fn an_unknown_attempt_is_reported() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::Idempotent, 1, 10),
        RecordedEffects::default(),
    );
    let id = engine.admit(0, "a", request(SECOND), "a").expect("room");
    assert!(!engine.attempt_returned(
        1,
        id,
        7,
        ReturnedAttempt {
            result: AttemptResult::Completed,
            reason: None,
            finished: true,
            report: None
        },
        &mut effects
    ));
}

#[test]
fn at_a_stop_deferred_allocations_are_answered_at_once_and_others_after_their_attempt() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::NotRetryable, 1, 10),
        RecordedEffects::default(),
    );
    let pending = engine
        .admit(0, "pending", request(9 * SECOND), "pending")
        .expect("room");
    engine.place(0, pending, &mut effects);
    engine.apply_endpoint_list(ListUpdate::Complete, &[]);
    let deferred = engine
        .admit(0, "deferred", request(9 * SECOND), "deferred")
        .expect("room");
    engine.place(0, deferred, &mut effects);
    effects.take();
    engine.stop(10, &mut effects);
    assert_eq!(effects.take(), "deferred: shed");
    assert_eq!(engine.unanswered(), [(pending, 0)]);
    engine.attempt_returned(
        20,
        pending,
        0,
        ReturnedAttempt {
            result: AttemptResult::TimedOut,
            reason: None,
            finished: false,
            report: None,
        },
        &mut effects,
    );
    assert_eq!(
        effects.take(),
        "pending: indeterminate",
        "the attempt may have been executed"
    );
    assert_eq!(engine.counts().total, 0);
}

#[test]
fn an_adopted_allocation_is_owed_no_answer_and_ends_with_its_attempt() {
    let (mut engine, mut effects) = (
        engine(RetrySafety::NotRetryable, 1, 10),
        RecordedEffects::default(),
    );
    let id = engine
        .admit_running(0, "a", request(0), MachineId(0), "a")
        .expect("room");
    engine.poll(100, &mut effects);
    assert!(engine.unanswered().is_empty());
    engine.attempt_returned(
        200,
        id,
        0,
        ReturnedAttempt {
            result: AttemptResult::Reset,
            reason: Some(ReturnReason::Evicted),
            finished: true,
            report: None,
        },
        &mut effects,
    );
    assert!(
        !effects.take().contains("a:"),
        "no answer and no further attempt"
    );
    assert_eq!(engine.counts().total, 0);
}

#[test]
fn a_service_has_the_same_id_everywhere() {
    assert_eq!(service_id("quotes"), service_id("quotes"));
    assert_ne!(service_id("quotes"), service_id("quote"));
}

/// Returns an engine with queued allocations, all with the same deadline.
fn engine_on_demand(machines: u32, allocations: usize) -> (Engine<&'static str>, RecordedEffects) {
    let mut engine = engine_with_batch(
        RetrySafety::Idempotent,
        machines,
        10_000,
        RetryBatch::ON_DEMAND,
    );
    let mut effects = RecordedEffects::default();
    for number in 0..allocations {
        let id = engine
            .admit(0, &number.to_string(), request(SECOND), "a")
            .expect("room");
        engine.place(0, id, &mut effects);
    }
    (engine, effects)
}

#[test]
fn on_demand_evaluations_wait_until_the_caller_has_time() {
    let (mut engine, mut effects) = engine_on_demand(1, 3);
    engine.poll(1, &mut effects);
    assert!(
        !effects.take().contains("attempt"),
        "none before the caller evaluates them"
    );
    for more in [true, true, true, false] {
        assert_eq!(evaluate_next(&mut engine, 2, &mut effects), more);
        assert_eq!(
            effects.take().matches("attempt").count(),
            usize::from(more),
            "one for each call"
        );
    }
}

#[test]
fn a_caller_without_time_still_answers_all_at_their_deadline() {
    let (mut engine, mut effects) = engine_on_demand(1, 500);
    engine.poll(SECOND - 1, &mut effects);
    assert!(!effects.take().contains("shed"), "not before the deadline");
    engine.timer_fired(SECOND);
    engine.poll(SECOND, &mut effects);
    assert_eq!(effects.take().matches("a: shed").count(), 500);
    while evaluate_next(&mut engine, SECOND, &mut effects) {}
    assert_eq!(
        (effects.take(), engine.counts()),
        (String::new(), Default::default()),
        "each is answered once"
    );
}

#[test]
fn deferred_and_new_allocations_are_evaluated_in_turns() {
    let (mut engine, mut effects) = engine_on_demand(0, 100);
    while evaluate_next(&mut engine, 1, &mut effects) {}
    engine.poll(SECOND / 20 + 1, &mut effects);
    engine.apply_endpoint_list(ListUpdate::Complete, &[entry(7)]);
    for number in 0..100 {
        let id = engine
            .admit(600, &format!("new {number}"), request(SECOND), "new")
            .expect("room");
        engine.place(600, id, &mut effects);
    }
    effects.take();
    (0..20).for_each(|_| assert!(evaluate_next(&mut engine, 600, &mut effects)));
    let recorded = effects.take();
    assert_eq!(
        (
            recorded.matches("a: attempt").count(),
            recorded.matches("new: attempt").count()
        ),
        (10, 10),
        "{recorded}"
    );
}

#[test]
fn allocations_cancelled_before_their_evaluation_do_not_accumulate() {
    let (mut engine, mut effects) = engine_on_demand(1, 0);
    for number in 0..10_000 {
        let id = engine
            .admit(0, &number.to_string(), request(SECOND), "a")
            .expect("room");
        engine.place(0, id, &mut effects);
        engine.finish(id);
    }
    assert!(engine.state_size() < 200, "{} kept", engine.state_size());
}

/// Simulates the loss of a zone: all allocations are deferred, until there is capacity for all at
/// once. Until then evaluations must follow updates of the view, not the passage of time.
#[test]
fn a_thousand_deferred_allocations_are_left_alone_until_there_is_capacity() {
    let mut engine = engine_with_batch(RetrySafety::Idempotent, 100, 10_000, RetryBatch::ON_DEMAND);
    let report = |engine: &mut Engine<&'static str>, now, cores| {
        let report = Some(LoadReport {
            available: Resources {
                cores,
                memory: 2.0 * cores,
            },
        });
        (0..100).for_each(|id| {
            engine.record_health_check(now, MachineId(id), AttemptResult::Completed, report)
        });
    };
    report(&mut engine, 0, 0.0);
    let mut effects = RecordedEffects::default();
    for number in 0..1_000 {
        let resources = Resources {
            cores: 0.5 + f64::from(number % 7) / 10.0,
            memory: 1.0,
        };
        let service = service_id(&(number % 50).to_string());
        let id = engine.admit(
            0,
            &number.to_string(),
            AllocationRequest {
                service,
                requested: resources,
                ..request(SECOND * 60)
            },
            "a",
        );
        engine.place(0, id.expect("room"), &mut effects);
    }
    let evaluate_queued =
        |engine: &mut Engine<&'static str>, now, effects: &mut RecordedEffects| {
            engine.timer_fired(now);
            engine.poll(now, effects);
            std::iter::from_fn(|| evaluate_next(engine, now, effects).then_some(())).count()
        };
    let evaluations: usize = (1..=100)
        .map(|step| evaluate_queued(&mut engine, step * SECOND / 100, &mut effects))
        .sum();
    assert!(
        (2_000..=6_000).contains(&evaluations),
        "a thousand at first and with each view in a second: {evaluations}"
    );
    assert!(!effects.take().contains("attempt"));
    report(&mut engine, SECOND, 30.0);
    let sent = evaluate_queued(&mut engine, SECOND + SECOND / 20, &mut effects);
    assert_eq!(
        (sent, effects.take().matches("attempt").count()),
        (1_000, 1_000)
    );
}

/// Guards against a source with many allocations that delays the first of another.
#[test]
fn sources_are_evaluated_in_turn() {
    let mut engine = engine_with_batch(RetrySafety::Idempotent, 100, 10_000, RetryBatch::ON_DEMAND);
    let mut effects = RecordedEffects::default();
    let mut admit = |engine: &mut Engine<&'static str>, name: &str, source| {
        let id = engine
            .admit(0, name, request(SECOND * 60), "a")
            .expect("room");
        engine.set_source(id, source);
        engine.place(0, id, &mut effects);
        id
    };
    let of_flood: Vec<AllocationId> = (0..5_000)
        .map(|number| admit(&mut engine, &number.to_string(), 1))
        .collect();
    let other = admit(&mut engine, "other", 2);
    let order: Vec<AllocationId> = std::iter::from_fn(|| engine.next_queued()).collect();
    assert_eq!(order[..3], [of_flood[0], other, of_flood[1]]);
    assert_eq!(
        order[2..],
        of_flood[1..],
        "those of one source keep their order"
    );
}
