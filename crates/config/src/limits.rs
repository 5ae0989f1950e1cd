//! Parses the `(bounds …)` form of the deployment file: a dispatcher's limits and timeouts.

use crate::sexp::{Diagnostic, Form};
use corkspan_scheduler::interface::Ticks;

/// A dispatcher's limits and timeouts. Times are in ticks of 0.1 ms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of allocations in flight or running (`in-hand`).
    pub max_allocations: usize,
    /// The maximum number of open calls on one client connection (`calls`).
    pub max_calls: u32,
    /// The maximum number of client connections (`links`).
    pub max_connections: usize,
    /// The maximum number of unanswered offers to one node (`offers-a-node`).
    pub max_offers_per_node: usize,
    /// The maximum number of events queued for one client (`words-a-client`). Further progress
    /// events are dropped; final answers never are.
    pub max_events_per_client: usize,
    /// The maximum size of one message, in bytes (`message`).
    pub max_message_bytes: usize,
    /// The time within which a connection to a node must be open and have exchanged greetings
    /// (`connect-within`).
    pub connect_timeout: Ticks,
    /// The time after which a silent connection with open calls is pinged. It is closed when it
    /// stays silent for the same time again (`keep-alive`).
    pub keep_alive_interval: Ticks,
    /// The time after which a connection to a node without calls is closed (`idle-close`).
    pub idle_timeout: Ticks,
    /// How long before the client's deadline the final answer is due, at most half of the client's
    /// time (`answer-ahead`). A dispatcher that is stalled for this long still answers in time.
    pub answer_margin: Ticks,
    /// The time after a signal to stop at which attempts still in flight are abandoned
    /// (`stop-within`).
    pub shutdown_grace: Ticks,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_allocations: 20_000,
            max_calls: 10_000,
            max_connections: 1_024,
            max_offers_per_node: 256,
            max_events_per_client: 64,
            max_message_bytes: 64 * 1024,
            connect_timeout: 2_500,
            keep_alive_interval: 100_000,
            idle_timeout: 150_000,
            answer_margin: 12_000,
            shutdown_grace: 80_000,
        }
    }
}

/// Parses `(bounds (in-hand 20000) (connect-within 250 ms) …)`.
pub(crate) fn limits(form: &Form) -> Result<Limits, Diagnostic> {
    let parts = form.parts(&[
        "in-hand",
        "calls",
        "links",
        "offers-a-node",
        "words-a-client",
        "message",
        "connect-within",
        "keep-alive",
        "idle-close",
        "answer-ahead",
        "stop-within",
    ])?;
    let defaults = Limits::default();
    let count = |name, default: usize, min, max| {
        parts.get_or(name, default, |form| Ok(form.integer(min, max)? as usize))
    };
    let time = |name, default, min: Ticks| {
        let read = |form: &Form| match form.time()? {
            time if time >= min => Ok(time),
            _ => Err(form.diagnostic(format!("must be {} ms or more", min / 10))),
        };
        parts.get_or(name, default, read)
    };
    Ok(Limits {
        max_allocations: count("in-hand", defaults.max_allocations, 1, 10_000_000)?,
        max_calls: count("calls", defaults.max_calls as usize, 1, 1_000_000)? as u32,
        max_connections: count("links", defaults.max_connections, 1, 100_000)?,
        max_offers_per_node: count("offers-a-node", defaults.max_offers_per_node, 1, 100_000)?,
        max_events_per_client: count("words-a-client", defaults.max_events_per_client, 8, 100_000)?,
        max_message_bytes: count("message", defaults.max_message_bytes, 1024, 16 << 20)?,
        connect_timeout: time("connect-within", defaults.connect_timeout, 10)?,
        keep_alive_interval: time("keep-alive", defaults.keep_alive_interval, 1_000)?,
        idle_timeout: time("idle-close", defaults.idle_timeout, 1_000)?,
        answer_margin: time("answer-ahead", defaults.answer_margin, 0)?,
        shutdown_grace: time("stop-within", defaults.shutdown_grace, 0)?,
    })
}
