//! The other nodes: it moves datagrams and words over streams to and from the machine that knows who is there, and words
//! what the operators' door is asked.

use crate::net::cluster::coordination::{self, AdminRequest, CoordinationService};
use crate::net::cluster::peer_connections::{PeerConnections, PeerEvent};
use crate::net::cluster::versions::{self, Audit};
use crate::net::store_adapter::RecoveredState;
use crate::net::transport::reactor::{Owner, Reactor, Timer};
use crate::operator_config::{AuditSection, DutiesSection, FleetSection};
use postproxy_coordination::StorageChange;
use postproxy_membership::{
    ForgetError, MemberState, Membership, MembershipEvent, Output, SuspensionChange,
    WorkerSuspension,
};
use postproxy_streams::Streams;
use postproxy_version_tracking::{Kind, Source, VersionRecord};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};

/// Datagrams read in one turn of the loop: other nodes never hold up a job.
const MOST_READ: usize = 64;
/// How often it is looked whether an older process of this node has left the place free.
const PLACE: f64 = 0.05;
/// A caller waits 1 s; own time may go slower than that.
const ANSWER: f64 = 0.8;
/// So long after it has taken its place a node knows what the fleet has said of workers; what it alone knows it tells then.
const SETTLED: f64 = 3.0;
/// A port that the system chose for datagrams may be taken for streams: it chooses again, so often.
const CHOICES: usize = 16;
/// What is dropped is logged so often, in seconds.
const DROPS: f64 = 60.0;

/// What the node is to know of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker is out of use for the fleet, or back in it.
    Ban(String, bool),
    /// So many nodes may be there, 0 where no other is known; and this one's place among those heard, and their number.
    Nodes(usize, (usize, usize)),
    /// A caller at the door is to be told that its ban holds at so many of so many nodes.
    Held(usize, usize, usize),
    /// It knows what the fleet has said: what this node alone knows of workers is to be told.
    Settled,
    /// Write these; [`ClusterService::handle_write_completed`] is told what became of it.
    Write(Vec<StorageChange>),
    /// Answer a caller at the door.
    Tell(usize, u16, String),
    /// That node wants what this one holds of a kind: [`ClusterService::send_worker_list`].
    Give(String, Kind),
    /// That node passes on a list of this generation.
    Passed(String, u64, Vec<u8>),
}

/// A node as the door shows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Grows with each life.
    pub incarnation: u64,
    /// `here`, `alive`, `suspect`, `failed` or `left`.
    pub state: String,
    /// Whether it votes.
    pub voter: bool,
    /// Whether it leads those that vote, as far as this node knows.
    #[serde(default)]
    pub leads: bool,
}

/// What the door shows of the fleet.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClusterStatus {
    /// The fleet's name.
    pub cluster: String,
    /// The name of the node that tells.
    pub node: String,
    /// Whether it is a member itself; else who bears its name, if that is why.
    pub member: bool,
    /// See above.
    pub namesake: Option<SocketAddr>,
    /// How things stand.
    pub standing: String,
    /// Why.
    pub reasons: Vec<String>,
    /// All that are known, this node first.
    pub members: Vec<MemberStatus>,
    /// Nodes that it should hear directly and does not.
    pub unheard: Vec<String>,
    /// How far this process is from well (0 to 8), and the seconds that it has missed.
    pub ill: f64,
    /// See above.
    pub missed_s: f64,
    /// Workers out of use for the fleet.
    pub bans: Vec<String>,
    /// Datagrams and streams dropped, by why.
    pub dropped: std::collections::BTreeMap<String, u64>,
}

struct Place {
    socket: UdpSocket,
    key: usize,
    members: Membership,
    peer_connections: PeerConnections,
    /// Lists that others have passed on, to be looked at: by whom, of which generation.
    passed: Vec<(String, u64, Vec<u8>)>,
    /// What the nodes decide together, where that is on.
    coordination: Option<CoordinationService>,
    /// Which node acts on which version, where that is on.
    audit: Option<Audit>,
    /// When it is settled, if that is to come.
    settled: f64,
}

