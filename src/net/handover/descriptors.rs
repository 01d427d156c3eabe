//! Divides the file descriptors of a node among its processes during a handover.

use std::collections::HashMap;

/// A process that shuts down repeats its announcement once its share has shrunk by at least this
/// many descriptors.
const ANNOUNCEMENT_STEP: usize = 8;

/// Descriptor limits of the node, and the usage and state of this process.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorUsage {
    /// Descriptors that all processes of the node may hold together.
    pub total: usize,
    /// Descriptors that each process reserves for anything other than connections of clients and
    /// workers.
    pub reserved: usize,
    /// Connections of clients and workers that this process holds.
    pub in_use: usize,
    /// Whether a newer process is linked.
    pub has_successor: bool,
    /// Whether this process is handing over and will end.
    pub shutting_down: bool,
}

/// The result of [`DescriptorShares::divide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShare {
    /// Connections that this process may hold.
    pub own: usize,
    /// The number of descriptors that this process and all older ones hold at most, if it has to be
    /// announced to newer processes.
    pub announcement: Option<u32>,
}

/// The limits that the processes of a node have announced to each other.
#[derive(Debug, Default)]
pub struct DescriptorShares {
    /// Descriptors that each sibling has announced that it may hold, by its link.
    siblings: HashMap<usize, usize>,
    /// Connections that this process has announced that it may hold.
    announced: Option<usize>,
}

impl DescriptorShares {
    /// Records the number of descriptors that a sibling has announced.
    pub fn record_sibling(&mut self, link: usize, descriptors: usize) {
        self.siblings.insert(link, descriptors);
    }

    /// Removes a sibling whose link is closed.
    pub fn forget_sibling(&mut self, link: usize) {
        self.siblings.remove(&link);
    }

    /// Discards this process's announcement, so that the next division makes a new one.
    pub fn reset_announcement(&mut self) {
        self.announced = None;
    }

    /// Computes this process's share. With a successor, a process keeps half of the available
    /// descriptors, or all that it has in use if those are more; once it shuts down, it keeps only
    /// those in use. The newer process gets the rest.
    pub fn divide(&mut self, usage: DescriptorUsage) -> DescriptorShare {
        let siblings: usize = self.siblings.values().sum();
        let available = usage.total.saturating_sub(usage.reserved + siblings);
        let own = match self.announced {
            _ if !usage.has_successor => available,
            None => (available / 2).max(usage.in_use),
            Some(announced) if usage.shutting_down => usage.in_use.min(announced),
            Some(announced) => announced,
        };
        if !usage.has_successor {
            self.announced = None;
            return DescriptorShare {
                own,
                announcement: None,
            };
        }
        let must_announce = self
            .announced
            .is_none_or(|announced| own + ANNOUNCEMENT_STEP <= announced);
        if must_announce {
            self.announced = Some(own);
        }
        let held = own + usage.reserved + siblings;
        DescriptorShare {
            own,
            announcement: must_announce.then(|| u32::try_from(held).unwrap_or(u32::MAX)),
        }
    }
}
