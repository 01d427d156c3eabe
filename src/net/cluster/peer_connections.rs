//! The connections that streams between nodes go over: it moves bytes, and the machine in `postproxy-streams` decides.

use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::reactor::{self, Owner, Reactor};
use postproxy_streams::{DecodeError, Effect, QueueFull, Streams};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};

/// Unread bytes that a connection holds; more waits in the system's buffer.
const MOST_UNREAD: usize = 32 << 10;
/// What is read of all connections in one turn of the loop, about: other nodes never hold up a job.
const MOST_READ: usize = 256 << 10;
/// Connections that are taken in one turn.
const ACCEPTS: usize = 16;
/// Acknowledgements that another node leaves unread, in bytes, before its connection is dropped.
const MOST_OWED: usize = 64 << 10;
/// Descriptors that the connections may come to.
pub const SOCKETS: usize = postproxy_streams::MOST_IN + postproxy_streams::MOST_OUT + 2;

/// A word that has come, or that a node is in a new life.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// This life of this node says this.
    Word(String, u64, Vec<u8>),
    /// What was queued for an earlier life of this node is dropped.
    Anew(String),
}

#[derive(Default)]
struct Events {
    opened: bool,
    ended: bool,
}

impl Callbacks<TcpStream> for Events {
    fn opened(&mut self, _: &mut Connection<TcpStream>) {
        self.opened = true;
    }

    fn received(&mut self, _: &mut Connection<TcpStream>) {}

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        self.ended = true;
    }
}

/// The connections to other nodes.
pub struct PeerConnections {
    listener: TcpListener,
    key: usize,
    /// Connections are made from here, where it is one address.
    from: Option<IpAddr>,
    streams: Streams,
    sockets: HashMap<usize, Connection<TcpStream>>,
    /// What has been read, and in which turn.
    read: (f64, usize),
}

impl PeerConnections {
    /// Listens there for this life of a node.
    ///
    /// # Errors
    ///
    /// If it can't be listened there.
    pub fn start(reactor: &mut Reactor, at: SocketAddr, streams: Streams) -> io::Result<Self> {
        let listener = reactor::listen(at)?;
        let key = reactor.register(&listener, Owner::Peers)?;
        reactor.rearm(&listener, key, (true, false));
        let from = Some(at.ip()).filter(|ip| !ip.is_unspecified());
        Ok(Self {
            listener,
            key,
            from,
            streams,
            sockets: HashMap::new(),
            read: (0.0, 0),
        })
    }

    /// Connections dropped, by why.
    pub fn flaws(&self) -> &std::collections::BTreeMap<DecodeError, u64> {
        self.streams.flaws()
    }

    /// When to be called next.
    pub fn next(&self) -> Option<f64> {
        self.streams.next()
    }

    /// Has a word arrive at a node, there.
    ///
    /// # Errors
    ///
    /// If too much waits for that node.
    pub fn say(
        &mut self,
        reactor: &mut Reactor,
        to: &str,
        at: SocketAddr,
        word: Vec<u8>,
    ) -> Result<(), QueueFull> {
        let mut out = Vec::new();
        self.streams.say(reactor.now, to, at, word, &mut out)?;
        // Nothing arrives by saying something.
        self.carry(reactor, out);
        Ok(())
    }

    /// Gives a node up.
    pub fn forget(&mut self, reactor: &mut Reactor, to: &str) {
        let mut out = Vec::new();
        self.streams.forget(to, &mut out);
        self.carry(reactor, out);
    }

    /// The time has come that [`Self::next`] told, or another.
    pub fn due(&mut self, reactor: &mut Reactor) -> Vec<PeerMessage> {
        let mut out = Vec::new();
        self.streams.due(reactor.now, &mut out);
        self.carry(reactor, out)
    }

    /// A socket can be read or written, if it is one of these.
    pub fn ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> Vec<PeerMessage> {
        if key == self.key {
            return self.accept(reactor);
        }
        if self.read.0 != reactor.now {
            self.read = (reactor.now, 0);
        }
        let Some(connection) = self.sockets.get_mut(&key) else {
            return Vec::new();
        };
        // Beyond a turn's share it is read in the next.
        let readable = readable && self.read.1 < MOST_READ;
        let mut events = Events::default();
        connection.handle_ready(readable, writable, &mut events);
        let input = std::mem::take(&mut connection.input);
        self.read.1 += input.len();
        let mut out = Vec::new();
        if events.opened {
            self.streams.opened(reactor.now, key, &mut out);
        }
        if !input.is_empty() {
            self.streams.received(reactor.now, key, &input, &mut out);
        }
        let heard = self.carry(reactor, out);
        self.look(reactor, key, events.ended);
        heard
    }

