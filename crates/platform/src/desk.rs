//! Where everything meets: the host with its decisions, what it holds for owners, and the ways out.
//! Whoever reads a message calls in here directly; the answers are on their way before the call
//! returns.

use crate::input::{Came, Heard, Input};
use crate::links::{self, End};
use crate::nodes::{Links, Nodes, Takes};
use crate::outbox::{Inbox, Outbox, outbox};
use crate::places::Places;
use async_lock::Semaphore;
use corkspan::interface::*;
use corkspan_facts::Facts;
use corkspan_host::{Asked, Host, Slice, Wire, service};
use corkspan_platform_wire::feed::Event;
use corkspan_platform_wire::file::{Known, Posting};
use corkspan_platform_wire::node::{self, Value};
use corkspan_platform_wire::owner::{self, Kind, Message, SetUp};
use corkspan_platform_wire::report;
use corkspan_runtime::Tasks;
use corkspan_runtime::clock::{Clock, duration};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::{Duration, Instant};
use tracing::{debug, info};

mod attempts;
#[cfg(test)]
#[path = "../tests/desk/bounds.rs"]
mod bounds;
mod clients;
#[cfg(test)]
#[path = "../tests/desk/crossings.rs"]
mod crossings;
mod standing;
#[cfg(test)]
#[path = "../tests/desk/transcript.rs"]
mod transcript;

/// A connection of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerId(u64);

/// A connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// One of the attempts at an allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    pub allocation: AllocationId,
    pub number: usize,
}

const SECOND: Tenths = 10_000;
/// An attempt that begins over 0.1 s after its client has gone is one too many: a tenth of that may
/// pass between the last look at a client's connection and an attempt.
const LATELY: Tenths = 100;
/// So much is read ahead on an owner's connection, and so many messages are handled in one go
/// before an attempt: where more is on its way, it is a flood.
const READ_AHEAD: usize = 2 * corkspan_platform_wire::LONGEST;
const AT_ONCE: usize = 2 * OPEN_A_CONNECTION;
/// So long the decisions are asked for those that wait before the connections are read again.
const TURN: Tenths = 20;
/// Allocations in hand at a time, those that stand among them.
const IN_HAND: usize = 8_192;
/// Open set-ups of one connection.
const OPEN_A_CONNECTION: usize = 256;
/// An owner's connection that has said nothing whole and sound is closed after so long: within 3 s
/// it must be.
const SILENT: Tenths = SECOND * 2;
/// One without a task, after so long without a word.
const IDLE: Tenths = SECOND * 8;
/// No deadline of an owner is further away.
const LONGEST: u64 = 600_000;
/// Taken off an owner's deadline for the way of its set-up to us and of our answer back.
const ON_THE_WAY: Tenths = 50;
/// So long a node may take to say that a task is cut.
const CUT_WITHIN: Tenths = SECOND;
/// So long a test of a node may take.
const TEST_WITHIN: Tenths = SECOND;
/// What can't be told by its node any longer must be told within 8 s of its end.
const UNREACHABLE: Tenths = SECOND * 6;
/// So long a node with tasks goes unheard before it takes the place of another with tasks. The
/// decisions test a silent node each second and give up what stands there after 5 s: of its tests
/// at least one must find a connection.
const UNHEARD: Tenths = SECOND;
/// Ends that nodes told of tasks which nobody here knows: after a start they may be handed over a
/// moment later.
const ENDS: usize = 1_024;
const ENDS_FOR: Tenths = SECOND * 10;
/// Words for owners that no connection could take, kept for the next one that comes.
const UNTOLD: usize = 1_024;

/// How far an allocation has come with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A final answer is owed.
    Asked,
    /// It stands: its end is owed.
    Stands,
    /// Nothing is owed any longer.
    Over,
}

/// An attempt that is out, or stands.
#[derive(Clone, Copy, Debug)]
struct Out {
    number: usize,
    machine: MachineId,
    link: Option<LinkId>,
    sent: Tenths,
    until: Tenths,
    /// Its first byte has been written: from here on it may have run.
    left: bool,
}

/// What is kept for the owner of an allocation in hand.
struct Placing {
    task: u64,
    owner: OwnerId,
    class: String,
    name: String,
    mark: Option<String>,
    description: String,
    until: Tenths,
    stage: Stage,
    out: Option<Out>,
    /// The connections that its attempts went on. A node's words name the task and not the
    /// attempt, so none of them may carry two.
    links: Vec<LinkId>,
    /// Those among them on which the node itself has ended the attempt, and by which cause: of
    /// that one it has no more to say.
    ended: Vec<(LinkId, u32)>,
}

