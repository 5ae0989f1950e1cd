//! The exchange between a control service, a rival control service and two dispatchers, and the
//! effects of its events.

use crate::events::{Defect, Event};
use corkspan_config::version::{SharedParts, VersionId};
use corkspan_config_sync::{
    PersistedVersions, Publisher, PushAdmission, PushReply, Rejection, RequestCounts, Subscriber,
    VersionPush,
};

pub fn texts(number: usize) -> SharedParts {
    [("shots".to_string(), format!("(shots {number})"))]
        .into_iter()
        .collect()
}

/// Replaces the validation of a version: the second one is invalid.
fn is_valid(texts_of_version: &SharedParts) -> bool {
    *texts_of_version != texts(2)
}

/// The next step of a dispatcher with a push that it admitted.
#[derive(Clone, Debug)]
enum Step {
    Idle,
    Persist(VersionPush, PersistedVersions),
    Apply(VersionPush, PersistedVersions),
}

#[derive(Clone, Debug)]
struct Reply {
    nonce: u64,
    reply: PushReply,
    active: VersionId,
}

#[derive(Clone, Debug)]
struct Dispatcher {
    disk: PersistedVersions,
    /// `None` while the dispatcher is killed.
    subscriber: Option<Subscriber>,
    step: Step,
    open: bool,
    /// Whether the stream is connected to the rival, whose state is not checked.
    rival: bool,
    pushes: Vec<VersionPush>,
    replies: Vec<Reply>,
    kills: u8,
    breaks: u8,
}

#[derive(Clone, Debug)]
pub struct World {
    publisher: Publisher,
    published: usize,
    dispatchers: [Dispatcher; 2],
}

impl World {
    pub fn start() -> World {
        let (subscriber, _) = Subscriber::restore(texts(0), PersistedVersions::default(), 0);
        let dispatcher = Dispatcher {
            disk: PersistedVersions::default(),
            subscriber: Some(subscriber),
            step: Step::Idle,
            open: false,
            rival: false,
            pushes: Vec::new(),
            replies: Vec::new(),
            kills: 0,
            breaks: 0,
        };
        World {
            publisher: Publisher::default(),
            published: 0,
            dispatchers: [dispatcher.clone(), dispatcher],
        }
    }

    /// Returns the world after this event if it can happen now, or the invariant that it breaks.
    pub fn after(&self, event: Event, defect: Defect) -> Option<Result<World, String>> {
        let mut next = self.clone();
        next.apply_event(event, defect)?;
        for (id, dispatcher) in next.dispatchers.iter_mut().enumerate() {
            if dispatcher.open && !dispatcher.rival {
                let push = next.publisher.push_for(id as u32);
                dispatcher.pushes.extend(push);
            }
        }
        Some(next.check(self, event).map(|()| next))
    }

    fn apply_event(&mut self, event: Event, defect: Defect) -> Option<()> {
        match event {
            Event::Publish => self.publish(),
            Event::Open(id) => self.open(id),
            Event::OpenToRival(id) => self.dispatchers[id].open_to_rival(),
            Event::Break(id) => self.dispatchers[id].break_stream(),
            Event::Receive(id) => self.dispatchers[id].receive(),
            Event::Admit(id) => self.dispatchers[id].admit(defect),
            Event::Persist(id) => self.dispatchers[id].persist(defect),
            Event::Apply(id) => self.dispatchers[id].apply(defect),
            Event::Reply(id) => self.reply(id, defect),
            Event::Regress(id) => self.dispatchers[id].regress(),
            Event::Kill(id) => self.dispatchers[id].kill(),
            Event::Start(id) => self.dispatchers[id].start(),
        }
    }

    fn publish(&mut self) -> Option<()> {
        if self.published == 3 {
            return None;
        }
        self.published += 1;
        self.publisher.publish(texts(self.published), false);
        Some(())
    }

    fn open(&mut self, id: usize) -> Option<()> {
        let dispatcher = &mut self.dispatchers[id];
        let subscriber = dispatcher.subscriber.as_ref();
        let active = subscriber.filter(|_| !dispatcher.open)?.active_version();
        self.publisher.subscriber_connected(id as u32, active);
        dispatcher.open = true;
        Some(())
    }

