//! A disk in memory that crashes, fills up and fails where it is told to. What is not synced is lost, kept or
//! reordered at a crash, by a seed.

use crate::disk::{Disk, File};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that a disk writes as one.
const SECTOR: usize = 512;

/// What goes wrong, and when. Operations are those that change something: writes, syncs, cuts, and changes of
/// names; they are counted from 0.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// The operation from which on nothing works any more; of a write, a part is done first.
    pub crash_at: Option<u64>,
    /// Bytes that the disk holds.
    pub capacity: Option<u64>,
    /// Syncs of files that fail, counted from 0; what they were to make durable never is.
    pub failing_syncs: Vec<u64>,
    /// Syncs of folders that fail, counted from 0.
    pub failing_folder_syncs: Vec<u64>,
    /// All writes fail with EIO.
    pub no_writes: bool,
}

#[derive(Clone, Debug)]
enum Pending {
    Write(usize, Vec<u8>),
    Cut(usize),
}

#[derive(Clone, Debug, Default)]
struct Node {
    /// What a reader sees.
    live: Vec<u8>,
    /// What is there after a crash at any rate.
    durable: Vec<u8>,
    /// What may be, too.
    pending: Vec<Pending>,
}

#[derive(Clone, Debug)]
enum Rename {
    Set(String, usize),
    Gone(String),
}

#[derive(Debug, Default)]
struct State {
    nodes: Vec<Node>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    renames: Vec<Vec<Rename>>,
    faults: Faults,
    operations: u64,
    syncs: u64,
    folder_syncs: u64,
    crashed: bool,
    locked: bool,
    seed: u64,
}

