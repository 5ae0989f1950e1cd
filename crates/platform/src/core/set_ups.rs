//! What owners ask for and give up.

use super::pending_task::{ActiveAttempt, PendingTask, TaskStage, task_key};
use super::*;
use corkspan_engine::{Asked, service};
use corkspan_platform_wire::client::{self, Message, SetUp};
use tracing::debug;

impl PlatformState {
    /// Err where the connection must be closed, else whether the message could be used.
    pub(super) fn handle_set_up(
        &mut self,
        now: Ticks,
        engine: &mut Host<PendingTask>,
        from: ClientId,
        message: &Message,
    ) -> Result<bool, ()> {
        let task = message.task;
        let exists = engine.find(&task_key(task)).is_some();
        let client = self.clients.get(&from);
        let open = client.map_or(0, |client| client.open_set_ups.len());
        let is_open_here = client.is_some_and(|client| client.open_set_ups.contains(&task));
        let read = SetUp::try_from(message).map_err(|error| error.to_string());
        let (mut set_up, request) = match read.and_then(|set_up| {
            let request = self.to_request(now, &set_up)?;
            Ok((set_up, request))
        }) {
            Ok(read) => read,
            // Under the id of one that is open no answer could be told from that one's.
            Err(_) if is_open_here => return Err(()),
            Err(error) => {
                debug!(%error, "a set-up that can't be used");
                self.release(from, task, client::CAUSE_FAILED);
                return Ok(false);
            }
        };
        if exists && set_up.running_on.is_some() {
            return Ok(true);
        }
        if is_open_here {
            return Err(());
        }
        if exists {
            self.release(from, task, client::CAUSE_FAILED);
            return Ok(false);
        }
        if open >= MAX_SET_UPS_PER_CONNECTION || self.stopping && set_up.running_on.is_none() {
            self.release(from, task, client::CAUSE_REJECTED);
            return Ok(false);
        }
        Ok(match set_up.running_on.take() {
            Some(at) => self.take_running(now, engine, from, set_up, request, &at),
            None => self.take_new(now, engine, from, set_up, request),
        })
    }

    /// A task that stands already, handed over by another process. Always of use.
    fn take_running(
        &mut self,
        now: Ticks,
        engine: &mut Host<PendingTask>,
        from: ClientId,
        set_up: SetUp,
        request: Asked,
        at: &str,
    ) -> bool {
        let task = set_up.task;
        let ended = |machine| {
            self.early_ends
                .iter()
                .any(|&(_, ended, on)| (ended, on) == (task, machine))
        };
        let Some(machine) = self.nodes.find(at).filter(|&machine| !ended(machine)) else {
            // It has gone, and the task with it; or its node has told the end already, on the
            // connection that another handed over before had opened, and tells it to this process
            // no more.
            self.release(from, task, 41);
            return true;
        };
        let mut pending = PendingTask::new(from, set_up, request.abandon + TRANSIT_ALLOWANCE);
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
        if let Ok(id) = engine.take_running(now, &task_key(task), request, machine, pending) {
            self.nodes.task_started(machine, id);
            self.clients
                .get_mut(&from)
                .into_iter()
                .for_each(|client| client.running += 1);
            if self.connections.of(machine).is_empty() {
                self.open_connection(machine, Eviction::SpareOnly);
            }
        }
        true
    }

    /// True where it was taken.
    fn take_new(
        &mut self,
        now: Ticks,
        engine: &mut Host<PendingTask>,
        from: ClientId,
        set_up: SetUp,
        request: Asked,
    ) -> bool {
        let task = set_up.task;
        let pending = PendingTask::new(from, set_up, request.abandon + TRANSIT_ALLOWANCE);
        let Ok(id) = engine.take(now, &task_key(task), request, pending) else {
            self.release(from, task, client::CAUSE_REJECTED);
            return false;
        };
        self.unanswered.insert(id);
        self.clients.get_mut(&from).into_iter().for_each(|client| {
            client.open_set_ups.insert(task);
        });
        engine.place(now, id, self);
        true
    }

    /// What a set-up is to the decisions, or what is wrong with it.
    pub(super) fn to_request(&self, now: Ticks, set_up: &SetUp) -> Result<Asked, String> {
        let settings = &self.settings;
        let track = settings
            .classes
            .iter()
            .position(|class| class.name == set_up.class);
        let account = match &set_up.tenant {
            None => Some(0),
            Some(name) => settings
                .tenants
                .iter()
                .position(|tenant| tenant.name == *name),
        };
        // A task that stands already has no deadline: what is told as time left there means
        // nothing.
        let left_ms = if set_up.running_on.is_some() {
            MAX_DEADLINE_MS
        } else {
            set_up.time_left_ms
        };
        if left_ms == 0 || left_ms > MAX_DEADLINE_MS {
            return Err(format!("no owner waits for {left_ms} ms"));
        }
        if [&set_up.name, &set_up.service]
            .iter()
            .any(|text| text.len() > 256)
        {
            return Err("a name of over 256 bytes".into());
        }
        let track = track.ok_or_else(|| format!("no class `{:.40}`", set_up.class))?;
        if settings.keyed(track) && set_up.idempotency_key.is_none() && set_up.running_on.is_none()
        {
            return Err("no key, which its class needs".into());
        }
        let asks = Resources {
            cores: set_up.cores,
            memory: set_up.memory,
        };
        // More than any machine accepts would only spoil what is learnt of asks.
        if !settings
            .largest()
            .is_some_and(|largest| asks.fits_in(largest))
        {
            return Err(format!(
                "{} cores and {} of memory fit on no machine",
                asks.cores, asks.memory
            ));
        }
        let left = left_ms * 10;
        Ok(Asked {
            service: service(&set_up.service),
            track: ServiceClassId(track),
            account: TenantId(account.ok_or("no such tenant")?),
            asks,
            abandon: now + left - TRANSIT_ALLOWANCE.min(left / 2),
        })
    }

    /// An owner gives a set-up up, or ends its task. False where nothing of that id is in hand.
    pub(super) fn handle_release(
        &mut self,
        now: Ticks,
        engine: &mut Host<PendingTask>,
        message: &Message,
    ) -> bool {
        let Some(id) = engine.find(&task_key(message.task)) else {
            return false;
        };
        let Some((pending, _)) = engine.own(id) else {
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

    /// The owner waits no longer: no answer is owed, and what is out is given up.
    pub(super) fn cancel(&mut self, now: Ticks, engine: &mut Host<PendingTask>, id: AllocationId) {
        let Some((pending, _)) = engine.own(id) else {
            return;
        };
        self.settle(pending, id, TaskStage::Ended);
        let Some(active) = pending.active.take() else {
            return engine.finish(id);
        };
        let task = pending.task;
        self.withdraw(id, active, task);
        engine.returned(
            now,
            id,
            active.number,
            AttemptResult::Cancelled,
            None,
            true,
            None,
            self,
        );
    }
}
