//! What the hub holds: requests with their attempts, who waits for them, and what other processes of this node hold.

use super::durability::{Durability, DurabilityPolicy, RequestFingerprint};
use crate::decision::dispatcher::Dispatcher;
use crate::decision::interface::{Event, RequestId, Settings, WorkerId};
use crate::net::messages::{AttemptId, ClientId, Payload, Submission, WriteWaiter};
use postproxy_handover::StateUpdate;
use postproxy_idempotency::Write;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// One sending of a request to a worker.
pub(super) struct Attempt {
    pub(super) worker: usize,
    pub(super) attempt_id: AttemptId,
    pub(super) sent: f64,
    /// When it ends for want of an answer.
    pub(super) until: f64,
    /// Its attempt may start, or has: what must be durable first is.
    pub(super) cleared: bool,
    pub(super) written: bool,
    pub(super) accepted: bool,
    pub(super) ended: bool,
    /// Its worker has handed it back by a call, which it may repeat.
    pub(super) returned: bool,
}

/// A job that another process of this node holds.
pub(super) struct SiblingRequest {
    pub(super) link: usize,
    pub(super) request: RequestId,
    /// Its attempts that are out, each with its worker.
    pub(super) out: Vec<(u16, usize)>,
}

pub(super) struct InFlightRequest {
    pub(super) payload: Rc<Payload>,
    /// The client, while it waits for its final answer.
    pub(super) client: Option<ClientId>,
    pub(super) deadline: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) class: u8,
    /// The care that its class is owed, and what is kept of it.
    pub(super) care: Durability,
    pub(super) asker: Option<Rc<RequestFingerprint>>,
    /// Others who wait for its answer.
    pub(super) joined: Vec<ClientId>,
    /// An attempt has ended that may have run.
    pub(super) may_have_run: bool,
    /// Slots, and expected work, where told.
    pub(super) need: f64,
    pub(super) hint: Option<f64>,
    /// In the logs; none where its level is off.
    pub(super) span: tracing::Span,
}

/// An attempt whose last byte has not been written.
pub(super) struct Unwritten {
    pub(super) request: RequestId,
    pub(super) attempt: u16,
    pub(super) attempt_id: AttemptId,
    pub(super) cleared: bool,
}

impl InFlightRequest {
    pub(super) fn unwritten(&self, request: RequestId) -> impl Iterator<Item = Unwritten> {
        let open = self
            .attempts
            .iter()
            .zip(0..)
            .filter(|(a, _)| !a.written && !a.ended);
        open.map(move |(a, attempt)| Unwritten {
            request,
            attempt,
            attempt_id: a.attempt_id,
            cleared: a.cleared,
        })
    }
}

/// One who waits for what another has asked for.
pub(super) enum CoalescedWaiter {
    /// For this request.
    Request(RequestId),
    /// For the word on a job of an earlier life; what to run if nothing ran, and until when.
    InDoubt(String, Box<Submission>, f64),
    /// For a result that is being read.
    Result,
}

/// Every request and the dispatcher that decides on them.
pub struct RequestManager {
    pub(super) settings: Settings,
    pub(super) dispatcher: Dispatcher,
    /// Where this node reaches each worker, by its number.
    pub(super) workers: Vec<std::net::SocketAddr>,
    pub(super) names: Vec<String>,
    pub(super) numbers: HashMap<String, usize>,
    /// Workers that operators have taken out of use.
    pub(super) banned: BTreeSet<usize>,
    pub(super) requests: BTreeMap<RequestId, InFlightRequest>,
    /// Requests by their payload's id and by their client.
    pub(super) by_id: HashMap<String, RequestId>,
    pub(super) by_client: HashMap<ClientId, RequestId>,
    /// Attempts by their attempt.
    pub(super) by_attempt: HashMap<AttemptId, (RequestId, u16)>,
    /// Workers that have been asked for their load, and when.
    pub(super) probes: HashMap<AttemptId, (usize, f64)>,
    pub(super) next_request: RequestId,
    pub(super) next_attempt: AttemptId,
    /// What the dispatcher is still to be told; it is never called from within its own actions.
    pub(super) events: VecDeque<Event>,
    /// Requests that may be over.
    pub(super) touched: Vec<RequestId>,
    /// What is kept beyond this node's life, if anything is.
    pub(super) keeping: Option<DurabilityPolicy>,
    pub(super) joiners: BTreeMap<ClientId, CoalescedWaiter>,
    /// Requests that are kept, by their class and idempotency key.
    pub(super) by_key: HashMap<(u8, String), RequestId>,
    /// What is to be written, in its order.
    pub(super) writes: Vec<(Vec<Write>, WriteWaiter)>,
    /// Other processes of this node are linked: they are told what changes.
    pub(super) linked: bool,
    /// What they are still to be told.
    pub(super) tales: Vec<StateUpdate>,
    /// What they hold, by its id.
    pub(super) distant: BTreeMap<String, SiblingRequest>,
}

pub(super) fn worker_id(number: usize) -> WorkerId {
    WorkerId {
        address: (number as u32).to_be_bytes(),
        port: 0,
    }
}

pub(super) fn number(worker: WorkerId) -> usize {
    u32::from_be_bytes(worker.address) as usize
}
