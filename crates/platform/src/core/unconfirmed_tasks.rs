//! Records the running tasks that clients have handed over, and of which their nodes have not
//! reported anything yet. A client may hand over tasks that no node has, so when there are too many,
//! the client with the most of them has to give some up.

use crate::ids::ClientId;
use corkspan_scheduler::interface::AllocationId;
use std::collections::{BTreeMap, BTreeSet};

/// The unconfirmed tasks by the connection on which they were handed over.
#[derive(Default)]
pub(super) struct UnconfirmedTasks {
    by_client: BTreeMap<ClientId, BTreeSet<AllocationId>>,
}

impl UnconfirmedTasks {
    /// Records a task that was handed over.
    pub(super) fn add(&mut self, client: ClientId, id: AllocationId) {
        self.by_client.entry(client).or_default().insert(id);
    }

    /// Removes a task that its node has confirmed, or that has ended.
    pub(super) fn remove(&mut self, client: ClientId, id: AllocationId) {
        let Some(tasks) = self.by_client.get_mut(&client) else {
            return;
        };
        tasks.remove(&id);
        if tasks.is_empty() {
            self.by_client.remove(&client);
        }
    }

    /// Returns the oldest task of the connection with the most, if that has more than one.
    pub(super) fn oldest_of_largest(&self) -> Option<AllocationId> {
        let largest = self.by_client.values().max_by_key(|tasks| tasks.len())?;
        largest.first().copied().filter(|_| largest.len() > 1)
    }

    /// Returns the number of recorded tasks.
    pub(super) fn len(&self) -> usize {
        self.by_client.values().map(BTreeSet::len).sum()
    }
}
