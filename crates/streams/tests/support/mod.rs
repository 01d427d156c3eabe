//! Packets and addresses shared by the tests.

#![allow(dead_code)]

use postproxy_streams::{PREAMBLE, Packet, encode_frame};
use std::net::SocketAddr;

/// Number of the cluster to which all nodes belong.
pub const CLUSTER: u32 = 7;

/// Returns the address of node `n`.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8 + 1], 7000))
}

/// Returns the preamble followed by a packet.
pub fn opening(packet: &Packet) -> Vec<u8> {
    [&PREAMBLE[..], &encode_frame(packet)].concat()
}

/// Returns the preamble and the greeting of one node to another.
pub fn greeting(cluster: u32, from: &str, to: &str, session: u64) -> Vec<u8> {
    opening(&Packet::Greeting {
        cluster,
        from: from.into(),
        process_nonce: 5,
        session,
        to: to.into(),
    })
}

/// Returns the preamble and the greeting of node `n1` to node `n0`.
pub fn greeting_of_n1(session: u64) -> Vec<u8> {
    greeting(CLUSTER, "n1", "n0", session)
}

/// Returns the preamble and the answer to a greeting, with no message received.
pub fn greeting_accepted() -> Vec<u8> {
    opening(&Packet::GreetingAccepted {
        process_nonce: 9,
        last_received: 0,
    })
}

/// Returns the frame of a message.
pub fn data(sequence: u64, message: &[u8]) -> Vec<u8> {
    encode_frame(&Packet::Data {
        sequence,
        message: message.to_vec(),
    })
}
