//! The real program under the operations that operators perform: workers are suspended, the node is
//! drained, and its process is replaced, under load from stand-in clients and workers. All
//! processes of the node inherit the same listener.

#[path = "support/node_harness.rs"]
mod node_harness;
#[path = "support/program_harness.rs"]
mod program_harness;

use node_harness::{TEST_TIMEOUT, TestSocket};
use postproxy::stand_ins::send_request;
use postproxy_fault_injection::wait_until;
use program_harness::{ClientLoad, NodeProcess, ProgramHarness, StartedProcess};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixListener;
use std::process::{Command, Output, Stdio};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Guards against a request that is lost, rejected or run twice when the process is replaced,
/// against a callback that reaches the wrong process, and against a replacement that takes too
/// long.
#[test]
fn ten_replacements_under_load_lose_nothing() {
    let harness = ProgramHarness::new("replace");
    let mut process = harness.start();
    let load = ClientLoad::start(harness.address, 8);
    load.wait_for_served(40);
    let mut slowest_start = Duration::ZERO;
    for _ in 0..10 {
        let next = harness.start_with(|_| {});
        slowest_start = slowest_start.max(next.ready_after);
        process.signal_stop();
        let end = process.wait_for_end();
        assert!(
            end.successful && end.after < ms(3700),
            "the old process: {end:?}"
        );
        process = next.process;
        load.wait_for_served(40);
    }
    // Two more in quick succession: the second one starts before the process that the first one
    // replaces has exited.
    let second = harness.start();
    process.signal_stop();
    let third = harness.start();
    second.signal_stop();
    load.wait_for_served(40);
    let mut ending = [process, second];
    assert!(
        ending
            .iter_mut()
            .all(|process| process.wait_for_end().successful)
    );
    load.wait_for_served(40);
    let result = load.finish();
    let run_counts = harness.run_counts();
    let run_twice: Vec<_> = run_counts.iter().filter(|(_, times)| **times > 1).collect();
    assert!(run_twice.is_empty(), "run twice: {run_twice:?}");
    println!("12 replacements: {result:?}, slowest start {slowest_start:?}");
    assert_eq!((result.unanswered, result.rejected), (0, 0), "{result:?}");
    assert!(slowest_start < ms(3000), "{slowest_start:?}");
    drop(third);
}

/// Submits a long job on a thread of its own; returns the status code of the response, `None` if
/// there was none.
fn submit_long_job(address: SocketAddr, number: usize) -> JoinHandle<Option<u16>> {
    thread::spawn(move || {
        let id = format!("long-{number}");
        let fields = [
            ("X-Request-Id", id.as_str()),
            ("Idempotency-Key", &id),
            ("X-Deadline", "6"),
        ];
        let path = if number.is_multiple_of(2) {
            "/day-plan/x"
        } else {
            "/reroute/x"
        };
        let answer = send_request(address, "POST", path, &fields, b"long").ok()?;
        assert!(answer.status != 200 || answer.body == b"LONG");
        Some(answer.status)
    })
}

/// Sends a request with this id, which is its idempotency key as well, and a body of one byte.
fn write_request(socket: &mut TestSocket, id: &str) {
    socket.write(&format!(
        "POST /reroute/x HTTP/1.1\r\nX-Request-Id: {id}\r\nIdempotency-Key: {id}\r\n\
         Content-Length: 1\r\n\r\nx"
    ));
}

/// Signals a process to stop while jobs run, and checks that it doesn't wait for them.
fn stop_without_waiting_for_jobs(mut process: NodeProcess) {
    process.signal_stop();
    let end = process.wait_for_end();
    assert!(
        end.successful && end.after < ms(1500),
        "the process waited for its jobs: {end:?}"
    );
}

