//! One voter.

use crate::StateMachine;
use crate::durability_gate::DurabilityGate;
use crate::storage::{CorruptLog, LogStorage, StorageChange};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChange, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType,
};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The longest word, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 << 10;
/// Seats, at most.
pub const MAX_VOTERS: usize = 7;
/// So many words are folded at a time.
const FOLD: u64 = 512;
/// Inputs that wait for a disk; beyond it nothing new is taken in.
const MOST_HELD: usize = 4096;
/// Ticks without a word of the leader before another is sought, at least; each voter waits so many more by its number, so that two
/// seldom try at once. No chance is in it: a seed replays a run.
const ELECTION: usize = 10;
const STAGGER: usize = 3;
/// Ticks between hellos of the leader.
const HEARTBEAT: usize = 2;
/// Bytes of a message, about; and of what a leader has put to the log and is not decided.
const MESSAGE: u64 = 64 << 10;
const UNDECIDED: u64 = 4 << 20;

/// What is to be done, or has come of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write these, all or none, in the order of their numbers; [`Voter::durable`] is told when they are.
    Write(u64, Vec<StorageChange>),
    /// Send this to that voter.
    Send(u64, Vec<u8>),
    /// A word is decided, at this place from 1 on: [`Voter::state`] has it in.
    Decided(u64, Vec<u8>),
    /// Many are, up to this place, whose words are not told: [`Voter::state`] has them in.
    Skipped(u64),
    /// Who votes has changed.
    Seats,
}

/// Why a word is not proposed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum ProposalRejected {
    /// It is longer than any may be.
    #[error("it is too long")]
    Long,
    /// Too much waits for the disk, or to be decided.
    #[error("too much waits for the disk or to be decided")]
    Busy,
    /// No voter leads that this one knows of.
    #[error("no voter leads")]
    Leaderless,
    /// Another one leads, which is to be asked.
    #[error("voter {0} leads")]
    Elsewhere(u64),
    /// A change of who votes is under way.
    #[error("another change of the voters is not decided yet")]
    Changing,
    /// No more than seven vote, no fewer than two.
    #[error("two to seven nodes vote")]
    Count,
    /// The library has come to an end with itself: this process votes no more.
    #[error("the log of this process is at its end")]
    Ended,
}

/// A change of who votes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// This node gets a seat, with a number that none has had.
    Add(String),
    /// The seat of this number is taken away.
    Remove(u64),
}

/// What may be told once a write is durable.
struct Held {
    ready: u64,
    messages: Vec<Message>,
}

/// One voter, by the number of its seat.
pub struct Voter<F: StateMachine> {
    me: u64,
    raft: RawNode<LogStorage<F>>,
    gate: DurabilityGate<Held>,
    ended: Option<String>,
}

