//! Whether a process may vote under its number. A voter that comes back with an empty or an older store has lost what it had
//! promised, and must not.
//!
//! Each start has a number, which is kept before it is told; the others keep the highest that they have heard of each voter before
//! they say that they have. Who hears that a start of its number, or a later one, is known already has an older store. Who has kept
//! nothing asks all others: where anybody knows of a start, it has lost its store; where nobody does, it has never voted.
//!
//! A process may vote once all others have heard of its start, or a majority with itself has and the rest stay silent for [`GRACE`].
//! An older store of the same start is seen by who has heard its voter speak in a later term, or say to have more, since its own start:
//! that is not kept. So an old store goes unnoticed only if all who had heard of its latest start are away, or have lost their stores,
//! for as long; or, of the same start, if they have been started anew. To wait for
//! all without an end would leave three voters without a majority once one has died for good and another is started anew.

use crate::durability_gate::DurabilityGate;
use crate::storage::StorageChange;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What voters say to each other before they vote.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AdmissionMessage {
    /// Who has kept nothing asks: what is known of my number?
    Who,
    /// The highest start known of the asker, 0 for none.
    Known(u64),
    /// This is the start of the sender's of this number, by the process of this life, with a log of this term that ends here.
    Started(u64, u64, (u64, u64)),
    /// It is kept.
    Seen(u64),
    /// This start of another process, or a later one, was known before.
    Old(u64),
    /// The receiver's start is not known here: it is to say it again.
    Again,
}

/// What may be done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionVerdict {
    /// Not known yet.
    Wait,
    /// It may vote.
    Vote,
    /// It has lost its promises: it must not, and can only be added anew.
    Lost,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Say this to that voter.
    AdmissionMessage(u64, AdmissionMessage),
    /// Write these; [`Admission::durable`] is told when they are.
    Write(u64, Vec<StorageChange>),
}

/// Of one voter, from its start on.
#[derive(Debug)]
pub struct Admission {
    me: u64,
    /// Drawn at the start of the process: what it says again is told from what another says.
    life: u64,
    voters: Vec<u64>,
    /// The term of its log and where it ended when it started.
    log: (u64, u64),
    /// The highest term that each voter has spoken in, and the furthest place that it has said to have, in the life that is known.
    heard: BTreeMap<u64, (u64, u64)>,
    /// Its start, once it is kept.
    start: Option<u64>,
    /// Of the others: their latest start, and of which life.
    known: BTreeMap<u64, (u64, u64)>,
    empty: BTreeSet<u64>,
    seen: BTreeSet<u64>,
    /// Ticks since its start was told first.
    waited: u64,
    verdict: AdmissionVerdict,
    /// Its own start's write, until that is durable.
    starting: Option<(u64, u64)>,
    /// Answers, each with to whom.
    answers: DurabilityGate<(u64, AdmissionMessage)>,
}

/// So many ticks others are waited for who say nothing.
pub const GRACE: u64 = 50;

const START: &[u8] = b"s/start";
const KNOWN: &[u8] = b"s/known/";

impl Admission {
    /// The voter of this number among these, from what it had kept (keys that begin with `s/`), with a log of this term that ends
    /// there ([`crate::stored`]).
    pub fn new(
        me: u64,
        life: u64,
        voters: &[u64],
        log: (u64, u64),
        kept: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
    ) -> Self {
        let number = |bytes: &[u8]| bytes.try_into().map(u64::from_be_bytes).ok();
        let both = |bytes: &[u8]| Some((number(bytes.get(..8)?)?, number(bytes.get(8..)?)?));
        let (mut start, mut known) = (None, BTreeMap::new());
        for (key, value) in kept {
            // What can't be read counts as lost, which is the careful side.
            match key.strip_prefix(KNOWN).and_then(number) {
                Some(voter) => {
                    known.insert(voter, both(&value).unwrap_or((u64::MAX, 0)));
                }
                None if key == START => start = number(&value),
                None => {}
            }
        }
        Self {
            me,
            life,
            voters: voters.to_vec(),
            log,
            heard: BTreeMap::new(),
            start: None,
            known,
            empty: BTreeSet::new(),
            seen: BTreeSet::new(),
            waited: 0,
            verdict: AdmissionVerdict::Wait,
            starting: start.map(|start| (0, start + 1)),
            answers: DurabilityGate::default(),
        }
    }

    /// What may be done.
    pub fn verdict(&self) -> AdmissionVerdict {
        self.verdict
    }

    /// Who votes has changed.
    pub fn seats(&mut self, voters: &[u64]) {
        self.voters = voters.to_vec();
        self.empty.retain(|voter| voters.contains(voter));
        self.seen.retain(|voter| voters.contains(voter));
    }

    /// Whether the log's words of this life of a voter count: its start is known.
    pub fn knows(&self, voter: u64, life: u64) -> bool {
        self.known.get(&voter).is_some_and(|(_, of)| *of == life)
    }

    /// A voter has spoken in this term, and said to have all up to this place.
    pub fn heard(&mut self, voter: u64, term: u64, place: u64) {
        let heard = self.heard.entry(voter).or_default();
        *heard = (heard.0.max(term), heard.1.max(place));
    }

