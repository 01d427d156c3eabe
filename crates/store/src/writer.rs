//! Runs an engine on a thread of its own behind queues, so that only that thread blocks on the
//! disk. All appends that queue up during one sync are made durable by the next (group commit).

use crate::batch::Batch;
use crate::disk::Disk;
use crate::engine::{AppendError, Engine, Statistics};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of bytes in one group, which bounds the duration of its commit.
const MAX_GROUP_BYTES: usize = 8 << 20;
/// Maximum time that a group waits for further appends.
const MAX_GROUP_WAIT: Duration = Duration::from_micros(500);
/// A group waits for at most the smoothed commit time divided by this.
const GROUP_WAIT_DIVISOR: u32 = 8;
/// The latest commit contributes one part in this many to the smoothed commit time.
const COMMIT_TIME_SMOOTHING: u32 = 8;
/// Bytes that an append takes of the queue's limit in addition to its batch.
const APPEND_OVERHEAD_BYTES: usize = 64;

/// The number of an append, starting at 1.
pub type Ticket = u64;

/// An event that the store's thread reports.
#[derive(Debug)]
pub enum Event {
    /// All appends up to this one are durable, except for those reported as rejected earlier.
    Durable(Ticket),
    /// These appends were rejected and have no effect.
    Rejected {
        /// The first of them.
        from: Ticket,
        /// The last of them.
        to: Ticket,
        /// The reason.
        reason: String,
    },
    /// The result of a read.
    Value {
        /// The token that was passed to [`Store::read`].
        token: u64,
        /// The value, `None` if the key has none; or the text of the error.
        value: Result<Option<Vec<u8>>, String>,
    },
    /// The result of a request for statistics or compaction.
    Statistics(Statistics),
    /// A commit or a requested compaction has failed; appends are rejected until
    /// [`Event::WritesRecovered`].
    WritesFailed(String),
    /// The disk accepts writes again.
    WritesRecovered,
}

/// The append was not queued, since the queue is full or the store's thread has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

enum Request {
    Append { ticket: Ticket, batch: Batch },
    Read { token: u64, key: Vec<u8> },
    Statistics,
    Compact,
    Stop,
}

/// Options of the store's thread.
pub struct WriterOptions {
    /// Maximum number of queued bytes.
    pub max_queued_bytes: usize,
    /// How long after a failed write the disk is probed again.
    pub retry_interval: Duration,
    /// Returns the current time in milliseconds of Unix time.
    pub clock: Box<dyn Fn() -> u64 + Send>,
    /// Called on the store's thread after it has queued events.
    pub wake: Box<dyn Fn() + Send>,
}

/// A store for a caller that must not block on the disk.
pub struct Store {
    requests: Sender<Request>,
    queued_bytes: Arc<AtomicUsize>,
    max_queued_bytes: usize,
    last_ticket: Ticket,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Starts the store's thread, and returns the store and the queue of its events.
    ///
    /// # Errors
    ///
    /// If the system can't start a thread.
    pub fn start<D>(
        engine: Engine<D>,
        options: WriterOptions,
    ) -> io::Result<(Self, Receiver<Event>)>
    where
        D: Disk + Send + 'static,
        D::File: Send,
        D::Lock: Send,
    {
        let (requests, request_queue) = mpsc::channel();
        let (events, event_queue) = mpsc::channel();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let max_queued_bytes = options.max_queued_bytes;
        let writer = Writer {
            engine,
            options,
            requests: request_queue,
            events,
            queued_bytes: queued_bytes.clone(),
            last_group_size: 0,
            commit_time: Duration::ZERO,
            writes_failed: false,
        };
        let thread = std::thread::Builder::new()
            .name("postproxy-store".into())
            .spawn(move || writer.run())?;
        let store = Self {
            requests,
            queued_bytes,
            max_queued_bytes,
            last_ticket: 0,
            thread: Some(thread),
        };
        Ok((store, event_queue))
    }

