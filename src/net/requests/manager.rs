//! The request manager: it keeps the state of all requests, routes events to their handlers, and
//! carries out the dispatcher's actions.
//!
//! It is the only caller of the [`Dispatcher`]. It does not depend on sockets or HTTP, so that
//! requests can arrive over other protocols as well.

use super::durability::{Durability, DurabilityPolicy};
use super::in_flight::{
    AttemptKey, CoalescedWaiter, InFlightRequest, PendingProbe, PendingWrite, SiblingRequest,
};
use super::worker_table::{WorkerIndex, WorkerTable};
use crate::decision::dispatcher::Dispatcher;
use crate::decision::interface::{Action, Event, RequestId, Settings, SettingsError};
use crate::net::messages::{Answer, AttemptId, ClientId, Command, Input, RequestTimer};
use postproxy_handover::StateUpdate;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Handles every request from its arrival to the end of its last attempt.
pub struct RequestManager {
    pub(super) settings: Settings,
    pub(super) dispatcher: Dispatcher,
    /// Events that the dispatcher has yet to handle. They are queued because the dispatcher must
    /// not be called while its own actions are being carried out.
    pub(super) dispatcher_events: VecDeque<Event>,
    pub(super) workers: WorkerTable,
    pub(super) requests: BTreeMap<RequestId, InFlightRequest>,
    /// Requests in flight by the id that their client gave them.
    pub(super) requests_by_id: HashMap<String, RequestId>,
    /// Requests in flight by the client that waits for the final answer.
    pub(super) requests_by_client: HashMap<ClientId, RequestId>,
    /// Recorded requests in flight by their class and idempotency key.
    pub(super) requests_by_key: HashMap<(u8, String), RequestId>,
    /// Requests that may be complete; checked after each event.
    pub(super) maybe_complete: Vec<RequestId>,
    /// Attempts that have not ended.
    pub(super) attempts: HashMap<AttemptId, AttemptKey>,
    /// Probes that have not ended.
    pub(super) probes: HashMap<AttemptId, PendingProbe>,
    pub(super) next_request: RequestId,
    pub(super) next_attempt: AttemptId,
    /// Which requests are recorded in the store; `None` without a store.
    pub(super) durability: Option<DurabilityPolicy>,
    /// Clients whose answer depends on another client's request, or on a recorded one.
    pub(super) coalesced: BTreeMap<ClientId, CoalescedWaiter>,
    /// Records to be written after the current event, in order.
    pub(super) pending_writes: Vec<PendingWrite>,
    /// Whether sibling processes of this node are linked, to which every change is sent.
    pub(super) siblings_linked: bool,
    /// Changes to be sent to the siblings after the current event, in order.
    pub(super) sibling_updates: Vec<StateUpdate>,
    /// The siblings' requests by id.
    pub(super) sibling_requests: BTreeMap<String, SiblingRequest>,
}

