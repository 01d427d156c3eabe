//! The network between nodes: each has a relay that the others take for it, and that knows by the sender's address which
//! link a datagram or a connection is on. Faults come from a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of datagrams, and of a connection's bytes, in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// All are lost; a connection's bytes, and its end, wait until that is over.
    pub cut: bool,
    /// Share lost, of the others.
    pub loss: f64,
    /// Share sent twice.
    pub twice: f64,
    /// Each is late by up to so much, and so out of order.
    pub late: Duration,
    /// Share of a connection's pieces in whose middle it is torn down, on both sides.
    pub torn: f64,
    /// So many bytes a second of a connection at most; 0 for no limit.
    pub slow: u32,
}

/// An address of the loopback network for each of so many, which no other test process uses.
pub fn addresses(count: u8) -> Vec<IpAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (process, first) = (std::process::id(), NEXT.fetch_add(count, Ordering::SeqCst));
    let own = |n: u8| {
        IpAddr::from([
            127,
            64 + (process >> 8) as u8 % 64,
            process as u8,
            first + n,
        ])
    };
    (0..count).map(own).collect()
}

/// A socket for datagrams and a listener for connections at one port.
fn sockets(at: IpAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut left = 32;
    loop {
        let socket = UdpSocket::bind((at, 0))?;
        left -= 1;
        match TcpListener::bind(socket.local_addr()?) {
            Err(_) if left > 0 => {}
            listener => return Ok((socket, listener?)),
        }
    }
}

