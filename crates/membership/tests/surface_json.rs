//! Checks the texts of this crate that are values or keys in the JSON body of
//! `GET /v1/fleet/members`.
//!
//! The values of `standing` and `reasons` are those of [`ClusterHealth`], the keys of `dropped`
//! those of [`DecodeError`]. Programs compare them as text, so they must not change when the types
//! and variants are renamed.

use postproxy_membership::packet::DecodeError;
use postproxy_membership::{ClusterHealth, UnreachablePair};

fn names() -> Vec<String> {
    vec!["n1".into(), "n2".into()]
}

/// Asserts that the health has this text, in JSON and in logs, and these reasons.
#[track_caller]
fn assert_texts(health: &ClusterHealth, text: &str, reasons: &[&str]) {
    assert_eq!(health.as_str(), text);
    assert_eq!(health.to_string(), text);
    assert_eq!(health.reasons(), reasons);
}

#[test]
fn cluster_health_keeps_its_texts_and_reasons() {
    assert_texts(&ClusterHealth::Alone, "alone", &[]);
    assert_texts(&ClusterHealth::Complete, "whole", &[]);
    let pair = UnreachablePair {
        observer: "n0".to_owned(),
        peer: "n1".to_owned(),
    };
    assert_texts(
        &ClusterHealth::PartiallyUnreachable(vec![pair]),
        "some pairs cut",
        &["n0 does not hear n1"],
    );
    assert_texts(
        &ClusterHealth::SomeFailed(names()),
        "some failed",
        &["n1 has failed", "n2 has failed"],
    );
    let reasons = ["n1 is not reached", "n2 is not reached"];
    assert_texts(
        &ClusterHealth::MajorityPartition(names()),
        "cut off with a majority",
        &reasons,
    );
    let reasons = ["voter n1 is not reached", "voter n2 is not reached"];
    assert_texts(
        &ClusterHealth::MinorityPartition(names()),
        "cut off with a minority",
        &reasons,
    );
    assert_texts(
        &ClusterHealth::NoMajority(names()),
        "no majority anywhere",
        &reasons,
    );
}

#[test]
fn decode_errors_keep_their_texts() {
    let errors = [
        DecodeError::Foreign,
        DecodeError::Version,
        DecodeError::Cluster,
        DecodeError::Damaged,
        DecodeError::Malformed,
    ];
    assert_eq!(
        errors.map(DecodeError::as_str),
        [
            "foreign",
            "another version",
            "another cluster",
            "damaged",
            "not understood"
        ]
    );
}
