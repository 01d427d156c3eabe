//! The node: the one loop that waits for sockets, timers and the signal to stop, and hands each to its owner.

use super::config::Config;
use crate::decision::interface::ListKind;
use crate::net::cluster::coordination::AdminRequest;
use crate::net::cluster::peer_connections;
use crate::net::cluster::service::{self, ClusterService};
use crate::net::downstream::clients::{self, Clients};
use crate::net::handover::{self, Handover};
use crate::net::lifecycle::{Lifecycle, Stage};
use crate::net::management::{self, Call, ManagementServer};
use crate::net::messages::{self, ClientId, Command, Input, Reply};
use crate::net::requests::durability::DurabilityPolicy;
use crate::net::requests::manager::RequestManager;
use crate::net::store_adapter::{RecoveredState, StoreAdapter};
use crate::net::transport::reactor::{self, Clock, Owner, Reactor, Timer};
use crate::net::upstream::attempts::Attempts;
use crate::net::upstream::worker_list::WorkerList;
use crate::operator_config::FleetSection;
use polling::Event;
use postproxy_handover::{LinkEvent, Message, Role, StateUpdate};
use postproxy_membership::Rejection;
use postproxy_version_tracking::{Source, VersionRecord};
use std::collections::{HashMap, HashSet};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;

/// How long after the signal to stop new connections may come.
const ACCEPT_WINDOW: f64 = 0.6;
/// How often it is looked whether all has been answered after that.
const LOOK: f64 = 0.02;
/// So many looks in a row find nothing before the node ends: a client whose request crossed the end of its
/// connection sends it again on a new one.
const QUIET: u32 = 10;
/// How often the list of workers is kept, if it has changed.
const LIST_KEPT: f64 = 1.0;
/// How often idle connections are looked at in a drain.
const DRAIN_LOOK: f64 = 0.05;
/// Descriptors kept for what is no connection.
const SPARE: usize = 24;
/// Marks who waits on a link to another process of this node, beside the keys of connections.
const LINKED: ClientId = 1 << 63;
/// What a leaving process holds is told anew once it is so much less.
const FEWER: usize = 8;

/// A stream on which a byte is a signal.
struct Signal {
    stream: UnixStream,
    key: usize,
}

impl Signal {
    fn new(reactor: &mut Reactor, stream: UnixStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let key = reactor.register(&stream, Owner::Signal)?;
        reactor.rearm(&stream, key, (true, false));
        Ok(Self { stream, key })
    }

    /// Takes all bytes that have come; whether there were any. One whose other end is gone is not waited for
    /// any more.
    fn take(&mut self, reactor: &Reactor) -> bool {
        let (mut bytes, mut any) = ([0; 64], false);
        while let Ok(size) = self.stream.read(&mut bytes) {
            if size == 0 {
                return any;
            }
            any = true;
        }
        reactor.rearm(&self.stream, self.key, (true, false));
        any
    }
}

/// Where a running node gets a new configuration.
type Reload = Box<dyn FnMut() -> Option<Config>>;

/// What is to be remembered of links to other processes of this node.
#[derive(Default)]
struct SiblingLinks {
    /// How many words are still to come for those who wait with a call-back here, and on what.
    words: HashMap<ClientId, (usize, messages::JobCall)>,
    /// Call-backs of other processes: the link, and their number there.
    origins: HashMap<ClientId, (usize, u64)>,
    next: ClientId,
    /// The descriptors that the other processes may hold.
    holds: HashMap<usize, usize>,
    /// What this one has said that it holds, if it has.
    said: Option<usize>,
    /// Those over which an older process has told all that was so at the greeting.
    told: HashSet<usize>,
}

/// How many connections the node may have, in all its processes.
struct DescriptorBudget {
    /// Descriptors.
    sockets: usize,
    /// Of these, kept for what is no client's and no worker's connection, in each process.
    kept: usize,
    /// Clients by memory.
    memory: usize,
    /// Waiting clients, by the settings; 0 where they say nothing.
    open: usize,
}

impl DescriptorBudget {
    /// How many clients' connections, workers' connections and waiting clients a share of so many
    /// descriptors allows.
    fn of(&self, share: usize) -> (usize, usize, usize) {
        let share = share.max(16);
        let memory = self.memory * share / self.sockets.saturating_sub(self.kept).max(share);
        let most = (share * 5 / 8).min(memory.max(8));
        // Were all connections held, no call-back could come in to end a single one.
        let open = (most * 7 / 8).max(1);
        (
            most,
            share * 3 / 8,
            if self.open > 0 {
                self.open.min(open)
            } else {
                open
            },
        )
    }
}

