//! The clients of the cluster trial, which send requests to all nodes until they are stopped.

use super::Failure;
use postproxy::stand_ins::send_request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

/// Number of requests by outcome.
#[derive(Default)]
pub(super) struct RequestCounts {
    pub(super) served: AtomicU64,
    pub(super) rejected: AtomicU64,
    pub(super) failed: AtomicU64,
    /// Attempts to reach a node that didn't respond; the client then tried the next node.
    pub(super) unreachable: AtomicU64,
}

impl RequestCounts {
    fn count(&self, status: Option<u16>) {
        let counter = match status {
            Some(200) => &self.served,
            Some(503) => &self.rejected,
            _ => &self.failed,
        };
        counter.fetch_add(1, Ordering::SeqCst);
    }
}

/// Clients that send requests until they are stopped.
pub(super) struct Clients {
    counts: Arc<RequestCounts>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts as many clients as there are nodes; each sends its requests to all nodes in turn.
    pub(super) fn start(nodes: &[SocketAddr]) -> Self {
        let counts = Arc::new(RequestCounts::default());
        let stopped = Arc::new(AtomicBool::new(false));
        let start_client = |number| {
            let client = Client {
                number,
                nodes: nodes.to_vec(),
                next_node: number,
                counts: counts.clone(),
                stopped: stopped.clone(),
            };
            thread::spawn(move || client.run())
        };
        let threads = (0..nodes.len()).map(start_client).collect();
        Self {
            counts,
            stopped,
            threads,
        }
    }

    pub(super) fn stop(self) -> Result<Arc<RequestCounts>, Failure> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().map_err(|_| "a client panicked")?;
        }
        Ok(self.counts)
    }
}

struct Client {
    number: usize,
    nodes: Vec<SocketAddr>,
    next_node: usize,
    counts: Arc<RequestCounts>,
    stopped: Arc<AtomicBool>,
}

impl Client {
    /// Sends requests one after another until it is stopped.
    fn run(mut self) {
        for request in 0u64.. {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            let status = self.send(&format!("job-{}-{request}", self.number));
            self.counts.count(status);
        }
    }

    /// Sends a request to the next node that responds, and returns the status of the response;
    /// `None` if no node responds.
    fn send(&mut self, id: &str) -> Option<u16> {
        let fields = [
            ("X-Request-Id", id),
            ("X-Deadline", "5"),
            ("Connection", "close"),
        ];
        for _ in 0..self.nodes.len() {
            self.next_node = (self.next_node + 1) % self.nodes.len();
            let node = self.nodes[self.next_node];
            match send_request(node, "POST", "/reroute", &fields, b"riga to liepaja") {
                Ok(response) => return Some(response.status),
                Err(_) => {
                    self.counts.unreachable.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
        None
    }
}
