//! Makes one call to a node for each attempt, and follows it from the offer to its end. What
//! crossed the connection decides what an outcome proves: an offer that was never written can't
//! have run; one that was written may have run, unless the node rejects it.

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

/// Observes the outcomes of attempts, and provides their limits. Implemented by the core, so that
/// the code that calls nodes does not depend on what the outcomes are used for.
pub trait AttemptObserver: Send + Sync + 'static {
    fn tasks(&self) -> &SharedExecutor;
    fn connection_limits(&self) -> &ConnectionLimits;
    /// Returns whether an accepted attempt counts as placed only once it runs.
    fn placed_when_running(&self) -> bool;
    /// Returns whether this dispatcher is below the minimum version.
    fn is_fenced(&self) -> bool;
    /// Handles the minimum version that a node has reported when it rejected an attempt.
    fn minimum_version_reported(&self, minimum: &v1::MinimumVersion);
    fn attempt_placed(self: &Arc<Self>, id: AllocationId, attempt: usize, machine: MachineId);
    /// Handles the end of an attempt. `ended_as` is set if the attempt was placed, so that the
    /// allocation ends with it.
    fn attempt_ended(
        self: &Arc<Self>,
        id: AllocationId,
        attempt: usize,
        ending: AttemptResult,
        reason: Option<ReturnReason>,
        ended_as: Option<v1::ended::EndReason>,
        report: Option<LoadReport>,
    );
    /// Handles the program version that a replica has reported.
    fn version_reported(&self, id: AllocationId, version: String);
    fn readiness_reported(&self, id: AllocationId, ready: bool);
    fn metric_recorded(&self, id: AllocationId, metric: Metric);
    fn health_check_completed(
        &self,
        machine: MachineId,
        ending: AttemptResult,
        report: Option<LoadReport>,
    );
}

/// An offer that is about to be sent.
pub struct AttemptOffer {
    pub id: AllocationId,
    pub number: usize,
    pub machine: MachineId,
    /// The connection to the node; none if the machine has no address.
    pub node: Option<Arc<NodeConnection>>,
    /// Counts the offer among those without an answer; none if the limit is reached.
    pub unanswered_guard: Option<CountGuard>,
    /// Time of the decision.
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
    timeout: Duration,
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
        // The same outcome as when the node itself reports that its queue is full.
        let reason = Some(ReturnReason::QueueFull);
        return result(
            EndedAttempt {
                reason,
                ..EndedAttempt::with_ending(AttemptResult::Rejected)
            },
            None,
        );
    };
    // A fenced dispatcher's offer would be rejected by the node. Without the call, the client is
    // notified in time.
    if core.is_fenced() {
        return result(EndedAttempt::with_ending(AttemptResult::NotSent), None);
    }
    let _call = node.count_call();
    // Whether the offer has been handed to the connection. Before that, it can't have reached the
    // node.
    let written = AtomicBool::new(false);
    let first = async {
        let connect_timeout = core.connection_limits().connect_timeout;
        let connection = match within(
            connect_timeout,
            node.ready(core.tasks(), core.connection_limits()),
        )
        .await
        {
            Some(Ok(connection)) => connection,
            other => {
                debug!(machine = machine.0, why = ?other.map(Result::err), "no connection to a node");
                return OfferOutcome::Ended(EndedAttempt::with_ending(ending_without_connection(
                    decided,
                    connect_timeout,
                )));
            }
        };
        // Slow start and draining are counted from the decision, so an offer must not be sent much
        // later. A process that was paused in between sends nothing.
        if decided.elapsed() > connect_timeout {
            return OfferOutcome::Ended(EndedAttempt::with_ending(AttemptResult::NotSent));
        }
        written.store(true, Ordering::Relaxed);
        match client(&*core, connection).offer(attempt).await {
            Ok(replies) => first_reply(&*core, replies.into_inner()).await,
            Err(why) => OfferOutcome::Ended(EndedAttempt::with_ending(ending_of_status(&why))),
        }
    };
    // The future is on the heap and is dropped with the first reply, so the state that follows an
    // allocation to its end is small.
    let first = within(timeout, Box::pin(first)).await.unwrap_or_else(|| {
        let ending = if written.load(Ordering::Relaxed) {
            AttemptResult::TimedOut
        } else {
            ending_without_connection(decided, timeout)
        };
        OfferOutcome::Ended(EndedAttempt::with_ending(ending))
    });
    drop(unanswered_guard);
    match first {
        OfferOutcome::Ended(ended) => result(ended, None),
        OfferOutcome::Placed(replies) => {
            core.attempt_placed(id, number, machine);
            follow_replies(&core, id, number, replies).await;
        }
    }
}

