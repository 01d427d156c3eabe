//! Responses to bad input can be read by the client also when it goes on sending; none of the input
//! reaches a worker.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::NodeHarness;
use std::io::{Read as _, Write as _};
use std::time::{Duration, Instant};

/// Bytes sent behind a request: less than a node discards of a connection that closes.
const BYTES_BEHIND: usize = 200 << 10;
/// Bytes that a client sends behind its request at a time.
const PIECE_BYTES: usize = 8192;

/// Guards against a close with unread bytes, which resets the connection and destroys the response;
/// against a client that holds a connection by sending on; and against any of the input at a
/// worker.
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
        for behind in [0, 1, 200, BYTES_BEHIND] {
            let mut client = harness.connect();
            let start = Instant::now();
            client.write(&text);
            // It goes on while the response is on its way, and closes only once it has read that.
            let mut writer = client.stream.try_clone().expect("a stream");
            let sender = std::thread::spawn(move || {
                for _ in 0..behind.div_ceil(PIECE_BYTES) {
                    if writer
                        .write_all(&vec![b'x'; behind.min(PIECE_BYTES)])
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
                .unwrap_or_else(|error| panic!("{status}, {behind}: {error}: {response}"));
            assert!(
                response.starts_with(&format!("HTTP/1.1 {status} ")),
                "{status}, {behind}: {response}"
            );
            assert!(
                response.contains("Connection: close\r\n") && response.contains("\r\n\r\n"),
                "{response}"
            );
            assert!(
                start.elapsed() < Duration::from_secs(3),
                "{status}, {behind}"
            );
            sender.join().expect("it ends");
        }
    }
    // Half a request, and then nothing: the response comes in time.
    let mut half = harness.connect();
    half.write("POST /render HTTP/1.1\r\nX-Requ");
    let start = Instant::now();
    assert_eq!(half.read_response().status, 408);
    assert!(start.elapsed() < Duration::from_secs(3));
    assert!(
        !harness.has_pending_connection(0),
        "some of the input reached a worker"
    );
    drop((pending, worker));
    harness.stop();
}
