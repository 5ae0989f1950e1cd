//! Reads and closes the connections of clients.

use super::arrival_times::counted_from;
use super::hand_overs::is_hand_over;
use super::pending_task::task_key;
use super::*;
use crate::memory_budget::MESSAGE_BYTES;
use crate::writer::MessageSender;
use corkspan_platform_wire::client::{self, MAX_FRAME_BYTES, Message, MessageType};
use std::io::ErrorKind;
use tracing::debug;

/// A client's connection.
pub(super) struct ClientConnection {
    pub(super) sender: MessageSender,
    /// The reading end; `None` until the connection's task has started.
    pub(super) input: Option<ConnectionInput>,
    pub(super) reader: client::Reader,
    /// The time when all input that had arrived was last read.
    pub(super) input_read_at: Ticks,
    pub(super) arrivals: ArrivalTimes,
    /// The set-ups without a final answer.
    pub(super) open_set_ups: BTreeSet<u64>,
    /// The ids of set-ups that were rejected because another connection has a task with that id. A
    /// release of such an id gives up the rejected set-up, and not that task.
    pub(super) rejected_duplicates: BTreeSet<u64>,
    /// The number of running tasks that were set up on the connection.
    pub(super) running: usize,
    pub(super) connected_at: Ticks,
    pub(super) last_active_at: Ticks,
    /// Whether the client has sent a valid message.
    pub(super) valid: bool,
    /// The time since when the input has ended with part of a message.
    pub(super) partial_since: Option<Ticks>,
    pub(super) sent_ends: SentEnds,
    /// The last of the undelivered ends that was copied to the connection.
    pub(super) copied_ends: EndNumber,
    /// The turn in which more input had arrived than could be handled at once.
    pub(super) flooded_in_turn: Option<u64>,
    /// The bytes that the open set-ups count for.
    pub(super) open_bytes: usize,
    /// The bytes that the connection uses of the pool of all clients.
    pub(super) from_pool: usize,
}

/// Why a client's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The client has closed its side.
    ClosedByClient,
    /// Reading has failed.
    ReadFailed(ErrorKind),
    /// The task of the connection has ended: writing has failed, or what was read breaks the
    /// protocol.
    TaskEnded,
    /// The client has sent nothing valid.
    Silent,
    /// The client has sent part of a message and not the rest.
    PartialMessage,
    /// The client has no task, and has sent nothing for long.
    Idle,
    /// The connection makes room for another.
    Evicted,
}

/// Whether a message of a client could be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageValidity {
    /// The message was valid, and its connection is useful.
    Valid,
    /// The message could not be used.
    Unusable,
    /// The message breaks the protocol, so the connection must be closed.
    Violation,
}

