//! The operator's own file: JSON, a section for each part of the program that can be switched on. A part whose
//! section is absent is off. A name that is not known is refused with the nearest one that is.

use crate::logging::Log;
use postproxy_idempotency::Limits;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// All sections.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Logs.
    pub log: Log,
    /// What is kept of jobs beyond the node's life.
    pub store: Option<StoreSection>,
    /// The other nodes.
    pub fleet: Option<FleetSection>,
    /// What one node does for all.
    pub duties: Option<DutiesSection>,
    /// Which node acts on which version.
    pub audit: Option<AuditSection>,
}

/// The section on which node acts on which version.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct AuditSection {
    /// How often another node is told what this one holds, in milliseconds.
    pub beat_ms: u64,
    /// A name for discovery: lists are passed on between nodes that name it alike. By default its address in the configuration.
    pub discovery: Option<String>,
}

impl Default for AuditSection {
    fn default() -> Self {
        Self {
            beat_ms: 400,
            discovery: None,
        }
    }
}

impl AuditSection {
    fn check(&self, fleet: bool) -> Result<(), OperatorConfigError> {
        let wrong = |path: &str, what: &str| {
            Err(OperatorConfigError {
                path: path.into(),
                what: what.into(),
            })
        };
        if !fleet {
            return wrong("audit", "needs the section fleet");
        }
        if !(50..=60_000).contains(&self.beat_ms) {
            return wrong("audit.beat_ms", "must be between 50 and 60000");
        }
        if self
            .discovery
            .as_ref()
            .is_some_and(|name| name.is_empty() || name.len() > 256)
        {
            return wrong("audit.discovery", "must be a name of 1 to 256 bytes");
        }
        Ok(())
    }
}

/// The section on what one node does for all.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct DutiesSection {
    /// How long a node owns a duty without renewing it, in milliseconds; the same at all nodes.
    pub lease_ms: u64,
}

impl Default for DutiesSection {
    fn default() -> Self {
        Self { lease_ms: 3000 }
    }
}

impl DutiesSection {
    fn check(&self, fleet: Option<&FleetSection>) -> Result<(), OperatorConfigError> {
        let wrong = |path: &str, what: &str| {
            Err(OperatorConfigError {
                path: path.into(),
                what: what.into(),
            })
        };
        if !(1000..=60_000).contains(&self.lease_ms) {
            return wrong("duties.lease_ms", "must be between 1000 and 60000");
        }
        match fleet {
            None => wrong("duties", "needs the section fleet, which names the voters"),
            Some(fleet) if fleet.voters.len() < 3 => wrong(
                "fleet.voters",
                "must name 3, 5 or 7 nodes where duties is on",
            ),
            Some(_) => Ok(()),
        }
    }
}

/// The section on the other nodes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    /// The fleet's name: words of another are dropped.
    pub cluster: String,
    /// Where other nodes' words come in.
    pub listen: SocketAddr,
    /// What others are told; by default where it listens.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Whom to ask at the start; may hold the node itself.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Names of the nodes by whose majority a cut is judged.
    #[serde(default)]
    pub voters: Vec<String>,
    /// How often another node is probed, in milliseconds.
    #[serde(default = "probe_ms")]
    pub probe_ms: u64,
    /// How long its answer may take before others are asked to probe it, too.
    #[serde(default = "answer_ms")]
    pub answer_ms: u64,
    /// How long a suspect has to say that it lives.
    #[serde(default = "suspicion_ms")]
    pub suspicion_ms: u64,
    /// How often news are passed on, while there are any.
    #[serde(default = "gossip_ms")]
    pub gossip_ms: u64,
    /// How often hello is said; who is silent for 3.5 of these is not heard.
    #[serde(default = "hello_ms")]
    pub hello_ms: u64,
    /// How often nodes that have failed are asked whether they are back.
    #[serde(default = "look_back_ms")]
    pub look_back_ms: u64,
}

fn probe_ms() -> u64 {
    250
}

fn answer_ms() -> u64 {
    100
}

fn suspicion_ms() -> u64 {
    1100
}

fn gossip_ms() -> u64 {
    100
}

fn hello_ms() -> u64 {
    500
}

fn look_back_ms() -> u64 {
    1000
}

impl FleetSection {
    /// What other nodes are told, where it listens there.
    pub fn told(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.unwrap_or(bound)
    }

    /// What a member goes by.
    pub fn settings(&self) -> postproxy_membership::Settings {
        let seconds = |ms: u64| ms as f64 / 1000.0;
        postproxy_membership::Settings {
            cluster: self.cluster.clone(),
            seeds: self.seeds.clone(),
            voters: self.voters.iter().cloned().collect(),
            probe_interval: seconds(self.probe_ms),
            probe_timeout: seconds(self.answer_ms),
            suspicion_timeout: seconds(self.suspicion_ms),
            gossip_interval: seconds(self.gossip_ms),
            heartbeat_interval: seconds(self.hello_ms),
            failed_node_probe_interval: seconds(self.look_back_ms),
        }
    }

