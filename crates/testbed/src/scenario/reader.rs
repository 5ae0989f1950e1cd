//! Reads scenarios from the forms of day scripts. Keywords are those of `docs/days.md`.

use super::{
    DEFAULT_PER_PROCESS, FAULT_KINDS, FaultKind, LINK_PEERS, LinkPeer, MaintenancePlan,
    RolloutPlan, Scenario, ScheduledFault,
};
use crate::relay::Direction;
use corkspan_config::sexp::{Diagnostic, Form, Parts};
use std::time::Duration;

const KEYWORDS: [&str; 18] = [
    "length",
    "dispatchers",
    "hollow",
    "nodes",
    "zones",
    "room",
    "rate",
    "deduplicated",
    "unrepeatable",
    "cancels",
    "life",
    "copies",
    "roll",
    "versions",
    "floor",
    "audit",
    "maintenance",
    "troubles",
];

/// Longest scenario, and latest time in it, in seconds.
const MAX_SECONDS: u64 = 600;
const MAX_DISPATCHERS: u64 = 300;
const MAX_NODES: u64 = 2600;
const MAX_BURST: usize = 100_000;
const MICROSECONDS_PER_TICK: u64 = 100;

/// `(day (length 4 s) …)`
pub(super) fn scenario(form: &Form) -> Result<Scenario, Diagnostic> {
    let parts = form.parts(&KEYWORDS)?;
    let mut scenario = without_faults(&parts)?;
    if let Some(form) = parts.get("hollow") {
        (scenario.hollow, scenario.per_process) = hollow(form, &scenario)?;
    }
    if let Some(form) = parts.get("zones") {
        let max = scenario.nodes.min(100) as u64;
        scenario.failure_domains = Some(form.integer(2, max)? as usize);
    }
    check_combinations(form, &parts, &scenario)?;
    let keywords = FAULT_KINDS.map(|(keyword, _)| keyword);
    let faults = parts.get_or("troubles", Vec::new(), |form| form.forms(&keywords))?;
    let faults = faults.iter().map(|form| fault(form, &scenario));
    scenario.faults = faults.collect::<Result<_, _>>()?;
    if let Some(form) = parts.get("hollow").filter(|_| scenario.needs_disks()) {
        return Err(form.diagnostic(
            "a hollow dispatcher has no disk, and a roll, work on machines or a full disk needs one",
        ));
    }
    Ok(scenario)
}

/// All parts that need no other part.
fn without_faults(parts: &Parts) -> Result<Scenario, Diagnostic> {
    let percent = |form: &Form| match form.non_negative()? {
        value if value <= 100.0 => Ok(value),
        _ => Err(form.diagnostic("must be 100 at the most")),
    };
    let floor = |form: &Form| time(form.parts(&["at"])?.required("at")?, MAX_SECONDS);
    let lifetime = Duration::from_secs(4);
    Ok(Scenario {
        length: time(parts.required("length")?, MAX_SECONDS)?,
        dispatchers: parts.required("dispatchers")?.integer(1, MAX_DISPATCHERS)? as usize,
        hollow: 0,
        per_process: DEFAULT_PER_PROCESS,
        nodes: parts.required("nodes")?.integer(1, MAX_NODES)? as usize,
        failure_domains: None,
        capacity_interval: parts.get("room").map(every).transpose()?,
        rate: parts.required("rate")?.positive()?,
        deduplicated: parts.get_or("deduplicated", 10.0, percent)?,
        unrepeatable: parts.get_or("unrepeatable", 5.0, percent)?,
        cancels: parts.get_or("cancels", 1.0, percent)?,
        mean_lifetime: parts.get_or("life", lifetime, |form| time(form, 3600))?,
        replicas: parts.get_or("copies", 0, |form| Ok(form.integer(0, 10_000)? as usize))?,
        rollout: parts.get("roll").map(rollout).transpose()?,
        version_interval: parts.get("versions").map(every).transpose()?,
        minimum_version_at: parts.get("floor").map(floor).transpose()?,
        audit: parts.get_or("audit", false, Form::boolean)?,
        maintenance: parts.get("maintenance").map(maintenance).transpose()?,
        faults: Vec::new(),
    })
}

