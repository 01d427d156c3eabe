//! Limits of the node's connections, derived from its file descriptors, its memory and its
//! settings.

/// Lower bound of a process's share of descriptors.
const MIN_SHARE: usize = 16;
/// Lower bound of the limit that memory sets to client connections.
const MIN_CLIENTS_BY_MEMORY: usize = 8;

/// The limits of the node, over all its processes.
pub(super) struct DescriptorBudget {
    /// Descriptors that the node may hold.
    pub(super) sockets: usize,
    /// Descriptors that each process reserves for anything but connections to clients and workers.
    pub(super) reserved: usize,
    /// Client connections that fit into memory.
    pub(super) clients_by_memory: usize,
    /// Limit of waiting clients in the settings; 0 if they set none.
    pub(super) max_waiting: usize,
}

/// The limits of one process.
pub(super) struct ConnectionLimits {
    /// Connections from clients, and from workers that send callbacks.
    pub(super) clients: usize,
    /// Connections to workers.
    pub(super) attempts: usize,
    /// Clients that wait for a response.
    pub(super) waiting: usize,
}

impl DescriptorBudget {
    /// Returns the limits of a process with this share of the node's descriptors: five eighths for
    /// connections from clients, three eighths for connections to workers.
    pub(super) fn limits(&self, share: usize) -> ConnectionLimits {
        let share = share.max(MIN_SHARE);
        let unreserved = self.sockets.saturating_sub(self.reserved).max(share);
        let by_memory = self.clients_by_memory * share / unreserved;
        let clients = (share * 5 / 8).min(by_memory.max(MIN_CLIENTS_BY_MEMORY));
        // One connection in eight is kept free for callbacks: if clients that wait held all of
        // them, no callback could arrive, and none of these clients would ever be answered.
        let answerable = (clients * 7 / 8).max(1);
        let waiting = if self.max_waiting > 0 {
            self.max_waiting.min(answerable)
        } else {
            answerable
        };
        ConnectionLimits {
            clients,
            attempts: share * 3 / 8,
            waiting,
        }
    }
}
