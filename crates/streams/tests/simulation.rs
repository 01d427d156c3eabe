//! Streams between simulated nodes, over connections that break at any byte, while processes are
//! restarted. The clock is simulated, and all random numbers come from a seed.

mod support;

use postproxy_streams::{Effect, Streams};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use support::{CLUSTER, address};

/// One end of a connection.
#[derive(Clone, Copy, PartialEq)]
struct End {
    node: usize,
    /// Key of the connection at this node. The accepting node has none until the connection is
    /// established.
    key: Option<usize>,
}

/// A connection. The first end is that of the connecting node.
struct Connection {
    ends: [End; 2],
    /// Bytes in transit from each end.
    in_transit: [VecDeque<u8>; 2],
    is_established: bool,
}

/// A receiving process and a sending process.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Direction {
    receiver: usize,
    receiver_nonce: u64,
    sender: String,
    sender_nonce: u64,
}

struct Simulation {
    now: f64,
    nodes: Vec<Streams>,
    process_nonces: Vec<u64>,
    connections: Vec<Connection>,
    next_key: usize,
    rng: Pcg64Mcg,
    /// Numbers of the delivered messages in order of delivery.
    delivered: BTreeMap<Direction, Vec<u64>>,
    /// Number of [`Effect::PeerRestarted`] notifications.
    restarts_noticed: usize,
}

fn node_name(n: usize) -> String {
    format!("n{n}")
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let process_nonces: Vec<u64> = (0..count as u64).map(|n| n + 100).collect();
        let nodes = process_nonces
            .iter()
            .enumerate()
            .map(|(n, nonce)| Streams::new(CLUSTER, &node_name(n), *nonce))
            .collect();
        Self {
            now: 10.0,
            nodes,
            process_nonces,
            connections: Vec::new(),
            next_key: 1,
            rng: Pcg64Mcg::seed_from_u64(seed),
            delivered: BTreeMap::new(),
            restarts_noticed: 0,
        }
    }

    fn random_below(&mut self, limit: usize) -> usize {
        (self.rng.next_u64() % limit.max(1) as u64) as usize
    }

    /// Sends a message that begins with this number, and returns whether it was queued.
    fn send(&mut self, from: usize, to: usize, number: u64) -> bool {
        let size = [8, 8, 60, 5000][self.random_below(4)];
        let mut message = number.to_be_bytes().to_vec();
        message.resize(size, 0xa5);
        let mut out = Vec::new();
        let result =
            self.nodes[from].send(self.now, &node_name(to), address(to), message, &mut out);
        self.carry_out(from, out);
        result.is_ok()
    }

    fn connection_at(&self, node: usize, key: usize) -> Option<usize> {
        let end = End {
            node,
            key: Some(key),
        };
        self.connections
            .iter()
            .position(|connection| connection.ends.contains(&end))
    }

    fn carry_out(&mut self, n: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect { node, address: to } => {
                    let peer = (0..self.nodes.len())
                        .find(|n| address(*n) == to)
                        .expect("a node with this address");
                    assert_eq!(node, node_name(peer));
                    let key = self.begin_connection(n, peer);
                    let mut out = Vec::new();
                    self.nodes[n].handle_connecting(self.now, &node, Some(key), &mut out);
                    self.carry_out(n, out);
                }
                Effect::Write {
                    connection: key,
                    bytes,
                } => {
                    if let Some(at) = self.connection_at(n, key) {
                        let connection = &mut self.connections[at];
                        let is_accepting = connection.ends[1].key == Some(key);
                        connection.in_transit[usize::from(is_accepting)].extend(bytes);
                    }
                }
                Effect::Close { connection } => {
                    if let Some(at) = self.connection_at(n, connection) {
                        self.end_connection(at, Some(n));
                    }
                }
                Effect::Deliver {
                    from,
                    process_nonce,
                    message,
                } => {
                    let number =
                        u64::from_be_bytes(message[..8].try_into().expect("at least eight bytes"));
                    let direction = Direction {
                        receiver: n,
                        receiver_nonce: self.process_nonces[n],
                        sender: from,
                        sender_nonce: process_nonce,
                    };
                    self.delivered.entry(direction).or_default().push(number);
                }
                Effect::PeerRestarted { .. } => self.restarts_noticed += 1,
            }
        }
    }

    fn begin_connection(&mut self, from: usize, to: usize) -> usize {
        let key = self.next_key;
        self.next_key += 2;
        let connecting = End {
            node: from,
            key: Some(key),
        };
        let accepting = End {
            node: to,
            key: None,
        };
        self.connections.push(Connection {
            ends: [connecting, accepting],
            in_transit: Default::default(),
            is_established: false,
        });
        key
    }

    /// Ends a connection. The node that ended it, if any, is not notified.
    fn end_connection(&mut self, at: usize, ended_by: Option<usize>) {
        let connection = self.connections.remove(at);
        for end in connection.ends {
            if let Some(key) = end.key.filter(|_| ended_by != Some(end.node)) {
                self.nodes[end.node].handle_closed(self.now, key);
            }
        }
    }

    /// Picks a random connection, and establishes it or transfers some bytes on it.
    fn step(&mut self) {
        if self.connections.is_empty() {
            return;
        }
        let at = self.random_below(self.connections.len());
        if self.connections[at].is_established {
            self.move_bytes(at);
        } else {
            self.establish_connection(at);
        }
    }

    fn establish_connection(&mut self, at: usize) {
        let accepting_key = self.next_key;
        self.next_key += 2;
        let connection = &mut self.connections[at];
        connection.is_established = true;
        connection.ends[1].key = Some(accepting_key);
        let [connecting, accepting] = connection.ends;
        let mut out = Vec::new();
        self.nodes[accepting.node].handle_accepted(self.now, accepting_key, &mut out);
        self.carry_out(accepting.node, out);
        let mut out = Vec::new();
        let connecting_key = connecting.key.expect("the key of the connection");
        self.nodes[connecting.node].handle_connected(self.now, connecting_key, &mut out);
        self.carry_out(connecting.node, out);
    }

    fn move_bytes(&mut self, at: usize) {
        let side = self.random_below(2);
        let available = self.connections[at].in_transit[side].len();
        let count = if self.random_below(3) == 0 {
            self.random_below(20).min(available)
        } else {
            available
        };
        let connection = &mut self.connections[at];
        let bytes: Vec<u8> = connection.in_transit[side].drain(..count).collect();
        let receiver = connection.ends[1 - side];
        if let Some(key) = receiver.key.filter(|_| !bytes.is_empty()) {
            let mut out = Vec::new();
            self.nodes[receiver.node].handle_bytes(self.now, key, &bytes, &mut out);
            self.carry_out(receiver.node, out);
        }
    }

    fn advance_time(&mut self, seconds: f64) {
        self.now += seconds;
        for n in 0..self.nodes.len() {
            let mut out = Vec::new();
            if self.nodes[n]
                .next_timeout()
                .is_some_and(|at| at <= self.now)
            {
                self.nodes[n].handle_timeout(self.now, &mut out);
            }
            self.carry_out(n, out);
        }
    }

    /// Ends a random connection, and returns whether there was one.
    fn break_random_connection(&mut self) -> bool {
        if self.connections.is_empty() {
            return false;
        }
        let at = self.random_below(self.connections.len());
        self.end_connection(at, None);
        true
    }

    fn restart(&mut self, n: usize) {
        let is_of_node = |connection: &Connection| connection.ends.iter().any(|end| end.node == n);
        while let Some(at) = self.connections.iter().position(is_of_node) {
            self.end_connection(at, Some(n));
        }
        self.process_nonces[n] += 1000;
        self.nodes[n] = Streams::new(CLUSTER, &node_name(n), self.process_nonces[n]);
    }
}