/// Parts that mean something only beside others.
fn check_combinations(form: &Form, parts: &Parts, scenario: &Scenario) -> Result<(), Diagnostic> {
    if let (Some(form), 0) = (parts.get("roll"), scenario.replicas) {
        return Err(form.diagnostic("stands only beside `(copies …)`"));
    }
    let needs_versions = parts.get("floor").or(parts.get("audit"));
    if let (Some(form), None) = (needs_versions, scenario.version_interval) {
        return Err(form.diagnostic("stands only beside `(versions …)`"));
    }
    if scenario.deduplicated + scenario.unrepeatable > 100.0 {
        return Err(form.diagnostic("deduplicated and unrepeatable are over 100 together"));
    }
    Ok(())
}

/// A time above 0.
fn time(form: &Form, max_seconds: u64) -> Result<Duration, Diagnostic> {
    let time = Duration::from_micros(form.time()? * MICROSECONDS_PER_TICK);
    if time.is_zero() || time > Duration::from_secs(max_seconds) {
        return Err(form.diagnostic(format!("must be above 0 and {max_seconds} s at the most")));
    }
    Ok(time)
}

/// `(hollow (many 99) (a-process 50))`: at least one dispatcher is a process of its own.
fn hollow(form: &Form, scenario: &Scenario) -> Result<(usize, usize), Diagnostic> {
    let parts = form.parts(&["many", "a-process"])?;
    let max = scenario.dispatchers as u64 - 1;
    if max == 0 {
        return Err(form.diagnostic(
            "at least one dispatcher is a process of its own, and there is one alone",
        ));
    }
    let count = parts.required("many")?.integer(1, max)?;
    let default = DEFAULT_PER_PROCESS as u64;
    let per_process = parts.get_or("a-process", default, |form| form.integer(1, 100))?;
    Ok((count as usize, per_process as usize))
}

/// `(maintenance (at 5 s) (at-a-time 10) (by-hall 6) (takes 1 s))`
fn maintenance(form: &Form) -> Result<MaintenancePlan, Diagnostic> {
    let parts = form.parts(&["at", "at-a-time", "by-hall", "takes"])?;
    let machines = |form: &Form| Ok(form.integer(1, 1_000)? as u32);
    let max_concurrent = machines(parts.required("at-a-time")?)?;
    let second = Duration::from_secs(1);
    Ok(MaintenancePlan {
        at: time(parts.required("at")?, MAX_SECONDS)?,
        max_concurrent,
        max_per_zone: parts.get_or("by-hall", max_concurrent, machines)?,
        work_duration: parts.get_or("takes", second, |form| time(form, MAX_SECONDS))?,
    })
}

/// `(versions (every 5 s))`, `(room (every 1 s))`
fn every(form: &Form) -> Result<Duration, Diagnostic> {
    time(form.parts(&["every"])?.required("every")?, MAX_SECONDS)
}

/// `(from keepers control)`
fn peers(form: &Form) -> Result<Vec<LinkPeer>, Diagnostic> {
    let peer = |name: &str| {
        let known = LINK_PEERS.iter().find(|(known, _)| *known == name);
        known.map(|(_, peer)| *peer).ok_or_else(|| {
            form.diagnostic(format!(
                "`{name}` is none of dispatchers, keepers, control, roster, nodes"
            ))
        })
    };
    form.symbols()?.into_iter().map(peer).collect()
}

/// `(roll (at 4 s) (unready-most 10) (ready-for 1 s) (start-first #t))`
fn rollout(form: &Form) -> Result<RolloutPlan, Diagnostic> {
    let parts = form.parts(&["at", "unready-most", "ready-for", "start-first"])?;
    let second = Duration::from_secs(1);
    Ok(RolloutPlan {
        at: time(parts.required("at")?, MAX_SECONDS)?,
        max_unavailable: parts.required("unready-most")?.integer(1, 10_000)? as u32,
        min_ready: parts.get_or("ready-for", second, |form| time(form, MAX_SECONDS))?,
        surge: parts.get_or("start-first", false, Form::boolean)?,
    })
}

