//! Bounds the memory that clients make the dispatcher hold: input that is not decoded yet, open
//! set-ups, and messages that are not written yet.
//!
//! Each connection may hold the input of one message and a guaranteed number of bytes, enough for
//! the largest set-up, whatever others hold. What it holds beyond comes from a pool that all share.
//! So a client that floods the dispatcher uses up the pool, and never what is guaranteed to others.

use super::*;
use crate::memory_budget::MESSAGE_BYTES;
use corkspan_platform_wire::MAX_MESSAGE_BYTES;
use corkspan_platform_wire::client::SetUp;

/// Minimum bytes of an open set-up besides its content: its records in the engine and in the core.
const MIN_SET_UP_OVERHEAD_BYTES: usize = 1024;

/// The bytes that clients may hold besides the input of one message each, and the use of the pool.
pub(super) struct ClientMemory {
    /// The number of bytes that each connection may hold in any case.
    guaranteed: usize,
    /// The bytes that an open set-up counts for besides its content. It counts for at least its part
    /// of the maximum number, so that no client can use up the others' set-ups.
    set_up_overhead: usize,
    pool: usize,
    pool_used: usize,
}

impl ClientMemory {
    /// Divides the number of bytes that `max_clients` connections may hold. Half of what the input
    /// of one message on each leaves is guaranteed, or more if the largest set-up needs it.
    pub(super) fn new(bytes: usize, max_clients: usize) -> ClientMemory {
        let besides_input = bytes.saturating_sub(max_clients * MESSAGE_BYTES);
        let set_up_overhead = (bytes / MAX_OPEN_SET_UPS).max(MIN_SET_UP_OVERHEAD_BYTES);
        let largest_set_up = MAX_MESSAGE_BYTES + set_up_overhead;
        let guaranteed = (besides_input / 2 / max_clients.max(1)).max(largest_set_up);
        ClientMemory {
            guaranteed,
            set_up_overhead,
            pool: besides_input.saturating_sub(guaranteed * max_clients),
            pool_used: 0,
        }
    }

    /// Returns the number of bytes that each connection may hold in any case.
    pub(super) fn guaranteed(&self) -> usize {
        self.guaranteed
    }

    /// Uses up the pool.
    #[cfg(test)]
    pub(super) fn use_up_pool(&mut self) {
        self.pool_used = self.pool;
    }

    /// Returns the number of bytes of the pool that are used.
    #[cfg(test)]
    pub(super) fn pool_used(&self) -> usize {
        self.pool_used
    }

    /// Returns the number of bytes that an open set-up counts for.
    pub(super) fn set_up_bytes(&self, set_up: &SetUp) -> usize {
        let texts = [&set_up.class, &set_up.name, &set_up.description];
        let key = set_up.idempotency_key.as_ref().map_or(0, String::len);
        self.set_up_overhead + key + texts.iter().map(|text| text.len()).sum::<usize>()
    }

    /// Records what a connection holds. `from_pool` is its use of the pool.
    fn record(&mut self, from_pool: &mut usize, held: usize) {
        let needed = held.saturating_sub(self.guaranteed);
        self.pool_used = self.pool_used.saturating_sub(*from_pool) + needed;
        *from_pool = needed;
    }

    /// Records that a connection is closed.
    pub(super) fn release(&mut self, from_pool: usize) {
        self.pool_used = self.pool_used.saturating_sub(from_pool);
    }

    /// Returns how many bytes more a connection may hold.
    fn room(&self, from_pool: usize, held: usize) -> usize {
        let pool_left = self.pool.saturating_sub(self.pool_used);
        (self.guaranteed + from_pool + pool_left).saturating_sub(held)
    }
}

impl PlatformState {
    /// Returns whether a reply may be queued for a client. Replies may take as much as is guaranteed,
    /// whatever else the client holds: one that reads them must not lose its connection because its
    /// set-ups have used up its room.
    pub(super) fn may_queue_reply(&mut self, to: ClientId, bytes: usize) -> bool {
        let queued = self
            .clients
            .get(&to)
            .map_or(0, |client| client.sender.queued_bytes());
        queued + bytes <= self.client_memory.guaranteed() || self.has_room(to, bytes)
    }

    /// Returns whether a connection may hold this many bytes more.
    pub(super) fn has_room(&mut self, id: ClientId, bytes: usize) -> bool {
        if self.room_of(id) >= bytes {
            return true;
        }
        // What others have released since they were last counted does not show yet.
        let all: Vec<ClientId> = self.clients.keys().copied().collect();
        for client in all {
            self.room_of(client);
        }
        self.room_of(id) >= bytes
    }

    /// Counts what a connection holds, and returns how many bytes more it may hold.
    pub(super) fn room_of(&mut self, id: ClientId) -> usize {
        let Some(client) = self.clients.get_mut(&id) else {
            return 0;
        };
        let held = client.held_bytes();
        self.client_memory.record(&mut client.from_pool, held);
        self.client_memory.room(client.from_pool, held)
    }
}
