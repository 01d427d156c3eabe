//! The operators' door: a listener of its own for calls to a running node, one call a connection. It reads calls
//! and words answers; what a call means is decided elsewhere.

use crate::net::messages::ManagementReply;
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{self, Read, Request, RequestReader};
use crate::net::transport::reactor::{Reactor, SocketOwner, Timer};
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};

/// The most callers at a time; their descriptors are kept free for them.
pub const MOST: usize = 32;
/// How long a call may take to arrive, from the connection's start.
const PATIENCE: f64 = 6.0;
/// How long an answer may take to be taken, and the caller's end be waited for.
const LINGER: f64 = 1.0;
/// For so long a new caller keeps its place whatever comes: its call is on its way.
const YOUNG: f64 = 0.05;
/// Callers that are taken in one turn of the loop.
const ACCEPTS: usize = 16;
/// The longest name of a worker.
const MOST_ID: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Whether this process can serve.
    Ready,
    /// Empty the node.
    Drain,
    /// End the drain.
    Activate,
    /// Take the worker of this name out of use.
    Suspend(String),
    /// Use it again.
    Resume(String),
    /// Which nodes are there.
    Members,
    /// Count the node of this name no more, which has failed.
    Forget(String),
    /// Who votes, and who owns what for all.
    Owners,
    /// Which node acts on which version.
    Versions,
    /// What this node has acted on.
    Audit,
    /// That this duty's owner gives it up.
    Release(String),
    /// That this node owns this duty.
    Hand(String, String),
    /// That this node votes, or does so no more.
    Voter(String, bool),
}

/// Why a request is no call: the status, and what may be used instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RejectedRequest(u16, Option<&'static str>);

const GET: &str = "GET, HEAD";
const POST: &str = "POST";

/// The name that a part of a path stands for.
fn name(part: &str) -> Result<String, RejectedRequest> {
    let digits =
        |p: &str| p.len() >= 2 && p.is_char_boundary(2) && u8::from_str_radix(&p[..2], 16).is_ok();
    let sound = part
        .split('%')
        .skip(1)
        .all(|p| digits(p) && !p.starts_with('+'));
    let name = percent_encoding::percent_decode_str(part)
        .decode_utf8()
        .map_err(|_| RejectedRequest(400, None))?;
    let printable = !name.is_empty() && name.len() <= MOST_ID && !name.contains(char::is_control);
    if sound && printable {
        Ok(name.into_owned())
    } else {
        Err(RejectedRequest(400, None))
    }
}

fn call(request: &Request) -> Result<Call, RejectedRequest> {
    let path = request.target.split('?').next().unwrap_or_default();
    let (call, methods) = match path.split('/').collect::<Vec<_>>()[..] {
        ["", "v1", "readyz"] => (Call::Ready, GET),
        ["", "v1", "fleet", "members"] => (Call::Members, GET),
        ["", "v1", "fleet", "members", id, "forget"] => (Call::Forget(name(id)?), POST),
        ["", "v1", "fleet", "versions"] => (Call::Versions, GET),
        ["", "v1", "fleet", "audit"] => (Call::Audit, GET),
        ["", "v1", "fleet", "owners"] => (Call::Owners, GET),
        ["", "v1", "fleet", "owners", duty, "release"] => (Call::Release(name(duty)?), POST),
        ["", "v1", "fleet", "owners", duty, "hand", to] => {
            (Call::Hand(name(duty)?, name(to)?), POST)
        }
        ["", "v1", "fleet", "voters", node, "add"] => (Call::Voter(name(node)?, true), POST),
        ["", "v1", "fleet", "voters", node, "remove"] => (Call::Voter(name(node)?, false), POST),
        ["", "v1", "node", "drain"] => (Call::Drain, POST),
        ["", "v1", "node", "activate"] => (Call::Activate, POST),
        ["", "v1", "route-workers", id, "suspend"] => (Call::Suspend(name(id)?), POST),
        ["", "v1", "route-workers", id, "resume"] => (Call::Resume(name(id)?), POST),
        _ => return Err(RejectedRequest(404, None)),
    };
    let fits = methods.split(", ").any(|method| method == request.method);
    if fits {
        Ok(call)
    } else {
        Err(RejectedRequest(405, Some(methods)))
    }
}

