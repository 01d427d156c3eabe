//! Dispatches requests of the management API and sends their replies.

use super::Node;
use crate::net::cluster::coordination::AdminRequest;
use crate::net::cluster::service::ClusterService;
use crate::net::management::{ManagementRequest, ReceivedRequest};
use crate::net::messages::{Input, ManagementReply};
use postproxy_membership::ForgetError;

/// A requested change of a worker's suspension.
#[derive(Clone)]
pub(super) struct SuspensionChange {
    worker: String,
    /// `true` to resume the worker, `false` to suspend it.
    resume: bool,
}

impl Node {
    /// Handles readiness of the management API's listener or of one of its connections.
    pub(super) fn handle_management_ready(&mut self, key: usize, readable: bool, writable: bool) {
        let calls = self
            .management
            .as_mut()
            .map(|management| management.handle_ready(&mut self.reactor, key, readable, writable));
        self.handle_management_requests(calls.unwrap_or_default());
    }

    /// Accepts connections of the management API again after a pause.
    pub(super) fn resume_accepting_management(&mut self) {
        let calls = self
            .management
            .as_mut()
            .map(|management| management.accept(&mut self.reactor));
        self.handle_management_requests(calls.unwrap_or_default());
    }

    /// Handles requests of the management API. Those that change the node's state are deferred
    /// while an older process still sends its snapshot: the snapshot would override them.
    pub(super) fn handle_management_requests(&mut self, requests: Vec<ReceivedRequest>) {
        for received in requests {
            if changes_state(&received.request) && self.is_waiting_for_snapshot() {
                self.deferred_requests.push(received);
                continue;
            }
            self.handle_management_request(received.caller, received.request);
        }
    }

    /// Handles the deferred requests.
    pub(super) fn handle_deferred_requests(&mut self) {
        let requests = std::mem::take(&mut self.deferred_requests);
        self.handle_management_requests(requests);
    }

    fn handle_management_request(&mut self, caller: usize, request: ManagementRequest) {
        match request {
            ManagementRequest::CheckReadiness => {
                let ready = self.lifecycle.is_serving();
                self.reply(
                    caller,
                    if ready {
                        ManagementReply::Done
                    } else {
                        ManagementReply::Unavailable
                    },
                );
            }
            ManagementRequest::Drain => {
                self.drain(None, 0.0);
                self.reply(caller, ManagementReply::Done);
            }
            ManagementRequest::Activate => {
                let reply = self.activate();
                self.reply(caller, reply);
            }
            ManagementRequest::SuspendWorker { worker } => {
                let resume = false;
                self.request_suspension(caller, SuspensionChange { worker, resume });
            }
            ManagementRequest::ResumeWorker { worker } => {
                let resume = true;
                self.request_suspension(caller, SuspensionChange { worker, resume });
            }
            ManagementRequest::ForgetMember { node } => {
                let reply = self.forget_member(&node);
                self.reply(caller, reply);
            }
            ManagementRequest::ShowCoordination => self.show_lease_status(caller),
            ManagementRequest::ListVersions => self.show_versions(caller),
            ManagementRequest::ShowAuditLog => self.show_audit_log(caller),
            ManagementRequest::ReleaseLease { lease } => {
                self.submit_admin_request(caller, AdminRequest::Release { lease })
            }
            ManagementRequest::TransferLease { lease, to } => {
                self.submit_admin_request(caller, AdminRequest::Transfer { lease, to })
            }
            ManagementRequest::SetVoter { node, votes } => {
                self.submit_admin_request(caller, AdminRequest::ChangeVoter { node, add: votes });
            }
            ManagementRequest::ListMembers => self.show_members(caller),
        }
    }

    /// Sends a reply to a caller of the management API.
    pub(super) fn reply(&mut self, caller: usize, reply: ManagementReply) {
        if let Some(management) = &mut self.management {
            management.send_reply(&mut self.reactor, caller, reply);
        }
    }

