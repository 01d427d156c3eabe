//! The dispatcher: takes events with the current time and returns actions.
//!
//! The normal path is the lottery scheduling of SNS: a request goes to a worker drawn at random
//! with 1 / (load + correction + 1) tickets. The correction is the number of slots of the
//! dispatcher's own attempts, which are subtracted from the reported load. Each of the sibling
//! modules implements the decisions for one concern.

use super::budgets::Budgets;
use super::discovery_calls::DiscoveryCalls;
use super::estimates::Estimates;
use super::interface::{Action, Event, RequestId, Settings, SettingsError};
use super::random::Random;
use super::request::Request;
use super::workers::WorkerTable;
use std::collections::BTreeMap;

/// Request ids are below this limit. The token of a timer combines its kind with a request id.
pub(super) const MAX_REQUEST_ID: u64 = 1 << 52;

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TimerKind {
    /// The final answer of a request is due.
    Deadline,
    /// A request is due for review.
    Review,
    /// A call to discovery is due.
    Discovery,
}

impl TimerKind {
    /// Returns the token of a timer of this kind. For [`TimerKind::Discovery`] the request id is 0.
    pub(super) fn token(self, request: RequestId) -> u64 {
        let kind = match self {
            Self::Deadline => 0,
            Self::Review => 1,
            Self::Discovery => 2,
        };
        (kind * MAX_REQUEST_ID) | request
    }

    /// Returns the kind and the request id of a token, or `None` if the dispatcher did not issue
    /// it.
    fn parse(token: u64) -> Option<(Self, RequestId)> {
        let request = token % MAX_REQUEST_ID;
        match token / MAX_REQUEST_ID {
            0 => Some((Self::Deadline, request)),
            1 => Some((Self::Review, request)),
            2 => Some((Self::Discovery, request)),
            _ => None,
        }
    }
}

/// A dispatcher: its settings, the state of workers and requests, and its random number generator.
pub struct Dispatcher {
    pub(super) settings: Settings,
    pub(super) random: Random,
    pub(super) now: f64,
    pub(super) actions: Vec<Action>,
    pub(super) workers: WorkerTable,
    pub(super) estimates: Estimates,
    pub(super) budgets: Budgets,
    pub(super) discovery: DiscoveryCalls,
    pub(super) requests: BTreeMap<RequestId, Request>,
}

impl Dispatcher {
    /// Returns a dispatcher without workers and requests. The seed determines its random numbers.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range, see [`Settings::validate`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let expected_run_times: Vec<f64> = settings
            .classes
            .iter()
            .map(|class| class.latency_objective.max(settings.tick))
            .collect();
        Ok(Self {
            workers: WorkerTable::new(settings.classes.len()),
            estimates: Estimates::new(expected_run_times),
            budgets: Budgets::new(),
            discovery: DiscoveryCalls::default(),
            settings,
            random: Random::new(seed),
            now: 0.0,
            actions: Vec::new(),
            requests: BTreeMap::new(),
        })
    }

    /// Handles one event at the time `now` and appends the resulting actions to `actions`.
    ///
    /// Unknown requests, workers and timers are ignored. If the clock steps back, its time is used
    /// unchanged.
    pub fn handle(&mut self, now: f64, event: &Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.handle_event(event);
        actions.append(&mut self.actions);
    }

    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::WorkerListReceived { kind, entries } => self.handle_worker_list(*kind, entries),
            Event::RequestReceived(new) => self.admit_request(new),
            Event::AttemptStreaming { request, attempt } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.record_streaming(*attempt);
                }
            }
            Event::AttemptProgress {
                request,
                attempt,
                note,
            } => self.handle_progress(*request, *attempt, *note),
            Event::AttemptEnded {
                request,
                attempt,
                worker,
                outcome,
                answered,
                report,
                ..
            } => {
                self.record_attempt_end((*request, *attempt), *worker, *outcome, report);
                self.handle_outcome(*request, *attempt, *outcome, *answered);
            }
            Event::ClientDisconnected { request } => self.forget_request(*request),
            Event::TimerExpired { token } => self.handle_timer(*token),
            Event::ProbeEnded {
                worker,
                outcome,
                report,
                elapsed,
            } => self.handle_probe_result(*worker, *outcome, report, *elapsed),
            Event::SuspensionChanged {
                worker,
                resume: true,
            } => self.resume_worker(*worker),
            Event::SuspensionChanged {
                worker,
                resume: false,
            } => self.suspend_worker(*worker),
            Event::DispatcherCountChanged(count) => self.settings.dispatcher_count = *count,
            Event::SiblingEvent(event) => self.handle_sibling_event(event),
            Event::RequestMigrated { request, record } => {
                self.continue_migrated_request(*request, record);
            }
            Event::PeerMessage => {}
        }
    }

    fn handle_timer(&mut self, token: u64) {
        match TimerKind::parse(token) {
            Some((TimerKind::Deadline, request)) => self.answer_if_deadline_reached(request),
            Some((TimerKind::Review, request)) => self.review_request(request),
            Some((TimerKind::Discovery, 0)) => self.call_discovery_if_due(),
            Some((TimerKind::Discovery, _)) | None => {}
        }
    }

    /// Returns a random time between `delay` and 1.5 times `delay` from now, so that dispatchers do
    /// not act in lockstep.
    pub(super) fn jittered(&mut self, delay: f64) -> f64 {
        self.now + delay.max(self.settings.tick) * (1.0 + 0.5 * self.random.uniform())
    }

    /// Returns the time this many mean run times ago.
    pub(super) fn run_times_ago(&self, run_times: f64) -> f64 {
        self.now - run_times * self.estimates.mean_run_time
    }
}
