//! The clients' side: the listener, their connections, the workers' call-backs, the readiness check.

use crate::decision::interface::{Settings, sound};
use crate::net::messages::{
    Answer, CallbackState, Input, Load, Payload, Submission, WorkerCallback,
};
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{self, Headers, ParseError, Read, Request, RequestReader};
use crate::net::transport::reactor::{Reactor, SocketOwner, Timer};
use serde::Deserialize;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};

/// How long a connection may lie idle.
const IDLE: f64 = 120.0;
/// How long a request may take to arrive, the first one from the connection's start: who says nothing, or half
/// of something, is told so within 3 s of connecting.
const PATIENCE: f64 = 2.0;
/// How long an answer may take to be taken.
const DELIVERY: f64 = 30.0;
/// How long the end of a connection is waited for after the last answer on it.
const LINGER: f64 = 1.0;
/// How long nothing is accepted after the system could give no connection, or none gave way.
const RETRY: f64 = 0.05;
/// For so long a connection keeps its place whatever comes: a new one, its request is on its way; one that has had its last
/// answer, that is.
const YOUNG: f64 = 0.05;
/// Who has asked for nothing after this long gives way before those who have.
const SILENT: f64 = 0.3;
/// Connections that are accepted in one turn of the loop: those there already have theirs too.
const ACCEPTS: usize = 64;
/// Input that is read ahead on a connection. What belongs to a body is taken off it at once.
const MOST_INPUT: usize = 2 * http::MAX_HEAD_BYTES;
/// The most that one connection holds: input, and a body that arrives, is held, or is passed on.
pub const MOST_HELD: usize = MOST_INPUT + 2 * http::MAX_BODY_BYTES;

/// Where a connection is in its dialogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Between requests, or within one.
    Reading,
    /// A request waits for its final answer.
    Held,
    /// A call-back waits for its acknowledgement.
    Calling,
}

struct Client {
    key: usize,
    phase: Phase,
    /// Whether the connection ends behind the answer.
    closes: bool,
    /// The peer was told to go on with a body.
    told_on: bool,
    /// It has brought a job or a call-back.
    useful: bool,
    /// The time of a request that has not arrived whole runs; of the first one, from the start.
    timed: bool,
    reader: RequestReader,
    /// Since when it has waited for what it waits for.
    since: f64,
    /// Counts what its timer waits for, so that one of an earlier wait is known.
    round: u64,
}

impl Client {
    fn new(key: usize) -> Self {
        let (phase, reader) = (Phase::Reading, RequestReader::default());
        let (closes, told_on, useful, timed) = (false, false, false, false);
        Self {
            key,
            phase,
            closes,
            told_on,
            useful,
            timed,
            reader,
            since: 0.0,
            round: 0,
        }
    }

    /// Whether a request has arrived in part.
    fn begun(&self, connection: &Connection<TcpStream>) -> bool {
        self.reader.begun() || !connection.input.is_empty()
    }
}

struct Session {
    connection: Connection<TcpStream>,
    client: Client,
}

impl Session {
    /// Whether its client is there and waits for its final answer.
    fn waits(&self) -> bool {
        self.client.phase == Phase::Held && self.connection.state() == State::Open
    }

    /// How soon it gives way where there is no room: first what has its last answer, then what stays silent or
    /// half-sent, or lies idle and has brought neither a job nor a call-back; then what lies idle and has; then
    /// what is silent still. Never a new connection or one on which an answer is owed. Danger: a crowd that
    /// says nothing takes the place of those who ask, or of a call-back, which comes on a connection of its own.
    fn gives_way(&self, now: f64) -> Option<u8> {
        let quiet = self.client.phase == Phase::Reading && self.connection.flushed();
        let age = now - self.client.since;
        match self.connection.state() {
            _ if !quiet => None,
            // Danger: what it is still sending would reset the connection, and its answer be lost on the way.
            State::Closing if age <= YOUNG => None,
            State::Closing => Some(0),
            State::Open if self.client.timed && age <= YOUNG => None,
            State::Open if self.client.timed && age <= SILENT => Some(3),
            State::Open => Some(if self.client.useful && !self.client.timed {
                2
            } else {
                1
            }),
            _ => None,
        }
    }
}

