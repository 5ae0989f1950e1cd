//! Owners: their connections, what they ask for and what they are told.

use super::*;

impl Port {
    /// Handles the next message of an owner. What has come after it is read too, if not all is
    /// known yet: the end of a connection must not wait behind the set-ups that it ends.
    pub(super) fn hear(&mut self, now: Tenths, host: &mut Host<Placing>, id: OwnerId) -> Heard {
        loop {
            let Some(owner) = self.owners.get_mut(&id) else {
                return Heard::Enough;
            };
            let mut came = Came::Some;
            if owner.dry + LATELY <= now {
                came = owner.read_ahead(now);
            }
            if came == Came::Ended {
                self.end_owner(now, host, id);
                return Heard::Enough;
            }
            match owner.reader.message() {
                Ok(Some(message)) => {
                    let goes_on = self.owner_said(now, host, id, &message);
                    return if goes_on { Heard::One } else { Heard::Enough };
                }
                Ok(None) if came == Came::Nothing => {
                    owner.midway = owner.reader.midway().then(|| owner.midway.unwrap_or(now));
                    return Heard::All;
                }
                Ok(None) => owner.dry = 0,
                Err(why) => {
                    debug!(?id, %why, "closing an owner's connection");
                    return Heard::Enough;
                }
            }
        }
    }

    /// Before an attempt: what has come on its owner's connection by now is known.
    pub(super) fn catch_up(&mut self, now: Tenths, host: &mut Host<Placing>, id: AllocationId) {
        let Some(from) = host.own(id).map(|(placing, _)| placing.owner) else {
            return;
        };
        let behind = |owner: &Owner| {
            owner.input.is_some() && (owner.dry + LATELY <= now || owner.reader.held() > 0)
        };
        for _ in 0..AT_ONCE {
            if !self.owners.get(&from).is_some_and(behind) {
                return;
            }
            match self.hear(now, host, from) {
                Heard::One => {}
                Heard::All => return,
                Heard::Enough => return self.close_owner(now, host, from),
            }
        }
    }

    /// The peer has ended its side. What it set up is not wanted any longer; what it has ended
    /// still is to be.
    fn end_owner(&mut self, now: Tenths, host: &mut Host<Placing>, id: OwnerId) {
        let reader = self
            .owners
            .get_mut(&id)
            .map(|owner| std::mem::take(&mut owner.reader));
        self.close_owner(now, host, id);
        let mut reader = reader.unwrap_or_default();
        while let Ok(Some(message)) = reader.message() {
            if message.kind == Kind::Release {
                self.owner_released(now, host, &message);
            }
        }
    }

    /// A message of an owner. False where its connection is to be closed.
    pub(super) fn owner_said(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        id: OwnerId,
        message: &Message,
    ) -> bool {
        let Some(owner) = self.owners.get_mut(&id) else {
            return false;
        };
        owner.midway = None;
        let sound = match message.kind {
            Kind::SetUp => self.set_up(now, host, id, message),
            Kind::Release => Ok(self.owner_released(now, host, message)),
            Kind::Test => {
                self.say(id, Kind::Tested, message.task, &[(owner::CAUSE, &[1])]);
                Ok(true)
            }
            Kind::Progress | Kind::Heard => Ok(false),
            Kind::Answer | Kind::Note | Kind::Move | Kind::Tested => Err(()),
        };
        let Ok(sound) = sound else {
            debug!(?id, ?message.kind, "closing an owner's connection that says what no owner says");
            return false;
        };
        if let Some(owner) = self.owners.get_mut(&id).filter(|_| sound) {
            (owner.sound, owner.heard) = (true, now);
            while self
                .untold
                .front()
                .is_some_and(|words| owner.to.send_over(words.clone()))
            {
                self.untold.pop_front();
            }
        }
        self.owners.contains_key(&id)
    }

