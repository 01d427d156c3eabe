//! Pins what voters store and send: the keys and values of the log (`a/`) and of the admission
//! (`s/`), and the messages between voters, as recorded from a run of two voters. Another voter may
//! run another version of the program, and a node reads what an older version has stored, so a
//! rename must not change these bytes. The literals were written by a version before the
//! identifiers were renamed.

use postproxy_replicated_log::admission::{Admission, AdmissionEffect, AdmissionMessage};
use postproxy_replicated_log::{
    LogEnd, MembershipChange, MessagePromise, Output, StateMachine, StorageChange, Voter,
    message_promise, stored_log_end,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the message is encoded as this literal, and decoded from it.
#[track_caller]
fn assert_encoding(message: AdmissionMessage, literal: &str) {
    let bytes = postcard::to_stdvec(&message).expect("an encoded message");
    assert_eq!(hex::encode(&bytes), literal, "{message:?}");
    assert_eq!(
        postcard::from_bytes::<AdmissionMessage>(&decode_hex(literal)).expect("a message"),
        message
    );
}

#[test]
fn admission_messages_keep_their_bytes() {
    assert_encoding(AdmissionMessage::QueryLatestStart, "00");
    assert_encoding(AdmissionMessage::LatestStart(300), "01ac02");
    assert_encoding(
        AdmissionMessage::StartAnnounced {
            start: 1,
            incarnation: 2,
            log_end: LogEnd { term: 3, index: 4 },
        },
        "0201020304",
    );
    assert_encoding(AdmissionMessage::StartConfirmed(5), "0305");
    assert_encoding(AdmissionMessage::StartOutdated(6), "0406");
    assert_encoding(AdmissionMessage::AnnounceAgain, "05");
}

/// A state machine that counts the entries and keeps the last one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct LastEntry {
    count: u64,
    entry: Vec<u8>,
}

impl StateMachine for LastEntry {
    fn apply(&mut self, entry: &[u8]) {
        self.count += 1;
        self.entry = entry.to_vec();
    }
}

/// Formats changes as text: the text part of the key, then its number and the value in hexadecimal
/// digits.
fn shown(changes: &[StorageChange]) -> Vec<String> {
    let shown = |StorageChange { key, value }: &StorageChange| {
        let text = key
            .iter()
            .take_while(|byte| byte.is_ascii_graphic())
            .count();
        let (text, number) = key.split_at(text);
        let value = value.as_ref().map_or("none".to_owned(), hex::encode);
        format!(
            "{} {} {value}",
            String::from_utf8_lossy(text),
            hex::encode(number)
        )
    };
    changes.iter().map(shown).collect()
}

