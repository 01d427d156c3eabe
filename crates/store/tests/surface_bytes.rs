//! Pins the files of the store: their names, the segment header, frames and changes. The engine
//! must write the literal bytes below to a simulated disk, and read them back, so that the program
//! can read the data directory of an older version. The literals were recorded from an earlier
//! version of the program.

use postproxy_store::frame::{self, Frame, Header, HeaderError};
use postproxy_store::sim::{Faults, SimDisk};
use postproxy_store::{Batch, Change, Disk, Engine, OpenError, Options, OsDisk, Recovery};

/// Decodes hexadecimal digits.
fn decode_hex(digits: &str) -> Vec<u8> {
    hex::decode(digits).expect("hexadecimal digits")
}

/// Asserts that the change is encoded as this literal and decoded from it.
#[track_caller]
fn assert_encoding(change: Change<'_>, literal: &str) {
    let mut bytes = Vec::new();
    change.encode(&mut bytes);
    assert_eq!(hex::encode(&bytes), literal, "{change:?}");
    assert_eq!(
        Change::decode(&decode_hex(literal)),
        Some((change, literal.len() / 2))
    );
}

#[test]
fn changes_keep_their_bytes() {
    assert_encoding(
        Change::Put {
            key: b"j/a",
            value: b"value",
            expires_at_ms: 0x0102_0304_0506_0708,
        },
        "0103000500000008070605040302016a2f6176616c7565",
    );
    assert_encoding(
        Change::Put {
            key: b"",
            value: b"",
            expires_at_ms: 0,
        },
        "010000000000000000000000000000",
    );
    assert_encoding(Change::Delete { key: b"r/bc" }, "020400722f6263");
    assert_encoding(Change::Delete { key: b"" }, "020000");
    assert_encoding(
        Change::OldestSegment {
            segment: 0x1112_1314_1516_1718,
        },
        "031817161514131211",
    );
    assert_eq!(Change::decode(&[4]), None);
    assert_eq!(Change::decode(&[0]), None);
}

#[test]
fn sizes_and_version_are_unchanged() {
    assert_eq!(
        (
            frame::HEADER_BYTES,
            frame::FRAME_HEADER_BYTES,
            frame::FORMAT_VERSION
        ),
        (64, 24, 1)
    );
    assert_eq!(
        (frame::MAX_CONTENT_BYTES, frame::MAX_KEY_BYTES),
        (16_777_216, 1024)
    );
    assert_eq!(Batch::new().put(b"a", b"bc", 1).delete(b"d").size(), 22);
}

/// A header whose fields all have different values.
const HEADER: Header = Header {
    store_id: 0x0102_0304_0506_0708,
    segment: 0x1112_1314_1516_1718,
    oldest_segment: 0x2122_2324_2526_2728,
    previous_segment_bytes: 0x3132_3334_3536_3738,
    first_seq: 0x4142_4344_4546_4748,
};
const HEADER_BYTES: &str = "50505853544f52450100000042f1fb58080706050403020118171615141312112827262524232221383736353433323148474645444342410000000000000000";

#[test]
fn segment_header_keeps_its_bytes() {
    assert_eq!(hex::encode(HEADER.encode()), HEADER_BYTES);
    assert_eq!(Header::decode(&decode_hex(HEADER_BYTES)), Ok(HEADER));
    assert!(decode_hex(HEADER_BYTES).starts_with(b"PPXSTORE\x01\0\0\0"));
}

#[test]
fn headers_of_other_versions_and_damaged_headers_keep_their_errors() {
    // The same header with format version 2 and a matching checksum.
    let newer = "50505853544f5245020000004d9aa4b1080706050403020118171615141312112827262524232221383736353433323148474645444342410000000000000000";
    assert_eq!(
        Header::decode(&decode_hex(newer)),
        Err(HeaderError::UnsupportedVersion(2))
    );
    let mut wrong_magic = decode_hex(HEADER_BYTES);
    wrong_magic[0] = b'Q';
    assert_eq!(Header::decode(&wrong_magic), Err(HeaderError::Damaged));
}

/// A frame of segment 9 with a put and a delete.
const FRAME_BYTES: &str = "17000000b7479408030200000000000002000000010100000101000300000005000000000000006b76616c02010064";

#[test]
fn frame_keeps_its_bytes() {
    let changes = [
        Change::Put {
            key: b"k",
            value: b"val",
            expires_at_ms: 5,
        },
        Change::Delete { key: b"d" },
    ];
    let mut bytes = Vec::new();
    frame::encode(9, 0x0203, 0x0201, &mut bytes, |out| {
        changes.iter().for_each(|c| c.encode(out))
    });
    assert_eq!(hex::encode(&bytes), FRAME_BYTES);
    let read = decode_hex(FRAME_BYTES);
    let read = Frame::decode(9, &read, 0).expect("decode the frame");
    assert_eq!((read.seq, read.durable_seq), (0x0203, 0x0201));
    assert!(
        frame::changes(read.content)
            .map(|(_, change)| change)
            .eq(changes)
    );
    assert_eq!(
        Frame::decode(8, &decode_hex(FRAME_BYTES), 0),
        None,
        "the checksum covers the segment's number"
    );
}