    /// Ends them all.
    pub fn end(self, reactor: &Reactor) {
        reactor.deregister(&self.listener);
        self.sockets
            .values()
            .for_each(|connection| reactor.deregister(connection.stream()));
    }

    fn accept(&mut self, reactor: &mut Reactor) -> Vec<PeerMessage> {
        let mut heard = Vec::new();
        for _ in 0..ACCEPTS {
            // An error is that of one caller, who is gone, or of a descriptor, which the next turn may have.
            let Ok((stream, _)) = self.listener.accept() else {
                break;
            };
            let _ = stream.set_nodelay(true);
            let key = stream
                .set_nonblocking(true)
                .and_then(|()| reactor.register(&stream, Owner::Peers));
            let Ok(key) = key else { continue };
            self.sockets
                .insert(key, Connection::established(stream, MOST_UNREAD));
            let mut out = Vec::new();
            self.streams.accepted(reactor.now, key, &mut out);
            heard.extend(self.carry(reactor, out));
            self.look(reactor, key, false);
        }
        reactor.rearm(&self.listener, self.key, (true, false));
        heard
    }

    /// Lets a connection go that is over, or sees to it that it is heard again.
    fn look(&mut self, reactor: &mut Reactor, key: usize, ended: bool) {
        let Some(connection) = self.sockets.get(&key) else {
            return;
        };
        if ended || connection.state() == State::Ended || connection.read_side_closed() {
            reactor.deregister(connection.stream());
            self.sockets.remove(&key);
            self.streams.ended(reactor.now, key);
        } else {
            reactor.rearm(connection.stream(), key, connection.interest());
        }
    }

    fn dial(&mut self, reactor: &mut Reactor, to: &str, at: SocketAddr, out: &mut Vec<Effect>) {
        let stream = reactor::dial_from(self.from, at);
        let made = stream.and_then(|stream| Ok((reactor.register(&stream, Owner::Peers)?, stream)));
        let key = made.ok().map(|(key, stream)| {
            let connection = Connection::dialing(stream, MOST_UNREAD);
            reactor.rearm(connection.stream(), key, connection.interest());
            self.sockets.insert(key, connection);
            key
        });
        self.streams.dialled(reactor.now, to, key, out);
    }

