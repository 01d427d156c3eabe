//! The order of the coordinator's writes when some of them fail.

use super::*;

fn change(key: u8) -> StorageChange {
    StorageChange {
        key: vec![key],
        value: None,
    }
}

/// Guards against a later write that becomes durable although an earlier one failed.
#[test]
fn a_failed_batch_is_written_again_before_anything_later() {
    let mut queue = WriteQueue::default();
    queue.push(1, vec![change(1)]);
    assert_eq!(queue.next_batch(0.0), Some(vec![change(1)]));
    queue.push(2, vec![change(2)]);
    queue.push(3, vec![change(3)]);
    assert_eq!(queue.next_batch(0.0), None, "one is in progress");
    queue.record_failure(1.0);
    assert!(queue.in_progress.is_some(), "a failed batch is not durable");
    assert_eq!(queue.next_batch(1.1), None, "not at once");
    assert_eq!(
        queue.next_batch(1.0 + RETRY_INTERVAL_SECONDS),
        Some(vec![change(1)])
    );
    assert_eq!(queue.next_batch(9.0), None);
    assert_eq!(queue.record_success(), Some(1));
    assert_eq!(queue.next_batch(2.0), Some(vec![change(2), change(3)]));
    assert_eq!(queue.record_success(), Some(3));
    assert_eq!(queue.next_batch(2.0), None);
}