/// A real node.
pub struct Node {
    clock: Clock,
    reactor: Reactor,
    hub: RequestManager,
    clients: Clients,
    attempts: Attempts,
    list: WorkerList,
    keeper: Option<StoreAdapter>,
    door: Option<ManagementServer>,
    handover: Option<Handover>,
    fleet: Option<ClusterService>,
    /// Callers at the door whose ban the fleet is to be told of, once it holds here.
    bans: HashMap<usize, (String, bool)>,
    links: SiblingLinks,
    room: DescriptorBudget,
    life: Lifecycle,
    stop: Signal,
    reload: Option<(Signal, Reload)>,
    address: SocketAddr,
    /// Looks in a row that found nothing owed.
    quiet: u32,
    /// Nothing is owed any more.
    done: bool,
    /// The longest turn of the loop so far, in seconds.
    longest: f64,
    /// Operators' calls that came before an older process had told all.
    early: Vec<(usize, Call)>,
    /// An audit is kept; and the attempts started since the list's version changed.
    audits: bool,
    acts: u64,
}

impl Node {
    /// Listens, and takes in the list that the configuration holds. A byte on `stop` ends the node in
    /// good order.
    ///
    /// # Errors
    ///
    /// If the configuration can't be worked with or the address not be listened on.
    pub fn new(config: Config, stop: UnixStream) -> Result<Self, Box<dyn std::error::Error>> {
        let clock = Clock::new();
        let mut reactor = Reactor::new(clock.now())?;
        let mut settings = config.settings;
        // Before anybody can call: a call-back that came earlier would meet a node that knows of nothing.
        let mut known = config.known;
        let mut found = RecoveredState::default();
        let kept = match &config.store {
            Some(section) => {
                let (keeper, mut ledger, kept) =
                    StoreAdapter::start(&mut reactor, section, &config.name)?;
                found = kept;
                if let Some(list) = found.list.take() {
                    known = list.or(known, config.discovery);
                }
                let nothing_ran = ledger.loaded();
                let keeping = DurabilityPolicy::new(
                    &settings,
                    ledger,
                    section.patience_ms as f64 / 1000.0,
                    section.keyed_durable,
                );
                Some((keeper, keeping, nothing_ran))
            }
            None => None,
        };
        let listen = |at| reactor::listen(at).map_err(|e| format!("listening on {at}: {e}"));
        // A listener of one's own is nobody else's: then nobody takes over from this process.
        let shared = config.listener.is_some();
        let listener = config.listener.map_or_else(|| listen(config.listen), Ok)?;
        let door = config.mgmt.map(listen).transpose()?;
        let door = door
            .map(|listener| ManagementServer::new(&mut reactor, listener))
            .transpose()?;
        let address = listener.local_addr()?;
        // Three quarters of the memory hold what each client's connection can come to at most.
        let memory = (config.memory_mb << 20) / 4 * 3 / clients::MOST_HELD;
        let streams = config
            .fleet
            .as_ref()
            .map_or(0, |_| peer_connections::SOCKETS);
        let spare = SPARE + door.as_ref().map_or(0, |_| management::MOST) + streams;
        let room = DescriptorBudget {
            sockets: config.sockets,
            kept: spare,
            memory,
            open: settings.max_waiting_requests,
        };
        let (most, attempts, open) = room.of(config.sockets.saturating_sub(spare));
        settings.max_waiting_requests = open;
        let clients = Clients::new(&mut reactor, listener, settings.clone(), most)?;
        let attempts = Attempts::new(attempts, settings.dial_timeout, settings.idle_timeout);
        // A list without a worker is none: as one that is held it would keep the node waiting for its turn.
        let revision = known.as_ref().map(|list| list.revision);
        let members = known
            .clone()
            .map(|list| list.members(&settings))
            .unwrap_or_default();
        let revision = revision.filter(|_| !members.is_empty());
        let mut list = WorkerList::new(config.discovery, settings.clone(), revision, config.seed);
        let mut hub = RequestManager::new(settings.clone(), config.seed)?;
        let keeper = kept.map(|(mut keeper, keeping, nothing_ran)| {
            hub.enable_durability(keeping);
            keeper.write(
                &mut reactor,
                nothing_ran,
                messages::Wait::Nobody(String::new()),
            );
            reactor.queue.push_back(Input::TimerExpired {
                timer: messages::RequestTimer::Expire,
            });
            keeper
        });
        if !members.is_empty() {
            reactor.queue.push_back(Input::WorkerListReceived {
                kind: ListKind::Cached,
                workers: members,
            });
        }
        if keeper.is_some() || shared || config.audit.is_some() {
            list.retain_list(known.as_ref());
        }
        if keeper.is_some() {
            reactor.set_timer(reactor.now + LIST_KEPT, Timer::ListKept);
        }
        let stop = Signal::new(&mut reactor, stop)?;
        let (reload, quiet, done) = (None, 0, false);
        let folder = config.folder.filter(|_| shared);
        if shared && folder.is_none() {
            tracing::warn!(
                "TMPDIR is not set: no other process of this node can be asked to hand over"
            );
        }
        let handover = folder.map(|folder| {
            Handover::start(
                &mut reactor,
                &folder,
                &config.name,
                &config.listen.to_string(),
            )
        });
        let votes = |section: &FleetSection| section.voters.contains(&config.name);
        if config.duties.is_some() && keeper.is_none() && config.fleet.as_ref().is_some_and(votes) {
            return Err(
                "duties: this node votes, and its promises must outlive it: it needs the section store"
                    .into(),
            );
        }
        let fleet = config.fleet.map(|section| {
            ClusterService::start(
                &mut reactor,
                section,
                (config.duties, config.audit),
                &config.name,
                found,
                shared,
            )
        });
        let (fleet, events) = fleet.transpose()?.unzip();
        let (links, life, bans) = Default::default();
        let audits = fleet.as_ref().is_some_and(ClusterService::tracks_versions);
        let mut node = Self {
            clock,
            reactor,
            hub,
            clients,
            attempts,
            list,
            keeper,
            door,
            handover,
            fleet,
            bans,
            links,
            room,
            life,
            stop,
            reload,
            address,
            quiet,
            done,
            longest: 0.0,
            early: Vec::new(),
            audits,
            acts: 0,
        };
        node.told_by_fleet(events.unwrap_or_default());
        Ok(node)
    }

