//! Discovery's list of workers and the calls for it. When one is made is `watch`'s to say.

use super::watch::{Call, CallId, START_PATIENCE, Schedule};
use crate::decision::affinity;
use crate::decision::interface::{Entry, Health, ListKind, NO_CELL, NO_ZONE, Settings};
use crate::net::messages::{Input, Member};
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{self, Read};
use crate::net::transport::reactor::{self, Owner, Reactor, Timer};
use postproxy_version_tracking::Digest;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};

/// Where these logs stand in levels by module: a published path, which stays.
const TARGET: &str = "postproxy::net::upstream::worker_list";
/// Longest list that is read.
const MOST_LIST: usize = 8 << 20;
/// A member as discovery tells it, and as nodes pass it on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
struct RawMember {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default = "no_cell")]
    cell: u16,
    phase: String,
    #[serde(default)]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn no_cell() -> u16 {
    NO_CELL
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
        let own = List {
            revision: self.revision,
            complete: true,
            members: self.members,
        };
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
                identity: affinity::number_of(m.id.as_bytes()),
                zone: at(&settings.zone_names, &m.locality).map_or(NO_ZONE, |z| z as u8),
                kind: at(&settings.kind_names, &m.flavor).map_or(u16::MAX, |k| k as u16),
                cell: m.cell,
                health: match m.phase.as_str() {
                    "in_service" => Health::Ready,
                    "terminated" => Health::Removed,
                    _ => Health::Draining, // an unknown phase gets nothing new
                },
                size: m.size,
                started: m.up_since_ms / 1000.0,
                ..Entry::default()
            };
            Some(Member {
                id: m.id,
                address,
                entry,
            })
        };
        self.members.into_iter().filter_map(member).collect()
    }
}

/// A connection to discovery, and the call that is out on it.
struct Session {
    connection: Connection<TcpStream>,
    key: usize,
    call: Option<CallId>,
    /// The connection has been made.
    opened: bool,
}

/// What members mean, whatever their order and wherever this node reaches them.
fn meaning<'a>(members: impl IntoIterator<Item = &'a RawMember>) -> Digest {
    let line = |m: &RawMember| {
        let RawMember {
            id,
            locality,
            flavor,
            cell,
            phase,
            size,
            up_since_ms,
            ..
        } = m;
        format!("{id}\n{locality}\n{flavor}\n{cell}\n{phase}\n{size}\n{up_since_ms}")
    };
    let mut lines: Vec<String> = members
        .into_iter()
        .filter(|m| m.phase != "terminated")
        .map(line)
        .collect();
    lines.sort_unstable();
    postproxy_version_tracking::digest(lines.iter().map(String::as_bytes))
}

/// A member as another list has it, at the address that this node knows; one that the other list does not have is gone.
fn overlaid(own: &RawMember, passed: &BTreeMap<String, RawMember>) -> RawMember {
    match passed.get(&own.id) {
        Some(newer) => RawMember {
            host_port: own.host_port.clone(),
            ..newer.clone()
        },
        None => RawMember {
            phase: "terminated".to_owned(),
            ..own.clone()
        },
    }
}

/// What is known of the list that the node starts with.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    /// Discovery has not been called.
    Unchecked,
    /// Its answer is waited for until this time.
    Asked(f64),
    /// Discovery has answered, can't be reached, or has been silent for too long.
    Over,
}

/// The watch on discovery's list.
pub struct WorkerList {
    discovery: SocketAddr,
    settings: Settings,
    /// The version that this node holds; `None` where only the whole list will do.
    revision: Option<u64>,
    schedule: Schedule,
    start: Start,
    /// The time for which a look at the schedule is set, if any is.
    looks: Option<f64>,
    /// Of two, the older one first.
    sessions: Vec<Session>,
    dial_timeout: f64,
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
    opened: bool,
}

impl Callbacks<TcpStream> for Caller {
    fn opened(&mut self, _: &mut Connection<TcpStream>) {
        self.opened = true;
    }

    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        match http::read_response(&connection.input, connection.read_side_closed(), MOST_LIST) {
            Ok(Read::Whole(response, size)) => {
                connection.consume(size);
                let list = (response.status == 200)
                    .then(|| List::from_json(&response.body).ok())
                    .flatten();
                let keeps = response.keeps && !connection.read_side_closed();
                self.answer = Some(list.map(|list| (list, keeps)).ok_or(()));
            }
            Ok(_) if !connection.read_side_closed() && !connection.is_full() => {}
            Ok(_) | Err(_) => self.answer = Some(Err(())),
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        self.answer.get_or_insert(Err(()));
    }
}

