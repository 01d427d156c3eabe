//! The state of one link between two processes of a node.

use crate::codec::{DecodeError, Reader};
use crate::{Message, StateUpdate};
use std::collections::BTreeMap;

/// How long the older side may take to greet and to tell all, in seconds. The newer one is owed to its operators
/// within seconds, so it then serves alone.
const GREETING: f64 = 1.0;
/// How long the other side may leave a call-back without its word.
const WORD: f64 = 2.0;

/// Which side of a link a process is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It served before.
    Older,
    /// It takes over.
    Newer,
}

/// What comes of a message, or of time.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEvent {
    /// The other side has greeted: it is told all that is so now.
    Greeted,
    /// News of the other side's work.
    StateUpdate(StateUpdate),
    /// All has been told that was so at the greeting.
    SnapshotComplete,
    /// The other side holds at most so many descriptors.
    DescriptorsHeld(u32),
    /// A call-back that the other side does not know; it waits for `Called` with this number.
    Callback(u64, Vec<u8>),
    /// The word on an own call: who waits for it, and whether the other side knows the job.
    CallbackResult(u64, bool),
    /// A user agent's connection, whose descriptor came with it: what was read from it, and whether it was of use.
    QuietConnection(Vec<u8>, bool),
    /// A held job, whose user agent's descriptor came with it: the job, what was read from the connection, and
    /// whether that ends behind the answer.
    Request(Vec<u8>, Vec<u8>, bool),
    /// The other side takes nothing new any more.
    ShuttingDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The other side's first message has not come.
    Greeting,
    /// It has; the older side tells all.
    Telling,
    /// Both tell what changes.
    Joined,
}

/// One link.
#[derive(Debug)]
pub struct Link {
    role: Role,
    name: String,
    listen: String,
    state: State,
    reader: Reader,
    since: f64,
    leaves: bool,
    /// Own calls that wait for the other side's word: who waits here, and since when.
    calls: BTreeMap<u64, (u64, f64)>,
    next_call: u64,
}

impl Link {
    /// A link of the node of this name that listens here.
    pub fn new(role: Role, name: &str, listen: &str, now: f64) -> Self {
        let (name, listen, state) = (name.to_owned(), listen.to_owned(), State::Greeting);
        let (reader, calls) = Default::default();
        Self {
            role,
            name,
            listen,
            state,
            reader,
            since: now,
            leaves: false,
            calls,
            next_call: 1,
        }
    }

    /// What this side says first, after the greeting's bytes.
    pub fn hello(&self) -> Message {
        Message::Hello {
            name: self.name.clone(),
            listen: self.listen.clone(),
        }
    }

    /// The side that this process is on.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether the other side has greeted.
    pub fn is_greeted(&self) -> bool {
        self.state != State::Greeting
    }

    /// Whether both sides know all that the other had to tell at first.
    pub fn is_joined(&self) -> bool {
        self.state == State::Joined
    }

    /// Whether the other side has said that it leaves.
    pub fn is_peer_shutting_down(&self) -> bool {
        self.leaves
    }

    /// A call-back to send over, for which `who` waits here.
    pub fn forward_callback(&mut self, now: f64, who: u64, body: Vec<u8>) -> Message {
        let number = self.next_call;
        self.next_call += 1;
        self.calls.insert(number, (who, now));
        Message::Callback { number, body }
    }

    /// Who waits for words that will not come, once the link is over.
    pub fn pending_callers(&self) -> Vec<u64> {
        self.calls.values().map(|(who, _)| *who).collect()
    }

    /// Whether the other side has taken too long.
    ///
    /// # Errors
    ///
    /// If so: the link is to be dropped.
    pub fn check_timeouts(&self, now: f64) -> Result<(), DecodeError> {
        let greeting = self.state != State::Joined && now - self.since > GREETING;
        let word = self.calls.values().any(|(_, since)| now - since > WORD);
        if greeting || word {
            Err(DecodeError::Stalled)
        } else {
            Ok(())
        }
    }

    /// The older side has told all: from here on both tell what changes.
    pub fn complete_snapshot(&mut self) {
        if self.state == State::Telling {
            self.state = State::Joined;
        }
    }

    /// Takes bytes in, cut anywhere.
    ///
    /// # Errors
    ///
    /// If they can't be gone by: the link is to be dropped. What came before the fault counts.
    pub fn receive(&mut self, bytes: &[u8], news: &mut Vec<LinkEvent>) -> Result<(), DecodeError> {
        self.reader.push(bytes);
        while let Some(message) = self.reader.next()? {
            news.push(self.handle_message(message)?);
        }
        Ok(())
    }

    fn handle_message(&mut self, message: Message) -> Result<LinkEvent, DecodeError> {
        Ok(match (self.state, message) {
            (State::Greeting, Message::Hello { name, listen }) => {
                if (&name, &listen) != (&self.name, &self.listen) {
                    return Err(DecodeError::OtherNode(format!("{name} at {listen}")));
                }
                self.state = State::Telling;
                LinkEvent::Greeted
            }
            (State::Greeting, _) | (_, Message::Hello { .. }) => {
                return Err(DecodeError::OutOfTurn);
            }
            (State::Telling, Message::SnapshotComplete) if self.role == Role::Newer => {
                self.state = State::Joined;
                LinkEvent::SnapshotComplete
            }
            (_, Message::SnapshotComplete) => return Err(DecodeError::OutOfTurn),
            (_, Message::StateUpdate(tale)) => LinkEvent::StateUpdate(tale),
            (_, Message::DescriptorsHeld(most)) => LinkEvent::DescriptorsHeld(most),
            (_, Message::Callback { number, body }) => LinkEvent::Callback(number, body),
            (_, Message::CallbackResult { number, known }) => {
                let (who, _) = self.calls.remove(&number).ok_or(DecodeError::OutOfTurn)?;
                LinkEvent::CallbackResult(who, known)
            }
            // Only a side that leaves gives its connections away.
            (State::Joined, Message::QuietConnection { input, useful }) if self.leaves => {
                LinkEvent::QuietConnection(input, useful)
            }
            (State::Joined, Message::Request { job, input, closes }) if self.leaves => {
                LinkEvent::Request(job, input, closes)
            }
            (_, Message::QuietConnection { .. } | Message::Request { .. }) => {
                return Err(DecodeError::OutOfTurn);
            }
            (_, Message::ShuttingDown) => {
                self.leaves = true;
                LinkEvent::ShuttingDown
            }
        })
    }
}
