//! Clients' connections: how they are read, and when they are closed.

use super::pending_task::task_key;
use super::*;
use crate::writer::MessageSender;
use corkspan_platform_wire::client::{self, Message, MessageType};
use tracing::debug;

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) to: MessageSender,
    /// None until its task has started.
    pub(super) input: Option<ConnectionInput>,
    pub(super) reader: client::Reader,
    /// When all that had arrived was last read.
    pub(super) drained_at: Ticks,
    /// Its set-ups without an answer.
    pub(super) open_set_ups: BTreeSet<u64>,
    /// How many running tasks were set up on it.
    pub(super) running: usize,
    pub(super) connected_at: Ticks,
    pub(super) last_active_at: Ticks,
    /// It has sent a valid message.
    pub(super) valid: bool,
    /// Since when a part of a message has been there.
    pub(super) partial_since: Option<Ticks>,
}

/// What a client's message came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageValidity {
    /// It was valid, and its connection is of use.
    Valid,
    /// It could not be used.
    Unusable,
    /// It breaks the protocol: the connection must be closed.
    Violation,
}

impl PlatformState {
    /// Handles the next message of a client. What has arrived behind it is read first, if that was
    /// not done a moment ago: the end of a connection must not wait behind the set-ups that it
    /// ends.
    pub(super) fn read_next_message(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ClientId,
    ) -> ReadProgress {
        loop {
            let Some(client) = self.clients.get_mut(&id) else {
                return ReadProgress::Done;
            };
            let mut outcome = ReadOutcome::Data;
            if client.drained_at + MAX_INPUT_AGE <= now {
                outcome = client.read_ahead(now);
            }
            if outcome == ReadOutcome::Closed {
                self.client_closed(now, engine, id);
                return ReadProgress::Done;
            }
            match client.reader.next_message() {
                Ok(Some(message)) => {
                    let keep_open = self.handle_client_message(now, engine, id, &message);
                    return if keep_open {
                        ReadProgress::Handled
                    } else {
                        ReadProgress::Done
                    };
                }
                Ok(None) if outcome == ReadOutcome::Empty => {
                    client.partial_since = client
                        .reader
                        .has_partial_message()
                        .then(|| client.partial_since.unwrap_or(now));
                    return ReadProgress::Drained;
                }
                Ok(None) => client.drained_at = 0,
                Err(error) => {
                    debug!(?id, %error, "closing a client's connection");
                    return ReadProgress::Done;
                }
            }
        }
    }

    /// Before an attempt: handles what has arrived on its client's connection.
    pub(super) fn read_pending_input(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
    ) {
        let Some(from) = engine.data_mut(id).map(|(pending, _)| pending.client) else {
            return;
        };
        let has_unread_input = |client: &ClientConnection| {
            client.input.is_some()
                && (client.drained_at + MAX_INPUT_AGE <= now || client.reader.buffered_bytes() > 0)
        };
        for _ in 0..MAX_MESSAGES_BEFORE_ATTEMPT {
            if !self.clients.get(&from).is_some_and(has_unread_input) {
                return;
            }
            match self.read_next_message(now, engine, from) {
                ReadProgress::Handled => {}
                ReadProgress::Drained => return,
                ReadProgress::Done => return self.close_client(now, engine, from),
            }
        }
    }

    /// The peer has closed its side. What it set up is cancelled; releases that it sent are still
    /// handled.
    fn client_closed(&mut self, now: Ticks, engine: &mut Engine<PendingTask>, id: ClientId) {
        let reader = self
            .clients
            .get_mut(&id)
            .map(|client| std::mem::take(&mut client.reader));
        self.close_client(now, engine, id);
        let mut reader = reader.unwrap_or_default();
        while let Ok(Some(message)) = reader.next_message() {
            if message.message_type == MessageType::Release {
                self.handle_release(now, engine, &message);
            }
        }
    }

