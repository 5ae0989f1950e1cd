//! A keeper: one of the few nodes that hold the latest roll of each service, and who holds its slots. It must
//! answer from what survives its own restart; one that has lost it must come back as another.

use crate::{ClaimId, Roll};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Who holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    pub claim: ClaimId,
    pub task: String,
    pub dispatcher: u32,
}

/// What a keeper says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claimed {
    Granted,
    /// Another holds it, or as many are held as may be.
    Taken,
    /// Another roll of the service stands here.
    OtherRoll,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    pub roll: Roll,
    pub slots: BTreeMap<u32, Grant>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    services: BTreeMap<String, Kept>,
}

/// Services that one keeper keeps at the most: what is asked of it over a wire must not grow without end.
const MOST: usize = 10_000;

impl Keeper {
    /// Takes a wish if it is later than the one it has. What stands here afterwards: the wish itself where it
    /// was taken, now or before; none where no more services can be kept. Claims under the earlier one go on
    /// holding their slots.
    pub fn propose(&mut self, roll: Roll) -> Option<&Roll> {
        if !self.services.contains_key(&roll.service) {
            if self.services.len() >= MOST {
                return None;
            }
            let kept = Kept { roll: roll.clone(), slots: BTreeMap::new() };
            self.services.insert(roll.service.clone(), kept);
        }
        let kept = self.services.get_mut(&roll.service)?;
        if kept.roll.number < roll.number {
            kept.roll = roll;
        }
        Some(&kept.roll)
    }

    /// Grants a slot of the roll that stands here. A smaller limit than the one before holds for those held
    /// under that too: none is granted until so many have come back.
    pub fn claim(&mut self, service: &str, number: u64, slot: u32, grant: Grant) -> Claimed {
        let Some(kept) = self.services.get_mut(service).filter(|kept| kept.roll.number == number) else {
            return Claimed::OtherRoll;
        };
        if let Some(held) = kept.slots.get(&slot) {
            return if held.claim == grant.claim { Claimed::Granted } else { Claimed::Taken };
        }
        if slot >= kept.roll.unready_most || kept.slots.len() >= kept.roll.unready_most as usize {
            return Claimed::Taken;
        }
        kept.slots.insert(slot, grant);
        Claimed::Granted
    }

    /// Frees what this claim holds, and nothing else: word that comes late or twice frees no later claim's.
    pub fn release(&mut self, service: &str, claim: ClaimId) {
        if let Some(kept) = self.services.get_mut(service) {
            kept.slots.retain(|_, grant| grant.claim != claim);
        }
    }

    pub fn services(&self) -> impl Iterator<Item = &Kept> {
        self.services.values()
    }
}
