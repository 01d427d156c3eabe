//! Admission of a process as a voter. A voter that comes back with an empty or an older store has
//! lost promises that it made, and must not vote under its number any more.
//!
//! Each start of a voter has a number, which is stored before it is announced. The other voters
//! store the highest start that they know of each voter before they confirm it. A voter that
//! announces a start that is known already, of another process, has an older store. A voter with
//! nothing stored asks all others for its latest start: if anybody knows of one, it has lost its
//! store; if nobody does, it has never voted.
//!
//! A process is admitted once all others have confirmed its start, or once a majority with itself
//! has and the rest stay silent for [`GRACE_TICKS`]. Waiting for all without a limit would leave
//! three voters without a majority after one has died for good and another has been restarted.
//!
//! An older store of the same start is detected by a voter that, since its own start, has received
//! a message of a later term or a confirmation of more entries; that is not stored. So an older
//! store goes unnoticed only if all voters that have confirmed its latest start are away, or have
//! lost their stores, for the whole grace period; or, with the same start, if they have been
//! restarted.

use crate::durability_gate::DurabilityGate;
use crate::storage::{LogEnd, StorageChange};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of ticks after the first announcement for which silent voters are waited for.
pub const GRACE_TICKS: u64 = 50;

/// Key of the number of this voter's latest start.
const START_KEY: &[u8] = b"s/start";

/// Prefix of the keys of other voters' latest starts; the number of the voter follows, with the
/// most significant byte first.
const KNOWN_START_KEY_PREFIX: &[u8] = b"s/known/";

/// A message between voters on their admission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionMessage {
    /// A voter with nothing stored asks for the latest start known of it.
    QueryLatestStart,
    /// The latest start known of the receiver, 0 if none is.
    LatestStart(u64),
    /// The sender has started.
    StartAnnounced {
        /// The number of the start.
        start: u64,
        /// The incarnation of the sender's process.
        incarnation: u64,
        /// How far the sender's log has got.
        log_end: LogEnd,
    },
    /// The receiver's start of this number has been stored.
    StartConfirmed(u64),
    /// The receiver's start of this number, or a later one, was known before, or the receiver has
    /// made promises that its log does not contain.
    StartOutdated(u64),
    /// The receiver's start is not known to the sender: it is to be announced again.
    AnnounceAgain,
}

/// Whether a process may vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// Not known yet.
    Pending,
    /// It may vote.
    Admitted,
    /// It has lost its promises: it must not vote under this number, and can only be added as a new
    /// voter.
    PromisesLost,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Send a message.
    Send {
        /// The number of the voter.
        to: u64,
        /// The message.
        message: AdmissionMessage,
    },
    /// Write these changes; report them by [`Admission::record_durable`].
    Write {
        /// The number of the write.
        number: u64,
        /// The changes.
        changes: Vec<StorageChange>,
    },
}

/// The latest known start of another voter.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct KnownStart {
    start: u64,
    incarnation: u64,
}

impl KnownStart {
    /// Stands for a stored value that can't be read. It is later than every start, so that the
    /// voter counts as having lost its promises, which is the safe side.
    const UNREADABLE: Self = Self {
        start: u64::MAX,
        incarnation: 0,
    };

    fn decode(value: &[u8]) -> Option<Self> {
        Some(Self {
            start: decode_number(value.get(..8)?)?,
            incarnation: decode_number(value.get(8..)?)?,
        })
    }
}

fn decode_number(bytes: &[u8]) -> Option<u64> {
    bytes.try_into().map(u64::from_be_bytes).ok()
}

/// This voter's start before it is durable.
#[derive(Debug)]
struct PendingStart {
    start: u64,
    /// The number of its write, once it has begun.
    write: Option<u64>,
}

/// An answer to another voter, held back until what it confirms is durable.
#[derive(Debug)]
struct Answer {
    to: u64,
    message: AdmissionMessage,
}

/// The admission of one voter, from the start of its process on.
#[derive(Debug)]
pub struct Admission {
    id: u64,
    /// Tells this process from earlier ones of the same voter.
    incarnation: u64,
    voters: Vec<u64>,
    /// How far its log had got when it started.
    log_end: LogEnd,
    /// The latest term and the highest index that each voter has promised, in its known
    /// incarnation.
    promised: BTreeMap<u64, LogEnd>,
    /// The number of its start, once it is durable.
    start: Option<u64>,
    pending_start: Option<PendingStart>,
    /// The latest start of each other voter.
    known_starts: BTreeMap<u64, KnownStart>,
    /// Voters that know of no start of this one.
    unaware: BTreeSet<u64>,
    /// Voters that have confirmed this one's start.
    confirmed: BTreeSet<u64>,
    /// Ticks since its start was announced first.
    ticks_since_start: u64,
    verdict: AdmissionVerdict,
    answers: DurabilityGate<Answer>,
}

