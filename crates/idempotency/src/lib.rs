//! What a node remembers of jobs beyond its own life.
//!
//! A [`RequestLog`] decides; it does no I/O and has no clock. It is told what becomes of the jobs that are kept, and
//! says what is to be written, in [`Write`]s that belong together. After a start it is given what was written
//! and says what a client that comes back is owed ([`Lookup`]), and what a late call-back settles.
//!
//! What holds whatever dies when:
//!
//! - A job of which an attempt may have run is never begun anew under its id or its key, until its record
//!   expires.
//! - A job that was served stays served, once the record of that is durable.
//! - A job of which nothing was ever sent has no record.
#![forbid(unsafe_code)]

mod record;

pub use record::{Attempt, AttemptOutcome, Record, Stage, job_id, job_key, result_key};
use std::collections::{BTreeSet, HashMap};

/// One change to what is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The key has this value from now on.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// When it expires, in milliseconds of Unix time.
        until: u64,
    },
    /// The key has no value from now on.
    Delete {
        /// The key.
        key: Vec<u8>,
    },
}

/// The limits of what is kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// How long a record is kept after its last change, in seconds, where its class has no time of its own.
    pub retention: f64,
    /// The same by the class's name.
    pub retention_of: HashMap<String, f64>,
    /// The longest result that is kept, in bytes.
    pub result: usize,
    /// How many jobs are kept at most.
    pub jobs: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            retention: 3600.0,
            retention_of: HashMap::new(),
            result: 64 << 10,
            jobs: 1_000_000,
        }
    }
}

/// A job as its client asks for it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Its id.
    pub id: &'a str,
    /// What lets a repeat be known.
    pub key: Option<&'a str>,
    /// The name of its class.
    pub class: &'a str,
    /// Digest of what is asked for.
    pub digest: [u8; 32],
}

/// What is owed to a client that asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// Nothing is known of this job: it runs.
    New,
    /// It runs now, under this id: wait for it.
    Running(String),
    /// It may have run in an earlier life of the node, under this id: wait for the word of its worker.
    InDoubt(String),
    /// It was served; its result is kept under this id.
    Served(String),
    /// It failed, or was served and its result was too long to be kept.
    Failed,
    /// The same id or key came with another request.
    Conflict,
}

/// What a worker's call-back on a job of an earlier life settles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Nothing.
    Nothing,
    /// It was served.
    Served,
    /// It failed.
    Failed,
    /// It never ran: whoever waits for it may have it run.
    NeverRan,
}

/// What a call-back says of a job's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion<'a> {
    /// Done; the result.
    Done(&'a [u8]),
    /// It ended in an error, or was killed.
    Failed,
    /// Handed back unstarted.
    Returned,
}

#[derive(Debug)]
struct Job {
    record: Record,
    /// It is in the hands of this life of the node.
    running: bool,
    /// What was written last did not become durable.
    unwritten: bool,
}

/// All jobs that are kept.
#[derive(Debug, Default)]
pub struct RequestLog {
    limits: Limits,
    /// Boxed: a table that grows moves all its entries in one turn of whoever asks.
    jobs: HashMap<String, Box<Job>>,
    by_key: HashMap<(String, String), String>,
    expiry: BTreeSet<(u64, String)>,
    in_doubt: usize,
}

fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0).max(0.0) as u64
}

impl RequestLog {
    /// An empty one.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Takes in a record that was kept; what is none of a job's is passed over. Whether it was one.
    pub fn load(&mut self, key: &[u8], value: &[u8]) -> bool {
        let Some(record) = job_id(key).and_then(|id| Some((id, Record::decode(value)?))) else {
            return false;
        };
        let (id, record) = record;
        self.set(
            id,
            Job {
                record,
                running: false,
                unwritten: false,
            },
        );
        true
    }

