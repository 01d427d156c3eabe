//! The whole of it: seat, duties, calls.

use crate::error::{Error, NotVotingReason};
use crate::message::{FollowerSnapshot, Message, decode, encode};
use crate::replica::{Replica, ReplicaOutput};
use postproxy_leases::{
    Command, FencingToken, LeaseGranter, LeaseHolder, LeasePermit, LeaseTable, LeaseTiming,
    MAX_NAME_BYTES, Operation, Response,
};
use postproxy_replicated_log::{MembershipChange, ProposalRejected, StorageChange, Voter};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Between ticks of the log, in milliseconds.
const TICK: u64 = 50;
/// A call without an answer is made again after this.
const AGAIN: u64 = 400;
/// A call of this node's own is given up after this, and its answer is not known.
const PATIENCE: u64 = 5000;
/// The same for a renewal: the next one asks for what is owned then.
const RENEWAL: u64 = 1000;
/// Calls that wait here at most, and others' that wait to be decided.
pub const MAX_QUEUED_CALLS: usize = 64;
const MOST_OTHERS: usize = 4096;
/// A voter that has said nothing for longer is not counted among the living.
const HEARD: u64 = 2000;
/// How often a node without a vote asks what is decided; how often a leader tells seats that say nothing who votes, and a lost one says so.
const FOLLOW: u64 = 500;
const REMIND: u64 = 1000;
/// Those who would own a free duty ask within this, each at a time of its own; who has been made to give one up waits a lease longer.
const SPREAD: u64 = 150;

/// What a council goes by.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node.
    pub name: String,
    /// The fleet.
    pub cluster: String,
    /// The nodes that vote where no log has said otherwise.
    pub founders: BTreeSet<String>,
    /// Leases.
    pub times: LeaseTiming,
    /// The duties that this node stands for.
    pub duties: BTreeSet<String>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this to that node; it must arrive, or the loss be told by [`Coordinator::reconnected`].
    Send(String, Vec<u8>),
    /// Write these, all or none, in the order of their numbers; [`Coordinator::durable`] is told when they are.
    Write(u64, Vec<StorageChange>),
    /// Something is new.
    Event(Event),
}

/// What is new.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A call of this ticket has come to this.
    Answered(u64, Result<Response, Error>),
    /// A change of the voters of this ticket has come to this.
    Seated(u64, Result<(), Error>),
    /// This node owns a duty under this token, with this value.
    Gained(String, FencingToken, Vec<u8>),
    /// It owns it no more, as of this token.
    Lost(String, FencingToken),
    /// Who owns a duty has changed; nobody does, or this node under this token.
    Owner(String, Option<(String, FencingToken)>),
    /// Who leads the log has changed, as far as this node knows.
    Leader(Option<String>),
    /// Whether this node votes has changed; why not, if not.
    Votes(Option<NotVotingReason>),
    /// What is decided has changed.
    Decided,
    /// A pause: nothing that was thought to be owned counts until it is renewed.
    Paused,
}

/// A duty as the door shows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseStatus {
    /// Its name.
    pub duty: String,
    /// Who owns it, under which token.
    pub owner: Option<String>,
    /// See above.
    pub token: Option<FencingToken>,
    /// Who is to own it next.
    pub next: Option<String>,
    /// The size of its value, in bytes.
    pub value_bytes: usize,
    /// For how long this node may still act for it, in milliseconds, if it owns it.
    pub left_ms: Option<u64>,
}

/// A seat as the door shows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReplicaStatus {
    /// Its number.
    pub seat: u64,
    /// The node that has it.
    pub node: String,
    /// Whether it has been heard of late, by a voter; none where this node can't tell.
    pub heard: Option<bool>,
    /// Whether it has said that it lost what it had promised.
    pub lost: bool,
}

/// What the door shows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The node that tells.
    pub node: String,
    /// Whether it votes; why not, if it has or had a seat.
    pub votes: bool,
    /// See above.
    pub why: Option<NotVotingReason>,
    /// Who leads the log.
    pub leader: Option<String>,
    /// The place of the log that this node knows.
    pub place: u64,
    /// Who votes.
    pub voters: Vec<ReplicaStatus>,
    /// Who owns what.
    pub duties: Vec<LeaseStatus>,
    /// The latest token.
    pub token: FencingToken,
}

