//! What a call of [`crate::Membership`] returns: messages to send, and events.

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
    /// Send a message over a stream, as it may be too long for a datagram. If it is lost, a later
    /// synchronisation sends its content again.
    SendOverStream {
        /// Receiver.
        to: Identity,
        /// The whole message.
        message: Vec<u8>,
    },
    /// An event that the caller may act on.
    Event(MembershipEvent),
}

/// An event that the caller may act on.
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
    /// Another process holds this node's name; this node is not a member until that process is
    /// gone.
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
    /// All nodes that were asked to record a suspend or resume have acknowledged it, or the time to
    /// do so is over.
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

/// Why a node can't be forgotten, see [`crate::Membership::forget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForgetError {
    /// No node of this name is known.
    UnknownNode,
    /// The node is a member.
    StillAlive,
    /// The maximum number of forgotten nodes is reached.
    TooMany,
}

/// State of a node, as far as this node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// A member.
    Alive,
    /// A member that did not answer probes and may still refute the suspicion, or a node that is
    /// down of which it isn't known yet whether it failed or left.
    Suspect,
    /// Declared failed.
    Failed,
    /// Left the cluster.
    Left,
}