    /// Has a byte on `signal` ask `source` for a new configuration; none keeps the old one. Of a new one,
    /// where discovery is counts at once; all else holds from the next start.
    ///
    /// # Errors
    ///
    /// If the system's poller refuses the signal.
    pub fn reload_on(
        &mut self,
        signal: UnixStream,
        source: impl FnMut() -> Option<Config> + 'static,
    ) -> io::Result<()> {
        self.reload = Some((Signal::new(&mut self.reactor, signal)?, Box::new(source)));
        Ok(())
    }

    /// The longest turn of its loop so far, in seconds.
    pub fn longest_turn(&self) -> f64 {
        self.longest
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators call, if anywhere.
    pub fn door(&self) -> Option<SocketAddr> {
        self.door.as_ref()?.address().ok()
    }

    /// Serves until it is told to stop and nothing is held any more.
    ///
    /// # Errors
    ///
    /// If the system's poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        self.reactor.now = self.clock.now();
        self.clients.set_accepting(&self.reactor, false);
        self.list.start(&mut self.reactor);
        self.begin();
        while !self.done {
            self.work();
            if self.audits && self.list.take_version_changed() {
                self.adopted(Source::Own);
            }
            if self.life.stage() == Stage::HandingOver {
                self.pass_on();
            }
            let now = self.clock.now();
            self.longest = self.longest.max(now - self.reactor.now);
            self.reactor.wait(&mut events, now)?;
            self.reactor.now = self.clock.now();
            for event in &events {
                self.dispatch(*event);
            }
            for due in self.reactor.expired_timers() {
                self.due(due);
            }
            if self.life.stage() == Stage::Starting {
                self.begin();
            }
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(&mut self.reactor);
        }
        Ok(())
    }

    fn dispatch(
        &mut self,
        Event {
            key,
            readable,
            writable,
        }: Event,
    ) {
        let reactor = &mut self.reactor;
        match reactor::owner(key) {
            Owner::ManagementServer => {
                let calls = self
                    .door
                    .as_mut()
                    .map(|door| door.handle_ready(reactor, key, readable, writable));
                self.called(calls.unwrap_or_default());
            }
            Owner::Handover => {
                let events = self
                    .handover
                    .as_mut()
                    .map(|h| h.handle_ready(reactor, key, readable));
                self.linked(events.unwrap_or_default());
            }
            Owner::Peers => {
                let events = self
                    .fleet
                    .as_mut()
                    .map(|fleet| fleet.handle_ready(reactor, key, readable, writable));
                self.told_by_fleet(events.unwrap_or_default());
            }
            Owner::Client => self.clients.handle_ready(reactor, key, readable, writable),
            Owner::Attempt => self.attempts.handle_ready(reactor, key, readable, writable),
            Owner::Discovery => self.list.handle_ready(reactor, key, readable, writable),
            Owner::Store => {
                let written = self
                    .keeper
                    .as_mut()
                    .and_then(|keeper| keeper.handle_ready(reactor));
                let events = self
                    .fleet
                    .as_mut()
                    .zip(written)
                    .map(|(fleet, well)| fleet.handle_write_completed(reactor, well));
                self.told_by_fleet(events.unwrap_or_default());
            }
            Owner::Signal if key == self.stop.key => self.stop(),
            Owner::Signal => self.reload(),
        }
    }

