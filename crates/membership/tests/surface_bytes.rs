//! Checks the encoding of datagrams between members, with every kind of message, and of stored
//! suspensions. Nodes of a cluster may run different versions, so the encoding must not change, for
//! example when a type or field is renamed. The literals were recorded with an earlier version.

use postproxy_membership::packet::{
    DecodeError, ForgottenNode, MAX_DATAGRAM_BYTES, Message, VERSION, cluster_number, decode,
    decode_stream_message, encode,
};
use postproxy_membership::{
    Identity, MAX_NAME_BYTES, SuspendedWorkers, Suspension, WorkerSuspension,
};
use std::net::SocketAddr;

/// Returns the bytes that the hexadecimal digits stand for.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// The sender of all datagrams here.
fn sender() -> Identity {
    let address = "127.0.0.1:7070".parse().expect("an address");
    Identity {
        name: "n-1".into(),
        address,
        incarnation: 300,
        process_nonce: u64::MAX,
    }
}

/// The sender, encoded.
const SENDER: &str = "036e2d31007f0000019e37ac02ffffffffffffffffff01";

/// Asserts that the message is encoded as this literal, that its datagram consists of the envelope,
/// the sender and this literal, and that the datagram is decoded to the message.
#[track_caller]
fn assert_encoding(message: Message, literal: &str) {
    let bytes = postcard::to_stdvec(&message).expect("an encoded message");
    assert_eq!(hex::encode(&bytes), literal, "{message:?}");
    let datagram = encode(0x0102_0304, &sender(), &message);
    assert_eq!(
        hex::encode(&datagram[..7]),
        "504d0104030201",
        "the magic PM, the version, the cluster number"
    );
    assert_eq!(
        datagram[7..11],
        crc32fast::hash(&datagram[11..]).to_le_bytes(),
        "the checksum"
    );
    assert_eq!(hex::encode(&datagram[11..]), SENDER.to_owned() + literal);
    let sum = crc32fast::hash(&decode_hex(&(SENDER.to_owned() + literal))).to_le_bytes();
    let literal = ["504d0104030201", &hex::encode(sum), SENDER, literal].concat();
    assert_eq!(
        decode(0x0102_0304, &decode_hex(&literal)),
        Ok((sender(), message))
    );
}

#[test]
fn version_limits_and_cluster_number_are_unchanged() {
    assert_eq!((VERSION, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES), (1, 1400, 64));
    assert_eq!(cluster_number("fleet"), 2690522695);
    assert_eq!(cluster_number(""), 0);
}

#[test]
fn messages_keep_their_bytes() {
    let suspension = Suspension {
        process_nonce: 301,
        suspend_count: 2,
        undone_count: 1,
    };
    let of_worker = |worker: &str| WorkerSuspension {
        worker: worker.into(),
        suspension,
    };
    assert_encoding(Message::Swim(vec![1, 2, 255]), "00030102ff");
    assert_encoding(Message::Swim(Vec::new()), "0000");
    assert_encoding(
        Message::Heartbeat {
            sequence: 300,
            digest: 0x0102_0304_0506_0708,
        },
        "01ac02888e98a8c0e0808101",
    );
    assert_encoding(Message::NameQuery, "02");
    assert_encoding(
        Message::NameHolder(Some(sender())),
        "0301036e2d31007f0000019e37ac02ffffffffffffffffff01",
    );
    assert_encoding(Message::NameHolder(None), "0300");
    assert_encoding(Message::LivenessChallenge(4), "0404");
    assert_encoding(Message::LivenessResponse(5), "0505");
    assert_encoding(
        Message::Suspicion {
            process_nonce: 6,
            swim_incarnation: 515,
        },
        "06068304",
    );
    assert_encoding(Message::Leaving, "07");
    assert_encoding(
        Message::Suspensions {
            suspensions: vec![of_worker("w-1")],
            reply_wanted: true,
        },
        "080103772d31ad02020101",
    );
    assert_encoding(
        Message::Suspensions {
            suspensions: Vec::new(),
            reply_wanted: false,
        },
        "080000",
    );
    assert_encoding(Message::SuspensionAcknowledged(7), "0907");
    assert_encoding(
        Message::RecordSuspensions {
            ticket: 8,
            suspensions: vec![of_worker("w-2")],
        },
        "0a080103772d32ad020201",
    );
    assert_encoding(
        Message::RecordSuspensions {
            ticket: 9,
            suspensions: Vec::new(),
        },
        "0a0900",
    );
    assert_encoding(
        Message::Forgotten(vec![ForgottenNode {
            name: "n-2".into(),
            up_to_incarnation: 10,
        }]),
        "0b01036e2d320a",
    );
    assert_encoding(Message::Forgotten(Vec::new()), "0b00");
    assert_encoding(Message::Application(vec![11, 12]), "0c020b0c");
    assert_encoding(Message::Application(Vec::new()), "0c00");
}

