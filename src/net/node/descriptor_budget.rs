//! How many connections the node may hold, by its descriptors, its memory and its settings.

/// A process's share of descriptors is counted as at least this many.
const MIN_SHARE: usize = 16;
/// Memory never limits the clients' connections to fewer than this.
const MIN_CLIENTS_BY_MEMORY: usize = 8;

/// The limits of the node, over all its processes.
pub(super) struct DescriptorBudget {
    /// Descriptors that the node may hold.
    pub(super) sockets: usize,
    /// Descriptors that each process reserves for what is neither a client's nor a worker's
    /// connection.
    pub(super) reserved: usize,
    /// Clients' connections that fit into memory.
    pub(super) clients_by_memory: usize,
    /// Waiting clients that the settings allow; 0 if they set no limit.
    pub(super) max_waiting: usize,
}

/// The limits of one process.
pub(super) struct ConnectionLimits {
    /// Connections of clients.
    pub(super) clients: usize,
    /// Connections to workers.
    pub(super) attempts: usize,
    /// Clients that wait for an answer.
    pub(super) waiting: usize,
}

impl DescriptorBudget {
    /// Returns the limits of a process with this share of the node's descriptors: five eighths are
    /// for clients, three eighths for workers.
    pub(super) fn limits(&self, share: usize) -> ConnectionLimits {
        let share = share.max(MIN_SHARE);
        let unreserved = self.sockets.saturating_sub(self.reserved).max(share);
        let by_memory = self.clients_by_memory * share / unreserved;
        let clients = (share * 5 / 8).min(by_memory.max(MIN_CLIENTS_BY_MEMORY));
        // If all connections waited for an answer, no call-back could come in to end a single one.
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
