//! HTTP/1.1 messages as bytes: requests and responses are parsed from and written to buffers,
//! independently of sockets.

mod body;
mod message;
mod parse;
mod write;

pub use message::{
    ConnectionOption, Headers, MAX_BODY_BYTES, MAX_HEAD_BYTES, ParseError, ParseStatus, Request,
    Response,
};
pub use parse::{RequestProgress, RequestReader, read_request, read_response};
pub use write::{write_request, write_response};
