//! Calls to discovery: the connections that carry them, their answers, and their failures.

use super::list::DiscoveryList;
use super::{InitialSync, LOG_TARGET, WorkerList};
use crate::net::transport::connection::{Callbacks, Connection, State};
use crate::net::transport::http::{self, ParseStatus, Response};
use crate::net::transport::reactor::{self, Reactor, SocketOwner, Timer};
use crate::net::upstream::watch::{Call, CallId};
use std::io;
use std::net::TcpStream;

/// Largest accepted response to a call, in bytes: enough for a list of tens of thousands of
/// workers, while an endless response can't exhaust memory.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// A connection to discovery, and the call that is open on it, if any.
pub(super) struct Session {
    connection: Connection<TcpStream>,
    key: usize,
    call: Option<CallId>,
    /// Whether the connection has been established.
    established: bool,
}

/// The outcome of one call on its connection.
enum CallResult {
    /// Discovery answered with a list.
    Answered {
        list: DiscoveryList,
        /// Whether the connection can carry another call.
        reusable: bool,
    },
    /// The connection ended, or the response was not a list.
    Failed,
}

impl CallResult {
    fn from_response(response: &Response, read_side_open: bool) -> Self {
        if response.status != 200 {
            return Self::Failed;
        }
        match DiscoveryList::from_json(&response.body) {
            Ok(list) => Self::Answered {
                list,
                reusable: response.keep_alive && read_side_open,
            },
            Err(_) => Self::Failed,
        }
    }
}

/// What happened on one connection while its events were handled.
#[derive(Default)]
struct CallEvents {
    result: Option<CallResult>,
    established: bool,
}

impl Callbacks<TcpStream> for CallEvents {
    fn opened(&mut self, _: &mut Connection<TcpStream>) {
        self.established = true;
    }

    fn received(&mut self, connection: &mut Connection<TcpStream>) {
        let read_side_open = !connection.read_side_closed();
        match http::read_response(&connection.input, !read_side_open, MAX_RESPONSE_BYTES) {
            Ok(ParseStatus::Complete {
                message: response,
                size,
            }) => {
                connection.consume(size);
                self.result = Some(CallResult::from_response(&response, read_side_open));
            }
            Ok(_) if read_side_open && !connection.is_full() => {}
            Ok(_) | Err(_) => self.result = Some(CallResult::Failed),
        }
    }

    fn ended(&mut self, _: &mut Connection<TcpStream>) {
        self.result.get_or_insert(CallResult::Failed);
    }
}

impl WorkerList {
    /// Makes the calls that are due, and sets a timer for the next one.
    pub(super) fn make_due_calls(&mut self, reactor: &mut Reactor) {
        while let Some(call) = self
            .schedule
            .take_due_call(reactor.now, self.revision.is_some())
        {
            self.make_call(reactor, call);
        }
        let next = self.schedule.next_call_at();
        let earlier = next.filter(|at| self.timer_set_for.is_none_or(|set_for| *at < set_for));
        if let Some(at) = earlier {
            self.timer_set_for = Some(at);
            reactor.set_timer(at, Timer::Discovery);
        }
    }

    /// Sends one call on an idle connection, or on a new one.
    fn make_call(&mut self, reactor: &mut Reactor, call: Call) {
        let request = self.request_bytes(&call);
        if let Some(superseded) = call.supersedes {
            tracing::info!(target: LOG_TARGET, discovery = %self.discovery, "discovery call timed out");
            self.close_sessions(reactor, |session| session.call == Some(superseded));
        }
        let idle = self
            .sessions
            .iter()
            .position(|session| session.call.is_none());
        let index = match idle {
            Some(index) => index,
            None => {
                let Ok(session) = self.open_session(reactor) else {
                    return self.record_unreachable(reactor, call.id);
                };
                reactor.set_timer(
                    reactor.now + self.dial_timeout,
                    Timer::DiscoveryConnect { call: call.id },
                );
                self.sessions.push(session);
                self.sessions.len() - 1
            }
        };
        let session = &mut self.sessions[index];
        let mut events = CallEvents::default();
        session.call = Some(call.id);
        session.connection.send(&request, &mut events);
        let key = session.key;
        self.apply_call_events(reactor, key, events);
    }