    fn due(&mut self, due: Timer) {
        let reactor = &mut self.reactor;
        match due {
            Timer::Requests(due) => reactor.queue.push_back(Input::TimerExpired { timer: due }),
            Timer::Handover => {
                let events = self.handover.as_mut().map(|h| h.handle_timer(reactor));
                self.linked(events.unwrap_or_default());
            }
            Timer::Peers(number) => {
                let events = self
                    .fleet
                    .as_mut()
                    .map(|fleet| fleet.handle_timer(reactor, number));
                self.told_by_fleet(events.unwrap_or_default());
            }
            Timer::Caller(key) => {
                if let Some(door) = &mut self.door {
                    door.handle_timer(reactor, key);
                }
            }
            Timer::Callers => {
                let calls = self.door.as_mut().map(|door| door.accept(reactor));
                self.called(calls.unwrap_or_default());
            }
            Timer::Drain => {
                if let Some(idle) = self.life.max_idle_time(reactor.now) {
                    self.clients.close_idle_connections(reactor, idle);
                }
                if self.life.is_draining() && self.life.is_serving() {
                    reactor.set_timer(reactor.now + DRAIN_LOOK, Timer::Drain);
                }
            }
            Timer::Client(key, round) => self.clients.handle_timer(reactor, key, round),
            Timer::Accept => self.clients.resume_accepting(reactor),
            Timer::Attempt(key, round) => self.attempts.handle_attempt_timer(reactor, key, round),
            Timer::Dial(key) => self.attempts.handle_dial_timer(reactor, key),
            Timer::Discovery => self.list.handle_timer(reactor),
            Timer::DiscoveryDial(call) => self.list.handle_dial_timer(reactor, call),
            Timer::ListKept => {
                let Some(keeper) = &mut self.keeper else {
                    return;
                };
                // What a disk in trouble has refused is given again, whether or not it has changed.
                let again = keeper.has_failed_snapshots();
                let list = self
                    .list
                    .take_changed_snapshot()
                    .or_else(|| self.list.snapshot().filter(|_| again));
                if let Some(list) = list {
                    keeper.save_worker_list(&list);
                }
                if let Some(bans) = self
                    .fleet
                    .as_mut()
                    .and_then(|fleet| fleet.take_changed_suspensions(again))
                {
                    keeper.save_suspensions(&bans);
                }
                reactor.set_timer(reactor.now + LIST_KEPT, Timer::ListKept);
            }
            Timer::WindUp if self.life.stage() == Stage::HandingOver => {
                let over = self.clients.connection_count() == 0
                    && self.hub.waiting_client_count() == 0
                    && self.links.words.is_empty();
                let flushed = self.handover.as_ref().is_none_or(Handover::is_flushed);
                self.done = over && flushed && !self.follows();
                self.reactor
                    .set_timer(self.reactor.now + LOOK, Timer::WindUp);
            }
            Timer::WindUp => {
                let answered =
                    self.clients.close_for_shutdown(reactor) && self.hub.pending_count() == 0;
                let quiet = answered && !self.follows();
                self.quiet = if quiet { self.quiet + 1 } else { 0 };
                self.done = self.quiet >= QUIET;
                self.reactor
                    .set_timer(self.reactor.now + LOOK, Timer::WindUp);
            }
        }
    }

    fn stop(&mut self) {
        self.stop.take(&self.reactor);
        // One that has not begun holds nothing, and what waits at the listener is another's.
        self.done |= self.life.stage() == Stage::Starting;
        if self.life.stop() {
            self.heed();
            self.hand_over();
            let handing = self.life.stage() == Stage::HandingOver;
            let after = if handing { LOOK } else { ACCEPT_WINDOW };
            self.reactor
                .set_timer(self.reactor.now + after, Timer::WindUp);
        }
    }

    /// Has the clients' side go by the node's life.
    fn heed(&mut self) {
        self.clients.set_readiness(
            self.life.wants_connections(),
            self.life.closes_after_answer(),
        );
    }

    /// Carries out operators' calls.
    fn called(&mut self, calls: Vec<(usize, Call)>) {
        for (key, call) in calls {
            let changes = matches!(
                call,
                Call::Drain | Call::Activate | Call::Suspend(_) | Call::Resume(_)
            );
            if changes && self.joins() {
                // Danger: what the older process has still to tell would count in place of this newer word.
                self.early.push((key, call));
                continue;
            }
            let reply = match call {
                Call::Ready if self.life.is_serving() => Reply::Yes,
                Call::Ready => Reply::NotNow,
                Call::Drain => {
                    self.drain(None, 0.0);
                    Reply::Yes
                }
                Call::Activate => self.activate(),
                Call::Suspend(id) => {
                    self.employ(key, id, false);
                    continue;
                }
                Call::Resume(id) => {
                    self.employ(key, id, true);
                    continue;
                }
                Call::Forget(name) => self.forget(&name),
                Call::Owners => {
                    let text = self
                        .fleet
                        .as_ref()
                        .and_then(|fleet| fleet.lease_status_json(self.reactor.now));
                    self.show(key, text, Reply::NoDuties);
                    continue;
                }
                Call::Versions | Call::Audit => {
                    let text = self.fleet.as_ref().and_then(|fleet| match call {
                        Call::Audit => fleet.audit_log_json(self.acts),
                        _ => fleet.versions_json(self.reactor.now),
                    });
                    self.show(key, text, Reply::NoAudit);
                    continue;
                }
                Call::Release(duty) => {
                    self.affair(key, AdminRequest::Release(duty));
                    continue;
                }
                Call::Hand(duty, to) => {
                    self.affair(key, AdminRequest::Hand(duty, to));
                    continue;
                }
                Call::Voter(name, add) => {
                    self.affair(key, AdminRequest::Voter(name, add));
                    continue;
                }
                Call::Members => {
                    let picture = self.fleet.as_ref().and_then(ClusterService::status);
                    let text = picture.and_then(|picture| serde_json::to_string(&picture).ok());
                    self.show(key, text.map(|text| text + "\n"), Reply::NoFleet);
                    continue;
                }
            };
            if let Some(door) = &mut self.door {
                door.send_reply(&mut self.reactor, key, reply);
            }
        }
    }

