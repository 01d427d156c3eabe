//! The store keys of records and results.

/// Prefix of the store keys of records.
const RECORD_PREFIX: &str = "j/";
/// Prefix of the store keys of results.
const RESULT_PREFIX: &str = "r/";

/// Returns the store key of the record of the request with this id.
pub fn request_key(id: &str) -> Vec<u8> {
    [RECORD_PREFIX.as_bytes(), id.as_bytes()].concat()
}

/// Returns the store key of the result of the request with this id.
pub fn result_key(id: &str) -> Vec<u8> {
    [RESULT_PREFIX.as_bytes(), id.as_bytes()].concat()
}

/// Returns the request id in the store key of a record; `None` if this isn't the key of a record.
pub fn request_id(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key.strip_prefix(RECORD_PREFIX.as_bytes())?).ok()
}