/// Guards against a job that is lost with the process that accepted it, and against a process that
/// waits for its jobs before it exits. Requests in flight migrate with their client connections,
/// here through two replacements, and callbacks of their workers reach the process that has them.
#[test]
fn requests_in_flight_survive_replacements_of_the_process() {
    const JOBS: usize = 12;
    let harness = ProgramHarness::with_service_times("long", &[2500]);
    let first = harness.start();
    let clients: Vec<JoinHandle<Option<u16>>> = (0..JOBS)
        .map(|number| submit_long_job(harness.address, number))
        .collect();
    // This client disconnects later: the process that has its job by then cancels it.
    let mut leaving = TestSocket::connect(harness.address);
    write_request(&mut leaving, "gone");
    let start = Instant::now();
    while harness.run_counts().len() < JOBS + 1 {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "not all jobs reach the workers"
        );
        sleep(ms(5));
    }
    let second = harness.start();
    stop_without_waiting_for_jobs(first);
    // A job that was submitted to the first process is known to the second.
    let duplicate = [("X-Request-Id", "long-3"), ("Idempotency-Key", "other")];
    assert_eq!(
        send_request(harness.address, "POST", "/reroute/x", &duplicate, b"x")
            .expect("an answer")
            .status,
        409
    );
    let mut third = harness.start();
    stop_without_waiting_for_jobs(second);
    drop(leaving);
    let statuses: Vec<Option<u16>> = clients
        .into_iter()
        .map(|client| client.join().expect("a client without an error"))
        .collect();
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
    let run_counts = harness.run_counts();
    assert!(
        run_counts.len() == JOBS + 1 && run_counts.values().all(|times| *times == 1),
        "{run_counts:?}"
    );
    let answered = start.elapsed();
    while harness.workers[0].acknowledged().len() < JOBS + 1 {
        assert!(
            start.elapsed() < answered + TEST_TIMEOUT,
            "a callback is not acknowledged"
        );
        sleep(ms(5));
    }
    third.signal_stop();
    assert!(third.wait_for_end().successful);
}

/// Guards against requests to a suspended worker, also if it was suspended at another process or
/// the process was replaced, and against a resumed worker that stays idle.
#[test]
fn a_suspended_worker_stays_suspended_over_a_replacement() {
    let harness = ProgramHarness::new("suspend");
    let mut process = harness.start();
    let load = ClientLoad::start(harness.address, 6);
    load.wait_for_served(60);
    // The first six requests may all go to other workers, which are then known to have capacity;
    // after that, only one request in twenty goes to a worker that has not reported its load.
    assert!(
        wait_until(TEST_TIMEOUT, || harness.runs_of_worker(0) > 0),
        "the worker is never selected"
    );
    assert_eq!(process.post("/v1/route-workers/nobody/suspend"), 404);
    assert_eq!(process.post("/v1/route-workers/s-0/suspend"), 200);
    assert_eq!(
        process.post("/v1/route-workers/s%2D0/suspend"),
        200,
        "twice"
    );
    sleep(ms(50));
    let runs_of_first = harness.runs_of_worker(0);
    load.wait_for_served(60);
    let mut next = harness.start();
    assert_eq!(next.post("/v1/route-workers/s-1/suspend"), 200);
    sleep(ms(50));
    let runs_of_second = harness.runs_of_worker(1);
    load.wait_for_served(30);
    process.signal_stop();
    assert!(process.wait_for_end().successful);
    load.wait_for_served(60);
    assert_eq!(
        (harness.runs_of_worker(0), harness.runs_of_worker(1)),
        (runs_of_first, runs_of_second),
        "a suspended worker got a request"
    );
    assert_eq!(next.post("/v1/route-workers/s-0/resume"), 200);
    let resumed_at = Instant::now();
    while harness.runs_of_worker(0) == runs_of_first {
        assert!(
            resumed_at.elapsed() < ms(5000),
            "a resumed worker gets no request"
        );
        sleep(ms(5));
    }
    let idle = resumed_at.elapsed();
    assert_eq!(harness.runs_of_worker(1), runs_of_second);
    let result = load.finish();
    println!("{result:?}; used again after {idle:?}");
    assert_eq!((result.rejected, result.unanswered), (0, 0));
    next.signal_stop();
    assert!(next.wait_for_end().successful);
}

/// Guards against a drained node that still reports readiness or keeps client connections open,
/// against one that can't be activated, and against a replacement that ends the drain.
#[test]
fn a_drained_node_closes_its_connections_until_it_is_activated() {
    let harness = ProgramHarness::new("drain");
    let mut process = harness.start();
    assert_eq!(
        (harness.readiness(), process.post("/v1/node/activate")),
        (200, 200),
        "without a drain, there is nothing to do"
    );
    let mut persistent: Vec<TestSocket> = (0..6)
        .map(|n| {
            let mut socket = TestSocket::connect(harness.address);
            write_request(&mut socket, &format!("k-{n}"));
            let response = socket.try_read_response();
            assert_eq!(
                response.map(|response| (response.status, response.keep_alive)),
                Some((200, true))
            );
            socket
        })
        .collect();
    assert_eq!(process.post("/v1/node/drain"), 200);
    let start = Instant::now();
    assert_eq!(harness.readiness(), 500);
    assert_eq!(process.post("/v1/node/drain"), 200, "twice");
    // New clients are served, and their connections closed.
    let response = harness.submit("new", &[]);
    assert_eq!((response.status, response.keep_alive), (200, false));
    let mut next = harness.start();
    process.signal_stop();
    assert_eq!(
        harness.readiness(),
        500,
        "the drain outlives the replacement"
    );
    for socket in &mut persistent {
        assert_eq!(socket.stream.read(&mut [0; 64]).expect("its end"), 0);
    }
    assert!(
        start.elapsed() < ms(3500),
        "closed after {:?}",
        start.elapsed()
    );
    assert!(process.wait_for_end().successful);
    assert_eq!(next.post("/v1/node/activate"), 200);
    assert_eq!(harness.readiness(), 200);
    next.signal_stop();
    assert!(next.wait_for_end().successful);
}

