//! The node: the one loop that waits for sockets, timers and the signal to stop, and hands each to its owner.

use super::config::Config;
use super::farm::Farm;
use super::keeper::Keeper;
use super::keeping::Keeping;
use super::lifecycle::Lifecycle;
use super::management::{self, Call, Door, Reply};
use super::proxy_pass::ProxyPasses;
use super::reactor::{self, Clock, Due, Owner, Reactor};
use super::transaction::{self, Command, Hub, Input};
use super::user_agent::{self, UserAgents};
use crate::interface::ListKind;
use polling::Event;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;

/// How long after the signal to stop new connections may come.
const ACCEPT_WINDOW: f64 = 0.6;
/// How often it is looked whether all has been answered after that.
const LOOK: f64 = 0.02;
/// So many looks in a row find nothing before the node ends: a user agent whose request crossed the end of its
/// connection sends it again on a new one.
const QUIET: u32 = 10;
/// How often the farm's list is kept, if it has changed.
const FARM_KEPT: f64 = 1.0;
/// How often idle connections are looked at in a drain.
const DRAIN_LOOK: f64 = 0.05;
/// Descriptors kept for what is no connection.
const SPARE: usize = 24;

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

/// A real node.
pub struct Node {
    clock: Clock,
    reactor: Reactor,
    hub: Hub,
    agents: UserAgents,
    passes: ProxyPasses,
    farm: Farm,
    keeper: Option<Keeper>,
    door: Option<Door>,
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
        let kept = match &config.store {
            Some(section) => {
                let (keeper, mut ledger, list) = Keeper::start(&mut reactor, section, &config.name)?;
                if let Some(list) = list {
                    known = list.or(known, config.discovery);
                }
                let nothing_ran = ledger.loaded();
                let keeping = Keeping::new(
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
        let listener = config.listener.map_or_else(|| listen(config.listen), Ok)?;
        let door = config.mgmt.map(listen).transpose()?;
        let door = door.map(|listener| Door::new(&mut reactor, listener)).transpose()?;
        let address = listener.local_addr()?;
        let sockets =
            config.sockets.saturating_sub(SPARE + door.as_ref().map_or(0, |_| management::MOST)).max(16);
        // Three quarters of the memory hold what each user agent's connection can come to at most.
        let memory = (config.memory_mb << 20) / 4 * 3 / user_agent::MOST_HELD;
        let most = (sockets * 5 / 8).min(memory.max(8));
        // Were all connections held, no call-back could come in to end a single one.
        let open = (most * 7 / 8).max(1);
        settings.max_open = if settings.max_open > 0 { settings.max_open.min(open) } else { open };
        let agents = UserAgents::new(&mut reactor, listener, settings.clone(), most)?;
        let passes = ProxyPasses::new(sockets * 3 / 8, settings.dial_timeout, settings.conn_idle);
        // A list without a worker is none: as one that is held it would keep the node waiting for its turn.
        let revision = known.as_ref().map(|list| list.revision);
        let members = known.clone().map(|list| list.members(&settings)).unwrap_or_default();
        let revision = revision.filter(|_| !members.is_empty());
        let mut farm = Farm::new(config.discovery, settings.clone(), revision, config.seed);
        let mut hub = Hub::new(settings.clone(), config.seed)?;
        let keeper = kept.map(|(mut keeper, keeping, nothing_ran)| {
            hub.keep(keeping);
            keeper.write(&mut reactor, nothing_ran, transaction::Wait::Nobody(String::new()));
            reactor.queue.push_back(Input::Due(transaction::Due::Expire));
            keeper
        });
        if !members.is_empty() {
            reactor.queue.push_back(Input::Farm(ListKind::Cached, members));
        }
        if keeper.is_some() {
            farm.hold(known.as_ref());
            reactor.timer(reactor.now + FARM_KEPT, Due::FarmKept);
        }
        let stop = Signal::new(&mut reactor, stop)?;
        let (reload, quiet, done) = (None, 0, false);
        let mut life = Lifecycle::default();
        life.start();
        Ok(Self {
            clock,
            reactor,
            hub,
            agents,
            passes,
            farm,
            keeper,
            door,
            life,
            stop,
            reload,
            address,
            quiet,
            done,
            longest: 0.0,
        })
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
        self.farm.start(&mut self.reactor);
        while !self.done {
            self.work();
            let now = self.clock.now();
            self.longest = self.longest.max(now - self.reactor.now);
            self.reactor.wait(&mut events, now)?;
            self.reactor.now = self.clock.now();
            for event in &events {
                self.dispatch(*event);
            }
            for due in self.reactor.due() {
                self.due(due);
            }
        }
        Ok(())
    }

    fn dispatch(&mut self, Event { key, readable, writable }: Event) {
        let reactor = &mut self.reactor;
        match reactor::owner(key) {
            Owner::Door => {
                let calls = self.door.as_mut().map(|door| door.ready(reactor, key, readable, writable));
                self.called(calls.unwrap_or_default());
            }
            Owner::Agent => self.agents.ready(reactor, key, readable, writable),
            Owner::Pass => self.passes.ready(reactor, key, readable, writable),
            Owner::Farm => self.farm.ready(reactor, key, readable, writable),
            Owner::Store => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.ready(reactor);
                }
            }
            Owner::Signal if key == self.stop.key => self.stop(),
            Owner::Signal => self.reload(),
        }
    }

