//! What the nodes decide together: it carries words, writes and the time to and from the machine in `postproxy-coordination`, and
//! words what the operators' door is asked of it.

use postproxy_coordination::{
    Coordinator, Error, Event, Operation, Output, Response, Settings, Status, StorageChange,
};
use postproxy_diagnostics::{Diagnostic, ErrorBody};
use std::collections::{HashMap, HashSet};

/// A write that the disk refused is tried again after this, in seconds.
const AGAIN: f64 = 0.2;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminRequest {
    /// That whoever owns this duty gives it up.
    Release(String),
    /// That this node owns this duty.
    Hand(String, String),
    /// That this node votes, or does so no more.
    Voter(String, bool),
}

/// What is to be done.
#[derive(Debug)]
pub enum Do {
    /// Send this to that node.
    Send(String, Vec<u8>),
    /// Write these; [`CoordinationService::written`] is told what became of it.
    Write(Vec<StorageChange>),
    /// Answer a caller at the door.
    Tell(usize, u16, String),
}

/// Writes, one batch on its way at a time: what is refused goes again before anything later, so that the disk never holds a
/// later change without an earlier one.
#[derive(Debug, Default)]
struct WriteQueue {
    behind: (u64, Vec<StorageChange>),
    flying: Option<(u64, Vec<StorageChange>)>,
    /// When the disk is tried again, after a refusal.
    again: Option<f64>,
}

impl WriteQueue {
    fn push(&mut self, number: u64, changes: Vec<StorageChange>) {
        self.behind.0 = number;
        self.behind.1.extend(changes);
    }

    /// The next batch, if one may go.
    fn next(&mut self, now: f64) -> Option<Vec<StorageChange>> {
        if self.again.is_some_and(|at| at > now) {
            return None;
        }
        if self.again.take().is_some() {
            return self.flying.as_ref().map(|(_, changes)| changes.clone());
        }
        if self.flying.is_some() || self.behind.1.is_empty() {
            return None;
        }
        let (number, changes) = std::mem::take(&mut self.behind);
        self.flying = Some((number, changes.clone()));
        Some(changes)
    }

    /// What became of the batch on its way: the number up to which all is durable.
    fn written(&mut self, now: f64, well: bool) -> Option<u64> {
        if !well {
            self.again = Some(now + AGAIN);
            return None;
        }
        self.flying.take().map(|(number, _)| number)
    }
}

/// A node's part in what is decided.
pub struct CoordinationService {
    council: Coordinator,
    scribe: WriteQueue,
    ticket: u64,
    /// Callers at the door, by ticket.
    callers: HashMap<u64, usize>,
    /// To whom words are lost that are to be said anew.
    lost: HashSet<String>,
}

/// The time as the machines beside the jobs count it, in milliseconds.
pub(super) fn ms(now: f64) -> u64 {
    (now * 1000.0) as u64
}

/// An error as the door words it, with a status.
pub fn refusal(error: &Error) -> (u16, String) {
    let status = match error {
        Error::NoMajority(_) | Error::Busy | Error::NoVoters | Error::Elsewhere(_) => 503,
        Error::Nobody => 404,
        Error::Name => 400,
        Error::Rejected(postproxy_coordination::Rejection::Unknown) => 404,
        Error::Rejected(_) | Error::WouldStop { .. } | Error::Count => 409,
    };
    (status, worded(&error.error_body()))
}

fn worded(told: &ErrorBody) -> String {
    serde_json::to_string(told).unwrap_or_default() + "\n"
}

impl CoordinationService {
    /// From what was kept, in this life of the process.
    pub fn new(
        settings: Settings,
        now: f64,
        life: u64,
        kept: Vec<(Vec<u8>, Vec<u8>)>,
    ) -> (Self, Vec<Do>) {
        let mut out = Vec::new();
        let council = Coordinator::new(settings, ms(now), life, kept, &mut out);
        let mut affairs = Self {
            council,
            scribe: WriteQueue::default(),
            ticket: 0,
            callers: HashMap::new(),
            lost: HashSet::new(),
        };
        let todo = affairs.carry(now, out);
        (affairs, todo)
    }

    /// When it is to be called next.
    pub fn next(&self) -> f64 {
        self.council.next() as f64 / 1000.0
    }

    /// A turn of the loop.
    pub fn turn(&mut self, now: f64) -> Vec<Do> {
        let mut out = Vec::new();
        for name in std::mem::take(&mut self.lost) {
            self.council.reconnected(ms(now), &name, &mut out);
        }
        self.council.turn(ms(now), &mut out);
        self.carry(now, out)
    }

    /// Another node says something; `None` if it is no word of its.
    pub fn receive(&mut self, now: f64, from: &str, bytes: &[u8]) -> Option<Vec<Do>> {
        let mut out = Vec::new();
        let ours = bytes.starts_with(&postproxy_coordination::PREFIX);
        if ours && !self.council.receive(ms(now), from, bytes, &mut out) {
            tracing::debug!(from, "a word of other founders: dropped");
        }
        ours.then(|| self.carry(now, out))
    }

    /// What was on its way to or from a node may be lost.
    pub fn reconnected(&mut self, name: &str) {
        self.lost.insert(name.to_owned());
    }

