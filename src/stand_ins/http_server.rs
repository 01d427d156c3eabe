//! An HTTP server with a thread for each connection.

use crate::net::transport::http::{self, ConnectionOption, ParseStatus, Request};
use std::io::{self, Read as _, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

/// A response to a request.
#[derive(Clone, Debug)]
pub(super) struct ServerResponse {
    pub(super) status: u16,
    pub(super) body: String,
}

/// Serves every connection in its own thread until the process exits.
pub(super) fn serve(
    listener: TcpListener,
    handle_request: impl Fn(&Request) -> ServerResponse + Clone + Send + 'static,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle_request = handle_request.clone();
            thread::spawn(move || {
                // Clients may close their connections at any time, which is no failure of the
                // server.
                let _ = serve_connection(stream, handle_request);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handle_request: impl Fn(&Request) -> ServerResponse,
) -> io::Result<()> {
    let mut input = Vec::new();
    let mut bytes = [0; 4096];
    stream.set_nodelay(true)?;
    loop {
        let read =
            http::read_request(&input).map_err(|error| io::Error::other(format!("{error:?}")))?;
        match read {
            ParseStatus::Complete {
                message: request,
                size,
            } => {
                input.drain(..size);
                let ServerResponse { status, body } = handle_request(&request);
                let mut response = Vec::new();
                http::write_response(
                    &mut response,
                    status,
                    &[],
                    body.as_bytes(),
                    ConnectionOption::KeepAlive,
                );
                stream.write_all(&response)?;
            }
            _ => match stream.read(&mut bytes)? {
                0 => return Ok(()),
                size => input.extend(&bytes[..size]),
            },
        }
    }
}
