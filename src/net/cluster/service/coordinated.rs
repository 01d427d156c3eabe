//! The coordination service: its messages, its writes and the requests of operators.

use super::{ClusterService, Event};
use crate::net::cluster::coordination::{self, AdminRequest, AdminResponse, CoordinationEffect};
use crate::net::transport::reactor::Reactor;

impl ClusterService {
    /// Carries out what the coordination service wants done. Returns what the node has to do for
    /// it.
    pub(super) fn carry_out_coordination(
        &mut self,
        reactor: &mut Reactor,
        actions: Vec<CoordinationEffect>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for action in actions {
            match action {
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

    /// Sends a message to a node. A node that isn't known gets what still matters when it joins.
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
            tracing::debug!(to, "message queue of a peer full: message dropped");
            participant.mark_reconnected(to);
        }
    }

    /// Handles that a write of [`Event::Write`] has completed, or failed.
    pub fn handle_write_completed(&mut self, reactor: &mut Reactor, succeeded: bool) -> Vec<Event> {
        let actions = self
            .participant
            .as_mut()
            .and_then(|participant| participant.coordination.as_mut())
            .map(|coordination| coordination.handle_write_completed(reactor.now, succeeded))
            .unwrap_or_default();
        let events = self.carry_out_coordination(reactor, actions);
        self.schedule_timer(reactor);
        events
    }

    /// Handles a request of an operator to the coordination service. Returns `None` if that isn't
    /// configured, or this process doesn't participate in the cluster.
    pub fn handle_admin_request(
        &mut self,
        reactor: &mut Reactor,
        caller: usize,
        request: AdminRequest,
    ) -> Option<Vec<Event>> {
        if self.adds_unknown_voter(&request) {
            // A voter that doesn't exist would count towards the majority all the same.
            let error = postproxy_coordination::Error::UnknownNode;
            let response = coordination::error_response(&error);
            return Some(vec![reply_event(caller, response)]);
        }
        let actions = self
            .participant
            .as_mut()?
            .coordination
            .as_mut()?
            .handle_admin_request(reactor.now, caller, request);
        let events = self.carry_out_coordination(reactor, actions);
        self.schedule_timer(reactor);
        Some(events)
    }

    /// Returns whether a request is to add a voter that isn't a known node.
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

    /// Returns the voters and the holders of leases, as JSON for the management API.
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
