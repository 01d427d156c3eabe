//! What a dispatcher remembers: plain types of `src/decision/dispatcher.rs`, without any decision.

use crate::decision::affinity;
use crate::decision::interface::{
    Class, Entry, Field, Health, ListKind, RequestId, Settings, SiblingEvent, WorkerId, sound,
};
pub use crate::decision::request::{Attempt, MigratedRequest, Request, State};
use std::collections::{BTreeMap, VecDeque};

/// No window of a cold worker's budget that another process's sends may count for is longer, in seconds.
const MOST_WINDOW: f64 = 60.0;

/// A load report as it is used: jobs held, free memory, time of arrival.
#[derive(Clone, Copy)]
pub struct Report {
    pub load: f64,
    /// Free memory units; infinite where not told.
    pub memory: f64,
    pub at: f64,
}

/// An own send that may still weigh on its worker; after a failure, until a good job would have ended.
pub struct Own {
    pub key: (RequestId, u16),
    pub need: f64,
    pub work: f64,
    pub sent: f64,
    pub until: Option<f64>,
}

/// What is known of a worker.
#[derive(Default)]
pub struct Worker {
    pub entry: Entry,
    pub report: Option<Report>,
    /// What others hold there, smoothed.
    pub others: f64,
    pub own: Vec<Own>,
    pub failures: i32,
    pub ejected_until: f64,
    /// When a probe that is out was sent.
    pub probed: Option<f64>,
    /// When the probe was sent whose answer was taken last.
    pub answered_probe: f64,
    /// How it answered each class last, where known: 1 taken, 0 turned away; and when.
    pub answered: BTreeMap<usize, (f64, f64)>,
    /// When it came back into use, where the list has not told since of a start in its time out; 0 for never.
    pub back: f64,
    /// Since then it is owed a job, from this time on.
    pub owed: Option<f64>,
    /// What was sent there within one window of its budget, ended or not: when, and how much work.
    pub sends: VecDeque<(f64, f64)>,
}

impl Worker {
    /// Its size, where the settings say that sizes compare workers.
    pub fn size(&self, sized: bool) -> f64 {
        if sized && self.entry.size > 0.0 {
            self.entry.size
        } else {
            1.0
        }
    }

    /// Its latest start, as far as is known; 0 for long ago.
    pub fn started(&self) -> f64 {
        self.entry.started.max(self.back)
    }

    /// Notes a send of so much work; what was sent longer ago than the window is forgotten.
    pub fn note_sent(&mut self, now: f64, work: f64, window: f64) {
        while self.sends.front().is_some_and(|(at, _)| *at < now - window) {
            self.sends.pop_front();
        }
        self.sends.push_back((now, work));
    }

    /// Work sent there since then, ended or not.
    pub fn sent_since(&self, at: f64) -> f64 {
        self.sends
            .iter()
            .filter(|(sent, _)| *sent > at)
            .map(|(_, work)| work)
            .sum()
    }

    /// Slots of the own jobs there that were sent before.
    pub fn own_before(&self, at: f64) -> f64 {
        self.own
            .iter()
            .filter(|o| o.sent < at)
            .map(|o| o.need)
            .sum()
    }

    /// Takes out the own send that has ended, if it is there; failed ones that weigh no more go with it.
    pub fn take_own(&mut self, key: (RequestId, u16), now: f64) -> Option<Own> {
        self.own
            .retain(|own| own.until.is_none_or(|until| until > now));
        let at = self
            .own
            .iter()
            .position(|own| own.key == key && own.until.is_none())?;
        Some(self.own.swap_remove(at))
    }

    /// Whether its last report came no earlier.
    pub fn told_since(&self, at: f64) -> bool {
        self.report.is_some_and(|r| r.at >= at)
    }
}

impl Attempt {
    pub fn new(worker: usize, entry: &Entry, now: f64, promised: bool) -> Self {
        let (home, state, started) = ((entry.zone, entry.cell), State::Out, None);
        Self {
            worker,
            home,
            sent: now,
            state,
            started,
            heard: now,
            promised,
            cancelled: false,
        }
    }
}

impl Request {
    pub fn out(&self) -> usize {
        self.attempts
            .iter()
            .filter(|a| a.state == State::Out)
            .count()
    }

    /// The stream of an attempt that is out has started.
    pub fn stream(&mut self, attempt: u16) {
        self.streaming |= self
            .attempts
            .get(attempt as usize)
            .is_some_and(|a| a.state == State::Out);
    }

