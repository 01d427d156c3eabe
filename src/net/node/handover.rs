//! The node's side of the handover between its processes: takes over from an older sibling process,
//! and hands over to a newer one.

use super::Node;
use crate::net::downstream::callback;
use crate::net::downstream::migration::{ReleasedIdleConnection, ReleasedWaitingConnection};
use crate::net::handover::callbacks::CallbackResolution;
use crate::net::handover::descriptors::DescriptorUsage;
use crate::net::handover::{Event, Handover};
use crate::net::lifecycle::Stage;
use crate::net::messages::{ClientId, Input, WorkerCallback};
use postproxy_handover::{LinkEvent, Message, Role, StateUpdate};
use std::os::fd::OwnedFd;

impl Node {
    /// Handles readiness of the handover socket or of a link.
    pub(super) fn handle_handover_ready(&mut self, key: usize, readable: bool) {
        let events = self
            .handover
            .as_mut()
            .map(|handover| handover.handle_ready(&mut self.reactor, key, readable));
        self.handle_handover_events(events.unwrap_or_default());
    }

    /// Handles an expired timer of the handover, which closes the links to stalled siblings.
    pub(super) fn handle_handover_timer(&mut self) {
        let events = self
            .handover
            .as_mut()
            .map(|handover| handover.handle_timer(&mut self.reactor));
        self.handle_handover_events(events.unwrap_or_default());
    }

    /// Sends a message to all siblings but one.
    pub(super) fn broadcast_to_siblings(&mut self, except: Option<usize>, message: &Message) {
        if let Some(handover) = &mut self.handover {
            handover.broadcast(&self.reactor, except, message);
        }
    }

    fn send_to_sibling(&mut self, link: usize, message: &Message) {
        if let Some(handover) = &mut self.handover {
            handover.send(&self.reactor, link, message);
        }
    }

    fn handle_handover_events(&mut self, events: Vec<Event>) {
        for event in events {
            match event {
                Event::Received {
                    link,
                    event,
                    descriptor,
                } => self.handle_link_event(link, event, descriptor),
                Event::Closed {
                    link,
                    pending_callers,
                    sibling_may_be_running,
                } => self.handle_link_closed(link, pending_callers, sibling_may_be_running),
            }
        }
    }

    fn handle_link_event(&mut self, link: usize, event: LinkEvent, descriptor: Option<OwnedFd>) {
        match event {
            LinkEvent::HelloReceived => {
                self.requests.set_siblings_linked(true);
                self.send_snapshot(link);
            }
            LinkEvent::StateUpdate(update) => self.handle_state_update(link, update),
            LinkEvent::SnapshotComplete => {
                self.completed_snapshots.insert(link);
                self.start_serving_when_ready();
            }
            LinkEvent::DescriptorsHeld(count) => {
                self.descriptor_shares.record_sibling(link, count as usize);
                self.divide_descriptors();
            }
            LinkEvent::Callback { number, body } => self.receive_callback(link, number, &body),
            LinkEvent::CallbackResult { caller, known } => {
                self.record_callback_result(caller, known);
            }
            LinkEvent::IdleConnection { input, used_before } => {
                // Without a descriptor there is no connection to take over.
                if let Some(descriptor) = descriptor {
                    let connection = ReleasedIdleConnection {
                        stream: descriptor.into(),
                        input,
                        used_before,
                    };
                    self.clients
                        .adopt_idle_connection(&mut self.reactor, connection);
                }
            }
            LinkEvent::Request {
                request,
                input,
                close_after_answer,
            } => self.adopt_request(link, request, input, close_after_answer, descriptor),
            LinkEvent::ShuttingDown => {
                tracing::info!("older process of this node is shutting down");
            }
        }
    }

    /// Continues a request that a sibling has passed on. If its connection is missing, because
    /// there was no descriptor left for it, the client counts as disconnected.
    fn adopt_request(
        &mut self,
        link: usize,
        request: Vec<u8>,
        input: Vec<u8>,
        close_after_answer: bool,
        descriptor: Option<OwnedFd>,
    ) {
        let adopted = descriptor.and_then(|descriptor| {
            let connection = ReleasedWaitingConnection {
                stream: descriptor.into(),
                input,
                close_after_response: close_after_answer,
            };
            self.clients
                .adopt_waiting_connection(&mut self.reactor, connection)
        });
        let client = adopted.filter(|client| self.clients.awaits_answer(*client));
        self.reactor.queue.push_back(Input::RequestMigrated {
            link,
            client,
            request,
        });
    }

