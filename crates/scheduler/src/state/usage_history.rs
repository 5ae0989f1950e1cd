//! The peak usage of ended allocations, by service.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// What one ended allocation came to use.
#[derive(Clone, Copy)]
pub struct UsageRecord {
    /// Peak usage as a share of what was requested.
    pub peak: Resources,
    /// How long it ran.
    pub duration: Ticks,
    /// When it ended.
    pub ended_at: Ticks,
}

/// The latest records of each service, the last one first.
#[derive(Default)]
pub struct UsageHistory(BTreeMap<ServiceId, VecDeque<UsageRecord>>);

impl UsageHistory {
    /// Adds a record. Beyond `max_records` of a service the oldest goes; beyond `max_services` the
    /// service that has had no record for the longest time.
    pub fn push(
        &mut self,
        service: ServiceId,
        record: UsageRecord,
        max_records: usize,
        max_services: usize,
    ) {
        let records = self.0.entry(service).or_default();
        records.push_front(record);
        records.truncate(max_records);
        if self.0.len() > max_services {
            let last_ended_at =
                |records: &VecDeque<UsageRecord>| records.front().map(|record| record.ended_at);
            let oldest = self
                .0
                .iter()
                .min_by_key(|(_, records)| last_ended_at(records))
                .map(|(&id, _)| id);
            oldest.map(|id| self.0.remove(&id));
        }
    }

    /// Peaks of the records that an allocation of this age and peak usage may follow: those that
    /// ran as long and used as much. `fallback` alone if there are none.
    pub fn matching_peaks(
        &self,
        service: ServiceId,
        age: Ticks,
        peak_usage: Resources,
        fallback: Resources,
    ) -> Vec<Resources> {
        let records = self.0.get(&service).into_iter().flatten();
        let matching =
            records.filter(|record| record.duration >= age && peak_usage.fits_in(record.peak));
        let peaks: Vec<Resources> = matching.map(|record| record.peak).collect();
        if peaks.is_empty() {
            vec![fallback]
        } else {
            peaks
        }
    }

    /// A lower bound of the service's peaks, and of the request itself, which stands for a peak
    /// where no record matches.
    pub fn least_peak(&self, service: ServiceId) -> Resources {
        let records = self.0.get(&service).into_iter().flatten();
        records.fold(Resources::ONE, |least, record| least.min(record.peak))
    }

    /// The number of services with records.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
