//! One connection to a worker as its requests see it: which request it carries, how much of that has been written, and how it ends.
//!
//! Whether a worker may have run an attempt is read here, at each end, from the connection's own count of bytes.

use crate::net::messages::{AttemptEnd, AttemptId, Input, Load, Payload};
use crate::net::transport::connection::{Callbacks, Connection, State, Stream};
use crate::net::transport::http::{self, ParseStatus, Response};
use crate::net::transport::reactor::Reactor;
use std::net::SocketAddr;
use std::rc::Rc;

/// The least time that a worker is told, in seconds.
const LEAST_DEADLINE: f64 = 0.001;

/// What a connection carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carries {
    /// Nothing: it is idle.
    Nothing,
    /// An attempt.
    Attempt(AttemptId),
    /// A question for the worker's load.
    Probe(AttemptId),
    /// A cancel, or an attempt that was given up: whatever is answered is dropped.
    Unheeded,
}

impl Carries {
    /// The number under which the hub is told of its end.
    pub fn id(self) -> Option<AttemptId> {
        match self {
            Self::Attempt(id) | Self::Probe(id) => Some(id),
            Self::Nothing | Self::Unheeded => None,
        }
    }
}

/// A request that is to be written once the connection is made.
pub enum Outgoing {
    /// These bytes.
    Bytes(Vec<u8>),
    /// An attempt. Its head tells how long its client still waits, until this time: what is left when it is written.
    Attempt(Rc<Payload>, f64),
}

impl Outgoing {
    fn is_late(&self, now: f64) -> bool {
        matches!(self, Self::Attempt(_, until) if *until <= now)
    }

    fn into_bytes(self, worker: SocketAddr, now: f64) -> Vec<u8> {
        let (payload, until) = match self {
            Self::Bytes(bytes) => return bytes,
            Self::Attempt(payload, until) => (payload, until),
        };
        let deadline = format!("{:.3}", (until - now).max(LEAST_DEADLINE));
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
}

/// The requests on one connection, one at a time.
pub struct Exchange {
    worker: SocketAddr,
    carries: Carries,
    /// What is to be written when the connection has been made.
    outgoing: Option<Outgoing>,
    /// Where the request ends among all bytes written to the connection; `None` until it is queued.
    last_byte: Option<u64>,
    /// The hub has been told that it is written whole.
    told_written: bool,
    /// It was written whole before the latest look at what has arrived, so that an answer may be its own.
    answerable: bool,
    /// How many requests the connection has carried.
    count: u64,
    /// The connection ended under a request that had no answer yet.
    broke: bool,
}

impl Exchange {
    /// Nothing is carried yet.
    pub fn new(worker: SocketAddr) -> Self {
        Self {
            worker,
            carries: Carries::Nothing,
            outgoing: None,
            last_byte: None,
            told_written: false,
            answerable: false,
            count: 0,
            broke: false,
        }
    }

    /// The worker at the other end.
    pub fn worker(&self) -> SocketAddr {
        self.worker
    }

    /// What is carried.
    pub fn carries(&self) -> Carries {
        self.carries
    }

    /// Whether the connection ended under a request that had no answer yet.
    pub fn broke(&self) -> bool {
        self.broke
    }

    /// Whether the last byte of the request has been written: from then on the worker may run it.
    pub fn is_whole<S: Stream>(&self, connection: &Connection<S>) -> bool {
        self.last_byte.is_some_and(|at| connection.written() >= at)
    }

    /// Begins with a request, which is written now or as soon as the connection is made.
    pub fn begin<S: Stream>(
        &mut self,
        carries: Carries,
        outgoing: Outgoing,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) {
        self.carries = carries;
        self.outgoing = Some(outgoing);
        (self.last_byte, self.told_written, self.answerable) = (None, false, false);
        self.count += 1;
        let mut caller = Caller {
            exchange: self,
            reactor,
        };
        if connection.state() != State::Dialing {
            caller.write_request(connection);
            caller.read_early(connection);
        }
    }

    /// The connection can be read or written.
    pub fn ready<S: Stream>(
        &mut self,
        readable: bool,
        writable: bool,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) {
        self.answerable = self.is_whole(connection);
        let mut caller = Caller {
            exchange: self,
            reactor,
        };
        connection.handle_ready(readable, writable, &mut caller);
        caller.tell_written(connection);
        if caller.exchange.is_whole(connection) && !caller.exchange.answerable {
            caller.read_early(connection);
        }
    }

    /// Gives the request up: nobody is told, and the connection ends.
    pub fn give_up<S: Stream>(&mut self, connection: &mut Connection<S>) {
        self.carries = Carries::Unheeded;
        connection.abort();
    }

    /// Ends the connection, and with it the request, which has had its time.
    pub fn time_out<S: Stream>(&mut self, connection: &mut Connection<S>, reactor: &mut Reactor) {
        connection.abort();
        Caller {
            exchange: self,
            reactor,
        }
        .ended(connection);
    }

    /// Ends the connection of an attempt that has not been written whole; whether it has not. Its worker is not to blame.
    pub fn withdraw<S: Stream>(
        &mut self,
        connection: &mut Connection<S>,
        reactor: &mut Reactor,
    ) -> bool {
        if self.is_whole(connection) {
            return false;
        }
        connection.abort();
        Caller {
            exchange: self,
            reactor,
        }
        .end(connection, AttemptEnd::NoRoom, Load::new());
        true
    }
}

/// Calls back from the connection.
struct Caller<'a> {
    exchange: &'a mut Exchange,
    reactor: &'a mut Reactor,
}

