//! Derives from the limit on memory how many bytes the clients together may make the dispatcher
//! hold, and how many clients' connections that allows.

use corkspan_platform_wire::MAX_MESSAGE_BYTES;

const BYTES_PER_MB: f64 = 1_000_000.0;
/// The limit if the configuration gives none, in megabytes.
const DEFAULT_LIMIT_MB: f64 = 192.0;
/// Minimum limit, in megabytes: about twice what an idle dispatcher needs.
pub const MIN_LIMIT_MB: f64 = 16.0;
/// The share of the limit for what clients make the dispatcher hold. The rest is for the process
/// itself, the nodes, the running tasks and what the allocator can't use.
const CLIENT_SHARE: f64 = 0.5;
/// The bytes for one message of maximum size: its input, its length, and what the buffer is larger
/// than its content; or the content of its set-up and the records of it.
pub const MESSAGE_BYTES: usize = MAX_MESSAGE_BYTES + 1024;

/// The limit on memory is lower than a dispatcher needs, or no number.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("limits: memory_mb of {0} is less than the minimum of {MIN_LIMIT_MB}")]
pub struct TooLittleMemory(pub f64);

/// The memory for what clients make the dispatcher hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// The number of bytes for all clients together.
    pub client_bytes: usize,
}

impl MemoryBudget {
    /// Divides a limit in megabytes.
    ///
    /// # Errors
    ///
    /// Fails if the limit is lower than [`MIN_LIMIT_MB`].
    pub fn new(limit_mb: Option<f64>) -> Result<MemoryBudget, TooLittleMemory> {
        let limit_mb = limit_mb.unwrap_or(DEFAULT_LIMIT_MB);
        if limit_mb.is_nan() || limit_mb < MIN_LIMIT_MB {
            return Err(TooLittleMemory(limit_mb));
        }
        Ok(MemoryBudget {
            client_bytes: (limit_mb * BYTES_PER_MB * CLIENT_SHARE) as usize,
        })
    }

    /// Returns the number of clients' connections that may be open. The input of one message and
    /// one open set-up of each take at most three quarters of the memory for clients.
    pub fn max_clients(self) -> usize {
        self.client_bytes / 4 * 3 / (2 * MESSAGE_BYTES)
    }
}
