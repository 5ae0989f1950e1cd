//! Bounds when input has arrived that is read late.
//!
//! A client counts the time that it waits from when it sends a set-up, and the set-up does not tell
//! when that was. While the process is paused or busy, input waits in the system, or here behind
//! other messages. Each time is a lower bound, so that a deadline that counts from it is never later
//! than the client's.

use super::limits::MAX_UNCOUNTED_WAIT;
use corkspan_scheduler::interface::Ticks;
use std::collections::VecDeque;

/// The times of the last polls for input. They are recorded by a timer, which waits its turn like the
/// tasks that read: of two polls in a row the later one has found what had arrived before the earlier
/// one was due.
pub(super) struct PollTimes {
    due_at: [Ticks; 2],
}

impl PollTimes {
    pub(super) fn new(now: Ticks) -> PollTimes {
        PollTimes { due_at: [now; 2] }
    }

    /// Records a poll that was due at the given time.
    pub(super) fn record(&mut self, due_at: Ticks) {
        self.due_at = [self.due_at[1], due_at];
    }

    /// Returns a time at which nothing was waiting of what is found only now.
    pub(super) fn nothing_waited_at(&self) -> Ticks {
        self.due_at[0]
    }
}

/// Since when input of one source may be waiting.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingInput {
    since: Ticks,
    /// Whether all input had been read at that time.
    is_drained: bool,
}

impl WaitingInput {
    /// Creates the state of a source whose input may have been waiting since the given time.
    pub(super) fn since(since: Ticks) -> WaitingInput {
        WaitingInput {
            since,
            is_drained: false,
        }
    }

    /// Records that nothing is waiting.
    pub(super) fn drained(&mut self, now: Ticks) {
        *self = WaitingInput {
            since: now,
            is_drained: true,
        };
    }

    /// Returns since when the input that is found now may have been waiting.
    pub(super) fn found(&mut self, polls: &PollTimes) -> Ticks {
        if self.is_drained {
            self.since = self.since.max(polls.nothing_waited_at());
            self.is_drained = false;
        }
        self.since
    }
}

/// Bytes that were read at once.
struct ReadBytes {
    /// The number of all bytes that were read until then.
    end: u64,
    arrived_after: Ticks,
}

/// When the bytes of a connection have arrived that are not decoded yet.
pub(super) struct ArrivalTimes {
    waiting: WaitingInput,
    read: u64,
    /// From the oldest to the newest, each of at least a byte that the reader holds.
    undecoded: VecDeque<ReadBytes>,
}

impl ArrivalTimes {
    pub(super) fn new(waiting: WaitingInput) -> ArrivalTimes {
        ArrivalTimes {
            waiting,
            read: 0,
            undecoded: VecDeque::new(),
        }
    }

    /// Records that bytes were read.
    pub(super) fn record_read(&mut self, count: usize, polls: &PollTimes) {
        self.read += count as u64;
        let (end, arrived_after) = (self.read, self.waiting.found(polls));
        match self.undecoded.back_mut() {
            Some(last) if last.arrived_after == arrived_after => last.end = end,
            _ => self.undecoded.push_back(ReadBytes { end, arrived_after }),
        }
    }

    /// Records that everything that had arrived has been read.
    pub(super) fn drained(&mut self, now: Ticks) {
        self.waiting.drained(now);
    }

    /// Returns after which time the last byte of the message has arrived that was just decoded.
    /// `undecoded` bytes follow it.
    pub(super) fn of_decoded(&mut self, undecoded: usize) -> Option<Ticks> {
        let decoded = self.read.saturating_sub(undecoded as u64);
        while self
            .undecoded
            .front()
            .is_some_and(|first| first.end < decoded)
        {
            self.undecoded.pop_front();
        }
        self.undecoded.front().map(|first| first.arrived_after)
    }
}

/// Returns from when the time of a message counts that has arrived after the given time.
pub(super) fn counted_from(arrived_after: Ticks, now: Ticks) -> Ticks {
    if arrived_after + MAX_UNCOUNTED_WAIT < now {
        arrived_after
    } else {
        now
    }
}
