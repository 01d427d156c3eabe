//! The reactor: the poller, the timers, the clock of the current turn, and the queue of events for
//! the request manager. All owners of sockets share it.

use super::timer_wheel::TimerWheel;
use crate::net::messages::{self, Input};
use polling::{Event, Poller, Source};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime};

/// Length of a tick of the timers, in seconds.
const TICK_SECONDS: f64 = 0.002;
/// Connections that the kernel queues at a listener until they are accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Linux's error number for a connection that is still being established.
const EINPROGRESS: i32 = 115;

/// The part of the node that owns a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    /// The management API: its listener or a connection.
    ManagementServer,
    /// The handover: its listener or a link to a sibling process.
    Handover,
    /// The clients' listener or a connection to a client.
    Client,
    /// A connection to a worker.
    Attempt,
    /// A connection to discovery.
    Discovery,
    /// The store, which signals completed writes.
    Store,
    /// The cluster: datagrams or a connection to another node.
    Peers,
    /// A signal to stop or to reload.
    Signal,
}

/// All owners, in the order in which their events are handled within one turn.
const OWNERS: [SocketOwner; 8] = [
    SocketOwner::Discovery,
    SocketOwner::ManagementServer,
    SocketOwner::Handover,
    SocketOwner::Store,
    SocketOwner::Attempt,
    SocketOwner::Client,
    SocketOwner::Peers,
    SocketOwner::Signal,
];

/// Returns the owner of the socket with this key.
pub fn owner(key: usize) -> SocketOwner {
    OWNERS[key % OWNERS.len()]
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A timer of the request manager.
    Requests(messages::RequestTimer),
    /// The check of the links to sibling processes.
    Handover,
    /// A timer of the cluster service.
    Peers {
        /// The timer's number; only the latest counts.
        number: u64,
    },
    /// The timeout of a connection of the management API.
    ManagementConnection {
        /// The connection's key.
        key: usize,
    },
    /// The time at which the management API accepts connections again.
    ManagementAccept,
    /// The check of idle connections while draining.
    Drain,
    /// The timeout of a client's connection.
    Client {
        /// The connection's key.
        key: usize,
        /// The connection's round in which the timer was set; in a later round it is ignored.
        round: u64,
    },
    /// The time at which the clients' listener accepts connections again.
    ClientAccept,
    /// The timeout of a connection to a worker.
    Attempt {
        /// The connection's key.
        key: usize,
        /// The connection's round in which the timer was set; in a later round it is ignored.
        round: u64,
    },
    /// The time by which a connection to a worker must be established.
    AttemptConnect {
        /// The connection's key.
        key: usize,
    },
    /// The check whether a call to discovery is due.
    Discovery,
    /// The time by which the connection for a call to discovery must be established.
    DiscoveryConnect {
        /// The call's number.
        call: u64,
    },
    /// The check whether the worker list or the suspensions have changed and must be saved.
    SaveSnapshots,
    /// The end of the accept window of a shutdown, or a check after it.
    Shutdown,
}

/// A monotonic clock that starts at the Unix time of its creation.
pub struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    /// Creates a clock that starts at the current Unix time.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    /// Returns the time in seconds since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.unix + self.start.elapsed().as_secs_f64()
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// The poller, the timers, the time of the current turn, and the queue of events for the request
/// manager.
pub struct Reactor {
    poller: Poller,
    timers: TimerWheel<Timer>,
    next_key: usize,
    /// The time at which this turn of the loop began, in seconds.
    pub now: f64,
    /// Events for the request manager, in order.
    pub queue: VecDeque<Input>,
}

impl Reactor {
    /// Creates a reactor without sockets and timers.
    ///
    /// # Errors
    ///
    /// If the system can't create a poller.
    pub fn new(now: f64) -> io::Result<Self> {
        Ok(Self {
            poller: Poller::new()?,
            timers: TimerWheel::new(TICK_SECONDS, now),
            next_key: 1,
            now,
            queue: VecDeque::new(),
        })
    }

    /// Registers a socket, which waits for no events yet, and returns its key. Keys are never
    /// reused.
    ///
    /// # Errors
    ///
    /// If the poller refuses it.
    pub fn register(&mut self, source: impl Source, owner: SocketOwner) -> io::Result<usize> {
        // The owner's rank is part of the key, which orders the events of a turn and identifies the
        // owner.
        let rank = OWNERS
            .iter()
            .position(|candidate| *candidate == owner)
            .ok_or(io::ErrorKind::InvalidInput)?;
        let key = self.next_key * OWNERS.len() + rank;
        self.poller.add(source, Event::none(key))?;
        self.next_key += 1;
        Ok(key)
    }

    /// Sets whether a socket waits to become readable and writable. After its next event it waits
    /// for nothing until it is rearmed.
    pub fn rearm(&self, source: impl Source, key: usize, (readable, writable): (bool, bool)) {
        // This can't fail for a registered socket; if it does, the owner's timeout closes the
        // socket.
        let _ = self.poller.modify(
            source,
            Event {
                key,
                readable,
                writable,
            },
        );
    }

    /// Removes a socket; must be called before the socket is closed.
    pub fn deregister(&self, source: impl Source) {
        let _ = self.poller.delete(source);
    }

    /// Waits for events, or until the next timer is due, and sorts the events by the rank of their
    /// owners. Discovery comes first, so that no request is sent by an outdated worker list; then
    /// the management API, which must answer however busy the node is.
    ///
    /// # Errors
    ///
    /// If the system's poller fails.
    pub fn wait(&self, events: &mut Vec<Event>, now: f64) -> io::Result<()> {
        let until = self
            .timers
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

    /// Removes and returns the timers that are due, in order.
    pub fn expired_timers(&mut self) -> Vec<Timer> {
        self.timers.advance(self.now)
    }

    /// Sets a timer that expires at `at`, in seconds. Timers can't be cancelled.
    pub fn set_timer(&mut self, at: f64, timer: Timer) {
        self.timers.insert(at, timer);
    }
}

/// Starts a non-blocking connection.
///
/// # Errors
///
/// If the connection can't be started.
pub fn dial(to: SocketAddr) -> io::Result<TcpStream> {
    dial_from(None, to)
}

/// Starts a non-blocking connection, from a local address if one is given.
///
/// # Errors
///
/// If the connection can't be started.
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
            if error.raw_os_error() == Some(EINPROGRESS)
                || error.kind() == io::ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(socket.into())
}

/// Opens a non-blocking listener.
///
/// # Errors
///
/// If the address is not local, or in use.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}
