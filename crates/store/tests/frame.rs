//! Decoding of headers and frames: any flipped bit and any truncation is detected.

use postproxy_store::Change;
use postproxy_store::frame::{
    Frame, HEADER_BYTES, Header, HeaderError, changes, encode, update_checksums,
};

/// Returns the encoded frame of these changes.
fn encoded_frame(segment: u64, seq: u64, changes: &[Change<'_>]) -> Vec<u8> {
    let mut out = Vec::new();
    encode(segment, seq, seq - 1, &mut out, |out| {
        changes.iter().for_each(|change| change.encode(out))
    });
    out
}

/// Guards against accepting a header that is truncated, has a flipped bit, or has an unsupported
/// version.
#[test]
fn header_that_is_truncated_or_has_a_flipped_bit_is_rejected() {
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
    assert_eq!(
        Header::decode(&newer),
        Err(HeaderError::UnsupportedVersion(2))
    );
}

/// Guards against accepting a frame that is truncated, has a flipped bit, or is from another
/// segment.
#[test]
fn frame_that_is_truncated_or_has_a_flipped_bit_is_rejected() {
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
    let frame = Frame::decode(5, &bytes, 0).expect("decode the frame");
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
    let mut updated = [bytes.clone(), encoded_frame(5, 41, &batch)].concat();
    update_checksums(6, &mut updated);
    assert!(
        Frame::decode(6, &updated, 0).is_some()
            && Frame::decode(6, &updated, bytes.len()).is_some()
    );
}
