//! The network between nodes: each has a relay that the others take for it, and that knows by the sender's address which
//! link a datagram is on. Faults come from a seed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// What becomes of datagrams in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Link {
    /// All are lost.
    pub cut: bool,
    /// Share lost, of the others.
    pub loss: f64,
    /// Share sent twice.
    pub twice: f64,
    /// Each is late by up to so much, and so out of order.
    pub late: Duration,
}

/// An address of the loopback network for each of so many, which no other test process uses.
pub fn addresses(count: u8) -> Vec<IpAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (process, first) = (std::process::id(), NEXT.fetch_add(count, Ordering::SeqCst));
    let own = |n: u8| IpAddr::from([127, 64 + (process >> 8) as u8 % 64, process as u8, first + n]);
    (0..count).map(own).collect()
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
        let from: HashMap<IpAddr, usize> = nodes.iter().enumerate().map(|(n, at)| (at.ip(), n)).collect();
        let at = addresses(nodes.len() as u8);
        let mut relays = Vec::new();
        for (to, (node, at)) in nodes.iter().zip(at).enumerate() {
            let socket = UdpSocket::bind((at, 0))?;
            socket.set_read_timeout(Some(Duration::from_millis(2)))?;
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
        Ok(Self { links, relays, over })
    }

    /// What others are to be told of this node's address.
    pub fn relay(&self, node: usize) -> SocketAddr {
        self.relays[node]
    }

    /// Sets one direction.
    pub fn set(&self, from: usize, to: usize, link: Link) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).insert((from, to), link);
    }

    /// Cuts both directions between two sets.
    pub fn part(&self, a: &[usize], b: &[usize]) {
        for (x, y) in a.iter().flat_map(|x| b.iter().map(move |y| (*x, *y))) {
            self.set(x, y, Link { cut: true, ..Link::default() });
            self.set(y, x, Link { cut: true, ..Link::default() });
        }
    }

    /// Sets all directions.
    pub fn all(&self, link: Link) {
        for (from, to) in (0..self.relays.len()).flat_map(|a| (0..self.relays.len()).map(move |b| (a, b))) {
            self.set(from, to, link);
        }
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.links.lock().unwrap_or_else(PoisonError::into_inner).clear();
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

    fn uniform(&mut self) -> f64 {
        (self.draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn take(&mut self, bytes: &[u8], from: SocketAddr) {
        // Who is no node of this network reaches it without faults.
        let link = self
            .from
            .get(&from.ip())
            .map(|from| (*from, self.to))
            .and_then(|way| self.links.lock().unwrap_or_else(PoisonError::into_inner).get(&way).copied());
        let link = link.unwrap_or_default();
        if link.cut || self.uniform() < link.loss {
            return;
        }
        let times = if self.uniform() < link.twice { 2 } else { 1 };
        for _ in 0..times {
            let way = link.late.mul_f64(self.uniform());
            self.late.push((Instant::now() + way, bytes.to_vec()));
        }
    }
}
