//! Prints the result of an audit as tables or as one JSON object.

use super::poll::{Observations, dispatcher_report};
use corkspan_api::v1;
use corkspan_dispatcher::clock::wall_ms;
use corkspan_version_fencing::audit::{
    DispatcherReport, DispatcherVersion, Finding, OperationTotals, operation_totals,
};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The reports of dispatchers and nodes, with the findings about them.
pub(super) struct Audit<'a> {
    pub dispatchers: &'a [SocketAddr],
    /// The statuses in the order of the dispatchers; `None` for one that does not answer.
    pub statuses: &'a [Option<v1::VersionStatus>],
    pub observations: &'a Observations,
    /// If set, the versions that were active within this many seconds are printed too.
    pub since_s: Option<u64>,
    pub findings: &'a [Finding],
}

impl Audit<'_> {
    /// Prints everything as tables.
    pub fn print_table(&self) {
        self.print_dispatchers();
        if let Some(since_s) = self.since_s {
            self.print_intervals(since_s);
        }
        if !self.observations.is_empty() {
            self.print_operations();
        }
        self.findings
            .iter()
            .for_each(|finding| println!("{finding}"));
    }

    fn print_dispatchers(&self) {
        println!(
            "{:<22} {:>6} {:>8} {:<9} {:>6} state",
            "dispatcher", "number", "version", "digest", "min"
        );
        for (address, status) in self.dispatchers.iter().zip(self.statuses) {
            let address = address.to_string();
            let Some(status) = status else {
                println!(
                    "{address:<22} {:>6} {:>8} {:<9} {:>6} does not answer",
                    "-", "-", "-", "-"
                );
                continue;
            };
            let report = dispatcher_report(status);
            let minimum = status.minimum_version.as_ref();
            let minimum = minimum.map_or("-".into(), |minimum| minimum.version.to_string());
            let (digest, state) = (report.digest.get(..8).unwrap_or_default(), state(&report));
            println!(
                "{address:<22} {:>6} {:>8} {digest:<9} {minimum:>6} {state}",
                report.dispatcher, report.version
            );
        }
    }

    fn print_intervals(&self, since_s: u64) {
        let now = wall_ms();
        let seconds_ago = |at: u64| now.saturating_sub(at) as f64 / 1_000.0;
        for (address, status) in self.dispatchers.iter().zip(self.statuses) {
            let intervals = status.iter();
            let intervals =
                intervals.flat_map(|status| intervals_since(&status.intervals, now, since_s));
            for (interval, end) in intervals {
                let to = end.map_or("now".into(), |end| format!("{:.1} s ago", seconds_ago(end)));
                let (version, origin) = (number(interval), origin(interval));
                let from = seconds_ago(interval.from_ms);
                println!(
                    "{address}: version {version} ({origin}) from {from:.1} s ago to {to}, incarnation {:x}",
                    interval.incarnation
                );
            }
        }
    }

    fn print_operations(&self) {
        println!(
            "{:>22} {:>8} {:>10} {:>10} {:>11}",
            "dispatcher operations", "version", "attempts", "others", "rejected"
        );
        for (key, totals) in operation_totals(self.observations) {
            let DispatcherVersion {
                dispatcher,
                version,
            } = key;
            let OperationTotals {
                attempts,
                others,
                rejected,
            } = totals;
            println!("{dispatcher:>22} {version:>8} {attempts:>10} {others:>10} {rejected:>11}");
        }
    }

    /// Prints everything as one JSON object.
    pub fn print_json(&self) {
        let now = wall_ms();
        let statuses = self.dispatchers.iter().zip(self.statuses);
        let dispatchers: Vec<Value> = statuses
            .map(|(address, status)| match status {
                Some(status) => self.dispatcher_json(address, status, now),
                None => json!({ "address": address, "answers": false }),
            })
            .collect();
        let totals = operation_totals(self.observations).into_iter();
        let operations: Vec<Value> = totals
            .map(|(key, totals)| {
                json!({
                    "dispatcher": key.dispatcher, "version": key.version, "shots": totals.attempts,
                    "others": totals.others, "below": totals.rejected,
                })
            })
            .collect();
        let findings: Vec<String> = self.findings.iter().map(Finding::to_string).collect();
        println!(
            "{}",
            json!({ "dispatchers": dispatchers, "acts": operations, "findings": findings })
        );
    }

    fn dispatcher_json(
        &self,
        address: &SocketAddr,
        status: &v1::VersionStatus,
        now_ms: u64,
    ) -> Value {
        let report = dispatcher_report(status);
        let intervals = self
            .since_s
            .map(|since_s| intervals_since(&status.intervals, now_ms, since_s))
            .unwrap_or_default();
        let intervals: Vec<Value> = intervals
            .into_iter()
            .map(|(interval, end)| {
                json!({
                    "version": number(interval), "how": origin(interval),
                    "life": format!("{:x}", interval.incarnation),
                    "from_ms": interval.from_ms, "to_ms": end,
                })
            })
            .collect();
        let minimum = status.minimum_version.as_ref();
        json!({
            "address": address, "answers": true, "number": report.dispatcher,
            "life": format!("{:x}", report.incarnation), "version": report.version,
            "digest": report.digest, "state": state(&report),
            "floor": minimum.map(|minimum| minimum.version), "spans": intervals,
        })
    }
}

/// Returns the versions of one dispatcher that were active at any time within the last `since_s`
/// seconds, by the dispatcher's clock, each with its end.
fn intervals_since(
    intervals: &[v1::VersionInterval],
    now_ms: u64,
    since_s: u64,
) -> Vec<(&v1::VersionInterval, Option<u64>)> {
    let since = now_ms.saturating_sub(since_s.saturating_mul(1_000));
    let ends = intervals
        .iter()
        .skip(1)
        .map(|next| Some(next.from_ms))
        .chain([None]);
    intervals
        .iter()
        .zip(ends)
        .filter(|(_, end)| end.is_none_or(|end| end > since))
        .collect()
}

fn origin(interval: &v1::VersionInterval) -> &'static str {
    match interval.origin() {
        v1::version_interval::Origin::File => "its own file",
        v1::version_interval::Origin::Cached => "kept, at a start",
        v1::version_interval::Origin::Push => "pushed",
        v1::version_interval::Origin::Rollback => "after giving up",
        v1::version_interval::Origin::CatchUp => "brought by another",
    }
}

fn number(interval: &v1::VersionInterval) -> u64 {
    interval
        .version
        .as_ref()
        .map_or(0, |version| version.number)
}

fn state(report: &DispatcherReport) -> &'static str {
    match (report.fenced, report.on_trial) {
        (true, _) => "shut out",
        (false, true) => "on trial",
        (false, false) => "acts",
    }
}
