//! The state of one link between two processes of a node.

use crate::codec::{DecodeError, Reader};
use crate::{Message, StateUpdate};
use std::collections::BTreeMap;

/// How long the older side may take to greet and to send its snapshot, in seconds. Operators expect
/// the newer process to serve within seconds, so it then serves alone.
const SNAPSHOT_TIMEOUT_SECONDS: f64 = 1.0;
/// How long the other side may take to send the result of a forwarded call-back, in seconds.
const CALLBACK_TIMEOUT_SECONDS: f64 = 2.0;

/// A process's side of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process that served before.
    Older,
    /// The process that takes over.
    Newer,
}

/// What the other side has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEvent {
    /// The other side has greeted: it is to be sent this side's snapshot.
    Greeted,
    /// A change of the other side's state, or a part of its snapshot.
    StateUpdate(StateUpdate),
    /// The older side has sent its whole snapshot.
    SnapshotComplete,
    /// The number of descriptors that the other side holds at most.
    DescriptorsHeld(u32),
    /// A call-back that the other side does not know; it waits for a [`Message::CallbackResult`].
    Callback {
        /// The number that the result must carry.
        number: u64,
        /// The call-back's body.
        body: Vec<u8>,
    },
    /// The result of a call-back that this side has forwarded.
    CallbackResult {
        /// Who waits for the result on this side.
        caller: u64,
        /// Whether the other side knows the request.
        known: bool,
    },
    /// A client's connection on which no answer is owed; its descriptor came with it.
    QuietConnection {
        /// Bytes that were read from the connection and not yet used.
        input: Vec<u8>,
        /// Whether the connection has carried a request or a call-back before.
        used_before: bool,
    },
    /// A request in flight; the descriptor of its client's connection came with it.
    Request {
        /// The request, encoded by its owner.
        request: Vec<u8>,
        /// Bytes that were read from the connection and not yet used.
        input: Vec<u8>,
        /// Whether the connection closes after the answer.
        close_after_answer: bool,
    },
    /// The other side is shutting down and accepts nothing new.
    ShuttingDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The other side's hello has not come.
    AwaitingHello,
    /// The hello has come; the older side sends its snapshot.
    SendingSnapshot,
    /// Both sides send what changes.
    Joined,
}

/// A call-back that was forwarded to the other side.
#[derive(Debug)]
struct ForwardedCallback {
    caller: u64,
    /// When it was forwarded, in seconds.
    since: f64,
}

/// The state of one link. Times are in seconds, of any fixed origin.
#[derive(Debug)]
pub struct Link {
    role: Role,
    name: String,
    listen: String,
    state: State,
    reader: Reader,
    opened_at: f64,
    peer_shutting_down: bool,
    /// Forwarded call-backs that wait for their results, by number.
    callbacks: BTreeMap<u64, ForwardedCallback>,
    next_callback: u64,
}

impl Link {
    /// Creates a link of the node with this name that listens at `listen`.
    pub fn new(role: Role, name: &str, listen: &str, now: f64) -> Self {
        Self {
            role,
            name: name.to_owned(),
            listen: listen.to_owned(),
            state: State::AwaitingHello,
            reader: Reader::default(),
            opened_at: now,
            peer_shutting_down: false,
            callbacks: BTreeMap::new(),
            next_callback: 1,
        }
    }

    /// Returns this side's first message, which follows the greeting's bytes.
    pub fn hello(&self) -> Message {
        Message::Hello {
            name: self.name.clone(),
            listen: self.listen.clone(),
        }
    }

    /// Returns this process's side of the link.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the other side has greeted.
    pub fn is_greeted(&self) -> bool {
        self.state != State::AwaitingHello
    }

    /// Whether the newer side has the older side's whole snapshot.
    pub fn is_joined(&self) -> bool {
        self.state == State::Joined
    }

    /// Whether the other side has announced that it is shutting down.
    pub fn is_peer_shutting_down(&self) -> bool {
        self.peer_shutting_down
    }

