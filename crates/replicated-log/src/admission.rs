//! Admission of a process as a voter. A voter that restarts with an empty or an older store has
//! lost promises that it made, and must no longer vote under its number.
//!
//! Each start of a voter has a number, which is stored before it is announced. The other voters
//! store the latest start that they know of each voter before they confirm it. If a voter announces
//! a start that the others already know of another process, its store is an older one. A voter with
//! nothing stored asks all others for its latest start: if any of them knows of one, the voter has
//! lost its store; if none does, it has never voted.
//!
//! A process is admitted once all others have confirmed its start, or once it and those that have
//! confirmed it are a majority and the others have been silent for [`GRACE_TICKS`]. Waiting for all
//! without a limit would leave three voters without a majority after one of them has failed
//! permanently and another has been restarted.
//!
//! A store can also be an older one of the same start. This is detected by a voter that has, since
//! its own start, received a message with a later term or an acknowledgement of a higher index from
//! the restarted one; it keeps these in memory only. An older store therefore goes undetected only
//! if all voters that have confirmed the latest start are unreachable for the whole grace period or
//! have lost their stores, or, for an older store of the same start, have been restarted.

use crate::durability_gate::DurabilityGate;
use crate::storage::{LogEnd, StorageChange};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of ticks after the first announcement during which an admission waits for voters that
/// have not confirmed the start.
pub const GRACE_TICKS: u64 = 50;

/// Key of the number of this voter's latest start.
const START_KEY: &[u8] = b"s/start";

/// Prefix of the keys of other voters' latest starts; the number of the voter follows as eight
/// bytes in big-endian order.
const KNOWN_START_KEY_PREFIX: &[u8] = b"s/known/";

/// A message between voters about their admission.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionMessage {
    /// The sender has nothing stored, and asks for its latest start known to the receiver.
    QueryLatestStart,
    /// The latest start of the receiver known to the sender; 0 if it knows of none.
    LatestStart(u64),
    /// The sender has started.
    StartAnnounced {
        /// The number of the start.
        start: u64,
        /// The incarnation of the sender's process.
        incarnation: u64,
        /// The end of the sender's log.
        log_end: LogEnd,
    },
    /// The sender has stored the receiver's start with this number.
    StartConfirmed(u64),
    /// The receiver's store is an older one: the sender already knows this start of another
    /// process, or a later start, or the receiver has made promises that its log does not contain.
    StartOutdated(u64),
    /// The sender does not know the receiver's start; the receiver has to announce it again.
    AnnounceAgain,
}

/// Whether a process may vote.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// The admission has not been decided yet.
    Pending,
    /// It may vote.
    Admitted,
    /// It has lost promises that it made: it must not vote under this number, and can only be added
    /// as a new voter.
    PromisesLost,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Send a message.
    Send {
        /// The number of the voter.
        to: u64,
        /// The message.
        message: AdmissionMessage,
    },
    /// Write these changes, and call [`Admission::record_durable`] once they are durable.
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
    /// Replaces a stored value that can't be decoded. It is later than every start, so that the
    /// voter is treated as having lost its promises, which is safe.
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

/// The number of this voter's start while it is not durable yet.
#[derive(Debug)]
struct PendingStart {
    start: u64,
    /// The number of the write, once the write has begun.
    write: Option<u64>,
}

/// A confirmation to another voter, held back until the confirmed start is durable.
#[derive(Debug)]
struct Confirmation {
    to: u64,
    message: AdmissionMessage,
}

/// The admission of one voter, and its part in the admission of the others.
#[derive(Debug)]
pub struct Admission {
    id: u64,
    /// Distinguishes this process from earlier processes of the same voter.
    incarnation: u64,
    voters: Vec<u64>,
    /// The end of the log when the process started.
    log_end: LogEnd,
    /// The latest term and the highest index that each other voter has promised since its latest
    /// known start.
    promised: BTreeMap<u64, LogEnd>,
    /// The number of this start, once it is durable.
    start: Option<u64>,
    pending_start: Option<PendingStart>,
    /// The latest known start of each other voter.
    known_starts: BTreeMap<u64, KnownStart>,
    /// Voters that have answered that they know of no start of this one.
    reported_no_start: BTreeSet<u64>,
    /// Voters that have confirmed the start of this one.
    confirmed: BTreeSet<u64>,
    /// Number of ticks since the start was first announced.
    ticks_since_start: u64,
    verdict: AdmissionVerdict,
    confirmations: DurabilityGate<Confirmation>,
}