impl RequestManager {
    /// Returns a request manager without requests and workers. `seed` seeds the dispatcher's random
    /// number generator.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        Ok(Self {
            dispatcher: Dispatcher::new(settings.clone(), seed)?,
            settings,
            dispatcher_events: VecDeque::new(),
            workers: WorkerTable::default(),
            requests: BTreeMap::new(),
            requests_by_id: HashMap::new(),
            requests_by_client: HashMap::new(),
            requests_by_key: HashMap::new(),
            maybe_complete: Vec::new(),
            attempts: HashMap::new(),
            probes: HashMap::new(),
            next_request: 1,
            next_attempt: 1,
            durability: None,
            coalesced: BTreeMap::new(),
            pending_writes: Vec::new(),
            siblings_linked: false,
            sibling_updates: Vec::new(),
            sibling_requests: BTreeMap::new(),
        })
    }

    /// Records requests in the store from now on, according to the policy.
    pub fn enable_durability(&mut self, policy: DurabilityPolicy) {
        self.durability = Some(policy);
    }

    /// Sets the maximum number of clients that may wait for an answer at a time; 0 for no limit.
    pub fn set_waiting_limit(&mut self, limit: usize) {
        self.settings.max_waiting_requests = limit;
    }

    /// Returns the number of requests that have not been answered or still have an open attempt.
    pub fn pending_count(&self) -> usize {
        self.requests.len() + self.coalesced.len()
    }

    /// Returns the number of clients that are waiting for their final answer.
    pub fn waiting_client_count(&self) -> usize {
        self.requests_by_client.len() + self.coalesced.len()
    }

    /// Handles an event that occurs at `now`, and appends the resulting commands to `out`.
    pub fn handle(&mut self, now: f64, input: Input, out: &mut Vec<Command>) {
        self.handle_input(now, input, out);
        self.run_dispatcher(now, out);
        for request in std::mem::take(&mut self.maybe_complete) {
            self.remove_if_complete(now, request);
        }
        out.extend(
            self.sibling_updates
                .drain(..)
                .map(|update| Command::UpdateSiblings {
                    except: None,
                    update,
                }),
        );
        out.extend(
            self.pending_writes
                .drain(..)
                .map(|write| Command::WriteRecords {
                    writes: write.records,
                    waiter: write.waiter,
                }),
        );
    }

    /// Routes an event to its handler.
    fn handle_input(&mut self, now: f64, input: Input, out: &mut Vec<Command>) {
        match input {
            Input::RequestReceived { client, submission } => {
                self.handle_request_received(now, client, submission, out)
            }
            Input::ClientDisconnected { client } => {
                self.handle_client_disconnected(now, client, out)
            }
            Input::AttemptWritten { attempt } => self.handle_attempt_written(attempt),
            Input::ExchangeEnded { attempt, end, load } => {
                self.handle_exchange_ended(now, attempt, end, &load)
            }
            Input::CallbackReceived { client, callback } => {
                self.handle_callback_received(now, client, callback, out)
            }
            Input::CallbackRetried { client, callback } => {
                self.handle_callback(now, client, callback, out)
            }
            Input::WriteCompleted { waiter, durable } => {
                self.handle_write_completed(now, waiter, durable, out)
            }
            Input::ResultRead { client, result } => self.handle_result_read(client, result, out),
            Input::StoreHealthChanged { writable } => self.handle_store_health_changed(writable),
            Input::WorkerListReceived { kind, workers } => {
                self.handle_worker_list(now, kind, workers, out)
            }
            Input::SuspensionRequested {
                caller,
                worker,
                resume,
            } => self.handle_suspension_requested(now, caller, &worker, resume, out),
            Input::SuspensionLearned { worker, resume } => {
                self.handle_suspension_learned(now, &worker, resume, out)
            }
            Input::NodeCountChanged { count } => self.handle_node_count_changed(count),
            Input::SiblingUpdate { link, update } => {
                self.handle_sibling_update(now, link, update, out)
            }
            Input::SiblingLost { link } => self.handle_sibling_lost(now, link, out),
            Input::RequestMigrated {
                link,
                client,
                request,
            } => self.handle_request_migrated(now, link, client, &request, out),
            Input::TimerExpired { timer } => self.handle_timer_expired(now, timer, out),
        }
    }

    fn handle_timer_expired(&mut self, now: f64, timer: RequestTimer, out: &mut Vec<Command>) {
        match timer {
            RequestTimer::Dispatcher { token } => self
                .dispatcher_events
                .push_back(Event::TimerExpired { token }),
            RequestTimer::AttemptTimeout { request, attempt } => {
                self.handle_attempt_timeout(now, AttemptKey { request, attempt }, out)
            }
            RequestTimer::DurabilityTimeout { attempt } => {
                self.reject_unrecorded_attempt(now, attempt, out)
            }
            RequestTimer::CoalescedRequestTimeout { client } => {
                self.handle_coalesced_request_timeout(client, out)
            }
            RequestTimer::ExpireRecords => self.expire_records(now, out),
        }
    }

    fn handle_node_count_changed(&mut self, count: usize) {
        let known = u32::try_from(count).ok().filter(|count| *count > 0);
        self.dispatcher_events
            .push_back(Event::DispatcherCountChanged(
                known.unwrap_or(self.settings.dispatcher_count),
            ));
    }

    /// Passes the queued events to the dispatcher and carries out the actions that it returns,
    /// until no event is left.
    fn run_dispatcher(&mut self, now: f64, out: &mut Vec<Command>) {
        let mut actions = Vec::new();
        while let Some(event) = self.dispatcher_events.pop_front() {
            self.dispatcher.handle(now, &event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, out);
            }
        }
    }

    /// Carries out an action of the dispatcher.
    fn apply_action(&mut self, now: f64, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::WatchDiscovery => {} // the worker list is watched on a schedule of its own
            Action::Send {
                request,
                worker,
                timeout,
            } => self.start_attempt(now, request, WorkerIndex::from_id(worker), timeout, out),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, AttemptKey { request, attempt }, out)
            }
            Action::Reject {
                request,
                retry_after,
            } => self.answer_request(request, Answer::RejectedWithRetryAfter(retry_after), out),
            Action::Fail { request } => self.answer_request(request, Answer::Failed, out),
            Action::Timer { at, token } => out.push(Command::SetTimer {
                at,
                timer: RequestTimer::Dispatcher { token },
            }),
            Action::Probe { worker } => self.start_probe(now, WorkerIndex::from_id(worker), out),
        }
    }

    /// Returns how durably requests of a class are recorded.
    pub(super) fn class_durability(&self, class: u8) -> Durability {
        self.durability
            .as_ref()
            .map_or(Durability::None, |policy| policy.class_durability(class))
    }
}
