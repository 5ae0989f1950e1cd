//! One dispatcher on the simulator's wire: lines to calls on the host, its answers to lines.

use crate::wire::{Fault, Message};
use corkspan_engine::{Asked, Host, Slice, Wire, service};
use corkspan_scheduler::interface::*;
use corkspan_settings::{Settings, ticks_from_us};
use std::fmt::Write;

pub struct Instance {
    host: Host<String>,
    settings: Settings,
}

/// Answers written as the lines of a reply; with each allocation goes its name on the wire.
struct Lines<'a>(&'a mut String);

impl Lines<'_> {
    fn word(&mut self, word: &str, name: &str) {
        let _ = writeln!(self.0, "{word}\trequest-id={name}");
    }
}

impl Wire<String> for Lines<'_> {
    fn send(&mut self, name: &mut String, _: &Allocation, machine: MachineId, time_out: Ticks) {
        let (node, us) = (machine.0, time_out * 100);
        let _ = writeln!(
            self.0,
            "PUT\trequest-id={name}\tnode={node}\tgive-up-after-us={us}"
        );
    }

    fn shed(&mut self, name: &mut String, _: &Allocation) {
        self.word("PUSH_BACK", name);
    }

    fn scrap(&mut self, name: &mut String, _: &Allocation) {
        self.word("ERROR", name);
    }

    fn relocate(&mut self, name: &mut String, _: &Allocation) {
        self.word("MOVE", name);
    }

    fn probe(&mut self, machine: MachineId) {
        let _ = writeln!(self.0, "PING\tnode={}", machine.0);
    }

    fn watch_list(&mut self) {
        self.0.push_str("KEEP_INFORMED\ton=1\n");
    }

    fn wake(&mut self, after: Ticks) {
        let _ = writeln!(self.0, "SCHEDULE\tdelay-us={}\tkey-back=0", after * 100);
    }
}

impl Instance {
    pub fn boot(now: Ticks, message: &Message) -> Result<Self, Fault> {
        let settings: Settings =
            serde_json::from_str(message.text("facts")?).map_err(|why| message.wrong(why))?;
        let cluster = settings.cluster().map_err(|why| message.wrong(why))?;
        // In the simulator what is sent has left.
        let cluster = Cluster {
            connect_timeout: 0,
            ..cluster
        };
        // The simulator itself turns away what is beyond its cap.
        let host = Host::new(
            cluster,
            message.get("random-seed")?,
            now,
            usize::MAX,
            Slice::ALL,
        );
        Ok(Instance { host, settings })
    }

    /// One event; what the decisions answer goes to `out` as messages.
    pub fn event(
        &mut self,
        us: u64,
        message: &Message,
        pools: &[Vec<Endpoint>],
        out: &mut String,
    ) -> Result<(), Fault> {
        let now = ticks_from_us(us);
        match message.name {
            "PEERS_KNOWN" => self.list(now, message, pools)?,
            "ASK" => {
                let (name, asked) = self.asked(us, message)?;
                let taken = self.host.take(now, name, asked, name.into());
                let id = taken.map_err(|(why, _)| message.wrong(why))?;
                self.host.place(now, id, &mut Lines(out));
            }
            "IN_PLACE" => {
                let (name, asked) = self.asked(us, message)?;
                let machine = MachineId(message.get("node")?);
                let taken = self
                    .host
                    .take_running(now, name, asked, machine, name.into());
                taken.map_err(|(why, _)| message.wrong(why))?;
            }
            "SEATED" => {
                let shot = message.get("leg")?;
                if let Some(id) = self.find(message)? {
                    self.host.placed(now, id, shot, &mut Lines(out));
                }
            }
            "RETURNED" => self.returned(now, message, out)?,
            "INTERIM" => {
                let x = message.get_or("x", 0.0)?;
                let note = match message.get::<u8>("kind")? {
                    1 => Some(Metric::Running),
                    2 => Some(Metric::Cores(x)),
                    3 => Some(Metric::Memory(x)),
                    4 => Some(Metric::Served(x)),
                    5 => Some(Metric::MachineMemory(x)),
                    _ => None,
                };
                if let (Some(id), Some(note)) = (self.find(message)?, note) {
                    self.host.noted(now, id, note);
                }
            }
            "DROPPED" => {
                if let Some(id) = self.find(message)? {
                    self.host.finish(id);
                }
            }
            "WAKE" => {
                message.get::<u64>("key-back")?;
                self.host.woken(now);
            }
            "CHECK_RESULT" => {
                let machine = MachineId(message.get("node")?);
                let ending = ending(message)?;
                self.host.probed(now, machine, ending, report(message)?);
            }
            "INBOX" => {}
            _ => return Err(message.unknown()),
        }
        Ok(())
    }