    /// Handles the end of a link: the sibling's requests have ended, or can't be reached any more.
    fn handle_link_closed(
        &mut self,
        link: usize,
        pending_callers: Vec<ClientId>,
        sibling_may_be_running: bool,
    ) {
        self.reactor.queue.push_back(Input::SiblingLost { link });
        self.descriptor_shares.forget_sibling(link);
        self.completed_snapshots.remove(&link);
        self.forwarded_callbacks.forget_link(link);
        for caller in pending_callers {
            if sibling_may_be_running {
                // The sibling may still hold the request. Without an acknowledgement the worker
                // sends the callback again.
                self.forwarded_callbacks.abandon(caller);
                self.clients.abort_connection(&mut self.reactor, caller);
            } else {
                self.record_callback_result(caller, false);
            }
        }
        self.requests
            .set_siblings_linked(self.handover.as_ref().is_some_and(Handover::has_links));
        let successor = self.handover.as_ref().and_then(Handover::successor);
        if self.lifecycle.stage() == Stage::HandingOver && successor.is_none() {
            tracing::warn!("link to the newer process of this node lost: handover cancelled");
            self.lifecycle.set_handing_over(false);
            self.clients.set_accepting(&self.reactor, true);
            self.apply_readiness();
        }
        self.divide_descriptors();
        self.start_serving_when_ready();
    }

    fn handle_state_update(&mut self, link: usize, update: StateUpdate) {
        match update {
            StateUpdate::DrainChanged {
                draining: true,
                seconds_ago,
            } => self.drain(Some(link), f64::from(seconds_ago).max(0.0)),
            StateUpdate::DrainChanged {
                draining: false, ..
            } => {
                self.activate();
            }
            StateUpdate::WorkerList(snapshot) => {
                self.worker_list
                    .adopt_snapshot(&mut self.reactor, &snapshot);
            }
            update => {
                if let StateUpdate::WorkerSuspensionChanged { worker, resume } = &update {
                    self.pass_suspension_to_cluster(link, worker, *resume);
                }
                self.reactor
                    .queue
                    .push_back(Input::SiblingUpdate { link, update });
            }
        }
    }

    /// Announces a sibling's change of a suspension to the other nodes: of a node's processes, only
    /// one is a member of the cluster. Suspensions in the snapshot of an older process are not
    /// changes; they are announced once this process has learned the suspensions that the cluster
    /// has recorded.
    fn pass_suspension_to_cluster(&mut self, link: usize, worker: &str, resume: bool) {
        let from_older = self
            .handover
            .as_ref()
            .is_some_and(|handover| handover.role_of(link) == Some(Role::Newer));
        let is_new = !from_older || self.completed_snapshots.contains(&link);
        if let (Some(cluster), true) = (&mut self.cluster, is_new) {
            let events = cluster.set_suspended(&mut self.reactor, None, worker, resume);
            self.handle_cluster_events(events.unwrap_or_default());
        }
    }

    /// Sends a newer process a snapshot of this one's state, and then hands over to it if this one
    /// is stopping.
    fn send_snapshot(&mut self, link: usize) {
        let Some(handover) = self
            .handover
            .as_mut()
            .filter(|handover| handover.role_of(link) == Some(Role::Older))
        else {
            return;
        };
        let now = self.reactor.now;
        let drain = self
            .lifecycle
            .draining_since()
            .map(|since| StateUpdate::DrainChanged {
                draining: true,
                seconds_ago: (now - since) as f32,
            });
        let updates = drain
            .into_iter()
            .chain(self.worker_list.snapshot().map(StateUpdate::WorkerList))
            .chain(self.requests.snapshot_updates(now));
        for update in updates {
            handover.send(&self.reactor, link, &Message::StateUpdate(update));
        }
        self.descriptor_shares.reset_announcement();
        self.divide_descriptors();
        if let Some(handover) = &mut self.handover {
            handover.complete_snapshot(&self.reactor, link);
        }
        self.begin_handover();
    }

    /// Starts the handover if this process has received the stop signal and a newer process of this
    /// node is linked.
    pub(super) fn begin_handover(&mut self) {
        let successor = self.handover.as_ref().and_then(Handover::successor);
        if self.lifecycle.stage() == Stage::Stopping && successor.is_some() {
            tracing::info!("handing over to the newer process of this node");
            self.lifecycle.set_handing_over(true);
            self.clients.set_accepting(&self.reactor, false);
            if let Some(cluster) = &mut self.cluster {
                cluster.yield_socket(&self.reactor);
            }
            self.apply_readiness();
            self.broadcast_to_siblings(None, &Message::ShuttingDown);
        }
    }

    /// Whether an older process of this node is still linked. This process must not exit before it:
    /// connections that the older one hands over to an exited process are lost, and callbacks for
    /// the older one's requests would not be forwarded to it.
    pub(super) fn has_predecessor(&self) -> bool {
        self.handover
            .as_ref()
            .is_some_and(Handover::has_predecessor)
    }

    /// Whether the handover is complete, so that this process can exit.
    pub(super) fn is_handover_complete(&self) -> bool {
        let answered = self.clients.connection_count() == 0
            && self.requests.waiting_client_count() == 0
            && !self.forwarded_callbacks.has_pending();
        let flushed = self.handover.as_ref().is_none_or(Handover::is_flushed);
        answered && flushed && !self.has_predecessor()
    }