    pub fn ran(&self) -> bool {
        self.attempts.iter().any(|a| a.state != State::NeverRan)
    }

    /// Marks attempts that are out as cancelled; their numbers.
    pub fn call_back(&mut self, which: impl Fn(&Attempt) -> bool) -> Vec<u16> {
        let mut cancelled = Vec::new();
        for (attempt, number) in self.attempts.iter_mut().zip(0..) {
            if attempt.state == State::Out && !attempt.cancelled && which(attempt) {
                attempt.cancelled = true;
                cancelled.push(number);
            }
        }
        cancelled
    }

    /// Whether an attempt at this worker may have run or may run yet. Danger: it is not over there just because it is over here:
    /// its connection broke, its time was up, or a cancel is still on its way.
    pub fn may_have_run_at(&self, worker: usize) -> bool {
        self.attempts
            .iter()
            .any(|a| a.worker == worker && a.state != State::NeverRan)
    }
}

/// The latest times of some event, in their order.
#[derive(Default)]
pub struct Times(VecDeque<f64>);

impl Times {
    /// So many are kept. Fewer requests taken only make a retry budget smaller; further attempts stay far below.
    const MOST: usize = 65536;

    pub fn push(&mut self, now: f64) {
        self.0.push_back(now);
        self.0.drain(..self.0.len().saturating_sub(Self::MOST));
    }

    /// Takes in times of another process, in any order.
    pub fn merge(&mut self, times: &[f64]) {
        self.0
            .extend(times.iter().copied().filter(|at| at.is_finite()));
        self.0.make_contiguous().sort_by(f64::total_cmp);
        self.0.drain(..self.0.len().saturating_sub(Self::MOST));
    }

    /// The latest ones, not more than so many and no earlier than that.
    pub fn latest(&self, most: usize, at: f64) -> Vec<f64> {
        self.0
            .iter()
            .rev()
            .take(most)
            .take_while(|t| **t >= at)
            .copied()
            .collect()
    }

    /// How many came in a window of this length, on the mean of so many windows up to now, or of those since the first.
    pub fn mean(&self, now: f64, window: f64, windows: f64) -> f64 {
        let age = self.0.front().map_or(0.0, |first| now - first);
        let span = (windows * window).min(age).max(window);
        self.since(now - span) as f64 * window / span
    }

    /// How many are no earlier.
    pub fn since(&self, at: f64) -> usize {
        self.0.len() - self.0.partition_point(|&t| t < at)
    }
}

/// Smoothed and counted figures of what has been seen.
#[derive(Default)]
pub struct Known {
    pub workers: Vec<Worker>,
    pub index: BTreeMap<WorkerId, usize>,
    /// Workers that an operator has taken out of use, each with its start as it was told then.
    pub banned: BTreeMap<WorkerId, f64>,
    /// Ready workers that each class may go to; ready ones with a start; sum of the ready ones' sizes.
    pub ready_of: Vec<Vec<usize>>,
    pub started: Vec<usize>,
    /// Ready workers by zone and cell.
    pub cells: BTreeMap<(u8, u16), Vec<usize>>,
    pub all_size: f64,
    /// Workers whose reports came last.
    pub heard: VecDeque<usize>,
    /// Running time of a job, and of each class's.
    pub usual: f64,
    pub usual_of: Vec<f64>,
    /// Longest budget seen of each class.
    pub budget_of: Vec<f64>,
    /// Share of each class's first tries with a shorter one, where clients mark the others.
    pub short_of: Vec<f64>,
    /// Load of a worker, and by zone; what others hold on one of each machine kind.
    pub mean_load: f64,
    pub zone_load: BTreeMap<u8, f64>,
    pub kind_others: BTreeMap<u16, f64>,
    /// Most free slots ever seen on a worker of each kind.
    pub slots_of: BTreeMap<u16, f64>,
    /// When the last report came.
    pub news_at: f64,
    /// Share of kept promises of room; and of each class's jobs that were not turned away against one.
    pub trust: f64,
    pub accepts: Vec<f64>,
    /// Budgets for copies of silent jobs and for probes.
    pub retries: f64,
    pub probes: f64,
    /// When requests were taken and further attempts sent, within the window of the retry budget.
    pub taken: Times,
    pub further: Times,
    /// When a pass to a cold worker was rolled for.
    pub rolls: Times,
    /// When the list is to be asked for next; calls that failed in a row; whether changes of the list come.
    pub ask_at: f64,
    pub asks_failed: i32,
    pub watching: bool,
}

