//! Pins what voters store and send: keys and values of the log (`a/`), of the admission (`s/`), and the messages between
//! voters, as a run of two voters writes them. Another voter may run another version of the program, and a node reads what
//! an older version stored, so these bytes must not change with a rename. The literals were written by the version before
//! the renames.

use postproxy_replicated_log::admission::{Admission, AdmissionEffect, AdmissionMessage};
use postproxy_replicated_log::{
    MembershipChange, Output, StateMachine, StorageChange, Voter, promise, stored,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Returns the bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes that the hexadecimal digits stand for.
fn unhex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte =
        |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16).expect("a byte");
    pairs.map(byte).collect()
}

/// The admission message, encoded.
#[track_caller]
fn pin(say: AdmissionMessage, literal: &str) {
    let bytes = postcard::to_stdvec(&say).expect("an encoded message");
    assert_eq!(hex(&bytes), literal, "{say:?}");
    assert_eq!(
        postcard::from_bytes::<AdmissionMessage>(&unhex(literal)).expect("a message"),
        say
    );
}

#[test]
fn admission_messages_keep_their_bytes() {
    pin(AdmissionMessage::Who, "00");
    pin(AdmissionMessage::Known(300), "01ac02");
    pin(AdmissionMessage::Started(1, 2, (3, 4)), "0201020304");
    pin(AdmissionMessage::Seen(5), "0305");
    pin(AdmissionMessage::Old(6), "0406");
    pin(AdmissionMessage::Again, "05");
}

/// A state machine that counts the words and keeps the bytes of the last.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Last(u64, Vec<u8>);

impl StateMachine for Last {
    fn apply(&mut self, word: &[u8]) {
        (self.0, self.1) = (self.0 + 1, word.to_vec());
    }
}

/// The changes as text: the key (its text part, then the number in hexadecimal digits) and the value.
fn shown(changes: &[StorageChange]) -> Vec<String> {
    let shown = |StorageChange { key, value }: &StorageChange| {
        let text = key
            .iter()
            .take_while(|byte| byte.is_ascii_graphic())
            .count();
        let (text, number) = key.split_at(text);
        let value = value.as_ref().map_or("none".to_owned(), |value| hex(value));
        format!("{} {} {value}", String::from_utf8_lossy(text), hex(number))
    };
    changes.iter().map(shown).collect()
}

#[test]
fn stored_start_and_known_starts_keep_their_keys_and_bytes() {
    // A founder with nothing stored hears that the other knows nothing of it, and stores its first start.
    let mut acts = Vec::new();
    let mut admission = Admission::new(1, 7, &[1, 2], (0, 0), []);
    admission.receive(2, AdmissionMessage::Known(0), &mut acts);
    // The other's start is stored under its number.
    admission.receive(2, AdmissionMessage::Started(3, 300, (0, 0)), &mut acts);
    let writes = acts.iter().filter_map(|act| {
        if let AdmissionEffect::Write(_, changes) = act {
            Some(changes)
        } else {
            None
        }
    });
    let written: Vec<String> = writes.flat_map(|changes| shown(changes)).collect();
    assert_eq!(
        written,
        [
            "s/start  0000000000000001",
            "s/known/ 0000000000000002 0000000000000003000000000000012c",
        ]
    );
}

#[test]
fn stored_start_and_known_starts_are_read() {
    let kept = [
        (b"s/start".to_vec(), unhex("0000000000000005")),
        (
            unhex("732f6b6e6f776e2f0000000000000002"),
            unhex("0000000000000003000000000000012c"),
        ),
    ];
    let mut admission = Admission::new(1, 7, &[1, 2], (8, 9), kept);
    assert!(admission.knows(2, 300));
    let mut acts = Vec::new();
    admission.tick(&mut acts);
    assert_eq!(
        acts,
        [AdmissionEffect::Write(
            1,
            vec![StorageChange {
                key: b"s/start".to_vec(),
                value: Some(unhex("0000000000000006"))
            }]
        )]
    );
    acts.clear();
    admission.durable(1, &mut acts);
    assert_eq!(
        acts,
        [AdmissionEffect::AdmissionMessage(
            2,
            AdmissionMessage::Started(6, 7, (8, 9))
        )]
    );
}

/// Two voters whose messages and writes are recorded as they are made.
struct Pair {
    voters: BTreeMap<u64, Voter<Last>>,
    kept: BTreeMap<u64, BTreeMap<Vec<u8>, Vec<u8>>>,
    record: Vec<String>,
}

impl Pair {
    fn new() -> Self {
        let founders = BTreeMap::from([(1, "n-1".to_owned()), (2, "n-2".to_owned())]);
        let (voters, kept) = Default::default();
        let mut pair = Self {
            voters,
            kept,
            record: Vec::new(),
        };
        for id in [1, 2] {
            let (voter, out) = Voter::new(id, &founders, []).expect("a founder");
            pair.voters.insert(id, voter);
            pair.handle(id, out);
        }
        pair
    }