    /// Migrates connections to the process that takes over: first idle ones, then those with a
    /// request in flight, together with the request.
    pub(super) fn migrate_connections(&mut self) {
        let Some(successor) = self.handover.as_ref().and_then(Handover::successor) else {
            return;
        };
        self.migrate_idle_connections(successor);
        self.migrate_requests(successor);
        self.divide_descriptors();
    }

    fn migrate_idle_connections(&mut self, successor: usize) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        while handover.has_write_capacity(successor) {
            let Some(released) = self.clients.release_idle_connection(&self.reactor) else {
                break;
            };
            let message = Message::IdleConnection {
                input: released.input,
                used_before: released.used_before,
            };
            let descriptor = Some(released.stream.into());
            handover.send_with_descriptor(&self.reactor, successor, &message, descriptor);
        }
    }

    fn migrate_requests(&mut self, successor: usize) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        for client in self.requests.migratable_clients() {
            if !handover.has_write_capacity(successor) {
                break;
            }
            // The connection has to stay here, or the client has disconnected and the request
            // manager has not handled that yet.
            if !self.clients.can_migrate(client) {
                continue;
            }
            let Some(request) = self.requests.release_request(self.reactor.now, client) else {
                continue;
            };
            let released = self
                .clients
                .release_waiting_connection(&self.reactor, client);
            if let Some(released) = released {
                let message = Message::Request {
                    request,
                    input: released.input,
                    close_after_answer: released.close_after_response,
                };
                let descriptor = Some(released.stream.into());
                handover.send_with_descriptor(&self.reactor, successor, &message, descriptor);
            }
        }
    }

    /// Divides the node's descriptors among its processes, and applies this process's share.
    fn divide_descriptors(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        let shutting_down = self.lifecycle.stage() == Stage::HandingOver;
        let share = self.descriptor_shares.divide(DescriptorUsage {
            total: self.descriptor_budget.sockets,
            reserved: self.descriptor_budget.reserved,
            in_use: self.clients.connection_count() + self.attempts.connection_count(),
            has_successor: handover.has_successor(),
            shutting_down,
        });
        if let Some(held) = share.announcement {
            handover.send_to_successors(&self.reactor, &Message::DescriptorsHeld(held));
        }
        if shutting_down {
            // A request may still arrive on one of this process's connections; a lower limit would
            // reject it.
            return;
        }
        let limits = self.descriptor_budget.limits(share.own);
        self.clients.set_connection_limit(limits.clients);
        self.attempts.set_connection_limit(limits.attempts);
        self.requests.set_waiting_limit(limits.waiting);
    }

    /// Handles a callback that a sibling has forwarded. If the callback can't be parsed, the
    /// sibling is told at once that its request is unknown here.
    fn receive_callback(&mut self, link: usize, number: u64, body: &[u8]) {
        match callback::parse(body) {
            Some(callback) => {
                let client = self.forwarded_callbacks.add_origin(link, number);
                self.reactor
                    .queue
                    .push_back(Input::CallbackReceived { client, callback });
            }
            None => {
                let known = false;
                self.send_to_sibling(link, &Message::CallbackResult { number, known });
            }
        }
    }

    /// Forwards a callback for a request that this process doesn't know to the siblings. If there
    /// are none, it is acknowledged at once.
    pub(super) fn forward_callback(&mut self, client: ClientId, callback: WorkerCallback) {
        let except = self.forwarded_callbacks.origin_link(client);
        let body = callback::encode(&callback);
        let siblings = self.handover.as_mut().map_or(0, |handover| {
            handover.forward_callback(&self.reactor, except, client, &body)
        });
        if siblings == 0 {
            self.acknowledge_callback(client, false);
        } else {
            self.forwarded_callbacks
                .await_results(client, siblings, callback);
        }
    }

    /// Records whether a sibling knows the request of a forwarded callback.
    fn record_callback_result(&mut self, client: ClientId, known: bool) {
        match self.forwarded_callbacks.record_result(client, known) {
            CallbackResolution::Pending => {}
            CallbackResolution::Known => self.acknowledge_callback(client, true),
            // The request may have migrated here before the last result arrived.
            CallbackResolution::Unknown(callback) => self
                .reactor
                .queue
                .push_back(Input::CallbackRetried { client, callback }),
        }
    }

    /// Acknowledges a callback to its worker, or to the sibling that forwarded it.
    pub(super) fn acknowledge_callback(&mut self, client: ClientId, known: bool) {
        if !self.forwarded_callbacks.is_forwarded_here(client) {
            self.clients.acknowledge_callback(&mut self.reactor, client);
        } else if let Some(origin) = self.forwarded_callbacks.take_origin(client) {
            let number = origin.number;
            self.send_to_sibling(origin.link, &Message::CallbackResult { number, known });
        }
    }
}
