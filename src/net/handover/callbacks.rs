//! Callbacks that are forwarded between sibling processes: those that this process has sent to
//! siblings and whose results it awaits, and those that siblings have sent to this process, which
//! owes them a result.

use crate::net::messages::{ClientId, WorkerCallback};
use std::collections::HashMap;

/// Bit that is set in the client ids of callbacks that siblings have forwarded here, and in no
/// client id of a connection.
const FORWARDED_BIT: ClientId = 1 << 63;

/// The source of a callback that a sibling has forwarded here.
#[derive(Debug)]
pub struct CallbackOrigin {
    /// The link to the sibling.
    pub link: usize,
    /// The number that identifies the callback on this link; the result is sent with it.
    pub number: u64,
}

/// A callback that was forwarded to siblings.
struct PendingCallback {
    /// Number of siblings that have not sent their result yet.
    missing_results: usize,
    callback: WorkerCallback,
}

/// The state of a forwarded callback after a result has been recorded.
#[derive(Debug)]
pub enum CallbackResolution {
    /// Other results are outstanding, or the callback was resolved before.
    Pending,
    /// A sibling knows the request that the callback is about.
    Known,
    /// No sibling knows the request.
    Unknown(WorkerCallback),
}

/// The callbacks that are forwarded between this process and its siblings.
#[derive(Default)]
pub struct ForwardedCallbacks {
    pending: HashMap<ClientId, PendingCallback>,
    origins: HashMap<ClientId, CallbackOrigin>,
    last_origin: ClientId,
}

impl ForwardedCallbacks {
    /// Registers a callback that a sibling has forwarded, and returns the client id that stands for
    /// it in this process.
    pub fn add_origin(&mut self, link: usize, number: u64) -> ClientId {
        self.last_origin += 1;
        let client = FORWARDED_BIT | self.last_origin;
        self.origins.insert(client, CallbackOrigin { link, number });
        client
    }

    /// Whether this client id stands for a callback that a sibling has forwarded here.
    pub fn is_forwarded_here(&self, client: ClientId) -> bool {
        client & FORWARDED_BIT != 0
    }

    /// Returns the link over which a callback was forwarded here.
    pub fn origin_link(&self, client: ClientId) -> Option<usize> {
        self.origins.get(&client).map(|origin| origin.link)
    }

    /// Removes and returns the origin of a callback that was forwarded here; `None` if its link is
    /// closed.
    pub fn take_origin(&mut self, client: ClientId) -> Option<CallbackOrigin> {
        self.origins.remove(&client)
    }

    /// Registers a callback that was forwarded to this number of siblings, each of which sends a
    /// result.
    pub fn await_results(&mut self, client: ClientId, siblings: usize, callback: WorkerCallback) {
        let pending = PendingCallback {
            missing_results: siblings,
            callback,
        };
        self.pending.insert(client, pending);
    }

    /// Records a sibling's result: whether it knows the request that the callback is about. The
    /// callback is resolved by the first sibling that knows the request, or by the last result.
    pub fn record_result(&mut self, client: ClientId, known: bool) -> CallbackResolution {
        let Some(pending) = self.pending.get_mut(&client) else {
            return CallbackResolution::Pending;
        };
        pending.missing_results -= 1;
        if !known && pending.missing_results > 0 {
            return CallbackResolution::Pending;
        }
        match self.pending.remove(&client) {
            Some(_) if known => CallbackResolution::Known,
            Some(pending) => CallbackResolution::Unknown(pending.callback),
            None => CallbackResolution::Pending,
        }
    }

    /// Stops waiting for the results of a callback.
    pub fn abandon(&mut self, client: ClientId) {
        self.pending.remove(&client);
    }

    /// Removes the origins of a closed link, on which results can no longer be sent.
    pub fn forget_link(&mut self, link: usize) {
        self.origins.retain(|_, origin| origin.link != link);
    }

    /// Whether results of siblings are outstanding.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}
