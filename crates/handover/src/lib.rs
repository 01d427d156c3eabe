//! Hot restart: the messages that two processes of one node exchange while the newer one takes over
//! from the older one, their encoding, and the state of one link. The crate does no I/O: callers
//! pass in received bytes and the time, and send the encoded messages.
//!
//! Messages are encoded with postcard, which identifies enum variants by their position and fields
//! by their order. Neither may change within a protocol [`VERSION`]; names may.

mod codec;
mod link;

pub use codec::{GREETING_MAGIC, LinkError, MAX_FRAME_BYTES, VERSION, frame, greeting};
pub use link::{Link, LinkEvent, Role};

use serde::{Deserialize, Serialize};

/// A change of the sender's state that the receiver has to apply or keep track of.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StateUpdate {
    /// An operator has suspended or resumed a worker.
    WorkerSuspensionChanged {
        /// The worker's name.
        worker: String,
        /// `true` if the worker is resumed, `false` if it is suspended.
        resume: bool,
    },
    /// An operator has begun or ended the draining of the node.
    DrainChanged {
        /// Whether the node is draining.
        draining: bool,
        /// How long ago the draining began, in seconds.
        seconds_ago: f32,
    },
    /// The cached worker list, in an encoding that this crate does not interpret.
    WorkerList(Vec<u8>),
    /// A request was admitted. The receiver rejects other requests with the same id.
    RequestAdmitted {
        /// The request's id.
        id: String,
        /// Whether the request has just been admitted, and counts towards retry budgets.
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
        /// Number of slots that the request occupies at the worker.
        slots: f32,
        /// Expected processing time in seconds; 0 if it is unknown.
        expected_work: f32,
        /// How long ago the attempt was sent, in seconds.
        seconds_ago: f32,
        /// Whether the attempt has just been sent, and counts towards retry budgets.
        is_new: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The request's id.
        id: String,
        /// The attempt's number within the request.
        attempt: u16,
    },
    /// A request has been answered, and no attempt of it is in flight.
    RequestFinished {
        /// The request's id.
        id: String,
    },
    /// The recent events that retry budgets count: how long ago each one happened, in seconds.
    BudgetHistory {
        /// Admitted requests.
        admissions: Vec<f32>,
        /// Attempts other than the first one of a request.
        retries: Vec<f32>,
    },
}

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The first message of each side, by which the other side checks that both processes belong to
    /// the same node.
    Hello {
        /// The node's name.
        name: String,
        /// The address on which the node listens for clients.
        listen: String,
    },
    /// A change of the sender's state, or a part of its snapshot.
    StateUpdate(StateUpdate),
    /// The older side has sent its whole state, as it was when the newer side's hello arrived.
    SnapshotComplete,
    /// Maximum number of file descriptors that the sender and all older processes hold together,
    /// until the sender announces another number.
    DescriptorsHeld(u32),
    /// A worker's callback about a request that the sender does not know.
    Callback {
        /// Identifies the callback on this link; counted from 1 by the sender.
        number: u64,
        /// The callback's body.
        body: Vec<u8>,
    },
    /// The result of a forwarded callback. The process that forwarded it acknowledges the callback
    /// to the worker only after the results of its siblings.
    CallbackResult {
        /// The number of the callback.
        number: u64,
        /// Whether the sender of this message knows the request, or did so before.
        known: bool,
    },
    /// A client's connection that waits for no answer. Its descriptor comes with this message.
    IdleConnection {
        /// Bytes that were read from the connection and have not been parsed.
        input: Vec<u8>,
        /// Whether the connection has carried a request or a callback before.
        used_before: bool,
    },
    /// A request in flight. The descriptor of its client's connection comes with this message.
    Request {
        /// The request, in an encoding that this crate does not interpret.
        request: Vec<u8>,
        /// Bytes that were read from the connection and have not been parsed.
        input: Vec<u8>,
        /// Whether the connection is closed after the answer.
        close_after_answer: bool,
    },
    /// The sender is shutting down. It accepts no new connections, and migrates those it has.
    ShuttingDown,
}
