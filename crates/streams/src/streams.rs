//! All streams of a node.

use crate::codec::{DecodeError, GREETING, MOST_WORD, Packet, Reader, frame};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Connections that others have made, at most.
pub const MOST_IN: usize = 64;
/// Connections to others, at most; who is beyond waits until one is idle.
pub const MOST_OUT: usize = 64;
/// Bytes that wait for one node, at most.
pub const MOST_QUEUED: usize = 4 << 20;
/// Words that wait for one node, at most.
const MOST_WORDS: usize = 16_384;
/// Bytes on their way to one node, and not acknowledged: what a connection buffers is bounded by it and a word.
const WINDOW: usize = 256 << 10;
/// Bytes of unfinished packets, in all connections together.
const MOST_HELD: usize = 16 << 20;
/// How long a connection may take to be made and greeted, in seconds.
const GREETING_TIME: f64 = 1.0;
/// How long the other side may leave what was written without an acknowledgement, or a packet without its rest.
const STALL: f64 = 2.0;
/// And a second more for so many bytes: a slow link is no stall.
const SLOWEST: f64 = (64 << 10) as f64;
/// Waits between attempts double from the first to the longest.
const FIRST_WAIT: f64 = 0.05;
const LONGEST_WAIT: f64 = 1.0;
/// A connection on which nothing is said is closed by who dialled after this, and by the other side after twice that.
const IDLE: f64 = 30.0;
/// Of so many sessions it is remembered what has arrived; the longest unused is forgotten first.
const MOST_SEEN: usize = 4096;

/// What is to be done, or has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Connect to this node, there; it is told by [`Streams::dialled`] and [`Streams::opened`].
    Dial(String, SocketAddr),
    /// Write to this connection.
    Write(usize, Vec<u8>),
    /// Close this connection; nothing of it counts any more.
    Close(usize),
    /// A life of a node says this.
    Arrived(String, u64, Vec<u8>),
    /// This node is in a new life since the last: what was queued for the earlier one is dropped.
    Anew(String, u64),
}

/// No more is queued for this node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueFull;

#[derive(Debug, PartialEq)]
enum State {
    /// No connection; the next attempt may begin then.
    Apart(f64),
    /// A connection is being made, since.
    Dialing(Option<usize>, f64),
    /// It is made, and the other side is to greet.
    Greeting(usize, f64),
    /// Words go over it.
    Open(usize),
}

#[derive(Debug)]
struct Outgoing {
    address: SocketAddr,
    state: State,
    reader: Reader,
    session: u64,
    /// The other side's life, once it has greeted.
    life: Option<u64>,
    /// Words without an acknowledgement; the first has this number.
    queue: VecDeque<Vec<u8>>,
    first: u64,
    bytes: usize,
    /// How many of them are written to this connection, and their bytes.
    written: usize,
    flying: usize,
    /// Since when something is written and nothing is acknowledged; or nothing is to be written.
    since: f64,
    wait: f64,
}

#[derive(Debug)]
struct Incoming {
    reader: Reader,
    /// Who it is, with its life and session.
    from: Option<(String, u64, u64)>,
    /// When its bytes came last, and since when a packet is unfinished.
    heard: f64,
    unfinished: Option<f64>,
}

#[derive(Debug)]
struct Seen {
    session: u64,
    got: u64,
    used: u64,
}

/// All streams of a node's life.
#[derive(Debug)]
pub struct Streams {
    cluster: u32,
    name: String,
    life: u64,
    out: BTreeMap<String, Outgoing>,
    keys: BTreeMap<usize, String>,
    incoming: BTreeMap<usize, Incoming>,
    /// What has arrived of each life's session.
    seen: BTreeMap<(String, u64), Seen>,
    uses: u64,
    next_session: u64,
    flaws: BTreeMap<DecodeError, u64>,
}

impl Streams {
    /// Those of this life of the node of this name.
    pub fn new(cluster: u32, name: &str, life: u64) -> Self {
        Self {
            cluster,
            name: name.to_owned(),
            life,
            out: BTreeMap::new(),
            keys: BTreeMap::new(),
            incoming: BTreeMap::new(),
            seen: BTreeMap::new(),
            uses: 0,
            next_session: 1,
            flaws: BTreeMap::new(),
        }
    }

