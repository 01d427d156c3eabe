//! A simulated in-memory disk that crashes, fills up and fails on demand. At a crash, each change
//! that is not synced is kept or lost at random, reproducibly by a seed.

use crate::disk::{Disk, File};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Size of a sector in bytes. At a crash, each sector of a write is kept or lost as a whole.
const SECTOR_BYTES: usize = 512;

/// The faults of a disk. Operations that change something (writes, syncs, truncations, and
/// creating, renaming and removing files) are counted from 0.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The number of the operation at which the machine crashes; it and everything after it fails.
    /// If it is a write, a random part of the bytes is written first.
    pub crash_at: Option<u64>,
    /// Capacity of the disk in bytes; `None` for no limit.
    pub capacity: Option<u64>,
    /// Syncs of files that fail, counted from 0. The changes that they cover are lost at a crash,
    /// unless a later sync of the same file succeeds.
    pub failing_syncs: Vec<u64>,
    /// Syncs of folders that fail, counted from 0.
    pub failing_folder_syncs: Vec<u64>,
    /// Whether all writes fail with EIO and no file can be created.
    pub no_writes: bool,
}

/// A change of a file's content that is not yet durable.
#[derive(Clone, Debug)]
enum PendingChange {
    Write { offset: usize, bytes: Vec<u8> },
    Truncate { size: usize },
}

/// A file, independent of its name.
#[derive(Clone, Debug, Default)]
struct Inode {
    /// The content that a reader sees.
    live: Vec<u8>,
    /// The content that is certain to survive a crash.
    durable: Vec<u8>,
    /// Changes that may or may not survive a crash.
    pending: Vec<PendingChange>,
}

impl Inode {
    fn durable_content(bytes: Vec<u8>) -> Self {
        Self {
            live: bytes.clone(),
            durable: bytes,
            pending: Vec::new(),
        }
    }
}

/// A change of a name in the folder.
#[derive(Clone, Debug)]
enum NameChange {
    Set { name: String, inode: usize },
    Remove { name: String },
}

/// Names of files, with the indexes of their inodes.
type Names = BTreeMap<String, usize>;

#[derive(Debug, Default)]
struct DiskState {
    inodes: Vec<Inode>,
    names: Names,
    durable_names: Names,
    /// Changes of names that are not yet durable. Those of one operation are applied atomically.
    pending_names: Vec<Vec<NameChange>>,
    faults: Faults,
    operations: u64,
    syncs: u64,
    folder_syncs: u64,
    crashed: bool,
    locked: bool,
    seed: u64,
}

impl DiskState {
    fn random(&mut self) -> u64 {
        // SplitMix64.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns an error after a crash.
    fn check_not_crashed(&self) -> io::Result<()> {
        if self.crashed { Err(crashed()) } else { Ok(()) }
    }

    /// Counts an operation and returns whether the machine crashes at it. Returns an error after a
    /// crash.
    fn count_operation(&mut self) -> io::Result<bool> {
        self.check_not_crashed()?;
        let crashes_now = self.faults.crash_at.is_some_and(|at| self.operations >= at);
        self.operations += 1;
        self.crashed = crashes_now;
        Ok(crashes_now)
    }

    /// Counts an operation that has no effect if the machine crashes at it.
    fn begin_operation(&mut self) -> io::Result<()> {
        if self.count_operation()? {
            return Err(crashed());
        }
        Ok(())
    }

    /// The content of a file after a crash: the durable content with a random subset of the pending
    /// changes.
    fn content_after_crash(&mut self, inode: &Inode) -> Vec<u8> {
        let mut content = inode.durable.clone();
        for change in &inode.pending {
            match change {
                PendingChange::Write { offset, bytes } => {
                    // Each sector is kept or lost independently of the others.
                    let mut from = 0;
                    while from < bytes.len() {
                        let sector_end = from + SECTOR_BYTES - (offset + from) % SECTOR_BYTES;
                        let to = sector_end.min(bytes.len());
                        if self.random().is_multiple_of(2) {
                            overwrite(&mut content, offset + from, &bytes[from..to]);
                        }
                        from = to;
                    }
                }
                PendingChange::Truncate { size } => {
                    if self.random().is_multiple_of(2) {
                        content.truncate(*size);
                    }
                }
            }
        }
        content
    }

    /// Total size of all files in bytes.
    fn used_bytes(&self) -> u64 {
        self.names
            .values()
            .map(|inode| self.inodes[*inode].live.len() as u64)
            .sum()
    }
}

/// The error of every operation after a crash.
fn crashed() -> io::Error {
    io::Error::other("simulated crash")
}

/// Overwrites bytes at an offset, extending the content with zeros as needed.
fn overwrite(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}

/// A simulated folder.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<DiskState>>);

/// A file on a simulated disk.
#[derive(Debug)]
pub struct SimFile {
    disk: SimDisk,
    inode: usize,
}

/// The lock of a simulated folder.
#[derive(Debug)]
pub struct SimLock(SimDisk);

impl Drop for SimLock {
    fn drop(&mut self) {
        self.0.state().locked = false;
    }
}

impl SimDisk {
    /// Creates an empty folder with these faults. The seed determines what a crash keeps.
    pub fn new(faults: Faults, seed: u64) -> Self {
        Self(Arc::new(Mutex::new(DiskState {
            faults,
            seed,
            ..DiskState::default()
        })))
    }

    fn state(&self) -> MutexGuard<'_, DiskState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the faults from now on.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state().faults);
    }

