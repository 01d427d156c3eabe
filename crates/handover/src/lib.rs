//! Hot restart: the messages that two processes of one node exchange while the newer takes over
//! from the older, their codec, and the state of one link. The crate does no I/O: bytes go in and
//! out, and callers pass the time.
//!
//! The encoding is postcard, which writes variants by position and fields by order: neither may
//! change within a protocol [`VERSION`].

mod codec;
mod link;

pub use codec::{DecodeError, GREETING_MAGIC, MAX_FRAME_BYTES, VERSION, frame, greeting};
pub use link::{Link, LinkEvent, Role};

use serde::{Deserialize, Serialize};

/// A change of one process's state that the other one follows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StateUpdate {
    /// An operator has suspended or resumed a worker.
    WorkerSuspensionChanged {
        /// The worker's name.
        worker: String,
        /// `true` if the worker is resumed, `false` if it is suspended.
        resume: bool,
    },
    /// An operator has drained the node, or ended the drain.
    DrainChanged {
        /// Whether the node drains.
        draining: bool,
        /// How long ago the drain began, in seconds.
        seconds_ago: f32,
    },
    /// The cached worker list, encoded by its owner.
    WorkerList(Vec<u8>),
    /// A request was admitted: no other with its id may be.
    RequestAdmitted {
        /// The request's id.
        id: String,
        /// Whether the request is new, and counts towards budgets.
        is_new: bool,
    },
    /// An attempt was sent to a worker.
    AttemptSent {
        /// The request's id.
        id: String,
        /// The attempt's number within the request.
        attempt: u16,
        /// The worker's name.
        worker: String,
        /// Slots that the request takes at the worker.
        slots: f32,
        /// Expected work in seconds; 0 if it is unknown.
        expected_work: f32,
        /// How long ago it was sent, in seconds.
        seconds_ago: f32,
        /// Whether the attempt is new, and counts towards budgets.
        is_new: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request's id.
        id: String,
        /// The attempt's number within the request.
        attempt: u16,
    },
    /// A request has its answer, and no attempt of it is in flight.
    RequestFinished {
        /// The request's id.
        id: String,
    },
    /// What retry budgets have counted so far: how long ago each event was, in seconds.
    BudgetHistory {
        /// Admitted requests.
        admissions: Vec<f32>,
        /// Attempts after a request's first.
        retries: Vec<f32>,
    },
}

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The first message of each side.
    Hello {
        /// The node's name.
        name: String,
        /// The address on which the node listens for clients.
        listen: String,
    },
    /// A change of the sender's state, or a part of its snapshot.
    StateUpdate(StateUpdate),
    /// The older side has sent all the state that it had when it was greeted.
    SnapshotComplete,
    /// The number of descriptors that the sender and older processes hold at most, until it sends
    /// another.
    DescriptorsHeld(u32),
    /// A worker's call-back on a request that the sender does not know.
    Callback {
        /// Counts the sender's forwarded call-backs, from 1.
        number: u64,
        /// The call-back's body.
        body: Vec<u8>,
    },
    /// The result of a forwarded call-back: the sender of the call-back may acknowledge it.
    CallbackResult {
        /// The number of the call-back.
        number: u64,
        /// Whether the sender of this message knows, or knew, the request.
        known: bool,
    },
    /// A client's connection on which no answer is owed. Its descriptor comes with this message.
    QuietConnection {
        /// Bytes that were read from the connection and not yet used.
        input: Vec<u8>,
        /// Whether the connection has carried a request or a call-back before.
        used_before: bool,
    },
    /// A request in flight. The descriptor of its client's connection comes with this message.
    Request {
        /// The request, encoded by its owner.
        request: Vec<u8>,
        /// Bytes that were read from the connection and not yet used.
        input: Vec<u8>,
        /// Whether the connection closes after the answer.
        close_after_answer: bool,
    },
    /// The sender is shutting down: it accepts nothing new, and its connections follow.
    ShuttingDown,
}