/// A whole datagram, with [`Message::NameQuery`].
const DATAGRAM: &str = "504d01040302015dcc674e036e2d31007f0000019e37ac02ffffffffffffffffff0102";

#[test]
fn whole_datagram_keeps_its_bytes() {
    assert_eq!(
        hex::encode(encode(0x0102_0304, &sender(), &Message::NameQuery)),
        DATAGRAM
    );
    assert_eq!(
        decode(0x0102_0304, &decode_hex(DATAGRAM)),
        Ok((sender(), Message::NameQuery))
    );
}

#[test]
fn foreign_and_damaged_datagrams_keep_their_errors() {
    let valid = decode_hex(DATAGRAM);
    let changed = |at: usize| {
        let mut bytes = valid.clone();
        bytes[at] ^= 1;
        decode(0x0102_0304, &bytes)
    };
    assert_eq!(changed(0), Err(DecodeError::Foreign));
    assert_eq!(changed(1), Err(DecodeError::Foreign));
    assert_eq!(changed(2), Err(DecodeError::Version));
    (3..7).for_each(|at| assert_eq!(changed(at), Err(DecodeError::Cluster)));
    (7..valid.len()).for_each(|at| assert_eq!(changed(at), Err(DecodeError::Damaged)));
    assert_eq!(decode(0x0102_0304, &valid[..10]), Err(DecodeError::Foreign));
    assert_eq!(decode(0x0102_0304, &valid[..11]), Err(DecodeError::Damaged));
    assert_eq!(decode(0x0102_0305, &valid), Err(DecodeError::Cluster));
    // Valid checksums, but invalid content: an unknown kind of message, an extra byte, a sender
    // without a name.
    let decode_content = |content: &str| {
        let content = decode_hex(content);
        let sum = crc32fast::hash(&content).to_le_bytes();
        decode(
            0x0102_0304,
            &[&decode_hex("504d0104030201"), &sum[..], &content].concat(),
        )
    };
    assert_eq!(
        decode_content(&(SENDER.to_owned() + "0d")),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        decode_content(&(SENDER.to_owned() + "0200")),
        Err(DecodeError::Malformed)
    );
    assert_eq!(
        decode_content(&("00".to_owned() + &SENDER[8..] + "02")),
        Err(DecodeError::Malformed)
    );
    // Longer than a datagram may be; from a stream it is accepted.
    let long = encode(0x0102_0304, &sender(), &Message::Application(vec![0; 1400]));
    assert_eq!(decode(0x0102_0304, &long), Err(DecodeError::Damaged));
    assert!(decode_stream_message(0x0102_0304, &long).is_ok());
}

#[test]
fn identity_of_an_ipv6_address_keeps_its_bytes() {
    let address: SocketAddr = "[::1]:7070".parse().expect("an address");
    let identity = Identity {
        address,
        ..sender()
    };
    let literal = "036e2d3101000000000000000000000000000000019e37ac02ffffffffffffffffff01";
    assert_eq!(
        hex::encode(postcard::to_stdvec(&identity).expect("an encoded identity")),
        literal
    );
    assert_eq!(
        postcard::from_bytes::<Identity>(&decode_hex(literal)),
        Ok(identity)
    );
}

/// Nodes compare these digests, so every version must compute the same number.
#[test]
fn digest_of_suspended_workers_is_unchanged() {
    let mut workers = SuspendedWorkers::default();
    assert_eq!(format!("{:016x}", workers.digest()), "cbf29ce484222325");
    workers.merge(
        "w-1",
        Suspension {
            process_nonce: 301,
            suspend_count: 2,
            undone_count: 1,
        },
    );
    workers.merge(
        "w-2",
        Suspension {
            process_nonce: 302,
            suspend_count: 3,
            undone_count: 3,
        },
    );
    assert_eq!(format!("{:016x}", workers.digest()), "f593dd39b26adc4e");
}

/// The value that a node stores under `f/bans`.
#[test]
fn stored_suspensions_keep_their_bytes() {
    let suspensions = vec![WorkerSuspension {
        worker: "w-1".to_owned(),
        suspension: Suspension {
            process_nonce: 301,
            suspend_count: 2,
            undone_count: 1,
        },
    }];
    let literal = "0103772d31ad020201";
    assert_eq!(
        hex::encode(postcard::to_stdvec(&suspensions).expect("encoded suspensions")),
        literal
    );
    assert_eq!(
        postcard::from_bytes::<Vec<WorkerSuspension>>(&decode_hex(literal)),
        Ok(suspensions)
    );
}
