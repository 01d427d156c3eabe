//! The request log: the state of each logged request, and the writes that each change needs.

use crate::callback::{Completion, LateCallback, Resolution};
use crate::keys::{request_id, request_key, result_key};
use crate::limits::{Limits, seconds_to_ms};
use crate::lookup::{Lookup, RequestIdentity};
use crate::record::{Attempt, AttemptOutcome, RequestRecord, Stage};
use std::collections::{BTreeSet, HashMap};

/// By how much the lifetime of a record is extended if the record expires while its request is in
/// flight, in milliseconds.
const IN_FLIGHT_EXTENSION_MS: u64 = 60_000;

/// A change of one key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets the value of a key.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// When the value expires, in milliseconds of Unix time.
        expires_at_ms: u64,
    },
    /// Removes a key and its value.
    Delete {
        /// The key.
        key: Vec<u8>,
    },
}

/// How an attempt that didn't serve its request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The attempt never ran.
    NeverRan,
    /// The attempt may have run.
    MayHaveRun,
}

/// A request in the log, with its state in this process.
#[derive(Debug)]
struct Entry {
    record: RequestRecord,
    /// Whether the request is in flight in this process.
    in_flight: bool,
    /// Whether the last write of the record failed to become durable.
    unwritten: bool,
}

impl Entry {
    /// Whether the request may have run in an earlier process and its end isn't known.
    fn is_in_doubt(&self) -> bool {
        !self.in_flight && self.record.stage == Stage::Pending
    }
}

/// Whether a request is in flight in this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InFlight {
    Yes,
    No,
}

/// All logged requests of a node.
#[derive(Debug, Default)]
pub struct RequestLog {
    limits: Limits,
    /// The entries by request id. They are boxed because a table that grows moves all its entries
    /// at once, which delays the client's request that made it grow.
    entries: HashMap<String, Box<Entry>>,
    /// Request ids by class and idempotency key.
    ids_by_key: HashMap<(String, String), String>,
    /// Request ids in the order in which their records expire; times in milliseconds of Unix time.
    expiry: BTreeSet<(u64, String)>,
    in_doubt_count: usize,
}

impl RequestLog {
    /// Returns an empty log.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Loads a stored record; returns `false` if this isn't the key and value of a record.
    pub fn load_record(&mut self, key: &[u8], value: &[u8]) -> bool {
        let Some(id) = request_id(key) else {
            return false;
        };
        let Some(record) = RequestRecord::decode(value) else {
            return false;
        };
        let entry = Entry {
            record,
            in_flight: false,
            unwritten: false,
        };
        self.insert(id, entry);
        true
    }

