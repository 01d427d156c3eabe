//! The identity of a submitted request, and what its client gets.

/// The identity of a request as its client submits it.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The idempotency key, if the client sent one.
    pub idempotency_key: Option<&'a str>,
    /// The name of the request's class.
    pub class: &'a str,
    /// Digest of the request's content, by which a different request with the same id or key is
    /// detected.
    pub digest: [u8; 32],
}

/// What the client of a submitted request gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The request isn't in the log, so it is run.
    New,
    /// The request is in flight in this process under this id; the client waits for its answer.
    InFlight(String),
    /// An earlier process sent the request under this id, and it may have run; the client waits for
    /// the worker's callback.
    InDoubt(String),
    /// The request was served, and its result is stored under this id.
    Served(String),
    /// The request failed, or it was served and its result isn't stored.
    Failed,
    /// The id or the idempotency key belongs to a different request.
    Conflict,
}