impl Place {
    /// Takes in what has come over streams.
    fn heed(
        &mut self,
        now: f64,
        heard: Vec<PeerEvent>,
        out: &mut Vec<Output>,
    ) -> Vec<coordination::Do> {
        let mut todo = Vec::new();
        for heard in heard {
            match heard {
                PeerEvent::Message {
                    from,
                    message: word,
                    ..
                } if word.starts_with(&versions::PREFIX) => {
                    if self.audit.is_some()
                        && let Ok((generation, body)) =
                            postcard::take_from_bytes::<u64>(&word[versions::PREFIX.len()..])
                    {
                        self.passed.push((from, generation, body.to_vec()));
                    }
                }
                PeerEvent::Message {
                    from,
                    message: word,
                    ..
                } => {
                    match self
                        .coordination
                        .as_mut()
                        .and_then(|coordination| coordination.receive(now, &from, &word))
                    {
                        Some(more) => todo.extend(more),
                        None => self.members.handle_stream_message(now, &word, out),
                    }
                }
                // What was dropped is told again when digests differ.
                PeerEvent::PeerRestarted { node: name } => {
                    tracing::debug!(name, "a node in a new life: what waited for it is dropped");
                    if let Some(coordination) = &mut self.coordination {
                        coordination.reconnected(&name);
                    }
                }
            }
        }
        todo
    }

    /// Where a node is, as far as this one knows.
    fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members
            .peers()
            .find(|(id, _)| &*id.name == name)
            .map(|(id, _)| id.address)
    }

    /// Datagrams and streams dropped, by why.
    fn dropped(&self) -> std::collections::BTreeMap<String, u64> {
        let datagrams = self
            .members
            .dropped()
            .iter()
            .map(|(flaw, n)| (flaw.as_str().to_owned(), *n));
        datagrams
            .chain(
                self.peer_connections
                    .dropped()
                    .iter()
                    .map(|(flaw, n)| (flaw.as_str().to_owned(), *n)),
            )
            .collect()
    }
}

/// The other nodes.
pub struct ClusterService {
    section: FleetSection,
    duties: Option<DutiesSection>,
    audit: Option<AuditSection>,
    name: String,
    /// None while an older process of this node holds it, and after this one has let go.
    place: Option<Place>,
    /// It has let go.
    over: bool,
    /// What is kept from an earlier life.
    restored: Vec<WorkerSuspension>,
    /// The same of what the nodes decide together.
    council: Vec<(Vec<u8>, Vec<u8>)>,
    /// Looks asked for: the latest, and when it comes.
    look: (u64, f64),
    /// Callers at the door by their ticket, and when they are answered at the latest.
    callers: HashMap<u64, (usize, f64)>,
    /// What the node was told last of how many there are, and of its place.
    told: (usize, (usize, usize)),
    /// The digest of the bans that are kept.
    kept: u64,
    /// Datagrams dropped when they were logged last, and when that was.
    logged: (u64, f64),
}

impl ClusterService {
    /// Takes its place among the nodes; where an older process of this node may hold it, waits for that.
    ///
    /// # Errors
    ///
    /// In plain words, if it can't be listened there, or the node has no name.
    pub fn start(
        reactor: &mut Reactor,
        section: FleetSection,
        (duties, audit): (Option<DutiesSection>, Option<AuditSection>),
        name: &str,
        kept: RecoveredState,
        shared: bool,
    ) -> Result<(Self, Vec<Event>), String> {
        if name.is_empty() || name.len() > postproxy_membership::MAX_NAME_BYTES {
            return Err(format!(
                "fleet: the node's name '{name}' must have 1 to 64 bytes"
            ));
        }
        let restored = postcard::from_bytes(&kept.bans).unwrap_or_default();
        let (place, callers) = (None, HashMap::new());
        let (look, logged) = ((0, f64::INFINITY), (0, reactor.now));
        let name = name.to_owned();
        let mut fleet = Self {
            section,
            duties,
            audit,
            name,
            place,
            over: false,
            restored,
            council: kept.council,
            look,
            callers,
            told: (0, (0, 1)),
            kept: 0,
            logged,
        };
        let mut events = Vec::new();
        match fleet.take_place(reactor) {
            Ok(todo) => events = fleet.do_all(reactor, todo),
            Err(error) if shared && error.kind() == ErrorKind::AddrInUse => {
                tracing::info!(listen = %fleet.section.listen, "waiting for the place among the nodes");
            }
            Err(error) => return Err(format!("fleet.listen: {}: {error}", fleet.section.listen)),
        }
        fleet.plan(reactor);
        Ok((fleet, events))
    }

