//! The status of a dispatcher, and its graceful shutdown.

use super::*;
use corkspan_engine::ReturnedAttempt;

impl DispatcherCore {
    pub fn status(&self) -> v1::StatusResponse {
        let inner = self.lock();
        let (counts, effects) = (inner.engine.counts(), &inner.effects);
        let idle = duration(self.deployment().limits.idle_timeout);
        v1::StatusResponse {
            number: self.deployment().cluster.scheduler_index as u32,
            schedulers: self.deployment().cluster.scheduler_count as u32,
            in_flight: counts.total as u64,
            deferred: counts.deferred as u64,
            attempts_in_flight: counts.attempts_pending as u64,
            running: counts.placed as u64,
            requested: effects.counters.requested,
            placed: effects.counters.placed,
            rejected: effects.counters.rejected,
            failed: effects.counters.failed,
            cancelled: effects.counters.cancelled,
            connections: effects
                .nodes
                .values()
                .filter(|node| node.close_idle(idle))
                .count() as u64,
            machines_serving: effects.serving as u64,
            machines_known: effects.nodes.len() as u64,
            decision_time_us: effects.decision_time.as_micros() as u64,
            stopping: effects.stopping,
            connection_traffic: self.connection_counters.messages(),
        }
    }

    /// Closes connections that have been idle for the idle timeout.
    pub fn close_idle(&self) {
        let nodes: Vec<Arc<NodeConnection>> = self.lock().effects.nodes.values().cloned().collect();
        let idle = duration(self.deployment().limits.idle_timeout);
        for node in nodes {
            node.close_idle(idle);
        }
    }

    /// Admits no new requests from now on, and answers those that wait for capacity.
    pub fn stop(&self) {
        info!("stopping: new requests are rejected");
        self.with(|now, engine, effects| {
            effects.stopping = true;
            engine.stop(now, effects);
        });
    }

    pub fn unanswered_count(&self) -> usize {
        self.lock().engine.unanswered().len()
    }

    /// Ends attempts without an answer as timed out, and hands the running allocations back to
    /// their clients.
    pub fn end_all(&self) {
        self.with(|now, engine, effects| {
            for (id, attempt) in engine.unanswered() {
                warn!(
                    ?id,
                    attempt, "a node did not answer an attempt before the shutdown"
                );
                engine.attempt_returned(
                    now,
                    id,
                    attempt,
                    ReturnedAttempt {
                        result: AttemptResult::TimedOut,
                        reason: None,
                        finished: false,
                        report: None,
                    },
                    effects,
                );
            }
            for (_, client, is_running) in engine.iter_mut() {
                if is_running && client.predecessor.is_none() {
                    client.send_reply(Reply::Ended(v1::Ended {
                        reason: v1::ended::EndReason::HandedBack.into(),
                    }));
                }
                client.replies.close();
            }
        });
    }

    /// Returns whether clients have open calls.
    pub fn has_open_calls(&self) -> bool {
        Arc::strong_count(&self.open_calls) > 1
    }
}
