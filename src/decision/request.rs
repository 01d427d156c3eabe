//! A request's names and record, below the interface and the dispatcher's memory: plain types without any decision.

use serde::{Deserialize, Serialize};

/// Number that identifies a request at this dispatcher; below 2^52 and never reused.
pub type RequestId = u64;

/// Address of a worker. It carries no meaning beyond identity.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
)]
pub struct WorkerId {
    /// Four bytes of address.
    pub address: [u8; 4],
    /// Port.
    pub port: u16,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum State {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Attempt {
    pub worker: usize,
    /// Zone and cell that it was sent to.
    pub home: (u8, u16),
    pub sent: f64,
    pub state: State,
    pub started: Option<f64>,
    pub heard: f64,
    /// The worker's report promised room.
    pub promised: bool,
    pub cancelled: bool,
}

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Request {
    pub class: usize,
    /// Its subject, where fetching what that needs has a price. Not known of a request that another process has handed over.
    #[serde(skip)]
    pub subject: Option<u64>,
    /// It carries no key by which workers would know its repeats. Another process tells it apart from the record.
    #[serde(skip)]
    pub keyless: bool,
    pub need: f64,
    pub memory: f64,
    pub work: f64,
    /// Running time that it takes at least.
    pub least: f64,
    /// When its client first asked, in an earlier try perhaps.
    pub first: f64,
    pub deadline: f64,
    pub attempts: Vec<Attempt>,
    /// Workers that its draw is over.
    pub pool: Vec<usize>,
    /// Workers being asked for it, until `sample_until`, in the round `rounds`.
    pub sample: Vec<usize>,
    pub sample_until: f64,
    pub rounds: u32,
    /// The cold worker that the attempt numbered `rolled` may go to.
    pub pass: Option<usize>,
    pub rolled: usize,
    /// When it is looked at next.
    pub look: f64,
    pub streaming: bool,
}

/// A request on its way to another process of this node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct MigratedRequest {
    pub(crate) request: Request,
    /// The worker of each attempt.
    pub workers: Vec<WorkerId>,
}

impl MigratedRequest {
    /// Says whether the request carries a key, which its payload tells and its record does not.
    pub fn set_keyless(&mut self, keyless: bool) {
        self.request.keyless = keyless;
    }

    /// Moves all times, where the other process's clock shows another time.
    pub fn shift(&mut self, by: f64) {
        let r = &mut self.request;
        r.first += by;
        r.deadline += by;
        for a in &mut r.attempts {
            (a.sent, a.heard, a.started) = (a.sent + by, a.heard + by, a.started.map(|at| at + by));
        }
    }
}