    fn take_place(&mut self, reactor: &mut Reactor) -> std::io::Result<Vec<coordination::Do>> {
        // The life must differ from every other's: from the system's own chance, not from the seed.
        let seed = RandomState::new().build_hasher().finish();
        let (socket, peer_connections) = self.sockets(reactor, seed)?;
        let key = reactor.register(&socket, Owner::Peers)?;
        reactor.rearm(&socket, key, (true, false));
        let told = self.section.told(socket.local_addr()?);
        let started = (reactor.now * 1000.0) as u64;
        let mut members = Membership::new(
            self.section.settings(),
            &self.name,
            told,
            started,
            seed,
            reactor.now,
        );
        members.restore_suspensions(self.restored.drain(..));
        self.kept = members.suspensions_digest();
        tracing::info!(name = self.name, address = %told, cluster = self.section.cluster, "among the nodes");
        let settled = reactor.now + SETTLED;
        let council = self
            .duties
            .as_ref()
            .map(|section| postproxy_coordination::Settings {
                name: self.name.clone(),
                cluster: self.section.cluster.clone(),
                founders: self.section.voters.iter().cloned().collect(),
                times: postproxy_coordination::LeaseTiming {
                    lease: section.lease_ms,
                    ..Default::default()
                },
                duties: ["bans".to_owned()].into(),
            });
        let kept = std::mem::take(&mut self.council);
        let (coordination, todo) = council
            .map(|set| CoordinationService::new(set, reactor.now, seed, kept))
            .unzip();
        let audit = self.audit.as_ref().map(|section| {
            let set = postproxy_version_tracking::Settings {
                beat_ms: section.beat_ms,
            };
            Audit::new(set, &self.name, reactor.now, seed)
        });
        let passed = Vec::new();
        self.place = Some(Place {
            socket,
            key,
            members,
            peer_connections,
            passed,
            coordination,
            audit,
            settled,
        });
        Ok(todo.unwrap_or_default())
    }

    /// A socket for datagrams and a listener for streams, at one address.
    fn sockets(
        &self,
        reactor: &mut Reactor,
        life: u64,
    ) -> std::io::Result<(UdpSocket, PeerConnections)> {
        let cluster = postproxy_membership::packet::cluster_number(&self.section.cluster);
        let mut choices = if self.section.listen.port() == 0 {
            CHOICES
        } else {
            1
        };
        loop {
            let socket = UdpSocket::bind(self.section.listen)?;
            socket.set_nonblocking(true)?;
            let streams = Streams::new(cluster, &self.name, life);
            choices -= 1;
            match PeerConnections::start(reactor, socket.local_addr()?, streams) {
                Err(error) if choices > 0 && error.kind() == ErrorKind::AddrInUse => {}
                peer_connections => return Ok((socket, peer_connections?)),
            }
        }
    }

    /// Has itself called when there is next something to do.
    fn plan(&mut self, reactor: &mut Reactor) {
        if self.over {
            return;
        }
        let at = match &self.place {
            Some(place) => [
                place.members.next_timeout(),
                place.peer_connections.next_timeout(),
                Some(place.settled),
                place.coordination.as_ref().map(CoordinationService::next),
                place.audit.as_ref().map(Audit::next),
            ]
            .into_iter()
            .flatten()
            .fold(f64::INFINITY, f64::min),
            None => reactor.now + PLACE,
        };
        let at = self
            .callers
            .values()
            .map(|(_, until)| *until)
            .fold(at, f64::min);
        if at < self.look.1 {
            self.look = (self.look.0 + 1, at);
            reactor.set_timer(at, Timer::Peers(self.look.0));
        }
    }

