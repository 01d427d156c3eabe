//! Log levels of the operator's configuration file.

use postproxy::logging::LogSection;

/// Invalid levels are an error that contains the invalid word.
#[test]
fn levels_are_validated() {
    let section = |levels: &str| LogSection {
        levels: levels.into(),
        ..LogSection::default()
    };
    assert_eq!(
        section("warn,postproxy::net::upstream::worker_list=debug").validate(),
        Ok(())
    );
    let error = section("info,postproxy=lound")
        .validate()
        .expect_err("an invalid level");
    assert!(error.contains("lound"), "{error}");
}
