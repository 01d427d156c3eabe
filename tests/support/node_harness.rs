//! A whole node on loopback: the test plays client, worker and discovery in turn, on blocking sockets.
#![allow(dead_code)]

use postproxy::net::transport::http::{self, ParseStatus, Request};
use postproxy::net::{Config, Node};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// A socket of the test's; nothing in these tests takes nearly so long.
pub const LIMIT: Duration = Duration::from_secs(20);

pub struct Peer {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).expect("a time limit");
        Self {
            stream,
            input: Vec::new(),
        }
    }

    pub fn to(address: SocketAddr) -> Self {
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

    /// More bytes, or the end.
    pub fn more(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(size) => self.input.extend(&bytes[..size]),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return false,
            Err(error) => panic!("nothing came: {error}"),
        }
        !self.input.is_empty()
    }

    pub fn request(&mut self) -> Request {
        loop {
            if let ParseStatus::Complete {
                message: request,
                size,
            } = http::read_request(&self.input).expect("a request")
            {
                self.input.drain(..size);
                return request;
            }
            assert!(self.more(), "the connection ended");
        }
    }

    pub fn response(&mut self) -> http::Response {
        loop {
            let read =
                http::read_response(&self.input, false, http::MAX_BODY_BYTES).expect("a response");
            if let ParseStatus::Complete {
                message: response,
                size,
            } = read
            {
                self.input.drain(..size);
                return response;
            }
            assert!(self.more(), "the connection ended");
        }
    }

    /// Sends and takes the answer's status.
    pub fn ask(&mut self, text: &str) -> u16 {
        self.write(text);
        self.response().status
    }

    pub fn submit(&mut self, id: &str) {
        self.write(&format!(
            "POST /render/a?b=c HTTP/1.1\r\nHost: x\r\nX-Request-Id: {id}\r\nX-Deadline: 5.0\r\n\
             Idempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
        ));
    }

    pub fn ended(&mut self) -> bool {
        self.input.clear();
        !self.more()
    }
}

pub const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

pub struct NodeHarness {
    pub node: SocketAddr,
    pub workers: Vec<TcpListener>,
    pub discovery: TcpListener,
    pub stop: UnixStream,
    pub reload: UnixStream,
    /// Where a reload finds discovery.
    pub moved: Arc<Mutex<Option<SocketAddr>>>,
    pub thread: JoinHandle<()>,
}

pub fn port() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    // It holds for accepting too: what never comes fails the test and does not hang it.
    socket2::SockRef::from(&listener)
        .set_read_timeout(Some(LIMIT))
        .expect("a time limit");
    listener
}

pub fn member(id: usize, at: SocketAddr, phase: &str) -> String {
    format!(
        r#"{{"id":"s-{id}","host_port":"{at}","locality":"riga","flavor":"m2","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

impl NodeHarness {
    pub fn new(workers: usize, sockets: usize) -> Self {
        Self::listing(workers, sockets, &[], 60.0)
    }

    /// Signals a reload, which finds discovery where this listens; `None` finds no configuration.
    pub fn reload(&mut self, discovery: Option<&TcpListener>) {
        *self.moved.lock().expect("a lock") =
            discovery.map(|d| d.local_addr().expect("an address"));
        self.reload.write_all(b"x").expect("a signal");
    }

    /// A node whose list holds these workers and then some that nothing here stands for.
    pub fn listing(workers: usize, sockets: usize, others: &[SocketAddr], idle: f64) -> Self {
        Self::with(workers, sockets, others, |settings| {
            settings["limits"]["conn-idle"] = idle.into()
        })
    }

    /// The same with what `change` does to its settings.
    pub fn with(
        workers: usize,
        sockets: usize,
        others: &[SocketAddr],
        change: impl FnOnce(&mut serde_json::Value),
    ) -> Self {
        let workers: Vec<TcpListener> = (0..workers).map(|_| port()).collect();
        let at = |w: &TcpListener| w.local_addr().expect("an address");
        let all = workers.iter().map(at).chain(others.iter().copied());
        let members: Vec<String> = all
            .enumerate()
            .map(|(n, w)| member(n, w, "in_service"))
            .collect();
        let discovery = port();
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"8c1f","limits":{{"sockets":{sockets}}},
            "known":{{"revision":41,"complete":true,"members":[{}]}},
            "settings":{{"balancers":1,"tick":0.002,"discovery":"on_request","dcs":["riga"],"machine-types":["m2"],
                "services":[{{"name":"render","effect":"pure","aim":1.0,"late-value":1.0,"deadline":20.0}}],
                "limits":{{"cancel":true,"max-attempts":3,"conn-idle":60.0,"dial-timeout":0.25}},
                "rules":{{"must-ask-in":0.2}},"report":{{"fields":["backlog"],"via":"answers"}}}}}}"#,
            at(&discovery),
            members.join(",")
        );
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        change(&mut json["settings"]);
        let text = json.to_string();
        let (stop, signal) = UnixStream::pair().expect("a pair");
        let (reload, reload_signal) = UnixStream::pair().expect("a pair");
        let moved = Arc::new(Mutex::new(None));
        let source = moved.clone();
        let (tell, told) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            let read = |text: &str| Config::from_json(text, |_| None).expect("a configuration");
            let mut node = Node::new(read(&text), signal).expect("a node");
            let reloaded = move || {
                let at = (*source.lock().expect("a lock"))?;
                Some(Config {
                    discovery: at,
                    ..read(&text)
                })
            };
            node.reload_on(reload_signal, reloaded)
                .expect("a signal to reload");
            tell.send(node.address()).expect("the test waits");
            node.run().expect("it runs");
        });
        let node = told.recv_timeout(LIMIT).expect("the node starts");
        Self {
            node,
            workers,
            discovery,
            stop,
            reload,
            moved,
            thread,
        }
    }

    pub fn call(&self, id: &str, from: usize, state: &str) -> u16 {
        let body = format!(r#"{{"id":"{id}","from":"s-{from}",{state}}}"#);
        let size = body.len();
        Peer::to(self.node).ask(&format!(
            "POST /v1/job-events HTTP/1.1\r\nContent-Length: {size}\r\n\r\n{body}"
        ))
    }

    /// Waits until the node has taken in all that has come before: two whole turns of its loop.
    pub fn settled(&self) {
        for _ in 0..2 {
            assert!(Peer::to(self.node).ask("GET /-/ready HTTP/1.1\r\n\r\n") > 0);
        }
    }

    pub fn stop(mut self) {
        self.stop.write_all(b"x").expect("a signal");
        self.thread.join().expect("the node ends in good order");
    }
}

/// Whether a call waits for changes since this revision, for no longer than what it misses may stay unknown.
pub fn watches(target: &str, revision: u64) -> bool {
    let wait = target.strip_prefix(&format!("/api/targets?since={revision}&timeout_ms="));
    wait.and_then(|wait| wait.parse().ok())
        .is_some_and(|wait: u64| (2600..=3400).contains(&wait))
}

pub fn list(peer: &mut Peer, text: &str) {
    peer.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    ));
}