    /// Returns the number of operations so far.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Returns the number of syncs of files so far.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Returns the disk as it is after a crash and a restart: without faults, with all durable
    /// changes and a random subset of the others.
    #[must_use]
    pub fn after_crash(&self) -> Self {
        let mut state = self.state();
        let mut inodes = state.inodes.clone();
        for inode in &mut inodes {
            *inode = Inode::durable_content(state.content_after_crash(inode));
        }
        let mut names = state.durable_names.clone();
        for changes in std::mem::take(&mut state.pending_names) {
            if state.random().is_multiple_of(2) {
                apply_name_changes(&mut names, changes);
            }
        }
        let seed = state.random();
        Self(Arc::new(Mutex::new(DiskState {
            inodes,
            durable_names: names.clone(),
            names,
            seed,
            ..DiskState::default()
        })))
    }

    /// Returns the content of a file.
    ///
    /// # Panics
    ///
    /// If there is no such file.
    pub fn content(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        state.inodes[state.names[name]].live.clone()
    }

    /// Sets the content of a file durably; `None` removes the file.
    pub fn set_content(&self, name: &str, content: Option<Vec<u8>>) {
        let mut state = self.state();
        match content {
            Some(bytes) => {
                state.inodes.push(Inode::durable_content(bytes));
                let inode = state.inodes.len() - 1;
                state.names.insert(name.into(), inode);
                state.durable_names.insert(name.into(), inode);
            }
            None => {
                state.names.remove(name);
                state.durable_names.remove(name);
            }
        }
    }
}

fn apply_name_changes(names: &mut Names, changes: Vec<NameChange>) {
    for change in changes {
        match change {
            NameChange::Set { name, inode } => {
                names.insert(name, inode);
            }
            NameChange::Remove { name } => {
                names.remove(&name);
            }
        }
    }
}

impl Disk for SimDisk {
    type File = SimFile;
    type Lock = SimLock;

    fn list(&self) -> io::Result<Vec<String>> {
        let state = self.state();
        state.check_not_crashed()?;
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut state = self.state();
        state.begin_operation()?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        if state.faults.no_writes
            || state
                .faults
                .capacity
                .is_some_and(|capacity| state.used_bytes() >= capacity)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.inodes.push(Inode::default());
        let inode = state.inodes.len() - 1;
        state.names.insert(name.into(), inode);
        state.pending_names.push(vec![NameChange::Set {
            name: name.into(),
            inode,
        }]);
        Ok(SimFile {
            disk: self.clone(),
            inode,
        })
    }

    fn open(&self, name: &str) -> io::Result<SimFile> {
        let state = self.state();
        state.check_not_crashed()?;
        let inode = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(SimFile {
            disk: self.clone(),
            inode,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let inode = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.into(), inode);
        state.pending_names.push(vec![
            NameChange::Remove { name: from.into() },
            NameChange::Set {
                name: to.into(),
                inode,
            },
        ]);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        if !state.names.contains_key(name) {
            state.check_not_crashed()?;
            return Err(io::ErrorKind::NotFound.into());
        }
        state.begin_operation()?;
        state.names.remove(name);
        state
            .pending_names
            .push(vec![NameChange::Remove { name: name.into() }]);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let number = state.folder_syncs;
        state.folder_syncs += 1;
        if state.faults.failing_folder_syncs.contains(&number) {
            return Err(io::Error::other("EIO"));
        }
        state.durable_names = state.names.clone();
        state.pending_names.clear();
        Ok(())
    }

    fn lock(&self, _: &str) -> io::Result<SimLock> {
        let mut state = self.state();
        if std::mem::replace(&mut state.locked, true) {
            return Err(io::Error::new(
                io::ErrorKind::WouldBlock,
                "locked by another engine",
            ));
        }
        Ok(SimLock(self.clone()))
    }

    fn name(&self) -> String {
        "simulated".into()
    }
}

impl File for SimFile {
    fn size(&self) -> io::Result<u64> {
        let state = self.disk.state();
        state.check_not_crashed()?;
        Ok(state.inodes[self.inode].live.len() as u64)
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        let state = self.disk.state();
        state.check_not_crashed()?;
        let live = &state.inodes[self.inode].live;
        let from = (offset as usize).min(live.len());
        let size = buffer.len().min(live.len() - from);
        buffer[..size].copy_from_slice(&live[from..from + size]);
        Ok(size)
    }

    fn write_at(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        let crashes_now = state.count_operation()?;
        let offset = offset as usize;
        if state.faults.no_writes {
            return Err(io::Error::other("EIO"));
        }
        let growth =
            (offset + bytes.len()).saturating_sub(state.inodes[self.inode].live.len()) as u64;
        let room = state.faults.capacity.map_or(u64::MAX, |capacity| {
            capacity.saturating_sub(state.used_bytes())
        });
        let missing = growth.saturating_sub(room) as usize;
        let mut written = bytes.len().saturating_sub(missing);
        if crashes_now {
            written = (state.random() as usize) % (written + 1);
        }
        let inode = &mut state.inodes[self.inode];
        overwrite(&mut inode.live, offset, &bytes[..written]);
        inode.pending.push(PendingChange::Write {
            offset,
            bytes: bytes[..written].to_vec(),
        });
        if crashes_now {
            Err(crashed())
        } else if missing > 0 {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn truncate(&self, size: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        let inode = &mut state.inodes[self.inode];
        inode.live.truncate(size as usize);
        inode.pending.push(PendingChange::Truncate {
            size: size as usize,
        });
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.begin_operation()?;
        let number = state.syncs;
        state.syncs += 1;
        let fails = state.faults.failing_syncs.contains(&number);
        let inode = &mut state.inodes[self.inode];
        inode.pending.clear();
        if fails {
            // As on Linux: the pages are marked clean though they were never written, and a reader
            // still sees them.
            return Err(io::Error::other("EIO"));
        }
        inode.durable = inode.live.clone();
        Ok(())
    }
}
