//! The decision module: a deterministic state machine that chooses a worker for each request.
//!
//! It owns no clock, socket, disk or thread. The caller passes [`interface::Event`]s with the
//! current time to [`dispatcher::Dispatcher::handle`] and carries out the [`interface::Action`]s
//! that it returns. The same seed and the same events give the same actions.
//!
//! - [`dispatcher`] passes events and timers to the module that handles them;
//! - `admission` admits, queues and answers requests; `attempts` sends and reviews their attempts;
//! - `selection` draws a worker, under the constraints of `rules`, with the loads of `load`, the
//!   passes of `slow_start` and the answers to `probes`;
//! - `ejection` ejects outliers from selection; `discovery` applies worker lists and suspensions;
//! - `migration` moves requests between two processes of the node;
//! - `configuration` has the settings; `settings` reads them from JSON, with the sections of
//!   `settings_file` and the checks of `settings_validation`;
//! - `workers`, `request`, `estimates`, `budgets`, `event_times` and `discovery_calls` are the
//!   state; `parameters` has the constants.

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
