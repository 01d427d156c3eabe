//! Errors say what an operator can do, and the page for operators has them all.

use std::collections::BTreeSet;

/// Guards against an error without a remedy, two of one code, and a code that the page does not tell.
#[test]
fn every_code_has_a_remedy_and_stands_in_the_operators_page() {
    let page = include_str!("../docs/operate/errors.md");
    let mut codes = BTreeSet::new();
    for (code, remedy) in [
        postproxy_version_tracking::REMEDIES,
        postproxy_coordination::REMEDIES,
        postproxy::decision::interface::REMEDIES,
    ]
    .concat()
    {
        let (subject, word) = code.split_once('.').expect("SUBJECT.WORD");
        assert!(
            !subject.is_empty() && !word.is_empty() && remedy.len() > 15,
            "{code}: {remedy}"
        );
        assert!(codes.insert(code), "{code} stands for two errors");
        assert!(
            page.contains(&format!("| `{code}` |")),
            "{code} is not in the page"
        );
    }
    let told: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| {
            line.strip_prefix("| `")?
                .split_once('`')
                .map(|(code, _)| code)
        })
        .collect();
    assert_eq!(
        told, codes,
        "the page tells of errors that there are none of"
    );
}
