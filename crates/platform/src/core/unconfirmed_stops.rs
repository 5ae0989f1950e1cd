//! Records the tasks that a node was requested to stop, until it confirms. A request may be queued
//! on a connection that is never established, or that is of no more use, so it is sent again.

use super::limits::{MAX_RUNNING_TASKS, STOP_TIMEOUT};
use corkspan_scheduler::interface::{MachineId, Ticks};
use std::collections::BTreeMap;

/// The number of times that a request is sent again. The delay doubles each time, from
/// [`STOP_TIMEOUT`] on, so the last one is sent half a minute after the first.
const MAX_RETRIES: u32 = 5;

/// A request to stop a task.
#[derive(Clone, Copy, Debug)]
struct Stop {
    cause: u32,
    retries: u32,
    next_retry_at: Ticks,
}

/// A request that is to be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StopRetry {
    pub(super) machine: MachineId,
    pub(super) task: u64,
    pub(super) cause: u32,
}

/// The unconfirmed requests, by the machine and the task.
#[derive(Default)]
pub(super) struct UnconfirmedStops {
    stops: BTreeMap<(MachineId, u64), Stop>,
}

impl UnconfirmedStops {
    /// Records a request that is being sent for the first time. It is not recorded, and so not sent
    /// again, if as many are unconfirmed as tasks may run.
    pub(super) fn add(&mut self, now: Ticks, machine: MachineId, task: u64, cause: u32) {
        if self.stops.len() < MAX_RUNNING_TASKS {
            let stop = Stop {
                cause,
                retries: 0,
                next_retry_at: now + STOP_TIMEOUT,
            };
            self.stops.insert((machine, task), stop);
        }
    }

    /// Records that a node has reported the end of a task.
    pub(super) fn confirm(&mut self, machine: MachineId, task: u64) {
        self.stops.remove(&(machine, task));
    }

    /// Removes the requests to a machine that is gone.
    pub(super) fn forget_machine(&mut self, machine: MachineId) {
        self.stops.retain(|&(other, _), _| other != machine);
    }

    /// Returns the requests that are to be sent again now.
    pub(super) fn due(&mut self, now: Ticks) -> Vec<StopRetry> {
        let mut due = Vec::new();
        for (&(machine, task), stop) in &mut self.stops {
            if stop.next_retry_at > now {
                continue;
            }
            stop.retries += 1;
            stop.next_retry_at = now + (STOP_TIMEOUT << stop.retries);
            let cause = stop.cause;
            due.push(StopRetry {
                machine,
                task,
                cause,
            });
        }
        self.stops.retain(|_, stop| stop.retries < MAX_RETRIES);
        due
    }

    /// Returns the number of recorded requests.
    pub(super) fn len(&self) -> usize {
        self.stops.len()
    }
}