/// Starts a process with a changed command, has it serve a request, and ends it.
fn assert_serves(
    harness: &ProgramHarness,
    case: &str,
    max_start: Duration,
    change: &dyn Fn(&mut Command),
) {
    let StartedProcess {
        process,
        ready_after,
    } = harness.start_with(|command| change(command));
    assert!(ready_after < max_start, "{case}: {ready_after:?}");
    let id = format!("m-{}", case.replace(' ', "-"));
    assert_eq!(
        harness.submit(&id, &[("Connection", "close")]).status,
        200,
        "{case}"
    );
    drop(process);
}

/// Guards against a start that fails or takes too long because of what is at the path of the
/// handover socket: nothing, a file, the socket of a killed process, a missing folder, or a peer
/// that is silent, speaks another protocol, or stalls.
#[test]
fn a_process_serves_whatever_is_at_the_handover_socket() {
    let harness = ProgramHarness::new("meet");
    let handover_socket = harness.folder.join("tmp").join("postproxy-n0.handover");
    let second = ms(1000);
    assert_serves(&harness, "nothing", second, &|_| {});
    assert_serves(&harness, "the socket of a killed process", second, &|_| {});
    std::fs::remove_file(&handover_socket).expect("it was left");
    std::fs::write(&handover_socket, b"a file").expect("a file");
    assert_serves(&harness, "a file", second, &|_| {});
    assert_serves(&harness, "no folder", second, &|command| {
        command
            .env("TMPDIR", "/dev/null/none")
            .stderr(Stdio::null());
    });
    assert_serves(&harness, "TMPDIR not set", second, &|command| {
        command.env_remove("TMPDIR").stderr(Stdio::null());
    });
    let long = harness.folder.join("l".repeat(120));
    std::fs::create_dir_all(&long).expect("a folder");
    assert_serves(&harness, "a long path", second, &|command| {
        command.env("TMPDIR", &long);
    });
    assert!(long.join("postproxy-n0.handover").exists());
    for greeting in [
        &b""[..],
        b"HTTP/1.1 400 Bad Request\r\n\r\n",
        b"ppho\r\n\xff\xff",
        b"ppho\r\n\x00\x01\xff\xff\xff\xff",
    ] {
        let _ = std::fs::remove_file(&handover_socket);
        let listener = UnixListener::bind(&handover_socket).expect("a socket");
        let peer = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a link");
            stream.write_all(greeting).expect("it is written");
            sleep(ms(2500));
        });
        assert_serves(&harness, "another peer", ms(2500), &|command| {
            command.stderr(Stdio::null());
        });
        peer.join().expect("it ends");
    }
    assert_replaces_paused_and_killed_processes(&harness);
}

/// Checks that a process takes over although the older one is paused or killed during the handover.
fn assert_replaces_paused_and_killed_processes(harness: &ProgramHarness) {
    let mut first = harness.start();
    first.pause();
    let second = harness.start_with(|command| {
        command.stderr(Stdio::null());
    });
    assert!(second.ready_after < ms(2500), "{:?}", second.ready_after);
    let second = second.process;
    assert_eq!(second.post("/v1/route-workers/s-0/suspend"), 200);
    drop(first);
    let third = harness.start();
    drop(second);
    assert_eq!(harness.readiness(), 200);
    assert_eq!(third.post("/v1/route-workers/s-0/resume"), 200);
}

/// Runs a process with this environment variable that is expected to fail at its start.
fn run_with(harness: &ProgramHarness, variable: &str, value: &str) -> Output {
    let mut command = harness.command().command;
    command
        .env(variable, value)
        .output()
        .expect("the program starts")
}

