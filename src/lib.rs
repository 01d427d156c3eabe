//! The decisions of a dispatcher that sits beside each submitter and pushes jobs to workers.
//!
//! A [`Dispatcher`] is a deterministic state machine: the caller feeds it [`Event`]s with the current
//! time and carries out the [`Action`]s that it writes. It owns no clock, socket or thread.
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
//! dispatcher.handle(100.0, &Event::List { kind: ListKind::Full, entries }, &mut actions);
//! let request = NewRequest { request: 7, class: 0, budget: 5.0, ..NewRequest::default() };
//! dispatcher.handle(100.0, &Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { request: 7, .. })));
//! # Ok::<(), postproxy::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
