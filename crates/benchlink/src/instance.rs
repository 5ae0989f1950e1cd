//! One dispatcher: its scheduler, the allocations in its hands and its timer.

use crate::facts::{Facts, tenths};
use crate::wire::{Fault, Message};
use corkspan::interface::*;
use corkspan::rules::Scheduler;
use fnv::FnvHasher;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::hash::Hasher;

struct Held {
    name: String,
    allocation: Allocation,
    /// Shots without a return.
    pending: usize,
    over: bool,
}

pub struct Instance {
    scheduler: Scheduler,
    facts: Facts,
    held: BTreeMap<AllocationId, Held>,
    by_name: HashMap<String, AllocationId>,
    /// Answered with "not yet", in the order taken.
    not_yet: Vec<AllocationId>,
    taken: u64,
    /// When the earliest timer under way falls due.
    armed: Option<Tenths>,
}

impl Instance {
    pub fn boot(now: Tenths, message: &Message) -> Result<Self, Fault> {
        let facts: Facts = serde_json::from_str(message.text("facts")?).map_err(|why| message.wrong(why))?;
        let cluster = facts.cluster().map_err(|why| message.wrong(why))?;
        Ok(Instance {
            scheduler: Scheduler::new(cluster, message.get("random-seed")?, now),
            facts,
            held: BTreeMap::new(),
            by_name: HashMap::new(),
            not_yet: Vec::new(),
            taken: 0,
            armed: None,
        })
    }

    /// One event; what the decisions answer goes to `out` as messages.
    pub fn event(
        &mut self,
        us: u64,
        message: &Message,
        pools: &[Vec<Entry>],
        out: &mut String,
    ) -> Result<(), Fault> {
        let now = tenths(us);
        match message.name {
            "PEERS_KNOWN" => self.list(now, message, pools)?,
            "ASK" => {
                let id = self.take(us, message)?;
                self.place(now, id, out);
            }
            "IN_PLACE" => {
                let id = self.take(us, message)?;
                let machine = MachineId(message.get("node")?);
                if let Some(held) = self.held.get_mut(&id) {
                    // The attempt that started it counts as made, though not by us.
                    held.allocation.shots.push(Shot { machine, sent: now, fate: Fate::MayHaveRun });
                    held.pending = 1;
                    self.scheduler.taken_over(now, &held.allocation, machine);
                }
            }
            "SEATED" => {
                let shot = message.get("leg")?;
                if let Some(id) = self.find(message)? {
                    self.outcome(now, id, shot, Outcome::Placed, out);
                }
            }
            "RETURNED" => self.returned(now, message, out)?,
            "INTERIM" => {
                let x = message.get_or("x", 0.0)?;
                let note = match message.get::<u8>("kind")? {
                    1 => Some(Note::Runs),
                    2 => Some(Note::Cores(x)),
                    3 => Some(Note::Memory(x)),
                    4 => Some(Note::Served(x)),
                    5 => Some(Note::MachineMemory(x)),
                    _ => None,
                };
                if let (Some(id), Some(note)) = (self.find(message)?, note) {
                    self.scheduler.noted(now, id, note);
                }
            }
            "DROPPED" => {
                if let Some(id) = self.find(message)? {
                    self.finish(id);
                }
            }
            "WAKE" => {
                message.get::<u64>("key-back")?;
                if self.armed.is_some_and(|at| at <= now) {
                    self.armed = None;
                }
            }
            "CHECK_RESULT" => {
                let machine = MachineId(message.get("node")?);
                let ending = ending(message)?;
                self.scheduler.probed(now, machine, ending, report(message)?);
            }
            "INBOX" => {}
            _ => return Err(message.unknown()),
        }
        Ok(())
    }

    /// After the events of a batch: what is to be set going, and the timer for the next look.
    pub fn rest(&mut self, now: Tenths, out: &mut String) {
        loop {
            let wait = self.scheduler.wait(now);
            if wait.watch_list {
                out.push_str("KEEP_INFORMED\ton=1\n");
            }
            for machine in &wait.probes {
                let _ = writeln!(out, "PING\tnode={}", machine.0);
            }
            for id in &wait.moves {
                if let Some(held) = self.held.get(id) {
                    let _ = writeln!(out, "MOVE\trequest-id={}", held.name);
                }
            }
            if wait.ask_again {
                for id in std::mem::take(&mut self.not_yet) {
                    self.place(now, id, out);
                }
                continue;
            }
            let at = now + wait.time.max(1);
            if self.armed.is_none_or(|armed| armed > at) {
                let _ = writeln!(out, "SCHEDULE\tdelay-us={}\tkey-back=0", wait.time.max(1) * 100);
                self.armed = Some(at);
            }
            return;
        }
    }

    fn place(&mut self, now: Tenths, id: AllocationId, out: &mut String) {
        let Some(held) = self.held.get_mut(&id).filter(|held| !held.over) else { return };
        match self.scheduler.place(now, &held.allocation) {
            Placement::Send { machine, time_out } => {
                let _ = writeln!(
                    out,
                    "PUT\trequest-id={}\tnode={}\tgive-up-after-us={}",
                    held.name,
                    machine.0,
                    time_out * 100
                );
                held.allocation.shots.push(Shot { machine, sent: now, fate: Fate::Pending });
                held.pending += 1;
            }
            Placement::NotYet => self.not_yet.push(id),
            Placement::Shed => self.answer("PUSH_BACK", id, out),
            Placement::Scrap => self.answer("ERROR", id, out),
        }
    }

