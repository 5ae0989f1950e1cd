//! Handles the requests of clients (place, hand over, cancel), and builds the messages sent to
//! nodes for them.

use super::*;

/// The reason why a request is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("{part}: must be 1 to 256 bytes long, not {bytes}")]
    Length { part: &'static str, bytes: usize },
    #[error("cores and memory must be above 0, not {cores} and {memory}")]
    Resources { cores: f64, memory: f64 },
    #[error("unknown service class `{0}`")]
    ServiceClass(String),
    #[error("unknown tenant `{0}`")]
    Tenant(String),
    #[error("no deadline: neither `deadline_ms` nor a deadline of the call is set")]
    NoDeadline,
    #[error("the deadline is more than {} s away", MAX_DEADLINE / 10_000)]
    DeadlineTooLate,
}

impl DispatcherCore {
    /// Places an allocation for a client. The final answer arrives in the reply stream, at once or
    /// later.
    pub fn place(
        self: &Arc<Self>,
        request: v1::PlacementRequest,
        call_deadline: Option<Duration>,
    ) -> OpenCall {
        let (replies, receiver) =
            async_channel::bounded(self.deployment().limits.max_events_per_client);
        let call = OpenCall {
            replies: receiver,
            id: None,
            open_guard: Arc::clone(&self.open_calls),
        };
        let mut state = self.lock();
        state.effects.counters.requested += 1;
        state.effects.counters.rejected += 1;
        if let Some((reason, message)) = self.admission_rejection(&state) {
            reject(&replies, reason, message);
            return call;
        }
        let now = self.clock.now();
        let (allocation_request, time_left) =
            match self.request_with_deadline(now, &request, call_deadline) {
                Ok(found) => found,
                Err(error) => {
                    let reason = v1::rejected::RejectionReason::BadAsk;
                    reject(&replies, reason, error.to_string());
                    return call;
                }
            };
        let task = request.task.clone();
        let client = ClientAllocation {
            deadline: Some(now + time_left),
            call_deadline: call_deadline.map(|after| now + crate::clock::ticks(after)),
            ..ClientAllocation::new(request, &replies)
        };
        let current_id = client.current_id.clone();
        match state.engine.admit(now, &task, allocation_request, client) {
            Ok(id) => {
                current_id.set(id);
                state.effects.counters.rejected -= 1;
                drop(state);
                self.with(|now, engine, effects| engine.place(now, id, effects));
                OpenCall {
                    id: Some(current_id),
                    ..call
                }
            }
            Err((reason, _)) => {
                reject(&replies, rejection_reason(reason), reason.to_string());
                call
            }
        }
    }

    /// Returns the reason why no request at all can be admitted at this moment, if there is one.
    fn admission_rejection(
        &self,
        state: &CoreState,
    ) -> Option<(v1::rejected::RejectionReason, String)> {
        use v1::rejected::RejectionReason;
        if state.effects.stopping {
            return Some((
                RejectionReason::Stopping,
                "this dispatcher is stopping".into(),
            ));
        }
        if let Some(minimum) = self.fenced_by() {
            let message = format!(
                "this dispatcher is fenced: its version is below the minimum version {}",
                minimum.version
            );
            return Some((RejectionReason::Behind, message));
        }
        let full =
            Arc::strong_count(&self.open_calls) > self.deployment().limits.max_calls as usize;
        full.then(|| {
            (
                RejectionReason::TooMany,
                "the limit of open calls is reached".into(),
            )
        })
    }

    /// Converts a request for the engine, and returns the ticks that its client waits.
    fn request_with_deadline(
        &self,
        now: Ticks,
        request: &v1::PlacementRequest,
        call_deadline: Option<Duration>,
    ) -> Result<(AllocationRequest, Ticks), RequestError> {
        let allocation_request = self.engine_request(now, request)?;
        let deadlines = [
            call_deadline.map(crate::clock::ticks),
            Some(request.deadline_ms.saturating_mul(10)).filter(|&ticks| ticks > 0),
        ];
        let time_left = deadlines.into_iter().flatten().min();
        let time_left = time_left.ok_or(RequestError::NoDeadline)?;
        if time_left > MAX_DEADLINE {
            return Err(RequestError::DeadlineTooLate);
        }
        // The engine gets an earlier deadline, so that the answer arrives in time even if the
        // process is paused for a moment.
        let margin = self.deployment().limits.answer_margin.min(time_left / 2);
        let deadline = now + time_left - margin;
        Ok((
            AllocationRequest {
                deadline,
                ..allocation_request
            },
            time_left,
        ))
    }

