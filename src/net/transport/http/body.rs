//! Incremental decoding of message bodies: by length, chunked, or up to the end of the connection.

use super::message::{MAX_HEAD_BYTES, MAX_HEADERS, ParseError};

/// Number of bytes by which the chunk framing of a body may exceed its data; this limits bodies of
/// endless tiny chunks.
const MAX_FRAMING_BYTES: usize = 64 * 1024;
/// Longest line with a chunk's size and extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// The line end after a chunk's data.
const CRLF: &[u8] = b"\r\n";

/// How the end of a body is determined.
pub(super) enum BodyFraming {
    /// The body has this number of bytes.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// What the decoder expects next.
#[derive(Clone, Copy)]
enum BodyState {
    /// The remaining bytes of a body of known length.
    FixedLengthData { remaining: usize },
    /// All bytes until the connection ends.
    DataUntilClose,
    /// The line with a chunk's size.
    ChunkSize,
    /// The remaining bytes of a chunk.
    ChunkData { remaining: usize },
    /// The line end after a chunk's data.
    ChunkEnd,
    /// The trailer fields after the last chunk.
    Trailers,
}

/// The result of one decoding step, with the number of bytes that it consumed from the front of the
/// input.
enum Step {
    /// The next step can follow.
    Advanced(usize),
    /// More input is needed.
    NeedsInput(usize),
    /// The body is complete.
    Complete(usize),
}

/// How far a body was decoded in one call.
pub(super) struct BodyProgress {
    /// Bytes consumed from the front of the input.
    pub(super) consumed: usize,
    /// Whether the body is complete.
    pub(super) complete: bool,
}

/// Decodes a body that arrives in pieces; each byte is examined once.
pub(super) struct BodyReader {
    state: BodyState,
    /// Largest body that is accepted, in bytes.
    max_bytes: usize,
    /// Bytes of chunk framing so far.
    framing_bytes: usize,
    data: Vec<u8>,
}

impl BodyReader {
    /// Creates a decoder for a body with this framing.
    ///
    /// # Errors
    ///
    /// [`ParseError::BodyTooLarge`] if the announced length is above `max_bytes`.
    pub(super) fn new(framing: &BodyFraming, max_bytes: usize) -> Result<Self, ParseError> {
        let state = match framing {
            BodyFraming::Length(size) if *size > max_bytes => return Err(ParseError::BodyTooLarge),
            BodyFraming::Length(size) => BodyState::FixedLengthData { remaining: *size },
            BodyFraming::Chunked => BodyState::ChunkSize,
            BodyFraming::UntilClose => BodyState::DataUntilClose,
        };
        Ok(Self {
            state,
            max_bytes,
            framing_bytes: 0,
            data: Vec::new(),
        })
    }

    /// The decoded bytes.
    pub(super) fn into_data(self) -> Vec<u8> {
        self.data
    }

    /// Decodes as much of the input as possible; `end_of_stream` says that no more input can
    /// follow.
    ///
    /// # Errors
    ///
    /// If the framing is malformed or a limit is exceeded.
    pub(super) fn read(
        &mut self,
        input: &[u8],
        end_of_stream: bool,
    ) -> Result<BodyProgress, ParseError> {
        let mut consumed = 0;
        loop {
            if self.framing_bytes > self.data.len() + MAX_FRAMING_BYTES {
                return Err(ParseError::BodyTooLarge);
            }
            let (step, complete) = match self.read_step(&input[consumed..], end_of_stream)? {
                Step::Advanced(size) => {
                    consumed += size;
                    continue;
                }
                Step::NeedsInput(size) => (size, false),
                Step::Complete(size) => (size, true),
            };
            return Ok(BodyProgress {
                consumed: consumed + step,
                complete,
            });
        }
    }

    fn read_step(&mut self, input: &[u8], end_of_stream: bool) -> Result<Step, ParseError> {
        match self.state {
            BodyState::FixedLengthData { remaining } => {
                Ok(self.read_fixed_length_data(input, remaining))
            }
            BodyState::DataUntilClose => self.read_data_until_close(input, end_of_stream),
            BodyState::ChunkSize => self.read_chunk_size(input),
            BodyState::ChunkData { remaining } => Ok(self.read_chunk_data(input, remaining)),
            BodyState::ChunkEnd => self.read_chunk_end(input),
            BodyState::Trailers => read_trailers(input),
        }
    }

    /// Appends up to `remaining` bytes of the input to the data; returns the number of bytes
    /// appended.
    fn append(&mut self, input: &[u8], remaining: usize) -> usize {
        let size = remaining.min(input.len());
        if self.data.is_empty() {
            self.data.reserve_exact(remaining);
        }
        self.data.extend_from_slice(&input[..size]);
        size
    }

    fn read_fixed_length_data(&mut self, input: &[u8], remaining: usize) -> Step {
        let size = self.append(input, remaining);
        if size == remaining {
            return Step::Complete(size);
        }
        self.state = BodyState::FixedLengthData {
            remaining: remaining - size,
        };
        Step::NeedsInput(size)
    }

    fn read_data_until_close(
        &mut self,
        input: &[u8],
        end_of_stream: bool,
    ) -> Result<Step, ParseError> {
        if self.data.len() + input.len() > self.max_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        self.data.extend_from_slice(input);
        Ok(if end_of_stream {
            Step::Complete(input.len())
        } else {
            Step::NeedsInput(input.len())
        })
    }

    fn read_chunk_size(&mut self, input: &[u8]) -> Result<Step, ParseError> {
        let parsed = httparse::parse_chunk_size(input).map_err(|_| ParseError::Malformed)?;
        let (line, size) = match parsed {
            httparse::Status::Partial if input.len() > MAX_CHUNK_LINE_BYTES => {
                return Err(ParseError::Malformed);
            }
            httparse::Status::Partial => return Ok(Step::NeedsInput(0)),
            httparse::Status::Complete(parsed) => parsed,
        };
        if size > (self.max_bytes - self.data.len()) as u64 {
            return Err(ParseError::BodyTooLarge);
        }
        self.framing_bytes += line;
        self.state = if size > 0 {
            BodyState::ChunkData {
                remaining: size as usize,
            }
        } else {
            BodyState::Trailers
        };
        Ok(Step::Advanced(line))
    }

    fn read_chunk_data(&mut self, input: &[u8], remaining: usize) -> Step {
        let size = self.append(input, remaining);
        if size == remaining {
            self.state = BodyState::ChunkEnd;
            return Step::Advanced(size);
        }
        self.state = BodyState::ChunkData {
            remaining: remaining - size,
        };
        Step::NeedsInput(size)
    }

    fn read_chunk_end(&mut self, input: &[u8]) -> Result<Step, ParseError> {
        if input.len() < CRLF.len() {
            return Ok(Step::NeedsInput(0));
        }
        if !input.starts_with(CRLF) {
            return Err(ParseError::Malformed);
        }
        self.framing_bytes += CRLF.len();
        self.state = BodyState::ChunkSize;
        Ok(Step::Advanced(CRLF.len()))
    }
}

/// Skips the trailer fields of a chunked body, which are not used.
fn read_trailers(input: &[u8]) -> Result<Step, ParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = httparse::parse_headers(input, &mut fields).map_err(|_| ParseError::Malformed)?;
    match parsed {
        httparse::Status::Complete((size, _)) => Ok(Step::Complete(size)),
        httparse::Status::Partial if input.len() > MAX_HEAD_BYTES => Err(ParseError::HeadTooLarge),
        httparse::Status::Partial => Ok(Step::NeedsInput(0)),
    }
}
