//! What the parts say to each other. Below them all: it knows no part, and holds no decision and no socket.

use crate::decision::interface::{Entry, ListKind, RequestId};
use postproxy_handover::StateUpdate;
use postproxy_idempotency::Write;
use serde::{Deserialize, Serialize};
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
    pub address: std::net::SocketAddr,
    /// Its entry; the hub fills in the worker's number.
    pub entry: Entry,
}

/// What the hub is told.
#[derive(Debug)]
pub enum Input {
    /// A request begins.
    Arrived(ClientId, Submission),
    /// Its client has gone away.
    Left(ClientId),
    /// The last byte of an attempt has been written.
    Written(AttemptId),
    /// News of an attempt.
    Attempt(AttemptId, AttemptEnd, Load),
    /// A worker's call-back, and who waits for its acknowledgement.
    Call(ClientId, JobCall),
    /// What was to be written is durable, or will never be.
    Stored(Wait, bool),
    /// A result that was kept, if it could be read.
    Fetched(ClientId, Option<Vec<u8>>),
    /// The disk takes writes, or does not.
    Disk(bool),
    /// News of the list.
    List(ListKind, Vec<Member>),
    /// A caller at the operators' door takes the worker of this name out of use, or back into it.
    Use(usize, String, bool),
    /// The fleet's word on the use of the worker of this name.
    Banned(String, bool),
    /// So many nodes may send to the workers, as far as this one knows; 0 where it knows no others.
    Nodes(usize),
    /// News of another process of this node, by its link.
    StateUpdate(usize, StateUpdate),
    /// A link is over: what its process held is gone.
    Unlinked(usize),
    /// Another process's job moves here, with its client, if that has not left meanwhile.
    Moved(usize, Option<ClientId>, Vec<u8>),
    /// A call-back that no other process knows: its job may have moved here since.
    Again(ClientId, JobCall),
    /// A timer set by [`Command::Timer`] came due.
    Due(Due),
}

/// A timer of the hub's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
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

/// What the hub wants done.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt, whose client waits until this time.
    Start(AttemptId, std::net::SocketAddr, Rc<Payload>, f64),
    /// Give an attempt up; the worker has taken its job, or not yet.
    Abandon(AttemptId, std::net::SocketAddr, Rc<Payload>, bool),
    /// Ask a worker for its load, and wait for so many seconds; the answer is news of an attempt of this number.
    Probe(AttemptId, std::net::SocketAddr, f64),
    /// Give an attempt back if its last byte is not written.
    Withdraw(AttemptId),
    /// Let the idle connections to a worker go.
    Forget(std::net::SocketAddr),
    /// Answer a caller at the operators' door.
    Operator(usize, Reply),
    /// Tell the other processes of this node, but for the one of this link.
    Tell(Option<usize>, StateUpdate),
    /// Ask them whether they know what a call-back is on; it is to be acknowledged with their word.
    Forward(ClientId, JobCall),
    /// Give the final answer.
    Answer(ClientId, Answer),
    /// Acknowledge a call-back; whether it was on a request that is held here.
    Acknowledge(ClientId, bool),
    /// Write these together, and tell what becomes of it.
    Write(Vec<Write>, Wait),
    /// Read the result of the job of this id.
    Fetch(ClientId, String),
    /// Set a timer.
    Timer(f64, Due),
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
