//! A whole node on loopback: the test acts as client, worker and discovery service in turn, on
//! blocking sockets.
#![allow(dead_code)]

use postproxy::net::transport::http::{self, ParseStatus, Request, Response};
use postproxy::net::{Config, Node};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest time that a test waits for an event; it usually takes much less.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// A request of the readiness check.
pub const READINESS_CHECK: &str = "GET /-/ready HTTP/1.1\r\n\r\n";
/// A worker's response that accepts a request.
pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
/// A response without a body.
pub const EMPTY_OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// The test's side of a connection, with the bytes that have been read and not consumed.
pub struct TestSocket {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl TestSocket {
    pub fn new(stream: TcpStream) -> Self {
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time limit");
        Self {
            stream,
            input: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).expect("a connection"))
    }

    pub fn accept(listener: &TcpListener) -> Self {
        Self::new(listener.accept().expect("a connection").0)
    }

    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("it is written");
    }

    /// Reads more bytes; returns whether there is any input, which is not so if the connection has
    /// ended.
    pub fn read_more(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(size) => self.input.extend(&bytes[..size]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return false,
            Err(error) => panic!("nothing arrived: {error}"),
        }
        !self.input.is_empty()
    }

    pub fn read_request(&mut self) -> Request {
        loop {
            let status = http::read_request(&self.input).expect("a request");
            if let ParseStatus::Complete { message, size } = status {
                self.input.drain(..size);
                return message;
            }
            assert!(self.read_more(), "the connection ended");
        }
    }

    pub fn read_response(&mut self) -> Response {
        loop {
            let status =
                http::read_response(&self.input, false, http::MAX_BODY_BYTES).expect("a response");
            if let ParseStatus::Complete { message, size } = status {
                self.input.drain(..size);
                return message;
            }
            assert!(self.read_more(), "the connection ended");
        }
    }

    /// Reads a response; returns `None` if the connection ends or fails before it is complete.
    pub fn try_read_response(&mut self) -> Option<Response> {
        loop {
            let status = http::read_response(&self.input, false, http::MAX_BODY_BYTES).ok()?;
            if let ParseStatus::Complete { message, size } = status {
                self.input.drain(..size);
                return Some(message);
            }
            let mut bytes = [0; 4096];
            let size = self.stream.read(&mut bytes).ok()?;
            if size == 0 {
                return None;
            }
            self.input.extend(&bytes[..size]);
        }
    }

    /// Sends a request and returns the status code of the response.
    pub fn request_status(&mut self, text: &str) -> u16 {
        self.write(text);
        self.read_response().status
    }

    /// Sends a request with this id and a deadline of 5 s that is to be forwarded to a worker.
    pub fn submit_request(&mut self, id: &str) {
        self.write(&format!(
            "POST /render/a?b=c HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Deadline: 5.0\r\n\
             Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ));
    }

    /// Waits for the next bytes or the end of the connection; returns whether it has ended.
    pub fn is_closed(&mut self) -> bool {
        self.input.clear();
        !self.read_more()
    }
}

/// A running node, and the listeners of its workers and of its discovery.
pub struct NodeHarness {
    /// The address on which the node listens for clients.
    pub node: SocketAddr,
    pub workers: Vec<TcpListener>,
    pub discovery: TcpListener,
    /// A byte on this stream signals the node to stop.
    pub stop: UnixStream,
    /// A byte on this stream signals the node to reload its configuration.
    pub reload: UnixStream,
    /// The address of discovery in the configuration that the next reload reads; `None` for no
    /// configuration.
    pub reloaded_discovery: Arc<Mutex<Option<SocketAddr>>>,
    pub thread: JoinHandle<()>,
}

/// Returns a listener on loopback. Its time limit holds for accepting too, so that a missing
/// connection fails the test.
pub fn bind_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener)
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time limit");
    listener
}

/// Returns an entry of discovery's worker list.
pub fn worker_entry_json(id: usize, at: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{id}","host_port":"{at}","locality":"riga","flavor":"m2","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// Returns the configuration of a node with this discovery and these entries of workers.
fn config_json(sockets: usize, discovery: SocketAddr, workers: &[String]) -> serde_json::Value {
    let workers = workers.join(",");
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f","limits":{{"sockets":{sockets}}},
        "known":{{"revision":41,"complete":true,"members":[{workers}]}},
        "settings":{{"balancers":1,"tick":0.002,"discovery":"on_request","dcs":["riga"],"machine-types":["m2"],
            "services":[{{"name":"render","effect":"pure","aim":1.0,"late-value":1.0,"deadline":20.0}}],
            "limits":{{"cancel":true,"max-attempts":3,"conn-idle":60.0,"dial-timeout":0.25}},
            "rules":{{"must-ask-in":0.2}},"report":{{"fields":["backlog"],"via":"answers"}}}}}}"#
    );
    serde_json::from_str(&text).expect("JSON")
}

fn local_address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

impl NodeHarness {
    /// Starts a node with this number of workers and this limit of sockets.
    pub fn new(workers: usize, sockets: usize) -> Self {
        Self::with_unreachable_workers(workers, sockets, &[], 60.0)
    }

