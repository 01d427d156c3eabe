//! The messages between the parts of the node: events for the request manager, and the commands
//! that it returns. The module depends on none of these parts, and has no logic and no I/O.
//!
//! Times are in seconds of the node's clock, durations in seconds.

use crate::decision::interface::{Entry, ListKind, RequestId};
use postproxy_handover::StateUpdate;
use postproxy_idempotency::Write;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// Identifies a client connection while it waits for an answer; assigned by the module that owns
/// the connections.
pub type ClientId = u64;
/// Identifies an attempt or a probe; assigned by the request manager, never reused.
pub type AttemptId = u64;

/// The part of a request that is forwarded unchanged to a worker.
///
/// Part of the handover's encoding: the order and types of the fields must not change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Payload {
    /// Request id, unique among the requests of all clients.
    pub id: String,
    /// Method, as the client's protocol spells it.
    pub method: String,
    /// Target of the request, as the client's protocol spells it.
    pub target: String,
    /// Idempotency key, by which a worker recognises a repeated request.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// A request as a client submits it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Submission {
    /// The part that is forwarded to a worker.
    pub payload: Payload,
    /// Index of the request's class in the settings.
    pub class: u8,
    /// Name of the tenant.
    pub tenant: Option<String>,
    /// Hash by which requests on the same subject are routed to the same worker; 0 for none.
    pub affinity_key: u64,
    /// How long the client waits, in seconds; `None` for the deadline of the class.
    pub time_limit: Option<f64>,
    /// Expected work in seconds, if the client has specified it.
    pub expected_work: Option<f64>,
    /// Slots that the request takes, if the client has specified them.
    pub slots: Option<f64>,
    /// Memory that the request takes, if the client has specified it.
    pub memory: Option<f64>,
    /// Whether the client has marked the request as a retry.
    pub is_marked_retry: bool,
}

/// A load report: names on the wire and values of its figures.
pub type Load = Vec<(String, f64)>;

/// How the exchange of an attempt or a probe ended, judging by its connection and the worker's
/// answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker has accepted the request; its callback will report the outcome.
    Accepted,
    /// The worker answered with an error.
    Error,
    /// The worker rejected the attempt, and its answer proves that nothing has run.
    RejectedUnstarted,
    /// The worker's answer rejects the attempt, but may belong to another request and therefore
    /// proves nothing.
    RejectedAmbiguous,
    /// The attempt was not sent completely.
    NeverSent,
    /// This node had no connection available; the worker is not at fault.
    LocalCapacityExhausted,
    /// The attempt was written completely, then its connection broke.
    Reset,
}

/// The state of a request that a callback reports.
#[derive(Clone, Debug, PartialEq)]
pub enum CallbackState {
    /// The worker has started the request.
    Started,
    /// The request is running; the completed fraction, from 0 to 1.
    Running(f64),
    /// The request is done; the result.
    Done(Vec<u8>),
    /// The request ended with an error.
    Failed,
    /// The worker has returned the request without starting it.
    Returned,
    /// The request was killed, or its process died.
    Lost,
    /// A state that this version does not know.
    Unknown,
}

/// A worker's callback about a request.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerCallback {
    /// Id of the request.
    pub id: String,
    /// Name of the worker, as in the worker list.
    pub from: String,
    /// The reported state.
    pub state: CallbackState,
    /// Load report; empty for none.
    pub load: Load,
}

/// A worker as the worker list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Name of the worker, the same at every node.
    pub id: String,
    /// Address at which this node reaches the worker.
    pub address: SocketAddr,
    /// The worker's entry; the request manager sets [`Entry::worker`].
    pub entry: Entry,
}

