//! A simplified worker: it accepts every request at once, and reports the result to the node in a
//! callback after its service time.

use super::http_client::send_request;
use super::http_server::{ServerResponse, serve};
use super::lock;
use crate::net::transport::http::{Request, Response};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Maximum number of attempts to deliver a callback.
const MAX_CALLBACK_ATTEMPTS: u32 = 10;
/// The backoff after the first attempt to deliver a callback; it doubles with each further attempt.
const MIN_CALLBACK_BACKOFF: Duration = Duration::from_millis(50);
/// The maximum backoff between two attempts to deliver a callback.
const MAX_CALLBACK_BACKOFF: Duration = Duration::from_millis(800);

/// Record of a worker's requests.
#[derive(Debug, Default)]
struct Work {
    /// Number of runs of each request, by its idempotency key or else its id.
    runs: HashMap<String, u32>,
    /// The requests whose callbacks a node has acknowledged, by the same keys, with their results.
    acknowledged: Vec<(String, String)>,
}

/// A worker on loopback. The result of a request is its body in upper case.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name in the worker list.
    pub name: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    work: Arc<Mutex<Work>>,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    in_flight: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

/// A finished request whose result is to be reported.
#[derive(Clone)]
struct FinishedRequest {
    /// Its idempotency key, or else its id.
    key: String,
    result: String,
    /// The body of its callback.
    callback: String,
}

impl Worker {
    /// Starts a worker with this service time.
    ///
    /// # Errors
    ///
    /// If there is no free port.
    pub fn start(name: &str, service_time: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            work: Arc::default(),
            nodes: Arc::default(),
            in_flight: Arc::default(),
            stopped: Arc::default(),
        };
        let server = worker.clone();
        serve(listener, move |request| {
            server.handle_request(request, service_time)
        });
        Ok(worker)
    }

    /// Sets the node that receives its callbacks.
    pub fn report_to(&self, node: SocketAddr) {
        *lock(&self.nodes) = vec![node];
    }

    /// Sets the nodes that receive its callbacks; each node acknowledges also callbacks for
    /// requests of other nodes.
    pub fn report_to_all(&self, nodes: &[SocketAddr]) {
        *lock(&self.nodes) = nodes.to_vec();
    }

    /// Returns the number of runs of each request, by its idempotency key or else its id.
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.work).runs.clone()
    }

    /// Returns the requests whose callbacks a node has acknowledged, by the same keys, with their
    /// results.
    pub fn acknowledged(&self) -> Vec<(String, String)> {
        lock(&self.work).acknowledged.clone()
    }

    /// Returns the number of requests whose callbacks haven't been acknowledged or given up.
    pub fn in_flight_count(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Stops sending callbacks.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn handle_request(&self, request: &Request, service_time: Duration) -> ServerResponse {
        let empty = |status| ServerResponse {
            status,
            body: String::new(),
        };
        if request.method != "POST" {
            return empty(200);
        }
        let id = request
            .headers
            .get("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let key = request
            .headers
            .get("idempotency-key")
            .unwrap_or(&id)
            .to_owned();
        *lock(&self.work).runs.entry(key.clone()).or_default() += 1;
        let result = String::from_utf8_lossy(&request.body).to_uppercase();
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(service_time);
            worker.report(&id, key, result);
            worker.in_flight.fetch_sub(1, Ordering::SeqCst);
        });
        empty(202)
    }

    /// Sends the callback of a finished request to all nodes, and waits for the delivery to the
    /// first of them.
    fn report(&self, id: &str, key: String, result: String) {
        let queue = self.in_flight_count().saturating_sub(1);
        let callback = serde_json::json!({"id": id, "from": self.name, "state": "done", "result": result,
                                          "load": {"queue": queue, "eps": 0.0, "x0": 4}});
        let request = FinishedRequest {
            key,
            result,
            callback: callback.to_string(),
        };
        let nodes = lock(&self.nodes).clone();
        for node in nodes.iter().skip(1).copied() {
            let worker = self.clone();
            let request = request.clone();
            thread::spawn(move || worker.send_callback(Some(node), &request));
        }
        self.send_callback(nodes.first().copied(), &request);
    }

    /// Sends a callback until the node acknowledges it.
    fn send_callback(&self, mut node: Option<SocketAddr>, request: &FinishedRequest) {
        let mut backoff = MIN_CALLBACK_BACKOFF;
        for _ in 0..MAX_CALLBACK_ATTEMPTS {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            // The worker may have been given a node since the last attempt.
            node = node.or_else(|| lock(&self.nodes).first().copied());
            let response = node.map(|node| {
                send_request(
                    node,
                    "POST",
                    "/v1/job-events",
                    &[("Connection", "close")],
                    request.callback.as_bytes(),
                )
            });
            if let Some(Ok(Response {
                status: 200 | 204, ..
            })) = response
            {
                let acknowledged = (request.key.clone(), request.result.clone());
                lock(&self.work).acknowledged.push(acknowledged);
                return;
            }
            thread::sleep(backoff);
            backoff = (backoff * 2).min(MAX_CALLBACK_BACKOFF);
        }
    }
}
