//! Pins the words with which the log and the management API name streams that were closed for their bytes. They must not
//! change with a name in the code.

use postproxy_streams::Flaw;

#[test]
fn reasons_to_drop_a_stream_have_their_words() {
    let cases = [
        (Flaw::Foreign, "stream: foreign"),
        (Flaw::Version, "stream: another version"),
        (Flaw::Other, "stream: for another node"),
        (Flaw::Long, "stream: too long"),
        (Flaw::Damaged, "stream: damaged"),
        (Flaw::Unknown, "stream: not understood"),
        (Flaw::Stalled, "stream: stalled"),
        (Flaw::Crowded, "stream: too many"),
    ];
    for (flaw, word) in cases {
        assert_eq!(flaw.word(), word);
    }
}
