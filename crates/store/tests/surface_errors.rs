//! Pins the error messages for a store that can't be opened, so that a rename in the code does not
//! change them.

use postproxy_store::OpenError;
use std::io;

#[test]
fn open_errors_keep_their_messages() {
    let cases = [
        (
            OpenError::Io("data".into(), io::Error::other("gone")),
            "data: gone",
        ),
        (
            OpenError::UnsupportedVersion {
                file: "data/0000000000000001.seg".into(),
                version: 9,
            },
            "data/0000000000000001.seg: format version 9 is not supported; this program supports version 1",
        ),
        (
            OpenError::StoreMismatch("data/0000000000000001.seg".into()),
            "data/0000000000000001.seg: belongs to a different store than the other files",
        ),
    ];
    for (error, message) in cases {
        assert_eq!(error.to_string(), message);
    }
}
