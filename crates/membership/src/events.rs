//! What a call of [`crate::Membership`] returns: bytes to send and events.

use crate::cluster_health::ClusterHealth;
use crate::identity::Identity;
use std::net::SocketAddr;

/// An action for the caller to carry out, or an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram. It may get lost.
    SendDatagram {
        /// Receiver.
        to: SocketAddr,
        /// The whole datagram.
        datagram: Vec<u8>,
    },
    /// Send a message over a stream, as it is too long for a datagram. If it gets lost, another one
    /// is sent later.
    SendOverStream {
        /// Receiver.
        to: Identity,
        /// The whole message.
        message: Vec<u8>,
    },
    /// Something has changed.
    Event(MembershipEvent),
}

/// A change that the caller may act on.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A node became a member.
    Joined(Identity),
    /// A member has a new incarnation, or another address.
    IdentityChanged(Identity),
    /// A node was declared failed.
    Failed(Identity),
    /// A node left the cluster.
    Left(Identity),
    /// This node is a member again after others had declared it failed.
    Rejoined {
        /// Its new incarnation.
        incarnation: u64,
    },
    /// Another process has this node's name; this node is no member until that one is gone.
    NameConflict {
        /// Address of the other process.
        address: SocketAddr,
    },
    /// The health of the cluster has changed.
    HealthChanged(ClusterHealth),
    /// A worker was suspended or resumed for the cluster.
    WorkerChanged {
        /// Name of the worker.
        worker: String,
        /// Whether it is suspended now.
        is_suspended: bool,
    },
    /// The nodes have acknowledged a suspend or resume, or the time for it has passed.
    SuspensionRecorded {
        /// The ticket that [`crate::Membership::change_suspension`] returned.
        ticket: u64,
        /// Number of nodes that have recorded it, this one included.
        recorded: usize,
        /// Number of nodes in the cluster.
        nodes: usize,
    },
    /// A member sent a message for another part of the program.
    ApplicationMessage {
        /// Sender.
        from: Identity,
        /// The message.
        message: Vec<u8>,
    },
}

/// Why a node can't be forgotten.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForgetError {
    /// No node of this name is known.
    UnknownNode,
    /// The node is a member.
    StillAlive,
    /// The limit of forgotten nodes is reached.
    TooMany,
}

/// State of a node, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// A member.
    Alive,
    /// A member that did not answer probes; it may still refute the suspicion.
    Suspect,
    /// Declared failed.
    Failed,
    /// Left the cluster.
    Left,
}