    /// Connections dropped, by why.
    pub fn flaws(&self) -> &BTreeMap<DecodeError, u64> {
        &self.flaws
    }

    /// Words that wait for a node, and their bytes.
    pub fn queued(&self, to: &str) -> (usize, usize) {
        self.out
            .get(to)
            .map_or((0, 0), |out| (out.queue.len(), out.bytes))
    }

    /// Bytes of packets that are not whole yet.
    pub fn held(&self) -> usize {
        self.incoming
            .values()
            .map(|stream| stream.reader.held())
            .sum()
    }

    /// Has a word arrive at a node, there.
    ///
    /// # Errors
    ///
    /// If too much waits for that node, or the word is too long: it is not queued.
    pub fn say(
        &mut self,
        now: f64,
        to: &str,
        at: SocketAddr,
        word: Vec<u8>,
        out: &mut Vec<Effect>,
    ) -> Result<(), QueueFull> {
        let session = self.next_session;
        let entry = self.out.entry(to.to_owned()).or_insert_with(|| {
            self.next_session += 1;
            Outgoing {
                address: at,
                state: State::Apart(now),
                reader: Reader::default(),
                session,
                life: None,
                queue: VecDeque::new(),
                first: 1,
                bytes: 0,
                written: 0,
                flying: 0,
                since: now,
                wait: FIRST_WAIT,
            }
        });
        let room = entry.bytes + word.len() <= MOST_QUEUED && entry.queue.len() < MOST_WORDS;
        if word.len() > MOST_WORD || !room {
            return Err(QueueFull);
        }
        entry.address = at;
        entry.bytes += word.len();
        entry.queue.push_back(word);
        self.go_on(now, to, out);
        Ok(())
    }

    /// Gives a node up: what is queued for it is dropped.
    pub fn forget(&mut self, to: &str, out: &mut Vec<Effect>) {
        if let Some(gone) = self.out.remove(to)
            && let State::Dialing(Some(key), _) | State::Greeting(key, _) | State::Open(key) =
                gone.state
        {
            self.keys.remove(&key);
            out.push(Effect::Close(key));
        }
    }

    /// A connection to a node is being made under this key; none if it can't even be started.
    pub fn dialled(&mut self, now: f64, to: &str, key: Option<usize>, out: &mut Vec<Effect>) {
        let Some(entry) = self
            .out
            .get_mut(to)
            .filter(|e| matches!(e.state, State::Dialing(None, _)))
        else {
            // Given up in the meantime.
            out.extend(key.map(Effect::Close));
            return;
        };
        match key {
            Some(key) => {
                entry.state = State::Dialing(Some(key), now);
                self.keys.insert(key, to.to_owned());
            }
            None => entry.apart(now),
        }
    }

    /// A connection has been made that was dialled.
    pub fn opened(&mut self, now: f64, key: usize, out: &mut Vec<Effect>) {
        let Some(to) = self.keys.get(&key) else {
            return;
        };
        let Some(entry) = self.out.get_mut(to) else {
            return;
        };
        if let State::Dialing(..) = entry.state {
            entry.state = State::Greeting(key, now);
            entry.reader = Reader::default();
            let hello = Packet::Hello {
                cluster: self.cluster,
                from: self.name.clone(),
                life: self.life,
                session: entry.session,
                to: to.clone(),
            };
            out.push(Effect::Write(key, [&GREETING[..], &frame(&hello)].concat()));
        }
    }

    /// Another node has connected; one that said nothing may have to go for it.
    pub fn accepted(&mut self, now: f64, key: usize, out: &mut Vec<Effect>) {
        if self.incoming.len() >= MOST_IN {
            // One that has not said who it is goes first, else the one that has been silent for the longest.
            let oldest = self.incoming.iter().min_by(|(_, a), (_, b)| {
                (a.from.is_some(), a.heard)
                    .partial_cmp(&(b.from.is_some(), b.heard))
                    .unwrap_or(std::cmp::Ordering::Equal)
            });
            if let Some((&oldest, _)) = oldest {
                self.drop_incoming(oldest, Some(DecodeError::Crowded), out);
            }
        }
        let stream = Incoming {
            reader: Reader::default(),
            from: None,
            heard: now,
            unfinished: Some(now),
        };
        self.incoming.insert(key, stream);
    }

