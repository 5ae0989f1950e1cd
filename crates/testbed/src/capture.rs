//! The capture: what crossed the stand-ins' sockets, as JSON lines. It is the checker's only input.

use crate::cost;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Default of a deadline that never expires, in µs.
pub fn no_deadline() -> u64 {
    u64::MAX
}

/// A line of the capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the start of the scenario, in µs.
    pub t: u64,
    #[serde(flatten)]
    pub observation: Observation,
}

/// An event that a stand-in observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "seen", rename_all = "kebab-case")]
pub enum Observation {
    /// The first line: the parameters of the rules.
    #[serde(rename = "day")]
    Rules(RuleParameters),
    /// A client requests a placement from a dispatcher.
    #[serde(rename = "asked")]
    Requested(RequestedPlacement),
    /// A client hands a running allocation over to a dispatcher.
    HandedOver {
        call: u64,
        #[serde(rename = "placing")]
        placement_id: String,
        dispatcher: u32,
        task: String,
    },
    /// An event reaches a client.
    #[serde(rename = "heard")]
    EventReceived {
        call: u64,
        #[serde(rename = "word")]
        event: AllocationEvent,
    },
    /// A client's call has ended. `broken`: the connection broke; otherwise the stream ended or the
    /// client ended it.
    Closed { call: u64, broken: bool },
    /// A client cancels its call because it no longer wants the allocation.
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
        /// Number of the deployment version under which it was decided.
        #[serde(default, rename = "decided")]
        version_number: u64,
    },
    /// A node has stored a minimum version: what was decided under a lower one must not take effect
    /// there.
    #[serde(rename = "floor")]
    MinimumVersionStored {
        node: u32,
        #[serde(rename = "lowest")]
        version_number: u64,
    },
    /// A node sends an event on an offer, whether it arrives or not.
    #[serde(rename = "said")]
    EventSent {
        node: u32,
        #[serde(rename = "placing")]
        placement_id: String,
        number: u32,
        #[serde(rename = "word")]
        event: AllocationEvent,
    },
    /// The dispatcher dropped an offer, or its connection broke, before its node ended it.
    #[serde(rename = "let-go")]
    OfferDropped {
        node: u32,
        #[serde(rename = "placing")]
        placement_id: String,
        number: u32,
    },
    /// A replica becomes ready or stops being ready. `done`: it ended and is no longer wanted.
    /// `stopped`: its dispatcher stopped it, and it did not fail by itself.
    Ready {
        node: u32,
        task: String,
        service: String,
        version: String,
        ready: bool,
        done: bool,
        stopped: bool,
    },
    /// An operator starts a rollout: from now on at most `max_unavailable` replicas of the service
    /// may be unavailable.
    #[serde(rename = "roll")]
    RolloutStarted {
        service: String,
        version: String,
        #[serde(rename = "unready_most")]
        max_unavailable: usize,
        #[serde(rename = "ready_for_us")]
        min_ready_us: u64,
        /// New replicas run beside old ones, at most `max_unavailable` of them.
        #[serde(default, rename = "start_first")]
        surge: bool,
        /// A replica that is not ready after this time, or dies within `min_ready_us`, has failed.
        /// More than `max_failures` failures at one dispatcher halt the rollout.
        #[serde(default = "no_deadline", rename = "ready_within_us")]
        progress_deadline_us: u64,
        #[serde(default, rename = "failures_most")]
        max_failures: usize,
    },
    /// A health check reaches a node.
    #[serde(rename = "probed")]
    HealthChecked { node: u32 },
    /// A node's process starts, drains, is gone or crashed. A node that is gone or crashed has lost
    /// all its allocations.
    Node { node: u32, state: NodeState },
    /// The connections of a node break; its allocations keep running.
    #[serde(rename = "cut")]
    ConnectionsCut { node: u32 },
    /// The discovery service sends a node's entry to a dispatcher.
    #[serde(rename = "told")]
    EndpointSent {
        dispatcher: u32,
        node: u32,
        state: NodeState,
    },
    /// A dispatcher's process changes its state.
    Dispatcher {
        dispatcher: u32,
        state: DispatcherState,
    },
    /// A fault on connections of a dispatcher begins or ends. They are delayed by `delay_us`, or
    /// held if it is 0.
    #[serde(rename = "wires")]
    ConnectionFault {
        dispatcher: u32,
        #[serde(rename = "struck")]
        begins: bool,
        #[serde(rename = "late_us")]
        delay_us: u64,
    },
    /// Maintenance is requested, with limits on machines out of service, in total and in one zone.
    #[serde(rename = "maintenance")]
    MaintenanceRequested {
        machines: usize,
        #[serde(rename = "at_a_time")]
        max_concurrent: usize,
        #[serde(rename = "by_hall")]
        max_per_zone: usize,
    },
    /// The work on a node begins or ends. `allocations`: allocations on the node at that time,
    /// which must be 0.
    #[serde(rename = "worked")]
    MaintenanceWork {
        node: u32,
        begins: bool,
        #[serde(rename = "runs")]
        allocations: usize,
    },
    /// A node is cordoned for maintenance or uncordoned.
    #[serde(rename = "door")]
    Cordon { node: u32, closed: bool },
    /// The control service has a new version.
    Pushed { number: u64 },
    /// A dispatcher reported its active version to the control service or an operator.
    #[serde(rename = "in-force")]
    VersionActive { dispatcher: u32, number: u64 },
    /// A majority of quorum members has accepted a minimum version.
    #[serde(rename = "raised")]
    MinimumVersionRaised {
        #[serde(rename = "lowest")]
        version_number: u64,
    },
    /// The result of an audit of the fleet. `equal`: its operations are exactly those that crossed
    /// the nodes' sockets.
    Audited {
        took_ms: u64,
        bytes: u64,
        findings: usize,
        equal: bool,
    },
    /// Resident memory of the running dispatcher processes.
    Memory { mean_kib: u64, most_kib: u64 },
    /// The load on the stand-ins' only thread: the share of the time for which it ran and for which
    /// it waited for a processor, and its largest delay. `hollow`: the largest share of a second
    /// for which a hollow process ran or waited. `invalid`: whether this invalidates the figures.
    StandIns {
        busy: f64,
        waited: f64,
        late_us: u64,
        hollow: f64,
        #[serde(rename = "spoilt")]
        invalid: bool,
    },
    /// What the dispatchers cost during the scenario.
    Cost(Box<cost::Costs>),
    /// A fault is injected.
    #[serde(rename = "trouble")]
    Fault { name: String },
}

