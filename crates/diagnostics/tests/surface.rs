//! Pins the JSON body of an error at the management API.
//!
//! Programs read these keys, which are the field names of a Rust struct. If a field is renamed,
//! keep its key with `#[serde(rename)]` instead of changing the literal below.

use postproxy_diagnostics::{Diagnostic, ErrorBody};

const JSON: &str =
    r#"{"error":"subject","code":"subject.word","what":"it says \"no\"","remedy":"ask again"}"#;

#[derive(Debug)]
struct Rejected;

impl std::fmt::Display for Rejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("it says \"no\"")
    }
}

impl std::error::Error for Rejected {}

postproxy_diagnostics::diagnostics! {
    Rejected, ALL:
    Self => "subject.word", "ask again";
}

#[test]
fn an_error_body_has_exactly_these_keys_in_this_order() {
    assert_eq!(
        serde_json::to_string(&Rejected.error_body()).expect("JSON"),
        JSON
    );
}

#[test]
fn an_error_body_is_read_from_these_keys() {
    assert_eq!(
        serde_json::from_str::<ErrorBody>(JSON).expect("an error body"),
        Rejected.error_body()
    );
}

#[test]
fn the_list_of_codes_pairs_each_code_with_its_remedy() {
    assert_eq!(ALL, [("subject.word", "ask again")]);
}
