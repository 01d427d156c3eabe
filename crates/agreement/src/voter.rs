//! One voter.

use crate::Fold;
use crate::gate::Gate;
use crate::memory::{Change, Damage, Journal, Memory, Shared, Word};
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use std::cell::RefCell;
use std::fmt;
use std::marker::PhantomData;
use std::rc::Rc;

/// The longest word, in bytes.
pub const MOST_WORD: usize = 256 << 10;
/// So many words are folded into the snapshot at a time.
const FOLD: usize = 512;
/// Inputs that wait for a disk; beyond it nothing new is taken in.
const MOST_HELD: usize = 4096;
/// Ticks without a hello of the leader before another is sought, and between repeated messages.
const ELECTION: u64 = 5;
const RESEND: u64 = 10;
/// So many ticks without a leader that it follows, or that leads by its word, before it tries to lead itself; some more by its
/// number, and twice as many each time. The library's own election can leave a voter behind that had promised
/// somebody more than the one who leads (1 of 10,000 simulated runs): its requests are passed over for ever.
const LEFT_BEHIND: u64 = 60;

/// What is to be done, or has come of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Write these, all or none, in the order of their numbers; [`Voter::durable`] is told when they are.
    Write(u64, Vec<Change>),
    /// Send this to that voter.
    Send(u64, Vec<u8>),
    /// A word is decided, at this place from 1 on: [`Voter::state`] has it in.
    Decided(u64, Vec<u8>),
    /// Many are, up to this place, whose words are not told: [`Voter::state`] has them in.
    Skipped(u64),
}

/// Why a word is not proposed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refused {
    /// It is longer than any may be.
    Long,
    /// Too much waits for the disk.
    Busy,
    /// No voter leads that this one knows of.
    Leaderless,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Long => "it is too long",
            Self::Busy => "too much waits for the disk",
            Self::Leaderless => "no voter leads",
        })
    }
}

impl std::error::Error for Refused {}

/// What may be told once a write is durable.
struct Held<F> {
    messages: Vec<(u64, Vec<u8>)>,
    decided: Vec<Found<F>>,
}

enum Found<F> {
    Word(Vec<u8>),
    /// All up to there, and what they come to.
    All(usize, F),
}

/// One voter of a fixed set.
pub struct Voter<F: Fold> {
    me: u64,
    paxos: OmniPaxos<Word<F>, Shared<F>>,
    voters: Vec<u64>,
    memory: Shared<F>,
    /// How often the library has lost its way.
    begun_anew: u64,
    journal: Rc<RefCell<Journal>>,
    gate: Gate<Held<F>>,
    /// How far has been read of what is decided, and how far it has been told.
    read: usize,
    told: usize,
    state: F,
    /// Ticks without a leader, and after how many it tries itself.
    astray: u64,
    patience: u64,
}

