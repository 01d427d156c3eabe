//! The decision module: a deterministic state machine that chooses a worker for each request.
//!
//! It owns no clock, socket, disk or thread. The caller passes [`interface::Event`]s with the current time to
//! [`dispatcher::Dispatcher::handle`] and carries out the [`interface::Action`]s that it returns. The same seed
//! and the same events give the same actions.

pub mod affinity;
pub mod dispatcher;
pub mod interface;
pub mod random;
pub(crate) mod request;
pub mod settings;
mod state;