/// Numbers of the sent messages, by sender, nonce of the sender's process, and receiver.
type Sent = BTreeMap<(usize, u64, usize), Vec<u64>>;

/// Checks the delivered messages. `restarted` are the nodes whose process was restarted: messages
/// to or from these may be lost, except the last one.
fn check_delivery(simulation: &Simulation, sent: &Sent, restarted: &[usize], seed: u64) {
    for (direction, numbers) in &simulation.delivered {
        assert!(
            numbers.windows(2).all(|pair| pair[0] < pair[1]),
            "seed {seed}: {direction:?}: {numbers:?}"
        );
    }
    for ((from, sender_nonce, to), numbers) in sent {
        let delivered = simulation.delivered.get(&Direction {
            receiver: *to,
            receiver_nonce: simulation.process_nonces[*to],
            sender: node_name(*from),
            sender_nonce: *sender_nonce,
        });
        if !restarted.contains(from) && !restarted.contains(to) {
            assert_eq!(delivered, Some(numbers), "seed {seed}: n{from} to n{to}");
        } else if simulation.process_nonces[*from] == *sender_nonce {
            let last = delivered.and_then(|numbers| numbers.last());
            assert_eq!(last, Some(&10_001), "seed {seed}: n{from} to n{to}");
        }
    }
}

/// Guards against lost, duplicated and reordered messages when connections break and processes are
/// restarted, and against a message that is delivered to a later process than it was sent to.
#[test]
fn messages_are_delivered_once_and_in_order_despite_faults() {
    let (mut breaks, mut restarts, mut restarts_noticed) = (0, 0, 0);
    for seed in 0..120 {
        let mut simulation = Simulation::new(3, seed);
        let mut sent = Sent::new();
        let mut restarted = Vec::new();
        for number in 1..=600u64 {
            let from = simulation.random_below(3);
            let to = simulation.random_below(3);
            if from != to && simulation.random_below(3) == 0 && simulation.send(from, to, number) {
                let nonce = simulation.process_nonces[from];
                sent.entry((from, nonce, to)).or_default().push(number);
            }
            match simulation.random_below(400) {
                0..6 => breaks += usize::from(simulation.break_random_connection()),
                6 if seed % 2 == 0 => {
                    let n = simulation.random_below(3);
                    simulation.restart(n);
                    restarted.push(n);
                    restarts += 1;
                }
                _ => {}
            }
            for _ in 0..3 {
                simulation.step();
            }
            simulation.advance_time(0.01);
        }
        // After the last fault, each node sends two final messages to each other node. Only the
        // second must be delivered, since the first may be dropped when the sender learns of a
        // restart.
        for round in 0..2 {
            for (from, to) in (0..9).map(|p| (p / 3, p % 3)).filter(|(a, b)| a != b) {
                let number = 10_000 + round;
                assert!(simulation.send(from, to, number));
                let nonce = simulation.process_nonces[from];
                sent.entry((from, nonce, to)).or_default().push(number);
            }
            for _ in 0..3000 {
                simulation.step();
                simulation.advance_time(0.005);
            }
        }
        check_delivery(&simulation, &sent, &restarted, seed);
        restarts_noticed += simulation.restarts_noticed;
    }
    assert!(
        breaks > 400 && restarts > 30 && restarts_noticed > 15,
        "too few faults: {breaks} broken connections, {restarts} restarts, {restarts_noticed} noticed"
    );
}
