//! The clients' side of a node on loopback, without a request manager and with a clock that the
//! test controls.
#![allow(dead_code)]

use postproxy::decision::interface::Settings;
use postproxy::net::downstream::clients::Clients;
use postproxy::net::messages::Input;
use postproxy::net::transport::reactor::{Reactor, SocketOwner, Timer, owner};
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// How long a test waits for input: far longer than anything in these tests takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// The time on the clock at the start, in seconds.
pub const START_TIME: f64 = 1000.0;

/// The settings of a node with one class, `render`.
pub fn render_settings() -> Settings {
    Settings::from_json(r#"{"services": [{"name": "render"}]}"#).expect("settings")
}

/// The client's side of a connection, and the key of the node's side.
pub struct TestClient {
    pub stream: TcpStream,
    pub key: usize,
}

impl TestClient {
    /// Reads up to the end of the connection.
    pub fn read_to_end(&mut self) -> String {
        let mut text = String::new();
        self.stream
            .read_to_string(&mut text)
            .expect("the end of the connection");
        text
    }
}

/// The clients' listener with its connections, and the reactor that drives them.
pub struct ClientsHarness {
    pub reactor: Reactor,
    pub clients: Clients,
    /// Whether [`ClientsHarness::poll`] has set its timer.
    poll_timer_set: bool,
}

impl ClientsHarness {
    pub fn new(max_connections: usize) -> Self {
        let mut reactor = Reactor::new(START_TIME).expect("a reactor");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a setting");
        let clients = Clients::new(&mut reactor, listener, render_settings(), max_connections)
            .expect("the listener is registered");
        Self {
            reactor,
            clients,
            poll_timer_set: false,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.clients.address().expect("an address")
    }

    pub fn accept(&mut self) {
        self.clients.accept(&mut self.reactor);
    }

    /// Connects a client and accepts its connection, which on loopback is pending at once.
    pub fn connect(&mut self) -> TestClient {
        let stream = TcpStream::connect(self.address()).expect("a connection");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a time limit");
        self.accept();
        let key = self.clients.connection_keys().max().unwrap_or_default();
        TestClient { stream, key }
    }

    /// Lets the node read what has arrived from a client.
    pub fn read_from(&mut self, client: &TestClient) {
        self.clients
            .handle_ready(&mut self.reactor, client.key, true, false);
    }

    /// Sends a text and lets the node read it. If it is a callback, acknowledges it in place of the
    /// request manager.
    pub fn send(&mut self, client: &mut TestClient, text: &str) {
        client
            .stream
            .write_all(text.as_bytes())
            .expect("bytes are written");
        self.read_from(client);
        if let Some(Input::CallbackReceived { client, .. }) = self.reactor.queue.pop_front() {
            self.clients.acknowledge_callback(&mut self.reactor, client);
        }
    }

    /// Sets the clock and handles the timers that have expired.
    pub fn advance_to(&mut self, now: f64) {
        self.reactor.now = now;
        for timer in self.reactor.expired_timers() {
            match timer {
                Timer::Client { key, round } => {
                    self.clients.handle_timer(&mut self.reactor, key, round)
                }
                Timer::ClientAccept => self.clients.resume_accepting(&mut self.reactor),
                _ => {}
            }
        }
    }

    /// Polls once and handles the clients' events. A timer in the past makes the poller return at
    /// once.
    pub fn poll(&mut self) {
        if !self.poll_timer_set {
            self.poll_timer_set = true;
            self.reactor.set_timer(START_TIME, Timer::ClientAccept);
        }
        let mut events = Vec::new();
        self.reactor.wait(&mut events, f64::MAX).expect("a poller");
        for event in events {
            if owner(event.key) == SocketOwner::Client {
                self.clients.handle_ready(
                    &mut self.reactor,
                    event.key,
                    event.readable,
                    event.writable,
                );
            }
        }
    }

    /// Whether the node still has the client's connection, open or closing.
    pub fn has_connection(&self, client: &TestClient) -> bool {
        self.clients.connection_keys().any(|key| key == client.key)
    }

    /// Whether the client's connection is open on the node's side.
    pub fn is_open(&self, client: &TestClient) -> bool {
        self.clients.is_open(client.key)
    }
}
