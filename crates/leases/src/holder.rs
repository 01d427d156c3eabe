//! The time of a node that owns duties: whether it may still act, by its own clock alone.

use crate::LeaseTiming;
use crate::state::FencingToken;
use std::collections::BTreeMap;

/// That a node may act now for a duty. It is good for the effect that is made at once, not for one that is made later.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeasePermit {
    duty: String,
    token: FencingToken,
    left: u64,
}

impl LeasePermit {
    /// The duty.
    pub fn duty(&self) -> &str {
        &self.duty
    }

    /// The token to act under.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// How long the lease still runs, in milliseconds.
    pub fn left(&self) -> u64 {
        self.left
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Held {
    token: FencingToken,
    /// By this clock; none where it must be renewed before anything is done.
    until: Option<u64>,
}

/// What a node owns.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeaseHolder {
    times: LeaseTiming,
    held: BTreeMap<String, Held>,
    /// When the latest turn was.
    turn: Option<u64>,
    /// What was asked before this counts for nothing any more.
    since: u64,
}

impl LeaseHolder {
    /// One that owns nothing.
    pub fn new(times: LeaseTiming) -> Self {
        Self {
            times,
            held: BTreeMap::new(),
            turn: None,
            since: 0,
        }
    }

    /// A turn of the loop; it is to come at least every half of `late`. One that comes later than `late` after the one
    /// before has been a pause: nothing is thought to be owned until it has been renewed. Gives whether it was.
    pub fn turn(&mut self, now: u64) -> bool {
        let late = self.turn.is_some_and(|last| now > last + self.times.late);
        self.turn = Some(now);
        if late {
            self.since = now;
            self.held.values_mut().for_each(|held| held.until = None);
        }
        late
    }

    /// A grant has come, or a renewal, that was asked for then: the lease counts from before it was asked. An answer to what
    /// was asked before a pause counts for nothing.
    pub fn granted(&mut self, asked: u64, duty: &str, token: FencingToken) {
        let until = (asked >= self.since).then(|| asked + self.times.owner());
        let held = self
            .held
            .entry(duty.to_owned())
            .or_insert(Held { token, until });
        if held.token < token {
            *held = Held { token, until };
        } else if held.token == token {
            held.until = held.until.max(until);
        }
    }

    /// A duty is this node's no more, as of this token: refused, released, lost, or handed on.
    pub fn lost(&mut self, duty: &str, token: FencingToken) {
        if self.held.get(duty).is_some_and(|held| held.token <= token) {
            self.held.remove(duty);
        }
    }

    /// Whether it may act now; asked before each effect.
    pub fn may(&self, now: u64, duty: &str) -> Option<LeasePermit> {
        let held = self.held.get(duty)?;
        // The same as in `turn`, for who asks in the middle of one.
        let awake = self.turn.is_some_and(|last| now <= last + self.times.late);
        let left = held
            .until?
            .checked_sub(now)
            .filter(|left| *left > 0 && awake)?;
        Some(LeasePermit {
            duty: duty.to_owned(),
            token: held.token,
            left,
        })
    }

    /// All that it believes to own, to be renewed at once; also what has to be, after a pause.
    pub fn all(&self) -> Vec<(String, FencingToken)> {
        self.held
            .iter()
            .map(|(duty, held)| (duty.clone(), held.token))
            .collect()
    }

    /// When to renew: with two thirds of the shortest lease left, so that two renewals may be lost. 0 where one must be before
    /// anything else is done.
    pub fn renew_at(&self) -> Option<u64> {
        let left = self.times.owner() * 2 / 3;
        self.held
            .values()
            .map(|held| held.until.map_or(0, |until| until.saturating_sub(left)))
            .min()
    }
}
