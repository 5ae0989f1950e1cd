//! Owners' connections: what is read on them, and when they are closed.

use super::tasks::sid;
use super::*;
use crate::outbox::Outbox;
use corkspan_platform_wire::client::{self, Message, MessageType};
use tracing::debug;

/// An owner's connection.
pub(super) struct Owner {
    pub(super) to: Outbox,
    /// None until its task has begun.
    pub(super) input: Option<Input>,
    pub(super) reader: client::Reader,
    /// When all that had come was last read.
    pub(super) dry: Ticks,
    /// Its set-ups without an answer.
    pub(super) open: BTreeSet<u64>,
    /// How many tasks stand that were set up on it.
    pub(super) stands: usize,
    pub(super) came: Ticks,
    pub(super) heard: Ticks,
    /// It has said something that could be used.
    pub(super) sound: bool,
    /// Since when a message has been begun and not ended.
    pub(super) midway: Option<Ticks>,
}

impl Port {
    /// Handles the next message of an owner. What has come after it is read too, if not all is
    /// known yet: the end of a connection must not wait behind the set-ups that it ends.
    pub(super) fn hear(&mut self, now: Ticks, host: &mut Host<Placing>, id: OwnerId) -> Heard {
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
            match owner.reader.next_message() {
                Ok(Some(message)) => {
                    let goes_on = self.owner_said(now, host, id, &message);
                    return if goes_on { Heard::One } else { Heard::Enough };
                }
                Ok(None) if came == Came::Nothing => {
                    owner.midway = owner
                        .reader
                        .has_partial_message()
                        .then(|| owner.midway.unwrap_or(now));
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
    pub(super) fn catch_up(&mut self, now: Ticks, host: &mut Host<Placing>, id: AllocationId) {
        let Some(from) = host.own(id).map(|(placing, _)| placing.owner) else {
            return;
        };
        let behind = |owner: &Owner| {
            owner.input.is_some()
                && (owner.dry + LATELY <= now || owner.reader.buffered_bytes() > 0)
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
    fn end_owner(&mut self, now: Ticks, host: &mut Host<Placing>, id: OwnerId) {
        let reader = self
            .owners
            .get_mut(&id)
            .map(|owner| std::mem::take(&mut owner.reader));
        self.close_owner(now, host, id);
        let mut reader = reader.unwrap_or_default();
        while let Ok(Some(message)) = reader.next_message() {
            if message.message_type == MessageType::Release {
                self.owner_released(now, host, &message);
            }
        }
    }

    /// A message of an owner. False where its connection is to be closed.
    pub(super) fn owner_said(
        &mut self,
        now: Ticks,
        host: &mut Host<Placing>,
        id: OwnerId,
        message: &Message,
    ) -> bool {
        let Some(owner) = self.owners.get_mut(&id) else {
            return false;
        };
        owner.midway = None;
        let sound = match message.message_type {
            MessageType::SetUp => self.set_up(now, host, id, message),
            MessageType::Release => Ok(self.owner_released(now, host, message)),
            MessageType::HealthCheck => {
                self.say(
                    id,
                    MessageType::HealthCheckReply,
                    message.task,
                    &[(client::CAUSE, &[1])],
                );
                Ok(true)
            }
            MessageType::Progress | MessageType::Acknowledge => Ok(false),
            MessageType::Answer
            | MessageType::Notification
            | MessageType::Migrate
            | MessageType::HealthCheckReply => Err(()),
        };
        let Ok(sound) = sound else {
            debug!(?id, ?message.message_type, "closing an owner's connection that says what no owner says");
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
    pub(super) fn sweep(&mut self, now: Ticks, host: &mut Host<Placing>) {
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
        let connected = |machine| !self.links.of(machine).is_empty();
        for (since, machine) in self.nodes.unheard(connected, now) {
            let takes = if since + UNHEARD <= now {
                Takes::Any
            } else {
                Takes::Spare
            };
            self.open_link(machine, takes);
        }
    }

    /// Closes the owner's connection that is of the least use: silent ones first, then idle ones.
    pub(super) fn make_way(&mut self, now: Ticks, host: &mut Host<Placing>) -> bool {
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

    pub(super) fn close_owner(&mut self, now: Ticks, host: &mut Host<Placing>, id: OwnerId) {
        let Some(owner) = self.owners.remove(&id) else {
            return;
        };
        for task in owner.open {
            if let Some(id) = host.find(&sid(task)) {
                self.give_up(now, host, id);
            }
        }
    }
}

impl Owner {
    /// Reads what has come, up to so much.
    fn read_ahead(&mut self, now: Ticks) -> Came {
        let Some(input) = &self.input else {
            return Came::Nothing;
        };
        while self.reader.buffered_bytes() < READ_AHEAD {
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
