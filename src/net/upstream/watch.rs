//! When discovery is called, and how long an answer is waited for. A state machine without I/O or clock: it is told the
//! time and what became of calls, and says what to do next. It serves lists that are pushed and lists that are asked for:
//! on the sockets both come as answers to calls.
//!
//! What it is for: a change counts as told 6 s after discovery had it and could be reached, whatever calls came to. A call
//! made before the change is therefore believed for no longer than [`WAIT`] and [`LATE`]; then another is made beside it,
//! and a third takes its place. A call that fails is made again within [`MOST_AGAIN`] and [`SPREAD`].

use super::backoff::Backoff;
use crate::decision::random::Random;

/// How long a watch waits for changes, in seconds, at most and at least: nodes that were told something at one moment must
/// not come back at one moment. Each watch that ends costs discovery a call; a longer one is believed for too long.
pub const WAIT: f64 = 3.4;
const WAIT_LEAST: f64 = 2.6;
/// How much later than its wait the answer of a watch may come.
pub const LATE: f64 = 0.5;
/// After this time another call is made beside one that does not wait.
pub const BESIDE: f64 = 1.1;
/// How long the whole list may take: discovery ends a call, or fails it, in 2 s. It costs too much to be asked for twice.
pub const PATIENCE: f64 = 2.2;
/// A call that fails is made again after this time at first, and after this one at most.
const FIRST_AGAIN: f64 = 0.1;
const MOST_AGAIN: f64 = 1.4;
/// Beyond that, so much for each node, up to so much in all: they may all have lost discovery at one moment.
const SPREAD_EACH: f64 = 0.004;
const SPREAD: f64 = 1.2;
/// First calls of nodes that all start at one moment, in the same way: a node does not serve before it, so that the spread is short.
const START_EACH: f64 = 0.001;
const START: f64 = 0.25;
/// After this time a node that holds a list serves by it though its first call has not ended.
pub const START_PATIENCE: f64 = 2.2;
/// An answer that brings nothing, sooner than this after its call, has not waited; the next call rests for so long: less
/// than the 0.2 s after which a watch would no longer be the same one.
const AT_ONCE: f64 = 0.05;
const REST: f64 = 0.1;

/// The number of a call.
pub type CallId = u64;

/// A call to be made now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// How long it waits for changes; `None` where it does not wait.
    pub wait: Option<f64>,
    /// The call that is given up for it.
    pub ends: Option<CallId>,
}

/// The calls that are out, and when the next one is due.
#[derive(Debug)]
pub struct Schedule {
    rng: Random,
    backoff: Backoff,
    /// How many nodes call the same discovery.
    nodes: u32,
    /// At most two: the older first, each since when.
    out: Vec<(CallId, f64)>,
    next_id: CallId,
    /// Calls since the last answer or failure that have fallen silent.
    silent: u32,
    due: Option<f64>,
    /// No call since the start has been answered yet: none waits for changes.
    starting: bool,
}

impl Schedule {
    /// No call is out or due; so many nodes call the same discovery.
    pub fn new(nodes: u32, seed: u64) -> Self {
        let backoff = Backoff::new(FIRST_AGAIN, MOST_AGAIN, seed);
        let (rng, out) = (Random::new(seed ^ 0x5eed), Vec::new());
        Self {
            rng,
            backoff,
            nodes,
            out,
            next_id: 1,
            silent: 0,
            due: None,
            starting: false,
        }
    }

    /// This node's place among the nodes that it knows, and their number.
    pub fn place(&mut self, at: usize, of: usize) {
        self.backoff.place(at, of);
        self.nodes = u32::try_from(of.max(1)).unwrap_or(u32::MAX);
    }

    fn crowded(&mut self, each: f64, most: f64) -> f64 {
        (each * f64::from(self.nodes)).min(most) * self.rng.uniform()
    }

    /// Calls from now on, a little apart from other nodes where the calls are to be `spread`. Danger: a process that starts with an old
    /// list counts as told of what changed before its start; so the first call comes before all else, and does not wait for changes.
    pub fn start(&mut self, now: f64, spread: bool) {
        self.starting = true;
        let after = if spread {
            self.crowded(START_EACH, START)
        } else {
            0.0
        };
        self.due = Some(now + after);
    }

    /// When it is to be asked for a call next.
    pub fn wakes(&self) -> Option<f64> {
        self.due
    }

    /// Whether this call is out.
    pub fn is_out(&self, id: CallId) -> bool {
        self.out.iter().any(|(out, _)| *out == id)
    }

    /// How many calls have been made so far.
    pub fn made(&self) -> u64 {
        self.next_id - 1
    }

    /// How many calls are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// The call that is due now, if one is. `listed`: the node holds a list, so that changes to it can be asked for.
    pub fn due(&mut self, now: f64, listed: bool) -> Option<Call> {
        self.due.filter(|due| *due <= now)?;
        // Whoever is still out has fallen silent.
        self.silent += u32::from(!self.out.is_empty());
        let most = if listed { 1 } else { 0 };
        let ends = (self.out.len() > most).then(|| self.out.remove(0).0);
        // Danger: a watch that is opened for a silent one, and is silent, too, would be believed for as long again.
        let waits = listed && self.silent == 0 && !self.starting;
        let wait = waits.then(|| WAIT_LEAST + (WAIT - WAIT_LEAST) * self.rng.uniform());
        let id = self.next_id;
        self.next_id += 1;
        self.out.push((id, now));
        let beside = if listed { BESIDE } else { PATIENCE };
        self.due = Some(now + wait.map_or(beside, |wait| wait + LATE));
        Some(Call { id, wait, ends })
    }

    /// A call has been answered, with something new or not; all others are given up.
    pub fn answered(&mut self, now: f64, id: CallId, news: bool) {
        let Some(&(_, since)) = self.out.iter().find(|(out, _)| *out == id) else {
            return;
        };
        // The first call does not wait; the watch follows at once.
        let at_once = !news && self.silent == 0 && !self.starting && now - since < AT_ONCE;
        self.call_at(if at_once { now + REST } else { now });
    }

    /// A call was refused or reset, or its answer was none. Another that is out still may be answered.
    pub fn failed(&mut self, now: f64, id: CallId) {
        let before = self.out.len();
        self.out.retain(|(out, _)| *out != id);
        if before > 0 && self.out.is_empty() {
            self.silent = 0;
            self.due = Some(now + self.backoff.wait() + self.crowded(SPREAD_EACH, SPREAD));
        }
    }

    /// Discovery is elsewhere now: it is called there at once, and no call to the old place counts.
    pub fn moved(&mut self, now: f64) {
        self.call_at(now);
    }

    /// The next call is due then, and none that is out counts.
    fn call_at(&mut self, at: f64) {
        self.out.clear();
        self.starting = false;
        self.silent = 0;
        self.backoff.reset();
        self.due = Some(at);
    }
}
