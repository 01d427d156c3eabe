//! The events that the cluster service returns to the node.

use postproxy_coordination::StorageChange;
use postproxy_membership::MemberRank;
use postproxy_version_tracking::VersionKind;

/// A notification of the node, or work that it has to do for the cluster service.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker was suspended or resumed for the cluster.
    WorkerChanged {
        /// Name of the worker.
        worker: String,
        /// Whether it is suspended now.
        is_suspended: bool,
    },
    /// The number of nodes has changed, or this node's position among them.
    ClusterSizeChanged {
        /// Number of nodes that may be alive, 0 if no other one is known.
        nodes: usize,
        /// Position of this node among the members.
        rank: MemberRank,
    },
    /// Tell a caller of the management API at how many nodes its suspend or resume is recorded.
    SuspensionRecorded {
        /// Key of the caller's connection.
        caller: usize,
        /// Number of nodes that have recorded it, this one included.
        recorded: usize,
        /// Number of nodes in the cluster.
        nodes: usize,
    },
    /// This node has learned the suspensions that the cluster has recorded. Its own suspensions are
    /// to be announced by [`super::ClusterService::adopt_suspended_workers`].
    Synchronised,
    /// Write these changes, and report the result by
    /// [`super::ClusterService::handle_write_completed`].
    Write(Vec<StorageChange>),
    /// Answer a caller of the management API.
    Reply {
        /// Key of the caller's connection.
        caller: usize,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// Another node requests content that this node uses, which is to be sent by
    /// [`super::ClusterService::send_worker_list`].
    VersionRequested {
        /// Name of the node.
        node: String,
        /// The kind of content that is requested.
        kind: VersionKind,
    },
    /// A node sent a worker list.
    WorkerListReceived {
        /// Name of the node.
        from: String,
        /// Generation of the list.
        generation: u64,
        /// The encoded list.
        body: Vec<u8>,
    },
}
