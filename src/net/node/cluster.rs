//! Handles the events of the cluster service, and reports to it which version of the worker list
//! this node uses.

use super::Node;
use crate::net::cluster::service::Event;
use crate::net::messages::{Input, ManagementReply};
use postproxy_version_tracking::{Source, VersionRecord};

impl Node {
    /// Handles readiness of a socket to other nodes.
    pub(super) fn handle_peers_ready(&mut self, key: usize, readable: bool, writable: bool) {
        let events = self
            .cluster
            .as_mut()
            .map(|cluster| cluster.handle_ready(&mut self.reactor, key, readable, writable));
        self.handle_cluster_events(events.unwrap_or_default());
    }

    /// Handles an expired timer of the cluster service.
    pub(super) fn handle_peers_timer(&mut self, number: u64) {
        let events = self
            .cluster
            .as_mut()
            .map(|cluster| cluster.handle_timer(&mut self.reactor, number));
        self.handle_cluster_events(events.unwrap_or_default());
    }

    /// Notifies the cluster service that a write of coordination records has become durable or has
    /// failed.
    pub(super) fn complete_coordination_write(&mut self, durable: bool) {
        let events = self
            .cluster
            .as_mut()
            .map(|cluster| cluster.handle_write_completed(&mut self.reactor, durable));
        self.handle_cluster_events(events.unwrap_or_default());
    }

    /// Records with the cluster service which version of the worker list this node uses from now
    /// on.
    pub(super) fn record_worker_list_version(&mut self, source: Source) {
        let version = self.worker_list.version();
        let (Some(cluster), Some((number, digest))) = (&mut self.cluster, version) else {
            return;
        };
        let record = VersionRecord {
            generation: cluster.generation(self.worker_list.discovery_address()),
            number,
            digest,
        };
        let attempts = std::mem::take(&mut self.attempts_on_version);
        let events = cluster.record_version(&mut self.reactor, record, source, attempts);
        self.handle_cluster_events(events);
    }

    /// Handles events of the cluster service, in order.
    pub(super) fn handle_cluster_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::WorkerChanged {
                    worker,
                    is_suspended,
                } => {
                    self.reactor.queue.push_back(Input::SuspensionLearned {
                        worker,
                        resume: !is_suspended,
                    });
                }
                Event::ClusterSizeChanged { nodes, rank } => {
                    self.reactor
                        .queue
                        .push_back(Input::NodeCountChanged { count: nodes });
                    self.worker_list
                        .set_cluster_position((rank.position, rank.members));
                }
                Event::Synchronised => self.announce_suspended_workers(),
                Event::Write(changes) => {
                    let accepted = self
                        .store
                        .as_mut()
                        .is_some_and(|store| store.write_coordination_records(&changes));
                    if !accepted {
                        self.complete_coordination_write(false);
                    }
                }
                Event::VersionRequested { node, .. } => self.send_worker_list(&node),
                Event::WorkerListReceived {
                    from,
                    generation,
                    body,
                } => {
                    self.adopt_peer_list(from, generation, &body);
                }
                Event::Reply {
                    caller,
                    status,
                    body,
                } => {
                    if let Some(management) = &mut self.management {
                        management.send_text(&mut self.reactor, caller, status, &body);
                    }
                }
                Event::SuspensionRecorded {
                    caller,
                    recorded,
                    nodes,
                } => self.reply(
                    caller,
                    ManagementReply::PartiallyApplied {
                        applied: recorded,
                        nodes,
                    },
                ),
            }
        }
    }

    /// Announces the workers suspended at this node of which the cluster has no record.
    fn announce_suspended_workers(&mut self) {
        let workers = self.requests.suspended_workers();
        let events = self
            .cluster
            .as_mut()
            .map(|cluster| cluster.adopt_suspended_workers(&mut self.reactor, workers));
        self.handle_cluster_events(events.unwrap_or_default());
    }

    /// Sends this node's worker list to another node.
    fn send_worker_list(&mut self, to: &str) {
        if let (Some(cluster), Some(body)) = (&mut self.cluster, self.worker_list.encode_for_peer())
        {
            let generation = cluster.generation(self.worker_list.discovery_address());
            cluster.send_worker_list(&mut self.reactor, to, generation, &body);
        }
    }

    /// Adopts the worker list of another node if it is of the same generation, which means that it
    /// comes from the same discovery, and newer than this node's list.
    fn adopt_peer_list(&mut self, from: String, generation: u64, body: &[u8]) {
        let own = self
            .cluster
            .as_ref()
            .map(|cluster| cluster.generation(self.worker_list.discovery_address()));
        if own != Some(generation) {
            return;
        }
        let adopted = self.worker_list.apply_peer_list(&mut self.reactor, body);
        if adopted.is_some() {
            self.record_worker_list_version(Source::Peer(from));
        }
    }
}
