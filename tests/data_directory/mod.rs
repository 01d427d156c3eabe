//! The data directories under `tests/fixtures/data-directory`, and the node, the workers and the
//! commands that run on copies of them.

pub mod jobs;
pub mod node;
pub mod worker;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};

/// Returns the folder of the fixtures.
pub fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/data-directory")
}

/// A folder that is removed when its value is dropped, unless the test has failed.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let name = format!("stored-data-{}-{number}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Self(folder)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Copies the segment files of a store.
pub fn copy_store(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("a folder");
    for file in std::fs::read_dir(from).expect("a store").flatten() {
        if file.path().extension().is_some_and(|end| end == "seg") {
            std::fs::copy(file.path(), to.join(file.file_name())).expect("a copy");
        }
    }
}

/// Returns the output of `postproxy store ACTION` for a store.
pub fn store_command(action: &str, folder: &Path) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_postproxy"));
    let output = command
        .args(["store", action])
        .arg(folder)
        .output()
        .expect("the program starts");
    assert!(output.status.success(), "store {action}: {output:?}");
    String::from_utf8(output.stdout).expect("text")
}