    /// Whether a voter has promised more than it comes back with, as far as this one has heard.
    fn promised(&self, voter: u64, log: (u64, u64)) -> bool {
        self.heard
            .get(&voter)
            .is_some_and(|heard| heard.0 > log.0 || heard.1 > log.1)
    }

    fn others(&self) -> impl Iterator<Item = u64> {
        self.voters
            .iter()
            .copied()
            .filter(|voter| *voter != self.me)
    }

    fn write(&mut self, key: Vec<u8>, numbers: &[u64], out: &mut Vec<AdmissionEffect>) -> u64 {
        let write = self.answers.write();
        let value = Some(
            numbers
                .iter()
                .flat_map(|number| number.to_be_bytes())
                .collect(),
        );
        out.push(AdmissionEffect::Write(
            write,
            vec![StorageChange { key, value }],
        ));
        write
    }

    /// It may vote once all have heard, or enough and the others are silent.
    fn judge(&mut self) {
        let all = self.seen.len() + 1 == self.voters.len();
        let enough = self.seen.len() + 1 > self.voters.len() / 2 && self.waited >= GRACE;
        if self.verdict == AdmissionVerdict::Wait && (all || enough) {
            self.verdict = AdmissionVerdict::Vote;
        }
    }

    /// A tick, some ten a second: asks and tells again until all have heard, or it must not vote.
    pub fn tick(&mut self, out: &mut Vec<AdmissionEffect>) {
        if self.verdict == AdmissionVerdict::Lost {
            return;
        }
        if self.start.is_some() {
            self.waited += 1;
            self.judge();
        }
        if let Some((0, start)) = self.starting {
            let write = self.write(START.to_vec(), &[start], out);
            self.starting = Some((write, start));
        }
        let say = match (self.start, self.starting) {
            (Some(start), _) => AdmissionMessage::Started(start, self.life, self.log),
            (None, Some(_)) => return,
            (None, None) => AdmissionMessage::Who,
        };
        let unheard: Vec<u64> = self
            .others()
            .filter(|voter| !self.seen.contains(voter))
            .collect();
        out.extend(
            unheard
                .into_iter()
                .map(|voter| AdmissionEffect::AdmissionMessage(voter, say)),
        );
    }

    /// All writes up to this one are durable.
    pub fn durable(&mut self, number: u64, out: &mut Vec<AdmissionEffect>) {
        self.answers.durable(number);
        if let Some((_, start)) = self
            .starting
            .take_if(|(write, _)| *write > 0 && *write <= number)
        {
            self.start = Some(start);
            self.tick(out);
        }
        self.answer(out);
    }

    /// Gives the answers that may be given.
    fn answer(&mut self, out: &mut Vec<AdmissionEffect>) {
        while let Some((to, say)) = self.answers.free() {
            out.push(AdmissionEffect::AdmissionMessage(to, say));
        }
    }

    /// A voter says something.
    pub fn receive(&mut self, from: u64, say: AdmissionMessage, out: &mut Vec<AdmissionEffect>) {
        if !self.others().any(|voter| voter == from) {
            return;
        }
        let known = self.known.get(&from).copied().unwrap_or((0, 0));
        match say {
            AdmissionMessage::Who => out.push(AdmissionEffect::AdmissionMessage(
                from,
                AdmissionMessage::Known(known.0),
            )),
            // It has said to have more than it has now: its store is an older one of the same start.
            AdmissionMessage::Started(start, _, log)
                if start > known.0 && self.promised(from, log) =>
            {
                out.push(AdmissionEffect::AdmissionMessage(
                    from,
                    AdmissionMessage::Old(start),
                ));
            }
            AdmissionMessage::Started(start, life, _) if start > known.0 => {
                self.heard.remove(&from);
                self.known.insert(from, (start, life));
                self.write([KNOWN, &from.to_be_bytes()].concat(), &[start, life], out);
                self.answers.hold((from, AdmissionMessage::Seen(start)));
            }
            // Told again: the answer was lost, or its write is under way.
            AdmissionMessage::Started(start, life, _) if (start, life) == known => {
                self.answers.hold((from, AdmissionMessage::Seen(start)));
                self.answer(out);
            }
            AdmissionMessage::Started(start, ..) => out.push(AdmissionEffect::AdmissionMessage(
                from,
                AdmissionMessage::Old(start),
            )),
            AdmissionMessage::Known(start) => {
                if self.start.is_some()
                    || self.starting.is_some()
                    || self.verdict != AdmissionVerdict::Wait
                {
                    return;
                }
                if start > 0 {
                    self.verdict = AdmissionVerdict::Lost;
                    return;
                }
                self.empty.insert(from);
                if self.empty.len() + 1 == self.voters.len() {
                    self.starting = Some((0, 1));
                    self.tick(out);
                }
            }
            // Who asks may have an older store than when it said that it had seen it.
            AdmissionMessage::Again => {
                self.seen.remove(&from);
            }
            AdmissionMessage::Seen(start) => {
                if self.start == Some(start) {
                    self.seen.insert(from);
                    self.judge();
                }
            }
            AdmissionMessage::Old(start) => {
                // Also after it was let vote: better late.
                if self.start == Some(start) {
                    self.verdict = AdmissionVerdict::Lost;
                }
            }
        }
    }
}
