//! The state that a dispatcher keeps for workers: list entries, load reports, own attempts and
//! suspensions. The decisions are made by [`super::dispatcher::Dispatcher`].

use super::affinity;
use super::interface::{
    Class, Entry, Health, ListKind, RequestId, Settings, WorkerId, finite_non_negative,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Index of a worker in [`WorkerTable`]. It does not change during the lifetime of the dispatcher.
pub type WorkerIndex = usize;

/// Identifies an attempt by its request and its number among the request's attempts.
pub type AttemptKey = (RequestId, u16);

/// The load report of a worker, converted for use by the dispatcher.
#[derive(Clone, Copy)]
pub struct LoadReport {
    /// Jobs at the worker, waiting or running, in slots.
    pub load: f64,
    /// Free memory units; infinite if not reported.
    pub memory: f64,
    /// When the report arrived.
    pub at: f64,
}

/// An attempt of this dispatcher or of a sibling process that counts towards the load of its
/// worker.
pub struct OwnAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// Number of slots that the job takes.
    pub slots: f64,
    /// Expected work, in seconds.
    pub work: f64,
    /// When it was sent.
    pub sent: f64,
    /// Until when a failed attempt counts towards the load: as long as a successful job would have
    /// run.
    pub until: Option<f64>,
}

/// Whether a worker accepted the last attempt of a class.
#[derive(Clone, Copy)]
pub struct Acceptance {
    /// Acceptance rate: 1 if the attempt was accepted, a small value if it was rejected.
    pub share: f64,
    /// When the attempt ended.
    pub at: f64,
}

/// An attempt that counts towards a slow-start budget, whether it has ended or not.
struct SentWork {
    at: f64,
    work: f64,
}

/// The state that a dispatcher keeps for one worker.
#[derive(Default)]
pub struct Worker {
    /// Its entry in the worker list.
    pub entry: Entry,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// Smoothed load from other dispatchers, in slots.
    pub others_load: f64,
    /// Attempts of this dispatcher and of a sibling process at the worker.
    pub own: Vec<OwnAttempt>,
    /// Number of consecutive failures.
    pub failures: i32,
    /// End of its ejection.
    pub ejected_until: f64,
    /// When the latest unanswered probe was sent.
    pub probe_sent: Option<f64>,
    /// When the probe that was answered last was sent.
    pub answered_probe_sent: f64,
    /// Whether it accepted the last attempt of each class.
    pub acceptance: BTreeMap<usize, Acceptance>,
    /// When it was resumed; 0 if it was never resumed or the worker list has reported a start since
    /// its suspension.
    pub resumed_at: f64,
    /// From when on a resumed worker is to be sent a request regardless of the lottery.
    pub request_due_at: Option<f64>,
    sent_work: VecDeque<SentWork>,
}

impl Worker {
    /// Returns its size if sizes can be compared between workers and the size is known, and 1
    /// otherwise.
    pub fn size(&self, sizes_are_comparable: bool) -> f64 {
        if sizes_are_comparable && self.entry.size > 0.0 {
            self.entry.size
        } else {
            1.0
        }
    }

    /// Returns when it last started or was resumed; 0 if that is long ago.
    pub fn started(&self) -> f64 {
        self.entry.started.max(self.resumed_at)
    }

    /// Records the work of an attempt, and drops records from before the window.
    pub fn record_sent_work(&mut self, now: f64, work: f64, window: f64) {
        while self
            .sent_work
            .front()
            .is_some_and(|sent| sent.at < now - window)
        {
            self.sent_work.pop_front();
        }
        self.sent_work.push_back(SentWork { at: now, work });
    }

    /// Returns the work that was sent to it after `since`, whether it has ended or not.
    pub fn work_sent_after(&self, since: f64) -> f64 {
        self.sent_work
            .iter()
            .filter(|sent| sent.at > since)
            .map(|sent| sent.work)
            .sum()
    }

