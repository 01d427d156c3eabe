//! Tests of the management server that need its private items.

use super::request::{self, MAX_NAME_BYTES};
use super::server::EVICTION_GRACE_SECONDS;
use super::{MAX_SESSIONS, ManagementRequest, ManagementServer};
use crate::net::messages::ManagementReply;
use crate::net::transport::http::{self, ParseStatus};
use crate::net::transport::reactor::Reactor;
use std::io::{Read as _, Write as _};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::Duration;

/// Far longer than anything in these tests takes.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A management server on loopback, with a clock that the test controls.
struct ServerHarness {
    reactor: Reactor,
    server: ManagementServer,
}

impl ServerHarness {
    fn new() -> Self {
        let mut reactor = Reactor::new(1000.0).expect("a reactor");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("a setting");
        let server = ManagementServer::new(&mut reactor, listener).expect("a server");
        Self { reactor, server }
    }

    fn connect(&mut self) -> TcpStream {
        let address = self.server.address().expect("an address");
        let caller = TcpStream::connect(address).expect("a connection");
        caller
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a time limit");
        caller
    }

    /// Reads all requests that have arrived, and sends this reply to each.
    fn handle_requests(&mut self, reply: ManagementReply) -> Vec<ManagementRequest> {
        let mut received = self.server.accept(&mut self.reactor);
        let mut keys: Vec<usize> = self.server.sessions.keys().copied().collect();
        keys.sort_unstable();
        for key in keys {
            let requests = self.server.handle_ready(&mut self.reactor, key, true, true);
            received.extend(requests);
        }
        for request in &received {
            self.server
                .send_reply(&mut self.reactor, request.caller, reply);
        }
        received
            .into_iter()
            .map(|received| received.request)
            .collect()
    }
}

fn read_to_end(caller: &mut TcpStream) -> String {
    let mut text = String::new();
    caller
        .read_to_string(&mut text)
        .expect("the end of the connection");
    text
}

/// Guards against a path, method or name that is taken for another, and against success for what is
/// not a request of the API.
#[test]
fn parses_only_requests_of_the_api() {
    use ManagementRequest::*;
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let node = || "n-1".to_owned();
    let lease = || "bans".to_owned();
    let cases = [
        ("GET", "/v1/readyz", Ok(CheckReadiness)),
        ("HEAD", "/v1/readyz?x=1", Ok(CheckReadiness)),
        ("POST", "/v1/readyz", Err(405)),
        ("POST", "/v1/node/drain", Ok(Drain)),
        ("POST", "/v1/node/activate", Ok(Activate)),
        ("GET", "/v1/node/drain", Err(405)),
        ("GET", "/v1/fleet/members", Ok(ListMembers)),
        ("POST", "/v1/fleet/members", Err(405)),
        (
            "POST",
            "/v1/fleet/members/n%2D1/forget",
            Ok(ForgetMember { node: node() }),
        ),
        ("GET", "/v1/fleet/members/n-1/forget", Err(405)),
        ("POST", "/v1/fleet/members//forget", Err(400)),
        ("GET", "/v1/fleet/versions", Ok(ListVersions)),
        ("GET", "/v1/fleet/audit", Ok(ShowAuditLog)),
        ("GET", "/v1/fleet/owners", Ok(ShowCoordination)),
        (
            "POST",
            "/v1/fleet/owners/bans/release",
            Ok(ReleaseLease { lease: lease() }),
        ),
        (
            "POST",
            "/v1/fleet/owners/bans/hand/n%2D1",
            Ok(TransferLease {
                lease: lease(),
                to: node(),
            }),
        ),
        ("POST", "/v1/fleet/owners/bans/hand/", Err(400)),
        (
            "POST",
            "/v1/fleet/voters/n-1/add",
            Ok(SetVoter {
                node: node(),
                votes: true,
            }),
        ),
        (
            "POST",
            "/v1/fleet/voters/n-1/remove",
            Ok(SetVoter {
                node: node(),
                votes: false,
            }),
        ),
        ("GET", "/v1/fleet/voters/n-1/remove", Err(405)),
        ("POST", "/v1/node", Err(404)),
        ("POST", "/v1/node/drain/", Err(404)),
        ("POST", "//v1/node/drain", Err(404)),
        (
            "POST",
            "/v1/route-workers/s-1/suspend",
            Ok(SuspendWorker {
                worker: "s-1".into(),
            }),
        ),
        (
            "POST",
            "/v1/route-workers/s%2D1%2fa/resume",
            Ok(ResumeWorker {
                worker: "s-1/a".into(),
            }),
        ),
        (
            "POST",
            "/v1/route-workers/%c5%a1/resume",
            Ok(ResumeWorker {
                worker: "\u{161}".into(),
            }),
        ),
        ("PUT", "/v1/route-workers/s-1/suspend", Err(405)),
        ("POST", "/v1/route-workers/s-1/stop", Err(404)),
        ("POST", "/v1/route-workers//suspend", Err(400)),
        ("POST", "/v1/route-workers/%/suspend", Err(400)),
        ("POST", "/v1/route-workers/%zz/suspend", Err(400)),
        ("POST", "/v1/route-workers/%+1/suspend", Err(400)),
        ("POST", "/v1/route-workers/%ff/suspend", Err(400)),
        ("POST", "/v1/route-workers/a%0ab/suspend", Err(400)),
        (
            "POST",
            &format!("/v1/route-workers/{long}/suspend"),
            Err(400),
        ),
    ];
    for (method, target, expected) in cases {
        let text = format!("{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n");
        let Ok(ParseStatus::Complete { message, .. }) = http::read_request(text.as_bytes()) else {
            panic!("{text}")
        };
        assert_eq!(
            request::parse(&message).map_err(|rejected| rejected.status),
            expected,
            "{method} {target}"
        );
    }
}