/// All connections that clients and workers have opened.
pub struct Clients {
    listener: TcpListener,
    listener_key: usize,
    sessions: HashMap<usize, Session>,
    settings: Settings,
    most: usize,
    /// Nothing is accepted for now; when the next timer that goes on with it comes.
    paused: bool,
    wakes: f64,
    /// New connections are taken.
    listening: bool,
    /// New clients are wanted; answers end their connections.
    wants: bool,
    closes: bool,
}

/// Calls back from one connection.
struct Caller<'a> {
    client: &'a mut Client,
    settings: &'a Settings,
    wants: bool,
    closes: bool,
    reactor: &'a mut Reactor,
}

#[derive(Deserialize)]
struct RawCall {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    result: String,
    #[serde(default)]
    load: serde_json::Map<String, serde_json::Value>,
}

/// What a request asks for.
#[derive(Debug, PartialEq)]
pub enum Wanted {
    /// An answer that can be given at once: status, fields, body.
    Now(u16, &'static [(&'static str, &'static str)], &'static str),
    /// A worker's call-back.
    Call(WorkerCallback),
    /// A request.
    Request(Box<Submission>),
}

/// A call-back as a worker words it, for another process of this node.
pub fn wording(call: &WorkerCallback) -> Vec<u8> {
    let mut json = serde_json::json!({"id": call.id, "from": call.from, "state": "unknown"});
    match &call.state {
        CallbackState::Started => json["state"] = "started".into(),
        CallbackState::Running(share) => {
            (json["state"], json["share"]) = ("running".into(), (*share).into())
        }
        CallbackState::Done(result) => {
            (json["state"], json["result"]) =
                ("done".into(), String::from_utf8_lossy(result).into());
        }
        CallbackState::Failed => json["state"] = "failed".into(),
        CallbackState::Returned => json["state"] = "returned".into(),
        CallbackState::Lost => json["state"] = "lost".into(),
        CallbackState::Unknown => {}
    }
    let load = call
        .load
        .iter()
        .map(|(name, value)| (name.clone(), serde_json::Value::from(*value)));
    json["load"] = load.collect();
    json.to_string().into_bytes()
}

/// Reads a worker's call-back.
pub fn call(body: &[u8]) -> Option<WorkerCallback> {
    let raw: RawCall = serde_json::from_slice(body).ok()?;
    let state = match raw.state.as_str() {
        "started" => CallbackState::Started,
        "running" => CallbackState::Running(raw.share),
        "done" => CallbackState::Done(raw.result.into_bytes()),
        "failed" => CallbackState::Failed,
        "returned" => CallbackState::Returned,
        "lost" => CallbackState::Lost,
        _ => CallbackState::Unknown,
    };
    let load: Load = raw
        .load
        .into_iter()
        .filter_map(|(name, value)| Some((name, value.as_f64()?)))
        .collect();
    Some(WorkerCallback {
        id: raw.id,
        from: raw.from,
        state,
        load,
    })
}

/// The subject in the cookie `k`, in hexadecimal digits.
fn key(headers: &Headers) -> u64 {
    let pairs = headers.get("cookie").unwrap_or_default().split(';');
    let value = pairs
        .filter_map(|pair| pair.trim().strip_prefix("k="))
        .next();
    value
        .and_then(|value| u64::from_str_radix(value.trim(), 16).ok())
        .unwrap_or(0)
}

fn extra(headers: &Headers, name: &str) -> Option<f64> {
    let pairs = headers.get("x-extras").unwrap_or_default().split(',');
    let value = pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| n.trim() == name)?
        .1;
    value.trim().parse().ok().and_then(sound)
}

/// Where workers call back.
const CALLS: &str = "/v1/job-events";
/// The answer to what can't be read.
pub const BAD: Wanted = Wanted::Now(400, &[], "bad request\n");

