//! What is wrong in a fleet, by what its dispatchers tell of themselves.

use crate::acts::Kind;
use std::collections::BTreeMap;

/// What one dispatcher tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Its number in the fleet.
    pub dispatcher: u32,
    /// Which process it is.
    pub life: u64,
    pub version: u64,
    pub digest: String,
    pub on_trial: bool,
    /// A control service streams versions to it.
    pub streams: bool,
    /// What it turned down last, with the reasons, where that is later than what it runs.
    pub turned_down: Option<(u64, String)>,
    /// Versions that it gave up by itself.
    pub given_up: Vec<u64>,
    pub shut_out: bool,
    /// Its acts in this life, as it counts them itself.
    pub acts: BTreeMap<(u64, Kind), u64>,
}

/// Why a dispatcher is behind, as far as it can tell.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Why {
    #[error("it gave version {0} up")]
    GaveUp(u64),
    #[error("it turned version {0} down: {1}")]
    TurnedDown(u64, String),
    #[error("no control service streams to it")]
    NoStream,
    #[error("it does not tell why")]
    NotTold,
}

/// One thing that is wrong. Dispatchers are named as they were asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Finding {
    #[error("{0} does not answer")]
    Silent(String),
    #[error("{who} is behind: on version {version}, the newest is {newest}; {why}")]
    Behind {
        who: String,
        version: u64,
        newest: u64,
        why: Why,
    },
    #[error("{0} is shut out by the floor of versions")]
    ShutOut(String),
    #[error("{who} and {other} are two processes under the number {dispatcher}")]
    OneNumber {
        who: String,
        other: String,
        dispatcher: u32,
    },
    #[error(
        "{below} acts of dispatcher {dispatcher} under version {version} were turned away by the floor"
    )]
    Below {
        dispatcher: u32,
        version: u64,
        below: u64,
    },
    #[error(
        "{who} says that it runs version {told}, and nodes have seen acts of it under version {version}"
    )]
    Ahead {
        who: String,
        version: u64,
        told: u64,
    },
    #[error(
        "nodes have seen {seen} {kind} of {who} under version {version}, and it counts {counted}"
    )]
    More {
        who: String,
        version: u64,
        kind: Kind,
        seen: u64,
        counted: u64,
    },
    #[error("{who} and {other} run version {version} with different digests")]
    TwoDigests {
        who: String,
        other: String,
        version: u64,
    },
}

/// What one node tells of one process's acts of one kind under one version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acted {
    pub dispatcher: u32,
    pub life: u64,
    pub version: u64,
    pub kind: Kind,
    pub seen: u64,
    /// Of them, turned away by the floor.
    pub below: u64,
}

/// How many acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acts {
    pub shots: u64,
    /// Attendances, stops, moves and claims.
    pub others: u64,
    /// Of all, turned away by the floor.
    pub below: u64,
}

/// What nodes have seen by dispatcher and version, over all lives and nodes.
pub fn acts(told: &[(String, Option<Vec<Acted>>)]) -> BTreeMap<(u32, u64), Acts> {
    let mut sums: BTreeMap<(u32, u64), Acts> = BTreeMap::new();
    for act in told.iter().flat_map(|(_, acts)| acts).flatten() {
        let sum = sums.entry((act.dispatcher, act.version)).or_default();
        let of_kind = if act.kind == Kind::Shot {
            &mut sum.shots
        } else {
            &mut sum.others
        };
        *of_kind = of_kind.saturating_add(act.seen);
        sum.below = sum.below.saturating_add(act.below);
    }
    sums
}

/// What nodes tell that is wrong by itself, or against what the dispatchers tell of themselves.
pub fn node_findings(
    told: &[(String, Option<Told>)],
    nodes: &[(String, Option<Vec<Acted>>)],
) -> Vec<Finding> {
    let silent = nodes
        .iter()
        .filter(|(_, acts)| acts.is_none())
        .map(|(who, _)| Finding::Silent(who.clone()));
    let mut findings: Vec<Finding> = silent.collect();
    for ((dispatcher, version), Acts { below, .. }) in acts(nodes) {
        if below > 0 {
            findings.push(Finding::Below {
                dispatcher,
                version,
                below,
            });
        }
    }
    for (who, told) in told {
        let Some(told) = told else { continue };
        let seen = nodes.iter().flat_map(|(_, acts)| acts).flatten();
        let mine = seen.filter(|act| act.dispatcher == told.dispatcher && act.life == told.life);
        let mut sums: BTreeMap<(u64, Kind), u64> = BTreeMap::new();
        for act in mine {
            let sum = sums.entry((act.version, act.kind)).or_default();
            *sum = sum.saturating_add(act.seen);
        }
        // Of a version that it counts no more, it tells nothing.
        for (&(version, kind), &counted) in &told.acts {
            let seen = sums.get(&(version, kind)).copied().unwrap_or(0);
            if seen > counted {
                findings.push(Finding::More {
                    who: who.clone(),
                    version,
                    kind,
                    seen,
                    counted,
                });
            }
        }
        let versions = sums.keys().map(|(version, _)| *version);
        let ahead = versions.filter(|version| *version > told.version).max();
        // It may have given that one up since.
        if let Some(version) = ahead.filter(|version| !told.given_up.contains(version)) {
            findings.push(Finding::Ahead {
                who: who.clone(),
                version,
                told: told.version,
            });
        }
    }
    findings
}

/// All findings, in the order in which the dispatchers were asked for.
pub fn findings(told: &[(String, Option<Told>)]) -> Vec<Finding> {
    let newest = told
        .iter()
        .filter_map(|(_, told)| told.as_ref())
        .map(|told| told.version)
        .max()
        .unwrap_or(0);
    let mut numbers: BTreeMap<u32, (&String, u64)> = BTreeMap::new();
    let mut digests: BTreeMap<u64, (&String, &String)> = BTreeMap::new();
    let mut findings = Vec::new();
    for (who, told) in told {
        let Some(told) = told else {
            findings.push(Finding::Silent(who.clone()));
            continue;
        };
        let (dispatcher, version) = (told.dispatcher, told.version);
        if version < newest {
            findings.push(Finding::Behind {
                who: who.clone(),
                version,
                newest,
                why: why(told),
            });
        }
        if told.shut_out {
            findings.push(Finding::ShutOut(who.clone()));
        }
        // One that is named twice by two addresses is the same life.
        let (other, life) = *numbers.entry(dispatcher).or_insert((who, told.life));
        if life != told.life {
            findings.push(Finding::OneNumber {
                who: who.clone(),
                other: other.clone(),
                dispatcher,
            });
        }
        // Version 0 is each one's own file, and may well differ.
        let (other, digest) = *digests.entry(version).or_insert((who, &told.digest));
        if version > 0 && *digest != told.digest {
            findings.push(Finding::TwoDigests {
                who: who.clone(),
                other: other.clone(),
                version,
            });
        }
    }
    findings
}

fn why(told: &Told) -> Why {
    let given_up = told
        .given_up
        .iter()
        .copied()
        .filter(|given_up| *given_up > told.version)
        .max();
    match (given_up, &told.turned_down) {
        (Some(version), _) => Why::GaveUp(version),
        (None, Some((version, why))) if *version > told.version => {
            Why::TurnedDown(*version, why.clone())
        }
        _ if !told.streams => Why::NoStream,
        _ => Why::NotTold,
    }
}
