//! Ids that keep their meaning from one deployment to the next.

use corkspan_config::Deployment;
use corkspan_scheduler::interface::{Cluster, ServiceClassId};

/// Rows at the most, those of names that are gone among them.
const MAX_ROWS: usize = 20_000;

/// The next deployment with ids that still mean what allocations in hand were taken under. A name
/// keeps its id; one that is gone leaves its row behind, without a name, until nothing is of it any
/// more. A track whose repeats would be treated otherwise gets another id: what is in hand keeps
/// the promise that it was taken under. None where more names have come and gone than rows are kept
/// for.
pub fn assign(
    now: &Deployment,
    next: Deployment,
    in_use: impl Fn(ServiceClassId) -> usize,
) -> Option<Deployment> {
    let (mut names, mut tracks) = (now.tracks.clone(), now.cluster.service_classes.clone());
    for (name, track) in std::iter::zip(&next.tracks, &next.cluster.service_classes) {
        let stays = names.iter().position(|own| own == name);
        if let Some(at) = stays.filter(|&at| tracks[at].retry_safety == track.retry_safety) {
            tracks[at] = track.clone();
            continue;
        }
        if let Some(at) = stays {
            names[at].clear();
        }
        insert_row(&mut names, &mut tracks, name, track, |at| {
            in_use(ServiceClassId(at)) == 0
        });
    }
    for name in &mut names {
        if !next.tracks.contains(name) {
            name.clear();
        }
    }
    // Nothing is promised by account, but guests are counted by it: its row stays its own.
    let (mut account_names, mut accounts) = (now.accounts.clone(), now.cluster.tenants.clone());
    for (name, account) in std::iter::zip(&next.accounts, &next.cluster.tenants) {
        match account_names.iter().position(|own| own == name) {
            Some(at) => accounts[at] = account.clone(),
            None => insert_row(&mut account_names, &mut accounts, name, account, |_| false),
        }
    }
    for (name, account) in std::iter::zip(&mut account_names, &mut accounts) {
        if !next.accounts.contains(name) {
            name.clear();
            account.quota_cores = Some(0.0);
        }
    }
    if names.len().max(account_names.len()) > MAX_ROWS {
        return None;
    }
    let cluster = Cluster {
        service_classes: tracks,
        tenants: accounts,
        ..next.cluster
    };
    Some(Deployment {
        cluster,
        tracks: names,
        accounts: account_names,
        ..next
    })
}

/// Into a row that has no name and is free, or a new one.
fn insert_row<T: Clone>(
    names: &mut Vec<String>,
    rows: &mut Vec<T>,
    name: &str,
    row: &T,
    free: impl Fn(usize) -> bool,
) {
    match (0..names.len()).find(|&at| names[at].is_empty() && free(at)) {
        Some(at) => (names[at], rows[at]) = (name.into(), row.clone()),
        None => {
            names.push(name.into());
            rows.push(row.clone());
        }
    }
}