    /// Adopts a running allocation that a client hands over.
    pub fn hand_over(self: &Arc<Self>, running: v1::HandOverRequest) -> OpenCall {
        let (replies, receiver) =
            async_channel::bounded(self.deployment().limits.max_events_per_client);
        let open_guard = Arc::clone(&self.open_calls);
        let request = running.request.unwrap_or_default();
        let machine = MachineId(running.node);
        let adopted = self.with(|now, engine, effects| {
            self.adopt_running(now, engine, effects, request, machine, &replies)
        });
        let id = match adopted {
            Ok(id) => Some(id),
            Err((reason, message)) => {
                reject(&replies, reason, message);
                None
            }
        };
        OpenCall {
            replies: receiver,
            id,
            open_guard,
        }
    }

    fn adopt_running(
        self: &Arc<Self>,
        now: Ticks,
        engine: &mut Engine<ClientAllocation>,
        effects: &mut DispatcherEffects,
        request: v1::PlacementRequest,
        machine: MachineId,
        replies: &async_channel::Sender<v1::PlacementEvent>,
    ) -> Result<CurrentAllocation, (v1::rejected::RejectionReason, String)> {
        use v1::rejected::RejectionReason;
        let allocation_request = self
            .engine_request(now, &request)
            .map_err(|error| (RejectionReason::BadAsk, error.to_string()))?;
        if effects.stopping {
            let message = "this dispatcher is stopping".into();
            return Err((RejectionReason::Stopping, message));
        }
        let kind = OperationKind::Attend;
        let attempt = self.attempt_message(&request, &allocation_request, 0, String::new(), kind);
        let (task, service_name) = (request.task.clone(), request.service.clone());
        let client = ClientAllocation::new(request, replies);
        let current_id = client.current_id.clone();
        let id = engine
            .admit_running(now, &task, allocation_request, machine, client)
            .map_err(|(reason, _)| (rejection_reason(reason), reason.to_string()))?;
        let node = effects.node(machine);
        self.tasks
            .spawn(attempts::follow_existing(
                self.clone(),
                id,
                node,
                machine,
                attempt,
            ))
            .detach();
        current_id.set(id);
        if let Some(controller) = effects.rollouts.controller(&service_name) {
            controller.replica_assigned(now, &task, "", false);
        }
        Ok(current_id)
    }

