//! What the outside tells the core. Whoever reads a message, or finds that a connection has ended,
//! calls in here directly.

use super::*;
use corkspan_platform_wire::client::Reader;

impl Core {
    /// Takes over what the file says at the start that the feed has told.
    pub fn known_at_start(&mut self, now: Ticks, known: DiscoveryState) {
        self.with(now, |host, port| {
            known
                .events
                .into_iter()
                .for_each(|event| port.apply(now, host, event));
            port.last_event = port.last_event.max(known.last_event);
        });
    }

    /// Sets going what is to be done from the start on.
    pub fn begin(&mut self, now: Ticks) {
        self.with(now, |_, _| ());
    }

    /// Asks the decisions for those that wait, for a moment. True where some still do: between two
    /// turns all connections are read, so that what nodes and owners say waits for one turn and
    /// not for all set-ups.
    pub fn turn(&mut self, now: Ticks, has_time: impl Fn() -> bool) -> bool {
        self.with(now, |host, port| {
            // In this order: one that has been taken from the queue must have its turn.
            while has_time()
                && let Some(id) = host.next_turn()
            {
                port.catch_up(now, host, id);
                host.ask(now, id, port);
            }
            host.waits_for_turn()
        })
    }

    /// The timer went off.
    pub fn woken(&mut self, now: Ticks) {
        self.with(now, |host, port| {
            port.armed = None;
            if port.host_wakes.is_some_and(|at| at <= now) {
                port.host_wakes = None;
                host.woken(now);
            }
            while let Some(&(at, due)) = port.due.first().filter(|(at, _)| *at <= now) {
                port.due.remove(&(at, due));
                match due {
                    Due::Attempt(id, number) => port.timed_out(now, host, id, number),
                    Due::Cut(id) => port.over(now, host, id, AttemptResult::Cancelled, None, None),
                    Due::Lost(machine) => port.machine_lost(now, host, machine, at),
                    Due::Test(test) => {
                        if let Some((machine, link)) = port.tests.remove(&test) {
                            port.links.retire(link);
                            host.probed(now, machine, AttemptResult::TimedOut, None);
                        }
                    }
                }
            }
        });
    }

    /// An owner has connected. None where there are as many as may be and each has a set-up open.
    pub fn owner_came(&mut self, now: Ticks) -> Option<(OwnerId, Inbox)> {
        let (to, inbox) = outbox();
        self.with(now, |host, port| {
            if port.owners.len() >= port.owners_most && !port.make_way(now, host) {
                return None;
            }
            port.came += 1;
            let id = OwnerId(port.came);
            let owner = Owner {
                to,
                input: None,
                reader: Reader::default(),
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
    pub fn make_way(&mut self, now: Ticks) {
        self.with(now, |host, port| port.make_way(now, host));
    }

    pub fn owner_left(&mut self, now: Ticks, id: OwnerId) {
        self.with(now, |host, port| port.close_owner(now, host, id));
    }

    /// Its connection can be read from here on.
    pub fn owner_input(&mut self, id: OwnerId, input: Input) {
        self.port
            .owners
            .get_mut(&id)
            .into_iter()
            .for_each(|owner| owner.input = Some(input.clone()));
    }

    /// Handles the next message of an owner.
    pub fn owner_heard(&mut self, now: Ticks, id: OwnerId) -> Heard {
        self.with(now, |host, port| port.hear(now, host, id))
    }

    /// A message of an owner. False where its connection is to be closed.
    #[cfg(test)]
    pub fn owner_said(&mut self, now: Ticks, id: OwnerId, message: &Message) -> bool {
        self.with(now, |host, port| port.owner_said(now, host, id, message))
    }

    /// Ends of what stood that their owner's connection could not take any longer.
    pub fn retell(&mut self, now: Ticks, words: Vec<Vec<u8>>) {
        self.with(now, |_, port| {
            words.into_iter().for_each(|words| port.tell_any(words))
        });
    }

    pub fn link_up(&mut self, now: Ticks, id: LinkId) {
        self.with(now, |_, port| port.links.up(id, now));
    }

    /// The first byte of a set-up is about to be written. False where that must not be any more.
    pub fn begins(&mut self, now: Ticks, link: LinkId, attempt: AttemptId) -> bool {
        self.with(now, |host, port| port.begins(now, host, link, attempt))
    }

    pub fn link_ended(&mut self, now: Ticks, id: LinkId, end: End) {
        self.with(now, |host, port| port.drop_link(now, host, id, end));
    }

    /// A message of a node. False where its connection is of no more use.
    pub fn node_said(&mut self, now: Ticks, link: LinkId, message: node::Message) -> bool {
        self.with(now, |host, port| {
            let Some(machine) = port.links.heard(link, now) else {
                return false;
            };
            port.node_said(now, host, link, machine, message)
        })
    }

    pub fn last_event(&self) -> u64 {
        self.port.last_event
    }

    /// The feed has taken our call.
    pub fn watched(&mut self, now: Ticks) {
        self.with(now, |host, _| host.listed(ListUpdate::Incremental, &[]));
    }

    pub fn told(&mut self, now: Ticks, event: Event) {
        self.with(now, |host, port| port.apply(now, host, event));
    }

    pub fn list_failed(&mut self, now: Ticks) {
        self.with(now, |host, _| host.list_failed(now));
    }

    /// The file has been replaced: other settings may be in force from here on.
    pub fn reposted(&mut self, now: Ticks, posting: NodeConfig) -> Result<(), String> {
        let cluster = cluster(&posting.settings)?;
        self.with(now, |host, port| {
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
    pub fn sweep(&mut self, now: Ticks) {
        self.with(now, |host, port| port.sweep(now, host));
    }

    /// How much is kept of all that was ever met.
    pub fn kept(&self) -> usize {
        let Core { host, port } = self;
        let words = port.untold.len()
            + port.deferred.len()
            + port.tests.len()
            + port.due.len()
            + port.owed.len();
        let words = words + port.ends.len();
        host.kept() + port.owners.len() + port.nodes.kept() + port.links.kept() + words
    }

    pub fn unanswered(&self) -> usize {
        self.port.owed.len()
    }

    /// Each one that is owed an answer gets it as soon as its attempt out has returned; what comes
    /// from here on is refused at once.
    pub fn stop(&mut self, now: Ticks) {
        self.with(now, |host, port| {
            port.stops = true;
            host.stop(now, port);
        });
    }

    /// The longest that owners wait for an answer, where the settings say.
    pub fn longest_deadline(&self) -> Option<Ticks> {
        self.port.facts.longest_deadline()
    }

    /// What another file says that the feed has told. Only what follows on what is known already,
    /// or is whole: the rest is told by the feed.
    pub fn known(&mut self, now: Ticks, known: DiscoveryState) {
        self.with(now, |host, port| {
            for event in known.events {
                let whole = event.list.as_ref().is_some_and(|members| members.complete);
                if whole || event.number == port.last_event + 1 {
                    port.apply(now, host, event);
                }
            }
        });
    }

    /// Those whose attempts have not returned yet get their answers without. All connections close
    /// once all is written.
    pub fn let_go(&mut self, now: Ticks) {
        self.with(now, |host, port| {
            for (id, shot) in host.unanswered() {
                port.timed_out(now, host, id, shot);
            }
        });
        self.port.owners.clear();
        self.port.links = Links::new(0, 0, 0);
    }
}