/// Returns the outcome of an attempt without a connection. If the timeout is noticed long after it
/// passed, this process was too busy to notice a connection, and the outcome does not count against
/// the node: otherwise a dispatcher under a burst would eject all machines.
fn ending_without_connection(decided: Instant, timeout: Duration) -> AttemptResult {
    if decided.elapsed() > timeout + timeout / 2 {
        AttemptResult::NotSent
    } else {
        AttemptResult::ConnectFailed
    }
}

/// Follows an allocation that was running before this dispatcher adopted it.
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
                "the node of an adopted allocation can't be reached"
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
                event: Some(reply),
                load_report: load,
            })) => match reply {
                NodeReply::Accepted(_) if !core.placed_when_running() => {
                    return OfferOutcome::Placed(replies);
                }
                NodeReply::Running(_) => return OfferOutcome::Placed(replies),
                NodeReply::Rejected(rejection) => {
                    if let Some(minimum) = &rejection.minimum_version {
                        core.minimum_version_reported(minimum);
                    }
                    let result = EndedAttempt::with_ending(AttemptResult::Rejected);
                    return OfferOutcome::Ended(EndedAttempt {
                        reason: reason(rejection.reason()),
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
            // The stream ended without a binding reply, so the node may have accepted the offer.
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
    while let Ok(Some(message)) = replies.message().await {
        match message.event {
            Some(NodeReply::Running(started)) => {
                core.version_reported(id, started.version);
                core.metric_recorded(id, Metric::Running);
            }
            Some(NodeReply::Ready(ready)) => core.readiness_reported(id, ready),
            Some(NodeReply::Usage(usage)) => {
                for (metric, value) in [
                    (Metric::Cores as fn(f64) -> Metric, usage.cores),
                    (Metric::Memory, usage.memory),
                ] {
                    if is_valid_amount(value) {
                        core.metric_recorded(id, metric(value));
                    }
                }
            }
            Some(NodeReply::ServiceLevel(level)) if is_valid_amount(level) => {
                core.metric_recorded(id, Metric::ServiceLevel(level))
            }
            Some(NodeReply::MemoryShare(share)) if is_valid_amount(share) => {
                core.metric_recorded(id, Metric::MachineMemory(share))
            }
            Some(NodeReply::Ended(ended_as)) => {
                result = EndedAttempt {
                    report: report(message.load_report),
                    ..result_of_end(ended_as.outcome())
                };
                break;
            }
            Some(NodeReply::Rejected(rejection)) => {
                // The attempt does not run on the node, which is no fault of the node.
                result.reason = reason(rejection.reason()).or(Some(ReturnReason::Unfit));
                break;
            }
            _ => {}
        }
    }
    let EndedAttempt {
        ending,
        reason,
        end_reason,
        report,
    } = result;
    core.attempt_ended(id, number, ending, reason, Some(end_reason), report);
}

/// Requests a node to stop an allocation. The request is sent once, since the allocation may be
/// gone already. Returns none if the node has not answered.
pub async fn send_stop<D: AttemptObserver>(
    core: Arc<D>,
    node: Arc<NodeConnection>,
    stop: v1::StopRequest,
) -> Option<()> {
    let _call = node.count_call();
    let timeout = core.connection_limits().keep_alive_interval;
    let reply = within(timeout, async {
        let connection = node
            .ready(core.tasks(), core.connection_limits())
            .await
            .ok()?;
        client(&*core, connection).stop(stop).await.ok()
    });
    let reply = reply.await.flatten();
    if reply.is_none() {
        debug!(address = %node.address, "a node did not answer a request to stop an allocation");
    }
    reply.map(drop)
}

pub async fn send_health_check<D: AttemptObserver>(
    core: Arc<D>,
    machine: MachineId,
    node: Arc<NodeConnection>,
) {
    let _call = node.count_call();
    let timeout = 4 * core.connection_limits().connect_timeout;
    let reply = within(timeout, async {
        let connection = node
            .ready(core.tasks(), core.connection_limits())
            .await
            .map_err(|_| AttemptResult::ConnectFailed)?;
        client(&*core, connection)
            .probe(v1::HealthCheckRequest {})
            .await
            .map_err(|why| ending_of_status(&why))
    });
    match reply.await {
        Some(Ok(reply)) => core.health_check_completed(
            machine,
            AttemptResult::Completed,
            report(reply.into_inner().load_report),
        ),
        Some(Err(ending)) => core.health_check_completed(machine, ending, None),
        None => core.health_check_completed(machine, AttemptResult::TimedOut, None),
    }
}

fn client<D: AttemptObserver>(core: &D, connection: Connection) -> NodeClient<Connection> {
    NodeClient::new(connection)
        .max_decoding_message_size(core.connection_limits().max_message_bytes)
}
