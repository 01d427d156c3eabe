//! A node's seat among the voters: whether it has one, whether it may vote, and what it has promised.

use crate::error::NotVotingReason;
use crate::message::Message;
use postproxy_leases::{Command, LeaseTable};
use postproxy_replicated_log::admission::{
    Admission, AdmissionEffect, AdmissionMessage, AdmissionVerdict,
};
use postproxy_replicated_log::{
    MembershipChange, Output as Said, ProposalRejected, StateMachine, StorageChange, Voter,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The log's words are commands on duties.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LeaseStateMachine(pub LeaseTable);

impl StateMachine for LeaseStateMachine {
    fn apply(&mut self, word: &[u8]) {
        // What can't be read says nothing, at every voter alike.
        if let Ok(command) = postcard::from_bytes::<Command>(word) {
            self.0.apply(&command);
        }
    }
}

/// What a seat wants done.
pub enum ReplicaOutput {
    /// To that node.
    Send(String, Message),
    /// Write these; [`Replica::durable`] is told this number.
    Write(u64, Vec<StorageChange>),
    /// What is decided has changed.
    Decided,
}

/// Whose write a number is.
enum Of {
    Seat,
    Admission(u64),
    Voter(u64),
}

/// The seat's key: its number, and whether it is a founder's.
const SEAT: &[u8] = b"c/seat";

type Kept = BTreeMap<Vec<u8>, Vec<u8>>;

/// A seat, and all that goes with it.
pub struct Replica {
    name: String,
    life: u64,
    founders: BTreeMap<u64, String>,
    /// Its number; 0 for none.
    id: u64,
    founder: bool,
    admission: Option<Admission>,
    voter: Option<Voter<LeaseStateMachine>>,
    why: NotVotingReason,
    /// What was kept of the log, until it votes; and the keys that are there now, to be cleared with the seat.
    kept: Kept,
    /// Who votes, and as of which place, as far as it has been told.
    seats: (u64, BTreeMap<u64, String>),
    numbers: u64,
    waiting: VecDeque<(u64, Of)>,
}

impl Replica {
    /// From what was kept (keys that begin with `a/`, `c/` or `s/`); a founder with nothing kept takes the seat that the
    /// settings give it.
    pub fn new(
        name: &str,
        life: u64,
        founders: BTreeMap<u64, String>,
        kept: Kept,
        out: &mut Vec<ReplicaOutput>,
    ) -> Self {
        let seat = kept
            .get(SEAT)
            .and_then(|bytes| postcard::from_bytes::<(u64, bool)>(bytes).ok());
        let own = founders
            .iter()
            .find(|(_, founder)| *founder == name)
            .map(|(id, _)| (*id, true));
        let (id, founder) = seat.or(own).unwrap_or((0, false));
        let mut bench = Self {
            name: name.to_owned(),
            life,
            seats: (0, founders.clone()),
            founders,
            id,
            founder,
            admission: None,
            voter: None,
            why: NotVotingReason::NoSeat,
            kept,
            numbers: 0,
            waiting: VecDeque::new(),
        };
        if id > 0 {
            if seat.is_none() {
                bench.write(Of::Seat, vec![seat_change(id, founder)], out);
            }
            bench.ask();
        }
        bench
    }

    /// Begins to ask whether it may vote.
    fn ask(&mut self) {
        let promises = self.kept.iter().filter(|(key, _)| key.starts_with(b"s/"));
        let promises: Vec<_> = promises
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let mut ids: Vec<u64> = self.seats.1.keys().copied().collect();
        if !ids.contains(&self.id) {
            ids.push(self.id);
        }
        let log = postproxy_replicated_log::stored(&self.kept);
        self.admission = Some(Admission::new(self.id, self.life, &ids, log, promises));
        self.why = NotVotingReason::Waits;
    }

    /// Its number; 0 for none.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The voter, if it votes.
    pub fn voter(&self) -> Option<&Voter<LeaseStateMachine>> {
        self.voter.as_ref()
    }

    /// Why it does not vote.
    pub fn why(&self) -> Option<&NotVotingReason> {
        self.voter.is_none().then_some(&self.why)
    }

    /// Who votes, as far as it knows, and as of which place.
    pub fn seats(&self) -> (u64, &BTreeMap<u64, String>) {
        match &self.voter {
            // One that was added has nothing in its own log yet.
            Some(voter) if voter.place() >= self.seats.0 => (voter.place(), voter.seats()),
            _ => (self.seats.0, &self.seats.1),
        }
    }

    fn write(&mut self, of: Of, changes: Vec<StorageChange>, out: &mut Vec<ReplicaOutput>) {
        for change in &changes {
            match &change.value {
                Some(value) if self.voter.is_none() => {
                    self.kept.insert(change.key.clone(), value.clone());
                }
                // Of a voter's log the keys are enough, to clear them.
                Some(_) => {
                    self.kept.insert(change.key.clone(), Vec::new());
                }
                None => {
                    self.kept.remove(&change.key);
                }
            }
        }
        self.numbers += 1;
        self.waiting.push_back((self.numbers, of));
        out.push(ReplicaOutput::Write(self.numbers, changes));
    }

    /// All writes up to this one are durable.
    pub fn durable(&mut self, number: u64, out: &mut Vec<ReplicaOutput>) {
        while let Some((_, of)) = self.waiting.pop_front_if(|(at, _)| *at <= number) {
            match of {
                Of::Seat => {}
                Of::Admission(number) => {
                    self.admit(|admission, acts| admission.durable(number, acts), out)
                }
                Of::Voter(number) => {
                    self.vote(|voter, said| voter.durable(number, said), out);
                }
            }
        }
    }

    /// Has the admission take something in, and does what comes of it.
    fn admit(
        &mut self,
        act: impl FnOnce(&mut Admission, &mut Vec<AdmissionEffect>),
        out: &mut Vec<ReplicaOutput>,
    ) {
        let Some(admission) = &mut self.admission else {
            return;
        };
        let mut acts = Vec::new();
        act(admission, &mut acts);
        let verdict = admission.verdict();
        for act in acts {
            match act {
                AdmissionEffect::AdmissionMessage(to, say) => {
                    if let Some(name) = self.seats().1.get(&to).cloned() {
                        out.push(ReplicaOutput::Send(
                            name,
                            Message::Admission(self.id, to, say),
                        ));
                    }
                }
                AdmissionEffect::Write(number, changes) => {
                    self.write(Of::Admission(number), changes, out)
                }
            }
        }
        match verdict {
            AdmissionVerdict::Vote
                if self.voter.is_none() && self.why == NotVotingReason::Waits =>
            {
                self.begin(out)
            }
            AdmissionVerdict::Lost if self.why != NotVotingReason::Lost => {
                (self.voter, self.why) = (None, NotVotingReason::Lost);
                out.push(ReplicaOutput::Decided);
            }
            _ => {}
        }
    }

    /// Begins to vote.
    fn begin(&mut self, out: &mut Vec<ReplicaOutput>) {
        let log = self.kept.iter().filter(|(key, _)| key.starts_with(b"a/"));
        let log: Vec<_> = log
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let founders = if self.founder {
            self.founders.clone()
        } else {
            BTreeMap::new()
        };
        match Voter::new(self.id, &founders, log) {
            Ok((voter, said)) => {
                self.voter = Some(voter);
                self.heed(said, out);
                out.push(ReplicaOutput::Decided);
            }
            Err(damage) => self.why = NotVotingReason::Damaged(damage.0),
        }
    }

    /// Has the voter take something in, and does what comes of it.
    fn vote<T>(
        &mut self,
        act: impl FnOnce(&mut Voter<LeaseStateMachine>, &mut Vec<Said>) -> T,
        out: &mut Vec<ReplicaOutput>,
    ) -> Option<T> {
        let voter = self.voter.as_mut()?;
        let mut said = Vec::new();
        let came = act(voter, &mut said);
        self.heed(said, out);
        if let Some(why) = self.voter.as_ref().and_then(Voter::ended) {
            self.why = NotVotingReason::Damaged(why.to_owned());
            self.voter = None;
            out.push(ReplicaOutput::Decided);
        }
        Some(came)
    }

    fn heed(&mut self, said: Vec<Said>, out: &mut Vec<ReplicaOutput>) {
        let mut decided = false;
        for one in said {
            match one {
                Said::Write(number, changes) => self.write(Of::Voter(number), changes, out),
                Said::Send(to, bytes) => {
                    if let Some(name) = self.seats().1.get(&to).cloned() {
                        out.push(ReplicaOutput::Send(name, Message::Log(self.life, bytes)));
                    }
                }
                Said::Decided(..) | Said::Skipped(_) => decided = true,
                Said::Seats => {
                    decided = true;
                    self.reseated();
                }
            }
        }
        if decided {
            out.push(ReplicaOutput::Decided);
        }
    }

    /// Who votes has changed, by this voter's own log.
    fn reseated(&mut self) {
        let (place, seats) = self.seats();
        self.seats = (place, seats.clone());
        let ids: Vec<u64> = self.seats.1.keys().copied().collect();
        if let Some(admission) = self.admission.as_mut().filter(|_| ids.contains(&self.id)) {
            admission.seats(&ids);
        }
    }

    /// A tick: twenty a second.
    pub fn tick(&mut self, out: &mut Vec<ReplicaOutput>) {
        if matches!(self.why, NotVotingReason::Waits) {
            self.admit(Admission::tick, out);
        }
        self.vote(Voter::tick, out);
        // One that was taken away by a word that it has decided itself.
        if self.id > 0
            && self.voter.is_some()
            && !self.seats().1.contains_key(&self.id)
            && self.seats().0 > 1
        {
            self.leave(0, out);
        }
    }

    /// A seat says something on who may vote.
    pub fn admission(
        &mut self,
        from: u64,
        to: u64,
        say: AdmissionMessage,
        out: &mut Vec<ReplicaOutput>,
    ) {
        if to == self.id {
            self.admit(|admission, acts| admission.receive(from, say, acts), out);
        }
    }

    /// A voter says something on the log; whether it was taken in.
    /// Words of a life whose start is not known here count for nothing: what it comes back with is looked at first.
    pub fn log(
        &mut self,
        from: u64,
        life: u64,
        bytes: &[u8],
        out: &mut Vec<ReplicaOutput>,
    ) -> bool {
        let Some(admission) = &mut self.admission else {
            return false;
        };
        if !admission.knows(from, life) {
            if let Some(name) = self.seats().1.get(&from).cloned() {
                out.push(ReplicaOutput::Send(
                    name,
                    Message::Admission(self.id, from, AdmissionMessage::Again),
                ));
            }
            return false;
        }
        let (_, term, place) = postproxy_replicated_log::promise(bytes);
        admission.heard(from, term, place);
        self.vote(|voter, said| voter.receive(bytes, said), out)
            .unwrap_or_default()
    }

    /// What was on the way to and from a node may be lost.
    pub fn reconnected(&mut self, name: &str, out: &mut Vec<ReplicaOutput>) {
        let seat = self
            .seats()
            .1
            .iter()
            .find(|(_, of)| *of == name)
            .map(|(id, _)| *id);
        if let Some(seat) = seat.filter(|seat| *seat != self.id) {
            self.vote(|voter, said| voter.reconnected(seat, said), out);
        }
    }

    /// Puts a word to the log.
    pub fn propose(
        &mut self,
        command: &Command,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ProposalRejected> {
        let word = postcard::to_stdvec(command).unwrap_or_default();
        self.vote(|voter, said| voter.propose(word, said), out)
            .unwrap_or(Err(ProposalRejected::Leaderless))
    }

    /// Changes who votes.
    pub fn seat(
        &mut self,
        change: &MembershipChange,
        out: &mut Vec<ReplicaOutput>,
    ) -> Result<(), ProposalRejected> {
        self.vote(|voter, said| voter.seat(change, said), out)
            .unwrap_or(Err(ProposalRejected::Leaderless))
    }

    /// Another node tells who votes as of a place of the log. What this one's own log says goes before.
    pub fn told(&mut self, place: u64, seats: BTreeMap<u64, String>, out: &mut Vec<ReplicaOutput>) {
        if place <= self.seats().0 {
            return;
        }
        let own = seats
            .iter()
            .find(|(_, name)| **name == self.name)
            .map(|(id, _)| *id);
        let ids: Vec<u64> = seats.keys().copied().collect();
        self.seats = (place, seats);
        match own {
            Some(id) if id == self.id => {
                if let Some(admission) = self.admission.as_mut().filter(|_| self.voter.is_none()) {
                    admission.seats(&ids);
                }
            }
            // A new seat: all that went with an older one is over. Numbers only grow, so a late word gives none back.
            Some(id) if id > self.id => self.leave(id, out),
            Some(_) => {}
            None if self.id > 0 => self.leave(0, out),
            None => {}
        }
    }

    /// Its seat is over; it may have got another.
    fn leave(&mut self, next: u64, out: &mut Vec<ReplicaOutput>) {
        (self.voter, self.admission) = (None, None);
        let gone = |key: &[u8]| key.starts_with(b"a/") || key.starts_with(b"s/");
        let clear = self.kept.keys().filter(|key| gone(key));
        let mut changes: Vec<StorageChange> = clear
            .map(|key| StorageChange {
                key: key.clone(),
                value: None,
            })
            .collect();
        changes.push(seat_change(next, false));
        // What others said of seats is told again when they start.
        self.waiting.clear();
        (self.id, self.founder, self.why) = (next, false, NotVotingReason::Removed);
        self.write(Of::Seat, changes, out);
        if next > 0 {
            self.ask();
        }
        out.push(ReplicaOutput::Decided);
    }
}

fn seat_change(id: u64, founder: bool) -> StorageChange {
    StorageChange {
        key: SEAT.to_vec(),
        value: postcard::to_stdvec(&(id, founder)).ok(),
    }
}
