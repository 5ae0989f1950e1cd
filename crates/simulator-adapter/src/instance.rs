//! One dispatcher on the simulator's wire: its messages to calls on the engine.

use crate::decode;
use crate::error::InputError;
use crate::message::Message;
use crate::reply::ReplyLines;
use crate::session::Page;
use corkspan_engine::{AllocationRequest, Engine, RetryBatch, ReturnedAttempt, service_id};
use corkspan_scheduler::interface::*;
use corkspan_settings::{Settings, ticks_from_us};

/// One dispatcher, from its start to its end.
pub struct Instance {
    engine: Engine<String>,
    settings: Settings,
}

impl Instance {
    /// A dispatcher that starts with the settings of this message.
    pub fn boot(now: Ticks, message: &Message) -> Result<Self, InputError> {
        let settings: Settings =
            serde_json::from_str(message.text("facts")?).map_err(|error| message.invalid(error))?;
        let cluster = settings.cluster().map_err(|error| message.invalid(error))?;
        // In the simulator what is dispatched has left.
        let cluster = Cluster {
            connect_timeout: 0,
            ..cluster
        };
        let seed = message.get("random-seed")?;
        // The simulator itself rejects what is beyond its cap.
        let engine = Engine::new(cluster, seed, now, usize::MAX, RetryBatch::ALL);
        Ok(Instance { engine, settings })
    }

    /// One event at this time, in microseconds; answers go to `reply`.
    pub fn event(
        &mut self,
        us: u64,
        message: &Message,
        pages: &[Page],
        reply: &mut ReplyLines,
    ) -> Result<(), InputError> {
        let now = ticks_from_us(us);
        match message.name {
            "PEERS_KNOWN" => self.endpoint_list(now, message, pages)?,
            "ASK" => {
                let (name, request) = self.requested(us, message)?;
                let admitted = self.engine.admit(now, name, request, name.into());
                let id = admitted.map_err(|(error, _)| message.invalid(error))?;
                self.engine.place(now, id, reply);
            }
            "IN_PLACE" => self.already_placed(us, message)?,
            "SEATED" => {
                let attempt = message.get("leg")?;
                if let Some(id) = self.find(message)? {
                    self.engine.attempt_placed(now, id, attempt, reply);
                }
            }
            "RETURNED" => self.returned(now, message, reply)?,
            "INTERIM" => {
                let metric = decode::metric(message)?;
                if let (Some(id), Some(metric)) = (self.find(message)?, metric) {
                    self.engine.record_metric(now, id, metric);
                }
            }
            "DROPPED" => {
                if let Some(id) = self.find(message)? {
                    self.engine.finish(id);
                }
            }
            "WAKE" => {
                message.get::<u64>("key-back")?;
                self.engine.timer_fired(now);
            }
            "CHECK_RESULT" => self.health_checked(now, message)?,
            "INBOX" => {}
            _ => return Err(message.unexpected()),
        }
        Ok(())
    }

    /// After the events of a batch: what is to be set going, and the timer for the next call.
    pub fn rest(&mut self, now: Ticks, reply: &mut ReplyLines) {
        self.engine.poll(now, reply);
    }

    fn returned(
        &mut self,
        now: Ticks,
        message: &Message,
        reply: &mut ReplyLines,
    ) -> Result<(), InputError> {
        let attempt: usize = message.get("leg")?;
        let ending = decode::ending(message)?;
        let reason = decode::reason(message)?;
        let finished = message.get_or("final", 0u8)? == 1;
        let report = decode::load_report(message)?;
        let Some(id) = self.find(message)? else {
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

    /// An allocation that already runs on a machine.
    fn already_placed(&mut self, us: u64, message: &Message) -> Result<(), InputError> {
        let (name, request) = self.requested(us, message)?;
        let machine = MachineId(message.get("node")?);
        let now = ticks_from_us(us);
        let admitted = self
            .engine
            .admit_running(now, name, request, machine, name.into());
        admitted.map_err(|(error, _)| message.invalid(error))?;
        Ok(())
    }

    fn health_checked(&mut self, now: Ticks, message: &Message) -> Result<(), InputError> {
        let machine = MachineId(message.get("node")?);
        let ending = decode::ending(message)?;
        let report = decode::load_report(message)?;
        self.engine
            .record_health_check(now, machine, ending, report);
        Ok(())
    }

    fn find(&self, message: &Message) -> Result<Option<AllocationId>, InputError> {
        Ok(self.engine.find(message.text("request-id")?))
    }

    /// The name of an allocation, and what is requested.
    fn requested<'a>(
        &self,
        us: u64,
        message: &Message<'a>,
    ) -> Result<(&'a str, AllocationRequest), InputError> {
        let tenants = self.settings.tenants.len().max(1);
        let requested = AllocationRequest {
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
        Ok((message.text("request-id")?, requested))
    }

    fn endpoint_list(
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