impl PlatformState {
    /// Handles the next message of a client. The input behind it is read first, unless that was
    /// done recently: the end of a connection must not wait behind the set-ups that it cancels.
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
            if client.input_read_at + MAX_INPUT_AGE <= now {
                outcome = self.read_ahead(now, id);
            }
            let Some(client) = self.clients.get_mut(&id) else {
                return ReadProgress::Done;
            };
            let closed = match outcome {
                ReadOutcome::Closed => Some(CloseReason::ClosedByClient),
                ReadOutcome::Failed(kind) => Some(CloseReason::ReadFailed(kind)),
                ReadOutcome::Data | ReadOutcome::Empty => None,
            };
            if let Some(reason) = closed {
                self.client_closed(now, engine, id, reason);
                return ReadProgress::Done;
            }
            match client.reader.next_message() {
                Ok(Some(message)) => {
                    let undecoded = client.reader.buffered_bytes();
                    let arrived_after = client.arrivals.of_decoded(undecoded).unwrap_or(now);
                    let sent_at = counted_from(arrived_after, now);
                    let keep_open = self.handle_client_message(now, engine, id, &message, sent_at);
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
                    return ReadProgress::NoMessage;
                }
                Ok(None) => client.input_read_at = 0,
                Err(error) => {
                    debug!(?id, %error, "closing a client's connection after an invalid message");
                    return ReadProgress::Done;
                }
            }
        }
    }

    /// Reads the input that has arrived, up to the end of one message, and further up to
    /// [`READ_AHEAD_BYTES`] as far as the client may hold that much.
    fn read_ahead(&mut self, now: Ticks, id: ClientId) -> ReadOutcome {
        let room = self.room_of(id);
        let Some(client) = self.clients.get_mut(&id) else {
            return ReadOutcome::Closed;
        };
        let Some(input) = &client.input else {
            return ReadOutcome::Empty;
        };
        let max_buffered = (MAX_FRAME_BYTES + room).min(READ_AHEAD_BYTES);
        while client.reader.buffered_bytes() < max_buffered {
            let max_bytes = max_buffered - client.reader.buffered_bytes();
            let push = |bytes: &[u8]| {
                client.reader.push(bytes);
                client.arrivals.record_read(bytes.len(), &self.polls);
            };
            match input.read_up_to(max_bytes, push) {
                ReadOutcome::Data => {}
                ReadOutcome::Empty => {
                    client.input_read_at = now;
                    client.arrivals.drained(now);
                    return ReadOutcome::Empty;
                }
                ended @ (ReadOutcome::Closed | ReadOutcome::Failed(_)) => return ended,
            }
        }
        ReadOutcome::Data
    }

    /// Handles the input that has arrived on the connection of a set-up's client, before an attempt.
    /// Returns false if more has arrived than may be handled at once. It may hold the end of the
    /// set-up or of the connection, so the attempt must wait.
    pub(super) fn read_pending_input(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: AllocationId,
    ) -> bool {
        let Some(from) = engine.data_mut(id).map(|(pending, _)| pending.client) else {
            return true;
        };
        for _ in 0..MAX_MESSAGES_BEFORE_ATTEMPT {
            let client = self.clients.get(&from);
            if !client.is_some_and(|client| client.has_unread_input(now)) {
                return true;
            }
            if client.is_some_and(|client| client.flooded_in_turn == Some(self.turns)) {
                return false;
            }
            match self.read_next_message(now, engine, from) {
                ReadProgress::Handled => {}
                ReadProgress::NoMessage => return true,
                ReadProgress::Done => {
                    self.close_client(now, engine, from, CloseReason::TaskEnded);
                    return true;
                }
            }
        }
        if let Some(client) = self.clients.get_mut(&from) {
            client.flooded_in_turn = Some(self.turns);
        }
        false
    }

    /// Closes a connection whose peer has closed its side, or that makes room: cancels its open
    /// set-ups, and still handles the messages about running tasks that have arrived, since no
    /// connection owns such a task.
    pub(super) fn client_closed(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ClientId,
        reason: CloseReason,
    ) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        let mut reader = std::mem::take(&mut client.reader);
        let rejected_duplicates = std::mem::take(&mut client.rejected_duplicates);
        self.close_client(now, engine, id, reason);
        while let Ok(Some(message)) = reader.next_message() {
            match message.message_type {
                MessageType::Release if !rejected_duplicates.contains(&message.task) => {
                    self.handle_release(now, engine, id, &message);
                }
                MessageType::SetUp if is_hand_over(&message) => {
                    self.handle_set_up(now, engine, id, &message, now);
                }
                _ => {}
            }
        }
    }

    /// Handles a message of a client that counts as sent at the given time. Returns false if its
    /// connection must be closed.
    pub(super) fn handle_client_message(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ClientId,
        message: &Message,
        sent_at: Ticks,
    ) -> bool {
        let Some(client) = self.clients.get_mut(&id) else {
            return false;
        };
        client.partial_since = None;
        let validity = match message.message_type {
            MessageType::SetUp => self.handle_set_up(now, engine, id, message, sent_at),
            MessageType::Release if client.rejected_duplicates.remove(&message.task) => {
                MessageValidity::Unusable
            }
            MessageType::Release => {
                if self.handle_release(now, engine, id, message) {
                    MessageValidity::Valid
                } else {
                    MessageValidity::Unusable
                }
            }
            MessageType::HealthCheck => {
                self.reply_to_health_check(id, message.task);
                MessageValidity::Valid
            }
            MessageType::Acknowledge if client.sent_ends.acknowledge(message.task) => {
                MessageValidity::Valid
            }
            MessageType::Progress | MessageType::Acknowledge => MessageValidity::Unusable,
            MessageType::Answer
            | MessageType::Notification
            | MessageType::Migrate
            | MessageType::HealthCheckReply => MessageValidity::Violation,
        };
        if validity == MessageValidity::Violation {
            debug!(?id, ?message.message_type, "closing a client's connection after a message type that clients must not send");
            return false;
        }
        let valid = validity == MessageValidity::Valid;
        if let Some(client) = self.clients.get_mut(&id).filter(|_| valid) {
            (client.valid, client.last_active_at) = (true, now);
            self.copy_undelivered_ends_to(id);
        }
        self.clients.contains_key(&id)
    }

    /// Handles what has arrived on all connections, before they are closed for good.
    pub(super) fn handle_last_input(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) {
        let all: Vec<ClientId> = self.clients.keys().copied().collect();
        for id in all {
            for _ in 0..MAX_LAST_MESSAGES {
                if self.read_next_message(now, engine, id) != ReadProgress::Handled {
                    break;
                }
            }
        }
    }

    /// Closes the least useful client's connection without open set-ups: silent ones first, then
    /// idle ones. One on which a set-up has arrived that is not handled yet is kept. Returns false if
    /// there is none.
    pub(super) fn evict_client(&mut self, now: Ticks, engine: &mut Engine<PendingTask>) -> bool {
        let without_set_ups = self
            .clients
            .iter()
            .filter(|(_, client)| client.open_set_ups.is_empty());
        let mut candidates: Vec<(bool, bool, Ticks, ClientId)> = without_set_ups
            .map(|(&id, client)| (client.valid, client.running > 0, client.last_active_at, id))
            .collect();
        candidates.sort();
        let least_useful = candidates
            .into_iter()
            .map(|(.., id)| id)
            .find(|&id| !self.has_unread_set_up(now, id));
        let Some(id) = least_useful else {
            return false;
        };
        // Releases that have arrived end tasks, on whatever connection they come.
        self.client_closed(now, engine, id, CloseReason::Evicted);
        true
    }

    /// Returns whether a set-up has arrived on a connection and is not handled yet.
    pub(super) fn has_unread_set_up(&mut self, now: Ticks, id: ClientId) -> bool {
        let outcome = self.read_ahead(now, id);
        let is_open = matches!(outcome, ReadOutcome::Data | ReadOutcome::Empty);
        let client = self.clients.get(&id);
        is_open && client.is_some_and(|client| client.reader.has_message(MessageType::SetUp))
    }

    /// Closes a client's connection and cancels its open set-ups.
    pub(super) fn close_client(
        &mut self,
        now: Ticks,
        engine: &mut Engine<PendingTask>,
        id: ClientId,
        reason: CloseReason,
    ) {
        let Some(client) = self.clients.remove(&id) else {
            return;
        };
        debug!(
            ?id,
            ?reason,
            open = client.open_set_ups.len(),
            running = client.running,
            "a client's connection is closed"
        );
        self.client_memory.release(client.from_pool);
        for task in client.open_set_ups {
            if let Some(id) = engine.find(&task_key(task)) {
                self.cancel(now, engine, id);
            }
        }
        for end in client.sent_ends.in_doubt(now, reason) {
            self.send_again(end);
        }
    }
}

impl ClientConnection {
    /// Returns why the connection is of no use, if that is so.
    pub(super) fn uselessness(&self, now: Ticks) -> Option<CloseReason> {
        let is_partial = self
            .partial_since
            .is_some_and(|since| since + SILENCE_TIMEOUT <= now);
        let is_idle = self.open_set_ups.is_empty()
            && self.running == 0
            && self.last_active_at + IDLE_TIMEOUT <= now;
        if !self.valid && self.connected_at + SILENCE_TIMEOUT <= now {
            Some(CloseReason::Silent)
        } else if is_partial {
            Some(CloseReason::PartialMessage)
        } else {
            is_idle.then_some(CloseReason::Idle)
        }
    }

    /// Returns whether input may have arrived that is not handled yet.
    fn has_unread_input(&self, now: Ticks) -> bool {
        self.input.is_some()
            && (self.input_read_at + MAX_INPUT_AGE <= now || self.reader.has_complete_message())
    }

    /// Returns the bytes that the connection holds besides the input of one message.
    pub(super) fn held_bytes(&self) -> usize {
        let input = self.reader.held_bytes();
        input.saturating_sub(MESSAGE_BYTES) + self.open_bytes + self.sender.queued_bytes()
    }
}
