//! The adapter between the node's event loop and its store: it hands writes and reads to the
//! store's thread, which waits for the disk, and reports what became of them to the request core.

use super::upstream::worker_list::WorkerListSnapshot;
use crate::net::messages::{ClientId, Input, WriteWaiter};
use crate::net::transport::reactor::{Reactor, SocketOwner};
use crate::operator_config::StoreSection;
use postproxy_coordination::StorageChange;
use postproxy_idempotency::{RequestLog, Write, result_key};
use postproxy_store::{Batch, Engine, Event, Options, OsDisk, Recovery, Store, WriterOptions};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write as _};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, SystemTime};

/// The most bytes that may wait for the disk; a write beyond that is rejected at once.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// The store's key of the worker list.
const WORKER_LIST_KEY: &[u8] = b"f/list";
/// The store's key of the suspended workers.
const SUSPENSIONS_KEY: &[u8] = b"f/bans";
/// Prefixes of the coordination service's keys: the replicated log, the voter, the starts.
const COORDINATION_PREFIXES: [&[u8]; 3] = [b"a/", b"c/", b"s/"];
/// How long after a failure the disk is tried again.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// What a store holds beside the request log.
#[derive(Default)]
pub struct RecoveredState {
    /// The worker list.
    pub worker_list: Option<WorkerListSnapshot>,
    /// The suspended workers, as the cluster service encodes them.
    pub suspensions: Vec<u8>,
    /// Keys and values of the coordination service.
    pub coordination_records: Vec<(Vec<u8>, Vec<u8>)>,
}

/// A store that has been opened and recovered.
pub struct StartedStore {
    /// The adapter to the running store.
    pub adapter: StoreAdapter,
    /// The request log as it was stored.
    pub request_log: RequestLog,
    /// All else that was stored.
    pub recovered: RecoveredState,
}

/// Whether the coordination service's write became durable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoordinationWriteOutcome {
    /// It is durable.
    Durable,
    /// The store rejected it; nothing of it is stored.
    Rejected,
}

/// The store of a running node.
pub struct StoreAdapter {
    store: Store,
    events: Receiver<Event>,
    /// Readable when there are events.
    wake_receiver: UnixStream,
    /// Whether the store's thread has made `wake_receiver` readable and it hasn't been read since.
    wake_pending: Arc<AtomicBool>,
    reactor_key: usize,
    /// Who waits for which write, in the order of the tickets.
    waiting: VecDeque<(u64, WriteWaiter)>,
    /// The clients that wait for the result of a read.
    reads: HashMap<u64, ClientId>,
    last_read: u64,
    /// Writes of the worker list and the suspended workers on their way.
    snapshot_writes: VecDeque<u64>,
    /// One of these was rejected.
    snapshot_write_failed: bool,
    /// The coordination service's write on its way.
    coordination_write: Option<u64>,
}

/// Opens the store of a section, which has one folder or two.
///
/// # Errors
///
/// A message for the operator, which begins with `store:`.
pub fn open(section: &StoreSection, holder: &str) -> Result<(Engine<OsDisk>, Recovery), String> {
    let folders = std::iter::once(&section.folder).chain(section.mirror.as_ref());
    let disks = folders
        .map(|folder| open_disk(section, folder))
        .collect::<Result<Vec<OsDisk>, String>>()?;
    let options = Options {
        segment_bytes: section.segment_mb.max(1) << 20,
        max_bytes: section.most_mb << 20,
        ..Options::default()
    };
    // The id of a new store only has to differ from those of other stores.
    let new_store_id = unix_ms() << 20 | u64::from(std::process::id());
    Engine::open(disks, options, holder, new_store_id, unix_ms()).map_err(store_error)
}

fn open_disk(section: &StoreSection, folder: &str) -> Result<OsDisk, String> {
    let delay = Duration::from_millis(section.sync_delay_ms);
    let disk = OsDisk::new(Path::new(folder))
        .map_err(|error| format!("store: {folder}: {error}"))?
        .with_sync_delay(delay);
    Ok(match &section.trouble_file {
        Some(file) => disk.with_fault_file(Path::new(file)),
        None => disk,
    })
}

fn store_error(error: impl std::fmt::Display) -> String {
    format!("store: {error}")
}

/// Reads all that the store holds.
fn recover(
    engine: &mut Engine<OsDisk>,
    section: &StoreSection,
) -> Result<(RequestLog, RecoveredState), String> {
    let mut request_log = RequestLog::new(section.limits());
    let mut recovered = RecoveredState::default();
    engine
        .scan(|key, value| {
            if key == WORKER_LIST_KEY {
                recovered.worker_list = WorkerListSnapshot::from_json(value);
            } else if key == SUSPENSIONS_KEY {
                recovered.suspensions = value.to_vec();
            } else if COORDINATION_PREFIXES
                .iter()
                .any(|prefix| key.starts_with(prefix))
            {
                let record = (key.to_vec(), value.to_vec());
                recovered.coordination_records.push(record);
            } else {
                request_log.load_record(key, value);
            }
        })
        .map_err(store_error)?;
    Ok((request_log, recovered))
}

