//! File access: a folder without subfolders, and files that are read and written at offsets.
//!
//! The engine accesses the disk only through [`Disk`] and [`File`], so that tests can replace it
//! with a simulated one ([`crate::sim::SimDisk`]) that crashes, fills up and fails on demand.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// A folder without subfolders. The creation, renaming or removal of a file is certain to survive
/// a crash only after [`Disk::sync_folder`] has succeeded.
pub trait Disk {
    /// An open file.
    type File: File;
    /// A lock on the folder, released when dropped.
    type Lock;

    /// Returns the names of the files, sorted.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file and opens it.
    ///
    /// # Errors
    ///
    /// An I/O error; `AlreadyExists` if there is already a file of this name.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for reading and writing.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing any file that already has the new name.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes all creations, renames and removals of files so far durable.
    ///
    /// # Errors
    ///
    /// An I/O error; any of these changes may then not be durable.
    fn sync_folder(&self) -> io::Result<()>;

    /// Locks the folder against other processes. `holder` identifies this process in the error that
    /// they get.
    ///
    /// # Errors
    ///
    /// `WouldBlock`, with the name of the holder in the message, if another process holds the lock.
    fn lock(&self, holder: &str) -> io::Result<Self::Lock>;

    /// Returns the name of the folder, for log lines and error messages.
    fn name(&self) -> String;
}

/// An open file. Written bytes are certain to survive a crash only after [`File::sync`] has
/// succeeded.
pub trait File {
    /// Returns the size of the file in bytes.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn size(&self) -> io::Result<u64>;

    /// Reads from `offset` until the buffer is full or the file ends, and returns the number of
    /// bytes read.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;

    /// Writes all bytes at `offset`.
    ///
    /// # Errors
    ///
    /// An I/O error; any part of the bytes may have been written.
    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `size` bytes.
    ///
    /// # Errors
    ///
    /// An I/O error.
    fn truncate(&self, size: u64) -> io::Result<()>;

    /// Makes all bytes written so far durable.
    ///
    /// # Errors
    ///
    /// An I/O error; any page written since the last sync may then never become durable, even if a
    /// later sync succeeds.
    fn sync(&self) -> io::Result<()>;
}

/// A folder in the file system.
#[derive(Clone, Debug)]
pub struct OsDisk {
    folder: PathBuf,
    faults: InjectedFaults,
}

/// Faults to inject, for tests of a running node.
#[derive(Clone, Debug, Default)]
struct InjectedFaults {
    /// Delay added to each sync of a file.
    sync_delay: Duration,
    /// While this file exists, the fault that its content names is injected.
    fault_file: Option<Arc<Path>>,
}

impl InjectedFaults {
    /// Whether this fault is currently injected.
    fn is_active(&self, fault: &str) -> bool {
        let Some(path) = &self.fault_file else {
            return false;
        };
        fs::read_to_string(path).is_ok_and(|text| text.trim() == fault)
    }

    /// Returns `StorageFull` while a full disk is injected.
    fn check_not_full(&self) -> io::Result<()> {
        if self.is_active(FULL_FAULT) {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
}

/// A file in the file system.
#[derive(Debug)]
pub struct OsFile {
    file: fs::File,
    faults: InjectedFaults,
}

/// The file that is locked; it contains the name of the process that holds the lock.
const LOCK_FILE: &str = "LOCK";
/// Content of the fault file that makes the disk appear full.
const FULL_FAULT: &str = "full";
/// Content of the fault file that makes every sync of a file fail.
const SYNC_FAULT: &str = "sync";

impl OsDisk {
    /// Opens the folder at this path and creates it if it doesn't exist.
    ///
    /// # Errors
    ///
    /// An I/O error.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            faults: InjectedFaults::default(),
        })
    }

    /// Delays every sync of a file by `delay`, for tests.
    #[must_use]
    pub fn with_sync_delay(mut self, delay: Duration) -> Self {
        self.faults.sync_delay = delay;
        self
    }

    /// Makes the disk appear full while this file contains the word `full`, and makes every sync
    /// of a file fail while it contains `sync`, for tests.
    #[must_use]
    pub fn with_fault_file(mut self, file: &Path) -> Self {
        self.faults.fault_file = Some(file.into());
        self
    }

    /// Opens the folder at this path, which must exist.
    ///
    /// # Errors
    ///
    /// An I/O error; `NotADirectory` if the path is not a folder.
    pub fn existing(folder: &Path) -> io::Result<Self> {
        if !fs::metadata(folder)?.is_dir() {
            return Err(io::ErrorKind::NotADirectory.into());
        }
        Ok(Self {
            folder: folder.to_owned(),
            faults: InjectedFaults::default(),
        })
    }
}

impl OsDisk {
    /// The error for a folder that another process has locked, with the name from the lock file.
    fn locked_error(&self, lock_file: &Path) -> io::Error {
        let content = fs::read_to_string(lock_file).unwrap_or_default();
        let holder = match content.trim() {
            "" => "another process",
            holder => holder,
        };
        let text = format!("{} is held by {holder}", self.folder.display());
        io::Error::new(io::ErrorKind::WouldBlock, text)
    }
}

impl Disk for OsDisk {
    type File = OsFile;
    type Lock = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            // Names of the store's files are UTF-8; other files do not belong to the store.
            names.extend(entry.file_name().into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<OsFile> {
        self.faults.check_not_full()?;
        let path = self.folder.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(path)?;
        Ok(OsFile {
            file,
            faults: self.faults.clone(),
        })
    }

    fn open(&self, name: &str) -> io::Result<OsFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(self.folder.join(name))?;
        Ok(OsFile {
            file,
            faults: self.faults.clone(),
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        fs::File::open(&self.folder)?.sync_all()
    }

    fn lock(&self, holder: &str) -> io::Result<fs::File> {
        let path = self.folder.join(LOCK_FILE);
        let mut options = OpenOptions::new();
        let mut file = options
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .mode(0o600)
            .open(&path)?;
        match file.try_lock() {
            Ok(()) => {}
            Err(fs::TryLockError::WouldBlock) => return Err(self.locked_error(&path)),
            Err(fs::TryLockError::Error(error)) => return Err(error),
        }
        file.set_len(0)?;
        writeln!(file, "{holder}")?;
        Ok(file)
    }

    fn name(&self) -> String {
        self.folder.display().to_string()
    }
}

impl File for OsFile {
    fn size(&self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let mut done = 0;
        while done < buffer.len() {
            match FileExt::read_at(&self.file, &mut buffer[done..], offset + done as u64) {
                Ok(0) => break,
                Ok(size) => done += size,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(done)
    }

    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.faults.check_not_full()?;
        self.file.write_all_at(bytes, offset)
    }

    fn truncate(&self, size: u64) -> io::Result<()> {
        self.file.set_len(size)
    }

    fn sync(&self) -> io::Result<()> {
        if !self.faults.sync_delay.is_zero() {
            std::thread::sleep(self.faults.sync_delay);
        }
        if self.faults.is_active(SYNC_FAULT) {
            return Err(io::Error::other("injected sync failure"));
        }
        self.file.sync_data()
    }
}