    /// Returns the message that forwards a call-back to the other side; `caller` waits for its
    /// result.
    pub fn forward_callback(&mut self, now: f64, caller: u64, body: Vec<u8>) -> Message {
        let number = self.next_callback;
        self.next_callback += 1;
        let callback = ForwardedCallback { caller, since: now };
        self.callbacks.insert(number, callback);
        Message::Callback { number, body }
    }

    /// Returns the callers whose results will not come if the link is closed now.
    pub fn pending_callers(&self) -> Vec<u64> {
        self.callbacks
            .values()
            .map(|callback| callback.caller)
            .collect()
    }

    /// Checks whether the other side has taken too long.
    ///
    /// # Errors
    ///
    /// [`DecodeError::TimedOut`] if it has: the link is to be closed.
    pub fn check_timeouts(&self, now: f64) -> Result<(), DecodeError> {
        let snapshot_late =
            self.state != State::Joined && now - self.opened_at > SNAPSHOT_TIMEOUT_SECONDS;
        let callback_late = self
            .callbacks
            .values()
            .any(|callback| now - callback.since > CALLBACK_TIMEOUT_SECONDS);
        if snapshot_late || callback_late {
            Err(DecodeError::TimedOut)
        } else {
            Ok(())
        }
    }

    /// Records that this older side has sent its whole snapshot.
    pub fn complete_snapshot(&mut self) {
        if self.state == State::SendingSnapshot {
            self.state = State::Joined;
        }
    }

    /// Decodes received bytes, cut anywhere, and appends their events to `events`.
    ///
    /// # Errors
    ///
    /// If the bytes or a message are invalid: the link is to be closed. The events before the fault
    /// are appended.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        events: &mut Vec<LinkEvent>,
    ) -> Result<(), DecodeError> {
        self.reader.push(bytes);
        while let Some(message) = self.reader.next()? {
            events.push(self.handle_message(message)?);
        }
        Ok(())
    }

    fn handle_message(&mut self, message: Message) -> Result<LinkEvent, DecodeError> {
        match message {
            Message::Hello { name, listen } => return self.handle_hello(&name, &listen),
            _ if self.state == State::AwaitingHello => return Err(DecodeError::UnexpectedMessage),
            _ => {}
        }
        // Only a side that shuts down gives its connections away.
        let accepts_connections = self.state == State::Joined && self.peer_shutting_down;
        Ok(match message {
            Message::StateUpdate(update) => LinkEvent::StateUpdate(update),
            Message::SnapshotComplete
                if self.state == State::SendingSnapshot && self.role == Role::Newer =>
            {
                self.state = State::Joined;
                LinkEvent::SnapshotComplete
            }
            Message::DescriptorsHeld(count) => LinkEvent::DescriptorsHeld(count),
            Message::Callback { number, body } => LinkEvent::Callback { number, body },
            Message::CallbackResult { number, known } => {
                let callback = self
                    .callbacks
                    .remove(&number)
                    .ok_or(DecodeError::UnexpectedMessage)?;
                LinkEvent::CallbackResult {
                    caller: callback.caller,
                    known,
                }
            }
            Message::QuietConnection { input, used_before } if accepts_connections => {
                LinkEvent::QuietConnection { input, used_before }
            }
            Message::Request {
                request,
                input,
                close_after_answer,
            } if accepts_connections => LinkEvent::Request {
                request,
                input,
                close_after_answer,
            },
            Message::ShuttingDown => {
                self.peer_shutting_down = true;
                LinkEvent::ShuttingDown
            }
            Message::Hello { .. }
            | Message::SnapshotComplete
            | Message::QuietConnection { .. }
            | Message::Request { .. } => return Err(DecodeError::UnexpectedMessage),
        })
    }

    fn handle_hello(&mut self, name: &str, listen: &str) -> Result<LinkEvent, DecodeError> {
        if self.state != State::AwaitingHello {
            return Err(DecodeError::UnexpectedMessage);
        }
        if name != self.name || listen != self.listen {
            return Err(DecodeError::OtherNode(format!("{name} at {listen}")));
        }
        self.state = State::SendingSnapshot;
        Ok(LinkEvent::Greeted)
    }
}