impl Admission {
    /// Creates the admission of the voter `id`, which is one of `voters`, from its stored keys
    /// (those that begin with `s/`) and values. `log_end` is what [`crate::stored_log_end`]
    /// returns.
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
            reported_no_start: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            ticks_since_start: 0,
            verdict: AdmissionVerdict::Pending,
            confirmations: DurabilityGate::default(),
        }
    }

    /// Returns whether the process may vote.
    pub fn verdict(&self) -> AdmissionVerdict {
        self.verdict
    }

    /// Replaces the voters after a membership change.
    pub fn set_voters(&mut self, voters: &[u64]) {
        self.voters = voters.to_vec();
        self.reported_no_start
            .retain(|voter| voters.contains(voter));
        self.confirmed.retain(|voter| voters.contains(voter));
    }

    /// Returns whether the latest known start of a voter is of this incarnation. Only then may its
    /// log messages be handled.
    pub fn knows(&self, voter: u64, incarnation: u64) -> bool {
        self.known_starts
            .get(&voter)
            .is_some_and(|known| known.incarnation == incarnation)
    }

    /// Records that a voter has promised that it has reached `term` and has stored all entries up
    /// to `index`.
    pub fn record_promise(&mut self, voter: u64, term: u64, index: u64) {
        let promised = self.promised.entry(voter).or_default();
        promised.term = promised.term.max(term);
        promised.index = promised.index.max(index);
    }

    /// Returns whether a voter is known to have promised a later term or a higher index than that
    /// of its log.
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
        let number = self.confirmations.begin_write();
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

    /// Admits the process if all others have confirmed its start, or if a majority has (counting
    /// the process itself) and the grace period is over.
    fn update_verdict(&mut self) {
        let confirmed_with_self = self.confirmed.len() + 1;
        let by_all = confirmed_with_self == self.voters.len();
        let by_majority =
            confirmed_with_self > self.voters.len() / 2 && self.ticks_since_start >= GRACE_TICKS;
        if self.verdict == AdmissionVerdict::Pending && (by_all || by_majority) {
            self.verdict = AdmissionVerdict::Admitted;
        }
    }

    /// Advances the time by one tick. Repeats the query or the announcement until all others have
    /// confirmed the start, or the promises are known to be lost.
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
        self.confirmations.record_durable(number);
        let durable = self
            .pending_start
            .take_if(|pending| pending.write.is_some_and(|write| write <= number));
        if let Some(pending) = durable {
            self.start = Some(pending.start);
            self.tick(out);
        }
        self.send_confirmations(out);
    }

    /// Sends the confirmations whose writes are durable.
    fn send_confirmations(&mut self, out: &mut Vec<AdmissionEffect>) {
        while let Some(Confirmation { to, message }) = self.confirmations.pop_released() {
            out.push(AdmissionEffect::Send { to, message });
        }
    }

    /// Handles a message from another voter.
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
                // Also applies after the admission, so that the process stops voting.
                if self.start == Some(start) {
                    self.verdict = AdmissionVerdict::PromisesLost;
                }
            }
            // The sender may have lost what it stored before it confirmed the start.
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
            // Announced again: the confirmation was lost, or the start is still being written.
            self.hold_confirmation(from, start);
            self.send_confirmations(out);
        } else {
            // The voter's store is an older one: it is of an earlier start, or its log ends before
            // what the voter has promised.
            out.push(AdmissionEffect::Send {
                to: from,
                message: AdmissionMessage::StartOutdated(start),
            });
        }
    }

    fn hold_confirmation(&mut self, to: u64, start: u64) {
        self.confirmations.hold(Confirmation {
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
        self.reported_no_start.insert(from);
        if self.reported_no_start.len() + 1 == self.voters.len() {
            self.pending_start = Some(PendingStart {
                start: 1,
                write: None,
            });
            self.tick(out);
        }
    }
}
