//! What owners are told.

use super::clients::Owner;
use super::tasks::{Placing, Stage};
use super::*;
use corkspan_platform_wire::client::{self, MessageType};

impl Port {
    pub(super) fn say(
        &mut self,
        to: OwnerId,
        kind: MessageType,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) -> bool {
        let Some(bytes) = client::encode(kind, task, parameters) else {
            return false;
        };
        self.owners
            .get(&to)
            .is_some_and(|owner| owner.to.send(bytes))
    }

    /// A set-up has failed, or was refused.
    pub(super) fn release(&mut self, to: OwnerId, task: u64, cause: u8) {
        self.say(to, MessageType::Release, task, &[(client::CAUSE, &[cause])]);
    }

    /// The end of what stood: on the connection of its set-up, else on any, else on the next that
    /// comes.
    pub(super) fn say_over(
        &mut self,
        to: OwnerId,
        kind: MessageType,
        task: u64,
        parameters: &[(u8, &[u8])],
    ) {
        let Some(bytes) = client::encode(kind, task, parameters) else {
            return;
        };
        if !self
            .owners
            .get(&to)
            .is_some_and(|owner| owner.to.send_over(bytes.clone()))
        {
            self.tell_any(bytes);
        }
    }

    /// On any connection, else on the next that comes.
    pub(super) fn tell_any(&mut self, bytes: Vec<u8>) {
        let sound = self.owners.values().filter(|owner| owner.sound);
        let mut others: Vec<&Owner> = sound.collect();
        others.sort_by_key(|owner| std::cmp::Reverse(owner.heard));
        let told = others
            .into_iter()
            .any(|owner| owner.to.send_over(bytes.clone()));
        if !told && self.untold.len() < UNTOLD {
            self.untold.push_back(bytes);
        }
    }

    /// The final answer; true where one was owed.
    pub(super) fn answer(&mut self, placing: &mut Placing, id: AllocationId, stage: Stage) -> bool {
        if let Some(owner) = self.owners.get_mut(&placing.owner) {
            owner.open.remove(&placing.task);
            owner.heard = self.now;
            owner.stands += usize::from(stage == Stage::Stands);
        }
        let owed = placing.stage == Stage::Asked;
        placing.stage = stage;
        self.owed.remove(&id) && owed
    }

    /// It stands no longer.
    pub(super) fn stood(&mut self, placing: &mut Placing) -> bool {
        let stood = placing.stage == Stage::Stands;
        if stood {
            placing.stage = Stage::Over;
            if let Some(owner) = self.owners.get_mut(&placing.owner) {
                owner.stands = owner.stands.saturating_sub(1);
                owner.heard = self.now;
            }
        }
        stood
    }
}
