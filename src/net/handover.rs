//! The sockets between two processes of this node while one takes over: a Unix stream in the node's folder for
//! passing files, on which the newer process calls the older one. What is said on it is `postproxy_handover`'s.

use crate::net::transport::reactor::{Owner, Reactor, Timer};
use postproxy_handover::{Link, LinkEvent, Message, Role, frame, greeting};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// How often links are looked at, while there are any.
const LOOK: f64 = 0.02;
/// What may wait to be written on a link; beyond that the other side has stalled.
const MOST_QUEUED: usize = 16 << 20;
/// With more than this waiting, connections are not passed yet.
const ENOUGH: usize = 256 << 10;
/// So much is read at a time.
const CHUNK: usize = 32 << 10;
/// Descriptors that may have come ahead of their messages.
const MOST_AHEAD: usize = 1024;
/// Links at a time: replacements that follow one another faster than the replaced ones end.
const MOST_LINKS: usize = 4;
/// The longest path that a Unix socket's address holds for sure.
const MOST_PATH: usize = 100;

/// What has come of a link.
#[derive(Debug)]
pub enum Event {
    /// News, with the descriptor that came with them.
    LinkEvent(usize, LinkEvent, Option<OwnedFd>),
    /// It is over; who waited for words on it, and whether the other side may still be there, only stalled.
    Over(usize, Vec<u64>, bool),
}

struct Session {
    stream: UnixStream,
    link: Link,
    /// What is to be written, each with the descriptor that goes with its first byte.
    out: VecDeque<(Vec<u8>, Option<OwnedFd>)>,
    /// How much of the first of them is.
    written: usize,
    queued: usize,
    /// Descriptors that have come, in their order; `None` for one that found no place here.
    came: VecDeque<Option<OwnedFd>>,
}

impl Session {
    fn say(&mut self, bytes: Vec<u8>, descriptor: Option<OwnedFd>) {
        self.queued += bytes.len();
        self.out.push_back((bytes, descriptor));
    }

    fn flush(&mut self) -> io::Result<()> {
        while let Some((bytes, descriptor)) = self.out.front_mut() {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            let passed = descriptor.as_ref().map(|d| [d.as_fd()]);
            if let Some(passed) = &passed {
                control.push(SendAncillaryMessage::ScmRights(passed));
            }
            let slice = [IoSlice::new(&bytes[self.written..])];
            match rustix::net::sendmsg(&self.stream, &slice, &mut control, SendFlags::NOSIGNAL) {
                Ok(size) => {
                    drop(descriptor.take()); // the other side's, once the first byte is on its way
                    self.written += size;
                    self.queued -= size;
                    if self.written == bytes.len() {
                        self.out.pop_front();
                        self.written = 0;
                    }
                }
                // Too many descriptors are on their way: as if the stream were full.
                Err(error) if error == rustix::io::Errno::TOOMANYREFS => return Ok(()),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Reads what has come; an error ends the link.
    fn read(&mut self, news: &mut Vec<LinkEvent>) -> io::Result<()> {
        let mut bytes = vec![0; CHUNK];
        loop {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(16))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut slice = [IoSliceMut::new(&mut bytes)];
            let flags = RecvFlags::CMSG_CLOEXEC;
            let (size, cut) =
                match rustix::net::recvmsg(&self.stream, &mut slice, &mut control, flags) {
                    Ok(received) => (received.bytes, received.flags.contains(ReturnFlags::CTRUNC)),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                    Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                    Err(error) => return Err(error.into()),
                };
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                    self.came.extend(descriptors.map(Some));
                }
            }
            if cut {
                // Danger: the next message's would be taken for its, and a job be answered to another's client. The
                // other side sends one at a time, and a read ends behind it.
                self.came.push_back(None);
            }
            if size == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            self.link
                .receive(&bytes[..size], news)
                .map_err(io::Error::other)?;
            if self.came.len() > MOST_AHEAD {
                return Err(io::Error::other("more descriptors than messages"));
            }
        }
    }
}

/// The links to other processes of this node.
pub struct Handover {
    name: String,
    listen: String,
    path: PathBuf,
    listener: Option<(UnixListener, usize)>,
    sessions: BTreeMap<usize, Session>,
    looking: bool,
}

/// Where processes of the node of this name meet. One of an odd name meets at its digits.
fn socket_path(folder: &Path, name: &str) -> PathBuf {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    let word: String = name.chars().filter(|c| plain(*c)).take(40).collect();
    folder.join(format!("postproxy-{word}.handover"))
}

/// An address for a path; a long one goes by the folder's descriptor, which must be kept meanwhile.
fn short(path: &Path) -> io::Result<(PathBuf, Option<std::fs::File>)> {
    if path.as_os_str().len() <= MOST_PATH {
        return Ok((path.to_owned(), None));
    }
    let (Some(folder), Some(name)) = (path.parent(), path.file_name()) else {
        return Err(ErrorKind::InvalidInput.into());
    };
    let folder = std::fs::File::open(folder)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&folder);
    Ok((
        Path::new(&format!("/proc/self/fd/{number}")).join(name),
        Some(folder),
    ))
}