/// An owner's connection.
struct Owner {
    to: Outbox,
    /// None until its task has begun.
    input: Option<Input>,
    reader: owner::Reader,
    /// When all that had come was last read.
    dry: Tenths,
    /// Its set-ups without an answer.
    open: BTreeSet<u64>,
    /// How many tasks stand that were set up on it.
    stands: usize,
    came: Tenths,
    heard: Tenths,
    /// It has said something that could be used.
    sound: bool,
    /// Since when a message has been begun and not ended.
    midway: Option<Tenths>,
}

/// What falls due by the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An attempt's time is up.
    Attempt(AllocationId, usize),
    /// A task that was to be cut has not been reported cut.
    Cut(AllocationId),
    Test(u64),
    /// What stood on a machine that can't be reached any longer must be told over.
    Lost(MachineId),
}

/// What came to be known while the decisions were still being asked.
enum Deferred {
    Returned(AllocationId, usize, Ending),
    Lost(AllocationId),
}

/// The ways out: to nodes, owners and the timer.
pub struct Port {
    desk: Weak<Desk>,
    now: Tenths,
    owners: BTreeMap<OwnerId, Owner>,
    owners_most: usize,
    /// The descriptors of connections to nodes.
    node_places: Arc<Semaphore>,
    came: u64,
    untold: VecDeque<Vec<u8>>,
    /// With when they were told, the oldest first.
    ends: VecDeque<(Tenths, u64, MachineId)>,
    nodes: Nodes,
    links: Links,
    tests: BTreeMap<u64, (MachineId, LinkId)>,
    last_test: u64,
    due: BTreeSet<(Tenths, Due)>,
    deferred: VecDeque<Deferred>,
    /// Those that are owed a final answer.
    owed: BTreeSet<AllocationId>,
    host_wakes: Option<Tenths>,
    armed: Option<Tenths>,
    last_event: u64,
    /// No more set-ups are taken.
    stops: bool,
    facts: Arc<Facts>,
}

struct Inner {
    host: Host<Placing>,
    port: Port,
}

pub struct Desk {
    inner: Mutex<Inner>,
    clock: Clock,
    tasks: Tasks,
    wakes: async_channel::Sender<Instant>,
    watches: async_channel::Sender<()>,
    /// Some wait for their turn.
    turns: async_channel::Sender<()>,
    /// Where a test sets the time: 0 otherwise.
    #[cfg(test)]
    set_time: std::sync::atomic::AtomicU64,
}

/// The control feed must be asked for, whatever the settings say of another way, and nobody tells
/// of a machine that has vanished.
fn cluster(facts: &Facts) -> Result<Cluster, String> {
    let cluster = facts.cluster()?;
    Ok(Cluster {
        ask_list: cluster.ask_list.or(Some(0)),
        tells_loss: false,
        ..cluster
    })
}

fn sid(task: u64) -> String {
    format!("{task:016x}")
}

impl Desk {
    pub fn new(
        posting: Posting,
        tasks: &Tasks,
        wakes: async_channel::Sender<Instant>,
        watches: async_channel::Sender<()>,
        turns: async_channel::Sender<()>,
        places: &Places,
    ) -> Result<Arc<Self>, String> {
        let clock = Clock::start();
        let (now, seed) = (
            clock.now(),
            posting.chance().map_err(|why| why.to_string())?,
        );
        let cluster = cluster(&posting.settings)?;
        let limits = &posting.settings.limits;
        let time = |us: Option<u64>, absent| us.map_or(absent, corkspan_facts::tenths);
        let links = Links::new(
            places.nodes_most,
            posting.settings.opens_within(),
            // Closed by us well before the node does it: a set-up that crosses that would have
            // been in vain.
            time(limits.idle_close_us, 15 * SECOND) * 2 / 3,
        );
        let known = posting.known;
        let desk = Arc::new_cyclic(|desk| Desk {
            inner: Mutex::new(Inner {
                host: Host::new(cluster, seed, now, IN_HAND, Slice::BY_TURNS),
                port: Port {
                    desk: desk.clone(),
                    now,
                    owners: BTreeMap::new(),
                    owners_most: places.owners_most,
                    node_places: Arc::clone(&places.nodes),
                    came: 0,
                    untold: VecDeque::new(),
                    ends: VecDeque::new(),
                    nodes: Nodes::default(),
                    links,
                    tests: BTreeMap::new(),
                    last_test: seed,
                    due: BTreeSet::new(),
                    deferred: VecDeque::new(),
                    owed: BTreeSet::new(),
                    host_wakes: None,
                    armed: None,
                    last_event: 0,
                    stops: false,
                    facts: Arc::new(posting.settings),
                },
            }),
            clock,
            tasks: Arc::clone(tasks),
            wakes,
            watches,
            turns,
            #[cfg(test)]
            set_time: std::sync::atomic::AtomicU64::new(0),
        });
        desk.with(|now, host, port| {
            known
                .events
                .into_iter()
                .for_each(|event| port.apply(now, host, event));
            port.last_event = port.last_event.max(known.n);
        });
        Ok(desk)
    }