    /// The look of this number is due.
    pub fn handle_timer(&mut self, reactor: &mut Reactor, number: u64) -> Vec<Event> {
        if number != self.look.0 || self.over {
            return Vec::new(); // an earlier one took its place
        }
        self.look.1 = f64::INFINITY;
        let mut todo = Vec::new();
        if self.place.is_none() {
            match self.take_place(reactor) {
                Ok(first) => todo = first,
                Err(error) if error.kind() != ErrorKind::AddrInUse => {
                    tracing::error!(listen = %self.section.listen, %error, "no place among the nodes");
                }
                Err(_) => {}
            }
        }
        let (mut out, mut settled, mut told) = (Vec::new(), false, Vec::new());
        if let Some(place) = &mut self.place {
            place.members.handle_timeout(reactor.now, &mut out);
            for (ticket, _) in self
                .callers
                .iter()
                .filter(|(_, (_, until))| *until <= reactor.now)
            {
                place.members.expire_ticket(reactor.now, *ticket, &mut out);
            }
            let heard = place.peer_connections.handle_timeout(reactor);
            todo.extend(place.heed(reactor.now, heard, &mut out));
            if let Some(coordination) = place.coordination.as_mut() {
                todo.extend(coordination.turn(reactor.now));
            }
            if let Some(audit) = place.audit.as_mut() {
                told = audit.due(reactor.now);
            }
            if place.settled <= reactor.now {
                // As long as it is none of the nodes, it does not know what they have said.
                settled = place.members.is_member();
                place.settled = if settled {
                    f64::INFINITY
                } else {
                    reactor.now + SETTLED
                };
            }
        }
        let mut events = self.do_all(reactor, todo);
        events.extend(self.tell(told, &mut out));
        events.extend(self.carry(reactor, out));
        events.extend(settled.then_some(Event::Settled));
        events
    }

    /// Says what the audit wants said; what is wanted of this node goes up.
    fn tell(&mut self, told: Vec<versions::Do>, out: &mut Vec<Output>) -> Vec<Event> {
        let mut events = Vec::new();
        for one in told {
            match (one, &mut self.place) {
                (versions::Do::Say(to, bytes), Some(place)) => {
                    place.members.send_application_message(&to, &bytes, out);
                }
                (versions::Do::Give(to, kind), _) => events.push(Event::Give(to, kind)),
                (versions::Do::Say(..), None) => {}
            }
        }
        events
    }

    /// Whether an audit is kept.
    pub fn tracks_versions(&self) -> bool {
        self.audit.is_some()
    }

    /// The node acts on this list from now on, after so many acts on what it held before.
    pub fn record_version(
        &mut self,
        reactor: &mut Reactor,
        stand: VersionRecord,
        source: Source,
        acts: u64,
    ) -> Vec<Event> {
        let audit = self.place.as_mut().and_then(|place| place.audit.as_mut());
        let told = audit.map(|audit| audit.adopt(reactor.now, Kind::List, stand, source, acts));
        let mut out = Vec::new();
        let mut events = self.tell(told.unwrap_or_default(), &mut out);
        events.extend(self.carry(reactor, out));
        events
    }

    /// The generation of lists that this node's configuration names.
    pub fn generation(&self, discovery: SocketAddr) -> u64 {
        let name = self
            .audit
            .as_ref()
            .and_then(|section| section.discovery.clone());
        versions::generation(&name.unwrap_or_else(|| discovery.to_string()))
    }

    /// Passes a list of this generation on.
    pub fn send_worker_list(
        &mut self,
        reactor: &mut Reactor,
        to: &str,
        generation: u64,
        body: &[u8],
    ) {
        let Some(place) = &mut self.place else { return };
        let word = postcard::to_extend(&generation, versions::PREFIX.to_vec()).unwrap_or_default();
        if let Some(at) = place.address(to) {
            // One that is too much or gets lost is asked for again.
            let _ = place
                .peer_connections
                .send(reactor, to, at, [&word[..], body].concat());
        }
    }

    /// Which node acts on which version, as the door shows it.
    pub fn versions_json(&self, now: f64) -> Option<String> {
        Some(self.place.as_ref()?.audit.as_ref()?.versions(now))
    }

    /// What this node has acted on, as the door shows it.
    pub fn audit_log_json(&self, acts: u64) -> Option<String> {
        Some(self.place.as_ref()?.audit.as_ref()?.trail(acts))
    }

    /// Does what is decided together.
    fn do_all(&mut self, reactor: &mut Reactor, todo: Vec<coordination::Do>) -> Vec<Event> {
        let mut events = Vec::new();
        for one in todo {
            match one {
                coordination::Do::Send(to, bytes) => {
                    let Some(place) = &mut self.place else {
                        continue;
                    };
                    // One that is not there hears nothing, and is told anew what counts when it is.
                    let Some(at) = place.address(&to) else {
                        continue;
                    };
                    if place
                        .peer_connections
                        .send(reactor, &to, at, bytes)
                        .is_err()
                    {
                        tracing::debug!(to, "too much waits for a node: not told");
                        if let Some(coordination) = &mut place.coordination {
                            coordination.reconnected(&to);
                        }
                    }
                }
                coordination::Do::Write(changes) => events.push(Event::Write(changes)),
                coordination::Do::Tell(caller, status, words) => {
                    events.push(Event::Tell(caller, status, words))
                }
            }
        }
        events
    }

