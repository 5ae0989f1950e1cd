//! The core behind a lock and with the clock: what the tasks of the process call.

use crate::core::{Core, Effects, End, Start};
use crate::ids::{AttemptId, LinkId, OwnerId};
use crate::input::{Heard, Input};
use crate::outbox::Inbox;
#[cfg(test)]
use corkspan_platform_wire::client::Message;
use corkspan_platform_wire::discovery::Event;
use corkspan_platform_wire::node;
use corkspan_platform_wire::node_config::{DiscoveryState, NodeConfig};
use corkspan_runtime::clock::{Clock, duration};
use corkspan_scheduler::interface::Ticks;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::time::Duration;

/// So long the decisions are asked for those that wait before the connections are read again.
const TURN: Ticks = 20;

pub struct Desk {
    core: Mutex<Core>,
    clock: Clock,
    /// Where a test sets the time: 0 otherwise.
    #[cfg(test)]
    pub set_time: std::sync::atomic::AtomicU64,
}

impl Desk {
    /// `effects` is what the core asks of the outside, which may call back here.
    pub fn new(
        start: Start,
        clock: Clock,
        effects: impl FnOnce(Weak<Desk>) -> Box<dyn Effects>,
    ) -> Arc<Self> {
        let known = start.known.clone();
        let desk = Arc::new_cyclic(|desk| Desk {
            core: Mutex::new(Core::new(start, clock.now(), effects(desk.clone()))),
            clock,
            #[cfg(test)]
            set_time: std::sync::atomic::AtomicU64::new(0),
        });
        desk.enter(|core, now| core.known_at_start(now, known));
        desk
    }

    fn now(&self) -> Ticks {
        #[cfg(test)]
        if let at @ 1.. = self.set_time.load(std::sync::atomic::Ordering::Relaxed) {
            return at;
        }
        self.clock.now()
    }

    pub fn lock(&self) -> MutexGuard<'_, Core> {
        // A panic under the lock would leave the books in doubt: go down with it rather than guess.
        self.core.lock().expect("the desk's books are whole")
    }

    /// Calls in with the time, which is taken under the lock: it never goes back between two calls.
    pub fn enter<R>(&self, call: impl FnOnce(&mut Core, Ticks) -> R) -> R {
        let mut core = self.lock();
        let now = self.now();
        call(&mut core, now)
    }

    /// Sets going what is to be done from the start on.
    pub fn begin(&self) {
        self.enter(|core, now| core.begin(now))
    }

    /// Asks the decisions for those that wait, for a moment. True where some still do: between two
    /// turns all connections are read, so that what nodes and owners say waits for one turn and
    /// not for all set-ups.
    pub fn turn(&self) -> bool {
        self.enter(|core, now| core.turn(now, || self.now() < now + TURN))
    }

    /// The timer went off.
    pub fn woken(&self) {
        self.enter(|core, now| core.woken(now))
    }

    /// An owner has connected. None where there are as many as may be and each has a set-up open.
    pub fn owner_came(&self) -> Option<(OwnerId, Inbox)> {
        self.enter(|core, now| core.owner_came(now))
    }

    /// Descriptors have run out.
    pub fn make_way(&self) {
        self.enter(|core, now| core.make_way(now))
    }

    pub fn owner_left(&self, id: OwnerId) {
        self.enter(|core, now| core.owner_left(now, id))
    }

    /// Its connection can be read from here on.
    pub fn owner_input(&self, id: OwnerId, input: Input) {
        self.lock().owner_input(id, input);
    }

    /// Handles the next message of an owner.
    pub fn owner_heard(&self, id: OwnerId) -> Heard {
        self.enter(|core, now| core.owner_heard(now, id))
    }

    /// A message of an owner. False where its connection is to be closed.
    #[cfg(test)]
    pub fn owner_said(&self, id: OwnerId, message: &Message) -> bool {
        self.enter(|core, now| core.owner_said(now, id, message))
    }

    /// Ends of what stood that their owner's connection could not take any longer.
    pub fn retell(&self, words: Vec<Vec<u8>>) {
        self.enter(|core, now| core.retell(now, words))
    }

    pub fn link_up(&self, id: LinkId) {
        self.enter(|core, now| core.link_up(now, id))
    }

    /// The first byte of a set-up is about to be written. False where that must not be any more.
    pub fn begins(&self, link: LinkId, attempt: AttemptId) -> bool {
        self.enter(|core, now| core.begins(now, link, attempt))
    }

    pub fn link_ended(&self, id: LinkId, end: End) {
        self.enter(|core, now| core.link_ended(now, id, end))
    }

    /// A message of a node. False where its connection is of no more use.
    pub fn node_said(&self, link: LinkId, message: node::Message) -> bool {
        self.enter(|core, now| core.node_said(now, link, message))
    }

    pub fn last_event(&self) -> u64 {
        self.lock().last_event()
    }

    /// The feed has taken our call.
    pub fn watched(&self) {
        self.enter(|core, now| core.watched(now))
    }

    pub fn told(&self, event: Event) {
        self.enter(|core, now| core.told(now, event))
    }

    pub fn list_failed(&self) {
        self.enter(|core, now| core.list_failed(now))
    }

    /// The file has been replaced: other settings may be in force from here on.
    pub fn reposted(&self, posting: NodeConfig) -> Result<(), String> {
        self.enter(|core, now| core.reposted(now, posting))
    }

    /// Closes what is silent, idle or of no more use, and opens what is missing.
    pub fn sweep(&self) {
        self.enter(|core, now| core.sweep(now))
    }

    /// How much is kept of all that was ever met.
    pub fn kept(&self) -> usize {
        self.lock().kept()
    }

    pub fn unanswered(&self) -> usize {
        self.lock().unanswered()
    }

    /// Each one that is owed an answer gets it as soon as its attempt out has returned; what comes
    /// from here on is refused at once.
    pub fn stop(&self) {
        self.enter(|core, now| core.stop(now))
    }

    /// The longest that owners wait for an answer, where the settings say.
    pub fn longest_deadline(&self) -> Option<Duration> {
        self.lock().longest_deadline().map(duration)
    }

    /// What another file says that the feed has told. Only what follows on what is known already,
    /// or is whole: the rest is told by the feed.
    pub fn known(&self, known: DiscoveryState) {
        self.enter(|core, now| core.known(now, known))
    }

    /// Those whose attempts have not returned yet get their answers without. All connections close
    /// once all is written.
    pub fn let_go(&self) {
        self.enter(|core, now| core.let_go(now))
    }
}