/// What a request asks for; `wants`: new clients are wanted, which the readiness check tells.
pub fn wanted(request: Request, settings: &Settings, wants: bool) -> Wanted {
    let path = request.target.split('?').next().unwrap_or_default();
    let first = path
        .strip_prefix('/')
        .unwrap_or_default()
        .split('/')
        .next()
        .unwrap_or_default();
    match (path, request.method.as_str()) {
        // A 503 would count as an unavailable answer.
        ("/-/ready", "GET" | "HEAD") if !wants => return Wanted::Now(500, &[], "not ready\n"),
        ("/-/ready", "GET" | "HEAD") => return Wanted::Now(200, &[], "ready\n"),
        ("/-/ready", _) => return Wanted::Now(405, &[("Allow", "GET, HEAD")], "wrong method\n"),
        (CALLS, "POST") => return call(&request.body).map_or(BAD, Wanted::Call),
        _ => {}
    }
    let class = settings
        .classes
        .iter()
        .position(|class| !first.is_empty() && class.name == first);
    let class = match class {
        Some(class) if request.method == "POST" && path != CALLS => class,
        None if path != CALLS => return Wanted::Now(404, &[], "unknown path\n"),
        _ => return Wanted::Now(405, &[("Allow", "POST")], "wrong method\n"),
    };
    let number = |name: &str| match request.headers.only(name)?.map(str::parse::<f64>) {
        None => Ok(None),
        Some(Ok(x)) => sound(x).map(Some).ok_or(ParseError::Malformed),
        Some(Err(_)) => Err(ParseError::Malformed),
    };
    // A worker closes on what it can't read, whatever else waits there: none of that is passed on.
    let Ok(Some(id)) = request.headers.only("x-request-id") else {
        return BAD;
    };
    let Ok(key_of_repeats) = request.headers.only("idempotency-key") else {
        return BAD;
    };
    if !plain(id) || !visible(&request.target) || !key_of_repeats.is_none_or(visible) {
        return BAD;
    }
    let Ok(budget) = number("x-deadline") else {
        return BAD;
    };
    let payload = Payload {
        id: id.to_owned(),
        method: request.method.clone(),
        target: request.target.clone(),
        idempotency_key: key_of_repeats.map(str::to_owned),
        body: Vec::new(),
    };
    let mut submission = Submission {
        payload,
        class: class as u8,
        tenant: request.headers.get("x-tenant").map(str::to_owned),
        affinity_key: key(&request.headers),
        budget,
        expected_work: number("x-cost-hint").ok().flatten().map(|us| us / 1e6),
        slots: extra(&request.headers, "slots"),
        memory: extra(&request.headers, "memory"),
        repeat: request.headers.get("x-retry") == Some("1"),
    };
    submission.payload.body = request.body;
    Wanted::Request(Box::new(submission))
}

/// Whether an id can stand in a path.
fn plain(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= 256
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b))
}

/// Whether it holds no control bytes, spaces or bytes beyond ASCII, nor what belongs to no target.
fn visible(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_graphic() && b != b'#')
}