struct PendingCall {
    ticket: u64,
    command: Command,
    asked: u64,
    sent: u64,
    until: u64,
}

struct PendingChange {
    /// The node that asked, and its ticket; none for this one.
    by: (Option<String>, u64),
    add: bool,
    name: String,
    until: u64,
}

/// A node's part in what the fleet decides.
pub struct Coordinator {
    set: Settings,
    founding: u64,
    life: u64,
    draws: Pcg64Mcg,
    bench: Replica,
    granter: LeaseGranter,
    expired: u64,
    holder: LeaseHolder,
    /// Numbers of calls; the one that waits for its answer, and those behind it.
    number: u64,
    open: Option<PendingCall>,
    queue: VecDeque<(u64, Operation, u64)>,
    /// Others' calls that are on their way through this voter's log: whom to tell.
    others: BTreeMap<(String, u64, u64), String>,
    /// What was told to a node that does not vote.
    picture: FollowerSnapshot,
    /// When each voter was heard last, and who has lost its promises.
    heard: BTreeMap<u64, u64>,
    lost: BTreeSet<u64>,
    changes: Vec<PendingChange>,
    /// This node's own changes that another is asked to make: when it was asked last, and until when it is tried.
    asked: BTreeMap<u64, (bool, String, u64, u64)>,
    /// Duties seen free, and when this node asks for each.
    free: BTreeMap<String, u64>,
    /// What was told last of owners, the leader, and the vote.
    owners: BTreeMap<String, (String, FencingToken)>,
    leader: Option<String>,
    votes: Option<NotVotingReason>,
    tick: u64,
    follow: u64,
    remind: u64,
    /// Which voter is asked next by a node that does not vote.
    turn: usize,
}

impl Coordinator {
    /// A node's part, in a new life of its process, from what it had kept (keys that begin with `a/`, `c/` or `s/`). The life must
    /// differ from every other's.
    pub fn new(
        set: Settings,
        now: u64,
        life: u64,
        kept: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>,
        out: &mut Vec<Output>,
    ) -> Self {
        let founders: BTreeMap<u64, String> = (1..).zip(set.founders.iter().cloned()).collect();
        let mut todo = Vec::new();
        let bench = Replica::new(
            &set.name,
            life,
            founders,
            kept.into_iter().collect(),
            &mut todo,
        );
        let (granter, holder) = (LeaseGranter::new(set.times), LeaseHolder::new(set.times));
        let founding = crate::message::founding(&set.cluster, &set.founders);
        let (picture, votes) = (FollowerSnapshot::default(), Some(NotVotingReason::NoSeat));
        let mut council = Self {
            set,
            founding,
            life,
            draws: Pcg64Mcg::seed_from_u64(life),
            bench,
            granter,
            expired: 0,
            holder,
            number: 0,
            open: None,
            queue: VecDeque::new(),
            others: BTreeMap::new(),
            picture,
            heard: BTreeMap::new(),
            lost: BTreeSet::new(),
            changes: Vec::new(),
            asked: BTreeMap::new(),
            free: BTreeMap::new(),
            owners: BTreeMap::new(),
            leader: None,
            votes,
            tick: now,
            follow: now,
            remind: now,
            turn: 0,
        };
        council.carry(now, todo, out);
        council
    }

    /// What has been decided, as far as this node knows.
    pub fn state(&self) -> &LeaseTable {
        self.bench
            .voter()
            .map_or(&self.picture.state, |voter| &voter.state().0)
    }

    /// The place of the log that this node knows.
    pub fn place(&self) -> u64 {
        self.bench.voter().map_or(self.picture.place, Voter::place)
    }

    /// Whether this node may act for a duty now; asked before each effect.
    pub fn may(&self, now: u64, duty: &str) -> Option<LeasePermit> {
        self.holder.may(now, duty)
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        self.bench.voter().is_some()
    }

