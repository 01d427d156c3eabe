//! `postproxy store`: inspects and compacts a store's files while its node is stopped.

use super::Failure;
use clap::{Args, Subcommand};
use postproxy::net::store_adapter;
use postproxy::operator_config::StoreSection;
use postproxy_idempotency::{AttemptOutcome, RequestRecord, Stage, request_id};
use postproxy_store::{Engine, OsDisk, Recovery};
use std::io::Write;

/// The subcommands of `store`. Their doc comments are the command's help texts.
#[derive(Debug, Subcommand)]
pub enum StoreCommand {
    /// Read every record and report damaged, torn or lost ones; with a mirror, repair them
    Verify(StoreFolders),
    /// Print every record as a JSON object, one per line
    Dump(StoreFolders),
    /// Reclaim the space of records that are no longer live
    Compact(StoreFolders),
    /// Print statistics: records, bytes and segments
    Stat(StoreFolders),
}

/// The folders of the store. The doc comments of the fields are help texts.
#[derive(Args, Debug)]
pub struct StoreFolders {
    /// The store's folder
    dir: String,
    /// The folder of the store's mirror
    #[arg(long, value_name = "DIR")]
    mirror: Option<String>,
}

impl StoreFolders {
    /// Opens and recovers the store as a starting node does. Unlike there, a missing folder is an
    /// error and isn't created.
    fn open(&self) -> Result<(Engine<OsDisk>, Recovery), Failure> {
        if !std::fs::metadata(&self.dir)
            .map_err(|error| format!("{}: {error}", self.dir))?
            .is_dir()
        {
            return Err(format!("{}: not a folder", self.dir).into());
        }
        let section = StoreSection::of(&self.dir, self.mirror.as_deref());
        let holder = format!("process {} (postproxy store)", std::process::id());
        Ok(store_adapter::open(&section, &holder)?)
    }
}

/// Runs a subcommand of `store`.
///
/// # Errors
///
/// If the store can't be opened or read, or `verify` finds records lost.
pub fn run(command: StoreCommand) -> Result<(), Failure> {
    match command {
        StoreCommand::Verify(store) => verify(&store),
        StoreCommand::Dump(store) => dump(&store),
        StoreCommand::Compact(store) => compact(&store),
        StoreCommand::Stat(store) => print_stat(&store),
    }
}

fn compact(store: &StoreFolders) -> Result<(), Failure> {
    let (mut engine, _) = store.open()?;
    let bytes_before = engine.statistics().file_bytes;
    engine.compact()?;
    println!(
        "{bytes_before} bytes before, {} after",
        engine.statistics().file_bytes
    );
    Ok(())
}

fn print_stat(store: &StoreFolders) -> Result<(), Failure> {
    let (engine, recovery) = store.open()?;
    let stat = engine.statistics();
    println!("records      {}", stat.live_keys);
    println!("live bytes   {}", stat.live_bytes);
    println!("file bytes   {}", stat.file_bytes);
    println!("segments     {}", stat.segments);
    println!("index bytes  {} excluding the keys", stat.index_bytes);
    println!("torn bytes   {}", recovery.torn_bytes);
    Ok(())
}

fn verify(store: &StoreFolders) -> Result<(), Failure> {
    let (mut engine, recovery) = store.open()?;
    let mut record_count = 0usize;
    engine.scan(|_, _| record_count += 1)?;
    println!(
        "{record_count} records in {} segments, {} bytes",
        recovery.segments, recovery.file_bytes
    );
    if recovery.torn_bytes > 0 {
        println!(
            "{} torn bytes after the last record, never acknowledged",
            recovery.torn_bytes
        );
    }
    recovery
        .repaired
        .iter()
        .for_each(|file| println!("{file}: repaired from its copy"));
    for lost in &recovery.lost {
        println!(
            "segment {:x}: frames {} to {} are lost",
            lost.segment, lost.first_seq, lost.last_seq
        );
    }
    for segment in engine.damaged_segments() {
        println!("segment {segment:x}: damaged");
    }
    if recovery.lost.is_empty() && engine.damaged_segments().is_empty() {
        return Ok(());
    }
    Err(format!("{}: acknowledged records are lost", store.dir).into())
}

/// Returns the word for an attempt's outcome in the output of `dump`. Scripts read the words, so
/// they must not change.
fn outcome_word(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::InFlight => "Out",
        AttemptOutcome::NeverRan => "NeverRan",
        AttemptOutcome::MayHaveRun => "MayHaveRun",
    }
}

/// Returns the word for a request's stage in the output of `dump`. Scripts read the words, so they
/// must not change.
fn stage_word(stage: Stage) -> &'static str {
    match stage {
        Stage::Pending => "Open",
        Stage::Served {
            result_stored: true,
        } => "Served(true)",
        Stage::Served {
            result_stored: false,
        } => "Served(false)",
        Stage::Failed => "Failed",
    }
}

/// Returns the JSON object that `dump` prints for a record of the request log.
fn request_json(id: &str, record: &RequestRecord) -> serde_json::Value {
    let digest: String = record
        .digest
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let attempts: Vec<_> = record
        .attempts
        .iter()
        .map(|attempt| {
            serde_json::json!({
                "worker": attempt.worker,
                "fate": outcome_word(attempt.outcome),
            })
        })
        .collect();
    serde_json::json!({
        "job": id,
        "class": record.class,
        "key": record.idempotency_key,
        "digest": digest,
        "stage": stage_word(record.stage),
        "attempts": attempts,
        "deadline_ms": record.deadline_ms,
        "until_ms": record.expires_at_ms,
    })
}

/// Returns the JSON object that `dump` prints for a key and its value.
fn entry_json(key: &[u8], value: &[u8]) -> serde_json::Value {
    if let Some(id) = request_id(key)
        && let Some(record) = RequestRecord::decode(value)
    {
        return request_json(id, &record);
    }
    serde_json::json!({
        "key": String::from_utf8_lossy(key),
        "bytes": value.len(),
        "value": String::from_utf8_lossy(value),
    })
}

fn dump(store: &StoreFolders) -> Result<(), Failure> {
    let (mut engine, _) = store.open()?;
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let mut write_error = None;
    engine.scan(|key, value| {
        let line = entry_json(key, value);
        if write_error.is_none() {
            write_error = writeln!(out, "{line}").err();
        }
    })?;
    match write_error {
        // The reader, such as `head`, has closed the pipe because it needs no more lines.
        Some(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        Some(error) => Err(error.into()),
        None => Ok(out.flush()?),
    }
}