/// An event that the request manager handles.
#[derive(Debug)]
pub enum Input {
    /// A client has submitted a request.
    RequestReceived {
        /// The client's connection.
        client: ClientId,
        /// The submitted request.
        submission: Submission,
    },
    /// A client has closed its connection while waiting for an answer.
    ClientDisconnected {
        /// The client's connection.
        client: ClientId,
    },
    /// The last byte of an attempt has been written to the worker.
    AttemptWritten {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The HTTP exchange of an attempt or of a probe has ended.
    ExchangeEnded {
        /// The attempt or probe.
        attempt: AttemptId,
        /// How the exchange ended.
        end: AttemptEnd,
        /// Load report of the worker's answer; empty for none.
        load: Load,
    },
    /// A worker has sent a callback about a request.
    CallbackReceived {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The callback.
        callback: WorkerCallback,
    },
    /// A write to the store has become durable, or never will.
    WriteCompleted {
        /// What waits for the write.
        waiter: WriteWaiter,
        /// Whether the write is durable.
        durable: bool,
    },
    /// A stored result has been read.
    ResultRead {
        /// The client that waits for the result.
        client: ClientId,
        /// The result; `None` if it could not be read.
        result: Option<Vec<u8>>,
    },
    /// The store has started or stopped accepting writes.
    StoreHealthChanged {
        /// Whether the store accepts writes.
        writable: bool,
    },
    /// A worker list has arrived from discovery, a peer or the cache.
    WorkerListReceived {
        /// Whether the list is complete, a change, or from the cache.
        kind: ListKind,
        /// The workers in it.
        workers: Vec<ListedWorker>,
    },
    /// An operator has suspended or resumed a worker through the management API.
    SuspensionRequested {
        /// The management connection that waits for the answer.
        caller: usize,
        /// Name of the worker.
        worker: String,
        /// `true` to resume the worker, `false` to suspend it.
        resume: bool,
    },
    /// The cluster has suspended or resumed a worker.
    SuspensionLearned {
        /// Name of the worker.
        worker: String,
        /// `true` to resume the worker, `false` to suspend it.
        resume: bool,
    },
    /// The number of nodes that may send requests to the workers has changed.
    NodeCountChanged {
        /// Number of nodes; 0 if it is unknown, in which case the number in the settings applies.
        count: usize,
    },
    /// A sibling process of this node has sent a state update.
    SiblingUpdate {
        /// The link to the sibling.
        link: usize,
        /// The update.
        update: StateUpdate,
    },
    /// The link to a sibling process has closed, and its requests have ended with it.
    SiblingLost {
        /// The link to the sibling.
        link: usize,
    },
    /// A sibling process hands over a request.
    RequestMigrated {
        /// The link to the sibling.
        link: usize,
        /// The client's connection; `None` if the client has disconnected.
        client: Option<ClientId>,
        /// The encoded request.
        request: Vec<u8>,
    },
    /// No sibling process knows the request of a callback. It is handled again, since the request
    /// may have migrated here in the meantime.
    CallbackRetried {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The callback.
        callback: WorkerCallback,
    },
    /// A timer set by [`Command::SetTimer`] has expired.
    TimerExpired {
        /// The timer.
        timer: RequestTimer,
    },
}

/// A timer of the request manager.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTimer {
    /// A timer of the dispatcher.
    Dispatcher {
        /// The dispatcher's token for the timer.
        token: u64,
    },
    /// An attempt has timed out.
    AttemptTimeout {
        /// The request.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u16,
    },
    /// The record of an attempt has not become durable in time.
    DurabilityTimeout {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A client that waits for the answer of a request that it repeats has reached its deadline.
    CoalescedRequestTimeout {
        /// The waiting client.
        client: ClientId,
    },
    /// It is time to remove expired records from the request log.
    ExpireRecords,
}

/// What waits for a write to the store to complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteWaiter {
    /// An attempt, which starts once the write is durable.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker, whose callback is acknowledged once the write has completed.
    Callback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// Id of the request that the callback is about.
        request_id: String,
    },
    /// Nothing waits.
    NoWaiter {
        /// Id of the request whose record is written; empty if the write belongs to no single
        /// request.
        request_id: String,
    },
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A worker's result.
    Served(Vec<u8>),
    /// Rejected, and proven not to have run. Contains the Retry-After in seconds, 0 for none.
    RejectedWithRetryAfter(f64),
    /// Failed; the request may have run.
    Failed,
    /// Another request with this id is in flight, or the idempotency key belongs to a different
    /// request.
    DuplicateRequestId,
}

impl Answer {
    /// Returns the name under which the answer is logged.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::RejectedWithRetryAfter(_) => "unavailable",
            Self::Failed => "failed",
            Self::DuplicateRequestId => "held",
        }
    }
}

/// A command that the request manager's caller carries out.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Address of the worker.
        worker: SocketAddr,
        /// The part of the request that is forwarded.
        payload: Rc<Payload>,
        /// When the attempt times out.
        deadline: f64,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Address of the worker.
        worker: SocketAddr,
        /// The part of the request that was forwarded.
        payload: Rc<Payload>,
        /// Whether the worker has accepted the request.
        accepted: bool,
    },
    /// Ask a worker for its load. The answer is reported by [`Input::ExchangeEnded`] with this id.
    ProbeWorker {
        /// Id of the probe.
        attempt: AttemptId,
        /// Address of the worker.
        worker: SocketAddr,
        /// How long to wait for the answer, in seconds.
        timeout: f64,
    },
    /// Withdraw an attempt if its last byte has not been written.
    WithdrawAttempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// Address of the worker.
        worker: SocketAddr,
    },
    /// Answer a request of the management API.
    ReplyToManagement {
        /// The management connection.
        caller: usize,
        /// The answer.
        reply: ManagementReply,
    },
    /// Send a state update to the sibling processes.
    UpdateSiblings {
        /// The link of a sibling to which the update is not sent.
        except: Option<usize>,
        /// The update.
        update: StateUpdate,
    },
    /// Ask the sibling processes whether they know the request of a callback.
    ForwardCallback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The callback.
        callback: WorkerCallback,
    },
    /// Send a client its final answer.
    AnswerClient {
        /// The client's connection.
        client: ClientId,
        /// The answer.
        answer: Answer,
    },
    /// Acknowledge a callback.
    AcknowledgeCallback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// Whether the request is in flight in this process.
        known: bool,
    },
    /// Write records to the store in one batch.
    WriteRecords {
        /// The records.
        writes: Vec<Write>,
        /// What waits for the write.
        waiter: WriteWaiter,
    },
    /// Read a stored result.
    ReadResult {
        /// The client that waits for the result.
        client: ClientId,
        /// Id of the request.
        id: String,
    },
    /// Set a timer.
    SetTimer {
        /// When it expires.
        at: f64,
        /// The timer.
        timer: RequestTimer,
    },
}

/// The answer to a request of the management API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ManagementReply {
    /// Done, or the requested state already holds.
    Done,
    /// Not possible in the present state of the node or of its cluster.
    Unavailable,
    /// There is no worker or node with the given name.
    NotFound,
    /// Done at this node, and confirmed by part of the cluster so far.
    PartiallyApplied {
        /// Number of nodes at which it is done, including this one.
        applied: usize,
        /// Number of nodes in the cluster.
        nodes: usize,
    },
    /// The settings of this node configure no other nodes.
    ClusterDisabled,
    /// Configuration tracking is disabled at this node.
    AuditDisabled,
    /// Coordination between nodes is disabled at this node.
    CoordinationDisabled,
    /// The node to be removed has not failed.
    StillAlive,
}
