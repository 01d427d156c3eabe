//! Pins the error code, the texts and the names of this crate that operators and scripts read. Each
//! is written out here as a literal, so that a rename in the code can't change it unnoticed.

use postproxy_version_tracking::{BrokenChain, REMEDIES, VersionKind};

#[test]
fn every_code_has_its_remedy() {
    let remedy = "find out which of the two versions its source published; stop whatever publishes the other";
    assert_eq!(REMEDIES, [("audit.fork", remedy)]);
}

#[test]
fn broken_chain_error_names_the_view() {
    assert_eq!(
        BrokenChain { view: 4 }.to_string(),
        "the hash chain of the audit log is broken at view 4"
    );
}

#[test]
fn version_kinds_have_their_names() {
    assert_eq!(
        [VersionKind::WorkerList, VersionKind::Program].map(VersionKind::as_str),
        ["list", "program"]
    );
}
