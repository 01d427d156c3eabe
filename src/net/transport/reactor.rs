//! What the owners of sockets stand on: the poller, the timers, the clock and the queue to the hub.

use super::timer_wheel::TimerWheel;
use crate::net::messages::{self, Input};
use polling::{Event, Poller, Source};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime};

/// A tick of the timers, in seconds.
const TICK: f64 = 0.002;

/// Whose a socket is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The operators' door's.
    ManagementServer,
    /// Another process's of this node, or where it comes to.
    Handover,
    /// The listener's or a client's.
    Client,
    /// An attempt's.
    Attempt,
    /// Discovery's.
    Discovery,
    /// The store's, which tells what has become of writes.
    Store,
    /// Other nodes'.
    Peers,
    /// A signal to stop or to reload.
    Signal,
}

const OWNERS: [Owner; 8] = [
    Owner::Discovery,
    Owner::ManagementServer,
    Owner::Handover,
    Owner::Store,
    Owner::Attempt,
    Owner::Client,
    Owner::Peers,
    Owner::Signal,
];

/// Whose socket a key is.
pub fn owner(key: usize) -> Owner {
    OWNERS[key % OWNERS.len()]
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A timer of the request manager.
    Requests(messages::RequestTimer),
    /// A look at the links to other processes of this node.
    Handover,
    /// What other nodes are owed, or are waited for; this look is the one of that number.
    Peers(u64),
    /// A caller at the operators' door.
    Caller(usize),
    /// Callers are taken again.
    Callers,
    /// A look at idle connections in a drain.
    Drain,
    /// A client's connection, in its round.
    Client(usize, u64),
    /// Accepting goes on.
    Accept,
    /// A worker's connection, in its round.
    Attempt(usize, u64),
    /// A worker's connection that is being made.
    Dial(usize),
    /// A look at which call to discovery is due.
    Discovery,
    /// The connection for a call to discovery.
    DiscoveryDial(u64),
    /// Keeping the list of workers, if it has changed.
    ListKept,
    /// The end of the accept window, or a look after it.
    WindUp,
}

/// One monotonic clock that shows Unix time as it was at the start.
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    /// Anchors it now.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    /// Seconds since 1970.
    pub fn now(&self) -> f64 {
        self.unix + self.start.elapsed().as_secs_f64()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// What the owners of connections share: the poller, the timers, the time, and the queue to the hub.
pub struct Reactor {
    poller: Poller,
    wheel: TimerWheel<Timer>,
    next_key: usize,
    /// The time of this turn of the loop.
    pub now: f64,
    /// News for the hub, in their order.
    pub queue: VecDeque<Input>,
}

impl Reactor {
    /// A reactor without sockets and timers.
    ///
    /// # Errors
    ///
    /// If the system gives no poller.
    pub fn new(now: f64) -> io::Result<Self> {
        let (poller, wheel, queue) = (Poller::new()?, TimerWheel::new(TICK, now), VecDeque::new());
        Ok(Self {
            poller,
            wheel,
            next_key: 1,
            now,
            queue,
        })
    }

    /// Takes a socket in, without interest yet; keys are never used again.
    ///
    /// # Errors
    ///
    /// If the poller refuses it.
    pub fn register(&mut self, source: impl Source, whose: Owner) -> io::Result<usize> {
        // One without a rank would have its events told to another.
        let rank = OWNERS
            .iter()
            .position(|o| *o == whose)
            .ok_or(io::ErrorKind::InvalidInput)?;
        let key = self.next_key * OWNERS.len() + rank;
        self.poller.add(source, Event::none(key))?;
        self.next_key += 1;
        Ok(key)
    }

    /// Says what a socket waits for; it holds for one event.
    pub fn rearm(&self, source: impl Source, key: usize, (readable, writable): (bool, bool)) {
        // A socket that the poller holds can be changed; if not, its owner's timer ends it.
        let _ = self.poller.modify(
            source,
            Event {
                key,
                readable,
                writable,
            },
        );
    }

    /// Lets a socket go, before it is closed.
    pub fn deregister(&self, source: impl Source) {
        let _ = self.poller.delete(source);
    }

    /// Waits for sockets, or until the next timer is due; what comes of the same owner's rank stays together.
    /// News of the list come first: what the list says comes before all that might be sent by an older one; then
    /// operators' calls, which are owed an answer however busy the node is.
    ///
    /// # Errors
    ///
    /// If the system's poller fails.
    pub fn wait(&self, events: &mut Vec<Event>, now: f64) -> io::Result<()> {
        let until = self
            .wheel
            .next()
            .map(|at| Duration::from_secs_f64((at - now).max(0.0)));
        events.clear();
        if let Err(error) = self.poller.wait(events, until)
            && error.kind() != io::ErrorKind::Interrupted
        {
            return Err(error);
        }
        events.sort_by_key(|event| event.key % OWNERS.len());
        Ok(())
    }

    /// The timers that are due now.
    pub fn expired_timers(&mut self) -> Vec<Timer> {
        self.wheel.advance(self.now)
    }

    /// Sets a timer.
    pub fn set_timer(&mut self, at: f64, due: Timer) {
        self.wheel.insert(at, due);
    }
}

/// Starts to connect, without waiting.
///
/// # Errors
///
/// If the connection can't even be started.
pub fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    dial_from(None, to)
}

/// The same from this address of this machine.
///
/// # Errors
///
/// If the connection can't even be started.
pub fn dial_from(from: Option<IpAddr>, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
    if let Some(from) = from {
        socket.bind(&SocketAddr::new(from, 0).into())?;
    }
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Ok(()) => {}
        Err(error)
            if error.raw_os_error() == Some(115) || error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// Listens, without waiting for anybody.
///
/// # Errors
///
/// If the address is none of this machine's, or taken.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(1024)?;
    Ok(socket.into())
}
