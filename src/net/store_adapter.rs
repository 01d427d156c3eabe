//! The node's hand on the store: it carries out the hub's writes and reads, and tells the hub what became of
//! them. The disk is waited for by the store's own thread.

use super::upstream::worker_list::Kept;
use crate::net::messages::{ClientId, Input, WriteWaiter};
use crate::net::transport::reactor::{Owner, Reactor};
use crate::operator_config::StoreSection;
use postproxy_coordination::StorageChange;
use postproxy_idempotency::{RequestLog, Write, result_key};
use postproxy_store::{Batch, Engine, Event, Options, OsDisk, Recovery, Store, Work};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write as _};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;
use std::time::{Duration, SystemTime};

/// Bytes that may wait for the disk.
const MOST_QUEUED: usize = 16 << 20;
/// The key of the list of workers.
const LIST: &[u8] = b"f/list";
/// The key of the fleet's bans.
const BANS: &[u8] = b"f/bans";
/// What the council's keys begin with: the log, the seat, the starts.
const COUNCIL: [&[u8]; 3] = [b"a/", b"c/", b"s/"];
/// How long after a failure the disk is tried again.
const AGAIN: Duration = Duration::from_millis(500);

fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// What a store holds that is not the ledger's: the list of workers, the fleet's bans, what the nodes decide together.
#[derive(Default)]
pub struct RecoveredState {
    /// The list of workers.
    pub list: Option<Kept>,
    /// The fleet's bans.
    pub bans: Vec<u8>,
    /// Keys and values of the council's.
    pub council: Vec<(Vec<u8>, Vec<u8>)>,
}

/// The store of a running node.
pub struct StoreAdapter {
    store: Store,
    events: Receiver<Event>,
    woken: UnixStream,
    pending: Arc<AtomicBool>,
    key: usize,
    /// What waits for its write, in the order of the tickets.
    waiting: VecDeque<(u64, WriteWaiter)>,
    reads: HashMap<u64, ClientId>,
    next_read: u64,
    /// Writes of the list of workers and of the fleet's bans that are on their way.
    keeps: VecDeque<u64>,
    /// One of them was refused.
    unkept: bool,
    /// The council's write on its way.
    council: Option<u64>,
}

/// Opens the store of a section, with one folder or two.
///
/// # Errors
///
/// In plain words.
pub fn open(section: &StoreSection, holder: &str) -> Result<(Engine<OsDisk>, Recovery), String> {
    let folders = std::iter::once(&section.folder).chain(section.mirror.as_ref());
    let delay = Duration::from_millis(section.sync_delay_ms);
    let disks: Result<Vec<OsDisk>, String> = folders
        .map(|folder| {
            let disk =
                OsDisk::new(Path::new(folder)).map_err(|error| format!("store: {folder}: {error}"));
            let disk = disk?.slowed(delay);
            Ok(match &section.trouble_file {
                Some(file) => disk.troubled(Path::new(file)),
                None => disk,
            })
        })
        .collect();
    let options = Options {
        segment: section.segment_mb.max(1) << 20,
        most: section.most_mb << 20,
        ..Options::default()
    };
    // The store's own number only has to differ from those of other stores.
    let fresh = unix_ms() << 20 | u64::from(std::process::id());
    Engine::open(disks?, options, holder, fresh, unix_ms())
        .map_err(|error| format!("store: {error}"))
}

impl StoreAdapter {
    /// Opens the store, reads what it holds, which may be the list of workers and the fleet's bans, too, and starts
    /// its thread.
    ///
    /// # Errors
    ///
    /// In plain words.
    pub fn start(
        reactor: &mut Reactor,
        section: &StoreSection,
        name: &str,
    ) -> Result<(Self, RequestLog, RecoveredState), String> {
        let holder = format!("process {} (node {name})", std::process::id());
        let (mut engine, recovery) = open(section, &holder)?;
        let mut ledger = RequestLog::new(section.limits());
        let mut found = RecoveredState::default();
        engine
            .scan(|key, value| {
                if key == LIST {
                    found.list = Kept::from_json(value);
                } else if key == BANS {
                    found.bans = value.to_vec();
                } else if COUNCIL.iter().any(|of| key.starts_with(of)) {
                    found.council.push((key.to_vec(), value.to_vec()));
                } else {
                    ledger.load(key, value);
                }
            })
            .map_err(|error| format!("store: {error}"))?;
        tracing::info!(
            folder = section.folder,
            segments = recovery.segments,
            records = recovery.live,
            bytes = recovery.bytes,
            torn_bytes = recovery.torn,
            in_doubt = ledger.in_doubt(),
            "the store is recovered"
        );
        for lost in &recovery.lost {
            tracing::error!(
                segment = lost.segment,
                from = lost.from,
                to = lost.to,
                "records are lost"
            );
        }
        for file in &recovery.repaired {
            tracing::warn!(file, "made whole from its copy");
        }
        let (woken, waker) = UnixStream::pair().map_err(|error| format!("store: {error}"))?;
        let nonblocking = woken
            .set_nonblocking(true)
            .and_then(|()| waker.set_nonblocking(true));
        nonblocking.map_err(|error| format!("store: {error}"))?;
        let key = reactor
            .register(&woken, Owner::Store)
            .map_err(|error| format!("store: {error}"))?;
        reactor.rearm(&woken, key, (true, false));
        let pending = Arc::new(AtomicBool::new(false));
        let told = pending.clone();
        let wake = move || {
            if !told.swap(true, Ordering::AcqRel) {
                // A full pipe wakes as well as a byte more.
                let _ = (&waker).write(&[1]);
            }
        };
        let work = Work {
            most_queued: MOST_QUEUED,
            again: AGAIN,
            clock: Box::new(unix_ms),
            wake: Box::new(wake),
        };
        let (store, events) =
            Store::start(engine, work).map_err(|error| format!("store: {error}"))?;
        let (waiting, reads) = (VecDeque::new(), HashMap::new());
        let keeper = Self {
            store,
            events,
            woken,
            pending,
            key,
            waiting,
            reads,
            next_read: 0,
            keeps: VecDeque::new(),
            unkept: false,
            council: None,
        };
        Ok((keeper, ledger, found))
    }

