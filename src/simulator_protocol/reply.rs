//! Encodes the reply to a batch.

use super::InstanceId;
use crate::decision::interface::{Action, RequestId, WorkerId};

/// Size of a reply's header: batch number and size of the actions.
const HEADER_BYTES: usize = 8;

/// Size of an action's header: its code and the size of its fields.
const ACTION_HEADER_BYTES: usize = 5;

/// Codes of the actions.
mod code {
    pub const WATCH_DISCOVERY: u8 = 16;
    pub const PROBE: u8 = 19;
    pub const FAIL: u8 = 20;
    pub const TIMER: u8 = 21;
    pub const REJECT: u8 = 22;
    pub const SEND: u8 = 24;
    pub const CANCEL: u8 = 26;
}

/// Encoder of a reply.
#[derive(Debug)]
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Returns an empty reply to the batch of this number.
    pub fn new(number: u32) -> Self {
        let mut bytes = number.to_le_bytes().to_vec();
        bytes.resize(HEADER_BYTES, 0);
        Self { bytes }
    }

    /// Appends an action of a dispatcher.
    pub fn push(&mut self, instance: InstanceId, action: &Action) {
        let start = self.bytes.len();
        let fields = start + ACTION_HEADER_BYTES;
        self.bytes.resize(fields, 0);
        self.bytes.extend(instance.to_le_bytes());
        let code = self.push_fields(action);
        let size = (self.bytes.len() - fields) as u32;
        self.bytes[start] = code;
        self.bytes[start + 1..fields].copy_from_slice(&size.to_le_bytes());
    }

    /// Appends the fields of an action and returns its code.
    fn push_fields(&mut self, action: &Action) -> u8 {
        match *action {
            Action::WatchDiscovery => {
                // The value that requests a watch.
                self.bytes.push(1);
                code::WATCH_DISCOVERY
            }
            Action::Probe { worker } => {
                self.push_worker(worker);
                code::PROBE
            }
            Action::Fail { request } => {
                self.push_request(request);
                code::FAIL
            }
            Action::Timer { at, token } => {
                self.bytes.extend(at.to_le_bytes());
                self.bytes.extend(token.to_le_bytes());
                code::TIMER
            }
            Action::Reject {
                request,
                retry_after,
            } => {
                self.push_request(request);
                self.bytes.extend(retry_after.to_le_bytes());
                code::REJECT
            }
            Action::Send {
                request,
                worker,
                timeout,
            } => {
                self.push_request(request);
                self.push_worker(worker);
                self.bytes.extend(timeout.to_le_bytes());
                code::SEND
            }
            Action::Cancel { request, attempt } => {
                self.push_request(request);
                self.bytes.extend(attempt.to_le_bytes());
                code::CANCEL
            }
        }
    }

    fn push_request(&mut self, request: RequestId) {
        self.bytes.extend(request.to_le_bytes());
    }

    fn push_worker(&mut self, worker: WorkerId) {
        self.bytes.extend(worker.address);
        self.bytes.extend(worker.port.to_le_bytes());
    }

    /// Returns the bytes of the complete reply.
    pub fn into_bytes(mut self) -> Vec<u8> {
        let size = (self.bytes.len() - HEADER_BYTES) as u32;
        self.bytes[4..HEADER_BYTES].copy_from_slice(&size.to_le_bytes());
        self.bytes
    }
}
