//! The engine behind queues: a thread of its own waits for the disk, so that nobody else does. Whatever has
//! queued up while one sync ran is made durable by the next: group commit.

use crate::batch::Batch;
use crate::disk::Disk;
use crate::engine::{Engine, Stat};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Bytes of one group at most.
const GROUP: usize = 8 << 20;
/// For so long at most a group waits for those that are on their way.
const MOST_PATIENCE: Duration = Duration::from_micros(500);
/// A ticket's weight in the queue, beside its bytes.
const TICKET: usize = 64;

/// The number of an append; they are counted from 1.
pub type Ticket = u64;

/// What the thread has to tell.
#[derive(Debug)]
pub enum Event {
    /// All appends up to this one are durable, but for those that were told as refused before.
    Durable(Ticket),
    /// These appends were not taken and count for nothing.
    Refused {
        /// The first.
        from: Ticket,
        /// The last.
        to: Ticket,
        /// Why.
        why: String,
    },
    /// What was read.
    Value {
        /// The number that the reader gave.
        token: u64,
        /// The value, if the key has one, or why it can't be told.
        value: Result<Option<Vec<u8>>, String>,
    },
    /// Figures, as they were asked for.
    Stat(Stat),
    /// The disk takes no writes; appends are refused until [`Event::Sound`].
    Broken(String),
    /// It takes them again.
    Sound,
}

/// Too much waits for the disk already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy;

enum Request {
    Append(Ticket, Batch),
    Read(u64, Vec<u8>),
    Stat,
    Compact,
    Stop,
}

/// How the thread works.
pub struct Work {
    /// Bytes that may wait for the disk.
    pub most_queued: usize,
    /// How long after a failure the disk is tried again.
    pub again: Duration,
    /// The time in milliseconds of Unix time.
    pub clock: Box<dyn Fn() -> u64 + Send>,
    /// Called after events have been put into the queue.
    pub wake: Box<dyn Fn() + Send>,
}

/// The store, for a thread that must not wait.
pub struct Store {
    requests: Sender<Request>,
    queued: Arc<AtomicUsize>,
    most_queued: usize,
    last: Ticket,
    thread: Option<JoinHandle<()>>,
}

impl Store {
    /// Starts the thread; the second part is where it tells what became of things.
    ///
    /// # Errors
    ///
    /// If the system gives no thread.
    pub fn start<D>(engine: Engine<D>, work: Work) -> io::Result<(Self, Receiver<Event>)>
    where
        D: Disk + Send + 'static,
        D::File: Send,
        D::Lock: Send,
    {
        let (requests, taken) = mpsc::channel();
        let (tell, events) = mpsc::channel();
        let queued = Arc::new(AtomicUsize::new(0));
        let most_queued = work.most_queued;
        let weight = queued.clone();
        let thread = std::thread::Builder::new()
            .name("postproxy-store".into())
            .spawn(move || {
                let (usual, took) = (0, Duration::ZERO);
                Writer {
                    engine,
                    work,
                    requests: taken,
                    tell,
                    weight,
                    usual,
                    took,
                    broken: false,
                }
                .run();
            })?;
        Ok((
            Self {
                requests,
                queued,
                most_queued,
                last: 0,
                thread: Some(thread),
            },
            events,
        ))
    }

    /// Has a batch written. It never waits.
    ///
    /// # Errors
    ///
    /// If too much waits already.
    pub fn append(&mut self, batch: Batch) -> Result<Ticket, Busy> {
        let weight = batch.size() + TICKET;
        if self.queued.load(Ordering::Relaxed) + weight > self.most_queued {
            return Err(Busy);
        }
        self.queued.fetch_add(weight, Ordering::Relaxed);
        self.last += 1;
        // A thread that has ended takes nothing, and tells nothing: its events' end is noticed.
        self.requests
            .send(Request::Append(self.last, batch))
            .map_err(|_| Busy)?;
        Ok(self.last)
    }

    /// Has a key read, after all that was appended before.
    pub fn read(&self, token: u64, key: Vec<u8>) {
        let _ = self.requests.send(Request::Read(token, key));
    }

    /// Has the figures told.
    pub fn stat(&self) {
        let _ = self.requests.send(Request::Stat);
    }

    /// Has everything cleaned that can be.
    pub fn compact(&self) {
        let _ = self.requests.send(Request::Compact);
    }

    /// Bytes that wait for the disk.
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }
}