    /// Converts a request for the engine. The deadline is not set here.
    fn engine_request(
        &self,
        now: Ticks,
        request: &v1::PlacementRequest,
    ) -> Result<AllocationRequest, RequestError> {
        // A row with an empty name belongs to an entry that was removed.
        let index = |names: &[String], name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .filter(|_| !name.is_empty())
        };
        let deployment = self.deployment();
        let service_class = index(&deployment.service_classes, &request.service_class);
        let tenant = match (&request.tenant[..], &deployment.tenants[..]) {
            ("", _) | (_, []) => Some(0),
            (name, names) => index(names, name),
        };
        let is_valid_amount = |value: f64| value.is_finite() && value > 0.0 && value <= 1e9;
        for (field, text) in [
            ("task", &request.task),
            ("placement_id", &request.placement_id),
            ("service", &request.service),
        ] {
            if text.is_empty() || text.len() > 256 {
                return Err(RequestError::Length {
                    part: field,
                    bytes: text.len(),
                });
            }
        }
        if !is_valid_amount(request.cores) || !is_valid_amount(request.memory) {
            return Err(RequestError::Resources {
                cores: request.cores,
                memory: request.memory,
            });
        }
        Ok(AllocationRequest {
            service: service_id(&request.service),
            service_class: ServiceClassId(
                service_class
                    .ok_or_else(|| RequestError::ServiceClass(request.service_class.clone()))?,
            ),
            tenant: TenantId(tenant.ok_or_else(|| RequestError::Tenant(request.tenant.clone()))?),
            requested: Resources {
                cores: request.cores,
                memory: request.memory,
            },
            deadline: now,
        })
    }

    pub(super) fn attempt_message(
        &self,
        request: &v1::PlacementRequest,
        allocation_request: &AllocationRequest,
        number: usize,
        version: String,
        kind: OperationKind,
    ) -> v1::AttemptRequest {
        v1::AttemptRequest {
            placement_id: request.placement_id.clone(),
            attempt: number as u32,
            task: request.task.clone(),
            service: request.service.clone(),
            service_class: request.service_class.clone(),
            tenant: request.tenant.clone(),
            cores: request.cores,
            memory: request.memory,
            expected_duration_ms: request.expected_duration_ms,
            dispatcher: self.deployment().cluster.scheduler_index as u32,
            priority: u32::from(
                self.deployment().cluster.service_classes[allocation_request.service_class.0]
                    .priority,
            ),
            version,
            decider: Some(self.sender(kind, 1)),
            minimum_version: self
                .fencing
                .minimum_version()
                .map(version_gate::minimum_version_message),
        }
    }

    /// Returns the identity and active version of this dispatcher, which are sent with each
    /// operation, and counts the operation. `node_count`: number of nodes that it is sent to.
    pub fn sender(&self, kind: OperationKind, node_count: usize) -> v1::Decider {
        let deployment = self.deployment();
        self.fencing
            .record_operations(deployment.version, kind, node_count);
        let version_id = Some(active_version::version_id_message(deployment.version));
        v1::Decider {
            version: version_id,
            incarnation: self.fencing.incarnation,
            dispatcher: deployment.cluster.scheduler_index as u32,
        }
    }

    /// Handles the end of a client's call. Cancels the allocation, unless it has ended, or it is
    /// placed and either the call has reached its own deadline or this dispatcher is stopping.
    pub fn call_ended(self: &Arc<Self>, id: AllocationId) {
        self.with(|now, engine, effects| {
            let Some((client, _)) = engine.data_mut(id) else {
                return;
            };
            let placed = client.deadline.is_none() || client.replacement;
            if placed && (effects.stopping || client.call_deadline.is_some_and(|at| now >= at)) {
                return;
            }
            self.cancel(id, engine, effects);
        });
    }

    /// Cancels an allocation without an answer, and stops the replica that may run.
    pub(super) fn cancel(
        self: &Arc<Self>,
        id: AllocationId,
        engine: &mut Engine<ClientAllocation>,
        effects: &mut DispatcherEffects,
    ) {
        let Some((client, allocation)) = engine.data_mut(id) else {
            return;
        };
        if let Some(machine) = allocation.attempts.last().map(|attempt| attempt.machine) {
            effects.stop(self, client, machine, false);
        }
        if client.predecessor.is_some() {
            return self.cancel_surge(id, SurgeEnd::NoCapacity, engine, effects);
        }
        let successor = client.successor.take();
        effects.replica_gone(client, true);
        effects.counters.cancelled += 1;
        engine.finish(id);
        if let Some(next) = successor {
            self.cancel_surge(next, SurgeEnd::Cancelled, engine, effects);
        }
    }
}

/// Longest time that a client may wait for a placement, in ticks.
const MAX_DEADLINE: Ticks = 24 * 3600 * 10_000;

/// Rejects a request, which is then certain to have had no effect.
fn reject(
    replies: &async_channel::Sender<v1::PlacementEvent>,
    reason: v1::rejected::RejectionReason,
    message: String,
) {
    let rejected = v1::Rejected {
        reason: reason.into(),
        message,
        attempts: 0,
    };
    let _ = replies.try_send(v1::PlacementEvent {
        event: Some(Reply::Rejected(rejected)),
    });
}

fn rejection_reason(why: AdmissionError) -> v1::rejected::RejectionReason {
    match why {
        AdmissionError::Full => v1::rejected::RejectionReason::TooMany,
        AdmissionError::DuplicateName => v1::rejected::RejectionReason::InHand,
    }
}
