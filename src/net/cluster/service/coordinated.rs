//! The coordination service: its messages, its writes and the requests of operators.

use super::{ClusterService, Event};
use crate::net::cluster::coordination::{self, AdminRequest, AdminResponse, CoordinationEffect};
use crate::net::transport::reactor::Reactor;

impl ClusterService {
    /// Applies effects of the coordination service. Returns the resulting events for the node.
    pub(super) fn apply_coordination_effects(
        &mut self,
        reactor: &mut Reactor,
        effects: Vec<CoordinationEffect>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for effect in effects {
            match effect {
                CoordinationEffect::Send { to, message } => {
                    self.send_coordination_message(reactor, &to, message);
                }
                CoordinationEffect::Write(changes) => events.push(Event::Write(changes)),
                CoordinationEffect::Respond { caller, response } => {
                    events.push(reply_event(caller, response));
                }
            }
        }
        events
    }

    /// Sends a message to a node. Nothing is sent to an unknown node: when it joins, the
    /// coordinator repeats the messages that still matter.
    fn send_coordination_message(&mut self, reactor: &mut Reactor, to: &str, message: Vec<u8>) {
        let Some(participant) = &mut self.participant else {
            return;
        };
        let Some(address) = participant.address(to) else {
            return;
        };
        let sent = participant
            .peer_connections
            .send(reactor, to, address, message);
        if sent.is_err() {
            tracing::debug!(to, "peer's message queue is full: message dropped");
            participant.mark_reconnected(to);
        }
    }

    /// Handles the completion or the failure of a write requested by [`Event::Write`].
    pub fn handle_write_completed(&mut self, reactor: &mut Reactor, succeeded: bool) -> Vec<Event> {
        let effects = self
            .participant
            .as_mut()
            .and_then(|participant| participant.coordination.as_mut())
            .map(|coordination| coordination.handle_write_completed(reactor.now, succeeded))
            .unwrap_or_default();
        let events = self.apply_coordination_effects(reactor, effects);
        self.schedule_timer(reactor);
        events
    }

    /// Handles an operator's request to the coordination service. Returns `None` if the service
    /// isn't configured, or this process doesn't participate in the cluster.
    pub fn handle_admin_request(
        &mut self,
        reactor: &mut Reactor,
        caller: usize,
        request: AdminRequest,
    ) -> Option<Vec<Event>> {
        if self.adds_unknown_voter(&request) {
            // A voter that doesn't exist would raise the number of votes needed for a majority.
            let error = postproxy_coordination::Error::UnknownNode;
            let response = coordination::error_response(&error);
            return Some(vec![reply_event(caller, response)]);
        }
        let effects = self
            .participant
            .as_mut()?
            .coordination
            .as_mut()?
            .handle_admin_request(reactor.now, caller, request);
        let events = self.apply_coordination_effects(reactor, effects);
        self.schedule_timer(reactor);
        Some(events)
    }

    /// Returns whether a request adds a voter that isn't a known node.
    fn adds_unknown_voter(&self, request: &AdminRequest) -> bool {
        let AdminRequest::ChangeVoter {
            node: name,
            add: true,
        } = request
        else {
            return false;
        };
        let is_unknown = |participant: &super::Participant| {
            participant.coordination.is_some() && participant.address(name).is_none()
        };
        *name != self.name && self.participant.as_ref().is_some_and(is_unknown)
    }

    /// Returns the voters, the leases and their owners, as JSON for the management API.
    pub fn lease_status_json(&self, now: f64) -> Option<String> {
        let coordination = self.participant.as_ref()?.coordination.as_ref()?;
        let status = coordination.status(now);
        serde_json::to_string(&status).ok().map(|text| text + "\n")
    }
}

fn reply_event(caller: usize, response: AdminResponse) -> Event {
    Event::Reply {
        caller,
        status: response.status,
        body: response.body,
    }
}
