//! The narrow door to the files: a folder of flat names, and files that are read and written at offsets.
//!
//! The engine sees the disk only through [`Disk`] and [`File`], so that tests can put a simulated one in its
//! place ([`crate::sim::SimDisk`]) which crashes, fills up and fails where it is told to.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// A folder. Names are flat. What is created, renamed or removed is there after a crash only once
/// [`Disk::sync_folder`] has come back well.
pub trait Disk {
    /// A file that is open.
    type File: File;
    /// What keeps others out as long as it lives.
    type Lock;

    /// The names in the folder.
    ///
    /// # Errors
    ///
    /// The system's.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Makes an empty file and opens it.
    ///
    /// # Errors
    ///
    /// The system's; `AlreadyExists` if the name is taken.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for reading and writing.
    ///
    /// # Errors
    ///
    /// The system's.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Gives a file another name, in place of a file that has it.
    ///
    /// # Errors
    ///
    /// The system's.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The system's.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes what has been created, renamed and removed durable.
    ///
    /// # Errors
    ///
    /// The system's: then none of it may be.
    fn sync_folder(&self) -> io::Result<()>;

    /// Keeps other processes out of the folder.
    ///
    /// # Errors
    ///
    /// `WouldBlock`, with the holder's name in its text, if another one has it.
    fn lock(&self, holder: &str) -> io::Result<Self::Lock>;

    /// How messages name the folder.
    fn name(&self) -> String;
}

/// An open file. Bytes written are there after a crash only once [`File::sync`] has come back well.
pub trait File {
    /// Its size in bytes.
    ///
    /// # Errors
    ///
    /// The system's.
    fn size(&self) -> io::Result<u64>;

    /// Reads until the buffer is full or the file ends; how much was read.
    ///
    /// # Errors
    ///
    /// The system's.
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize>;

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// The system's: then any part of them may have been written.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file.
    ///
    /// # Errors
    ///
    /// The system's.
    fn truncate(&self, size: u64) -> io::Result<()>;

    /// Makes all bytes durable.
    ///
    /// # Errors
    ///
    /// The system's: then any page written since the last sync may never become durable, even if a later sync
    /// comes back well.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the system's.
#[derive(Clone, Debug)]
pub struct OsDisk {
    folder: PathBuf,
    trial: Trial,
}

/// What goes wrong on purpose.
#[derive(Clone, Debug, Default)]
struct Trial {
    delay: Duration,
    /// While this file is there, the disk has the trouble that its text names.
    trouble: Option<Arc<Path>>,
}

impl Trial {
    /// The trouble there is now, if there may be any.
    fn has(&self, trouble: &str) -> bool {
        let Some(path) = &self.trouble else {
            return false;
        };
        fs::read_to_string(path).is_ok_and(|text| text.trim() == trouble)
    }

    fn full(&self) -> io::Result<()> {
        if self.has("full") {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }
}

/// A file of the system's.
#[derive(Debug)]
pub struct OsFile {
    file: fs::File,
    trial: Trial,
}

/// The name of the file that is locked.
const LOCK: &str = "LOCK";

impl OsDisk {
    /// The folder of this path; it is made if it isn't there.
    ///
    /// # Errors
    ///
    /// The system's.
    pub fn new(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: folder.to_owned(),
            trial: Trial::default(),
        })
    }

    /// For trials: the same, where every sync of a file takes so much longer.
    #[must_use]
    pub fn slowed(mut self, delay: Duration) -> Self {
        self.trial.delay = delay;
        self
    }

    /// For trials: the same, which is full while this file holds the word `full`, and fails every sync while it holds `sync`.
    #[must_use]
    pub fn troubled(mut self, file: &Path) -> Self {
        self.trial.trouble = Some(file.into());
        self
    }

    /// The folder of this path, which must be there.
    ///
    /// # Errors
    ///
    /// The system's, and `NotADirectory`.
    pub fn existing(folder: &Path) -> io::Result<Self> {
        if !fs::metadata(folder)?.is_dir() {
            return Err(io::ErrorKind::NotADirectory.into());
        }
        Ok(Self {
            folder: folder.to_owned(),
            trial: Trial::default(),
        })
    }
}

impl Disk for OsDisk {
    type File = OsFile;
    type Lock = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.folder)? {
            let entry = entry?;
            // What is no name of ours in UTF-8 is none of our files.
            names.extend(entry.file_name().into_string().ok());
        }
        names.sort();
        Ok(names)
    }

    fn create(&self, name: &str) -> io::Result<OsFile> {
        self.trial.full()?;
        let path = self.folder.join(name);
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create_new(true)
            .mode(0o600)
            .open(path)?;
        Ok(OsFile {
            file,
            trial: self.trial.clone(),
        })
    }

    fn open(&self, name: &str) -> io::Result<OsFile> {
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(self.folder.join(name))?;
        Ok(OsFile {
            file,
            trial: self.trial.clone(),
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
        let path = self.folder.join(LOCK);
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
            Err(fs::TryLockError::WouldBlock) => {
                let other = fs::read_to_string(&path).unwrap_or_default();
                let other = if other.trim().is_empty() {
                    "another process"
                } else {
                    other.trim()
                };
                let text = format!("{} is held by {other}", self.folder.display());
                return Err(io::Error::new(io::ErrorKind::WouldBlock, text));
            }
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
        self.trial.full()?;
        self.file.write_all_at(bytes, at)
    }

    fn truncate(&self, size: u64) -> io::Result<()> {
        self.file.set_len(size)
    }

    fn sync(&self) -> io::Result<()> {
        if !self.trial.delay.is_zero() {
            std::thread::sleep(self.trial.delay);
        }
        if self.trial.has("sync") {
            return Err(io::Error::other("a sync that fails for trials"));
        }
        self.file.sync_data()
    }
}