impl Caller<'_> {
    fn wait(&mut self, time: f64) {
        self.client.round += 1;
        self.client.since = self.reactor.now;
        let due = Timer::Client {
            key: self.client.key,
            round: self.client.round,
        };
        self.reactor.set_timer(self.reactor.now + time, due);
    }

    fn write(
        &mut self,
        connection: &mut Connection<TcpStream>,
        status: u16,
        fields: &[(&str, &str)],
        body: &[u8],
    ) {
        let mut bytes = Vec::new();
        // Danger: a request that has been read, and whose connection is closed, would be lost: the one behind it closes.
        let closes = self.client.closes || self.closes && !self.client.begun(connection);
        http::write_response(&mut bytes, status, fields, body, closes);
        connection.send(&bytes, self);
        if closes {
            connection.close(self);
            self.wait(if connection.flushed() {
                LINGER
            } else {
                DELIVERY
            });
        } else {
            self.wait(if connection.flushed() { IDLE } else { DELIVERY });
        }
    }

    fn answer(&mut self, connection: &mut Connection<TcpStream>, answer: &Answer) {
        self.client.phase = Phase::Reading;
        match answer {
            Answer::Served(result) => self.write(connection, 200, &[], result),
            Answer::RejectedWithRetryAfter(after) => {
                // Advice of 0 s, where the settings allow none, would ask for the same again at once.
                let text = format!("{after:.3}");
                let advice = [("Retry-After", text.as_str())];
                let fields = if *after > 0.0 { &advice[..] } else { &[] };
                self.write(connection, 503, fields, b"unavailable\n");
            }
            Answer::Failed => self.write(connection, 502, &[], b"failed\n"),
            Answer::DuplicateRequestId => {
                self.client.closes = true;
                self.write(connection, 409, &[], b"held already\n");
            }
        }
        self.read_behind(connection);
    }

    /// Goes on with what has been read behind a request that is answered now. Where some of it was dropped for want of room, the connection
    /// ends once what was kept has no further whole request.
    fn read_behind(&mut self, connection: &mut Connection<TcpStream>) {
        self.read(connection);
        let open = self.client.phase == Phase::Reading && connection.state() == State::Open;
        if connection.dropped_input() && open {
            connection.close(self);
            self.wait(LINGER);
        }
    }

    /// Takes requests off the input until one is held. The time for a whole one runs from its first part: a
    /// peer that sends byte after byte gets no more.
    fn read(&mut self, connection: &mut Connection<TcpStream>) {
        self.take(connection);
        let reads = self.client.phase == Phase::Reading && connection.state() == State::Open;
        if reads
            && self.client.begun(connection)
            && !std::mem::replace(&mut self.client.timed, true)
        {
            self.wait(PATIENCE);
        }
    }

    fn take(&mut self, connection: &mut Connection<TcpStream>) {
        while self.client.phase == Phase::Reading && !connection.input.is_empty() {
            let read = self
                .client
                .reader
                .read(&connection.input)
                .map(|(read, size)| {
                    connection.consume(size);
                    read
                });
            match read {
                Ok(Read::Whole(request, _)) => {
                    self.client.closes = !request.keeps;
                    (self.client.told_on, self.client.timed) = (false, false);
                    let head = request.method == "HEAD";
                    match wanted(request, self.settings, self.wants) {
                        Wanted::Now(status, fields, body) => {
                            // Who asks for what can't be served gives its place to those who don't.
                            self.client.closes |= (400..500).contains(&status);
                            self.write(
                                connection,
                                status,
                                fields,
                                if head { b"" } else { body.as_bytes() },
                            );
                        }
                        Wanted::Call(call) => {
                            self.client.useful = true;
                            // Acknowledged by the hub: what the worker may forget then must be kept here.
                            self.client.phase = Phase::Calling;
                            self.client.round += 1;
                            self.reactor.queue.push_back(Input::CallbackReceived {
                                client: self.client.key as u64,
                                callback: call,
                            });
                        }
                        Wanted::Request(submission) => {
                            self.client.useful = true;
                            self.client.phase = Phase::Held;
                            self.client.round += 1; // no time limit but its own
                            let client = self.client.key as u64;
                            self.reactor.queue.push_back(Input::RequestReceived {
                                client,
                                submission: *submission,
                            });
                        }
                    }
                }
                Ok(Read::Head { expects: true }) if !self.client.told_on => {
                    self.client.told_on = true;
                    return connection.send(b"HTTP/1.1 100 Continue\r\n\r\n", self);
                }
                Ok(_) => return,
                Err(flaw) => {
                    self.client.closes = true;
                    return self.write(connection, flaw.status(), &[], b"bad request\n");
                }
            }
        }
    }
}

impl Callbacks<TcpStream> for Caller<'_> {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        // Reading has stopped for want of room: more, and the client's end behind it, may be there already.
        let more = connection.is_full();
        self.read(connection);
        if more && self.client.phase == Phase::Held && connection.state() == State::Open {
            // Danger: an attempt would begin for a client that has closed long since.
            connection.set_discard_input(true);
            connection.handle_ready(true, false, self);
        }
        if connection.state() == State::HalfOpen {
            match self.client.phase {
                Phase::Held => {
                    connection.abort();
                    self.ended(connection);
                }
                Phase::Calling => {} // it has said all, and still hears
                Phase::Reading => connection.close(self),
            }
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        if self.client.phase == Phase::Held {
            self.client.phase = Phase::Reading;
            let (client, queue) = (self.client.key as u64, &mut self.reactor.queue);
            let arrived = |input: &Input| matches!(input, Input::RequestReceived { client: from, .. } if *from == client);
            // Danger: told one after the other, a job whose client is gone already would have its first attempt begun.
            match queue.iter().rposition(arrived) {
                Some(at) => drop(queue.remove(at)),
                None => queue.push_back(Input::ClientDisconnected { client }),
            }
        }
    }
}

