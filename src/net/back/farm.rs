//! The farm: discovery's list of workers and the watch on it.

use super::backoff::Backoff;
use crate::interface::{Entry, Health, ListKind, Settings};
use crate::net::ground::connection::{Callbacks, Connection, State};
use crate::net::ground::http::{self, Read};
use crate::net::ground::reactor::{self, Due, Owner, Reactor};
use crate::net::words::{Input, Member};
use postproxy_audit::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};

/// Longest list that is read.
const MOST_LIST: usize = 8 << 20;
/// How long a call waits for changes, in seconds.
const WAIT: f64 = 20.0;
/// How long the answer of a call that does not wait may take: discovery ends a call, or fails it, in 2 s.
const PATIENCE: f64 = 2.5;
/// How long after its wait a watch's answer may take, and by how much longer it may be at some nodes, so that not all call
/// at once. What a silent watch misses counts as told 2 s after the wait: by then a fresh call must have been answered.
const SILENCE: f64 = 0.9;
const SPREAD: f64 = 0.4;
/// A node without any list calls again after this time at first, and after this one at most.
const FIRST_AGAIN: f64 = 0.1;
const MOST_AGAIN: f64 = 2.0;

/// A member as discovery tells it, and as nodes pass it on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RawMember {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u16,
    phase: String,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

/// The whole list as it was last held, with whose versions it counts in.
#[derive(Debug, Deserialize, Serialize)]
pub struct Kept {
    discovery: SocketAddr,
    revision: u64,
    members: Vec<RawMember>,
}

impl Kept {
    /// Reads one; `None` for what is none.
    pub fn from_json(text: &[u8]) -> Option<Self> {
        serde_json::from_slice(text).ok()
    }

    /// The list to start with: this one, where it is newer than the configuration's; versions of another
    /// discovery can't be compared, and count only where the configuration has no worker.
    pub fn or(self, known: Option<List>, discovery: SocketAddr) -> Option<List> {
        let newer = match &known {
            Some(known) if !known.members.is_empty() => {
                self.discovery == discovery && self.revision > known.revision
            }
            _ => !self.members.is_empty(),
        };
        let own = List { revision: self.revision, complete: true, members: self.members };
        if newer { Some(own) } else { known }
    }
}

/// A list in discovery's form.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Whether it is the whole list.
    pub complete: bool,
    members: Vec<RawMember>,
}

impl List {
    /// Reads a list from JSON.
    ///
    /// # Errors
    ///
    /// If it is none.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }

    /// Its members; one without a usable address is left out. Times are Unix time, as the node's clock is.
    pub fn members(self, settings: &Settings) -> Vec<Member> {
        let at = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let member = |m: RawMember| {
            let address: SocketAddr = m.host_port.parse().ok()?;
            let entry = Entry {
                zone: at(&settings.zone_names, &m.locality).map_or(u8::MAX, |z| z as u8),
                kind: at(&settings.kind_names, &m.flavor).map_or(u16::MAX, |k| k as u16),
                cell: m.cell,
                health: match m.phase.as_str() {
                    "in_service" => Health::Ready,
                    "terminated" => Health::Gone,
                    _ => Health::Draining, // an unknown phase gets nothing new
                },
                size: m.size,
                started: m.up_since_ms / 1000.0,
                ..Entry::default()
            };
            Some(Member { id: m.id, address, entry })
        };
        self.members.into_iter().filter_map(member).collect()
    }
}

struct Session {
    connection: Connection<TcpStream>,
    key: usize,
}

/// What members mean, whatever their order and wherever this node reaches them.
fn meaning<'a>(members: impl IntoIterator<Item = &'a RawMember>) -> Digest {
    let line = |m: &RawMember| {
        let RawMember { id, locality, flavor, cell, phase, size, up_since_ms, .. } = m;
        format!("{id}\n{locality}\n{flavor}\n{cell}\n{phase}\n{size}\n{up_since_ms}")
    };
    let mut lines: Vec<String> = members.into_iter().filter(|m| m.phase != "terminated").map(line).collect();
    lines.sort_unstable();
    postproxy_audit::digest(lines.iter().map(String::as_bytes))
}

