//! The identity of a submitted request, and what its client gets.

/// The identity of a request as its client submits it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The idempotency key, where the client gave one.
    pub idempotency_key: Option<&'a str>,
    /// The name of the request's class.
    pub class: &'a str,
    /// Digest of the request's content, by which another request under the same id or key is
    /// detected.
    pub digest: [u8; 32],
}

/// What the client of a submitted request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The request isn't in the log: it runs.
    New,
    /// It is in flight in this process under this id: the client waits for it.
    InFlight(String),
    /// It may have run in an earlier process under this id: the client waits for the worker's
    /// call-back.
    InDoubt(String),
    /// It was served; its result is stored under this id.
    Served(String),
    /// It failed, or it was served and its result isn't stored.
    Failed,
    /// The id or the idempotency key belongs to another request.
    Conflict,
}
