//! Pins the encodings of commands, responses and the lease table. Commands are entries of the
//! replicated log and the state is part of its snapshots; both are stored and sent to other nodes,
//! which may run another version. These bytes must therefore not change when a type or field is
//! renamed. The literals do not follow a rename.

use postproxy_leases::{
    Command, Effect, ExpiredLease, Fence, Lease, LeaseClaim, LeaseOwner, LeaseTable, MAX_LEASES,
    MAX_NAME_BYTES, MAX_VALUE_BYTES, Operation, Rejection, RenewedLease, Response, StaleToken,
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the value is encoded as this literal, and decoded from it.
#[track_caller]
fn assert_encoding<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, literal: &str) {
    let bytes = postcard::to_stdvec(&value).expect("an encoded value");
    assert_eq!(hex::encode(&bytes), literal, "{value:?}");
    assert_eq!(
        postcard::from_bytes::<T>(&decode_hex(literal)).expect("a value"),
        value
    );
}

/// Returns a lease with its token.
fn claim(lease: &str, token: u64) -> LeaseClaim {
    LeaseClaim {
        lease: lease.into(),
        token,
    }
}

#[test]
fn limits_are_unchanged() {
    assert_eq!(
        (MAX_NAME_BYTES, MAX_VALUE_BYTES, MAX_LEASES),
        (64, 65_536, 4096)
    );
}

#[test]
fn operations_keep_their_bytes() {
    assert_encoding(
        Operation::Acquire {
            lease: "d-1".into(),
        },
        "0003642d31",
    );
    assert_encoding(
        Operation::Renew {
            claims: vec![claim("d-2", 300), claim("d-3", 4)],
        },
        "010203642d32ac0203642d3304",
    );
    assert_encoding(Operation::Renew { claims: Vec::new() }, "0100");
    assert_encoding(
        Operation::Release {
            lease: "d-4".into(),
            token: 5,
        },
        "0203642d3405",
    );
    assert_encoding(
        Operation::Transfer {
            lease: "d-5".into(),
            token: Some(6),
            to: "n-2".into(),
        },
        "0303642d350106036e2d32",
    );
    assert_encoding(
        Operation::Transfer {
            lease: "d-5".into(),
            token: None,
            to: "n-2".into(),
        },
        "0303642d3500036e2d32",
    );
    assert_encoding(
        Operation::Save {
            lease: "d-6".into(),
            token: 7,
            value: vec![8, 9],
        },
        "0403642d3607020809",
    );
    assert_encoding(
        Operation::Save {
            lease: "d-6".into(),
            token: 7,
            value: Vec::new(),
        },
        "0403642d360700",
    );
    assert_encoding(
        Operation::Expire {
            leases: vec![ExpiredLease {
                lease: "d-7".into(),
                token: 10,
                renewals: 11,
            }],
        },
        "050103642d370a0b",
    );
    assert_encoding(Operation::Expire { leases: Vec::new() }, "0500");
}

#[test]
fn commands_keep_their_bytes() {
    let call = Operation::Acquire {
        lease: "d-1".into(),
    };
    assert_encoding(
        Command {
            node: "n-1".into(),
            incarnation: u64::MAX,
            sequence: 2,
            operation: call,
        },
        "036e2d31ffffffffffffffffff01020003642d31",
    );
    let call = Operation::Renew { claims: Vec::new() };
    assert_encoding(
        Command {
            node: String::new(),
            incarnation: 0,
            sequence: 0,
            operation: call,
        },
        "0000000100",
    );
}

