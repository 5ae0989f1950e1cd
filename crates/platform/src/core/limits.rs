//! Limits on what is kept, and timeouts.

use corkspan_scheduler::interface::Ticks;

pub(super) const SECOND: Ticks = 10_000;
/// How old the last read of a client's connection may be when an attempt starts: no attempt may
/// start more than 0.1 s after its client is gone, and this may take a tenth of that.
pub(super) const MAX_INPUT_AGE: Ticks = 100;
/// How many bytes are read ahead on a client's connection, and how many messages are handled in one
/// go before an attempt: a client that sends more floods us.
pub(super) const READ_AHEAD_BYTES: usize = 2 * corkspan_platform_wire::MAX_MESSAGE_BYTES;
pub(super) const MAX_MESSAGES_BEFORE_ATTEMPT: usize = 2 * MAX_SET_UPS_PER_CONNECTION;
/// The maximum number of tasks, running ones among them.
pub(super) const MAX_TASKS: usize = 8_192;
/// The maximum number of open set-ups of one client's connection.
pub(super) const MAX_SET_UPS_PER_CONNECTION: usize = 256;
/// How long a client's connection may go without a valid message, or with half a message: 3 s is
/// the protocol's limit.
pub(super) const SILENCE_TIMEOUT: Ticks = SECOND * 2;
/// How long a client's connection without a task may be silent.
pub(super) const IDLE_TIMEOUT: Ticks = SECOND * 8;
/// The longest deadline that a client may ask for, in milliseconds.
pub(super) const MAX_DEADLINE_MS: u64 = 600_000;
/// Taken off a client's deadline for the transit of its set-up and of our answer.
pub(super) const TRANSIT_ALLOWANCE: Ticks = 50;
/// How long a node may take to report that it has stopped a task.
pub(super) const STOP_TIMEOUT: Ticks = SECOND;
/// How long a health check may take.
pub(super) const HEALTH_CHECK_TIMEOUT: Ticks = SECOND;
/// How long after a refused connection the tasks of a draining node are lost: their ends must be
/// reported within 8 s.
pub(super) const UNREACHABLE_TIMEOUT: Ticks = SECOND * 6;
/// How long a node with tasks goes without a connection before it takes the place of another one.
/// The scheduler checks a silent node each second and gives up its tasks after 5 s: at least one
/// health check must find a connection.
pub(super) const UNREACHED_GRACE: Ticks = SECOND;
/// Ends that nodes reported of unknown tasks: after a start such a task may be handed over a moment
/// later.
pub(super) const MAX_EARLY_ENDS: usize = 1_024;
pub(super) const EARLY_END_LIFETIME: Ticks = SECOND * 10;
/// Messages for clients that no connection could deliver, kept for the next one.
pub(super) const MAX_UNDELIVERED: usize = 1_024;
