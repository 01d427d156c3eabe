//! Pins the bytes that two processes of one node exchange during a handover: the greeting, the
//! frames, and every message. During an upgrade the older process may run an older version of the
//! program, so these bytes must not change within a protocol version. The literals were recorded
//! with an earlier version of the program.

use postproxy_handover::{
    GREETING_MAGIC, Link, LinkError, LinkEvent, MAX_FRAME_BYTES, Message, Role, StateUpdate,
    VERSION, frame, greeting,
};

/// Decodes hexadecimal digits.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the message is encoded as this literal, that its frame is the length and the
/// literal, and that the literal is decoded as the message.
#[track_caller]
fn assert_encoding(message: Message, literal: &str) {
    let bytes = postcard::to_stdvec(&message).expect("an encoded message");
    assert_eq!(hex::encode(&bytes), literal, "{message:?}");
    assert_eq!(
        postcard::from_bytes::<Message>(&decode_hex(literal)).expect("a message"),
        message
    );
    let length = format!("{:08x}", literal.len() / 2);
    assert_eq!(
        hex::encode(frame(&message)),
        length + literal,
        "{message:?}"
    );
}

#[test]
fn greeting_and_limits_are_unchanged() {
    assert_eq!(GREETING_MAGIC, b"ppho\r\n");
    assert_eq!(VERSION, 1);
    assert_eq!(MAX_FRAME_BYTES, 8_388_608);
    assert_eq!(hex::encode(greeting()), "7070686f0d0a0001");
}

#[test]
fn messages_keep_their_bytes() {
    assert_encoding(
        Message::Hello {
            name: "n-1".into(),
            listen: "127.0.0.1:7070".into(),
        },
        "00036e2d310e3132372e302e302e313a37303730",
    );
    assert_encoding(
        Message::Hello {
            name: String::new(),
            listen: String::new(),
        },
        "000000",
    );
    assert_encoding(Message::SnapshotComplete, "02");
    assert_encoding(Message::DescriptorsHeld(300), "03ac02");
    assert_encoding(
        Message::Callback {
            number: 5,
            body: vec![1, 2, 255],
        },
        "0405030102ff",
    );
    assert_encoding(
        Message::Callback {
            number: u64::MAX,
            body: Vec::new(),
        },
        "04ffffffffffffffffff0100",
    );
    assert_encoding(
        Message::CallbackResult {
            number: 6,
            known: true,
        },
        "050601",
    );
    assert_encoding(
        Message::CallbackResult {
            number: 7,
            known: false,
        },
        "050700",
    );
    assert_encoding(
        Message::IdleConnection {
            input: b"GET".to_vec(),
            used_before: true,
        },
        "060347455401",
    );
    assert_encoding(
        Message::IdleConnection {
            input: Vec::new(),
            used_before: false,
        },
        "060000",
    );
    assert_encoding(
        Message::Request {
            request: vec![9, 8],
            input: vec![7],
            close_after_answer: true,
        },
        "07020908010701",
    );
    assert_encoding(
        Message::Request {
            request: Vec::new(),
            input: Vec::new(),
            close_after_answer: false,
        },
        "07000000",
    );
    assert_encoding(Message::ShuttingDown, "08");
}

#[test]
fn state_updates_keep_their_bytes() {
    assert_encoding(
        Message::StateUpdate(StateUpdate::WorkerSuspensionChanged {
            worker: "w-1".into(),
            resume: true,
        }),
        "010003772d3101",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::WorkerSuspensionChanged {
            worker: "w-2".into(),
            resume: false,
        }),
        "010003772d3200",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::DrainChanged {
            draining: true,
            seconds_ago: 1.5,
        }),
        "0101010000c03f",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::DrainChanged {
            draining: false,
            seconds_ago: 0.0,
        }),
        "01010000000000",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::WorkerList(vec![3, 4, 5])),
        "010203030405",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::WorkerList(Vec::new())),
        "010200",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::RequestAdmitted {
            id: "j-1".into(),
            is_new: true,
        }),
        "0103036a2d3101",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::RequestAdmitted {
            id: "j-2".into(),
            is_new: false,
        }),
        "0103036a2d3200",
    );
    let (id, worker) = ("j-3".to_owned(), "w-3".to_owned());
    let sent = StateUpdate::AttemptSent {
        id,
        attempt: 515,
        worker,
        slots: 2.5,
        expected_work: 0.25,
        seconds_ago: 0.125,
        is_new: true,
    };
    assert_encoding(
        Message::StateUpdate(sent),
        "0104036a2d33830403772d33000020400000803e0000003e01",
    );
    let (id, worker) = (String::new(), String::new());
    let sent = StateUpdate::AttemptSent {
        id,
        attempt: 0,
        worker,
        slots: 1.0,
        expected_work: 0.0,
        seconds_ago: 0.0,
        is_new: false,
    };
    assert_encoding(
        Message::StateUpdate(sent),
        "01040000000000803f000000000000000000",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::AttemptEnded {
            id: "j-4".into(),
            attempt: 2,
        }),
        "0105036a2d3402",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::RequestFinished { id: "j-5".into() }),
        "0106036a2d35",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::BudgetHistory {
            admissions: vec![0.5, 4.0],
            retries: vec![8.0],
        }),
        "0107020000003f000080400100000041",
    );
    assert_encoding(
        Message::StateUpdate(StateUpdate::BudgetHistory {
            admissions: Vec::new(),
            retries: Vec::new(),
        }),
        "01070000",
    );
}

