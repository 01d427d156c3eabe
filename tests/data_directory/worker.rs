//! Workers at the addresses in the stored worker list of the fixture.

use super::node::{TEST_TIMEOUT, worker_address};
use postproxy::net::transport::http::{self, ConnectionOption, ParseStatus};
use postproxy::stand_ins::send_request;
use postproxy_fault_injection::wait_until;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of workers in the stored list.
const COUNT: u8 = 3;

/// Held by the test that uses the workers' addresses: they are fixed, so only one test at a time
/// can use them.
static ADDRESSES: Mutex<()> = Mutex::new(());

/// The jobs that the workers have received: the worker's number and the job's id.
type Received = Arc<Mutex<Vec<(u8, String)>>>;
/// The address to which the workers send callbacks; `None` if there is no node.
type NodeAddress = Arc<Mutex<Option<SocketAddr>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All workers of the list. Each accepts jobs, and reports the body in capitals as the result.
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

    /// Returns the jobs that the workers have received: the worker's number and the job's id.
    pub fn received(&self) -> Vec<(u8, String)> {
        lock(&self.received).clone()
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        // Wakes the accepting threads, which end because there is no address of a node any more.
        *lock(&self.node) = None;
        for listener in &self.listeners {
            listener.set_nonblocking(true).expect("a setting");
            let _ = listener.local_addr().and_then(TcpStream::connect);
        }
    }
}

/// Listens on a worker's address, which another run of these tests may still use for a moment.
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
        // Ends at the first connection after the workers were dropped, or at the error that the
        // listener returns in non-blocking mode.
        while let Ok((stream, _)) = accepting.accept() {
            let Some(node) = *lock(&node) else { return };
            let received = received.clone();
            std::thread::spawn(move || serve_connection(number, stream, node, &received));
        }
    });
    listener
}

/// Accepts one job after another on a connection, and reports each as done.
fn serve_connection(number: u8, mut stream: TcpStream, node: SocketAddr, received: &Received) {
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
            // The node may have ended with its test.
            let _ = report_done(node, &id, number, &result);
        } else {
            match stream.read(&mut bytes) {
                Ok(size) if size > 0 => input.extend(&bytes[..size]),
                _ => return,
            }
        }
    }
}

/// Sends the callback of a worker that has done a job; returns the status code of the response.
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
