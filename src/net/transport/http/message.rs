//! HTTP message types, their size limits and parse errors.

/// Largest head of a message, in bytes: start line and header fields.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest body of a message between clients, this node and workers, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest number of header fields in a message; more are rejected like a head that is too large.
pub(super) const MAX_HEADERS: usize = 64;

/// Why bytes are not an acceptable message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParseError {
    /// Not HTTP/1, or framing that conflicts.
    Malformed,
    /// The head is too large.
    HeadTooLarge,
    /// The body is too large.
    BodyTooLarge,
}

impl ParseError {
    /// The HTTP status code that reports this error to a client.
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
        }
    }
}

/// The header fields of a message, in the order of their arrival.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Headers(Vec<(String, String)>);

impl Headers {
    /// Copies parsed header fields; bytes that are not UTF-8 are replaced, white space around
    /// values is removed.
    pub(super) fn from_parsed(fields: &[httparse::Header<'_>]) -> Self {
        let text = |value: &[u8]| String::from_utf8_lossy(value).trim().to_owned();
        let fields = fields
            .iter()
            .map(|field| (field.name.to_owned(), text(field.value)));
        Self(fields.collect())
    }

    /// Returns the value of the first field with this name; names are compared without regard to
    /// case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the value of the only field with this name; names are compared without regard to
    /// case.
    ///
    /// # Errors
    ///
    /// [`ParseError::Malformed`] if there are several fields: other recipients of the message might
    /// use a different one.
    pub fn get_unique(&self, name: &str) -> Result<Option<&str>, ParseError> {
        if self.get_all(name).count() > 1 {
            Err(ParseError::Malformed)
        } else {
            Ok(self.get(name))
        }
    }

    /// Returns the values of all fields with this name.
    pub(super) fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether the comma-separated list in this field contains the token, without regard to case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .flat_map(|value| value.split(','))
            .any(|element| element.trim().eq_ignore_ascii_case(token))
    }
}

/// A complete request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open after the response.
    pub keep_alive: bool,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the peer keeps the connection open after this response.
    pub keep_alive: bool,
}

/// How much of a message has arrived.
#[derive(Clone, Debug, PartialEq)]
pub enum ParseStatus<T> {
    /// The head is incomplete.
    HeadIncomplete,
    /// The head is complete, the body is not.
    BodyIncomplete {
        /// The peer sent `Expect: 100-continue` and may wait for an interim response before it
        /// sends the body.
        expects_continue: bool,
    },
    /// The message is complete.
    Complete {
        /// The message.
        message: T,
        /// Bytes to remove from the front of the input.
        size: usize,
    },
}

/// What a response announces about its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOption {
    /// The connection stays open for further requests.
    KeepAlive,
    /// The connection is closed after this response.
    Close,
}