    /// After the events of a batch: what is to be set going, and the timer for the next look.
    pub fn rest(&mut self, now: Ticks, out: &mut String) {
        self.host.rest(now, &mut Lines(out));
    }

    fn returned(&mut self, now: Ticks, message: &Message, out: &mut String) -> Result<(), Fault> {
        let shot: usize = message.get("leg")?;
        let ending = ending(message)?;
        let reason = match message.get_or("note", 0u8)? {
            1 => Some(ReturnReason::NoCores),
            2 => Some(ReturnReason::NoMemory),
            3 => Some(ReturnReason::QueueFull),
            4 => Some(ReturnReason::Unfit),
            5 => Some(ReturnReason::Evicted),
            6 => Some(ReturnReason::Preempted),
            7 => Some(ReturnReason::Migrated),
            _ => None,
        };
        let over = message.get_or("final", 0u8)? == 1;
        let report = report(message)?;
        let Some(id) = self.find(message)? else {
            return Ok(());
        };
        match self
            .host
            .returned(now, id, shot, ending, reason, over, report, &mut Lines(out))
        {
            true => Ok(()),
            false => Err(message.unreadable("leg", &shot.to_string())),
        }
    }

    fn find(&self, message: &Message) -> Result<Option<AllocationId>, Fault> {
        Ok(self.host.find(message.text("request-id")?))
    }

    fn asked<'a>(&self, us: u64, message: &Message<'a>) -> Result<(&'a str, Asked), Fault> {
        let asked = Asked {
            service: service(message.text("owner-set")?),
            track: ServiceClassId(message.index(
                "tier-class",
                None,
                self.settings.classes.len(),
            )?),
            account: TenantId(message.index(
                "tenant",
                Some(0),
                self.settings.tenants.len().max(1),
            )?),
            asks: Resources {
                cores: message.amount("cores-asked")?,
                memory: message.amount("mem")?,
            },
            abandon: ticks_from_us(us.saturating_add(message.get_or("expires-in-us", 0)?)),
        };
        Ok((message.text("request-id")?, asked))
    }

    fn list(
        &mut self,
        now: Ticks,
        message: &Message,
        pools: &[Vec<Endpoint>],
    ) -> Result<(), Fault> {
        let scope = match message.text("scope")? {
            "delta" => ListUpdate::Incremental,
            "full" => ListUpdate::Complete,
            "cached" => ListUpdate::Cached,
            "failed" => {
                self.host.list_failed(now);
                return Ok(());
            }
            other => return Err(message.unreadable("scope", other)),
        };
        let entries = &pools[message.index("page", None, pools.len())?];
        for entry in entries {
            if entry.machine_type.0 >= self.settings.machine_types.len()
                || entry.zone.0 >= self.settings.zones.len()
            {
                return Err(message.wrong(format!(
                    "node {} has an unknown flavor or site",
                    entry.machine.0
                )));
            }
        }
        self.host.listed(scope, entries);
        Ok(())
    }
}

fn ending(message: &Message) -> Result<AttemptResult, Fault> {
    Ok(match message.get::<u16>("disposition")? {
        200 => AttemptResult::Completed,
        500 => AttemptResult::Error,
        503 => AttemptResult::Rejected,
        504 => AttemptResult::TimedOut,
        502 => AttemptResult::ConnectFailed,
        598 => AttemptResult::Reset,
        499 => AttemptResult::Cancelled,
        410 => AttemptResult::NotSent,
        other => return Err(message.unreadable("disposition", &other.to_string())),
    })
}

/// The load report, where one is attached that tells both kinds of room.
fn report(message: &Message) -> Result<Option<LoadReport>, Fault> {
    let (mut cores, mut memory) = (None, None);
    for pair in message
        .get_or("metrics", String::new())?
        .split(',')
        .filter(|pair| !pair.is_empty())
    {
        let value = pair
            .split_once(':')
            .and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
        match value.filter(|(_, value)| value.is_finite()) {
            Some(("x0", value)) => cores = Some(value),
            Some(("x1", value)) => memory = Some(value),
            Some(_) => {}
            None => return Err(message.unreadable("metrics", pair)),
        }
    }
    Ok(cores.zip(memory).map(|(cores, memory)| LoadReport {
        available: Resources { cores, memory },
    }))
}