    /// What became of a write that was given with [`Event::Write`].
    pub fn handle_write_completed(&mut self, reactor: &mut Reactor, well: bool) -> Vec<Event> {
        let coordination = self
            .place
            .as_mut()
            .and_then(|place| place.coordination.as_mut());
        let todo = coordination
            .map(|coordination| coordination.written(reactor.now, well))
            .unwrap_or_default();
        let events = self.do_all(reactor, todo);
        self.plan(reactor);
        events
    }

    /// A caller at the door asks for something that the nodes decide together; `None` where they decide nothing.
    pub fn handle_admin_request(
        &mut self,
        reactor: &mut Reactor,
        caller: usize,
        ask: AdminRequest,
    ) -> Option<Vec<Event>> {
        if let AdminRequest::Voter(name, true) = &ask
            && self
                .place
                .as_ref()
                .is_some_and(|place| place.coordination.is_some() && place.address(name).is_none())
            && *name != self.name
        {
            // A seat that nobody takes counts towards the majority all the same.
            let (status, words) = coordination::refusal(&postproxy_coordination::Error::Nobody);
            return Some(vec![Event::Tell(caller, status, words)]);
        }
        let todo = self
            .place
            .as_mut()?
            .coordination
            .as_mut()?
            .ask(reactor.now, caller, ask);
        let events = self.do_all(reactor, todo);
        self.plan(reactor);
        Some(events)
    }

    /// Who votes and who owns what, as the door shows it.
    pub fn lease_status_json(&self, now: f64) -> Option<String> {
        let view = self.place.as_ref()?.coordination.as_ref()?.view(now);
        serde_json::to_string(&view).ok().map(|text| text + "\n")
    }

    /// Datagrams have come, or a stream can go on.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> Vec<Event> {
        let Some(place) = self.place.as_mut() else {
            return Vec::new();
        };
        if place.key != key {
            let heard = place
                .peer_connections
                .handle_ready(reactor, key, readable, writable);
            let mut out = Vec::new();
            let todo = place.heed(reactor.now, heard, &mut out);
            let mut events = self.do_all(reactor, todo);
            events.extend(self.carry(reactor, out));
            return events;
        }
        let (mut out, mut bytes) = (Vec::new(), [0; 2048]);
        for _ in 0..MOST_READ {
            match place.socket.recv_from(&mut bytes) {
                Ok((size, _)) => {
                    place
                        .members
                        .handle_datagram(reactor.now, &bytes[..size], &mut out)
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // An error is that of an earlier datagram, which nobody took.
                Err(_) => {}
            }
        }
        reactor.rearm(&place.socket, place.key, (true, false));
        self.carry(reactor, out)
    }

    /// A worker is taken out of use, or back into it, here: the fleet is told, and who asked for it in the end.
    /// Without a place there is nobody to tell: `false`.
    pub fn set_suspended(
        &mut self,
        reactor: &mut Reactor,
        caller: Option<usize>,
        worker: &str,
        again: bool,
    ) -> (bool, Vec<Event>) {
        let Some(place) = &mut self.place else {
            return (false, Vec::new());
        };
        let mut out = Vec::new();
        let Some(ticket) = place.members.change_suspension(
            reactor.now,
            worker,
            if again {
                SuspensionChange::Resume
            } else {
                SuspensionChange::Suspend
            },
            &mut out,
        ) else {
            tracing::error!(worker, "too many workers are out of use: told to nobody");
            return (false, Vec::new());
        };
        if let Some(caller) = caller {
            self.callers.insert(ticket, (caller, reactor.now + ANSWER));
        }
        (true, self.carry(reactor, out))
    }

    /// An operator says that a node which has failed will not come back.
    ///
    /// # Errors
    ///
    /// If that can't be; `None` if this process has no place among the nodes.
    pub fn forget_member(
        &mut self,
        reactor: &mut Reactor,
        name: &str,
    ) -> Result<Vec<Event>, Option<ForgetError>> {
        let (place, mut out) = (self.place.as_mut().ok_or(None)?, Vec::new());
        place.members.forget(reactor.now, name, &mut out)?;
        tracing::info!(name, "forgotten on an operator's word");
        Ok(self.carry(reactor, out))
    }