/// Guards against serving on a descriptor that is not the node's listener, and against an error
/// message that does not name the environment variable.
#[test]
fn a_start_without_the_nodes_listener_fails() {
    let harness = ProgramHarness::new("fd");
    let other = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    other
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .expect("a port");
    other.set_cloexec(false).expect("it is inherited");
    let assert_rejected = |descriptor: &str, reason: &str| {
        let output = run_with(&harness, "RELAY_SOCKET_FD", descriptor);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{descriptor}: {text}");
        assert!(
            text.contains("RELAY_SOCKET_FD") && text.contains(reason) && text.lines().count() == 1,
            "{text}"
        );
    };
    let other_descriptor = other.as_raw_fd().to_string();
    assert_rejected("x", "above 2");
    assert_rejected("1", "above 2");
    assert_rejected("900", "not open");
    assert_rejected(&other_descriptor, "does not listen");
    other.listen(1).expect("it listens");
    assert_rejected(&other_descriptor, "listens at 127.0.0.1:");
    let output = run_with(&harness, "RELAY_MGMT", &harness.address.to_string());
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("RELAY_MGMT"),
        "{output:?}"
    );
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address_in_use = listener.local_addr().expect("an address").to_string();
    let output = run_with(&harness, "RELAY_MGMT", &address_in_use);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        String::from_utf8_lossy(&output.stderr).contains(&address_in_use),
        "an address in use: {output:?}"
    );
    let output = run_with(&harness, "RELAY_MGMT", "here");
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("RELAY_MGMT: 'here'"),
        "{output:?}"
    );
}

/// Submits a request on a connection of its own; returns the status code of the response.
fn submit_status(harness: &ProgramHarness, id: &str) -> u16 {
    harness.submit(id, &[("Connection", "close")]).status
}

/// Checks that a process which is signalled to reload and to stop before it is ready exits, and
/// that the older process, which was paused, continues to serve.
fn assert_stops_before_it_is_ready(harness: &ProgramHarness, older: &mut NodeProcess) {
    older.pause();
    let mut command = harness.command();
    command.command.stderr(Stdio::null());
    let mut early = NodeProcess::spawn(command);
    let start = Instant::now();
    while early.readiness().is_none() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "the management API does not answer"
        );
        sleep(ms(2));
    }
    assert_eq!(
        early.readiness(),
        Some(503),
        "it waits for the older process"
    );
    early.signal_reload();
    early.signal_stop();
    let end = early.wait_for_end();
    assert!(end.successful && end.after < ms(800), "{end:?}");
    older.resume();
    assert_eq!(
        submit_status(harness, "after"),
        200,
        "the older process continues to serve"
    );
}

/// Checks that during a drain a reload changes nothing and a stop ends the process, with a
/// replacement and without one.
fn assert_signals_work_in_a_drain(harness: &ProgramHarness, mut first: NodeProcess) {
    assert_eq!(first.post("/v1/node/drain"), 200);
    first.signal_reload();
    assert_eq!(
        (submit_status(harness, "drained"), harness.readiness()),
        (200, 500)
    );
    let mut second = harness.start();
    second.signal_reload();
    first.signal_reload();
    first.signal_stop();
    first.signal_reload();
    assert!(first.wait_for_end().successful);
    assert_eq!(
        (submit_status(harness, "over"), harness.readiness()),
        (200, 500)
    );
    second.signal_stop();
    assert!(
        second.wait_for_end().successful,
        "a drained process exits without a successor"
    );
}

/// Kills processes while they hand over, under load, and checks that no request is run more often
/// than it was submitted and that the new process serves. Requests in flight may fail.
fn assert_kills_run_nothing_twice(harness: &ProgramHarness) {
    let mut process = harness.start();
    let load = ClientLoad::start(harness.address, 8);
    for _ in 0..6 {
        load.wait_for_served(30);
        let next = harness.start();
        process.signal_stop();
        process.kill();
        process.wait_for_end();
        process = next;
    }
    load.wait_for_served(60);
    let result = load.finish();
    let run_counts = harness.run_counts();
    let submissions = |job: &String| 1 + result.retries.get(job).copied().unwrap_or(0);
    let run_too_often: Vec<_> = run_counts
        .iter()
        .filter(|(job, times)| **times > submissions(job))
        .collect();
    assert!(
        run_too_often.is_empty(),
        "run more often than submitted: {run_too_often:?}"
    );
    println!("6 kills in a handover: {result:?}");
    assert!(
        result.served > 240 && result.unanswered <= 6 * 8,
        "{result:?}"
    );
}

/// Guards against a signal to stop or to reload that is mishandled before the process is ready or
/// during a drain, and against a request that is run twice because an old process is killed while
/// it hands over.
#[test]
fn signals_work_at_any_moment() {
    let harness = ProgramHarness::new("signals");
    let mut first = harness.start();
    assert_stops_before_it_is_ready(&harness, &mut first);
    assert_signals_work_in_a_drain(&harness, first);
    assert_kills_run_nothing_twice(&harness);
}