    /// Sets going what is to be done from the start on.
    pub fn begin(&self) {
        self.with(|_, _, _| ());
    }

    fn now(&self) -> Tenths {
        #[cfg(test)]
        if let at @ 1.. = self.set_time.load(std::sync::atomic::Ordering::Relaxed) {
            return at;
        }
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic under the lock would leave the books in doubt: go down with it rather than guess.
        self.inner.lock().expect("the desk's books are whole")
    }

    /// Hands something over and sets going what follows from it.
    fn with<R>(&self, call: impl FnOnce(Tenths, &mut Host<Placing>, &mut Port) -> R) -> R {
        let mut inner = self.lock();
        let Inner { host, port } = &mut *inner;
        let now = self.now();
        port.now = now;
        let result = call(now, host, port);
        loop {
            while let Some(deferred) = port.deferred.pop_front() {
                match deferred {
                    Deferred::Returned(id, shot, ending) => {
                        host.returned(now, id, shot, ending, None, false, None, port);
                    }
                    Deferred::Lost(id) => port.over(now, host, id, Ending::Reset, None, None),
                }
            }
            host.rest(now, port);
            if port.deferred.is_empty() {
                break;
            }
        }
        let next = [port.host_wakes, port.due.first().map(|(at, _)| *at)]
            .into_iter()
            .flatten()
            .min();
        if next.is_some() && next != port.armed {
            port.armed = next;
            let _ = self
                .wakes
                .force_send(self.clock.instant(next.unwrap_or(now)));
        }
        if host.waits_for_turn() {
            // Full: the turn is called for already.
            let _ = self.turns.try_send(());
        }
        result
    }

    /// Asks the decisions for those that wait, for a moment. True where some still do: between two
    /// turns all connections are read, so that what nodes and owners say waits for one turn and
    /// not for all set-ups.
    pub fn turn(&self) -> bool {
        self.with(|now, host, port| {
            // In this order: one that has been taken from the queue must have its turn.
            while self.now() < now + TURN
                && let Some(id) = host.next_turn()
            {
                port.catch_up(now, host, id);
                host.ask(now, id, port);
            }
            host.waits_for_turn()
        })
    }

    /// The timer went off.
    pub fn woken(&self) {
        self.with(|now, host, port| {
            port.armed = None;
            if port.host_wakes.is_some_and(|at| at <= now) {
                port.host_wakes = None;
                host.woken(now);
            }
            while let Some(&(at, due)) = port.due.first().filter(|(at, _)| *at <= now) {
                port.due.remove(&(at, due));
                match due {
                    Due::Attempt(id, number) => port.timed_out(now, host, id, number),
                    Due::Cut(id) => port.over(now, host, id, Ending::Cancelled, None, None),
                    Due::Lost(machine) => port.machine_lost(now, host, machine, at),
                    Due::Test(test) => {
                        if let Some((machine, link)) = port.tests.remove(&test) {
                            port.links.retire(link);
                            host.probed(now, machine, Ending::TimedOut, None);
                        }
                    }
                }
            }
        });
    }

    /// An owner has connected. None where there are as many as may be and each has a set-up open.
    pub fn owner_came(&self) -> Option<(OwnerId, Inbox)> {
        let (to, inbox) = outbox();
        self.with(|now, host, port| {
            if port.owners.len() >= port.owners_most && !port.make_way(now, host) {
                return None;
            }
            port.came += 1;
            let id = OwnerId(port.came);
            let owner = Owner {
                to,
                input: None,
                reader: owner::Reader::default(),
                dry: now,
                open: BTreeSet::new(),
                stands: 0,
                came: now,
                heard: now,
                sound: false,
                midway: None,
            };
            port.owners.insert(id, owner);
            Some((id, inbox))
        })
    }

    /// Descriptors have run out.
    pub fn make_way(&self) {
        self.with(|now, host, port| port.make_way(now, host));
    }

    pub fn owner_left(&self, id: OwnerId) {
        self.with(|now, host, port| port.close_owner(now, host, id));
    }

    /// Its connection can be read from here on.
    pub fn owner_input(&self, id: OwnerId, input: Input) {
        let mut inner = self.lock();
        inner
            .port
            .owners
            .get_mut(&id)
            .into_iter()
            .for_each(|owner| owner.input = Some(input.clone()));
    }

