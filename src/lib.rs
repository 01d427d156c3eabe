//! A node that receives requests from clients and forwards each to a suitable worker.
//!
//! [`decision`] chooses the workers. Its [`Dispatcher`] is a deterministic state machine: the
//! caller passes [`Event`]s with the current time to it and carries out the [`Action`]s that it
//! returns. It owns no clock, socket or thread. [`net`] runs a dispatcher on sockets;
//! [`simulator_protocol`] connects one to a simulator.
//!
//! ```
//! use postproxy::{Action, Dispatcher, Entry, Event, Health, ListKind, NewRequest, Settings, WorkerId};
//!
//! let settings = Settings::from_json(r#"{"services": [{"effect": "pure", "deadline": 5.0}]}"#)?;
//! let mut dispatcher = Dispatcher::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let worker = WorkerId { address: [10, 0, 0, 1], port: 8080 };
//! let entries = vec![Entry { worker, health: Health::Ready, ..Entry::default() }];
//! let list = Event::WorkerListReceived { kind: ListKind::Full, entries };
//! dispatcher.handle(100.0, &list, &mut actions);
//!
//! let request = NewRequest { id: 7, class: 0, time_limit: 5.0, ..NewRequest::default() };
//! dispatcher.handle(100.0, &Event::RequestReceived(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: 7, .. })));
//! # Ok::<(), postproxy::SettingsError>(())
//! ```

pub mod decision;
pub mod logging;
pub mod net;
pub mod operator_config;
pub mod simulator_protocol;
pub mod stand_ins;

pub use decision::dispatcher::Dispatcher;
pub use decision::interface::*;

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
