//! Checks the encoding of a request that migrates to a sibling process of the node: the field
//! `request` of the handover message `Request`. The sibling may run another version of the program,
//! so renaming a field or type must not change these bytes. The literals were written by the
//! version before such a rename.

use super::{EncodedAttempt, EncodedRequest};
use crate::decision::interface::{MigratedRequest, WorkerId};
use crate::decision::request::{Attempt, AttemptState, Request};
use crate::net::messages::Payload;
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the value is encoded as this literal and that the literal is decoded to the value.
#[track_caller]
fn assert_encoding<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, literal: &str) {
    let bytes = postcard::to_stdvec(&value).expect("an encoded value");
    assert_eq!(hex::encode(&bytes), literal, "{value:?}");
    assert_eq!(
        postcard::from_bytes::<T>(&decode_hex(literal)).expect("a value"),
        value
    );
}

fn payload() -> Payload {
    Payload {
        id: "j-1".into(),
        method: "POST".into(),
        target: "/render".into(),
        idempotency_key: Some("k-1".into()),
        body: vec![1, 2, 255],
    }
}

fn attempt(state: AttemptState) -> Attempt {
    Attempt {
        worker: 300,
        cell: (2, 515),
        sent: 1.5,
        state,
        started: Some(2.5),
        last_progress: 3.5,
        capacity_reported: true,
        cancelled: false,
    }
}

fn request() -> Request {
    Request {
        class: 1,
        slots: 2.0,
        memory: 0.25,
        work: 0.5,
        min_run_time: 0.125,
        first_submitted: 100.0,
        deadline: 112.0,
        attempts: vec![attempt(AttemptState::InFlight)],
        candidates: vec![3, 4],
        probed: vec![5],
        probes_until: 101.0,
        probe_rounds: 301,
        slow_start_permit: Some(6),
        permit_drawn_for: 7,
        review_at: 102.0,
        streaming: true,
        ..Request::default()
    }
}

#[test]
fn payload_keeps_its_bytes() {
    assert_encoding(
        payload(),
        "036a2d3104504f5354072f72656e64657201036b2d31030102ff",
    );
    assert_encoding(Payload::default(), "0000000000");
}

#[test]
fn attempts_keep_their_bytes_in_every_state() {
    assert_encoding(
        attempt(AttemptState::InFlight),
        "ac02028304000000000000f83f000100000000000004400000000000000c400100",
    );
    assert_encoding(
        attempt(AttemptState::NeverRan),
        "ac02028304000000000000f83f010100000000000004400000000000000c400100",
    );
    assert_encoding(
        attempt(AttemptState::MayHaveRun),
        "ac02028304000000000000f83f020100000000000004400000000000000c400100",
    );
    assert_encoding(
        Attempt {
            started: None,
            capacity_reported: false,
            cancelled: true,
            ..attempt(AttemptState::InFlight)
        },
        "ac02028304000000000000f83f00000000000000000c400001",
    );
}

#[test]
fn request_record_keeps_its_bytes() {
    assert_encoding(
        request(),
        "010000000000000040000000000000d03f000000000000e03f000000000000c03f00000000000059400000000000005c4001ac02028304000000000000f83f000100000000000004400000000000000c40010002030401050000000000405940ad02010607000000000080594001",
    );
    assert_encoding(
        Request::default(),
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
    );
}

#[test]
fn affinity_key_and_missing_idempotency_key_are_not_encoded() {
    let bytes = postcard::to_stdvec(&request()).expect("an encoded request");
    let marked = Request {
        affinity_key: Some(9),
        without_key: true,
        ..request()
    };
    assert_eq!(
        postcard::to_stdvec(&marked).expect("an encoded request"),
        bytes
    );
}

#[test]
fn migrated_request_keeps_its_bytes() {
    let workers = vec![WorkerId {
        address: [127, 0, 0, 1],
        port: 9000,
    }];
    let attempt = EncodedAttempt {
        worker: "w-1".into(),
        sent_at: 1.5,
        deadline: 9.5,
        written: true,
        ended: false,
    };
    let migrated = EncodedRequest {
        sender_now: 103.0,
        payload: payload(),
        class: 1,
        deadline: 112.0,
        attempts: vec![attempt],
        may_have_run: true,
        slots: 2.0,
        expected_work: Some(0.5),
        dispatcher_state: MigratedRequest {
            request: request(),
            workers,
        },
    };
    assert_encoding(
        migrated,
        "0000000000c05940036a2d3104504f5354072f72656e64657201036b2d31030102ff010000000000005c400103772d31000000000000f83f0000000000002340010001000000000000004001000000000000e03f010000000000000040000000000000d03f000000000000e03f000000000000c03f00000000000059400000000000005c4001ac02028304000000000000f83f000100000000000004400000000000000c40010002030401050000000000405940ad02010607000000000080594001017f000001a846",
    );
    let migrated = EncodedRequest {
        sender_now: 0.0,
        payload: Payload::default(),
        class: 0,
        deadline: 0.0,
        attempts: Vec::new(),
        may_have_run: false,
        slots: 0.0,
        expected_work: None,
        dispatcher_state: MigratedRequest {
            request: Request::default(),
            workers: Vec::new(),
        },
    };
    assert_encoding(
        migrated,
        "00000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
    );
}
