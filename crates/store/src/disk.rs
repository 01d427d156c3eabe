//! Access to files: a folder of flat names, and files that are read and written at offsets.
//!
//! The engine reaches the disk only through [`Disk`] and [`File`], so that tests can replace it by
//! a simulated one ([`crate::sim::SimDisk`]) which crashes, fills up and fails on demand.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// A folder with flat names. A file that was created, renamed or removed is so after a crash only
/// once [`Disk::sync_folder`] has succeeded.
pub trait Disk {
    /// An open file.
    type File: File;
    /// The lock of the folder, held until it is dropped.
    type Lock;

    /// Returns the names of the files, in order.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Creates an empty file and opens it.
    ///
    /// # Errors
    ///
    /// An error of the system; `AlreadyExists` if there is a file of this name.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for reading and writing.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file; one that has the new name already is replaced.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes all creations, renames and removals of files durable.
    ///
    /// # Errors
    ///
    /// An error of the system: then perhaps none of them is durable.
    fn sync_folder(&self) -> io::Result<()>;

    /// Locks the folder against other processes; `holder` names this one to them.
    ///
    /// # Errors
    ///
    /// `WouldBlock`, with the holder's name in its text, if another process holds the lock.
    fn lock(&self, holder: &str) -> io::Result<Self::Lock>;

    /// Returns the name of the folder for messages.
    fn name(&self) -> String;
}

/// An open file. Bytes written are there after a crash only once [`File::sync`] has succeeded.
pub trait File {
    /// Returns its size in bytes.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn size(&self) -> io::Result<u64>;

    /// Reads until the buffer is full or the file ends, and returns the number of bytes read.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// An error of the system: then any part of the bytes may have been written.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Shortens the file to `size` bytes.
    ///
    /// # Errors
    ///
    /// An error of the system.
    fn truncate(&self, size: u64) -> io::Result<()>;

    /// Makes all bytes written so far durable.
    ///
    /// # Errors
    ///
    /// An error of the system: then any page written since the last sync may never become durable,
    /// even if a later sync succeeds.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the operating system.
#[derive(Clone, Debug)]
pub struct OsDisk {
    folder: PathBuf,
    faults: InjectedFaults,
}

/// Faults that are injected for tests of a running node.
#[derive(Clone, Debug, Default)]
struct InjectedFaults {
    /// By how much each sync is slowed down.
    sync_delay: Duration,
    /// While this file is there, the disk has the fault that its text names.
    fault_file: Option<Arc<Path>>,
}

impl InjectedFaults {
    /// Whether the disk has this fault now.
    fn is_active(&self, fault: &str) -> bool {
        let Some(path) = &self.fault_file else {
            return false;
        };
        fs::read_to_string(path).is_ok_and(|text| text.trim() == fault)
    }

    /// Fails while the disk is said to be full.
    fn check_not_full(&self) -> io::Result<()> {
        if self.is_active(FULL_FAULT) {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
}

/// A file of the operating system.
#[derive(Debug)]
pub struct OsFile {
    file: fs::File,
    faults: InjectedFaults,
}

/// The file that is locked; it holds the name of the process that locked it.
const LOCK_FILE: &str = "LOCK";
/// The text of the fault file for a full disk.
const FULL_FAULT: &str = "full";
/// The text of the fault file for a disk on which every sync fails.
const SYNC_FAULT: &str = "sync";

impl OsDisk {
    /// Opens the folder at this path; it is created if it isn't there.
    ///
    /// # Errors
    ///
    /// An error of the system.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            faults: InjectedFaults::default(),
        })
    }

    /// Slows every sync of a file down by `delay`, for tests.
    #[must_use]
    pub fn with_sync_delay(mut self, delay: Duration) -> Self {
        self.faults.sync_delay = delay;
        self
    }

    /// Makes the disk full while this file holds the word `full`, and fail every sync while it
    /// holds `sync`, for tests.
    #[must_use]
    pub fn with_fault_file(mut self, file: &Path) -> Self {
        self.faults.fault_file = Some(file.into());
        self
    }

    /// Opens the folder at this path, which must be there.
    ///
    /// # Errors
    ///
    /// An error of the system, and `NotADirectory`.
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
    /// The error for a folder that another process has locked; the lock file names it.
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
            // The store's own names are UTF-8; any other file is not the store's.
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

    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize> {
        let mut done = 0;
        while done < into.len() {
            match FileExt::read_at(&self.file, &mut into[done..], at + done as u64) {
                Ok(0) => break,
                Ok(size) => done += size,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(done)
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.faults.check_not_full()?;
        self.file.write_all_at(bytes, at)
    }

    fn truncate(&self, size: u64) -> io::Result<()> {
        self.file.set_len(size)
    }

    fn sync(&self) -> io::Result<()> {
        if !self.faults.sync_delay.is_zero() {
            std::thread::sleep(self.faults.sync_delay);
        }
        if self.faults.is_active(SYNC_FAULT) {
            return Err(io::Error::other("a sync that fails for trials"));
        }
        self.file.sync_data()
    }
}