    /// Starts a node whose list also has workers at addresses on which the test doesn't listen, and
    /// that closes idle connections to workers after this number of seconds.
    pub fn with_unreachable_workers(
        workers: usize,
        sockets: usize,
        unreachable: &[SocketAddr],
        idle_seconds: f64,
    ) -> Self {
        Self::with_settings(workers, sockets, unreachable, |settings| {
            settings["limits"]["conn-idle"] = idle_seconds.into()
        })
    }

    /// Starts a node with changed settings.
    pub fn with_settings(
        workers: usize,
        sockets: usize,
        unreachable: &[SocketAddr],
        change_settings: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let workers: Vec<TcpListener> = (0..workers).map(|_| bind_listener()).collect();
        let entries: Vec<String> = workers
            .iter()
            .map(local_address)
            .chain(unreachable.iter().copied())
            .enumerate()
            .map(|(id, address)| worker_entry_json(id, address, "in_service"))
            .collect();
        let discovery = bind_listener();
        let mut config = config_json(sockets, local_address(&discovery), &entries);
        change_settings(&mut config["settings"]);
        let (stop, stop_signal) = UnixStream::pair().expect("a pair");
        let (reload, reload_signal) = UnixStream::pair().expect("a pair");
        let reloaded_discovery = Arc::new(Mutex::new(None));
        let source = reloaded_discovery.clone();
        let (address_sender, address_receiver) = std::sync::mpsc::channel();
        let text = config.to_string();
        let thread = std::thread::spawn(move || {
            let read = |text: &str| Config::from_json(text, |_| None).expect("a configuration");
            let mut node = Node::new(read(&text), stop_signal).expect("a node");
            let reloaded = move || {
                let discovery = (*source.lock().expect("a lock"))?;
                Some(Config {
                    discovery,
                    ..read(&text)
                })
            };
            node.reload_on(reload_signal, reloaded)
                .expect("a signal to reload");
            address_sender.send(node.address()).expect("the test waits");
            node.run().expect("it runs");
        });
        let node = address_receiver
            .recv_timeout(TEST_TIMEOUT)
            .expect("the node starts");
        Self {
            node,
            workers,
            discovery,
            stop,
            reload,
            reloaded_discovery,
            thread,
        }
    }

    /// Connects as a client.
    pub fn connect(&self) -> TestSocket {
        TestSocket::connect(self.node)
    }

    /// Accepts the node's next connection to a worker.
    pub fn accept_worker(&self, worker: usize) -> TestSocket {
        TestSocket::accept(&self.workers[worker])
    }

    /// Returns the address of a worker.
    pub fn worker_address(&self, worker: usize) -> SocketAddr {
        local_address(&self.workers[worker])
    }

    /// Returns whether there is a connection to a worker that the test has not accepted yet. Sets
    /// the worker's listener to non-blocking mode.
    pub fn has_pending_connection(&self, worker: usize) -> bool {
        let listener = &self.workers[worker];
        listener.set_nonblocking(true).expect("a setting");
        listener.accept().is_ok()
    }

    /// Posts a worker's callback with these further members of its JSON; returns the status code of
    /// the response.
    pub fn post_callback(&self, id: &str, from: usize, state: &str) -> u16 {
        let body = format!(r#"{{"id":"{id}","from":"s-{from}",{state}}}"#);
        let size = body.len();
        self.connect().request_status(&format!(
            "POST /v1/job-events HTTP/1.1\r\nContent-Length: {size}\r\n\r\n{body}"
        ))
    }

    /// Posts the callback of a worker that has done its job, with the result `r`; returns the
    /// status code of the response.
    pub fn report_done(&self, id: &str, from: usize) -> u16 {
        self.post_callback(id, from, r#""state":"done","result":"r""#)
    }

    /// Waits until the node has handled all input that had arrived before: two whole turns of its
    /// event loop.
    pub fn wait_for_two_turns(&self) {
        for _ in 0..2 {
            assert!(self.connect().request_status(READINESS_CHECK) > 0);
        }
    }

    /// Signals a reload to a configuration whose discovery is this listener; with `None` the reload
    /// finds no configuration.
    pub fn reload(&mut self, discovery: Option<&TcpListener>) {
        *self.reloaded_discovery.lock().expect("a lock") = discovery.map(local_address);
        self.reload.write_all(b"x").expect("a signal");
    }

    /// Signals the node to stop, and waits until the readiness check shows that it has seen the
    /// signal.
    pub fn begin_shutdown(&mut self) {
        self.stop.write_all(b"x").expect("a signal");
        while self.connect().request_status(READINESS_CHECK) == 200 {}
    }

    /// Waits for the end of a node that has been signalled to stop.
    pub fn wait_for_end(self) {
        self.thread.join().expect("the node ends in good order");
    }

    /// Signals the node to stop and waits for its end.
    pub fn stop(mut self) {
        self.stop.write_all(b"x").expect("a signal");
        self.wait_for_end();
    }
}

/// Returns whether a request to discovery waits for changes since this revision, and for about 3 s,
/// which is the longest time for which a missed change may stay unknown.
pub fn is_watch_request(target: &str, revision: u64) -> bool {
    let timeout = target.strip_prefix(&format!("/api/targets?since={revision}&timeout_ms="));
    timeout
        .and_then(|timeout| timeout.parse().ok())
        .is_some_and(|timeout: u64| (2600..=3400).contains(&timeout))
}

/// Sends a worker list as discovery's response.
pub fn send_worker_list(discovery: &mut TestSocket, list: &str) {
    discovery.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    ));
}
