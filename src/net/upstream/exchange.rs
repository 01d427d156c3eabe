//! The HTTP exchanges on a connection to a worker, one at a time: the request that is sent, how
//! much of it has been written, and how it ends.
//!
//! When an exchange ends, this module decides whether the worker may have run the attempt, from the
//! number of bytes that were written to the connection.

use crate::net::messages::{AttemptEnd, AttemptId, Input, Load, Payload};
use crate::net::transport::connection::{Callbacks, Connection, State, Stream};
use crate::net::transport::http::{self, ParseStatus, Response};
use crate::net::transport::reactor::Reactor;
use std::net::SocketAddr;
use std::rc::Rc;

/// Smallest value that is written to `X-Deadline`, in seconds: the field has three decimals, and a
/// worker takes 0 for a request that has expired.
const MIN_DEADLINE_SECONDS: f64 = 0.001;

/// The kind of exchange that a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// No exchange: the connection is idle.
    Idle,
    /// An attempt.
    Attempt(AttemptId),
    /// A probe: a request for the worker's load report.
    Probe(AttemptId),
    /// An exchange whose response is discarded: a cancel, or an attempt that was abandoned or has
    /// ended.
    Discarded,
}

impl ExchangeKind {
    /// The attempt or probe whose end is reported, if any.
    pub fn attempt_id(self) -> Option<AttemptId> {
        match self {
            Self::Attempt(id) | Self::Probe(id) => Some(id),
            Self::Idle | Self::Discarded => None,
        }
    }
}

/// A request that is written once the connection is established.
pub enum OutgoingRequest {
    /// An encoded request.
    Encoded(Vec<u8>),
    /// An attempt. It is encoded only when it is written, since its head states the time that is
    /// left then.
    Attempt {
        /// The client's request.
        payload: Rc<Payload>,
        /// The time until which the client waits, in the reactor's time.
        deadline: f64,
    },
}

impl OutgoingRequest {
    fn is_expired(&self, now: f64) -> bool {
        matches!(self, Self::Attempt { deadline, .. } if *deadline <= now)
    }

    fn into_bytes(self, worker: SocketAddr, now: f64) -> Vec<u8> {
        match self {
            Self::Encoded(bytes) => bytes,
            Self::Attempt { payload, deadline } => {
                encode_attempt(&payload, worker, (deadline - now).max(MIN_DEADLINE_SECONDS))
            }
        }
    }
}

fn encode_attempt(payload: &Payload, worker: SocketAddr, seconds_left: f64) -> Vec<u8> {
    let deadline = format!("{seconds_left:.3}");
    let host = worker.to_string();
    let mut fields = vec![
        ("Host", host.as_str()),
        ("X-Request-Id", payload.id.as_str()),
        ("X-Deadline", &deadline),
    ];
    if let Some(key) = &payload.idempotency_key {
        fields.push(("Idempotency-Key", key));
    }
    let mut bytes = Vec::new();
    http::write_request(
        &mut bytes,
        &payload.method,
        &payload.target,
        &fields,
        &payload.body,
    );
    bytes
}

/// The exchanges on one connection, one after another.
pub struct Exchange {
    worker: SocketAddr,
    kind: ExchangeKind,
    /// The request, until it is written to the established connection.
    outgoing: Option<OutgoingRequest>,
    /// The count of bytes written to the connection at which the request is complete; `None` until
    /// the request is queued.
    request_end: Option<u64>,
    /// Whether [`Input::AttemptWritten`] has been queued.
    written_reported: bool,
    /// Whether the request had been written completely before the last read: only then can the
    /// response that was read belong to it.
    written_before_read: bool,
    /// The number of requests that the connection has carried.
    request_count: u64,
    /// Whether the connection ended while a request on it had no response yet.
    broke_unanswered: bool,
}

impl Exchange {
    /// Creates an idle exchange with a worker.
    pub fn new(worker: SocketAddr) -> Self {
        Self {
            worker,
            kind: ExchangeKind::Idle,
            outgoing: None,
            request_end: None,
            written_reported: false,
            written_before_read: false,
            request_count: 0,
            broke_unanswered: false,
        }
    }

    /// The worker at the other end.
    pub fn worker(&self) -> SocketAddr {
        self.worker
    }

    /// The exchange that the connection carries now.
    pub fn kind(&self) -> ExchangeKind {
        self.kind
    }