/// Guards against silent callers that occupy all connections, so that a request is not served or
/// has to wait until they time out.
#[test]
fn silent_callers_do_not_keep_out_a_request() {
    let mut harness = ServerHarness::new();
    let silent: Vec<TcpStream> = (0..100).map(|_| harness.connect()).collect();
    let mut caller = harness.connect();
    caller
        .write_all(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        .expect("bytes are written");
    let mut requests = Vec::new();
    for _ in 0..20 {
        requests.extend(harness.handle_requests(ManagementReply::Done));
        harness.reactor.now += EVICTION_GRACE_SECONDS;
    }
    assert_eq!(requests, [ManagementRequest::CheckReadiness]);
    assert!(read_to_end(&mut caller).starts_with("HTTP/1.1 200 "));
    assert!(harness.server.sessions.len() <= MAX_SESSIONS);
    drop(silent);
}

/// Guards against a request that is lost because it arrives byte by byte, has a body, or is
/// followed by a second request, which must be ignored; and against a head of unlimited length.
#[test]
fn handles_one_request_per_connection_however_it_is_split() {
    let mut harness = ServerHarness::new();
    let mut caller = harness.connect();
    let text = "POST /v1/node/drain HTTP/1.1\r\nContent-Length: 3\r\n\r\n{ }GET /v1/readyz HTTP/1.1\r\n\r\n";
    let mut requests = Vec::new();
    for byte in text.bytes() {
        caller.write_all(&[byte]).expect("bytes are written");
        requests.extend(harness.handle_requests(ManagementReply::Done));
    }
    assert_eq!(requests, [ManagementRequest::Drain]);
    let response = read_to_end(&mut caller);
    assert!(
        response.starts_with("HTTP/1.1 200 ") && response.contains("Connection: close"),
        "{response}"
    );
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    let endless_head = "x".repeat(http::MAX_HEAD_BYTES);
    for (text, status) in [
        (format!("GET /v1/readyz HTTP/1.1\r\nX: {endless_head}"), 431),
        (
            "GET /v1/readyz HTTP/1.1\r\nContent-Length: 99999\r\n\r\n".into(),
            413,
        ),
        ("what is this\r\n\r\n".into(), 400),
    ] {
        let mut caller = harness.connect();
        caller
            .write_all(text.as_bytes())
            .expect("bytes are written");
        assert!(harness.handle_requests(ManagementReply::Done).is_empty());
        assert!(
            read_to_end(&mut caller).starts_with(&format!("HTTP/1.1 {status} ")),
            "{text:.40}"
        );
    }
    let mut incomplete = harness.connect();
    incomplete
        .write_all(b"GET /v1/rea")
        .expect("bytes are written");
    incomplete
        .shutdown(Shutdown::Write)
        .expect("the sending side is closed");
    assert!(harness.handle_requests(ManagementReply::Done).is_empty());
    assert_eq!(
        read_to_end(&mut incomplete),
        "",
        "an incomplete request gets no response"
    );
    let mut caller = harness.connect();
    caller
        .write_all(b"GET /v1/readyz HTTP/1.1\r\n\r\n")
        .expect("bytes are written");
    caller
        .shutdown(Shutdown::Write)
        .expect("the sending side is closed");
    assert_eq!(
        harness.handle_requests(ManagementReply::Unavailable),
        [ManagementRequest::CheckReadiness]
    );
    assert!(
        read_to_end(&mut caller).starts_with("HTTP/1.1 503 "),
        "a caller that has closed its sending side still gets a response"
    );
}