impl WorkerList {
    /// No watch yet; `known` is the version of the list that the node starts with, if that names a worker.
    pub fn new(discovery: SocketAddr, settings: Settings, known: Option<u64>, seed: u64) -> Self {
        let dial_timeout = settings.dial_timeout.max(0.25);
        let schedule = Schedule::new(settings.dispatcher_count, seed);
        Self {
            discovery,
            settings,
            revision: known,
            schedule,
            start: Start::Unchecked,
            looks: None,
            sessions: Vec::new(),
            dial_timeout,
            passed: None,
            fresh: true,
            held: None,
        }
    }

    /// Holds the whole list from now on, beginning with this one, so that it can be kept.
    pub fn retain_list(&mut self, known: Option<&List>) {
        let members = known.map(|list| list.members.clone()).unwrap_or_default();
        self.held = Some((
            members.into_iter().map(|m| (m.id.clone(), m)).collect(),
            false,
        ));
    }

    /// The list to keep, if it has changed since it was last asked for.
    pub fn take_changed_snapshot(&mut self) -> Option<Vec<u8>> {
        let (_, changed) = self.held.as_mut().filter(|_| self.revision.is_some())?;
        if std::mem::take(changed) {
            self.snapshot()
        } else {
            None
        }
    }

    /// The whole list as it is held.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        let (revision, (members, _)) = (self.revision?, self.held.as_ref()?);
        let members = members.values().cloned().collect();
        serde_json::to_vec(&Kept {
            discovery: self.discovery,
            revision,
            members,
        })
        .ok()
    }

    /// Goes by the list of another process of this node, where it is the newer one, and watches from its version
    /// on: this process is bound by the news in a moment.
    pub fn adopt_snapshot(&mut self, reactor: &mut Reactor, kept: &[u8]) {
        let Some(kept) = Kept::from_json(kept).filter(|kept| kept.discovery == self.discovery)
        else {
            return;
        };
        if self.revision.is_none_or(|own| kept.revision >= own) && !kept.members.is_empty() {
            let list = List {
                revision: kept.revision,
                complete: true,
                members: kept.members,
            };
            self.hang_up(reactor);
            self.take_in(reactor, list);
            self.schedule.moved(reactor.now);
            self.look(reactor);
        }
    }

    /// Calls from now on, until the node ends.
    pub fn start(&mut self, reactor: &mut Reactor) {
        self.start = match self.revision {
            Some(_) => Start::Asked(reactor.now + START_PATIENCE),
            // Without a list nothing can be sent by an old one.
            None => Start::Over,
        };
        if let Start::Asked(until) = self.start {
            reactor.set_timer(until, Timer::Discovery);
        }
        // What is pushed counts from the first moment, and without a list there is nothing to lose.
        let spread = self.revision.is_some() && self.settings.discovery_on_request;
        self.schedule.start(reactor.now, spread);
        self.look(reactor);
    }

    /// Whether jobs may be sent by the list that is held: discovery has been asked since the start, as far as it could be reached.
    pub fn is_initialized(&self) -> bool {
        self.start == Start::Over
    }

    /// Discovery is at this address now. Its versions may be others than those of the old one, so the whole
    /// list is asked for, at once: what it has to tell counts as told soon. The workers stay known meanwhile.
    pub fn set_discovery_address(&mut self, reactor: &mut Reactor, discovery: SocketAddr) {
        if discovery != self.discovery {
            self.hang_up(reactor);
            (self.discovery, self.revision, self.passed) = (discovery, None, None);
            self.schedule.moved(reactor.now);
            self.look(reactor);
        }
    }

    /// Makes the calls that are due, and has itself woken for the next one.
    fn look(&mut self, reactor: &mut Reactor) {
        while let Some(call) = self.schedule.due(reactor.now, self.revision.is_some()) {
            self.make(reactor, call);
        }
        if let Some(at) = self
            .schedule
            .wakes()
            .filter(|at| self.looks.is_none_or(|looks| *at < looks))
        {
            self.looks = Some(at);
            reactor.set_timer(at, Timer::Discovery);
        }
    }

    /// The time has come for which a look was set.
    pub fn handle_timer(&mut self, reactor: &mut Reactor) {
        // One for an earlier time than the schedule's present one finds nothing due and sets the next.
        self.looks = None;
        if matches!(self.start, Start::Asked(until) if until <= reactor.now) {
            self.start = Start::Over;
        }
        self.look(reactor);
    }

    fn make(&mut self, reactor: &mut Reactor, call: Call) {
        let target = match self.revision {
            Some(revision) => {
                let wait = (call.wait.unwrap_or(0.0) * 1000.0).max(1.0) as u64;
                format!("/api/targets?since={revision}&timeout_ms={wait}")
            }
            None => "/api/targets".to_owned(),
        };
        let host = self.discovery.to_string();
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, "GET", &target, &[("Host", &host)], b"");
        if let Some(silent) = call.ends {
            tracing::info!(target: TARGET, discovery = %self.discovery, "a call to discovery has fallen silent");
            self.drop_session(reactor, |session| session.call == Some(silent));
        }
        let at = match self
            .sessions
            .iter()
            .position(|session| session.call.is_none())
        {
            Some(at) => at,
            None => {
                let dialed = reactor::dial(self.discovery).and_then(|stream| {
                    let key = reactor.register(&stream, Owner::Discovery)?;
                    let connection = Connection::new(stream, true, MOST_LIST);
                    Ok(Session {
                        connection,
                        key,
                        call: None,
                        opened: false,
                    })
                });
                let Ok(session) = dialed else {
                    return self.unreachable(reactor, call.id);
                };
                reactor.set_timer(
                    reactor.now + self.dial_timeout,
                    Timer::DiscoveryDial(call.id),
                );
                self.sessions.push(session);
                self.sessions.len() - 1
            }
        };
        let (session, mut caller) = (&mut self.sessions[at], Caller::default());
        session.call = Some(call.id);
        session.connection.send(&bytes, &mut caller);
        let key = session.key;
        self.after(reactor, key, caller);
    }

    /// The connection can be read or written.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) {
        let Some(session) = self.sessions.iter_mut().find(|s| s.key == key) else {
            return;
        };
        let mut caller = Caller::default();
        session
            .connection
            .handle_ready(readable, writable, &mut caller);
        self.after(reactor, key, caller);
    }

    /// The connection has had its time to be made.
    pub fn handle_dial_timer(&mut self, reactor: &mut Reactor, call: CallId) {
        let dialing = |s: &Session| s.call == Some(call) && s.connection.state() == State::Dialing;
        if self.sessions.iter().any(dialing) {
            self.drop_session(reactor, dialing);
            self.unreachable(reactor, call);
        }
    }

    fn after(&mut self, reactor: &mut Reactor, key: usize, caller: Caller) {
        let Some(session) = self.sessions.iter_mut().find(|s| s.key == key) else {
            return;
        };
        session.opened |= caller.opened;
        let opened = session.opened;
        match (caller.answer, session.call) {
            (Some(Ok((list, keeps))), Some(call)) => {
                self.start = Start::Over;
                // Danger: an older answer on another connection must not come after this one.
                self.drop_session(reactor, |s| s.key != key || !keeps);
                self.sessions.iter_mut().for_each(|s| s.call = None);
                let news = self.take_in(reactor, list);
                self.schedule.answered(reactor.now, call, news);
            }
            (Some(_), call) => {
                self.drop_session(reactor, |s| s.key == key);
                match call {
                    Some(call) if opened => self.failed(reactor, call),
                    Some(call) => self.unreachable(reactor, call),
                    None => {}
                }
            }
            (None, _) => {}
        }
        self.look(reactor);
        if let Some(session) = self.sessions.iter().find(|s| s.key == key) {
            reactor.rearm(
                session.connection.stream(),
                key,
                session.connection.interest(),
            );
        }
    }

    /// How many calls have been made so far.
    pub fn call_count(&self) -> u64 {
        self.schedule.made()
    }

    /// How many are out.
    pub fn open_call_count(&self) -> usize {
        self.schedule.out()
    }

    /// The version that this node acts on, by its number and what it means; `None` where it holds none.
    pub fn version(&self) -> Option<(u64, Digest)> {
        match &self.passed {
            Some((number, digest, _)) => Some((*number, *digest)),
            None => Some((self.revision?, meaning(self.held.as_ref()?.0.values()))),
        }
    }

    /// Whether that may have changed since this was asked last.
    pub fn take_version_changed(&mut self) -> bool {
        std::mem::take(&mut self.fresh)
    }

    /// Where discovery is.
    pub fn discovery_address(&self) -> SocketAddr {
        self.discovery
    }

    /// What this node acts on, to be passed on.
    pub fn body(&self) -> Option<Vec<u8>> {
        let (number, digest) = self.version()?;
        let members = self
            .passed
            .as_ref()
            .map_or(self.held.as_ref().map(|held| &held.0), |passed| {
                Some(&passed.2)
            });
        let members: Vec<&RawMember> = members?.values().collect();
        postcard::to_stdvec(&(number, digest, members)).ok()
    }

    /// Takes a list that another node passes on, if it is newer than what this one acts on; its version, if it is. Where workers are
    /// is this node's own discovery's to say: of one that it has not named nothing is known. Danger: what is older must never
    /// take the place of newer.
    pub fn apply_peer_list(&mut self, reactor: &mut Reactor, body: &[u8]) -> Option<(u64, Digest)> {
        let (number, digest, members): (u64, Digest, Vec<RawMember>) =
            postcard::from_bytes(body).ok()?;
        let newer = self.version().is_some_and(|(held, _)| number > held);
        if !newer || meaning(&members) != digest {
            return None;
        }
        let (held, _) = self.held.as_ref()?;
        let passed: BTreeMap<String, RawMember> =
            members.into_iter().map(|m| (m.id.clone(), m)).collect();
        let members = held.values().map(|own| overlaid(own, &passed)).collect();
        let list = List {
            revision: number,
            complete: false,
            members,
        };
        reactor.queue.push_back(Input::WorkerListReceived {
            kind: ListKind::FromPeer,
            workers: list.members(&self.settings),
        });
        self.passed = Some((number, digest, passed));
        Some((number, digest))
    }

    /// Takes what discovery has told; whether it is anything new.
    fn take_in(&mut self, reactor: &mut Reactor, mut list: List) -> bool {
        // Changes to another list than the one held can't be applied, and an older list must not take the place of a newer
        // one: the whole one is asked for at once. What answers that is taken as it comes: versions may have begun anew.
        let stale = match self.revision {
            Some(held) => list.revision < held,
            None => !list.complete,
        };
        let news = stale
            || list.complete
            || !list.members.is_empty()
            || self.revision != Some(list.revision);
        self.revision = (!stale).then_some(list.revision);
        if !stale {
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
            if self
                .passed
                .as_ref()
                .is_some_and(|(number, ..)| list.revision >= *number)
            {
                self.passed = None;
            }
            if let Some((_, _, passed)) = &self.passed {
                list.members
                    .iter_mut()
                    .for_each(|member| *member = overlaid(member, passed));
            }
            let kind = if list.complete {
                ListKind::Full
            } else {
                ListKind::Delta
            };
            reactor.queue.push_back(Input::WorkerListReceived {
                kind,
                workers: list.members(&self.settings),
            });
        }
        news
    }

    /// This node's place among the nodes that it knows, and their number.
    pub fn set_cluster_position(&mut self, (at, of): (usize, usize)) {
        self.schedule.place(at, of);
    }

    /// No connection came up: what discovery has can't be known, and the node serves by the list that it holds.
    fn unreachable(&mut self, reactor: &mut Reactor, call: CallId) {
        self.start = Start::Over;
        self.failed(reactor, call);
    }

    fn failed(&mut self, reactor: &mut Reactor, call: CallId) {
        tracing::warn!(target: TARGET, discovery = %self.discovery, "a call to discovery failed");
        self.schedule.failed(reactor.now, call);
        self.look(reactor);
    }

    fn hang_up(&mut self, reactor: &mut Reactor) {
        self.drop_session(reactor, |_| true);
    }

    fn drop_session(&mut self, reactor: &mut Reactor, which: impl Fn(&Session) -> bool) {
        for session in self.sessions.extract_if(.., |session| which(session)) {
            reactor.deregister(session.connection.stream());
        }
    }
}
