//! The proxy for connections to one node.

use super::{LinkFaults, LinkId, ProxyTarget, uniform};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Interval at which the proxy checks for new connections and bytes, and for the end of a
/// partition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum size of a chunk that is forwarded at once.
const MAX_CHUNK_BYTES: usize = 4096;

/// The direction of bytes on a connection.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Way {
    /// From the node that opened the connection.
    Forth,
    /// To the node that opened the connection.
    Back,
}

/// Forwards connections to one node, subject to the faults of their links.
pub(super) struct ConnectionProxy {
    listener: TcpListener,
    target: ProxyTarget,
    seed: u64,
}

impl ConnectionProxy {
    pub(super) fn new(listener: TcpListener, target: ProxyTarget, seed: u64) -> Self {
        Self {
            listener,
            target,
            seed,
        }
    }

    /// Accepts connections until the network is stopped, and forwards each in its own threads.
    pub(super) fn run(self) {
        if self.listener.set_nonblocking(true).is_err() {
            return;
        }
        let mut number = 0;
        while !self.target.is_stopped() {
            let Ok((stream, from)) = self.listener.accept() else {
                thread::sleep(POLL_INTERVAL);
                continue;
            };
            number += 1;
            let from = self.target.node_by_ip.get(&from.ip()).copied();
            let out = self.direction(from, number, Way::Forth);
            let back = self.direction(from, number, Way::Back);
            let address = self.target.address;
            thread::spawn(move || {
                // A connection over a partitioned link is opened when the partition ends.
                out.wait_for_partition_end();
                back.wait_for_partition_end();
                if let Ok(target_stream) = TcpStream::connect(address) {
                    forward_both_ways(stream, target_stream, out, back);
                }
            });
        }
    }

    /// Returns one direction of the connection `number`.
    fn direction(&self, from: Option<usize>, number: u64, way: Way) -> Direction {
        let to = self.target.node;
        let link = from.map(|from| match way {
            Way::Forth => LinkId { from, to },
            Way::Back => LinkId { from: to, to: from },
        });
        let seed = self.seed ^ number << 8 ^ u64::from(way == Way::Forth);
        Direction {
            link,
            target: self.target.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }
}

fn forward_both_ways(source: TcpStream, target: TcpStream, out: Direction, back: Direction) {
    let _ = source.set_nonblocking(false);
    let (Ok(source_clone), Ok(target_clone)) = (source.try_clone(), target.try_clone()) else {
        return;
    };
    thread::spawn(move || out.forward(source, target));
    back.forward(target_clone, source_clone);
}

/// One direction of a connection.
struct Direction {
    link: Option<LinkId>,
    target: ProxyTarget,
    rng: Pcg64Mcg,
}

impl Direction {
    fn faults(&self) -> LinkFaults {
        self.target.links.faults(self.link)
    }

    fn wait_for_partition_end(&self) {
        while self.faults().partitioned && !self.target.is_stopped() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Forwards bytes until the connection ends or the network is stopped.
    fn forward(mut self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let mut bytes = [0; MAX_CHUNK_BYTES];
        while !self.target.is_stopped() {
            let size = match from.read(&mut bytes) {
                Ok(size) => size,
                Err(error) if is_timeout(&error) => continue,
                Err(_) => 0,
            };
            self.wait_for_partition_end();
            if size == 0 {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            if self.forward_chunk(&bytes[..size], &from, &mut to).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Forwards a chunk with the faults of the link; fails if the connection has closed.
    fn forward_chunk(
        &mut self,
        bytes: &[u8],
        from: &TcpStream,
        to: &mut TcpStream,
    ) -> io::Result<()> {
        let faults = self.faults();
        if faults.max_bytes_per_second > 0 {
            let seconds = bytes.len() as f64 / f64::from(faults.max_bytes_per_second);
            thread::sleep(Duration::from_secs_f64(seconds));
        }
        thread::sleep(faults.max_delay.mul_f64(uniform(&mut self.rng)));
        if uniform(&mut self.rng) < faults.reset_rate {
            let forwarded = (uniform(&mut self.rng) * bytes.len() as f64) as usize;
            let _ = to.write_all(&bytes[..forwarded]);
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(bytes)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