impl<F: Fold> Voter<F> {
    /// The voter of this number among these, from what it had kept; a new one from nothing. **One that has voted before and comes
    /// back with less than it had kept must not be this number any more** ([`crate::admission`] says): it may break what it has
    /// promised. What comes of it is
    /// to be done as of any other call.
    ///
    /// # Errors
    ///
    /// If what was kept can't be gone by, or the voters are not three to seven, this one among them.
    pub fn new(
        me: u64,
        voters: &[u64],
        kept: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Result<(Self, Vec<Out>), Damage> {
        if !(3..=7).contains(&voters.len()) || !voters.contains(&me) || voters.contains(&0) {
            return Err(Damage(format!(
                "voter {me} of {voters:?}: three to seven numbers above 0, its own among them"
            )));
        }
        let journal = Rc::new(RefCell::new(Journal::default()));
        let memory = Shared(Rc::new(RefCell::new(Memory::restore(kept, journal.clone())?)));
        let paxos = begin(me, voters, memory.again())?;
        let voters = voters.to_vec();
        let state = F::default();
        let mut voter = Self {
            me,
            paxos,
            voters,
            memory,
            begun_anew: 0,
            journal,
            gate: Gate::default(),
            read: 0,
            told: 0,
            state,
            astray: 0,
            patience: LEFT_BEHIND + 7 * me,
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
        &self.state
    }

    /// How many words that is.
    pub fn told(&self) -> u64 {
        self.told as u64
    }

    /// Who leads, as far as it knows, and whether that one can have words decided by now.
    pub fn leader(&self) -> Option<(u64, bool)> {
        self.paxos.get_current_leader()
    }

    /// Words of the log in memory that are not folded, those that are not decided among them.
    pub fn length(&self) -> usize {
        self.paxos.get_accepted_idx() - self.paxos.get_compacted_idx()
    }

    /// How often the library has lost its way and was begun anew from what it had noted.
    pub fn begun_anew(&self) -> u64 {
        self.begun_anew
    }

    /// A tick: they come evenly, some ten a second.
    pub fn tick(&mut self, out: &mut Vec<Out>) {
        // One whose disk does not come to an end says nothing new meanwhile: others will see to it.
        if self.gate.held() < MOST_HELD {
            self.paxos.tick();
            self.astray = if self.leader().is_some_and(|(_, follows)| follows) { 0 } else { self.astray + 1 };
            if self.astray == 0 {
                self.patience = LEFT_BEHIND + 7 * self.me;
            } else if self.astray > self.patience {
                (self.astray, self.patience) = (0, (self.patience * 2).min(64 * LEFT_BEHIND));
                self.paxos.try_become_leader();
            }
        }
        self.pass(out);
    }

    /// A message of a voter has come; one that can't be read is passed over, and `false` is given.
    pub fn receive(&mut self, bytes: &[u8], out: &mut Vec<Out>) -> bool {
        let Ok((message, [])) = postcard::take_from_bytes::<Message<Word<F>>>(bytes) else { return false };
        if message.get_receiver() != self.me {
            return false;
        }
        if self.gate.held() < MOST_HELD {
            self.paxos.handle_incoming(message);
        }
        self.pass(out);
        true
    }

    /// Messages to and from a voter may have been lost: its connection was made anew.
    pub fn reconnected(&mut self, voter: u64, out: &mut Vec<Out>) {
        self.paxos.reconnected(voter);
        self.pass(out);
    }

    /// Puts a word to the log. That it was taken says nothing: it may be lost, or come twice where it is proposed again. It is
    /// decided when it is told to be.
    ///
    /// # Errors
    ///
    /// If it is not even tried.
    pub fn propose(&mut self, word: Vec<u8>, out: &mut Vec<Out>) -> Result<(), Refused> {
        if word.len() > MOST_WORD {
            return Err(Refused::Long);
        }
        if self.gate.held() >= MOST_HELD {
            return Err(Refused::Busy);
        }
        if self.leader().is_none() {
            return Err(Refused::Leaderless);
        }
        let proposed = self.paxos.append(Word { bytes: word, at: 0, of: PhantomData });
        self.pass(out);
        proposed.map_err(|_| Refused::Leaderless)
    }

    /// All writes up to this one are durable.
    pub fn durable(&mut self, number: u64, out: &mut Vec<Out>) {
        self.gate.durable(number);
        self.release(out);
    }

    /// Takes what an input has led to: changes to be written, and what may be told once they are durable. So what others
    /// hear, and what is told as decided here, is what a voter would say that had written at once: the count of a leader's
    /// own vote, too, leaves it only in messages.
    fn pass(&mut self, out: &mut Vec<Out>) {
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        if self.paxos.get_compacted_idx() > self.paxos.get_decided_idx() {
            // A leader of omnipaxos 0.2.4 can take over what another has folded, and forget that it is decided, where the
            // promise that it came with was asked for again meanwhile. What it would say from then on contradicts itself: it
            // ends as by a death at this point, and begins anew with all that it had noted.
            self.memory.0.borrow_mut().mend();
            if let Ok(paxos) = begin(self.me, &self.voters, self.memory.again()) {
                (self.paxos, self.begun_anew) = (paxos, self.begun_anew + 1);
                messages.clear();
                self.paxos.take_outgoing_messages(&mut messages);
            }
        }
        let decided = self.decided();
        // The words that are told are folded into the snapshot now and then; that is only memory and disk.
        if self.told >= self.paxos.get_compacted_idx() + FOLD {
            // A refusal leaves all as it is.
            let _ = self.paxos.snapshot(Some(self.told), true);
        }
        let changes = self.journal.borrow_mut().take();
        if !changes.is_empty() {
            out.push(Out::Write(self.gate.write(), changes));
        }
        if !messages.is_empty() || !decided.is_empty() {
            let word = |message: &Message<Word<F>>| {
                (message.get_receiver(), postcard::to_stdvec(message).unwrap_or_default())
            };
            let messages = messages.iter().map(word).collect();
            self.gate.hold(Held { messages, decided });
        }
        self.release(out);
    }

    /// What has been decided since it was last looked.
    fn decided(&mut self) -> Vec<Found<F>> {
        let upto = self.paxos.get_decided_idx();
        if upto <= self.read {
            return Vec::new();
        }
        let mut found = Vec::new();
        for entry in self.paxos.read_decided_suffix(self.read).unwrap_or_default() {
            match entry {
                LogEntry::Decided(word) => found.push(Found::Word(word.bytes)),
                LogEntry::Snapshotted(all) => {
                    let upto = all.trimmed_idx;
                    found.extend(all.snapshot.upto(upto).map(|state| Found::All(upto, state)));
                }
                // None is trimmed without a snapshot, and no stop is proposed.
                LogEntry::Undecided(_) | LogEntry::Trimmed(_) | LogEntry::StopSign(..) => {}
            }
        }
        self.read = upto;
        found
    }

    fn release(&mut self, out: &mut Vec<Out>) {
        while let Some(held) = self.gate.free() {
            for found in held.decided {
                match found {
                    Found::Word(word) => {
                        self.told += 1;
                        self.state.apply(&word);
                        out.push(Out::Decided(self.told as u64, word));
                    }
                    Found::All(upto, state) => {
                        (self.told, self.state) = (upto, state);
                        out.push(Out::Skipped(upto as u64));
                    }
                }
            }
            out.extend(held.messages.into_iter().map(|(to, bytes)| Out::Send(to, bytes)));
        }
    }
}

/// The library's part of a voter.
fn begin<F: Fold>(
    me: u64,
    voters: &[u64],
    memory: Shared<F>,
) -> Result<OmniPaxos<Word<F>, Shared<F>>, Damage> {
    let cluster = ClusterConfig { configuration_id: 1, nodes: voters.to_vec(), flexible_quorum: None };
    let server = ServerConfig {
        pid: me,
        election_tick_timeout: ELECTION,
        resend_message_tick_timeout: RESEND,
        ..ServerConfig::default()
    };
    cluster.build_for_server(server, memory).map_err(|error| Damage(error.to_string()))
}