    /// Whether another node has made this connection.
    pub fn is_incoming(&self, key: usize) -> bool {
        self.incoming.contains_key(&key)
    }

    /// Bytes have come on a connection.
    pub fn received(&mut self, now: f64, key: usize, bytes: &[u8], out: &mut Vec<Effect>) {
        let result = if self.keys.contains_key(&key) {
            self.answered(now, key, bytes, out)
        } else {
            self.heard(now, key, bytes, out)
        };
        if let Err(flaw) = result {
            *self.flaws.entry(flaw).or_default() += 1;
            out.push(Effect::Close(key));
            self.ended(now, key);
        }
    }

    /// A connection is over, whoever ended it.
    pub fn ended(&mut self, now: f64, key: usize) {
        self.incoming.remove(&key);
        if let Some(to) = self.keys.remove(&key)
            && let Some(entry) = self.out.get_mut(&to)
        {
            entry.apart(now);
        }
    }

    /// When to be called next.
    pub fn next(&self) -> Option<f64> {
        let outgoing = self.out.values().filter_map(Outgoing::next);
        let incoming = self.incoming.values().map(Incoming::next);
        outgoing.chain(incoming).min_by(f64::total_cmp)
    }

    /// The time has come that [`Self::next`] told, or another.
    pub fn due(&mut self, now: f64, out: &mut Vec<Effect>) {
        let names: Vec<String> = self
            .out
            .iter()
            .filter(|(_, e)| e.next().is_some_and(|at| at <= now))
            .map(|(n, _)| n.clone())
            .collect();
        for name in names {
            self.go_on(now, &name, out);
        }
        let due = |stream: &Incoming| stream.next() <= now;
        let late: Vec<(usize, bool)> = self
            .incoming
            .iter()
            .filter(|(_, s)| due(s))
            .map(|(key, s)| (*key, s.unfinished.is_some()))
            .collect();
        for (key, stalled) in late {
            self.drop_incoming(key, stalled.then_some(DecodeError::Stalled), out);
        }
    }

    fn drop_incoming(&mut self, key: usize, flaw: Option<DecodeError>, out: &mut Vec<Effect>) {
        if self.incoming.remove(&key).is_some() {
            out.push(Effect::Close(key));
            if let Some(flaw) = flaw {
                *self.flaws.entry(flaw).or_default() += 1;
            }
        }
    }

    /// Does what a node is owed now: an attempt, words, the end of what stalls or lies idle.
    fn go_on(&mut self, now: f64, to: &str, out: &mut Vec<Effect>) {
        let dialled = self
            .out
            .values()
            .filter(|e| !matches!(e.state, State::Apart(_)))
            .count();
        let Some(entry) = self.out.get_mut(to) else {
            return;
        };
        match entry.state {
            State::Apart(at) if at <= now && !entry.queue.is_empty() => {
                if dialled >= MOST_OUT {
                    entry.state = State::Apart(now + LONGEST_WAIT);
                } else {
                    entry.state = State::Dialing(None, now);
                    out.push(Effect::Dial(to.to_owned(), entry.address));
                }
            }
            State::Apart(_) => {}
            State::Dialing(key, since) => {
                if now - since >= GREETING_TIME {
                    self.give_up(now, to, key, Some(DecodeError::Stalled), out);
                }
            }
            State::Greeting(key, since) => {
                if now - since >= GREETING_TIME {
                    self.give_up(now, to, Some(key), Some(DecodeError::Stalled), out);
                }
            }
            State::Open(key) => {
                if entry.written > 0 && now >= entry.stalled() {
                    return self.give_up(now, to, Some(key), Some(DecodeError::Stalled), out);
                }
                if entry.queue.is_empty() && now - entry.since >= IDLE {
                    return self.give_up(now, to, Some(key), None, out);
                }
                entry.write(now, key, out);
            }
        }
    }