    /// Has a voter take something in, and carries out what comes of it.
    fn act(&mut self, id: u64, act: impl FnOnce(&mut Voter<Last>, &mut Vec<Output>)) {
        let mut out = Vec::new();
        act(self.voters.get_mut(&id).expect("a voter"), &mut out);
        self.handle(id, out);
    }

    fn handle(&mut self, id: u64, out: Vec<Output>) {
        for one in out {
            match one {
                Output::Write(number, changes) => {
                    self.record.extend(
                        shown(&changes)
                            .into_iter()
                            .map(|line| format!("{id} writes {line}")),
                    );
                    let kept = self.kept.entry(id).or_default();
                    for StorageChange { key, value } in changes {
                        match value {
                            Some(value) => _ = kept.insert(key, value),
                            None => _ = kept.remove(&key),
                        }
                    }
                    self.act(id, |voter, out| voter.durable(number, out));
                }
                Output::Send(to, bytes) => {
                    self.record.push(format!("{id} sends {to} {}", hex(&bytes)));
                    if self.voters.contains_key(&to) {
                        self.act(to, |voter, out| {
                            assert!(voter.receive(&bytes, out), "a sound message")
                        });
                    }
                }
                Output::Decided(number, word) => self
                    .record
                    .push(format!("{id} decides {number} {}", hex(&word))),
                Output::Skipped(_) | Output::Seats => {}
            }
        }
    }

    /// Ticks the first voter until it leads.
    fn elect(&mut self) {
        for _ in 0..1000 {
            if self.voters[&1].leads() {
                return;
            }
            self.act(1, Voter::tick);
        }
        panic!("no leader");
    }
}

/// An election, a word and a change of the voters: all that the two store and send.
const RECORD: &[&str] = &[
    "1 writes a/folded  0101010104080108020000000201036e2d3102036e2d3202",
    "1 writes a/hard  08011801",
    "2 writes a/folded  0101010104080108020000000201036e2d3102036e2d3202",
    "2 writes a/hard  08011801",
    "1 sends 2 08111002180120022801300140017801",
    "2 sends 1 0812100118022002",
    "1 writes a/hard  080210011801",
    "1 sends 2 08051002180120022801300140017801",
    "2 writes a/hard  080210011801",
    "2 sends 1 0806100118022002",
    "1 writes a/l/ 0000000000000002 10021802",
    "1 sends 2 0803100218012002280130013a04100218024001",
    "2 writes a/l/ 0000000000000002 10021802",
    "2 sends 1 080410011802200230024001",
    "1 writes a/hard  080210011802",
    "1 sends 2 0803100218012002280230024002",
    "2 writes a/hard  080210011802",
    "2 sends 1 080410011802200230024002",
    "1 writes a/l/ 0000000000000003 100218032204776f7264",
    "1 sends 2 0803100218012002280230023a0a100218032204776f72644002",
    "2 writes a/l/ 0000000000000003 100218032204776f7264",
    "2 sends 1 080410011802200230034002",
    "1 decides 1 776f7264",
    "1 writes a/hard  080210011803",
    "1 sends 2 0803100218012002280230034003",
    "2 decides 1 776f7264",
    "2 writes a/hard  080210011803",
    "2 sends 1 080410011802200230034003",
    "1 writes a/l/ 0000000000000004 0801100218042202180332036e2d33",
    "1 sends 2 0803100218012002280230033a0f0801100218042202180332036e2d334003",
    "2 writes a/l/ 0000000000000004 0801100218042202180332036e2d33",
    "2 sends 1 080410011802200230044003",
    "1 writes a/hard  080210011804",
    "1 sends 2 0803100218012002280230044004",
    "2 writes a/hard  080210011804",
    "2 sends 1 080410011802200230044004",
    "1 sends 3 0803100318012002280230033a0f0801100218042202180332036e2d334004",
];

#[test]
fn election_word_and_membership_change_keep_their_bytes() {
    let mut pair = Pair::new();
    pair.elect();
    pair.act(1, |voter, out| {
        voter.propose(b"word".to_vec(), out).expect("a leader")
    });
    pair.act(1, |voter, out| {
        voter
            .seat(&MembershipChange::Add("n-3".into()), out)
            .expect("a leader")
    });
    let kept = pair.kept[&1]
        .iter()
        .map(|(key, value)| (hex(key), hex(value)));
    let stored = STORED
        .iter()
        .map(|(key, value)| (key.to_string(), value.to_string()));
    assert_eq!(pair.record, RECORD);
    assert_eq!(kept.collect::<Vec<_>>(), stored.collect::<Vec<_>>());
}

/// What a voter has stored after that, as it was written.
const STORED: &[(&str, &str)] = &[
    (
        "612f666f6c646564",
        "0101010104080108020000000201036e2d3102036e2d3202",
    ),
    ("612f68617264", "080210011804"),
    ("612f6c2f0000000000000002", "10021802"),
    ("612f6c2f0000000000000003", "100218032204776f7264"),
    ("612f6c2f0000000000000004", "0801100218042202180332036e2d33"),
];