    /// Ends the loading: what is to be deleted, as nothing of it ever ran.
    pub fn loaded(&mut self) -> Vec<Write> {
        let never = |job: &Job| job.record.stage == Stage::Open && !job.record.may_have_run();
        let ids: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| never(job))
            .map(|(id, _)| id.clone())
            .collect();
        ids.iter().flat_map(|id| self.remove(id)).collect()
    }

    /// How many jobs are kept.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// How many jobs may have run in an earlier life without its being known what became of them.
    pub fn in_doubt(&self) -> usize {
        self.in_doubt
    }

    fn doubtful(job: &Job) -> bool {
        !job.running && job.record.stage == Stage::Open
    }

    fn set(&mut self, id: &str, job: Job) {
        self.unset(id);
        if let Some(key) = &job.record.key {
            self.by_key
                .insert((job.record.class.clone(), key.clone()), id.to_owned());
        }
        self.expiry.insert((job.record.until, id.to_owned()));
        self.in_doubt += usize::from(Self::doubtful(&job));
        self.jobs.insert(id.to_owned(), Box::new(job));
    }

    fn unset(&mut self, id: &str) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.in_doubt -= usize::from(Self::doubtful(&job));
        self.expiry.remove(&(job.record.until, id.to_owned()));
        if let Some(key) = &job.record.key {
            let by_key = (job.record.class.clone(), key.clone());
            if self.by_key.get(&by_key).is_some_and(|held| held == id) {
                self.by_key.remove(&by_key);
            }
        }
        Some(*job)
    }

    fn remove(&mut self, id: &str) -> Vec<Write> {
        let Some(job) = self.unset(id) else {
            return Vec::new();
        };
        let mut writes = vec![Write::Delete { key: job_key(id) }];
        if job.record.stage == Stage::Served(true) {
            writes.push(Write::Delete {
                key: result_key(id),
            });
        }
        writes
    }

    fn until(&self, class: &str, now: f64, deadline: u64) -> u64 {
        let retention = self
            .limits
            .retention_of
            .get(class)
            .unwrap_or(&self.limits.retention);
        // A record outlives its client's waiting in any case.
        ms(now + retention).max(deadline + 1000)
    }

    /// What is owed to a client that asks for this.
    pub fn standing(&self, asked: &RequestIdentity<'_>) -> Lookup {
        let by_key = || {
            self.by_key
                .get(&(asked.class.to_owned(), asked.key?.to_owned()))
                .map(String::as_str)
        };
        let id = if self.jobs.contains_key(asked.id) {
            Some(asked.id)
        } else {
            by_key()
        };
        let Some((id, job)) = id.and_then(|id| Some((id, self.jobs.get(id)?))) else {
            return Lookup::New;
        };
        let id = id.to_owned();
        if job.record.digest != asked.digest || job.record.class != asked.class {
            return Lookup::Conflict;
        }
        match job.record.stage {
            Stage::Served(true) => Lookup::Served(id),
            Stage::Served(false) | Stage::Failed => Lookup::Failed,
            Stage::Open if job.running => Lookup::Running(id),
            Stage::Open => Lookup::InDoubt(id),
        }
    }

    /// Whether another job can be kept; where not, the oldest that has its final answer gives way, and this is
    /// to be written. `None` if none can: all that are kept may still run.
    pub fn make_room(&mut self) -> Option<Vec<Write>> {
        let mut writes = Vec::new();
        while self.jobs.len() >= self.limits.jobs.max(1) {
            let ended = |id: &str| {
                self.jobs
                    .get(id)
                    .is_some_and(|job| job.record.stage != Stage::Open)
            };
            let oldest = self
                .expiry
                .iter()
                .find(|(_, id)| ended(id))
                .map(|(_, id)| id.clone())?;
            writes.extend(self.remove(&oldest));
        }
        Some(writes)
    }

    /// An attempt is about to be sent to a worker: what has to be durable first, or at least be on its way, by
    /// the care that the class is owed. `deadline` is when the client stops waiting.
    pub fn intend(
        &mut self,
        now: f64,
        asked: &RequestIdentity<'_>,
        worker: &str,
        deadline: f64,
    ) -> Vec<Write> {
        let deadline = ms(deadline);
        let until = self.until(asked.class, now, deadline);
        let mut record = match self.unset(asked.id) {
            Some(job) => job.record,
            None => Record {
                class: asked.class.into(),
                key: asked.key.map(str::to_owned),
                digest: asked.digest,
                stage: Stage::Open,
                attempts: Vec::new(),
                deadline,
                until,
            },
        };
        record.until = until;
        record.attempts.push(Attempt {
            worker: worker.into(),
            fate: AttemptOutcome::Out,
        });
        self.keep(asked.id, record, true)
    }

    fn keep(&mut self, id: &str, record: Record, running: bool) -> Vec<Write> {
        let write = Write::Put {
            key: job_key(id),
            value: record.encode(),
            until: record.until,
        };
        self.set(
            id,
            Job {
                record,
                running,
                unwritten: false,
            },
        );
        vec![write]
    }

    /// The attempt of this number has ended without serving the job; whether it may have run.
    pub fn ended(&mut self, now: f64, id: &str, attempt: usize, may_have_run: bool) -> Vec<Write> {
        let out = self.jobs.get(id).is_some_and(|job| {
            job.running
                && job
                    .record
                    .attempts
                    .get(attempt)
                    .is_some_and(|a| a.fate == AttemptOutcome::Out)
        });
        if !out {
            return Vec::new();
        }
        let Some(mut job) = self.unset(id) else {
            return Vec::new();
        };
        job.record.attempts[attempt].fate = if may_have_run {
            AttemptOutcome::MayHaveRun
        } else {
            AttemptOutcome::NeverRan
        };
        job.record.until = self.until(&job.record.class, now, job.record.deadline);
        self.keep(id, job.record, job.running)
    }

    /// It was served.
    pub fn served(&mut self, now: f64, id: &str, result: &[u8]) -> Vec<Write> {
        let Some(mut job) = self.unset(id) else {
            return Vec::new();
        };
        let kept = result.len() <= self.limits.result;
        job.record.stage = Stage::Served(kept);
        job.record.until = self.until(&job.record.class, now, job.record.deadline);
        let until = job.record.until;
        let mut writes = self.keep(id, job.record, false);
        if kept {
            writes.push(Write::Put {
                key: result_key(id),
                value: result.to_vec(),
                until,
            });
        }
        writes
    }

    /// Its client has its final answer, and none of its attempts is out any more. A job of which nothing ran is
    /// forgotten; any other that was not served has failed.
    pub fn over(&mut self, now: f64, id: &str) -> Vec<Write> {
        let Some(job) = self.jobs.get(id).filter(|job| job.running) else {
            return Vec::new();
        };
        if job.record.stage != Stage::Open {
            return Vec::new();
        }
        if !job.record.may_have_run() {
            return self.remove(id);
        }
        let Some(mut job) = self.unset(id) else {
            return Vec::new();
        };
        job.record.stage = Stage::Failed;
        job.record.until = self.until(&job.record.class, now, job.record.deadline);
        self.keep(id, job.record, false)
    }

    /// A worker's word on a job of an earlier life; what it settles, and what is to be written.
    pub fn word(
        &mut self,
        now: f64,
        id: &str,
        from: &str,
        word: Completion<'_>,
    ) -> (Resolution, Vec<Write>) {
        let nothing = (Resolution::Nothing, Vec::new());
        let Some(job) = self.jobs.get_mut(id).filter(|job| Self::doubtful(job)) else {
            return nothing;
        };
        // A worker has one attempt of a job at a time; what it says is of its last one.
        let of = |a: &&mut Attempt| a.worker == from && a.fate == AttemptOutcome::Out;
        let Some(attempt) = job.record.attempts.iter_mut().rev().find(of) else {
            return nothing;
        };
        match word {
            Completion::Done(result) => {
                attempt.fate = AttemptOutcome::MayHaveRun;
                (Resolution::Served, self.served(now, id, result))
            }
            Completion::Returned => {
                attempt.fate = AttemptOutcome::NeverRan;
                if !job.record.may_have_run() {
                    return (Resolution::NeverRan, self.remove(id));
                }
                self.still_open(now, id)
            }
            Completion::Failed => {
                attempt.fate = AttemptOutcome::MayHaveRun;
                self.still_open(now, id)
            }
        }
    }

    /// After a word that did not serve a job in doubt: it has failed, unless another attempt is still out.
    fn still_open(&mut self, now: f64, id: &str) -> (Resolution, Vec<Write>) {
        let Some(mut job) = self.unset(id) else {
            return (Resolution::Nothing, Vec::new());
        };
        let out = job
            .record
            .attempts
            .iter()
            .any(|a| a.fate == AttemptOutcome::Out);
        if !out {
            job.record.stage = Stage::Failed;
        }
        job.record.until = self.until(&job.record.class, now, job.record.deadline);
        let settled = if out {
            Resolution::Nothing
        } else {
            Resolution::Failed
        };
        (settled, self.keep(id, job.record, false))
    }

    /// What was written last of this job did not become durable.
    pub fn unwritten(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.unwritten = true;
        }
    }

    /// The disk takes writes again: what has to be written anew. Results that were refused are gone: their jobs
    /// count as served without one.
    pub fn rewrite(&mut self) -> Vec<Write> {
        let mut writes = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.unwritten) {
            job.unwritten = false;
            if job.record.stage == Stage::Served(true) {
                job.record.stage = Stage::Served(false);
            }
            writes.push(Write::Put {
                key: job_key(id),
                value: job.record.encode(),
                until: job.record.until,
            });
        }
        writes
    }

    /// Forgets what has expired; nothing has to be written, as the store leaves it out by itself.
    pub fn expire(&mut self, now: f64) {
        let now = ms(now);
        while let Some((until, id)) = self.expiry.first() {
            if *until > now {
                return;
            }
            let id = id.clone();
            // What runs in this life is not forgotten before its end.
            if self.jobs.get(&id).is_some_and(|job| job.running) {
                let Some(mut job) = self.unset(&id) else {
                    return;
                };
                job.record.until = now + 60_000;
                self.set(&id, job);
            } else {
                self.unset(&id);
            }
        }
    }
}