    fn give_up(
        &mut self,
        now: f64,
        to: &str,
        key: Option<usize>,
        flaw: Option<DecodeError>,
        out: &mut Vec<Effect>,
    ) {
        if let Some(flaw) = flaw {
            *self.flaws.entry(flaw).or_default() += 1;
        }
        if let Some(key) = key {
            self.keys.remove(&key);
            out.push(Effect::Close(key));
        }
        if let Some(entry) = self.out.get_mut(to) {
            entry.apart(now);
        }
    }

    /// The other side of a connection that was dialled says something.
    fn answered(
        &mut self,
        now: f64,
        key: usize,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), DecodeError> {
        let Some(to) = self.keys.get(&key).cloned() else {
            return Ok(());
        };
        let next_session = self.next_session;
        let Some(entry) = self.out.get_mut(&to) else {
            return Ok(());
        };
        entry.reader.push(bytes);
        while let Some(packet) = entry.reader.packet()? {
            match (&entry.state, packet) {
                (State::Greeting(..), Packet::Welcome { life, got }) => {
                    if entry.life.is_some_and(|known| known != life) {
                        // What was queued was for a life that is over; the next session begins on a new connection.
                        entry.renew(next_session);
                        self.next_session += 1;
                        entry.apart(now);
                        (entry.state, entry.wait) = (State::Apart(now), FIRST_WAIT);
                        self.keys.remove(&key);
                        out.extend([Effect::Close(key), Effect::Anew(to.clone(), life)]);
                        return Ok(());
                    }
                    entry.acknowledge(now, got)?;
                    entry.life = Some(life);
                    (entry.state, entry.wait, entry.since) = (State::Open(key), FIRST_WAIT, now);
                }
                (State::Open(_), Packet::Got(number)) => entry.acknowledge(now, number)?,
                _ => return Err(DecodeError::Unknown),
            }
        }
        if let State::Open(key) = entry.state {
            entry.write(now, key, out);
        }
        Ok(())
    }

    /// A node that has connected says something.
    fn heard(
        &mut self,
        now: f64,
        key: usize,
        bytes: &[u8],
        out: &mut Vec<Effect>,
    ) -> Result<(), DecodeError> {
        let Some(stream) = self.incoming.get_mut(&key) else {
            return Ok(());
        };
        stream.heard = now;
        stream.reader.push(bytes);
        let (mut acknowledge, mut whole, mut twin) = (None, false, None);
        while let Some(packet) = stream.reader.packet()? {
            whole = true;
            match (stream.from.clone(), packet) {
                (
                    None,
                    Packet::Hello {
                        cluster,
                        from,
                        life,
                        session,
                        to,
                    },
                ) => {
                    if cluster != self.cluster
                        || to != self.name
                        || from == self.name
                        || from.is_empty()
                    {
                        return Err(DecodeError::Other);
                    }
                    self.uses += 1;
                    let id = (from.clone(), life);
                    let seen = self.seen.entry(id).or_insert(Seen {
                        session,
                        got: 0,
                        used: 0,
                    });
                    seen.used = self.uses;
                    if session < seen.session {
                        return Err(DecodeError::Unknown); // a late one of a session that is over
                    }
                    if session > seen.session {
                        (seen.session, seen.got) = (session, 0);
                    }
                    let welcome = Packet::Welcome {
                        life: self.life,
                        got: seen.got,
                    };
                    out.push(Effect::Write(
                        key,
                        [&GREETING[..], &frame(&welcome)].concat(),
                    ));
                    stream.from = Some((from.clone(), life, session));
                    twin = Some(from);
                }
                (Some((from, life, session)), Packet::Word(number, word)) => {
                    let seen = self
                        .seen
                        .get_mut(&(from.clone(), life))
                        .filter(|seen| seen.session == session);
                    let seen = seen.ok_or(DecodeError::Unknown)?;
                    if number > seen.got + 1 {
                        return Err(DecodeError::Unknown);
                    }
                    if number == seen.got + 1 {
                        seen.got = number;
                        out.push(Effect::Arrived(from, life, word));
                    }
                    acknowledge = Some(seen.got);
                }
                _ => return Err(DecodeError::Unknown),
            }
        }
        // Who sends a byte now and then has not gone on with its packet.
        stream.unfinished = match (
            stream.from.is_none(),
            stream.reader.held() > 0,
            stream.unfinished,
        ) {
            (true, _, since) => since,
            (false, false, _) => None,
            (false, true, Some(since)) if !whole => Some(since),
            (false, true, _) => Some(now),
        };
        if let Some(got) = acknowledge {
            out.push(Effect::Write(key, frame(&Packet::Got(got))));
        }
        if let Some(name) = twin {
            let twins: Vec<usize> = self
                .incoming
                .iter()
                .filter(|(k, s)| {
                    **k != key && s.from.as_ref().is_some_and(|(from, ..)| *from == name)
                })
                .map(|(key, _)| *key)
                .collect();
            twins
                .into_iter()
                .for_each(|twin| self.drop_incoming(twin, None, out));
            if self.seen.len() > MOST_SEEN {
                let oldest = self
                    .seen
                    .iter()
                    .min_by_key(|(_, seen)| seen.used)
                    .map(|(id, _)| id.clone());
                oldest.and_then(|id| self.seen.remove(&id));
            }
        }
        if self.held() > MOST_HELD {
            let most = self
                .incoming
                .iter()
                .max_by_key(|(_, stream)| stream.reader.held())
                .map(|(key, _)| *key);
            most.into_iter()
                .for_each(|key| self.drop_incoming(key, Some(DecodeError::Crowded), out));
        }
        Ok(())
    }
}

