//! Recordings of runs: the first lines in full and a digest of each block of lines, kept in
//! `tests/fixtures/decisions/`.

use sha2::{Digest, Sha256};
use std::path::{Path, PathBuf};

/// Lines that one digest covers.
const BLOCK: usize = 500;
/// Bytes of a digest that are kept.
const DIGEST_BYTES: usize = 12;

/// What is kept of a run, and the run itself for a failure's report.
pub struct Recording {
    kept: String,
    whole: String,
}

impl Recording {
    pub fn of(lines: &[String], in_full: usize) -> Self {
        let head = lines
            .iter()
            .take(in_full)
            .map(|line| format!("line {line}\n"));
        let blocks = lines.chunks(BLOCK).enumerate().map(block_line);
        let total = format!("total {} lines\n", lines.len());
        Self {
            kept: head.chain(blocks).chain([total]).collect(),
            whole: lines.join("\n") + "\n",
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
    let first = number * BLOCK + 1;
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
/// Names the first line or block that differs, and the file that has the whole run.
pub fn compare(name: &str, run: &Recording) -> Result<(), String> {
    if std::env::var("UPDATE_RECORDED_DECISIONS").is_ok_and(|value| value == "1") {
        std::fs::create_dir_all(fixture(name).parent().expect("a folder"))
            .expect("the folder is made");
        std::fs::write(fixture(name), &run.kept).expect("the recording is written");
        return Err(format!(
            "{name}: recorded anew; run again without UPDATE_RECORDED_DECISIONS"
        ));
    }
    let expected = std::fs::read_to_string(fixture(name)).unwrap_or_default();
    if expected == run.kept {
        return Ok(());
    }
    let whole = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("decisions-{name}.txt"));
    std::fs::write(&whole, &run.whole).expect("the run is written");
    Err(format!(
        "{name}: {}; the whole run is in {}",
        first_difference(&expected, &run.kept),
        whole.display()
    ))
}

fn first_difference(expected: &str, found: &str) -> String {
    let pairs = expected.lines().zip(found.lines()).enumerate();
    let mut different = pairs.filter(|(_, (expected, found))| expected != found);
    different.next().map_or_else(
        || "one of the two ends early".into(),
        |(at, (expected, found))| {
            format!(
                "line {} differs:\n  recorded {expected}\n  found    {found}",
                at + 1
            )
        },
    )
}
