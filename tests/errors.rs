//! Every error code has a remedy and is listed in the operators' documentation.

use std::collections::BTreeSet;

/// Minimum length of a remedy, in bytes.
const MIN_REMEDY_BYTES: usize = 16;

/// Codes are unique, each has a remedy, and `docs/operate/errors.md` lists exactly these codes.
#[test]
fn every_code_has_a_remedy_and_is_listed_on_the_operators_page() {
    let page = include_str!("../docs/operate/errors.md");
    let mut codes = BTreeSet::new();
    let remedies = [
        postproxy_version_tracking::REMEDIES,
        postproxy_coordination::REMEDIES,
        postproxy::decision::interface::REMEDIES,
    ];
    for (code, remedy) in remedies.concat() {
        let (subject, word) = code.split_once('.').expect("SUBJECT.WORD");
        assert!(
            !subject.is_empty() && !word.is_empty() && remedy.len() >= MIN_REMEDY_BYTES,
            "{code}: {remedy}"
        );
        assert!(codes.insert(code), "{code} is the code of two errors");
        assert!(
            page.contains(&format!("| `{code}` |")),
            "{code} is not on the page"
        );
    }
    assert_eq!(
        codes_of_page(page),
        codes,
        "the page lists exactly the codes of all errors"
    );
}

/// Returns the codes in the first column of the page's tables.
fn codes_of_page(page: &str) -> BTreeSet<&str> {
    page.lines()
        .filter_map(|line| {
            let (code, _) = line.strip_prefix("| `")?.split_once('`')?;
            Some(code)
        })
        .collect()
}
