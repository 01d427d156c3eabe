//! Suspensions of workers as a conflict-free replicated data type.

use postproxy_membership::{SuspendedWorkers, Suspension};
use proptest::prelude::*;

/// Number of the worker, process nonce, suspends issued, suspends undone.
type Record = (u8, u64, u32, u32);

fn records() -> impl Strategy<Value = Vec<Record>> {
    proptest::collection::vec((0u8..3, 0u64..3, 0u32..4, 0u32..4), 0..24)
}

fn merge_all(records: &[Record]) -> SuspendedWorkers {
    let mut workers = SuspendedWorkers::default();
    for (worker, process_nonce, suspend_count, undone_count) in records {
        let suspension = Suspension {
            process_nonce: *process_nonce,
            suspend_count: *suspend_count,
            undone_count: *undone_count.min(suspend_count),
        };
        workers.merge(&format!("w-{worker}"), suspension);
    }
    workers
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn merging_in_any_order_and_repeatedly_gives_the_same(
        records in records(),
        rotate in 0usize..24,
    ) {
        let mut reordered = records.clone();
        reordered.rotate_left(rotate.min(records.len()));
        reordered.extend(records.iter().rev().copied());
        let merged = merge_all(&records);
        let merged_reordered = merge_all(&reordered);
        prop_assert_eq!(merged.digest(), merged_reordered.digest());
        prop_assert_eq!(merged, merged_reordered);
    }
}

/// A suspend wins over a resume whose node hadn't received it; a resume undoes all suspends that
/// its node had received.
#[test]
fn resume_undoes_received_suspends_only() {
    let mut one = SuspendedWorkers::default();
    let mut two = SuspendedWorkers::default();
    let suspension = one.suspend(1, "w").expect("room");
    assert_eq!(
        one.suspend(1, "w"),
        Some(suspension),
        "suspending twice is suspending once"
    );
    two.merge("w", suspension);
    let resumed = one.resume("w");
    assert!(!one.is_suspended("w"));
    let concurrent = two.suspend(2, "w").expect("room");
    for suspension in resumed {
        two.merge("w", suspension);
    }
    one.merge("w", concurrent);
    assert!(one.is_suspended("w") && two.is_suspended("w"));
    assert_eq!(one.digest(), two.digest());
    assert_eq!(two.resume("w").len(), 1);
    assert!(!two.is_suspended("w") && two.resume("w").is_empty());
    // The same process may suspend it again.
    let again = two.suspend(2, "w").expect("room");
    assert!(two.is_suspended("w") && again.suspend_count == 2);
}
