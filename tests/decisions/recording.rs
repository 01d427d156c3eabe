//! Recordings of runs in `tests/fixtures/decisions/`: the first lines in full, and a digest of each
//! block of lines.

use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};

/// Number of lines that one digest covers.
const BLOCK_LINES: usize = 500;
/// Number of bytes of each digest that are stored.
const DIGEST_BYTES: usize = 12;

/// The recording of a run.
pub struct Recording {
    /// The contents of the fixture file.
    stored: String,
    /// All lines of the run, which are written to a file if the comparison fails.
    full: String,
}

impl Recording {
    pub fn new(lines: &[String], lines_in_full: usize) -> Self {
        let head = lines
            .iter()
            .take(lines_in_full)
            .map(|line| format!("line {line}\n"));
        let blocks = lines.chunks(BLOCK_LINES).enumerate().map(block_line);
        let total = format!("total {} lines\n", lines.len());
        Self {
            stored: head.chain(blocks).chain([total]).collect(),
            full: lines.join("\n") + "\n",
        }
    }
}

fn block_line((number, lines): (usize, &[String])) -> String {
    let digest = Sha256::digest(lines.join("\n").as_bytes());
    let digest: String = digest
        .iter()
        .take(DIGEST_BYTES)
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let first = number * BLOCK_LINES + 1;
    format!(
        "block of lines {first} to {}: {digest}\n",
        first + lines.len() - 1
    )
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures/decisions")
        .join(format!("{name}.txt"))
}

/// Compares a run with its recording.
///
/// # Errors
///
/// Returns the first line or block that differs, and the path of a file with the full run.
pub fn compare(name: &str, run: &Recording) -> Result<(), String> {
    if std::env::var("UPDATE_RECORDED_DECISIONS").is_ok_and(|value| value == "1") {
        std::fs::create_dir_all(fixture(name).parent().expect("a parent directory"))
            .expect("the directory is created");
        std::fs::write(fixture(name), &run.stored).expect("the recording is written");
        return Err(format!(
            "{name}: recording updated; run again without UPDATE_RECORDED_DECISIONS"
        ));
    }
    let expected = std::fs::read_to_string(fixture(name)).unwrap_or_default();
    if expected == run.stored {
        return Ok(());
    }
    let full_run = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("decisions-{name}.txt"));
    std::fs::write(&full_run, &run.full).expect("the run is written");
    Err(format!(
        "{name}: {}; the full run is in {}",
        first_difference(&expected, &run.stored),
        full_run.display()
    ))
}

fn first_difference(expected: &str, found: &str) -> String {
    let pairs = expected.lines().zip(found.lines()).enumerate();
    let mut different = pairs.filter(|(_, (expected, found))| expected != found);
    different.next().map_or_else(
        || "one of the two ends before the other".into(),
        |(at, (expected, found))| {
            format!(
                "line {} differs:\n  recorded {expected}\n  found    {found}",
                at + 1
            )
        },
    )
}