    /// Has changes written together; what waits for them is told later, through the queue.
    pub fn write(&mut self, reactor: &mut Reactor, writes: Vec<Write>, wait: WriteWaiter) {
        let batch = writes
            .into_iter()
            .fold(Batch::new(), |batch, write| match write {
                Write::Put { key, value, until } => batch.put(&key, &value, until),
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

    /// Whether a list or bans that were to be kept were refused since this was last asked: they are to be given again.
    pub fn has_failed_snapshots(&mut self) -> bool {
        std::mem::take(&mut self.unkept)
    }

    /// Keeps the list of workers.
    pub fn save_worker_list(&mut self, list: &[u8]) {
        self.keep(LIST, list);
    }

    /// Keeps the fleet's bans.
    pub fn save_suspensions(&mut self, bans: &[u8]) {
        self.keep(BANS, bans);
    }

    /// Writes what the council wants written: one batch at a time. `false` if it is refused at once.
    pub fn write_coordination_records(&mut self, changes: &[StorageChange]) -> bool {
        let batch = changes
            .iter()
            .fold(Batch::new(), |batch, change| match &change.value {
                Some(value) => batch.put(&change.key, value, 0),
                None => batch.delete(&change.key),
            });
        let ticket = self.store.append(batch).ok();
        if let Some(ticket) = ticket {
            self.waiting.push_back((
                ticket,
                WriteWaiter::NoWaiter {
                    request_id: String::new(),
                },
            ));
            self.council = Some(ticket);
        }
        ticket.is_some()
    }

    fn keep(&mut self, key: &[u8], value: &[u8]) {
        match self.store.append(Batch::new().put(key, value, 0)) {
            Ok(ticket) => {
                self.waiting.push_back((
                    ticket,
                    WriteWaiter::NoWaiter {
                        request_id: String::new(),
                    },
                ));
                self.keeps.push_back(ticket);
            }
            Err(_) => self.unkept = true,
        }
    }

    /// Has the result of a job read.
    pub fn read_result(&mut self, client: ClientId, id: &str) {
        self.next_read += 1;
        self.reads.insert(self.next_read, client);
        self.store.read(self.next_read, result_key(id));
    }

    /// The store's thread has something to tell; what became of the council's write, if that is known by now.
    pub fn handle_ready(&mut self, reactor: &mut Reactor) -> Option<bool> {
        let mut bytes = [0; 64];
        while self.woken.read(&mut bytes).is_ok_and(|size| size > 0) {}
        // What comes after this wakes again.
        self.pending.store(false, Ordering::Release);
        let mut council = None;
        while let Ok(event) = self.events.try_recv() {
            match &event {
                Event::Durable(last) if self.council.is_some_and(|ticket| ticket <= *last) => {
                    council = Some(true)
                }
                Event::Refused { from, to, .. }
                    if self
                        .council
                        .is_some_and(|ticket| (*from..=*to).contains(&ticket)) =>
                {
                    council = Some(false);
                }
                _ => {}
            }
            self.told(reactor, event);
        }
        if council.is_some() {
            self.council = None;
        }
        reactor.rearm(&self.woken, self.key, (true, false));
        council
    }

    fn told(&mut self, reactor: &mut Reactor, event: Event) {
        match event {
            Event::Durable(last) => {
                while self.keeps.pop_front_if(|ticket| *ticket <= last).is_some() {}
                while let Some((_, wait)) = self.waiting.pop_front_if(|(ticket, _)| *ticket <= last)
                {
                    reactor.queue.push_back(Input::WriteCompleted {
                        waiter: wait,
                        durable: true,
                    });
                }
            }
            Event::Refused { from, to, why } => {
                tracing::debug!(from, to, why, "a write is refused");
                let before = self.keeps.len();
                self.keeps.retain(|ticket| !(from..=to).contains(ticket));
                self.unkept |= self.keeps.len() < before;
                let (refused, rest): (VecDeque<_>, VecDeque<_>) = self
                    .waiting
                    .drain(..)
                    .partition(|(ticket, _)| (from..=to).contains(ticket));
                self.waiting = rest;
                reactor
                    .queue
                    .extend(refused.into_iter().map(|(_, wait)| Input::WriteCompleted {
                        waiter: wait,
                        durable: false,
                    }));
            }
            Event::Value { token, value } => {
                if let Err(error) = &value {
                    tracing::error!(error, "a result can't be read");
                }
                if let Some(client) = self.reads.remove(&token) {
                    reactor.queue.push_back(Input::ResultRead {
                        client,
                        result: value.ok().flatten(),
                    });
                }
            }
            Event::Broken(error) => {
                tracing::error!(
                    error,
                    "the store takes no writes: jobs that must not run twice are refused"
                );
                reactor
                    .queue
                    .push_back(Input::StoreHealthChanged { writable: false });
            }
            Event::Sound => {
                tracing::info!("the store takes writes again");
                reactor
                    .queue
                    .push_back(Input::StoreHealthChanged { writable: true });
            }
            Event::Stat(_) => {}
        }
    }
}
