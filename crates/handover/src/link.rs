//! The state of one link between two processes of a node.

use crate::codec::{Decoder, LinkError};
use crate::{Message, StateUpdate};
use std::collections::BTreeMap;

/// How long a link may take from its opening until the older side's snapshot is complete, in
/// seconds. After that the newer process serves without the older one's state, because operators
/// expect it to serve within seconds.
const SNAPSHOT_TIMEOUT_SECONDS: f64 = 1.0;
/// How long the result of a forwarded callback may take, in seconds.
const CALLBACK_TIMEOUT_SECONDS: f64 = 2.0;

/// A process's role on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process that is replaced.
    Older,
    /// The process that takes over.
    Newer,
}

/// What a message of the other side means for this one.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEvent {
    /// The other side's hello has been received. If this is the older side, it now sends its
    /// snapshot.
    HelloReceived,
    /// A change of the other side's state, or a part of its snapshot.
    StateUpdate(StateUpdate),
    /// The older side has sent its whole snapshot.
    SnapshotComplete,
    /// Maximum number of file descriptors that the other side and all processes older than it hold
    /// together.
    DescriptorsHeld(u32),
    /// A callback about a request that the other side does not know. It has to be answered with a
    /// [`Message::CallbackResult`].
    Callback {
        /// The number to send in the result.
        number: u64,
        /// The callback's body.
        body: Vec<u8>,
    },
    /// The result of a callback that this side has forwarded.
    CallbackResult {
        /// The `caller` that was passed to [`Link::forward_callback`].
        caller: u64,
        /// Whether the other side knows the request.
        known: bool,
    },
    /// A client's connection that waits for no answer; its descriptor came with the message.
    IdleConnection {
        /// Bytes that were read from the connection and have not been parsed.
        input: Vec<u8>,
        /// Whether the connection has carried a request or a callback before.
        used_before: bool,
    },
    /// A request in flight; the descriptor of its client's connection came with the message.
    Request {
        /// The request, in an encoding that this crate does not interpret.
        request: Vec<u8>,
        /// Bytes that were read from the connection and have not been parsed.
        input: Vec<u8>,
        /// Whether the connection is closed after the answer.
        close_after_answer: bool,
    },
    /// The other side is shutting down and accepts no new connections.
    ShuttingDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The other side's hello has not been received.
    AwaitingHello,
    /// The hello has been received, and the older side's snapshot is incomplete.
    SendingSnapshot,
    /// The snapshot is complete; both sides send state updates.
    Synchronized,
}

/// A callback that was forwarded to the other side.
#[derive(Debug)]
struct ForwardedCallback {
    caller: u64,
    /// When the callback was forwarded, in seconds.
    since: f64,
}

/// The state of one link. Times are in seconds, relative to any fixed origin.
#[derive(Debug)]
pub struct Link {
    role: Role,
    name: String,
    listen: String,
    state: State,
    decoder: Decoder,
    opened_at: f64,
    peer_shutting_down: bool,
    /// Forwarded callbacks whose results are outstanding, by number.
    callbacks: BTreeMap<u64, ForwardedCallback>,
    next_callback: u64,
}

impl Link {
    /// Creates a link for a process of the node with this name, which listens at `listen`.
    pub fn new(role: Role, name: &str, listen: &str, now: f64) -> Self {
        Self {
            role,
            name: name.to_owned(),
            listen: listen.to_owned(),
            state: State::AwaitingHello,
            decoder: Decoder::default(),
            opened_at: now,
            peer_shutting_down: false,
            callbacks: BTreeMap::new(),
            next_callback: 1,
        }
    }

    /// Returns this side's first message, which is sent after the greeting.
    pub fn hello(&self) -> Message {
        Message::Hello {
            name: self.name.clone(),
            listen: self.listen.clone(),
        }
    }

    /// Returns this process's role on the link.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the other side's hello has been received.
    pub fn is_hello_received(&self) -> bool {
        self.state != State::AwaitingHello
    }

    /// Whether the older side's snapshot has been sent, or received, in whole.
    pub fn is_synchronized(&self) -> bool {
        self.state == State::Synchronized
    }