impl Known {
    /// What is known at first of classes with these running times.
    pub fn new(usual_of: Vec<f64>) -> Self {
        Self {
            usual: usual_of.iter().copied().reduce(f64::min).unwrap_or(1.0),
            budget_of: vec![0.0; usual_of.len()],
            short_of: vec![0.0; usual_of.len()],
            accepts: vec![1.0; usual_of.len()],
            ready_of: vec![Vec::new(); usual_of.len()],
            usual_of,
            mean_load: 1.0,
            trust: 1.0,
            ..Self::default()
        }
    }

    /// Notes what a list tells of workers. One that has started since is another: nothing known of it holds.
    pub fn take_in(&mut self, kind: ListKind, entries: &[Entry]) {
        if !matches!(kind, ListKind::Delta | ListKind::Passed) {
            self.workers
                .iter_mut()
                .for_each(|w| w.entry.health = Health::Gone);
        }
        for entry in entries {
            let at = *self.index.entry(entry.worker).or_insert(self.workers.len());
            self.workers
                .resize_with(self.workers.len().max(at + 1), Worker::default);
            let worker = &mut self.workers[at];
            if entry.started > worker.entry.started {
                (worker.report, worker.probed) = (None, None);
                (worker.failures, worker.ejected_until) = (0, 0.0);
            }
            let start_then = self
                .banned
                .get(&entry.worker)
                .copied()
                .unwrap_or(worker.entry.started);
            if entry.started > start_then {
                worker.back = 0.0; // its true start is told
            }
            worker.entry = Entry {
                size: sound(entry.size).unwrap_or(0.0),
                ..entry.clone()
            };
        }
    }

    /// Load that a report tells, in jobs held; `None` where it tells none. The most free slots seen on a kind are taken for its slots.
    pub fn load_told(&mut self, set: &Settings, worker: usize, figures: &[f32]) -> Option<f64> {
        let [queue, held, free] = [Field::Queue, Field::InFlight, Field::FreeSlots]
            .map(|field| set.figure(figures, field));
        let slots = self
            .slots_of
            .entry(self.workers[worker].entry.kind)
            .or_insert(0.0);
        *slots = slots.max(free.unwrap_or(0.0).round());
        // A queue of 0 looks alike on a full worker and an idle one; the slots in use tell them apart.
        let busy = free.map(|free| *slots - free);
        held.or(queue.map(|queue| queue + busy.unwrap_or(0.0)))
            .or(busy)
    }

    /// Whether operators have taken all workers out that a class could go to.
    pub fn all_out(&self, class: &Class, ready: &[usize]) -> bool {
        let entry = |id: &WorkerId| Some(&self.workers[*self.index.get(id)?].entry);
        let fits = |id: &WorkerId| entry(id).is_some_and(|entry| class.admits(entry));
        ready.is_empty() && self.banned.keys().any(fits)
    }

    /// A worker is back in use since then, and is owed a job from `owed` on: only what is out there still counts.
    pub fn back_in_use(&mut self, worker: usize, back: f64, owed: Option<f64>) {
        let worker = &mut self.workers[worker];
        let (entry, own) = (worker.entry.clone(), std::mem::take(&mut worker.own));
        *worker = Worker {
            entry,
            own,
            back,
            owed,
            ..Worker::default()
        };
    }

    /// How many of these workers a subject prefers to each of them, by rendezvous hashing.
    pub fn preferred(&self, subject: u64, from: &[usize]) -> Vec<i32> {
        let score = |&worker: &usize| affinity::score(subject, self.workers[worker].entry.identity);
        let scores: Vec<u64> = from.iter().map(score).collect();
        let before = |own: &u64| scores.iter().filter(|other| *other > own).count() as i32;
        scores.iter().map(before).collect()
    }

    /// The workers among these that a subject prefers to all others, so many at most.
    pub fn most_preferred(&self, subject: u64, from: &[usize], most: usize) -> Vec<usize> {
        let score = |&worker: &usize| affinity::score(subject, self.workers[worker].entry.identity);
        let mut ordered = from.to_vec();
        ordered.sort_by_key(|worker| std::cmp::Reverse(score(worker)));
        ordered.truncate(most);
        ordered
    }

    /// A worker back in use that is owed a job by now.
    pub fn owed_a_job(&self, now: f64) -> Option<usize> {
        self.started
            .iter()
            .copied()
            .find(|&worker| self.workers[worker].owed.is_some_and(|at| at <= now))
    }

