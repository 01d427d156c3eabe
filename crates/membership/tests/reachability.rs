//! Unreachable peers, as determined by their heartbeats.

use postproxy_membership::reachability::Reachability;

/// An old heartbeat that the network delivers late or repeatedly must not make an unreachable node
/// count as reachable.
#[test]
fn repeated_heartbeat_is_ignored() {
    let mut reachability = Reachability::default();
    reachability.set_monitored(0.0, &["b".to_owned()]);
    reachability.record_heartbeat(1.0, "b", 7, 5);
    reachability.record_heartbeat(3.0, "b", 7, 5);
    reachability.record_heartbeat(3.0, "b", 7, 4);
    reachability.update_unreachable(3.0, 1.75);
    assert_eq!(reachability.unreachable().collect::<Vec<_>>(), ["b"]);
    // The sequence numbers of a new process start again.
    reachability.record_heartbeat(3.5, "b", 8, 1);
    reachability.update_unreachable(4.0, 1.75);
    assert_eq!(reachability.unreachable().count(), 0);
}
