//! The workers as a dispatcher knows them: list entries, load reports, own attempts and
//! suspensions. Plain bookkeeping; the decisions are made by [`super::dispatcher::Dispatcher`].

use super::affinity;
use super::interface::{Class, Entry, Health, ListKind, RequestId, Settings, WorkerId, sound};
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// Position of a worker in [`WorkerTable`]. It stays the same for as long as the dispatcher lives.
pub type WorkerIndex = usize;

/// Identifies an attempt: its request, and its number among the request's attempts.
pub type AttemptKey = (RequestId, u16);

/// A load report as the dispatcher uses it.
#[derive(Clone, Copy)]
pub struct LoadReport {
    /// Jobs at the worker, waiting or running, in slots.
    pub load: f64,
    /// Free memory units; infinite if not reported.
    pub memory: f64,
    /// When the report came.
    pub at: f64,
}

/// An attempt of this dispatcher, or of a sibling process, that still weighs on its worker.
pub struct OwnAttempt {
    /// The attempt.
    pub key: AttemptKey,
    /// Slots that the job takes.
    pub slots: f64,
    /// Expected work, in seconds.
    pub work: f64,
    /// When it was sent.
    pub sent: f64,
    /// Until when a failed attempt weighs on: as long as a successful job would have run.
    pub until: Option<f64>,
}

/// How a worker answered the last attempt of a class.
#[derive(Clone, Copy)]
pub struct Acceptance {
    /// 1 if the attempt was accepted, a small share if it was rejected.
    pub share: f64,
    /// When.
    pub at: f64,
}

/// An attempt that counts towards a slow-start budget, whether it has ended or not.
struct SentWork {
    at: f64,
    work: f64,
}

/// What a dispatcher knows of one worker.
#[derive(Default)]
pub struct Worker {
    /// Its entry in the worker list.
    pub entry: Entry,
    /// Its last load report.
    pub report: Option<LoadReport>,
    /// Load of other dispatchers there, smoothed, in slots.
    pub others_load: f64,
    /// Own attempts there.
    pub own: Vec<OwnAttempt>,
    /// Failures in a row.
    pub failures: i32,
    /// End of its ejection.
    pub ejected_until: f64,
    /// When a probe without an answer yet was sent.
    pub probe_sent: Option<f64>,
    /// When the probe was sent whose answer was used last.
    pub answered_probe_sent: f64,
    /// How it answered the last attempt of each class.
    pub acceptance: BTreeMap<usize, Acceptance>,
    /// When it was resumed, unless the list has reported a start during its suspension; 0 for
    /// never.
    pub resumed_at: f64,
    /// A resumed worker is owed a request from this time on.
    pub request_due_at: Option<f64>,
    sent_work: VecDeque<SentWork>,
}

impl Worker {
    /// Returns its size where the settings say that sizes compare workers, and 1 elsewhere.
    pub fn size(&self, sizes_compare: bool) -> f64 {
        if sizes_compare && self.entry.size > 0.0 {
            self.entry.size
        } else {
            1.0
        }
    }

    /// Returns its latest known start; 0 for long ago.
    pub fn started(&self) -> f64 {
        self.entry.started.max(self.resumed_at)
    }

    /// Records an attempt of this much work, and drops what was sent before the window.
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

    /// Returns the work that was sent there after `since`, ended or not.
    pub fn work_sent_after(&self, since: f64) -> f64 {
        self.sent_work
            .iter()
            .filter(|sent| sent.at > since)
            .map(|sent| sent.work)
            .sum()
    }

    /// Returns the slots of the own attempts there that were sent before `at`.
    pub fn own_load_before(&self, at: f64) -> f64 {
        self.own
            .iter()
            .filter(|own| own.sent < at)
            .map(|own| own.slots)
            .sum()
    }

    /// Removes and returns an own attempt that has ended, with the failed ones that no longer
    /// weigh.
    pub fn remove_own_attempt(&mut self, key: AttemptKey, now: f64) -> Option<OwnAttempt> {
        self.own
            .retain(|own| own.until.is_none_or(|until| until > now));
        let at = self
            .own
            .iter()
            .position(|own| own.key == key && own.until.is_none())?;
        Some(self.own.swap_remove(at))
    }

