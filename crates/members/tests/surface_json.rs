//! Pins the words of this crate that stand in the JSON body of `GET /v1/fleet/members`.
//!
//! `standing` and `reasons` are worded by [`Standing`], the keys of `dropped` by [`Flaw`]. Programs compare them as text: they
//! are literal here, so that renaming the types and variants can't change them unseen.

use postproxy_members::Standing;
use postproxy_members::packet::Flaw;

fn names() -> Vec<String> {
    vec!["n1".into(), "n2".into()]
}

/// The standing is shown by this word, also in logs, and for these reasons.
#[track_caller]
fn pinned(standing: &Standing, word: &str, reasons: &[&str]) {
    assert_eq!(standing.word(), word);
    assert_eq!(standing.to_string(), word);
    assert_eq!(standing.reasons(), reasons);
}

#[test]
fn each_standing_has_this_word_and_these_reasons() {
    pinned(&Standing::Alone, "alone", &[]);
    pinned(&Standing::Whole, "whole", &[]);
    let pair = ("n0".to_owned(), "n1".to_owned());
    pinned(&Standing::SomeCut(vec![pair]), "some pairs cut", &["n0 does not hear n1"]);
    pinned(&Standing::Failed(names()), "some failed", &["n1 has failed", "n2 has failed"]);
    let reasons = ["n1 is not reached", "n2 is not reached"];
    pinned(&Standing::Majority(names()), "cut off with a majority", &reasons);
    let reasons = ["voter n1 is not reached", "voter n2 is not reached"];
    pinned(&Standing::Minority(names()), "cut off with a minority", &reasons);
    pinned(&Standing::NoMajority(names()), "no majority anywhere", &reasons);
}

#[test]
fn each_reason_for_dropping_a_datagram_has_this_word() {
    let flaws = [Flaw::Foreign, Flaw::Version, Flaw::Cluster, Flaw::Damaged, Flaw::Unknown];
    assert_eq!(
        flaws.map(Flaw::word),
        ["foreign", "another version", "another cluster", "damaged", "not understood"]
    );
}