    /// Shows a caller at the door this, or says why there is nothing to show.
    fn show(&mut self, key: usize, text: Option<String>, none: Reply) {
        match (&mut self.door, text) {
            (Some(door), Some(text)) => door.send_text(&mut self.reactor, key, 200, &text),
            (Some(door), None) => door.send_reply(&mut self.reactor, key, none),
            (None, _) => {}
        }
    }

    /// The list that this node acts on may be another one than before.
    fn adopted(&mut self, source: Source) {
        let (Some(fleet), Some((number, digest))) = (&mut self.fleet, self.list.version()) else {
            return;
        };
        let stand = VersionRecord {
            generation: fleet.generation(self.list.discovery_address()),
            number,
            digest,
        };
        let acts = std::mem::take(&mut self.acts);
        let events = fleet.record_version(&mut self.reactor, stand, source, acts);
        self.told_by_fleet(events);
    }

    /// Has the nodes decide on the word of a caller at the door, who is told what came of it.
    fn affair(&mut self, key: usize, ask: AdminRequest) {
        let events = self
            .fleet
            .as_mut()
            .and_then(|fleet| fleet.handle_admin_request(&mut self.reactor, key, ask));
        match (events, &mut self.door) {
            (Some(events), _) => self.told_by_fleet(events),
            (None, Some(door)) => door.send_reply(&mut self.reactor, key, Reply::NoDuties),
            (None, None) => {}
        }
    }

    /// Counts a node that has failed no more, on the word of a caller at the door.
    fn forget(&mut self, name: &str) -> Reply {
        let Some(fleet) = &mut self.fleet else {
            return Reply::NoFleet;
        };
        match fleet.forget_member(&mut self.reactor, name) {
            Ok(events) => {
                self.told_by_fleet(events);
                Reply::Yes
            }
            Err(Some(Rejection::Nobody)) => Reply::Nobody,
            Err(Some(Rejection::Lives)) => Reply::Lives,
            Err(Some(Rejection::Full) | None) => Reply::NotNow,
        }
    }

    /// Takes a worker out of use, or back into it, on the word of a caller at the door.
    fn employ(&mut self, key: usize, id: String, again: bool) {
        if self.fleet.is_some() {
            self.bans.insert(key, (id.clone(), again));
        }
        self.reactor.queue.push_back(Input::SuspensionRequested {
            caller: key,
            worker: id,
            resume: again,
        });
    }

    /// What became of a caller's word on a worker here: where it holds, and there are other nodes, they are told first.
    fn operator(&mut self, key: usize, reply: Reply) {
        let ban = self.bans.remove(&key).filter(|_| reply == Reply::Yes);
        if let (Some((worker, again)), Some(fleet)) = (ban, &mut self.fleet) {
            let (told, events) = fleet.set_suspended(&mut self.reactor, Some(key), &worker, again);
            self.told_by_fleet(events);
            if told {
                return;
            }
        }
        if let Some(door) = &mut self.door {
            door.send_reply(&mut self.reactor, key, reply);
        }
    }

    fn told_by_fleet(&mut self, events: Vec<service::Event>) {
        for event in events {
            match event {
                service::Event::Ban(worker, again) => {
                    self.reactor.queue.push_back(Input::SuspensionLearned {
                        worker,
                        resume: again,
                    });
                }
                service::Event::Nodes(count, place) => {
                    self.reactor
                        .queue
                        .push_back(Input::NodeCountChanged { count });
                    self.list.set_cluster_position(place);
                }
                service::Event::Settled => {
                    let workers = self.hub.suspended_workers();
                    let events = self
                        .fleet
                        .as_mut()
                        .map(|fleet| fleet.adopt_suspended_workers(&mut self.reactor, workers));
                    self.told_by_fleet(events.unwrap_or_default());
                }
                service::Event::Write(changes) => {
                    let kept = self
                        .keeper
                        .as_mut()
                        .is_some_and(|keeper| keeper.write_coordination_records(&changes));
                    if !kept {
                        let events = self
                            .fleet
                            .as_mut()
                            .map(|fleet| fleet.handle_write_completed(&mut self.reactor, false));
                        self.told_by_fleet(events.unwrap_or_default());
                    }
                }
                service::Event::Give(to, _) => {
                    if let (Some(fleet), Some(body)) = (&mut self.fleet, self.list.body()) {
                        let generation = fleet.generation(self.list.discovery_address());
                        fleet.send_worker_list(&mut self.reactor, &to, generation, &body);
                    }
                }
                service::Event::Passed(from, generation, body) => {
                    let own = self
                        .fleet
                        .as_ref()
                        .map(|fleet| fleet.generation(self.list.discovery_address()));
                    if own == Some(generation)
                        && self
                            .list
                            .apply_peer_list(&mut self.reactor, &body)
                            .is_some()
                    {
                        self.adopted(Source::Peer(from));
                    }
                }
                service::Event::Tell(key, status, words) => {
                    if let Some(door) = &mut self.door {
                        door.send_text(&mut self.reactor, key, status, &words);
                    }
                }
                service::Event::Held(key, at, of) => {
                    if let Some(door) = &mut self.door {
                        door.send_reply(&mut self.reactor, key, Reply::Held(at, of));
                    }
                }
            }
        }
    }

