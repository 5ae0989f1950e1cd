//! Handles the set-ups and releases of clients.

use super::client_connections::MessageValidity;
use super::hand_overs::HandOver;
use super::pending_task::{PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::{AllocationRequest, ReturnedAttempt, service_id};
use corkspan_platform_wire::InvalidField;
use corkspan_platform_wire::client::{self, Message, SetUp};
use tracing::debug;

/// The maximum length of a task's or service's name, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The reason why a set-up is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error(transparent)]
    Field(#[from] InvalidField),
    #[error("a deadline of {0} ms is not between 1 and {MAX_DEADLINE_MS} ms")]
    Deadline(u64),
    #[error("a name is longer than {MAX_NAME_BYTES} bytes")]
    LongName,
    #[error("unknown class `{0:.40}`")]
    UnknownClass(String),
    #[error("the class requires an idempotency key")]
    MissingKey,
    #[error("{cores} cores and {memory} of memory fit on no machine")]
    TooLarge { cores: f64, memory: f64 },
    #[error("unknown tenant")]
    UnknownTenant,
}

impl PlatformState {
    /// Handles a client's set-up that counts as sent at the given time, and sends the answer if it is
    /// invalid or rejected.
    pub(super) fn handle_set_up(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        message: &Message,
        sent_at: Ticks,
    ) -> MessageValidity {
        let task = message.task;
        let exists = engine.find(&task_key(task)).is_some();
        let client = self.clients.get(&from);
        let is_open_here = client.is_some_and(|client| client.open_set_ups.contains(&task));
        let parsed = SetUp::try_from(message).map_err(RequestError::from);
        let (set_up, request) = match parsed.and_then(|set_up| {
            let request = self.to_request(sent_at, &set_up)?;
            Ok((set_up, request))
        }) {
            Ok(parsed) => parsed,
            // The answer could not be distinguished from the answer to the open set-up with this
            // id.
            Err(_) if is_open_here => return MessageValidity::Violation,
            Err(error) => {
                debug!(%error, "rejecting an invalid set-up");
                return self.reject_set_up(from, task, client::CAUSE_FAILED, exists);
            }
        };
        if exists && set_up.running_on.is_some() {
            debug!(
                task = task_key(task),
                ?from,
                node_name = set_up.running_on,
                "ignoring the hand-over of a known task"
            );
            return MessageValidity::Valid;
        }
        if is_open_here {
            return MessageValidity::Violation;
        }
        if exists {
            return self.reject_set_up(from, task, client::CAUSE_FAILED, exists);
        }
        if set_up.running_on.is_some() {
            let hand_over = HandOver::new(from, set_up, request, now, sent_at);
            self.take_over_running_task(now, engine, hand_over);
            return MessageValidity::Valid;
        }
        self.accept_new_task(now, engine, from, set_up, request)
    }

    /// Rejects a set-up. `exists` is true if another connection has a task with its id.
    fn reject_set_up(
        &mut self,
        from: ClientId,
        task: u64,
        cause: u8,
        exists: bool,
    ) -> MessageValidity {
        self.send_release(from, task, cause);
        let Some(client) = self.clients.get_mut(&from).filter(|_| exists) else {
            return MessageValidity::Unusable;
        };
        if client.rejected_duplicates.len() >= MAX_SET_UPS_PER_CONNECTION {
            return MessageValidity::Violation;
        }
        client.rejected_duplicates.insert(task);
        MessageValidity::Unusable
    }

    /// Admits a new task, unless its id may have run or its connection has too many open set-ups.
    fn accept_new_task(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        set_up: SetUp,
        request: AllocationRequest,
    ) -> MessageValidity {
        let task = set_up.task;
        if self.spent_ids.contains(task) {
            debug!(
                task = task_key(task),
                "rejecting a set-up whose id may have run"
            );
            self.send_release(from, task, client::CAUSE_FAILED);
            return MessageValidity::Unusable;
        }
        let client = self.clients.get(&from);
        let open = client.map_or(0, |client| client.open_set_ups.len());
        if open >= MAX_SET_UPS_PER_CONNECTION || self.stopping {
            debug!(
                task = task_key(task),
                ?from,
                open,
                stopping = self.stopping,
                "rejecting a set-up: too many are open, or the process stops"
            );
            self.send_release(from, task, client::CAUSE_REJECTED);
            return MessageValidity::Unusable;
        }
        self.admit_new_task(now, engine, from, set_up, request)
    }

    /// Admits a new task and requests its placement.
    fn admit_new_task(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        set_up: SetUp,
        request: AllocationRequest,
    ) -> MessageValidity {
        let task = set_up.task;
        let counted_bytes = self.client_memory.set_up_bytes(&set_up);
        let mut pending = PendingTask::new(from, set_up, request.deadline + TRANSIT_ALLOWANCE);
        pending.counted_bytes = counted_bytes;
        if !self.has_room(from, counted_bytes) {
            debug!(
                task = task_key(task),
                ?from,
                "rejecting a set-up: its client holds too much"
            );
            self.send_release(from, task, client::CAUSE_REJECTED);
            return MessageValidity::Unusable;
        }
        let Ok(id) = engine.admit(now, &task_key(task), request, pending) else {
            debug!(
                task = task_key(task),
                ?from,
                "rejecting a set-up: too many are open in all"
            );
            self.send_release(from, task, client::CAUSE_REJECTED);
            return MessageValidity::Unusable;
        };
        engine.set_source(id, from.0);
        self.unanswered.insert(id);
        self.clients.get_mut(&from).into_iter().for_each(|client| {
            client.open_set_ups.insert(task);
            client.open_bytes += counted_bytes;
        });
        engine.place(now, id, self);
        MessageValidity::Valid
    }

    /// Converts a set-up that was sent at the given time to a request to the engine, or returns why it
    /// is invalid.
    pub(super) fn to_request(
        &self,
        sent_at: Ticks,
        set_up: &SetUp,
    ) -> Result<AllocationRequest, RequestError> {
        let settings = &self.settings;
        let class = settings
            .classes
            .iter()
            .position(|known| known.name == set_up.class);
        let tenant = match &set_up.tenant {
            None => Some(0),
            Some(name) => settings
                .tenants
                .iter()
                .position(|known| known.name == *name),
        };
        let remaining_ms = time_left_ms(set_up)?;
        if [&set_up.name, &set_up.service]
            .iter()
            .any(|text| text.len() > MAX_NAME_BYTES)
        {
            return Err(RequestError::LongName);
        }
        let class = class.ok_or_else(|| RequestError::UnknownClass(set_up.class.clone()))?;
        if settings.needs_idempotency_key(class)
            && set_up.idempotency_key.is_none()
            && set_up.running_on.is_none()
        {
            return Err(RequestError::MissingKey);
        }
        let requested = Resources {
            cores: set_up.cores,
            memory: set_up.memory,
        };
        // A request that no machine accepts would only distort the statistics of requests.
        if !settings
            .largest_acceptable()
            .is_some_and(|largest| requested.fits_in(largest))
        {
            return Err(RequestError::TooLarge {
                cores: requested.cores,
                memory: requested.memory,
            });
        }
        let remaining = remaining_ms * TICKS_PER_MS;
        Ok(AllocationRequest {
            service: service_id(&set_up.service),
            service_class: ServiceClassId(class),
            tenant: TenantId(tenant.ok_or(RequestError::UnknownTenant)?),
            requested,
            deadline: sent_at + remaining - TRANSIT_ALLOWANCE.min(remaining / 2),
        })
    }

    /// Handles a client's release, which cancels a set-up or ends its task. A running task may be
    /// released on any connection, an open set-up only on its own. Returns false if there is nothing
    /// that the client may release.
    pub(super) fn handle_release(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        message: &Message,
    ) -> bool {
        let cause = message.cause().unwrap_or(client::CAUSE_NORMAL);
        let Some(id) = engine.find(&task_key(message.task)) else {
            return self.unlisted_tasks.release(message.task, cause);
        };
        let Some((pending, _)) = engine.data_mut(id) else {
            return false;
        };
        match pending.stage {
            TaskStage::Pending if pending.client != from => {
                debug!(
                    task = task_key(message.task),
                    ?from,
                    "ignoring a release of another connection's open set-up"
                );
                return false;
            }
            TaskStage::Pending => self.cancel(now, engine, id),
            TaskStage::Running => {
                debug!(
                    task = task_key(message.task),
                    ?from,
                    "released by its client"
                );
                let cause = u32::from(cause);
                self.record_task_end(pending);
                let active = pending.active;
                self.stop_task(now, id, message.task, active, cause);
                engine.finish(id);
            }
            TaskStage::Ended => {}
        }
        true
    }

    /// Cancels a set-up that its client no longer waits for: no answer is sent, and an active
    /// attempt is withdrawn.
    pub(super) fn cancel(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
    ) {
        let Some((pending, allocation)) = engine.data_mut(id) else {
            return;
        };
        debug!(task = task_key(pending.task), active = ?pending.active, "given up");
        if may_have_run(pending, allocation) {
            self.remember_spent_id(pending);
        }
        self.record_final_answer(pending, id, TaskStage::Ended);
        let Some(active) = pending.active.take() else {
            return engine.finish(id);
        };
        let task = pending.task;
        self.withdraw(id, active, task);
        engine.attempt_returned(
            now,
            id,
            active.number,
            ReturnedAttempt {
                result: AttemptResult::Cancelled,
                reason: None,
                finished: true,
                report: None,
            },
            self,
        );
    }
}

/// Returns whether a node may have run the task of an open set-up.
fn may_have_run(pending: &PendingTask, allocation: &Allocation) -> bool {
    let mut attempts = allocation.attempts.iter();
    pending.active.is_some_and(|active| active.started)
        || attempts.any(|attempt| attempt.state == AttemptState::PossiblyExecuted)
}

/// Returns the time for which the client waits, in milliseconds. A task that is already running has
/// no deadline, so its time left is ignored.
fn time_left_ms(set_up: &SetUp) -> Result<u64, RequestError> {
    match set_up.time_left_ms {
        _ if set_up.running_on.is_some() => Ok(MAX_DEADLINE_MS),
        left_ms @ 1..=MAX_DEADLINE_MS => Ok(left_ms),
        left_ms => Err(RequestError::Deadline(left_ms)),
    }
}
