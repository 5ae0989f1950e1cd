//! Tests of the rollout store on a disk that fills up.

use corkspan_dispatcher::rollout_control::{ReplicaPair, Store, StoredClaim};
use corkspan_rollout::ClaimId;
use corkspan_testbed::disk::{self, DiskFull};

fn stored_claim(claim: u64, won: bool, pair: Option<bool>) -> StoredClaim {
    let pair = pair.map(|retires| ReplicaPair {
        old: "c#0".into(),
        new: "c#0~1".into(),
        retires,
    });
    StoredClaim {
        claim: ClaimId(claim),
        service: "s".into(),
        task: format!("c{claim}"),
        won,
        pair,
    }
}

/// Returns all states of a claim that the replacement of a replica stores, in order.
fn replacement_steps() -> Vec<StoredClaim> {
    vec![
        stored_claim(7, false, None),
        stored_claim(7, true, None),
        stored_claim(7, true, Some(false)),
        stored_claim(7, true, Some(true)),
    ]
}

#[test]
fn a_full_disk_fails_a_write_keeps_earlier_ones_and_accepts_it_once_there_is_space() {
    let directory = tempfile::tempdir().expect("a folder");
    for fills_at in 0..replacement_steps().len() {
        let path = directory.path().join(format!("full-{fills_at}.redb"));
        let disk_full = DiskFull::default();
        let store = disk::store(path.clone(), &disk_full);
        let mut stored = vec![];
        for (index, step) in replacement_steps().into_iter().enumerate() {
            if index == fills_at {
                disk_full.set(true);
                for _ in 0..3 {
                    store.save_claim(&step).expect_err("the disk is full");
                }
                disk_full.set(false);
                assert_eq!(
                    Store::open(Some(&path)).load().claims,
                    stored,
                    "the state that a kill would leave"
                );
            }
            store.save_claim(&step).expect("there is space");
            stored = vec![step];
            assert_eq!(store.load().claims, stored);
        }
        drop(store);
        assert_eq!(
            Store::open(Some(&path)).load().claims,
            stored,
            "the next incarnation reads it"
        );
    }
}