    fn due(&mut self, due: Due) {
        let reactor = &mut self.reactor;
        match due {
            Due::Hub(due) => reactor.queue.push_back(Input::Due(due)),
            Due::Caller(key) => {
                if let Some(door) = &mut self.door {
                    door.due(reactor, key);
                }
            }
            Due::Callers => {
                let calls = self.door.as_mut().map(|door| door.accept(reactor));
                self.called(calls.unwrap_or_default());
            }
            Due::Drain => {
                if let Some(idle) = self.life.idle(reactor.now) {
                    self.agents.close_idle(reactor, idle);
                }
                if self.life.drained() && self.life.serves() {
                    reactor.timer(reactor.now + DRAIN_LOOK, Due::Drain);
                }
            }
            Due::Agent(key, round) => self.agents.due(reactor, key, round),
            Due::Accept => self.agents.accept_due(reactor),
            Due::Pass(key, round) => self.passes.pass_due(reactor, key, round),
            Due::Dial(key) => self.passes.dial_due(reactor, key),
            Due::Farm(call) => self.farm.due(reactor, call),
            Due::FarmDial(call) => self.farm.dial_due(reactor, call),
            Due::FarmAgain => self.farm.again(reactor),
            Due::FarmKept => {
                if let (Some(keeper), Some(list)) = (&mut self.keeper, self.farm.changed()) {
                    keeper.keep_farm(&list);
                }
                reactor.timer(reactor.now + FARM_KEPT, Due::FarmKept);
            }
            Due::WindUp => {
                let quiet = self.agents.wind_up(reactor) && self.hub.held() == 0;
                self.quiet = if quiet { self.quiet + 1 } else { 0 };
                self.done = self.quiet >= QUIET;
                reactor.timer(reactor.now + LOOK, Due::WindUp);
            }
        }
    }

    fn stop(&mut self) {
        self.stop.take(&self.reactor);
        if self.life.stop() {
            self.heed();
            self.reactor.timer(self.reactor.now + ACCEPT_WINDOW, Due::WindUp);
        }
    }

    /// Has the user agents' side go by the node's life.
    fn heed(&mut self) {
        self.agents.heed(self.life.wants(), self.life.closes());
    }

    /// Carries out operators' calls.
    fn called(&mut self, calls: Vec<(usize, Call)>) {
        for (key, call) in calls {
            let reply = match call {
                Call::Ready if self.life.serves() => Reply::Yes,
                Call::Ready => Reply::NotNow,
                Call::Drain => {
                    self.drain();
                    Reply::Yes
                }
                Call::Activate if self.life.activate() => {
                    tracing::info!("activated");
                    self.heed();
                    Reply::Yes
                }
                Call::Activate => Reply::NotNow,
                Call::Suspend(id) => {
                    self.reactor.queue.push_back(Input::Use(key, id, false));
                    continue;
                }
                Call::Resume(id) => {
                    self.reactor.queue.push_back(Input::Use(key, id, true));
                    continue;
                }
            };
            if let Some(door) = &mut self.door {
                door.answer(&mut self.reactor, key, reply);
            }
        }
    }

    fn drain(&mut self) {
        if !self.life.drained() {
            tracing::info!("draining");
            self.reactor.timer(self.reactor.now + DRAIN_LOOK, Due::Drain);
        }
        self.life.drain(self.reactor.now);
        self.heed();
    }

    fn reload(&mut self) {
        let Some((signal, source)) = &mut self.reload else { return };
        // What was signalled before the source is asked is in what it gives; a later signal asks again.
        if let Some(config) = signal.take(&self.reactor).then(source).flatten() {
            self.farm.moved(&mut self.reactor, config.discovery);
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
                    Command::Start(pass, worker, payload, wait) => {
                        self.passes.start(reactor, pass, worker, &payload, wait);
                    }
                    Command::Abandon(pass, worker, payload, accepted) => {
                        self.passes.abandon(reactor, pass, worker, &payload.id, accepted);
                    }
                    Command::Withdraw(pass) => self.passes.withdraw(reactor, pass),
                    Command::Forget(worker) => self.passes.forget(reactor, worker),
                    Command::Operator(key, reply) => {
                        if let Some(door) = &mut self.door {
                            door.answer(reactor, key, reply);
                        }
                    }
                    Command::Answer(agent, answer) => self.agents.answer(reactor, agent, &answer),
                    Command::Acknowledge(agent) => self.agents.acknowledge(reactor, agent),
                    Command::Write(writes, wait) => {
                        if let Some(keeper) = &mut self.keeper {
                            keeper.write(reactor, writes, wait);
                        }
                    }
                    Command::Fetch(agent, id) => {
                        if let Some(keeper) = &mut self.keeper {
                            keeper.fetch(agent, &id);
                        }
                    }
                    Command::Watch => self.farm.watch(reactor),
                    Command::Timer(at, due) => reactor.timer(at, Due::Hub(due)),
                }
            }
        }
    }
}