#[test]
fn stored_start_and_known_starts_keep_their_keys_and_bytes() {
    // A voter with nothing stored learns that the other voter knows of no start of it, and stores
    // its first start.
    let mut effects = Vec::new();
    let mut admission = Admission::new(1, 7, &[1, 2], LogEnd::default(), []);
    admission.receive(2, AdmissionMessage::LatestStart(0), &mut effects);
    // The other voter's start is stored under that voter's number.
    admission.receive(
        2,
        AdmissionMessage::StartAnnounced {
            start: 3,
            incarnation: 300,
            log_end: LogEnd::default(),
        },
        &mut effects,
    );
    let writes = effects.iter().filter_map(|effect| {
        if let AdmissionEffect::Write { changes, .. } = effect {
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
    let stored = [
        (b"s/start".to_vec(), decode_hex("0000000000000005")),
        (
            decode_hex("732f6b6e6f776e2f0000000000000002"),
            decode_hex("0000000000000003000000000000012c"),
        ),
    ];
    let mut admission = Admission::new(1, 7, &[1, 2], LogEnd { term: 8, index: 9 }, stored);
    assert!(admission.knows(2, 300));
    let mut effects = Vec::new();
    admission.tick(&mut effects);
    assert_eq!(
        effects,
        [AdmissionEffect::Write {
            number: 1,
            changes: vec![StorageChange {
                key: b"s/start".to_vec(),
                value: Some(decode_hex("0000000000000006"))
            }]
        }]
    );
    effects.clear();
    admission.record_durable(1, &mut effects);
    assert_eq!(
        effects,
        [AdmissionEffect::Send {
            to: 2,
            message: AdmissionMessage::StartAnnounced {
                start: 6,
                incarnation: 7,
                log_end: LogEnd { term: 8, index: 9 }
            }
        }]
    );
}

/// Two voters whose messages, writes and committed entries are recorded in their order.
struct Pair {
    voters: BTreeMap<u64, Voter<LastEntry>>,
    stores: BTreeMap<u64, BTreeMap<Vec<u8>, Vec<u8>>>,
    record: Vec<String>,
}

impl Pair {
    fn new() -> Self {
        let initial_voters = BTreeMap::from([(1, "n-1".to_owned()), (2, "n-2".to_owned())]);
        let mut pair = Self {
            voters: BTreeMap::new(),
            stores: BTreeMap::new(),
            record: Vec::new(),
        };
        for id in [1, 2] {
            let (voter, out) = Voter::new(id, &initial_voters, []).expect("an initial voter");
            pair.voters.insert(id, voter);
            pair.handle(id, out);
        }
        pair
    }

    /// Runs an action on a voter and handles its outputs.
    fn act(&mut self, id: u64, action: impl FnOnce(&mut Voter<LastEntry>, &mut Vec<Output>)) {
        let mut out = Vec::new();
        action(self.voters.get_mut(&id).expect("a voter"), &mut out);
        self.handle(id, out);
    }

    fn handle(&mut self, id: u64, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write { number, changes } => {
                    self.record.extend(
                        shown(&changes)
                            .into_iter()
                            .map(|line| format!("{id} writes {line}")),
                    );
                    let store = self.stores.entry(id).or_default();
                    for StorageChange { key, value } in changes {
                        match value {
                            Some(value) => _ = store.insert(key, value),
                            None => _ = store.remove(&key),
                        }
                    }
                    self.act(id, |voter, out| voter.record_durable(number, out));
                }
                Output::Send { to, message } => {
                    self.record
                        .push(format!("{id} sends {to} {}", hex::encode(&message)));
                    if self.voters.contains_key(&to) {
                        self.act(to, |voter, out| {
                            assert!(voter.receive(&message, out), "a valid message")
                        });
                    }
                }
                Output::Committed { number, entry } => self
                    .record
                    .push(format!("{id} decides {number} {}", hex::encode(&entry))),
                Output::SnapshotInstalled { .. } | Output::VotersChanged => {}
            }
        }
    }

    /// Ticks the first voter until it is the leader.
    fn elect(&mut self) {
        for _ in 0..1000 {
            if self.voters[&1].is_leader() {
                return;
            }
            self.act(1, Voter::tick);
        }
        panic!("no leader");
    }
}

/// All that the two voters store and send in an election, for an entry and for a membership change.
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
fn election_entry_and_membership_change_keep_their_bytes() {
    let mut pair = Pair::new();
    pair.elect();
    pair.act(1, |voter, out| {
        voter.propose(b"word".to_vec(), out).expect("a leader")
    });
    pair.act(1, |voter, out| {
        voter
            .propose_membership_change(&MembershipChange::Add("n-3".into()), out)
            .expect("a leader")
    });
    let actual = pair.stores[&1]
        .iter()
        .map(|(key, value)| (hex::encode(key), hex::encode(value)));
    let stored = STORED
        .iter()
        .map(|(key, value)| (key.to_string(), value.to_string()));
    assert_eq!(pair.record, RECORD);
    assert_eq!(actual.collect::<Vec<_>>(), stored.collect::<Vec<_>>());
}

/// The keys and values that the first voter has stored after [`RECORD`].
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
    let stored: Vec<(Vec<u8>, Vec<u8>)> = STORED
        .iter()
        .map(|(key, value)| (decode_hex(key), decode_hex(value)))
        .collect();
    assert_eq!(
        stored_log_end(stored.iter().map(|(key, value)| (key, value))),
        LogEnd { term: 2, index: 4 }
    );
    let (voter, out) = Voter::<LastEntry>::new(1, &BTreeMap::new(), stored).expect("a valid log");
    assert_eq!(
        voter.state(),
        &LastEntry {
            count: 1,
            entry: b"word".to_vec()
        }
    );
    assert_eq!((voter.applied_index(), voter.entries_in_memory()), (4, 3));
    assert!(
        out.contains(&Output::Committed {
            number: 1,
            entry: b"word".to_vec()
        }) && out.contains(&Output::VotersChanged)
    );
    let names = [(1, "n-1"), (2, "n-2"), (3, "n-3")].map(|(id, name)| (id, name.to_owned()));
    assert_eq!(voter.voters(), &BTreeMap::from(names));
}

