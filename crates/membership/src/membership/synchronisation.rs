//! Synchronisation of suspensions and forgotten nodes between members (anti-entropy): members
//! compare digests, and if these differ, they send each other all their records.

use super::Membership;
use crate::events::Output;
use crate::fnv::Fnv;
use crate::identity::{Identity, MAX_NAME_BYTES};
use crate::packet::{self, MAX_CONTENT_BYTES, Message};
use crate::suspended_workers::WorkerSuspension;

/// Time between two comparisons of digests with a random member, in seconds.
pub(super) const COMPARE_INTERVAL_SECONDS: f64 = 1.0;
/// Maximum number of bytes of suspensions in one datagram; the rest is for the message's framing.
pub(super) const MAX_SUSPENSION_BYTES_PER_DATAGRAM: usize = MAX_CONTENT_BYTES - 64;
/// Maximum number of bytes of suspensions in one message over a stream.
const MAX_SUSPENSION_BYTES_PER_STREAM_MESSAGE: usize = 64 << 10;
/// Upper bound on the bytes of an encoded suspension without the worker's name.
const SUSPENSION_OVERHEAD_BYTES: usize = 24;
/// Upper bound on the bytes of an encoded forgotten node without its name.
const FORGOTTEN_OVERHEAD_BYTES: usize = 16;
/// Maximum number of forgotten nodes in one datagram.
const MAX_FORGOTTEN_PER_DATAGRAM: usize =
    MAX_SUSPENSION_BYTES_PER_DATAGRAM / (MAX_NAME_BYTES + FORGOTTEN_OVERHEAD_BYTES);
/// Shortest time between two synchronisations with the same node over a stream, in seconds.
const STREAM_SYNC_INTERVAL_SECONDS: f64 = 1.0;

/// Whether the receiver of a node's records should send its own in return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Reply {
    Wanted,
    NotWanted,
}

impl Membership {
    /// Returns the digest of all that is synchronised: suspensions and forgotten nodes.
    pub(super) fn sync_digest(&self) -> u64 {
        let gossip = self.gossip.borrow();
        let mut hash = Fnv::default();
        for (name, incarnation) in &gossip.forgotten {
            hash.write(name.as_bytes());
            hash.write(&[0]);
            hash.write(&incarnation.to_le_bytes());
        }
        gossip.suspended_workers.digest() ^ hash.finish()
    }

    /// Sends the digest to a random member, which sends its records if its digest differs.
    pub(super) fn compare_digests(&mut self, out: &mut Vec<Output>) {
        let peers = self.live_addresses();
        if self.is_member() && !peers.is_empty() {
            let index = self.random_number() % peers.len() as u64;
            let heartbeat = self.next_heartbeat();
            self.send(peers[index as usize], &heartbeat, out);
        }
    }

    /// Sends a node all suspensions and forgotten nodes: in datagrams if the suspensions and the
    /// forgotten nodes fit one each, otherwise over a stream.
    pub(super) fn send_all_records(
        &mut self,
        local_time: f64,
        to: &Identity,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let forgotten = self.forgotten_nodes();
        let suspensions = self.suspensions();
        let fits_datagrams = split(&suspensions, MAX_SUSPENSION_BYTES_PER_DATAGRAM).len() <= 1
            && forgotten.len() <= MAX_FORGOTTEN_PER_DATAGRAM;
        if !fits_datagrams && !self.begin_stream_sync(local_time, to) {
            return;
        }
        let max_bytes = if fits_datagrams {
            MAX_SUSPENSION_BYTES_PER_DATAGRAM
        } else {
            MAX_SUSPENSION_BYTES_PER_STREAM_MESSAGE
        };
        let mut messages = Vec::new();
        if !forgotten.is_empty() {
            messages.push(Message::Forgotten(forgotten));
        }
        messages.extend(suspension_messages(&suspensions, max_bytes, reply));
        for message in messages {
            if fits_datagrams {
                self.send(to.address, &message, out);
            } else {
                out.push(Output::SendOverStream {
                    to: to.clone(),
                    message: packet::encode(self.cluster_number, &self.local_identity, &message),
                });
            }
        }
    }

    /// Returns whether records may be sent to a node over a stream now. They may not shortly after
    /// the previous ones, which are likely still on their way.
    fn begin_stream_sync(&mut self, local_time: f64, to: &Identity) -> bool {
        let last = self.last_stream_sync.get(&*to.name).copied();
        if last.is_some_and(|last| local_time - last < STREAM_SYNC_INTERVAL_SECONDS) {
            return false;
        }
        self.last_stream_sync
            .insert(to.name.to_string(), local_time);
        true
    }
}

/// Returns the messages that carry these suspensions. Only the last one asks for a reply.
fn suspension_messages(
    suspensions: &[WorkerSuspension],
    max_bytes: usize,
    reply: Reply,
) -> Vec<Message> {
    let mut parts = split(suspensions, max_bytes);
    if parts.is_empty() && reply == Reply::Wanted {
        parts.push(Vec::new());
    }
    let last = parts.len().saturating_sub(1);
    parts
        .into_iter()
        .enumerate()
        .map(|(index, suspensions)| Message::Suspensions {
            suspensions,
            reply_wanted: reply == Reply::Wanted && index == last,
        })
        .collect()
}

/// Splits suspensions into parts of at most this number of encoded bytes each.
pub(super) fn split(
    suspensions: &[WorkerSuspension],
    max_bytes: usize,
) -> Vec<Vec<WorkerSuspension>> {
    let mut parts: Vec<Vec<WorkerSuspension>> = Vec::new();
    let mut part_bytes = 0;
    for suspension in suspensions {
        let bytes = suspension.worker.len() + SUSPENSION_OVERHEAD_BYTES;
        match parts.last_mut() {
            Some(part) if part_bytes + bytes <= max_bytes => {
                part.push(suspension.clone());
                part_bytes += bytes;
            }
            _ => {
                parts.push(vec![suspension.clone()]);
                part_bytes = bytes;
            }
        }
    }
    parts
}
