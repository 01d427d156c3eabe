//! Links between the processes of one node during a handover. A link is a Unix stream socket: the
//! older process listens in the node's folder for temporary files, and the newer one connects to
//! it. `postproxy_handover` defines the messages and the state of a link; this module owns the
//! sockets. `callbacks` tracks forwarded callbacks, and `descriptors` divides the node's file
//! descriptors among its processes.

pub mod callbacks;
pub mod descriptors;
mod session;
mod socket;

use crate::net::transport::reactor::{Reactor, SocketOwner, Timer};
use postproxy_handover::{Link, LinkEvent, Message, Role, frame, greeting};
use session::Session;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// Interval at which open links are checked, in seconds.
const CHECK_INTERVAL_SECONDS: f64 = 0.02;
/// Maximum number of bytes queued on a link; with more, the sibling counts as stalled and the link
/// is closed.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// With this many bytes queued on a link, no further connections are migrated over it.
const MIGRATION_MAX_QUEUED_BYTES: usize = 256 << 10;
/// Maximum number of open links. There is more than one while processes are replaced faster than
/// the replaced ones end.
const MAX_LINKS: usize = 4;

/// An event on a link.
#[derive(Debug)]
pub enum Event {
    /// The sibling has sent a message.
    Received {
        /// The link.
        link: usize,
        /// The event that the message has caused.
        event: LinkEvent,
        /// The descriptor that came with the message; `None` also if this process had no free
        /// descriptor for it.
        descriptor: Option<OwnedFd>,
    },
    /// The link is closed.
    Closed {
        /// The link.
        link: usize,
        /// The callers that were passed to [`Handover::forward_callback`] and whose results from the
        /// sibling are outstanding.
        pending_callers: Vec<u64>,
        /// Whether the sibling may still be running: `false` if it has closed its end of the link.
        sibling_may_be_running: bool,
    },
}

/// The socket on which newer processes connect.
struct SuccessorListener {
    listener: UnixListener,
    key: usize,
}

/// The links to other processes of this node.
pub struct Handover {
    name: String,
    listen: String,
    path: PathBuf,
    listener: Option<SuccessorListener>,
    sessions: BTreeMap<usize, Session>,
    /// Whether the timer for checking the links is set.
    check_timer_set: bool,
}

impl Handover {
    /// Connects to the process that is serving this node, if there is one.
    pub fn start(reactor: &mut Reactor, folder: &Path, name: &str, listen: &str) -> Self {
        let mut handover = Self {
            name: name.to_owned(),
            listen: listen.to_owned(),
            path: socket::socket_path(folder, name),
            listener: None,
            sessions: BTreeMap::new(),
            check_timer_set: false,
        };
        match socket::connect(&handover.path) {
            Ok(stream) => handover.open_link(reactor, stream, Role::Newer),
            // There is no older process, or it has ended and left its socket file.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) => {}
            Err(error) => {
                tracing::warn!(%error, path = %handover.path.display(), "cannot connect to the handover socket; starting without a handover");
            }
        }
        handover
    }

    fn open_link(&mut self, reactor: &mut Reactor, stream: UnixStream, role: Role) {
        if self.sessions.len() >= MAX_LINKS || !socket::is_same_user(&stream) {
            return tracing::warn!(
                "handover link rejected: too many links, or a process of another user"
            );
        }
        let key = stream
            .set_nonblocking(true)
            .and_then(|()| reactor.register(&stream, SocketOwner::Handover));
        let Ok(key) = key else { return };
        let link = Link::new(role, &self.name, &self.listen, reactor.now);
        let hello = frame(&link.hello());
        let mut session = Session::new(stream, link);
        session.enqueue([greeting(), hello].concat(), None);
        self.sessions.insert(key, session);
        self.rearm(reactor, key);
        if !self.check_timer_set {
            self.check_timer_set = true;
            self.set_check_timer(reactor);
        }
    }

    fn set_check_timer(&self, reactor: &mut Reactor) {
        reactor.set_timer(reactor.now + CHECK_INTERVAL_SECONDS, Timer::Handover);
    }

