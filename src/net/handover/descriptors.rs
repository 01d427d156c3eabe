//! How the processes of one node divide its descriptors during a handover.

use std::collections::HashMap;

/// A process that shuts down announces its descriptors again once they are fewer by this many.
const ANNOUNCEMENT_STEP: usize = 8;

/// The descriptors of the node and of this process.
#[derive(Clone, Copy, Debug)]
pub struct DescriptorUsage {
    /// Descriptors that all processes of the node may hold together.
    pub total: usize,
    /// Descriptors that each process reserves for what is no client's and no worker's connection.
    pub reserved: usize,
    /// Connections that this process holds.
    pub in_use: usize,
    /// Whether a newer process is linked.
    pub has_successor: bool,
    /// Whether this process hands over and will end.
    pub shutting_down: bool,
}

/// The outcome of a division.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorShare {
    /// Connections that this process may hold.
    pub own: usize,
    /// What to announce to newer processes: descriptors that all older ones hold at most.
    pub announcement: Option<u32>,
}

/// What the processes have announced to each other.
#[derive(Debug, Default)]
pub struct DescriptorShares {
    /// Descriptors that each sibling may hold, by its link.
    siblings: HashMap<usize, usize>,
    /// Connections that this process has announced that it may hold.
    announced: Option<usize>,
}

impl DescriptorShares {
    /// Records what a sibling has announced.
    pub fn record_sibling(&mut self, link: usize, descriptors: usize) {
        self.siblings.insert(link, descriptors);
    }

    /// Removes a sibling whose link is closed.
    pub fn forget_sibling(&mut self, link: usize) {
        self.siblings.remove(&link);
    }

    /// Forgets what this process has announced, so that the next division announces it anew.
    pub fn reset_announcement(&mut self) {
        self.announced = None;
    }

    /// Divides the descriptors: the older process keeps what it has, and at least half until it
    /// shuts down; the newer one has the rest.
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
