//! Which changes between two deployments can't be made in service.

use corkspan_config::Deployment;
use corkspan_scheduler::interface::{ServiceClass, ServiceClassId, Tenant};

/// What a version says may shrink to this part of what it was; below, its author must say that it
/// is meant.
const MIN_REMAINING_FRACTION: f64 = 0.5;

/// Why the next deployment can't take the place of the one in force; nothing where it can. `cuts`:
/// its author means it to cut limits. `in_use` counts the allocations in hand of a track.
pub fn violations(
    now: &Deployment,
    next: &Deployment,
    cuts: bool,
    in_use: impl Fn(ServiceClassId) -> usize,
) -> Vec<String> {
    let mut why = restart_only_changes(now, next);
    for (id, name) in now.tracks.iter().enumerate() {
        let many = in_use(ServiceClassId(id));
        if !name.is_empty() && many > 0 && !next.tracks.contains(name) {
            why.push(format!(
                "tracks/{name}: removed, and {many} allocations in hand are of it"
            ));
        }
    }
    if !cuts {
        why.extend(deep_cuts(now, next));
    }
    why
}

/// What a running dispatcher can't change: sockets, names that other programs know machines by, and
/// what nodes do.
fn restart_only_changes(now: &Deployment, next: &Deployment) -> Vec<String> {
    let (a, b) = (&now.cluster, &next.cluster);
    let same = [
        ("schedulers", a.scheduler_count == b.scheduler_count),
        ("halls", now.halls == next.halls),
        (
            "kinds",
            now.kinds == next.kinds && a.machine_types == b.machine_types,
        ),
        (
            "placed-when",
            a.placed_means_running == b.placed_means_running,
        ),
        ("makes-room", a.preempts == b.preempts),
        (
            "shows-room",
            a.list_reports_capacity == b.list_reports_capacity,
        ),
        (
            "bounds/connect-within",
            now.bounds.connect_within == next.bounds.connect_within,
        ),
        (
            "bounds/keep-alive",
            now.bounds.keep_alive == next.bounds.keep_alive,
        ),
        ("bounds/calls", now.bounds.calls == next.bounds.calls),
        ("bounds/links", now.bounds.links == next.bounds.links),
        ("bounds/message", now.bounds.message == next.bounds.message),
    ];
    let changed = same.iter().filter(|(_, same)| !same);
    changed
        .map(|(part, _)| format!("{part}: a change needs a restart"))
        .collect()
}

/// Limits that would fall below a part of what they are: a slip of the pen there stops a fleet at
/// once.
fn deep_cuts(now: &Deployment, next: &Deployment) -> Vec<String> {
    let mut all: Vec<(String, f64, f64)> = Vec::new();
    let (a, b) = (&now.cluster, &next.cluster);
    let mut both = |name: &str, before: f64, after: f64| all.push((name.into(), before, after));
    both(
        "accepts/cores",
        a.admission_limit.cores,
        b.admission_limit.cores,
    );
    both(
        "accepts/memory",
        a.admission_limit.memory,
        b.admission_limit.memory,
    );
    both("shots", a.max_attempts as f64, b.max_attempts as f64);
    both(
        "cold/offers",
        a.slow_start.max_offers,
        b.slow_start.max_offers,
    );
    both(
        "bounds/in-hand",
        now.bounds.in_hand as f64,
        next.bounds.in_hand as f64,
    );
    both(
        "bounds/offers-a-node",
        now.bounds.offers_a_node as f64,
        next.bounds.offers_a_node as f64,
    );
    for (name, account) in
        std::iter::zip(&now.accounts, &a.tenants).filter(|(name, _)| !name.is_empty())
    {
        let later = next
            .accounts
            .iter()
            .position(|other| other == name)
            .map(|at| &b.tenants[at]);
        let share = |account: &Tenant| account.quota_cores.unwrap_or(f64::INFINITY);
        // One that is gone can ask for nothing any more.
        both(
            &format!("accounts/{name}"),
            share(account),
            later.map_or(0.0, share),
        );
    }
    for (name, track) in
        std::iter::zip(&now.tracks, &a.service_classes).filter(|(name, _)| !name.is_empty())
    {
        let Some(at) = next.tracks.iter().position(|other| other == name) else {
            both(&format!("tracks/{name}"), 1.0, 0.0);
            continue;
        };
        both(
            &format!("tracks/{name}/calm"),
            track.target_utilization,
            b.service_classes[at].target_utilization,
        );
        let most =
            |track: &ServiceClass| track.spread.map_or(f64::INFINITY, |(_, most)| most as f64);
        both(
            &format!("tracks/{name}/most"),
            most(track),
            most(&b.service_classes[at]),
        );
    }
    // From no limit to any is a cut too, but one that says what it means.
    let deep = all.into_iter().filter(|(_, before, after)| {
        before.is_finite() && *after < before * MIN_REMAINING_FRACTION
    });
    deep.map(|(name, before, after)| {
        format!(
            "{name}: cut from {before} to {after}; below {MIN_REMAINING_FRACTION} of it only with the mark of intent"
        )
    })
    .collect()
}