    /// Handles the next message of an owner.
    pub fn owner_heard(&self, id: OwnerId) -> Heard {
        self.with(|now, host, port| port.hear(now, host, id))
    }

    /// A message of an owner. False where its connection is to be closed.
    #[cfg(test)]
    pub fn owner_said(&self, id: OwnerId, message: &Message) -> bool {
        self.with(|now, host, port| port.owner_said(now, host, id, message))
    }

    /// Ends of what stood that their owner's connection could not take any longer.
    pub fn retell(&self, words: Vec<Vec<u8>>) {
        self.with(|_, _, port| words.into_iter().for_each(|words| port.tell_any(words)));
    }

    pub fn link_up(&self, id: LinkId) {
        self.with(|now, _, port| port.links.up(id, now));
    }

    /// The first byte of a set-up is about to be written. False where that must not be any more.
    pub fn begins(&self, link: LinkId, attempt: AttemptId) -> bool {
        self.with(|now, host, port| port.begins(now, host, link, attempt))
    }

    pub fn link_ended(&self, id: LinkId, end: End) {
        self.with(|now, host, port| port.drop_link(now, host, id, end));
    }

    /// A message of a node. False where its connection is of no more use.
    pub fn node_said(&self, link: LinkId, message: node::Message) -> bool {
        self.with(|now, host, port| {
            let Some(machine) = port.links.heard(link, now) else {
                return false;
            };
            port.node_said(now, host, link, machine, message)
        })
    }

    pub fn last_event(&self) -> u64 {
        self.lock().port.last_event
    }

    /// The feed has taken our call.
    pub fn watched(&self) {
        self.with(|_, host, _| host.listed(Scope::Changes, &[]));
    }

    pub fn told(&self, event: Event) {
        self.with(|now, host, port| port.apply(now, host, event));
    }

    pub fn list_failed(&self) {
        self.with(|now, host, _| host.list_failed(now));
    }

    /// The file has been replaced: other settings may be in force from here on.
    pub fn reposted(&self, posting: Posting) -> Result<(), String> {
        let cluster = cluster(&posting.settings)?;
        self.with(|now, host, port| {
            let names = |facts: &Facts| -> Vec<String> {
                let classes = facts.classes.iter().map(|class| &class.name);
                let all = classes.chain(facts.tenants.iter().map(|tenant| &tenant.name));
                all.chain(&facts.zones)
                    .chain(&facts.skus)
                    .cloned()
                    .collect()
            };
            if names(&port.facts) != names(&posting.settings) {
                return Err("its classes, tenants, zones or kinds are others".into());
            }
            port.facts = Arc::new(posting.settings);
            host.adopt(now, cluster, IN_HAND);
            Ok(())
        })
    }

    /// Closes what is silent, idle or of no more use, and opens what is missing.
    pub fn sweep(&self) {
        self.with(|now, host, port| port.sweep(now, host));
    }

    /// How much is kept of all that was ever met.
    pub fn kept(&self) -> usize {
        let Inner { host, port } = &*self.lock();
        let words = port.untold.len()
            + port.deferred.len()
            + port.tests.len()
            + port.due.len()
            + port.owed.len();
        let words = words + port.ends.len();
        host.kept() + port.owners.len() + port.nodes.kept() + port.links.kept() + words
    }

    pub fn unanswered(&self) -> usize {
        self.lock().port.owed.len()
    }

    /// Each one that is owed an answer gets it as soon as its attempt out has returned; what comes
    /// from here on is refused at once.
    pub fn stop(&self) {
        self.with(|now, host, port| {
            port.stops = true;
            host.stop(now, port);
        });
    }

    /// The longest that owners wait for an answer, where the settings say.
    pub fn longest_deadline(&self) -> Option<Duration> {
        self.lock().port.facts.longest_deadline().map(duration)
    }

    /// What another file says that the feed has told. Only what follows on what is known already,
    /// or is whole: the rest is told by the feed.
    pub fn known(&self, known: Known) {
        self.with(|now, host, port| {
            for event in known.events {
                let whole = event
                    .members
                    .as_ref()
                    .is_some_and(|members| members.complete);
                if whole || event.n == port.last_event + 1 {
                    port.apply(now, host, event);
                }
            }
        });
    }

    /// Those whose attempts have not returned yet get their answers without. All connections close
    /// once all is written.
    pub fn let_go(&self) {
        self.with(|now, host, port| {
            for (id, shot) in host.unanswered() {
                port.timed_out(now, host, id, shot);
            }
        });
        let mut inner = self.lock();
        inner.port.owners.clear();
        inner.port.links = Links::new(0, 0, 0);
    }
}
