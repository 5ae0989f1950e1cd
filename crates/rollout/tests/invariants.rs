//! Properties that hold for any order of events.

#[path = "controller/support.rs"]
mod support;

use corkspan_rollout::controller::{ClaimRequest, ReportedSlot, RolloutController, Votes};
use corkspan_rollout::{ClaimId, ClaimOutcome, Grant, Order, Phase, QuorumMember, Rollout};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::*;

#[derive(Clone, Debug)]
enum Event {
    Assigned(u8, bool),
    Ready(u8),
    Unready(u8),
    Removed(u8),
    Lost(u8),
    Reconcile,
    ClaimDecided(bool),
    Pause,
    Resume,
    RollBack,
    TimePasses(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6u8, any::<bool>()).prop_map(|(replica, new)| Event::Assigned(replica, new)),
        (0..6u8).prop_map(Event::Ready),
        (0..6u8).prop_map(Event::Unready),
        (0..6u8).prop_map(Event::Removed),
        (0..6u8).prop_map(Event::Lost),
        Just(Event::Reconcile),
        Just(Event::Reconcile),
        any::<bool>().prop_map(Event::ClaimDecided),
        Just(Event::Pause),
        Just(Event::Resume),
        Just(Event::RollBack),
        (0..40_000u16).prop_map(Event::TimePasses),
    ]
}