    /// Returns the number of slots taken by own attempts that were sent before `at`.
    pub fn own_load_before(&self, at: f64) -> f64 {
        self.own
            .iter()
            .filter(|own| own.sent < at)
            .map(|own| own.slots)
            .sum()
    }

    /// Removes and returns an own attempt that has ended. Failed attempts that no longer count
    /// towards the load are removed as well.
    pub fn remove_own_attempt(&mut self, key: AttemptKey, now: f64) -> Option<OwnAttempt> {
        self.own
            .retain(|own| own.until.is_none_or(|until| until > now));
        let at = self
            .own
            .iter()
            .position(|own| own.key == key && own.until.is_none())?;
        Some(self.own.swap_remove(at))
    }

    /// Returns whether its last report arrived at or after `since`.
    pub fn reported_since(&self, since: f64) -> bool {
        self.report.is_some_and(|report| report.at >= since)
    }

    /// Returns whether it is ejected at `now`.
    pub fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }
}

/// All workers known to a dispatcher, and the subsets of them that are usable.
#[derive(Default)]
pub struct WorkerTable {
    /// Every worker that was ever listed.
    pub all: Vec<Worker>,
    /// Their indexes in `all`.
    pub index: BTreeMap<WorkerId, WorkerIndex>,
    /// Workers that an operator has suspended, each with its start time as known at the suspension.
    pub suspended: BTreeMap<WorkerId, f64>,
    /// Usable workers that each class may be sent to.
    pub ready_by_class: Vec<Vec<WorkerIndex>>,
    /// Usable workers with a known start time.
    pub started: Vec<WorkerIndex>,
    /// Usable workers by zone and cell.
    pub by_cell: BTreeMap<(u8, u16), Vec<WorkerIndex>>,
    /// Sum of the usable workers' sizes.
    pub total_size: f64,
    /// The latest workers to report, most recent last.
    pub last_reporters: VecDeque<WorkerIndex>,
}

impl WorkerTable {
    /// Returns an empty table for this number of classes.
    pub fn new(classes: usize) -> Self {
        Self {
            ready_by_class: vec![Vec::new(); classes],
            ..Self::default()
        }
    }