    /// Removes the loaded requests that never ran, and returns the writes that delete them. Must be
    /// called after the last [`RequestLog::load_record`].
    pub fn finish_loading(&mut self) -> Vec<Write> {
        let never_ran =
            |entry: &Entry| entry.record.stage == Stage::Pending && !entry.record.may_have_run();
        let ids: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| never_ran(entry))
            .map(|(id, _)| id.clone())
            .collect();
        ids.iter().flat_map(|id| self.delete(id)).collect()
    }

    /// Returns the number of requests in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the log has no request.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that may have run in an earlier process and whose end isn't
    /// known.
    pub fn in_doubt_count(&self) -> usize {
        self.in_doubt_count
    }

    /// Returns what the client that submits this request gets.
    pub fn lookup(&self, request: &RequestIdentity<'_>) -> Lookup {
        let Some((id, entry)) = self.find(request) else {
            return Lookup::New;
        };
        if entry.record.digest != request.digest || entry.record.class != request.class {
            return Lookup::Conflict;
        }
        let id = id.to_owned();
        match entry.record.stage {
            Stage::Served {
                result_stored: true,
            } => Lookup::Served(id),
            Stage::Served {
                result_stored: false,
            }
            | Stage::Failed => Lookup::Failed,
            Stage::Pending if entry.in_flight => Lookup::InFlight(id),
            Stage::Pending => Lookup::InDoubt(id),
        }
    }

    /// Finds the entry by the request's id, or else by its class and idempotency key.
    fn find<'a>(&'a self, request: &RequestIdentity<'a>) -> Option<(&'a str, &'a Entry)> {
        let id = if self.entries.contains_key(request.id) {
            request.id
        } else {
            let class_and_key = (
                request.class.to_owned(),
                request.idempotency_key?.to_owned(),
            );
            self.ids_by_key.get(&class_and_key)?.as_str()
        };
        Some((id, self.entries.get(id)?))
    }

    /// Makes room for another request: while the log is full, removes the request that expires
    /// first among those that were served or have failed.
    ///
    /// Returns the writes that delete the removed requests, or `None` if the log is full of
    /// requests that may still run.
    pub fn make_room(&mut self) -> Option<Vec<Write>> {
        let mut writes = Vec::new();
        while self.entries.len() >= self.limits.max_requests.max(1) {
            let id = self.first_expiring_with_final_answer()?.to_owned();
            writes.extend(self.delete(&id));
        }
        Some(writes)
    }

    fn first_expiring_with_final_answer(&self) -> Option<&str> {
        let has_final_answer = |id: &str| {
            self.entries
                .get(id)
                .is_some_and(|entry| entry.record.stage != Stage::Pending)
        };
        let (_, id) = self.expiry.iter().find(|(_, id)| has_final_answer(id))?;
        Some(id)
    }

    /// Records that an attempt is about to be sent to `worker`.
    ///
    /// Before the attempt is sent, the returned writes have to be durable or only to have been
    /// issued, depending on the durability level of the class. `now` and the client's `deadline`
    /// are in seconds of Unix time.
    pub fn record_attempt_intent(
        &mut self,
        now: f64,
        request: &RequestIdentity<'_>,
        worker: &str,
        deadline: f64,
    ) -> Vec<Write> {
        let deadline_ms = seconds_to_ms(deadline);
        let expires_at_ms = self.limits.expires_at_ms(request.class, now, deadline_ms);
        let mut record = match self.remove(request.id) {
            Some(entry) => entry.record,
            None => RequestRecord {
                class: request.class.into(),
                idempotency_key: request.idempotency_key.map(str::to_owned),
                digest: request.digest,
                stage: Stage::Pending,
                attempts: Vec::new(),
                deadline_ms,
                expires_at_ms,
            },
        };
        record.expires_at_ms = expires_at_ms;
        record.attempts.push(Attempt {
            worker: worker.into(),
            outcome: AttemptOutcome::InFlight,
        });
        vec![self.store(request.id, record, InFlight::Yes)]
    }

    /// Records that the attempt with this number has ended without serving the request.
    pub fn record_attempt_ended(
        &mut self,
        now: f64,
        id: &str,
        attempt: usize,
        failure: AttemptFailure,
    ) -> Vec<Write> {
        if !self.is_attempt_in_flight(id, attempt) {
            return Vec::new();
        }
        let Some(mut entry) = self.remove(id) else {
            return Vec::new();
        };
        entry.record.attempts[attempt].outcome = match failure {
            AttemptFailure::NeverRan => AttemptOutcome::NeverRan,
            AttemptFailure::MayHaveRun => AttemptOutcome::MayHaveRun,
        };
        self.renew_expiry(&mut entry.record, now);
        vec![self.store(id, entry.record, InFlight::Yes)]
    }

    fn is_attempt_in_flight(&self, id: &str, attempt: usize) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return false;
        };
        let attempt = entry.record.attempts.get(attempt);
        entry.in_flight
            && attempt.is_some_and(|attempt| attempt.outcome == AttemptOutcome::InFlight)
    }

    /// Records that the request was served with this result.
    pub fn record_served(&mut self, now: f64, id: &str, result: &[u8]) -> Vec<Write> {
        let Some(mut entry) = self.remove(id) else {
            return Vec::new();
        };
        let result_stored = result.len() <= self.limits.max_result_bytes;
        entry.record.stage = Stage::Served { result_stored };
        self.renew_expiry(&mut entry.record, now);
        let expires_at_ms = entry.record.expires_at_ms;
        let mut writes = vec![self.store(id, entry.record, InFlight::No)];
        if result_stored {
            writes.push(Write::Put {
                key: result_key(id),
                value: result.to_vec(),
                expires_at_ms,
            });
        }
        writes
    }

    /// Records that the client has been given its final answer and that no attempt is in flight.
    ///
    /// A request that never ran is removed. Any other one that wasn't served is recorded as failed.
    pub fn record_finished(&mut self, now: f64, id: &str) -> Vec<Write> {
        let Some(entry) = self.entries.get(id) else {
            return Vec::new();
        };
        if !entry.in_flight || entry.record.stage != Stage::Pending {
            return Vec::new();
        }
        if !entry.record.may_have_run() {
            return self.delete(id);
        }
        let Some(mut entry) = self.remove(id) else {
            return Vec::new();
        };
        entry.record.stage = Stage::Failed;
        self.renew_expiry(&mut entry.record, now);
        vec![self.store(id, entry.record, InFlight::No)]
    }

    /// Records the callback of `worker` about a request that an earlier process sent.
    pub fn resolve_late_callback(
        &mut self,
        now: f64,
        id: &str,
        worker: &str,
        completion: Completion<'_>,
    ) -> LateCallback {
        let Some(entry) = self.entries.get_mut(id).filter(|entry| entry.is_in_doubt()) else {
            return LateCallback::ignored();
        };
        let number = entry.record.attempt_of_callback(worker, completion);
        let Some(number) = number else {
            return LateCallback::ignored();
        };
        let attempt = &mut entry.record.attempts[number];
        match completion {
            Completion::Done(result) => {
                attempt.outcome = AttemptOutcome::MayHaveRun;
                LateCallback {
                    resolution: Resolution::Served,
                    writes: self.record_served(now, id, result),
                }
            }
            Completion::Returned => {
                attempt.outcome = AttemptOutcome::NeverRan;
                if entry.record.may_have_run() {
                    return self.resolve_without_result(now, id);
                }
                LateCallback {
                    resolution: Resolution::NeverRan,
                    writes: self.delete(id),
                }
            }
            Completion::Failed => {
                attempt.outcome = AttemptOutcome::MayHaveRun;
                self.resolve_without_result(now, id)
            }
        }
    }

    /// Resolves a request in doubt after a callback without a result: the request has failed,
    /// unless the end of another attempt is unknown.
    fn resolve_without_result(&mut self, now: f64, id: &str) -> LateCallback {
        let Some(mut entry) = self.remove(id) else {
            return LateCallback::ignored();
        };
        let resolution = if entry.record.has_attempt_in_flight() {
            Resolution::Unresolved
        } else {
            entry.record.stage = Stage::Failed;
            Resolution::Failed
        };
        self.renew_expiry(&mut entry.record, now);
        LateCallback {
            resolution,
            writes: vec![self.store(id, entry.record, InFlight::No)],
        }
    }

    /// Marks a request whose last write failed to become durable.
    pub fn mark_unwritten(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.unwritten = true;
        }
    }

    /// Returns the writes that store all marked records again. Called when the store accepts writes
    /// again.
    ///
    /// Results whose write failed are lost: their requests are recorded as served without a stored
    /// result.
    pub fn rewrite_unwritten(&mut self) -> Vec<Write> {
        let unwritten = self.entries.iter_mut().filter(|(_, entry)| entry.unwritten);
        let mut writes = Vec::new();
        for (id, entry) in unwritten {
            entry.unwritten = false;
            if matches!(entry.record.stage, Stage::Served { .. }) {
                entry.record.stage = Stage::Served {
                    result_stored: false,
                };
            }
            writes.push(put_record(id, &entry.record));
        }
        writes
    }

    /// Removes the requests whose records have expired at `now`, in seconds of Unix time.
    ///
    /// Nothing has to be written, because the store drops expired values itself. The record of a
    /// request that is in flight in this process isn't removed; its lifetime is extended.
    pub fn remove_expired(&mut self, now: f64) {
        let now_ms = seconds_to_ms(now);
        while let Some((expires_at_ms, id)) = self.expiry.first() {
            if *expires_at_ms > now_ms {
                return;
            }
            let id = id.clone();
            let Some(mut entry) = self.remove(&id) else {
                return;
            };
            if entry.in_flight {
                entry.record.expires_at_ms = now_ms + IN_FLIGHT_EXTENSION_MS;
                self.insert(&id, entry);
            }
        }
    }

    /// Sets the expiry of a record that changes at `now`, in seconds of Unix time.
    fn renew_expiry(&self, record: &mut RequestRecord, now: f64) {
        record.expires_at_ms = self
            .limits
            .expires_at_ms(&record.class, now, record.deadline_ms);
    }

    /// Adds the record as an entry, and returns the write that stores it.
    fn store(&mut self, id: &str, record: RequestRecord, in_flight: InFlight) -> Write {
        let write = put_record(id, &record);
        let entry = Entry {
            record,
            in_flight: in_flight == InFlight::Yes,
            unwritten: false,
        };
        self.insert(id, entry);
        write
    }

    /// Adds the entry to the log and its indexes, and removes an earlier entry with the same id.
    fn insert(&mut self, id: &str, entry: Entry) {
        self.remove(id);
        if let Some(key) = &entry.record.idempotency_key {
            let class_and_key = (entry.record.class.clone(), key.clone());
            self.ids_by_key.insert(class_and_key, id.to_owned());
        }
        self.expiry
            .insert((entry.record.expires_at_ms, id.to_owned()));
        self.in_doubt_count += usize::from(entry.is_in_doubt());
        self.entries.insert(id.to_owned(), Box::new(entry));
    }

    /// Removes the entry from the log and its indexes. An idempotency key that has since been
    /// assigned to another request stays assigned to that request.
    fn remove(&mut self, id: &str) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.in_doubt_count -= usize::from(entry.is_in_doubt());
        self.expiry
            .remove(&(entry.record.expires_at_ms, id.to_owned()));
        if let Some(key) = &entry.record.idempotency_key {
            let class_and_key = (entry.record.class.clone(), key.clone());
            if self
                .ids_by_key
                .get(&class_and_key)
                .is_some_and(|owner| owner == id)
            {
                self.ids_by_key.remove(&class_and_key);
            }
        }
        Some(*entry)
    }

    /// Removes the entry, and returns the writes that delete its record and, if stored, its result.
    fn delete(&mut self, id: &str) -> Vec<Write> {
        let Some(entry) = self.remove(id) else {
            return Vec::new();
        };
        let mut writes = vec![Write::Delete {
            key: request_key(id),
        }];
        let result_stored = Stage::Served {
            result_stored: true,
        };
        if entry.record.stage == result_stored {
            writes.push(Write::Delete {
                key: result_key(id),
            });
        }
        writes
    }
}

/// Returns the write that stores the record.
fn put_record(id: &str, record: &RequestRecord) -> Write {
    Write::Put {
        key: request_key(id),
        value: record.encode(),
        expires_at_ms: record.expires_at_ms,
    }
}
