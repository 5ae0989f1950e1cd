//! Limits on retained state, and timeouts.

use corkspan_scheduler::interface::Ticks;

pub(super) const TICKS_PER_MS: Ticks = 10;
pub(super) const SECOND: Ticks = 1_000 * TICKS_PER_MS;
/// Maximum age of the last read of a client's connection when an attempt starts. No attempt may
/// start more than 0.1 s after its client is gone, and this is a tenth of that.
pub(super) const MAX_INPUT_AGE: Ticks = 100;
/// The longest wait of an unread message that does not count. Polls can't tell a shorter one from none,
/// and the protocol lets a node be told 0.15 s more than is left.
pub(super) const MAX_UNCOUNTED_WAIT: Ticks = SECOND / 10;
/// Number of bytes that are read ahead on a client's connection. A client that sends more is
/// flooding the dispatcher.
pub(super) const READ_AHEAD_BYTES: usize = 2 * corkspan_platform_wire::MAX_MESSAGE_BYTES;
/// Maximum number of messages of a client that are handled at once before an attempt, once in each
/// turn. If more have arrived, the client's attempts wait, and other clients' do not.
pub(super) const MAX_MESSAGES_BEFORE_ATTEMPT: usize = 64;
/// Maximum number of messages of a client that are handled when the process ends.
pub(super) const MAX_LAST_MESSAGES: usize = 1_024;
/// The maximum number of running tasks that are taken over.
pub(super) const MAX_RUNNING_TASKS: usize = 8_192;
/// The maximum number of open set-ups. They are counted apart from running tasks, so that neither
/// can keep the other out.
pub(super) const MAX_OPEN_SET_UPS: usize = 8_192;
/// The maximum number of open set-ups on one client's connection.
pub(super) const MAX_SET_UPS_PER_CONNECTION: usize = 256;
/// Time after which a client's connection is closed if it has sent no valid message or only part of
/// one. The protocol's limit is 3 s.
pub(super) const SILENCE_TIMEOUT: Ticks = SECOND * 2;
/// Time after which a silent client's connection without a task is closed.
pub(super) const IDLE_TIMEOUT: Ticks = SECOND * 8;
/// The longest deadline that a client may request, in milliseconds.
pub(super) const MAX_DEADLINE_MS: u64 = 600_000;
/// Time subtracted from a client's deadline for the transit of its set-up and of the answer.
pub(super) const TRANSIT_ALLOWANCE: Ticks = 50;
/// Time within which a node must report that it has stopped a task.
pub(super) const STOP_TIMEOUT: Ticks = SECOND;
/// Time within which a node must reply to a health check.
pub(super) const HEALTH_CHECK_TIMEOUT: Ticks = SECOND;
/// Time of silence after which the tasks of a draining node that refuses connections count as lost. Their
/// ends must be reported within 8 s, and a sweep may come later.
pub(super) const SILENT_DRAIN_TIMEOUT: Ticks = END_REPORT_LIMIT - SECOND;
/// Time after a refused connection when the tasks of a draining node count as lost. Their ends must
/// be reported within 8 s.
pub(super) const UNREACHABLE_TIMEOUT: Ticks = SECOND * 6;
/// Time for which a node with tasks has no connection before the only connection to another node
/// may be closed for it. The scheduler needs connections to a silent node to tell whether its tasks
/// are lost.
pub(super) const UNREACHED_GRACE: Ticks = SECOND;
/// Time by which the hand-over of a running task may be late: by the protocol it counts that much later.
pub(super) const HAND_OVER_TRANSIT: Ticks = SECOND / 5;
/// Time for which a task that was handed over waits for the list to name its node. Beyond it, the end of
/// a task that is gone with its node could not be reported in time.
pub(super) const UNLISTED_NODE_TIMEOUT: Ticks = END_REPORT_LIMIT - SECOND;
/// The maximum number of tasks that wait for the list to name their node.
pub(super) const MAX_UNLISTED_TASKS: usize = 1_024;
/// Maximum number of remembered ends of unknown tasks. After a start, such a task may be handed
/// over shortly after its node reports its end.
pub(super) const MAX_EARLY_ENDS: usize = 1_024;
/// Time for which the end of an unknown task is remembered.
pub(super) const EARLY_END_LIFETIME: Ticks = SECOND * 10;
/// The maximum number of remembered ids of requests that may have run.
pub(super) const MAX_SPENT_IDS: usize = MAX_OPEN_SET_UPS;
/// The maximum number of ends of tasks whose client's connection is gone: all tasks may end while
/// their clients are away.
pub(super) const MAX_UNDELIVERED_ENDS: usize = MAX_RUNNING_TASKS;
/// The maximum number of ends that are remembered of one client's connection.
pub(super) const MAX_SENT_ENDS: usize = 1_024;
/// Maximum bytes of the ends that are copied to a connection at once.
pub(super) const MAX_COPIED_BYTES: usize = 16 * 1024;
/// Time after which an end counts as read if its client then closes the connection in order. Clients
/// keep a connection for 4 s after its last task.
pub(super) const ORDERLY_CLOSE_DOUBT: Ticks = SECOND * 3;
/// Time within which the protocol requires that the end of a task be reported to its client.
pub(super) const END_REPORT_LIMIT: Ticks = SECOND * 8;
