//! Pins the bytes that two processes of one node exchange during a handover: the greeting, the
//! frames, and every message. During an upgrade the older process may run an older version of the
//! program, so these bytes must not change with a rename. The literals were written by the version
//! before the renames.

use postproxy_handover::{
    DecodeError, GREETING_MAGIC, Link, LinkEvent, MAX_FRAME_BYTES, Message, Role, StateUpdate,
    VERSION, frame, greeting,
};

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

/// Asserts that the message is encoded as this literal, in a frame with its length, and decoded
/// from it.
#[track_caller]
fn pin(message: Message, literal: &str) {
    let bytes = postcard::to_stdvec(&message).expect("an encoded message");
    assert_eq!(hex(&bytes), literal, "{message:?}");
    assert_eq!(
        postcard::from_bytes::<Message>(&unhex(literal)).expect("a message"),
        message
    );
    let length = format!("{:08x}", literal.len() / 2);
    assert_eq!(hex(&frame(&message)), length + literal, "{message:?}");
}

#[test]
fn greeting_and_limits_are_unchanged() {
    assert_eq!(GREETING_MAGIC, b"ppho\r\n");
    assert_eq!(VERSION, 1);
    assert_eq!(MAX_FRAME_BYTES, 8_388_608);
    assert_eq!(hex(&greeting()), "7070686f0d0a0001");
}

#[test]
fn messages_keep_their_bytes() {
    pin(
        Message::Hello {
            name: "n-1".into(),
            listen: "127.0.0.1:7070".into(),
        },
        "00036e2d310e3132372e302e302e313a37303730",
    );
    pin(
        Message::Hello {
            name: String::new(),
            listen: String::new(),
        },
        "000000",
    );
    pin(Message::SnapshotComplete, "02");
    pin(Message::DescriptorsHeld(300), "03ac02");
    pin(
        Message::Callback {
            number: 5,
            body: vec![1, 2, 255],
        },
        "0405030102ff",
    );
    pin(
        Message::Callback {
            number: u64::MAX,
            body: Vec::new(),
        },
        "04ffffffffffffffffff0100",
    );
    pin(
        Message::CallbackResult {
            number: 6,
            known: true,
        },
        "050601",
    );
    pin(
        Message::CallbackResult {
            number: 7,
            known: false,
        },
        "050700",
    );
    pin(
        Message::QuietConnection {
            input: b"GET".to_vec(),
            used_before: true,
        },
        "060347455401",
    );
    pin(
        Message::QuietConnection {
            input: Vec::new(),
            used_before: false,
        },
        "060000",
    );
    pin(
        Message::Request {
            request: vec![9, 8],
            input: vec![7],
            close_after_answer: true,
        },
        "07020908010701",
    );
    pin(
        Message::Request {
            request: Vec::new(),
            input: Vec::new(),
            close_after_answer: false,
        },
        "07000000",
    );
    pin(Message::ShuttingDown, "08");
}

