//! Fencing: an effect carries the token of the owner that makes it, and the component that carries
//! it out rejects stale tokens.

use crate::holder::LeasePermit;
use crate::operation::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// An action of a lease's owner, with the token under which it is made. The payload is only
/// accessible through [`Fence::admit`], so that the action cannot be carried out without a check of
/// the token.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Effect<T> {
    lease: String,
    token: FencingToken,
    payload: T,
}

impl<T> Effect<T> {
    /// Creates an effect under a permit.
    pub fn new(permit: &LeasePermit, payload: T) -> Self {
        Self {
            lease: permit.lease().to_owned(),
            token: permit.token(),
            payload,
        }
    }

    /// Returns the name of the lease.
    pub fn lease(&self) -> &str {
        &self.lease
    }

    /// Returns the token under which the effect was made.
    pub fn token(&self) -> FencingToken {
        self.token
    }
}

/// An effect was made under the token of an earlier owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StaleToken {
    /// The name of the lease.
    pub lease: String,
    /// The token of the effect.
    pub token: FencingToken,
    /// The highest token that the fence has seen.
    pub highest_seen: FencingToken,
}

impl fmt::Display for StaleToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            lease,
            token,
            highest_seen,
        } = self;
        write!(
            f,
            "token {token} of lease '{lease}' is stale: token {highest_seen} has been seen"
        )
    }
}

impl std::error::Error for StaleToken {}

/// Remembers the highest token seen of each lease and rejects lower ones.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Fence {
    highest_tokens: BTreeMap<String, FencingToken>,
    rejected_count: u64,
}

impl Fence {
    /// Admits an effect and returns its payload. Where the fence must outlive its process,
    /// [`Fence::highest_seen`] is to be durable before the effect is carried out.
    ///
    /// # Errors
    ///
    /// If the fence has seen a higher token.
    pub fn admit<T>(&mut self, effect: Effect<T>) -> Result<T, StaleToken> {
        self.observe(&effect.lease, effect.token)?;
        Ok(effect.payload)
    }

    /// Records a token that has been granted, without an effect.
    ///
    /// # Errors
    ///
    /// If the fence has seen a higher token.
    pub fn observe(&mut self, lease: &str, token: FencingToken) -> Result<(), StaleToken> {
        match self.highest_tokens.get_mut(lease) {
            Some(highest) if *highest > token => {
                self.rejected_count += 1;
                Err(StaleToken {
                    lease: lease.to_owned(),
                    token,
                    highest_seen: *highest,
                })
            }
            Some(highest) => {
                *highest = token;
                Ok(())
            }
            None => {
                self.highest_tokens.insert(lease.to_owned(), token);
                Ok(())
            }
        }
    }

    /// Returns the highest token seen of a lease.
    pub fn highest_seen(&self, lease: &str) -> Option<FencingToken> {
        self.highest_tokens.get(lease).copied()
    }

    /// Returns how many effects and tokens the fence has rejected.
    pub fn rejected_count(&self) -> u64 {
        self.rejected_count
    }
}