    fn outcome(&mut self, now: Tenths, id: AllocationId, shot: usize, outcome: Outcome, out: &mut String) {
        let Some(held) = self.held.get(&id) else { return };
        match self.scheduler.after(now, &held.allocation, shot, outcome) {
            After::Rest => {}
            After::PlaceAgain => self.place(now, id, out),
            After::Shed => self.answer("PUSH_BACK", id, out),
            After::Scrap => self.answer("ERROR", id, out),
        }
    }

    fn returned(&mut self, now: Tenths, message: &Message, out: &mut String) -> Result<(), Fault> {
        let shot: usize = message.get("leg")?;
        let ending = ending(message)?;
        let reason = match message.get_or("note", 0u8)? {
            1 => Some(Reason::NoCores),
            2 => Some(Reason::NoMemory),
            3 => Some(Reason::QueueFull),
            4 => Some(Reason::NotHere),
            5 => Some(Reason::Evicted),
            6 => Some(Reason::PushedOut),
            7 => Some(Reason::SentAway),
            _ => None,
        };
        let over = message.get_or("final", 0u8)? == 1;
        let report = report(message)?;
        let Some(id) = self.find(message)? else { return Ok(()) };
        let Some(held) = self.held.get_mut(&id) else { return Ok(()) };
        let Some(made) = held.allocation.shots.get_mut(shot) else {
            return Err(message.unreadable("leg", &shot.to_string()));
        };
        made.fate = match ending {
            Ending::Refused | Ending::Unconnected | Ending::NotSent => Fate::NeverRan,
            _ => Fate::MayHaveRun,
        };
        held.pending = held.pending.saturating_sub(1);
        let over = over || held.over;
        self.outcome(now, id, shot, Outcome::Returned { ending, reason, over, report }, out);
        if over {
            self.finish(id);
        }
        Ok(())
    }

    fn answer(&mut self, word: &str, id: AllocationId, out: &mut String) {
        if let Some(held) = self.held.get(&id) {
            let _ = writeln!(out, "{word}\trequest-id={}", held.name);
        }
        self.finish(id);
    }

    /// The allocation is over; it stays in hand while a shot has still to return.
    fn finish(&mut self, id: AllocationId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.over = true;
        if held.pending == 0
            && let Some(held) = self.held.remove(&id)
        {
            self.by_name.remove(&held.name);
        }
    }

    fn find(&self, message: &Message) -> Result<Option<AllocationId>, Fault> {
        Ok(self.by_name.get(message.text("request-id")?).copied())
    }

    fn take(&mut self, us: u64, message: &Message) -> Result<AllocationId, Fault> {
        let name = message.text("request-id")?;
        // No scheduler sees all services, so their numbers come from the name and not from the order of asks.
        let mut service = FnvHasher::default();
        service.write(message.text("owner-set")?.as_bytes());
        let service = ServiceId(service.finish());
        let id = AllocationId(self.taken);
        self.taken += 1;
        let allocation = Allocation {
            id,
            service,
            track: TrackId(message.index("tier-class", None, self.facts.classes.len())?),
            account: AccountId(message.index("tenant", Some(0), self.facts.tenants.len().max(1))?),
            asks: Amount { cores: message.amount("cores-asked")?, memory: message.amount("mem")? },
            taken: tenths(us),
            abandon: tenths(us.saturating_add(message.get_or("expires-in-us", 0)?)),
            shots: Vec::new(),
        };
        self.by_name.insert(name.into(), id);
        self.held.insert(id, Held { name: name.into(), allocation, pending: 0, over: false });
        Ok(id)
    }

    fn list(&mut self, now: Tenths, message: &Message, pools: &[Vec<Entry>]) -> Result<(), Fault> {
        let scope = match message.text("scope")? {
            "delta" => Scope::Changes,
            "full" => Scope::Whole,
            "cached" => Scope::Remembered,
            "failed" => {
                self.scheduler.list_failed(now);
                return Ok(());
            }
            other => return Err(message.unreadable("scope", other)),
        };
        let entries = &pools[message.index("page", None, pools.len())?];
        for entry in entries {
            if entry.kind.0 >= self.facts.skus.len() || entry.hall.0 >= self.facts.zones.len() {
                return Err(message.wrong(format!("node {} has an unknown flavor or site", entry.machine.0)));
            }
        }
        self.scheduler.listed(scope, entries);
        Ok(())
    }
}

fn ending(message: &Message) -> Result<Ending, Fault> {
    Ok(match message.get::<u16>("disposition")? {
        200 => Ending::Ended,
        500 => Ending::Error,
        503 => Ending::Refused,
        504 => Ending::TimedOut,
        502 => Ending::Unconnected,
        598 => Ending::Reset,
        499 => Ending::Cancelled,
        410 => Ending::NotSent,
        other => return Err(message.unreadable("disposition", &other.to_string())),
    })
}

/// The load report, where one is attached that tells both kinds of room.
fn report(message: &Message) -> Result<Option<Report>, Fault> {
    let (mut cores, mut memory) = (None, None);
    for pair in message.get_or("metrics", String::new())?.split(',').filter(|pair| !pair.is_empty()) {
        let value = pair.split_once(':').and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
        match value.filter(|(_, value)| value.is_finite()) {
            Some(("x0", value)) => cores = Some(value),
            Some(("x1", value)) => memory = Some(value),
            Some(_) => {}
            None => return Err(message.unreadable("metrics", pair)),
        }
    }
    Ok(cores.zip(memory).map(|(cores, memory)| Report { unused: Amount { cores, memory } }))
}