    /// Whether anything new may go to a worker: it is ready, and no operator has taken it out.
    pub fn usable(&self, entry: &Entry) -> bool {
        entry.health == Health::Ready && !self.banned.contains_key(&entry.worker)
    }

    /// Sorts the workers that may be used by what requests are bound to.
    pub fn sort(&mut self, set: &Settings) {
        let usable = |&w: &usize| self.usable(&self.workers[w].entry);
        let ready: Vec<usize> = (0..self.workers.len()).filter(usable).collect();
        let entry = |w: &usize| &self.workers[*w].entry;
        let mut cells = BTreeMap::<_, Vec<usize>>::new();
        for w in &ready {
            cells
                .entry((entry(w).zone, entry(w).cell))
                .or_default()
                .push(*w);
        }
        let among = |class: &Class| {
            ready
                .iter()
                .copied()
                .filter(|w| class.admits(entry(w)))
                .collect()
        };
        let ready_of = set.classes.iter().map(among).collect();
        let started = |w: &usize| self.workers[*w].started() > 0.0;
        self.started = ready.iter().copied().filter(started).collect();
        self.all_size = ready.iter().map(|&w| self.workers[w].size(set.sized)).sum();
        (self.cells, self.ready_of) = (cells, ready_of);
    }

    /// A request that goes to another process, and with it the own sends.
    pub fn release(&mut self, id: RequestId, request: Request) -> MigratedRequest {
        self.workers
            .iter_mut()
            .for_each(|w| w.own.retain(|o| o.key.0 != id));
        let workers = request
            .attempts
            .iter()
            .map(|a| self.workers[a.worker].entry.worker)
            .collect();
        let fresh = (Vec::new(), Vec::new(), 0, None, 0, 0.0);
        let (pool, sample, rounds, pass, rolled, look) = fresh;
        MigratedRequest {
            request: Request {
                pool,
                sample,
                rounds,
                pass,
                rolled,
                look,
                ..request
            },
            workers,
        }
    }

    /// A request that comes from another process, and with it its sends; `None` if it can't be one.
    pub fn carry_on(
        &mut self,
        id: RequestId,
        carried: &MigratedRequest,
        classes: usize,
    ) -> Option<Request> {
        let mut request = carried.request.clone();
        let figures = [
            request.need,
            request.memory,
            request.work,
            request.least,
            request.first,
            request.deadline,
        ];
        let sound = figures.iter().all(|x| x.is_finite() && *x >= 0.0);
        if !sound || request.class >= classes || request.attempts.len() != carried.workers.len() {
            return None;
        }
        for ((a, id_of), number) in request.attempts.iter_mut().zip(&carried.workers).zip(0..) {
            let new = self.workers.len();
            a.worker = *self.index.entry(*id_of).or_insert(new);
            if a.worker == new {
                let entry = Entry {
                    worker: *id_of,
                    health: Health::Gone,
                    ..Entry::default()
                };
                self.workers.push(Worker {
                    entry,
                    ..Worker::default()
                });
            }
            if a.state == State::Out {
                let (need, work) = (request.need, request.work);
                self.workers[a.worker].own.push(Own {
                    key: (id, number),
                    need,
                    work,
                    sent: a.sent,
                    until: None,
                });
            }
        }
        Some(request)
    }

    /// News of another process of this node: what it holds at workers weighs like own jobs, budgets are common.
    pub fn elsewhere(&mut self, news: &SiblingEvent) {
        match news {
            SiblingEvent::Past { taken, further } => {
                self.taken.merge(taken);
                self.further.merge(further);
            }
            SiblingEvent::Sent {
                request,
                attempt,
                worker,
                need,
                work,
                sent,
            } => {
                let (key, work) = ((*request, *attempt), work.unwrap_or(self.usual));
                if let Some(&w) = self.index.get(worker) {
                    self.workers[w].own.push(Own {
                        key,
                        need: *need,
                        work,
                        sent: *sent,
                        until: None,
                    });
                    self.workers[w].note_sent(*sent, work, MOST_WINDOW);
                }
            }
            SiblingEvent::Ended {
                request,
                attempt,
                worker,
            } => {
                if let Some(&w) = self.index.get(worker) {
                    self.workers[w]
                        .own
                        .retain(|o| o.key != (*request, *attempt));
                }
            }
        }
    }

    /// Notes a worker among the `most` heard of last.
    pub fn hear(&mut self, w: usize, most: usize) {
        self.heard.push_back(w);
        self.heard.drain(..self.heard.len().saturating_sub(most));
    }
}
