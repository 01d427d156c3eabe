//! Pins the encoding of the messages of the coordination service: the prefix `PC` with its version,
//! the cluster ID, and every kind of message; and that of the stored voter ID. Nodes of a cluster
//! may run different versions, and a node reads what an older version stored, so these bytes must
//! not change when a type or field is renamed. The literals do not follow a rename.

use crate::message::{FollowerSnapshot, MESSAGE_PREFIX, Message, cluster_id, decode, encode};
use crate::replica::{Replica, ReplicaOutput};
use crate::state_machine::LeaseStateMachine;
use crate::{Error, NotVotingReason, StorageChange};
use postproxy_leases::{Command, LeaseTable, Operation, Rejection, Response};
use postproxy_replicated_log::LogEnd;
use postproxy_replicated_log::admission::AdmissionMessage;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// A cluster ID that differs in each byte.
const CLUSTER_ID: u64 = 0x0102_0304_0506_0708;
/// The first bytes of every message of that cluster: `PC`, version 1, and the cluster ID.
const PREFIX_HEX: &str = "504301888e98a8c0e0808101";

/// Asserts that the message is encoded as the prefix and this literal, and decoded from them.
#[track_caller]
fn assert_encoding(message: Message, literal: &str) {
    let bytes = encode(CLUSTER_ID, &message);
    assert_eq!(
        hex::encode(&bytes),
        PREFIX_HEX.to_owned() + literal,
        "{message:?}"
    );
    assert_eq!(
        decode(CLUSTER_ID, &decode_hex(&(PREFIX_HEX.to_owned() + literal))),
        Some(message)
    );
}

/// Two voters, one with an ID that takes two bytes.
fn voters() -> BTreeMap<u64, String> {
    BTreeMap::from([(1, "n-1".to_owned()), (300, "n-2".to_owned())])
}

#[test]
fn prefix_and_cluster_id_are_unchanged() {
    assert_eq!(MESSAGE_PREFIX, [0x50, 0x43, 0x01]);
    let names = BTreeSet::from(["n-1".to_owned(), "n-2".to_owned()]);
    assert_eq!(cluster_id("fleet", &names), 2_195_199_529_807_375_062);
    assert_eq!(cluster_id("", &BTreeSet::new()), 12_638_153_115_695_167_455);
}

#[test]
fn admission_messages_keep_their_bytes() {
    assert_encoding(
        Message::Admission {
            from: 1,
            to: 2,
            message: AdmissionMessage::QueryLatestStart,
        },
        "00010200",
    );
    assert_encoding(
        Message::Admission {
            from: 1,
            to: 2,
            message: AdmissionMessage::LatestStart(3),
        },
        "0001020103",
    );
    assert_encoding(
        Message::Admission {
            from: 1,
            to: 2,
            message: AdmissionMessage::StartAnnounced {
                start: 3,
                incarnation: 4,
                log_end: LogEnd { term: 5, index: 6 },
            },
        },
        "0001020203040506",
    );
    assert_encoding(
        Message::Admission {
            from: 1,
            to: 2,
            message: AdmissionMessage::StartConfirmed(7),
        },
        "0001020307",
    );
    assert_encoding(
        Message::Admission {
            from: 1,
            to: 2,
            message: AdmissionMessage::StartOutdated(8),
        },
        "0001020408",
    );
    assert_encoding(
        Message::Admission {
            from: 1,
            to: 2,
            message: AdmissionMessage::AnnounceAgain,
        },
        "00010205",
    );
}

#[test]
fn messages_keep_their_bytes() {
    assert_encoding(
        Message::Log {
            incarnation: 300,
            message: vec![1, 2],
        },
        "01ac02020102",
    );
    assert_encoding(
        Message::Log {
            incarnation: 0,
            message: Vec::new(),
        },
        "010000",
    );
    assert_encoding(
        Message::VotersAnnounced {
            applied_index: 4,
            voters: voters(),
        },
        "02040201036e2d31ac02036e2d32",
    );
    assert_encoding(
        Message::VotersAnnounced {
            applied_index: 0,
            voters: BTreeMap::new(),
        },
        "020000",
    );
    assert_encoding(Message::PromisesLost { voter: 5 }, "0305");
    let operation = Operation::Acquire {
        lease: "d-1".into(),
    };
    assert_encoding(
        Message::Call(Command {
            node: "n-1".into(),
            incarnation: 6,
            sequence: 7,
            operation,
        }),
        "04036e2d3106070003642d31",
    );
    assert_encoding(
        Message::CallCompleted {
            incarnation: 8,
            sequence: 9,
            response: Response::Granted {
                token: 10,
                value: vec![11],
            },
        },
        "050809000a010b",
    );
    assert_encoding(
        Message::CallCompleted {
            incarnation: 8,
            sequence: 9,
            response: Response::Completed,
        },
        "05080902",
    );
    assert_encoding(
        Message::MembershipChangeRequested {
            ticket: 12,
            add: true,
            node: "n-3".into(),
        },
        "060c01036e2d33",
    );
    assert_encoding(
        Message::MembershipChangeRequested {
            ticket: 13,
            add: false,
            node: "n-4".into(),
        },
        "060d00036e2d34",
    );
    assert_encoding(
        Message::FollowerSnapshotRequested { applied_index: 14 },
        "080e",
    );
}

