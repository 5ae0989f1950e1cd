//! What crossed the stand-ins' sockets, one JSON line each: the judge's only source.

use crate::cost;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A time that is never up.
pub fn unending() -> u64 {
    u64::MAX
}

/// One line: µs since the day's start, and what was seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    pub t: u64,
    #[serde(flatten)]
    pub observation: Observation,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Observation {
    /// The first line: the rules of the day in figures.
    #[serde(rename = "day")]
    Rules(RuleParameters),
    /// An owner asks a dispatcher.
    #[serde(rename = "asked")]
    Requested(RequestedPlacement),
    /// An owner hands over an allocation that runs.
    HandedOver {
        call: u64,
        #[serde(rename = "placing")]
        placement_id: String,
        dispatcher: u32,
        task: String,
    },
    /// A word reaches an owner.
    #[serde(rename = "heard")]
    EventReceived {
        call: u64,
        #[serde(rename = "word")]
        event: AllocationEvent,
    },
    /// An owner's call is over. `broken`: the link broke; else the stream ended or the owner ended
    /// it.
    Closed { call: u64, broken: bool },
    /// The owner ends the call since it wants the allocation no longer.
    Cancelled { call: u64 },
    /// An offer reaches a node.
    Offered {
        node: u32,
        #[serde(rename = "placing")]
        placement_id: String,
        number: u32,
        dispatcher: u32,
        service: String,
        #[serde(default)]
        task: String,
        #[serde(default)]
        version: String,
        /// The number of the deployment's version that it was decided under.
        #[serde(default)]
        decided: u64,
    },
    /// A node has a floor on its disk: what was decided under a lower version must not take effect
    /// there.
    #[serde(rename = "floor")]
    MinimumVersionStored { node: u32, lowest: u64 },
    /// A node says a word on an offer, whether it gets through or not.
    #[serde(rename = "said")]
    EventSent {
        node: u32,
        #[serde(rename = "placing")]
        placement_id: String,
        number: u32,
        #[serde(rename = "word")]
        event: AllocationEvent,
    },
    /// The dispatcher has let go of an offer, or its link broke, before its node ended it.
    #[serde(rename = "let-go")]
    OfferDropped {
        node: u32,
        #[serde(rename = "placing")]
        placement_id: String,
        number: u32,
    },
    /// A copy says that it is ready, or is so no longer. `done`: it has come to its end and is not
    /// wanted. `stopped`: by its dispatcher, and not by what befell it.
    Ready {
        node: u32,
        task: String,
        service: String,
        version: String,
        ready: bool,
        done: bool,
        stopped: bool,
    },
    /// An operator begins a roll: from here on so many copies of the service may be not ready.
    #[serde(rename = "roll")]
    RolloutStarted {
        service: String,
        version: String,
        unready_most: usize,
        ready_for_us: u64,
        /// New copies run beside old ones, never more than `unready_most` of them.
        #[serde(default)]
        start_first: bool,
        /// A copy fails that is not ready after so long, or dies within `ready_for_us`; more than
        /// `failures_most` at one dispatcher halt the roll.
        #[serde(default = "unending")]
        ready_within_us: u64,
        #[serde(default)]
        failures_most: usize,
    },
    #[serde(rename = "probed")]
    HealthChecked { node: u32 },
    /// A node's process starts, drains, is gone or fell over; all its allocations are gone with it
    /// if so.
    Node { node: u32, state: NodeState },
    /// The links of a node break; what runs there runs on.
    #[serde(rename = "cut")]
    ConnectionsCut { node: u32 },
    /// The roster tells a dispatcher of a node.
    #[serde(rename = "told")]
    EndpointSent {
        dispatcher: u32,
        node: u32,
        state: NodeState,
    },
    /// A dispatcher's process starts, is killed, stands still or goes on.
    Dispatcher {
        dispatcher: u32,
        state: DispatcherState,
    },
    /// Links of a dispatcher are held, or late by so much, from here on or no longer.
    #[serde(rename = "wires")]
    ConnectionFault {
        dispatcher: u32,
        struck: bool,
        late_us: u64,
    },
    /// Machines are wished to be taken out: so many, at a time and of one hall.
    #[serde(rename = "maintenance")]
    MaintenanceRequested {
        machines: usize,
        #[serde(rename = "at_a_time")]
        max_concurrent: usize,
        #[serde(rename = "by_hall")]
        max_per_zone: usize,
    },
    /// The worker begins or ends his work on a node. `runs`: what stands there then, which must be
    /// nothing.
    #[serde(rename = "worked")]
    MaintenanceWork {
        node: u32,
        begins: bool,
        runs: usize,
    },
    /// A node is closed for work, or open again.
    #[serde(rename = "door")]
    Cordon { node: u32, closed: bool },
    /// The control service has another version.
    Pushed { number: u64 },
    /// A dispatcher has told the control service, or an operator, what runs there.
    #[serde(rename = "in-force")]
    VersionActive { dispatcher: u32, number: u64 },
    /// A majority of keepers has taken a floor.
    #[serde(rename = "raised")]
    MinimumVersionRaised { lowest: u64 },
    /// What an audit of all told. `equal`: of acts just what crossed the nodes' sockets.
    Audited {
        took_ms: u64,
        bytes: u64,
        findings: usize,
        equal: bool,
    },
    /// Resident, of all dispatchers that run.
    Memory { mean_kib: u64, most_kib: u64 },
    /// The stand-ins' one thread over the day: for which share of it it ran, and waited for a
    /// processor; and by how much it was late at the worst. `hollow`: the largest share of a
    /// second for which a hollow process ran or waited. Whether all that spoils the day's
    /// figures.
    StandIns {
        busy: f64,
        waited: f64,
        late_us: u64,
        hollow: f64,
        spoilt: bool,
    },
    /// What the dispatchers cost over the day.
    Cost(Box<cost::Costs>),
    /// The script sets a trouble going.
    #[serde(rename = "trouble")]
    Fault { name: String },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestedPlacement {
    pub call: u64,
    #[serde(rename = "placing")]
    pub placement_id: String,
    pub task: String,
    pub service: String,
    #[serde(rename = "track")]
    pub service_class: usize,
    pub dispatcher: u32,
    #[serde(rename = "abandon_us")]
    pub deadline_us: u64,
    pub first: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AllocationEvent {
    Accepted,
    Running,
    Placed,
    #[serde(rename = "refused")]
    Rejected,
    Failed,
    #[serde(rename = "served")]
    ServiceLevel,
    Ended,
    Evicted,
    #[serde(rename = "pushed-out")]
    Preempted,
    #[serde(rename = "sent-away")]
    Drained,
    #[serde(rename = "moved")]
    Migrated,
    Stopped,
    Lost,
    HandedBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeState {
    /// Just started.
    #[serde(rename = "cold")]
    SlowStart,
    Serving,
    Draining,
    Gone,
    #[serde(rename = "fell-over")]
    Crashed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DispatcherState {
    #[serde(rename = "up")]
    Started,
    Killed,
    Paused,
    #[serde(rename = "goes-on")]
    Resumed,
    /// Asked to stop by a signal.
    Stopping,
    /// Ended with 0.
    Ended,
    /// Ended otherwise by itself.
    #[serde(rename = "broke")]
    Crashed,
}

/// The five rules in this day's figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    pub seed: u64,
    #[serde(rename = "tracks")]
    pub service_classes: Vec<ServiceClass>,
    /// Halls and cells of the nodes, by id.
    pub nodes: Vec<NodeSite>,
    /// Nothing new to a node so long after a dispatcher was told that it drains or is gone.
    pub grace_us: u64,
    #[serde(rename = "cold")]
    pub slow_start: SlowStartLimits,
    /// Between two sockets of one machine: what one end did may be seen so much later at the
    /// other.
    pub slack_us: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeSite {
    pub node: u32,
    #[serde(rename = "hall")]
    pub zone: String,
    pub cell: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowStartLimits {
    pub lasts_us: u64,
    pub window_us: u64,
    /// More offers within a window push a cold node over.
    pub most: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceClass {
    pub name: String,
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    #[serde(rename = "contract_us")]
    pub latency_objective_us: u64,
    /// Allocations of a service in one machine at the most, from one dispatcher.
    pub spread: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    Idempotent,
    /// Within one hall.
    Deduplicated {
        window_us: u64,
    },
    #[serde(rename = "unrepeatable")]
    NotRetryable,
}

/// Where lines go as they are seen.
pub struct Capture {
    start: Instant,
    to: Mutex<To>,
}

struct To {
    file: Option<std::io::BufWriter<std::fs::File>>,
    lines: Vec<Line>,
}

impl Capture {
    /// Into a file, if one is given, and memory.
    pub fn new(file: Option<&Path>) -> std::io::Result<Self> {
        let file = file
            .map(std::fs::File::create)
            .transpose()?
            .map(std::io::BufWriter::new);
        Ok(Capture {
            start: Instant::now(),
            to: Mutex::new(To {
                file,
                lines: Vec::new(),
            }),
        })
    }

    pub fn record(&self, observation: Observation) {
        let mut to = self.to.lock().expect("no one panics while writing a line");
        // The time is taken in here: lines stand in the order of their times.
        let line = Line {
            t: self.start.elapsed().as_micros() as u64,
            observation,
        };
        if let Some(file) = &mut to.file {
            let written = serde_json::to_writer(&mut *file, &line).map_err(Into::into);
            if let Err(why) = written.and_then(|()| file.write_all(b"\n")) {
                eprintln!("corkspan-testbed: the capture can't be written: {why}");
                to.file = None;
            }
        }
        to.lines.push(line);
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// All lines so far; the file is complete up to here.
    pub fn lines(&self) -> Vec<Line> {
        let mut to = self.to.lock().expect("no one panics while writing a line");
        if let Some(file) = &mut to.file
            && let Err(why) = file.flush()
        {
            eprintln!("corkspan-testbed: the capture can't be written: {why}");
        }
        to.lines.clone()
    }
}

/// Reads a capture back.
pub fn read(path: &Path) -> Result<Vec<Line>, String> {
    let file = std::fs::File::open(path).map_err(|why| format!("{}: {why}", path.display()))?;
    let mut lines = Vec::new();
    for (index, text) in std::io::BufReader::new(file).lines().enumerate() {
        let place =
            |why: &dyn std::fmt::Display| format!("{}:{}: {why}", path.display(), index + 1);
        let text = text.map_err(|why| place(&why))?;
        lines.push(serde_json::from_str(&text).map_err(|why| place(&why))?);
    }
    Ok(lines)
}
