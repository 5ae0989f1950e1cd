//! Where everything meets: the host with its decisions, what it holds for owners, and the ways out. Whoever reads
//! a message calls in here directly; the answers are on their way before the call returns.

use crate::links::{self, End};
use crate::nodes::{Links, Nodes, Takes};
use crate::outbox::{Inbox, Outbox, outbox};
use corkspan::interface::*;
use corkspan_facts::Facts;
use corkspan_host::{Asked, Host, Slice, Wire, service};
use corkspan_platform_wire::feed::Event;
use corkspan_platform_wire::file::Posting;
use corkspan_platform_wire::node::{self, Value};
use corkspan_platform_wire::owner::{self, Kind, Message, SetUp};
use corkspan_platform_wire::report;
use corkspan_runtime::Tasks;
use corkspan_runtime::clock::{Clock, duration};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Instant;
use tracing::{debug, info};

#[cfg(test)]
mod bounds;

/// A connection of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerId(u64);

/// A connection to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkId(pub u64);

const SECOND: Tenths = 10_000;
/// So long the decisions are asked for those that wait before the connections are read again.
const TURN: Tenths = 20;
/// Allocations in hand at a time, those that stand among them.
const IN_HAND: usize = 8_192;
/// Open set-ups of one connection.
const OPEN_A_CONNECTION: usize = 256;
/// An owner's connection that has said nothing whole and sound is closed after so long: within 3 s it must be.
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
/// So long a node with tasks goes unheard before it takes the place of another with tasks. The decisions test a silent
/// node each second and give up what stands there after 5 s: of its tests at least one must find a connection.
const UNHEARD: Tenths = SECOND;
/// Ends that nodes told of tasks which nobody here knows: after a start they may be handed over a moment later.
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

/// A shot that is out, or stands.
#[derive(Clone, Copy, Debug)]
struct Out {
    number: usize,
    machine: MachineId,
    link: Option<LinkId>,
    sent: Tenths,
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
}

/// An owner's connection.
struct Owner {
    to: Outbox,
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
    /// A shot's time is up.
    Shot(AllocationId, usize),
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
}