/// Whether the other end is a process of the same user.
fn same_user(stream: &UnixStream) -> bool {
    rustix::net::sockopt::socket_peercred(stream)
        .is_ok_and(|peer| peer.uid == rustix::process::getuid())
}

impl Handover {
    /// Calls the process that serves the node now, if there is one.
    pub fn start(reactor: &mut Reactor, folder: &Path, name: &str, listen: &str) -> Self {
        let path = socket_path(folder, name);
        let (listener, sessions, looking) = (None, BTreeMap::new(), false);
        let mut own = Self {
            name: name.to_owned(),
            listen: listen.to_owned(),
            path,
            listener,
            sessions,
            looking,
        };
        match short(&own.path).and_then(|(path, _folder)| UnixStream::connect(path)) {
            Ok(stream) => own.open_link(reactor, stream, Role::Newer),
            // Nobody, or one that is gone and has left its socket.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::NotFound | ErrorKind::ConnectionRefused
                ) => {}
            Err(error) => {
                tracing::warn!(%error, path = %own.path.display(), "nobody can be asked to hand over")
            }
        }
        own
    }

    fn open_link(&mut self, reactor: &mut Reactor, stream: UnixStream, role: Role) {
        if self.sessions.len() >= MOST_LINKS || !same_user(&stream) {
            return tracing::warn!("a link was not taken up");
        }
        let key = stream
            .set_nonblocking(true)
            .and_then(|()| reactor.register(&stream, Owner::Handover));
        let Ok(key) = key else { return };
        let link = Link::new(role, &self.name, &self.listen, reactor.now);
        let hello = frame(&link.hello());
        let (out, written, queued, came) = (VecDeque::new(), 0, 0, VecDeque::new());
        let mut session = Session {
            stream,
            link,
            out,
            written,
            queued,
            came,
        };
        session.say([greeting(), hello].concat(), None);
        self.sessions.insert(key, session);
        self.rearm(reactor, key);
        if !std::mem::replace(&mut self.looking, true) {
            reactor.set_timer(reactor.now + LOOK, Timer::Handover);
        }
    }

    /// Waits for the next process from now on, in place of the one that served before.
    pub fn accept_successors(&mut self, reactor: &mut Reactor) {
        let own = self.path.with_extension(format!("{}", std::process::id()));
        let opened = short(&own).and_then(|(at, _folder)| {
            let _ = std::fs::remove_file(&own);
            let listener = UnixListener::bind(at)?;
            listener.set_nonblocking(true)?;
            std::fs::rename(&own, &self.path)?; // at once, over what one before has left
            let key = reactor.register(&listener, Owner::Handover)?;
            reactor.rearm(&listener, key, (true, false));
            Ok((listener, key))
        });
        match opened {
            Ok(opened) => self.listener = Some(opened),
            Err(error) => {
                let _ = std::fs::remove_file(&own);
                tracing::warn!(%error, path = %own.display(), "the next process will find nobody to hand over");
            }
        }
    }

    /// Whether an older process is still to tell what it holds.
    pub fn is_waiting_for_snapshot(&self) -> bool {
        self.sessions
            .values()
            .any(|s| s.link.role() == Role::Newer && !s.link.is_joined())
    }

    /// The process that takes over from this one, if one does.
    pub fn successor(&self) -> Option<usize> {
        self.sessions
            .iter()
            .rfind(|(_, s)| s.link.role() == Role::Older && s.link.is_joined())
            .map(|(key, _)| *key)
    }

    /// The side that this process is on.
    pub fn role_of(&self, key: usize) -> Option<Role> {
        self.sessions.get(&key).map(|s| s.link.role())
    }

    /// Whether an older process is there.
    pub fn has_predecessor(&self) -> bool {
        self.sessions.values().any(|s| s.link.role() == Role::Newer)
    }

    /// Whether a newer process is there.
    pub fn has_successor(&self) -> bool {
        self.sessions
            .values()
            .any(|s| s.link.role() == Role::Older && s.link.is_greeted())
    }

    /// Says something to newer processes.
    pub fn send_to_successors(&mut self, reactor: &Reactor, message: &Message) {
        for key in self.others(None) {
            if self.role_of(key) == Some(Role::Older) {
                self.send(reactor, key, message);
            }
        }
    }

    /// Whether there is any link.
    pub fn has_links(&self) -> bool {
        !self.sessions.is_empty()
    }

    /// Whether all that was said has been passed to the system.
    pub fn is_flushed(&self) -> bool {
        self.sessions.values().all(|s| s.out.is_empty())
    }

    /// Whether a connection can be passed on the link just now.
    pub fn has_write_capacity(&self, key: usize) -> bool {
        self.sessions.get(&key).is_some_and(|s| s.queued < ENOUGH)
    }

    /// The listener or a link can be read or written.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
    ) -> Vec<Event> {
        if let Some((listener, _)) = self
            .listener
            .as_ref()
            .filter(|(_, listener)| *listener == key)
        {
            let accepted = listener.accept();
            reactor.rearm(listener, key, (true, false));
            if let Ok((stream, _)) = accepted {
                self.open_link(reactor, stream, Role::Older);
            }
            return Vec::new();
        }
        let Some(session) = self.sessions.get_mut(&key) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        let read = if readable {
            session.read(&mut news)
        } else {
            Ok(())
        };
        let ended = read.and_then(|()| session.flush());
        let mut events = Vec::new();
        for news in news {
            let descriptor = if matches!(
                news,
                LinkEvent::QuietConnection(..) | LinkEvent::Request(..)
            ) {
                session.came.pop_front().flatten()
            } else {
                None
            };
            events.push(Event::LinkEvent(key, news, descriptor));
        }
        match ended {
            Ok(()) => self.rearm(reactor, key),
            Err(error) => events.extend(self.close_link(reactor, key, &error)),
        }
        events
    }

    /// Looks at all links: whether any has stalled.
    pub fn handle_timer(&mut self, reactor: &mut Reactor) -> Vec<Event> {
        let mut events = Vec::new();
        for key in self.sessions.keys().copied().collect::<Vec<_>>() {
            let Some(session) = self.sessions.get_mut(&key) else {
                continue;
            };
            let late = session
                .link
                .check_timeouts(reactor.now)
                .map_err(io::Error::other);
            let full = session.queued > MOST_QUEUED;
            let ended = late.and_then(|()| session.flush());
            let stalled = || io::Error::other("it does not read");
            match ended.and_then(|()| if full { Err(stalled()) } else { Ok(()) }) {
                Ok(()) => self.rearm(reactor, key),
                Err(error) => events.extend(self.close_link(reactor, key, &error)),
            }
        }
        self.looking = !self.sessions.is_empty();
        if self.looking {
            reactor.set_timer(reactor.now + LOOK, Timer::Handover);
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
        let gone = matches!(
            error.kind(),
            ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset | ErrorKind::BrokenPipe
        );
        if gone {
            tracing::info!("the other process of this node has ended");
        } else {
            tracing::warn!(%error, "the link to the other process of this node is dropped");
        }
        Some(Event::Over(key, session.link.pending_callers(), !gone))
    }

    fn rearm(&self, reactor: &Reactor, key: usize) {
        if let Some(session) = self.sessions.get(&key) {
            reactor.rearm(&session.stream, key, (true, !session.out.is_empty()));
        }
    }

    /// Says something on one link.
    pub fn send(&mut self, reactor: &Reactor, key: usize, message: &Message) {
        self.send_with_descriptor(reactor, key, message, None);
    }

    /// Says something on one link, with a descriptor.
    pub fn send_with_descriptor(
        &mut self,
        reactor: &Reactor,
        key: usize,
        message: &Message,
        descriptor: Option<OwnedFd>,
    ) {
        if let Some(session) = self.sessions.get_mut(&key) {
            session.say(frame(message), descriptor);
            // What breaks now shows at the next look.
            let _ = session.flush();
            self.rearm(reactor, key);
        }
    }

    /// All has been told on this link.
    pub fn complete_snapshot(&mut self, reactor: &Reactor, key: usize) {
        self.send(reactor, key, &Message::SnapshotComplete);
        if let Some(session) = self.sessions.get_mut(&key) {
            session.link.complete_snapshot();
        }
    }

    /// Says something on all links that have greeted, but for one.
    pub fn broadcast(&mut self, reactor: &Reactor, except: Option<usize>, message: &Message) {
        for key in self.others(except) {
            self.send(reactor, key, message);
        }
    }

    /// Sends a call-back over all links but one; `who` waits for as many words as are told here.
    pub fn forward_callback(
        &mut self,
        reactor: &Reactor,
        except: Option<usize>,
        who: u64,
        body: &[u8],
    ) -> usize {
        let keys = self.others(except);
        for key in &keys {
            if let Some(session) = self.sessions.get_mut(key) {
                let call = session
                    .link
                    .forward_callback(reactor.now, who, body.to_vec());
                self.send(reactor, *key, &call);
            }
        }
        keys.len()
    }

    fn others(&self, except: Option<usize>) -> Vec<usize> {
        let told = |(key, s): (&usize, &Session)| {
            (Some(*key) != except && s.link.is_greeted()).then_some(*key)
        };
        self.sessions.iter().filter_map(told).collect()
    }
}
