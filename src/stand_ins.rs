//! Stand-ins for what a node works with, for trials and tests: discovery and workers, in threads of this
//! process, on loopback. They speak the platform's protocol as far as a node sees it.

use crate::net::transport::http::{self, ConnectionOption, ParseStatus, Request};
use std::collections::HashMap;
use std::io::{self, Read as _, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a worker makes a call-back that is not answered, and how long it waits in between at first.
const CALLS: u32 = 10;
const AGAIN: Duration = Duration::from_millis(50);
const MOST_AGAIN: Duration = Duration::from_millis(800);
/// How long anything here waits for its peer.
const LIMIT: Duration = Duration::from_secs(20);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves every connection in a thread of its own, for as long as the process lives.
fn serve(
    listener: TcpListener,
    answer: impl Fn(&Request) -> (u16, String) + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                // A peer that goes away is none of a stand-in's business.
                let _ = talk(stream, answer);
            });
        }
    });
}

fn talk(mut stream: TcpStream, answer: impl Fn(&Request) -> (u16, String)) -> io::Result<()> {
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    stream.set_nodelay(true)?;
    loop {
        match http::read_request(&input).map_err(|flaw| io::Error::other(format!("{flaw:?}")))? {
            ParseStatus::Complete {
                message: request,
                size,
            } => {
                input.drain(..size);
                let (status, body) = answer(&request);
                let mut out = Vec::new();
                http::write_response(
                    &mut out,
                    status,
                    &[],
                    body.as_bytes(),
                    ConnectionOption::KeepAlive,
                );
                stream.write_all(&out)?;
            }
            _ => match stream.read(&mut bytes)? {
                0 => return Ok(()),
                size => input.extend(&bytes[..size]),
            },
        }
    }
}

/// Asks once on a connection of its own, and waits for the whole answer.
///
/// # Errors
///
/// If the connection can't be made or ends before the answer does.
pub fn ask(
    at: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<http::Response> {
    let mut stream = TcpStream::connect(at)?;
    stream.set_read_timeout(Some(LIMIT))?;
    stream.set_nodelay(true)?;
    let mut out = Vec::new();
    http::write_request(&mut out, method, target, fields, body);
    stream.write_all(&out)?;
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let size = stream.read(&mut bytes)?;
        input.extend(&bytes[..size]);
        let read = http::read_response(&input, size == 0, http::MAX_BODY_BYTES);
        match read.map_err(|flaw| io::Error::other(format!("{flaw:?}")))? {
            ParseStatus::Complete {
                message: response, ..
            } => return Ok(response),
            _ if size == 0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => {}
        }
    }
}

/// Discovery: a list whose workers are in service until they are told to drain.
#[derive(Clone, Debug)]
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its revision, and those that drain, each since when.
    list: Arc<Mutex<(u64, HashMap<String, u64>)>>,
}

impl Discovery {
    /// Starts it with these workers, all in service.
    ///
    /// # Errors
    ///
    /// If there is no port.
    pub fn start(workers: &[Worker]) -> io::Result<Self> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), workers)
    }

    /// The same at this address.
    ///
    /// # Errors
    ///
    /// If it can't be listened there.
    pub fn start_at(at: SocketAddr, workers: &[Worker]) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let member = |worker: &Worker| {
            serde_json::json!({"id": worker.name, "host_port": worker.address.to_string(), "locality": "riga",
                "flavor": "std-4", "cell": 1, "phase": "in_service", "size": 1.0, "up_since_ms": 0})
        };
        let members: Vec<serde_json::Value> = workers.iter().map(member).collect();
        let list = Arc::new(Mutex::new((1, HashMap::new())));
        let shared = list.clone();
        let now = move |since: Option<u64>| {
            let (revision, drains) = lock(&shared).clone();
            let drained =
                |m: &serde_json::Value| m["id"].as_str().and_then(|id| drains.get(id)).copied();
            let changed = |m: &&serde_json::Value| {
                since.is_none_or(|since| drained(m).is_some_and(|at| at > since))
            };
            let told = |m: &serde_json::Value| {
                let phase = if drained(m).is_some() {
                    "terminating"
                } else {
                    "in_service"
                };
                let mut member = m.clone();
                member["phase"] = phase.into();
                member
            };
            let members: Vec<serde_json::Value> =
                members.iter().filter(changed).map(told).collect();
            let text = serde_json::json!({"revision": revision, "complete": since.is_none(), "members": members});
            (revision, text.to_string())
        };
        serve(listener, move |request| {
            let number = |name: &str| {
                let text = request.target.split(name).nth(1)?;
                text.split('&').next()?.parse::<u64>().ok()
            };
            let (Some(since), Some(wait)) = (number("since="), number("timeout_ms=")) else {
                return (200, now(None).1);
            };
            for _ in 0..=wait / 5 {
                if now(Some(since)).0 > since {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
            (200, now(Some(since)).1)
        });
        Ok(Self { address, list })
    }

    /// The worker of this name is to get nothing new.
    pub fn drain(&self, worker: &str) {
        let mut list = lock(&self.list);
        list.0 += 1;
        let revision = list.0;
        list.1.insert(worker.to_owned(), revision);
    }
}