#[test]
fn stored_log_is_read() {
    let kept: Vec<(Vec<u8>, Vec<u8>)> = STORED
        .iter()
        .map(|(key, value)| (unhex(key), unhex(value)))
        .collect();
    assert_eq!(
        stored(kept.iter().map(|(key, value)| (key, value))),
        (2, 4),
        "the term, and the last place"
    );
    let (voter, out) = Voter::<Last>::new(1, &BTreeMap::new(), kept).expect("a sound log");
    assert_eq!(voter.state(), &Last(1, b"word".to_vec()));
    assert_eq!((voter.place(), voter.length()), (4, 3));
    assert!(out.contains(&Output::Decided(1, b"word".to_vec())) && out.contains(&Output::Seats));
    let names = [(1, "n-1"), (2, "n-2"), (3, "n-3")].map(|(id, name)| (id, name.to_owned()));
    assert_eq!(voter.seats(), &BTreeMap::from(names));
}

#[test]
fn damaged_stored_log_is_not_read() {
    let with = |key: &str, value: &str| {
        let kept = STORED.iter().map(|(key, value)| (unhex(key), unhex(value)));
        let kept: BTreeMap<_, _> = kept
            .chain([(key.as_bytes().to_vec(), unhex(value))])
            .collect();
        Voter::<Last>::new(1, &BTreeMap::new(), kept)
            .err()
            .expect("damage")
            .to_string()
    };
    assert_eq!(
        with("a/hard", "ff"),
        "the log of the voters: the promise can't be read"
    );
    assert_eq!(
        with("a/folded", "01"),
        "the log of the voters: what is folded can't be read"
    );
    assert_eq!(
        with("a/l/", ""),
        "the log of the voters: a place has no number"
    );
    assert_eq!(
        with("a/other", ""),
        "the log of the voters: a/other is nothing of it"
    );
}

#[test]
fn promises_are_read_from_recorded_messages() {
    // No message, a request for a vote in advance, a request for a vote, an append, and an answer to it.
    assert_eq!(promise(&unhex("ff")), (0, 0, 0));
    assert_eq!(
        promise(&unhex("08111002180120022801300140017801")),
        (1, 0, 0)
    );
    assert_eq!(
        promise(&unhex("08051002180120022801300140017801")),
        (1, 2, 0)
    );
    assert_eq!(
        promise(&unhex(
            "0803100218012002280230023a0a100218032204776f72644002"
        )),
        (1, 2, 0)
    );
    assert_eq!(promise(&unhex("080410011802200230034002")), (2, 2, 3));
}

/// A voter that is added when the log begins later gets a snapshot; a snapshot is stored once in 512 words.
#[test]
fn compacted_log_and_snapshot_message_keep_their_bytes() {
    let mut pair = Pair::new();
    pair.elect();
    for number in 0..600u16 {
        let word = number.to_be_bytes().to_vec();
        pair.act(1, |voter, out| voter.propose(word, out).expect("a leader"));
    }
    let kept = &pair.kept[&1];
    let folded = kept.get(&b"a/folded"[..]).expect("a stored state");
    assert_eq!(
        hex(folded),
        "c104028104020408010802bf0402023ebf040201036e2d3102036e2d3202"
    );
    let (first, _) = kept
        .range(b"a/l/".to_vec()..)
        .next()
        .expect("a stored entry");
    assert_eq!(hex(first), "612f6c2f0000000000000202");
    let (added, out) = Voter::new(3, &BTreeMap::new(), []).expect("an added voter");
    pair.voters.insert(3, added);
    pair.handle(3, out);
    pair.record.clear();
    pair.act(1, |voter, out| {
        voter
            .seat(&MembershipChange::Add("n-3".into()), out)
            .expect("a leader")
    });
    let snapshot = pair
        .record
        .iter()
        .find(|line| line.starts_with("1 sends 3 0807"));
    assert_eq!(
        snapshot.expect("a snapshot message"),
        "1 sends 3 08071003180120024a290a18d804020257d8040301036e2d3102036e2d3203036e2d3303120d0a0608010802080310db041802"
    );
    let written: Vec<&String> = pair
        .record
        .iter()
        .filter(|line| line.starts_with("3 writes a/folded"))
        .collect();
    assert_eq!(
        written,
        [
            "3 writes a/folded  db0402db040206080108020803d804020257d8040301036e2d3102036e2d3203036e2d3303"
        ]
    );
    assert_eq!(pair.voters[&3].state(), pair.voters[&1].state());
    // Its seat is taken away again.
    pair.record.clear();
    pair.act(1, |voter, out| {
        voter
            .seat(&MembershipChange::Remove(3), out)
            .expect("a leader")
    });
    assert_eq!(
        pair.record
            .iter()
            .find(|line| line.starts_with("1 writes"))
            .expect("an entry"),
        "1 writes a/l/ 000000000000025c 0801100218dc04220410011803"
    );
}
