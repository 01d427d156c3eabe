//! The network between nodes: a proxy in front of each node forwards datagrams and connections to
//! it with the faults of the link.
//!
//! A proxy identifies the link of a datagram or a connection by the sender's address. Random faults
//! are derived from a seed.

mod connections;
mod datagrams;

use connections::ConnectionProxy;
use datagrams::DatagramProxy;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of ports that are tried until one is free for both datagrams and connections.
const MAX_PORT_ATTEMPTS: u32 = 32;

/// The faults of a link, which carries the datagrams and connections in one direction between two
/// nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkFaults {
    /// Whether the link is partitioned: all datagrams are lost, and the bytes and the closing of
    /// connections are held back until the partition ends.
    pub partitioned: bool,
    /// Share of datagrams that are lost, from 0 to 1.
    pub loss_rate: f64,
    /// Share of datagrams that are sent twice, from 0 to 1.
    pub duplication_rate: f64,
    /// Maximum delay. Each datagram has a random delay, so that datagrams arrive out of order.
    pub max_delay: Duration,
    /// Probability, from 0 to 1, that a connection is closed on both sides within a forwarded
    /// chunk.
    pub reset_rate: f64,
    /// Maximum throughput of a connection, in bytes per second; 0 for no limit.
    pub max_bytes_per_second: u32,
}

/// Returns this many loopback addresses that neither another test process nor another call uses.
pub fn loopback_addresses(count: u8) -> Vec<IpAddr> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let first = NEXT.fetch_add(count, Ordering::SeqCst);
    let address = |number: u8| {
        IpAddr::from([
            127,
            64 + (process >> 8) as u8 % 64,
            process as u8,
            first + number,
        ])
    };
    (0..count).map(address).collect()
}

/// One direction between two nodes, given by their indexes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct LinkId {
    from: usize,
    to: usize,
}

/// The faults of all links. A link without an entry has no faults.
#[derive(Clone, Debug, Default)]
struct LinkTable(Arc<Mutex<HashMap<LinkId, LinkFaults>>>);

impl LinkTable {
    /// Returns the faults of a link. Senders that are not nodes of the network have no link and no
    /// faults.
    fn faults(&self, link: Option<LinkId>) -> LinkFaults {
        let links = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        link.and_then(|link| links.get(&link).copied())
            .unwrap_or_default()
    }

    fn set(&self, link: LinkId, faults: LinkFaults) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(link, faults);
    }

    fn clear(&self) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }
}

/// State that is shared by the proxies of a node.
#[derive(Clone, Debug)]
struct ProxyTarget {
    /// The index of the node.
    node: usize,
    /// The address at which it listens.
    address: SocketAddr,
    /// The indexes of all nodes by the addresses from which they send.
    node_by_ip: Arc<HashMap<IpAddr, usize>>,
    links: LinkTable,
    stopped: Arc<AtomicBool>,
}

impl ProxyTarget {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }
}

/// The network between some nodes.
#[derive(Debug)]
pub struct FaultyNetwork {
    links: LinkTable,
    proxy_addresses: Vec<SocketAddr>,
    stopped: Arc<AtomicBool>,
}

impl FaultyNetwork {
    /// Starts proxies for the nodes that listen at these addresses. Each node must send from the
    /// address at which it listens, and advertise its proxy's address to the others.
    ///
    /// # Errors
    ///
    /// If there is no free address for a proxy.
    pub fn start(nodes: &[SocketAddr], seed: u64) -> io::Result<Self> {
        let links = LinkTable::default();
        let stopped = Arc::new(AtomicBool::new(false));
        let node_by_ip = nodes.iter().enumerate();
        let node_by_ip = Arc::new(node_by_ip.map(|(node, at)| (at.ip(), node)).collect());
        let proxy_ips = loopback_addresses(nodes.len() as u8);
        let mut proxy_addresses = Vec::new();
        for (node, (address, proxy_ip)) in nodes.iter().zip(proxy_ips).enumerate() {
            let (socket, listener) = bind_same_port(proxy_ip)?;
            proxy_addresses.push(socket.local_addr()?);
            let target = ProxyTarget {
                node,
                address: *address,
                node_by_ip: Arc::clone(&node_by_ip),
                links: links.clone(),
                stopped: stopped.clone(),
            };
            let seed = seed ^ node as u64;
            let datagrams = DatagramProxy::new(socket, target.clone(), seed)?;
            let connections = ConnectionProxy::new(listener, target, seed);
            thread::spawn(move || connections.run());
            thread::spawn(move || datagrams.run());
        }
        Ok(Self {
            links,
            proxy_addresses,
            stopped,
        })
    }

    /// Returns the address of this node's proxy, which the node must advertise.
    pub fn proxy_address(&self, node: usize) -> SocketAddr {
        self.proxy_addresses[node]
    }

    /// Sets the faults of one direction between two nodes.
    pub fn set_link(&self, from: usize, to: usize, faults: LinkFaults) {
        self.links.set(LinkId { from, to }, faults);
    }

    /// Partitions two sets of nodes from each other, in both directions.
    pub fn partition(&self, a: &[usize], b: &[usize]) {
        let partitioned = LinkFaults {
            partitioned: true,
            ..LinkFaults::default()
        };
        for x in a {
            for y in b {
                self.set_link(*x, *y, partitioned);
                self.set_link(*y, *x, partitioned);
            }
        }
    }

    /// Sets the faults of all links.
    pub fn set_all_links(&self, faults: LinkFaults) {
        let node_count = self.proxy_addresses.len();
        for from in 0..node_count {
            for to in 0..node_count {
                self.set_link(from, to, faults);
            }
        }
    }

    /// Ends the faults of all links.
    pub fn heal(&self) {
        self.links.clear();
    }
}

impl Drop for FaultyNetwork {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Binds a socket for datagrams and a listener for connections to the same port.
fn bind_same_port(ip: IpAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let mut attempts_left = MAX_PORT_ATTEMPTS;
    loop {
        let socket = UdpSocket::bind((ip, 0))?;
        attempts_left -= 1;
        match TcpListener::bind(socket.local_addr()?) {
            Err(_) if attempts_left > 0 => {}
            listener => return Ok((socket, listener?)),
        }
    }
}

/// Returns a random number from 0 (inclusive) to 1 (exclusive).
fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
