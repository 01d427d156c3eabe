//! The machine: told datagrams and the time, it says what to send, what is new, and when to be called again.

use crate::cluster_health::{ClusterHealth, Known};
use crate::identity::Identity;
use crate::local_clock::LocalClock;
use crate::packet::{self, DecodeError, MOST_INSIDE, Message};
use crate::reachability::{self, MOST_COMPLAINTS, Reachability};
use crate::suspended_workers::{Fnv, SuspendedWorkers, Suspension};
use foca::{
    AccumulatingRuntime, Foca, OwnedNotification, PeriodicParams, PostcardCodec, State, Timer,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// What a node is told of its fleet at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fleet's name: others' words are dropped.
    pub cluster: String,
    /// Where to ask at first; may hold wrong addresses and the node's own.
    pub seeds: Vec<SocketAddr>,
    /// Who votes in what needs agreement.
    pub voters: BTreeSet<String>,
    /// How often another is probed, in seconds.
    pub probe: f64,
    /// How long an answer may take before others are asked to probe, too.
    pub answer: f64,
    /// How long a suspect has to say that it lives.
    pub suspicion: f64,
    /// How often news are passed on, while there are any.
    pub gossip: f64,
    /// How often hello is said; who has not been heard for three and a half of these is not heard.
    pub hello: f64,
    /// How often one that failed is asked whether it is back.
    pub look_back: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cluster: String::new(),
            seeds: Vec::new(),
            voters: BTreeSet::new(),
            probe: 0.25,
            answer: 0.1,
            suspicion: 1.1,
            gossip: 0.1,
            hello: 0.5,
            look_back: 1.0,
        }
    }
}

/// So many hellos may be missed, and half a one.
const MISSES: f64 = 3.5;
/// How long a joining node waits for a seed's word on its name, and for a sign of who bears it.
const ASKING: f64 = 0.5;
const SIGNING: f64 = 1.0;
/// How often a node that is alone asks its seeds, and one that is none looks whether its name is free.
const ASK_AGAIN: f64 = 1.0;
/// How often complaints are said anew, for those who have joined since.
const SAY_AGAIN: f64 = 5.0;
/// A complaint that was not said anew for so long is over: who was cut off has not heard that it was taken back.
const COMPLAINT: f64 = 3.0 * SAY_AGAIN + 1.0;
/// How often somebody's digest of the bans is compared, at random.
const COMPARE: f64 = 1.0;
/// Bans in one datagram, at most so many bytes.
const MOST_BANS: usize = MOST_INSIDE - 64;
/// How long others may take to say that a ban holds with them, in seconds.
const HOLDING: f64 = 0.5;
/// How long after a change it is seen how things stand: much may change at once.
const STANDING: f64 = 0.05;
/// How long a leave may come after the word that its node is down.
const LEAVE: f64 = 0.1;
/// How often, how many times at most, and of how many a node that has joined asks for lists, in seconds.
const FILL: f64 = 0.1;
const FILLS: u32 = 20;
const FILLERS: usize = 4;
/// So many suspects are told so at a time, again and again: news of it that reach them while they are stopped are lost,
/// and are not passed on for as long as a suspicion lasts.
const WARNED: usize = 8;
/// What goes over a stream, in one word.
const MOST_TOLD: usize = 64 << 10;
/// All is told to a node over a stream so often at most, in seconds.
const TELL_AGAIN: f64 = 1.0;
/// So many nodes that will not come back are remembered at most.
const MOST_GONE: usize = 1024;
/// So many are told directly that this node leaves.
const TOLD_LEAVING: usize = 16;

/// What comes of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send this datagram.
    Send(SocketAddr, Vec<u8>),
    /// Have this arrive at this node, over a stream; lost, it is said again later.
    Tell(Identity, Vec<u8>),
    /// Something is new.
    MembershipEvent(MembershipEvent),
}

/// Why a node can't be forgotten.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// Nobody of that name is known.
    Nobody,
    /// It has not failed.
    Lives,
    /// No more can be remembered.
    Full,
}

/// What is new.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A node is a member now.
    Up(Identity),
    /// It is the same node in a new life or at another address.
    Moved(Identity),
    /// It has failed.
    Failed(Identity),
    /// It has left in good order.
    Left(Identity),
    /// This node is a member again, after others had called it failed.
    Returned(u64),
    /// The name is borne by another process, there; this node goes on alone.
    Namesake(SocketAddr),
    /// How things stand has changed.
    ClusterHealth(ClusterHealth),
    /// A worker is out of use, or back in it.
    Ban(String, bool),
    /// Under this ticket: the ban holds at so many of so many nodes.
    Held(u64, usize, usize),
    /// A word of another part of the program, from a member.
    Part(Identity, Vec<u8>),
}

/// Where this node is on its way.
#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// It asks who has its name, until then.
    Asking(f64),
    /// Another address bears the name; it is to give a sign with this number, until then.
    Signing(u64, Identity, f64),
    /// A member, or the first.
    In,
    /// The name is another's; it is looked again then.
    Apart(SocketAddr, f64),
    /// It has left.
    Gone,
}

/// A node as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// A member.
    Alive,
    /// A member that did not answer; it may still say that it lives.
    Suspect,
    /// Called failed.
    Failed,
    /// Left in good order.
    Left,
}

/// What is passed on from node to node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
enum GossipMessage {
    /// A life of a node does not hear these, in its so-manieth word on it.
    Deaf(String, u64, u32, Vec<String>),
    /// A life of a node has left.
    Left(String, u64),
}