impl Admission {
    /// Creates the admission of the voter `id` of these voters, from its stored keys (those that
    /// begin with `s/`) and values. `log_end` is what [`crate::stored_log_end`] returns.
    pub fn new(
        id: u64,
        incarnation: u64,
        voters: &[u64],
        log_end: LogEnd,
        stored: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Self {
        let mut last_start = None;
        let mut known_starts = BTreeMap::new();
        for (key, value) in stored {
            let voter = key
                .strip_prefix(KNOWN_START_KEY_PREFIX)
                .and_then(decode_number);
            if let Some(voter) = voter {
                let known = KnownStart::decode(&value).unwrap_or(KnownStart::UNREADABLE);
                known_starts.insert(voter, known);
            } else if key == START_KEY {
                last_start = decode_number(&value);
            }
        }
        Self {
            id,
            incarnation,
            voters: voters.to_vec(),
            log_end,
            promised: BTreeMap::new(),
            start: None,
            pending_start: last_start.map(|start| PendingStart {
                start: start + 1,
                write: None,
            }),
            known_starts,
            unaware: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            ticks_since_start: 0,
            verdict: AdmissionVerdict::Pending,
            answers: DurabilityGate::default(),
        }
    }

    /// Returns whether the process may vote.
    pub fn verdict(&self) -> AdmissionVerdict {
        self.verdict
    }

    /// Replaces the voters after a membership change.
    pub fn set_voters(&mut self, voters: &[u64]) {
        self.voters = voters.to_vec();
        self.unaware.retain(|voter| voters.contains(voter));
        self.confirmed.retain(|voter| voters.contains(voter));
    }

    /// Returns whether the start of this incarnation of a voter is known. Only then its messages of
    /// the log may be handled.
    pub fn knows(&self, voter: u64, incarnation: u64) -> bool {
        self.known_starts
            .get(&voter)
            .is_some_and(|known| known.incarnation == incarnation)
    }

    /// Records that a voter has promised a term and to have stored all entries up to an index.
    pub fn record_promise(&mut self, voter: u64, term: u64, index: u64) {
        let promised = self.promised.entry(voter).or_default();
        promised.term = promised.term.max(term);
        promised.index = promised.index.max(index);
    }

    /// Returns whether a voter is known to have promised more than its log contains.
    fn has_promised_beyond(&self, voter: u64, log_end: LogEnd) -> bool {
        self.promised
            .get(&voter)
            .is_some_and(|promised| promised.term > log_end.term || promised.index > log_end.index)
    }

    fn other_voters(&self) -> impl Iterator<Item = u64> {
        self.voters
            .iter()
            .copied()
            .filter(|voter| *voter != self.id)
    }

    /// Writes numbers under a key and returns the number of the write.
    fn write(&mut self, key: Vec<u8>, numbers: &[u64], out: &mut Vec<AdmissionEffect>) -> u64 {
        let number = self.answers.begin_write();
        let value = numbers
            .iter()
            .flat_map(|number| number.to_be_bytes())
            .collect();
        let changes = vec![StorageChange {
            key,
            value: Some(value),
        }];
        out.push(AdmissionEffect::Write { number, changes });
        number
    }

    /// Admits the process if all others have confirmed its start, or enough have and the others
    /// stay silent.
    fn update_verdict(&mut self) {
        let confirmed_with_self = self.confirmed.len() + 1;
        let by_all = confirmed_with_self == self.voters.len();
        let by_majority =
            confirmed_with_self > self.voters.len() / 2 && self.ticks_since_start >= GRACE_TICKS;
        if self.verdict == AdmissionVerdict::Pending && (by_all || by_majority) {
            self.verdict = AdmissionVerdict::Admitted;
        }
    }

    /// Counts a tick: queries or announces again until all others have confirmed the start, or the
    /// promises are known to be lost.
    pub fn tick(&mut self, out: &mut Vec<AdmissionEffect>) {
        if self.verdict == AdmissionVerdict::PromisesLost {
            return;
        }
        if self.start.is_some() {
            self.ticks_since_start += 1;
            self.update_verdict();
        }
        if let Some(PendingStart { start, write: None }) = self.pending_start {
            let write = Some(self.write(START_KEY.to_vec(), &[start], out));
            self.pending_start = Some(PendingStart { start, write });
        }
        let message = match self.start {
            Some(start) => AdmissionMessage::StartAnnounced {
                start,
                incarnation: self.incarnation,
                log_end: self.log_end,
            },
            None if self.pending_start.is_some() => return,
            None => AdmissionMessage::QueryLatestStart,
        };
        let unconfirmed = self
            .other_voters()
            .filter(|voter| !self.confirmed.contains(voter));
        out.extend(unconfirmed.map(|to| AdmissionEffect::Send { to, message }));
    }

    /// Records that all writes up to this number are durable.
    pub fn record_durable(&mut self, number: u64, out: &mut Vec<AdmissionEffect>) {
        self.answers.record_durable(number);
        let durable = self
            .pending_start
            .take_if(|pending| pending.write.is_some_and(|write| write <= number));
        if let Some(pending) = durable {
            self.start = Some(pending.start);
            self.tick(out);
        }
        self.send_answers(out);
    }

    /// Sends the answers whose writes are durable.
    fn send_answers(&mut self, out: &mut Vec<AdmissionEffect>) {
        while let Some(Answer { to, message }) = self.answers.pop_released() {
            out.push(AdmissionEffect::Send { to, message });
        }
    }

    /// Handles a message of another voter.
    pub fn receive(
        &mut self,
        from: u64,
        message: AdmissionMessage,
        out: &mut Vec<AdmissionEffect>,
    ) {
        if !self.other_voters().any(|voter| voter == from) {
            return;
        }
        match message {
            AdmissionMessage::QueryLatestStart => {
                let known = self.known_starts.get(&from).copied().unwrap_or_default();
                out.push(AdmissionEffect::Send {
                    to: from,
                    message: AdmissionMessage::LatestStart(known.start),
                });
            }
            AdmissionMessage::LatestStart(start) => self.handle_latest_start(from, start, out),
            AdmissionMessage::StartAnnounced {
                start,
                incarnation,
                log_end,
            } => {
                let announced = KnownStart { start, incarnation };
                self.handle_announcement(from, announced, log_end, out);
            }
            AdmissionMessage::StartConfirmed(start) => {
                if self.start == Some(start) {
                    self.confirmed.insert(from);
                    self.update_verdict();
                }
            }
            AdmissionMessage::StartOutdated(start) => {
                // Also after the admission: late is better than never.
                if self.start == Some(start) {
                    self.verdict = AdmissionVerdict::PromisesLost;
                }
            }
            // The sender may have an older store than when it confirmed the start.
            AdmissionMessage::AnnounceAgain => {
                self.confirmed.remove(&from);
            }
        }
    }

    fn handle_announcement(
        &mut self,
        from: u64,
        announced: KnownStart,
        log_end: LogEnd,
        out: &mut Vec<AdmissionEffect>,
    ) {
        let known = self.known_starts.get(&from).copied().unwrap_or_default();
        let KnownStart { start, incarnation } = announced;
        let is_newer = start > known.start;
        if is_newer && !self.has_promised_beyond(from, log_end) {
            self.promised.remove(&from);
            self.known_starts.insert(from, announced);
            let key = [KNOWN_START_KEY_PREFIX, &from.to_be_bytes()].concat();
            self.write(key, &[start, incarnation], out);
            self.hold_confirmation(from, start);
        } else if !is_newer && announced == known {
            // Announced again: the answer was lost, or its write is in progress.
            self.hold_confirmation(from, start);
            self.send_answers(out);
        } else {
            // The store is an older one: of an earlier start, or of the same start with less than
            // the voter has promised.
            out.push(AdmissionEffect::Send {
                to: from,
                message: AdmissionMessage::StartOutdated(start),
            });
        }
    }

    fn hold_confirmation(&mut self, to: u64, start: u64) {
        self.answers.hold(Answer {
            to,
            message: AdmissionMessage::StartConfirmed(start),
        });
    }

    /// Handles the answer to a query of this voter, which has nothing stored.
    fn handle_latest_start(&mut self, from: u64, start: u64, out: &mut Vec<AdmissionEffect>) {
        let has_start = self.start.is_some() || self.pending_start.is_some();
        if has_start || self.verdict != AdmissionVerdict::Pending {
            return;
        }
        if start > 0 {
            self.verdict = AdmissionVerdict::PromisesLost;
            return;
        }
        self.unaware.insert(from);
        if self.unaware.len() + 1 == self.voters.len() {
            self.pending_start = Some(PendingStart {
                start: 1,
                write: None,
            });
            self.tick(out);
        }
    }
}
