//! The request log: the state of each logged request, and the writes that each change needs.

use crate::callback::{Completion, LateCallback, Resolution};
use crate::keys::{request_id, request_key, result_key};
use crate::limits::{Limits, seconds_to_ms};
use crate::lookup::{Lookup, RequestIdentity};
use crate::record::{Attempt, AttemptOutcome, RequestRecord, Stage};
use std::collections::{BTreeSet, HashMap};

/// By how much the record of a request that is still in flight is prolonged when it expires, in
/// milliseconds.
const IN_FLIGHT_EXTENSION_MS: u64 = 60_000;

/// One change of the store's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// The key has this value from now on.
    Put {
        /// The key.
        key: Vec<u8>,
        /// The value.
        value: Vec<u8>,
        /// When it expires, in milliseconds of Unix time.
        expires_at_ms: u64,
    },
    /// The key has no value from now on.
    Delete {
        /// The key.
        key: Vec<u8>,
    },
}

/// How an attempt ended that didn't serve its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// A request in the log, and what this process knows of it.
#[derive(Debug)]
struct Entry {
    record: RequestRecord,
    /// It is in flight in this process.
    in_flight: bool,
    /// Its last write didn't become durable.
    unwritten: bool,
}

impl Entry {
    /// Whether it may have run in an earlier process, and its end isn't known.
    fn is_in_doubt(&self) -> bool {
        !self.in_flight && self.record.stage == Stage::Pending
    }
}

/// Whether this process is the one in which a request is in flight.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum InFlight {
    Yes,
    No,
}

/// All logged requests of a node.
#[derive(Debug, Default)]
pub struct RequestLog {
    limits: Limits,
    /// The entries by request id. Boxed, because a table that grows moves all its entries at once,
    /// in the middle of a client's request.
    entries: HashMap<String, Box<Entry>>,
    /// The request ids by class and idempotency key.
    ids_by_key: HashMap<(String, String), String>,
    /// The request ids by the time at which their records expire, in milliseconds of Unix time.
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

    /// Adds a stored record; returns `false` if this isn't the key and value of a record.
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

    /// Ends the loading: removes the requests that never ran, and returns the writes that delete
    /// them.
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

    /// Finds the entry under the request's id, else that under its class and idempotency key.
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

    /// Makes room for another request: while the log is full, the oldest request that has its final
    /// answer is removed.
    ///
    /// Returns the writes that delete the removed ones, or `None` if there is no room because every
    /// request may still run.
    pub fn make_room(&mut self) -> Option<Vec<Write>> {
        let mut writes = Vec::new();
        while self.entries.len() >= self.limits.max_requests.max(1) {
            let oldest = self.oldest_with_final_answer()?.to_owned();
            writes.extend(self.delete(&oldest));
        }
        Some(writes)
    }

    fn oldest_with_final_answer(&self) -> Option<&str> {
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
    /// The returned writes have to be durable before it is sent, or only under way, by the
    /// durability level of the class. `now` and `deadline`, when the client stops waiting, are in
    /// seconds of Unix time.
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
        self.prolong(&mut entry.record, now);
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
        self.prolong(&mut entry.record, now);
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

    /// Records that the client has its final answer and that no attempt is in flight any more.
    ///
    /// A request that never ran is removed; any other that wasn't served has failed.
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
        self.prolong(&mut entry.record, now);
        vec![self.store(id, entry.record, InFlight::No)]
    }

    /// Records the call-back of `worker` on a request of an earlier process.
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
        // A worker has one attempt of a request at a time, so that its call-back is on the last
        // one.
        let attempt = entry.record.attempts.iter_mut().rev().find(|attempt| {
            attempt.worker == worker && attempt.outcome == AttemptOutcome::InFlight
        });
        let Some(attempt) = attempt else {
            return LateCallback::ignored();
        };
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

    /// Settles a request in doubt after a call-back that didn't serve it: it has failed, unless the
    /// end of another attempt is unknown.
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
        self.prolong(&mut entry.record, now);
        LateCallback {
            resolution,
            writes: vec![self.store(id, entry.record, InFlight::No)],
        }
    }

    /// Marks that the last write of this request didn't become durable.
    pub fn mark_unwritten(&mut self, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.unwritten = true;
        }
    }

    /// Returns the writes that have to be repeated now that the store accepts writes again.
    ///
    /// Results whose write was refused are lost: their requests count as served without a stored
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
    /// Nothing has to be written, because the store leaves out expired values by itself. A request
    /// that is in flight in this process isn't removed before its end.
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

    /// Sets when a record that changes at `now` (seconds of Unix time) expires.
    fn prolong(&self, record: &mut RequestRecord, now: f64) {
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

    /// Adds the entry to all indexes, in place of the one that was there.
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

    /// Removes the entry from all indexes; an idempotency key that meanwhile belongs to another
    /// request stays with that.
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

    /// Removes the entry, and returns the writes that delete its record and its stored result.
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