/// A number from 0 up to 1.
fn uniform(draws: &mut Pcg64Mcg) -> f64 {
    (draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

type Links = Arc<Mutex<HashMap<(usize, usize), Link>>>;

/// The network between so many nodes.
#[derive(Debug)]
pub struct Net {
    links: Links,
    relays: Vec<SocketAddr>,
    over: Arc<AtomicBool>,
}

impl Net {
    /// Relays for nodes that listen here, by the order of their addresses; each must send from the address that it
    /// listens at, and tell others that of its relay.
    ///
    /// # Errors
    ///
    /// If a relay gets no address.
    pub fn start(nodes: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let links = Links::default();
        let over = Arc::new(AtomicBool::new(false));
        let from: HashMap<IpAddr, usize> = nodes
            .iter()
            .enumerate()
            .map(|(n, at)| (at.ip(), n))
            .collect();
        let at = addresses(nodes.len() as u8);
        let mut relays = Vec::new();
        for (to, (node, at)) in nodes.iter().zip(at).enumerate() {
            let (socket, listener) = sockets(at)?;
            socket.set_read_timeout(Some(Duration::from_millis(2)))?;
            let connections = Connections {
                listener,
                to,
                node: *node,
                from: from.clone(),
                links: links.clone(),
                seed: seed ^ to as u64,
                over: over.clone(),
            };
            thread::spawn(move || connections.run());
            relays.push(socket.local_addr()?);
            let relay = Relay {
                socket,
                to,
                node: *node,
                from: from.clone(),
                links: links.clone(),
                draws: Pcg64Mcg::seed_from_u64(seed ^ to as u64),
                late: Vec::new(),
            };
            let over = over.clone();
            thread::spawn(move || relay.run(&over));
        }
        Ok(Self {
            links,
            relays,
            over,
        })
    }

    /// What others are to be told of this node's address.
    pub fn relay(&self, node: usize) -> SocketAddr {
        self.relays[node]
    }

    /// Sets one direction.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert((from, to), link);
    }

    /// Cuts both directions between two sets.
    pub fn part(&self, a: &[usize], b: &[usize]) {
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
            self.set(
                x,
                y,
                Link {
                    cut: true,
                    ..Link::default()
                },
            );
            self.set(
                y,
                x,
                Link {
                    cut: true,
                    ..Link::default()
                },
            );
        }
    }

    /// Sets all directions.
    pub fn all(&self, link: Link) {
        for (from, to) in
            (0..self.relays.len()).flat_map(|a| (0..self.relays.len()).map(move |b| (a, b)))
        {
            self.set(from, to, link);
        }
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

impl Drop for Net {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

struct Relay {
    socket: UdpSocket,
    to: usize,
    node: SocketAddr,
    from: HashMap<IpAddr, usize>,
    links: Links,
    draws: Pcg64Mcg,
    late: Vec<(Instant, Vec<u8>)>,
}

impl Relay {
    fn run(mut self, over: &AtomicBool) {
        let mut bytes = [0; 65_536];
        while !over.load(Ordering::SeqCst) {
            if let Ok((size, from)) = self.socket.recv_from(&mut bytes) {
                self.take(&bytes[..size], from);
            }
            let now = Instant::now();
            let (due, late) = self.late.drain(..).partition(|(at, _)| *at <= now);
            self.late = late;
            for (_, bytes) in due {
                // A node that is not there is a datagram lost.
                let _ = self.socket.send_to(&bytes, self.node);
            }
        }
    }

    fn take(&mut self, bytes: &[u8], from: SocketAddr) {
        // Who is no node of this network reaches it without faults.
        let link = self
            .from
            .get(&from.ip())
            .map(|from| (*from, self.to))
            .and_then(|way| {
                self.links
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .get(&way)
                    .copied()
            });
        let link = link.unwrap_or_default();
        if link.cut || uniform(&mut self.draws) < link.loss {
            return;
        }
        let times = if uniform(&mut self.draws) < link.twice {
            2
        } else {
            1
        };
        for _ in 0..times {
            let way = link.late.mul_f64(uniform(&mut self.draws));
            self.late.push((Instant::now() + way, bytes.to_vec()));
        }
    }
}

/// Relays connections to one node.
struct Connections {
    listener: TcpListener,
    to: usize,
    node: SocketAddr,
    from: HashMap<IpAddr, usize>,
    links: Links,
    seed: u64,
    over: Arc<AtomicBool>,
}

/// How often a held connection is looked at.
const LOOK: Duration = Duration::from_millis(5);

impl Connections {
    fn run(self) {
        if self.listener.set_nonblocking(true).is_err() {
            return;
        }
        let mut number = 0;
        while !self.over.load(Ordering::SeqCst) {
            let Ok((near, from)) = self.listener.accept() else {
                thread::sleep(LOOK);
                continue;
            };
            number += 1;
            let from = self.from.get(&from.ip()).copied();
            let way = |there: bool| Way {
                links: self.links.clone(),
                way: from.map(|from| {
                    if there {
                        (from, self.to)
                    } else {
                        (self.to, from)
                    }
                }),
                draws: Pcg64Mcg::seed_from_u64(self.seed ^ number << 8 ^ u64::from(there)),
                over: self.over.clone(),
            };
            let (there, back, node) = (way(true), way(false), self.node);
            thread::spawn(move || {
                // A connection that is being made over a link that is cut is made when it is whole again.
                there.held();
                back.held();
                let Ok(far) = TcpStream::connect(node) else {
                    return;
                };
                let _ = near.set_nonblocking(false);
                let (Ok(near_too), Ok(far_too)) = (near.try_clone(), far.try_clone()) else {
                    return;
                };
                thread::spawn(move || there.carry(near, far));
                back.carry(far_too, near_too);
            });
        }
    }
}

/// One direction of a connection.
struct Way {
    links: Links,
    way: Option<(usize, usize)>,
    draws: Pcg64Mcg,
    over: Arc<AtomicBool>,
}

impl Way {
    fn link(&self) -> Link {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        self.way
            .and_then(|way| links.get(&way).copied())
            .unwrap_or_default()
    }

    /// Waits while the link is cut.
    fn held(&self) {
        while self.link().cut && !self.over.load(Ordering::SeqCst) {
            thread::sleep(LOOK);
        }
    }

    fn carry(mut self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_read_timeout(Some(LOOK));
        let mut bytes = [0; 4096];
        while !self.over.load(Ordering::SeqCst) {
            let size = match from.read(&mut bytes) {
                Ok(size) => size,
                Err(error)
                    if [io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut]
                        .contains(&error.kind()) =>
                {
                    continue;
                }
                Err(_) => 0,
            };
            self.held();
            let link = self.link();
            if size == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if link.slow > 0 {
                thread::sleep(Duration::from_secs_f64(size as f64 / f64::from(link.slow)));
            }
            let way = link.late.mul_f64(uniform(&mut self.draws));
            thread::sleep(way);
            if uniform(&mut self.draws) < link.torn {
                let part = (uniform(&mut self.draws) * size as f64) as usize;
                let _ = to.write_all(&bytes[..part]);
                let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                return;
            }
            if to.write_all(&bytes[..size]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
