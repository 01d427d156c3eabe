//! Decoding of headers and frames: a change of any bit, or a cut at any byte, is noticed.

use postproxy_store::Change;
use postproxy_store::frame::{
    Frame, HEADER_BYTES, Header, HeaderError, changes, encode, readdress,
};

/// Returns the encoded frame of these changes.
fn encoded_frame(segment: u64, seq: u64, changes: &[Change<'_>]) -> Vec<u8> {
    let mut out = Vec::new();
    encode(segment, seq, seq - 1, &mut out, |out| {
        changes.iter().for_each(|change| change.encode(out))
    });
    out
}

/// Guards against a header that is accepted though a bit of it is wrong, or a version that is
/// passed over.
#[test]
fn header_with_a_flipped_bit_or_a_cut_is_rejected() {
    let header = Header {
        store_id: 9,
        segment: 3,
        oldest_segment: 1,
        previous_segment_bytes: 800,
        first_seq: 17,
    };
    let bytes = header.encode();
    assert_eq!(Header::decode(&bytes), Ok(header));
    for bit in 0..HEADER_BYTES * 8 {
        let mut bytes = bytes;
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            Header::decode(&bytes),
            Err(HeaderError::Damaged),
            "bit {bit}"
        );
    }
    assert!(
        (0..HEADER_BYTES).all(|size| Header::decode(&bytes[..size]) == Err(HeaderError::Damaged))
    );
    let mut newer = bytes;
    newer[8] = 2;
    let checksum = crc32c::crc32c_append(crc32c::crc32c(&newer[..12]), &newer[16..HEADER_BYTES]);
    newer[12..16].copy_from_slice(&checksum.to_le_bytes());
    assert_eq!(Header::decode(&newer), Err(HeaderError::Version(2)));
}

/// Guards against a frame that is accepted though it is cut, changed in any bit, or of another
/// segment.
#[test]
fn frame_with_a_flipped_bit_or_a_cut_is_rejected() {
    let batch = [
        Change::Put {
            key: b"a",
            value: b"first",
            expires_at_ms: 7,
        },
        Change::Delete { key: b"bc" },
        Change::Put {
            key: b"",
            value: b"",
            expires_at_ms: 0,
        },
    ];
    let bytes = encoded_frame(5, 40, &batch);
    let frame = Frame::decode(5, &bytes, 0).expect("a frame");
    assert_eq!(
        (frame.seq, frame.durable_seq, frame.size()),
        (40, 39, bytes.len())
    );
    let decoded: Vec<Change<'_>> = changes(frame.content).map(|(_, change)| change).collect();
    assert_eq!(decoded, batch);
    assert_eq!(Frame::decode(6, &bytes, 0), None);
    for bit in 0..bytes.len() * 8 {
        let mut bytes = bytes.clone();
        bytes[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(Frame::decode(5, &bytes, 0), None, "bit {bit}");
    }
    assert!((0..bytes.len()).all(|size| Frame::decode(5, &bytes[..size], 0).is_none()));
    let mut readdressed = [bytes.clone(), encoded_frame(5, 41, &batch)].concat();
    readdress(6, &mut readdressed);
    assert!(
        Frame::decode(6, &readdressed, 0).is_some()
            && Frame::decode(6, &readdressed, bytes.len()).is_some()
    );
}