impl Clients {
    /// Listens; takes at most so many connections.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on.
    pub fn new(
        reactor: &mut Reactor,
        listener: TcpListener,
        settings: Settings,
        most: usize,
    ) -> io::Result<Self> {
        let listener_key = reactor.register(&listener, SocketOwner::Client)?;
        reactor.rearm(&listener, listener_key, (true, false));
        let sessions = HashMap::new();
        Ok(Self {
            listener,
            listener_key,
            sessions,
            settings,
            most,
            paused: false,
            wakes: f64::INFINITY,
            listening: true,
            wants: true,
            closes: false,
        })
    }

    /// The listener or a connection can be read or written.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) {
        if key == self.listener_key {
            return self.accept(reactor);
        }
        self.with(reactor, key, |connection, caller| {
            connection.handle_ready(readable, writable, caller)
        });
    }

    /// Gives a final answer to the client that still waits for it.
    pub fn send_answer(&mut self, reactor: &mut Reactor, client: u64, answer: &Answer) {
        self.with(reactor, client as usize, |connection, caller| {
            if caller.client.phase == Phase::Held {
                caller.answer(connection, answer);
            }
        });
    }

    /// Tells a worker that its call-back has been taken.
    pub fn acknowledge_callback(&mut self, reactor: &mut Reactor, client: u64) {
        self.with(reactor, client as usize, |connection, caller| {
            if caller.client.phase == Phase::Calling {
                caller.client.phase = Phase::Reading;
                caller.write(connection, 200, &[], b"");
                caller.read_behind(connection);
                caller.received(connection);
            }
        });
    }

    /// A connection has had its time.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, key: usize, round: u64) {
        self.with(reactor, key, |connection, caller| {
            let stale = caller.client.round != round || caller.client.phase != Phase::Reading;
            if stale {
                return;
            }
            let begun = caller.client.begun(connection);
            if connection.state() == State::Open && !begun && connection.flushed() {
                connection.close(caller);
                caller.wait(LINGER);
            } else if connection.state() == State::Open && connection.flushed() {
                caller.client.closes = true;
                caller.write(connection, 408, &[], b"too slow\n");
            } else {
                connection.abort();
            }
        });
    }

    /// Whether new connections are taken. Where not, they wait at the listener for whoever shares it.
    pub fn set_accepting(&mut self, reactor: &Reactor, on: bool) {
        self.listening = on;
        reactor.rearm(&self.listener, self.listener_key, (on, false));
    }

    /// Takes at most so many connections from now on.
    pub fn set_connection_limit(&mut self, most: usize) {
        self.most = most;
    }

    /// How many connections there are.
    pub fn connection_count(&self) -> usize {
        self.sessions.len()
    }

    /// Where they connect to.
    ///
    /// # Errors
    ///
    /// If the system does not say.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The numbers of their connections.
    pub fn connection_keys(&self) -> impl Iterator<Item = usize> {
        self.sessions.keys().copied()
    }

    /// Whether a connection is there on which both sides may send.
    pub fn is_open(&self, key: usize) -> bool {
        self.sessions
            .get(&key)
            .is_some_and(|s| s.connection.state() == State::Open)
    }

    /// Whether a connection has brought a job or a call-back.
    pub fn is_useful(&self, key: usize) -> bool {
        self.sessions.get(&key).is_some_and(|s| s.client.useful)
    }

    /// Gives away a connection on which nothing is owed and no request has begun: its stream, what was read from
    /// it, and whether it has been of use. What has not been read stays in the stream.
    pub fn release_quiet_connection(
        &mut self,
        reactor: &Reactor,
    ) -> Option<(TcpStream, Vec<u8>, bool)> {
        let quiet = |s: &Session| {
            s.client.phase == Phase::Reading
                && s.connection.state() == State::Open
                && s.connection.flushed()
                && !s.client.reader.begun()
        };
        let key = self
            .sessions
            .iter()
            .find(|(_, s)| quiet(s))
            .map(|(key, _)| *key)?;
        self.part_with(reactor, key)
            .map(|(stream, input, client)| (stream, input, client.useful))
    }

    /// Lets a connection go without ending it: its stream, what was read from it, and its state here.
    fn part_with(&mut self, reactor: &Reactor, key: usize) -> Option<(TcpStream, Vec<u8>, Client)> {
        let Session { connection, client } = self.sessions.remove(&key)?;
        reactor.deregister(connection.stream());
        let (stream, input) = connection.into_parts();
        Some((stream, input, client))
    }

    /// Takes a connection in that has been read so far; its key.
    fn take_in(
        &mut self,
        reactor: &mut Reactor,
        stream: TcpStream,
        input: Vec<u8>,
    ) -> Option<usize> {
        let key = stream
            .set_nonblocking(true)
            .and_then(|()| reactor.register(&stream, SocketOwner::Client))
            .ok()?;
        let mut connection = Connection::new(stream, false, MOST_INPUT);
        connection.input = input;
        self.sessions.insert(
            key,
            Session {
                connection,
                client: Client::new(key),
            },
        );
        Some(key)
    }

    /// Whether a client is there and waits for its final answer.
    pub fn awaits_answer(&self, client: u64) -> bool {
        self.sessions
            .get(&(client as usize))
            .is_some_and(Session::waits)
    }

    /// Gives away the connection of a client that waits for its final answer: its stream, what was read from
    /// it, and whether it ends behind the answer.
    pub fn release_waiting_connection(
        &mut self,
        reactor: &Reactor,
        client: u64,
    ) -> Option<(TcpStream, Vec<u8>, bool)> {
        let key = Some(client as usize).filter(|_| self.awaits_answer(client))?;
        self.part_with(reactor, key)
            .map(|(stream, input, client)| (stream, input, client.closes))
    }

    /// Takes over the connection of a client that waits for its final answer; its number here.
    pub fn adopt_waiting_connection(
        &mut self,
        reactor: &mut Reactor,
        stream: TcpStream,
        input: Vec<u8>,
        closes: bool,
    ) -> Option<u64> {
        let key = self.take_in(reactor, stream, input)?;
        self.with(reactor, key, |_, caller| {
            (
                caller.client.phase,
                caller.client.useful,
                caller.client.closes,
            ) = (Phase::Held, true, closes);
        });
        // Danger: it may have left on the way, and the job's next attempt would begin before its end is read.
        self.handle_ready(reactor, key, true, false);
        Some(key as u64)
    }

    /// Takes a connection over that another process of this node has read so much from.
    pub fn adopt_connection(
        &mut self,
        reactor: &mut Reactor,
        stream: TcpStream,
        input: Vec<u8>,
        useful: bool,
    ) {
        let Some(key) = self.take_in(reactor, stream, input) else {
            return;
        };
        self.with(reactor, key, |connection, caller| {
            caller.client.useful = useful;
            caller.wait(IDLE);
            caller.read(connection);
            connection.handle_ready(true, false, caller);
        });
    }

    /// Ends the connection of a worker whose call-back can't be acknowledged: it calls again.
    pub fn abort_connection(&mut self, reactor: &mut Reactor, client: u64) {
        self.with(reactor, client as usize, |connection, caller| {
            if caller.client.phase == Phase::Calling {
                connection.abort();
            }
        });
    }

    /// Whether new clients are wanted, which the readiness check tells, and whether answers end their
    /// connections.
    pub fn set_readiness(&mut self, wants: bool, closes: bool) {
        (self.wants, self.closes) = (wants, closes);
    }

    /// Closes connections that have been idle for longer, but for what has arrived on them.
    pub fn close_idle_connections(&mut self, reactor: &mut Reactor, longer: f64) {
        let keys: Vec<usize> = self.sessions.keys().copied().collect();
        for key in keys {
            let quiet = |s: &Session| {
                s.client.phase == Phase::Reading && reactor.now - s.client.since >= longer
            };
            if !self.sessions.get(&key).is_some_and(quiet) {
                continue;
            }
            // What has arrived is taken first.
            self.handle_ready(reactor, key, true, false);
            self.with(reactor, key, |connection, caller| {
                let idle =
                    caller.client.phase == Phase::Reading && !caller.client.begun(connection);
                if idle && connection.state() == State::Open && connection.flushed() {
                    connection.close(caller);
                    caller.wait(LINGER);
                }
            });
        }
    }

    /// Accepts what has come and closes what lies idle; whether nothing is left that is owed an answer.
    pub fn close_for_shutdown(&mut self, reactor: &mut Reactor) -> bool {
        self.accept(reactor);
        self.close_idle_connections(reactor, 0.0);
        self.sessions.is_empty()
    }

    fn with(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        act: impl FnOnce(&mut Connection<TcpStream>, &mut Caller<'_>),
    ) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        let (settings, wants, closes) = (&self.settings, self.wants, self.closes);
        let mut caller = Caller {
            client: &mut session.client,
            settings,
            wants,
            closes,
            reactor,
        };
        act(&mut session.connection, &mut caller);
        session
            .connection
            .set_discard_input(session.client.phase != Phase::Reading);
        let over = session.connection.state() == State::Ended;
        if over {
            reactor.deregister(session.connection.stream());
            self.sessions.remove(&key);
        } else {
            reactor.rearm(
                session.connection.stream(),
                key,
                session.connection.interest(),
            );
        }
        if self.paused
            && self
                .sessions
                .get(&key)
                .is_none_or(|s| s.gives_way(reactor.now).is_some())
        {
            self.wake(reactor, 0.0);
        }
    }

    /// Has accepting go on after so many seconds, if it doesn't before.
    fn wake(&mut self, reactor: &mut Reactor, after: f64) {
        if reactor.now + after < self.wakes {
            self.wakes = reactor.now + after;
            reactor.set_timer(self.wakes, Timer::ClientAccept);
        }
    }

    /// Accepting goes on where it was paused.
    pub fn resume_accepting(&mut self, reactor: &mut Reactor) {
        self.wakes = f64::INFINITY;
        self.accept(reactor);
    }

    /// Takes the connections that have come, so many in a turn.
    pub fn accept(&mut self, reactor: &mut Reactor) {
        if !self.listening {
            return;
        }
        for _ in 0..ACCEPTS {
            // One more than there is room for: none gives way before another one is there.
            if self.sessions.len() > self.most && !self.make_room(reactor) {
                self.paused = true;
                return self.wake(reactor, RETRY);
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let Some(key) = self.take_in(reactor, stream, Vec::new()) else {
                        continue;
                    };
                    self.with(reactor, key, |connection, caller| {
                        caller.client.timed = true;
                        caller.wait(PATIENCE);
                        connection.handle_ready(true, false, caller);
                    });
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => {
                    // No descriptors, perhaps: the listener stays readable, and asking on would be a busy loop.
                    self.paused = true;
                    return self.wake(reactor, RETRY);
                }
            }
        }
        self.paused = false;
        reactor.rearm(&self.listener, self.listener_key, (true, false));
    }

    /// Ends the connection that gives way first, the one that has waited longest of its kind.
    fn make_room(&mut self, reactor: &mut Reactor) -> bool {
        // A request may have arrived on it unseen; then it is owed an answer, and another gives way.
        for _ in 0..=self.sessions.len() {
            let now = reactor.now;
            let gives_way =
                |(&key, s): (&usize, &Session)| Some((s.gives_way(now)?, s.client.since, key));
            // Of those that came in one turn of the loop, the first.
            let order = |a: &(u8, f64, usize), b: &(u8, f64, usize)| {
                a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
            };
            let Some(first) = self.sessions.iter().filter_map(gives_way).min_by(order) else {
                return false;
            };
            let (_, _, key) = first;
            self.with(reactor, key, |connection, caller| {
                connection.handle_ready(true, false, caller)
            });
            let Some(session) = self.sessions.get(&key) else {
                return true;
            };
            if gives_way((&key, session)) == Some(first) {
                reactor.deregister(session.connection.stream());
                self.sessions.remove(&key);
                return true;
            }
        }
        false
    }
}