    /// Of these workers, which are out of use here, those whose use the fleet has never heard of are out of use for it:
    /// from before this node had a place, or from an older process that did not tell.
    pub fn adopt_suspended_workers(
        &mut self,
        reactor: &mut Reactor,
        workers: Vec<String>,
    ) -> Vec<Event> {
        let mut out = Vec::new();
        if let Some(place) = &mut self.place {
            for worker in workers
                .iter()
                .filter(|worker| !place.members.has_suspension_record(worker))
                .collect::<Vec<_>>()
            {
                tracing::info!(worker, "out of use here before: told to the nodes");
                let _ = place.members.change_suspension(
                    reactor.now,
                    worker,
                    SuspensionChange::Suspend,
                    &mut out,
                );
            }
        }
        self.carry(reactor, out)
    }

    /// Lets go without a word: a newer process of this node takes the place.
    pub fn yield_socket(&mut self, reactor: &Reactor) {
        self.over = true;
        if let Some(place) = self.place.take() {
            reactor.deregister(&place.socket);
            place.peer_connections.close(reactor);
        }
    }

    /// Leaves in good order.
    pub fn leave(&mut self, reactor: &mut Reactor) {
        let mut out = Vec::new();
        if let Some(place) = &mut self.place {
            place.members.leave(reactor.now, &mut out);
        }
        self.carry(reactor, out);
        self.yield_socket(reactor);
    }

    /// The fleet's bans, if they have changed since they were kept, or are asked for again.
    pub fn take_changed_suspensions(&mut self, again: bool) -> Option<Vec<u8>> {
        let members = &self.place.as_ref()?.members;
        if members.suspensions_digest()
            == std::mem::replace(&mut self.kept, members.suspensions_digest())
            && !again
        {
            return None;
        }
        postcard::to_stdvec(&members.suspensions()).ok()
    }

    /// What the door shows.
    pub fn status(&self) -> Option<ClusterStatus> {
        let place = self.place.as_ref()?;
        let members = &place.members;
        let (voters, leader) = match &place.coordination {
            Some(coordination) => coordination.voters(),
            None => (self.section.voters.clone(), None),
        };
        let voter = |name: &str| voters.iter().any(|voter| voter == name);
        let shown = |(id, state): (&postproxy_membership::Identity, &str)| MemberStatus {
            name: id.name.to_string(),
            address: id.address,
            incarnation: id.incarnation,
            state: state.to_owned(),
            voter: voter(&id.name),
            leads: leader.as_deref() == Some(&*id.name),
        };
        let word = |life| match life {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Failed => "failed",
            MemberState::Left => "left",
        };
        let others = members.peers().map(|(id, life)| shown((id, word(life))));
        let local = members.local_health();
        Some(ClusterStatus {
            cluster: self.section.cluster.clone(),
            node: self.name.clone(),
            member: members.is_member(),
            namesake: members.name_conflict(),
            standing: members.health().as_str().to_owned(),
            reasons: members.health().reasons(),
            members: std::iter::once(shown((members.local_identity(), "here")))
                .chain(others)
                .collect(),
            unheard: members.unreachable().cloned().collect(),
            ill: local.slowdown,
            missed_s: local.skipped_seconds,
            bans: members.suspended_workers(),
            dropped: place.dropped(),
        })
    }

