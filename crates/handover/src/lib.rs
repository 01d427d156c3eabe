//! What two processes of one node tell each other while the newer takes over from the older: messages, their codec,
//! and the state of one link. No I/O: bytes come in and go out, and the time is told.

mod codec;
mod link;

pub use codec::{DecodeError, GREETING_MAGIC, MAX_FRAME_BYTES, VERSION, frame, greeting};
pub use link::{Link, LinkEvent, Role};

use serde::{Deserialize, Serialize};

/// What one process has to say about its work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum StateUpdate {
    /// An operator takes a worker out of use, or back into it.
    WorkerSuspensionChanged {
        /// Its name.
        worker: String,
        /// It is to be used again.
        again: bool,
    },
    /// An operator drains the node, or ends the drain.
    DrainChanged {
        /// It is drained.
        on: bool,
        /// Since so many seconds.
        ago: f32,
    },
    /// The list of workers, as it is kept.
    WorkerList(Vec<u8>),
    /// A job is held: no other of this id may be taken.
    RequestAdmitted {
        /// Its id.
        id: String,
        /// It is new, and counts towards budgets.
        counts: bool,
    },
    /// An attempt was sent.
    AttemptSent {
        /// The job's id.
        id: String,
        /// The attempt's number.
        attempt: u16,
        /// The worker's name.
        worker: String,
        /// Slots.
        need: f32,
        /// Expected work in seconds.
        work: f32,
        /// So many seconds ago.
        ago: f32,
        /// It is new, and counts towards budgets.
        counts: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The job's id.
        id: String,
        /// The attempt's number.
        attempt: u16,
    },
    /// A job has its answer, and no attempt is out.
    RequestFinished {
        /// Its id.
        id: String,
    },
    /// Jobs taken, and further attempts made, so many seconds ago: what budgets have counted before.
    BudgetHistory {
        /// Jobs taken.
        taken: Vec<f32>,
        /// Further attempts.
        further: Vec<f32>,
    },
}

/// One message on a link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Message {
    /// The first of each side: the node's name, and where it listens.
    Hello {
        /// The node's name.
        name: String,
        /// Where it listens.
        listen: String,
    },
    /// News of its work.
    StateUpdate(StateUpdate),
    /// The older side has told all that was so when it was greeted.
    SnapshotComplete,
    /// The sender holds no more descriptors than this until it says otherwise.
    DescriptorsHeld(u32),
    /// A worker's call-back that the sender does not know, as it came.
    Callback {
        /// Counts the sender's calls.
        number: u64,
        /// The call-back's body.
        body: Vec<u8>,
    },
    /// What became of the call of this number: it may be acknowledged.
    CallbackResult {
        /// The number.
        number: u64,
        /// The job is, or was, the teller's.
        known: bool,
    },
    /// A user agent's connection, which comes with this message as a descriptor.
    QuietConnection {
        /// What had been read from it.
        input: Vec<u8>,
        /// It has brought a job or a call-back before.
        useful: bool,
    },
    /// A job that is held, with its user agent's connection, which comes as a descriptor.
    Request {
        /// The job, encoded by its owner.
        job: Vec<u8>,
        /// What had been read from the connection.
        input: Vec<u8>,
        /// The connection ends behind the answer.
        closes: bool,
    },
    /// The sender has been told to stop: it takes nothing new, and its connections come over.
    ShuttingDown,
}
