//! How much is kept and how long is waited.

use corkspan_scheduler::interface::Ticks;

pub(super) const SECOND: Ticks = 10_000;
/// An attempt that begins over 0.1 s after its client has gone is one too many: a tenth of that may
/// pass between the last look at a client's connection and an attempt.
pub(super) const INPUT_FRESHNESS: Ticks = 100;
/// So much is read ahead on an owner's connection, and so many messages are handled in one go
/// before an attempt: where more is on its way, it is a flood.
pub(super) const READ_AHEAD_BYTES: usize = 2 * corkspan_platform_wire::MAX_MESSAGE_BYTES;
pub(super) const MAX_MESSAGES_BEFORE_ATTEMPT: usize = 2 * MAX_SET_UPS_PER_CONNECTION;
/// Allocations in hand at a time, those that stand among them.
pub(super) const MAX_TASKS: usize = 8_192;
/// Open set-ups of one connection.
pub(super) const MAX_SET_UPS_PER_CONNECTION: usize = 256;
/// An owner's connection that has said nothing whole and sound is closed after so long: within 3 s
/// it must be.
pub(super) const SILENCE_TIMEOUT: Ticks = SECOND * 2;
/// One without a task, after so long without a word.
pub(super) const IDLE_TIMEOUT: Ticks = SECOND * 8;
/// No deadline of an owner is further away.
pub(super) const MAX_DEADLINE_MS: u64 = 600_000;
/// Taken off an owner's deadline for the way of its set-up to us and of our answer back.
pub(super) const TRANSIT_ALLOWANCE: Ticks = 50;
/// So long a node may take to say that a task is cut.
pub(super) const STOP_TIMEOUT: Ticks = SECOND;
/// So long a test of a node may take.
pub(super) const HEALTH_CHECK_TIMEOUT: Ticks = SECOND;
/// What can't be told by its node any longer must be told within 8 s of its end.
pub(super) const UNREACHABLE_TIMEOUT: Ticks = SECOND * 6;
/// So long a node with tasks goes unheard before it takes the place of another with tasks. The
/// decisions test a silent node each second and give up what stands there after 5 s: of its tests
/// at least one must find a connection.
pub(super) const UNREACHED_GRACE: Ticks = SECOND;
/// Ends that nodes told of tasks which nobody here knows: after a start they may be handed over a
/// moment later.
pub(super) const MAX_EARLY_ENDS: usize = 1_024;
pub(super) const EARLY_END_LIFETIME: Ticks = SECOND * 10;
/// Words for owners that no connection could take, kept for the next one that comes.
pub(super) const MAX_UNDELIVERED: usize = 1_024;
