//! Pins the code, the messages and the words of this crate that operators and scripts read. They
//! must not change with a name in the code.

use postproxy_version_tracking::{BrokenChain, REMEDIES, VersionKind};

#[test]
fn every_code_has_its_remedy() {
    let remedy = "see which of the two the source of this version holds; end whatever else speaks in its name";
    assert_eq!(REMEDIES, [("audit.fork", remedy)]);
}

#[test]
fn a_broken_trail_names_its_view() {
    assert_eq!(
        BrokenChain { view: 4 }.to_string(),
        "the trail does not hold together at view 4"
    );
}

#[test]
fn kinds_of_versions_have_their_words() {
    assert_eq!(
        [VersionKind::WorkerList, VersionKind::Program].map(VersionKind::as_str),
        ["list", "program"]
    );
}