    /// Who votes.
    pub fn seats(&self) -> &BTreeMap<u64, String> {
        let (place, seats) = self.bench.seats();
        if self.bench.voter().is_none() && self.picture.place > place {
            &self.picture.seats
        } else {
            seats
        }
    }

    /// Who leads the log, as far as this node knows.
    pub fn leader(&self) -> Option<&String> {
        match self.bench.voter() {
            Some(voter) => voter.leader().and_then(|seat| voter.seats().get(&seat)),
            None => self.picture.leader.as_ref(),
        }
    }

    /// When it is to be called next.
    pub fn next(&self) -> u64 {
        self.tick
    }

    /// A turn of the loop: at least every 250 ms while it owns anything.
    pub fn turn(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.holder.turn(now) {
            out.push(Output::Event(Event::Paused));
        }
        if now < self.tick {
            return;
        }
        // After a pause one tick, not all that were missed: else all others would be taken for silent at once.
        self.tick = now + TICK;
        let mut todo = Vec::new();
        self.bench.tick(&mut todo);
        self.carry(now, todo, out);
        self.expire(now, out);
        self.reseat(now, out);
        self.follow(now, out);
        self.stand(now, out);
        self.ask(now, out);
    }

    /// All writes up to this one are durable.
    pub fn durable(&mut self, now: u64, number: u64, out: &mut Vec<Output>) {
        let mut todo = Vec::new();
        self.bench.durable(number, &mut todo);
        self.carry(now, todo, out);
    }

    /// What was on the way to and from a node may be lost.
    pub fn reconnected(&mut self, now: u64, name: &str, out: &mut Vec<Output>) {
        let mut todo = Vec::new();
        self.bench.reconnected(name, &mut todo);
        self.carry(now, todo, out);
    }

    /// Puts a call to the log; what it comes to is told with its ticket, which is above 0.
    pub fn call(&mut self, now: u64, ticket: u64, call: Operation, out: &mut Vec<Output>) {
        if self.queue.len() >= MAX_QUEUED_CALLS {
            return out.push(Output::Event(Event::Answered(ticket, Err(Error::Busy))));
        }
        if let Operation::Release(duty, token) = &call {
            self.give_up(now, duty, *token, out);
        }
        self.queue.push_back((ticket, call, now + PATIENCE));
        self.ask(now, out);
    }

