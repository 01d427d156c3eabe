//! Queue of the coordinator's writes to the store, which are written one batch at a time.

use postproxy_coordination::StorageChange;

#[cfg(test)]
mod tests;

/// Time after which a batch that failed is written again, in seconds. Most failures, such as a full
/// disk, last longer.
const RETRY_INTERVAL_SECONDS: f64 = 0.2;

/// Changes that are written together.
#[derive(Clone, Debug, Default)]
struct Batch {
    /// Number of the latest of the coordinator's writes in the batch.
    last_number: u64,
    changes: Vec<StorageChange>,
}

/// The queue of the coordinator's writes. A batch that has failed is written again before any later
/// one, so that the store never holds a later change without an earlier one.
#[derive(Debug, Default)]
pub(super) struct WriteQueue {
    /// The next batch, which collects writes while another one is in progress.
    queued: Batch,
    /// The batch that is being written, or that failed and is written again.
    in_progress: Option<Batch>,
    /// Time at which the batch in progress is written again, if it has failed.
    retry_at: Option<f64>,
}

impl WriteQueue {
    /// Adds a write of the coordinator.
    pub(super) fn push(&mut self, number: u64, changes: Vec<StorageChange>) {
        self.queued.last_number = number;
        self.queued.changes.extend(changes);
    }

    /// Returns the changes to write now; `None` while a batch is in progress or there is nothing to
    /// write.
    pub(super) fn next_batch(&mut self, now: f64) -> Option<Vec<StorageChange>> {
        if self.retry_at.is_some_and(|at| at > now) {
            return None;
        }
        if self.retry_at.take().is_some() {
            return self.in_progress.as_ref().map(|batch| batch.changes.clone());
        }
        if self.in_progress.is_some() || self.queued.changes.is_empty() {
            return None;
        }
        let batch = std::mem::take(&mut self.queued);
        let changes = batch.changes.clone();
        self.in_progress = Some(batch);
        Some(changes)
    }

    /// Records that the batch in progress is durable. Returns the number up to which all writes are
    /// durable.
    pub(super) fn record_success(&mut self) -> Option<u64> {
        self.in_progress.take().map(|batch| batch.last_number)
    }

    /// Records that the batch in progress has failed.
    pub(super) fn record_failure(&mut self, now: f64) {
        self.retry_at = Some(now + RETRY_INTERVAL_SECONDS);
    }
}
