//! The messages between the parts of the node: events for the request manager, and the commands
//! that it answers with. The module depends on none of these parts, and has no logic and no I/O.
//!
//! Times are in seconds of the node's clock, durations in seconds.

use crate::decision::interface::{Entry, ListKind, RequestId};
use postproxy_handover::StateUpdate;
use postproxy_idempotency::Write;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// Identifies a client's connection while it waits for an answer; assigned by the module that owns
/// the connections.
pub type ClientId = u64;
/// Identifies an attempt or a probe; assigned by the request manager, never reused.
pub type AttemptId = u64;

/// The part of a request that is forwarded unchanged to a worker.
///
/// Part of the handover's encoding: order and types of the fields must not change.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Payload {
    /// Request id, unique among the requests of all clients.
    pub id: String,
    /// Method, as the client's protocol spells it.
    pub method: String,
    /// Target of the method.
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
    /// Hash of the request's subject, by which requests are routed to the same worker; 0 for none.
    pub affinity_key: u64,
    /// How long the client waits, in seconds; `None` for the deadline of the class.
    pub budget: Option<f64>,
    /// Expected work in seconds, if the client has given it.
    pub expected_work: Option<f64>,
    /// Slots that the request takes, if the client has given them.
    pub slots: Option<f64>,
    /// Memory that the request takes, if the client has given it.
    pub memory: Option<f64>,
    /// Whether the client has marked the request as a repetition.
    pub repeat: bool,
}

/// A load report: figures by the names that they have on the wire.
pub type Load = Vec<(String, f64)>;

/// How an attempt ended, as far as its connection and the worker's answer show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker has accepted the request; its call-back brings the outcome.
    Accepted,
    /// The worker has answered with an error.
    Error,
    /// The worker has rejected the attempt, and its answer proves that nothing has run.
    RejectedUnstarted,
    /// The worker's answer rejects the attempt, but may belong to another request: it proves
    /// nothing.
    RejectedAmbiguous,
    /// The attempt has not reached the worker completely.
    NeverSent,
    /// This node had no connection to spare; the worker is not at fault.
    LocalCapacityExhausted,
    /// The attempt was written completely, then its connection broke.
    Reset,
}

/// What a call-back reports of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum CallbackState {
    /// The worker has started the request.
    Started,
    /// The request is running; the completed share, from 0 to 1.
    Running(f64),
    /// The request is done; the result.
    Done(Vec<u8>),
    /// The request has ended in an error.
    Failed,
    /// The worker has handed the request back without starting it.
    Returned,
    /// The request was killed, or its process has died.
    Lost,
    /// A state that this version does not know.
    Unknown,
}

/// A worker's call-back about a request.
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
    /// The worker's entry; the request manager fills in [`Entry::worker`].
    pub entry: Entry,
}

/// An event that the request manager handles.
#[derive(Debug)]
pub enum Input {
    /// A client has submitted a request.
    RequestReceived {
        /// The client's connection.
        client: ClientId,
        /// What the client asks for.
        submission: Submission,
    },
    /// A client that waited for an answer has closed its connection.
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
    /// A worker has called back about a request.
    CallbackReceived {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The call-back.
        callback: WorkerCallback,
    },
    /// A write to the store has become durable, or never will.
    WriteCompleted {
        /// Who waits for the write.
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
    /// A worker list has come from discovery, a peer or the cache.
    WorkerListReceived {
        /// Whether the list is complete, a change, or from a cache.
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
    /// The number of nodes that may send to the workers has changed.
    NodeCountChanged {
        /// Number of nodes; 0 if it is unknown, and the settings apply.
        count: usize,
    },
    /// A sibling process of this node has sent a state update.
    SiblingUpdate {
        /// The link to the sibling.
        link: usize,
        /// The update.
        update: StateUpdate,
    },
    /// The link to a sibling process has closed; its requests are gone.
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
    /// No sibling process knows the request of a call-back; it may have migrated here since.
    CallbackRetried {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The call-back.
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
    /// An attempt has had no answer in time.
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
    /// A client that waits for the answer of another's request has reached its deadline.
    CoalescedRequestTimeout {
        /// The waiting client.
        client: ClientId,
    },
    /// Expired records are due to be removed from the request log.
    ExpireRecords,
}

/// What waits until a write to the store is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteWaiter {
    /// An attempt, which starts then.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A worker, whose call-back is acknowledged then.
    Callback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// Id of the request that the call-back is about.
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
    /// Rejected, and proven not to have run; seconds after which to retry, 0 for no advice.
    RejectedWithRetryAfter(f64),
    /// Failed; the request may have run.
    Failed,
    /// Another request with this id is in flight, or the idempotency key belongs to a different
    /// request.
    DuplicateRequestId,
}

impl Answer {
    /// Returns the name of the answer in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::RejectedWithRetryAfter(_) => "unavailable",
            Self::Failed => "failed",
            Self::DuplicateRequestId => "held",
        }
    }
}

/// An effect that the request manager asks its caller to carry out.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Address of the worker.
        worker: SocketAddr,
        /// The request to forward.
        payload: Rc<Payload>,
        /// When the attempt ends for want of an answer.
        deadline: f64,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// Address of the worker.
        worker: SocketAddr,
        /// The forwarded request.
        payload: Rc<Payload>,
        /// Whether the worker has accepted the request.
        accepted: bool,
    },
    /// Ask a worker for its load; the answer is an [`Input::ExchangeEnded`] with this attempt's
    /// number.
    ProbeWorker {
        /// Number of the probe.
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
        /// The link of a sibling that is left out.
        except: Option<usize>,
        /// The update.
        update: StateUpdate,
    },
    /// Ask the sibling processes whether they know the request of a call-back.
    ForwardCallback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The call-back.
        callback: WorkerCallback,
    },
    /// Send a client its final answer.
    AnswerClient {
        /// The client's connection.
        client: ClientId,
        /// The answer.
        answer: Answer,
    },
    /// Acknowledge a call-back.
    AcknowledgeCallback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// Whether the request is in flight here.
        known: bool,
    },
    /// Write records to the store in one batch.
    WriteRecords {
        /// The records.
        writes: Vec<Write>,
        /// Who waits for the write.
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
    /// Done, or already so.
    Done,
    /// Not possible at the moment.
    NotNow,
    /// No worker or node has the given name.
    NotFound,
    /// Done at this node, and confirmed by part of the cluster so far.
    PartiallyApplied {
        /// Number of nodes, this one included, at which it is done.
        applied: usize,
        /// Number of nodes in the cluster.
        nodes: usize,
    },
    /// The settings of this node name no other nodes.
    ClusterDisabled,
    /// Configuration tracking is disabled at this node.
    AuditDisabled,
    /// Coordination between nodes is disabled at this node.
    CoordinationDisabled,
    /// The node that is to be removed has not failed.
    StillAlive,
}
