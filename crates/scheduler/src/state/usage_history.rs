//! Keeps records of the peak usage of ended allocations, by service.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// The usage record of one ended allocation.
#[derive(Clone, Copy)]
pub struct UsageRecord {
    /// Peak usage as a share of the request.
    pub peak: Resources,
    /// Time from its dispatch to its end.
    pub duration: Ticks,
    /// The time of its end.
    pub ended_at: Ticks,
}

/// The latest records of each service, newest first.
#[derive(Default)]
pub struct UsageHistory(BTreeMap<ServiceId, VecDeque<UsageRecord>>);

impl UsageHistory {
    /// Adds a record. Beyond `max_records` of a service the oldest record is dropped; beyond
    /// `max_services` the service that has had no new record for the longest time.
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

    /// Returns the peaks of the records that match an allocation of this age and peak usage so far:
    /// those that ran at least as long and used at least as much. Without any, returns only
    /// `fallback`.
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

    /// Returns a lower bound, for each resource, of the service's recorded peaks and of the request
    /// itself, which serves as the peak if no record matches.
    pub fn least_peak(&self, service: ServiceId) -> Resources {
        let records = self.0.get(&service).into_iter().flatten();
        records.fold(Resources::ONE, |least, record| least.min(record.peak))
    }

    /// Returns the number of services with records.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
