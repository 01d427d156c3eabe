//! Pins the encodings of commands, answers and the state of duties. Commands are entries of the replicated log and the
//! state is part of its snapshots; both are stored and sent to other nodes, which may run another version. So these bytes
//! must not change with a rename. The literals were written by the version before the renames.

use postproxy_leases::{
    Command, Effect, Fence, Lease, LeaseTable, MAX_LEASES, MAX_NAME_BYTES, MAX_VALUE_BYTES,
    Operation, Rejection, Response, StaleToken,
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

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

/// Asserts that the value is encoded as this literal, and decoded from it.
#[track_caller]
fn pin<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, literal: &str) {
    let bytes = postcard::to_stdvec(&value).expect("an encoded value");
    assert_eq!(hex(&bytes), literal, "{value:?}");
    assert_eq!(
        postcard::from_bytes::<T>(&unhex(literal)).expect("a value"),
        value
    );
}

#[test]
fn limits_are_unchanged() {
    assert_eq!(
        (MAX_NAME_BYTES, MAX_VALUE_BYTES, MAX_LEASES),
        (64, 65_536, 4096)
    );
}

#[test]
fn calls_keep_their_bytes() {
    pin(Operation::Acquire("d-1".into()), "0003642d31");
    pin(
        Operation::Renew(vec![("d-2".into(), 300), ("d-3".into(), 4)]),
        "010203642d32ac0203642d3304",
    );
    pin(Operation::Renew(Vec::new()), "0100");
    pin(Operation::Release("d-4".into(), 5), "0203642d3405");
    pin(
        Operation::Hand("d-5".into(), Some(6), "n-2".into()),
        "0303642d350106036e2d32",
    );
    pin(
        Operation::Hand("d-5".into(), None, "n-2".into()),
        "0303642d3500036e2d32",
    );
    pin(
        Operation::Save("d-6".into(), 7, vec![8, 9]),
        "0403642d3607020809",
    );
    pin(
        Operation::Save("d-6".into(), 7, Vec::new()),
        "0403642d360700",
    );
    pin(
        Operation::Expire(vec![("d-7".into(), 10, 11)]),
        "050103642d370a0b",
    );
    pin(Operation::Expire(Vec::new()), "0500");
}

#[test]
fn commands_keep_their_bytes() {
    let call = Operation::Acquire("d-1".into());
    pin(
        Command {
            node: "n-1".into(),
            life: u64::MAX,
            number: 2,
            call,
        },
        "036e2d31ffffffffffffffffff01020003642d31",
    );
    let call = Operation::Renew(Vec::new());
    pin(
        Command {
            node: String::new(),
            life: 0,
            number: 0,
            call,
        },
        "0000000100",
    );
}

#[test]
fn answers_keep_their_bytes() {
    pin(Response::Owns(300, vec![1, 2]), "00ac02020102");
    pin(Response::Owns(1, Vec::new()), "000100");
    let renewed = vec![("d-1".into(), Some("n-2".into())), ("d-2".into(), None)];
    pin(
        Response::Renewed(renewed, vec!["d-3".into()]),
        "010203642d3101036e2d3203642d32000103642d33",
    );
    pin(Response::Renewed(Vec::new(), Vec::new()), "010000");
    pin(Response::Done, "02");
    pin(
        Response::Refused(Rejection::Owned("n-3".into(), 4)),
        "0300036e2d3304",
    );
    pin(
        Response::Refused(Rejection::StaleToken(Some(5))),
        "03010105",
    );
    pin(Response::Refused(Rejection::StaleToken(None)), "030100");
    pin(Response::Refused(Rejection::Unknown), "0302");
    pin(Response::Refused(Rejection::Malformed), "0303");
    pin(Response::Refused(Rejection::Full), "0304");
    pin(Response::Refused(Rejection::Old), "0305");
}

#[test]
fn duties_keep_their_bytes() {
    let (owner, next) = (Some(("n-1".to_owned(), 2)), Some("n-2".to_owned()));
    pin(
        Lease {
            owner,
            renewals: 3,
            next,
            value: vec![4, 5],
            saved: 6,
        },
        "01036e2d31020301036e2d3202040506",
    );
    pin(Lease::default(), "0000000000");
}

/// A state that these calls have led to: two duties, one of them without an owner, and two clients.
fn state() -> LeaseTable {
    let calls = [
        ("n-1", 17, 1, Operation::Acquire("audit".into())),
        (
            "n-1",
            17,
            2,
            Operation::Save("audit".into(), 1, vec![0xaa, 0xbb]),
        ),
        ("n-2", 18, 1, Operation::Acquire("other".into())),
        (
            "n-2",
            18,
            2,
            Operation::Hand("audit".into(), None, "n-2".into()),
        ),
        ("n-2", 18, 3, Operation::Release("other".into(), 2)),
        ("n-1", 17, 3, Operation::Renew(vec![("audit".into(), 1)])),
    ];
    let mut state = LeaseTable::default();
    for (node, life, number, call) in calls {
        state.apply(&Command {
            node: node.into(),
            life,
            number,
            call,
        });
    }
    state
}

#[test]
fn state_keeps_its_bytes() {
    pin(
        state(),
        "0205617564697401036e2d31010201036e2d3202aabb01056f7468657200010000000202036e2d311103010105617564697401036e2d320006036e2d321203020506",
    );
    pin(LeaseTable::default(), "00000000");
}

#[test]
fn fences_and_effects_keep_their_bytes() {
    let mut fence = Fence::default();
    pin(fence.clone(), "0000");
    fence.learn("d-1", 5).expect("a first token");
    fence.learn("d-2", 300).expect("a first token");
    fence.learn("d-1", 4).expect_err("a stale token");
    pin(fence, "0203642d310503642d32ac0201");
    pin(
        StaleToken {
            duty: "d-1".into(),
            token: 2,
            seen: 3,
        },
        "03642d310203",
    );
    // An effect can't be made without a permit, but it can be read: duty, token, content.
    let read: Effect<u8> = postcard::from_bytes(&unhex("03642d310509")).expect("an effect");
    assert_eq!((read.duty(), read.token()), ("d-1", 5));
    pin(read, "03642d310509");
}