fn log_recovery(folder: &str, recovery: &Recovery, in_doubt: usize) {
    tracing::info!(
        folder,
        segments = recovery.segments,
        records = recovery.live_keys,
        bytes = recovery.file_bytes,
        torn_bytes = recovery.torn_bytes,
        in_doubt,
        "store recovered"
    );
    for lost in &recovery.lost {
        tracing::error!(
            segment = lost.segment,
            from = lost.first_seq,
            to = lost.last_seq,
            "stored records lost"
        );
    }
    for file in &recovery.repaired {
        tracing::warn!(file, "store file repaired from its mirror");
    }
}

/// Returns a pair of connected streams that don't block.
fn wake_pair() -> std::io::Result<(UnixStream, UnixStream)> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    sender.set_nonblocking(true)?;
    Ok((receiver, sender))
}

impl StoreAdapter {
    /// Opens the store, reads what it holds, and starts its thread.
    ///
    /// # Errors
    ///
    /// A message for the operator, which begins with `store:`.
    pub fn start(
        reactor: &mut Reactor,
        section: &StoreSection,
        node_name: &str,
    ) -> Result<StartedStore, String> {
        let holder = format!("process {} (node {node_name})", std::process::id());
        let (mut engine, recovery) = open(section, &holder)?;
        let (request_log, recovered) = recover(&mut engine, section)?;
        log_recovery(&section.folder, &recovery, request_log.in_doubt_count());
        let (wake_receiver, wake_sender) = wake_pair().map_err(store_error)?;
        let reactor_key = reactor
            .register(&wake_receiver, SocketOwner::Store)
            .map_err(store_error)?;
        reactor.rearm(&wake_receiver, reactor_key, (true, false));
        let wake_pending = Arc::new(AtomicBool::new(false));
        let is_pending = wake_pending.clone();
        let wake = move || {
            if !is_pending.swap(true, Ordering::AcqRel) {
                // If the pipe is full, the event loop wakes anyway.
                let _ = (&wake_sender).write(&[1]);
            }
        };
        let work = WriterOptions {
            max_queued_bytes: MAX_QUEUED_BYTES,
            retry_interval: DISK_RETRY_INTERVAL,
            clock: Box::new(unix_ms),
            wake: Box::new(wake),
        };
        let (store, events) = Store::start(engine, work).map_err(store_error)?;
        let adapter = Self {
            store,
            events,
            wake_receiver,
            wake_pending,
            reactor_key,
            waiting: VecDeque::new(),
            reads: HashMap::new(),
            last_read: 0,
            snapshot_writes: VecDeque::new(),
            snapshot_write_failed: false,
            coordination_write: None,
        };
        Ok(StartedStore {
            adapter,
            request_log,
            recovered,
        })
    }

    /// Writes these changes together. Their outcome comes later as [`Input::WriteCompleted`].
    pub fn write(&mut self, reactor: &mut Reactor, writes: Vec<Write>, wait: WriteWaiter) {
        let batch = writes
            .into_iter()
            .fold(Batch::new(), |batch, write| match write {
                Write::Put {
                    key,
                    value,
                    expires_at_ms,
                } => batch.put(&key, &value, expires_at_ms),
                Write::Delete { key } => batch.delete(&key),
            });
        match self.store.append(batch) {
            Ok(ticket) => self.waiting.push_back((ticket, wait)),
            Err(_) => reactor.queue.push_back(Input::WriteCompleted {
                waiter: wait,
                durable: false,
            }),
        }
    }

    /// Whether a write of the worker list or the suspended workers was rejected since the last
    /// call: both are to be saved again.
    pub fn has_failed_snapshots(&mut self) -> bool {
        std::mem::take(&mut self.snapshot_write_failed)
    }

    /// Saves the worker list.
    pub fn save_worker_list(&mut self, worker_list: &[u8]) {
        self.save_snapshot(WORKER_LIST_KEY, worker_list);
    }

    /// Saves the suspended workers.
    pub fn save_suspensions(&mut self, suspensions: &[u8]) {
        self.save_snapshot(SUSPENSIONS_KEY, suspensions);
    }

    fn save_snapshot(&mut self, key: &[u8], value: &[u8]) {
        match self.store.append(Batch::new().put(key, value, 0)) {
            Ok(ticket) => {
                self.waiting.push_back((
                    ticket,
                    WriteWaiter::NoWaiter {
                        request_id: String::new(),
                    },
                ));
                self.snapshot_writes.push_back(ticket);
            }
            Err(_) => self.snapshot_write_failed = true,
        }
    }

