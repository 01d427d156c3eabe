//! Pins the messages of the coordination service between nodes: the prefix `PC` with its version, the number of the
//! founding, and every kind of message; and the stored seat. Nodes of a fleet may run different versions, and a node reads
//! what an older version stored, so these bytes must not change with a rename. The literals were written by the version before the renames.

use crate::message::{FollowerSnapshot, Message, PREFIX, decode, encode, founding};
use crate::replica::{LeaseStateMachine, Replica, ReplicaOutput};
use crate::{Error, NotVotingReason, StorageChange};
use postproxy_leases::{Command, LeaseTable, Operation, Rejection, Response};
use postproxy_replicated_log::admission::AdmissionMessage;
use std::collections::{BTreeMap, BTreeSet};

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

/// The number of a founding that differs in each byte.
const FOUNDING: u64 = 0x0102_0304_0506_0708;
/// What every message of that founding begins with: `PC`, version 1, and the number.
const HEAD: &str = "504301888e98a8c0e0808101";

/// Asserts that the message is encoded as this literal behind the prefix, and decoded from it.
#[track_caller]
fn pin(talk: Message, literal: &str) {
    let bytes = encode(FOUNDING, &talk);
    assert_eq!(hex(&bytes), HEAD.to_owned() + literal, "{talk:?}");
    assert_eq!(
        decode(FOUNDING, &unhex(&(HEAD.to_owned() + literal))),
        Some(talk)
    );
}

/// Two voters with their names.
fn seats() -> BTreeMap<u64, String> {
    BTreeMap::from([(1, "n-1".to_owned()), (300, "n-2".to_owned())])
}

#[test]
fn prefix_and_founding_are_unchanged() {
    assert_eq!(PREFIX, [0x50, 0x43, 0x01]);
    let names = BTreeSet::from(["n-1".to_owned(), "n-2".to_owned()]);
    assert_eq!(founding("fleet", &names), 2_195_199_529_807_375_062);
    assert_eq!(founding("", &BTreeSet::new()), 12_638_153_115_695_167_455);
}

#[test]
fn admission_messages_keep_their_bytes() {
    pin(Message::Admission(1, 2, AdmissionMessage::Who), "00010200");
    pin(
        Message::Admission(1, 2, AdmissionMessage::Known(3)),
        "0001020103",
    );
    pin(
        Message::Admission(1, 2, AdmissionMessage::Started(3, 4, (5, 6))),
        "0001020203040506",
    );
    pin(
        Message::Admission(1, 2, AdmissionMessage::Seen(7)),
        "0001020307",
    );
    pin(
        Message::Admission(1, 2, AdmissionMessage::Old(8)),
        "0001020408",
    );
    pin(
        Message::Admission(1, 2, AdmissionMessage::Again),
        "00010205",
    );
}

#[test]
fn messages_keep_their_bytes() {
    pin(Message::Log(300, vec![1, 2]), "01ac02020102");
    pin(Message::Log(0, Vec::new()), "010000");
    pin(Message::Seats(4, seats()), "02040201036e2d31ac02036e2d32");
    pin(Message::Seats(0, BTreeMap::new()), "020000");
    pin(Message::Lost(5), "0305");
    let call = Operation::Acquire("d-1".into());
    pin(
        Message::Operation(Command {
            node: "n-1".into(),
            life: 6,
            number: 7,
            call,
        }),
        "04036e2d3106070003642d31",
    );
    pin(
        Message::Came(8, 9, Response::Owns(10, vec![11])),
        "050809000a010b",
    );
    pin(Message::Came(8, 9, Response::Done), "05080902");
    pin(
        Message::MembershipChange(12, true, "n-3".into()),
        "060c01036e2d33",
    );
    pin(
        Message::MembershipChange(13, false, "n-4".into()),
        "060d00036e2d34",
    );
    pin(Message::Follow(14), "080e");
}

#[test]
fn results_of_membership_changes_keep_their_bytes() {
    pin(Message::Seated(1, Ok(())), "070100");
    pin(
        Message::Seated(1, Err(Error::NoMajority(vec!["n-1".into()]))),
        "0701010001036e2d31",
    );
    pin(
        Message::Seated(1, Err(Error::NoMajority(Vec::new()))),
        "0701010000",
    );
    pin(Message::Seated(1, Err(Error::Busy)), "07010101");
    pin(Message::Seated(1, Err(Error::NoVoters)), "07010102");
    pin(
        Message::Seated(1, Err(Error::Rejected(Rejection::Owned("n-2".into(), 2)))),
        "0701010300036e2d3202",
    );
    pin(
        Message::Seated(1, Err(Error::WouldStop { living: 3, of: 4 })),
        "070101040304",
    );
    pin(Message::Seated(1, Err(Error::Count)), "07010105");
    pin(Message::Seated(1, Err(Error::Nobody)), "07010106");
    pin(Message::Seated(1, Err(Error::Name)), "07010107");
    pin(
        Message::Seated(1, Err(Error::Elsewhere("n-3".into()))),
        "07010108036e2d33",
    );
}