    /// All that is wrong with it.
    fn check(&self) -> Result<(), OperatorConfigError> {
        let mut wrong: Vec<(String, &str)> = Vec::new();
        if self.cluster.is_empty() {
            wrong.push(("cluster".into(), "names no cluster"));
        }
        match self.advertise {
            Some(told) if told.is_ipv4() != self.listen.is_ipv4() => {
                wrong.push((
                    "advertise".into(),
                    "is of another family of addresses than fleet.listen",
                ));
            }
            Some(told) if told.ip().is_unspecified() || told.port() == 0 => {
                wrong.push(("advertise".into(), "is no address that others could reach"));
            }
            None if self.listen.ip().is_unspecified() => {
                wrong.push((
                    "advertise".into(),
                    "must be given where fleet.listen is no single address",
                ));
            }
            _ => {}
        }
        for (n, seed) in self.seeds.iter().enumerate() {
            if seed.is_ipv4() != self.listen.is_ipv4() {
                wrong.push((
                    format!("seeds[{n}]"),
                    "is of another family of addresses than fleet.listen",
                ));
            }
        }
        if self.voters.len().is_multiple_of(2) || self.voters.len() > 7 {
            wrong.push(("voters".into(), "must name 1, 3, 5 or 7 nodes"));
        }
        for (n, voter) in self.voters.iter().enumerate() {
            if voter.is_empty() || voter.len() > postproxy_membership::MAX_NAME_BYTES {
                wrong.push((format!("voters[{n}]"), "must be a name of 1 to 64 bytes"));
            }
            if self.voters[..n].contains(voter) {
                wrong.push((format!("voters[{n}]"), "is named twice"));
            }
        }
        let times = [
            ("probe_ms", self.probe_ms),
            ("answer_ms", self.answer_ms),
            ("suspicion_ms", self.suspicion_ms),
            ("gossip_ms", self.gossip_ms),
            ("hello_ms", self.hello_ms),
            ("look_back_ms", self.look_back_ms),
        ];
        for (name, ms) in times {
            if !(10..=600_000).contains(&ms) {
                wrong.push((name.into(), "must be between 10 and 600000"));
            }
        }
        if self.answer_ms * 2 > self.probe_ms {
            wrong.push(("answer_ms".into(), "must be at most half of fleet.probe_ms"));
        }
        let mut wrong = wrong.into_iter();
        let Some((path, what)) = wrong.next() else {
            return Ok(());
        };
        let what = wrong.fold(what.to_owned(), |all, (path, what)| {
            format!("{all}; fleet.{path}: {what}")
        });
        Err(OperatorConfigError {
            path: format!("fleet.{path}"),
            what,
        })
    }
}

/// The section on what is kept.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreSection {
    /// The folder; it is made if it is not there.
    pub folder: String,
    /// A second folder that holds the same, best on another disk.
    #[serde(default)]
    pub mirror: Option<String>,
    /// Size of a segment, in MiB.
    #[serde(default = "segment_mb")]
    pub segment_mb: u64,
    /// What all files may come to, in MiB; 0 for no limit.
    #[serde(default)]
    pub most_mb: u64,
    /// Whether the intents of keyed classes must be durable, too, before they are sent.
    #[serde(default)]
    pub keyed_durable: bool,
    /// How long an intent may take to become durable, in milliseconds, before its job is refused.
    #[serde(default = "patience_ms")]
    pub patience_ms: u64,
    /// How long a job is kept after its last change, in seconds.
    #[serde(default = "retention_s")]
    pub retention_s: f64,
    /// The same for classes of these names.
    #[serde(default)]
    pub retention_of_s: HashMap<String, f64>,
    /// The longest result that is kept, in KiB.
    #[serde(default = "result_kb")]
    pub result_kb: usize,
    /// How many jobs are kept at most.
    #[serde(default = "most_jobs")]
    pub most_jobs: usize,
    /// For trials: every sync takes so many milliseconds longer, as on a slow disk.
    #[serde(default)]
    pub sync_delay_ms: u64,
    /// For trials: while this file holds the word `full`, writes fail as on a full disk; while it holds `sync`, syncs do.
    #[serde(default)]
    pub trouble_file: Option<String>,
}

fn segment_mb() -> u64 {
    16
}

fn patience_ms() -> u64 {
    500
}

fn retention_s() -> f64 {
    3600.0
}

fn result_kb() -> usize {
    64
}

fn most_jobs() -> usize {
    1_000_000
}

