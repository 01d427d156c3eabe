//! A client can read the response to invalid input even if it goes on sending, and none of the
//! input reaches a worker.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::NodeHarness;
use std::io::{Read as _, Write as _};
use std::time::{Duration, Instant};

/// Number of excess bytes that a client sends after a request: fewer than a node reads and discards
/// on a closing connection.
const MAX_EXCESS_BYTES: usize = 200 << 10;
/// Size of the chunks in which a client sends the excess bytes.
const CHUNK_BYTES: usize = 8192;

/// Guards against a close with unread input, which resets the connection, so that the client loses
/// the response; against a client that occupies a connection by sending on; and against forwarding
/// any of the input to a worker.
#[test]
fn responses_to_bad_input_are_readable_though_the_client_goes_on_sending() {
    let harness = NodeHarness::new(1, 256);
    let valid =
        "POST /render HTTP/1.1\r\nX-Request-Id: held\r\nX-Deadline: 5\r\nContent-Length: 0\r\n\r\n";
    let mut pending = harness.connect();
    pending.write(valid);
    let mut worker = harness.accept_worker(0);
    worker.read_request();
    let long = "x".repeat(20 << 10);
    let cases = [
        (400, "nonsense\r\n\r\n".to_owned()),
        (400, "POST /render HTTP/1.1\r\nContent-Length: 0\r\n\r\n".to_owned()),
        (
            400,
            "POST /render HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"
                .to_owned(),
        ),
        (404, "POST /nowhere HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 0\r\n\r\n".to_owned()),
        (405, "GET /render HTTP/1.1\r\nX-Request-Id: a\r\n\r\n".to_owned()),
        (409, valid.to_owned()),
        (413, "POST /render HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 99999999\r\n\r\n".to_owned()),
        (431, format!("POST /render HTTP/1.1\r\nX-Long: {long}")),
    ];
    for (status, text) in cases {
        for excess in [0, 1, 200, MAX_EXCESS_BYTES] {
            let mut client = harness.connect();
            let start = Instant::now();
            client.write(&text);
            // The client goes on sending while the response is in transit, and closes the
            // connection only after it has read the response.
            let mut writer = client.stream.try_clone().expect("a stream");
            let sender = std::thread::spawn(move || {
                for _ in 0..excess.div_ceil(CHUNK_BYTES) {
                    if writer
                        .write_all(&vec![b'x'; excess.min(CHUNK_BYTES)])
                        .is_err()
                    {
                        return;
                    }
                }
            });
            let mut response = String::new();
            client
                .stream
                .read_to_string(&mut response)
                .unwrap_or_else(|error| panic!("{status}, {excess}: {error}: {response}"));
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status} ")),
                "{status}, {excess}: {response}"
            );
            assert!(
                response.contains("Connection: close\r\n") && response.contains("\r\n\r\n"),
                "{response}"
            );
            assert!(
                start.elapsed() < Duration::from_secs(3),
                "{status}, {excess}"
            );
            sender.join().expect("the sender ends");
        }
    }
    // An incomplete request, followed by nothing, is answered in time.
    let mut incomplete = harness.connect();
    incomplete.write("POST /render HTTP/1.1\r\nX-Requ");
    let start = Instant::now();
    assert_eq!(incomplete.read_response().status, 408);
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(
        !harness.has_pending_connection(0),
        "none of the input reaches a worker"
    );
    drop((pending, worker));
    harness.stop();
}
