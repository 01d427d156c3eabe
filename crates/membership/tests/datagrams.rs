//! Datagrams that a member receives and sends. One that isn't a valid datagram of its cluster
//! changes nothing but a counter.

use postproxy_membership::packet::{self, DecodeError, Message};
use postproxy_membership::{Identity, Membership, Output, Settings};
use proptest::prelude::*;

const CLUSTER: &str = "riga";

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        address: ([10, 0, 0, 1], 7000).into(),
        incarnation: 5,
        process_nonce: 9,
    }
}

/// Creates a node that begins to join.
fn joining_node() -> Membership {
    let settings = Settings {
        cluster: CLUSTER.into(),
        ..Settings::default()
    };
    Membership::new(settings, "a", ([10, 0, 0, 2], 7000).into(), 1, 1, 100.0)
}

/// Creates a node that is a member.
fn member(out: &mut Vec<Output>) -> Membership {
    let mut membership = joining_node();
    while !membership.is_member() {
        let next = membership.next_timeout().expect("a timer");
        membership.handle_timeout(next, out);
    }
    membership
}

/// Returns the header of a gossip packet of the SWIM library from node `b`.
fn gossip_header(to: &Membership) -> Vec<u8> {
    let header = foca::Header {
        src: identity("b"),
        src_incarnation: 0,
        dst: to.local_identity().clone(),
        message: foca::Message::Gossip,
    };
    postcard::to_stdvec(&header).expect("an encoded header")
}

#[test]
fn truncated_and_changed_datagrams_are_rejected() {
    let cluster = packet::cluster_number(CLUSTER);
    let message = Message::Heartbeat {
        sequence: 3,
        digest: 4,
    };
    let valid = packet::encode(cluster, &identity("b"), &message);
    assert_eq!(
        packet::decode(cluster, &valid),
        Ok((identity("b"), message))
    );
    for length in 0..valid.len() {
        assert!(
            packet::decode(cluster, &valid[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
    for bit in 0..valid.len() * 8 {
        let mut changed = valid.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(packet::decode(cluster, &changed).is_err(), "bit {bit}");
    }
}

#[test]
fn datagrams_of_other_clusters_versions_and_nameless_senders_are_rejected() {
    let cluster = packet::cluster_number(CLUSTER);
    let other = packet::encode(
        packet::cluster_number("liepaja"),
        &identity("b"),
        &Message::NameQuery,
    );
    assert_eq!(packet::decode(cluster, &other), Err(DecodeError::Cluster));
    let message = Message::Heartbeat {
        sequence: 3,
        digest: 4,
    };
    let mut newer = packet::encode(cluster, &identity("b"), &message);
    newer[2] += 1;
    assert_eq!(packet::decode(cluster, &newer), Err(DecodeError::Version));
    for name in ["", &"x".repeat(65)] {
        let nameless = packet::encode(cluster, &identity(name), &Message::NameQuery);
        assert_eq!(
            packet::decode(cluster, &nameless),
            Err(DecodeError::Malformed)
        );
    }
}

#[test]
fn invalid_datagrams_change_a_counter_and_nothing_else() {
    let cluster = packet::cluster_number(CLUSTER);
    let mut out = Vec::new();
    let mut membership = member(&mut out);
    assert!(membership.is_member());
    // A packet of the SWIM library that claims 10,000 members, in a valid envelope.
    let mut swim_packet = gossip_header(&membership);
    swim_packet.extend(10_000u16.to_be_bytes());
    let malformed = packet::encode(cluster, &identity("b"), &Message::Swim(swim_packet));
    let other = packet::encode(
        packet::cluster_number("liepaja"),
        &identity("b"),
        &Message::NameQuery,
    );
    membership.handle_datagram(102.0, &malformed, &mut out);
    membership.handle_datagram(102.0, &other, &mut out);
    membership.handle_datagram(102.0, b"", &mut out);
    assert_eq!(membership.peers().count(), 0);
    let dropped: Vec<(DecodeError, u64)> = membership
        .dropped()
        .iter()
        .map(|(error, count)| (*error, *count))
        .collect();
    assert_eq!(
        dropped,
        [
            (DecodeError::Foreign, 1),
            (DecodeError::Cluster, 1),
            (DecodeError::Malformed, 1)
        ]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn random_bytes_of_every_length_are_dropped(
        bytes in proptest::collection::vec(any::<u8>(), 0..1500),
        with_envelope in any::<bool>(),
    ) {
        let cluster = packet::cluster_number(CLUSTER);
        let bytes = if with_envelope {
            let mut datagram = packet::encode(cluster, &identity("b"), &Message::NameQuery);
            datagram.truncate(11);
            datagram.extend(&bytes);
            datagram
        } else {
            bytes
        };
        let mut out = Vec::new();
        let mut membership = joining_node();
        membership.handle_datagram(100.0, &bytes, &mut out);
        prop_assert_eq!(membership.dropped().values().sum::<u64>(), 1);
        prop_assert!(out.is_empty());
    }
}

#[test]
fn list_of_5000_members_is_learned_and_sent_in_datagrams_of_bounded_size() {
    let cluster = packet::cluster_number(CLUSTER);
    let mut out = Vec::new();
    let mut membership = member(&mut out);
    let now = membership.next_timeout().expect("a timer");
    for first in (0..5000u16).step_by(20) {
        let mut swim_packet = gossip_header(&membership);
        swim_packet.extend(20u16.to_be_bytes());
        for n in first..first + 20 {
            let identity = Identity {
                name: format!("node-{n}").into(),
                address: ([10, 1, (n >> 8) as u8, n as u8], 7000).into(),
                incarnation: 5,
                process_nonce: u64::from(n),
            };
            let member = foca::Member::alive(identity);
            swim_packet.extend(postcard::to_stdvec(&member).expect("an encoded member"));
        }
        let datagram = packet::encode(cluster, &identity("b"), &Message::Swim(swim_packet));
        assert!(datagram.len() <= packet::MAX_DATAGRAM_BYTES);
        membership.handle_datagram(now, &datagram, &mut out);
    }
    assert_eq!(membership.peers().count(), 5001);
    assert!(membership.dropped().is_empty());
    out.clear();
    for _ in 0..100 {
        let next = membership.next_timeout().expect("a timer");
        membership.handle_timeout(next, &mut out);
    }
    let sizes: Vec<usize> = out
        .iter()
        .filter_map(|output| match output {
            Output::SendDatagram { datagram, .. } => Some(datagram.len()),
            _ => None,
        })
        .collect();
    assert!(
        !sizes.is_empty() && sizes.iter().all(|size| *size <= packet::MAX_DATAGRAM_BYTES),
        "{sizes:?}"
    );
}