#[derive(Clone, Debug, PartialEq)]
enum Key {
    Deaf(String),
    Left(String, u64),
}

impl foca::Invalidates for Key {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

/// What a node has said of whom it does not hear.
#[derive(Debug)]
struct ReachabilityReport {
    life: u64,
    number: u32,
    deaf: BTreeSet<String>,
    /// When it came, by own time.
    at: f64,
}

/// What nodes have said of themselves and of workers.
#[derive(Debug, Default)]
struct GossipState {
    /// Own time.
    now: f64,
    /// By node, its latest complaint.
    deaf: BTreeMap<String, ReachabilityReport>,
    left: BTreeMap<String, u64>,
    /// Nodes that operators have said will not come back, each up to this incarnation. It only grows, so that all agree.
    gone: BTreeMap<String, u64>,
    bans: SuspendedWorkers,
    /// Bans that have changed and are still to be told.
    changed: Vec<String>,
    /// Something has come that the standing may hang on.
    fresh: bool,
}

impl GossipState {
    /// Takes a word in; its key if it is new, and is to be passed on.
    fn take(&mut self, word: GossipMessage) -> Option<Key> {
        match word {
            GossipMessage::Deaf(name, life, number, names) => {
                let known = self.deaf.get(&name);
                if known.is_some_and(|known| known.life == life && known.number >= number)
                    || names.len() > MOST_COMPLAINTS
                {
                    return None;
                }
                self.fresh = true;
                let complaint = ReachabilityReport {
                    life,
                    number,
                    deaf: names.into_iter().collect(),
                    at: self.now,
                };
                self.deaf.insert(name.clone(), complaint);
                Some(Key::Deaf(name))
            }
            GossipMessage::Left(name, life) => {
                let new = self.left.insert(name.clone(), life) != Some(life);
                self.fresh |= new;
                new.then_some(Key::Left(name, life))
            }
        }
    }

    /// Takes in a mark.
    fn ban(&mut self, worker: &str, mark: Suspension) {
        if self.bans.merge(worker, mark) {
            self.changed.push(worker.to_owned());
        }
    }
}

struct GossipHandler(Rc<RefCell<GossipState>>);

impl foca::BroadcastHandler<Identity> for GossipHandler {
    type Key = Key;
    type Error = Infallible;

    fn receive_item(
        &mut self,
        data: &[u8],
        _: Option<&Identity>,
    ) -> Result<Option<Key>, Infallible> {
        // What is not understood is no reason to drop what came with it.
        let word = postcard::from_bytes(data).ok();
        Ok(word.and_then(|word| self.0.borrow_mut().take(word)))
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Due {
    Swim(Timer<Identity>),
    Hello,
    Ask,
    Compare,
    SayAgain,
    Held(u64),
    /// Ask some for their lists, for so many more times; so many nodes were known at the last.
    Fill(u32, usize),
    Warn,
    Stand,
    /// A node that was called failed without having been a suspect here may have left.
    Verdict(String, u64),
}

struct Ticket {
    asked: BTreeSet<String>,
    held: BTreeSet<String>,
}

/// A member of a fleet, or one that would be.
pub struct Membership {
    settings: Settings,
    cluster: u32,
    me: Identity,
    foca: Foca<Identity, PostcardCodec, Pcg64Mcg, GossipHandler>,
    runtime: AccumulatingRuntime<Identity>,
    told: Rc<RefCell<GossipState>>,
    time: LocalClock,
    /// By own time in microseconds, then in the order in which they were set.
    timers: BTreeMap<(u64, u64), Due>,
    next_timer: u64,
    stage: Stage,
    /// All that are known to be or to have been, but for this node, each with its state.
    table: BTreeMap<String, (Identity, MemberState)>,
    hearing: Reachability,
    /// The number of the latest hello, and of the latest word on whom this node does not hear.
    hello: u64,
    complaint: u32,
    /// Whom it has said that it does not hear.
    said: BTreeSet<String>,
    standing: ClusterHealth,
    /// It is about to be seen anew.
    stands_soon: bool,
    tickets: BTreeMap<u64, Ticket>,
    next_ticket: u64,
    /// Datagrams dropped, by why.
    dropped: BTreeMap<DecodeError, u64>,
    draws: Pcg64Mcg,
    /// When all was last told to a node over a stream, by own time.
    told_all: BTreeMap<String, f64>,
}

fn micros(own: f64) -> u64 {
    (own * 1e6).ceil() as u64
}

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.001))
}

fn config(s: &Settings, nodes: usize) -> foca::Config {
    let every = |seconds, count| {
        let num_members = NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
        Some(PeriodicParams {
            frequency: duration(seconds),
            num_members,
        })
    };
    // Each news is passed on as often as it takes to reach all and some more.
    let times = 4 + 2 * (nodes.max(1) as f64).log2().ceil() as u8;
    foca::Config {
        probe_period: duration(s.probe),
        probe_rtt: duration(s.answer),
        num_indirect_probes: NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(times).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: duration(s.suspicion),
        remove_down_after: Some(Duration::from_secs(7 * 86_400)),
        max_packet_size: NonZeroUsize::new(MOST_INSIDE).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: every(10.0, 1),
        periodic_announce_to_down_members: every(s.look_back, 2),
        periodic_gossip: every(s.gossip, 3),
    }
}

