//! Checks the texts that logs and the management API use for dropped datagrams, the health of the
//! cluster and its nodes. They must not change when an identifier in the code is renamed.

use postproxy_membership::packet::DecodeError;
use postproxy_membership::{ClusterHealth, Identity, UnreachablePair};

#[test]
fn decode_errors_keep_their_texts() {
    let errors = [
        DecodeError::Foreign,
        DecodeError::Version,
        DecodeError::Cluster,
        DecodeError::Damaged,
        DecodeError::Malformed,
    ];
    let expected = [
        "foreign",
        "another version",
        "another cluster",
        "damaged",
        "not understood",
    ];
    assert_eq!(errors.map(DecodeError::as_str), expected);
}

#[test]
fn cluster_health_keeps_its_texts_and_reasons() {
    let names = || vec!["n1".to_owned(), "n2".to_owned()];
    let cases = [
        (ClusterHealth::Alone, "alone", vec![]),
        (ClusterHealth::Complete, "whole", vec![]),
        (
            ClusterHealth::PartiallyUnreachable(vec![UnreachablePair {
                observer: "n0".into(),
                peer: "n1".into(),
            }]),
            "some pairs cut",
            vec!["n0 does not hear n1"],
        ),
        (
            ClusterHealth::SomeFailed(names()),
            "some failed",
            vec!["n1 has failed", "n2 has failed"],
        ),
        (
            ClusterHealth::MajorityPartition(names()),
            "cut off with a majority",
            vec!["n1 is not reached", "n2 is not reached"],
        ),
        (
            ClusterHealth::MinorityPartition(names()),
            "cut off with a minority",
            vec!["voter n1 is not reached", "voter n2 is not reached"],
        ),
        (
            ClusterHealth::NoMajority(names()),
            "no majority anywhere",
            vec!["voter n1 is not reached", "voter n2 is not reached"],
        ),
    ];
    for (health, text, reasons) in cases {
        assert_eq!((health.as_str(), health.to_string().as_str()), (text, text));
        assert_eq!(health.reasons(), reasons);
    }
}

#[test]
fn identity_is_displayed_with_its_address_and_incarnation() {
    let address = ([127, 0, 0, 1], 7946).into();
    let identity = Identity {
        name: "n1".into(),
        address,
        incarnation: 3,
        process_nonce: 9,
    };
    assert_eq!(identity.to_string(), "n1 at 127.0.0.1:7946, incarnation 3");
}