impl Outgoing {
    /// The connection is gone: what was written and not acknowledged is written again on the next.
    fn apart(&mut self, now: f64) {
        self.state = State::Apart(now + self.wait);
        self.wait = (self.wait * 2.0).min(LONGEST_WAIT);
        (self.written, self.flying, self.since) = (0, 0, now);
        self.reader = Reader::default();
    }

    /// When what was written counts as stalled.
    fn stalled(&self) -> f64 {
        self.since + STALL + self.flying as f64 / SLOWEST
    }

    fn renew(&mut self, session: u64) {
        self.queue.clear();
        (self.session, self.life, self.first, self.bytes) = (session, None, 1, 0);
    }

    fn next(&self) -> Option<f64> {
        match self.state {
            State::Apart(at) => (!self.queue.is_empty()).then_some(at),
            State::Dialing(_, since) | State::Greeting(_, since) => Some(since + GREETING_TIME),
            State::Open(_) if self.written > 0 => Some(self.stalled()),
            State::Open(_) => Some(self.since + IDLE),
        }
    }

    fn acknowledge(&mut self, now: f64, got: u64) -> Result<(), DecodeError> {
        let count = (got + 1)
            .checked_sub(self.first)
            .ok_or(DecodeError::Unknown)? as usize;
        if count > self.queue.len() {
            return Err(DecodeError::Unknown);
        }
        for word in self.queue.drain(..count) {
            self.bytes -= word.len();
            if self.written > 0 {
                self.written -= 1;
                self.flying -= word.len();
            }
        }
        self.first += count as u64;
        if count > 0 {
            self.since = now;
        }
        Ok(())
    }

    fn write(&mut self, now: f64, key: usize, out: &mut Vec<Effect>) {
        let mut bytes = Vec::new();
        while self.flying < WINDOW
            && let Some(word) = self.queue.get(self.written)
        {
            if self.written == 0 {
                self.since = now;
            }
            bytes.extend(frame(&Packet::Word(
                self.first + self.written as u64,
                word.clone(),
            )));
            self.written += 1;
            self.flying += word.len();
        }
        if !bytes.is_empty() {
            out.push(Effect::Write(key, bytes));
        }
    }
}

impl Incoming {
    fn next(&self) -> f64 {
        match (&self.from, self.unfinished) {
            (None, Some(since)) => since + GREETING_TIME,
            (_, Some(since)) => since + STALL + self.reader.held() as f64 / SLOWEST,
            (_, None) => self.heard + 2.0 * IDLE,
        }
    }
}