#[derive(Debug, Default)]
struct Work {
    /// How often each job was run, by its idempotency key or else its id.
    runs: HashMap<String, u32>,
    /// The results whose call-back the node has acknowledged.
    acknowledged: Vec<(String, String)>,
}

/// A worker: takes a job, and reports its end some time later. Its result is the body in capitals.
#[derive(Clone, Debug)]
pub struct Worker {
    /// As discovery names it.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    work: Arc<Mutex<Work>>,
    nodes: Arc<Mutex<Vec<SocketAddr>>>,
    held: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Worker {
    /// Starts one whose jobs take so long each.
    ///
    /// # Errors
    ///
    /// If there is no port.
    pub fn start(name: &str, time: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            work: Arc::default(),
            nodes: Arc::default(),
            held: Arc::default(),
            stopped: Arc::default(),
        };
        let own = worker.clone();
        serve(listener, move |request| own.take(request, time));
        Ok(worker)
    }

    /// Where it reports to.
    pub fn reports_to(&self, node: SocketAddr) {
        *lock(&self.nodes) = vec![node];
    }

    /// Where it reports to, where several nodes send: it tells all, and those acknowledge what is not theirs.
    pub fn reports_to_all(&self, nodes: &[SocketAddr]) {
        *lock(&self.nodes) = nodes.to_vec();
    }

    /// How often each job was run, by its idempotency key or else its id.
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.work).runs.clone()
    }

    /// The jobs whose result the node has acknowledged, with the result.
    pub fn acknowledged(&self) -> Vec<(String, String)> {
        lock(&self.work).acknowledged.clone()
    }

    /// How many jobs it has not reported yet.
    pub fn held(&self) -> u64 {
        self.held.load(Ordering::SeqCst)
    }

    /// Reports no more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    fn take(&self, request: &Request, time: Duration) -> (u16, String) {
        if request.method != "POST" {
            return (200, String::new());
        }
        let id = request
            .headers
            .get("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let job = request
            .headers
            .get("idempotency-key")
            .unwrap_or(&id)
            .to_owned();
        *lock(&self.work).runs.entry(job.clone()).or_default() += 1;
        let result = String::from_utf8_lossy(&request.body).to_uppercase();
        self.held.fetch_add(1, Ordering::SeqCst);
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(time);
            own.report(&id, &job, &result);
            own.held.fetch_sub(1, Ordering::SeqCst);
        });
        (202, String::new())
    }

    fn report(&self, id: &str, job: &str, result: &str) {
        let held = self.held().saturating_sub(1);
        let event = serde_json::json!({"id": id, "from": self.name, "state": "done", "result": result,
                                       "load": {"queue": held, "eps": 0.0, "x0": 4}});
        let event = event.to_string();
        let nodes = lock(&self.nodes).clone();
        let (first, others) = nodes
            .split_first()
            .map_or((None, &[][..]), |(first, rest)| (Some(*first), rest));
        for node in others.iter().copied() {
            let (own, event, job, result) = (
                self.clone(),
                event.clone(),
                job.to_owned(),
                result.to_owned(),
            );
            thread::spawn(move || own.tell(Some(node), &event, &job, &result));
        }
        self.tell(first, &event, job, result);
    }

    /// Tells one node until it acknowledges.
    fn tell(&self, mut node: Option<SocketAddr>, event: &str, job: &str, result: &str) {
        let mut again = AGAIN;
        for _ in 0..CALLS {
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            // One that was not known at the first try may be by now.
            node = node.or_else(|| lock(&self.nodes).first().copied());
            let answer = node.map(|node| {
                ask(
                    node,
                    "POST",
                    "/v1/job-events",
                    &[("Connection", "close")],
                    event.as_bytes(),
                )
            });
            if let Some(Ok(http::Response {
                status: 200 | 204, ..
            })) = answer
            {
                return lock(&self.work)
                    .acknowledged
                    .push((job.to_owned(), result.to_owned()));
            }
            thread::sleep(again);
            again = (again * 2).min(MOST_AGAIN);
        }
    }
}