    /// Returns whether its last report did not come before `since`.
    pub fn reported_since(&self, since: f64) -> bool {
        self.report.is_some_and(|report| report.at >= since)
    }

    /// Returns whether it is ejected at `now`.
    pub fn is_ejected(&self, now: f64) -> bool {
        self.ejected_until > now
    }
}

/// All workers that this dispatcher knows, and which of them may be used.
#[derive(Default)]
pub struct WorkerTable {
    /// Every worker that was ever listed.
    pub all: Vec<Worker>,
    /// Their positions in `all`.
    pub index: BTreeMap<WorkerId, WorkerIndex>,
    /// Workers that an operator has suspended, each with its start as it was known then.
    pub suspended: BTreeMap<WorkerId, f64>,
    /// Usable workers that each class may be sent to.
    pub ready_by_class: Vec<Vec<WorkerIndex>>,
    /// Usable workers with a known start.
    pub started: Vec<WorkerIndex>,
    /// Usable workers by zone and cell.
    pub by_cell: BTreeMap<(u8, u16), Vec<WorkerIndex>>,
    /// Sum of the usable workers' sizes.
    pub total_size: f64,
    /// The workers whose reports came last, latest last.
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

    /// Applies a worker list. What was known of a worker that has started since is not valid any
    /// more.
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
            // The list reports the true start.
            worker.resumed_at = 0.0;
        }
        worker.entry = Entry {
            size: sound(entry.size).unwrap_or(0.0),
            ..entry.clone()
        };
    }

    /// Recomputes which workers may be used, by class, cell and start.
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
            .map(|&index| self.all[index].size(settings.sizes_compare))
            .sum();
        self.by_cell = by_cell;
        self.ready_by_class = ready_by_class;
    }

    /// Returns whether anything new may be sent to a worker: it is ready and not suspended.
    pub fn is_usable(&self, entry: &Entry) -> bool {
        entry.health == Health::Ready && !self.suspended.contains_key(&entry.worker)
    }

    /// Returns whether every worker that a class could be sent to is suspended.
    pub fn all_suspended(&self, class: &Class, ready: &[WorkerIndex]) -> bool {
        let entry = |id: &WorkerId| Some(&self.all[*self.index.get(id)?].entry);
        let admitted = |id: &WorkerId| entry(id).is_some_and(|entry| class.admits(entry));
        ready.is_empty() && self.suspended.keys().any(admitted)
    }

    /// Resets what is known of a resumed worker but for its entry and the own attempts that are out
    /// there.
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

    /// Returns a resumed worker that is owed a request by `now`.
    pub fn resumed_worker_due_request(&self, now: f64) -> Option<WorkerIndex> {
        let is_due =
            |index: &WorkerIndex| self.all[*index].request_due_at.is_some_and(|at| at <= now);
        self.started.iter().copied().find(is_due)
    }

    /// Returns for each candidate how many of the others the subject prefers to it.
    pub fn preferred_before(&self, subject: u64, candidates: &[WorkerIndex]) -> Vec<i32> {
        let scores: Vec<u64> = candidates
            .iter()
            .map(|&index| self.affinity(subject, index))
            .collect();
        let higher = |own: &u64| scores.iter().filter(|other| *other > own).count() as i32;
        scores.iter().map(higher).collect()
    }

    /// Returns the candidates that the subject prefers, at most `max`, most preferred first.
    pub fn most_preferred(
        &self,
        subject: u64,
        candidates: &[WorkerIndex],
        max: usize,
    ) -> Vec<WorkerIndex> {
        let mut ordered = candidates.to_vec();
        ordered.sort_by_key(|&index| Reverse(self.affinity(subject, index)));
        ordered.truncate(max);
        ordered
    }

    fn affinity(&self, subject: u64, index: WorkerIndex) -> u64 {
        affinity::score(subject, self.all[index].entry.identity)
    }

    /// Records that a worker has reported, and keeps the last `max` reporters.
    pub fn record_reporter(&mut self, index: WorkerIndex, max: usize) {
        self.last_reporters.push_back(index);
        let surplus = self.last_reporters.len().saturating_sub(max);
        self.last_reporters.drain(..surplus);
    }

    /// Returns the position of a worker, and adds it as removed if it was never listed.
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
