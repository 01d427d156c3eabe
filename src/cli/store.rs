//! `postproxy store`: looks at a store's files, with the node stopped.

use super::Failure;
use clap::{Args, Subcommand};
use postproxy::net::store_adapter;
use postproxy::operator_config::StoreSection;
use postproxy_idempotency::{AttemptOutcome, Record, Stage, job_id};
use postproxy_store::{Engine, OsDisk, Recovery};
use std::io::Write;

/// What `store` does.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Read every record and say what is damaged, torn or lost; with a mirror, repair it
    Verify(Folder),
    /// Print every record as an object a line
    Dump(Folder),
    /// Give back the space of all that is not live
    Compact(Folder),
    /// Print figures
    Stat(Folder),
}

/// Which store.
#[derive(Args, Debug)]
pub struct Folder {
    /// The store's folder
    dir: String,
    /// Its mirror's folder
    #[arg(long, value_name = "DIR")]
    mirror: Option<String>,
}

impl Folder {
    /// Opens it, which recovers it as a node's start does; a folder that is not there is not made.
    fn open(&self) -> Result<(Engine<OsDisk>, Recovery), Failure> {
        if !std::fs::metadata(&self.dir)
            .map_err(|error| format!("{}: {error}", self.dir))?
            .is_dir()
        {
            return Err(format!("{}: is no folder", self.dir).into());
        }
        let section = StoreSection::of(&self.dir, self.mirror.as_deref());
        let holder = format!("process {} (postproxy store)", std::process::id());
        Ok(store_adapter::open(&section, &holder)?)
    }
}

/// Does it.
///
/// # Errors
///
/// If the store can't be opened or read, or `verify` finds records lost.
pub fn run(action: Action) -> Result<(), Failure> {
    match action {
        Action::Verify(folder) => verify(&folder),
        Action::Dump(folder) => dump(&folder),
        Action::Compact(folder) => {
            let (mut engine, _) = folder.open()?;
            let before = engine.statistics().file_bytes;
            engine.compact()?;
            println!(
                "{before} bytes before, {} after",
                engine.statistics().file_bytes
            );
            Ok(())
        }
        Action::Stat(folder) => {
            let (engine, recovery) = folder.open()?;
            let stat = engine.statistics();
            println!("records      {}", stat.live_keys);
            println!("live bytes   {}", stat.live_bytes);
            println!("file bytes   {}", stat.file_bytes);
            println!("segments     {}", stat.segments);
            println!("index bytes  {} beside the keys", stat.index_bytes);
            println!("torn bytes   {}", recovery.torn_bytes);
            Ok(())
        }
    }
}

fn verify(folder: &Folder) -> Result<(), Failure> {
    let (mut engine, recovery) = folder.open()?;
    let mut read = 0usize;
    engine.scan(|_, _| read += 1)?;
    println!(
        "{read} records in {} segments, {} bytes",
        recovery.segments, recovery.file_bytes
    );
    if recovery.torn_bytes > 0 {
        println!(
            "{} bytes behind the last record, which nobody was promised",
            recovery.torn_bytes
        );
    }
    recovery
        .repaired
        .iter()
        .for_each(|file| println!("{file}: made whole from its copy"));
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
    Err(format!("{}: acknowledged records are lost", folder.dir).into())
}

/// The word for an attempt's outcome in the output of `dump`, which scripts read: it stays when the type is renamed.
fn fate_word(fate: AttemptOutcome) -> &'static str {
    match fate {
        AttemptOutcome::Out => "Out",
        AttemptOutcome::NeverRan => "NeverRan",
        AttemptOutcome::MayHaveRun => "MayHaveRun",
    }
}

/// The word for a job's stage in the output of `dump`, which scripts read: it stays when the type is renamed.
fn stage_word(stage: Stage) -> &'static str {
    match stage {
        Stage::Open => "Open",
        Stage::Served(true) => "Served(true)",
        Stage::Served(false) => "Served(false)",
        Stage::Failed => "Failed",
    }
}

fn dump(folder: &Folder) -> Result<(), Failure> {
    let (mut engine, _) = folder.open()?;
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let mut failed = None;
    engine.scan(|key, value| {
        let name = String::from_utf8_lossy(key);
        let line = match job_id(key).and_then(|id| Some((id, Record::decode(value)?))) {
            Some((id, record)) => {
                let digest: String = record.digest.iter().map(|byte| format!("{byte:02x}")).collect();
                let attempts: Vec<_> = record
                    .attempts
                    .iter()
                    .map(|a| serde_json::json!({"worker": a.worker, "fate": fate_word(a.fate)}))
                    .collect();
                serde_json::json!({"job": id, "class": record.class, "key": record.key, "digest": digest,
                    "stage": stage_word(record.stage), "attempts": attempts,
                    "deadline_ms": record.deadline, "until_ms": record.until})
            }
            None => serde_json::json!({"key": name, "bytes": value.len(),
                "value": String::from_utf8_lossy(value)}),
        };
        if failed.is_none() {
            failed = writeln!(out, "{line}").err();
        }
    })?;
    match failed {
        // Who reads no more has had enough.
        Some(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        Some(error) => Err(error.into()),
        None => Ok(out.flush()?),
    }
}
