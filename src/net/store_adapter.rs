//! The adapter between the node's event loop and its store: it passes writes and reads to the
//! store's thread, which blocks on the disk, and queues their outcomes as inputs of the event loop.

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

/// Maximum number of bytes queued for the disk. A write beyond it is rejected at once.
const MAX_QUEUED_BYTES: usize = 16 << 20;
/// Key of the worker list in the store.
const WORKER_LIST_KEY: &[u8] = b"f/list";
/// Key of the suspended workers in the store.
const SUSPENSIONS_KEY: &[u8] = b"f/bans";
/// Prefixes of the coordination service's keys: the replicated log, the replica's number, and the
/// latest starts of the voters.
const COORDINATION_PREFIXES: [&[u8]; 3] = [b"a/", b"c/", b"s/"];
/// How long after a failed write the disk is probed again.
const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(500);

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// The content of a store, except for the request log.
#[derive(Default)]
pub struct RecoveredState {
    /// The worker list.
    pub worker_list: Option<WorkerListSnapshot>,
    /// The suspended workers, as the cluster service encodes them.
    pub suspensions: Vec<u8>,
    /// Keys and values of the coordination service's records.
    pub coordination_records: Vec<(Vec<u8>, Vec<u8>)>,
}

/// A store that has been opened and recovered.
pub struct StartedStore {
    /// The adapter to the running store.
    pub adapter: StoreAdapter,
    /// The recovered request log.
    pub request_log: RequestLog,
    /// The rest of the recovered content.
    pub recovered: RecoveredState,
}

/// The outcome of the coordination service's write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CoordinationWriteOutcome {
    /// The write is durable.
    Durable,
    /// The store rejected the write, which has no effect.
    Rejected,
}

/// The store of a running node.
pub struct StoreAdapter {
    store: Store,
    events: Receiver<Event>,
    /// Becomes readable when the store's thread has queued events.
    wake_receiver: UnixStream,
    /// Whether the store's thread has made `wake_receiver` readable and the event loop has not read
    /// it since.
    wake_pending: Arc<AtomicBool>,
    reactor_key: usize,
    /// The tickets of pending writes with what waits for them, in ascending order.
    write_waiters: VecDeque<(u64, WriteWaiter)>,
    /// The clients that wait for a stored result, by the token of the read.
    read_clients: HashMap<u64, ClientId>,
    last_read_token: u64,
    /// Tickets of pending writes of the worker list and the suspended workers.
    snapshot_writes: VecDeque<u64>,
    /// Whether such a write was rejected and has not been reported yet.
    snapshot_write_failed: bool,
    /// Ticket of the pending write of the coordination service.
    coordination_write: Option<u64>,
}

/// Opens the store that a section of the operator's file configures, in one folder or, with a
/// mirror, in two.
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
    // The id only has to be different from those of other stores.
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

/// Reads the whole content of the store.
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

/// Returns a pair of connected, non-blocking sockets.
fn wake_pair() -> std::io::Result<(UnixStream, UnixStream)> {
    let (receiver, sender) = UnixStream::pair()?;
    receiver.set_nonblocking(true)?;
    sender.set_nonblocking(true)?;
    Ok((receiver, sender))
}

impl StoreAdapter {
    /// Opens the store, reads its content, and starts its thread.
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
        let sender_wake_pending = wake_pending.clone();
        let wake = move || {
            if !sender_wake_pending.swap(true, Ordering::AcqRel) {
                // If the socket's buffer is full, the event loop will wake up anyway.
                let _ = (&wake_sender).write(&[1]);
            }
        };
        let writer_options = WriterOptions {
            max_queued_bytes: MAX_QUEUED_BYTES,
            retry_interval: DISK_RETRY_INTERVAL,
            clock: Box::new(unix_ms),
            wake: Box::new(wake),
        };
        let (store, events) = Store::start(engine, writer_options).map_err(store_error)?;
        let adapter = Self {
            store,
            events,
            wake_receiver,
            wake_pending,
            reactor_key,
            write_waiters: VecDeque::new(),
            read_clients: HashMap::new(),
            last_read_token: 0,
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

    /// Writes these changes atomically. [`Input::WriteCompleted`] reports the outcome to `waiter`.
    pub fn write(&mut self, reactor: &mut Reactor, writes: Vec<Write>, waiter: WriteWaiter) {
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
            Ok(ticket) => self.write_waiters.push_back((ticket, waiter)),
            Err(_) => reactor.queue.push_back(Input::WriteCompleted {
                waiter,
                durable: false,
            }),
        }
    }