    /// Encodes the request of a call: for the full list, or for the changes since the revision that
    /// this node holds.
    fn request_bytes(&self, call: &Call) -> Vec<u8> {
        let target = match self.revision {
            Some(revision) => {
                let timeout_ms = (call.wait_seconds.unwrap_or(0.0) * 1000.0).max(1.0) as u64;
                format!("/api/targets?since={revision}&timeout_ms={timeout_ms}")
            }
            None => "/api/targets".to_owned(),
        };
        let host = self.discovery.to_string();
        let mut bytes = Vec::new();
        http::write_request(&mut bytes, "GET", &target, &[("Host", &host)], b"");
        bytes
    }

    fn open_session(&self, reactor: &mut Reactor) -> io::Result<Session> {
        let stream = reactor::dial(self.discovery)?;
        let key = reactor.register(&stream, SocketOwner::Discovery)?;
        Ok(Session {
            connection: Connection::dialing(stream, MAX_RESPONSE_BYTES),
            key,
            call: None,
            established: false,
        })
    }

    /// Serves a connection that is ready to be read or written.
    pub fn handle_ready(
        &mut self,
        reactor: &mut Reactor,
        key: usize,
        readable: bool,
        writable: bool,
    ) {
        let Some(session) = self.sessions.iter_mut().find(|s| s.key == key) else {
            return;
        };
        let mut events = CallEvents::default();
        session
            .connection
            .handle_ready(readable, writable, &mut events);
        self.apply_call_events(reactor, key, events);
    }

    /// Ends a call whose connection has not been established within the dial timeout.
    pub fn handle_dial_timer(&mut self, reactor: &mut Reactor, call: CallId) {
        let dialing = |s: &Session| s.call == Some(call) && s.connection.state() == State::Dialing;
        if self.sessions.iter().any(dialing) {
            self.close_sessions(reactor, dialing);
            self.record_unreachable(reactor, call);
        }
    }

    /// Applies what happened on one connection, then makes the calls that are due.
    fn apply_call_events(&mut self, reactor: &mut Reactor, key: usize, events: CallEvents) {
        let Some(session) = self.sessions.iter_mut().find(|s| s.key == key) else {
            return;
        };
        session.established |= events.established;
        let established = session.established;
        let call = session.call;
        match (events.result, call) {
            (Some(CallResult::Answered { list, reusable }), Some(call)) => {
                self.initial_sync = InitialSync::Done;
                // The other connections are closed, so that no older answer can arrive on them
                // after this one.
                self.close_sessions(reactor, |s| s.key != key || !reusable);
                self.sessions.iter_mut().for_each(|s| s.call = None);
                let content = self.apply_discovery_list(reactor, list);
                self.schedule.record_answer(reactor.now, call, content);
            }
            (Some(_), call) => {
                self.close_sessions(reactor, |s| s.key == key);
                match call {
                    Some(call) if established => self.record_failure(reactor, call),
                    Some(call) => self.record_unreachable(reactor, call),
                    None => {}
                }
            }
            (None, _) => {}
        }
        self.make_due_calls(reactor);
        if let Some(session) = self.sessions.iter().find(|s| s.key == key) {
            reactor.rearm(
                session.connection.stream(),
                key,
                session.connection.interest(),
            );
        }
    }

    /// Records that no connection could be established. Whether discovery has a newer list is
    /// unknown, so the node goes on with the list that it has.
    fn record_unreachable(&mut self, reactor: &mut Reactor, call: CallId) {
        self.initial_sync = InitialSync::Done;
        self.record_failure(reactor, call);
    }

    fn record_failure(&mut self, reactor: &mut Reactor, call: CallId) {
        tracing::warn!(target: LOG_TARGET, discovery = %self.discovery, "discovery call failed");
        self.schedule.record_failure(reactor.now, call);
        self.make_due_calls(reactor);
    }

    pub(super) fn close_all_sessions(&mut self, reactor: &mut Reactor) {
        self.close_sessions(reactor, |_| true);
    }

    fn close_sessions(&mut self, reactor: &mut Reactor, which: impl Fn(&Session) -> bool) {
        for session in self.sessions.extract_if(.., |session| which(session)) {
            reactor.deregister(session.connection.stream());
        }
    }
}