    /// Writes the coordination service's changes together; only one such write may be on its way.
    /// Returns `false` if it is rejected at once.
    pub fn write_coordination_records(&mut self, changes: &[StorageChange]) -> bool {
        let batch = changes
            .iter()
            .fold(Batch::new(), |batch, change| match &change.value {
                Some(value) => batch.put(&change.key, value, 0),
                None => batch.delete(&change.key),
            });
        let Ok(ticket) = self.store.append(batch) else {
            return false;
        };
        self.waiting.push_back((
            ticket,
            WriteWaiter::NoWaiter {
                request_id: String::new(),
            },
        ));
        self.coordination_write = Some(ticket);
        true
    }

    /// Reads the stored result of a request. It comes later as [`Input::ResultRead`].
    pub fn read_result(&mut self, client: ClientId, id: &str) {
        self.last_read += 1;
        self.reads.insert(self.last_read, client);
        self.store.read(self.last_read, result_key(id));
    }

    /// Handles the events of the store's thread. Returns the outcome of the coordination service's
    /// write if it is among them.
    pub fn handle_ready(&mut self, reactor: &mut Reactor) -> Option<CoordinationWriteOutcome> {
        let mut bytes = [0; 64];
        while self
            .wake_receiver
            .read(&mut bytes)
            .is_ok_and(|size| size > 0)
        {}
        // Reset before the events are read: one that comes after this wakes the loop again.
        self.wake_pending.store(false, Ordering::Release);
        let mut outcome = None;
        while let Ok(event) = self.events.try_recv() {
            outcome = self.coordination_write_outcome(&event).or(outcome);
            self.handle_event(reactor, event);
        }
        if outcome.is_some() {
            self.coordination_write = None;
        }
        reactor.rearm(&self.wake_receiver, self.reactor_key, (true, false));
        outcome
    }

    /// Returns what the event says of the coordination service's write.
    fn coordination_write_outcome(&self, event: &Event) -> Option<CoordinationWriteOutcome> {
        let ticket = self.coordination_write?;
        match event {
            Event::Durable(last) if ticket <= *last => Some(CoordinationWriteOutcome::Durable),
            Event::Rejected { from, to, .. } if (*from..=*to).contains(&ticket) => {
                Some(CoordinationWriteOutcome::Rejected)
            }
            _ => None,
        }
    }

    fn handle_event(&mut self, reactor: &mut Reactor, event: Event) {
        match event {
            Event::Durable(last) => self.handle_durable(reactor, last),
            Event::Rejected { from, to, reason } => {
                tracing::debug!(from, to, why = reason, "store write rejected");
                self.handle_rejected(reactor, from, to);
            }
            Event::Value { token, value } => self.handle_value(reactor, token, value),
            Event::WritesFailed(error) => {
                tracing::error!(
                    error,
                    "store not writable: requests that must not run twice are rejected"
                );
                reactor
                    .queue
                    .push_back(Input::StoreHealthChanged { writable: false });
            }
            Event::WritesRecovered => {
                tracing::info!("store writable again");
                reactor
                    .queue
                    .push_back(Input::StoreHealthChanged { writable: true });
            }
            Event::Statistics(_) => {}
        }
    }

    /// Handles that all writes up to the ticket `last` are durable, but for those rejected before.
    fn handle_durable(&mut self, reactor: &mut Reactor, last: u64) {
        while self
            .snapshot_writes
            .pop_front_if(|ticket| *ticket <= last)
            .is_some()
        {}
        while let Some((_, waiter)) = self.waiting.pop_front_if(|(ticket, _)| *ticket <= last) {
            reactor.queue.push_back(Input::WriteCompleted {
                waiter,
                durable: true,
            });
        }
    }

    /// Handles that the writes with these tickets were rejected.
    fn handle_rejected(&mut self, reactor: &mut Reactor, first: u64, last: u64) {
        let rejected = first..=last;
        let snapshot_writes_before = self.snapshot_writes.len();
        self.snapshot_writes
            .retain(|ticket| !rejected.contains(ticket));
        self.snapshot_write_failed |= self.snapshot_writes.len() < snapshot_writes_before;
        let (failed, remaining): (VecDeque<_>, VecDeque<_>) = self
            .waiting
            .drain(..)
            .partition(|(ticket, _)| rejected.contains(ticket));
        self.waiting = remaining;
        for (_, waiter) in failed {
            reactor.queue.push_back(Input::WriteCompleted {
                waiter,
                durable: false,
            });
        }
    }

    /// Handles the value that was read under this number.
    fn handle_value(
        &mut self,
        reactor: &mut Reactor,
        read: u64,
        value: Result<Option<Vec<u8>>, String>,
    ) {
        if let Err(error) = &value {
            tracing::error!(error, "stored result unreadable");
        }
        if let Some(client) = self.reads.remove(&read) {
            reactor.queue.push_back(Input::ResultRead {
                client,
                result: value.ok().flatten(),
            });
        }
    }
}