#[test]
fn results_of_membership_changes_keep_their_bytes() {
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Ok(()),
        },
        "070100",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::NoMajority(vec!["n-1".into()])),
        },
        "0701010001036e2d31",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::NoMajority(Vec::new())),
        },
        "0701010000",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::Busy),
        },
        "07010101",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::NoVoters),
        },
        "07010102",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::Rejected(Rejection::OwnedByOther {
                owner: "n-2".into(),
                token: 2,
            })),
        },
        "0701010300036e2d3202",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::WouldLoseMajority { live: 3, total: 4 }),
        },
        "070101040304",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::VoterCount),
        },
        "07010105",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::UnknownNode),
        },
        "07010106",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::InvalidName),
        },
        "07010107",
    );
    assert_encoding(
        Message::MembershipChangeCompleted {
            ticket: 1,
            result: Err(Error::NotLeader("n-3".into())),
        },
        "07010108036e2d33",
    );
}

#[test]
fn follower_snapshot_keeps_its_bytes() {
    let mut leases = LeaseTable::default();
    let operation = Operation::Acquire {
        lease: "d-1".into(),
    };
    leases.apply(&Command {
        node: "n-1".into(),
        incarnation: 6,
        sequence: 7,
        operation,
    });
    let leader = Some("n-2".to_owned());
    assert_encoding(
        Message::FollowerSnapshot(Box::new(FollowerSnapshot {
            applied_index: 2,
            leader,
            voters: voters(),
            leases,
        })),
        "090201036e2d320201036e2d31ac02036e2d320103642d3101036e2d3101010000000101036e2d3106070001000101",
    );
    assert_encoding(
        Message::FollowerSnapshot(Box::default()),
        "0900000000000000",
    );
}

#[test]
fn reasons_not_to_vote_keep_their_bytes() {
    let bytes = |reason: &NotVotingReason| {
        hex::encode(postcard::to_stdvec(reason).expect("an encoded reason"))
    };
    assert_eq!(bytes(&NotVotingReason::NotAVoter), "00");
    assert_eq!(bytes(&NotVotingReason::AwaitingAdmission), "01");
    assert_eq!(bytes(&NotVotingReason::PromisesLost), "02");
    assert_eq!(bytes(&NotVotingReason::Removed), "03");
    assert_eq!(bytes(&NotVotingReason::LogDamaged("x".into())), "040178");
}

#[test]
fn foreign_and_damaged_messages_are_not_decoded() {
    let valid = PREFIX_HEX.to_owned() + "080e";
    let decoded = |digits: &str| decode(CLUSTER_ID, &decode_hex(digits));
    assert_eq!(
        decoded(&valid),
        Some(Message::FollowerSnapshotRequested { applied_index: 14 })
    );
    assert_eq!(
        decode(CLUSTER_ID + 1, &decode_hex(&valid)),
        None,
        "another cluster"
    );
    assert_eq!(
        decoded(&valid.replacen("504301", "504302", 1)),
        None,
        "another version"
    );
    assert_eq!(
        decoded(&valid.replacen("504301", "504401", 1)),
        None,
        "another prefix"
    );
    assert_eq!(decoded(&(valid.clone() + "00")), None, "a trailing byte");
    assert_eq!(
        decoded(&(PREFIX_HEX.to_owned() + "0a")),
        None,
        "a variant that does not exist"
    );
    let bytes = decode_hex(&valid);
    assert!(
        (0..bytes.len()).all(|size| decode(CLUSTER_ID, &bytes[..size]).is_none()),
        "a truncated message"
    );
}

/// Returns the changes that a node writes when it starts with these stored keys, as text.
fn written_at_start(name: &str, stored: &[(&[u8], &str)]) -> Vec<String> {
    let stored = stored
        .iter()
        .map(|(key, value)| (key.to_vec(), decode_hex(value)))
        .collect();
    let mut out = Vec::new();
    Replica::new(name, 9, voters(), stored, &mut out);
    let shown = |StorageChange { key, value }| {
        format!(
            "{} {}",
            String::from_utf8_lossy(&key),
            value.map_or("none".into(), |value| hex::encode(&value))
        )
    };
    out.into_iter()
        .filter_map(|output| {
            if let ReplicaOutput::Write { changes, .. } = output {
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
fn stored_voter_id_keeps_its_key_and_bytes() {
    assert_eq!(written_at_start("n-2", &[]), ["c/seat ac0201"]);
    assert_eq!(
        written_at_start("n-3", &[]),
        [""; 0],
        "a node that is not a voter stores no ID"
    );
    let mut out = Vec::new();
    let stored = |value| BTreeMap::from([(b"c/seat".to_vec(), decode_hex(value))]);
    assert_eq!(
        Replica::new("n-3", 9, voters(), stored("ad0200"), &mut out).id(),
        301
    );
    assert!(out.is_empty(), "a stored ID is not written again");
}

/// Entries of the log are encoded commands, and the state in its snapshots is the encoded lease
/// table alone.
#[test]
fn state_machine_is_encoded_as_the_lease_table() {
    let mut state = LeaseTable::default();
    let operation = Operation::Acquire {
        lease: "d-1".into(),
    };
    state.apply(&Command {
        node: "n-1".into(),
        incarnation: 6,
        sequence: 7,
        operation,
    });
    let encoded = postcard::to_stdvec(&state).expect("an encoded state");
    assert_eq!(
        postcard::to_stdvec(&LeaseStateMachine(state.clone())).expect("an encoded state"),
        encoded
    );
    let mut state_machine = LeaseStateMachine::default();
    postproxy_replicated_log::StateMachine::apply(
        &mut state_machine,
        &decode_hex("036e2d3106070003642d31"),
    );
    assert_eq!(state_machine.0, state);
}