    /// Applies a worker list. If a worker has restarted, its load report and its ejection are
    /// reset.
    pub fn apply_list(&mut self, kind: ListKind, entries: &[Entry]) {
        if !matches!(kind, ListKind::Delta | ListKind::FromPeer) {
            for worker in &mut self.all {
                worker.entry.health = Health::Removed;
            }
        }
        for entry in entries {
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: &Entry) {
        let at = *self.index.entry(entry.worker).or_insert(self.all.len());
        self.all
            .resize_with(self.all.len().max(at + 1), Worker::default);
        let worker = &mut self.all[at];
        if entry.started > worker.entry.started {
            worker.report = None;
            worker.probe_sent = None;
            worker.failures = 0;
            worker.ejected_until = 0.0;
        }
        let start_at_suspension = self.suspended.get(&entry.worker).copied();
        if entry.started > start_at_suspension.unwrap_or(worker.entry.started) {
            // The start time in the list is more accurate than the time of the resumption.
            worker.resumed_at = 0.0;
        }
        worker.entry = Entry {
            size: finite_non_negative(entry.size).unwrap_or(0.0),
            ..entry.clone()
        };
    }

    /// Recomputes the usable workers by class, by cell and with a known start time.
    pub fn refresh_usable(&mut self, settings: &Settings) {
        let usable = |&index: &WorkerIndex| self.is_usable(&self.all[index].entry);
        let ready: Vec<WorkerIndex> = (0..self.all.len()).filter(usable).collect();
        let entry = |index: &WorkerIndex| &self.all[*index].entry;
        let mut by_cell = BTreeMap::<_, Vec<WorkerIndex>>::new();
        for index in &ready {
            let cell = (entry(index).zone, entry(index).cell);
            by_cell.entry(cell).or_default().push(*index);
        }
        let admitted = |class: &Class| {
            let admits = |index: &WorkerIndex| class.admits(entry(index));
            ready.iter().copied().filter(admits).collect()
        };
        let ready_by_class = settings.classes.iter().map(admitted).collect();
        let has_start = |index: &WorkerIndex| self.all[*index].started() > 0.0;
        self.started = ready.iter().copied().filter(has_start).collect();
        self.total_size = ready
            .iter()
            .map(|&index| self.all[index].size(settings.sizes_are_comparable))
            .sum();
        self.by_cell = by_cell;
        self.ready_by_class = ready_by_class;
    }

    /// Returns whether new attempts may be sent to a worker: it is ready and not suspended.
    pub fn is_usable(&self, entry: &Entry) -> bool {
        entry.health == Health::Ready && !self.suspended.contains_key(&entry.worker)
    }

    /// Returns whether no worker is ready for a class, and at least one that could serve it is
    /// suspended.
    pub fn all_suspended(&self, class: &Class, ready: &[WorkerIndex]) -> bool {
        let entry = |id: &WorkerId| Some(&self.all[*self.index.get(id)?].entry);
        let admitted = |id: &WorkerId| entry(id).is_some_and(|entry| class.admits(entry));
        ready.is_empty() && self.suspended.keys().any(admitted)
    }

    /// Resets the state of a resumed worker except for its list entry and its own attempts.
    pub fn reset_resumed(
        &mut self,
        index: WorkerIndex,
        resumed_at: f64,
        request_due_at: Option<f64>,
    ) {
        let worker = &mut self.all[index];
        let entry = worker.entry.clone();
        let own = std::mem::take(&mut worker.own);
        *worker = Worker {
            entry,
            own,
            resumed_at,
            request_due_at,
            ..Worker::default()
        };
    }

    /// Returns a usable resumed worker whose request is due at `now`.
    pub fn resumed_worker_due_request(&self, now: f64) -> Option<WorkerIndex> {
        let is_due =
            |index: &WorkerIndex| self.all[*index].request_due_at.is_some_and(|at| at <= now);
        self.started.iter().copied().find(is_due)
    }

    /// Returns for each candidate how many of the others rank above it for the affinity key.
    pub fn preferred_before(&self, affinity_key: u64, candidates: &[WorkerIndex]) -> Vec<i32> {
        let scores: Vec<u64> = candidates
            .iter()
            .map(|&index| self.affinity(affinity_key, index))
            .collect();
        let higher = |own: &u64| scores.iter().filter(|other| *other > own).count() as i32;
        scores.iter().map(higher).collect()
    }

    /// Returns the `max` candidates that rank highest for the affinity key, most preferred first.
    pub fn most_preferred(
        &self,
        affinity_key: u64,
        candidates: &[WorkerIndex],
        max: usize,
    ) -> Vec<WorkerIndex> {
        let mut ordered = candidates.to_vec();
        ordered.sort_by_key(|&index| Reverse(self.affinity(affinity_key, index)));
        ordered.truncate(max);
        ordered
    }

    fn affinity(&self, affinity_key: u64, index: WorkerIndex) -> u64 {
        affinity::score(affinity_key, self.all[index].entry.identity)
    }

    /// Records that a worker has reported, and keeps the latest `max` reporters.
    pub fn record_reporter(&mut self, index: WorkerIndex, max: usize) {
        self.last_reporters.push_back(index);
        let surplus = self.last_reporters.len().saturating_sub(max);
        self.last_reporters.drain(..surplus);
    }

    /// Returns the index of a worker. A worker that was never listed is added as removed.
    pub fn index_or_add_removed(&mut self, id: WorkerId) -> WorkerIndex {
        let new = self.all.len();
        let index = *self.index.entry(id).or_insert(new);
        if index == new {
            let entry = Entry {
                worker: id,
                health: Health::Removed,
                ..Entry::default()
            };
            self.all.push(Worker {
                entry,
                ..Worker::default()
            });
        }
        index
    }
}