/// A client's placement request.
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
    /// Whether it is the first request for its task.
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
    /// Just started and in slow start.
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
    /// Received a signal to stop.
    Stopping,
    /// Exited with status 0.
    Ended,
    /// Exited by itself in any other way.
    #[serde(rename = "broke")]
    Crashed,
}

/// The rules' parameters in a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    pub seed: u64,
    #[serde(rename = "tracks")]
    pub service_classes: Vec<ServiceClass>,
    /// Zones and cells of the nodes.
    pub nodes: Vec<NodeSite>,
    /// Time after which a dispatcher that knows a node to be draining or gone must not send new
    /// offers to it.
    pub grace_us: u64,
    #[serde(rename = "cold")]
    pub slow_start: SlowStartLimits,
    /// Tolerance between two sockets of one machine: what one end does may be observed this much
    /// later at the other.
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
    /// Offers in a window above which a node in slow start crashes.
    #[serde(rename = "most")]
    pub max_offers: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceClass {
    pub name: String,
    #[serde(rename = "repeat")]
    pub retry_safety: RetrySafety,
    #[serde(rename = "contract_us")]
    pub latency_objective_us: u64,
    /// Maximum allocations of a service on one machine from one dispatcher.
    pub spread: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    Idempotent,
    /// A retry within the window and the same zone does not run twice.
    Deduplicated {
        window_us: u64,
    },
    #[serde(rename = "unrepeatable")]
    NotRetryable,
}

/// Records observations as lines, in memory and optionally in a file.
pub struct Capture {
    start: Instant,
    sink: Mutex<Sink>,
}

struct Sink {
    file: Option<std::io::BufWriter<std::fs::File>>,
    lines: Vec<Line>,
}

impl Capture {
    /// Creates a capture that records into memory and, if one is given, into a file.
    pub fn new(file: Option<&Path>) -> std::io::Result<Self> {
        let file = file
            .map(std::fs::File::create)
            .transpose()?
            .map(std::io::BufWriter::new);
        Ok(Capture {
            start: Instant::now(),
            sink: Mutex::new(Sink {
                file,
                lines: Vec::new(),
            }),
        })
    }

    /// Records an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let mut sink = self
            .sink
            .lock()
            .expect("no thread panics while holding the lock");
        // The time is taken under the lock, so that lines are ordered by time.
        let line = Line {
            t: self.start.elapsed().as_micros() as u64,
            observation,
        };
        if let Some(file) = &mut sink.file {
            let written = serde_json::to_writer(&mut *file, &line).map_err(Into::into);
            if let Err(why) = written.and_then(|()| file.write_all(b"\n")) {
                eprintln!("corkspan-testbed: cannot write the capture: {why}");
                sink.file = None;
            }
        }
        sink.lines.push(line);
    }

    /// Returns the time since the capture was created.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns all lines so far and flushes the file.
    pub fn lines(&self) -> Vec<Line> {
        let mut sink = self
            .sink
            .lock()
            .expect("no thread panics while holding the lock");
        if let Some(file) = &mut sink.file
            && let Err(why) = file.flush()
        {
            eprintln!("corkspan-testbed: cannot write the capture: {why}");
        }
        sink.lines.clone()
    }
}

/// Reads a capture from a file.
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
