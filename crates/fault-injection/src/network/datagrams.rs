//! The proxy for datagrams to one node.

use super::{LinkId, ProxyTarget, uniform};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

/// How long the proxy waits for a datagram before it checks for delayed datagrams that are due.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(2);
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// A delayed datagram.
struct Delayed {
    due: Instant,
    bytes: Vec<u8>,
}

/// Forwards datagrams to one node, subject to the faults of their links.
pub(super) struct DatagramProxy {
    socket: UdpSocket,
    target: ProxyTarget,
    rng: Pcg64Mcg,
    delayed: Vec<Delayed>,
}

impl DatagramProxy {
    pub(super) fn new(socket: UdpSocket, target: ProxyTarget, seed: u64) -> io::Result<Self> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Self {
            socket,
            target,
            rng: Pcg64Mcg::seed_from_u64(seed),
            delayed: Vec::new(),
        })
    }

    /// Forwards datagrams until the network is stopped.
    pub(super) fn run(mut self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        while !self.target.is_stopped() {
            if let Ok((size, from)) = self.socket.recv_from(&mut bytes) {
                self.receive(&bytes[..size], from);
            }
            self.send_due();
        }
    }

    /// Loses, duplicates or delays a datagram according to the faults of its link.
    fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        let to = self.target.node;
        let from = self.target.node_by_ip.get(&from.ip()).copied();
        let faults = self
            .target
            .links
            .faults(from.map(|from| LinkId { from, to }));
        if faults.partitioned || uniform(&mut self.rng) < faults.loss_rate {
            return;
        }
        let is_duplicated = uniform(&mut self.rng) < faults.duplication_rate;
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay = faults.max_delay.mul_f64(uniform(&mut self.rng));
            self.delayed.push(Delayed {
                due: Instant::now() + delay,
                bytes: bytes.to_vec(),
            });
        }
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let (due, delayed): (Vec<Delayed>, _) = self
            .delayed
            .drain(..)
            .partition(|datagram| datagram.due <= now);
        self.delayed = delayed;
        for datagram in due {
            // A datagram to a node that isn't running is lost.
            let _ = self.socket.send_to(&datagram.bytes, self.target.address);
        }
    }
}
