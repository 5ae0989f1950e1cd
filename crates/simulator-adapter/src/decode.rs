//! What parts of messages mean to the scheduler.

use crate::error::InputError;
use crate::message::Message;
use corkspan_scheduler::interface::*;
use corkspan_settings::ticks_from_us;

/// One machine of a list.
pub fn endpoint(message: &Message) -> Result<Endpoint, InputError> {
    let started: u64 = message.get_or("start-time-us", 0)?;
    let free = Resources {
        cores: message.get_or("cores-free", f64::NAN)?,
        memory: message.get_or("memory-free", f64::NAN)?,
    };
    Ok(Endpoint {
        machine: MachineId(message.get("node")?),
        machine_type: MachineTypeId(message.get("flavor")?),
        zone: ZoneId(message.get("site")?),
        cell: CellId(message.get_or("cell", 0)?),
        state: match message.text("availability")? {
            "SERVING" => MachineState::Serving,
            "DRAINING" => MachineState::Draining,
            "DELETED" => MachineState::Removed,
            other => return Err(message.invalid_part("availability", other)),
        },
        started_at: (started > 0).then(|| ticks_from_us(started)),
        unreserved: (free.cores.is_finite() && free.memory.is_finite()).then_some(free),
    })
}

/// How an attempt or a health check ended.
pub fn ending(message: &Message) -> Result<AttemptResult, InputError> {
    Ok(match message.get::<u16>("disposition")? {
        200 => AttemptResult::Completed,
        500 => AttemptResult::Error,
        503 => AttemptResult::Rejected,
        504 => AttemptResult::TimedOut,
        502 => AttemptResult::ConnectFailed,
        598 => AttemptResult::Reset,
        499 => AttemptResult::Cancelled,
        410 => AttemptResult::NotSent,
        other => return Err(message.invalid_part("disposition", &other.to_string())),
    })
}

/// Why it ended so, where the message says.
pub fn reason(message: &Message) -> Result<Option<ReturnReason>, InputError> {
    Ok(match message.get_or("note", 0u8)? {
        1 => Some(ReturnReason::NoCores),
        2 => Some(ReturnReason::NoMemory),
        3 => Some(ReturnReason::QueueFull),
        4 => Some(ReturnReason::Unfit),
        5 => Some(ReturnReason::Evicted),
        6 => Some(ReturnReason::Preempted),
        7 => Some(ReturnReason::Migrated),
        _ => None,
    })
}

/// The load report, where one is attached that tells both cores and memory.
pub fn load_report(message: &Message) -> Result<Option<LoadReport>, InputError> {
    let metrics = message.get_or("metrics", String::new())?;
    let (mut cores, mut memory) = (None, None);
    for pair in metrics.split(',').filter(|pair| !pair.is_empty()) {
        let value = pair
            .split_once(':')
            .and_then(|(name, value)| Some((name, value.parse::<f64>().ok()?)));
        match value.filter(|(_, value)| value.is_finite()) {
            Some(("x0", value)) => cores = Some(value),
            Some(("x1", value)) => memory = Some(value),
            Some(_) => {}
            None => return Err(message.invalid_part("metrics", pair)),
        }
    }
    Ok(cores.zip(memory).map(|(cores, memory)| LoadReport {
        available: Resources { cores, memory },
    }))
}

/// The metric of an allocation, where it is a known one.
pub fn metric(message: &Message) -> Result<Option<Metric>, InputError> {
    let value = message.get_or("x", 0.0)?;
    Ok(match message.get::<u8>("kind")? {
        1 => Some(Metric::Running),
        2 => Some(Metric::Cores(value)),
        3 => Some(Metric::Memory(value)),
        4 => Some(Metric::ServiceLevel(value)),
        5 => Some(Metric::MachineMemory(value)),
        _ => None,
    })
}