/// `(kill-nodes (at 1 s) (for 2 s) (many 3))`
fn fault(form: &Form, scenario: &Scenario) -> Result<ScheduledFault, Diagnostic> {
    let kind = FAULT_KINDS
        .iter()
        .find(|(keyword, _)| *keyword == form.name)
        .map(|(_, kind)| *kind)
        .ok_or_else(|| form.diagnostic("unknown"))?;
    let parts = form.parts(&["at", "for", "many", "times", "from", "way", "by"])?;
    let max_count = max_count(kind, scenario) as u64;
    let at = Duration::from_micros(parts.required("at")?.time()? * MICROSECONDS_PER_TICK);
    if at > scenario.length {
        return Err(form.diagnostic("comes after the day's end"));
    }
    check_fault_parts(form, &parts, kind)?;
    if kind == FaultKind::LoseZone && scenario.failure_domains.is_none() {
        return Err(form.diagnostic("stands only beside `(zones …)`"));
    }
    if kind == FaultKind::HoldVersions && scenario.version_interval.is_none() {
        return Err(form.diagnostic("stands only beside `(versions …)`"));
    }
    let directions = parts.get_or("way", vec![Direction::In, Direction::Out], |form| {
        Ok(vec![
            [Direction::In, Direction::Out][form.choice(&["in", "out"])?],
        ])
    })?;
    let zero = Duration::ZERO;
    let count = |form: &Form| Ok(form.integer(1, max_count)? as usize);
    Ok(ScheduledFault {
        peers: parts.get_or("from", Vec::new(), peers)?,
        directions,
        delay: parts.get_or("by", zero, |form| time(form, 60))?,
        kind,
        at,
        duration: parts.get_or("for", zero, |form| time(form, MAX_SECONDS))?,
        count: parts.get_or("many", 1, count)?,
        demand_factor: parts.get_or("times", 1.0, Form::positive)?,
    })
}

/// How many a fault of this kind can strike.
fn max_count(kind: FaultKind, scenario: &Scenario) -> usize {
    match kind {
        FaultKind::KillDispatchers
        | FaultKind::PauseDispatchers
        | FaultKind::CutDispatchers
        | FaultKind::DelayDispatchers
        | FaultKind::HoldVersions
        | FaultKind::FullDisk => scenario.dispatchers,
        FaultKind::Burst => MAX_BURST,
        _ => scenario.nodes,
    }
}

/// Whether a part of a fault must, may or must not be there.
#[derive(Clone, Copy)]
enum Presence {
    Required,
    Optional,
    Meaningless,
}

/// Refuses parts that are missing, and those that mean nothing for this kind.
fn check_fault_parts(form: &Form, parts: &Parts, kind: FaultKind) -> Result<(), Diagnostic> {
    let required = |condition| match condition {
        true => Presence::Required,
        false => Presence::Meaningless,
    };
    let lasts = !matches!(kind, FaultKind::LosePrograms | FaultKind::Burst);
    let on_links = matches!(
        kind,
        FaultKind::CutDispatchers | FaultKind::DelayDispatchers
    );
    let way = match on_links {
        true => Presence::Optional,
        false => Presence::Meaningless,
    };
    let presences = [
        ("for", required(lasts)),
        ("times", required(kind == FaultKind::Demand)),
        ("from", required(on_links)),
        ("way", way),
        ("by", required(kind == FaultKind::DelayDispatchers)),
    ];
    for (part, presence) in presences {
        match (parts.get(part), presence) {
            (None, Presence::Required) => {
                return Err(form.diagnostic(format!("lacks `({part} …)`")));
            }
            (Some(there), Presence::Meaningless) => {
                return Err(there.diagnostic("means nothing here"));
            }
            _ => {}
        }
    }
    Ok(())
}