#[test]
fn corrupt_stored_log_is_rejected() {
    let error_with = |key: &str, value: &str| {
        let valid = STORED
            .iter()
            .map(|(key, value)| (decode_hex(key), decode_hex(value)));
        let corrupt: BTreeMap<_, _> = valid
            .chain([(key.as_bytes().to_vec(), decode_hex(value))])
            .collect();
        Voter::<LastEntry>::new(1, &BTreeMap::new(), corrupt)
            .err()
            .expect("an error")
            .to_string()
    };
    assert_eq!(
        error_with("a/hard", "ff"),
        "the log of this voter can't be restored: the hard state can't be decoded"
    );
    assert_eq!(
        error_with("a/folded", "01"),
        "the log of this voter can't be restored: the snapshot can't be decoded"
    );
    assert_eq!(
        error_with("a/l/", ""),
        "the log of this voter can't be restored: the key of an entry has no valid index"
    );
    assert_eq!(
        error_with("a/other", ""),
        "the log of this voter can't be restored: unknown key a/other"
    );
}

#[test]
fn promises_are_read_from_recorded_messages() {
    let promise = |digits: &str| message_promise(&decode_hex(digits));
    let expected = |voter, term, index| MessagePromise { voter, term, index };
    // Bytes that are no message, a pre-vote request, a vote request, an append, and the response to
    // an append.
    assert_eq!(promise("ff"), expected(0, 0, 0));
    assert_eq!(
        promise("08111002180120022801300140017801"),
        expected(1, 0, 0)
    );
    assert_eq!(
        promise("08051002180120022801300140017801"),
        expected(1, 2, 0)
    );
    assert_eq!(
        promise("0803100218012002280230023a0a100218032204776f72644002"),
        expected(1, 2, 0)
    );
    assert_eq!(promise("080410011802200230034002"), expected(2, 2, 3));
}

/// A snapshot is stored every 512 entries, and a voter that is added after the log was compacted
/// gets a snapshot.
#[test]
fn compacted_log_and_snapshot_message_keep_their_bytes() {
    let mut pair = Pair::new();
    pair.elect();
    for number in 0..600u16 {
        let entry = number.to_be_bytes().to_vec();
        pair.act(1, |voter, out| voter.propose(entry, out).expect("a leader"));
    }
    let store = &pair.stores[&1];
    let snapshot = store.get(&b"a/folded"[..]).expect("a stored state");
    assert_eq!(
        hex::encode(snapshot),
        "c104028104020408010802bf0402023ebf040201036e2d3102036e2d3202"
    );
    let (first, _) = store
        .range(b"a/l/".to_vec()..)
        .next()
        .expect("a stored entry");
    assert_eq!(hex::encode(first), "612f6c2f0000000000000202");
    let (added, out) = Voter::new(3, &BTreeMap::new(), []).expect("an added voter");
    pair.voters.insert(3, added);
    pair.handle(3, out);
    pair.record.clear();
    pair.act(1, |voter, out| {
        voter
            .propose_membership_change(&MembershipChange::Add("n-3".into()), out)
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
    // The added voter is removed again.
    pair.record.clear();
    pair.act(1, |voter, out| {
        voter
            .propose_membership_change(&MembershipChange::Remove(3), out)
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
