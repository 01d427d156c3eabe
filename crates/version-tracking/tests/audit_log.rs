//! The hash chain and the compaction of the audit log.

use postproxy_version_tracking::{AuditEvent, AuditLog, Source, VersionKind, VersionRecord};

/// Returns a version with this number.
fn version(number: u64) -> VersionRecord {
    VersionRecord {
        generation: 1,
        number,
        digest: number,
    }
}

/// A change of any entry breaks the hash chain, and compaction bounds the length of the log.
#[test]
fn a_change_anywhere_in_the_log_is_detected_and_old_entries_are_compacted() {
    let mut log = AuditLog::new(5, 8);
    for n in 1..=40u64 {
        log.count_actions(n);
        log.record_adoption(5 + n, VersionKind::WorkerList, version(n), Source::Own);
        let entries: Vec<_> = log.entries().cloned().collect();
        assert!(
            entries.len() <= 8 && AuditLog::verify(&entries).is_ok(),
            "{n}"
        );
        let action_count: u64 = entries.iter().map(|entry| entry.action_count).sum();
        assert_eq!(
            action_count,
            (1..=n).sum::<u64>(),
            "a compacted entry keeps the actions of the merged ones"
        );
    }
    let entries: Vec<_> = log.entries().cloned().collect();
    assert!(
        matches!(entries[0].event, AuditEvent::Compacted(34)),
        "{:?}",
        entries[0]
    );
    // The first entry is a compacted one, whose hash can't be checked. A change of any later entry
    // must be detected.
    for at in 1..entries.len() {
        for change in 0..5 {
            let mut bad = entries.clone();
            match change {
                0 => bad[at].action_count += 1,
                1 => bad[at].at_ms ^= 1,
                2 => {
                    bad[at].event =
                        AuditEvent::Adopted(VersionKind::WorkerList, version(99), Source::Own)
                }
                3 => bad[at].hash[31] ^= 1,
                _ => drop(bad.remove(at)),
            }
            // Without its last entry the log is still valid.
            let removed_last = at + 1 == entries.len() && change == 4;
            assert!(
                removed_last || AuditLog::verify(&bad).is_err(),
                "{at} {change}"
            );
        }
    }
}
