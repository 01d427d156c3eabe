//! The parts of the machine, each by itself: datagrams, own time, bans.

use postproxy_membership::packet::{self, DecodeError, Message};
use postproxy_membership::reachability::Reachability;
use postproxy_membership::{
    Identity, LocalClock, Membership, Output, Settings, SuspendedWorkers, Suspension,
};
use proptest::prelude::*;

fn identity(name: &str) -> Identity {
    Identity {
        name: name.into(),
        address: ([10, 0, 0, 1], 7000).into(),
        incarnation: 5,
        life: 9,
    }
}

fn machine() -> Membership {
    let settings = Settings {
        cluster: "riga".into(),
        ..Settings::default()
    };
    Membership::new(settings, "a", ([10, 0, 0, 2], 7000).into(), 1, 1, 100.0)
}

/// Sentence 6: guards against a datagram that is believed though it is cut, changed, another cluster's or version's.
#[test]
fn what_is_no_sound_datagram_of_this_cluster_changes_a_counter_and_nothing_else() {
    let cluster = packet::cluster("riga");
    let sound = packet::encode(cluster, &identity("b"), &Message::Hello(3, 4));
    assert_eq!(
        packet::decode(cluster, &sound),
        Ok((identity("b"), Message::Hello(3, 4)))
    );
    for length in 0..sound.len() {
        assert!(
            packet::decode(cluster, &sound[..length]).is_err(),
            "cut at {length}"
        );
    }
    for bit in 0..sound.len() * 8 {
        let mut changed = sound.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(packet::decode(cluster, &changed).is_err(), "bit {bit}");
    }
    let other = packet::encode(packet::cluster("liepaja"), &identity("b"), &Message::Ask);
    assert_eq!(packet::decode(cluster, &other), Err(DecodeError::Cluster));
    let mut newer = sound.clone();
    newer[2] += 1;
    assert_eq!(packet::decode(cluster, &newer), Err(DecodeError::Version));
    for name in ["", &"x".repeat(65)] {
        let nameless = packet::encode(cluster, &identity(name), &Message::Ask);
        assert_eq!(
            packet::decode(cluster, &nameless),
            Err(DecodeError::Unknown)
        );
    }
    // A library's packet that claims 10,000 members, in a sound envelope.
    let (mut members, mut out) = (machine(), Vec::new());
    while !members.is_in() {
        let next = members.next().expect("a timer");
        members.due(next, &mut out);
    }
    let (src, dst) = (identity("b"), members.me().clone());
    let header = foca::Header {
        src,
        src_incarnation: 0,
        dst,
        message: foca::Message::Gossip,
    };
    let mut inside = postcard::to_stdvec(&header).expect("bytes");
    inside.extend(10_000u16.to_be_bytes());
    assert!(members.is_in());
    members.receive(
        102.0,
        &packet::encode(cluster, &identity("b"), &Message::Swim(inside)),
        &mut out,
    );
    members.receive(102.0, &other, &mut out);
    members.receive(102.0, b"", &mut out);
    assert_eq!(members.others().count(), 0);
    let dropped: Vec<(DecodeError, u64)> = members
        .dropped()
        .iter()
        .map(|(flaw, n)| (*flaw, *n))
        .collect();
    assert_eq!(
        dropped,
        [
            (DecodeError::Foreign, 1),
            (DecodeError::Cluster, 1),
            (DecodeError::Unknown, 1)
        ]
    );
}

/// Guards against a pause that counts as time, and against a starved process that trusts its time-outs.
#[test]
fn a_pause_is_no_time_and_after_it_time_goes_slower() {
    let mut time = LocalClock::new(0.0);
    assert!(
        (time.at(1.0, Some(1.0)) - 1.0).abs() < 1e-9,
        "on time, all counts"
    );
    let before = time.own();
    let own = time.at(61.0, Some(before + 0.1));
    assert!(own - before < 0.2, "a minute's pause: {}", own - before);
    assert!(time.missed() > 59.0 && time.ill() > 7.0);
    // A call that comes before its time says nothing of pauses.
    let (own, ill) = (time.own(), time.ill());
    time.at(61.05, Some(own + 10.0));
    assert!(time.ill() < ill);
    // With turns on time it is well again.
    for n in 0..400 {
        let due = time.own() + 0.01;
        let now = time.when(due).max(61.05 + f64::from(n) * 1e-6);
        time.at(now, Some(due));
    }
    assert!(time.ill() < 8.0);
    let late = time.own();
    time.at(0.0, None);
    assert!(
        (time.own() - late).abs() < 1e-9,
        "a clock set back takes nothing"
    );
}

fn marks() -> impl Strategy<Value = Vec<(u8, u64, u32, u32)>> {
    proptest::collection::vec((0u8..3, 0u64..3, 0u32..4, 0u32..4), 0..24)
}

