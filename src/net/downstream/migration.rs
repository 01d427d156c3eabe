//! Hands connections over to sibling processes of this node, and adopts theirs, during a hot
//! restart.

use super::clients::Clients;
use super::session::{IDLE_TIMEOUT_SECONDS, Phase, Session, SessionState};
use crate::net::messages::ClientId;
use crate::net::transport::reactor::Reactor;
use std::net::TcpStream;

/// A connection between two requests, in transit from one process to another.
#[derive(Debug)]
pub struct ReleasedIdleConnection {
    /// The socket; unread input stays in its receive buffer.
    pub stream: TcpStream,
    /// Input that was read but not consumed.
    pub input: Vec<u8>,
    /// Whether a request for the workers or a callback has arrived on the connection.
    pub used_before: bool,
}

/// A connection whose client waits for its final answer, in transit from one process to another.
#[derive(Debug)]
pub struct ReleasedWaitingConnection {
    /// The socket; unread input stays in its receive buffer.
    pub stream: TcpStream,
    /// Input that was read after the request.
    pub input: Vec<u8>,
    /// Whether the connection is closed after the answer.
    pub close_after_response: bool,
}

/// The parts of a connection that was removed but not closed.
struct ReleasedParts {
    stream: TcpStream,
    input: Vec<u8>,
    state: SessionState,
}

impl Clients {
    /// Releases a connection on which no response is due and no request is in progress, if there is
    /// one.
    pub fn release_idle_connection(&mut self, reactor: &Reactor) -> Option<ReleasedIdleConnection> {
        let (&key, _) = self
            .sessions
            .iter()
            .find(|(_, session)| session.is_between_requests())?;
        let parts = self.release_connection(reactor, key)?;
        Some(ReleasedIdleConnection {
            stream: parts.stream,
            input: parts.input,
            used_before: parts.state.used_before,
        })
    }

    /// Releases the connection of a client that waits for its final answer; returns `None` if the
    /// client does not, or if its connection can't migrate.
    pub fn release_waiting_connection(
        &mut self,
        reactor: &Reactor,
        client: ClientId,
    ) -> Option<ReleasedWaitingConnection> {
        if !self.can_migrate(client) {
            return None;
        }
        let parts = self.release_connection(reactor, client as usize)?;
        Some(ReleasedWaitingConnection {
            stream: parts.stream,
            input: parts.input,
            close_after_response: parts.state.close_after_response,
        })
    }

    /// Adopts a connection between two requests and handles the input that came with it.
    pub fn adopt_idle_connection(
        &mut self,
        reactor: &mut Reactor,
        released: ReleasedIdleConnection,
    ) {
        let Some(key) = self.add_connection(reactor, released.stream, released.input) else {
            return;
        };
        self.with_session(reactor, key, |connection, handler| {
            handler.state.used_before = released.used_before;
            handler.start_timeout(IDLE_TIMEOUT_SECONDS);
            handler.read_requests(connection);
            connection.handle_ready(true, false, handler);
        });
    }

    /// Adopts the connection of a client that waits for its final answer; returns the client's id
    /// in this process.
    pub fn adopt_waiting_connection(
        &mut self,
        reactor: &mut Reactor,
        released: ReleasedWaitingConnection,
    ) -> Option<ClientId> {
        let key = self.add_connection(reactor, released.stream, released.input)?;
        self.with_session(reactor, key, |_, handler| {
            handler.state.phase = Phase::AwaitingAnswer;
            handler.state.used_before = true;
            handler.state.close_after_response = released.close_after_response;
        });
        // The client may have disconnected in the meantime. That must be noticed before another
        // attempt starts.
        self.handle_ready(reactor, key, true, false);
        Some(key as ClientId)
    }

    /// Removes a connection without closing it.
    fn release_connection(&mut self, reactor: &Reactor, key: usize) -> Option<ReleasedParts> {
        let Session { connection, state } = self.sessions.remove(&key)?;
        reactor.deregister(connection.stream());
        let (stream, input) = connection.into_parts();
        Some(ReleasedParts {
            stream,
            input,
            state,
        })
    }
}