    /// Looks for connections that are silent, idle or missing.
    pub(super) fn sweep(&mut self, now: Tenths, host: &mut Host<Placing>) {
        let useless = |owner: &Owner| {
            let silent = !owner.sound && owner.came + SILENT <= now;
            let cut = owner.midway.is_some_and(|since| since + SILENT <= now);
            let idle = owner.open.is_empty() && owner.stands == 0 && owner.heard + IDLE <= now;
            silent || cut || idle
        };
        let closed: Vec<OwnerId> = self
            .owners
            .iter()
            .filter(|(_, owner)| useless(owner))
            .map(|(&id, _)| id)
            .collect();
        closed
            .into_iter()
            .for_each(|id| self.close_owner(now, host, id));
        self.links.close_idle(now, &self.nodes);
        for (since, machine) in self.nodes.unheard(&self.links, now) {
            let takes = if since + UNHEARD <= now {
                Takes::Any
            } else {
                Takes::Spare
            };
            self.open_link(machine, takes);
        }
    }

    pub(super) fn say(
        &mut self,
        to: OwnerId,
        kind: Kind,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) -> bool {
        let Some(bytes) = owner::message(kind, task, parameters) else {
            return false;
        };
        self.owners
            .get(&to)
            .is_some_and(|owner| owner.to.send(bytes))
    }

    /// The end of what stood: on the connection of its set-up, else on any, else on the next that
    /// comes.
    pub(super) fn say_over(
        &mut self,
        to: OwnerId,
        kind: Kind,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) {
        let Some(bytes) = owner::message(kind, task, parameters) else {
            return;
        };
        if !self
            .owners
            .get(&to)
            .is_some_and(|owner| owner.to.send_over(bytes.clone()))
        {
            self.tell_any(bytes);
        }
    }

    /// On any connection, else on the next that comes.
    pub(super) fn tell_any(&mut self, bytes: Vec<u8>) {
        let sound = self.owners.values().filter(|owner| owner.sound);
        let mut others: Vec<&Owner> = sound.collect();
        others.sort_by_key(|owner| std::cmp::Reverse(owner.heard));
        let told = others
            .into_iter()
            .any(|owner| owner.to.send_over(bytes.clone()));
        if !told && self.untold.len() < UNTOLD {
            self.untold.push_back(bytes);
        }
    }