    /// Drains the node, or goes on with a drain that another process of it has begun so long ago.
    fn drain(&mut self, link: Option<usize>, ago: f64) {
        if !self.life.is_draining() {
            tracing::info!("draining");
            self.reactor
                .set_timer(self.reactor.now + DRAIN_LOOK, Timer::Drain);
            self.tell(
                link,
                &Message::StateUpdate(StateUpdate::Drain {
                    on: true,
                    ago: ago as f32,
                }),
            );
        }
        self.life.drain(self.reactor.now - ago);
        self.heed();
    }

    fn activate(&mut self) -> Reply {
        if self.life.is_draining() {
            self.tell(
                None,
                &Message::StateUpdate(StateUpdate::Drain {
                    on: false,
                    ago: 0.0,
                }),
            );
        }
        let can = self.life.activate();
        tracing::info!(can, "activated");
        self.heed();
        if can { Reply::Yes } else { Reply::NotNow }
    }

    fn tell(&mut self, except: Option<usize>, message: &Message) {
        if let Some(handover) = &mut self.handover {
            handover.broadcast(&self.reactor, except, message);
        }
    }

    /// Begins to serve, unless an older process has still to tell what it holds, or discovery to answer: by a list of before its start
    /// a node would send to workers that have left long since.
    fn begin(&mut self) {
        if self.life.stage() == Stage::Starting && !self.joins() && self.list.is_initialized() {
            self.life.start();
            if let Some(handover) = &mut self.handover {
                handover.accept_successors(&mut self.reactor);
                tracing::info!("serving");
            }
            self.clients.set_accepting(&self.reactor, true);
            self.heed();
        }
        if !self.joins() {
            let early = std::mem::take(&mut self.early);
            self.called(early);
        }
    }

    /// Whether an older process has still to tell what it holds.
    fn joins(&self) -> bool {
        self.handover
            .as_ref()
            .is_some_and(Handover::is_waiting_for_snapshot)
    }

    /// Once told to stop: has another process of this node take over, if one can.
    fn hand_over(&mut self) {
        let successor = self.handover.as_ref().and_then(Handover::successor);
        if self.life.stage() == Stage::Stopping && successor.is_some() {
            tracing::info!("handing over");
            self.life.set_handing_over(true);
            self.clients.set_accepting(&self.reactor, false);
            if let Some(fleet) = &mut self.fleet {
                fleet.yield_socket(&self.reactor);
            }
            self.heed();
            self.tell(None, &Message::Leaves);
        }
    }

    /// Whether an older process of this node is still there. Danger: what it passes to one that has ended is lost,
    /// and nobody is left to tell it of its call-backs.
    fn follows(&self) -> bool {
        self.handover
            .as_ref()
            .is_some_and(Handover::has_predecessor)
    }

    /// Gives connections to the process that takes over: those on which nothing is owed, and held jobs with theirs.
    fn pass_on(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        let Some(to) = handover.successor() else {
            return;
        };
        while handover.has_write_capacity(to) {
            let Some((stream, input, useful)) =
                self.clients.release_quiet_connection(&self.reactor)
            else {
                break;
            };
            handover.send_with_descriptor(
                &self.reactor,
                to,
                &Message::Client { input, useful },
                Some(stream.into()),
            );
        }
        for client in self.hub.migratable_clients() {
            if !handover.has_write_capacity(to) {
                break;
            }
            // One that has just ended is told as left.
            if !self.clients.awaits_answer(client) {
                continue;
            }
            let Some(job) = self.hub.release_request(self.reactor.now, client) else {
                continue;
            };
            if let Some((stream, input, closes)) = self
                .clients
                .release_waiting_connection(&self.reactor, client)
            {
                let message = Message::Job { job, input, closes };
                handover.send_with_descriptor(&self.reactor, to, &message, Some(stream.into()));
            }
        }
        self.share();
    }

    /// Divides what the node may hold among its processes: the older one keeps what it has, at least half until it
    /// leaves, and the newer one has the rest.
    fn share(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        let others: usize = self.links.holds.values().sum();
        let left = self.room.sockets.saturating_sub(self.room.kept + others);
        let held = self.clients.connection_count() + self.attempts.connection_count();
        let leaves = self.life.stage() == Stage::HandingOver;
        let replaced = handover.has_successor();
        let share = match self.links.said {
            _ if !replaced => left,
            None => (left / 2).max(held),
            Some(said) if leaves => held.min(said),
            Some(said) => said,
        };
        if !replaced {
            self.links.said = None;
        } else if self.links.said.is_none_or(|said| share + FEWER <= said) {
            self.links.said = Some(share);
            let all = u32::try_from(share + self.room.kept + others).unwrap_or(u32::MAX);
            handover.send_to_successors(&self.reactor, &Message::Holds(all));
        }
        if leaves {
            // Danger: with less room, a job that still comes on a connection of its would fail for want of it.
            return;
        }
        let (clients, attempts, open) = self.room.of(share);
        self.clients.set_connection_limit(clients);
        self.attempts.set_connection_limit(attempts);
        self.hub.set_waiting_limit(open);
    }