impl Drop for Store {
    /// Waits until all that was appended is on the disk, or refused.
    fn drop(&mut self) {
        let _ = self.requests.send(Request::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Writer<D: Disk> {
    engine: Engine<D>,
    work: Work,
    requests: Receiver<Request>,
    tell: Sender<Event>,
    weight: Arc<AtomicUsize>,
    /// How many appends the last group had, and how long a commit takes, smoothed.
    usual: usize,
    took: Duration,
    broken: bool,
}

impl<D: Disk> Writer<D> {
    fn run(mut self) {
        let mut going = true;
        while going {
            let Some(first) = self.next() else { return };
            going = self.turn(first);
        }
    }

    /// The next request; no request where there is other work. `None` at the end of all.
    fn next(&self) -> Option<Option<Request>> {
        if self.broken {
            return match self.requests.recv_timeout(self.work.again) {
                Ok(request) => Some(Some(request)),
                Err(RecvTimeoutError::Timeout) => Some(None),
                Err(RecvTimeoutError::Disconnected) => None,
            };
        }
        if self.engine.wants_cleaning() {
            return match self.requests.try_recv() {
                Ok(request) => Some(Some(request)),
                Err(TryRecvError::Empty) => Some(None),
                Err(TryRecvError::Disconnected) => None,
            };
        }
        self.requests.recv().ok().map(Some)
    }

    /// One group: all that has queued up, one commit, what is to be told.
    fn turn(&mut self, first: Option<Request>) -> bool {
        self.engine.tell((self.work.clock)());
        if self.broken && first.is_none() {
            self.probe();
            return true;
        }
        let (mut going, mut bytes) = (true, 0);
        let (mut tickets, mut reads, mut others) = (Vec::new(), Vec::new(), Vec::new());
        let mut request = first;
        let began = Instant::now();
        while let Some(next) = request.take() {
            match next {
                Request::Append(ticket, batch) => {
                    bytes += batch.size();
                    self.weight
                        .fetch_sub(batch.size() + TICKET, Ordering::Relaxed);
                    self.append(ticket, &batch, &mut tickets);
                }
                Request::Read(token, key) => reads.push((token, key)),
                Request::Stat | Request::Compact => others.push(next),
                Request::Stop => going = false,
            }
            if going && bytes < GROUP {
                request = self.requests.try_recv().ok();
                // Those that were told of the last group's end are on their way: a sync for the first of them
                // alone would have all others wait for the one after it.
                let patience = (self.took / 8)
                    .min(MOST_PATIENCE)
                    .saturating_sub(began.elapsed());
                if request.is_none() && tickets.len() + 1 < self.usual && !patience.is_zero() {
                    request = self.requests.recv_timeout(patience).ok();
                }
            }
        }
        self.usual = tickets.len();
        if !self.broken && self.engine.wants_cleaning() {
            // What can't be cleaned now is tried again with the next group.
            let _ = self.engine.clean();
        }
        self.commit(&tickets);
        for (token, key) in reads {
            let value = self.engine.get(&key).map_err(|error| error.to_string());
            let _ = self.tell.send(Event::Value { token, value });
        }
        for other in others {
            if matches!(other, Request::Compact)
                && let Err(error) = self.engine.compact()
            {
                self.fails(&error);
            }
            let _ = self.tell.send(Event::Stat(self.engine.stat()));
        }
        (self.work.wake)();
        going
    }

    fn append(&mut self, ticket: Ticket, batch: &Batch, tickets: &mut Vec<Ticket>) {
        if self.broken {
            return self.refuse(ticket, ticket, "the disk takes no writes");
        }
        let changes: Vec<_> = batch.changes().collect();
        match self.engine.append(&changes) {
            Ok(_) => tickets.push(ticket),
            Err(why) => self.refuse(ticket, ticket, &format!("{why:?}")),
        }
    }

    fn refuse(&self, from: Ticket, to: Ticket, why: &str) {
        let _ = self.tell.send(Event::Refused {
            from,
            to,
            why: why.into(),
        });
    }

    fn commit(&mut self, tickets: &[Ticket]) {
        let began = Instant::now();
        let committed = self.engine.commit();
        self.took = (self.took * 7 + began.elapsed()) / 8;
        match (committed, tickets.last()) {
            (Ok(_), Some(last)) => {
                let _ = self.tell.send(Event::Durable(*last));
            }
            (Ok(_), None) => {}
            (Err(error), _) => {
                for ticket in tickets {
                    self.refuse(*ticket, *ticket, &error.to_string());
                }
                self.fails(&error);
            }
        }
    }

    fn fails(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.broken, true) {
            let _ = self.tell.send(Event::Broken(error.to_string()));
        }
    }

    fn probe(&mut self) {
        if self.engine.probe().is_ok() {
            self.broken = false;
            let _ = self.tell.send(Event::Sound);
            (self.work.wake)();
        }
    }
}
