//! Leases with fencing tokens: a piece of work that exactly one node of a cluster does has a lease,
//! and the lease has at most one owner at a time.
//!
//! [`LeaseTable`] is the replicated state: every voter applies the same [`Command`]s of the
//! replicated log to it in the same order. It has no clock. [`LeaseGranter`] measures time for the
//! leader of the log and finds the leases that have expired. [`LeaseHolder`] measures time for a
//! node that owns leases and decides whether the node may still act. Clocks of two machines are
//! never compared. [`Fence`] stands in front of every effect and rejects a token below the highest
//! one that it has seen; safety rests on the fence alone, never on time.
//!
//! An [`Effect`] can only be made with a [`LeasePermit`], and a permit comes only from a holder
//! whose lease has not expired. The design note is `docs/design/duties.md`.

mod fence;
mod granter;
mod holder;
mod lease_table;
mod operation;
mod timing;

pub use fence::{Effect, Fence, StaleToken};
pub use granter::LeaseGranter;
pub use holder::{LeaseHolder, LeasePermit};
pub use lease_table::{Lease, LeaseTable, MAX_LEASES};
pub use operation::{
    Command, ExpiredLease, FencingToken, LeaseClaim, LeaseOwner, MAX_NAME_BYTES, MAX_VALUE_BYTES,
    Operation, Rejection, RenewedLease, Response,
};
pub use timing::LeaseTiming;