/// Returns a link of a process with this role, of the node `n-1` that listens at port 7070.
fn link(role: Role) -> Link {
    Link::new(role, "n-1", "127.0.0.1:7070", 0.0)
}

/// Returns the error that these bytes cause on a link of the newer process.
#[track_caller]
fn receive_error(digits: &str) -> LinkError {
    link(Role::Newer)
        .receive(&decode_hex(digits), &mut Vec::new())
        .expect_err("an error")
}

#[test]
fn each_kind_of_invalid_bytes_has_its_error() {
    assert_eq!(receive_error("7070686f0d0b"), LinkError::UnknownProtocol);
    assert_eq!(receive_error("00"), LinkError::UnknownProtocol);
    assert_eq!(
        receive_error("7070686f0d0a0002"),
        LinkError::UnsupportedVersion(2)
    );
    assert_eq!(
        receive_error("7070686f0d0a000100800001"),
        LinkError::FrameTooLong(8_388_609)
    );
    // An empty body, an unknown variant, a truncated string, and a trailing byte.
    assert_eq!(
        receive_error("7070686f0d0a000100000000"),
        LinkError::Malformed
    );
    assert_eq!(
        receive_error("7070686f0d0a00010000000109"),
        LinkError::Malformed
    );
    assert_eq!(
        receive_error("7070686f0d0a00010000000300036e"),
        LinkError::Malformed
    );
    assert_eq!(
        receive_error("7070686f0d0a0001000000020200"),
        LinkError::Malformed
    );
    // An unknown variant of the inner enum.
    assert_eq!(
        receive_error("7070686f0d0a0001000000020108"),
        LinkError::Malformed
    );
    // `SnapshotComplete` before `Hello`, and the `Hello` of another node.
    assert_eq!(
        receive_error("7070686f0d0a00010000000102"),
        LinkError::UnexpectedMessage
    );
    assert_eq!(
        receive_error("7070686f0d0a00010000000500016e0178"),
        LinkError::OtherNode("n at x".into())
    );
}

#[test]
fn each_error_has_its_text() {
    assert_eq!(
        LinkError::UnknownProtocol.to_string(),
        "the other process does not use the handover protocol"
    );
    assert_eq!(
        LinkError::UnsupportedVersion(2).to_string(),
        "the other process uses version 2 of the handover protocol, this one version 1"
    );
    assert_eq!(
        LinkError::FrameTooLong(9).to_string(),
        "message of 9 bytes exceeds the limit of 8388608 bytes"
    );
    assert_eq!(
        LinkError::Malformed.to_string(),
        "malformed message received"
    );
    assert_eq!(
        LinkError::UnexpectedMessage.to_string(),
        "message received that the state of the link does not allow"
    );
    assert_eq!(
        LinkError::OtherNode("n at x".into()).to_string(),
        "the other process belongs to another node: n at x"
    );
    assert_eq!(
        LinkError::TimedOut.to_string(),
        "timed out waiting for the other process"
    );
}

/// The messages that the older process of a node sends during a handover, in order.
fn older_process_messages() -> Vec<Message> {
    let (id, worker) = ("j-1".to_owned(), "w-1".to_owned());
    let sent = StateUpdate::AttemptSent {
        id,
        attempt: 1,
        worker,
        slots: 2.0,
        expected_work: 0.5,
        seconds_ago: 0.25,
        is_new: false,
    };
    vec![
        Message::Hello {
            name: "n-1".into(),
            listen: "127.0.0.1:7070".into(),
        },
        Message::StateUpdate(StateUpdate::WorkerSuspensionChanged {
            worker: "w-9".into(),
            resume: false,
        }),
        Message::StateUpdate(StateUpdate::BudgetHistory {
            admissions: vec![1.0],
            retries: vec![2.0],
        }),
        Message::StateUpdate(StateUpdate::RequestAdmitted {
            id: "j-1".into(),
            is_new: false,
        }),
        Message::StateUpdate(sent),
        Message::StateUpdate(StateUpdate::WorkerList(vec![1, 2])),
        Message::SnapshotComplete,
        Message::DescriptorsHeld(17),
        Message::Callback {
            number: 1,
            body: b"{}".to_vec(),
        },
        Message::CallbackResult {
            number: 1,
            known: true,
        },
        Message::ShuttingDown,
        Message::IdleConnection {
            input: b"GET /".to_vec(),
            used_before: true,
        },
        Message::Request {
            request: vec![1, 2, 3],
            input: b"P".to_vec(),
            close_after_answer: true,
        },
        Message::StateUpdate(StateUpdate::AttemptEnded {
            id: "j-1".into(),
            attempt: 1,
        }),
        Message::StateUpdate(StateUpdate::RequestFinished { id: "j-1".into() }),
    ]
}