    /// The final answer; true where one was owed.
    pub(super) fn answer(&mut self, placing: &mut Placing, id: AllocationId, stage: Stage) -> bool {
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
    pub(super) fn stood(&mut self, placing: &mut Placing) -> bool {
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
    pub(super) fn make_way(&mut self, now: Tenths, host: &mut Host<Placing>) -> bool {
        let free = self
            .owners
            .iter()
            .filter(|(_, owner)| owner.open.is_empty());
        let least = free.min_by_key(|(_, owner)| (owner.sound, owner.stands > 0, owner.heard));
        let Some(id) = least.map(|(&id, _)| id) else {
            return false;
        };
        self.close_owner(now, host, id);
        true
    }

    pub(super) fn close_owner(&mut self, now: Tenths, host: &mut Host<Placing>, id: OwnerId) {
        let Some(owner) = self.owners.remove(&id) else {
            return;
        };
        for task in owner.open {
            if let Some(id) = host.find(&sid(task)) {
                self.give_up(now, host, id);
            }
        }
    }

    /// The owner waits no longer: no answer is owed, and what is out is given up.
    pub(super) fn give_up(&mut self, now: Tenths, host: &mut Host<Placing>, id: AllocationId) {
        let Some((placing, _)) = host.own(id) else {
            return;
        };
        self.answer(placing, id, Stage::Over);
        let Some(out) = placing.out.take() else {
            return host.finish(id);
        };
        let task = placing.task;
        self.withdraw(id, out, task);
        host.returned(
            now,
            id,
            out.number,
            Ending::Cancelled,
            None,
            true,
            None,
            self,
        );
    }

    /// Err where the connection must be closed, else whether the message could be used.
    pub(super) fn set_up(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        from: OwnerId,
        message: &Message,
    ) -> Result<bool, ()> {
        let known = host.find(&sid(message.task));
        let open = self.owners.get(&from).map_or(0, |owner| owner.open.len());
        let mine = self
            .owners
            .get(&from)
            .is_some_and(|owner| owner.open.contains(&message.task));
        let (set_up, asked) = match SetUp::read(message)
            .map_err(|why| why.to_string())
            .and_then(|set_up| {
                let asked = self.asked(now, &set_up)?;
                Ok((set_up, asked))
            }) {
            Ok(read) => read,
            // Under the id of one that is open no answer could be told from that one's.
            Err(_) if mine => return Err(()),
            Err(why) => {
                debug!(%why, "a set-up that can't be used");
                self.say(
                    from,
                    Kind::Release,
                    message.task,
                    &[(owner::CAUSE, &[owner::CAUSE_FAILED])],
                );
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
            port.say(
                from,
                Kind::Release,
                message.task,
                &[(owner::CAUSE, &[cause])],
            );
            Ok(false)
        };
        if known.is_some() {
            return refused(self, owner::CAUSE_FAILED);
        }
        if open >= OPEN_A_CONNECTION || self.stops && set_up.at.is_none() {
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
            links: Vec::new(),
            ended: Vec::new(),
        };
        if let Some(at) = set_up.at {
            let ended = |machine| {
                self.ends
                    .iter()
                    .any(|&(_, task, on)| (task, on) == (message.task, machine))
            };
            let Some(machine) = self.nodes.find(&at).filter(|&machine| !ended(machine)) else {
                // It has gone, and the task with it; or its node has told the end already, on the
                // connection that another handed over before had opened, and tells
                // it to this process no more.
                self.say(from, Kind::Release, message.task, &[(owner::CAUSE, &[41])]);
                return Ok(true);
            };
            placing.stage = Stage::Stands;
            placing.description = String::new();
            placing.out = Some(Out {
                number: 0,
                machine,
                link: None,
                sent: now,
                until: Tenths::MAX,
                left: true,
            });
            if let Ok(id) = host.take_running(now, &sid(message.task), asked, machine, placing) {
                self.nodes.stands(machine, id);
                self.owners
                    .get_mut(&from)
                    .into_iter()
                    .for_each(|owner| owner.stands += 1);
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
    pub(super) fn asked(&self, now: Tenths, set_up: &SetUp) -> Result<Asked, String> {
        let facts = &self.facts;
        let track = facts
            .classes
            .iter()
            .position(|class| class.name == set_up.class);
        let account = match &set_up.tenant {
            None => Some(0),
            Some(name) => facts.tenants.iter().position(|tenant| tenant.name == *name),
        };
        // A task that stands already has no deadline: what is told as time left there means
        // nothing.
        let left_ms = if set_up.at.is_some() {
            LONGEST
        } else {
            set_up.left_ms
        };
        if left_ms == 0 || left_ms > LONGEST {
            return Err(format!("no owner waits for {left_ms} ms"));
        }
        if [&set_up.name, &set_up.service]
            .iter()
            .any(|text| text.len() > 256)
        {
            return Err("a name of over 256 bytes".into());
        }
        let track = track.ok_or_else(|| format!("no class `{:.40}`", set_up.class))?;
        if facts.keyed(track) && set_up.mark.is_none() && set_up.at.is_none() {
            return Err("no key, which its class needs".into());
        }
        let asks = Amount {
            cores: set_up.cores,
            memory: set_up.memory,
        };
        // More than any machine accepts would only spoil what is learnt of asks.
        if !facts.largest().is_some_and(|largest| asks.within(largest)) {
            return Err(format!(
                "{} cores and {} of memory fit on no machine",
                asks.cores, asks.memory
            ));
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
    pub(super) fn owner_released(
        &mut self,
        now: Tenths,
        host: &mut Host<Placing>,
        message: &Message,
    ) -> bool {
        let Some(id) = host.find(&sid(message.task)) else {
            return false;
        };
        let Some((placing, _)) = host.own(id) else {
            return false;
        };
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
}

impl Owner {
    /// Reads what has come, up to so much.
    fn read_ahead(&mut self, now: Tenths) -> Came {
        let Some(input) = &self.input else {
            return Came::Nothing;
        };
        while self.reader.held() < READ_AHEAD {
            match input.read(|bytes| self.reader.push(bytes)) {
                Came::Some => {}
                Came::Nothing => {
                    self.dry = now;
                    return Came::Nothing;
                }
                Came::Ended => return Came::Ended,
            }
        }
        Came::Some
    }
}