    fn reply(&mut self, id: usize, defect: Defect) -> Option<()> {
        let dispatcher = &mut self.dispatchers[id];
        if !dispatcher.open || dispatcher.replies.is_empty() {
            return None;
        }
        let Reply {
            nonce,
            reply,
            active,
        } = dispatcher.replies.remove(0);
        if dispatcher.rival {
            return Some(());
        }
        let newest = dispatcher.pushes.last().map_or(nonce, |push| push.nonce);
        let nonce = match defect {
            Defect::RepliesWithoutNonce => newest,
            _ => nonce,
        };
        self.publisher
            .receive_reply(id as u32, nonce, &reply, active);
        Some(())
    }

    /// Checks that the invariants hold after this event.
    fn check(&self, before: &World, event: Event) -> Result<(), String> {
        let pairs = std::iter::zip(&self.dispatchers, &before.dispatchers);
        for (id, (dispatcher, earlier)) in pairs.enumerate() {
            let Some(subscriber) = &dispatcher.subscriber else {
                continue;
            };
            let active = subscriber.active_version();
            if !is_valid(subscriber.active_texts()) {
                return Err(format!("{active} is invalid and active at {id}"));
            }
            dispatcher.check_disk(id, active)?;
            earlier.check_order(id, active, event)?;
            self.check_publisher(id, active)?;
        }
        Ok(())
    }

    fn check_publisher(&self, id: usize, active: VersionId) -> Result<(), String> {
        let dispatcher = &self.dispatchers[id];
        let is_settled = dispatcher.open && !dispatcher.rival && dispatcher.replies.is_empty();
        let known = self.publisher.active_version(id as u32);
        if is_settled && known != Some(active) {
            return Err(format!(
                "the publisher knows {known:?} of {id}, {active} is active"
            ));
        }
        let rival = active.digest == texts(4).digest() && active.number > 0;
        if let Some(Rejection { version, reasons }) = self.publisher.last_rejection(id as u32)
            && version.digest != texts(2).digest()
            && !reasons.iter().any(|reason| reason.contains("rolled back"))
            && !rival
        {
            return Err(format!(
                "{version} is recorded as rejected by {id}: {reasons:?}"
            ));
        }
        Ok(())
    }
}

impl Dispatcher {
    /// Checks that a version is on disk before it is active, so that a dispatcher killed in between
    /// starts with it.
    fn check_disk(&self, id: usize, active: VersionId) -> Result<(), String> {
        let trial = self.disk.trial.as_ref().map(|trial| trial.version.id);
        let last_good = self.disk.last_good.as_ref().map(|good| good.id);
        let on_disk = active.number == 0 || trial == Some(active) || last_good == Some(active);
        if !on_disk && !matches!(self.step, Step::Apply(..)) {
            return Err(format!("{active} is active at {id} and not on disk"));
        }
        Ok(())
    }

    /// Checks that the version number decreases only by a rollback.
    fn check_order(&self, id: usize, active: VersionId, event: Event) -> Result<(), String> {
        let subscriber = self.subscriber.as_ref();
        let former = subscriber.map_or(active, Subscriber::active_version);
        let rollback = matches!(event, Event::Regress(_));
        if former != active && former.number >= active.number && !rollback {
            return Err(format!("{id} went from {former} to {active}"));
        }
        Ok(())
    }

    fn open_to_rival(&mut self) -> Option<()> {
        let subscriber = self.subscriber.as_ref().filter(|_| !self.open)?;
        let mut rival = Publisher::default();
        rival.publish(texts(4), false);
        rival.subscriber_connected(0, subscriber.active_version());
        self.pushes.extend(rival.push_for(0));
        (self.open, self.rival) = (true, true);
        Some(())
    }

    fn break_stream(&mut self) -> Option<()> {
        if !self.open || self.breaks == 1 {
            return None;
        }
        self.breaks += 1;
        self.close();
        Some(())
    }