/// Opens a store on this disk; a new one gets the id 77.
fn open(disk: &SimDisk) -> Result<(Engine<SimDisk>, Recovery), OpenError> {
    let options = Options {
        segment_bytes: 192,
        max_bytes: 0,
        max_space_ratio: 100.0,
    };
    Engine::open(vec![disk.clone()], options, "a test", 77, 1_000)
}

/// Names and contents of the files that the engine writes in the test below.
const FILES: &[(&str, &str)] = &[
    (
        "0000000000000001.seg",
        "50505853544f524501000000e8979f214d00000000000000010000000000000001000000000000000000000000000000010000000000000000000000000000001500000099416ec1010000000000000001000000010100000103000300000000000000000000006a2f616f6e651b0000004638cbb502000000000000000100000001010000010300030000002823000000000000722f6174776f0203006a2f613d000000e27615be03000000000000000100000001010000010600280000000000000000000000662f6c69737407070707070707070707070707070707070707070707070707070707070707070707070707070707",
    ),
    (
        "0000000000000002.seg",
        "50505853544f5245010000004b241f824d0000000000000002000000000000000100000000000000f500000000000000040000000000000000000000000000001a000000ed3ded5904000000000000000100000001010000010600050000000000000000000000662f62616e737468726565000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000",
    ),
];

#[test]
fn engine_writes_the_recorded_files() {
    let disk = SimDisk::new(Faults::default(), 1);
    let (mut engine, _) = open(&disk).expect("open the store");
    let batches: [&[Change<'_>]; 4] = [
        &[Change::Put {
            key: b"j/a",
            value: b"one",
            expires_at_ms: 0,
        }],
        &[
            Change::Put {
                key: b"r/a",
                value: b"two",
                expires_at_ms: 9_000,
            },
            Change::Delete { key: b"j/a" },
        ],
        &[Change::Put {
            key: b"f/list",
            value: &[7; 40],
            expires_at_ms: 0,
        }],
        &[Change::Put {
            key: b"f/bans",
            value: b"three",
            expires_at_ms: 0,
        }],
    ];
    for batch in batches {
        engine.append(batch).expect("append");
        engine.commit().expect("commit");
    }
    let names = disk.list().expect("list the files");
    let files: Vec<(String, String)> = names
        .into_iter()
        .map(|name| (name.clone(), hex::encode(disk.content(&name))))
        .collect();
    let recorded = |(name, content): &(&str, &str)| (name.to_string(), content.to_string());
    assert_eq!(files, FILES.iter().map(recorded).collect::<Vec<_>>());
}

#[test]
fn engine_reads_the_recorded_files() {
    let disk = SimDisk::new(Faults::default(), 1);
    for (name, content) in FILES {
        disk.set_content(name, Some(decode_hex(content)));
    }
    let (mut engine, _) = open(&disk).expect("open the store");
    assert_eq!(engine.statistics().live_keys, 3);
    assert_eq!(engine.get(b"j/a").expect("read"), None);
    assert_eq!(engine.get(b"r/a").expect("read"), Some(b"two".to_vec()));
    assert_eq!(engine.get(b"f/list").expect("read"), Some(vec![7; 40]));
    assert_eq!(
        engine.get(b"f/bans").expect("read"),
        Some(b"three".to_vec())
    );
    drop(engine);
    let (mut engine, _) =
        Engine::open(vec![disk], Options::default(), "a test", 77, 9_001).expect("open the store");
    assert_eq!(
        engine.statistics().live_keys,
        2,
        "the expired record is removed"
    );
    assert_eq!(engine.get(b"r/a").expect("read"), None);
}

#[test]
fn files_in_a_folder_keep_their_names() {
    let folder = tempfile::tempdir().expect("create a folder");
    let disk = OsDisk::new(folder.path()).expect("open the folder");
    let (mut engine, _) =
        Engine::open(vec![disk], Options::default(), "a test", 77, 1_000).expect("open the store");
    engine
        .append(&[Change::Delete { key: b"k" }])
        .expect("append");
    engine.commit().expect("commit");
    let names = std::fs::read_dir(folder.path()).expect("read the folder");
    let mut names: Vec<_> = names
        .map(|entry| entry.expect("read the folder").file_name())
        .collect();
    names.sort();
    assert_eq!(names, ["0000000000000001.seg", "LOCK"]);
    drop(engine);
}
