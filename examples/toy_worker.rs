//! A toy to try a node with: one worker, and the discovery that lists it.
//!
//!     cargo run --example toy_worker -- 127.0.0.1:9001 127.0.0.1:8500 127.0.0.1:8080
//!
//! The addresses are the worker's, discovery's and the node's, as in `examples/config.json`. Each job is
//! taken, and done 200 ms later; its result is its body in capitals.

use postproxy::net::http::{self, Read, Request};
use std::io::{Read as _, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

type Failure = Box<dyn std::error::Error + Send + Sync>;

fn main() -> Result<(), Failure> {
    let [worker, discovery, node] = &std::env::args().skip(1).collect::<Vec<_>>()[..] else {
        return Err("usage: toy_worker WORKER DISCOVERY NODE".into());
    };
    let (list, node) = (members(worker), node.clone());
    let (discovery, worker) = (TcpListener::bind(discovery)?, TcpListener::bind(worker)?);
    thread::spawn(move || serve(&discovery, move |request| Ok(tell(request, &list))));
    serve(&worker, move |request| Ok(take(request, &node)));
    Ok(())
}

fn members(worker: &str) -> String {
    format!(
        r#"[{{"id":"s-toy","host_port":"{worker}","locality":"riga","flavor":"std-4","cell":1,"phase":"in_service","size":1.0,"up_since_ms":0}}]"#
    )
}

/// Serves every connection in a thread of its own.
fn serve(
    listener: &TcpListener,
    answer: impl Fn(&Request) -> Result<(u16, String), Failure> + Clone + Send + 'static,
) {
    for stream in listener.incoming().flatten() {
        let answer = answer.clone();
        thread::spawn(move || {
            if let Err(error) = talk(stream, answer) {
                eprintln!("toy_worker: {error}");
            }
        });
    }
}

fn talk(
    mut stream: TcpStream,
    answer: impl Fn(&Request) -> Result<(u16, String), Failure>,
) -> Result<(), Failure> {
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        match http::read_request(&input).map_err(|flaw| format!("a request that is none: {flaw:?}"))? {
            Read::Whole(request, size) => {
                input.drain(..size);
                let (status, body) = answer(&request)?;
                let mut out = Vec::new();
                http::write_response(&mut out, status, &[], body.as_bytes(), false);
                stream.write_all(&out)?;
            }
            _ => match stream.read(&mut bytes)? {
                0 => return Ok(()),
                size => input.extend(&bytes[..size]),
            },
        }
    }
}

/// Discovery: the whole list, or after the time that a watch may wait that nothing has changed.
fn tell(request: &Request, list: &str) -> (u16, String) {
    let wait = request.target.split("timeout_ms=").nth(1).and_then(|ms| ms.parse().ok());
    let Some(wait) = wait else {
        return (200, format!(r#"{{"revision":1,"complete":true,"members":{list}}}"#));
    };
    thread::sleep(Duration::from_millis(wait));
    (200, r#"{"revision":1,"complete":false,"members":[]}"#.to_owned())
}

/// The worker: takes a job and reports its end to the node later.
fn take(request: &Request, node: &str) -> (u16, String) {
    let id = request.headers.get("x-request-id").unwrap_or_default().to_owned();
    println!("{} {} {id}", request.method, request.target);
    if request.method == "POST" {
        let (result, node) = (String::from_utf8_lossy(&request.body).to_uppercase(), node.to_owned());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(200));
            let event = serde_json::json!({"id": id, "from": "s-toy", "state": "done", "result": result,
                                           "load": {"queue": 0, "eps": 0.0, "x0": 4}});
            if let Err(error) = report(&node, &event.to_string()) {
                eprintln!("toy_worker: telling {node}: {error}");
            }
        });
    }
    (if request.method == "POST" { 202 } else { 200 }, String::new())
}

fn report(node: &str, event: &str) -> Result<(), Failure> {
    let mut out = Vec::new();
    http::write_request(&mut out, "POST", "/v1/job-events", &[("Connection", "close")], event.as_bytes());
    let mut stream = TcpStream::connect(node)?;
    stream.write_all(&out)?;
    stream.read_to_end(&mut Vec::new())?;
    Ok(())
}