    /// Queues a batch to be written. Never blocks.
    ///
    /// # Errors
    ///
    /// If too many bytes are already queued, or the thread has ended.
    pub fn append(&mut self, batch: Batch) -> Result<Ticket, QueueFull> {
        let weight = batch.size() + APPEND_OVERHEAD_BYTES;
        if self.queued_bytes.load(Ordering::Relaxed) + weight > self.max_queued_bytes {
            return Err(QueueFull);
        }
        self.queued_bytes.fetch_add(weight, Ordering::Relaxed);
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        self.requests
            .send(Request::Append { ticket, batch })
            .map_err(|_| QueueFull)?;
        Ok(ticket)
    }

    /// Requests the value of a key, as of all appends before this call. It is reported as
    /// [`Event::Value`] with the same `token`.
    pub fn read(&self, token: u64, key: Vec<u8>) {
        let _ = self.requests.send(Request::Read { token, key });
    }

    /// Requests statistics, which are reported as [`Event::Statistics`].
    pub fn request_statistics(&self) {
        let _ = self.requests.send(Request::Statistics);
    }

    /// Requests compaction of the whole store. [`Event::Statistics`] reports that it has ended.
    pub fn compact(&self) {
        let _ = self.requests.send(Request::Compact);
    }

    /// Returns the number of queued bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Store {
    /// Waits until all appends are durable or rejected, and the thread has ended.
    fn drop(&mut self) {
        let _ = self.requests.send(Request::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the thread is to do next.
enum Work {
    /// Serve this request and those queued after it.
    Serve(Request),
    /// No request is queued: compact, or probe the disk after a failed write.
    Background,
    /// The store has been dropped.
    End,
}

/// The requests that are served together.
#[derive(Default)]
struct Group {
    bytes: usize,
    /// The appends that the engine has accepted.
    tickets: Vec<Ticket>,
    reads: Vec<(u64, Vec<u8>)>,
    /// Requests for statistics or compaction.
    maintenance: Vec<Request>,
    stop: bool,
}

struct Writer<D: Disk> {
    engine: Engine<D>,
    options: WriterOptions,
    requests: Receiver<Request>,
    events: Sender<Event>,
    queued_bytes: Arc<AtomicUsize>,
    /// The number of appends in the last group.
    last_group_size: usize,
    /// Smoothed duration of a commit.
    commit_time: Duration,
    writes_failed: bool,
}

impl<D: Disk> Writer<D> {
    fn run(mut self) {
        loop {
            let first = match self.next_work() {
                Work::Serve(request) => Some(request),
                Work::Background => None,
                Work::End => return,
            };
            self.engine.set_time((self.options.clock)());
            if self.writes_failed && first.is_none() {
                self.probe();
                continue;
            }
            let group = self.collect_group(first);
            let stop = group.stop;
            self.serve_group(group);
            if stop {
                return;
            }
        }
    }

    /// Returns a request, or background work if it is due. Blocks until there is either.
    fn next_work(&self) -> Work {
        if self.writes_failed {
            return match self.requests.recv_timeout(self.options.retry_interval) {
                Ok(request) => Work::Serve(request),
                Err(RecvTimeoutError::Timeout) => Work::Background,
                Err(RecvTimeoutError::Disconnected) => Work::End,
            };
        }
        if self.engine.needs_compaction() {
            return match self.requests.try_recv() {
                Ok(request) => Work::Serve(request),
                Err(TryRecvError::Empty) => Work::Background,
                Err(TryRecvError::Disconnected) => Work::End,
            };
        }
        self.requests.recv().map_or(Work::End, Work::Serve)
    }

    /// Collects the queued requests, and appends their batches to the engine.
    fn collect_group(&mut self, first: Option<Request>) -> Group {
        let mut group = Group::default();
        let began = Instant::now();
        let mut next = first;
        while let Some(request) = next.take() {
            match request {
                Request::Append { ticket, batch } => {
                    group.bytes += batch.size();
                    self.queued_bytes
                        .fetch_sub(batch.size() + APPEND_OVERHEAD_BYTES, Ordering::Relaxed);
                    if self.append(ticket, &batch) {
                        group.tickets.push(ticket);
                    }
                }
                Request::Read { token, key } => group.reads.push((token, key)),
                Request::Statistics | Request::Compact => group.maintenance.push(request),
                Request::Stop => group.stop = true,
            }
            if !group.stop && group.bytes < MAX_GROUP_BYTES {
                next = self.next_of_group(group.tickets.len(), began);
            }
        }
        self.last_group_size = group.tickets.len();
        group
    }

    /// Returns the next request for a group that has `size` appends so far. Waits briefly while the
    /// group is smaller than the last one: callers that were notified of the last commit are about
    /// to append again, and syncing after the first of these appends would make all others wait for
    /// the sync after that.
    fn next_of_group(&self, size: usize, began: Instant) -> Option<Request> {
        if let Ok(request) = self.requests.try_recv() {
            return Some(request);
        }
        let wait = (self.commit_time / GROUP_WAIT_DIVISOR)
            .min(MAX_GROUP_WAIT)
            .saturating_sub(began.elapsed());
        if size + 1 < self.last_group_size && !wait.is_zero() {
            return self.requests.recv_timeout(wait).ok();
        }
        None
    }

    /// Does a step of compaction if it is due, commits the group, and reports the outcome of its
    /// requests.
    fn serve_group(&mut self, group: Group) {
        if !self.writes_failed && self.engine.needs_compaction() {
            // A failed step is retried with the next group.
            let _ = self.engine.compact_step();
        }
        self.commit(&group.tickets);
        for (token, key) in group.reads {
            let value = self.engine.get(&key).map_err(|error| error.to_string());
            self.send(Event::Value { token, value });
        }
        for request in group.maintenance {
            if matches!(request, Request::Compact)
                && let Err(error) = self.engine.compact()
            {
                self.report_failure(&error);
            }
            self.send(Event::Statistics(self.engine.statistics()));
        }
        (self.options.wake)();
    }

    /// Appends a batch to the engine. Returns whether it was accepted.
    fn append(&mut self, ticket: Ticket, batch: &Batch) -> bool {
        if self.writes_failed {
            self.reject(ticket, "store is not writable");
            return false;
        }
        let changes: Vec<_> = batch.changes().collect();
        match self.engine.append(&changes) {
            Ok(_) => true,
            Err(AppendError::InvalidSize) => {
                self.reject(ticket, "batch is empty or too long");
                false
            }
            Err(AppendError::Full) => {
                self.reject(ticket, "store is full");
                false
            }
        }
    }

    fn commit(&mut self, tickets: &[Ticket]) {
        let began = Instant::now();
        let committed = self.engine.commit();
        self.commit_time = (self.commit_time * (COMMIT_TIME_SMOOTHING - 1) + began.elapsed())
            / COMMIT_TIME_SMOOTHING;
        match committed {
            Ok(_) => {
                if let Some(last) = tickets.last() {
                    self.send(Event::Durable(*last));
                }
            }
            Err(error) => {
                for ticket in tickets {
                    self.reject(*ticket, &error.to_string());
                }
                self.report_failure(&error);
            }
        }
    }

    fn reject(&self, ticket: Ticket, reason: &str) {
        self.send(Event::Rejected {
            from: ticket,
            to: ticket,
            reason: reason.into(),
        });
    }

    /// Reports that a commit or a compaction has failed, unless writes have not recovered since the
    /// last such report.
    fn report_failure(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.writes_failed, true) {
            self.send(Event::WritesFailed(error.to_string()));
        }
    }

    /// Checks whether the disk accepts writes again after a failure.
    fn probe(&mut self) {
        if self.engine.probe().is_ok() {
            self.writes_failed = false;
            self.send(Event::WritesRecovered);
            (self.options.wake)();
        }
    }

    /// Queues an event. A dropped receiver is not an error: writes continue.
    fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }
}
