//! Requests of clients: placed, handed over, cancelled, and what is sent to nodes for them.

use super::*;

/// What is wrong with a request.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error("{part}: 1 to 256 bytes are wanted, not {bytes}")]
    Length { part: &'static str, bytes: usize },
    #[error("cores and memory must be above 0, not {cores} and {memory}")]
    Resources { cores: f64, memory: f64 },
    #[error("unknown track `{0}`")]
    ServiceClass(String),
    #[error("unknown account `{0}`")]
    Tenant(String),
    #[error("no deadline: neither abandon_ms nor one of the call")]
    NoDeadline,
    #[error("a deadline more than {} s away", MAX_DEADLINE / 10_000)]
    DeadlineTooLate,
}

impl DispatcherCore {
    /// An owner asks. The answer is among the words, at once or later.
    pub fn place(
        self: &Arc<Self>,
        ask: v1::PlacementRequest,
        call_deadline: Option<Duration>,
    ) -> OpenCall {
        let (replies, heard) =
            async_channel::bounded(self.deployment().limits.max_events_per_client);
        let taken = OpenCall {
            replies: heard,
            id: None,
            open: Arc::clone(&self.open_calls),
        };
        let refuse = |why: v1::rejected::RejectionReason, text: String| {
            let word = v1::Rejected {
                reason: why.into(),
                message: text,
                attempts: 0,
            };
            let _ = replies.try_send(v1::PlacementEvent {
                event: Some(Reply::Rejected(word)),
            });
        };
        let mut inner = self.lock();
        inner.effects.counters.asked += 1;
        inner.effects.counters.refused += 1;
        if inner.effects.stopping {
            refuse(
                v1::rejected::RejectionReason::Stopping,
                "this dispatcher is about to stop".into(),
            );
            return taken;
        }
        if let Some(floor) = self.fenced_by() {
            let text = format!(
                "this dispatcher is behind: version {} is the lowest that may act",
                floor.version
            );
            refuse(v1::rejected::RejectionReason::Behind, text);
            return taken;
        }
        if Arc::strong_count(&self.open_calls) > self.deployment().limits.max_calls as usize {
            refuse(
                v1::rejected::RejectionReason::TooMany,
                "as many calls as may be are open".into(),
            );
            return taken;
        }
        let now = self.clock.now();
        let left = [
            call_deadline.map(crate::clock::ticks),
            Some(ask.deadline_ms.saturating_mul(10)).filter(|&ms| ms > 0),
        ];
        let asked = match (
            self.engine_request(now, &ask),
            left.into_iter().flatten().min(),
        ) {
            (Err(why), _) => Err(why),
            (_, None) => Err(RequestError::NoDeadline),
            (_, Some(left)) if left > MAX_DEADLINE => Err(RequestError::DeadlineTooLate),
            (Ok(asked), Some(left)) => Ok((asked, left)),
        };
        let (asked, left) = match asked {
            Ok(asked) => asked,
            Err(why) => {
                refuse(v1::rejected::RejectionReason::BadAsk, why.to_string());
                return taken;
            }
        };
        // A dispatcher that stands still can't answer: so the decisions are told of less time than
        // there is.
        let ahead = self.deployment().limits.answer_margin.min(left / 2);
        let asked = AllocationRequest {
            deadline: now + left - ahead,
            ..asked
        };
        let task = ask.task.clone();
        let call_deadline = call_deadline.map(|after| now + crate::clock::ticks(after));
        let client = ClientAllocation {
            deadline: Some(now + left),
            call_deadline,
            ..ClientAllocation::new(ask, &replies)
        };
        let current_id = client.current_id.clone();
        let why = match inner.engine.admit(now, &task, asked, client) {
            Ok(id) => {
                current_id.set(id);
                inner.effects.counters.refused -= 1;
                drop(inner);
                self.with(|now, engine, effects| engine.place(now, id, effects));
                return OpenCall {
                    id: Some(current_id),
                    ..taken
                };
            }
            Err((why, _)) => why,
        };
        refuse(refusal_reason(why), why.to_string());
        taken
    }

    /// An owner hands over an allocation that already runs.
    pub fn hand_over(self: &Arc<Self>, running: v1::HandOverRequest) -> OpenCall {
        let (replies, heard) =
            async_channel::bounded(self.deployment().limits.max_events_per_client);
        let open = Arc::clone(&self.open_calls);
        let refuse = |why: v1::rejected::RejectionReason, text: String| {
            let word = v1::Rejected {
                reason: why.into(),
                message: text,
                attempts: 0,
            };
            let _ = replies.try_send(v1::PlacementEvent {
                event: Some(Reply::Rejected(word)),
            });
        };
        let ask = running.request.unwrap_or_default();
        let machine = MachineId(running.node);
        let id = self.with(|now, engine, effects| {
            let asked = self
                .engine_request(now, &ask)
                .map_err(|why| refuse(v1::rejected::RejectionReason::BadAsk, why.to_string()))
                .ok()?;
            if effects.stopping {
                refuse(
                    v1::rejected::RejectionReason::Stopping,
                    "this dispatcher is about to stop".into(),
                );
                return None;
            }
            let (task, shot) = (
                ask.task.clone(),
                self.attempt_message(&ask, &asked, 0, String::new(), OperationKind::Attend),
            );
            let service_name = ask.service.clone();
            let client = ClientAllocation::new(ask, &replies);
            let current_id = client.current_id.clone();
            match engine.admit_running(now, &task, asked, machine, client) {
                Ok(id) => {
                    self.tasks
                        .spawn(attempts::follow_existing(
                            self.clone(),
                            id,
                            effects.node(machine),
                            machine,
                            shot,
                        ))
                        .detach();
                    current_id.set(id);
                    if let Some(controller) = effects.rollouts.controller(&service_name) {
                        controller.replica_assigned(now, &task, "", false);
                    }
                    Some(current_id)
                }
                Err((why, _)) => {
                    refuse(refusal_reason(why), why.to_string());
                    None
                }
            }
        });
        OpenCall {
            replies: heard,
            id,
            open,
        }
    }

