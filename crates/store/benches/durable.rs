//! Benchmarks of the store: durable records per second and their latency, compared with redb and
//! fjall in the same run; recovery time; space amplification.
//!
//!     cargo bench -p postproxy-store            # full run, takes some minutes
//!     cargo bench -p postproxy-store -- quick   # about a tenth of that
//!
//! Each store has a fixed number of records outstanding: when one is acknowledged, the next is
//! appended. redb and fjall are used in the way that is fastest for them: all outstanding records
//! are written in one transaction, which is made durable at its end.

use fjall::{Database, KeyspaceCreateOptions, PersistMode};
use hdrhistogram::Histogram;
use postproxy_store::{Batch, Engine, Event, Options, OsDisk, Store, WriterOptions};
use redb::ReadableDatabase;
use std::path::Path;
use std::time::{Duration, Instant};

/// The value of each record.
const VALUE: [u8; 128] = [7; 128];

fn key(n: u64) -> [u8; 24] {
    let mut key = [0; 24];
    key[..8].copy_from_slice(&n.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    key[16..].copy_from_slice(&n.to_be_bytes());
    key
}

/// One row of the first table.
struct Row {
    name: &'static str,
    outstanding: usize,
    rate: f64,
    latency: Histogram<u64>,
}

impl Row {
    fn print(&self) {
        let at = |q| self.latency.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {} | {} | {:.0} | {:.2} | {:.2} |",
            self.name,
            self.outstanding,
            self.rate,
            at(0.5),
            at(0.99)
        );
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("create a histogram")
}

fn engine(folder: &Path) -> Engine<OsDisk> {
    let disk = OsDisk::new(folder).expect("open the folder");
    Engine::open(vec![disk], Options::default(), "a bench", 1, 0)
        .expect("open the store")
        .0
}

/// Appends records to the store for this time.
fn postproxy_store(folder: &Path, outstanding: usize, time: Duration) -> Row {
    let options = WriterOptions {
        max_queued_bytes: 64 << 20,
        retry_interval: Duration::from_secs(1),
        clock: Box::new(|| 0),
        wake: Box::new(|| {}),
    };
    let (mut store, events) = Store::start(engine(folder), options).expect("start the thread");
    let mut sent = Vec::new();
    let mut done = 0usize;
    let mut latency = histogram();
    let start = Instant::now();
    loop {
        while sent.len() - done < outstanding && start.elapsed() < time {
            let n = sent.len() as u64;
            sent.push(Instant::now());
            store
                .append(Batch::new().put(&key(n), &VALUE, 0))
                .expect("append");
        }
        if sent.len() == done {
            break;
        }
        if let Event::Durable(ticket) = events.recv().expect("receive an event") {
            while done < ticket as usize {
                latency
                    .record(sent[done].elapsed().as_micros() as u64)
                    .expect("value in range");
                done += 1;
            }
        }
    }
    Row {
        name: "store",
        outstanding,
        rate: done as f64 / start.elapsed().as_secs_f64(),
        latency,
    }
}

/// Commits groups of `outstanding` records for this time.
fn measure_groups(
    name: &'static str,
    outstanding: usize,
    time: Duration,
    mut commit: impl FnMut(std::ops::Range<u64>),
) -> Row {
    let mut done = 0u64;
    let mut latency = histogram();
    let start = Instant::now();
    while start.elapsed() < time {
        let began = Instant::now();
        commit(done..done + outstanding as u64);
        latency
            .record_n(began.elapsed().as_micros() as u64, outstanding as u64)
            .expect("value in range");
        done += outstanding as u64;
    }
    Row {
        name,
        outstanding,
        rate: done as f64 / start.elapsed().as_secs_f64(),
        latency,
    }
}

fn redb(folder: &Path, outstanding: usize, time: Duration) -> Row {
    const TABLE: redb::TableDefinition<'_, &[u8], &[u8]> = redb::TableDefinition::new("records");
    let database = redb::Database::create(folder.join("redb")).expect("open the database");
    let row = measure_groups("redb", outstanding, time, |range| {
        let transaction = database.begin_write().expect("begin a transaction");
        {
            let mut table = transaction.open_table(TABLE).expect("open the table");
            for n in range {
                table.insert(&key(n)[..], &VALUE[..]).expect("insert");
            }
        }
        transaction.commit().expect("commit");
    });
    let read = database
        .begin_read()
        .expect("begin a transaction")
        .open_table(TABLE)
        .expect("open the table");
    assert!(read.get(&key(0)[..]).expect("read").is_some());
    row
}

fn fjall(folder: &Path, outstanding: usize, time: Duration) -> Row {
    let database = Database::builder(folder).open().expect("open the database");
    let records = database
        .keyspace("records", KeyspaceCreateOptions::default)
        .expect("open the keyspace");
    measure_groups("fjall", outstanding, time, |range| {
        let mut batch = database.batch();
        for n in range {
            batch.insert(&records, key(n), VALUE);
        }
        batch.commit().expect("insert");
        database.persist(PersistMode::SyncData).expect("commit");
    })
}

/// Measures and prints the recovery time of a store with this many records.
fn measure_recovery(records: u64) {
    let folder = tempfile::tempdir_in(target_folder()).expect("create a folder");
    let mut store = engine(folder.path());
    for n in 0..records {
        let key = key(n);
        let value = VALUE;
        store
            .append(&[postproxy_store::Change::Put {
                key: &key,
                value: &value,
                expires_at_ms: 0,
            }])
            .expect("append");
        if n % 4096 == 4095 {
            store.commit().expect("commit");
        }
    }
    store.commit().expect("commit");
    drop(store);
    let start = Instant::now();
    let store = engine(folder.path());
    let seconds = start.elapsed().as_secs_f64();
    let statistics = store.statistics();
    assert_eq!(statistics.live_keys as u64, records);
    let memory = statistics.index_bytes as f64 / records as f64;
    println!(
        "| {records} | {seconds:.2} | {:.2} | {memory:.0} |",
        seconds * 1e6 / records as f64
    );
}

/// Measures and prints space amplification and copied bytes under this many overwrites.
fn measure_space(writes: u64) {
    const KEYS: u64 = 50_000;
    let folder = tempfile::tempdir_in(target_folder()).expect("create a folder");
    let disk = OsDisk::new(folder.path()).expect("open the folder");
    let options = Options {
        segment_bytes: 1 << 20,
        ..Options::default()
    };
    let mut store = Engine::open(vec![disk], options, "a bench", 1, 0)
        .expect("open the store")
        .0;
    let mut random = 1u64;
    let mut max = 0f64;
    let mut sum = 0f64;
    let mut count = 0f64;
    for n in 0..writes {
        random = random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let key = key((random >> 33) % KEYS);
        store
            .append(&[postproxy_store::Change::Put {
                key: &key,
                value: &VALUE,
                expires_at_ms: 0,
            }])
            .expect("append");
        if n % 512 == 511 {
            store.commit().expect("commit");
            while store.needs_compaction() {
                store.compact_step().expect("compact");
                store.commit().expect("commit");
            }
        }
        if n > writes / 2 && n % 512 == 0 {
            let files: u64 = std::fs::read_dir(folder.path())
                .expect("read the folder")
                .filter_map(|entry| entry.ok()?.metadata().ok())
                .map(|data| data.len())
                .sum();
            let ratio = files as f64 / store.statistics().live_bytes as f64;
            (max, sum, count) = (max.max(ratio), sum + ratio, count + 1.0);
        }
    }
    let copied =
        store.statistics().copied_bytes as f64 / (writes * (VALUE.len() as u64 + 24 + 39)) as f64;
    println!(
        "| {writes} | {KEYS} | {:.2} | {max:.2} | {copied:.2} |",
        sum / count
    );
}

/// The folder in which the stores are created.
fn target_folder() -> &'static str {
    env!("CARGO_TARGET_TMPDIR")
}

fn main() {
    let quick = std::env::args().any(|arg| arg == "quick");
    let time = Duration::from_secs_f64(if quick { 0.5 } else { 4.0 });
    println!("| store | outstanding | durable records/s | p50 ms | p99 ms |");
    println!("| --- | --- | --- | --- | --- |");
    for outstanding in [1, 8, 64, 512] {
        // The stores take turns, so that other load on the machine affects all of them.
        for run in [postproxy_store, redb, fjall] {
            let folder = tempfile::tempdir_in(target_folder()).expect("create a folder");
            run(folder.path(), outstanding, time).print();
        }
    }
    println!(
        "\n| live records | recovery s | us per record | index bytes per record, without its key |"
    );
    println!("| --- | --- | --- | --- |");
    let sizes: &[u64] = if quick {
        &[100_000]
    } else {
        &[1_000_000, 10_000_000]
    };
    sizes.iter().for_each(|size| measure_recovery(*size));
    println!(
        "\n| overwrites | keys | file bytes / live bytes, mean | max | bytes copied by compaction / bytes written |"
    );
    println!("| --- | --- | --- | --- | --- |");
    measure_space(if quick { 200_000 } else { 2_000_000 });
}
