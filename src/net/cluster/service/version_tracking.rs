//! Tracks which node uses which version, and sends worker lists to other nodes.

use super::{ClusterService, Event};
use crate::net::cluster::versions::{self, VersionAction, VersionService};
use crate::net::transport::reactor::Reactor;
use postproxy_membership::{Identity, Output};
use postproxy_version_tracking::{Source, VersionKind, VersionRecord};
use std::net::SocketAddr;

impl ClusterService {
    /// Returns whether versions are tracked.
    pub fn tracks_versions(&self) -> bool {
        self.audit_section.is_some()
    }

    /// Records that the node uses this version of the worker list from now on, after `action_count`
    /// attempts on the one before.
    pub fn record_version(
        &mut self,
        reactor: &mut Reactor,
        version: VersionRecord,
        source: Source,
        action_count: u64,
    ) -> Vec<Event> {
        let now = reactor.now;
        let kind = VersionKind::WorkerList;
        let actions = self
            .version_tracking()
            .map(|versions| versions.adopt(now, kind, version, source, action_count));
        let mut out = Vec::new();
        let mut events = self.handle_version_actions(actions.unwrap_or_default(), &mut out);
        events.extend(self.handle_outputs(reactor, out));
        events
    }

    /// Returns the generation of worker lists from this discovery address. Nodes whose section
    /// `audit` names the same discovery have the same generation, even if its addresses differ.
    pub fn generation(&self, discovery: SocketAddr) -> u64 {
        let name = self
            .audit_section
            .as_ref()
            .and_then(|section| section.discovery.clone());
        versions::generation(&name.unwrap_or_else(|| discovery.to_string()))
    }

    /// Sends a worker list to a node.
    pub fn send_worker_list(
        &mut self,
        reactor: &mut Reactor,
        to: &str,
        generation: u64,
        body: &[u8],
    ) {
        let Some(participant) = &mut self.participant else {
            return;
        };
        let header = postcard::to_extend(&generation, versions::WORKER_LIST_PREFIX.to_vec());
        let message = [&header.unwrap_or_default()[..], body].concat();
        if let Some(address) = participant.address(to) {
            // If the message isn't queued or gets lost, the node requests the list again.
            let _ = participant
                .peer_connections
                .send(reactor, to, address, message);
        }
    }

    /// Returns the versions that each node uses, as JSON for the management API.
    pub fn versions_json(&self, now: f64) -> Option<String> {
        let versions = self.participant.as_ref()?.versions.as_ref()?;
        Some(versions.versions_json(now))
    }

    /// Returns this node's audit log, as JSON for the management API. `action_count` is the number
    /// of attempts that haven't been recorded yet.
    pub fn audit_log_json(&self, action_count: u64) -> Option<String> {
        let versions = self.participant.as_ref()?.versions.as_ref()?;
        Some(versions.audit_log_json(action_count))
    }

    fn version_tracking(&mut self) -> Option<&mut VersionService> {
        self.participant.as_mut()?.versions.as_mut()
    }

    /// Handles a message of another node's version tracking.
    pub(super) fn handle_version_message(
        &mut self,
        now: f64,
        from: &Identity,
        message: &[u8],
        out: &mut Vec<Output>,
    ) -> Vec<Event> {
        let actions = self
            .version_tracking()
            .map(|versions| versions.handle_datagram(now, &from.name, message));
        self.handle_version_actions(actions.unwrap_or_default(), out)
    }

    /// Sends the messages of the version tracking. Returns an event for each request of another
    /// node for content.
    pub(super) fn handle_version_actions(
        &mut self,
        actions: Vec<VersionAction>,
        out: &mut Vec<Output>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        for action in actions {
            match action {
                VersionAction::Send { to, bytes: message } => {
                    if let Some(participant) = &mut self.participant {
                        participant
                            .membership
                            .send_application_message(&to, &message, out);
                    }
                }
                VersionAction::SendContent { to: node, kind } => {
                    events.push(Event::VersionRequested { node, kind });
                }
            }
        }
        events
    }
}