    /// Starts to listen for the next process, and replaces the socket of the process that served
    /// before.
    pub fn accept_successors(&mut self, reactor: &mut Reactor) {
        let temporary = self.path.with_extension(format!("{}", std::process::id()));
        let opened = socket::listen(&temporary, &self.path).and_then(|listener| {
            let key = reactor.register(&listener, SocketOwner::Handover)?;
            reactor.rearm(&listener, key, (true, false));
            Ok(SuccessorListener { listener, key })
        });
        match opened {
            Ok(opened) => self.listener = Some(opened),
            Err(error) => {
                let _ = std::fs::remove_file(&temporary);
                tracing::warn!(%error, path = %temporary.display(), "cannot listen on the handover socket; the next process cannot take over from this one");
            }
        }
    }

    /// Whether an older process has not yet sent its whole snapshot.
    pub fn is_waiting_for_snapshot(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.link.role() == Role::Newer && !session.link.is_synchronized())
    }

    /// Returns the link to the process that takes over from this one: the most recently linked
    /// newer process that has been sent this one's whole snapshot.
    pub fn successor(&self) -> Option<usize> {
        self.sessions
            .iter()
            .rfind(|(_, session)| {
                session.link.role() == Role::Older && session.link.is_synchronized()
            })
            .map(|(key, _)| *key)
    }

    /// Returns this process's role on a link.
    pub fn role_of(&self, key: usize) -> Option<Role> {
        self.sessions.get(&key).map(|session| session.link.role())
    }

    /// Whether an older process is linked.
    pub fn has_predecessor(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.link.role() == Role::Newer)
    }

    /// Whether a newer process is linked and its hello has been received.
    pub fn has_successor(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.link.role() == Role::Older && session.link.is_hello_received())
    }

    /// Whether there is any link.
    pub fn has_links(&self) -> bool {
        !self.sessions.is_empty()
    }

    /// Whether all messages have been written to the sockets.
    pub fn is_flushed(&self) -> bool {
        self.sessions.values().all(Session::is_flushed)
    }

    /// Whether a connection can be migrated over a link now.
    pub fn has_write_capacity(&self, key: usize) -> bool {
        self.sessions
            .get(&key)
            .is_some_and(|session| session.queued_bytes() < MIGRATION_MAX_QUEUED_BYTES)
    }

    /// Handles readiness of the listener or of a link.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
    ) -> Vec<Event> {
        if self.listener.as_ref().is_some_and(|own| own.key == key) {
            self.accept_link(reactor);
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&key) else {
            return Vec::new();
        };
        let mut link_events = Vec::new();
        let read = if readable {
            session.read(&mut link_events)
        } else {
            Ok(())
        };
        let result = read.and_then(|()| session.flush());
        let mut events = Vec::new();
        for event in link_events {
            let has_descriptor = matches!(
                event,
                LinkEvent::IdleConnection { .. } | LinkEvent::Request { .. }
            );
            let descriptor = if has_descriptor {
                session.take_descriptor()
            } else {
                None
            };
            events.push(Event::Received {
                link: key,
                event,
                descriptor,
            });
        }
        match result {
            Ok(()) => self.rearm(reactor, key),
            Err(error) => events.extend(self.close_link(reactor, key, &error)),
        }
        events
    }

    fn accept_link(&mut self, reactor: &mut Reactor) {
        let Some(SuccessorListener { listener, key }) = &self.listener else {
            return;
        };
        let accepted = listener.accept();
        reactor.rearm(listener, *key, (true, false));
        if let Ok((stream, _)) = accepted {
            self.open_link(reactor, stream, Role::Older);
        }
    }

    /// Closes stalled links, and writes queued messages on the others.
    pub fn handle_timer(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        let mut events = Vec::new();
        for key in self.sessions.keys().copied().collect::<Vec<_>>() {
            let Some(session) = self.sessions.get_mut(&key) else {
                continue;
            };
            match check_session(session, reactor.now) {
                Ok(()) => self.rearm(reactor, key),
                Err(error) => events.extend(self.close_link(reactor, key, &error)),
            }
        }
        self.check_timer_set = !self.sessions.is_empty();
        if self.check_timer_set {
            self.set_check_timer(reactor);
        }
        events
    }

    fn close_link(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        error: &io::Error,
    ) -> Option<Event> {
        let session = self.sessions.remove(&key)?;
        reactor.deregister(&session.stream);
        let ended = matches!(
            error.kind(),
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
        );
        if ended {
            tracing::info!("other process of this node has ended");
        } else {
            tracing::warn!(%error, "handover link to the other process of this node closed");
        }
        Some(Event::Closed {
            link: key,
            pending_callers: session.link.pending_callers(),
            sibling_may_be_running: !ended,
        })
    }

    fn rearm(&self, reactor: &Reactor, key: usize) {
        if let Some(session) = self.sessions.get(&key) {
            reactor.rearm(&session.stream, key, (true, !session.is_flushed()));
        }
    }

    /// Sends a message on one link.
    pub fn send(&mut self, reactor: &Reactor, key: usize, message: &Message) {
        self.send_with_descriptor(reactor, key, message, None);
    }

    /// Sends a message on one link, with a descriptor.
    pub fn send_with_descriptor(
        &mut self,
        reactor: &Reactor,
        key: usize,
        message: &Message,
        descriptor: Option<OwnedFd>,
    ) {
        if let Some(session) = self.sessions.get_mut(&key) {
            session.enqueue(frame(message), descriptor);
            // If the write fails, the link is closed at its next event or check.
            let _ = session.flush();
            self.rearm(reactor, key);
        }
    }

    /// Sends a message to all newer processes.
    pub fn send_to_successors(&mut self, reactor: &Reactor, message: &Message) {
        for key in self.established_links(None) {
            if self.role_of(key) == Some(Role::Older) {
                self.send(reactor, key, message);
            }
        }
    }

    /// Tells a newer process that it has this process's whole snapshot.
    pub fn complete_snapshot(&mut self, reactor: &Reactor, key: usize) {
        self.send(reactor, key, &Message::SnapshotComplete);
        if let Some(session) = self.sessions.get_mut(&key) {
            session.link.complete_snapshot();
        }
    }

    /// Sends a message on all links whose hello has been received, except one.
    pub fn broadcast(&mut self, reactor: &Reactor, except: Option<usize>, message: &Message) {
        for key in self.established_links(except) {
            self.send(reactor, key, message);
        }
    }

    /// Sends a callback on all links whose hello has been received, except one, and returns the
    /// number of those links, which is the number of results that `caller` will get.
    pub fn forward_callback(
        &mut self,
        reactor: &Reactor,
        except: Option<usize>,
        caller: u64,
        body: &[u8],
    ) -> usize {
        let keys = self.established_links(except);
        for key in &keys {
            if let Some(session) = self.sessions.get_mut(key) {
                let message = session
                    .link
                    .forward_callback(reactor.now, caller, body.to_vec());
                self.send(reactor, *key, &message);
            }
        }
        keys.len()
    }

    fn established_links(&self, except: Option<usize>) -> Vec<usize> {
        self.sessions
            .iter()
            .filter(|(key, session)| Some(**key) != except && session.link.is_hello_received())
            .map(|(key, _)| *key)
            .collect()
    }
}

/// Writes queued bytes on a link, and checks whether the sibling has stalled.
///
/// # Errors
///
/// If the sibling has stalled or the stream is broken. The caller closes the link.
fn check_session(session: &mut Session, now: f64) -> io::Result<()> {
    let is_full = session.queued_bytes() > MAX_QUEUED_BYTES;
    session.link.check_timeouts(now).map_err(io::Error::other)?;
    session.flush()?;
    if is_full {
        return Err(io::Error::other(format!(
            "the other process is not reading: more than {MAX_QUEUED_BYTES} bytes are queued"
        )));
    }
    Ok(())
}