    /// Takes in what has come of links to other processes of this node.
    fn linked(&mut self, events: Vec<handover::Event>) {
        for event in events {
            match event {
                handover::Event::LinkEvent(
                    _,
                    LinkEvent::Client(input, useful),
                    Some(descriptor),
                ) => {
                    self.clients.adopt_connection(
                        &mut self.reactor,
                        descriptor.into(),
                        input,
                        useful,
                    );
                }
                handover::Event::LinkEvent(
                    link,
                    LinkEvent::Job(job, input, closes),
                    descriptor,
                ) => {
                    // Without its connection, for which there may have been no descriptor left, its client has gone.
                    let adopted = descriptor.and_then(|descriptor| {
                        self.clients.adopt_waiting_connection(
                            &mut self.reactor,
                            descriptor.into(),
                            input,
                            closes,
                        )
                    });
                    let client = adopted.filter(|client| self.clients.awaits_answer(*client));
                    self.reactor.queue.push_back(Input::RequestMigrated {
                        link,
                        client,
                        request: job,
                    });
                }
                handover::Event::LinkEvent(link, news, _) => self.news(link, news),
                handover::Event::Over(link, waiting, stalled) => {
                    self.unlinked(link, waiting, stalled)
                }
            }
        }
    }

    /// A link is over: what its process held is gone with it, or out of reach.
    fn unlinked(&mut self, link: usize, waiting: Vec<ClientId>, stalled: bool) {
        self.reactor.queue.push_back(Input::SiblingLost { link });
        self.links.holds.remove(&link);
        self.links.told.remove(&link);
        self.links.origins.retain(|_, (at, _)| *at != link);
        for client in waiting {
            if stalled {
                // The job may still be held there: its worker is to call again.
                self.links.words.remove(&client);
                self.clients.abort_connection(&mut self.reactor, client);
            } else {
                self.word(client, false);
            }
        }
        self.hub
            .set_siblings_linked(self.handover.as_ref().is_some_and(Handover::has_links));
        let successor = self.handover.as_ref().and_then(Handover::successor);
        if self.life.stage() == Stage::HandingOver && successor.is_none() {
            tracing::warn!("the process that took over is gone");
            self.life.set_handing_over(false);
            self.clients.set_accepting(&self.reactor, true);
            self.heed();
        }
        self.share();
        self.begin();
    }

    fn news(&mut self, link: usize, news: LinkEvent) {
        match news {
            LinkEvent::Greeted => {
                self.hub.set_siblings_linked(true);
                self.greeted(link);
            }
            LinkEvent::StateUpdate(StateUpdate::Drain { on: true, ago }) => {
                self.drain(Some(link), f64::from(ago).max(0.0))
            }
            LinkEvent::StateUpdate(StateUpdate::Drain { on: false, .. }) => {
                self.activate();
            }
            LinkEvent::StateUpdate(StateUpdate::List(kept)) => {
                self.list.adopt_snapshot(&mut self.reactor, &kept)
            }
            LinkEvent::StateUpdate(tale) => {
                // Of two processes one has the place among the nodes, and tells them. What was so before is no new word: it
                // is told once it is known what the fleet has said.
                let older = self
                    .handover
                    .as_ref()
                    .is_some_and(|h| h.role_of(link) == Some(Role::Newer));
                let new = !older || self.links.told.contains(&link);
                if let (StateUpdate::Use { worker, again }, Some(fleet), true) =
                    (&tale, &mut self.fleet, new)
                {
                    let (_, events) = fleet.set_suspended(&mut self.reactor, None, worker, *again);
                    self.told_by_fleet(events);
                }
                self.reactor
                    .queue
                    .push_back(Input::SiblingUpdate { link, update: tale });
            }
            LinkEvent::Told => {
                self.links.told.insert(link);
                self.begin();
            }
            LinkEvent::Holds(most) => {
                self.links.holds.insert(link, most as usize);
                self.share();
            }
            LinkEvent::Call(number, body) => match clients::call(&body) {
                Some(call) => {
                    self.links.next += 1;
                    let client = LINKED | self.links.next;
                    self.links.origins.insert(client, (link, number));
                    self.reactor.queue.push_back(Input::CallbackReceived {
                        client,
                        callback: call,
                    });
                }
                None => self.say(
                    link,
                    &Message::Called {
                        number,
                        known: false,
                    },
                ),
            },
            LinkEvent::Called(client, known) => self.word(client, known),
            // Without its descriptor there is nothing to take over; what becomes of a job is said with its event.
            LinkEvent::Client(..) | LinkEvent::Job(..) => {}
            LinkEvent::Leaves => tracing::info!("the older process of this node leaves"),
        }
    }

