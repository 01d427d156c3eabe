//! The operator's configuration file: errors name the path of the invalid value and the nearest
//! known name, and absent sections disable their parts.

use postproxy::operator_config::OperatorConfig;

/// An unknown name or an invalid value is an error with its path and, for a name, the nearest known
/// one.
#[test]
fn invalid_values_and_unknown_names_are_reported_with_their_path() {
    let cases = [
        (
            r#"{"lgo": {}}"#,
            "lgo",
            "unknown name 'lgo' at line 1 column 6; the nearest known name is 'log'",
        ),
        (
            r#"{"log": {"level": "info"}}"#,
            "log.level",
            "nearest known name is 'levels'",
        ),
        (
            r#"{"log": {"format": "jsn"}}"#,
            "log.format",
            "nearest known name is 'json'",
        ),
        (r#"{"log": {"levels": 3}}"#, "log.levels", "invalid type"),
        (
            r#"{"log": {"levels": "a=b"}}"#,
            "log.levels",
            "is not a valid list of log levels",
        ),
        (r#"{"log": {}"#, ".", "EOF"),
        (
            r#"{"store": {"folder": "a", "retntion_s": 3}}"#,
            "store.retntion_s",
            "nearest known name is 'retention_s'",
        ),
        (r#"{"store": {}}"#, "store", "missing field `folder`"),
        (
            r#"{"store": {"folder": "a", "mirror": "a"}}"#,
            "store.mirror",
            "must differ from store.folder",
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
            "must not be empty; fleet.advertise: must be of the same address family as fleet.listen; fleet.voters[2]: is listed twice",
        ),
        (
            r#"{"fleet": {"cluster": "c", "listen": "0.0.0.0:1", "voters": ["a"]}}"#,
            "fleet.advertise",
            "is required when fleet.listen is a wildcard address",
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
    for (text, path, message) in cases {
        let error = OperatorConfig::from_json(text).expect_err(text);
        assert!(error.message.contains(message), "{text}: {error}");
        assert_eq!(error.path, path, "{text}");
    }
}

/// An absent section leaves its part disabled.
#[test]
fn absent_sections_are_disabled() {
    assert_eq!(
        OperatorConfig::from_json("{}"),
        Ok(OperatorConfig::default())
    );
}
