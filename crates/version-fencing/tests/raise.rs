//! Tests of the conditions for raising the minimum version, and of the proposal for it.

use corkspan_version_fencing::{
    MinimumVersion, RaiseError, ReportedVersion, check_adoption, propose,
};
use test_case::test_case;

#[test_case(2, 0, Ok(()); "half of the fleet has adopted it")]
#[test_case(1, 1, Err(1); "one runs it on trial")]
#[test_case(1, 0, Err(1); "too few")]
fn a_raise_is_rejected_until_enough_dispatchers_have_adopted_the_version(
    adopted: usize,
    on_trial: usize,
    result: Result<(), usize>,
) {
    let report = |version, on_trial| Some(ReportedVersion { version, on_trial });
    let mut fleet = vec![report(8, false); adopted];
    fleet.extend(vec![report(8, true); on_trial]);
    fleet.extend([None, report(7, false), report(7, false)]);
    fleet.truncate(4);
    let result = result.map_err(|adopted| RaiseError::NotAdopted {
        adopted,
        fleet: 4,
        required: 2,
        minimum: 8,
    });
    assert_eq!(check_adoption(&fleet, Some(7), 8, 500), result);
    assert_eq!(
        check_adoption(&fleet, Some(9), 8, 500),
        Ok(()),
        "a lower minimum is always allowed"
    );
}

fn minimum(revision: u64, proposer: u64, version: u64) -> MinimumVersion {
    MinimumVersion {
        revision,
        proposer,
        version,
    }
}

#[test]
fn the_next_proposal_is_above_all_earlier_ones_and_needs_a_majority_of_replies() {
    assert_eq!(
        propose(&[Some(minimum(1, 1, 2))], 3, 5, 9),
        Err(RaiseError::NoMajority {
            replies: 1,
            members: 3
        })
    );
    assert_eq!(propose(&[None, None], 3, 5, 9), Ok(minimum(1, 9, 5)));
    // The revision of an uncommitted proposal counts.
    let split = [
        Some(minimum(1, 1, 2)),
        Some(minimum(4, 2, 3)),
        Some(minimum(1, 1, 2)),
    ];
    assert_eq!(propose(&split, 3, 5, 9), Ok(minimum(5, 9, 5)));
    assert_eq!(propose(&split, 3, 2, 9), Err(RaiseError::Unchanged(2)));
    let largest = [Some(minimum(u64::MAX, 1, 2)), None, None];
    assert_eq!(
        propose(&largest, 3, 5, 9),
        Ok(minimum(u64::MAX, 9, 5)),
        "a member with a wrong report causes no overflow"
    );
}
