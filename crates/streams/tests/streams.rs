//! Streams between nodes over connections that break anywhere, in told time from seeds; and bytes that no node sends.

use postproxy_streams::{
    DecodeError, Effect, GREETING, MOST_IN, MOST_QUEUED, MOST_WORD, Packet, Streams, frame,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

/// One direction of a connection: bytes on their way.
#[derive(Default)]
struct Pipe {
    bytes: VecDeque<u8>,
}

/// A connection: who dialled and who was dialled, each with its key, while it has the connection.
struct Wire {
    ends: [(usize, Option<usize>); 2],
    pipes: [Pipe; 2],
    made: bool,
}

struct Sim {
    now: f64,
    nodes: Vec<Streams>,
    lives: Vec<u64>,
    wires: Vec<Wire>,
    next_key: usize,
    draws: Pcg64Mcg,
    /// What arrived, by receiver with its life and sender with its life.
    arrived: BTreeMap<(usize, u64, String, u64), Vec<u64>>,
    /// Sessions that ended: sender, receiver.
    anew: Vec<(usize, String)>,
}

impl Sim {
    fn new(count: usize, seed: u64) -> Self {
        let lives: Vec<u64> = (0..count as u64).map(|n| n + 100).collect();
        let nodes = lives
            .iter()
            .enumerate()
            .map(|(n, life)| Streams::new(7, &format!("n{n}"), *life))
            .collect();
        let (wires, arrived, anew) = Default::default();
        Self {
            now: 10.0,
            nodes,
            lives,
            wires,
            next_key: 1,
            draws: Pcg64Mcg::seed_from_u64(seed),
            arrived,
            anew,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        (self.draws.next_u64() % below.max(1) as u64) as usize
    }

    fn say(&mut self, from: usize, to: usize, number: u64) -> bool {
        let size = [8, 8, 60, 5000][self.draw(4)];
        let mut word = number.to_be_bytes().to_vec();
        word.resize(size, 0xa5);
        let mut out = Vec::new();
        let said = self.nodes[from]
            .say(self.now, &format!("n{to}"), address(to), word, &mut out)
            .is_ok();
        self.carry(from, out);
        said
    }

    fn carry(&mut self, n: usize, out: Vec<Effect>) {
        for one in out {
            match one {
                Effect::Dial(to, at) => {
                    let peer = (0..self.nodes.len())
                        .find(|n| address(*n) == at)
                        .expect("a node");
                    assert_eq!(to, format!("n{peer}"));
                    let key = self.next_key;
                    self.next_key += 2;
                    self.wires.push(Wire {
                        ends: [(n, Some(key)), (peer, None)],
                        pipes: Default::default(),
                        made: false,
                    });
                    let mut out = Vec::new();
                    self.nodes[n].dialled(self.now, &to, Some(key), &mut out);
                    self.carry(n, out);
                }
                Effect::Write(key, bytes) => {
                    if let Some(wire) = self
                        .wires
                        .iter_mut()
                        .find(|w| w.ends.contains(&(n, Some(key))))
                    {
                        let side = usize::from(wire.ends[1] == (n, Some(key)));
                        wire.pipes[side].bytes.extend(bytes);
                    }
                }
                Effect::Close(key) => {
                    if let Some(at) = self
                        .wires
                        .iter()
                        .position(|w| w.ends.contains(&(n, Some(key))))
                    {
                        self.cut(at, Some(n));
                    }
                }
                Effect::Arrived(from, life, word) => {
                    let number = u64::from_be_bytes(word[..8].try_into().expect("eight bytes"));
                    self.arrived
                        .entry((n, self.lives[n], from, life))
                        .or_default()
                        .push(number);
                }
                Effect::Anew(to, _) => self.anew.push((n, to)),
            }
        }
    }

    /// Ends a connection; who ended it itself is not told.
    fn cut(&mut self, at: usize, by: Option<usize>) {
        let wire = self.wires.remove(at);
        for (n, key) in wire.ends {
            if let Some(key) = key.filter(|_| by != Some(n)) {
                self.nodes[n].ended(self.now, key);
            }
        }
    }

    /// Moves some bytes of one connection, or what else it can do.
    fn step(&mut self) {
        if self.wires.is_empty() {
            return;
        }
        let at = self.draw(self.wires.len());
        let (dialler, peer) = (self.wires[at].ends[0], self.wires[at].ends[1]);
        if !self.wires[at].made {
            let key = self.next_key;
            self.next_key += 2;
            self.wires[at].made = true;
            self.wires[at].ends[1].1 = Some(key);
            let mut out = Vec::new();
            self.nodes[peer.0].accepted(self.now, key, &mut out);
            self.carry(peer.0, out);
            let mut out = Vec::new();
            self.nodes[dialler.0].opened(self.now, dialler.1.expect("it has one"), &mut out);
            return self.carry(dialler.0, out);
        }
        let side = self.draw(2);
        let most = self.wires[at].pipes[side].bytes.len();
        let count = if self.draw(3) == 0 {
            self.draw(20).min(most)
        } else {
            most
        };
        let bytes: Vec<u8> = self.wires[at].pipes[side].bytes.drain(..count).collect();
        let (n, key) = self.wires[at].ends[1 - side];
        if let Some(key) = key.filter(|_| !bytes.is_empty()) {
            let mut out = Vec::new();
            self.nodes[n].received(self.now, key, &bytes, &mut out);
            self.carry(n, out);
        }
    }

    fn time(&mut self, seconds: f64) {
        self.now += seconds;
        for n in 0..self.nodes.len() {
            let mut out = Vec::new();
            if self.nodes[n].next().is_some_and(|at| at <= self.now) {
                self.nodes[n].due(self.now, &mut out);
            }
            self.carry(n, out);
        }
    }

    fn restart(&mut self, n: usize) {
        while let Some(at) = self
            .wires
            .iter()
            .position(|w| w.ends[0].0 == n || w.ends[1].0 == n)
        {
            self.cut(at, Some(n));
        }
        self.lives[n] += 1000;
        self.nodes[n] = Streams::new(7, &format!("n{n}"), self.lives[n]);
    }
}

/// Guards against a word that comes twice, out of order or not at all because connections broke in its middle, and against
/// one for an earlier life that comes to a later one.
#[test]
fn words_arrive_once_and_in_order_whatever_breaks() {
    let (mut breaks, mut restarts, mut renewed) = (0, 0, 0);
    for seed in 0..120 {
        let mut sim = Sim::new(3, seed);
        let mut said: BTreeMap<(usize, u64, usize), Vec<u64>> = BTreeMap::new();
        // Whom a restart has touched: of those, what was on the way may be lost.
        let mut touched = Vec::new();
        for number in 1..=600u64 {
            let (from, to) = (sim.draw(3), sim.draw(3));
            if from != to && sim.draw(3) == 0 && sim.say(from, to, number) {
                said.entry((from, sim.lives[from], to))
                    .or_default()
                    .push(number);
            }
            match sim.draw(400) {
                0..6 if !sim.wires.is_empty() => {
                    let at = sim.draw(sim.wires.len());
                    sim.cut(at, None);
                    breaks += 1;
                }
                6 if seed % 2 == 0 => {
                    let n = sim.draw(3);
                    sim.restart(n);
                    touched.push(n);
                    restarts += 1;
                }
                _ => {}
            }
            for _ in 0..3 {
                sim.step();
            }
            sim.time(0.01);
        }
        // After the last fault a last word from each to each, which must arrive; those that find a new life are said again.
        for round in 0..2 {
            for (from, to) in (0..9).map(|p| (p / 3, p % 3)).filter(|(a, b)| a != b) {
                let number = 10_000 + round;
                assert!(sim.say(from, to, number));
                said.entry((from, sim.lives[from], to))
                    .or_default()
                    .push(number);
            }
            for _ in 0..3000 {
                sim.step();
                sim.time(0.005);
            }
        }
        for ((to, life, from, sender), got) in &sim.arrived {
            assert!(
                got.windows(2).all(|pair| pair[0] < pair[1]),
                "seed {seed}: n{to}/{life} from {from}/{sender}: {got:?}"
            );
        }
        for ((from, sender, to), words) in &said {
            let of = |life: u64| sim.arrived.get(&(*to, life, format!("n{from}"), *sender));
            let untouched = !touched.contains(from) && !touched.contains(to);
            if untouched {
                assert_eq!(
                    of(sim.lives[*to]),
                    Some(words),
                    "seed {seed}: n{from} to n{to}"
                );
            } else if sim.lives[*from] == *sender {
                let last = of(sim.lives[*to]).and_then(|got| got.last());
                assert_eq!(last, Some(&10_001), "seed {seed}: n{from} to n{to}");
            }
        }
        renewed += sim.anew.len();
    }
    assert!(
        breaks > 400 && restarts > 30 && renewed > 15,
        "{breaks} {restarts} {renewed}: the faults did happen"
    );
}

fn hello(session: u64) -> Vec<u8> {
    let hello = Packet::Hello {
        cluster: 7,
        from: "n1".into(),
        life: 5,
        session,
        to: "n0".into(),
    };
    [&GREETING[..], &frame(&hello)].concat()
}

/// What a node makes of one connection's bytes: what arrived, and why it was dropped.
fn heard(pieces: &[&[u8]]) -> (Vec<Vec<u8>>, Option<DecodeError>) {
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    streams.accepted(0.0, 1, &mut out);
    for piece in pieces {
        if !out.contains(&Effect::Close(1)) {
            streams.received(0.0, 1, piece, &mut out);
        }
    }
    let words = out.iter().filter_map(|one| {
        if let Effect::Arrived(_, _, word) = one {
            Some(word.clone())
        } else {
            None
        }
    });
    (words.collect(), streams.flaws().keys().next().copied())
}

/// Guards against bytes that no sound node sends and that end more than their connection.
#[test]
fn bytes_that_no_node_sends_end_their_connection() {
    let word = frame(&Packet::Word(1, b"hi".to_vec()));
    assert_eq!(heard(&[&hello(1), &word]), (vec![b"hi".to_vec()], None));
    let other = |cluster, from: &str, to: &str| {
        let hello = Packet::Hello {
            cluster,
            from: from.into(),
            life: 5,
            session: 1,
            to: to.into(),
        };
        [&GREETING[..], &frame(&hello)].concat()
    };
    let mut version = hello(1);
    version[7] = 9;
    let mut unknown = postcard::to_stdvec(&(9u32, 1u64)).expect("bytes");
    let mut junk = (unknown.len() as u32).to_be_bytes().to_vec();
    junk.extend(crc32fast::hash(&unknown).to_be_bytes());
    junk.append(&mut unknown);
    let long = [0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0];
    let cases: Vec<(&str, Vec<u8>, DecodeError)> = vec![
        (
            "HTTP",
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            DecodeError::Foreign,
        ),
        ("another version", version, DecodeError::Version),
        ("another cluster", other(8, "n1", "n0"), DecodeError::Other),
        ("for another node", other(7, "n1", "n9"), DecodeError::Other),
        ("from itself", other(7, "n0", "n0"), DecodeError::Other),
        ("from nobody", other(7, "", "n0"), DecodeError::Other),
        (
            "a name too long",
            other(7, &"x".repeat(65), "n0"),
            DecodeError::Unknown,
        ),
        ("4 GiB", [&hello(1)[..], &long].concat(), DecodeError::Long),
        (
            "4 GiB at once",
            [&GREETING[..], &long].concat(),
            DecodeError::Long,
        ),
        (
            "a word first",
            [&GREETING[..], &word].concat(),
            DecodeError::Unknown,
        ),
        (
            "a gap",
            [&hello(1)[..], &frame(&Packet::Word(2, Vec::new()))].concat(),
            DecodeError::Unknown,
        ),
        (
            "hello twice",
            [&hello(1)[..], &hello(1)[8..]].concat(),
            DecodeError::Unknown,
        ),
        (
            "an answer",
            [&hello(1)[..], &frame(&Packet::Got(1))].concat(),
            DecodeError::Unknown,
        ),
        (
            "no packet",
            [&hello(1)[..], &junk].concat(),
            DecodeError::Unknown,
        ),
        (
            "a word too long",
            [
                &hello(1)[..],
                &frame(&Packet::Word(1, vec![0; MOST_WORD + 1])),
            ]
            .concat(),
            DecodeError::Unknown,
        ),
    ];
    for (what, bytes, flaw) in cases {
        assert_eq!(heard(&[&bytes]), (Vec::new(), Some(flaw)), "{what}");
        // The same a byte at a time.
        let pieces: Vec<&[u8]> = bytes
            .chunks(if bytes.len() > 1000 { 1000 } else { 1 })
            .collect();
        assert_eq!(heard(&pieces).1, Some(flaw), "{what}, in pieces");
    }
    // Each bit flipped in turn: nothing else arrives than what was said, or nothing.
    let whole = [&hello(1)[..], &word].concat();
    for bit in 0..whole.len() * 8 {
        let mut bytes = whole.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        let (words, flaw) = heard(&[&bytes]);
        assert!(
            words.is_empty() && (flaw.is_some() || bytes.len() > 8),
            "bit {bit}: {words:?}"
        );
    }
}

/// Guards against answers that no sound node gives to a word, and against words that are taken for acknowledged by them.
#[test]
fn answers_that_no_node_gives_end_their_connection_and_no_word() {
    let cases = [
        ("a word", frame(&Packet::Word(1, Vec::new()))),
        ("got what was not said", frame(&Packet::Got(2))),
        ("welcome twice", frame(&Packet::Welcome { life: 9, got: 0 })),
    ];
    for (what, bytes) in cases {
        let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
        streams
            .say(0.0, "n1", address(1), b"hi".to_vec(), &mut out)
            .expect("room");
        assert_eq!(out, [Effect::Dial("n1".into(), address(1))]);
        streams.dialled(0.0, "n1", Some(3), &mut out);
        streams.opened(0.0, 3, &mut out);
        let welcome = frame(&Packet::Welcome { life: 9, got: 0 });
        streams.received(0.0, 3, &[&GREETING[..], &welcome].concat(), &mut out);
        out.clear();
        streams.received(0.0, 3, &bytes, &mut out);
        assert_eq!(out, [Effect::Close(3)], "{what}");
        assert_eq!(streams.queued("n1"), (1, 2), "{what}");
        // Another attempt comes, and then the word again.
        let at = streams.next().expect("an attempt");
        streams.due(at, &mut out);
        assert_eq!(
            out.last(),
            Some(&Effect::Dial("n1".into(), address(1))),
            "{what}"
        );
    }
}

/// Guards against a connection that stalls at some byte and is kept for ever, in either direction, and against one that is
/// only slow and is dropped.
#[test]
fn what_stalls_at_any_byte_is_dropped_and_what_is_slow_is_not() {
    let whole = [&hello(1)[..], &frame(&Packet::Word(1, vec![1; 40]))].concat();
    for cut in 0..=whole.len() {
        let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
        streams.accepted(0.0, 1, &mut out);
        streams.received(0.0, 1, &whole[..cut], &mut out);
        streams.due(2.5, &mut out);
        let between = cut == whole.len() || cut == hello(1).len();
        assert_eq!(out.contains(&Effect::Close(1)), !between, "cut at {cut}");
        streams.due(60.5, &mut out);
        assert!(out.contains(&Effect::Close(1)), "idle, cut at {cut}");
    }
    // A byte every 0.5 s is no greeting.
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    streams.accepted(0.0, 1, &mut out);
    for n in 0..8 {
        let now = f64::from(n) * 0.5;
        streams.received(now, 1, &whole[n as usize..][..1], &mut out);
        streams.due(now, &mut out);
    }
    assert!(out.contains(&Effect::Close(1)), "it trickles");
    // 128 KiB a second is.
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    streams.accepted(0.0, 1, &mut out);
    streams.received(0.0, 1, &hello(1), &mut out);
    let word = frame(&Packet::Word(1, vec![1; MOST_WORD]));
    for (n, piece) in word.chunks(64 << 10).enumerate() {
        let now = n as f64 * 0.5;
        streams.due(now, &mut out);
        streams.received(now, 1, piece, &mut out);
    }
    assert!(
        out.iter()
            .any(|one| matches!(one, Effect::Arrived(_, _, word) if word.len() == MOST_WORD))
    );
    // Who does not greet, or does not acknowledge, is dialled anew.
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    streams
        .say(0.0, "n1", address(1), b"hi".to_vec(), &mut out)
        .expect("room");
    streams.dialled(0.0, "n1", Some(3), &mut out);
    streams.due(1.0, &mut out);
    assert!(out.contains(&Effect::Close(3)), "no connection");
    streams.due(1.1, &mut out);
    streams.dialled(1.1, "n1", Some(5), &mut out);
    streams.opened(1.1, 5, &mut out);
    streams.due(2.2, &mut out);
    assert!(out.contains(&Effect::Close(5)), "no greeting");
    streams.due(2.5, &mut out);
    streams.dialled(2.5, "n1", Some(7), &mut out);
    streams.opened(2.5, 7, &mut out);
    let welcome = [&GREETING[..], &frame(&Packet::Welcome { life: 9, got: 0 })].concat();
    streams.received(2.6, 7, &welcome, &mut out);
    streams.due(4.0, &mut out);
    assert!(!out.contains(&Effect::Close(7)), "it may take its time");
    streams.due(4.7, &mut out);
    assert!(out.contains(&Effect::Close(7)), "no acknowledgement");
}

/// Guards against queues, windows, connections and half-sent packets that grow without end.
#[test]
fn nothing_grows_without_end() {
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    let mut said = 0;
    while streams
        .say(0.0, "n1", address(1), vec![0; 100_000], &mut out)
        .is_ok()
    {
        said += 1;
    }
    assert_eq!(said, MOST_QUEUED / 100_000);
    assert!(
        streams
            .say(0.0, "n2", address(2), vec![0; MOST_WORD + 1], &mut out)
            .is_err()
    );
    streams.dialled(0.0, "n1", Some(3), &mut out);
    streams.opened(0.0, 3, &mut out);
    out.clear();
    let welcome = [&GREETING[..], &frame(&Packet::Welcome { life: 9, got: 0 })].concat();
    streams.received(0.0, 3, &welcome, &mut out);
    let written: usize = out
        .iter()
        .map(|one| {
            if let Effect::Write(_, bytes) = one {
                bytes.len()
            } else {
                0
            }
        })
        .sum();
    assert!(
        (200_000..400_000).contains(&written),
        "what is on its way is bounded: {written}"
    );
    // Silent connections make room for others, and half-sent packets are bounded over all.
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    for key in 0..10 * MOST_IN {
        streams.accepted(key as f64 * 1e-3, key, &mut out);
    }
    assert_eq!(out.len(), 9 * MOST_IN, "the others were closed");
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    for key in 0..MOST_IN {
        streams.accepted(0.0, key, &mut out);
        let hello = Packet::Hello {
            cluster: 7,
            from: format!("m{key}"),
            life: 5,
            session: 1,
            to: "n0".into(),
        };
        streams.received(
            0.0,
            key,
            &[&GREETING[..], &frame(&hello)].concat(),
            &mut out,
        );
        streams.received(
            0.0,
            key,
            &frame(&Packet::Word(1, vec![0; MOST_WORD]))[..MOST_WORD - 1],
            &mut out,
        );
    }
    assert!(streams.held() <= 17 << 20, "{}", streams.held());
    assert!(streams.flaws()[&DecodeError::Crowded] >= 40);
}

/// Guards against a session that is over and comes late, or one that begins where an earlier one ended.
#[test]
fn a_session_that_is_over_says_nothing_more() {
    let (mut streams, mut out) = (Streams::new(7, "n0", 1), Vec::new());
    streams.accepted(0.0, 1, &mut out);
    streams.received(
        0.0,
        1,
        &[&hello(4)[..], &frame(&Packet::Word(1, b"a".to_vec()))].concat(),
        &mut out,
    );
    // A newer session of the same life: its first word is a new one, and the older connection is over.
    streams.accepted(0.0, 2, &mut out);
    streams.received(
        0.0,
        2,
        &[&hello(5)[..], &frame(&Packet::Word(1, b"b".to_vec()))].concat(),
        &mut out,
    );
    assert!(out.contains(&Effect::Close(1)));
    streams.accepted(0.0, 3, &mut out);
    out.clear();
    streams.received(
        0.0,
        3,
        &[&hello(4)[..], &frame(&Packet::Word(2, b"c".to_vec()))].concat(),
        &mut out,
    );
    assert_eq!(out, [Effect::Close(3)]);
    // The same session on another connection goes on where it was.
    streams.accepted(0.0, 4, &mut out);
    out.clear();
    let again = [
        frame(&Packet::Word(1, b"b".to_vec())),
        frame(&Packet::Word(2, b"d".to_vec())),
    ]
    .concat();
    streams.received(0.0, 4, &[&hello(5)[..], &again].concat(), &mut out);
    let arrived: Vec<&Effect> = out
        .iter()
        .filter(|one| matches!(one, Effect::Arrived(..)))
        .collect();
    assert_eq!(arrived, [&Effect::Arrived("n1".into(), 5, b"d".to_vec())]);
}
