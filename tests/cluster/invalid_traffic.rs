//! Datagrams and connections that no valid node sends: they are dropped and delay nothing.

use crate::fleet_harness::{FleetHarness, MAX_WAIT};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy_membership::packet::cluster_number;
use postproxy_streams::{PREAMBLE, Packet, encode_frame};
use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Returns a source of bytes from a linear congruential generator with a fixed seed.
fn byte_source() -> impl FnMut() -> u8 {
    let mut state = 7u64;
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as u8
    }
}

#[test]
fn invalid_datagrams_are_dropped_and_counted() {
    let fleet = FleetHarness::new(3, 8);
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut next_byte = byte_source();
    for length in 0..=1500 {
        let mut bytes: Vec<u8> = (0..length).map(|_| next_byte()).collect();
        if length % 3 == 0 && length > 11 {
            bytes[..3].copy_from_slice(&[b'P', b'M', 1]);
        }
        socket
            .send_to(&bytes, fleet.net.proxy_address(0))
            .expect("it is sent");
        if length % 50 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    fleet.wait_until("dropped and counted", &[0], |_, status| {
        status.dropped.values().sum::<u64>() > 500
    });
    fleet.wait_until_complete();
    let log_lines = fleet.count_log_lines(0, "datagrams or connections dropped");
    assert!(
        (1..=2).contains(&log_lines),
        "one line a minute: {}",
        fleet.describe()
    );
}

/// Returns the preamble and the greeting of a node `x{n}` to `n0`.
fn greeting(n: usize) -> Vec<u8> {
    let greeting = Packet::Greeting {
        cluster: cluster_number("riga"),
        from: format!("x{n}"),
        process_nonce: 5,
        session: 1,
        to: "n0".into(),
    };
    [&PREAMBLE[..], &encode_frame(&greeting)].concat()
}

fn data(sequence: u64, length: usize) -> Vec<u8> {
    encode_frame(&Packet::Data {
        sequence,
        message: vec![7; length],
    })
}

/// Starts a thread that sends messages without end and reads nothing, until `stop` is set.
fn spawn_flood(mut stream: TcpStream, n: usize, stop: &Arc<AtomicBool>) -> JoinHandle<()> {
    let stop = stop.clone();
    let greeting = greeting(n);
    let messages: Vec<u8> = (1..5000).flat_map(|sequence| data(sequence, 100)).collect();
    std::thread::spawn(move || {
        let _ = stream.write_all(&greeting);
        while !stop.load(Ordering::SeqCst) && stream.write_all(&messages).is_ok() {}
    })
}

fn dropped(status: &ClusterStatus, reason: &str) -> u64 {
    status.dropped.get(reason).copied().unwrap_or_default()
}

/// Guards against invalid connections that delay valid ones: for each byte of a valid message, one
/// connection stalls before that byte; one announces a frame of 4 GiB, and ten flood the node.
#[test]
fn invalid_connections_delay_neither_requests_nor_the_cluster() {
    let fleet = FleetHarness::new(3, 12);
    let connect = || TcpStream::connect(fleet.net.proxy_address(0)).expect("a connection");
    let valid = [greeting(0), data(1, 40)].concat();
    let stalled: Vec<TcpStream> = (0..valid.len())
        .map(|cut| {
            let mut stream = connect();
            stream.write_all(&valid[..cut]).expect("it is written");
            stream
        })
        .collect();
    let mut claiming_4_gib = connect();
    claiming_4_gib
        .write_all(&[&greeting(1)[..], &[0xff; 8]].concat())
        .expect("it is written");
    let stop = Arc::new(AtomicBool::new(false));
    let floods: Vec<JoinHandle<()>> = (0..10)
        .map(|n| spawn_flood(connect(), 2 + n, &stop))
        .collect();
    for n in 0..50 {
        assert_eq!(fleet.readiness_status(0, &format!("j-{n}")), Some(200));
    }
    assert_eq!(fleet.suspend(0, "w-0"), "yes, at 3 of 3 nodes\n");
    fleet.wait_until_complete();
    stop.store(true, Ordering::SeqCst);
    for flood in floods {
        flood.join().expect("it ends");
    }
    fleet.wait_until("dropped and counted", &[0], |_, status| {
        dropped(status, "stream: too long") == 1 && dropped(status, "stream: stalled") >= 1
    });
    claiming_4_gib
        .set_read_timeout(Some(MAX_WAIT))
        .expect("a setting");
    let mut rest = Vec::new();
    let ended = claiming_4_gib.read_to_end(&mut rest);
    assert!(
        ended.is_err() || rest.len() < 64,
        "only the response to the greeting is sent before the end"
    );
    drop(stalled);
    fleet.wait_until("only valid connections are left", &[0], |_, status| {
        status.health == "whole"
    });
}