    /// Gives a node a seat, or takes it away; what becomes of it is told with the ticket.
    pub fn seating(&mut self, now: u64, ticket: u64, add: bool, name: &str, out: &mut Vec<Output>) {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return out.push(Output::Event(Event::Seated(ticket, Err(Error::Name))));
        }
        self.asked
            .insert(ticket, (add, name.to_owned(), 0, now + PATIENCE));
        self.reseat(now, out);
    }

    /// Another node says something; `false` if it is no word of this founding's.
    pub fn receive(&mut self, now: u64, from: &str, bytes: &[u8], out: &mut Vec<Output>) -> bool {
        let Some(talk) = decode(self.founding, bytes) else {
            return false;
        };
        let seat = self
            .seats()
            .iter()
            .find(|(_, name)| *name == from)
            .map(|(seat, _)| *seat);
        if let Some(seat) = seat {
            self.heard.insert(seat, now);
        }
        let mut todo = Vec::new();
        match talk {
            Message::Admission(of, to, say) if seat == Some(of) => {
                self.bench.admission(of, to, say, &mut todo)
            }
            // One that has no seat any more, or speaks for one that it had before, is told so.
            Message::Log(life, bytes) => {
                match (seat, postproxy_replicated_log::promise(&bytes).0) {
                    (Some(seat), of) if of == seat || of == 0 => {
                        self.bench.log(seat, life, &bytes, &mut todo);
                    }
                    _ => self.tell_seats(from, out),
                }
            }
            Message::Admission(..) => self.tell_seats(from, out),
            Message::Seats(place, seats) => self.bench.told(place, seats, &mut todo),
            Message::Lost(of) => {
                if seat == Some(of) {
                    self.lost.insert(of);
                }
            }
            Message::Operation(command) => self.pass_on(now, from, command, out),
            Message::Came(life, number, answer) => {
                if life == self.life {
                    self.came(now, number, answer, out);
                }
            }
            Message::MembershipChange(ticket, add, name) => {
                self.seating_for(now, Some(from.to_owned()), ticket, add, name, out)
            }
            Message::Seated(ticket, came) => self.seated(ticket, came, out),
            Message::Follow(place) => self.show(from, place, out),
            Message::Decided(picture) => {
                if picture.place >= self.picture.place && self.bench.voter().is_none() {
                    let seats = picture.seats.clone();
                    self.picture = *picture;
                    self.bench.told(self.picture.place, seats, &mut todo);
                    todo.push(ReplicaOutput::Decided);
                }
            }
        }
        self.carry(now, todo, out);
        true
    }

    /// What the door shows.
    pub fn view(&self, now: u64) -> Status {
        let voter = self.bench.voter();
        let fresh = |seat: &u64| *seat == self.bench.id() || self.heard_of(now, *seat);
        let shown = |(seat, node): (&u64, &String)| ReplicaStatus {
            seat: *seat,
            node: node.clone(),
            heard: voter.map(|_| fresh(seat)),
            lost: self.lost.contains(seat)
                || *seat == self.bench.id() && self.bench.why() == Some(&NotVotingReason::Lost),
        };
        let owned = |(name, duty): (&str, &postproxy_leases::Lease)| LeaseStatus {
            duty: name.to_owned(),
            owner: duty.owner.as_ref().map(|(owner, _)| owner.clone()),
            token: duty.owner.as_ref().map(|(_, token)| *token),
            next: duty.next.clone(),
            value_bytes: duty.value.len(),
            left_ms: self.holder.may(now, name).map(|permit| permit.left()),
        };
        Status {
            node: self.set.name.clone(),
            votes: voter.is_some(),
            why: self
                .bench
                .why()
                .filter(|why| **why != NotVotingReason::NoSeat)
                .cloned(),
            leader: self.leader().cloned(),
            place: self.place(),
            voters: self.seats().iter().map(shown).collect(),
            duties: self.state().duties().map(owned).collect(),
            token: self.state().token(),
        }
    }

    fn heard_of(&self, now: u64, seat: u64) -> bool {
        self.heard.get(&seat).is_some_and(|at| at + HEARD > now)
    }

    fn say(&self, to: &str, talk: &Message, out: &mut Vec<Output>) {
        out.push(Output::Send(to.to_owned(), encode(self.founding, talk)));
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.draws.next_u64() % below.max(1)
    }

    /// Does what the seat wants done.
    fn carry(&mut self, now: u64, todo: Vec<ReplicaOutput>, out: &mut Vec<Output>) {
        let mut decided = false;
        for one in todo {
            match one {
                ReplicaOutput::Send(to, talk) => self.say(&to, &talk, out),
                ReplicaOutput::Write(number, changes) => out.push(Output::Write(number, changes)),
                ReplicaOutput::Decided => decided = true,
            }
        }
        if decided {
            self.decided(now, out);
        }
        self.notice(out);
    }

    /// Tells who leads and whether this node votes, where that is new.
    fn notice(&mut self, out: &mut Vec<Output>) {
        let leader = self.leader().cloned();
        if leader != self.leader {
            self.leader.clone_from(&leader);
            out.push(Output::Event(Event::Leader(leader)));
        }
        let votes = self.bench.why().cloned();
        if votes != self.votes {
            self.votes.clone_from(&votes);
            out.push(Output::Event(Event::Votes(votes)));
        }
    }

    /// What is decided has changed: owners, and answers to calls.
    fn decided(&mut self, now: u64, out: &mut Vec<Output>) {
        if let Some(voter) = self.bench.voter() {
            self.granter.applied(now, &voter.state().0);
        }
        let owners: BTreeMap<String, (String, FencingToken)> = self
            .state()
            .duties()
            .filter_map(|(name, duty)| Some((name.to_owned(), duty.owner.clone()?)))
            .collect();
        for (name, owner) in &owners {
            if self.owners.get(name) != Some(owner) {
                out.push(Output::Event(Event::Owner(
                    name.clone(),
                    Some(owner.clone()),
                )));
            }
        }
        for name in self
            .owners
            .keys()
            .filter(|name| !owners.contains_key(*name))
        {
            out.push(Output::Event(Event::Owner(name.clone(), None)));
        }
        self.owners = owners;
        // The latest granted token tells whether this copy of the log already contains the grant. If it does and the duty is not
        // this node's under that token, then the lease has ended: another node owns the duty, or it was released elsewhere.
        let latest_token = self.state().token();
        for (duty, token) in self.holder.all() {
            let own = self
                .owners
                .get(&duty)
                .is_some_and(|(owner, of)| *owner == self.set.name && *of == token);
            if !own && token <= latest_token {
                self.give_up(now, &duty, token, out);
            }
        }
        if let Some((name, life, number)) = self
            .open
            .as_ref()
            .map(|o| (&o.command.node, o.command.life, o.command.number))
        {
            let answer = self.state().answer(name, life, number).cloned();
            if let Some(answer) = answer {
                self.came(now, number, answer, out);
            }
        }
        let mut told = Vec::new();
        for ((name, life, number), to) in &self.others {
            if let Some(answer) = self.state().answer(name, *life, *number) {
                told.push((name.clone(), *life, *number, to.clone(), answer.clone()));
            }
        }
        for (name, life, number, to, answer) in told {
            self.others.remove(&(name, life, number));
            self.say(&to, &Message::Came(life, number, answer), out);
        }
        out.push(Output::Event(Event::Decided));
    }

    /// Duty lost, as of this token.
    fn give_up(&mut self, now: u64, duty: &str, token: FencingToken, out: &mut Vec<Output>) {
        if self
            .holder
            .all()
            .iter()
            .any(|(name, own)| name == duty && *own <= token)
        {
            self.holder.lost(duty, token);
            self.free
                .insert(duty.to_owned(), now + self.set.times.lease);
            out.push(Output::Event(Event::Lost(duty.to_owned(), token)));
        }
    }

    /// Leases that are over, where this node leads.
    fn expire(&mut self, now: u64, out: &mut Vec<Output>) {
        let leads = self.bench.voter().is_some_and(Voter::leads);
        self.granter.lead(leads);
        if let Some(call) = self.granter.due(now) {
            self.expired += 1;
            // No node has such a name.
            let node = format!("\u{1}seat {}", self.bench.id());
            let command = Command {
                node,
                life: self.life,
                number: self.expired,
                call,
            };
            let mut todo = Vec::new();
            // What is refused is put again.
            let _ = self.bench.propose(&command, &mut todo);
            self.carry(now, todo, out);
        }
    }

    /// Asks for what this node stands for, and for what it has been handed.
    fn stand(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.place() == 0 || self.open.is_some() && self.queue.len() >= MAX_QUEUED_CALLS / 2 {
            return;
        }
        let held: BTreeSet<String> = self
            .holder
            .all()
            .into_iter()
            .map(|(duty, _)| duty)
            .collect();
        let owner = |duty: &String| self.owners.get(duty).map(|(owner, _)| owner.as_str());
        let mine = self
            .owners
            .keys()
            .filter(|duty| owner(duty) == Some(self.set.name.as_str()));
        let wanted = self
            .set
            .duties
            .iter()
            .filter(|duty| owner(duty).is_none())
            .chain(mine);
        let wanted: BTreeSet<String> = wanted
            .filter(|duty| !held.contains(*duty))
            .cloned()
            .collect();
        self.free
            .retain(|duty, until| wanted.contains(duty) || *until > now);
        let asks = |call: &Operation, duty: &String| matches!(call, Operation::Acquire(of) | Operation::Release(of, _) if of == duty);
        for duty in wanted {
            let after = self.draw(SPREAD);
            let at = *self.free.entry(duty.clone()).or_insert(now + after);
            let asked = self
                .open
                .as_ref()
                .is_some_and(|open| asks(&open.command.call, &duty));
            if at <= now && !asked && !self.queue.iter().any(|(_, call, _)| asks(call, &duty)) {
                self.free.insert(duty.clone(), now + RENEWAL);
                self.call(now, 0, Operation::Acquire(duty), out);
            }
        }
    }

    /// Makes the next call, or the open one again; a renewal goes before all others.
    fn ask(&mut self, now: u64, out: &mut Vec<Output>) {
        if let Some(open) = self.open.take_if(|open| open.until <= now) {
            self.answered(open.ticket, Err(self.nobody(now)), out);
        }
        // Also what waits behind a call that is not answered has its time.
        let (over, rest): (VecDeque<_>, VecDeque<_>) = self
            .queue
            .drain(..)
            .partition(|(_, _, until)| *until <= now);
        self.queue = rest;
        for (ticket, ..) in over {
            self.answered(ticket, Err(self.nobody(now)), out);
        }
        let renewal = |call: &Operation| matches!(call, Operation::Renew(_));
        if self.open.is_none() {
            let renew = self.holder.renew_at().is_some_and(|at| at <= now);
            let next = if renew {
                Some((0, Operation::Renew(self.holder.all()), now + RENEWAL))
            } else {
                self.queue.pop_front()
            };
            let Some((ticket, call, until)) = next else {
                return;
            };
            let until = if renewal(&call) {
                until
            } else {
                until.max(now + AGAIN)
            };
            self.number += 1;
            let (node, life, number) = (self.set.name.clone(), self.life, self.number);
            let command = Command {
                node,
                life,
                number,
                call,
            };
            self.open = Some(PendingCall {
                ticket,
                command,
                asked: now,
                sent: 0,
                until,
            });
        }
        let Some(open) = self
            .open
            .as_mut()
            .filter(|open| open.sent == 0 || open.sent + AGAIN <= now)
        else {
            return;
        };
        open.sent = now;
        let command = open.command.clone();
        if self.bench.voter().is_some() {
            let mut todo = Vec::new();
            // What is refused is put again.
            let _ = self.bench.propose(&command, &mut todo);
            self.carry(now, todo, out);
        } else if let Some(to) = self.some_voter() {
            self.say(&to, &Message::Operation(command), out);
        }
    }

    /// Another voter to ask: one after the other.
    fn some_voter(&mut self) -> Option<String> {
        let others: Vec<String> = self
            .seats()
            .values()
            .filter(|name| **name != self.set.name)
            .cloned()
            .collect();
        self.turn += 1;
        others.get(self.turn % others.len().max(1)).cloned()
    }

    /// Why nothing is decided.
    fn nobody(&self, now: u64) -> Error {
        if self.seats().is_empty() {
            return Error::NoVoters;
        }
        let silent = self
            .seats()
            .iter()
            .filter(|(seat, name)| **name != self.set.name && !self.heard_of(now, **seat));
        Error::NoMajority(silent.map(|(_, name)| name.clone()).collect())
    }

    fn answered(&mut self, ticket: u64, came: Result<Response, Error>, out: &mut Vec<Output>) {
        if ticket > 0 {
            out.push(Output::Event(Event::Answered(ticket, came)));
        }
    }

    /// The open call has come to this.
    fn came(&mut self, now: u64, number: u64, answer: Response, out: &mut Vec<Output>) {
        let Some(open) = self.open.take_if(|open| open.command.number == number) else {
            return;
        };
        match (&open.command.call, &answer) {
            (Operation::Acquire(duty), Response::Owns(token, value)) => {
                self.free.remove(duty);
                self.holder.granted(open.asked, duty, *token);
                out.push(Output::Event(Event::Gained(
                    duty.clone(),
                    *token,
                    value.clone(),
                )));
            }
            (Operation::Renew(all), Response::Renewed(renewed, lost)) => {
                for (duty, token) in all {
                    if lost.contains(duty) {
                        self.give_up(now, duty, *token, out);
                    } else if let Some((_, next)) = renewed.iter().find(|(name, _)| name == duty) {
                        self.holder.granted(open.asked, duty, *token);
                        // An operator wants it elsewhere.
                        if let Some(next) = next.clone() {
                            self.give_up(now, duty, *token, out);
                            let hand = Operation::Hand(duty.clone(), Some(*token), next);
                            self.queue.push_front((0, hand, now + PATIENCE));
                        }
                    }
                }
            }
            _ => {}
        }
        let came = match answer {
            Response::Refused(refusal) => Err(Error::Rejected(refusal)),
            answer => Ok(answer),
        };
        self.answered(open.ticket, came, out);
        self.ask(now, out);
    }

    /// Another node's call.
    fn pass_on(&mut self, now: u64, from: &str, command: Command, out: &mut Vec<Output>) {
        if command.node != from
            || matches!(command.call, Operation::Expire(_))
            || self.bench.voter().is_none()
        {
            return;
        }
        if let Some(answer) = self
            .state()
            .answer(&command.node, command.life, command.number)
            .cloned()
        {
            return self.say(
                from,
                &Message::Came(command.life, command.number, answer),
                out,
            );
        }
        if self.others.len() < MOST_OTHERS {
            self.others.insert(
                (command.node.clone(), command.life, command.number),
                from.to_owned(),
            );
            let mut todo = Vec::new();
            // Who asked asks again.
            let _ = self.bench.propose(&command, &mut todo);
            self.carry(now, todo, out);
        }
    }

    fn tell_seats(&self, to: &str, out: &mut Vec<Output>) {
        if let Some(voter) = self.bench.voter() {
            self.say(
                to,
                &Message::Seats(voter.place(), voter.seats().clone()),
                out,
            );
        }
    }

    /// A node that does not vote wants to know what is decided.
    fn show(&self, to: &str, known: u64, out: &mut Vec<Output>) {
        let Some(voter) = self.bench.voter().filter(|voter| voter.place() >= known) else {
            return;
        };
        let leader = self.leader().cloned();
        let (place, seats, state) = (
            voter.place(),
            voter.seats().clone(),
            voter.state().0.clone(),
        );
        self.say(
            to,
            &Message::Decided(Box::new(FollowerSnapshot {
                place,
                leader,
                seats,
                state,
            })),
            out,
        );
    }

    /// What goes on between nodes that vote and others, now and then.
    fn follow(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.bench.voter().is_none() && self.follow <= now {
            self.follow = now + FOLLOW;
            if let Some(to) = self.some_voter() {
                self.say(&to, &Message::Follow(self.picture.place), out);
            }
        }
        if self.remind > now {
            return;
        }
        self.remind = now + REMIND;
        // Calls that came through here and were never decided: their nodes have asked elsewhere, or given up.
        if self.others.len() >= MOST_OTHERS / 2 {
            self.others.clear();
        }
        let others: Vec<(u64, String)> = self
            .seats()
            .iter()
            .map(|(seat, name)| (*seat, name.clone()))
            .collect();
        let others: Vec<_> = others
            .into_iter()
            .filter(|(_, name)| *name != self.set.name)
            .collect();
        if matches!(
            self.bench.why(),
            Some(NotVotingReason::Lost | NotVotingReason::Damaged(_))
        ) {
            for (_, name) in &others {
                self.say(name, &Message::Lost(self.bench.id()), out);
            }
        }
        if self.bench.voter().is_some_and(Voter::leads) {
            for (seat, name) in others {
                if !self.heard_of(now, seat) || self.lost.contains(&seat) {
                    self.tell_seats(&name, out);
                }
            }
        }
    }

    /// A change of the voters is wanted, by this node or another.
    fn seating_for(
        &mut self,
        now: u64,
        by: Option<String>,
        ticket: u64,
        add: bool,
        name: String,
        out: &mut Vec<Output>,
    ) {
        let leads = self.bench.voter().is_some_and(Voter::leads);
        if !leads {
            // Where nobody leads yet, it is asked for again.
            if let Some(leader) = self
                .leader()
                .filter(|leader| **leader != self.set.name)
                .cloned()
            {
                self.tell_seated(&(by, ticket), Err(Error::Elsewhere(leader)), out);
            }
            return;
        }
        let by = (by, ticket);
        if !self.changes.iter().any(|change| change.by == by) {
            self.changes.push(PendingChange {
                by,
                add,
                name,
                until: now + PATIENCE,
            });
        }
    }

    fn tell_seated(
        &mut self,
        by: &(Option<String>, u64),
        came: Result<(), Error>,
        out: &mut Vec<Output>,
    ) {
        match &by.0 {
            Some(to) => self.say(to, &Message::Seated(by.1, came), out),
            None => self.seated(by.1, came, out),
        }
    }

    /// A change that this node asked for has come to this.
    fn seated(&mut self, ticket: u64, came: Result<(), Error>, out: &mut Vec<Output>) {
        match came {
            // It is asked for again, there; till its time is up.
            Err(Error::Elsewhere(leader)) if self.asked.contains_key(&ticket) => {
                self.picture.leader = Some(leader)
            }
            came => {
                if self.asked.remove(&ticket).is_some() {
                    out.push(Output::Event(Event::Seated(ticket, came)));
                }
            }
        }
    }

    /// Goes on with changes of the voters: level, not edge, so that a new leader or a lost word changes nothing.
    fn reseat(&mut self, now: u64, out: &mut Vec<Output>) {
        for (ticket, (add, name, at, until)) in self.asked.clone() {
            if until <= now {
                let why = self.nobody(now);
                self.seated(ticket, Err(why), out);
            } else if at + AGAIN <= now {
                if let Some(asked) = self.asked.get_mut(&ticket) {
                    asked.2 = now;
                }
                let to = self
                    .leader()
                    .filter(|leader| **leader != self.set.name)
                    .cloned();
                match to.or_else(|| {
                    if self.bench.voter().is_none() {
                        self.some_voter()
                    } else {
                        None
                    }
                }) {
                    Some(to) => self.say(&to, &Message::MembershipChange(ticket, add, name), out),
                    None => self.seating_for(now, None, ticket, add, name, out),
                }
            }
        }
        for change in std::mem::take(&mut self.changes) {
            match self.step(now, &change, out) {
                Some(came) => self.tell_seated(&change.by, came, out),
                None if change.until <= now => {
                    let why = self.nobody(now);
                    self.tell_seated(&change.by, Err(why), out);
                }
                None => self.changes.push(change),
            }
        }
    }

    /// A step of a change of the voters; what it has come to, if it is at its end.
    fn step(
        &mut self,
        now: u64,
        change: &PendingChange,
        out: &mut Vec<Output>,
    ) -> Option<Result<(), Error>> {
        let voter = self.bench.voter()?;
        let seats = voter.seats().clone();
        let seat = seats
            .iter()
            .find(|(_, name)| **name == change.name)
            .map(|(seat, _)| *seat);
        let living = |without: Option<u64>| {
            let lives = |seat: &&u64| {
                let own = **seat == self.bench.id();
                Some(**seat) != without
                    && (own || self.heard_of(now, **seat) && !self.lost.contains(*seat))
            };
            seats.keys().filter(lives).count()
        };
        let what = match (change.add, seat) {
            (true, Some(seat)) if !self.lost.contains(&seat) => return Some(Ok(())),
            (false, None) => return Some(Ok(())),
            // One that has lost its promises is another voter from now on.
            (true | false, Some(seat)) => {
                let (living, of) = (living(Some(seat)), seats.len() - 1);
                if living * 2 <= of {
                    return Some(Err(Error::WouldStop { living, of }));
                }
                MembershipChange::Remove(seat)
            }
            (true, None) => {
                let (living, of) = (living(None), seats.len() + 1);
                if living * 2 <= of {
                    return Some(Err(Error::WouldStop { living, of }));
                }
                MembershipChange::Add(change.name.clone())
            }
        };
        let mut todo = Vec::new();
        let came = self.bench.seat(&what, &mut todo);
        self.carry(now, todo, out);
        match came {
            Err(ProposalRejected::Count) => Some(Err(Error::Count)),
            Err(ProposalRejected::Elsewhere(seat)) => Some(Err(seats
                .get(&seat)
                .cloned()
                .map_or(Error::NoVoters, Error::Elsewhere))),
            // It holds once the log says so; what can't be done now is tried again.
            Ok(()) | Err(_) => None,
        }
    }
}

impl std::fmt::Debug for Coordinator {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "council of {} at {}: votes {}, leader {:?}",
            self.set.name,
            self.place(),
            self.votes(),
            self.leader()
        )
    }
}
