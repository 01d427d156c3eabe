//! A node's configuration, from the environment variables `RELAY_*` and a JSON file.

use crate::decision::interface::Settings;
use crate::net::upstream::worker_list::DiscoveryList;
use crate::operator_config::{AuditSection, DutiesSection, FleetSection, StoreSection};
use postproxy_diagnostics::Diagnostic as _;
use postproxy_inherited_listener::adopt_listener;
use serde::Deserialize;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// A node's configuration.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// The address on which the node listens for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// The address of the management API, if it is enabled.
    pub management: Option<SocketAddr>,
    /// The number of an inherited descriptor that already listens at `listen`; see
    /// [`Config::adopt_inherited_listener`].
    pub inherited_descriptor: Option<String>,
    /// The listener of that descriptor, once it is adopted.
    pub listener: Option<TcpListener>,
    /// The folder for temporary files, in which the processes of the node find each other for a
    /// handover.
    pub temporary_folder: Option<PathBuf>,
    /// Descriptors that the node may hold.
    pub sockets: usize,
    /// Memory that the node may use, in MiB.
    pub memory_mb: usize,
    /// The worker list as it was last cached.
    pub cached_list: Option<DiscoveryList>,
    /// The settings of the dispatcher and of the connections.
    pub settings: Settings,
    /// The store of requests and results, which outlives the process. This and the next three
    /// sections come from the operator's file.
    pub store: Option<StoreSection>,
    /// Membership in a cluster of nodes.
    pub fleet: Option<FleetSection>,
    /// Leases that the nodes share out.
    pub duties: Option<DutiesSection>,
    /// Tracking of the configuration versions that the nodes use.
    pub audit: Option<AuditSection>,
}

/// The configuration file as it is written. Error texts contain the names of this struct and of
/// [`Limits`], so that they must stay.
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

/// The section `limits` of the configuration file.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

/// Descriptors that a node may hold if the file does not say: the usual limit of a process.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory that a node may use if the file does not say, in MiB.
const DEFAULT_MEMORY_MB: usize = 192;

impl Default for Limits {
    fn default() -> Self {
        Self {
            sockets: DEFAULT_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}

/// Reads an environment variable; an empty one counts as not set.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

impl Config {
    /// Reads the file that `RELAY_CONFIG` names; the other variables override its values.
    ///
    /// # Errors
    ///
    /// A text for the operator that names what is missing or wrong.
    pub fn from_env() -> Result<Self, String> {
        Self::from_file(environment_variable)
    }

    /// Reads that file again for a running node. The file's address of discovery counts even if
    /// `RELAY_DISCOVERY` was set at the start.
    ///
    /// # Errors
    ///
    /// As [`Self::from_env`].
    pub fn from_env_for_reload() -> Result<Self, String> {
        Self::from_file(|name| environment_variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn from_file(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG").ok_or("RELAY_CONFIG names no configuration file")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("reading {path}: {e}"))?;
        Self::from_json(&text, variable).map_err(|e| format!("{path}: {e}"))
    }

    /// Adopts the inherited listener, if one is named. To be called at the program's start only: it
    /// must not have opened a descriptor that could have the number.
    ///
    /// # Errors
    ///
    /// If the descriptor is not a listener at `listen`.
    pub fn adopt_inherited_listener(&mut self) -> Result<(), String> {
        if let Some(number) = &self.inherited_descriptor {
            let listener = adopt_listener(number, self.listen).map_err(|error| {
                format!(
                    "RELAY_SOCKET_FD: '{number}' {error}, not at {}",
                    self.listen
                )
            })?;
            self.listener = Some(listener);
        }
        Ok(())
    }

    /// Parses a configuration; a variable that is set overrides the value in the text.
    ///
    /// # Errors
    ///
    /// A text for the operator that names what is missing or wrong.
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
        let management_enabled = variable("RELAY_MGMT").is_some() || !raw.mgmt.is_empty();
        let management: Option<SocketAddr> = management_enabled
            .then(|| address("RELAY_MGMT", raw.mgmt))
            .transpose()?;
        if management.is_some_and(|management| management == listen && listen.port() != 0) {
            return Err(format!(
                "RELAY_MGMT: {listen} is where clients are listened for"
            ));
        }
        Ok(Self {
            listen,
            management,
            inherited_descriptor: variable("RELAY_SOCKET_FD"),
            listener: None,
            temporary_folder: variable("TMPDIR").map(PathBuf::from),
            discovery: address("RELAY_DISCOVERY", raw.discovery)?,
            name: variable("RELAY_NAME").unwrap_or(raw.name),
            seed,
            sockets: raw.limits.sockets,
            memory_mb: raw.limits.memory_mb,
            cached_list: raw.known,
            store: None,
            fleet: None,
            duties: None,
            audit: None,
            settings: Settings::from_json(&raw.settings.to_string())
                .map_err(|e| format!("{e} ({}: {})", e.code(), e.remedy()))?,
        })
    }
}
