//! The section `fleet`: the cluster that the node is a member of.

use super::error::OperatorConfigError;
use postproxy_membership::MAX_NAME_BYTES;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Default of [`FleetSection::probe_ms`].
const DEFAULT_PROBE_MS: u64 = 250;
/// Default of [`FleetSection::answer_ms`].
const DEFAULT_ANSWER_MS: u64 = 100;
/// Default of [`FleetSection::suspicion_ms`].
const DEFAULT_SUSPICION_MS: u64 = 1100;
/// Default of [`FleetSection::gossip_ms`].
const DEFAULT_GOSSIP_MS: u64 = 100;
/// Default of [`FleetSection::hello_ms`].
const DEFAULT_HELLO_MS: u64 = 500;
/// Default of [`FleetSection::look_back_ms`].
const DEFAULT_LOOK_BACK_MS: u64 = 1000;
/// Allowed values of the section's times, in milliseconds.
const TIME_MS_RANGE: RangeInclusive<u64> = 10..=600_000;
/// The maximum number of voters. Each additional voter makes a majority slower to reach.
const MAX_VOTERS: usize = 7;

/// The section `fleet`: the cluster that the node is a member of.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, expecting = "the object `fleet`")]
pub struct FleetSection {
    /// The cluster's name: messages of another cluster are dropped.
    pub cluster: String,
    /// The address at which messages of other nodes are received.
    pub listen: SocketAddr,
    /// The address that other nodes are given; by default that of `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The addresses of nodes through which to join the cluster; may include the node's own.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The names of the voters: in a partition, the side with a majority of them keeps working.
    #[serde(default)]
    pub voters: Vec<String>,
    /// Time between two probes of other nodes, in milliseconds.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: u64,
    /// How long a probed node may take to answer before others are asked to probe it too, in
    /// milliseconds.
    #[serde(default = "default_answer_ms")]
    pub answer_ms: u64,
    /// How long a suspected node has to refute the suspicion, in milliseconds.
    #[serde(default = "default_suspicion_ms")]
    pub suspicion_ms: u64,
    /// Time between two gossip messages while there is something to gossip, in milliseconds.
    #[serde(default = "default_gossip_ms")]
    pub gossip_ms: u64,
    /// Time between two heartbeats, in milliseconds; a node that is silent for 3.5 of these is
    /// unreachable.
    #[serde(default = "default_hello_ms")]
    pub hello_ms: u64,
    /// Time between two probes of failed nodes, in milliseconds.
    #[serde(default = "default_look_back_ms")]
    pub look_back_ms: u64,
}

fn default_probe_ms() -> u64 {
    DEFAULT_PROBE_MS
}

fn default_answer_ms() -> u64 {
    DEFAULT_ANSWER_MS
}

fn default_suspicion_ms() -> u64 {
    DEFAULT_SUSPICION_MS
}

fn default_gossip_ms() -> u64 {
    DEFAULT_GOSSIP_MS
}

fn default_hello_ms() -> u64 {
    DEFAULT_HELLO_MS
}

fn default_look_back_ms() -> u64 {
    DEFAULT_LOOK_BACK_MS
}

/// An invalid value of the section, by its path below `fleet`.
struct FieldError {
    path: String,
    message: &'static str,
}

impl FieldError {
    fn new(path: impl Into<String>, message: &'static str) -> Self {
        Self {
            path: path.into(),
            message,
        }
    }
}

impl FleetSection {
    /// Returns the address that other nodes are given, where the node listens at `bound`.
    pub fn advertised_address(&self, bound: SocketAddr) -> SocketAddr {
        self.advertise.unwrap_or(bound)
    }

    /// Returns the settings of the membership protocol.
    pub fn membership_settings(&self) -> postproxy_membership::Settings {
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

    /// Checks the section. The error lists all invalid values.
    pub(super) fn validate(&self) -> Result<(), OperatorConfigError> {
        let mut errors = Vec::new();
        if self.cluster.is_empty() {
            errors.push(FieldError::new("cluster", "must not be empty"));
        }
        errors.extend(self.advertise_error());
        errors.extend(self.seed_errors());
        errors.extend(self.voter_errors());
        errors.extend(self.time_errors());
        let mut errors = errors.into_iter();
        let Some(first) = errors.next() else {
            return Ok(());
        };
        let message = errors.fold(
            first.message.to_owned(),
            |text, FieldError { path, message }| format!("{text}; fleet.{path}: {message}"),
        );
        Err(OperatorConfigError::new(
            format!("fleet.{}", first.path),
            message,
        ))
    }

    fn advertise_error(&self) -> Option<FieldError> {
        let message = match self.advertise {
            Some(address) if address.is_ipv4() != self.listen.is_ipv4() => {
                "must be of the same address family as fleet.listen"
            }
            Some(address) if address.ip().is_unspecified() || address.port() == 0 => {
                "must be an address that other nodes can reach"
            }
            None if self.listen.ip().is_unspecified() => {
                "is required when fleet.listen is a wildcard address"
            }
            _ => return None,
        };
        Some(FieldError::new("advertise", message))
    }

    fn seed_errors(&self) -> impl Iterator<Item = FieldError> {
        self.seeds
            .iter()
            .enumerate()
            .filter(|(_, seed)| seed.is_ipv4() != self.listen.is_ipv4())
            .map(|(index, _)| {
                FieldError::new(
                    format!("seeds[{index}]"),
                    "must be of the same address family as fleet.listen",
                )
            })
    }

    fn voter_errors(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        if self.voters.len().is_multiple_of(2) || self.voters.len() > MAX_VOTERS {
            errors.push(FieldError::new("voters", "must name 1, 3, 5 or 7 nodes"));
        }
        for (index, voter) in self.voters.iter().enumerate() {
            let path = || format!("voters[{index}]");
            if voter.is_empty() || voter.len() > MAX_NAME_BYTES {
                errors.push(FieldError::new(path(), "must be a name of 1 to 64 bytes"));
            }
            if self.voters[..index].contains(voter) {
                errors.push(FieldError::new(path(), "is listed twice"));
            }
        }
        errors
    }

    fn time_errors(&self) -> Vec<FieldError> {
        let times = [
            ("probe_ms", self.probe_ms),
            ("answer_ms", self.answer_ms),
            ("suspicion_ms", self.suspicion_ms),
            ("gossip_ms", self.gossip_ms),
            ("hello_ms", self.hello_ms),
            ("look_back_ms", self.look_back_ms),
        ];
        let mut errors: Vec<FieldError> = times
            .into_iter()
            .filter(|(_, ms)| !TIME_MS_RANGE.contains(ms))
            .map(|(key, _)| FieldError::new(key, "must be between 10 and 600000"))
            .collect();
        if self.answer_ms * 2 > self.probe_ms {
            errors.push(FieldError::new(
                "answer_ms",
                "must be at most half of fleet.probe_ms",
            ));
        }
        errors
    }
}