proptest! {
    /// Two dispatchers with skewed clocks share the quorum members. In any order and with any
    /// delay, the limit on replicas that are down or surging is never exceeded, and all replicas
    /// are replaced in the end.
    #[test]
    fn skewed_clocks_never_exceed_the_limit(
        skew in 0u64..100_000,
        start_first in any::<bool>(),
        rounds in prop::collection::vec((0usize..2, 0u64..3_000), 200..400),
    ) {
        let order = if start_first { Order::StartFirst } else { Order::StopFirst };
        let proposed = Rollout { order, max_failures: 1_000, ..rollout(1, "v2") };
        let mut members = vec![QuorumMember::default(); 3];
        members.iter_mut().for_each(|member| drop(member.propose(proposed.clone()).cloned()));
        let mut controllers: Vec<RolloutController> = (0..2).map(|dispatcher| {
            let now = dispatcher as u64 * skew;
            let mut controller = RolloutController::new(dispatcher, u64::from(dispatcher) + 1, proposed.clone(), now);
            for number in 0..3 {
                let task = format!("d{dispatcher}c{number}");
                controller.replica_assigned(now, &task, "v1", false);
                controller.replica_ready(now, &task);
            }
            controller
        }).collect();
        // Replicas that are being started, with the true time at which they become ready.
        let mut starting: BTreeMap<String, u64> = BTreeMap::new();
        let (mut time, mut highest) = (0, 0);
        // After the drawn rounds, the dispatchers alternate until all is done.
        let rest = (0..600).map(|round| (round % 2, 1_000));
        for (index, pause) in rounds.into_iter().chain(rest) {
            time += pause;
            let now = time + index as u64 * skew;
            let ready: Vec<String> = starting.iter()
                .filter(|(task, at)| task.starts_with(&format!("d{index}")) && **at <= time)
                .map(|(task, _)| task.clone()).collect();
            for task in ready {
                if controllers[index].is_surging(&task) {
                    controllers[index].surge_readiness(now, &task, true);
                } else {
                    controllers[index].replica_ready(now, &task);
                }
            }
            let mut slots: Vec<ReportedSlot> = Vec::new();
            let entries = members.iter().flat_map(|member| member.entries());
            for (slot, grant) in entries.flat_map(|entry| &entry.slots) {
                match slots.iter_mut().find(|known| known.slot == *slot && known.grant == *grant) {
                    Some(known) => known.members += 1,
                    None => slots.push(reported(*slot, grant.clone(), 1)),
                }
            }
            let actions = controllers[index].reconcile(now, &slots);
            prop_assert!(actions.halt.is_none() && actions.cancel_surge.is_empty());
            let mut release = actions.release;
            for task in actions.stop_old {
                starting.remove(&task);
                release.extend(controllers[index].surge_took_over(&task));
            }
            for ClaimRequest { claim, slot, task } in actions.claims {
                let granted = members.iter_mut().filter_map(|member| {
                    let grant = Grant { claim, task: task.clone(), dispatcher: index as u32 };
                    (member.claim("s", 1, slot, grant) == ClaimOutcome::Granted).then_some(())
                }).count();
                if !controllers[index].claim_decided(now, claim, Votes { granted, members: 3 }) {
                    release.push(claim);
                }
            }
            let mut started = actions.replace;
            started.extend(actions.surge);
            started.extend(controllers[index].start_surges(now));
            started.extend(controllers[index].start_replacements(now));
            for task in started {
                if !controllers[index].is_surging(&task) {
                    controllers[index].replica_assigned(now, &task, "v2", false);
                }
                starting.insert(task, time + 5_000);
            }
            for claim in release {
                members.iter_mut().for_each(|member| member.release("s", claim));
                if !start_first {
                    let held: Vec<String> = controllers.iter().flat_map(|controller| {
                        starting.keys().filter(|task| controller.claim_of(task).is_some()).cloned().collect::<Vec<_>>()
                    }).collect();
                    starting.retain(|task, _| held.contains(task));
                }
            }
            highest = highest.max(starting.len());
            prop_assert!(highest <= 2, "{highest} at a time, the limit is 2");
        }
        let remaining: Vec<_> = controllers.iter().map(RolloutController::counts).collect();
        prop_assert_eq!(remaining, vec![counts(3, 3, 0), counts(3, 3, 0)], "not all replicas were replaced");
        prop_assert!(highest >= 1);
    }

    /// A replica is stopped only under a claim that was won and not released. Each replica has one
    /// claim, and never more than the limit are stopped at a time, whatever events occur meanwhile.
    #[test]
    fn no_order_of_events_stops_a_replica_without_a_slot(events in prop::collection::vec(event(), 0..120)) {
        let mut controller = controller(4);
        let mut now = 0;
        let mut pending: Vec<(ClaimId, String)> = Vec::new();
        let mut held: BTreeMap<ClaimId, String> = BTreeMap::new();
        let mut current = rollout(1, "v2");
        for event in events {
            let name = |replica: u8| format!("c{replica}");
            let mut stopped = Vec::new();
            match event {
                Event::Assigned(replica, new) => {
                    let version = if new { "v2" } else { "v1" };
                    controller.replica_assigned(now, &name(replica), version, new);
                }
                Event::Ready(replica) => controller.replica_ready(now, &name(replica)),
                Event::Unready(replica) => drop(controller.replica_unready(now, &name(replica))),
                Event::Removed(replica) => {
                    for claim in controller.replica_removed(&name(replica)) {
                        held.remove(&claim);
                    }
                }
                Event::Lost(replica) => controller.replica_lost(now, &name(replica)),
                Event::Reconcile => {
                    let view: Vec<_> = held.iter().enumerate()
                        .map(|(slot, (claim, task))| reported(slot as u32, grant(*claim, task), 2)).collect();
                    let actions = controller.reconcile(now, &view);
                    for claim in &actions.release {
                        held.remove(claim);
                    }
                    stopped = actions.replace;
                    let requests = actions.claims.into_iter();
                    pending.extend(requests.map(|request| (request.claim, request.task)));
                    prop_assert!(actions.wait <= 5_000);
                }
                Event::ClaimDecided(won) => {
                    let Some((claim, task)) = pending.pop() else { continue };
                    if controller.claim_decided(now, claim, if won { WON } else { LOST }) {
                        prop_assert!(won, "a lost claim was accepted");
                        held.insert(claim, task);
                        stopped = controller.start_replacements(now);
                    }
                }
                Event::Pause => {
                    current = current.with_phase(Phase::Paused, 1);
                    controller.adopt(current.clone());
                }
                Event::Resume => {
                    current = current.with_phase(Phase::Rolling, 1);
                    controller.adopt(current.clone());
                }
                Event::RollBack => {
                    current = current.rolled_back(1);
                    controller.adopt(current.clone());
                }
                Event::TimePasses(time) => now += u64::from(time),
            }
            for task in stopped {
                prop_assert!(held.values().any(|holder| *holder == task), "{task} is stopped without a slot");
                prop_assert_eq!(&current.phase, &Phase::Rolling);
            }
            prop_assert!(controller.claims().count() <= 2 + 4, "the number of claims is bounded");
        }
    }
}
