//! The keys of the store under which records and results lie.

/// Prefix of a record's key.
const RECORD_PREFIX: &str = "j/";
/// Prefix of a result's key.
const RESULT_PREFIX: &str = "r/";

/// Returns the store's key for the record of the request with this id.
pub fn request_key(id: &str) -> Vec<u8> {
    [RECORD_PREFIX.as_bytes(), id.as_bytes()].concat()
}

/// Returns the store's key for the result of the request with this id.
pub fn result_key(id: &str) -> Vec<u8> {
    [RESULT_PREFIX.as_bytes(), id.as_bytes()].concat()
}

/// Returns the request id in the store's key of a record; `None` if the key isn't that of a record.
pub fn request_id(key: &[u8]) -> Option<&str> {
    std::str::from_utf8(key.strip_prefix(RECORD_PREFIX.as_bytes())?).ok()
}
