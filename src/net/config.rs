//! What a node is told at its start: the environment's `RELAY_*` and a JSON file.

use crate::decision::interface::Settings;
use crate::net::upstream::worker_list::DiscoveryList;
use crate::operator_config::{AuditSection, DutiesSection, FleetSection, StoreSection};
use postproxy_diagnostics::Diagnostic as _;
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// A node's configuration.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Where operators call, if anywhere.
    pub mgmt: Option<SocketAddr>,
    /// The number of a descriptor that listens at `listen` already; see [`Config::take_over`].
    pub inherited: Option<String>,
    /// The listener behind it.
    pub listener: Option<TcpListener>,
    /// The node's folder for passing files, in which its processes meet.
    pub folder: Option<PathBuf>,
    /// How many descriptors it may hold.
    pub sockets: usize,
    /// How much memory it may use, in MiB.
    pub memory_mb: usize,
    /// The list of workers as it was last held.
    pub known: Option<DiscoveryList>,
    /// The settings.
    pub settings: Settings,
    /// Where jobs are kept beyond the node's life; the operator's file says so, not the configuration.
    pub store: Option<StoreSection>,
    /// The other nodes; as above.
    pub fleet: Option<FleetSection>,
    /// What one node does for all; as above.
    pub duties: Option<DutiesSection>,
    /// Which node acts on which version; as above.
    pub audit: Option<AuditSection>,
}

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    #[serde(default)]
    listen: String,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    mgmt: String,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<DiscoveryList>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            sockets: 1024,
            memory_mb: 192,
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names; the other variables go before what it says.
    ///
    /// # Errors
    ///
    /// Says in plain words what is missing or wrong.
    pub fn from_env() -> Result<Self, String> {
        Self::from_file(variable)
    }

    /// Reads that file again, for a node that runs: discovery is now where the file says, also where
    /// `RELAY_DISCOVERY` was set at the start.
    ///
    /// # Errors
    ///
    /// As [`Self::from_env`].
    pub fn reloaded() -> Result<Self, String> {
        Self::from_file(|name| variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn from_file(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG names no configuration file")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("reading {path}: {e}"))?;
        Self::from_json(&text, variable).map_err(|e| format!("{path}: {e}"))
    }

    /// Takes the inherited listener over, if one is named. Only at the program's start: it must have opened
    /// nothing that could bear the number.
    ///
    /// # Errors
    ///
    /// If what is named is no listener at `listen`.
    pub fn take_over(&mut self) -> Result<(), String> {
        if let Some(number) = &self.inherited {
            let taken = postproxy_inherited_listener::listener(number, self.listen);
            self.listener =
                Some(taken.map_err(|e| {
                    format!("RELAY_SOCKET_FD: '{number}' {e}, not at {}", self.listen)
                })?);
        }
        Ok(())
    }

    /// Reads a configuration; a variable that is set goes before what the text says.
    ///
    /// # Errors
    ///
    /// Says in plain words what is missing or wrong.
    pub fn from_json(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let raw: Raw = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let address = |name: &str, text: String| {
            let text = variable(name).unwrap_or(text);
            text.parse()
                .map_err(|_| format!("{name}: '{text}' is no address of the form 10.0.0.4:8080"))
        };
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|_| format!("seed: '{}' is no hexadecimal number", raw.seed))?;
        let listen: SocketAddr = address("RELAY_LISTEN", raw.listen)?;
        let named = variable("RELAY_MGMT").is_some() || !raw.mgmt.is_empty();
        let mgmt: Option<SocketAddr> =
            named.then(|| address("RELAY_MGMT", raw.mgmt)).transpose()?;
        if mgmt.is_some_and(|mgmt| mgmt == listen && listen.port() != 0) {
            return Err(format!(
                "RELAY_MGMT: {listen} is where clients are listened for"
            ));
        }
        Ok(Self {
            listen,
            mgmt,
            inherited: variable("RELAY_SOCKET_FD"),
            listener: None,
            folder: variable("TMPDIR").map(PathBuf::from),
            discovery: address("RELAY_DISCOVERY", raw.discovery)?,
            name: variable("RELAY_NAME").unwrap_or(raw.name),
            seed,
            sockets: raw.limits.sockets,
            memory_mb: raw.limits.memory_mb,
            known: raw.known,
            store: None,
            fleet: None,
            duties: None,
            audit: None,
            settings: Settings::from_json(&raw.settings.to_string())
                .map_err(|e| format!("{e} ({}: {})", e.code(), e.remedy()))?,
        })
    }
}
