//! Logging: the levels of the operator's configuration file.

use postproxy::logging::LogSection;

/// Levels that can't be read are an error that names the wrong word.
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
        .expect_err("no level");
    assert!(error.contains("lound"), "{error}");
}
