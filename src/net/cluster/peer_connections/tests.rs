//! Streams between two nodes over real sockets.

use super::*;
use postproxy_streams::{PREAMBLE, Packet, encode_frame};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Number of the cluster that all nodes belong to.
const CLUSTER: u32 = 7;

/// A node with an event loop of its own.
struct Node {
    reactor: Reactor,
    connections: PeerConnections,
}

impl Node {
    fn new(name: &str, process_nonce: u64) -> Self {
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let address = "127.0.0.1:0".parse().expect("an address");
        let streams = Streams::new(CLUSTER, name, process_nonce);
        let connections =
            PeerConnections::start(&mut reactor, address, streams).expect("a listener");
        Self {
            reactor,
            connections,
        }
    }

    fn address(&self) -> SocketAddr {
        self.connections.listener.local_addr().expect("an address")
    }

    fn send(&mut self, to: &str, address: SocketAddr, message: &[u8]) -> Result<(), QueueFull> {
        self.connections
            .send(&mut self.reactor, to, address, message.to_vec())
    }

    /// Runs one turn of the event loop, 10 ms later. Returns the events, and the time that handling
    /// them took.
    fn run_turn(&mut self) -> (Vec<PeerEvent>, Duration) {
        let reactor = &mut self.reactor;
        reactor.now += 0.01;
        reactor.set_timer(reactor.now + 0.01, reactor::Timer::Peers { number: 0 });
        let mut ready = Vec::new();
        reactor.wait(&mut ready, reactor.now).expect("a poller");
        let start = Instant::now();
        let mut peer_events = Vec::new();
        for event in ready {
            peer_events.extend(self.connections.handle_ready(
                reactor,
                event.key,
                event.readable,
                event.writable,
            ));
        }
        peer_events.extend(self.connections.handle_timeout(reactor));
        reactor.expired_timers();
        (peer_events, start.elapsed())
    }
}

fn message_of_a(message: &[u8]) -> PeerEvent {
    PeerEvent::Message {
        from: "a".into(),
        process_nonce: 1,
        message: message.to_vec(),
    }
}

#[test]
fn messages_of_all_sizes_arrive_over_real_sockets() {
    let (mut a, mut b) = (Node::new("a", 1), Node::new("b", 2));
    let b_address = b.address();
    let messages: Vec<Vec<u8>> = (0..200u32)
        .map(|n| vec![n as u8; if n % 50 == 7 { 900_000 } else { 30 }])
        .collect();
    let mut sent = 0;
    let mut received = Vec::new();
    for _ in 0..20_000 {
        while sent < messages.len() && a.send("b", b_address, &messages[sent]).is_ok() {
            sent += 1;
        }
        for event in b.run_turn().0 {
            match event {
                PeerEvent::Message {
                    from,
                    process_nonce: 1,
                    message,
                } if from == "a" => received.push(message),
                other => panic!("{other:?}"),
            }
        }
        a.run_turn();
        if received.len() == messages.len() {
            break;
        }
    }
    assert!(received == messages, "{} of {sent}", received.len());
    // The process of node b ends, and another one starts at another address.
    b.connections.close(&b.reactor);
    let mut restarted = Node::new("b", 3);
    let address = restarted.address();
    assert!(a.send("b", address, b"for the earlier process").is_ok());
    let mut restart_noticed = false;
    let mut events = Vec::new();
    for _ in 0..2000 {
        let is_noticed = a
            .run_turn()
            .0
            .contains(&PeerEvent::PeerRestarted { node: "b".into() });
        if is_noticed && !std::mem::replace(&mut restart_noticed, true) {
            assert!(a.send("b", address, b"for the new process").is_ok());
        }
        events.extend(restarted.run_turn().0);
        if !events.is_empty() {
            break;
        }
    }
    assert_eq!(events, [message_of_a(b"for the new process")]);
}

/// Returns the preamble and the greeting of a node `x{n}` to node `b`.
fn greeting(n: usize) -> Vec<u8> {
    let greeting = Packet::Greeting {
        cluster: CLUSTER,
        from: format!("x{n}"),
        process_nonce: 9,
        session: 1,
        to: "b".to_owned(),
    };
    [&PREAMBLE[..], &encode_frame(&greeting)].concat()
}

/// A connection that sends messages without end and reads no acknowledgement.
struct Flood {
    stream: TcpStream,
    bytes: Vec<u8>,
    written: usize,
}

impl Flood {
    fn new(stream: TcpStream, n: usize) -> Self {
        let messages = (1..20_000u64).flat_map(|sequence| {
            encode_frame(&Packet::Data {
                sequence,
                message: vec![0; 40],
            })
        });
        Self {
            stream,
            bytes: greeting(n).into_iter().chain(messages).collect(),
            written: 0,
        }
    }

    fn write_some(&mut self) {
        if let Ok(size) = self.stream.write(&self.bytes[self.written..]) {
            self.written += size;
        }
    }
}

/// Guards against connections that stall, flood, or announce a frame of 4 GiB and thereby delay the
/// event loop or a valid connection.
#[test]
fn invalid_connections_delay_nothing() {
    let (mut a, mut b) = (Node::new("a", 1), Node::new("b", 2));
    let b_address = b.address();
    let connect = || {
        let stream = TcpStream::connect(b_address).expect("a connection");
        stream.set_nonblocking(true).expect("a setting");
        stream
    };
    let mut stalled: Vec<TcpStream> = (0..20).map(|_| connect()).collect();
    for (n, stream) in stalled.iter_mut().enumerate() {
        stream.write_all(&greeting(n)[..n]).expect("it is written");
    }
    let mut claiming_4_gib = connect();
    claiming_4_gib
        .write_all(&[&greeting(50)[..], &[0xff; 8]].concat())
        .expect("it is written");
    let mut floods: Vec<Flood> = (100..130).map(|n| Flood::new(connect(), n)).collect();
    let mut longest_turn = Duration::ZERO;
    let mut received = 0;
    let mut sent = 0u8;
    let mut turns = 0;
    while turns < 1500 && (received < 100 || turns < 300) {
        turns += 1;
        floods.iter_mut().for_each(Flood::write_some);
        if sent < 100 && a.send("b", b_address, &[sent]).is_ok() {
            sent += 1;
        }
        a.run_turn();
        let (events, duration) = b.run_turn();
        received += events
            .iter()
            .filter(|event| matches!(event, PeerEvent::Message { from, .. } if from == "a"))
            .count();
        longest_turn = longest_turn.max(duration);
    }
    assert_eq!(received, 100, "all messages of the valid node arrive");
    let dropped = b.connections.dropped();
    assert_eq!(dropped.get(&ConnectionError::TooLong), Some(&1));
    assert!(
        dropped
            .get(&ConnectionError::Stalled)
            .is_some_and(|count| *count >= 19),
        "{dropped:?}"
    );
    claiming_4_gib.set_nonblocking(false).expect("a setting");
    let mut rest = Vec::new();
    let ended = claiming_4_gib.read_to_end(&mut rest);
    assert!(
        ended.is_err() || rest.len() < 64,
        "only the response to the greeting is sent before the end"
    );
    // The bytes read in a turn are bounded. The limit is far above the time that reading them
    // takes, and far below the time that a request may wait.
    assert!(
        longest_turn < Duration::from_millis(250),
        "a turn of {longest_turn:?}"
    );
}
