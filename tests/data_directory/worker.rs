//! Workers at the addresses that the kept list of the fixture names.

use super::node::{TEST_TIMEOUT, worker_address};
use postproxy::net::transport::http::{self, ConnectionOption, ParseStatus};
use postproxy::stand_ins::send_request;
use postproxy_fault_injection::wait_until;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How many workers the kept list names.
const COUNT: u8 = 3;

/// The addresses are fixed, so one test at a time has them.
static ADDRESSES: Mutex<()> = Mutex::new(());

/// A job that a worker has received: the worker's number, and the job's id.
type Received = Arc<Mutex<Vec<(u8, String)>>>;
/// Where the workers call back.
type NodeAddress = Arc<Mutex<Option<SocketAddr>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All workers of the list. Each takes a job and reports its body in capitals as the result.
pub struct Workers {
    received: Received,
    node: NodeAddress,
    _addresses: MutexGuard<'static, ()>,
    listeners: Vec<TcpListener>,
}

impl Workers {
    pub fn start() -> Self {
        let (received, node) = (Received::default(), NodeAddress::default());
        let addresses = lock(&ADDRESSES);
        let start = |number| serve(number, received.clone(), node.clone());
        let listeners = (0..COUNT).map(start).collect();
        Self {
            received,
            node,
            _addresses: addresses,
            listeners,
        }
    }

    pub fn report_to(&self, node: SocketAddr) {
        *lock(&self.node) = Some(node);
    }

    /// The jobs that they have received: each worker's number and the job's id.
    pub fn received(&self) -> Vec<(u8, String)> {
        lock(&self.received).clone()
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        // Wakes the threads that accept, which end as no node is named any more.
        *lock(&self.node) = None;
        for listener in &self.listeners {
            listener.set_nonblocking(true).expect("a setting");
            let _ = listener.local_addr().and_then(TcpStream::connect);
        }
    }
}

/// Listens at a worker's address; another run of these tests may have it for a moment.
fn listen(number: u8) -> TcpListener {
    let mut listener = None;
    let bound = wait_until(TEST_TIMEOUT, || {
        listener = TcpListener::bind(worker_address(number)).ok();
        listener.is_some()
    });
    assert!(bound, "{} is in use", worker_address(number));
    listener.expect("it was bound")
}

fn serve(number: u8, received: Received, node: NodeAddress) -> TcpListener {
    let listener = listen(number);
    let accepting = listener.try_clone().expect("a descriptor");
    std::thread::spawn(move || {
        // The first that comes after the end, or the setting not to wait_until, ends it.
        while let Ok((stream, _)) = accepting.accept() {
            let Some(node) = *lock(&node) else { return };
            let received = received.clone();
            std::thread::spawn(move || converse(number, stream, node, &received));
        }
    });
    listener
}

/// Answers one request after another on a connection.
fn converse(number: u8, mut stream: TcpStream, node: SocketAddr, received: &Received) {
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        if let Ok(ParseStatus::Complete {
            message: request,
            size,
        }) = http::read_request(&input)
        {
            input.drain(..size);
            let mut answer = Vec::new();
            http::write_response(&mut answer, 202, &[], b"", ConnectionOption::KeepAlive);
            if stream.write_all(&answer).is_err() {
                return;
            }
            let id = request
                .headers
                .get("x-request-id")
                .unwrap_or_default()
                .to_owned();
            lock(received).push((number, id.clone()));
            let result = String::from_utf8_lossy(&request.body).to_uppercase();
            // The node may have ended with its test by now.
            let _ = report_done(node, &id, number, &result);
        } else {
            match stream.read(&mut bytes) {
                Ok(size) if size > 0 => input.extend(&bytes[..size]),
                _ => return,
            }
        }
    }
}

/// Tells the node that a job is done; the status of its answer.
pub fn report_done(node: SocketAddr, id: &str, worker: u8, result: &str) -> std::io::Result<u16> {
    let event = serde_json::json!({"id": id, "from": format!("s-{worker}"), "state": "done", "result": result});
    let fields = [("Connection", "close")];
    let answer = send_request(
        node,
        "POST",
        "/v1/job-events",
        &fields,
        event.to_string().as_bytes(),
    );
    answer.map(|answer| answer.status)
}