/// The control feed must be asked for, whatever the settings say of another way, and nobody tells of a machine
/// that has vanished.
fn cluster(facts: &Facts) -> Result<Cluster, String> {
    let cluster = facts.cluster()?;
    Ok(Cluster { ask_list: cluster.ask_list.or(Some(0)), tells_loss: false, ..cluster })
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
    ) -> Result<Arc<Self>, String> {
        let clock = Clock::start();
        let (now, seed) = (clock.now(), posting.chance().map_err(|why| why.to_string())?);
        let cluster = cluster(&posting.settings)?;
        let limits = &posting.settings.limits;
        let time = |us: Option<u64>, absent| us.map_or(absent, corkspan_facts::tenths);
        let links = Links::new(
            posting.limits.sockets / 3,
            time(limits.connect_timeout_us, SECOND / 4),
            // Closed by us well before the node does it: a set-up that crosses that would have been in vain.
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
                    owners_most: posting.limits.sockets / 2,
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
                    facts: Arc::new(posting.settings),
                },
            }),
            clock,
            tasks: Arc::clone(tasks),
            wakes,
            watches,
            turns,
        });
        desk.with(|now, host, port| {
            known.events.into_iter().for_each(|event| port.apply(now, host, event));
            port.last_event = port.last_event.max(known.n);
        });
        Ok(desk)
    }

    /// Sets going what is to be done from the start on.
    pub fn begin(&self) {
        self.with(|_, _, _| ());
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic under the lock would leave the books in doubt: go down with it rather than guess.
        self.inner.lock().expect("the desk's books are whole")
    }

    /// Hands something over and sets going what follows from it.
    fn with<R>(&self, call: impl FnOnce(Tenths, &mut Host<Placing>, &mut Port) -> R) -> R {
        let mut inner = self.lock();
        let Inner { host, port } = &mut *inner;
        let now = self.clock.now();
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
        let next = [port.host_wakes, port.due.first().map(|(at, _)| *at)].into_iter().flatten().min();
        if next.is_some() && next != port.armed {
            port.armed = next;
            let _ = self.wakes.force_send(self.clock.instant(next.unwrap_or(now)));
        }
        if host.waits_for_turn() {
            // Full: the turn is called for already.
            let _ = self.turns.try_send(());
        }
        result
    }

    /// Asks the decisions for those that wait, for a moment. True where some still do: between two turns all
    /// connections are read, so that what nodes and owners say waits for one turn and not for all set-ups.
    pub fn turn(&self) -> bool {
        self.with(|now, host, port| {
            while host.turn(now, port) && self.clock.now() < now + TURN {}
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
                    Due::Shot(id, shot) => port.timed_out(now, host, id, shot),
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
            let (open, stands, sound, midway) = (BTreeSet::new(), 0, false, None);
            port.owners.insert(id, Owner { to, open, stands, came: now, heard: now, sound, midway });
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

    pub fn owner_midway(&self, id: OwnerId, midway: bool) {
        let mut inner = self.lock();
        let now = self.clock.now();
        if let Some(owner) = inner.port.owners.get_mut(&id) {
            owner.midway = midway.then(|| owner.midway.unwrap_or(now));
        }
    }

    /// A message of an owner. False where its connection is to be closed.
    pub fn owner_said(&self, id: OwnerId, message: &Message) -> bool {
        self.with(|now, host, port| {
            let Some(owner) = port.owners.get_mut(&id) else { return false };
            owner.midway = None;
            let sound = match message.kind {
                Kind::SetUp => port.set_up(now, host, id, message),
                Kind::Release => Ok(port.owner_released(now, host, message)),
                Kind::Test => {
                    port.say(id, Kind::Tested, message.task, &[(owner::CAUSE, &[1])]);
                    Ok(true)
                }
                Kind::Progress | Kind::Heard => Ok(false),
                Kind::Answer | Kind::Note | Kind::Move | Kind::Tested => Err(()),
            };
            let Ok(sound) = sound else {
                debug!(?id, ?message.kind, "closing an owner's connection that says what no owner says");
                return false;
            };
            if let Some(owner) = port.owners.get_mut(&id).filter(|_| sound) {
                (owner.sound, owner.heard) = (true, now);
                while port.untold.front().is_some_and(|words| owner.to.send(words.clone())) {
                    port.untold.pop_front();
                }
            }
            port.owners.contains_key(&id)
        })
    }

    pub fn link_up(&self, id: LinkId) {
        self.with(|now, _, port| port.links.up(id, now));
    }

    pub fn link_writes(&self, id: LinkId) {
        let mut inner = self.lock();
        inner.port.links.writes(id);
    }

    pub fn link_ended(&self, id: LinkId, end: End) {
        self.with(|now, host, port| port.drop_link(now, host, id, end));
    }

    /// A message of a node. False where its connection is of no more use.
    pub fn node_said(&self, link: LinkId, message: node::Message) -> bool {
        self.with(|now, host, port| {
            let Some(machine) = port.links.heard(link, now) else { return false };
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
                all.chain(&facts.zones).chain(&facts.skus).cloned().collect()
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
        let words =
            port.untold.len() + port.deferred.len() + port.tests.len() + port.due.len() + port.owed.len();
        let words = words + port.ends.len();
        host.kept() + port.owners.len() + port.nodes.kept() + port.links.kept() + words
    }

    pub fn unanswered(&self) -> usize {
        self.lock().port.owed.len()
    }

    /// Each one that is owed an answer gets it as soon as its shot out has returned.
    pub fn stop(&self) {
        self.with(|now, host, port| host.stop(now, port));
    }

    /// Those whose shots have not returned yet get theirs without. All connections close once all is written.
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

impl Port {
    /// Looks for connections that are silent, idle or missing.
    fn sweep(&mut self, now: Tenths, host: &mut Host<Placing>) {
        let useless = |owner: &Owner| {
            let silent = !owner.sound && owner.came + SILENT <= now;
            let cut = owner.midway.is_some_and(|since| since + SILENT <= now);
            let idle = owner.open.is_empty() && owner.stands == 0 && owner.heard + IDLE <= now;
            silent || cut || idle
        };
        let closed: Vec<OwnerId> =
            self.owners.iter().filter(|(_, owner)| useless(owner)).map(|(&id, _)| id).collect();
        closed.into_iter().for_each(|id| self.close_owner(now, host, id));
        self.links.close_idle(now, &self.nodes);
        for (since, machine) in self.nodes.unheard(&self.links, now) {
            let takes = if since + UNHEARD <= now { Takes::Any } else { Takes::Spare };
            self.open_link(machine, takes);
        }
    }

    fn say(&mut self, to: OwnerId, kind: Kind, task: u64, parameters: &[(u8, &[u8])]) -> bool {
        let Some(bytes) = owner::message(kind, task, parameters) else { return false };
        self.owners.get(&to).is_some_and(|owner| owner.to.send(bytes))
    }

    /// The end of what stood: on the connection of its set-up, else on any, else on the next that comes.
    fn say_over(&mut self, to: OwnerId, kind: Kind, task: u64, parameters: &[(u8, &[u8])]) {
        if self.say(to, kind, task, parameters) {
            return;
        }
        let mut others: Vec<(Tenths, OwnerId)> = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.sound)
            .map(|(&id, owner)| (owner.heard, id))
            .collect();
        others.sort();
        if others.into_iter().rev().any(|(_, other)| self.say(other, kind, task, parameters)) {
            return;
        }
        if let Some(bytes) = owner::message(kind, task, parameters).filter(|_| self.untold.len() < UNTOLD) {
            self.untold.push_back(bytes);
        }
    }

    /// The final answer; true where one was owed.
    fn answer(&mut self, placing: &mut Placing, id: AllocationId, stage: Stage) -> bool {
        if let Some(owner) = self.owners.get_mut(&placing.owner) {
            owner.open.remove(&placing.task);
            owner.heard = self.now;
            owner.stands += usize::from(stage == Stage::Stands);
        }
        let owed = placing.stage == Stage::Asked;
        placing.stage = stage;
        self.owed.remove(&id) && owed
    }

    /// It stands no longer.
    fn stood(&mut self, placing: &mut Placing) -> bool {
        let stood = placing.stage == Stage::Stands;
        if stood {
            placing.stage = Stage::Over;
            if let Some(owner) = self.owners.get_mut(&placing.owner) {
                owner.stands = owner.stands.saturating_sub(1);
                owner.heard = self.now;
            }
        }
        stood
    }

    /// Closes the owner's connection that is of the least use: silent ones first, then idle ones.
    fn make_way(&mut self, now: Tenths, host: &mut Host<Placing>) -> bool {
        let free = self.owners.iter().filter(|(_, owner)| owner.open.is_empty());
        let least = free.min_by_key(|(_, owner)| (owner.sound, owner.stands > 0, owner.heard));
        let Some(id) = least.map(|(&id, _)| id) else { return false };
        self.close_owner(now, host, id);
        true
    }

    fn close_owner(&mut self, now: Tenths, host: &mut Host<Placing>, id: OwnerId) {
        let Some(owner) = self.owners.remove(&id) else { return };
        for task in owner.open {
            if let Some(id) = host.find(&sid(task)) {
                self.give_up(now, host, id);
            }
        }
    }

    /// The owner waits no longer: no answer is owed, and what is out is given up.
    fn give_up(&mut self, now: Tenths, host: &mut Host<Placing>, id: AllocationId) {
        let Some((placing, _)) = host.own(id) else { return };
        self.answer(placing, id, Stage::Over);
        let Some(out) = placing.out.take() else { return host.finish(id) };
        let task = placing.task;
        self.take_back(id, out, task);
        host.returned(now, id, out.number, Ending::Cancelled, None, true, None, self);
    }

    /// Tells the node that a set-up is given up.
    fn take_back(&mut self, id: AllocationId, out: Out, task: u64) {
        self.due.retain(|(_, due)| *due != Due::Shot(id, out.number));
        if let Some(link) = out.link {
            let message = node::Message::new(node::Kind::Close, task).code(u32::from(owner::CAUSE_GIVEN_UP));
            self.links.done(link, id, self.now);
            if !self.links.take_back(link, task) {
                self.links.send(link, &message);
            }
        }
    }

    fn timed_out(&mut self, now: Tenths, host: &mut Host<Placing>, id: AllocationId, shot: usize) {
        let Some((placing, _)) = host.own(id) else { return };
        let Some(out) = placing.out.filter(|out| out.number == shot && placing.stage != Stage::Stands) else {
            return;
        };
        placing.out = None;
        let task = placing.task;
        let up = out.link.is_some_and(|link| self.links.wrote(link));
        self.take_back(id, out, task);
        let ending = if up { Ending::TimedOut } else { Ending::Unconnected };
        host.returned(now, id, shot, ending, None, false, None, self);
        // It may be one that is open and will stay silent for good.
        if let Some(link) = out.link {
            self.links.retire(link);
        }
    }

    /// Err where the connection must be closed, else whether the message could be used.
    fn set_up(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        from: OwnerId,
        message: &Message,
    ) -> Result<bool, ()> {
        let known = host.find(&sid(message.task));
        let open = self.owners.get(&from).map_or(0, |owner| owner.open.len());
        let mine = self.owners.get(&from).is_some_and(|owner| owner.open.contains(&message.task));
        let (set_up, asked) = match SetUp::read(message).map_err(|why| why.to_string()).and_then(|set_up| {
            let asked = self.asked(now, &set_up)?;
            Ok((set_up, asked))
        }) {
            Ok(read) => read,
            // Under the id of one that is open no answer could be told from that one's.
            Err(_) if mine => return Err(()),
            Err(why) => {
                debug!(%why, "a set-up that can't be used");
                self.say(from, Kind::Release, message.task, &[(owner::CAUSE, &[owner::CAUSE_FAILED])]);
                return Ok(false);
            }
        };
        if known.is_some() && set_up.at.is_some() {
            return Ok(true);
        }
        if mine {
            return Err(());
        }
        let refused = |port: &mut Port, cause: u8| {
            port.say(from, Kind::Release, message.task, &[(owner::CAUSE, &[cause])]);
            Ok(false)
        };
        if known.is_some() {
            return refused(self, owner::CAUSE_FAILED);
        }
        if open >= OPEN_A_CONNECTION {
            return refused(self, owner::CAUSE_REFUSED);
        }
        let mut placing = Placing {
            task: set_up.task,
            owner: from,
            class: set_up.class,
            name: set_up.name,
            mark: set_up.mark,
            description: set_up.description,
            until: asked.abandon + ON_THE_WAY,
            stage: Stage::Asked,
            out: None,
        };
        if let Some(at) = set_up.at {
            let ended =
                |machine| self.ends.iter().any(|&(_, task, on)| (task, on) == (message.task, machine));
            let Some(machine) = self.nodes.find(&at).filter(|&machine| !ended(machine)) else {
                // It has gone, and the task with it; or its node has told the end already, on the connection that
                // another handed over before had opened, and tells it to this process no more.
                self.say(from, Kind::Release, message.task, &[(owner::CAUSE, &[41])]);
                return Ok(true);
            };
            placing.stage = Stage::Stands;
            placing.description = String::new();
            placing.out = Some(Out { number: 0, machine, link: None, sent: now });
            if let Ok(id) = host.take_running(now, &sid(message.task), asked, machine, placing) {
                self.nodes.stands(machine, id);
                self.owners.get_mut(&from).into_iter().for_each(|owner| owner.stands += 1);
                if self.links.of(machine).is_empty() {
                    self.open_link(machine, Takes::Spare);
                }
            }
            return Ok(true);
        }
        match host.take(now, &sid(message.task), asked, placing) {
            Ok(id) => {
                self.owed.insert(id);
                self.owners.get_mut(&from).into_iter().for_each(|owner| {
                    owner.open.insert(message.task);
                });
                host.place(now, id, self);
                Ok(true)
            }
            Err(_) => refused(self, owner::CAUSE_REFUSED),
        }
    }

    /// What a set-up is to the decisions, or what is wrong with it.
    fn asked(&self, now: Tenths, set_up: &SetUp) -> Result<Asked, String> {
        let facts = &self.facts;
        let track = facts.classes.iter().position(|class| class.name == set_up.class);
        let account = match &set_up.tenant {
            None => Some(0),
            Some(name) => facts.tenants.iter().position(|tenant| tenant.name == *name),
        };
        // A task that stands already has no deadline: what is told as time left there means nothing.
        let left_ms = if set_up.at.is_some() { LONGEST } else { set_up.left_ms };
        if left_ms == 0 || left_ms > LONGEST {
            return Err(format!("no owner waits for {left_ms} ms"));
        }
        if [&set_up.name, &set_up.service].iter().any(|text| text.len() > 256) {
            return Err("a name of over 256 bytes".into());
        }
        let track = track.ok_or_else(|| format!("no class `{:.40}`", set_up.class))?;
        if facts.keyed(track) && set_up.mark.is_none() && set_up.at.is_none() {
            return Err("no key, which its class needs".into());
        }
        let asks = Amount { cores: set_up.cores, memory: set_up.memory };
        // More than any machine accepts would only spoil what is learnt of asks.
        if !facts.largest().is_some_and(|largest| asks.within(largest)) {
            return Err(format!("{} cores and {} of memory fit on no machine", asks.cores, asks.memory));
        }
        let left = left_ms * 10;
        Ok(Asked {
            service: service(&set_up.service),
            track: TrackId(track),
            account: AccountId(account.ok_or("no such tenant")?),
            asks,
            abandon: now + left - ON_THE_WAY.min(left / 2),
        })
    }

    /// An owner gives a set-up up, or ends its task. False where nothing of that id is in hand.
    fn owner_released(&mut self, now: Tenths, host: &mut Host<Placing>, message: &Message) -> bool {
        let Some(id) = host.find(&sid(message.task)) else { return false };
        let Some((placing, _)) = host.own(id) else { return false };
        match placing.stage {
            Stage::Asked => self.give_up(now, host, id),
            Stage::Stands => {
                let cause = u32::from(message.cause().unwrap_or(owner::CAUSE_GIVEN_UP));
                self.stood(placing);
                let out = placing.out;
                self.cut(now, id, message.task, out, cause);
                host.finish(id);
            }
            Stage::Over => {}
        }
        true
    }

    /// Has the node cut a task that stands.
    fn cut(&mut self, now: Tenths, id: AllocationId, task: u64, out: Option<Out>, cause: u32) {
        if let Some(out) = out {
            let message = node::Message::new(node::Kind::Close, task).code(cause);
            self.tell_node(out.machine, out.link, &message, Takes::Any);
        }
        self.due.insert((now + CUT_WITHIN, Due::Cut(id)));
    }

    /// On the connection given, if it stands, else on any other to that machine.
    fn tell_node(
        &mut self,
        machine: MachineId,
        link: Option<LinkId>,
        message: &node::Message,
        takes: Takes,
    ) -> Option<LinkId> {
        if let Some(link) = link.filter(|&link| self.links.stands(link)) {
            self.links.send(link, message);
            return Some(link);
        }
        let link = self.links.of(machine).first().copied().or_else(|| self.open_link(machine, takes))?;
        self.links.send(link, message);
        Some(link)
    }

    /// Tasks may stand on more nodes than there may be connections, and none owns one. So where the table is full
    /// another gives way.
    fn open_link(&mut self, machine: MachineId, takes: Takes) -> Option<LinkId> {
        let desk = self.desk.upgrade()?;
        let address = self.nodes.address(machine)?;
        if self.links.full() && !self.links.crowded(machine) {
            // One that a test is out on would count against its node.
            let tested: BTreeSet<LinkId> = self.tests.values().map(|&(_, link)| link).collect();
            self.links.make_place(&self.nodes, &tested, takes);
        }
        let (id, inbox, within) = self.links.open(machine, self.now)?;
        let tasks = Arc::clone(&desk.tasks);
        tasks.spawn(links::run(desk, id, address, duration(within), inbox)).detach();
        Some(id)
    }

    /// What was open on a connection that has ended is told, and what stands on a dead machine.
    fn drop_link(&mut self, now: Tenths, host: &mut Host<Placing>, id: LinkId, end: End) {
        let Some(link) = self.links.remove(id) else { return };
        debug!(?link.machine, ?end, open = link.open.len(), "a connection to a node has ended");
        let ending = if link.wrote { Ending::Reset } else { Ending::Unconnected };
        for allocation in link.open {
            let Some((placing, _)) = host.own(allocation) else { continue };
            let Some(out) = placing.out.take_if(|out| out.link == Some(id)) else { continue };
            self.due.retain(|(_, due)| *due != Due::Shot(allocation, out.number));
            host.returned(now, allocation, out.number, ending, None, false, None, self);
        }
        let tests: Vec<u64> =
            self.tests.iter().filter(|(_, (_, on))| *on == id).map(|(&test, _)| test).collect();
        for test in tests {
            self.tests.remove(&test);
            self.due.retain(|(_, due)| *due != Due::Test(test));
            host.probed(now, link.machine, Ending::Unconnected, None);
        }
        if end == End::Refused && self.nodes.refused(link.machine) {
            self.due.insert((now + UNREACHABLE, Due::Lost(link.machine)));
        } else if end == End::Refused {
            // The process is dead, and its tasks are cut.
            self.machine_lost(now, host, link.machine, Tenths::MAX);
        } else if self.links.of(link.machine).is_empty()
            && self.nodes.holds(link.machine)
            && end == End::Broke
        {
            // What stands there is told on the next connection.
            self.open_link(link.machine, Takes::Spare);
        }
    }

    /// Tasks sent there before then are over.
    fn machine_lost(&mut self, now: Tenths, host: &mut Host<Placing>, machine: MachineId, before: Tenths) {
        for id in self.nodes.standing(machine) {
            let sent = host.own(id).and_then(|(placing, _)| placing.out).map_or(0, |out| out.sent);
            if sent < before {
                self.over(now, host, id, Ending::Reset, None, None);
            }
        }
    }

    /// What stood is over: its owner is told, where it is owed that.
    fn over(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        id: AllocationId,
        ending: Ending,
        reason: Option<Reason>,
        report: Option<Report>,
    ) {
        let Some((placing, _)) = host.own(id) else { return };
        let Some(out) = placing.out.take() else { return };
        let (task, to) = (placing.task, placing.owner);
        self.due.retain(|(_, due)| *due != Due::Cut(id));
        debug!(task = sid(task), machine = ?out.machine, ?ending, ?reason, "over");
        if self.stood(placing) && ending != Ending::Cancelled {
            let cause = if ending == Ending::Ended { 16 } else { 41 };
            self.say_over(to, Kind::Release, task, &[(owner::CAUSE, &[cause])]);
        }
        self.nodes.stands_no_more(out.machine, id);
        host.returned(now, id, out.number, ending, reason, true, report, self);
    }

    fn node_said(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        link: LinkId,
        machine: MachineId,
        message: node::Message,
    ) -> bool {
        let Some(task) = message.sid else { return true };
        if message.kind == node::Kind::Probed {
            if let Some((machine, _)) = self.tests.remove(&task) {
                self.due.retain(|(_, due)| *due != Due::Test(task));
                let ending = if message.code == Some(1) { Ending::Ended } else { Ending::Error };
                host.probed(now, machine, ending, load(&message));
            }
            return true;
        }
        let found = host.find(&sid(task)).and_then(|id| {
            let (placing, _) = host.own(id)?;
            let out = placing.out.filter(|out| out.machine == machine)?;
            Some((id, out, placing.stage))
        });
        match (message.kind, found) {
            (node::Kind::Ready, Some((id, out, Stage::Asked))) if out.link == Some(link) => {
                let Some(description) = message.text else { return false };
                self.ready(now, host, id, out, &description);
            }
            // One that was given up meanwhile: nobody waits for it.
            (node::Kind::Ready, None) => {
                let message = node::Message::new(node::Kind::Close, task);
                self.links.send(link, &message.code(u32::from(owner::CAUSE_GIVEN_UP)));
            }
            (node::Kind::Close, found) => {
                self.links.send(link, &node::Message::new(node::Kind::Closed, task));
                let (code, load) = (message.code.unwrap_or(0), load(&message));
                let (stage, note) = (found.map(|(_, _, stage)| stage), message.attr("note"));
                debug!(task = sid(task), ?machine, code, ?stage, ?note, ?load, "closed by its node");
                match found {
                    Some((id, out, Stage::Asked)) => {
                        let ending = match code {
                            34 => Ending::Refused,
                            47 => Ending::Error,
                            102 => Ending::NotSent,
                            _ => Ending::Reset,
                        };
                        if let Some((placing, _)) = host.own(id) {
                            placing.out = None;
                        }
                        self.due.retain(|(_, due)| *due != Due::Shot(id, out.number));
                        out.link.into_iter().for_each(|link| self.links.done(link, id, now));
                        host.returned(now, id, out.number, ending, reason(&message), false, load, self);
                    }
                    Some((id, _, _)) => {
                        let ending = match code {
                            16 => Ending::Ended,
                            31 => Ending::Cancelled,
                            _ => Ending::Reset,
                        };
                        self.over(now, host, id, ending, reason(&message), load);
                    }
                    None => self.keep_end(now, task, machine),
                }
            }
            (node::Kind::Closed, Some((id, _, Stage::Over))) => {
                self.over(now, host, id, Ending::Cancelled, None, None);
            }
            (node::Kind::Event, Some((id, _, _))) => {
                let value = message.attr("value").and_then(Value::number);
                let note = match (message.attr("note").and_then(Value::text), value) {
                    (Some("running"), _) => Note::Runs,
                    (Some("use_cpu"), Some(value)) => Note::Cores(value),
                    (Some("use_ram"), Some(value)) => Note::Memory(value),
                    (Some("health"), Some(value)) => Note::Served(value),
                    (Some("ram_high"), Some(value)) => Note::MachineMemory(value),
                    _ => return true,
                };
                debug!(task = sid(task), ?machine, ?note, "noted");
                host.noted(now, id, note);
            }
            _ => {}
        }
        true
    }

    fn keep_end(&mut self, now: Tenths, task: u64, machine: MachineId) {
        while self.ends.front().is_some_and(|&(at, _, _)| self.ends.len() >= ENDS || at + ENDS_FOR <= now) {
            self.ends.pop_front();
        }
        self.ends.push_back((now, task, machine));
    }

    fn ready(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        id: AllocationId,
        out: Out,
        description: &str,
    ) {
        self.due.retain(|(_, due)| *due != Due::Shot(id, out.number));
        out.link.into_iter().for_each(|link| self.links.done(link, id, now));
        if !host.placed(now, id, out.number, self) {
            return;
        }
        let Some((placing, _)) = host.own(id) else { return };
        if now >= placing.until {
            // The owner has given up: an answer now would be one too late.
            self.answer(placing, id, Stage::Over);
            let task = placing.task;
            self.cut(now, id, task, Some(out), u32::from(owner::CAUSE_GIVEN_UP));
            return host.finish(id);
        }
        self.answer(placing, id, Stage::Stands);
        placing.description = String::new();
        let (to, task) = (placing.owner, placing.task);
        self.nodes.stands(out.machine, id);
        debug!(task = sid(task), machine = ?out.machine, after = now - out.sent, "placed");
        self.say(to, Kind::Answer, task, &[(owner::DESCRIPTION, description.as_bytes())]);
    }

    /// A change to the list of nodes, once each.
    fn apply(&mut self, now: Tenths, host: &mut Host<Placing>, event: Event) {
        if event.n <= self.last_event {
            return;
        }
        self.last_event = event.n;
        let Some(members) = event.members else { return };
        let listed = self.nodes.listed(&members, &self.facts);
        let scope = if listed.whole { Scope::Whole } else { Scope::Changes };
        host.listed(scope, &listed.entries);
        for machine in listed.gone {
            info!(?machine, "a node has gone");
            self.machine_lost(now, host, machine, Tenths::MAX);
            for link in self.links.of(machine) {
                self.drop_link(now, host, link, End::NotUp);
            }
            self.nodes.forget(machine);
        }
        for (machine, started) in listed.restarted {
            self.machine_lost(now, host, machine, started);
        }
    }
}

fn load(message: &node::Message) -> Option<Report> {
    let pairs = report(message.attr("load")?.text()?).ok()?;
    let value = |name| pairs.iter().find(|(other, _)| *other == name).map(|&(_, value)| value);
    Some(Report { unused: Amount { cores: value("x0")?, memory: value("x1")? } })
}

fn reason(message: &node::Message) -> Option<Reason> {
    Some(match message.attr("note")?.text()? {
        "lack_cpu" => Reason::NoCores,
        "lack_ram" => Reason::NoMemory,
        "backlog" => Reason::QueueFull,
        "unfit" => Reason::NotHere,
        "killed" => Reason::Evicted,
        "displaced" => Reason::PushedOut,
        "dismissed" => Reason::SentAway,
        _ => return None,
    })
}

impl Wire<Placing> for Port {
    fn send(&mut self, placing: &mut Placing, allocation: &Allocation, machine: MachineId, time_out: Tenths) {
        let (id, number) = (allocation.id, allocation.shots.len());
        let mut message = node::Message::new(node::Kind::Open, placing.task);
        let text = |text: &str| Value::Text(text.into());
        message.attrs.insert("class".into(), text(&placing.class));
        message.attrs.insert("key".into(), text(&placing.name));
        message.attrs.insert("left".into(), text(&(time_out / 10).to_string()));
        if let Some(mark) = &placing.mark {
            message.attrs.insert("idem".into(), text(mark));
        }
        message.text = Some(placing.description.clone());
        let free = self.links.free(machine, self.now);
        let link = free.or_else(|| self.open_link(machine, Takes::Any)).or_else(|| self.links.least(machine));
        let Some(link) = link.filter(|&link| self.links.send_set_up(link, placing.task, &message)) else {
            return self.deferred.push_back(Deferred::Returned(id, number, Ending::NotSent));
        };
        self.links.begin(link, id, self.now);
        placing.out = Some(Out { number, machine, link: Some(link), sent: self.now });
        self.due.insert((self.now + time_out, Due::Shot(id, number)));
        let Placing { task, class, name, description, .. } = placing;
        debug!(task = sid(*task), ?machine, number, class, name, description, time_out, "sent");
    }

    fn shed(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.shots, "shed");
            let cause = [owner::CAUSE_REFUSED];
            self.say(placing.owner, Kind::Release, placing.task, &[(owner::CAUSE, &cause)]);
        }
    }

    fn scrap(&mut self, placing: &mut Placing, allocation: &Allocation) {
        if self.answer(placing, allocation.id, Stage::Over) {
            debug!(task = sid(placing.task), shots = ?allocation.shots, "scrapped");
            let cause = [owner::CAUSE_FAILED];
            self.say(placing.owner, Kind::Release, placing.task, &[(owner::CAUSE, &cause)]);
        }
    }

    fn relocate(&mut self, placing: &mut Placing, allocation: &Allocation) {
        debug!(task = sid(placing.task), "moved away");
        if self.stood(placing) {
            self.say_over(placing.owner, Kind::Move, placing.task, &[]);
            self.due.insert((self.now + CUT_WITHIN, Due::Cut(allocation.id)));
        }
    }

    fn lost(&mut self, _: &mut Placing, allocation: &Allocation) {
        self.deferred.push_back(Deferred::Lost(allocation.id));
    }

    fn probe(&mut self, machine: MachineId) {
        self.last_test = self.last_test.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let message = node::Message::new(node::Kind::Probe, self.last_test).code(0);
        if let Some(link) = self.tell_node(machine, None, &message, Takes::Spare) {
            self.tests.insert(self.last_test, (machine, link));
            self.due.insert((self.now + TEST_WITHIN, Due::Test(self.last_test)));
        }
    }

    fn watch_list(&mut self) {
        if let Some(desk) = self.desk.upgrade() {
            // Full: one is asked for already.
            let _ = desk.watches.try_send(());
        }
    }

    fn wake(&mut self, after: Tenths) {
        let at = self.now + after;
        self.host_wakes = Some(self.host_wakes.map_or(at, |other| other.min(at)));
    }
}