/// A member as another list has it, at the address that this node knows; one that the other list does not have is gone.
fn overlaid(own: &RawMember, passed: &BTreeMap<String, RawMember>) -> RawMember {
    match passed.get(&own.id) {
        Some(newer) => RawMember { host_port: own.host_port.clone(), ..newer.clone() },
        None => RawMember { phase: "terminated".to_owned(), ..own.clone() },
    }
}

/// The watch on discovery's list.
pub struct Farm {
    discovery: SocketAddr,
    settings: Settings,
    /// The version that this node holds; `None` where only the whole list will do.
    revision: Option<u64>,
    session: Option<Session>,
    /// The call that is out is a watch, whose silence is no proof that discovery is down.
    waits: bool,
    /// See [`SPREAD`].
    spread: f64,
    /// A call is out. It counts the calls, so that a timer of an earlier one is known.
    calling: bool,
    call: u64,
    dial_timeout: f64,
    /// While no list has been had at all: when to call again.
    hunger: Option<Backoff>,
    /// A newer list than discovery has told, from another node: its version, and its members.
    passed: Option<(u64, Digest, BTreeMap<String, RawMember>)>,
    /// The version has changed since it was asked for last.
    fresh: bool,
    /// The whole list, where it is to be kept, and whether it has changed since it was taken to be written.
    held: Option<(BTreeMap<String, RawMember>, bool)>,
}

/// Collects what one connection tells.
#[derive(Default)]
struct Caller {
    answer: Option<Result<(List, bool), ()>>,
}

impl Callbacks<TcpStream> for Caller {
    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        match http::read_response(&connection.input, connection.heard_all(), MOST_LIST) {
            Ok(Read::Whole(response, size)) => {
                connection.consume(size);
                let list = (response.status == 200).then(|| List::from_json(&response.body).ok()).flatten();
                let keeps = response.keeps && !connection.heard_all();
                self.answer = Some(list.map(|list| (list, keeps)).ok_or(()));
            }
            Ok(_) if !connection.heard_all() => {}
            Ok(_) | Err(_) => self.answer = Some(Err(())),
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        self.answer.get_or_insert(Err(()));
    }
}

impl Farm {
    /// No watch yet; `known` is the version of the list that the node starts with, if that names a worker.
    pub fn new(discovery: SocketAddr, settings: Settings, known: Option<u64>, seed: u64) -> Self {
        let dial_timeout = settings.dial_timeout.max(0.25);
        let hunger = known.is_none().then(|| Backoff::new(FIRST_AGAIN, MOST_AGAIN, seed));
        let (revision, session, calling, call) = (known, None, false, 0);
        let spread = SPREAD * (seed % 1024) as f64 / 1024.0;
        Self {
            discovery,
            settings,
            revision,
            session,
            waits: false,
            spread,
            calling,
            call,
            dial_timeout,
            hunger,
            passed: None,
            fresh: true,
            held: None,
        }
    }

    /// Holds the whole list from now on, beginning with this one, so that it can be kept.
    pub fn hold(&mut self, known: Option<&List>) {
        let members = known.map(|list| list.members.clone()).unwrap_or_default();
        self.held = Some((members.into_iter().map(|m| (m.id.clone(), m)).collect(), false));
    }

    /// The list to keep, if it has changed since it was last asked for.
    pub fn changed(&mut self) -> Option<Vec<u8>> {
        let (_, changed) = self.held.as_mut().filter(|_| self.revision.is_some())?;
        if std::mem::take(changed) { self.kept() } else { None }
    }

    /// The whole list as it is held.
    pub fn kept(&self) -> Option<Vec<u8>> {
        let (revision, (members, _)) = (self.revision?, self.held.as_ref()?);
        let members = members.values().cloned().collect();
        serde_json::to_vec(&Kept { discovery: self.discovery, revision, members }).ok()
    }

    /// Goes by the list of another process of this node, where it is the newer one, and watches from its version
    /// on: this process is bound by the news in a moment.
    pub fn take_over(&mut self, reactor: &mut Reactor, kept: &[u8]) {
        let Some(kept) = Kept::from_json(kept).filter(|kept| kept.discovery == self.discovery) else {
            return;
        };
        if !self.calling && self.revision.is_none_or(|own| kept.revision >= own) && !kept.members.is_empty() {
            let list = List { revision: kept.revision, complete: true, members: kept.members };
            self.told(reactor, list);
        }
    }

