//! The operator's configuration file: errors name the place and the nearest known name, and absent
//! sections are off.

use postproxy::operator_config::OperatorConfig;

/// A misspelt name or a wrong value is an error that names its place and, for a name, the nearest
/// known one.
#[test]
fn wrong_values_and_unknown_names_are_reported_with_their_place() {
    let cases = [
        (
            r#"{"lgo": {}}"#,
            "lgo",
            "'lgo' is not known here; the nearest name is 'log' at line 1",
        ),
        (
            r#"{"log": {"level": "info"}}"#,
            "log.level",
            "nearest name is 'levels'",
        ),
        (
            r#"{"log": {"format": "jsn"}}"#,
            "log.format",
            "nearest name is 'json'",
        ),
        (r#"{"log": {"levels": 3}}"#, "log.levels", "invalid type"),
        (
            r#"{"log": {"levels": "a=b"}}"#,
            "log.levels",
            "names no levels",
        ),
        (r#"{"log": {}"#, ".", "EOF"),
        (
            r#"{"store": {"folder": "a", "retntion_s": 3}}"#,
            "store.retntion_s",
            "'retention_s'",
        ),
        (r#"{"store": {}}"#, "store", "missing field `folder`"),
        (
            r#"{"store": {"folder": "a", "mirror": "a"}}"#,
            "store.mirror",
            "same folder",
        ),
        (
            r#"{"store": {"folder": "a", "most_mb": 20}}"#,
            "store.most_mb",
            "four times",
        ),
        (
            r#"{"store": {"folder": "a", "retention_of_s": {"x": 0}}}"#,
            "store.retention_of_s.x",
            "between",
        ),
        (r#"{} {}"#, ".", "trailing"),
        (
            r#"{"fleet": {"cluster": "c", "listen": "x"}}"#,
            "fleet.listen",
            "socket address",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1"}}"#,
            "fleet.voters",
            "1, 3, 5 or 7",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "seeds": ["127.0.0.1"]}}"#,
            "fleet.seeds[0]",
            "socket address",
        ),
        (
            r#"{"fleet": {"cluster": "", "listen": "127.0.0.1:1", "advertise": "[::1]:1", "voters": ["a", "b", "a"]}}"#,
            "fleet.cluster",
            "names no cluster; fleet.advertise: is of another family of addresses than fleet.listen; fleet.voters[2]: is named twice",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "0.0.0.0:1", "voters": ["a"]}}"#,
            "fleet.advertise",
            "must be",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"], "answer_ms": 200}}"#,
            "fleet.answer_ms",
            "half",
        ),
        (r#"{"audit": {}}"#, "audit", "needs the section fleet"),
        (
            r#"{"audit": {"beat_ms": 0}, "fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"]}}"#,
            "audit.beat_ms",
            "between",
        ),
        (r#"{"duties": {}}"#, "duties", "needs the section fleet"),
        (
            r#"{"duties": {}, "fleet": {"cluster": "c", "listen": "127.0.0.1:1", "voters": ["a"]}}"#,
            "fleet.voters",
            "3, 5 or 7",
        ),
        (
            r#"{"duties": {"lease_ms": 5}}"#,
            "duties.lease_ms",
            "between",
        ),
    ];
    for (text, path, what) in cases {
        let error = OperatorConfig::from_json(text).expect_err(text);
        assert!(error.what.contains(what), "{text}: {error}");
        assert_eq!(error.path, path, "{text}");
    }
}

/// A part without a section is off.
#[test]
fn absent_sections_are_off() {
    assert_eq!(
        OperatorConfig::from_json("{}"),
        Ok(OperatorConfig::default())
    );
}
