//! The decision module: a deterministic state machine that chooses a worker for each request.
//!
//! It uses no clock, socket, disk or thread. The caller passes [`interface::Event`]s with the
//! current time to [`dispatcher::Dispatcher::handle`] and carries out the [`interface::Action`]s
//! that it returns. The same seed and the same events produce the same actions.
//!
//! - [`dispatcher`] passes events and timers to the module that handles them;
//! - `admission` admits, defers and answers requests; `attempts` sends and reviews their attempts;
//! - `selection` draws a worker that `rules` permits, using the load estimates of `load`, the
//!   permits of `slow_start` and the answers to `probes`; `affinity` ranks workers for a key;
//! - `ejection` excludes outliers from selection; `discovery` applies worker lists and suspensions;
//! - `migration` moves requests between two processes of the node;
//! - `configuration` defines the settings; `settings` reads them from JSON, using the sections of
//!   `settings_file` and the checks of `settings_validation`;
//! - `workers`, `request`, `estimates`, `budgets`, `event_times` and `discovery_calls` hold the
//!   state; `parameters` contains the constants.

mod admission;
pub mod affinity;
mod attempts;
mod budgets;
mod configuration;
mod discovery;
mod discovery_calls;
pub mod dispatcher;
mod ejection;
mod estimates;
mod event_times;
mod figures;
pub mod interface;
mod load;
mod migration;
mod parameters;
mod probes;
pub mod random;
pub(crate) mod request;
mod rules;
mod selection;
pub mod settings;
mod settings_error;
mod settings_file;
mod settings_validation;
mod slow_start;
mod worker_entry;
mod workers;

pub use migration::BudgetHistory;
