//! What stands before every effect.

use crate::holder::LeasePermit;
use crate::state::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Something that an owner wants done, with the token under which it may be. It goes to whoever does it, who must ask
/// its own fence first: there is no other way to what it holds.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Effect<T> {
    duty: String,
    token: FencingToken,
    what: T,
}

impl<T> Effect<T> {
    /// An effect under a permit.
    pub fn new(permit: &LeasePermit, what: T) -> Self {
        Self {
            duty: permit.duty().to_owned(),
            token: permit.token(),
            what,
        }
    }

    /// The duty that it is of.
    pub fn duty(&self) -> &str {
        &self.duty
    }

    /// Its token.
    pub fn token(&self) -> FencingToken {
        self.token
    }
}

/// An effect comes from an owner that is none any more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StaleToken {
    /// The duty.
    pub duty: String,
    /// The token that came.
    pub token: FencingToken,
    /// The highest that has been seen.
    pub seen: FencingToken,
}

impl fmt::Display for StaleToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { duty, token, seen } = self;
        write!(f, "token {token} of '{duty}' is over: {seen} has been seen")
    }
}

impl std::error::Error for StaleToken {}

/// The highest token seen of each duty.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Fence {
    seen: BTreeMap<String, FencingToken>,
    /// Effects refused so far.
    refused: u64,
}

impl Fence {
    /// Takes an effect in, or refuses it. Where the fence must outlive its process, it is to be durable before the
    /// effect is done: [`Fence::known`] tells whether it has to be written.
    ///
    /// # Errors
    ///
    /// If a higher token has been seen.
    pub fn admit<T>(&mut self, effect: Effect<T>) -> Result<T, StaleToken> {
        let Effect { duty, token, what } = effect;
        self.learn(&duty, token)?;
        Ok(what)
    }

    /// Takes in that this token has been granted, without an effect.
    ///
    /// # Errors
    ///
    /// If a higher one has been seen.
    pub fn learn(&mut self, duty: &str, token: FencingToken) -> Result<(), StaleToken> {
        match self.seen.get_mut(duty) {
            Some(seen) if *seen > token => {
                self.refused += 1;
                Err(StaleToken {
                    duty: duty.to_owned(),
                    token,
                    seen: *seen,
                })
            }
            Some(seen) => {
                *seen = token;
                Ok(())
            }
            None => {
                self.seen.insert(duty.to_owned(), token);
                Ok(())
            }
        }
    }

    /// The highest token seen of a duty.
    pub fn known(&self, duty: &str) -> Option<FencingToken> {
        self.seen.get(duty).copied()
    }

    /// How many effects it has refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