struct Caller {
    reader: RequestReader,
    since: f64,
    told_on: bool,
    /// Its call is being carried out.
    waits: bool,
    /// The method was HEAD: its answer has no body.
    head: bool,
    /// The call that has just arrived.
    news: Option<Call>,
}

struct Session {
    connection: Connection<TcpStream>,
    caller: Caller,
}

fn answer(
    connection: &mut Connection<TcpStream>,
    owner: &mut Caller,
    status: u16,
    allow: Option<&str>,
    word: &str,
) {
    owner.waits = false;
    let fields: Vec<(&str, &str)> = allow
        .map(|methods| ("Allow", methods))
        .into_iter()
        .collect();
    let body = if owner.head { "" } else { word };
    let mut bytes = Vec::new();
    http::write_response(&mut bytes, status, &fields, body.as_bytes(), true);
    connection.send(&bytes, owner);
    connection.close(owner);
}

impl Callbacks<TcpStream> for Caller {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        if self.waits || connection.state() == State::Closing {
            return; // one call a connection
        }
        let read = self.reader.read(&connection.input).map(|(read, size)| {
            connection.consume(size);
            read
        });
        match read {
            Ok(Read::Whole(request, _)) => {
                self.head = request.method == "HEAD";
                match call(&request) {
                    Ok(call) => (self.waits, self.news) = (true, Some(call)),
                    Err(RejectedRequest(status, allow)) => {
                        answer(connection, self, status, allow, "no call of mine\n")
                    }
                }
            }
            Ok(_) if connection.read_side_closed() => connection.close(self),
            Ok(Read::Head { expects: true }) if !std::mem::replace(&mut self.told_on, true) => {
                connection.send(b"HTTP/1.1 100 Continue\r\n\r\n", self);
            }
            Ok(_) => {}
            Err(flaw) => answer(connection, self, flaw.status(), None, "bad request\n"),
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {}
}

/// The operators' door.
pub struct ManagementServer {
    listener: TcpListener,
    listener_key: usize,
    sessions: HashMap<usize, Session>,
}

impl ManagementServer {
    /// Opens it.
    ///
    /// # Errors
    ///
    /// If the system's poller refuses the listener.
    pub fn new(reactor: &mut Reactor, listener: TcpListener) -> io::Result<Self> {
        let listener_key = reactor.register(&listener, SocketOwner::ManagementServer)?;
        reactor.rearm(&listener, listener_key, (true, false));
        Ok(Self {
            listener,
            listener_key,
            sessions: HashMap::new(),
        })
    }

    /// Where it is.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// The listener or a caller can be read or written; the calls that have come, each with its caller.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> Vec<(usize, Call)> {
        if key == self.listener_key {
            return self.accept(reactor);
        }
        self.with(reactor, key, |connection, caller| {
            connection.handle_ready(readable, writable, caller)
        })
        .map(|call| (key, call))
        .into_iter()
        .collect()
    }

    /// Answers a caller, if it is still there.
    pub fn send_reply(&mut self, reactor: &mut Reactor, key: usize, reply: ManagementReply) {
        match reply {
            ManagementReply::Done => self.send_text(reactor, key, 200, "yes\n"),
            ManagementReply::NotNow => self.send_text(reactor, key, 503, "not now\n"),
            ManagementReply::NotFound => {
                self.send_text(reactor, key, 404, "nobody has that name\n")
            }
            ManagementReply::PartiallyApplied {
                applied: at,
                nodes: of,
            } => self.send_text(reactor, key, 200, &format!("yes, at {at} of {of} nodes\n")),
            ManagementReply::StillAlive => self.send_text(reactor, key, 409, "it has not failed\n"),
            ManagementReply::AuditDisabled => {
                self.send_text(reactor, key, 404, "the section audit is not on here\n")
            }
            ManagementReply::CoordinationDisabled => {
                self.send_text(reactor, key, 404, "the section duties is not on here\n")
            }
            ManagementReply::ClusterDisabled => {
                self.send_text(reactor, key, 404, "this node knows no others\n")
            }
        }
    }