impl Membership {
    /// Begins: asks the seeds who has its name. `started` is Unix time in ms, `seed` draws the life and all else.
    pub fn new(
        settings: Settings,
        name: &str,
        address: SocketAddr,
        started: u64,
        seed: u64,
        now: f64,
    ) -> Self {
        let mut draws = Pcg64Mcg::seed_from_u64(seed);
        let life = rand::Rng::next_u64(&mut draws);
        let me = Identity {
            name: name.into(),
            address,
            incarnation: started,
            life,
        };
        let told = Rc::new(RefCell::new(GossipState::default()));
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6d65_6d62_6572_7321);
        let spread = GossipHandler(told.clone());
        let foca = Foca::with_custom_broadcast(
            me.clone(),
            config(&settings, 3),
            rng,
            PostcardCodec,
            spread,
        );
        let mut members = Self {
            cluster: packet::cluster(&settings.cluster),
            settings,
            me,
            foca,
            runtime: AccumulatingRuntime::new(),
            told,
            time: LocalClock::new(now),
            timers: BTreeMap::new(),
            next_timer: 0,
            stage: Stage::Asking(ASKING),
            table: BTreeMap::new(),
            hearing: Reachability::default(),
            hello: 0,
            complaint: 0,
            said: BTreeSet::new(),
            standing: ClusterHealth::Alone,
            stands_soon: false,
            tickets: BTreeMap::new(),
            next_ticket: 1,
            dropped: BTreeMap::new(),
            draws,
            told_all: BTreeMap::new(),
        };
        members.timer(0.0, Due::Ask);
        members.timer(members.settings.hello, Due::Hello);
        members.timer(members.settings.gossip, Due::Warn);
        members.timer(COMPARE, Due::Compare);
        members.timer(SAY_AGAIN, Due::SayAgain);
        members
    }

    /// When to be called next.
    pub fn next(&self) -> Option<f64> {
        let ((at, _), _) = self.timers.first_key_value()?;
        Some(self.time.when(*at as f64 / 1e6))
    }

    /// The time has come that [`Self::next`] told, or another.
    pub fn due(&mut self, now: f64, out: &mut Vec<Output>) {
        let own = self.advance(now);
        while let Some(entry) = self
            .timers
            .first_entry()
            .filter(|entry| entry.key().0 <= micros(own) + 2)
        {
            let due = entry.remove();
            self.fire(own, due, out);
        }
        self.settle(out);
    }

    /// A datagram has come.
    pub fn receive(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Output>) {
        let own = self.advance(now);
        match packet::decode(self.cluster, bytes) {
            Ok((from, message)) => self.take(own, from, message, out),
            Err(flaw) => *self.dropped.entry(flaw).or_default() += 1,
        }
        self.settle(out);
    }

    /// A word has come over a stream.
    pub fn told(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Output>) {
        let own = self.advance(now);
        match packet::decode_word(self.cluster, bytes) {
            // Only what is told this way: all else is in datagrams, and its way through them is part of what it means.
            Ok((from, message @ (Message::SuspendedWorkers(..) | Message::Gone(_)))) => {
                self.take(own, from, message, out)
            }
            Ok(_) => *self.dropped.entry(DecodeError::Unknown).or_default() += 1,
            Err(flaw) => *self.dropped.entry(flaw).or_default() += 1,
        }
        self.settle(out);
    }

    /// An operator says that a node which has failed will not come back: it counts no more. Should it come back all the
    /// same, it is a member like any other.
    ///
    /// # Errors
    ///
    /// If it is not known, or has not failed.
    pub fn forget(&mut self, now: f64, name: &str, out: &mut Vec<Output>) -> Result<(), Rejection> {
        self.advance(now);
        let (id, state) = self.table.get(name).ok_or(Rejection::Nobody)?;
        let incarnation = id.incarnation;
        match state {
            MemberState::Alive | MemberState::Suspect => return Err(Rejection::Lives),
            MemberState::Left => return Ok(()),
            MemberState::Failed => {}
        }
        self.learn_gone(vec![(name.to_owned(), incarnation)], out);
        if !self.told.borrow().gone.contains_key(name) {
            return Err(Rejection::Full);
        }
        let word = Message::Gone(vec![(name.to_owned(), incarnation)]);
        let peers: Vec<SocketAddr> = self.alive().map(|peer| peer.address).collect();
        peers
            .into_iter()
            .for_each(|peer| self.send(peer, &word, out));
        self.settle(out);
        Ok(())
    }

    fn learn_gone(&mut self, names: Vec<(String, u64)>, out: &mut Vec<Output>) {
        for (name, incarnation) in names {
            let mut told = self.told.borrow_mut();
            let room = told.gone.len() < MOST_GONE || told.gone.contains_key(&name);
            if !room || name.is_empty() || name.len() > crate::identity::MAX_NAME_BYTES {
                continue;
            }
            let known = told.gone.entry(name.clone()).or_default();
            *known = incarnation.max(*known);
            drop(told);
            let failed = self
                .table
                .get(&name)
                .filter(|(_, state)| *state == MemberState::Failed);
            if let Some(life) = failed.map(|(id, _)| id.life) {
                self.verdict(&name, life, out);
            }
        }
    }

    /// Whether anything was ever said in the fleet of a worker's use.
    pub fn knows(&self, worker: &str) -> bool {
        self.told.borrow().bans.knows(worker)
    }

    /// Says a word of another part of the program to a node that is there; it may get lost. `false` if it is too long, or there
    /// is no such node.
    pub fn say_part(&mut self, name: &str, word: &[u8], out: &mut Vec<Output>) -> bool {
        let to = self
            .alive()
            .find(|peer| &*peer.name == name)
            .map(|peer| peer.address);
        let Some(to) = to.filter(|_| word.len() <= packet::MOST_INSIDE && self.is_in()) else {
            return false;
        };
        self.send(to, &Message::Part(word.to_vec()), out);
        true
    }

    /// Leaves in good order.
    pub fn leave(&mut self, now: f64, out: &mut Vec<Output>) {
        self.advance(now);
        if self.stage == Stage::In {
            let left = GossipMessage::Left(self.me.name.to_string(), self.me.life);
            self.say(&left);
            let _ = self.foca.leave_cluster(&mut self.runtime);
            let told: Vec<SocketAddr> = self
                .alive()
                .map(|peer| peer.address)
                .take(TOLD_LEAVING)
                .collect();
            for to in told {
                self.send(to, &Message::Leaves, out);
            }
        }
        self.stage = Stage::Gone;
        self.timers.clear();
        self.flush(out);
    }

    /// Takes a worker out of use, or back into it, for the fleet. The ticket is told in [`MembershipEvent::Held`] within
    /// half a second; `None` if no more can be remembered.
    pub fn employ(
        &mut self,
        now: f64,
        worker: &str,
        again: bool,
        out: &mut Vec<Output>,
    ) -> Option<u64> {
        let own = self.advance(now);
        let marks = {
            let mut told = self.told.borrow_mut();
            let before = told.bans.holds(worker);
            let marks = if again {
                told.bans.resume(worker)
            } else {
                vec![told.bans.suspend(self.me.life, worker)?]
            };
            if told.bans.holds(worker) != before {
                told.changed.push(worker.to_owned());
            }
            marks
        };
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let tells: Vec<(String, Suspension)> = marks
            .iter()
            .map(|mark| (worker.to_owned(), *mark))
            .collect();
        let peers: Vec<Identity> = self.alive().cloned().collect();
        for part in parts(&tells, MOST_BANS) {
            for peer in &peers {
                self.send(peer.address, &Message::Hold(ticket, part.clone()), out);
            }
        }
        let asked = if tells.is_empty() {
            BTreeSet::new()
        } else {
            peers.into_iter().map(|p| p.name.to_string()).collect()
        };
        self.tickets.insert(
            ticket,
            Ticket {
                asked,
                held: BTreeSet::new(),
            },
        );
        self.timer(own + HOLDING, Due::Held(ticket));
        self.settle(out);
        self.held(ticket, false, out);
        Some(ticket)
    }

    /// Has a ticket told now, whoever has not answered yet.
    pub fn press(&mut self, now: f64, ticket: u64, out: &mut Vec<Output>) {
        self.advance(now);
        self.held(ticket, true, out);
    }

    /// Takes in bans that were kept beyond a life.
    pub fn restore(&mut self, marks: impl IntoIterator<Item = (String, Suspension)>) {
        for (worker, mark) in marks {
            self.told.borrow_mut().ban(&worker, mark);
        }
    }

    /// All that is known of bans, to be kept.
    pub fn bans(&self) -> Vec<(String, Suspension)> {
        self.told
            .borrow()
            .bans
            .marks()
            .map(|(worker, mark)| (worker.to_owned(), mark))
            .collect()
    }

    /// Workers out of use, by name.
    pub fn out_of_use(&self) -> Vec<String> {
        self.told.borrow().bans.all().map(str::to_owned).collect()
    }

    /// The same for the same bans.
    pub fn digest(&self) -> u64 {
        self.told.borrow().bans.digest()
    }

    /// The same for all that is compared with others: bans, and who will not come back.
    fn sum(&self) -> u64 {
        let told = self.told.borrow();
        let mut sum = Fnv::default();
        for (name, incarnation) in &told.gone {
            sum.add(name.as_bytes());
            sum.add(&[0]);
            sum.add(&incarnation.to_le_bytes());
        }
        told.bans.digest() ^ sum.0
    }

    /// This node.
    pub fn me(&self) -> &Identity {
        &self.me
    }

    /// Whether it is a member, if only the first.
    pub fn is_in(&self) -> bool {
        self.stage == Stage::In
    }

    /// Who bears this node's name, if another does.
    pub fn namesake(&self) -> Option<SocketAddr> {
        if let Stage::Apart(at, _) = self.stage {
            Some(at)
        } else {
            None
        }
    }

    /// All others that are or were known.
    pub fn others(&self) -> impl Iterator<Item = (&Identity, MemberState)> {
        let suspects = self
            .foca
            .iter_members()
            .filter(|member| member.state() == State::Suspect);
        let suspects: BTreeSet<&str> = suspects.map(|member| &*member.id().name).collect();
        self.table.values().map(move |(identity, state)| {
            let suspect = *state == MemberState::Alive && suspects.contains(&*identity.name);
            (
                identity,
                if suspect {
                    MemberState::Suspect
                } else {
                    *state
                },
            )
        })
    }

    /// How many nodes may be there, this one among them: members and those that have failed and not left.
    pub fn count(&self) -> usize {
        1 + self
            .table
            .values()
            .filter(|(_, state)| *state != MemberState::Left)
            .count()
    }

    /// This node's place by name among the members that it knows, from 0, and their number.
    pub fn place(&self) -> (usize, usize) {
        let before = self.alive().filter(|peer| peer.name < self.me.name).count();
        (before, 1 + self.alive().count())
    }

    /// How things stand.
    pub fn standing(&self) -> &ClusterHealth {
        &self.standing
    }

    /// Whom this node should hear and does not.
    pub fn deaf(&self) -> impl Iterator<Item = &String> {
        self.hearing.deaf()
    }

    /// Datagrams dropped, by why.
    pub fn dropped(&self) -> &BTreeMap<DecodeError, u64> {
        &self.dropped
    }

    /// How far from well this process is, and the seconds that it has missed.
    pub fn health(&self) -> (f64, f64) {
        (self.time.ill(), self.time.missed())
    }

    fn alive(&self) -> impl Iterator<Item = &Identity> {
        let alive =
            |state: &MemberState| matches!(state, MemberState::Alive | MemberState::Suspect);
        self.table
            .values()
            .filter(move |(_, state)| alive(state))
            .map(|(identity, _)| identity)
    }

    fn advance(&mut self, now: f64) -> f64 {
        let due = self
            .timers
            .first_key_value()
            .map(|((at, _), _)| *at as f64 / 1e6);
        let own = self.time.at(now, due);
        self.told.borrow_mut().now = own;
        own
    }

    fn timer(&mut self, at: f64, due: Due) {
        self.next_timer += 1;
        self.timers.insert((micros(at), self.next_timer), due);
    }

    fn draw(&mut self) -> u64 {
        rand::Rng::next_u64(&mut self.draws)
    }

    fn send(&self, to: SocketAddr, message: &Message, out: &mut Vec<Output>) {
        out.push(Output::Send(
            to,
            packet::encode(self.cluster, &self.me, message),
        ));
    }

    /// Has a word passed on from node to node.
    fn say(&mut self, word: &GossipMessage) {
        if let Ok(bytes) = postcard::to_stdvec(word) {
            let _ = self.foca.add_broadcast(&bytes);
        }
    }

    fn fire(&mut self, own: f64, due: Due, out: &mut Vec<Output>) {
        match due {
            Due::Swim(timer) => {
                // What it refuses is a timer of an earlier life.
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
            Due::Hello => self.say_hello(own, out),
            Due::Ask => self.ask(own, out),
            Due::Compare => {
                self.compare(out);
                self.timer(own + COMPARE, Due::Compare);
            }
            Due::SayAgain => {
                if self.hearing.deaf().next().is_some() {
                    self.complain();
                }
                let (mut told, mut expired) = (self.told.borrow_mut(), false);
                for complaint in told.deaf.values_mut().filter(|c| own - c.at > COMPLAINT) {
                    expired |= !complaint.deaf.is_empty();
                    complaint.deaf.clear();
                }
                told.fresh |= expired;
                drop(told);
                self.timer(own + SAY_AGAIN, Due::SayAgain);
            }
            Due::Held(ticket) => self.held(ticket, true, out),
            Due::Fill(times, known) => self.fill(own, times, known),
            Due::Warn => {
                self.warn(out);
                self.timer(own + self.settings.gossip, Due::Warn);
            }
            Due::Stand => self.stand(out),
            Due::Verdict(name, life) => self.verdict(&name, life, out),
        }
    }

    /// Tells suspects that they are, so that those who live can say so in time.
    fn warn(&self, out: &mut Vec<Output>) {
        let suspects = self
            .foca
            .iter_members()
            .filter(|member| member.state() == State::Suspect);
        for member in suspects.take(WARNED) {
            let suspected = Message::Suspected(member.id().life, member.incarnation());
            self.send(member.id().address, &suspected, out);
        }
    }

    /// Asks seeds, and goes on on the way to being a member.
    fn ask(&mut self, own: f64, out: &mut Vec<Output>) {
        let again = match self.stage.clone() {
            Stage::Gone => return,
            Stage::Asking(until) if own >= until => {
                self.enter(own, None, out);
                ASK_AGAIN
            }
            Stage::Asking(_) => 0.1,
            Stage::Signing(_, holder, until) if own >= until => {
                self.enter(own, Some(holder.incarnation), out);
                ASK_AGAIN
            }
            Stage::Signing(number, holder, _) => {
                self.send(holder.address, &Message::Sign(number), out);
                0.1
            }
            Stage::Apart(at, until) => {
                if own >= until {
                    let number = self.draw();
                    let holder = Identity {
                        address: at,
                        ..self.me.clone()
                    };
                    self.stage = Stage::Signing(number, holder, own + SIGNING);
                }
                0.1
            }
            Stage::In => ASK_AGAIN,
        };
        let lonely = self.stage != Stage::In || self.alive().next().is_none();
        if lonely && !matches!(self.stage, Stage::Apart(..)) {
            self.ask_seeds(out);
        }
        self.timer(own + again, Due::Ask);
    }

    fn ask_seeds(&self, out: &mut Vec<Output>) {
        for seed in self
            .settings
            .seeds
            .iter()
            .filter(|seed| **seed != self.me.address)
        {
            self.send(*seed, &Message::Ask, out);
        }
    }

    /// Becomes a member, above the incarnation that is told.
    fn enter(&mut self, own: f64, above: Option<u64>, out: &mut Vec<Output>) {
        let incarnation = above.map_or(self.me.incarnation, |above| {
            self.me.incarnation.max(above + 1)
        });
        if incarnation != self.me.incarnation {
            self.me.incarnation = incarnation;
            let _ = self
                .foca
                .change_identity(self.me.clone(), &mut self.runtime);
        }
        self.stage = Stage::In;
        self.told.borrow_mut().fresh = true;
        let known: Vec<Identity> = self
            .table
            .values()
            .map(|(identity, _)| identity.clone())
            .collect();
        for peer in known.into_iter().take(TOLD_LEAVING) {
            let _ = self.foca.announce(peer, &mut self.runtime);
        }
        self.ask_seeds(out);
        self.say_hello(own, out);
        self.timers.retain(|_, due| !matches!(due, Due::Fill(..)));
        self.timer(own + FILL, Due::Fill(FILLS, 0));
    }

    /// Asks some that it knows for whom they know: what one answers is no more than fits a datagram, drawn.
    fn fill(&mut self, own: f64, times: u32, known: usize) {
        let peers: Vec<Identity> = self.alive().cloned().collect();
        // The first answers are on their way, or the latest brought nobody new.
        if self.stage != Stage::In || times == 0 || times + 3 < FILLS && peers.len() == known {
            return;
        }
        for _ in 0..FILLERS.min(peers.len()) {
            let at = self.draw() % peers.len() as u64;
            let _ = self
                .foca
                .announce(peers[at as usize].clone(), &mut self.runtime);
        }
        self.timer(own + FILL, Due::Fill(times - 1, peers.len()));
    }

    fn say_hello(&mut self, own: f64, out: &mut Vec<Output>) {
        self.timers.retain(|_, due| *due != Due::Hello);
        self.timer(own + self.settings.hello, Due::Hello);
        if self.stage != Stage::In {
            return;
        }
        let names = self
            .alive()
            .map(|peer| peer.name.to_string())
            .chain([self.me.name.to_string()]);
        let order = reachability::order(names);
        let pairs = reachability::pairs(&order, &self.settings.voters, &self.me.name);
        self.hello += 1;
        let hello = Message::Hello(self.hello, self.sum());
        let pairs: Vec<String> = pairs.into_iter().cloned().collect();
        for name in &pairs {
            if let Some((peer, _)) = self.table.get(name) {
                self.send(peer.address, &hello, out);
            }
        }
        self.hearing.should(own, &pairs);
        self.hearing.look(own, MISSES * self.settings.hello);
        if !self.hearing.deaf().eq(self.said.iter()) {
            self.complain();
        }
    }

    /// Says whom this node does not hear.
    fn complain(&mut self) {
        self.complaint += 1;
        self.said = self.hearing.deaf().cloned().collect();
        let names: Vec<String> = self.hearing.deaf().take(MOST_COMPLAINTS).cloned().collect();
        self.say(&GossipMessage::Deaf(
            self.me.name.to_string(),
            self.me.life,
            self.complaint,
            names,
        ));
    }

    /// Compares the bans with one that is drawn, who may know more.
    fn compare(&mut self, out: &mut Vec<Output>) {
        let peers: Vec<SocketAddr> = self.alive().map(|peer| peer.address).collect();
        if self.stage == Stage::In && !peers.is_empty() {
            let at = self.draw() % peers.len() as u64;
            self.hello += 1;
            let hello = Message::Hello(self.hello, self.sum());
            self.send(peers[at as usize], &hello, out);
        }
    }

    /// Tells a node all that is compared: in a datagram where it fits one, else over a stream.
    fn tell_all(&mut self, own: f64, to: &Identity, back: bool, out: &mut Vec<Output>) {
        let gone: Vec<(String, u64)> = {
            let told = self.told.borrow();
            told.gone
                .iter()
                .map(|(name, incarnation)| (name.clone(), *incarnation))
                .collect()
        };
        let all = self.bans();
        let small = parts(&all, MOST_BANS).len() <= 1
            && gone.len() <= MOST_BANS / (crate::identity::MAX_NAME_BYTES + 16);
        if !small {
            let last = self.told_all.get(&*to.name).copied();
            if last.is_some_and(|at| own - at < TELL_AGAIN) {
                return; // it is on its way
            }
            self.told_all.insert(to.name.to_string(), own);
        }
        let mut parts = parts(&all, if small { MOST_BANS } else { MOST_TOLD });
        if parts.is_empty() && back {
            parts.push(Vec::new());
        }
        let last = parts.len().saturating_sub(1);
        let bans = parts
            .into_iter()
            .enumerate()
            .map(|(n, part)| Message::SuspendedWorkers(part, back && n == last));
        let gone = (!gone.is_empty()).then_some(Message::Gone(gone));
        for message in gone.into_iter().chain(bans) {
            if small {
                self.send(to.address, &message, out);
            } else {
                out.push(Output::Tell(
                    to.clone(),
                    packet::encode(self.cluster, &self.me, &message),
                ));
            }
        }
    }

    fn take(&mut self, own: f64, from: Identity, message: Message, out: &mut Vec<Output>) {
        if self.stage == Stage::Gone {
            return;
        }
        if from.name == self.me.name {
            if from.life != self.me.life {
                self.namesake_says(own, &from, &message, out);
            }
            return;
        }
        // A life that is over says nothing that counts; who is back in a new one is told what stands in its way.
        let known = self
            .table
            .get(&*from.name)
            .map(|(identity, _)| identity.clone());
        let late = known
            .as_ref()
            .is_some_and(|known| known.life != from.life && known.beats(&from));
        match message {
            Message::Ask => {
                let answer = Message::Record(known.clone().filter(|known| known.life != from.life));
                self.send(from.address, &answer, out);
                if !late && self.stage == Stage::In {
                    let _ = self.foca.announce(from, &mut self.runtime);
                }
            }
            Message::Record(holder) => self.record(own, &from, holder, out),
            Message::Sign(number) => self.send(from.address, &Message::Signed(number), out),
            Message::Signed(_) => {}
            _ if late => self.send(from.address, &Message::Record(known), out),
            Message::Swim(bytes) => {
                if matches!(self.stage, Stage::In) {
                    // What it refuses is meant for an earlier life, or is cut.
                    if self.foca.handle_data(&bytes, &mut self.runtime).is_err() {
                        *self.dropped.entry(DecodeError::Unknown).or_default() += 1;
                    }
                }
            }
            Message::Hello(number, digest) => {
                self.hearing.hear(own, &from.name, from.life, number);
                if digest != self.sum() {
                    self.tell_all(own, &from, true, out);
                }
            }
            Message::Suspected(life, incarnation) => {
                if life == self.me.life && self.stage == Stage::In {
                    let word = foca::Member::new(self.me.clone(), incarnation, State::Suspect);
                    let _ = self
                        .foca
                        .apply_many(std::iter::once(word), true, &mut self.runtime);
                }
            }
            Message::Leaves => {
                // Said on to those whom the one that leaves has not told itself.
                self.say(&GossipMessage::Left(from.name.to_string(), from.life));
            }
            Message::SuspendedWorkers(marks, back) => {
                self.learn(marks);
                if back {
                    self.tell_all(own, &from, false, out);
                }
            }
            Message::Gone(names) => self.learn_gone(names, out),
            Message::Part(word) => {
                out.push(Output::MembershipEvent(MembershipEvent::Part(from, word)))
            }
            Message::Hold(ticket, marks) => {
                self.learn(marks);
                self.send(from.address, &Message::Held(ticket), out);
            }
            Message::Held(ticket) => {
                if let Some(open) = self.tickets.get_mut(&ticket)
                    && open.asked.contains(&*from.name)
                {
                    open.held.insert(from.name.to_string());
                    self.held(ticket, false, out);
                }
            }
        }
    }

    fn learn(&mut self, marks: Vec<(String, Suspension)>) {
        for (worker, mark) in marks {
            self.told.borrow_mut().ban(&worker, mark);
        }
    }

    /// Another life that bears this node's name says something: an earlier one of its own, late, or another process.
    fn namesake_says(
        &mut self,
        own: f64,
        from: &Identity,
        message: &Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            // It asks for a sign before it joins, or in order to know whether it may.
            Message::Sign(number) if self.stage == Stage::In || self.me.beats(from) => {
                self.send(from.address, &Message::Signed(*number), out);
            }
            Message::Signed(number) => {
                if let Stage::Signing(wanted, ..) = &self.stage
                    && wanted == number
                {
                    self.stage = Stage::Apart(from.address, own + 5.0 * ASK_AGAIN);
                    out.push(Output::MembershipEvent(MembershipEvent::Namesake(
                        from.address,
                    )));
                }
            }
            // A member by that name, elsewhere: the record of who counts is the higher one's.
            Message::Swim(_) | Message::Hello(..) if from.beats(&self.me) => {
                self.contest(own, from.clone(), out);
            }
            _ => {}
        }
    }

    /// Somebody's word on who has this node's name.
    fn record(
        &mut self,
        own: f64,
        from: &Identity,
        holder: Option<Identity>,
        out: &mut Vec<Output>,
    ) {
        match (&self.stage, holder) {
            (Stage::Asking(_), None) => {
                self.enter(own, None, out);
                let _ = self.foca.announce(from.clone(), &mut self.runtime);
            }
            (Stage::Asking(_) | Stage::In, Some(holder))
                if holder.name == self.me.name
                    && holder.life != self.me.life
                    && (holder.beats(&self.me) || self.stage != Stage::In) =>
            {
                self.contest(own, holder, out);
            }
            (Stage::In, None) => {
                let _ = self.foca.announce(from.clone(), &mut self.runtime);
            }
            _ => {}
        }
    }

    /// Another life is said to have the name: an earlier one of this node's own, or another process that is there.
    fn contest(&mut self, own: f64, holder: Identity, out: &mut Vec<Output>) {
        if holder.address == self.me.address {
            // Two can't be at one address: that was this node itself.
            return self.enter(own, Some(holder.incarnation), out);
        }
        if !matches!(self.stage, Stage::Signing(..) | Stage::Apart(..)) {
            let number = self.draw();
            self.send(holder.address, &Message::Sign(number), out);
            self.stage = Stage::Signing(number, holder, own + SIGNING);
            self.hasten(own);
        }
    }

    /// Has the way to being a member gone on soon.
    fn hasten(&mut self, own: f64) {
        self.timers.retain(|_, due| *due != Due::Ask);
        self.timer(own + 0.1, Due::Ask);
    }

    /// Tells at how many nodes a ban holds, if all have said so or the time is up.
    fn held(&mut self, ticket: u64, up: bool, out: &mut Vec<Output>) {
        let Some(open) = self.tickets.get(&ticket) else {
            return;
        };
        if up || open.held.len() == open.asked.len() {
            let (held, of) = (1 + open.held.len(), self.count());
            self.tickets.remove(&ticket);
            self.timers.retain(|_, due| *due != Due::Held(ticket));
            out.push(Output::MembershipEvent(MembershipEvent::Held(
                ticket, held, of,
            )));
        }
    }

    /// Hands out what the library wants done.
    fn flush(&mut self, out: &mut Vec<Output>) {
        let own = self.time.own();
        loop {
            while let Some((to, bytes)) = self.runtime.to_send() {
                self.send(to.address, &Message::Swim(bytes.to_vec()), out);
            }
            while let Some((after, timer)) = self.runtime.to_schedule() {
                self.timer(own + after.as_secs_f64(), Due::Swim(timer));
            }
            let Some(news) = self.runtime.to_notify() else {
                return;
            };
            self.heed(own, news, out);
        }
    }

    fn heed(&mut self, own: f64, news: OwnedNotification<Identity>, out: &mut Vec<Output>) {
        match news {
            OwnedNotification::MemberUp(id) => {
                self.told.borrow_mut().left.remove(&*id.name);
                self.put(id.clone(), MemberState::Alive);
                out.push(Output::MembershipEvent(MembershipEvent::Up(id)));
            }
            OwnedNotification::Rename(_, id)
                if self
                    .table
                    .get(&*id.name)
                    .is_some_and(|(known, _)| *known != id) =>
            {
                self.put(id.clone(), MemberState::Alive);
                out.push(Output::MembershipEvent(MembershipEvent::Moved(id)));
            }
            OwnedNotification::MemberDown(id) => {
                let left = self.told.borrow().left.get(&*id.name) == Some(&id.life);
                let life = id.life;
                // Until it is known which of the two, it counts as one that may still be there.
                self.put(id.clone(), MemberState::Suspect);
                if left {
                    self.verdict(&id.name, life, out);
                } else {
                    self.timer(own + LEAVE, Due::Verdict(id.name.to_string(), life));
                }
            }
            OwnedNotification::Defunct if self.stage == Stage::In => {
                // Others have called this life failed: the next one begins at once.
                let above = self.me.incarnation;
                self.enter(own, Some(above), out);
                out.push(Output::MembershipEvent(MembershipEvent::Returned(
                    self.me.incarnation,
                )));
            }
            _ => {}
        }
    }

    /// Tells that a node has failed or left, if it is still away.
    fn verdict(&mut self, name: &str, life: u64, out: &mut Vec<Output>) {
        let told = self.told.borrow();
        let said = told.left.get(name) == Some(&life);
        let gone = told.gone.get(name).copied();
        drop(told);
        let Some((id, state)) = self.table.get_mut(name).filter(|(id, _)| id.life == life) else {
            return;
        };
        if *state == MemberState::Alive {
            return;
        }
        let left = said || gone.is_some_and(|up_to| id.incarnation <= up_to);
        *state = if left {
            MemberState::Left
        } else {
            MemberState::Failed
        };
        out.push(Output::MembershipEvent(if left {
            MembershipEvent::Left(id.clone())
        } else {
            MembershipEvent::Failed(id.clone())
        }));
        self.told.borrow_mut().fresh = true;
    }

    fn put(&mut self, id: Identity, state: MemberState) {
        self.table.insert(id.name.to_string(), (id, state));
        self.told.borrow_mut().fresh = true;
    }

    /// Brings all that hangs on other news up to date.
    fn settle(&mut self, out: &mut Vec<Output>) {
        self.flush(out);
        let mut told = self.told.borrow_mut();
        for worker in std::mem::take(&mut told.changed) {
            let on = told.bans.holds(&worker);
            out.push(Output::MembershipEvent(MembershipEvent::Ban(worker, on)));
        }
        let fresh = std::mem::take(&mut told.fresh);
        drop(told);
        if fresh && !std::mem::replace(&mut self.stands_soon, true) {
            self.timer(self.time.own() + STANDING, Due::Stand);
        }
    }

    /// Sees how things stand.
    fn stand(&mut self, out: &mut Vec<Output>) {
        self.stands_soon = false;
        let _ = self
            .foca
            .set_config(config(&self.settings, self.table.len() + 1));
        let standing = self.known().standing();
        if standing != self.standing {
            self.standing = standing.clone();
            out.push(Output::MembershipEvent(MembershipEvent::ClusterHealth(
                standing,
            )));
        }
    }

    /// What the standing is derived from.
    pub fn known(&self) -> Known {
        let told = self.told.borrow();
        let of = |state: MemberState| {
            self.table
                .values()
                .filter(move |(_, s)| *s == state)
                .map(|(id, _)| id.name.to_string())
        };
        let names = self
            .alive()
            .map(|peer| peer.name.to_string())
            .chain([self.me.name.to_string()]);
        // A life's complaints end with it.
        let lives = |name: &String, life: u64| {
            **name == *self.me.name || self.table.get(name).is_some_and(|(id, _)| id.life == life)
        };
        let deaf = told
            .deaf
            .iter()
            .filter(|(name, complaint)| lives(name, complaint.life));
        Known {
            me: self.me.name.to_string(),
            apart: self.stage != Stage::In,
            members: reachability::order(names),
            failed: of(MemberState::Failed).collect(),
            left: of(MemberState::Left).collect(),
            voters: self.settings.voters.clone(),
            deaf: deaf
                .map(|(name, complaint)| (name.clone(), complaint.deaf.clone()))
                .collect(),
        }
    }
}

/// Bans in parts of at most so many bytes each.
fn parts(all: &[(String, Suspension)], most: usize) -> Vec<Vec<(String, Suspension)>> {
    let (mut parts, mut size) = (Vec::new(), 0);
    for (worker, mark) in all {
        let takes = worker.len() + 24;
        if parts.is_empty() || size + takes > most {
            parts.push(Vec::new());
            size = 0;
        }
        size += takes;
        if let Some(part) = parts.last_mut() {
            part.push((worker.clone(), *mark));
        }
    }
    parts
}