impl State {
    fn random(&mut self) -> u64 {
        // SplitMix64.
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.seed;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Counts an operation; whether it is the one at which all ends.
    fn step(&mut self) -> io::Result<bool> {
        if self.crashed {
            return Err(io::Error::other("the disk is gone"));
        }
        let ends = self.faults.crash_at.is_some_and(|at| self.operations >= at);
        self.operations += 1;
        self.crashed = ends;
        Ok(ends)
    }

    fn used(&self) -> u64 {
        self.names
            .values()
            .map(|node| self.nodes[*node].live.len() as u64)
            .sum()
    }
}

fn gone() -> io::Error {
    io::Error::other("the disk is gone")
}

fn put(bytes: &mut Vec<u8>, at: usize, new: &[u8]) {
    if bytes.len() < at + new.len() {
        bytes.resize(at + new.len(), 0);
    }
    bytes[at..at + new.len()].copy_from_slice(new);
}

/// A simulated folder.
#[derive(Clone, Debug, Default)]
pub struct SimDisk(Arc<Mutex<State>>);

/// A file on it.
#[derive(Debug)]
pub struct SimFile {
    disk: SimDisk,
    node: usize,
}

/// The lock on it.
#[derive(Debug)]
pub struct SimLock(SimDisk);

impl Drop for SimLock {
    fn drop(&mut self) {
        self.0.state().locked = false;
    }
}

impl SimDisk {
    /// An empty folder with these faults; what a crash keeps follows from the seed.
    pub fn new(faults: Faults, seed: u64) -> Self {
        Self(Arc::new(Mutex::new(State {
            faults,
            seed,
            ..State::default()
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what goes wrong from now on.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.state().faults);
    }

    /// How many operations there were.
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// How many syncs of files there were.
    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// The machine dies and comes back: a new disk, without faults, with what was durable and some of the rest.
    #[must_use]
    pub fn after_crash(&self) -> Self {
        let mut state = self.state();
        let mut nodes = state.nodes.clone();
        for node in &mut nodes {
            let mut bytes = std::mem::take(&mut node.durable);
            for pending in std::mem::take(&mut node.pending) {
                match pending {
                    Pending::Write(at, new) => {
                        // Each sector by itself: kept or dropped, whatever came before it.
                        let mut from = 0;
                        while from < new.len() {
                            let to = (from + SECTOR - (at + from) % SECTOR).min(new.len());
                            if state.random().is_multiple_of(2) {
                                put(&mut bytes, at + from, &new[from..to]);
                            }
                            from = to;
                        }
                    }
                    Pending::Cut(size) => {
                        if state.random().is_multiple_of(2) {
                            bytes.truncate(size);
                        }
                    }
                }
            }
            *node = Node {
                live: bytes.clone(),
                durable: bytes,
                pending: Vec::new(),
            };
        }
        let mut names = state.durable_names.clone();
        for rename in std::mem::take(&mut state.renames) {
            if state.random().is_multiple_of(2) {
                change(&mut names, rename);
            }
        }
        let seed = state.random();
        Self(Arc::new(Mutex::new(State {
            nodes,
            durable_names: names.clone(),
            names,
            seed,
            ..State::default()
        })))
    }

    /// The content of a file.
    ///
    /// # Panics
    ///
    /// If it is not there.
    pub fn content(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        state.nodes[state.names[name]].live.clone()
    }

    /// Sets the content of a file, durably; `None` removes it.
    pub fn set_content(&self, name: &str, content: Option<Vec<u8>>) {
        let mut state = self.state();
        match content {
            Some(bytes) => {
                let node = Node {
                    live: bytes.clone(),
                    durable: bytes,
                    pending: Vec::new(),
                };
                state.nodes.push(node);
                let at = state.nodes.len() - 1;
                state.names.insert(name.into(), at);
                state.durable_names.insert(name.into(), at);
            }
            None => {
                state.names.remove(name);
                state.durable_names.remove(name);
            }
        }
    }
}

fn change(names: &mut BTreeMap<String, usize>, rename: Vec<Rename>) {
    for step in rename {
        match step {
            Rename::Set(name, node) => {
                names.insert(name, node);
            }
            Rename::Gone(name) => {
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
        if state.crashed {
            Err(gone())
        } else {
            Ok(state.names.keys().cloned().collect())
        }
    }

    fn create(&self, name: &str) -> io::Result<SimFile> {
        let mut state = self.state();
        if state.step()? {
            return Err(gone());
        }
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        if state.faults.no_writes
            || state
                .faults
                .capacity
                .is_some_and(|most| state.used() >= most)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.nodes.push(Node::default());
        let node = state.nodes.len() - 1;
        state.names.insert(name.into(), node);
        state.renames.push(vec![Rename::Set(name.into(), node)]);
        Ok(SimFile {
            disk: self.clone(),
            node,
        })
    }

    fn open(&self, name: &str) -> io::Result<SimFile> {
        let state = self.state();
        if state.crashed {
            return Err(gone());
        }
        let node = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(SimFile {
            disk: self.clone(),
            node,
        })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        if state.step()? {
            return Err(gone());
        }
        let node = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.into(), node);
        state.renames.push(vec![
            Rename::Gone(from.into()),
            Rename::Set(to.into(), node),
        ]);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        if !state.names.contains_key(name) {
            return if state.crashed {
                Err(gone())
            } else {
                Err(io::ErrorKind::NotFound.into())
            };
        }
        if state.step()? {
            return Err(gone());
        }
        state.names.remove(name);
        state.renames.push(vec![Rename::Gone(name.into())]);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut state = self.state();
        if state.step()? {
            return Err(gone());
        }
        let number = state.folder_syncs;
        state.folder_syncs += 1;
        if state.faults.failing_folder_syncs.contains(&number) {
            return Err(io::Error::other("EIO"));
        }
        state.durable_names = state.names.clone();
        state.renames.clear();
        Ok(())
    }

    fn lock(&self, _: &str) -> io::Result<SimLock> {
        let mut state = self.state();
        if std::mem::replace(&mut state.locked, true) {
            return Err(io::Error::new(
                io::ErrorKind::WouldBlock,
                "held by another one",
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
        if state.crashed {
            Err(gone())
        } else {
            Ok(state.nodes[self.node].live.len() as u64)
        }
    }

    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize> {
        let state = self.disk.state();
        if state.crashed {
            return Err(gone());
        }
        let live = &state.nodes[self.node].live;
        let from = (at as usize).min(live.len());
        let size = into.len().min(live.len() - from);
        into[..size].copy_from_slice(&live[from..from + size]);
        Ok(size)
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        let (ends, at) = (state.step()?, at as usize);
        if state.faults.no_writes {
            return Err(io::Error::other("EIO"));
        }
        let grows = (at + bytes.len()).saturating_sub(state.nodes[self.node].live.len()) as u64;
        let room = state
            .faults
            .capacity
            .map_or(u64::MAX, |most| most.saturating_sub(state.used()));
        let short = grows.saturating_sub(room) as usize;
        let mut done = bytes.len().saturating_sub(short);
        if ends {
            done = (state.random() as usize) % (done + 1);
        }
        let node = &mut state.nodes[self.node];
        put(&mut node.live, at, &bytes[..done]);
        node.pending
            .push(Pending::Write(at, bytes[..done].to_vec()));
        match (ends, short) {
            (true, _) => Err(gone()),
            (_, 0) => Ok(()),
            _ => Err(io::ErrorKind::StorageFull.into()),
        }
    }

    fn truncate(&self, size: u64) -> io::Result<()> {
        let mut state = self.disk.state();
        if state.step()? {
            return Err(gone());
        }
        let node = &mut state.nodes[self.node];
        node.live.truncate(size as usize);
        node.pending.push(Pending::Cut(size as usize));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.state();
        if state.step()? {
            return Err(gone());
        }
        let number = state.syncs;
        state.syncs += 1;
        let fails = state.faults.failing_syncs.contains(&number);
        let node = &mut state.nodes[self.node];
        node.pending.clear();
        if fails {
            // As Linux has it: the pages count as clean now, and were never written. A reader still sees them.
            return Err(io::Error::other("EIO"));
        }
        node.durable = node.live.clone();
        Ok(())
    }
}
