//! One call to a node for each attempt, followed from the offer to its end. What crossed the
//! connection decides what an outcome proves: an offer that was never written can't have run; one
//! that was, may have, unless the node rejects it.

use crate::attempt_messages::{
    EndedAttempt, ending_of_status, is_valid_amount, reason, report, result_of_end,
};
use crate::node_links::{CountGuard, NodeConnection};
use corkspan_api::v1::{self, attempt_event::Event as NodeReply, node_client::NodeClient};
use corkspan_rpc::{Connection, ConnectionLimits, SharedExecutor, within};
use corkspan_scheduler::interface::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tonic::Streaming;
use tracing::debug;

/// Observes the outcomes of attempts, and gives their bounds. Implemented by the core, so that
/// calls to nodes know nothing of what their outcomes are used for.
pub trait AttemptObserver: Send + Sync + 'static {
    fn tasks(&self) -> &SharedExecutor;
    fn connection_limits(&self) -> &ConnectionLimits;
    /// An accepted attempt counts as placed only once it runs.
    fn placed_when_running(&self) -> bool;
    /// Whether this dispatcher is below the minimum version.
    fn is_fenced(&self) -> bool;
    /// A node has rejected an attempt and reported its minimum version.
    fn minimum_version_reported(&self, floor: &v1::MinimumVersion);
    fn attempt_placed(self: &Arc<Self>, id: AllocationId, attempt: usize, machine: MachineId);
    /// An attempt has ended. `ended_as` where it was placed and the allocation ends with it.
    fn attempt_ended(
        self: &Arc<Self>,
        id: AllocationId,
        attempt: usize,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        ended_as: Option<v1::ended::EndReason>,
        report: Option<LoadReport>,
    );
    /// A replica has reported which version of its program it runs.
    fn version_reported(&self, id: AllocationId, version: String);
    fn readiness_reported(&self, id: AllocationId, ready: bool);
    fn metric_recorded(&self, id: AllocationId, note: Metric);
    fn health_check_completed(
        &self,
        machine: MachineId,
        ending: AttemptResult,
        report: Option<LoadReport>,
    );
}

/// An offer about to be sent.
pub struct AttemptOffer {
    pub id: AllocationId,
    pub number: usize,
    pub machine: MachineId,
    /// None where the machine has no address.
    pub node: Option<Arc<NodeConnection>>,
    /// Counts the offer among those without an answer; none where the limit is reached.
    pub unanswered_guard: Option<CountGuard>,
    /// When it was decided.
    pub decided: Instant,
}

enum OfferOutcome {
    Placed(Streaming<v1::AttemptEvent>),
    Ended(EndedAttempt),
}

