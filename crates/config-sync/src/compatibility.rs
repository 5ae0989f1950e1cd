//! Changes between two deployments that cannot take effect while the dispatcher runs.

use corkspan_config::Deployment;
use corkspan_scheduler::interface::{ServiceClass, ServiceClassId, Tenant};

/// Smallest fraction of its value to which a limit may shrink unless the push allows cuts.
const MIN_REMAINING_FRACTION: f64 = 0.5;

/// Returns the reasons why the next deployment cannot replace the current one; empty if it can.
/// `allows_cuts` is set if the author intends to cut limits below half of their values. `in_use`
/// returns the number of allocations of a service class.
#[must_use]
pub fn violations(
    current: &Deployment,
    next: &Deployment,
    allows_cuts: bool,
    in_use: impl Fn(ServiceClassId) -> usize,
) -> Vec<String> {
    let mut violations = restart_only_changes(current, next);
    for (id, name) in current.service_classes.iter().enumerate() {
        let allocations = in_use(ServiceClassId(id));
        if !name.is_empty() && allocations > 0 && !next.service_classes.contains(name) {
            violations.push(format!(
                "tracks/{name}: removed, but {allocations} allocations still use it"
            ));
        }
    }
    if !allows_cuts {
        violations.extend(deep_cuts(current, next));
    }
    violations
}

/// Returns the changes that a running dispatcher cannot make: to sockets, to names by which other
/// programs know machines, and to the behavior of nodes. The names are those of the deployment
/// file.
fn restart_only_changes(current: &Deployment, next: &Deployment) -> Vec<String> {
    let (before, after) = (&current.cluster, &next.cluster);
    let (bounds, next_bounds) = (&current.limits, &next.limits);
    let comparisons = [
        (
            "schedulers",
            before.scheduler_count == after.scheduler_count,
        ),
        ("halls", current.zones == next.zones),
        (
            "kinds",
            current.machine_types == next.machine_types
                && before.machine_types == after.machine_types,
        ),
        (
            "placed-when",
            before.placed_means_running == after.placed_means_running,
        ),
        ("makes-room", before.preempts == after.preempts),
        (
            "shows-room",
            before.list_reports_capacity == after.list_reports_capacity,
        ),
        (
            "bounds/connect-within",
            bounds.connect_timeout == next_bounds.connect_timeout,
        ),
        (
            "bounds/keep-alive",
            bounds.keep_alive_interval == next_bounds.keep_alive_interval,
        ),
        ("bounds/calls", bounds.max_calls == next_bounds.max_calls),
        (
            "bounds/links",
            bounds.max_connections == next_bounds.max_connections,
        ),
        (
            "bounds/message",
            bounds.max_message_bytes == next_bounds.max_message_bytes,
        ),
    ];
    let changed = comparisons.iter().filter(|(_, is_same)| !is_same);
    changed
        .map(|(part, _)| format!("{part}: a change needs a restart"))
        .collect()
}

/// The value of a limit before and after a change. Infinity means that there is no limit.
struct LimitChange {
    name: String,
    before: f64,
    after: f64,
}

impl LimitChange {
    fn new(name: impl Into<String>, before: f64, after: f64) -> Self {
        LimitChange {
            name: name.into(),
            before,
            after,
        }
    }

    /// Returns whether the limit shrinks too far. Introducing a limit where there was none is never
    /// a deep cut, since that is explicit.
    fn is_deep_cut(&self) -> bool {
        self.before.is_finite() && self.after < self.before * MIN_REMAINING_FRACTION
    }
}

/// Returns the limits that would shrink to less than half: a typing error there would stop a whole
/// fleet at once.
fn deep_cuts(current: &Deployment, next: &Deployment) -> Vec<String> {
    let mut changes = limit_changes(current, next);
    changes.extend(tenant_changes(current, next));
    changes.extend(class_changes(current, next));
    changes.retain(LimitChange::is_deep_cut);
    let described = changes.iter().map(|change| {
        let LimitChange { name, before, after } = change;
        format!(
            "{name}: cut from {before} to {after}; a cut below {MIN_REMAINING_FRACTION} of the value needs allows_large_cuts"
        )
    });
    described.collect()
}

fn limit_changes(current: &Deployment, next: &Deployment) -> Vec<LimitChange> {
    let (before, after) = (&current.cluster, &next.cluster);
    let (bounds, next_bounds) = (&current.limits, &next.limits);
    vec![
        LimitChange::new(
            "accepts/cores",
            before.admission_limit.cores,
            after.admission_limit.cores,
        ),
        LimitChange::new(
            "accepts/memory",
            before.admission_limit.memory,
            after.admission_limit.memory,
        ),
        LimitChange::new(
            "shots",
            before.max_attempts as f64,
            after.max_attempts as f64,
        ),
        LimitChange::new(
            "cold/offers",
            before.slow_start.max_attempts,
            after.slow_start.max_attempts,
        ),
        LimitChange::new(
            "bounds/in-hand",
            bounds.max_allocations as f64,
            next_bounds.max_allocations as f64,
        ),
        LimitChange::new(
            "bounds/offers-a-node",
            bounds.max_offers_per_node as f64,
            next_bounds.max_offers_per_node as f64,
        ),
    ]
}

/// Returns the changes of quotas. The quota of a removed tenant falls to 0.
fn tenant_changes(current: &Deployment, next: &Deployment) -> Vec<LimitChange> {
    let quota = |tenant: &Tenant| tenant.quota_cores.unwrap_or(f64::INFINITY);
    let named = std::iter::zip(&current.tenants, &current.cluster.tenants)
        .filter(|(name, _)| !name.is_empty());
    let changes = named.map(|(name, tenant)| {
        let row = next.tenants.iter().position(|other| other == name);
        let after = row.map_or(0.0, |row| quota(&next.cluster.tenants[row]));
        LimitChange::new(format!("accounts/{name}"), quota(tenant), after)
    });
    changes.collect()
}

/// Returns the changes of target utilization and spread. A removed class counts as one limit that
/// falls to 0.
fn class_changes(current: &Deployment, next: &Deployment) -> Vec<LimitChange> {
    let max_by_domain =
        |class: &ServiceClass| class.spread.map_or(f64::INFINITY, |(_, max)| max as f64);
    let named = std::iter::zip(&current.service_classes, &current.cluster.service_classes)
        .filter(|(name, _)| !name.is_empty());
    let changes = named.flat_map(|(name, class)| {
        let Some(row) = next.service_classes.iter().position(|other| other == name) else {
            return vec![LimitChange::new(format!("tracks/{name}"), 1.0, 0.0)];
        };
        let after = &next.cluster.service_classes[row];
        vec![
            LimitChange::new(
                format!("tracks/{name}/calm"),
                class.target_utilization,
                after.target_utilization,
            ),
            LimitChange::new(
                format!("tracks/{name}/most"),
                max_by_domain(class),
                max_by_domain(after),
            ),
        ]
    });
    changes.collect()
}
