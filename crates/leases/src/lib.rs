//! Work that one node does for all: a duty. Who owns it, under which token, and until when.
//!
//! [`LeaseTable`] is what all voters hold the same, a fold over the agreed log: it knows no time. [`LeaseGranter`] is the time of
//! whoever leads the log, and says when a lease is over; [`LeaseHolder`] is the time of a node that owns duties, and says
//! whether it may still act. No clock is compared with another's. [`Fence`] stands before every effect and refuses a token
//! below the highest that it has seen: safety rests on that alone, never on time.
//!
//! An [`Effect`] can only be made with a [`LeasePermit`], and a permit only comes from a holder whose lease still runs. The
//! design note is `docs/design/duties.md`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod fence;
mod granter;
mod holder;
mod state;

pub use fence::{Effect, Fence, StaleToken};
pub use granter::LeaseGranter;
pub use holder::{LeaseHolder, LeasePermit};
pub use state::{
    Command, FencingToken, Lease, LeaseTable, MAX_LEASES, MAX_NAME_BYTES, MAX_VALUE_BYTES,
    Operation, Rejection, Response,
};

/// What leases go by, in milliseconds; the same at all nodes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LeaseTiming {
    /// How long a lease runs from its grant or renewal.
    pub lease: u64,
    /// By how much one machine's clock may run faster or slower than true time, in thousandths.
    pub drift: u64,
    /// A turn of the loop that comes so much after the one before has been a pause: nothing that was thought before it counts.
    pub late: u64,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: 3000,
            drift: 20,
            late: 500,
        }
    }
}

impl LeaseTiming {
    /// How long an owner takes its lease for, by its own clock.
    pub fn owner(&self) -> u64 {
        self.lease * (1000 - self.drift.min(999)) / 1000
    }

    /// How long who grants waits, by its own clock: a slower one of an owner has run as far by then.
    pub fn granter(&self) -> u64 {
        (self.lease * (1000 + self.drift)).div_ceil(1000)
    }
}
