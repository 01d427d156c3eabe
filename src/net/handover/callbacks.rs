//! Call-backs that cross between sibling processes: those forwarded to siblings, which wait for
//! their results, and those that siblings have forwarded here, which wait for this process's own.

use crate::net::messages::{ClientId, WorkerCallback};
use std::collections::HashMap;

/// Marks the client numbers of call-backs that siblings have forwarded here, apart from those of
/// connections.
const FORWARDED_MARK: ClientId = 1 << 63;

/// Where a call-back came from that a sibling has forwarded.
#[derive(Debug)]
pub struct CallbackOrigin {
    /// The link to the sibling.
    pub link: usize,
    /// The sibling's number of the call-back.
    pub number: u64,
}

/// A call-back that was forwarded to siblings.
struct PendingCallback {
    /// Siblings that have yet to send their result.
    results_left: usize,
    callback: WorkerCallback,
}

/// What is known of a forwarded call-back after a result.
#[derive(Debug)]
pub enum CallbackResolution {
    /// Other results are still to come, or the call-back was resolved before.
    Pending,
    /// A sibling knows the call-back's request.
    Known,
    /// No sibling knows the request.
    Unknown(WorkerCallback),
}

/// The call-backs that cross between this process and its siblings.
#[derive(Default)]
pub struct ForwardedCallbacks {
    pending: HashMap<ClientId, PendingCallback>,
    origins: HashMap<ClientId, CallbackOrigin>,
    last_origin: ClientId,
}

impl ForwardedCallbacks {
    /// Adds a call-back that a sibling has forwarded, and returns the client number that stands for
    /// it here.
    pub fn add_origin(&mut self, link: usize, number: u64) -> ClientId {
        self.last_origin += 1;
        let client = FORWARDED_MARK | self.last_origin;
        self.origins.insert(client, CallbackOrigin { link, number });
        client
    }

    /// Whether this client number stands for a call-back that a sibling has forwarded here.
    pub fn is_forwarded_here(&self, client: ClientId) -> bool {
        client & FORWARDED_MARK != 0
    }

    /// Returns the link over which a call-back was forwarded here.
    pub fn origin_link(&self, client: ClientId) -> Option<usize> {
        self.origins.get(&client).map(|origin| origin.link)
    }

    /// Removes the origin of a call-back that was forwarded here; `None` if its link is closed.
    pub fn take_origin(&mut self, client: ClientId) -> Option<CallbackOrigin> {
        self.origins.remove(&client)
    }

    /// Waits for the results of so many siblings to which a call-back was forwarded.
    pub fn await_results(&mut self, client: ClientId, siblings: usize, callback: WorkerCallback) {
        let pending = PendingCallback {
            results_left: siblings,
            callback,
        };
        self.pending.insert(client, pending);
    }

    /// Records whether a sibling knows the request of a call-back. The first `known`, or the last
    /// result, resolves it.
    pub fn record_result(&mut self, client: ClientId, known: bool) -> CallbackResolution {
        let Some(pending) = self.pending.get_mut(&client) else {
            return CallbackResolution::Pending;
        };
        pending.results_left -= 1;
        if !known && pending.results_left > 0 {
            return CallbackResolution::Pending;
        }
        match self.pending.remove(&client) {
            Some(_) if known => CallbackResolution::Known,
            Some(pending) => CallbackResolution::Unknown(pending.callback),
            None => CallbackResolution::Pending,
        }
    }

    /// Stops waiting for the results of a call-back.
    pub fn abandon(&mut self, client: ClientId) {
        self.pending.remove(&client);
    }

    /// Removes the origins of a link that is closed: nobody is left to send their results to.
    pub fn forget_link(&mut self, link: usize) {
        self.origins.retain(|_, origin| origin.link != link);
    }

    /// Whether call-backs wait for siblings' results.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}
