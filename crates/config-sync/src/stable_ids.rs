//! Assigns ids to service classes and tenants that keep their meaning from one deployment to the
//! next.

use corkspan_config::Deployment;
use corkspan_scheduler::interface::{Cluster, ServiceClass, ServiceClassId, Tenant};

/// Largest number of rows in either table, including rows of removed names.
const MAX_ROWS: usize = 20_000;

/// The error that more names were added and removed than there are ids. A restart frees the ids of
/// removed names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("more names were added and removed than ids can be kept for; a restart is needed")]
pub struct IdsExhausted;

/// Returns the next deployment with the ids of the current one. A name keeps its id. The row of a
/// removed name stays, without a name, until no allocation uses it. A service class whose retry
/// safety changes gets a new id, so that allocations keep the retry safety under which they were
/// accepted. `in_use` returns the number of allocations of a service class.
///
/// # Errors
/// Returns [`IdsExhausted`] if either table would grow beyond 20,000 rows.
pub fn assign(
    current: &Deployment,
    next: Deployment,
    in_use: impl Fn(ServiceClassId) -> usize,
) -> Result<Deployment, IdsExhausted> {
    let classes = assign_classes(current, &next, in_use);
    let tenants = assign_tenants(current, &next);
    if classes.names.len().max(tenants.names.len()) > MAX_ROWS {
        return Err(IdsExhausted);
    }
    let cluster = Cluster {
        service_classes: classes.rows,
        tenants: tenants.rows,
        ..next.cluster
    };
    Ok(Deployment {
        cluster,
        service_classes: classes.names,
        tenants: tenants.names,
        ..next
    })
}

fn assign_classes(
    current: &Deployment,
    next: &Deployment,
    in_use: impl Fn(ServiceClassId) -> usize,
) -> Table<ServiceClass> {
    let mut table = Table {
        names: current.service_classes.clone(),
        rows: current.cluster.service_classes.clone(),
    };
    for (name, class) in std::iter::zip(&next.service_classes, &next.cluster.service_classes) {
        match table.position(name) {
            Some(row) if table.rows[row].retry_safety == class.retry_safety => {
                table.rows[row] = class.clone();
                continue;
            }
            Some(row) => table.names[row].clear(),
            None => {}
        }
        let unused = |row| in_use(ServiceClassId(row)) == 0;
        table.insert(name, class, unused);
    }
    for name in &mut table.names {
        if !next.service_classes.contains(name) {
            name.clear();
        }
    }
    table
}

/// Assigns the rows of tenants. Usage is counted by row, so a row is never reused for another
/// tenant; a removed tenant keeps its row with a quota of 0.
fn assign_tenants(current: &Deployment, next: &Deployment) -> Table<Tenant> {
    let mut table = Table {
        names: current.tenants.clone(),
        rows: current.cluster.tenants.clone(),
    };
    for (name, tenant) in std::iter::zip(&next.tenants, &next.cluster.tenants) {
        match table.position(name) {
            Some(row) => table.rows[row] = tenant.clone(),
            None => table.insert(name, tenant, |_| false),
        }
    }
    for (name, tenant) in std::iter::zip(&mut table.names, &mut table.rows) {
        if !next.tenants.contains(name) {
            name.clear();
            tenant.quota_cores = Some(0.0);
        }
    }
    table
}

/// Rows and their names by id. A row without a name belongs to a removed name.
struct Table<T> {
    names: Vec<String>,
    rows: Vec<T>,
}

impl<T: Clone> Table<T> {
    fn position(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|known| known == name)
    }

    /// Replaces the first row that has no name and is reusable, or appends a row.
    fn insert(&mut self, name: &str, row: &T, reusable: impl Fn(usize) -> bool) {
        let free =
            (0..self.names.len()).find(|&index| self.names[index].is_empty() && reusable(index));
        match free {
            Some(index) => (self.names[index], self.rows[index]) = (name.into(), row.clone()),
            None => {
                self.names.push(name.into());
                self.rows.push(row.clone());
            }
        }
    }
}
