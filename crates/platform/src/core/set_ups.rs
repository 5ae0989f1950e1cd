//! Clients' set-ups and releases.

use super::client_connections::MessageVerdict;
use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::{AllocationRequest, ReturnedAttempt, service_id};
use corkspan_platform_wire::InvalidField;
use corkspan_platform_wire::client::{self, Message, SetUp};
use tracing::debug;

/// The most bytes of a task's or a service's name.
const MAX_NAME_BYTES: usize = 256;

/// Why a set-up can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error(transparent)]
    Field(#[from] InvalidField),
    #[error("no owner waits for {0} ms")]
    Deadline(u64),
    #[error("a name of over {MAX_NAME_BYTES} bytes")]
    LongName,
    #[error("no class `{0:.40}`")]
    UnknownClass(String),
    #[error("no key, which its class needs")]
    MissingKey,
    #[error("{cores} cores and {memory} of memory fit on no machine")]
    TooLarge { cores: f64, memory: f64 },
    #[error("no such tenant")]
    UnknownTenant,
}

impl PlatformState {
    /// Handles a set-up.
    pub(super) fn handle_set_up(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        message: &Message,
    ) -> MessageVerdict {
        let task = message.task;
        let exists = engine.find(&task_key(task)).is_some();
        let client = self.clients.get(&from);
        let open = client.map_or(0, |client| client.open_set_ups.len());
        let is_open_here = client.is_some_and(|client| client.open_set_ups.contains(&task));
        let read = SetUp::try_from(message).map_err(RequestError::from);
        let (mut set_up, request) = match read.and_then(|set_up| {
            let request = self.to_request(now, &set_up)?;
            Ok((set_up, request))
        }) {
            Ok(read) => read,
            // The answer could not be distinguished from that of the open set-up under the same id.
            Err(_) if is_open_here => return MessageVerdict::Violation,
            Err(error) => {
                debug!(%error, "a set-up that can't be used");
                self.release(from, task, client::CAUSE_FAILED);
                return MessageVerdict::Unusable;
            }
        };
        if exists && set_up.running_on.is_some() {
            return MessageVerdict::Valid;
        }
        if is_open_here {
            return MessageVerdict::Violation;
        }
        if exists {
            self.release(from, task, client::CAUSE_FAILED);
            return MessageVerdict::Unusable;
        }
        if open >= MAX_SET_UPS_PER_CONNECTION || self.stopping && set_up.running_on.is_none() {
            self.release(from, task, client::CAUSE_REJECTED);
            return MessageVerdict::Unusable;
        }
        match set_up.running_on.take() {
            Some(node) => self.take_running(now, engine, from, set_up, request, &node),
            None => self.take_new(now, engine, from, set_up, request),
        }
    }

    /// Takes over a task that is running already, which another process has set up.
    fn take_running(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        set_up: SetUp,
        request: AllocationRequest,
        at: &str,
    ) -> MessageVerdict {
        let task = set_up.task;
        let ended = |machine| {
            self.early_ends
                .iter()
                .any(|end| (end.task, end.machine) == (task, machine))
        };
        let Some(machine) = self.nodes.find(at).filter(|&machine| !ended(machine)) else {
            // The node is gone, and the task with it; or the node has reported the end already, on
            // a connection that was opened for another task, and does not report it again.
            self.release(from, task, client::CAUSE_INTERRUPTED);
            return MessageVerdict::Valid;
        };
        let mut pending = PendingTask::new(from, set_up, request.deadline + TRANSIT_ALLOWANCE);
        pending.stage = TaskStage::Running;
        pending.description = String::new();
        pending.active = Some(ActiveAttempt {
            number: 0,
            machine,
            connection: None,
            sent_at: now,
            deadline: Ticks::MAX,
            started: true,
        });
        if let Ok(id) = engine.admit_running(now, &task_key(task), request, machine, pending) {
            self.nodes.task_started(machine, id);
            self.clients
                .get_mut(&from)
                .into_iter()
                .for_each(|client| client.running += 1);
            if self.connections.of(machine).is_empty() {
                self.open_connection(machine, Eviction::SpareOnly);
            }
        }
        MessageVerdict::Valid
    }

    /// Takes a new task.
    fn take_new(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        from: ClientId,
        set_up: SetUp,
        request: AllocationRequest,
    ) -> MessageVerdict {
        let task = set_up.task;
        let pending = PendingTask::new(from, set_up, request.deadline + TRANSIT_ALLOWANCE);
        let Ok(id) = engine.admit(now, &task_key(task), request, pending) else {
            self.release(from, task, client::CAUSE_REJECTED);
            return MessageVerdict::Unusable;
        };
        self.unanswered.insert(id);
        self.clients.get_mut(&from).into_iter().for_each(|client| {
            client.open_set_ups.insert(task);
        });
        engine.place(now, id, self);
        MessageVerdict::Valid
    }

    /// The engine's request for a set-up, or what is wrong with it.
    pub(super) fn to_request(
        &self,
        now: Ticks,
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
        let left_ms = time_left_ms(set_up)?;
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
        // More than any machine accepts would only distort the statistics of requests.
        if !settings
            .largest_acceptable()
            .is_some_and(|largest| requested.fits_in(largest))
        {
            return Err(RequestError::TooLarge {
                cores: requested.cores,
                memory: requested.memory,
            });
        }
        let left = left_ms * 10;
        Ok(AllocationRequest {
            service: service_id(&set_up.service),
            service_class: ServiceClassId(class),
            tenant: TenantId(tenant.ok_or(RequestError::UnknownTenant)?),
            requested,
            deadline: now + left - TRANSIT_ALLOWANCE.min(left / 2),
        })
    }

    /// A client cancels a set-up, or ends its task. False where no such task is known.
    pub(super) fn handle_release(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        message: &Message,
    ) -> bool {
        let Some(id) = engine.find(&task_key(message.task)) else {
            return false;
        };
        let Some((pending, _)) = engine.data_mut(id) else {
            return false;
        };
        match pending.stage {
            TaskStage::Pending => self.cancel(now, engine, id),
            TaskStage::Running => {
                let cause = u32::from(message.cause().unwrap_or(client::CAUSE_NORMAL));
                self.end_running(pending);
                let active = pending.active;
                self.stop_task(now, id, message.task, active, cause);
                engine.finish(id);
            }
            TaskStage::Ended => {}
        }
        true
    }

    /// The client waits no longer: no answer is due, and an attempt under way is withdrawn.
    pub(super) fn cancel(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
    ) {
        let Some((pending, _)) = engine.data_mut(id) else {
            return;
        };
        self.settle(pending, id, TaskStage::Ended);
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
                ending: AttemptResult::Cancelled,
                reason: None,
                finished: true,
                report: None,
            },
            self,
        );
    }
}

/// How long the client waits. A task that is running already has no deadline: its time left means
/// nothing.
fn time_left_ms(set_up: &SetUp) -> Result<u64, RequestError> {
    match set_up.time_left_ms {
        _ if set_up.running_on.is_some() => Ok(MAX_DEADLINE_MS),
        left_ms @ 1..=MAX_DEADLINE_MS => Ok(left_ms),
        left_ms => Err(RequestError::Deadline(left_ms)),
    }
}