#[test]
fn decided_state_keeps_its_bytes() {
    let mut state = LeaseTable::default();
    let call = Operation::Acquire("d-1".into());
    state.apply(&Command {
        node: "n-1".into(),
        life: 6,
        number: 7,
        call,
    });
    let leader = Some("n-2".to_owned());
    pin(
        Message::Decided(Box::new(FollowerSnapshot {
            place: 2,
            leader,
            seats: seats(),
            state,
        })),
        "090201036e2d320201036e2d31ac02036e2d320103642d3101036e2d3101010000000101036e2d3106070001000101",
    );
    pin(Message::Decided(Box::default()), "0900000000000000");
}

#[test]
fn reasons_not_to_vote_keep_their_bytes() {
    let bytes = |why: &NotVotingReason| hex(&postcard::to_stdvec(why).expect("an encoded reason"));
    assert_eq!(bytes(&NotVotingReason::NoSeat), "00");
    assert_eq!(bytes(&NotVotingReason::Waits), "01");
    assert_eq!(bytes(&NotVotingReason::Lost), "02");
    assert_eq!(bytes(&NotVotingReason::Removed), "03");
    assert_eq!(bytes(&NotVotingReason::Damaged("x".into())), "040178");
}

#[test]
fn foreign_and_damaged_messages_are_not_read() {
    let sound = HEAD.to_owned() + "080e";
    let read = |digits: &str| decode(FOUNDING, &unhex(digits));
    assert_eq!(read(&sound), Some(Message::Follow(14)));
    assert_eq!(
        decode(FOUNDING + 1, &unhex(&sound)),
        None,
        "another founding's"
    );
    assert_eq!(
        read(&sound.replacen("504301", "504302", 1)),
        None,
        "another version"
    );
    assert_eq!(
        read(&sound.replacen("504301", "504401", 1)),
        None,
        "another prefix"
    );
    assert_eq!(read(&(sound.clone() + "00")), None, "a byte too many");
    assert_eq!(
        read(&(HEAD.to_owned() + "0a")),
        None,
        "a variant that does not exist"
    );
    let bytes = unhex(&sound);
    assert!(
        (0..bytes.len()).all(|size| decode(FOUNDING, &bytes[..size]).is_none()),
        "a cut message"
    );
}

/// The changes that a node of this name writes when it starts with these stored keys, as text.
fn written_at_start(name: &str, kept: &[(&[u8], &str)]) -> Vec<String> {
    let kept = kept
        .iter()
        .map(|(key, value)| (key.to_vec(), unhex(value)))
        .collect();
    let mut out = Vec::new();
    Replica::new(name, 9, seats(), kept, &mut out);
    let shown = |StorageChange { key, value }| {
        format!(
            "{} {}",
            String::from_utf8_lossy(&key),
            value.map_or("none".into(), |value| hex(&value))
        )
    };
    out.into_iter()
        .filter_map(|one| {
            if let ReplicaOutput::Write(_, changes) = one {
                Some(changes)
            } else {
                None
            }
        })
        .flatten()
        .map(shown)
        .collect()
}

#[test]
fn stored_seat_keeps_its_key_and_bytes() {
    assert_eq!(written_at_start("n-2", &[]), ["c/seat ac0201"]);
    assert_eq!(
        written_at_start("n-3", &[]),
        [""; 0],
        "a node without a seat stores none"
    );
    let mut out = Vec::new();
    let seat = |value| BTreeMap::from([(b"c/seat".to_vec(), unhex(value))]);
    assert_eq!(
        Replica::new("n-3", 9, seats(), seat("ad0200"), &mut out).id(),
        301
    );
    assert!(out.is_empty(), "what is stored is not written again");
}

/// Entries of the log are commands, and the state in its snapshots is the state of duties without anything around it.
#[test]
fn folded_state_is_encoded_as_the_state_of_duties() {
    let mut state = LeaseTable::default();
    let call = Operation::Acquire("d-1".into());
    state.apply(&Command {
        node: "n-1".into(),
        life: 6,
        number: 7,
        call,
    });
    let encoded = postcard::to_stdvec(&state).expect("an encoded state");
    assert_eq!(
        postcard::to_stdvec(&LeaseStateMachine(state.clone())).expect("an encoded state"),
        encoded
    );
    let mut book = LeaseStateMachine::default();
    postproxy_replicated_log::StateMachine::apply(&mut book, &unhex("036e2d3106070003642d31"));
    assert_eq!(book.0, state);
}
