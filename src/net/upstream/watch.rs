//! The schedule of calls to discovery: when a call is made, and how long the node waits for its
//! answer. It is a state machine without I/O or a clock: it is given the time and the outcomes of
//! calls, and returns the calls to make. It is used for pushed and for polled lists, since both
//! arrive as answers to calls.
//!
//! It guarantees that this node acts on a change within 6 s after discovery has the change and can
//! be reached, regardless of how calls fail. The node therefore waits for an unanswered watch for
//! at most [`MAX_WATCH_SECONDS`] plus [`WATCH_GRACE_SECONDS`]; then a second call is made in
//! parallel, and a third one replaces the first. A failed call is retried within
//! `MAX_RETRY_WAIT_SECONDS` plus `MAX_RETRY_SPREAD_SECONDS`.

use super::backoff::{Backoff, ClusterPosition};
use crate::decision::random::Random;

/// Longest time that a watch waits for changes, in seconds. A shorter maximum would cost discovery
/// more calls; a longer one would break the 6 s bound if a watch stays unanswered.
pub const MAX_WATCH_SECONDS: f64 = 3.4;
/// Shortest time that a watch waits for changes, in seconds. The waits are random, so that nodes
/// that learned of a change at the same time don't all call again at the same time.
const MIN_WATCH_SECONDS: f64 = 2.6;
/// How long after the end of its wait a watch may still be answered, in seconds.
pub const WATCH_GRACE_SECONDS: f64 = 0.5;
/// How long a call that does not wait for changes may stay unanswered before a second one is made
/// in parallel, in seconds.
pub const SECOND_CALL_DELAY_SECONDS: f64 = 1.1;
/// How long a call for the full list may take, in seconds: discovery completes or fails a call
/// within 2 s. The full list is too expensive to be requested twice in parallel.
pub const FULL_LIST_TIMEOUT_SECONDS: f64 = 2.2;
/// How long a node that starts with a list waits for the answer to its first call before it uses
/// that list, in seconds.
pub const INITIAL_SYNC_TIMEOUT_SECONDS: f64 = 2.2;

/// First wait before a failed call is retried, in seconds.
const FIRST_RETRY_WAIT_SECONDS: f64 = 0.1;
/// Longest wait before a failed call is retried, in seconds, without the spread.
const MAX_RETRY_WAIT_SECONDS: f64 = 1.4;
/// Spread of retried calls for each node of the cluster, in seconds: all nodes may have lost
/// discovery at the same time.
const RETRY_SPREAD_PER_NODE_SECONDS: f64 = 0.004;
/// Longest spread of retried calls, in seconds.
const MAX_RETRY_SPREAD_SECONDS: f64 = 1.2;
/// Spread of first calls for each node of the cluster, in seconds: all nodes may start at the same
/// time.
const START_SPREAD_PER_NODE_SECONDS: f64 = 0.001;
/// Longest spread of first calls, in seconds. It is short, because a node does not serve requests
/// before its first call.
const MAX_START_SPREAD_SECONDS: f64 = 0.25;
/// An answer without changes that arrives sooner than this after its call, in seconds, shows that
/// discovery did not wait for changes.
const IMMEDIATE_ANSWER_SECONDS: f64 = 0.05;
/// Pause after such an answer, in seconds, which prevents a tight loop of calls. It stays below the
/// 0.2 s after which discovery no longer treats the next call as part of the same watch.
const IMMEDIATE_ANSWER_PAUSE_SECONDS: f64 = 0.1;

/// Makes the random numbers of the schedule differ from those of its backoff, which has the same
/// seed.
const SEED_OFFSET: u64 = 0x5eed;

/// The number of a call, counted from 1.
pub type CallId = u64;

/// A call to be made now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Its number.
    pub id: CallId,
    /// How long discovery is to wait for changes, in seconds; `None` if the call does not wait.
    pub wait_seconds: Option<f64>,
    /// The unanswered call that this one replaces.
    pub supersedes: Option<CallId>,
}

/// When the first call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstCall {
    /// At once.
    Immediate,
    /// After a short random delay, so that nodes which start together don't call together.
    Spread,
}

/// Whether an answer contained anything new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerContent {
    /// A change that this node did not have yet.
    Changed,
    /// Nothing new.
    Unchanged,
}

/// A call that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    id: CallId,
    made_at: f64,
}

/// The calls that wait for an answer, and the time of the next call.
#[derive(Debug)]
pub struct Schedule {
    rng: Random,
    backoff: Backoff,
    /// The number of nodes that call the same discovery.
    node_count: u32,
    /// At most two, the older one first.
    open_calls: Vec<OpenCall>,
    next_id: CallId,
    /// The number of calls since the last answer or failure that were not answered in time.
    unanswered: u32,
    next_call_at: Option<f64>,
    /// Whether no call since the start has been answered yet; until then, no call waits for
    /// changes.
    starting: bool,
}

