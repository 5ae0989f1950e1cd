//! Stores of dispatchers on a disk that fills up.

use corkspan_dispatcher::rollout_control::{ReplicaPair, Store, StoredClaim};
use corkspan_rollout::ClaimId;
use corkspan_testbed::disk::{self, DiskFull};

fn held(claim: u64, won: bool, pair: Option<bool>) -> StoredClaim {
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

/// All that a replacing writes of its claim, in its order.
fn steps() -> Vec<StoredClaim> {
    vec![
        held(7, false, None),
        held(7, true, None),
        held(7, true, Some(false)),
        held(7, true, Some(true)),
    ]
}

#[test]
fn a_disk_that_fills_up_refuses_a_write_keeps_the_ones_before_and_takes_it_once_there_is_room() {
    let folder = tempfile::tempdir().expect("a folder");
    for fills_at in 0..steps().len() {
        let path = folder.path().join(format!("full-{fills_at}.redb"));
        let full = DiskFull::default();
        let store = disk::store(path.clone(), &full);
        let mut before = vec![];
        for (index, step) in steps().into_iter().enumerate() {
            if index == fills_at {
                full.set(true);
                for _ in 0..3 {
                    store.save_claim(&step).expect_err("the disk is full");
                }
                full.set(false);
                assert_eq!(
                    Store::open(Some(&path)).load().claims,
                    before,
                    "what a kill then leaves"
                );
            }
            store.save_claim(&step).expect("there is room");
            before = vec![step];
            assert_eq!(store.load().claims, before);
        }
        drop(store);
        assert_eq!(
            Store::open(Some(&path)).load().claims,
            before,
            "the next life reads it"
        );
    }
}