impl<F: StateMachine> Voter<F> {
    /// The voter of this seat, from what it had kept. With nothing kept it is one of these founders; with no founders given, one
    /// that has been added and waits to be told. **One that has voted before and comes back with less than it had kept must
    /// not be this number any more** ([`crate::admission`] says): it may break what it has promised. What comes of it is to be
    /// done as of any other call.
    ///
    /// # Errors
    ///
    /// If what was kept can't be gone by, or the founders are none.
    pub fn new(
        me: u64,
        founders: &BTreeMap<u64, String>,
        kept: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Result<(Self, Vec<Output>), CorruptLog> {
        let sound = founders.is_empty() || founders.contains_key(&me) && !founders.contains_key(&0);
        if !sound || me == 0 || founders.len() > MAX_VOTERS {
            return Err(CorruptLog(format!(
                "voter {me} of {founders:?}: up to {MAX_VOTERS} numbers above 0, its own among them"
            )));
        }
        let memory = LogStorage::<F>::restore(founders, kept)?;
        let config = Config {
            id: me,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            min_election_tick: ELECTION + STAGGER * (me % MAX_VOTERS as u64) as usize,
            max_election_tick: ELECTION + STAGGER * (me % MAX_VOTERS as u64) as usize + 1,
            applied: memory.applied,
            max_size_per_msg: MESSAGE,
            max_uncommitted_size: UNDECIDED,
            max_committed_size_per_ready: u64::MAX,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let raft =
            RawNode::new(&config, memory, &quiet).map_err(|error| CorruptLog(error.to_string()))?;
        let mut voter = Self {
            me,
            raft,
            gate: DurabilityGate::default(),
            ended: None,
        };
        // What was kept is durable: what is decided of it holds at once.
        let mut out = Vec::new();
        voter.pass(&mut out);
        Ok((voter, out))
    }

    /// Its number.
    pub fn me(&self) -> u64 {
        self.me
    }

    /// What the words that it has told as decided come to.
    pub fn state(&self) -> &F {
        &self.raft.store().folded.state
    }

    /// How many words that is.
    pub fn told(&self) -> u64 {
        self.raft.store().folded.words
    }

    /// Who votes: the number of each seat, and the node that has it.
    pub fn seats(&self) -> &BTreeMap<u64, String> {
        &self.raft.store().folded.seats
    }

    /// The place of the log that has been applied, the library's own entries and changes of who votes counted.
    pub fn place(&self) -> u64 {
        self.raft.store().applied
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|leader| *leader > 0)
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Words of the log in memory.
    pub fn length(&self) -> usize {
        self.raft.store().length()
    }

    /// Why it votes no more, if the library has come to an end with itself.
    pub fn ended(&self) -> Option<&str> {
        self.ended.as_deref()
    }

    /// A tick: they come evenly, some twenty a second.
    pub fn tick(&mut self, out: &mut Vec<Output>) {
        // One whose disk does not come to an end says nothing new meanwhile: others will see to it.
        if self.gate.held() < MOST_HELD {
            self.guarded(|raft| {
                raft.tick();
            });
        }
        self.pass(out);
    }

    /// A message of a voter has come; one that can't be read or is none that could have been sent is passed over, and `false`
    /// is given.
    pub fn receive(&mut self, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return false;
        };
        // A proposal keeps its first sender's number and may come back to it, where who leads has changed.
        let own = message.from == self.me && message.get_msg_type() != MessageType::MsgPropose;
        if message.to != self.me || message.from == 0 || own || !sound(&message) {
            return false;
        }
        if self.gate.held() < MOST_HELD {
            self.guarded(|raft| {
                // A refusal leaves all as it is.
                let _ = raft.step(message);
            });
        }
        self.pass(out);
        true
    }

    /// Messages to and from a voter may have been lost: its connection was made anew.
    pub fn reconnected(&mut self, voter: u64, out: &mut Vec<Output>) {
        self.guarded(|raft| {
            raft.report_unreachable(voter);
            raft.report_snapshot(voter, SnapshotStatus::Failure);
        });
        self.pass(out);
    }

    /// Puts a word to the log. That it was taken says nothing: it may be lost, or come twice where it is proposed again. It is
    /// decided when it is told to be.
    ///
    /// # Errors
    ///
    /// If it is not even tried.
    pub fn propose(
        &mut self,
        word: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        if word.len() > MAX_ENTRY_BYTES {
            return Err(ProposalRejected::Long);
        }
        self.open()?;
        let mut proposed = false;
        self.guarded(|raft| proposed = raft.propose(Vec::new(), word).is_ok());
        self.pass(out);
        if proposed {
            Ok(())
        } else {
            Err(ProposalRejected::Busy)
        }
    }

    /// Changes who votes; it holds once [`Voter::seats`] says so. One change is made at a time, and by who leads.
    ///
    /// # Errors
    ///
    /// If it is not even tried.
    pub fn seat(
        &mut self,
        change: &MembershipChange,
        out: &mut Vec<Output>,
    ) -> Result<(), ProposalRejected> {
        self.open()?;
        if !self.leads() {
            return Err(self
                .leader()
                .map_or(ProposalRejected::Leaderless, ProposalRejected::Elsewhere));
        }
        if self.raft.raft.has_pending_conf() {
            return Err(ProposalRejected::Changing);
        }
        let (seats, mut cc, mut name) = (self.seats(), ConfChange::default(), String::new());
        match change {
            MembershipChange::Add(_) if seats.len() >= MAX_VOTERS => {
                return Err(ProposalRejected::Count);
            }
            MembershipChange::Add(node) if seats.values().any(|name| name == node) => return Ok(()),
            MembershipChange::Add(node) => {
                cc.set_change_type(ConfChangeType::AddNode);
                cc.node_id = self.raft.store().folded.highest + 1;
                name.clone_from(node);
            }
            MembershipChange::Remove(seat) if !seats.contains_key(seat) => return Ok(()),
            MembershipChange::Remove(_) if seats.len() <= 2 => return Err(ProposalRejected::Count),
            MembershipChange::Remove(seat) if *seat == self.me => {
                // Another leads first, that takes the seat away then.
                let other = seats
                    .keys()
                    .copied()
                    .find(|seat| *seat != self.me)
                    .unwrap_or_default();
                self.guarded(|raft| raft.transfer_leader(other));
                self.pass(out);
                return Err(ProposalRejected::Changing);
            }
            MembershipChange::Remove(seat) => {
                cc.set_change_type(ConfChangeType::RemoveNode);
                cc.node_id = *seat;
            }
        }
        let mut proposed = false;
        self.guarded(|raft| proposed = raft.propose_conf_change(name.into_bytes(), cc).is_ok());
        self.pass(out);
        if proposed {
            Ok(())
        } else {
            Err(ProposalRejected::Busy)
        }
    }

    fn open(&self) -> Result<(), ProposalRejected> {
        if self.ended.is_some() {
            return Err(ProposalRejected::Ended);
        }
        if self.gate.held() >= MOST_HELD {
            return Err(ProposalRejected::Busy);
        }
        self.leader()
            .map(|_| ())
            .ok_or(ProposalRejected::Leaderless)
    }

    /// All writes up to this one are durable.
    pub fn durable(&mut self, number: u64, out: &mut Vec<Output>) {
        self.gate.durable(number);
        self.pass(out);
    }

    /// The library ends the process where it finds its log contradicting itself: here it ends this process's vote.
    fn guarded(&mut self, act: impl FnOnce(&mut RawNode<LogStorage<F>>)) {
        if self.ended.is_some() {
            return;
        }
        let raft = &mut self.raft;
        if let Err(panic) = catch_unwind(AssertUnwindSafe(|| act(raft))) {
            let why = panic.downcast_ref::<String>().cloned();
            let why = why.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned()));
            self.ended = Some(why.unwrap_or_else(|| "the library gave up".to_owned()));
        }
    }

    /// Takes what an input has led to: changes to be written, and what may be told once they are durable. A leader's own
    /// messages may go before: that others have a word makes no promise of its own.
    fn pass(&mut self, out: &mut Vec<Output>) {
        loop {
            while let Some(held) = self.gate.free() {
                self.guarded(|raft| raft.on_persist_ready(held.ready));
                self.send(held.messages, out);
            }
            self.guarded(|raft| {
                // A state that was taken over counts as applied only once it is durable.
                let upto = raft.store().applied.min(raft.raft.raft_log.persisted);
                if upto > raft.raft.raft_log.applied {
                    raft.advance_apply_to(upto);
                }
            });
            if self.ended.is_some() || !self.raft.has_ready() {
                break;
            }
            let (mut at_once, mut later, mut number, mut decided) =
                (Vec::new(), Vec::new(), 0, Vec::new());
            let mut over = None;
            self.guarded(|raft| {
                let mut ready = raft.ready();
                (at_once, later, number) = (
                    ready.take_messages(),
                    ready.take_persisted_messages(),
                    ready.number(),
                );
                decided = ready.take_committed_entries();
                if !ready.snapshot().is_empty() {
                    over = Some(raft.mut_store().take_over(ready.snapshot()));
                }
                raft.mut_store().append(ready.take_entries());
                if let Some(hard) = ready.hs() {
                    let hard = hard.clone();
                    raft.mut_store().keep_hard(hard);
                }
                raft.advance_append_async(ready);
            });
            match over {
                Some(true) => {
                    out.push(Output::Skipped(self.told()));
                    out.push(Output::Seats);
                }
                Some(false) => {
                    self.ended = Some("a state of the leader's can't be read".to_owned())
                }
                None => {}
            }
            for entry in decided {
                self.apply(entry, out);
            }
            if self.raft.store().grown(FOLD) {
                self.raft.mut_store().compact();
            }
            let changes = self.raft.mut_store().take();
            if !changes.is_empty() {
                out.push(Output::Write(self.gate.write(), changes));
            }
            self.send(at_once, out);
            self.gate.hold(Held {
                ready: number,
                messages: later,
            });
        }
        let changes = self.raft.mut_store().take();
        if !changes.is_empty() {
            // What the founders begin with.
            out.push(Output::Write(self.gate.write(), changes));
        }
    }

    fn send(&mut self, messages: Vec<Message>, out: &mut Vec<Output>) {
        for message in messages {
            out.push(Output::Send(
                message.to,
                message.write_to_bytes().unwrap_or_default(),
            ));
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // Whether it arrives is seen by what comes next: till then the leader would wait for ever.
                self.guarded(|raft| raft.report_snapshot(message.to, SnapshotStatus::Finish));
            }
        }
    }

    fn apply(&mut self, mut entry: Entry, out: &mut Vec<Output>) {
        let word = entry.take_data();
        match entry.get_entry_type() {
            EntryType::EntryNormal => {
                let store = self.raft.mut_store();
                store.applied = entry.index;
                // The library's own are empty.
                if !word.is_empty() {
                    store.folded.words += 1;
                    store.folded.state.apply(&word);
                    out.push(Output::Decided(store.folded.words, word.to_vec()));
                }
            }
            EntryType::EntryConfChange | EntryType::EntryConfChangeV2 => {
                let change = ConfChange::parse_from_bytes(&word).ok();
                let name = String::from_utf8_lossy(&entry.take_context()).into_owned();
                let change = change.filter(|change| self.fits(change, &name));
                let mut voters = None;
                self.guarded(|raft| {
                    voters = match &change {
                        Some(change) => raft.apply_conf_change(change).ok(),
                        None => raft.apply_conf_change(&ConfChangeV2::default()).ok(),
                    };
                });
                let store = self.raft.mut_store();
                store.applied = entry.index;
                if let (Some(voters), Some(change)) = (voters, change) {
                    store.voters = voters;
                    let seats = &mut store.folded.seats;
                    if change.get_change_type() == ConfChangeType::AddNode {
                        store.folded.highest = change.node_id;
                        seats.insert(change.node_id, name);
                    } else {
                        seats.remove(&change.node_id);
                    }
                    out.push(Output::Seats);
                }
                // The library's leader goes on without a seat, and ends the process at its next write.
                if self.leads() && !self.seats().contains_key(&self.me) {
                    self.guarded(|raft| raft.raft.become_follower(raft.raft.term, 0));
                }
            }
        }
    }

    /// Whether a change that was put to the log still fits when it is decided.
    fn fits(&self, change: &ConfChange, name: &str) -> bool {
        let folded = &self.raft.store().folded;
        match change.get_change_type() {
            ConfChangeType::AddNode => {
                let new = change.node_id > folded.highest
                    && !folded.seats.values().any(|seat| seat == name);
                new && folded.seats.len() < MAX_VOTERS
            }
            ConfChangeType::RemoveNode => {
                folded.seats.contains_key(&change.node_id) && folded.seats.len() > 2
            }
            ConfChangeType::AddLearnerNode => false,
        }
    }
}

