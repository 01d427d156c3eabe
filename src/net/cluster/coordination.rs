//! The coordination service of the node: passes messages, writes and the time between the event
//! loop and the coordinator of `postproxy-coordination`, answers requests of the management API,
//! and logs events.

mod write_queue;

use postproxy_coordination::{
    Coordinator, Error, Event, LeaseOwner, MESSAGE_PREFIX, Operation, Output, Rejection, Response,
    Settings, Status, StorageChange, VoterAction,
};
use postproxy_diagnostics::Diagnostic;
use std::collections::{HashMap, HashSet};
use write_queue::WriteQueue;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    /// Release a lease, regardless of its owner.
    Release {
        /// The name of the lease.
        lease: String,
    },
    /// Transfer a lease to a node.
    Transfer {
        /// The name of the lease.
        lease: String,
        /// The name of the node.
        to: String,
    },
    /// Make a node a voter, or remove it from the voters.
    ChangeVoter {
        /// The name of the node.
        node: String,
        /// Whether it is to become a voter.
        add: bool,
    },
}

/// What the coordination service needs its caller to do.
#[derive(Debug)]
pub enum CoordinationEffect {
    /// Send a message to a node.
    Send {
        /// The name of the node.
        to: String,
        /// The encoded message.
        message: Vec<u8>,
    },
    /// Write these changes; report the result by [`CoordinationService::handle_write_completed`].
    Write(Vec<StorageChange>),
    /// Answer a caller of the management API.
    Respond {
        /// The key of the caller's connection.
        caller: usize,
        /// The response.
        response: AdminResponse,
    },
}

/// A response of the management API.
#[derive(Debug)]
pub struct AdminResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body of the response.
    pub body: String,
}

/// The coordination service of one node.
pub struct CoordinationService {
    coordinator: Coordinator,
    writes: WriteQueue,
    last_ticket: u64,
    /// Callers of the management API, by ticket.
    callers: HashMap<u64, usize>,
    /// Nodes whose messages may have been lost since the last turn.
    reconnected_peers: HashSet<String>,
}

/// Converts the time of the event loop, in seconds, to the milliseconds of the coordinator.
pub(super) fn ms(now: f64) -> u64 {
    (now * 1000.0) as u64
}

/// Returns the response of the management API to a request that has failed.
pub fn error_response(error: &Error) -> AdminResponse {
    let status = match error {
        Error::NoMajority(_) | Error::Busy | Error::NoVoters | Error::NotLeader(_) => 503,
        Error::UnknownNode | Error::Rejected(Rejection::UnknownLease) => 404,
        Error::InvalidName => 400,
        Error::Rejected(_) | Error::WouldLoseMajority { .. } | Error::VoterCount => 409,
    };
    let body = serde_json::to_string(&error.error_body()).unwrap_or_default() + "\n";
    AdminResponse { status, body }
}

impl CoordinationService {
    /// Creates the service of a new process from the stored records. Also returns the first
    /// effects.
    pub fn new(
        settings: Settings,
        now: f64,
        incarnation: u64,
        stored: Vec<(Vec<u8>, Vec<u8>)>,
    ) -> (Self, Vec<CoordinationEffect>) {
        let mut out = Vec::new();
        let coordinator = Coordinator::new(settings, ms(now), incarnation, stored, &mut out);
        let mut service = Self {
            coordinator,
            writes: WriteQueue::default(),
            last_ticket: 0,
            callers: HashMap::new(),
            reconnected_peers: HashSet::new(),
        };
        let effects = service.handle_outputs(now, out);
        (service, effects)
    }

    /// Returns when [`CoordinationService::run_turn`] is to be called next, in seconds.
    pub fn next_turn_at(&self) -> f64 {
        self.coordinator.next_turn_at() as f64 / 1000.0
    }

    /// Runs one turn of the coordinator, after it has been told which peers have reconnected.
    pub fn run_turn(&mut self, now: f64) -> Vec<CoordinationEffect> {
        let mut out = Vec::new();
        for name in std::mem::take(&mut self.reconnected_peers) {
            self.coordinator.peer_reconnected(ms(now), &name, &mut out);
        }
        self.coordinator.run_turn(ms(now), &mut out);
        self.handle_outputs(now, out)
    }

    /// Handles a message of another node. Returns `None` if it is not a message of the coordination
    /// service.
    pub fn receive(
        &mut self,
        now: f64,
        from: &str,
        message: &[u8],
    ) -> Option<Vec<CoordinationEffect>> {
        if !message.starts_with(&MESSAGE_PREFIX) {
            return None;
        }
        let mut out = Vec::new();
        if !self.coordinator.receive(ms(now), from, message, &mut out) {
            tracing::debug!(from, "message of another cluster dropped");
        }
        Some(self.handle_outputs(now, out))
    }

    /// Records that messages to and from a node may have been lost. The coordinator repeats them in
    /// the next turn.
    pub fn peer_reconnected(&mut self, name: &str) {
        self.reconnected_peers.insert(name.to_owned());
    }