/// Sends an offer and follows the attempt to its end.
pub async fn run_attempt<D: AttemptObserver>(
    core: Arc<D>,
    offer: AttemptOffer,
    attempt: v1::AttemptRequest,
    time_out: Duration,
) {
    let AttemptOffer {
        id,
        number,
        machine,
        node,
        unanswered_guard,
        decided,
    } = offer;
    let result = |result: EndedAttempt, ended_as: Option<v1::ended::EndReason>| {
        core.attempt_ended(
            id,
            number,
            result.ending,
            result.reason,
            ended_as,
            result.report,
        )
    };
    let Some(node) = node else {
        return result(
            EndedAttempt::with_ending(AttemptResult::ConnectFailed),
            None,
        );
    };
    let Some(unanswered_guard) = unanswered_guard else {
        // As the node itself would answer: its queue is full, here already.
        let reason = Some(ReturnReason::QueueFull);
        return result(
            EndedAttempt {
                reason,
                ..EndedAttempt::with_ending(AttemptResult::Rejected)
            },
            None,
        );
    };
    // Fenced by the minimum version: nodes would reject it, and the client is notified in time.
    if core.is_fenced() {
        return result(EndedAttempt::with_ending(AttemptResult::NotSent), None);
    }
    let _call = node.count_call();
    // Until the offer is handed to the link, it can't have reached the node.
    let written = AtomicBool::new(false);
    let first = async {
        let latest = core.connection_limits().connect_timeout;
        let connection =
            match within(latest, node.ready(core.tasks(), core.connection_limits())).await {
                Some(Ok(connection)) => connection,
                other => {
                    debug!(machine = machine.0, why = ?other.map(Result::err), "no link");
                    return OfferOutcome::Ended(EndedAttempt::with_ending(
                        ending_without_connection(decided, latest),
                    ));
                }
            };
        // A later offer is not what was decided: slow start and draining are counted from the
        // decision. So a process that was paused in between sends nothing.
        if decided.elapsed() > latest {
            return OfferOutcome::Ended(EndedAttempt::with_ending(AttemptResult::NotSent));
        }
        written.store(true, Ordering::Relaxed);
        match client(&*core, connection).offer(attempt).await {
            Ok(replies) => first_reply(&*core, replies.into_inner()).await,
            Err(why) => OfferOutcome::Ended(EndedAttempt::with_ending(ending_of_status(&why))),
        }
    };
    // On the heap, and dropped with the first reply: what follows an allocation to its end is
    // small.
    let first = within(time_out, Box::pin(first)).await.unwrap_or_else(|| {
        let ending = if written.load(Ordering::Relaxed) {
            AttemptResult::TimedOut
        } else {
            ending_without_connection(decided, time_out)
        };
        OfferOutcome::Ended(EndedAttempt::with_ending(ending))
    });
    drop(unanswered_guard);
    match first {
        OfferOutcome::Ended(it) => result(it, None),
        OfferOutcome::Placed(replies) => {
            core.attempt_placed(id, number, machine);
            follow_replies(&core, id, number, replies).await;
        }
    }
}

/// The outcome where no connection was made. Where that is noticed long after its time, this
/// process was too busy to notice a connection: then nothing is held against the node, since a
/// dispatcher under a burst would otherwise eject all machines.
fn ending_without_connection(decided: Instant, latest: Duration) -> AttemptResult {
    if decided.elapsed() > latest + latest / 2 {
        AttemptResult::NotSent
    } else {
        AttemptResult::ConnectFailed
    }
}

/// Follows an allocation that ran before this dispatcher had it.
pub async fn follow_existing<D: AttemptObserver>(
    core: Arc<D>,
    id: AllocationId,
    node: Option<Arc<NodeConnection>>,
    machine: MachineId,
    attempt: v1::AttemptRequest,
) {
    let lost = |reason| {
        core.attempt_ended(
            id,
            0,
            AttemptResult::Reset,
            reason,
            Some(v1::ended::EndReason::Lost),
            None,
        )
    };
    let Some(node) = node else { return lost(None) };
    let _call = node.count_call();
    let timeout = core.connection_limits().keep_alive_interval;
    let replies = within(timeout, async {
        let connection = node
            .ready(core.tasks(), core.connection_limits())
            .await
            .ok()?;
        client(&*core, connection)
            .attend(attempt)
            .await
            .ok()
            .map(tonic::Response::into_inner)
    });
    match replies.await.flatten() {
        Some(replies) => follow_replies(&core, id, 0, replies).await,
        None => {
            debug!(
                machine = machine.0,
                "an allocation handed over is out of reach"
            );
            lost(None);
        }
    }
}

async fn first_reply<D: AttemptObserver>(
    core: &D,
    mut replies: Streaming<v1::AttemptEvent>,
) -> OfferOutcome {
    loop {
        match replies.message().await {
            Ok(Some(v1::AttemptEvent {
                event: Some(said),
                load_report: load,
            })) => match said {
                NodeReply::Accepted(_) if !core.placed_when_running() => {
                    return OfferOutcome::Placed(replies);
                }
                NodeReply::Running(_) => return OfferOutcome::Placed(replies),
                NodeReply::Rejected(refusal) => {
                    if let Some(floor) = &refusal.minimum_version {
                        core.minimum_version_reported(floor);
                    }
                    let result = EndedAttempt::with_ending(AttemptResult::Rejected);
                    return OfferOutcome::Ended(EndedAttempt {
                        reason: reason(refusal.reason()),
                        report: report(load),
                        ..result
                    });
                }
                NodeReply::Ended(ended_as) => {
                    return OfferOutcome::Ended(EndedAttempt {
                        report: report(load),
                        ..result_of_end(ended_as.outcome())
                    });
                }
                _ => {}
            },
            Ok(Some(_)) => {}
            // The stream ended without a binding reply: the node may have accepted the offer.
            Ok(None) => {
                return OfferOutcome::Ended(EndedAttempt::with_ending(AttemptResult::Reset));
            }
            Err(why) => {
                return OfferOutcome::Ended(EndedAttempt::with_ending(ending_of_status(&why)));
            }
        }
    }
}