    /// Sends a text to a caller of the management API, or `fallback` if there is none.
    fn reply_with_text(&mut self, caller: usize, text: Option<String>, fallback: ManagementReply) {
        match (&mut self.management, text) {
            (Some(management), Some(text)) => {
                management.send_text(&mut self.reactor, caller, 200, &text);
            }
            (Some(management), None) => {
                management.send_reply(&mut self.reactor, caller, fallback);
            }
            (None, _) => {}
        }
    }

    fn show_lease_status(&mut self, caller: usize) {
        let text = self
            .cluster
            .as_ref()
            .and_then(|cluster| cluster.lease_status_json(self.reactor.now));
        self.reply_with_text(caller, text, ManagementReply::CoordinationDisabled);
    }

    fn show_versions(&mut self, caller: usize) {
        let text = self
            .cluster
            .as_ref()
            .and_then(|cluster| cluster.versions_json(self.reactor.now));
        self.reply_with_text(caller, text, ManagementReply::AuditDisabled);
    }

    fn show_audit_log(&mut self, caller: usize) {
        let text = self
            .cluster
            .as_ref()
            .and_then(|cluster| cluster.audit_log_json(self.attempts_on_version));
        self.reply_with_text(caller, text, ManagementReply::AuditDisabled);
    }

    fn show_members(&mut self, caller: usize) {
        let status = self.cluster.as_ref().and_then(ClusterService::status);
        let text = status.and_then(|status| serde_json::to_string(&status).ok());
        self.reply_with_text(
            caller,
            text.map(|text| text + "\n"),
            ManagementReply::ClusterDisabled,
        );
    }

    /// Submits a request to the coordination service; the caller gets the reply once the request
    /// has been decided.
    fn submit_admin_request(&mut self, caller: usize, request: AdminRequest) {
        let events = self
            .cluster
            .as_mut()
            .and_then(|cluster| cluster.handle_admin_request(&mut self.reactor, caller, request));
        match events {
            Some(events) => self.handle_cluster_events(events),
            None => self.reply(caller, ManagementReply::CoordinationDisabled),
        }
    }

    /// Removes a failed node from the cluster's members.
    fn forget_member(&mut self, name: &str) -> ManagementReply {
        let Some(cluster) = &mut self.cluster else {
            return ManagementReply::ClusterDisabled;
        };
        match cluster.forget_member(&mut self.reactor, name) {
            Ok(events) => {
                self.handle_cluster_events(events);
                ManagementReply::Done
            }
            Err(Some(ForgetError::UnknownNode)) => ManagementReply::NotFound,
            Err(Some(ForgetError::StillAlive)) => ManagementReply::StillAlive,
            Err(Some(ForgetError::TooMany) | None) => ManagementReply::Unavailable,
        }
    }

    /// Asks the request manager to suspend or to resume a worker; [`Self::complete_suspension`]
    /// follows.
    fn request_suspension(&mut self, caller: usize, change: SuspensionChange) {
        if self.cluster.is_some() {
            self.pending_suspensions.insert(caller, change.clone());
        }
        self.reactor.queue.push_back(Input::SuspensionRequested {
            caller,
            worker: change.worker,
            resume: change.resume,
        });
    }

    /// Announces a suspension that the request manager has accepted to the other nodes. The caller
    /// then gets the number of nodes that have recorded it; if this process doesn't participate in
    /// a cluster, the caller gets the request manager's reply at once.
    pub(super) fn complete_suspension(&mut self, caller: usize, reply: ManagementReply) {
        let change = self
            .pending_suspensions
            .remove(&caller)
            .filter(|_| reply == ManagementReply::Done);
        if let (Some(change), Some(cluster)) = (change, &mut self.cluster) {
            let events = cluster.set_suspended(
                &mut self.reactor,
                Some(caller),
                &change.worker,
                change.resume,
            );
            if let Some(events) = events {
                return self.handle_cluster_events(events);
            }
        }
        self.reply(caller, reply);
    }
}

/// Returns whether a request changes state that the snapshot of an older process contains.
fn changes_state(request: &ManagementRequest) -> bool {
    matches!(
        request,
        ManagementRequest::Drain
            | ManagementRequest::Activate
            | ManagementRequest::SuspendWorker { .. }
            | ManagementRequest::ResumeWorker { .. }
    )
}
