//! A simplified discovery service with a fixed list of workers, which are in service until they are
//! drained.

use super::http_server::{ServerResponse, serve};
use super::{lock, worker::Worker};
use serde_json::Value;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often a watch checks for a new revision, in milliseconds.
const WATCH_POLL_INTERVAL_MS: u64 = 5;
/// The revision of the initial list, in which all workers are in service.
const FIRST_REVISION: u64 = 1;

/// A discovery service on loopback.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// The address at which it listens.
    pub address: SocketAddr,
    changes: Arc<Mutex<Changes>>,
}

/// The changes since the first revision of the list.
#[derive(Clone, Debug)]
struct Changes {
    revision: u64,
    /// The draining workers, each with the revision that began its draining.
    draining: HashMap<String, u64>,
}

impl Discovery {
    /// Starts a discovery service on a free port, with these workers in service.
    ///
    /// # Errors
    ///
    /// If there is no free port.
    pub fn start(workers: &[Worker]) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), workers)
    }

    /// Starts a discovery service at this address, with these workers in service.
    ///
    /// # Errors
    ///
    /// If it can't listen there.
    pub fn start_at(address: SocketAddr, workers: &[Worker]) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let changes = Arc::new(Mutex::new(Changes {
            revision: FIRST_REVISION,
            draining: HashMap::new(),
        }));
        let list = WorkerList {
            members: workers.iter().map(member_json).collect(),
            changes: changes.clone(),
        };
        serve(listener, move |request| ServerResponse {
            status: 200,
            body: list.respond(&request.target),
        });
        Ok(Self { address, changes })
    }

    /// Begins to drain the worker with this name, so that nodes send it no new requests.
    pub fn drain(&self, worker: &str) {
        let mut changes = lock(&self.changes);
        changes.revision += 1;
        let revision = changes.revision;
        changes.draining.insert(worker.to_owned(), revision);
    }
}

/// Returns the worker's entry in the list, in service.
fn member_json(worker: &Worker) -> Value {
    serde_json::json!({"id": worker.name, "host_port": worker.address.to_string(), "locality": "riga",
        "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
}

/// The worker list, shared by the server's threads.
#[derive(Clone)]
struct WorkerList {
    members: Vec<Value>,
    changes: Arc<Mutex<Changes>>,
}

impl WorkerList {
    /// Returns the body of the response to a request for this target: the whole list or, for a
    /// watch, the changes after a revision. A watch waits for changes until its timeout.
    fn respond(&self, target: &str) -> String {
        let since = query_number(target, "since=");
        let timeout_ms = query_number(target, "timeout_ms=");
        let (Some(since), Some(timeout_ms)) = (since, timeout_ms) else {
            return self.to_json(None);
        };
        for _ in 0..=timeout_ms / WATCH_POLL_INTERVAL_MS {
            if lock(&self.changes).revision > since {
                break;
            }
            thread::sleep(Duration::from_millis(WATCH_POLL_INTERVAL_MS));
        }
        self.to_json(Some(since))
    }

    /// Returns the members that have changed after a revision; all members if there is none.
    fn to_json(&self, since: Option<u64>) -> String {
        let Changes { revision, draining } = lock(&self.changes).clone();
        let draining_since = |member: &Value| {
            let id = member["id"].as_str()?;
            draining.get(id).copied()
        };
        let is_included = |member: &&Value| match since {
            None => true,
            Some(since) => draining_since(member).is_some_and(|revision| revision > since),
        };
        let with_phase = |member: &Value| {
            let mut member = member.clone();
            if draining_since(&member).is_some() {
                member["phase"] = "terminating".into();
            }
            member
        };
        let members: Vec<Value> = self
            .members
            .iter()
            .filter(is_included)
            .map(with_phase)
            .collect();
        let complete = since.is_none();
        serde_json::json!({"revision": revision, "complete": complete, "members": members})
            .to_string()
    }
}

/// Returns the number after `name`, such as `since=`, in the target's query.
fn query_number(target: &str, name: &str) -> Option<u64> {
    let text = target.split(name).nth(1)?;
    text.split('&').next()?.parse().ok()
}