#[test]
fn responses_keep_their_bytes() {
    assert_encoding(
        Response::Granted {
            token: 300,
            value: vec![1, 2],
        },
        "00ac02020102",
    );
    assert_encoding(
        Response::Granted {
            token: 1,
            value: Vec::new(),
        },
        "000100",
    );
    let renewed = vec![
        RenewedLease {
            lease: "d-1".into(),
            next_owner: Some("n-2".into()),
        },
        RenewedLease {
            lease: "d-2".into(),
            next_owner: None,
        },
    ];
    assert_encoding(
        Response::Renewed {
            renewed,
            lost: vec!["d-3".into()],
        },
        "010203642d3101036e2d3203642d32000103642d33",
    );
    assert_encoding(
        Response::Renewed {
            renewed: Vec::new(),
            lost: Vec::new(),
        },
        "010000",
    );
    assert_encoding(Response::Completed, "02");
    assert_encoding(
        Response::Rejected(Rejection::OwnedByOther {
            owner: "n-3".into(),
            token: 4,
        }),
        "0300036e2d3304",
    );
    assert_encoding(
        Response::Rejected(Rejection::StaleToken(Some(5))),
        "03010105",
    );
    assert_encoding(Response::Rejected(Rejection::StaleToken(None)), "030100");
    assert_encoding(Response::Rejected(Rejection::UnknownLease), "0302");
    assert_encoding(Response::Rejected(Rejection::Malformed), "0303");
    assert_encoding(Response::Rejected(Rejection::TooManyLeases), "0304");
    assert_encoding(Response::Rejected(Rejection::SupersededCommand), "0305");
}

#[test]
fn leases_keep_their_bytes() {
    let owner = LeaseOwner {
        node: "n-1".into(),
        token: 2,
    };
    assert_encoding(
        Lease {
            owner: Some(owner),
            renewals: 3,
            next_owner: Some("n-2".into()),
            value: vec![4, 5],
            value_token: 6,
        },
        "01036e2d31020301036e2d3202040506",
    );
    assert_encoding(Lease::default(), "0000000000");
}

/// Returns a table with two leases, one of them without an owner, and two clients.
fn table() -> LeaseTable {
    let calls = [
        (
            "n-1",
            17,
            1,
            Operation::Acquire {
                lease: "audit".into(),
            },
        ),
        (
            "n-1",
            17,
            2,
            Operation::Save {
                lease: "audit".into(),
                token: 1,
                value: vec![0xaa, 0xbb],
            },
        ),
        (
            "n-2",
            18,
            1,
            Operation::Acquire {
                lease: "other".into(),
            },
        ),
        (
            "n-2",
            18,
            2,
            Operation::Transfer {
                lease: "audit".into(),
                token: None,
                to: "n-2".into(),
            },
        ),
        (
            "n-2",
            18,
            3,
            Operation::Release {
                lease: "other".into(),
                token: 2,
            },
        ),
        (
            "n-1",
            17,
            3,
            Operation::Renew {
                claims: vec![claim("audit", 1)],
            },
        ),
    ];
    let mut state = LeaseTable::default();
    for (node, incarnation, sequence, operation) in calls {
        state.apply(&Command {
            node: node.into(),
            incarnation,
            sequence,
            operation,
        });
    }
    state
}

#[test]
fn table_keeps_its_bytes() {
    assert_encoding(
        table(),
        "0205617564697401036e2d31010201036e2d3202aabb01056f7468657200010000000202036e2d311103010105617564697401036e2d320006036e2d321203020506",
    );
    assert_encoding(LeaseTable::default(), "00000000");
}

#[test]
fn fences_and_effects_keep_their_bytes() {
    let mut fence = Fence::default();
    assert_encoding(fence.clone(), "0000");
    fence.observe("d-1", 5).expect("a first token");
    fence.observe("d-2", 300).expect("a first token");
    fence.observe("d-1", 4).expect_err("a stale token");
    assert_encoding(fence, "0203642d310503642d32ac0201");
    assert_encoding(
        StaleToken {
            lease: "d-1".into(),
            token: 2,
            highest_seen: 3,
        },
        "03642d310203",
    );
    // An effect cannot be created without a permit, but it can be decoded: lease, token, payload.
    let read: Effect<u8> = postcard::from_bytes(&decode_hex("03642d310509")).expect("an effect");
    assert_eq!((read.lease(), read.token()), ("d-1", 5));
    assert_encoding(read, "03642d310509");
}