    /// Another process of this node has greeted: a newer one is told all that it must know.
    fn greeted(&mut self, link: usize) {
        let Some(handover) = self
            .handover
            .as_mut()
            .filter(|h| h.role_of(link) == Some(Role::Older))
        else {
            return;
        };
        let now = self.reactor.now;
        let drain = self.life.draining_since().map(|at| StateUpdate::Drain {
            on: true,
            ago: (now - at) as f32,
        });
        let tales = drain
            .into_iter()
            .chain(self.list.snapshot().map(StateUpdate::List))
            .chain(self.hub.snapshot_updates(now));
        for tale in tales {
            handover.send(&self.reactor, link, &Message::StateUpdate(tale));
        }
        self.links.said = None;
        self.share();
        if let Some(handover) = &mut self.handover {
            handover.complete_snapshot(&self.reactor, link);
        }
        self.hand_over();
    }

    fn say(&mut self, link: usize, message: &Message) {
        if let Some(handover) = &mut self.handover {
            handover.send(&self.reactor, link, message);
        }
    }

    /// Another process's word on a call-back: with a yes, or the last no, it is acknowledged.
    fn word(&mut self, client: ClientId, known: bool) {
        let Some((left, _)) = self.links.words.get_mut(&client) else {
            return;
        };
        *left -= 1;
        if !known && *left > 0 {
            return;
        }
        let Some((_, call)) = self.links.words.remove(&client) else {
            return;
        };
        if known {
            self.acknowledge(client, true);
        } else {
            // The job may have come over before that word.
            self.reactor.queue.push_back(Input::CallbackRetried {
                client,
                callback: call,
            });
        }
    }

    fn acknowledge(&mut self, client: ClientId, known: bool) {
        if client & LINKED == 0 {
            return self.clients.acknowledge_callback(&mut self.reactor, client);
        }
        if let Some((link, number)) = self.links.origins.remove(&client) {
            self.say(link, &Message::Called { number, known });
        }
    }

    /// Asks the other processes of this node whether they know what a call-back is on.
    fn forward(&mut self, client: ClientId, call: messages::JobCall) {
        let except = self.links.origins.get(&client).map(|(link, _)| *link);
        let body = clients::wording(&call);
        let asked = self.handover.as_mut().map_or(0, |h| {
            h.forward_callback(&self.reactor, except, client, &body)
        });
        if asked == 0 {
            self.acknowledge(client, false);
        } else {
            self.links.words.insert(client, (asked, call));
        }
    }

    fn reload(&mut self) {
        let Some((signal, source)) = &mut self.reload else {
            return;
        };
        // What was signalled before the source is asked is in what it gives; a later signal asks again.
        if let Some(config) = signal.take(&self.reactor).then(source).flatten() {
            self.list
                .set_discovery_address(&mut self.reactor, config.discovery);
        }
    }

    /// Tells the hub all that has happened and does what it wants done.
    fn work(&mut self) {
        let mut commands = Vec::new();
        while let Some(input) = self.reactor.queue.pop_front() {
            self.hub.handle(self.reactor.now, input, &mut commands);
            for command in commands.drain(..) {
                let reactor = &mut self.reactor;
                match command {
                    Command::StartAttempt {
                        attempt,
                        worker,
                        payload,
                        deadline: until,
                    } => {
                        self.acts += 1;
                        self.attempts
                            .start_attempt(reactor, attempt, worker, &payload, until);
                    }
                    Command::CancelAttempt {
                        attempt,
                        worker,
                        payload,
                        accepted,
                    } => {
                        self.attempts.cancel_attempt(
                            reactor,
                            attempt,
                            worker,
                            &payload.id,
                            accepted,
                        );
                    }
                    Command::ProbeWorker {
                        attempt,
                        worker,
                        timeout: wait,
                    } => self.attempts.start_probe(reactor, attempt, worker, wait),
                    Command::WithdrawAttempt { attempt } => {
                        self.attempts.withdraw_attempt(reactor, attempt)
                    }
                    Command::CloseIdleConnections { worker } => {
                        self.attempts.close_idle_connections(reactor, worker)
                    }
                    Command::ReplyToManagement { caller: key, reply } => self.operator(key, reply),
                    Command::AnswerClient { client, answer } => {
                        self.clients.send_answer(reactor, client, &answer)
                    }
                    Command::AcknowledgeCallback { client, known } => {
                        self.acknowledge(client, known)
                    }
                    Command::ForwardCallback {
                        client,
                        callback: call,
                    } => self.forward(client, call),
                    Command::UpdateSiblings {
                        except,
                        update: tale,
                    } => self.tell(except, &Message::StateUpdate(tale)),
                    Command::WriteRecords {
                        writes,
                        waiter: wait,
                    } => {
                        if let Some(keeper) = &mut self.keeper {
                            keeper.write(reactor, writes, wait);
                        }
                    }
                    Command::ReadResult { client, id } => {
                        if let Some(keeper) = &mut self.keeper {
                            keeper.read_result(client, &id);
                        }
                    }
                    Command::SetTimer { at, timer: due } => {
                        reactor.set_timer(at, Timer::Requests(due))
                    }
                }
            }
        }
    }
}