    /// Whether the connection ended while a request on it had no response yet.
    pub fn broke_unanswered(&self) -> bool {
        self.broke_unanswered
    }

    /// Whether the last byte of the request has been written: from then on the worker may run it.
    pub fn is_request_written<S: Stream>(&self, connection: &Connection<S>) -> bool {
        self.request_end
            .is_some_and(|end| connection.written() >= end)
    }

    /// Starts a request, which is written now or as soon as the connection is established.
    pub fn start<S: Stream>(
        &mut self,
        kind: ExchangeKind,
        outgoing: OutgoingRequest,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) {
        self.kind = kind;
        self.outgoing = Some(outgoing);
        self.request_end = None;
        self.written_reported = false;
        self.written_before_read = false;
        self.request_count += 1;
        let mut callbacks = self.callbacks(reactor);
        if connection.state() != State::Dialing {
            callbacks.write_request(connection);
            callbacks.read_early_bytes(connection);
        }
    }

    /// Serves a connection that is ready to be read or written.
    pub fn handle_ready<S: Stream>(
        &mut self,
        readable: bool,
        writable: bool,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) {
        self.written_before_read = self.is_request_written(connection);
        let mut callbacks = self.callbacks(reactor);
        connection.handle_ready(readable, writable, &mut callbacks);
        callbacks.report_written(connection);
        let written = callbacks.exchange.is_request_written(connection);
        if written && !callbacks.exchange.written_before_read {
            callbacks.read_early_bytes(connection);
        }
    }

    /// Abandons the request: its end is not reported, and the connection is closed.
    pub fn abandon<S: Stream>(&mut self, connection: &mut Connection<S>) {
        self.kind = ExchangeKind::Discarded;
        connection.abort();
    }

    /// Closes the connection, and ends the request on it, after a timeout.
    pub fn handle_timeout<S: Stream>(
        &mut self,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) {
        connection.abort();
        self.callbacks(reactor).ended(connection);
    }

    /// Closes the connection if the request has not been written completely, and reports an end
    /// that does not count against the worker. Returns whether it did; a request that has been
    /// written goes on.
    pub fn withdraw<S: Stream>(
        &mut self,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) -> bool {
        if self.is_request_written(connection) {
            return false;
        }
        connection.abort();
        self.callbacks(reactor)
            .finish(connection, AttemptEnd::LocalCapacityExhausted, Load::new());
        true
    }

    fn callbacks<'a>(&'a mut self, reactor: &'a mut Reactor) -> ExchangeCallbacks<'a> {
        ExchangeCallbacks {
            exchange: self,
            reactor,
        }
    }
}

/// Applies the connection's events to its exchange.
struct ExchangeCallbacks<'a> {
    exchange: &'a mut Exchange,
    reactor: &'a mut Reactor,
}

