//! What ended allocations of each service came to use.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// What an ended allocation of a service came to use, by asked unit, and how long it ran.
#[derive(Clone, Copy)]
pub struct Record {
    pub peak: Resources,
    pub life: Ticks,
    pub ended: Ticks,
}

/// The records of each service, the last one first.
#[derive(Default)]
pub struct Records(BTreeMap<ServiceId, VecDeque<Record>>);

impl Records {
    /// Keeps so many of a service, and so many services: they come and go without end, and the one
    /// longest without an end gives way.
    pub fn push(&mut self, service: ServiceId, record: Record, most: usize, services: usize) {
        let records = self.0.entry(service).or_default();
        records.push_front(record);
        records.truncate(most);
        if self.0.len() > services {
            let ended = |records: &VecDeque<Record>| records.front().map(|record| record.ended);
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, records)| ended(records))
                .map(|(&id, _)| id);
            oldest.map(|id| self.0.remove(&id));
        }
    }

    /// Peaks of those that fit a guest of this age and highest use by asked unit, else the one
    /// given.
    pub fn fitting(
        &self,
        service: ServiceId,
        age: Ticks,
        highest: Resources,
        none: Resources,
    ) -> Vec<Resources> {
        let records = self.0.get(&service).into_iter().flatten();
        let fits = records.filter(|record| record.life >= age && highest.fits_in(record.peak));
        let peaks: Vec<Resources> = fits.map(|record| record.peak).collect();
        if peaks.is_empty() { vec![none] } else { peaks }
    }

    /// No peak of the service is below this, nor the one taken where none is known.
    pub fn least(&self, service: ServiceId) -> Resources {
        let records = self.0.get(&service).into_iter().flatten();
        records.fold(Resources::ONE, |least, record| least.min(record.peak))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }
}