    /// Returns whether a write of the worker list or the suspended workers was rejected since the
    /// last call. Both must then be saved again.
    pub fn take_snapshot_write_failure(&mut self) -> bool {
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
                self.write_waiters.push_back((
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

    /// Writes the coordination service's changes atomically. Only one such write may be pending at
    /// a time. Returns `false` if it is rejected at once.
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
        self.write_waiters.push_back((
            ticket,
            WriteWaiter::NoWaiter {
                request_id: String::new(),
            },
        ));
        self.coordination_write = Some(ticket);
        true
    }

    /// Reads the stored result of a request for a client. [`Input::ResultRead`] reports it.
    pub fn read_result(&mut self, client: ClientId, id: &str) {
        self.last_read_token += 1;
        self.read_clients.insert(self.last_read_token, client);
        self.store.read(self.last_read_token, result_key(id));
    }

    /// Handles the events of the store's thread. Returns the outcome of the coordination service's
    /// pending write if an event reports it.
    pub fn handle_ready(&mut self, reactor: &mut Reactor) -> Option<CoordinationWriteOutcome> {
        let mut bytes = [0; 64];
        while self
            .wake_receiver
            .read(&mut bytes)
            .is_ok_and(|size| size > 0)
        {}
        // Reset before the events are taken, so that any later event wakes the event loop again.
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

    /// Returns the outcome of the coordination service's pending write if this event reports it.
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

    /// Handles that all writes up to the ticket `last` are durable, except for those rejected
    /// earlier.
    fn handle_durable(&mut self, reactor: &mut Reactor, last: u64) {
        while self
            .snapshot_writes
            .pop_front_if(|ticket| *ticket <= last)
            .is_some()
        {}
        while let Some((_, waiter)) = self
            .write_waiters
            .pop_front_if(|(ticket, _)| *ticket <= last)
        {
            reactor.queue.push_back(Input::WriteCompleted {
                waiter,
                durable: true,
            });
        }
    }

    /// Handles the rejection of the writes with the tickets from `first` to `last`.
    fn handle_rejected(&mut self, reactor: &mut Reactor, first: u64, last: u64) {
        let rejected = first..=last;
        let snapshot_writes_before = self.snapshot_writes.len();
        self.snapshot_writes
            .retain(|ticket| !rejected.contains(ticket));
        self.snapshot_write_failed |= self.snapshot_writes.len() < snapshot_writes_before;
        let (failed, remaining): (VecDeque<_>, VecDeque<_>) = self
            .write_waiters
            .drain(..)
            .partition(|(ticket, _)| rejected.contains(ticket));
        self.write_waiters = remaining;
        for (_, waiter) in failed {
            reactor.queue.push_back(Input::WriteCompleted {
                waiter,
                durable: false,
            });
        }
    }

    /// Handles the result of the read with this token.
    fn handle_value(
        &mut self,
        reactor: &mut Reactor,
        token: u64,
        value: Result<Option<Vec<u8>>, String>,
    ) {
        if let Err(error) = &value {
            tracing::error!(error, "stored result unreadable");
        }
        if let Some(client) = self.read_clients.remove(&token) {
            reactor.queue.push_back(Input::ResultRead {
                client,
                result: value.ok().flatten(),
            });
        }
    }
}