/// The bytes of those messages: the greeting, then one frame per line.
const RECORDED: &str = concat!(
    "7070686f0d0a0001",                                         // greeting
    "0000001400036e2d310e3132372e302e302e313a37303730",         // Hello
    "00000007010003772d3900",                                   // WorkerSuspensionChanged
    "0000000c0107010000803f0100000040",                         // BudgetHistory
    "000000070103036a2d3100",                                   // RequestAdmitted
    "000000180104036a2d310103772d31000000400000003f0000803e00", // AttemptSent
    "000000050102020102",                                       // WorkerList
    "0000000102",                                               // SnapshotComplete
    "000000020311",                                             // DescriptorsHeld
    "000000050401027b7d",                                       // Callback
    "00000003050101",                                           // CallbackResult
    "0000000108",                                               // ShuttingDown
    "000000080605474554202f01",                                 // IdleConnection
    "000000080703010203015001",                                 // Request
    "000000070105036a2d3101",                                   // AttemptEnded
    "000000060106036a2d31",                                     // RequestFinished
);

#[test]
fn older_process_writes_the_recorded_bytes() {
    let frames = older_process_messages()
        .iter()
        .flat_map(frame)
        .collect::<Vec<u8>>();
    assert_eq!(hex::encode([greeting(), frames].concat()), RECORDED);
}

/// The bytes are received in pieces of every size.
#[test]
fn newer_process_decodes_the_recorded_bytes() {
    let recorded = decode_hex(RECORDED);
    let sent = older_process_messages()
        .into_iter()
        .filter_map(|message| match message {
            Message::StateUpdate(update @ StateUpdate::AttemptSent { .. }) => {
                Some(LinkEvent::StateUpdate(update))
            }
            _ => None,
        });
    let expected: Vec<LinkEvent> = [
        LinkEvent::HelloReceived,
        LinkEvent::StateUpdate(StateUpdate::WorkerSuspensionChanged {
            worker: "w-9".into(),
            resume: false,
        }),
        LinkEvent::StateUpdate(StateUpdate::BudgetHistory {
            admissions: vec![1.0],
            retries: vec![2.0],
        }),
        LinkEvent::StateUpdate(StateUpdate::RequestAdmitted {
            id: "j-1".into(),
            is_new: false,
        }),
    ]
    .into_iter()
    .chain(sent)
    .chain([
        LinkEvent::StateUpdate(StateUpdate::WorkerList(vec![1, 2])),
        LinkEvent::SnapshotComplete,
        LinkEvent::DescriptorsHeld(17),
        LinkEvent::Callback {
            number: 1,
            body: b"{}".to_vec(),
        },
        LinkEvent::CallbackResult {
            caller: 44,
            known: true,
        },
        LinkEvent::ShuttingDown,
        LinkEvent::IdleConnection {
            input: b"GET /".to_vec(),
            used_before: true,
        },
        LinkEvent::Request {
            request: vec![1, 2, 3],
            input: b"P".to_vec(),
            close_after_answer: true,
        },
        LinkEvent::StateUpdate(StateUpdate::AttemptEnded {
            id: "j-1".into(),
            attempt: 1,
        }),
        LinkEvent::StateUpdate(StateUpdate::RequestFinished { id: "j-1".into() }),
    ])
    .collect();
    for size in 1..=recorded.len() {
        let mut link = link(Role::Newer);
        link.forward_callback(0.0, 44, Vec::new());
        let mut events = Vec::new();
        recorded
            .chunks(size)
            .for_each(|part| link.receive(part, &mut events).expect("valid bytes"));
        assert_eq!(events, expected, "pieces of {size} bytes");
        assert!(link.is_synchronized() && link.is_peer_shutting_down());
    }
}

#[test]
fn newer_process_writes_the_same_bytes() {
    let mut link = link(Role::Newer);
    assert_eq!(
        hex::encode(frame(&link.hello())),
        "0000001400036e2d310e3132372e302e302e313a37303730"
    );
    assert_eq!(
        hex::encode(frame(&link.forward_callback(0.0, 9, vec![10]))),
        "000000040401010a"
    );
    assert_eq!(
        hex::encode(frame(&link.forward_callback(0.0, 9, vec![11]))),
        "000000040402010b",
        "callbacks are numbered from 1"
    );
}