    /// A message of a client. False where its connection is to be closed.
    pub(super) fn handle_client_message(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ClientId,
        message: &Message,
    ) -> bool {
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        client.partial_since = None;
        let validity = match message.message_type {
            MessageType::SetUp => self.handle_set_up(now, engine, id, message),
            MessageType::Release => {
                if self.handle_release(now, engine, message) {
                    MessageValidity::Valid
                } else {
                    MessageValidity::Unusable
                }
            }
            MessageType::HealthCheck => {
                self.reply_to_health_check(id, message.task);
                MessageValidity::Valid
            }
            MessageType::Progress | MessageType::Acknowledge => MessageValidity::Unusable,
            MessageType::Answer
            | MessageType::Notification
            | MessageType::Migrate
            | MessageType::HealthCheckReply => MessageValidity::Violation,
        };
        if validity == MessageValidity::Violation {
            debug!(?id, ?message.message_type, "closing a client's connection that sent what no client sends");
            return false;
        }
        let valid = validity == MessageValidity::Valid;
        if let Some(client) = self.clients.get_mut(&id).filter(|_| valid) {
            (client.valid, client.last_active_at) = (true, now);
            while self
                .undelivered
                .front()
                .is_some_and(|message| client.to.send_task_end(message.clone()))
            {
                self.undelivered.pop_front();
            }
        }
        self.clients.contains_key(&id)
    }

    /// Looks for connections that are silent, idle or missing.
    pub(super) fn sweep(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) {
        let should_close = |client: &ClientConnection| {
            let is_silent = !client.valid && client.connected_at + SILENCE_TIMEOUT <= now;
            let is_partial = client
                .partial_since
                .is_some_and(|since| since + SILENCE_TIMEOUT <= now);
            let is_idle = client.open_set_ups.is_empty()
                && client.running == 0
                && client.last_active_at + IDLE_TIMEOUT <= now;
            is_silent || is_partial || is_idle
        };
        let closed: Vec<ClientId> = self
            .clients
            .iter()
            .filter(|(_, client)| should_close(client))
            .map(|(&id, _)| id)
            .collect();
        closed
            .into_iter()
            .for_each(|id| self.close_client(now, engine, id));
        self.connections.close_idle(now, &self.nodes);
        let connected = |machine| !self.connections.available_to(machine).is_empty();
        for (since, machine) in self.nodes.unreached(connected, now) {
            let eviction = if since + UNREACHED_GRACE <= now {
                Eviction::Any
            } else {
                Eviction::SpareOnly
            };
            self.open_connection(machine, eviction);
        }
    }

    /// Closes the client's connection that is least useful: silent ones first, then idle ones.
    pub(super) fn evict_client(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) -> bool {
        let without_set_ups = self
            .clients
            .iter()
            .filter(|(_, client)| client.open_set_ups.is_empty());
        let least_useful = without_set_ups
            .min_by_key(|(_, client)| (client.valid, client.running > 0, client.last_active_at));
        let Some(id) = least_useful.map(|(&id, _)| id) else {
            return false;
        };
        self.close_client(now, engine, id);
        true
    }

    pub(super) fn close_client(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ClientId,
    ) {
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        for task in client.open_set_ups {
            if let Some(id) = engine.find(&task_key(task)) {
                self.cancel(now, engine, id);
            }
        }
    }
}

impl ClientConnection {
    /// Reads what has come, up to so much.
    fn read_ahead(&mut self, now: Ticks) -> ReadOutcome {
        let Some(input) = &self.input else {
            return ReadOutcome::Empty;
        };
        while self.reader.buffered_bytes() < READ_AHEAD_BYTES {
            match input.read(|bytes| self.reader.push(bytes)) {
                ReadOutcome::Data => {}
                ReadOutcome::Empty => {
                    self.drained_at = now;
                    return ReadOutcome::Empty;
                }
                ReadOutcome::Closed => return ReadOutcome::Closed,
            }
        }
        ReadOutcome::Data
    }
}
