//! An HTTP client that opens a new connection for each request.

use crate::net::transport::http::{self, ParseStatus};
use std::io::{self, Read as _, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long the client waits for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a request on a new connection, and returns the whole response.
///
/// # Errors
///
/// If the connection can't be made, closes before the response is complete, or is silent for
/// 20 seconds; if the response can't be parsed.
pub fn send_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<http::Response> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let mut request = Vec::new();
    http::write_request(&mut request, method, target, fields, body);
    stream.write_all(&request)?;
    let mut input = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        let size = stream.read(&mut bytes)?;
        input.extend(&bytes[..size]);
        let is_closed = size == 0;
        let read = http::read_response(&input, is_closed, http::MAX_BODY_BYTES);
        match read.map_err(|error| io::Error::other(format!("{error:?}")))? {
            ParseStatus::Complete { message, .. } => return Ok(message),
            _ if is_closed => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => {}
        }
    }
}