    /// Records the result of [`CoordinationEffect::Write`].
    pub fn handle_write_completed(&mut self, now: f64, succeeded: bool) -> Vec<CoordinationEffect> {
        let mut out = Vec::new();
        if !succeeded {
            self.writes.record_failure(now);
        } else if let Some(number) = self.writes.record_success() {
            self.coordinator.record_durable(ms(now), number, &mut out);
        }
        self.handle_outputs(now, out)
    }

    /// Handles a request of a caller of the management API, who is answered by
    /// [`CoordinationEffect::Respond`].
    pub fn handle_admin_request(
        &mut self,
        now: f64,
        caller: usize,
        request: AdminRequest,
    ) -> Vec<CoordinationEffect> {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.callers.insert(ticket, caller);
        let mut out = Vec::new();
        match request {
            AdminRequest::Release { lease } => {
                let token = self
                    .coordinator
                    .lease_table()
                    .lease(&lease)
                    .and_then(|lease| lease.owner.as_ref())
                    .map_or(0, |owner| owner.token);
                let operation = Operation::Release { lease, token };
                self.coordinator.call(ms(now), ticket, operation, &mut out);
            }
            AdminRequest::Transfer { lease, to } => {
                let operation = Operation::Transfer {
                    lease,
                    token: None,
                    to,
                };
                self.coordinator.call(ms(now), ticket, operation, &mut out);
            }
            AdminRequest::ChangeVoter { node, add } => {
                let action = if add {
                    VoterAction::Add
                } else {
                    VoterAction::Remove
                };
                self.coordinator
                    .change_membership(ms(now), ticket, action, &node, &mut out);
            }
        }
        self.handle_outputs(now, out)
    }

    /// Returns the status for the management API.
    pub fn status(&self, now: f64) -> Status {
        self.coordinator.status(ms(now))
    }

    /// Returns the names of the voters, as far as this node knows.
    pub fn voters(&self) -> Vec<String> {
        self.coordinator.voters().values().cloned().collect()
    }

    /// Returns the name of the leader, as far as this node knows.
    pub fn leader(&self) -> Option<String> {
        self.coordinator.leader().cloned()
    }

    /// Returns the effect that answers the caller of a ticket, if there is one.
    fn respond(&mut self, ticket: u64, result: Result<&str, Error>) -> Option<CoordinationEffect> {
        let caller = self.callers.remove(&ticket)?;
        let response = match result {
            Ok(body) => AdminResponse {
                status: 200,
                body: body.to_owned(),
            },
            Err(error) => {
                tracing::info!(code = error.code(), %error, remedy = error.remedy(), "management request rejected");
                error_response(&error)
            }
        };
        Some(CoordinationEffect::Respond { caller, response })
    }

    /// Handles the outputs of the coordinator: queues its writes, logs its events and returns the
    /// rest as effects.
    fn handle_outputs(&mut self, now: f64, out: Vec<Output>) -> Vec<CoordinationEffect> {
        let mut effects = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message } => {
                    effects.push(CoordinationEffect::Send { to, message });
                }
                Output::Write { number, changes } => self.writes.push(number, changes),
                Output::Event(Event::CallCompleted { ticket, result }) => {
                    let result = result.map(|response| response_body(&response));
                    effects.extend(self.respond(ticket, result));
                }
                Output::Event(Event::MembershipChangeCompleted { ticket, result }) => {
                    effects.extend(self.respond(ticket, result.map(|()| "yes\n")));
                }
                Output::Event(event) => log_event(&event),
            }
        }
        effects.extend(self.writes.next_batch(now).map(CoordinationEffect::Write));
        effects
    }
}

fn response_body(response: &Response) -> &'static str {
    match response {
        Response::Rejected(_) => "no\n",
        _ => "yes\n",
    }
}

fn log_event(event: &Event) {
    match event {
        Event::LeaseAcquired { lease, token, .. } => {
            tracing::info!(lease, token, "lease acquired");
        }
        Event::LeaseLost { lease, token } => tracing::info!(lease, token, "lease lost"),
        Event::OwnerChanged {
            lease,
            owner: Some(LeaseOwner { node, token }),
        } => tracing::info!(lease, owner = node, token, "lease owner changed"),
        Event::OwnerChanged { lease, owner: None } => {
            tracing::warn!(lease, "lease has no owner");
        }
        Event::LeaderChanged {
            leader: Some(leader),
        } => tracing::info!(leader, "leader changed"),
        Event::LeaderChanged { leader: None } => tracing::warn!("no leader known"),
        Event::VotingChanged {
            not_voting_reason: None,
        } => tracing::info!("voting started"),
        Event::VotingChanged {
            not_voting_reason: Some(reason),
        } => tracing::warn!(?reason, "not voting"),
        Event::PauseDetected => tracing::warn!("pause detected: leases must be renewed"),
        Event::StateChanged
        | Event::CallCompleted { .. }
        | Event::MembershipChangeCompleted { .. } => {}
    }
}
