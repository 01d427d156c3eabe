//! What the parts say to each other. Below them all: it knows no part, and holds no decision and no socket.

use crate::decision::interface::{Entry, ListKind, RequestId};
use postproxy_handover::StateUpdate;
use postproxy_idempotency::Write;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// The client's side of a request, as its own module numbers it.
pub type ClientId = u64;
/// An attempt; the hub numbers them.
pub type AttemptId = u64;

/// What passes through unchanged.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Payload {
    /// Its name among all that clients send.
    pub id: String,
    /// What is to be done, as the client's protocol words it.
    pub method: String,
    /// On what.
    pub target: String,
    /// What lets a worker know a repeat.
    pub idempotency_key: Option<String>,
    /// The content.
    pub body: Vec<u8>,
}

/// What a client asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Submission {
    /// For the workers.
    pub payload: Payload,
    /// Index of its class.
    pub class: u8,
    /// Name of its tenant.
    pub tenant: Option<String>,
    /// Its subject; 0 for none.
    pub key: u64,
    /// How long the client waits; its class's deadline where it does not say.
    pub budget: Option<f64>,
    /// Expected work in seconds, where told.
    pub hint: Option<f64>,
    /// Slots that it takes, where told.
    pub slots: Option<f64>,
    /// Memory that it takes, where told.
    pub memory: Option<f64>,
    /// The client marked it as a repeat.
    pub repeat: bool,
}

/// Figures of a load report by their names on the sockets.
pub type Load = Vec<(String, f64)>;

/// How an attempt ended, as far as its connection or its worker's answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker has taken the job; its call-back decides.
    Accepted,
    /// An error answer.
    Error,
    /// An answer that proves that nothing has run.
    NotRun,
    /// The same answer where it may be another request's: it proves nothing.
    TurnedAway,
    /// It never reached the worker whole.
    NeverSent,
    /// This node had no connection to give it: that says nothing of the worker.
    NoRoom,
    /// It was written whole, then its connection broke.
    Reset,
}

/// What a call-back tells of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobState {
    /// It runs.
    Started,
    /// This share of it is done.
    Running(f64),
    /// It is done; the result.
    Done(Vec<u8>),
    /// It ended in an error.
    Failed,
    /// Handed back unstarted.
    Returned,
    /// Killed, or its process died.
    Lost,
    /// A state that this version does not know.
    Unknown,
}

/// A worker's call-back.
#[derive(Clone, Debug, PartialEq)]
pub struct JobCall {
    /// The payload's id.
    pub id: String,
    /// The worker, as the list names it.
    pub from: String,
    /// The news.
    pub state: JobState,
    /// Load report; empty for none.
    pub load: Load,
}

/// A worker as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, the same at every node.
    pub id: String,
    /// Where this node reaches it.
    pub address: SocketAddr,
    /// Its entry; the hub fills in the worker's number.
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
    /// The last byte of an attempt has been written to its worker.
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
    /// A worker has called back about a job.
    CallbackReceived {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The call-back.
        callback: JobCall,
    },
    /// A write to the store has become durable, or never will.
    WriteCompleted {
        /// Who waits for the write.
        waiter: Wait,
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
    /// Discovery, or whoever stands in for it, has sent a worker list.
    WorkerListReceived {
        /// Whether the list is complete, a change, or from a cache.
        kind: ListKind,
        /// The workers in it.
        workers: Vec<Member>,
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
        /// Number of nodes; 0 if this node knows no others.
        count: usize,
    },
    /// A sibling process of this node has sent a state update.
    SiblingUpdate {
        /// The link to the sibling.
        link: usize,
        /// The update.
        update: StateUpdate,
    },
    /// The link to a sibling process is closed: its requests are gone.
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
    /// No sibling process knows a call-back's job; the job may have migrated here since.
    CallbackRetried {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The call-back.
        callback: JobCall,
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
    /// The dispatcher's own.
    Dispatcher(u64),
    /// An attempt's time is up.
    Attempt(RequestId, u16),
    /// The time is up in which an intent should have become durable.
    Intent(AttemptId),
    /// One who waits for another's request has waited long enough.
    Joined(ClientId),
    /// Look for what has expired.
    Expire,
}

/// What waits for a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wait {
    /// An attempt, to start.
    Attempt(AttemptId),
    /// A worker, for the acknowledgement of its call-back on the job of this id.
    Call(ClientId, String),
    /// Nobody; the job's id.
    Nobody(String),
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A worker's result.
    Served(Vec<u8>),
    /// An unavailable answer: trying again is harmless, after so many seconds.
    Unavailable(f64),
    /// Failed; nothing is promised.
    Failed,
    /// A request of this id is held already.
    Held,
}

impl Answer {
    /// As logs name it.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Served(_) => "served",
            Self::Unavailable(_) => "unavailable",
            Self::Failed => "failed",
            Self::Held => "held",
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
        /// Until when the client waits.
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
        /// Whether the worker has accepted the job.
        accepted: bool,
    },
    /// Ask a worker for its load; the answer is an [`Input::ExchangeEnded`] with this attempt's number.
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
        reply: Reply,
    },
    /// Send a state update to the sibling processes.
    UpdateSiblings {
        /// The link of a sibling that is left out.
        except: Option<usize>,
        /// The update.
        update: StateUpdate,
    },
    /// Ask the sibling processes whether they know the job of a call-back.
    ForwardCallback {
        /// The connection that waits for the acknowledgement.
        client: ClientId,
        /// The call-back.
        callback: JobCall,
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
        /// Whether the job's request is held here.
        known: bool,
    },
    /// Write records to the store in one batch.
    WriteRecords {
        /// The records.
        writes: Vec<Write>,
        /// Who waits for the write.
        waiter: Wait,
    },
    /// Read a stored result.
    ReadResult {
        /// The client that waits for the result.
        client: ClientId,
        /// The job's id.
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

/// What is said to an operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It is so, or is done.
    Yes,
    /// Not now.
    NotNow,
    /// Nobody has that name.
    Nobody,
    /// It is so here, and holds at so many of so many nodes.
    Held(usize, usize),
    /// This node knows no others.
    NoFleet,
    /// This node keeps no audit.
    NoAudit,
    /// This node does nothing together with others.
    NoDuties,
    /// A node that is to be forgotten has not failed.
    Lives,
}
