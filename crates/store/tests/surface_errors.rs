//! Pins the messages with which the program says that a store can't be opened. They must not change
//! with a name in the code.

use postproxy_store::OpenError;
use std::io;

#[test]
fn every_reason_not_to_open_has_its_message() {
    let cases = [
        (
            OpenError::Io("data".into(), io::Error::other("gone")),
            "data: gone",
        ),
        (
            OpenError::Version {
                file: "data/0000000000000001.seg".into(),
                version: 9,
            },
            "data/0000000000000001.seg: format version 9; this program knows version 1",
        ),
        (
            OpenError::Mixed("data/0000000000000001.seg".into()),
            "data/0000000000000001.seg: belongs to another store than the files beside it",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(error.to_string(), message);
    }
}
