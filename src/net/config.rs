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
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The address of the management API, if it is enabled.
    pub management: Option<SocketAddr>,
    /// The number of an inherited file descriptor that already listens at `listen`, as
    /// `RELAY_SOCKET_FD` gives it; see [`Config::adopt_inherited_listener`].
    pub inherited_descriptor: Option<String>,
    /// The listener made of that descriptor, once it has been adopted.
    pub listener: Option<TcpListener>,
    /// The folder for temporary files. It holds the socket through which the processes of this node
    /// find each other for a handover.
    pub temporary_folder: Option<PathBuf>,
    /// The number of file descriptors that the node may have open.
    pub sockets: usize,
    /// Memory that the node may use, in MiB.
    pub memory_mb: usize,
    /// A cached worker list to start with.
    pub cached_list: Option<DiscoveryList>,
    /// The settings of the dispatcher and of the connections.
    pub settings: Settings,
    /// The store that keeps requests and results across restarts. This and the next three sections
    /// come from the operator's file.
    pub store: Option<StoreSection>,
    /// Membership in a cluster of nodes.
    pub fleet: Option<FleetSection>,
    /// Leases that are distributed among the nodes.
    pub duties: Option<DutiesSection>,
    /// Tracking of the configuration versions that the nodes use.
    pub audit: Option<AuditSection>,
}

/// The contents of the configuration file.
#[derive(Deserialize)]
#[serde(expecting = "a configuration object")]
struct ConfigFile {
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
#[serde(default, expecting = "the object `limits`")]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

/// Default of [`Config::sockets`]: the usual limit of file descriptors of a process.
const DEFAULT_SOCKETS: usize = 1024;
/// Default of [`Config::memory_mb`].
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
    /// A message for the operator that names what is missing or invalid.
    pub fn from_env() -> Result<Self, String> {
        Self::from_file(environment_variable)
    }

    /// Reads the file again for a running node. `RELAY_DISCOVERY` is ignored, so that a reload can
    /// change the address of discovery even if that variable was set at the start.
    ///
    /// # Errors
    ///
    /// As [`Self::from_env`].
    pub fn from_env_for_reload() -> Result<Self, String> {
        Self::from_file(|name| environment_variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn from_file(variable: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = variable("RELAY_CONFIG")
            .ok_or("RELAY_CONFIG is not set to the path of a configuration file")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("reading {path}: {e}"))?;
        Self::from_json(&text, variable).map_err(|e| format!("{path}: {e}"))
    }

    /// Adopts the inherited listener, if one is configured. Call this at the start of the program
    /// only, before it opens any file descriptor: a new one could get the configured number.
    ///
    /// # Errors
    ///
    /// If the descriptor is not a socket that listens at `listen`.
    pub fn adopt_inherited_listener(&mut self) -> Result<(), String> {
        if let Some(number) = &self.inherited_descriptor {
            let listener = adopt_listener(number, self.listen).map_err(|error| {
                format!(
                    "RELAY_SOCKET_FD: '{number}' {error}; expected a socket that listens at {}",
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
    /// A message for the operator that names what is missing or invalid.
    pub fn from_json(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, String> {
        let file: ConfigFile = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let address = |name: &str, text: String| {
            let text = variable(name).unwrap_or(text);
            text.parse().map_err(|_| {
                format!("{name}: '{text}' is not an address with a port, such as 10.0.0.4:8080")
            })
        };
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: '{}' is not a hexadecimal number", file.seed))?;
        let listen: SocketAddr = address("RELAY_LISTEN", file.listen)?;
        let management_enabled = variable("RELAY_MGMT").is_some() || !file.mgmt.is_empty();
        let management: Option<SocketAddr> = management_enabled
            .then(|| address("RELAY_MGMT", file.mgmt))
            .transpose()?;
        if management.is_some_and(|management| management == listen && listen.port() != 0) {
            return Err(format!(
                "RELAY_MGMT: {listen} is already the address for clients"
            ));
        }
        Ok(Self {
            listen,
            management,
            inherited_descriptor: variable("RELAY_SOCKET_FD"),
            listener: None,
            temporary_folder: variable("TMPDIR").map(PathBuf::from),
            discovery: address("RELAY_DISCOVERY", file.discovery)?,
            name: variable("RELAY_NAME").unwrap_or(file.name),
            seed,
            sockets: file.limits.sockets,
            memory_mb: file.limits.memory_mb,
            cached_list: file.known,
            store: None,
            fleet: None,
            duties: None,
            audit: None,
            settings: Settings::from_json(&file.settings.to_string())
                .map_err(|e| format!("{e} ({}: {})", e.code(), e.remedy()))?,
        })
    }
}