fn merged(marks: &[(u8, u64, u32, u32)]) -> SuspendedWorkers {
    let mut bans = SuspendedWorkers::default();
    for (worker, life, given, undone) in marks {
        let (given, undone) = (*given, *undone.min(given));
        bans.merge(
            &format!("w-{worker}"),
            Suspension {
                life: *life,
                given,
                undone,
            },
        );
    }
    bans
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Sentence 5: guards against an order, or a repeat, that makes a difference.
    #[test]
    fn bans_come_to_the_same_in_any_order(marks in marks(), rotate in 0usize..24) {
        let mut other = marks.clone();
        other.rotate_left(rotate.min(marks.len()));
        other.extend(marks.iter().rev().copied());
        let (one, two) = (merged(&marks), merged(&other));
        prop_assert_eq!(one.digest(), two.digest());
        prop_assert_eq!(one, two);
    }

    /// Guards against bytes that are believed, or that end the program.
    #[test]
    fn random_bytes_of_every_length_are_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..1500), head in any::<bool>()) {
        let cluster = packet::cluster("riga");
        let mut sound = packet::encode(cluster, &identity("b"), &Message::Ask);
        let bytes = if head { sound.truncate(11); sound.extend(&bytes); sound } else { bytes };
        let mut out = Vec::new();
        let mut members = machine();
        members.receive(100.0, &bytes, &mut out);
        prop_assert_eq!(members.dropped().values().sum::<u64>(), 1);
        prop_assert!(out.is_empty());
    }
}

/// A suspend wins over a resume that had not heard of it; a resume undoes all that it has heard of, given however often.
#[test]
fn a_resume_undoes_what_it_has_heard_of_and_no_more() {
    let (mut one, mut two) = (SuspendedWorkers::default(), SuspendedWorkers::default());
    let mark = one.suspend(1, "w").expect("room");
    assert_eq!(one.suspend(1, "w"), Some(mark), "given twice is given once");
    two.merge("w", mark);
    let unheard = one.resume("w");
    assert!(!one.holds("w"));
    let again = two.suspend(2, "w").expect("room");
    for mark in unheard {
        two.merge("w", mark);
    }
    one.merge("w", again);
    assert!(one.holds("w") && two.holds("w"));
    assert_eq!(one.digest(), two.digest());
    assert_eq!(two.resume("w").len(), 1);
    assert!(!two.holds("w") && two.resume("w").is_empty());
    // The same life may take it out again.
    let third = two.suspend(2, "w").expect("room");
    assert!(two.holds("w") && third.given == 2);
}

/// Guards against an old hello, sent again by the network, that makes a node heard which is not.
#[test]
fn an_old_hello_counts_for_nothing() {
    let mut hearing = Reachability::default();
    hearing.should(0.0, &["b".to_owned()]);
    hearing.hear(1.0, "b", 7, 5);
    hearing.hear(3.0, "b", 7, 5);
    hearing.hear(3.0, "b", 7, 4);
    hearing.look(3.0, 1.75);
    assert_eq!(hearing.deaf().collect::<Vec<_>>(), ["b"]);
    // A new life counts from anew.
    hearing.hear(3.5, "b", 8, 1);
    hearing.look(4.0, 1.75);
    assert_eq!(hearing.deaf().count(), 0);
}

/// Guards against a list that grows without end in what it sends, or is not all taken in: 5,000 names.
#[test]
fn a_list_of_5000_names_is_taken_in_and_sent_in_datagrams_of_the_same_size() {
    let cluster = packet::cluster("riga");
    let (mut members, mut out) = (machine(), Vec::new());
    while !members.is_in() {
        let next = members.next().expect("a timer");
        members.due(next, &mut out);
    }
    let now = members.next().expect("a timer");
    for first in (0..5000u16).step_by(20) {
        let (src, dst) = (identity("b"), members.me().clone());
        let header = foca::Header {
            src,
            src_incarnation: 0,
            dst,
            message: foca::Message::Gossip,
        };
        let mut inside = postcard::to_stdvec(&header).expect("bytes");
        inside.extend(20u16.to_be_bytes());
        for n in first..first + 20 {
            let address = ([10, 1, (n >> 8) as u8, n as u8], 7000).into();
            let id = Identity {
                name: format!("node-{n}").into(),
                address,
                incarnation: 5,
                life: u64::from(n),
            };
            inside.extend(postcard::to_stdvec(&foca::Member::alive(id)).expect("bytes"));
        }
        let datagram = packet::encode(cluster, &identity("b"), &Message::Swim(inside));
        assert!(datagram.len() <= packet::MOST);
        members.receive(now, &datagram, &mut out);
    }
    assert_eq!(members.others().count(), 5001);
    assert!(members.dropped().is_empty());
    out.clear();
    for _ in 0..100 {
        let next = members.next().expect("a timer");
        members.due(next, &mut out);
    }
    let sizes = out.iter().filter_map(|out| {
        if let Output::Send(_, bytes) = out {
            Some(bytes.len())
        } else {
            None
        }
    });
    let sizes: Vec<usize> = sizes.collect();
    assert!(
        !sizes.is_empty() && sizes.iter().all(|size| *size <= packet::MOST),
        "{sizes:?}"
    );
}