    /// Sends what is to be sent, logs what is new, and gives what the node is to know.
    fn carry(&mut self, reactor: &mut Reactor, out: Vec<Output>) -> Vec<Event> {
        let (mut events, mut changed, mut out) =
            (Vec::new(), false, std::collections::VecDeque::from(out));
        while let Some(one) = out.pop_front() {
            match one {
                Output::SendDatagram {
                    to,
                    datagram: bytes,
                } => {
                    if let Some(place) = &self.place {
                        // One that can't be sent is one that is lost.
                        let _ = place.socket.send_to(&bytes, to);
                    }
                }
                Output::SendOverStream { to, message: bytes } => {
                    let Some(place) = &mut self.place else {
                        continue;
                    };
                    if place
                        .peer_connections
                        .send(reactor, &to.name, to.address, bytes)
                        .is_err()
                    {
                        tracing::warn!(name = &*to.name, "too much waits for a node: not told");
                    }
                }
                Output::Event(MembershipEvent::ApplicationMessage {
                    from,
                    message: word,
                }) => {
                    let audit = self.place.as_mut().and_then(|place| place.audit.as_mut());
                    let told = audit.map(|audit| audit.heard(reactor.now, &from.name, &word));
                    let mut more = Vec::new();
                    events.extend(self.tell(told.unwrap_or_default(), &mut more));
                    out.extend(more);
                }
                Output::Event(MembershipEvent::WorkerChanged {
                    worker,
                    is_suspended: out,
                }) => events.push(Event::Ban(worker, !out)),
                Output::Event(MembershipEvent::SuspensionRecorded {
                    ticket,
                    recorded: at,
                    nodes: of,
                }) => {
                    if let Some((caller, _)) = self.callers.remove(&ticket) {
                        events.push(Event::Held(caller, at, of));
                    }
                }
                Output::Event(news) => {
                    if let (MembershipEvent::Failed(id) | MembershipEvent::Left(id), Some(place)) =
                        (&news, &mut self.place)
                    {
                        place.peer_connections.forget(reactor, &id.name);
                    }
                    if let MembershipEvent::Failed(id)
                    | MembershipEvent::Left(id)
                    | MembershipEvent::Joined(id)
                    | MembershipEvent::IdentityChanged(id) = &news
                        && let Some(coordination) = self
                            .place
                            .as_mut()
                            .and_then(|place| place.coordination.as_mut())
                    {
                        coordination.reconnected(&id.name);
                    }
                    log(&news);
                    changed = true;
                }
            }
        }
        // Who is there changes with news alone.
        if let Some(place) = self.place.as_ref().filter(|_| changed) {
            let count = place.members.cluster_size();
            let told = (if count > 1 { count } else { 0 }, {
                let rank = place.members.rank();
                (rank.position, rank.members)
            });
            let there = |(id, life): (&postproxy_membership::Identity, MemberState)| {
                matches!(life, MemberState::Alive | MemberState::Suspect)
                    .then(|| id.name.to_string())
            };
            let peers = place.members.peers().filter_map(there).collect();
            if let Some(audit) = self.place.as_mut().and_then(|place| place.audit.as_mut()) {
                audit.peers(peers);
            }
            if std::mem::replace(&mut self.told, told) != told {
                events.push(Event::Nodes(told.0, told.1));
            }
        }
        if let Some(place) = &mut self.place {
            events.extend(
                place
                    .passed
                    .drain(..)
                    .map(|(from, of, body)| Event::Passed(from, of, body)),
            );
        }
        self.log_drops(reactor.now);
        self.plan(reactor);
        events
    }

    fn log_drops(&mut self, now: f64) {
        let Some(place) = &self.place else { return };
        if now < self.logged.1 {
            return;
        }
        let dropped = place.dropped();
        let all: u64 = dropped.values().sum();
        if all > self.logged.0 {
            let by: Vec<String> = dropped
                .iter()
                .map(|(why, n)| format!("{why} {n}"))
                .collect();
            tracing::warn!(
                since_start = by.join(", "),
                "datagrams or streams were dropped"
            );
            self.logged = (all, now + DROPS);
        }
    }
}

fn log(news: &MembershipEvent) {
    match news {
        MembershipEvent::Joined(id) => {
            tracing::info!(name = &*id.name, address = %id.address, id.incarnation, "a node is there")
        }
        MembershipEvent::IdentityChanged(id) => {
            tracing::info!(name = &*id.name, address = %id.address, id.incarnation, "a node is there anew");
        }
        MembershipEvent::Failed(id) => {
            tracing::warn!(name = &*id.name, address = %id.address, "a node has failed")
        }
        MembershipEvent::Left(id) => tracing::info!(name = &*id.name, "a node has left"),
        MembershipEvent::Rejoined { incarnation } => {
            tracing::warn!(
                incarnation,
                "others had called this node failed: it is back"
            );
        }
        MembershipEvent::NameConflict { address: at } => {
            tracing::error!(%at, "another process has this node's name: this one is no member, and serves alone");
        }
        MembershipEvent::HealthChanged(standing) => {
            tracing::info!(%standing, why = standing.reasons().join("; "), "how things stand");
        }
        MembershipEvent::WorkerChanged { .. }
        | MembershipEvent::SuspensionRecorded { .. }
        | MembershipEvent::ApplicationMessage { .. } => {}
    }
}