impl ExchangeCallbacks<'_> {
    fn write_request<S: Stream>(&mut self, connection: &mut Connection<S>) {
        let Some(outgoing) = self.exchange.outgoing.take() else {
            return;
        };
        if outgoing.is_expired(self.reactor.now) {
            connection.abort();
            return self.finish(connection, AttemptEnd::LocalCapacityExhausted, Load::new());
        }
        let bytes = outgoing.into_bytes(self.exchange.worker, self.reactor.now);
        self.exchange.request_end = Some(connection.queued() + bytes.len() as u64);
        connection.send(&bytes, self);
        self.report_written(connection);
    }

    /// Reads what had arrived by the time the last byte was written: the worker sent it before it
    /// can have read the whole request.
    fn read_early_bytes<S: Stream>(&mut self, connection: &mut Connection<S>) {
        connection.handle_ready(true, false, self);
    }

    /// Reports, once, that an attempt has been written completely.
    fn report_written<S: Stream>(&mut self, connection: &Connection<S>) {
        if self.exchange.written_reported || !self.exchange.is_request_written(connection) {
            return;
        }
        self.exchange.written_reported = true;
        if let ExchangeKind::Attempt(attempt) = self.exchange.kind {
            self.reactor
                .queue
                .push_back(Input::AttemptWritten { attempt });
        }
    }

    /// Ends the request. All ends are reported here, so that the report that the request was
    /// written always precedes them.
    fn finish<S: Stream>(&mut self, connection: &Connection<S>, end: AttemptEnd, load: Load) {
        self.report_written(connection);
        let finished = std::mem::replace(&mut self.exchange.kind, ExchangeKind::Discarded);
        if let Some(attempt) = finished.attempt_id() {
            self.reactor
                .queue
                .push_back(Input::ExchangeEnded { attempt, end, load });
        }
    }

    /// Ends the request with the worker's response; returns whether the connection may carry the
    /// next request.
    fn finish_with_response<S: Stream>(
        &mut self,
        connection: &Connection<S>,
        response: &Response,
    ) -> bool {
        let (end, load) = match self.exchange.kind {
            ExchangeKind::Idle | ExchangeKind::Discarded => return false,
            ExchangeKind::Probe(_) => probe_result(response),
            ExchangeKind::Attempt(_) => {
                let report = response.headers.get("x-load");
                let load = report.map(parse_load_report).unwrap_or_default();
                (self.attempt_end(connection, response), load)
            }
        };
        self.finish(connection, end, load);
        // After any other response the worker may send a second one, which would be taken for the
        // response to the next request.
        end == AttemptEnd::Accepted
    }

    fn attempt_end<S: Stream>(
        &self,
        connection: &Connection<S>,
        response: &Response,
    ) -> AttemptEnd {
        let written = self.exchange.is_request_written(connection);
        let not_run = response.headers.get("x-not-run") == Some("1");
        match response.status {
            202 if written => AttemptEnd::Accepted,
            // The connection is closed, so that the worker never has the complete request.
            202 => AttemptEnd::NeverSent,
            503 | 504 if not_run && (!written || self.is_own_response()) => {
                AttemptEnd::RejectedUnstarted
            }
            503 | 504 if not_run => AttemptEnd::RejectedAmbiguous,
            _ => AttemptEnd::Error,
        }
    }

    /// Whether the response certainly belongs to this request. A response that arrived before the
    /// worker can have read the request does not; on a connection that has carried other requests,
    /// it may be a late second response to one of them.
    fn is_own_response(&self) -> bool {
        self.exchange.written_before_read && self.exchange.request_count == 1
    }
}

impl<S: Stream> Callbacks<S> for ExchangeCallbacks<'_> {
    fn opened(&mut self, connection: &mut Connection<S>) {
        self.write_request(connection);
    }

    fn received(&mut self, connection: &mut Connection<S>) {
        self.report_written(connection);
        if self.exchange.kind == ExchangeKind::Idle {
            // Bytes on an idle connection belong to no request.
            return connection.abort();
        }
        let closed = connection.read_side_closed();
        match http::read_response(&connection.input, closed, http::MAX_BODY_BYTES) {
            Ok(ParseStatus::Complete {
                message: response,
                size,
            }) => {
                connection.consume(size);
                let written = self.exchange.is_request_written(connection);
                let reusable = self.finish_with_response(connection, &response);
                if reusable
                    && written
                    && response.keep_alive
                    && !closed
                    && connection.input.is_empty()
                {
                    self.exchange.kind = ExchangeKind::Idle;
                } else {
                    connection.abort();
                }
            }
            // The response is incomplete. With a full buffer it can't be completed, and the attempt
            // would wait for its timeout.
            Ok(_) if !closed && !connection.is_full() => {}
            Ok(_) | Err(_) => {
                connection.abort();
                self.ended(connection);
            }
        }
    }

    fn ended(&mut self, connection: &mut Connection<S>) {
        self.exchange.broke_unanswered |= self.exchange.kind.attempt_id().is_some();
        let end = if self.exchange.is_request_written(connection) {
            AttemptEnd::Reset
        } else {
            AttemptEnd::NeverSent
        };
        self.finish(connection, end, Load::new());
    }
}

/// Returns the end of a probe and the load report in its body; any status other than 200 is an
/// error of the worker.
fn probe_result(response: &Response) -> (AttemptEnd, Load) {
    let load = std::str::from_utf8(&response.body)
        .map(parse_load_report)
        .unwrap_or_default();
    let end = if response.status == 200 {
        AttemptEnd::Accepted
    } else {
        AttemptEnd::Error
    };
    (end, load)
}

/// Parses a load report of the form `TEXT name=value, name=value`; entries that can't be parsed are
/// left out.
fn parse_load_report(text: &str) -> Load {
    let text = text.trim();
    let entries = text.strip_prefix("TEXT").unwrap_or(text).split(',');
    let parse_entry = |entry: &str| {
        let (name, value) = entry.split_once('=')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    };
    entries.filter_map(parse_entry).collect()
}
