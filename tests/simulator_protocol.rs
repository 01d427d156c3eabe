//! The simulator's protocol: the examples of its documentation, and malformed input.

use postproxy::simulator_protocol::{Batch, DecodeError, Record, Reply, read_batch};
use postproxy::{Action, Event, Health, ListKind, Outcome, ProgressNote, Settings, WorkerId};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte =
        |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap_or(""), 16).unwrap_or(0);
    digits.chunks(2).map(byte).collect()
}

/// Returns a batch of these records with a matching header.
fn batch_of(records: &[&str]) -> Vec<u8> {
    let body: Vec<u8> = records.iter().flat_map(|record| hex(record)).collect();
    let mut frame = hex("0c000000 508d976e12d32040");
    frame.extend((body.len() as u32 + 4).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

fn decode(bytes: &[u8]) -> Result<Option<Batch>, DecodeError> {
    read_batch(&mut &bytes[..])
}

fn decode_instance(record: &str) -> (u32, Record) {
    let batch = decode(&batch_of(&[record]))
        .expect("a valid frame")
        .expect("a batch");
    let first = batch.records.into_iter().next().expect("a record");
    (first.instance, first.record)
}

fn decode_one(record: &str) -> Record {
    decode_instance(record).1
}

const WORKER: WorkerId = WorkerId {
    address: [10, 18, 74, 7],
    port: 8083,
};
const REQUEST: u64 = 0x0009_9a9f_5d3a_91c4;

#[test]
fn empty_batch_has_the_documented_bytes() {
    let bytes = hex("01000000 508d976e12d32040 04000000 00000000");
    let batch = decode(&bytes).expect("a valid frame").expect("a batch");
    assert_eq!((batch.number, batch.records.len()), (1, 0));
    assert!((batch.now - 8.412_25).abs() < 1e-3, "{}", batch.now);
    assert_eq!(Reply::new(1).into_bytes(), hex("01000000 00000000"));
    assert!(decode(&[]).expect("no error").is_none());
}

#[test]
fn batch_decodes_from_the_documented_bytes() {
    let bytes = hex("0c000000 508d976e12d32040 5b000000 03000000
        12 30000000 03000000 c4913a5d9f9a0900 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f fa7e6abc7493883f 00000040 00000000 01
        16 0c000000 03000000 4d00000000000000
        15 0c000000 05000000 192b6f0e84030a00");
    let batch = decode(&bytes).expect("a valid frame").expect("a batch");
    let instances: Vec<u32> = batch.records.iter().map(|record| record.instance).collect();
    assert_eq!(instances, [3, 3, 5]);
    let records: Vec<&Record> = batch.records.iter().map(|record| &record.record).collect();
    let [
        Record::Event(Event::RequestReceived(new)),
        timer,
        disconnected,
    ] = records[..]
    else {
        panic!("{batch:?}")
    };
    assert_eq!(
        (
            new.id,
            new.class,
            new.tenant,
            new.slots,
            new.memory,
            new.is_marked_retry
        ),
        (REQUEST, 0, 0, 2.0, 0.0, false)
    );
    assert!(
        (new.time_limit - 0.24).abs() < 1e-12
            && new
                .expected_work
                .is_some_and(|work| (work - 0.012).abs() < 1e-12)
    );
    assert_eq!(*timer, Record::Event(Event::TimerExpired { token: 77 }));
    assert_eq!(
        *disconnected,
        Record::Event(Event::ClientDisconnected {
            request: 0x000a_0384_0e6f_2b19
        })
    );
}

#[test]
fn actions_have_the_documented_bytes() {
    let mut reply = Reply::new(12);
    let timeout = f64::from_le_bytes(hex("7b14ae47e17ab43f").try_into().expect("eight bytes"));
    let at = f64::from_le_bytes(hex("508d976e12d32140").try_into().expect("eight bytes"));
    reply.push(
        3,
        &Action::Send {
            request: REQUEST,
            worker: WORKER,
            timeout,
        },
    );
    reply.push(3, &Action::Timer { at, token: 77 });
    reply.push(3, &Action::WatchDiscovery);
    reply.push(
        3,
        &Action::Reject {
            request: 0x000a_0384_0e6f_2b19,
            retry_after: 0.25,
        },
    );
    reply.push(
        3,
        &Action::Fail {
            request: 0x000a_0384_0e6f_2b19,
        },
    );
    reply.push(
        3,
        &Action::Probe {
            worker: WorkerId {
                address: [10, 144, 17, 242],
                port: 8124,
            },
        },
    );
    reply.push(
        3,
        &Action::Cancel {
            request: REQUEST,
            attempt: 0,
        },
    );
    let records = hex(
        "18 1a000000 03000000 c4913a5d9f9a0900 0a124a07 931f 7b14ae47e17ab43f
        15 14000000 03000000 508d976e12d32140 4d00000000000000
        10 05000000 03000000 01
        16 14000000 03000000 192b6f0e84030a00 000000000000d03f
        14 0c000000 03000000 192b6f0e84030a00
        13 0a000000 03000000 0a9011f2 bc1f
        1a 0e000000 03000000 c4913a5d9f9a0900 0000",
    );
    let bytes = reply.into_bytes();
    assert_eq!(
        bytes[..8],
        [
            &12u32.to_le_bytes()[..],
            &(records.len() as u32).to_le_bytes()
        ]
        .concat()
    );
    assert_eq!(bytes[8..], records);
}

#[test]
fn each_event_decodes_from_the_documented_bytes() {
    let list = decode_one(
        "11 3d000000 03000000 29000000 02 02000000
        0a124a07 931f 00 0000 0000 01 0000803f 0000000000000000
        0a9011f2 bc1f 00 0000 0000 01 0000c03f 6666666666661840",
    );
    let Record::Event(Event::WorkerListReceived {
        kind: ListKind::Cached,
        entries,
    }) = list
    else {
        panic!("{list:?}")
    };
    assert_eq!(
        (entries[0].worker, entries[0].started, entries[0].health),
        (WORKER, 0.0, Health::Ready)
    );
    assert_eq!((entries[1].size, entries[1].started), (1.5, 6.1));
    let streaming =
        decode_one("13 1c000000 03000000 c4913a5d9f9a0900 0000 0a124a07 931f 8b6ce7fba9f1823f");
    assert_eq!(
        streaming,
        Record::Event(Event::AttemptStreaming {
            request: REQUEST,
            attempt: 0
        })
    );
    let note = decode_one("1a 19000000 03000000 c4913a5d9f9a0900 0000 0a124a07 931f 01 0000003f");
    assert_eq!(
        note,
        Record::Event(Event::AttemptProgress {
            request: REQUEST,
            attempt: 0,
            note: ProgressNote::Started
        })
    );
    let result = decode_one(
        "14 2d000000 03000000 c4913a5d9f9a0900 0000 0a124a07 931f c800 8b6ce7fba9f1923f 01 00 03 0000404000006841cdcccc3e",
    );
    let Record::Event(Event::AttemptEnded {
        worker: WORKER,
        outcome: Outcome::Succeeded,
        answered: true,
        report,
        ..
    }) = result
    else {
        panic!("{result:?}")
    };
    assert_eq!(report, [3.0, 14.5, 0.4]);
    let probed = decode_one(
        "17 21000000 03000000 0a9011f2 bc1f c800 c7bab88d06f0563f 03 0000404000006841cdcccc3e",
    );
    assert!(
        matches!(
            probed,
            Record::Event(Event::ProbeEnded {
                outcome: Outcome::Succeeded,
                ..
            })
        ),
        "{probed:?}"
    );
    assert_eq!(
        decode_instance("18 0c000000 03000000 0200 0400 68692037"),
        (3, Record::Event(Event::PeerMessage))
    );
    assert_eq!(decode_instance("19 04000000 03000000"), (3, Record::Stop));
    let start = decode_one("10 12000000 03000000 0100000000000000 02000000 7b7d");
    assert_eq!(
        start,
        Record::Start {
            seed: 1,
            settings: b"{}".to_vec()
        }
    );
}

#[test]
fn each_outcome_code_decodes_to_its_outcome() {
    for (code, expected) in [
        (200, Outcome::Succeeded),
        (502, Outcome::Error),
        (429, Outcome::Rejected),
        (408, Outcome::Timeout),
        (521, Outcome::ConnectFailed),
        (520, Outcome::Reset),
        (444, Outcome::Cancelled),
        (409, Outcome::CancelledLocally),
        (999, Outcome::Unknown(999)),
    ] {
        let [low, high] = u16::to_le_bytes(code);
        let record = decode_one(&format!(
            "14 21000000 03000000 c4913a5d9f9a0900 0000 0a124a07 931f {low:02x}{high:02x} 8b6ce7fba9f1923f 00 00 00"
        ));
        let Record::Event(Event::AttemptEnded { outcome, .. }) = record else {
            panic!("{record:?}")
        };
        assert_eq!(outcome, expected, "{code}");
    }
}

#[test]
fn malformed_batches_are_rejected() {
    let valid = batch_of(&["16 0c000000 03000000 4d00000000000000"]);
    for cut in 1..valid.len() {
        assert!(
            matches!(decode(&valid[..cut]), Err(DecodeError::Truncated)),
            "cut at {cut}"
        );
    }
    assert!(matches!(
        decode(&batch_of(&["63 04000000 03000000"])),
        Err(DecodeError::UnknownCode(0x63))
    ));
    assert!(matches!(
        decode(&batch_of(&["16 08000000 03000000 4d000000"])),
        Err(DecodeError::RecordTooShort(22))
    ));
    assert!(matches!(
        decode(&batch_of(&["16 0d000000 03000000 4d00000000000000 00"])),
        Err(DecodeError::RecordTooLong(22))
    ));
    assert!(matches!(
        decode(&batch_of(&["16 ffffffff 03000000"])),
        Err(DecodeError::RecordTooShort(22))
    ));
    assert!(matches!(
        decode(&batch_of(&["11 0e000000 03000000 01000000 01 ffffffff 00"])),
        Err(DecodeError::RecordTooShort(17))
    ));
    assert!(matches!(
        decode(&batch_of(&["11 0d000000 03000000 01000000 09 00000000"])),
        Err(DecodeError::InvalidValue { .. })
    ));
    assert!(matches!(
        decode(&batch_of(&[
            "10 14000000 03000000 0100000000000000 ffffffff 00000000"
        ])),
        Err(DecodeError::RecordTooShort(16))
    ));
    // A size of four gigabytes with no records after it, a size without room for the record count,
    // and a record count that doesn't match.
    assert!(matches!(
        decode(&hex("01000000 508d976e12d32040 ffffffff 00000000")),
        Err(DecodeError::Truncated)
    ));
    assert!(matches!(
        decode(&hex("01000000 508d976e12d32040 03000000 00000000")),
        Err(DecodeError::CountMismatch)
    ));
    assert!(matches!(
        decode(&hex("01000000 508d976e12d32040 04000000 05000000")),
        Err(DecodeError::CountMismatch)
    ));
    assert!(matches!(
        decode(&hex("01000000 000000000000f87f 04000000 00000000")),
        Err(DecodeError::InvalidClock)
    ));
    let text = DecodeError::UnknownCode(99).to_string();
    assert!(text.contains("99"), "{text}");
}

#[test]
fn settings_have_defaults_and_errors_name_the_invalid_key() {
    let settings =
        Settings::from_json(r#"{"new-key": {"x": [1]}, "services": [{}]}"#).expect("defaults");
    assert_eq!(
        (
            settings.dispatcher_count,
            settings.max_attempts,
            settings.probes_allowed,
            settings.cancel_allowed
        ),
        (1, 3, false, false)
    );
    assert_eq!(settings.classes[0].effect, postproxy::Effect::NotIdempotent);
    for (invalid, key) in [
        (r#"{"services": [{"deadline": -1}]}"#, "deadline"),
        (r#"{"rules": {"cold-from": 7}}"#, "cold-from"),
        (r#"{"limits": {"max-attempts": 0}}"#, "max-attempts"),
        (r#"{"balancers": 0}"#, "balancers"),
        ("[1", "settings"),
        (r#"{"tick": "soon"}"#, "settings"),
    ] {
        let error = Settings::from_json(invalid).expect_err(invalid).to_string();
        assert!(error.contains(key) && error.lines().count() == 1, "{error}");
    }
}
