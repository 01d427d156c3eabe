//! The engine behind queues: one thread waits for the disk, so that nobody else does. All requests
//! that have queued up while one sync ran are made durable by the next: group commit.

use crate::batch::Batch;
use crate::disk::Disk;
use crate::engine::{Engine, Rejected, Statistics};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Most bytes of one group: the time of its commit stays bounded.
const MAX_GROUP_BYTES: usize = 8 << 20;
/// Longest time that a group waits for appends that are about to come.
const MAX_GROUP_WAIT: Duration = Duration::from_micros(500);
/// The share of the usual commit time that a group may wait, as a divisor.
const GROUP_WAIT_DIVISOR: u32 = 8;
/// The weight of the last commit in the smoothed commit time is one part of this many.
const COMMIT_TIME_SMOOTHING: u32 = 8;
/// What an append weighs in the queue beside the bytes of its batch.
const APPEND_OVERHEAD_BYTES: usize = 64;

/// The number of an append, counted from 1.
pub type Ticket = u64;

/// What the thread reports.
#[derive(Debug)]
pub enum Event {
    /// All appends up to this one are durable, except for those reported as rejected before.
    Durable(Ticket),
    /// These appends were rejected and have no effect.
    Rejected {
        /// The first of them.
        from: Ticket,
        /// The last of them.
        to: Ticket,
        /// The reason.
        why: String,
    },
    /// The result of a read.
    Value {
        /// The number that the reader gave.
        token: u64,
        /// The value, `None` if the key has none; or the error, as text.
        value: Result<Option<Vec<u8>>, String>,
    },
    /// Figures, as they were requested.
    Statistics(Statistics),
    /// The disk takes no writes; appends are rejected until [`Event::WritesRecovered`].
    WritesFailed(String),
    /// The disk takes writes again.
    WritesRecovered,
}

/// Too many bytes wait for the disk already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

enum Request {
    Append { ticket: Ticket, batch: Batch },
    Read { token: u64, key: Vec<u8> },
    Statistics,
    Compact,
    Stop,
}

/// How the thread works.
pub struct WriterOptions {
    /// Bytes that may wait for the disk.
    pub max_queued_bytes: usize,
    /// How long after a failure the disk is tried again.
    pub retry_interval: Duration,
    /// Returns the time in milliseconds of Unix time.
    pub clock: Box<dyn Fn() -> u64 + Send>,
    /// Called after events have been queued.
    pub wake: Box<dyn Fn() + Send>,
}

/// A store for a thread that must not wait for the disk.
pub struct Store {
    requests: Sender<Request>,
    queued_bytes: Arc<AtomicUsize>,
    max_queued_bytes: usize,
    last_ticket: Ticket,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Starts the thread, and returns the store with the queue of its events.
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

    /// Queues a batch to be written. It never waits.
    ///
    /// # Errors
    ///
    /// If too many bytes are queued already, or the thread has ended.
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

    /// Requests the value of a key, as it is after all that was appended before.
    pub fn read(&self, token: u64, key: Vec<u8>) {
        let _ = self.requests.send(Request::Read { token, key });
    }

    /// Requests the figures.
    pub fn request_statistics(&self) {
        let _ = self.requests.send(Request::Statistics);
    }

    /// Requests that all files be compacted.
    pub fn compact(&self) {
        let _ = self.requests.send(Request::Compact);
    }

    /// Bytes that wait for the disk.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Store {
    /// Waits until all that was appended is durable or rejected.
    fn drop(&mut self) {
        let _ = self.requests.send(Request::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the thread does next.
enum Work {
    /// Serve this request, and all that have queued up behind it.
    Serve(Request),
    /// No request is queued: clean, or try the disk again after a failure.
    Background,
    /// The store is gone.
    End,
}

/// The requests that are served together.
#[derive(Default)]
struct Group {
    bytes: usize,
    /// The appends that the engine has taken.
    tickets: Vec<Ticket>,
    reads: Vec<(u64, Vec<u8>)>,
    /// Requests for figures or compaction.
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
    /// How long a commit takes, smoothed.
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

    /// Waits for a request, unless there is other work.
    fn next_work(&self) -> Work {
        if self.writes_failed {
            return match self.requests.recv_timeout(self.options.retry_interval) {
                Ok(request) => Work::Serve(request),
                Err(RecvTimeoutError::Timeout) => Work::Background,
                Err(RecvTimeoutError::Disconnected) => Work::End,
            };
        }
        if self.engine.needs_cleaning() {
            return match self.requests.try_recv() {
                Ok(request) => Work::Serve(request),
                Err(TryRecvError::Empty) => Work::Background,
                Err(TryRecvError::Disconnected) => Work::End,
            };
        }
        self.requests.recv().map_or(Work::End, Work::Serve)
    }

    /// Collects the requests that have queued up, and appends their batches to the engine.
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

    /// The next request of a group of `size` appends so far. Whoever was notified of the last
    /// group's commit is about to append again: a sync for the first of them alone would make all
    /// others wait for the one after it.
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

    /// Cleans a step, commits the group, and reports what became of its requests.
    fn serve_group(&mut self, group: Group) {
        if !self.writes_failed && self.engine.needs_cleaning() {
            // A step that fails is tried again with the next group.
            let _ = self.engine.clean();
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

    /// Appends a batch to the engine; returns whether it was accepted.
    fn append(&mut self, ticket: Ticket, batch: &Batch) -> bool {
        if self.writes_failed {
            self.reject(ticket, "the disk takes no writes");
            return false;
        }
        let changes: Vec<_> = batch.changes().collect();
        match self.engine.append(&changes) {
            Ok(_) => true,
            Err(Rejected::TooLong) => {
                self.reject(ticket, "batch too long");
                false
            }
            Err(Rejected::Full) => {
                self.reject(ticket, "store full");
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

    fn reject(&self, ticket: Ticket, why: &str) {
        self.send(Event::Rejected {
            from: ticket,
            to: ticket,
            why: why.into(),
        });
    }

    /// Reports, once until it has ended, that the disk takes no writes.
    fn report_failure(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.writes_failed, true) {
            self.send(Event::WritesFailed(error.to_string()));
        }
    }

    /// Tries the disk again after a failure.
    fn probe(&mut self) {
        if self.engine.probe().is_ok() {
            self.writes_failed = false;
            self.send(Event::WritesRecovered);
            (self.options.wake)();
        }
    }

    /// Queues an event. That nobody receives events any more doesn't stop the writes.
    fn send(&self, event: Event) {
        let _ = self.events.send(event);
    }
}
