//! Links between the processes of one node while one takes over from another: a Unix stream in the
//! node's folder for passing files, on which the newer process connects to the older one. The
//! messages and the state of a link are `postproxy_handover`'s; this module owns the sockets.
//! `callbacks` and `descriptors` track what crosses between the processes besides requests.

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

/// How often links are checked while there are any, in seconds.
const CHECK_INTERVAL_SECONDS: f64 = 0.02;
/// Bytes that may wait to be written on a link; beyond that the sibling has stalled.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// With this many bytes waiting on a link, no further connections are passed.
const PASSING_QUEUED_BYTES: usize = 256 << 10;
/// Links at a time: more than one while replacements follow each other faster than the replaced
/// processes end.
const MAX_LINKS: usize = 4;

/// An event on a link.
#[derive(Debug)]
pub enum Event {
    /// The sibling has sent something.
    Received {
        /// The link.
        link: usize,
        /// What was sent.
        event: LinkEvent,
        /// The descriptor that came with it; `None` also if this process had no room for it.
        descriptor: Option<OwnedFd>,
    },
    /// The link is closed.
    Closed {
        /// The link.
        link: usize,
        /// Callers whose call-backs still waited for results of the sibling.
        pending_callers: Vec<u64>,
        /// Whether the sibling may still run, and has only stalled.
        stalled: bool,
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
    /// Whether the timer that checks the links is set.
    checking: bool,
}

impl Handover {
    /// Connects to the process that serves the node now, if there is one.
    pub fn start(reactor: &mut Reactor, folder: &Path, name: &str, listen: &str) -> Self {
        let mut handover = Self {
            name: name.to_owned(),
            listen: listen.to_owned(),
            path: socket::socket_path(folder, name),
            listener: None,
            sessions: BTreeMap::new(),
            checking: false,
        };
        match socket::connect(&handover.path) {
            Ok(stream) => handover.open_link(reactor, stream, Role::Newer),
            // No process, or one that has ended and left its socket.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) => {}
            Err(error) => {
                tracing::warn!(%error, path = %handover.path.display(), "handover socket unavailable");
            }
        }
        handover
    }

    fn open_link(&mut self, reactor: &mut Reactor, stream: UnixStream, role: Role) {
        if self.sessions.len() >= MAX_LINKS || !socket::is_same_user(&stream) {
            return tracing::warn!("handover link rejected");
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
        if !self.checking {
            self.checking = true;
            self.set_check_timer(reactor);
        }
    }

    fn set_check_timer(&self, reactor: &mut Reactor) {
        reactor.set_timer(reactor.now + CHECK_INTERVAL_SECONDS, Timer::Handover);
    }

    /// Listens for the next process from now on, in place of the one that served before.
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
                tracing::warn!(%error, path = %temporary.display(), "handover socket unavailable to the next process");
            }
        }
    }

    /// Whether an older process has still to send a part of its snapshot.
    pub fn is_waiting_for_snapshot(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.link.role() == Role::Newer && !session.link.is_joined())
    }

    /// Returns the link to the process that takes over from this one, if there is one.
    pub fn successor(&self) -> Option<usize> {
        self.sessions
            .iter()
            .rfind(|(_, session)| session.link.role() == Role::Older && session.link.is_joined())
            .map(|(key, _)| *key)
    }

    /// Returns this process's side of a link.
    pub fn role_of(&self, key: usize) -> Option<Role> {
        self.sessions.get(&key).map(|session| session.link.role())
    }

    /// Whether an older process is linked.
    pub fn has_predecessor(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.link.role() == Role::Newer)
    }

    /// Whether a newer process is linked and has greeted.
    pub fn has_successor(&self) -> bool {
        self.sessions
            .values()
            .any(|session| session.link.role() == Role::Older && session.link.is_greeted())
    }

    /// Whether there is any link.
    pub fn has_links(&self) -> bool {
        !self.sessions.is_empty()
    }

    /// Whether all messages have been passed to the system.
    pub fn is_flushed(&self) -> bool {
        self.sessions.values().all(Session::is_flushed)
    }

    /// Whether a connection can be passed on a link now.
    pub fn has_write_capacity(&self, key: usize) -> bool {
        self.sessions
            .get(&key)
            .is_some_and(|session| session.queued_bytes() < PASSING_QUEUED_BYTES)
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
                LinkEvent::QuietConnection { .. } | LinkEvent::Request { .. }
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

    /// Closes links that have stalled, and writes on the others.
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
        self.checking = !self.sessions.is_empty();
        if self.checking {
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
            tracing::info!("other process of this node ended");
        } else {
            tracing::warn!(%error, "link to the other process of this node closed");
        }
        Some(Event::Closed {
            link: key,
            pending_callers: session.link.pending_callers(),
            stalled: !ended,
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
            // A link that breaks here is closed at its next event or check.
            let _ = session.flush();
            self.rearm(reactor, key);
        }
    }

    /// Sends a message to newer processes.
    pub fn send_to_successors(&mut self, reactor: &Reactor, message: &Message) {
        for key in self.greeted_links(None) {
            if self.role_of(key) == Some(Role::Older) {
                self.send(reactor, key, message);
            }
        }
    }

    /// Tells a newer process that its snapshot is complete.
    pub fn complete_snapshot(&mut self, reactor: &Reactor, key: usize) {
        self.send(reactor, key, &Message::SnapshotComplete);
        if let Some(session) = self.sessions.get_mut(&key) {
            session.link.complete_snapshot();
        }
    }

    /// Sends a message on all links that have greeted, except one.
    pub fn broadcast(&mut self, reactor: &Reactor, except: Option<usize>, message: &Message) {
        for key in self.greeted_links(except) {
            self.send(reactor, key, message);
        }
    }

    /// Sends a call-back over all links but one, and returns over how many: `caller` waits for as
    /// many results.
    pub fn forward_callback(
        &mut self,
        reactor: &Reactor,
        except: Option<usize>,
        caller: u64,
        body: &[u8],
    ) -> usize {
        let keys = self.greeted_links(except);
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

    fn greeted_links(&self, except: Option<usize>) -> Vec<usize> {
        self.sessions
            .iter()
            .filter(|(key, session)| Some(**key) != except && session.link.is_greeted())
            .map(|(key, _)| *key)
            .collect()
    }
}

/// Writes what waits on a link.
///
/// # Errors
///
/// If the sibling has stalled or the stream is broken: the link is to be closed.
fn check_session(session: &mut Session, now: f64) -> io::Result<()> {
    let is_full = session.queued_bytes() > MAX_QUEUED_BYTES;
    session.link.check_timeouts(now).map_err(io::Error::other)?;
    session.flush()?;
    if is_full {
        return Err(io::Error::other("it does not read"));
    }
    Ok(())
}
