//! The operator's configuration file: JSON with a section for each optional part of the program.
//!
//! A part is enabled by its section. An unknown name is an error that suggests the nearest known
//! one.

mod audit;
mod duties;
mod error;
mod fleet;
mod store;

pub use audit::AuditSection;
pub use duties::DutiesSection;
pub use error::OperatorConfigError;
pub use fleet::FleetSection;
pub use store::StoreSection;

use crate::logging::LogSection;
use audit::FleetPresence;
use serde::Deserialize;

/// All sections.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(
    default,
    deny_unknown_fields,
    expecting = "an object with the sections of the operator's file"
)]
pub struct OperatorConfig {
    /// Logging.
    pub log: LogSection,
    /// The store of requests.
    pub store: Option<StoreSection>,
    /// The cluster that the node is a member of.
    pub fleet: Option<FleetSection>,
    /// Leases on tasks that one node does for the whole cluster.
    pub duties: Option<DutiesSection>,
    /// Configuration version tracking.
    pub audit: Option<AuditSection>,
}

impl OperatorConfig {
    /// Reads and checks the sections.
    ///
    /// # Errors
    ///
    /// The first error found, with the path of the value.
    pub fn from_json(text: &str) -> Result<Self, OperatorConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let config: Self = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            let path = error.path().to_string().replace('?', ".");
            let message = error.inner().to_string();
            OperatorConfigError::new(path, with_nearest_name(&message).unwrap_or(message))
        })?;
        json.end()
            .map_err(|error| OperatorConfigError::new(".", error.to_string()))?;
        config.validate()?;
        Ok(config)
    }

    /// Reads and checks the file at this path.
    ///
    /// # Errors
    ///
    /// A message that contains the path.
    pub fn from_file(path: &str) -> Result<Self, String> {
        let text =
            std::fs::read_to_string(path).map_err(|error| format!("reading {path}: {error}"))?;
        Self::from_json(&text).map_err(|error| format!("{path}: {error}"))
    }

    fn validate(&self) -> Result<(), OperatorConfigError> {
        self.log
            .validate()
            .map_err(|message| OperatorConfigError::new("log.levels", message))?;
        if let Some(store) = &self.store {
            store.validate()?;
        }
        if let Some(fleet) = &self.fleet {
            fleet.validate()?;
        }
        if let Some(duties) = &self.duties {
            duties.validate(self.fleet.as_ref())?;
        }
        if let Some(audit) = &self.audit {
            let fleet = match self.fleet {
                Some(_) => FleetPresence::Present,
                None => FleetPresence::Absent,
            };
            audit.validate(fleet)?;
        }
        Ok(())
    }
}

/// Rewrites serde's message on an unknown name, which lists all known names, to give only the
/// nearest one; `None` for other messages.
fn with_nearest_name(message: &str) -> Option<String> {
    let rest = message
        .strip_prefix("unknown field `")
        .or_else(|| message.strip_prefix("unknown variant `"))?;
    let (name, rest) = rest.split_once('`')?;
    // Known names stand between pairs of backticks.
    let known_names = rest.split('`').skip(1).step_by(2);
    let nearest = known_names
        .max_by(|a, b| strsim::jaro_winkler(name, a).total_cmp(&strsim::jaro_winkler(name, b)))?;
    let place = message.rfind(" at line ").map_or("", |at| &message[at..]);
    Some(format!(
        "unknown name '{name}'{place}; the nearest known name is '{nearest}'"
    ))
}
