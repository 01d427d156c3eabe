//! Leases with fencing tokens, for work that only one node of a cluster does at a time. A lease has
//! at most one owner, and only its owner does the work.
//!
//! [`LeaseTable`] is the replicated state: every voter applies the same [`Command`]s of the
//! replicated log to it in the same order. It has no clock. [`LeaseGranter`] measures time for the
//! leader of the log and finds the leases that have expired. [`LeaseHolder`] measures time for a
//! node that owns leases and decides whether the node may still act. Clocks of two machines are
//! never compared. A [`Fence`] checks every effect and rejects a token below the highest one that
//! it has seen; safety depends on the fence alone, never on time.
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