impl StoreSection {
    /// The store in these folders, all else as by default.
    pub fn of(folder: &str, mirror: Option<&str>) -> Self {
        Self {
            folder: folder.to_owned(),
            mirror: mirror.map(str::to_owned),
            segment_mb: segment_mb(),
            most_mb: 0,
            keyed_durable: false,
            patience_ms: patience_ms(),
            retention_s: retention_s(),
            retention_of_s: HashMap::new(),
            result_kb: result_kb(),
            most_jobs: most_jobs(),
            sync_delay_ms: 0,
            trouble_file: None,
        }
    }

    /// What the ledger keeps to.
    pub fn limits(&self) -> Limits {
        Limits {
            retention: self.retention_s,
            retention_of: self.retention_of_s.clone(),
            result: self.result_kb << 10,
            jobs: self.most_jobs,
        }
    }

    fn check(&self) -> Result<(), OperatorConfigError> {
        let wrong = |path: &str, what: &str| {
            Err(OperatorConfigError {
                path: path.into(),
                what: what.into(),
            })
        };
        if self.folder.is_empty() {
            return wrong("store.folder", "names no folder");
        }
        if self.mirror.as_ref() == Some(&self.folder) {
            return wrong("store.mirror", "is the same folder as store.folder");
        }
        if !(1..=1024).contains(&self.segment_mb) {
            return wrong("store.segment_mb", "must be between 1 and 1024");
        }
        if self.most_mb > 0 && self.most_mb < 4 * self.segment_mb {
            return wrong(
                "store.most_mb",
                "must be 0, or at least four times store.segment_mb",
            );
        }
        if self.patience_ms == 0 || self.most_jobs == 0 {
            return wrong("store", "patience_ms and most_jobs must be above 0");
        }
        let sound = |seconds: &f64| seconds.is_finite() && (1.0..=1e8).contains(seconds);
        if !sound(&self.retention_s) {
            return wrong("store.retention_s", "must be between 1 and 1e8");
        }
        match self
            .retention_of_s
            .iter()
            .find(|(_, seconds)| !sound(seconds))
        {
            Some((class, _)) => wrong(
                &format!("store.retention_of_s.{class}"),
                "must be between 1 and 1e8",
            ),
            None => Ok(()),
        }
    }
}

/// What is wrong with an operator's file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorConfigError {
    /// The way to the value at fault, such as `store.retention`; `.` for the whole document.
    pub path: String,
    /// What is wrong with it.
    pub what: String,
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl std::error::Error for OperatorConfigError {}

impl Operator {
    /// Reads the sections.
    ///
    /// # Errors
    ///
    /// The first problem, with its place.
    pub fn from_json(text: &str) -> Result<Self, OperatorConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let operator: Self = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string().replace('?', ".");
            let what = error.inner().to_string();
            OperatorConfigError {
                path,
                what: nearest(&what).unwrap_or(what),
            }
        })?;
        json.end().map_err(|error| OperatorConfigError {
            path: ".".into(),
            what: error.to_string(),
        })?;
        operator.check()?;
        Ok(operator)
    }

    /// Reads the file of this path.
    ///
    /// # Errors
    ///
    /// A message that begins with the path.
    pub fn from_file(path: &str) -> Result<Self, String> {
        let text =
            std::fs::read_to_string(path).map_err(|error| format!("reading {path}: {error}"))?;
        Self::from_json(&text).map_err(|problem| format!("{path}: {problem}"))
    }

    fn check(&self) -> Result<(), OperatorConfigError> {
        self.log.check().map_err(|what| OperatorConfigError {
            path: "log.levels".into(),
            what,
        })?;
        self.store.as_ref().map_or(Ok(()), StoreSection::check)?;
        self.fleet.as_ref().map_or(Ok(()), FleetSection::check)?;
        self.duties
            .as_ref()
            .map_or(Ok(()), |duties| duties.check(self.fleet.as_ref()))?;
        self.audit
            .as_ref()
            .map_or(Ok(()), |audit| audit.check(self.fleet.is_some()))
    }
}

/// A message of serde's on an unknown name, with the nearest known one in place of the whole list.
fn nearest(message: &str) -> Option<String> {
    let rest = message
        .strip_prefix("unknown field `")
        .or_else(|| message.strip_prefix("unknown variant `"))?;
    let (name, rest) = rest.split_once('`')?;
    let known = rest.split('`').skip(1).step_by(2);
    let near = known
        .max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)))?;
    let place = message.rfind(" at line ").map_or("", |at| &message[at..]);
    Some(format!(
        "'{name}' is not known here; the nearest name is '{near}'{place}"
    ))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a section that is passed over for a slip of the pen, and against an error without place.
    #[test]
    fn what_is_unknown_is_refused_with_its_place_and_the_nearest_name() {
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
            let problem = Operator::from_json(text).expect_err(text);
            assert!(problem.what.contains(what), "{text}: {problem}");
            assert_eq!(problem.path, path, "{text}");
        }
    }

    /// Guards against parts that are on without having been asked for.
    #[test]
    fn absent_sections_are_off() {
        assert_eq!(Operator::from_json("{}"), Ok(Operator::default()));
    }
}
