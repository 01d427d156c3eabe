//! The tracking of which node acts on which version, and the worker lists that nodes send each
//! other.

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

    /// Records that the node acts on this worker list from now on, after `acts` actions on the one
    /// before.
    pub fn record_version(
        &mut self,
        reactor: &mut Reactor,
        version: VersionRecord,
        source: Source,
        acts: u64,
    ) -> Vec<Event> {
        let now = reactor.now;
        let actions = self
            .version_tracking()
            .map(|versions| versions.adopt(now, VersionKind::WorkerList, version, source, acts));
        let mut out = Vec::new();
        let mut events = self.carry_out_version_actions(actions.unwrap_or_default(), &mut out);
        events.extend(self.carry_out(reactor, out));
        events
    }

    /// Returns the generation of the worker lists from this discovery address.
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
            // If it isn't queued or gets lost, the node asks again.
            let _ = participant
                .peer_connections
                .send(reactor, to, address, message);
        }
    }

    /// Returns which node acts on which version, as JSON for the management API.
    pub fn versions_json(&self, now: f64) -> Option<String> {
        let versions = self.participant.as_ref()?.versions.as_ref()?;
        Some(versions.versions_json(now))
    }

    /// Returns what this node has acted on, as JSON for the management API.
    pub fn audit_log_json(&self, acts: u64) -> Option<String> {
        let versions = self.participant.as_ref()?.versions.as_ref()?;
        Some(versions.audit_log_json(acts))
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
        self.carry_out_version_actions(actions.unwrap_or_default(), out)
    }

    /// Sends what the version tracking wants sent. Returns what other nodes ask this one for.
    pub(super) fn carry_out_version_actions(
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