    fn carry(&mut self, reactor: &mut Reactor, mut out: Vec<Effect>) -> Vec<PeerMessage> {
        let mut heard = Vec::new();
        while !out.is_empty() {
            for one in std::mem::take(&mut out) {
                match one {
                    Effect::Dial(to, at) => self.dial(reactor, &to, at, &mut out),
                    Effect::Write(key, bytes) => {
                        let Some(connection) = self.sockets.get_mut(&key) else {
                            continue;
                        };
                        let mut events = Events::default();
                        connection.send(&bytes, &mut events);
                        let unread = connection.unsent_bytes() > MOST_OWED + bytes.len();
                        let ended = events.ended || unread && self.streams.is_incoming(key);
                        self.look(reactor, key, ended);
                    }
                    Effect::Close(key) => {
                        if let Some(connection) = self.sockets.remove(&key) {
                            reactor.deregister(connection.stream());
                        }
                    }
                    Effect::Arrived(from, life, word) => {
                        heard.push(PeerMessage::Word(from, life, word))
                    }
                    Effect::Anew(name, _) => heard.push(PeerMessage::Anew(name)),
                }
            }
        }
        heard
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use postproxy_streams::{GREETING, Packet, frame};
    use std::io::{Read, Write};
    use std::time::{Duration, Instant};

    fn node(name: &str, life: u64) -> (Reactor, PeerConnections) {
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let at = "127.0.0.1:0".parse().expect("an address");
        let wires = PeerConnections::start(&mut reactor, at, Streams::new(7, name, life))
            .expect("it listens");
        (reactor, wires)
    }

    fn at(wires: &PeerConnections) -> SocketAddr {
        wires.listener.local_addr().expect("an address")
    }

    /// One turn of a node's loop, so much later; what was heard, and how long it took.
    fn turn(reactor: &mut Reactor, wires: &mut PeerConnections) -> (Vec<PeerMessage>, Duration) {
        reactor.now += 0.01;
        reactor.set_timer(reactor.now + 0.01, reactor::Timer::Peers(0));
        let mut events = Vec::new();
        reactor.wait(&mut events, reactor.now).expect("a poller");
        let start = Instant::now();
        let mut heard = Vec::new();
        for event in events {
            heard.extend(wires.ready(reactor, event.key, event.readable, event.writable));
        }
        heard.extend(wires.due(reactor));
        reactor.expired_timers();
        (heard, start.elapsed())
    }

    /// Guards against words that get lost or torn between the machine and the sockets, small and large ones.
    #[test]
    fn words_go_over_real_sockets() {
        let ((mut ra, mut a), (mut rb, mut b)) = (node("a", 1), node("b", 2));
        let words: Vec<Vec<u8>> = (0..200u32)
            .map(|n| vec![n as u8; if n % 50 == 7 { 900_000 } else { 30 }])
            .collect();
        let (mut said, mut got) = (0, Vec::new());
        for _ in 0..20_000 {
            while said < words.len() && a.say(&mut ra, "b", at(&b), words[said].clone()).is_ok() {
                said += 1;
            }
            let (heard, _) = turn(&mut rb, &mut b);
            got.extend(heard.into_iter().map(|heard| match heard {
                PeerMessage::Word(from, 1, word) if from == "a" => word,
                other => panic!("{other:?}"),
            }));
            turn(&mut ra, &mut a);
            if got.len() == words.len() {
                break;
            }
        }
        assert!(got == words, "{} of {said}", got.len());
        // The other node is gone, and another life of it comes at another address.
        let (mut rc, mut c) = node("b", 3);
        b.end(&rb);
        assert!(
            a.say(&mut ra, "b", at(&c), b"for the earlier life".to_vec())
                .is_ok()
        );
        let (mut anew, mut heard) = (false, Vec::new());
        for _ in 0..2000 {
            let told = turn(&mut ra, &mut a)
                .0
                .contains(&PeerMessage::Anew("b".into()));
            if told && !std::mem::replace(&mut anew, true) {
                assert!(a.say(&mut ra, "b", at(&c), b"anew".to_vec()).is_ok());
            }
            heard.extend(turn(&mut rc, &mut c).0);
            if !heard.is_empty() {
                break;
            }
        }
        assert_eq!(heard, [PeerMessage::Word("a".into(), 1, b"anew".to_vec())]);
    }

    /// Guards against streams that stall, flood, or claim 4 GiB and hold up the loop, or stand in the way of a sound one.
    #[test]
    fn bad_streams_hold_up_nothing() {
        let ((mut ra, mut a), (mut rb, mut b)) = (node("a", 1), node("b", 2));
        let connect = || {
            let stream = TcpStream::connect(at(&b)).expect("a connection");
            stream.set_nonblocking(true).expect("a setting");
            stream
        };
        let hello = |n: usize| {
            let (from, to) = (format!("x{n}"), "b".to_owned());
            [
                &GREETING[..],
                &frame(&Packet::Hello {
                    cluster: 7,
                    from,
                    life: 9,
                    session: 1,
                    to,
                }),
            ]
            .concat()
        };
        let mut stalled: Vec<TcpStream> = (0..20).map(|_| connect()).collect();
        for (n, stream) in stalled.iter_mut().enumerate() {
            stream.write_all(&hello(n)[..n]).expect("it is written");
        }
        let mut liar = connect();
        liar.write_all(&[&hello(50)[..], &[0xff; 8]].concat())
            .expect("it is written");
        // These say words without end, and read no acknowledgement.
        let mut floods: Vec<(TcpStream, Vec<u8>, usize)> = (100..130)
            .map(|n| {
                let words =
                    (1..20_000u64).flat_map(|number| frame(&Packet::Word(number, vec![0; 40])));
                (connect(), hello(n).into_iter().chain(words).collect(), 0)
            })
            .collect();
        let (mut longest, mut heard, mut said, mut turns) = (Duration::ZERO, 0, 0u8, 0);
        while turns < 1500 && (heard < 100 || turns < 300) {
            turns += 1;
            for (stream, bytes, at) in &mut floods {
                if let Ok(size) = stream.write(&bytes[*at..]) {
                    *at += size;
                }
            }
            if said < 100 && a.say(&mut ra, "b", at(&b), vec![said]).is_ok() {
                said += 1;
            }
            turn(&mut ra, &mut a);
            let (words, took) = turn(&mut rb, &mut b);
            heard += words
                .iter()
                .filter(|word| matches!(word, PeerMessage::Word(from, ..) if from == "a"))
                .count();
            longest = longest.max(took);
        }
        assert_eq!(heard, 100, "all of the sound node's words arrive");
        let flaws = b.flaws();
        assert_eq!(flaws.get(&DecodeError::Long), Some(&1));
        assert!(
            flaws.get(&DecodeError::Stalled).is_some_and(|n| *n >= 19),
            "{flaws:?}"
        );
        liar.set_nonblocking(false).expect("a setting");
        let mut rest = Vec::new();
        let ended = liar.read_to_end(&mut rest);
        assert!(
            ended.is_err() || rest.len() < 64,
            "its welcome, and the end"
        );
        // 256 KiB and what one read may add; far above what it takes, far below a job's patience.
        assert!(
            longest < Duration::from_millis(250),
            "a turn of {longest:?}"
        );
    }
}
