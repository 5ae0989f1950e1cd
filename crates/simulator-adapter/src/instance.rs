//! Translates the messages to one dispatcher into calls on the engine.

use crate::decode;
use crate::error::InputError;
use crate::message::Message;
use crate::reply::ReplyLines;
use crate::session::Page;
use corkspan_engine::{AllocationRequest, Engine, RetryBatch, ReturnedAttempt, service_id};
use corkspan_scheduler::interface::*;
use corkspan_settings::{Settings, ticks_from_us};

/// One running dispatcher.
pub struct Instance {
    engine: Engine<String>,
    settings: Settings,
}

impl Instance {
    /// Starts a dispatcher with the settings in the message.
    pub fn start(now: Ticks, message: &Message) -> Result<Self, InputError> {
        let settings: Settings =
            serde_json::from_str(message.text("facts")?).map_err(|error| message.invalid(error))?;
        let cluster = settings.cluster().map_err(|error| message.invalid(error))?;
        // In the simulator a dispatched attempt has already been sent.
        let cluster = Cluster {
            connect_timeout: 0,
            ..cluster
        };
        let seed = message.get("random-seed")?;
        // The simulator itself rejects requests beyond its limit.
        let engine = Engine::new(cluster, seed, now, usize::MAX, RetryBatch::ALL);
        Ok(Instance { engine, settings })
    }

    /// Handles an event that occurs at `us` microseconds and adds the answers to `reply`.
    pub fn handle_event(
        &mut self,
        us: u64,
        message: &Message,
        pages: &[Page],
        reply: &mut ReplyLines,
    ) -> Result<(), InputError> {
        let now = ticks_from_us(us);
        match message.name {
            "PEERS_KNOWN" => self.apply_endpoint_list(now, message, pages)?,
            "ASK" => {
                let (name, request) = self.allocation_request(us, message)?;
                let admitted = self.engine.admit(now, name, request, name.into());
                let id = admitted.map_err(|(error, _)| message.invalid(error))?;
                self.engine.place(now, id, reply);
            }
            "IN_PLACE" => self.admit_running(us, message)?,
            "SEATED" => {
                let attempt = message.get("leg")?;
                if let Some(id) = self.find_allocation(message)? {
                    self.engine.attempt_placed(now, id, attempt, reply);
                }
            }
            "RETURNED" => self.attempt_returned(now, message, reply)?,
            "INTERIM" => {
                let metric = decode::metric(message)?;
                if let (Some(id), Some(metric)) = (self.find_allocation(message)?, metric) {
                    self.engine.record_metric(now, id, metric);
                }
            }
            "DROPPED" => {
                if let Some(id) = self.find_allocation(message)? {
                    self.engine.finish(id);
                }
            }
            "WAKE" => {
                message.get::<u64>("key-back")?;
                self.engine.timer_fired(now);
            }
            "CHECK_RESULT" => self.record_health_check(now, message)?,
            "INBOX" => {}
            _ => return Err(message.unexpected()),
        }
        Ok(())
    }

    /// Polls the engine after the events of a batch: starts due work and sets the next timer.
    pub fn poll(&mut self, now: Ticks, reply: &mut ReplyLines) {
        self.engine.poll(now, reply);
    }

    fn attempt_returned(
        &mut self,
        now: Ticks,
        message: &Message,
        reply: &mut ReplyLines,
    ) -> Result<(), InputError> {
        let attempt: usize = message.get("leg")?;
        let ending = decode::attempt_result(message)?;
        let reason = decode::return_reason(message)?;
        let finished = message.get_or("final", 0u8)? == 1;
        let report = decode::load_report(message)?;
        let Some(id) = self.find_allocation(message)? else {
            return Ok(());
        };
        let engine = &mut self.engine;
        match engine.attempt_returned(
            now,
            id,
            attempt,
            ReturnedAttempt {
                result: ending,
                reason,
                finished,
                report,
            },
            reply,
        ) {
            true => Ok(()),
            false => Err(message.invalid_part("leg", &attempt.to_string())),
        }
    }

    /// Admits an allocation that already runs on a machine.
    fn admit_running(&mut self, us: u64, message: &Message) -> Result<(), InputError> {
        let (name, request) = self.allocation_request(us, message)?;
        let machine = MachineId(message.get("node")?);
        let now = ticks_from_us(us);
        let admitted = self
            .engine
            .admit_running(now, name, request, machine, name.into());
        admitted.map_err(|(error, _)| message.invalid(error))?;
        Ok(())
    }

    fn record_health_check(&mut self, now: Ticks, message: &Message) -> Result<(), InputError> {
        let machine = MachineId(message.get("node")?);
        let ending = decode::attempt_result(message)?;
        let report = decode::load_report(message)?;
        self.engine
            .record_health_check(now, machine, ending, report);
        Ok(())
    }

    fn find_allocation(&self, message: &Message) -> Result<Option<AllocationId>, InputError> {
        Ok(self.engine.find(message.text("request-id")?))
    }

    /// Decodes the name of an allocation and its request.
    fn allocation_request<'a>(
        &self,
        us: u64,
        message: &Message<'a>,
    ) -> Result<(&'a str, AllocationRequest), InputError> {
        let tenants = self.settings.tenants.len().max(1);
        let request = AllocationRequest {
            service: service_id(message.text("owner-set")?),
            service_class: ServiceClassId(
                message.index("tier-class", self.settings.classes.len())?,
            ),
            tenant: TenantId(message.index_or_first("tenant", tenants)?),
            requested: Resources {
                cores: message.amount("cores-asked")?,
                memory: message.amount("mem")?,
            },
            deadline: ticks_from_us(us.saturating_add(message.get_or("expires-in-us", 0)?)),
        };
        Ok((message.text("request-id")?, request))
    }

    fn apply_endpoint_list(
        &mut self,
        now: Ticks,
        message: &Message,
        pages: &[Page],
    ) -> Result<(), InputError> {
        let scope = match message.text("scope")? {
            "delta" => ListUpdate::Incremental,
            "full" => ListUpdate::Complete,
            "cached" => ListUpdate::Cached,
            "failed" => {
                self.engine.endpoint_watch_failed(now);
                return Ok(());
            }
            other => return Err(message.invalid_part("scope", other)),
        };
        let endpoints = &pages[message.index("page", pages.len())?];
        let (machine_types, zones) = (self.settings.machine_types.len(), self.settings.zones.len());
        for endpoint in endpoints {
            if endpoint.machine_type.0 >= machine_types || endpoint.zone.0 >= zones {
                let id = endpoint.machine.0;
                return Err(message.invalid(format!("node {id} has an unknown flavor or site")));
            }
        }
        self.engine.apply_endpoint_list(scope, endpoints);
        Ok(())
    }
}