impl Schedule {
    /// Creates a schedule without calls. `node_count` is the number of nodes that call the same
    /// discovery.
    pub fn new(node_count: u32, seed: u64) -> Self {
        Self {
            rng: Random::new(seed ^ SEED_OFFSET),
            backoff: Backoff::new(FIRST_RETRY_WAIT_SECONDS, MAX_RETRY_WAIT_SECONDS, seed),
            node_count,
            open_calls: Vec::new(),
            next_id: 1,
            unanswered: 0,
            next_call_at: None,
            starting: false,
        }
    }

    /// Sets this node's position among the nodes that it knows, and their number.
    pub fn set_cluster_position(&mut self, position: ClusterPosition) {
        self.backoff.set_cluster_position(position);
        self.node_count = u32::try_from(position.node_count.max(1)).unwrap_or(u32::MAX);
    }

    /// Returns a random delay in seconds; its range grows with the number of nodes up to
    /// `max_seconds`.
    fn random_spread(&mut self, seconds_per_node: f64, max_seconds: f64) -> f64 {
        (seconds_per_node * f64::from(self.node_count)).min(max_seconds) * self.rng.uniform()
    }

    /// Starts the calls. A process that starts with an old list must learn what changed before its
    /// start before it serves requests, so the first call does not wait for changes.
    pub fn start(&mut self, now: f64, first_call: FirstCall) {
        self.starting = true;
        let delay = match first_call {
            FirstCall::Spread => {
                self.random_spread(START_SPREAD_PER_NODE_SECONDS, MAX_START_SPREAD_SECONDS)
            }
            FirstCall::Immediate => 0.0,
        };
        self.next_call_at = Some(now + delay);
    }

    /// The time at which [`Schedule::take_due_call`] may return the next call.
    pub fn next_call_at(&self) -> Option<f64> {
        self.next_call_at
    }

    /// Whether this call still waits for its answer.
    pub fn is_open(&self, id: CallId) -> bool {
        self.open_calls.iter().any(|open| open.id == id)
    }

    /// The number of calls made so far.
    pub fn call_count(&self) -> u64 {
        self.next_id - 1
    }

    /// The number of calls that wait for an answer.
    pub fn open_call_count(&self) -> usize {
        self.open_calls.len()
    }

    /// Returns the call that is due now, if one is. `has_list` says whether the node holds a list,
    /// whose changes can be requested.
    pub fn take_due_call(&mut self, now: f64, has_list: bool) -> Option<Call> {
        self.next_call_at.filter(|at| *at <= now)?;
        // A call that is still open when the next one is due has not been answered in time.
        self.unanswered += u32::from(!self.open_calls.is_empty());
        let max_open_before = if has_list { 1 } else { 0 };
        let supersedes =
            (self.open_calls.len() > max_open_before).then(|| self.open_calls.remove(0).id);
        // A call that follows an unanswered watch does not wait for changes: if it stayed
        // unanswered too, waiting for it would take as long again.
        let watches = has_list && self.unanswered == 0 && !self.starting;
        let wait_seconds = watches.then(|| {
            MIN_WATCH_SECONDS + (MAX_WATCH_SECONDS - MIN_WATCH_SECONDS) * self.rng.uniform()
        });
        let id = self.next_id;
        self.next_id += 1;
        self.open_calls.push(OpenCall { id, made_at: now });
        let timeout_seconds = match wait_seconds {
            Some(wait) => wait + WATCH_GRACE_SECONDS,
            None if has_list => SECOND_CALL_DELAY_SECONDS,
            None => FULL_LIST_TIMEOUT_SECONDS,
        };
        self.next_call_at = Some(now + timeout_seconds);
        Some(Call {
            id,
            wait_seconds,
            supersedes,
        })
    }

    /// Records the answer to an open call, and gives up all other open calls.
    pub fn record_answer(&mut self, now: f64, id: CallId, content: AnswerContent) {
        let Some(made_at) = self
            .open_calls
            .iter()
            .find(|open| open.id == id)
            .map(|open| open.made_at)
        else {
            return;
        };
        // The first call does not wait for changes, so an immediate answer to it is expected and
        // the watch follows at once.
        let did_not_wait = content == AnswerContent::Unchanged
            && self.unanswered == 0
            && !self.starting
            && now - made_at < IMMEDIATE_ANSWER_SECONDS;
        self.restart(if did_not_wait {
            now + IMMEDIATE_ANSWER_PAUSE_SECONDS
        } else {
            now
        });
    }

    /// Records that a call was refused or reset, or that its answer was not a list. It is retried
    /// only if no other call is open that may still be answered.
    pub fn record_failure(&mut self, now: f64, id: CallId) {
        let open_before = self.open_calls.len();
        self.open_calls.retain(|open| open.id != id);
        if open_before > 0 && self.open_calls.is_empty() {
            self.unanswered = 0;
            let wait = self.backoff.next_wait();
            let spread =
                self.random_spread(RETRY_SPREAD_PER_NODE_SECONDS, MAX_RETRY_SPREAD_SECONDS);
            self.next_call_at = Some(now + wait + spread);
        }
    }

    /// Starts over with a call at this time and gives up the open calls; also used after the
    /// address of discovery has changed.
    pub fn restart(&mut self, at: f64) {
        self.open_calls.clear();
        self.starting = false;
        self.unanswered = 0;
        self.backoff.reset();
        self.next_call_at = Some(at);
    }
}