    /// What became of the writes on their way.
    pub fn written(&mut self, now: f64, well: bool) -> Vec<Do> {
        let mut out = Vec::new();
        if let Some(number) = self.scribe.written(now, well) {
            self.council.durable(ms(now), number, &mut out);
        }
        self.carry(now, out)
    }

    /// A caller at the door asks for something.
    pub fn ask(&mut self, now: f64, caller: usize, ask: AdminRequest) -> Vec<Do> {
        self.ticket += 1;
        self.callers.insert(self.ticket, caller);
        let (now_ms, mut out) = (ms(now), Vec::new());
        match ask {
            AdminRequest::Release(duty) => {
                let token = self
                    .council
                    .state()
                    .duty(&duty)
                    .and_then(|duty| duty.owner.as_ref())
                    .map(|(_, t)| *t);
                self.council.call(
                    now_ms,
                    self.ticket,
                    Operation::Release(duty, token.unwrap_or_default()),
                    &mut out,
                );
            }
            AdminRequest::Hand(duty, to) => {
                self.council.call(
                    now_ms,
                    self.ticket,
                    Operation::Hand(duty, None, to),
                    &mut out,
                );
            }
            AdminRequest::Voter(name, add) => {
                self.council
                    .seating(now_ms, self.ticket, add, &name, &mut out)
            }
        }
        self.carry(now, out)
    }

    /// What the door shows.
    pub fn view(&self, now: f64) -> Status {
        self.council.view(ms(now))
    }

    /// Who votes, and who leads, as far as this node knows.
    pub fn voters(&self) -> (Vec<String>, Option<String>) {
        (
            self.council.seats().values().cloned().collect(),
            self.council.leader().cloned(),
        )
    }

    fn tell(&mut self, ticket: u64, came: Result<String, Error>) -> Option<Do> {
        let caller = self.callers.remove(&ticket)?;
        Some(match came {
            Ok(words) => Do::Tell(caller, 200, words),
            Err(error) => {
                tracing::info!(code = error.code(), %error, remedy = error.remedy(), "an operator's call is refused");
                let (status, words) = refusal(&error);
                Do::Tell(caller, status, words)
            }
        })
    }

    fn carry(&mut self, now: f64, out: Vec<Output>) -> Vec<Do> {
        let mut todo = Vec::new();
        for one in out {
            match one {
                Output::Send(to, bytes) => todo.push(Do::Send(to, bytes)),
                Output::Write(number, changes) => self.scribe.push(number, changes),
                Output::Event(Event::Answered(ticket, came)) => {
                    todo.extend(self.tell(ticket, came.map(|answer| said(&answer).to_owned())));
                }
                Output::Event(Event::Seated(ticket, came)) => {
                    todo.extend(self.tell(ticket, came.map(|()| "yes\n".to_owned())));
                }
                Output::Event(event) => log(&event),
            }
        }
        todo.extend(self.scribe.next(now).map(Do::Write));
        todo
    }
}

fn said(answer: &Response) -> &'static str {
    match answer {
        Response::Refused(_) => "no\n",
        _ => "yes\n",
    }
}

fn log(event: &Event) {
    match event {
        Event::Gained(duty, token, _) => tracing::info!(duty, token, "this node owns a duty"),
        Event::Lost(duty, token) => tracing::info!(duty, token, "this node owns a duty no more"),
        Event::Owner(duty, Some((owner, token))) => {
            tracing::info!(duty, owner, token, "a duty has an owner")
        }
        Event::Owner(duty, None) => tracing::warn!(duty, "a duty has no owner"),
        Event::Leader(Some(leader)) => tracing::info!(leader, "the voters have a leader"),
        Event::Leader(None) => tracing::warn!("the voters have no leader that this node knows of"),
        Event::Votes(None) => tracing::info!("this node votes"),
        Event::Votes(Some(why)) => tracing::warn!(?why, "this node does not vote"),
        Event::Paused => tracing::warn!("a pause: nothing is owned until it has been renewed"),
        Event::Decided | Event::Answered(..) | Event::Seated(..) => {}
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a later write that is durable where an earlier one was refused.
    #[test]
    fn what_the_disk_refused_goes_again_before_anything_later() {
        let change = |n: u8| StorageChange {
            key: vec![n],
            value: None,
        };
        let mut scribe = WriteQueue::default();
        scribe.push(1, vec![change(1)]);
        assert_eq!(scribe.next(0.0), Some(vec![change(1)]));
        scribe.push(2, vec![change(2)]);
        scribe.push(3, vec![change(3)]);
        assert_eq!(scribe.next(0.0), None, "one is on its way");
        assert_eq!(scribe.written(1.0, false), None);
        assert_eq!(scribe.next(1.1), None, "not at once");
        assert_eq!(scribe.next(1.0 + AGAIN), Some(vec![change(1)]));
        assert_eq!(scribe.next(9.0), None);
        assert_eq!(scribe.written(2.0, true), Some(1));
        assert_eq!(scribe.next(2.0), Some(vec![change(2), change(3)]));
        assert_eq!(scribe.written(2.0, true), Some(3));
        assert_eq!(scribe.next(2.0), None);
    }
}
