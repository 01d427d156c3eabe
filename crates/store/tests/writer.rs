//! The store on its own thread: order of acknowledgements, failures and recovery, and a disk that
//! hangs.

use postproxy_store::sim::{Faults, SimDisk, SimFile, SimLock};
use postproxy_store::{Batch, Disk, Engine, Event, File, Options, QueueFull, Store, WriterOptions};
use std::io;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Maximum time that a test waits for an event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A gate that blocks syncs while it is closed.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn set_closed(&self, closed: bool) {
        *self.0.0.lock().expect("lock the mutex") = closed;
        self.0.1.notify_all();
    }

    fn wait_until_open(&self) {
        let closed = self.0.0.lock().expect("lock the mutex");
        drop(
            self.0
                .1
                .wait_while(closed, |closed| *closed)
                .expect("lock the mutex"),
        );
    }
}

/// A disk whose syncs block while the gate is closed.
#[derive(Clone)]
struct GatedDisk {
    disk: SimDisk,
    gate: Gate,
}

struct GatedFile {
    file: SimFile,
    gate: Gate,
}

impl GatedDisk {
    fn gated(&self, file: SimFile) -> GatedFile {
        GatedFile {
            file,
            gate: self.gate.clone(),
        }
    }
}

impl Disk for GatedDisk {
    type File = GatedFile;
    type Lock = SimLock;
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }
    fn create(&self, name: &str) -> io::Result<GatedFile> {
        Ok(self.gated(self.disk.create(name)?))
    }
    fn open(&self, name: &str) -> io::Result<GatedFile> {
        Ok(self.gated(self.disk.open(name)?))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.disk.sync_folder()
    }
    fn lock(&self, holder: &str) -> io::Result<SimLock> {
        self.disk.lock(holder)
    }
    fn name(&self) -> String {
        self.disk.name()
    }
}

impl File for GatedFile {
    fn size(&self) -> io::Result<u64> {
        self.file.size()
    }
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.file.read_at(at, into)
    }
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.file.write_at(at, bytes)
    }
    fn truncate(&self, size: u64) -> io::Result<()> {
        self.file.truncate(size)
    }
    fn sync(&self) -> io::Result<()> {
        self.gate.wait_until_open();
        self.file.sync()
    }
}

fn start(disk: &GatedDisk, max_queued_bytes: usize) -> (Store, Receiver<Event>) {
    let options = Options {
        segment_bytes: 4096,
        ..Options::default()
    };
    let (engine, _) =
        Engine::open(vec![disk.clone()], options, "a test", 7, 0).expect("open the store");
    let writer_options = WriterOptions {
        max_queued_bytes,
        retry_interval: Duration::from_millis(2),
        clock: Box::new(|| 1),
        wake: Box::new(|| {}),
    };
    Store::start(engine, writer_options).expect("start the thread")
}

fn disk(faults: Faults) -> GatedDisk {
    GatedDisk {
        disk: SimDisk::new(faults, 1),
        gate: Gate::default(),
    }
}

fn batch(n: u64) -> Batch {
    Batch::new().put(&n.to_be_bytes(), &[1; 100], 0)
}

/// Guards against an acknowledgement that comes before its sync, out of order, or never; against an
/// append that blocks while the disk hangs; and against an unbounded queue.
#[test]
fn hanging_disk_does_not_block_appends() {
    let disk = disk(Faults::default());
    disk.gate.set_closed(true);
    let (mut store, events) = start(&disk, 20_000);
    let mut accepted = 0;
    let mut last = 0;
    // More than fits into the queue: if an append blocked, this loop would not end.
    for n in 1..=400 {
        let ticket = store.append(batch(n));
        if ticket != Err(QueueFull) {
            (accepted, last) = (accepted + 1, n);
            assert_eq!(ticket, Ok(accepted));
        }
    }
    assert!((100..400).contains(&accepted), "{accepted} accepted");
    assert!(events.try_recv().is_err(), "an event before the first sync");
    disk.gate.set_closed(false);
    let mut durable = 0;
    while durable < accepted {
        match events
            .recv_timeout(EVENT_TIMEOUT)
            .expect("receive an event")
        {
            Event::Durable(ticket) => {
                assert!(ticket > durable);
                durable = ticket;
            }
            other => panic!("{other:?}"),
        }
    }
    store.read(9, last.to_be_bytes().to_vec());
    match events
        .recv_timeout(EVENT_TIMEOUT)
        .expect("receive an event")
    {
        Event::Value {
            token: 9,
            value: Ok(Some(value)),
        } => assert_eq!(value, [1; 100]),
        other => panic!("{other:?}"),
    }
    assert_eq!(store.queued_bytes(), 0);
}

/// Guards against a full disk that does not lead to rejections, against a missing report when it
/// has room again, and against a stop that loses accepted appends.
#[test]
fn failing_disk_rejects_appends_until_it_recovers() {
    let disk = disk(Faults {
        capacity: Some(0),
        ..Faults::default()
    });
    let (mut store, events) = start(&disk, 1 << 20);
    store.append(batch(1)).expect("append");
    let mut rejected = false;
    let mut writes_failed = false;
    while !(rejected && writes_failed) {
        match events
            .recv_timeout(EVENT_TIMEOUT)
            .expect("receive an event")
        {
            Event::Rejected {
                from: 1,
                to: 1,
                reason,
            } => rejected = !reason.is_empty(),
            Event::WritesFailed(_) => writes_failed = true,
            other => panic!("{other:?}"),
        }
    }
    store.append(batch(2)).expect("append");
    assert!(matches!(
        events.recv_timeout(EVENT_TIMEOUT),
        Ok(Event::Rejected { from: 2, to: 2, .. })
    ));
    disk.disk.set_faults(|faults| faults.capacity = None);
    assert!(matches!(
        events.recv_timeout(EVENT_TIMEOUT),
        Ok(Event::WritesRecovered)
    ));
    for n in 3..200 {
        store.append(batch(n)).expect("append");
    }
    drop(store);
    let last = events.iter().fold(0, |last, event| {
        if let Event::Durable(t) = event {
            t
        } else {
            last
        }
    });
    assert_eq!(last, 199);
    let (engine, recovery) = Engine::open(
        vec![disk.disk.after_crash()],
        Options::default(),
        "a test",
        7,
        0,
    )
    .expect("open the store");
    assert_eq!(
        (engine.statistics().live_keys, recovery.lost.len()),
        (197, 0)
    );
}