    /// A node without a worker has nothing to lose by asking: it does so at once, and until it has been told
    /// a list it calls again in growing steps.
    pub fn start(&mut self, reactor: &mut Reactor) {
        if self.hunger.is_some() {
            self.watch(reactor);
        }
    }

    /// Calls again, where no list has been had yet.
    pub fn again(&mut self, reactor: &mut Reactor) {
        self.start(reactor);
    }

    /// Starts a watch; one that is out already answers for it.
    pub fn watch(&mut self, reactor: &mut Reactor) {
        if !self.calling {
            self.ask(reactor, 0.0);
        }
    }

    /// Discovery is at this address now. Its versions may be others than those of the old one, so the whole
    /// list is asked for, at once: what it has to tell counts as told soon. The workers stay known meanwhile.
    pub fn moved(&mut self, reactor: &mut Reactor, discovery: SocketAddr) {
        if discovery != self.discovery {
            self.hang_up(reactor);
            (self.discovery, self.revision, self.passed) = (discovery, None, None);
            self.ask(reactor, 0.0);
        }
    }

    fn ask(&mut self, reactor: &mut Reactor, wait: f64) {
        let target = match self.revision {
            Some(revision) => {
                format!("/api/targets?since={revision}&timeout_ms={}", (wait * 1000.0).max(1.0) as u64)
            }
            None => "/api/targets".to_owned(),
        };
        let host = self.discovery.to_string();
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, "GET", &target, &[("Host", &host)], b"");
        self.calling = true;
        self.call += 1;
        if self.session.is_none() {
            let dialed = reactor::dial(self.discovery).and_then(|stream| {
                let key = reactor.register(&stream, Owner::Farm)?;
                Ok(Session { connection: Connection::new(stream, true, MOST_LIST), key })
            });
            match dialed {
                Ok(session) => self.session = Some(session),
                Err(_) => return self.failed(reactor),
            }
            reactor.timer(reactor.now + self.dial_timeout, Due::FarmDial(self.call));
        }
        self.waits = self.revision.is_some() && wait > 0.0;
        let patience = if self.waits { wait + SILENCE + self.spread } else { PATIENCE };
        reactor.timer(reactor.now + patience, Due::Farm(self.call));
        let Some(session) = &mut self.session else { return };
        let mut caller = Caller::default();
        session.connection.send(&bytes, &mut caller);
        self.after(reactor, caller);
    }

    /// The connection can be read or written.
    pub fn ready(&mut self, reactor: &mut Reactor, key: usize, readable: bool, writable: bool) {
        let Some(session) = self.session.as_mut().filter(|s| s.key == key) else { return };
        let mut caller = Caller::default();
        session.connection.ready(readable, writable, &mut caller);
        self.after(reactor, caller);
    }

    /// The connection has had its time to be made.
    pub fn dial_due(&mut self, reactor: &mut Reactor, call: u64) {
        let dialing = self.session.as_ref().is_some_and(|s| s.connection.state() == State::Dialing);
        if self.calling && call == self.call && dialing {
            self.failed(reactor);
        }
    }

    /// A call has had its time. A watch that has fallen silent is opened anew at once; only a call that does not wait
    /// tells that discovery is down. Danger: what the watch missed counts as told before the dispatcher would ask again.
    pub fn due(&mut self, reactor: &mut Reactor, call: u64) {
        if !self.calling || call != self.call {
            return;
        }
        if self.waits {
            tracing::info!(discovery = %self.discovery, "a watch has fallen silent: opened anew");
            self.hang_up(reactor);
            self.ask(reactor, 0.0);
        } else {
            self.failed(reactor);
        }
    }

    fn after(&mut self, reactor: &mut Reactor, caller: Caller) {
        match caller.answer {
            Some(Ok((list, keeps))) if self.calling => {
                if !keeps {
                    self.hang_up(reactor);
                }
                self.told(reactor, list);
            }
            Some(_) => self.failed(reactor),
            None => {}
        }
        if let Some(session) = &self.session {
            reactor.rearm(session.connection.stream(), session.key, session.connection.interest());
        }
    }

    /// The version that this node acts on, by its number and what it means; `None` where it holds none.
    pub fn version(&self) -> Option<(u64, Digest)> {
        match &self.passed {
            Some((number, digest, _)) => Some((*number, *digest)),
            None => Some((self.revision?, meaning(self.held.as_ref()?.0.values()))),
        }
    }

    /// Whether that may have changed since this was asked last.
    pub fn fresh(&mut self) -> bool {
        std::mem::take(&mut self.fresh)
    }

    /// Where discovery is.
    pub fn discovery(&self) -> SocketAddr {
        self.discovery
    }

    /// What this node acts on, to be passed on.
    pub fn body(&self) -> Option<Vec<u8>> {
        let (number, digest) = self.version()?;
        let members =
            self.passed.as_ref().map_or(self.held.as_ref().map(|held| &held.0), |passed| Some(&passed.2));
        let members: Vec<&RawMember> = members?.values().collect();
        postcard::to_stdvec(&(number, digest, members)).ok()
    }

    /// Takes a list that another node passes on, if it is newer than what this one acts on; its version, if it is. Where workers are
    /// is this node's own discovery's to say: of one that it has not named nothing is known. Danger: what is older must never
    /// take the place of newer.
    pub fn take(&mut self, reactor: &mut Reactor, body: &[u8]) -> Option<(u64, Digest)> {
        let (number, digest, members): (u64, Digest, Vec<RawMember>) = postcard::from_bytes(body).ok()?;
        let newer = self.version().is_some_and(|(held, _)| number > held);
        if !newer || meaning(&members) != digest {
            return None;
        }
        let (held, _) = self.held.as_ref()?;
        let passed: BTreeMap<String, RawMember> = members.into_iter().map(|m| (m.id.clone(), m)).collect();
        let members = held.values().map(|own| overlaid(own, &passed)).collect();
        let list = List { revision: number, complete: false, members };
        reactor.queue.push_back(Input::Farm(ListKind::Passed, list.members(&self.settings)));
        self.passed = Some((number, digest, passed));
        Some((number, digest))
    }

    fn told(&mut self, reactor: &mut Reactor, mut list: List) {
        // Changes to another list than the one held can't be applied: the whole one is asked for at once.
        let stale = !list.complete && self.revision.is_none_or(|held| list.revision < held);
        self.revision = (!stale).then_some(list.revision);
        if !stale {
            self.hunger = None;
            if let Some((held, changed)) = &mut self.held {
                if list.complete {
                    held.clear();
                }
                *changed |= list.complete || !list.members.is_empty();
                for member in &list.members {
                    if member.phase == "terminated" {
                        held.remove(&member.id);
                    } else {
                        held.insert(member.id.clone(), member.clone());
                    }
                }
            }
            self.fresh = true;
            // Discovery has caught up with what was passed on, or is still behind it.
            if self.passed.as_ref().is_some_and(|(number, ..)| list.revision >= *number) {
                self.passed = None;
            }
            if let Some((_, _, passed)) = &self.passed {
                list.members.iter_mut().for_each(|member| *member = overlaid(member, passed));
            }
            let kind = if list.complete { ListKind::Full } else { ListKind::Delta };
            reactor.queue.push_back(Input::Farm(kind, list.members(&self.settings)));
        }
        self.ask(reactor, WAIT);
    }

    /// This node's place among the nodes that it knows, and their number.
    pub fn place(&mut self, (at, of): (usize, usize)) {
        if let Some(hunger) = &mut self.hunger {
            hunger.place(at, of);
        }
    }

    fn failed(&mut self, reactor: &mut Reactor) {
        self.hang_up(reactor);
        if std::mem::take(&mut self.calling) {
            if let Some(hunger) = &mut self.hunger {
                let after = hunger.wait();
                tracing::debug!(discovery = %self.discovery, again_in_s = after, "no list could be had yet");
                return reactor.timer(reactor.now + after, Due::FarmAgain);
            }
            tracing::warn!(discovery = %self.discovery, "a call to discovery failed");
            reactor.queue.push_back(Input::Farm(ListKind::Failed, Vec::new()));
        }
    }

    fn hang_up(&mut self, reactor: &mut Reactor) {
        if let Some(session) = self.session.take() {
            reactor.forget(session.connection.stream());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a node without a worker that waits for its turn to ask, gives up when discovery is not up
    /// yet, or calls on after it has been told a list.
    #[test]
    fn a_node_without_a_list_asks_until_it_has_one() {
        use std::io::Write as _;
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        drop(listener);
        let settings = Settings::from_json(r#"{"discovery": "on_request"}"#).expect("sound settings");
        let mut farm = Farm::new(at, settings, None, 7);
        farm.start(&mut reactor);
        let mut waits = Vec::new();
        for _ in 0..4 {
            // A refused connection is told by the poller, or at once.
            if let Some(key) = farm.session.as_ref().map(|s| s.key) {
                farm.ready(&mut reactor, key, true, true);
            }
            assert!(!farm.calling, "it was refused");
            let asked = reactor.now;
            while !farm.calling {
                reactor.now += 0.002;
                for due in reactor.due() {
                    match due {
                        Due::FarmAgain => farm.again(&mut reactor),
                        Due::Farm(call) => farm.due(&mut reactor, call),
                        _ => {}
                    }
                }
            }
            waits.push(reactor.now - asked);
        }
        assert!((0.1..0.11).contains(&waits[0]), "{waits:?}");
        assert!(waits[1] < 0.21 && waits[2] < 0.41 && waits[3] < 0.81, "{waits:?}");
        assert!(reactor.queue.is_empty(), "the dispatcher has nothing to do with it");
        farm.failed(&mut reactor);
        let listener = std::net::TcpListener::bind(at).expect("the port again");
        farm.again(&mut reactor);
        let (mut peer, _) = listener.accept().expect("a connection");
        let body = r#"{"revision":1,"complete":true,"members":[]}"#;
        write!(peer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
            .expect("it is written");
        let key = farm.session.as_ref().map(|s| s.key).expect("a connection");
        farm.ready(&mut reactor, key, true, true);
        assert!(matches!(reactor.queue.pop_front(), Some(Input::Farm(ListKind::Full, _))));
        assert!(farm.calling && farm.hunger.is_none(), "a watch, and no more calls of its own");
        farm.failed(&mut reactor);
        assert!(matches!(reactor.queue.pop_front(), Some(Input::Farm(ListKind::Failed, _))));
    }

    /// Guards against a watch that has fallen silent and is waited for until after what it missed counts as told, 2 s after
    /// its wait; and against silence that is told as a failure, after which the dispatcher takes its time to ask.
    #[test]
    fn a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told() {
        use std::io::Write as _;
        let list = |peer: &mut TcpStream| {
            let body = r#"{"revision":5,"complete":false,"members":[]}"#;
            write!(peer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).expect("written");
        };
        for seed in [0, 1023] {
            let mut reactor = Reactor::new(1000.0).expect("a reactor");
            let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
            let at = listener.local_addr().expect("an address");
            let settings = Settings::from_json(r#"{"discovery": "on_request"}"#).expect("sound settings");
            let mut farm = Farm::new(at, settings, Some(5), seed);
            farm.watch(&mut reactor);
            let (mut peer, _) = listener.accept().expect("a connection");
            list(&mut peer);
            let key = farm.session.as_ref().map(|s| s.key).expect("a connection");
            farm.ready(&mut reactor, key, true, true);
            reactor.queue.clear();
            let (asked, first) = (reactor.now, farm.call);
            let wait = |farm: &mut Farm, reactor: &mut Reactor, call: u64| {
                while farm.call == call && farm.calling && reactor.now < asked + 60.0 {
                    reactor.now += 0.01;
                    for due in reactor.due() {
                        if let Due::Farm(call) = due {
                            farm.due(reactor, call);
                        }
                    }
                }
                reactor.now - asked
            };
            let took = wait(&mut farm, &mut reactor, first);
            assert!((WAIT + 0.8..WAIT + 1.5).contains(&took), "seed {seed}: opened anew after {took} s");
            assert!(
                farm.calling && reactor.queue.is_empty(),
                "at once, and the dispatcher has nothing to do with it"
            );
            listener.accept().expect("on a connection of its own");
            // That one is silent, too: now discovery is down.
            let call = farm.call;
            let took = wait(&mut farm, &mut reactor, call) - took;
            assert!((2.4..2.6).contains(&took), "seed {seed}: {took} s");
            assert!(matches!(reactor.queue.pop_front(), Some(Input::Farm(ListKind::Failed, _))));
        }
    }

    /// Guards against a start with an older list than the one that was held, or with one whose versions mean
    /// nothing here; against a kept list that misses changes, or holds what has gone.
    #[test]
    fn the_newer_list_counts_at_a_start() {
        let member = |id: &str, phase: &str| {
            format!(r#"{{"id":"{id}","host_port":"10.0.0.1:80","phase":"{phase}","cell":2}}"#)
        };
        let list = |revision: u64, complete: bool, members: &[String]| {
            let members = members.join(",");
            let text = format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#);
            List::from_json(text.as_bytes()).expect("a list")
        };
        let at: SocketAddr = ([127, 0, 0, 1], 1).into();
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let settings = Settings::from_json(r#"{"discovery": "on_request"}"#).expect("sound settings");
        let mut farm = Farm::new(at, settings, Some(5), 7);
        farm.hold(Some(&list(5, true, &[member("a", "in_service")])));
        assert!(farm.changed().is_none());
        let changes = [member("a", "terminated"), member("b", "in_service"), member("c", "terminating")];
        farm.told(&mut reactor, list(8, false, &changes));
        let kept = farm.changed().expect("it has changed");
        assert!(farm.changed().is_none(), "it was taken");
        let start = |known: Option<List>, discovery: SocketAddr| {
            let list = Kept::from_json(&kept).expect("a list").or(known, discovery).expect("a list");
            (list.revision, list.members.iter().map(|m| m.id.clone()).collect::<Vec<_>>().join(","))
        };
        assert_eq!(start(Some(list(7, true, &[member("x", "in_service")])), at), (8, "b,c".into()));
        assert_eq!(start(Some(list(9, true, &[member("x", "in_service")])), at), (9, "x".into()));
        let moved = ([127, 0, 0, 1], 2).into();
        assert_eq!(start(Some(list(7, true, &[member("x", "in_service")])), moved), (7, "x".into()));
        assert_eq!(start(None, moved), (8, "b,c".into()));
        assert_eq!(start(Some(list(9, true, &[])), at), (8, "b,c".into()), "one without a worker is none");
    }

    /// Guards against a start that is lost in the change of clocks (0 stays 0), names joined to wrong numbers,
    /// and an entry that can't be read taking the others with it or being sent to.
    #[test]
    fn members_are_joined_by_name() {
        let settings = r#"{"dcs": ["riga", "liepaja"], "machine-types": ["std-4", "eco-4"]}"#;
        let settings = Settings::from_json(settings).expect("sound settings");
        let text = br#"{"revision": 3, "complete": true, "members": [
            {"id": "a", "host_port": "10.0.0.1:80", "locality": "liepaja", "flavor": "eco-4", "cell": 7, "phase": "in_service", "size": 1.5, "up_since_ms": 0},
            {"id": "b", "host_port": "nowhere", "phase": "in_service"},
            {"id": "c", "host_port": "10.0.0.3:80", "locality": "mars", "phase": "terminating", "up_since_ms": 1764586800250},
            {"id": "d", "host_port": "10.0.0.4:80", "phase": "new-word", "more": [1]},
            {"id": "e", "host_port": "10.0.0.5:80", "phase": "terminated"}]}"#;
        let members = List::from_json(text).expect("a list").members(&settings);
        let ids: Vec<&str> = members.iter().map(|m| m.id.as_str()).collect();
        assert_eq!(ids, ["a", "c", "d", "e"]);
        let entry = |n: usize| &members[n].entry;
        assert_eq!((entry(0).zone, entry(0).kind, entry(0).cell, entry(0).size), (1, 1, 7, 1.5));
        assert_eq!((entry(0).started, entry(1).started), (0.0, 1_764_586_800.25));
        assert_eq!((entry(1).zone, entry(1).kind), (u8::MAX, u16::MAX));
        let health: Vec<Health> = members.iter().map(|m| m.entry.health).collect();
        assert_eq!(health, [Health::Ready, Health::Draining, Health::Draining, Health::Gone]);
    }
}
