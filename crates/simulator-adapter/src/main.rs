//! Runs corkspan's decisions on the simulator's wire: lines in, calls on the decisions, lines out.

mod instance;
mod wire;

use corkspan_scheduler::interface::*;
use corkspan_settings::ticks_from_us;
use instance::Instance;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Fault, Message};

/// Numbers of lists run from 0 to 15.
const POOLS: usize = 16;

fn main() -> ExitCode {
    match run(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("corkspan-simulator-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), Fault> {
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut pools = vec![Vec::new(); POOLS];
    let mut lines = Lines {
        number: 0,
        text: Vec::new(),
    };
    let mut reply = String::new();
    while let Some((line, text)) = lines.next(&mut input)? {
        let tick = Message::read(line, text)?;
        if tick.name != "TICK" {
            return Err(tick.unknown());
        }
        let (us, turn): (u64, u64) = (tick.get("t-us")?, tick.get("turn")?);
        reply.clear();
        batch(
            us,
            &mut lines,
            &mut input,
            &mut instances,
            &mut pools,
            &mut reply,
        )?;
        reply.push_str(&format!("END\tturn={turn}\n"));
        output.write_all(reply.as_bytes())?;
        output.flush()?;
    }
    Ok(())
}

fn batch(
    us: u64,
    lines: &mut Lines,
    input: &mut impl BufRead,
    instances: &mut BTreeMap<String, Instance>,
    pools: &mut [Vec<Endpoint>],
    reply: &mut String,
) -> Result<(), Fault> {
    let mut selected: Option<String> = None;
    let mut heard: Vec<String> = Vec::new();
    // The page of a list under way and its lines still to come.
    let mut listing: Option<(usize, usize)> = None;
    loop {
        let number = lines.number + 1;
        let (line, text) = lines.next(input)?.ok_or(Fault::Cut { line: number })?;
        let message = Message::read(line, text)?;
        if let Some((page, left)) = listing.take() {
            if message.name != "NODE" {
                return Err(message.unknown());
            }
            pools[page].push(entry(&message)?);
            listing = (left > 1).then_some((page, left - 1));
            continue;
        }
        match message.name {
            "END" => break,
            "POOL" => {
                let page = message.index("page", None, POOLS)?;
                pools[page].clear();
                listing = Some((page, message.get("hosts")?)).filter(|&(_, left)| left > 0);
            }
            "SELECT" => {
                let name = message.text("dispatcher")?;
                if !heard.iter().any(|other| other == name) {
                    heard.push(name.into());
                }
                selected = Some(name.into());
                reply.push_str(&format!("ON_BEHALF\tdispatcher={name}\n"));
            }
            _ => {
                let name = selected
                    .as_ref()
                    .ok_or_else(|| message.wrong("no SELECT before it"))?;
                match message.name {
                    "BOOT" => {
                        instances
                            .insert(name.clone(), Instance::boot(ticks_from_us(us), &message)?);
                    }
                    "DETACH" => {
                        instances.remove(name);
                    }
                    _ => {
                        let instance = instances
                            .get_mut(name)
                            .ok_or_else(|| message.wrong(format!("{name} was never started")))?;
                        instance.event(us, &message, pools, reply)?;
                    }
                }
            }
        }
    }
    for name in heard {
        if let Some(instance) = instances.get_mut(&name) {
            reply.push_str(&format!("ON_BEHALF\tdispatcher={name}\n"));
            instance.rest(ticks_from_us(us), reply);
        }
    }
    Ok(())
}

fn entry(message: &Message) -> Result<Endpoint, Fault> {
    let started: u64 = message.get_or("start-time-us", 0)?;
    let room = (
        message.get_or("cores-free", f64::NAN)?,
        message.get_or("memory-free", f64::NAN)?,
    );
    Ok(Endpoint {
        machine: MachineId(message.get("node")?),
        machine_type: MachineTypeId(message.get("flavor")?),
        zone: ZoneId(message.get("site")?),
        cell: CellId(message.get_or("cell", 0)?),
        state: match message.text("availability")? {
            "SERVING" => MachineState::Serving,
            "DRAINING" => MachineState::Draining,
            "DELETED" => MachineState::Removed,
            other => return Err(message.unreadable("availability", other)),
        },
        started_at: (started > 0).then(|| ticks_from_us(started)),
        unreserved: (room.0.is_finite() && room.1.is_finite()).then_some(Resources {
            cores: room.0,
            memory: room.1,
        }),
    })
}

/// Input line by line, counted for the messages about it.
struct Lines {
    number: u64,
    text: Vec<u8>,
}

impl Lines {
    fn next(&mut self, input: &mut impl BufRead) -> Result<Option<(u64, &str)>, Fault> {
        self.text.clear();
        if input.read_until(b'\n', &mut self.text)? == 0 {
            return Ok(None);
        }
        self.number += 1;
        while self.text.last().is_some_and(|byte| b"\r\n".contains(byte)) {
            self.text.pop();
        }
        let line = self.number;
        std::str::from_utf8(&self.text)
            .map(|text| Some((line, text)))
            .map_err(|why| Fault::Wrong {
                line,
                message: "text".into(),
                why: why.to_string(),
            })
    }
}
