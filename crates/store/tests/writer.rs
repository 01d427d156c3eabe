//! The store behind its queues: order of acknowledgements, failures and their end, a disk that hangs.

use postproxy_store::sim::{Faults, SimDisk, SimFile, SimLock};
use postproxy_store::{Batch, Disk, Engine, Event, File, Options, QueueFull, Store, WriterOptions};
use std::io;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(20);

/// A disk whose syncs wait while the gate is shut.
#[derive(Clone)]
struct Gated(SimDisk, Arc<(Mutex<bool>, Condvar)>);

struct GatedFile(SimFile, Arc<(Mutex<bool>, Condvar)>);

impl Gated {
    fn shut(&self, shut: bool) {
        *self.1.0.lock().expect("a lock") = shut;
        self.1.1.notify_all();
    }
}

impl Disk for Gated {
    type File = GatedFile;
    type Lock = SimLock;
    fn list(&self) -> io::Result<Vec<String>> {
        self.0.list()
    }
    fn create(&self, name: &str) -> io::Result<GatedFile> {
        Ok(GatedFile(self.0.create(name)?, self.1.clone()))
    }
    fn open(&self, name: &str) -> io::Result<GatedFile> {
        Ok(GatedFile(self.0.open(name)?, self.1.clone()))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }
    fn sync_folder(&self) -> io::Result<()> {
        self.0.sync_folder()
    }
    fn lock(&self, holder: &str) -> io::Result<SimLock> {
        self.0.lock(holder)
    }
    fn name(&self) -> String {
        self.0.name()
    }
}

impl File for GatedFile {
    fn size(&self) -> io::Result<u64> {
        self.0.size()
    }
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.0.read_at(at, into)
    }
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_at(at, bytes)
    }
    fn truncate(&self, size: u64) -> io::Result<()> {
        self.0.truncate(size)
    }
    fn sync(&self) -> io::Result<()> {
        let shut = self.1.0.lock().expect("a lock");
        drop(self.1.1.wait_while(shut, |shut| *shut).expect("a lock"));
        self.0.sync()
    }
}

fn start(disk: &Gated, most_queued: usize) -> (Store, Receiver<Event>) {
    let options = Options {
        segment_bytes: 4096,
        ..Options::default()
    };
    let (engine, _) = Engine::open(vec![disk.clone()], options, "a test", 7, 0).expect("a store");
    let work = WriterOptions {
        max_queued_bytes: most_queued,
        retry_interval: Duration::from_millis(2),
        clock: Box::new(|| 1),
        wake: Box::new(|| {}),
    };
    Store::start(engine, work).expect("a thread")
}

fn disk(faults: Faults) -> Gated {
    Gated(SimDisk::new(faults, 1), Arc::default())
}

fn batch(n: u64) -> Batch {
    Batch::new().put(&n.to_be_bytes(), &[1; 100], 0)
}

/// Guards against an acknowledgement that comes before its sync, out of order, or never; against an append
/// that waits for a disk which hangs, or a queue without a bound.
#[test]
fn a_disk_that_hangs_holds_up_nobody() {
    let disk = disk(Faults::default());
    disk.shut(true);
    let (mut store, events) = start(&disk, 20_000);
    let (mut taken, mut last) = (0, 0);
    // More than the queue holds: had an append to wait, this would not end.
    for n in 1..=400 {
        let ticket = store.append(batch(n));
        if ticket != Err(QueueFull) {
            (taken, last) = (taken + 1, n);
            assert_eq!(ticket, Ok(taken));
        }
    }
    assert!((100..400).contains(&taken), "{taken} taken");
    assert!(events.try_recv().is_err(), "nothing is durable");
    disk.shut(false);
    let mut durable = 0;
    while durable < taken {
        match events.recv_timeout(LIMIT).expect("an event") {
            Event::Durable(ticket) => {
                assert!(ticket > durable);
                durable = ticket;
            }
            other => panic!("{other:?}"),
        }
    }
    store.read(9, last.to_be_bytes().to_vec());
    match events.recv_timeout(LIMIT).expect("an event") {
        Event::Value {
            token: 9,
            value: Ok(Some(value)),
        } => assert_eq!(value, [1; 100]),
        other => panic!("{other:?}"),
    }
    assert_eq!(store.queued_bytes(), 0);
}

/// Guards against a disk without room that is told as anything but refusals, against silence when it has room
/// again, and against an end that loses what was taken.
#[test]
fn a_broken_disk_refuses_until_it_is_sound() {
    let disk = disk(Faults {
        capacity: Some(0),
        ..Faults::default()
    });
    let (mut store, events) = start(&disk, 1 << 20);
    store.append(batch(1)).expect("it is taken");
    let (mut refused, mut broken) = (false, false);
    while !(refused && broken) {
        match events.recv_timeout(LIMIT).expect("an event") {
            Event::Rejected {
                from: 1,
                to: 1,
                why,
            } => refused = !why.is_empty(),
            Event::WritesFailed(_) => broken = true,
            other => panic!("{other:?}"),
        }
    }
    store.append(batch(2)).expect("it is taken");
    assert!(matches!(
        events.recv_timeout(LIMIT),
        Ok(Event::Rejected { from: 2, to: 2, .. })
    ));
    disk.0.set_faults(|faults| faults.capacity = None);
    assert!(matches!(
        events.recv_timeout(LIMIT),
        Ok(Event::WritesRecovered)
    ));
    for n in 3..200 {
        store.append(batch(n)).expect("it is taken");
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
        vec![disk.0.after_crash()],
        Options::default(),
        "a test",
        7,
        0,
    )
    .expect("a store");
    assert_eq!(
        (engine.statistics().live_keys, recovery.lost.len()),
        (197, 0)
    );
}