    /// Whether the other side has announced that it is shutting down.
    pub fn is_peer_shutting_down(&self) -> bool {
        self.peer_shutting_down
    }

    /// Returns the message that forwards a callback to the other side. The event with its result
    /// will carry `caller`.
    pub fn forward_callback(&mut self, now: f64, caller: u64, body: Vec<u8>) -> Message {
        let number = self.next_callback;
        self.next_callback += 1;
        let callback = ForwardedCallback { caller, since: now };
        self.callbacks.insert(number, callback);
        Message::Callback { number, body }
    }

    /// Returns the callers whose results are outstanding; they get none if the link is closed.
    pub fn pending_callers(&self) -> Vec<u64> {
        self.callbacks
            .values()
            .map(|callback| callback.caller)
            .collect()
    }

    /// Checks whether a hello, a snapshot or the result of a callback is overdue.
    ///
    /// # Errors
    ///
    /// [`LinkError::TimedOut`] if one is. The caller closes the link.
    pub fn check_timeouts(&self, now: f64) -> Result<(), LinkError> {
        let snapshot_late =
            self.state != State::Synchronized && now - self.opened_at > SNAPSHOT_TIMEOUT_SECONDS;
        let callback_late = self
            .callbacks
            .values()
            .any(|callback| now - callback.since > CALLBACK_TIMEOUT_SECONDS);
        if snapshot_late || callback_late {
            Err(LinkError::TimedOut)
        } else {
            Ok(())
        }
    }

    /// Records that this process, the older one, has sent its whole snapshot.
    pub fn complete_snapshot(&mut self) {
        if self.state == State::SendingSnapshot {
            self.state = State::Synchronized;
        }
    }

    /// Decodes received bytes, which may end anywhere in a message, and appends their events to
    /// `events`.
    ///
    /// # Errors
    ///
    /// If the bytes are invalid or a message is not allowed. The events before it have been
    /// appended; the caller closes the link.
    pub fn receive(&mut self, bytes: &[u8], events: &mut Vec<LinkEvent>) -> Result<(), LinkError> {
        self.decoder.push(bytes);
        while let Some(message) = self.decoder.next_message()? {
            events.push(self.handle_message(message)?);
        }
        Ok(())
    }

    fn handle_message(&mut self, message: Message) -> Result<LinkEvent, LinkError> {
        match message {
            Message::Hello { name, listen } => return self.handle_hello(&name, &listen),
            _ if self.state == State::AwaitingHello => return Err(LinkError::UnexpectedMessage),
            _ => {}
        }
        // Only a process that is shutting down migrates its connections.
        let accepts_connections = self.state == State::Synchronized && self.peer_shutting_down;
        Ok(match message {
            Message::StateUpdate(update) => LinkEvent::StateUpdate(update),
            Message::SnapshotComplete
                if self.state == State::SendingSnapshot && self.role == Role::Newer =>
            {
                self.state = State::Synchronized;
                LinkEvent::SnapshotComplete
            }
            Message::DescriptorsHeld(count) => LinkEvent::DescriptorsHeld(count),
            Message::Callback { number, body } => LinkEvent::Callback { number, body },
            Message::CallbackResult { number, known } => {
                let callback = self
                    .callbacks
                    .remove(&number)
                    .ok_or(LinkError::UnexpectedMessage)?;
                LinkEvent::CallbackResult {
                    caller: callback.caller,
                    known,
                }
            }
            Message::IdleConnection { input, used_before } if accepts_connections => {
                LinkEvent::IdleConnection { input, used_before }
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
            | Message::IdleConnection { .. }
            | Message::Request { .. } => return Err(LinkError::UnexpectedMessage),
        })
    }

    fn handle_hello(&mut self, name: &str, listen: &str) -> Result<LinkEvent, LinkError> {
        if self.state != State::AwaitingHello {
            return Err(LinkError::UnexpectedMessage);
        }
        if name != self.name || listen != self.listen {
            return Err(LinkError::OtherNode(format!("{name} at {listen}")));
        }
        self.state = State::SendingSnapshot;
        Ok(LinkEvent::HelloReceived)
    }
}