/// What a message of the log's promises for its sender: which seat that is, the term that it speaks in, and the place up to which
/// it says to have all. A proposal, which others pass on, promises nothing.
pub fn promise(bytes: &[u8]) -> (u64, u64, u64) {
    let Ok(message) = Message::parse_from_bytes(bytes) else {
        return (0, 0, 0);
    };
    match message.get_msg_type() {
        MessageType::MsgPropose => (0, 0, 0),
        // Their term is one that the sender may have later.
        MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse => {
            (message.from, 0, 0)
        }
        MessageType::MsgAppendResponse if !message.reject => {
            (message.from, message.term, message.index)
        }
        _ => (message.from, message.term, 0),
    }
}

/// Whether a message could have been sent by a voter: the library ends the process at some that could not.
fn sound(message: &Message) -> bool {
    use MessageType::*;
    let kind = matches!(
        message.get_msg_type(),
        MsgPropose
            | MsgAppend
            | MsgAppendResponse
            | MsgRequestVote
            | MsgRequestVoteResponse
            | MsgRequestPreVote
            | MsgRequestPreVoteResponse
            | MsgSnapshot
            | MsgHeartbeat
            | MsgHeartbeatResponse
            | MsgTransferLeader
            | MsgTimeoutNow
    );
    let entries = message.get_entries();
    let row = message.get_msg_type() != MsgAppend
        || entries
            .iter()
            .zip(message.index + 1..)
            .all(|(e, at)| e.index == at && e.term <= message.term);
    let proposed = message.get_msg_type() != MsgPropose || !entries.is_empty();
    kind && row
        && proposed
        && (message.get_msg_type() != MsgSnapshot || !message.get_snapshot().is_empty())
}