impl Caller<'_> {
    fn write_request<S: Stream>(&mut self, connection: &mut Connection<S>) {
        let Some(outgoing) = self.exchange.outgoing.take() else {
            return;
        };
        if outgoing.is_late(self.reactor.now) {
            connection.abort();
            return self.end(connection, AttemptEnd::NoRoom, Load::new());
        }
        let bytes = outgoing.into_bytes(self.exchange.worker, self.reactor.now);
        self.exchange.last_byte = Some(connection.queued() + bytes.len() as u64);
        connection.send(&bytes, self);
        self.tell_written(connection);
    }

    /// Reads what has arrived by the time at which the last byte was written: it was sent before the worker can have read the request.
    fn read_early<S: Stream>(&mut self, connection: &mut Connection<S>) {
        connection.handle_ready(true, false, self);
    }

    /// Tells the hub, once, that an attempt is written whole.
    fn tell_written<S: Stream>(&mut self, connection: &Connection<S>) {
        if self.exchange.told_written || !self.exchange.is_whole(connection) {
            return;
        }
        self.exchange.told_written = true;
        if let Carries::Attempt(id) = self.exchange.carries {
            self.reactor
                .queue
                .push_back(Input::AttemptWritten { attempt: id });
        }
    }

    /// Every end of a request goes through here: what was written is told before it.
    fn end<S: Stream>(&mut self, connection: &Connection<S>, end: AttemptEnd, load: Load) {
        self.tell_written(connection);
        let carried = std::mem::replace(&mut self.exchange.carries, Carries::Unheeded);
        if let Some(id) = carried.id() {
            self.reactor.queue.push_back(Input::ExchangeEnded {
                attempt: id,
                end,
                load,
            });
        }
    }

    /// Takes a worker's answer; whether the connection may carry the next request at once.
    fn answered<S: Stream>(&mut self, connection: &Connection<S>, response: &Response) -> bool {
        let (end, load) = match self.exchange.carries {
            Carries::Nothing | Carries::Unheeded => return false,
            Carries::Probe(_) => {
                // Its answer brings the report as its body; a 503 says that the worker is not well.
                let load = std::str::from_utf8(&response.body)
                    .map(load_report)
                    .unwrap_or_default();
                (
                    if response.status == 200 {
                        AttemptEnd::Accepted
                    } else {
                        AttemptEnd::Error
                    },
                    load,
                )
            }
            Carries::Attempt(_) => {
                let load = response
                    .headers
                    .get("x-load")
                    .map(load_report)
                    .unwrap_or_default();
                (self.end_of_attempt(connection, response), load)
            }
        };
        self.end(connection, end, load);
        // Danger: whoever answers anything else may answer twice, and the second one would be taken for the next request's.
        end == AttemptEnd::Accepted
    }

    fn end_of_attempt<S: Stream>(
        &self,
        connection: &Connection<S>,
        response: &Response,
    ) -> AttemptEnd {
        let whole = self.exchange.is_whole(connection);
        let not_run = response.headers.get("x-not-run") == Some("1");
        match response.status {
            202 if whole => AttemptEnd::Accepted,
            202 => AttemptEnd::NeverSent, // the connection ends, and the worker never has it whole
            503 | 504 if not_run && (!whole || self.is_own_answer()) => AttemptEnd::NotRun,
            503 | 504 if not_run => AttemptEnd::TurnedAway,
            _ => AttemptEnd::Error,
        }
    }

    /// Whether the answer is certainly this request's. One that arrived before the worker can have read the request is not; and on a
    /// connection that has carried others it may be a second answer to one of them, however late.
    fn is_own_answer(&self) -> bool {
        self.exchange.answerable && self.exchange.count == 1
    }
}

impl<S: Stream> Callbacks<S> for Caller<'_> {
    fn opened(&mut self, connection: &mut Connection<S>) {
        self.write_request(connection);
    }

    fn received(&mut self, connection: &mut Connection<S>) {
        self.tell_written(connection);
        if self.exchange.carries == Carries::Nothing {
            // Bytes on an idle connection belong to nothing.
            return connection.abort();
        }
        let heard_all = connection.read_side_closed();
        match http::read_response(&connection.input, heard_all, http::MAX_BODY_BYTES) {
            Ok(ParseStatus::Complete {
                message: response,
                size,
            }) => {
                connection.consume(size);
                let whole = self.exchange.is_whole(connection);
                let again = self.answered(connection, &response);
                if again
                    && whole
                    && response.keep_alive
                    && !heard_all
                    && connection.input.is_empty()
                {
                    self.exchange.carries = Carries::Nothing;
                } else {
                    connection.abort();
                }
            }
            // Danger: of one that is full no end would be seen, and its attempt be held to its last moment.
            Ok(_) if !heard_all && !connection.is_full() => {}
            Ok(_) | Err(_) => {
                connection.abort();
                self.ended(connection);
            }
        }
    }

    fn ended(&mut self, connection: &mut Connection<S>) {
        self.exchange.broke |= self.exchange.carries.id().is_some();
        let whole = self.exchange.is_whole(connection);
        self.end(
            connection,
            if whole {
                AttemptEnd::Reset
            } else {
                AttemptEnd::NeverSent
            },
            Load::new(),
        );
    }
}

/// Reads a load report: `TEXT name=value, name=value`.
fn load_report(text: &str) -> Load {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text).split(',');
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=')?;
        Some((name.trim().to_owned(), value.trim().parse().ok()?))
    };
    pairs.filter_map(pair).collect()
}