    fn close(&mut self) {
        (self.open, self.rival) = (false, false);
        self.pushes.clear();
        self.replies.clear();
        self.subscriber
            .iter_mut()
            .for_each(Subscriber::stream_closed);
    }

    fn receive(&mut self) -> Option<()> {
        if self.pushes.is_empty() {
            return None;
        }
        let push = self.pushes.remove(0);
        if let Some(addressed) = self.subscriber.as_mut()?.receive(push) {
            self.send(addressed.nonce, addressed.reply);
        }
        Some(())
    }

    fn admit(&mut self, defect: Defect) -> Option<()> {
        if !matches!(self.step, Step::Idle) {
            return None;
        }
        let subscriber = self.subscriber.as_mut()?;
        let push = subscriber.take_push()?;
        let admission = match subscriber.admit(&push) {
            PushAdmission::Reply(PushReply::Rejected(_))
                if defect == Defect::TakesAnyNumber && push.base.is_none() =>
            {
                PushAdmission::Validate(push.changes.clone())
            }
            other => other,
        };
        match admission {
            PushAdmission::Reply(reply) => self.send(push.nonce, reply),
            PushAdmission::Validate(texts)
                if !is_valid(&texts) && defect != Defect::ValidatesNothing =>
            {
                self.send(push.nonce, PushReply::Rejected(vec!["invalid".into()]));
            }
            PushAdmission::Validate(texts) => {
                let counts = RequestCounts::default();
                let persisted = subscriber.prepare_trial(0, counts, push.version, texts);
                self.step = match defect {
                    Defect::RepliesBeforeTheDisk => Step::Apply(push, persisted),
                    _ => Step::Persist(push, persisted),
                };
            }
        }
        Some(())
    }

    fn persist(&mut self, defect: Defect) -> Option<()> {
        let Step::Persist(push, persisted) = std::mem::replace(&mut self.step, Step::Idle) else {
            return None;
        };
        self.disk = persisted.clone();
        if defect != Defect::RepliesBeforeTheDisk {
            self.step = Step::Apply(push, persisted);
        }
        Some(())
    }

    fn apply(&mut self, defect: Defect) -> Option<()> {
        let Step::Apply(push, persisted) = std::mem::replace(&mut self.step, Step::Idle) else {
            return None;
        };
        if let Some(subscriber) = &mut self.subscriber {
            subscriber.start_trial(0, persisted.clone(), RequestCounts::default());
        }
        self.send(push.nonce, PushReply::Applied);
        if defect == Defect::RepliesBeforeTheDisk {
            self.step = Step::Persist(push, persisted);
        }
        Some(())
    }

    /// Rejects all requests, so that the version on trial is rolled back.
    fn regress(&mut self) -> Option<()> {
        let subscriber = self.subscriber.as_mut()?;
        if !subscriber.on_trial() || !matches!(self.step, Step::Idle) {
            return None;
        }
        let all = RequestCounts {
            requests: 1_000,
            rejected: 1_000,
        };
        let persisted = subscriber.evaluate_trial(0, all)?.persisted;
        self.disk = persisted.clone();
        subscriber.finish_trial(0, persisted, all);
        // A report without a push that it answers.
        self.send(0, PushReply::Unchanged);
        Some(())
    }

    fn kill(&mut self) -> Option<()> {
        if self.kills == 1 {
            return None;
        }
        self.subscriber.take()?;
        self.kills += 1;
        self.step = Step::Idle;
        self.close();
        Some(())
    }

    fn start(&mut self) -> Option<()> {
        if self.subscriber.is_some() {
            return None;
        }
        let (subscriber, changed) = Subscriber::restore(texts(0), self.disk.clone(), 0);
        self.disk = changed.unwrap_or(self.disk.clone());
        self.subscriber = Some(subscriber);
        Some(())
    }

    fn send(&mut self, nonce: u64, reply: PushReply) {
        let active = self.subscriber.as_ref().map(Subscriber::active_version);
        if let Some(active) = active.filter(|_| self.open) {
            self.replies.push(Reply {
                nonce,
                reply,
                active,
            });
        }
    }
}
