//! Bad input keeps its answers, readable at the other side also when more bytes are on their way; none of it reaches a worker.

#[path = "support/node_harness.rs"]
mod node_harness;

use node_harness::{NodeHarness, Peer};
use std::io::{Read as _, Write as _};
use std::time::{Duration, Instant};

/// What is sent behind, less than a node reads of a connection that closes.
const BEHIND: usize = 200 << 10;

/// Guards against a close over unread bytes, which resets the connection and takes the answer with it; against a client that
/// holds a connection by sending on; and against any of it at a worker.
#[test]
fn answers_to_bad_input_are_read_though_more_is_on_its_way() {
    let harness = NodeHarness::new(1, 256);
    let job =
        "POST /render HTTP/1.1\r\nX-Request-Id: held\r\nX-Deadline: 5\r\nContent-Length: 0\r\n\r\n";
    let mut holds = Peer::to(harness.node);
    holds.write(job);
    let mut worker = Peer::accept(&harness.workers[0]);
    worker.request();
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
        (409, job.to_owned()),
        (413, "POST /render HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 99999999\r\n\r\n".to_owned()),
        (431, format!("POST /render HTTP/1.1\r\nX-Long: {long}")),
    ];
    for (status, text) in cases {
        for behind in [0, 1, 200, BEHIND] {
            let mut client = Peer::to(harness.node);
            let start = Instant::now();
            client.write(&text);
            // It goes on while the answer is on its way, and ends only once it has read it.
            let mut writer = client.stream.try_clone().expect("a stream");
            let more = std::thread::spawn(move || {
                for _ in 0..behind.div_ceil(8192) {
                    if writer.write_all(&vec![b'x'; behind.min(8192)]).is_err() {
                        return;
                    }
                }
            });
            let mut answer = String::new();
            client
                .stream
                .read_to_string(&mut answer)
                .unwrap_or_else(|e| panic!("{status}, {behind}: {e}: {answer}"));
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{status}, {behind}: {answer}"
            );
            assert!(
                answer.contains("Connection: close\r\n") && answer.contains("\r\n\r\n"),
                "{answer}"
            );
            assert!(
                start.elapsed() < Duration::from_secs(3),
                "{status}, {behind}"
            );
            more.join().expect("it ends");
        }
    }
    // Half a request, and then nothing: told in time.
    let mut half = Peer::to(harness.node);
    half.write("POST /render HTTP/1.1\r\nX-Requ");
    let start = Instant::now();
    assert_eq!(half.response().status, 408);
    assert!(start.elapsed() < Duration::from_secs(3));
    harness.workers[0].set_nonblocking(true).expect("a setting");
    assert!(
        harness.workers[0].accept().is_err(),
        "nothing of it reaches a worker"
    );
    drop((holds, worker));
    harness.stop();
}