#[test]
fn state_updates_keep_their_bytes() {
    pin(
        Message::StateUpdate(StateUpdate::WorkerSuspensionChanged {
            worker: "w-1".into(),
            resume: true,
        }),
        "010003772d3101",
    );
    pin(
        Message::StateUpdate(StateUpdate::WorkerSuspensionChanged {
            worker: "w-2".into(),
            resume: false,
        }),
        "010003772d3200",
    );
    pin(
        Message::StateUpdate(StateUpdate::DrainChanged {
            draining: true,
            seconds_ago: 1.5,
        }),
        "0101010000c03f",
    );
    pin(
        Message::StateUpdate(StateUpdate::DrainChanged {
            draining: false,
            seconds_ago: 0.0,
        }),
        "01010000000000",
    );
    pin(
        Message::StateUpdate(StateUpdate::WorkerList(vec![3, 4, 5])),
        "010203030405",
    );
    pin(
        Message::StateUpdate(StateUpdate::WorkerList(Vec::new())),
        "010200",
    );
    pin(
        Message::StateUpdate(StateUpdate::RequestAdmitted {
            id: "j-1".into(),
            is_new: true,
        }),
        "0103036a2d3101",
    );
    pin(
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
    pin(
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
    pin(
        Message::StateUpdate(sent),
        "01040000000000803f000000000000000000",
    );
    pin(
        Message::StateUpdate(StateUpdate::AttemptEnded {
            id: "j-4".into(),
            attempt: 2,
        }),
        "0105036a2d3402",
    );
    pin(
        Message::StateUpdate(StateUpdate::RequestFinished { id: "j-5".into() }),
        "0106036a2d35",
    );
    pin(
        Message::StateUpdate(StateUpdate::BudgetHistory {
            admissions: vec![0.5, 4.0],
            retries: vec![8.0],
        }),
        "0107020000003f000080400100000041",
    );
    pin(
        Message::StateUpdate(StateUpdate::BudgetHistory {
            admissions: Vec::new(),
            retries: Vec::new(),
        }),
        "01070000",
    );
}

/// A link of this role, of the node `n-1` that listens at port 7070.
fn link(role: Role) -> Link {
    Link::new(role, "n-1", "127.0.0.1:7070", 0.0)
}

/// The error that comes of these bytes at a link of the newer process.
#[track_caller]
fn fault(digits: &str) -> DecodeError {
    link(Role::Newer)
        .receive(&unhex(digits), &mut Vec::new())
        .expect_err("an error")
}

#[test]
fn damaged_bytes_keep_their_errors() {
    assert_eq!(fault("7070686f0d0b"), DecodeError::UnknownProtocol);
    assert_eq!(fault("00"), DecodeError::UnknownProtocol);
    assert_eq!(
        fault("7070686f0d0a0002"),
        DecodeError::UnsupportedVersion(2)
    );
    assert_eq!(
        fault("7070686f0d0a000100800001"),
        DecodeError::FrameTooLong(8_388_609)
    );
    // An empty body, a variant that does not exist, a string that is cut, and a byte too many.
    assert_eq!(fault("7070686f0d0a000100000000"), DecodeError::Malformed);
    assert_eq!(fault("7070686f0d0a00010000000109"), DecodeError::Malformed);
    assert_eq!(
        fault("7070686f0d0a00010000000300036e"),
        DecodeError::Malformed
    );
    assert_eq!(
        fault("7070686f0d0a0001000000020200"),
        DecodeError::Malformed
    );
    // A variant of the inner enum that does not exist.
    assert_eq!(
        fault("7070686f0d0a0001000000020108"),
        DecodeError::Malformed
    );
    // `SnapshotComplete` before `Hello`; and a `Hello` of another node.
    assert_eq!(
        fault("7070686f0d0a00010000000102"),
        DecodeError::UnexpectedMessage
    );
    assert_eq!(
        fault("7070686f0d0a00010000000500016e0178"),
        DecodeError::OtherNode("n at x".into())
    );
}

#[test]
fn error_texts_are_unchanged() {
    assert_eq!(
        DecodeError::UnknownProtocol.to_string(),
        "it speaks another language"
    );
    assert_eq!(
        DecodeError::UnsupportedVersion(2).to_string(),
        "it speaks version 2, this is 1"
    );
    assert_eq!(
        DecodeError::FrameTooLong(9).to_string(),
        "a message of 9 bytes is too long"
    );
    assert_eq!(
        DecodeError::Malformed.to_string(),
        "a message that can't be read"
    );
    assert_eq!(
        DecodeError::UnexpectedMessage.to_string(),
        "a message that can't come now"
    );
    assert_eq!(
        DecodeError::OtherNode("n at x".into()).to_string(),
        "it is n at x"
    );
    assert_eq!(DecodeError::TimedOut.to_string(), "it took too long");
}

/// The messages that the older process of a node writes during a handover, in their order.
fn conversation() -> Vec<Message> {
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
        Message::QuietConnection {
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

/// All bytes of that conversation: the greeting, then one frame a line.
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
    "000000080605474554202f01",                                 // QuietConnection
    "000000080703010203015001",                                 // Request
    "000000070105036a2d3101",                                   // AttemptEnded
    "000000060106036a2d31",                                     // RequestFinished
);

#[test]
fn older_process_writes_the_recorded_bytes() {
    let frames = conversation().iter().flat_map(frame).collect::<Vec<u8>>();
    assert_eq!(hex(&[greeting(), frames].concat()), RECORDED);
}

/// The bytes are read in pieces of every size.
#[test]
fn newer_process_reads_the_recorded_conversation() {
    let recorded = unhex(RECORDED);
    let sent = conversation()
        .into_iter()
        .filter_map(|message| match message {
            Message::StateUpdate(update @ StateUpdate::AttemptSent { .. }) => {
                Some(LinkEvent::StateUpdate(update))
            }
            _ => None,
        });
    let expected: Vec<LinkEvent> = [
        LinkEvent::Greeted,
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
        LinkEvent::QuietConnection {
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
            .for_each(|part| link.receive(part, &mut events).expect("sound bytes"));
        assert_eq!(events, expected, "pieces of {size} bytes");
        assert!(link.is_joined() && link.is_peer_shutting_down());
    }
}

#[test]
fn newer_process_writes_the_same_bytes() {
    let mut link = link(Role::Newer);
    assert_eq!(
        hex(&frame(&link.hello())),
        "0000001400036e2d310e3132372e302e302e313a37303730"
    );
    assert_eq!(
        hex(&frame(&link.forward_callback(0.0, 9, vec![10]))),
        "000000040401010a"
    );
    assert_eq!(
        hex(&frame(&link.forward_callback(0.0, 9, vec![11]))),
        "000000040402010b",
        "calls are counted from 1"
    );
}
