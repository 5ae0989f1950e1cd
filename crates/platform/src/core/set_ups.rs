//! What owners ask for and give up.

use super::tasks::{Out, Placing, Stage, sid};
use super::*;
use corkspan_engine::{Asked, service};
use corkspan_platform_wire::client::{self, Message, SetUp};
use tracing::debug;

impl Port {
    /// Err where the connection must be closed, else whether the message could be used.
    pub(super) fn set_up(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        from: OwnerId,
        message: &Message,
    ) -> Result<bool, ()> {
        let task = message.task;
        let known = host.find(&sid(task)).is_some();
        let owner = self.owners.get(&from);
        let open = owner.map_or(0, |owner| owner.open.len());
        let mine = owner.is_some_and(|owner| owner.open.contains(&task));
        let read = SetUp::try_from(message).map_err(|why| why.to_string());
        let (mut set_up, asked) = match read.and_then(|set_up| {
            let asked = self.asked(now, &set_up)?;
            Ok((set_up, asked))
        }) {
            Ok(read) => read,
            // Under the id of one that is open no answer could be told from that one's.
            Err(_) if mine => return Err(()),
            Err(why) => {
                debug!(%why, "a set-up that can't be used");
                self.release(from, task, client::CAUSE_FAILED);
                return Ok(false);
            }
        };
        if known && set_up.running_on.is_some() {
            return Ok(true);
        }
        if mine {
            return Err(());
        }
        if known {
            self.release(from, task, client::CAUSE_FAILED);
            return Ok(false);
        }
        if open >= OPEN_A_CONNECTION || self.stops && set_up.running_on.is_none() {
            self.release(from, task, client::CAUSE_REJECTED);
            return Ok(false);
        }
        Ok(match set_up.running_on.take() {
            Some(at) => self.take_running(now, host, from, set_up, asked, &at),
            None => self.take_new(now, host, from, set_up, asked),
        })
    }

    /// A task that stands already, handed over by another process. Always of use.
    fn take_running(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        from: OwnerId,
        set_up: SetUp,
        asked: Asked,
        at: &str,
    ) -> bool {
        let task = set_up.task;
        let ended = |machine| {
            self.ends
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
        let mut placing = Placing::new(from, set_up, asked.abandon + ON_THE_WAY);
        placing.stage = Stage::Stands;
        placing.description = String::new();
        placing.out = Some(Out {
            number: 0,
            machine,
            link: None,
            sent: now,
            until: Ticks::MAX,
            left: true,
        });
        if let Ok(id) = host.take_running(now, &sid(task), asked, machine, placing) {
            self.nodes.stands(machine, id);
            self.owners
                .get_mut(&from)
                .into_iter()
                .for_each(|owner| owner.stands += 1);
            if self.links.of(machine).is_empty() {
                self.open_link(machine, Takes::Spare);
            }
        }
        true
    }

    /// True where it was taken.
    fn take_new(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        from: OwnerId,
        set_up: SetUp,
        asked: Asked,
    ) -> bool {
        let task = set_up.task;
        let placing = Placing::new(from, set_up, asked.abandon + ON_THE_WAY);
        let Ok(id) = host.take(now, &sid(task), asked, placing) else {
            self.release(from, task, client::CAUSE_REJECTED);
            return false;
        };
        self.owed.insert(id);
        self.owners.get_mut(&from).into_iter().for_each(|owner| {
            owner.open.insert(task);
        });
        host.place(now, id, self);
        true
    }

    /// What a set-up is to the decisions, or what is wrong with it.
    pub(super) fn asked(&self, now: Ticks, set_up: &SetUp) -> Result<Asked, String> {
        let facts = &self.facts;
        let track = facts
            .classes
            .iter()
            .position(|class| class.name == set_up.class);
        let account = match &set_up.tenant {
            None => Some(0),
            Some(name) => facts.tenants.iter().position(|tenant| tenant.name == *name),
        };
        // A task that stands already has no deadline: what is told as time left there means
        // nothing.
        let left_ms = if set_up.running_on.is_some() {
            LONGEST
        } else {
            set_up.time_left_ms
        };
        if left_ms == 0 || left_ms > LONGEST {
            return Err(format!("no owner waits for {left_ms} ms"));
        }
        if [&set_up.name, &set_up.service]
            .iter()
            .any(|text| text.len() > 256)
        {
            return Err("a name of over 256 bytes".into());
        }
        let track = track.ok_or_else(|| format!("no class `{:.40}`", set_up.class))?;
        if facts.keyed(track) && set_up.idempotency_key.is_none() && set_up.running_on.is_none() {
            return Err("no key, which its class needs".into());
        }
        let asks = Resources {
            cores: set_up.cores,
            memory: set_up.memory,
        };
        // More than any machine accepts would only spoil what is learnt of asks.
        if !facts.largest().is_some_and(|largest| asks.fits_in(largest)) {
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
            abandon: now + left - ON_THE_WAY.min(left / 2),
        })
    }

    /// An owner gives a set-up up, or ends its task. False where nothing of that id is in hand.
    pub(super) fn owner_released(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        message: &Message,
    ) -> bool {
        let Some(id) = host.find(&sid(message.task)) else {
            return false;
        };
        let Some((placing, _)) = host.own(id) else {
            return false;
        };
        match placing.stage {
            Stage::Asked => self.give_up(now, host, id),
            Stage::Stands => {
                let cause = u32::from(message.cause().unwrap_or(client::CAUSE_NORMAL));
                self.stood(placing);
                let out = placing.out;
                self.cut(now, id, message.task, out, cause);
                host.finish(id);
            }
            Stage::Over => {}
        }
        true
    }

    /// The owner waits no longer: no answer is owed, and what is out is given up.
    pub(super) fn give_up(&mut self, now: Ticks, host: &mut Host<Placing>, id: AllocationId) {
        let Some((placing, _)) = host.own(id) else {
            return;
        };
        self.answer(placing, id, Stage::Over);
        let Some(out) = placing.out.take() else {
            return host.finish(id);
        };
        let task = placing.task;
        self.withdraw(id, out, task);
        host.returned(
            now,
            id,
            out.number,
            AttemptResult::Cancelled,
            None,
            true,
            None,
            self,
        );
    }
}