    /// What an ask is to the decisions, or what is wrong with it. Its abandon time is not set.
    fn engine_request(
        &self,
        now: Ticks,
        ask: &v1::PlacementRequest,
    ) -> Result<AllocationRequest, RequestError> {
        // A row without a name is of one that is gone.
        let index = |names: &[String], name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .filter(|_| !name.is_empty())
        };
        let deployment = self.deployment();
        let track = index(&deployment.service_classes, &ask.service_class);
        let account = match (&ask.tenant[..], &deployment.tenants[..]) {
            ("", _) | (_, []) => Some(0),
            (name, names) => index(names, name),
        };
        let amount = |value: f64| value.is_finite() && value > 0.0 && value <= 1e9;
        for (what, text) in [
            ("task", &ask.task),
            ("placing", &ask.placement_id),
            ("service", &ask.service),
        ] {
            if text.is_empty() || text.len() > 256 {
                return Err(RequestError::Length {
                    part: what,
                    bytes: text.len(),
                });
            }
        }
        if !amount(ask.cores) || !amount(ask.memory) {
            return Err(RequestError::Resources {
                cores: ask.cores,
                memory: ask.memory,
            });
        }
        Ok(AllocationRequest {
            service: service_id(&ask.service),
            service_class: ServiceClassId(
                track.ok_or_else(|| RequestError::ServiceClass(ask.service_class.clone()))?,
            ),
            tenant: TenantId(account.ok_or_else(|| RequestError::Tenant(ask.tenant.clone()))?),
            requested: Resources {
                cores: ask.cores,
                memory: ask.memory,
            },
            deadline: now,
        })
    }

    pub(super) fn attempt_message(
        &self,
        ask: &v1::PlacementRequest,
        asked: &AllocationRequest,
        number: usize,
        version: String,
        kind: OperationKind,
    ) -> v1::AttemptRequest {
        v1::AttemptRequest {
            placement_id: ask.placement_id.clone(),
            attempt: number as u32,
            task: ask.task.clone(),
            service: ask.service.clone(),
            service_class: ask.service_class.clone(),
            tenant: ask.tenant.clone(),
            cores: ask.cores,
            memory: ask.memory,
            expected_duration_ms: ask.expected_duration_ms,
            dispatcher: self.deployment().cluster.scheduler_index as u32,
            priority: u32::from(
                self.deployment().cluster.service_classes[asked.service_class.0].priority,
            ),
            version,
            decider: Some(self.sender(kind, 1)),
            minimum_version: self
                .fencing
                .minimum_version()
                .map(version_gate::minimum_version_message),
        }
    }

    /// Who acts, and under which version: told with each act, from what is in force as it is
    /// decided. `many`: nodes that it goes to.
    pub fn sender(&self, kind: OperationKind, many: usize) -> v1::Decider {
        let deployment = self.deployment();
        self.fencing
            .record_operations(deployment.version, kind, many);
        let stamp = Some(active_version::version_id_message(deployment.version));
        v1::Decider {
            version: stamp,
            incarnation: self.fencing.incarnation,
            dispatcher: deployment.cluster.scheduler_index as u32,
        }
    }

    /// The owner's call is over. Unless the allocation has ended too, or the call had its own
    /// deadline, it is no longer wanted.
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

    /// Ends an allocation without an answer and stops what may run of it.
    pub(super) fn cancel(
        self: &Arc<Self>,
        id: AllocationId,
        engine: &mut Engine<ClientAllocation>,
        effects: &mut DispatcherEffects,
    ) {
        let Some((client, allocation)) = engine.data_mut(id) else {
            return;
        };
        if let Some(machine) = allocation.attempts.last().map(|shot| shot.machine) {
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

/// Longest time that a client may wait for a placement.
const MAX_DEADLINE: Ticks = 24 * 3600 * 10_000;

fn refusal_reason(why: AdmissionError) -> v1::rejected::RejectionReason {
    match why {
        AdmissionError::Full => v1::rejected::RejectionReason::TooMany,
        AdmissionError::DuplicateName => v1::rejected::RejectionReason::InHand,
    }
}