    /// Answers a caller in words, if it is still there.
    pub fn send_text(&mut self, reactor: &mut Reactor, key: usize, status: u16, words: &str) {
        self.with(reactor, key, |connection, caller| {
            if caller.waits {
                answer(connection, caller, status, None, words);
            }
        });
        reactor.set_timer(reactor.now + LINGER, Timer::ManagementConnection { key });
    }

    /// A caller has had its time.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, key: usize) {
        if let Some(session) = self.sessions.remove(&key) {
            reactor.deregister(session.connection.stream());
        }
    }

    /// Callers are taken again.
    pub fn accept(&mut self, reactor: &mut Reactor) -> Vec<(usize, Call)> {
        let mut calls = Vec::new();
        for _ in 0..ACCEPTS {
            if self.sessions.len() >= MOST && !self.make_room(reactor) {
                reactor.set_timer(reactor.now + YOUNG, Timer::ManagementAccept);
                return calls;
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let key = stream
                        .set_nonblocking(true)
                        .and_then(|()| reactor.register(&stream, SocketOwner::ManagementServer));
                    let Ok(key) = key else { continue };
                    let connection =
                        Connection::new(stream, false, http::MAX_HEAD_BYTES + http::MAX_BODY_BYTES);
                    let (since, reader) = (reactor.now, RequestReader::default());
                    let (told_on, waits, head, news) = (false, false, false, None);
                    let caller = Caller {
                        reader,
                        since,
                        told_on,
                        waits,
                        head,
                        news,
                    };
                    self.sessions.insert(key, Session { connection, caller });
                    reactor.set_timer(reactor.now + PATIENCE, Timer::ManagementConnection { key });
                    calls.extend(self.handle_ready(reactor, key, true, false));
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    reactor.set_timer(reactor.now + YOUNG, Timer::ManagementAccept);
                    return calls;
                }
            }
        }
        reactor.rearm(&self.listener, self.listener_key, (true, false));
        calls
    }

    /// Ends the caller that has been there longest and whose call has not come, or has been answered. Danger:
    /// callers that say nothing would keep out those with a call.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        let goes = |s: &Session| !s.caller.waits && reactor.now - s.caller.since >= YOUNG;
        let goes = self.sessions.iter().filter(|(_, s)| goes(s));
        let first = goes.min_by(|a, b| {
            a.1.caller
                .since
                .total_cmp(&b.1.caller.since)
                .then(a.0.cmp(b.0))
        });
        let Some(key) = first.map(|(key, _)| *key) else {
            return false;
        };
        self.handle_timer(reactor, key);
        true
    }

    fn with(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        act: impl FnOnce(&mut Connection<TcpStream>, &mut Caller),
    ) -> Option<Call> {
        let session = self.sessions.get_mut(&key)?;
        act(&mut session.connection, &mut session.caller);
        let call = session.caller.news.take();
        if session.connection.state() == State::Ended {
            self.handle_timer(reactor, key);
        } else {
            reactor.rearm(
                session.connection.stream(),
                key,
                session.connection.interest(),
            );
        }
        call
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read as _, Write as _};
    use std::time::Duration;

    struct Bed {
        reactor: Reactor,
        door: ManagementServer,
    }

    impl Bed {
        fn new() -> Self {
            let mut reactor = Reactor::new(1000.0).expect("a reactor");
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            listener.set_nonblocking(true).expect("a setting");
            let door = ManagementServer::new(&mut reactor, listener).expect("a door");
            Self { reactor, door }
        }

        fn connect(&mut self) -> TcpStream {
            let peer =
                TcpStream::connect(self.door.address().expect("an address")).expect("a connection");
            peer.set_read_timeout(Some(Duration::from_secs(20)))
                .expect("a time limit");
            peer
        }

        /// All that has come is read, and every call gets this reply.
        fn turn(&mut self, reply: ManagementReply) -> Vec<Call> {
            let mut calls = self.door.accept(&mut self.reactor);
            let mut keys: Vec<usize> = self.door.sessions.keys().copied().collect();
            keys.sort_unstable();
            for key in keys {
                calls.extend(self.door.handle_ready(&mut self.reactor, key, true, true));
            }
            for (key, _) in &calls {
                self.door.send_reply(&mut self.reactor, *key, reply);
            }
            calls.into_iter().map(|(_, call)| call).collect()
        }
    }

    fn rest(peer: &mut TcpStream) -> String {
        let mut text = String::new();
        peer.read_to_string(&mut text).expect("its end");
        text
    }

    /// Guards against a path, a method or a name that is taken for another, and against an answer that says yes to
    /// what is no call.
    #[test]
    fn what_is_a_call_and_what_is_not() {
        let long = "x".repeat(MOST_ID + 1);
        let cases = [
            ("GET", "/v1/readyz", Ok(Call::Ready)),
            ("HEAD", "/v1/readyz?x=1", Ok(Call::Ready)),
            ("POST", "/v1/readyz", Err(405)),
            ("POST", "/v1/node/drain", Ok(Call::Drain)),
            ("POST", "/v1/node/activate", Ok(Call::Activate)),
            ("GET", "/v1/node/drain", Err(405)),
            ("GET", "/v1/fleet/members", Ok(Call::Members)),
            ("POST", "/v1/fleet/members", Err(405)),
            (
                "POST",
                "/v1/fleet/members/n%2D1/forget",
                Ok(Call::Forget("n-1".into())),
            ),
            ("GET", "/v1/fleet/members/n-1/forget", Err(405)),
            ("POST", "/v1/fleet/members//forget", Err(400)),
            ("GET", "/v1/fleet/versions", Ok(Call::Versions)),
            ("GET", "/v1/fleet/audit", Ok(Call::Audit)),
            ("GET", "/v1/fleet/owners", Ok(Call::Owners)),
            (
                "POST",
                "/v1/fleet/owners/bans/release",
                Ok(Call::Release("bans".into())),
            ),
            (
                "POST",
                "/v1/fleet/owners/bans/hand/n%2D1",
                Ok(Call::Hand("bans".into(), "n-1".into())),
            ),
            ("POST", "/v1/fleet/owners/bans/hand/", Err(400)),
            (
                "POST",
                "/v1/fleet/voters/n-1/add",
                Ok(Call::Voter("n-1".into(), true)),
            ),
            (
                "POST",
                "/v1/fleet/voters/n-1/remove",
                Ok(Call::Voter("n-1".into(), false)),
            ),
            ("GET", "/v1/fleet/voters/n-1/remove", Err(405)),
            ("POST", "/v1/node", Err(404)),
            ("POST", "/v1/node/drain/", Err(404)),
            ("POST", "//v1/node/drain", Err(404)),
            (
                "POST",
                "/v1/route-workers/s-1/suspend",
                Ok(Call::Suspend("s-1".into())),
            ),
            (
                "POST",
                "/v1/route-workers/s%2D1%2fa/resume",
                Ok(Call::Resume("s-1/a".into())),
            ),
            (
                "POST",
                "/v1/route-workers/%c5%a1/resume",
                Ok(Call::Resume("\u{161}".into())),
            ),
            ("PUT", "/v1/route-workers/s-1/suspend", Err(405)),
            ("POST", "/v1/route-workers/s-1/stop", Err(404)),
            ("POST", "/v1/route-workers//suspend", Err(400)),
            ("POST", "/v1/route-workers/%/suspend", Err(400)),
            ("POST", "/v1/route-workers/%zz/suspend", Err(400)),
            ("POST", "/v1/route-workers/%+1/suspend", Err(400)),
            ("POST", "/v1/route-workers/%ff/suspend", Err(400)),
            ("POST", "/v1/route-workers/a%0ab/suspend", Err(400)),
            (
                "POST",
                &format!("/v1/route-workers/{long}/suspend"),
                Err(400),
            ),
        ];
        for (method, target, wanted) in cases {
            let text = format!("{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n");
            let Ok(Read::Whole(request, _)) = http::read_request(text.as_bytes()) else {
                panic!("{text}")
            };
            assert_eq!(
                call(&request).map_err(|no| no.0),
                wanted,
                "{method} {target}"
            );
        }
    }

    /// Guards against a door that is held shut by callers who say nothing, or that lets one call wait for them.
    #[test]
    fn a_hundred_silent_callers_stand_in_nobodys_way() {
        let mut bed = Bed::new();
        let silent: Vec<TcpStream> = (0..100).map(|_| bed.connect()).collect();
        let mut caller = bed.connect();
        caller
            .write_all(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
            .expect("it is written");
        let mut calls = Vec::new();
        for _ in 0..20 {
            calls.extend(bed.turn(ManagementReply::Done));
            bed.reactor.now += YOUNG;
        }
        assert_eq!(calls, [Call::Ready]);
        assert!(rest(&mut caller).starts_with("HTTP/1.1 200 "));
        assert!(bed.door.sessions.len() <= MOST);
        drop(silent);
    }

    /// Guards against a call that is lost because its bytes come one by one, with a body, or with a second call
    /// behind it, which is none; and against an endless head.
    #[test]
    fn one_call_a_connection_however_it_is_cut() {
        let mut bed = Bed::new();
        let mut caller = bed.connect();
        let text = "POST /v1/node/drain HTTP/1.1\r\nContent-Length: 3\r\n\r\n{ }GET /v1/readyz HTTP/1.1\r\n\r\n";
        let mut calls = Vec::new();
        for byte in text.bytes() {
            caller.write_all(&[byte]).expect("it is written");
            calls.extend(bed.turn(ManagementReply::Done));
        }
        assert_eq!(calls, [Call::Drain]);
        let answer = rest(&mut caller);
        assert!(
            answer.starts_with("HTTP/1.1 200 ") && answer.contains("Connection: close"),
            "{answer}"
        );
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
        for (text, status) in [
            (
                format!(
                    "GET /v1/readyz HTTP/1.1\r\nX: {}",
                    "x".repeat(http::MAX_HEAD_BYTES)
                ),
                431,
            ),
            (
                "GET /v1/readyz HTTP/1.1\r\nContent-Length: 99999\r\n\r\n".into(),
                413,
            ),
            ("what is this\r\n\r\n".into(), 400),
        ] {
            let mut caller = bed.connect();
            caller.write_all(text.as_bytes()).expect("it is written");
            assert!(bed.turn(ManagementReply::Done).is_empty());
            assert!(
                rest(&mut caller).starts_with(&format!("HTTP/1.1 {status} ")),
                "{text:.40}"
            );
        }
        let mut half = bed.connect();
        half.write_all(b"GET /v1/rea").expect("it is written");
        half.shutdown(std::net::Shutdown::Write)
            .expect("it is closed");
        assert!(bed.turn(ManagementReply::Done).is_empty());
        assert_eq!(rest(&mut half), "", "half a call is none");
        let mut caller = bed.connect();
        caller
            .write_all(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
            .expect("it is written");
        caller
            .shutdown(std::net::Shutdown::Write)
            .expect("it is closed");
        assert_eq!(bed.turn(ManagementReply::NotNow), [Call::Ready]);
        assert!(
            rest(&mut caller).starts_with("HTTP/1.1 503 "),
            "who has said all still hears"
        );
    }
}
