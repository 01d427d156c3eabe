//! Pins the words of this crate that stand in the JSON body of `GET /v1/fleet/members`.
//!
//! `standing` and `reasons` are worded by [`ClusterHealth`], the keys of `dropped` by
//! [`DecodeError`]. Programs compare them as text: they are literal here, so that renaming the
//! types and variants can't change them unseen.

use postproxy_membership::packet::DecodeError;
use postproxy_membership::{ClusterHealth, UnreachablePair};

fn names() -> Vec<String> {
    vec!["n1".into(), "n2".into()]
}

/// The standing is shown by this word, also in logs, and for these reasons.
#[track_caller]
fn pinned(standing: &ClusterHealth, word: &str, reasons: &[&str]) {
    assert_eq!(standing.as_str(), word);
    assert_eq!(standing.to_string(), word);
    assert_eq!(standing.reasons(), reasons);
}

#[test]
fn each_standing_has_this_word_and_these_reasons() {
    pinned(&ClusterHealth::Alone, "alone", &[]);
    pinned(&ClusterHealth::Complete, "whole", &[]);
    let pair = UnreachablePair {
        observer: "n0".to_owned(),
        peer: "n1".to_owned(),
    };
    pinned(
        &ClusterHealth::PartiallyUnreachable(vec![pair]),
        "some pairs cut",
        &["n0 does not hear n1"],
    );
    pinned(
        &ClusterHealth::SomeFailed(names()),
        "some failed",
        &["n1 has failed", "n2 has failed"],
    );
    let reasons = ["n1 is not reached", "n2 is not reached"];
    pinned(
        &ClusterHealth::MajorityPartition(names()),
        "cut off with a majority",
        &reasons,
    );
    let reasons = ["voter n1 is not reached", "voter n2 is not reached"];
    pinned(
        &ClusterHealth::MinorityPartition(names()),
        "cut off with a minority",
        &reasons,
    );
    pinned(
        &ClusterHealth::NoMajority(names()),
        "no majority anywhere",
        &reasons,
    );
}

#[test]
fn each_reason_for_dropping_a_datagram_has_this_word() {
    let flaws = [
        DecodeError::Foreign,
        DecodeError::Version,
        DecodeError::Cluster,
        DecodeError::Damaged,
        DecodeError::Malformed,
    ];
    assert_eq!(
        flaws.map(DecodeError::as_str),
        [
            "foreign",
            "another version",
            "another cluster",
            "damaged",
            "not understood"
        ]
    );
}
