//! A simplified worker: it accepts every request, and reports its end to the node some time later.

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

/// How often a call-back is sent until the node acknowledges it.
const MAX_CALLBACK_ATTEMPTS: u32 = 10;
/// The pause after the first attempt of a call-back; it doubles after each further one.
const MIN_CALLBACK_BACKOFF: Duration = Duration::from_millis(50);
/// The longest pause between two attempts of a call-back.
const MAX_CALLBACK_BACKOFF: Duration = Duration::from_millis(800);

/// What a worker has done.
#[derive(Debug, Default)]
struct Work {
    /// How often each request was run, by its idempotency key or else its id.
    runs: HashMap<String, u32>,
    /// The requests whose call-backs a node has acknowledged, each with its result.
    acknowledged: Vec<(String, String)>,
}

/// A worker on loopback. The result of a request is its body in capitals.
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

/// A request that has run, and is to be reported.
#[derive(Clone)]
struct FinishedRequest {
    /// Its idempotency key, or else its id.
    key: String,
    result: String,
    /// The body of its call-back.
    callback: String,
}

impl Worker {
    /// Starts a worker at which every request takes this long.
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

    /// Sends its call-backs to this node.
    pub fn report_to(&self, node: SocketAddr) {
        *lock(&self.nodes) = vec![node];
    }

    /// Sends its call-backs to all of these nodes; each acknowledges also those that aren't for it.
    pub fn report_to_all(&self, nodes: &[SocketAddr]) {
        *lock(&self.nodes) = nodes.to_vec();
    }

    /// Returns how often each request was run, by its idempotency key or else its id.
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.work).runs.clone()
    }

    /// Returns the requests whose call-backs a node has acknowledged, each with its result.
    pub fn acknowledged(&self) -> Vec<(String, String)> {
        lock(&self.work).acknowledged.clone()
    }

    /// Returns the number of requests that it hasn't reported yet.
    pub fn in_flight_count(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Stops the call-backs.
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

    /// Reports the end of a request to all nodes, and waits until the first of them has
    /// acknowledged it.
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

    /// Sends a call-back until the node acknowledges it.
    fn send_callback(&self, mut node: Option<SocketAddr>, request: &FinishedRequest) {
        let mut backoff = MIN_CALLBACK_BACKOFF;
        for _ in 0..MAX_CALLBACK_ATTEMPTS {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            // The node may have become known since the last attempt.
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