async fn follow_replies<D: AttemptObserver>(
    core: &Arc<D>,
    id: AllocationId,
    number: usize,
    mut replies: Streaming<v1::AttemptEvent>,
) {
    let mut result = EndedAttempt::with_ending(AttemptResult::Reset);
    while let Ok(Some(word)) = replies.message().await {
        match word.event {
            Some(NodeReply::Running(started)) => {
                core.version_reported(id, started.version);
                core.metric_recorded(id, Metric::Running);
            }
            Some(NodeReply::Ready(ready)) => core.readiness_reported(id, ready),
            Some(NodeReply::Usage(used)) => {
                for (note, value) in [
                    (Metric::Cores as fn(f64) -> Metric, used.cores),
                    (Metric::Memory, used.memory),
                ] {
                    if is_valid_amount(value) {
                        core.metric_recorded(id, note(value));
                    }
                }
            }
            Some(NodeReply::ServiceLevel(part)) if is_valid_amount(part) => {
                core.metric_recorded(id, Metric::ServiceLevel(part))
            }
            Some(NodeReply::MemoryShare(share)) if is_valid_amount(share) => {
                core.metric_recorded(id, Metric::MachineMemory(share))
            }
            Some(NodeReply::Ended(ended_as)) => {
                result = EndedAttempt {
                    report: report(word.load_report),
                    ..result_of_end(ended_as.outcome())
                };
                break;
            }
            Some(NodeReply::Rejected(refusal)) => {
                // It doesn't run there: nothing is held against the node.
                result.reason = reason(refusal.reason()).or(Some(ReturnReason::Unfit));
                break;
            }
            _ => {}
        }
    }
    let EndedAttempt {
        ending,
        reason,
        how,
        report,
    } = result;
    core.attempt_ended(id, number, ending, reason, Some(how), report);
}

/// Tells a node to stop an allocation. One try, since it may be gone already. None where the node
/// has not answered.
pub async fn send_stop<D: AttemptObserver>(
    core: Arc<D>,
    node: Arc<NodeConnection>,
    stop: v1::StopRequest,
) -> Option<()> {
    let _call = node.count_call();
    let timeout = core.connection_limits().keep_alive_interval;
    let said = within(timeout, async {
        let connection = node
            .ready(core.tasks(), core.connection_limits())
            .await
            .ok()?;
        client(&*core, connection).stop(stop).await.ok()
    });
    let said = said.await.flatten();
    if said.is_none() {
        debug!(address = %node.address, "a node could not be told to stop an allocation");
    }
    said.map(drop)
}

pub async fn send_health_check<D: AttemptObserver>(
    core: Arc<D>,
    machine: MachineId,
    node: Arc<NodeConnection>,
) {
    let _call = node.count_call();
    let timeout = 4 * core.connection_limits().connect_timeout;
    let word = within(timeout, async {
        let connection = node
            .ready(core.tasks(), core.connection_limits())
            .await
            .map_err(|_| AttemptResult::ConnectFailed)?;
        client(&*core, connection)
            .probe(v1::HealthCheckRequest {})
            .await
            .map_err(|why| ending_of_status(&why))
    });
    match word.await {
        Some(Ok(word)) => core.health_check_completed(
            machine,
            AttemptResult::Completed,
            report(word.into_inner().load_report),
        ),
        Some(Err(ending)) => core.health_check_completed(machine, ending, None),
        None => core.health_check_completed(machine, AttemptResult::TimedOut, None),
    }
}

fn client<D: AttemptObserver>(core: &D, connection: Connection) -> NodeClient<Connection> {
    NodeClient::new(connection)
        .max_decoding_message_size(core.connection_limits().max_message_bytes)
}
