//! A connection: its buffers and its state. Its owner is notified of events through callbacks.

use std::io::{self, ErrorKind, Read, Write};

/// The byte stream under a connection.
pub trait Stream: Read + Write {
    /// Closes the sending side; nothing more is written.
    fn shutdown_write(&mut self);
    /// Returns the result of connecting; called when a dialled stream first becomes ready.
    ///
    /// # Errors
    ///
    /// If connecting has failed.
    fn connected(&mut self) -> io::Result<()>;
}

impl Stream for std::net::TcpStream {
    fn shutdown_write(&mut self) {
        let _ = self.shutdown(std::net::Shutdown::Write);
    }

    fn connected(&mut self) -> io::Result<()> {
        self.take_error()?.map_or(Ok(()), Err)?;
        self.peer_addr().map(drop)
    }
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The connection is being established.
    Dialing,
    /// Both sides may send.
    Open,
    /// The peer has closed its sending side; queued output can still be written.
    HalfClosed,
    /// Lingering close: queued output is written, then the connection waits for the peer to close
    /// its side. Input is discarded.
    Closing,
    /// The connection has ended.
    Ended,
}

/// The owner's callbacks. Each of them may call methods of the connection.
pub trait Callbacks<S> {
    /// The connection has been established.
    fn opened(&mut self, _connection: &mut Connection<S>) {}
    /// Bytes have arrived, or the peer has closed its sending side.
    fn received(&mut self, connection: &mut Connection<S>);
    /// The connection has ended; called once, and not if the owner aborted it.
    fn ended(&mut self, connection: &mut Connection<S>);
}

/// Bytes read by one system call. A closing connection stops reading for this turn of the event
/// loop after a full chunk, so that other connections are served as well.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Limit on discarded input, in bytes. On a closing connection it applies to the total, and a peer
/// that sends more is disconnected; on a connection that discards excess input, it applies to one
/// turn of the event loop.
pub const MAX_DISCARDED_BYTES: usize = 256 * 1024;

/// A connection and its buffers.
pub struct Connection<S> {
    stream: S,
    state: State,
    /// Bytes that have been received but not consumed.
    pub input: Vec<u8>,
    /// Queued output, of which the first `written` bytes have been written.
    output: Vec<u8>,
    written: usize,
    /// Number of bytes that have been written and removed from `output`.
    written_before: u64,
    /// Reading stops when `input` has reached this size, in bytes.
    max_input_bytes: usize,
    /// Bytes that have been read and discarded since the connection began to close.
    discarded_while_closing: usize,
    /// Whether input beyond `max_input_bytes` is read and discarded.
    discards_excess_input: bool,
    /// Whether any input has been discarded for that reason.
    has_discarded_input: bool,
}

impl<S: Stream> Connection<S> {
    /// A connection over an established stream; it buffers about `max_input_bytes` of unread input.
    pub fn established(stream: S, max_input_bytes: usize) -> Self {
        Self::new(stream, State::Open, max_input_bytes)
    }

    /// A connection over a stream that is being dialled; it buffers about `max_input_bytes` of
    /// unread input.
    pub fn dialing(stream: S, max_input_bytes: usize) -> Self {
        Self::new(stream, State::Dialing, max_input_bytes)
    }

    fn new(stream: S, state: State, max_input_bytes: usize) -> Self {
        Self {
            stream,
            state,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            written_before: 0,
            max_input_bytes,
            discarded_while_closing: 0,
            discards_excess_input: false,
            has_discarded_input: false,
        }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The underlying stream.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// Returns the stream and the input that has not been consumed, without closing anything.
    pub fn into_parts(self) -> (S, Vec<u8>) {
        (self.stream, self.input)
    }

    /// Whether all queued output has been written.
    pub fn flushed(&self) -> bool {
        self.written == self.output.len()
    }

    /// Bytes that the kernel has accepted since the connection was created; stays valid after it
    /// has ended.
    pub fn written(&self) -> u64 {
        self.written_before + self.written as u64
    }

    /// Bytes that have been queued since the connection was created, written or not.
    pub fn queued(&self) -> u64 {
        self.written_before + self.output.len() as u64
    }

    /// Bytes that are queued but not written.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether the input buffer is full. A message that is still incomplete then can't be
    /// completed.
    pub fn is_full(&self) -> bool {
        self.input.len() >= self.max_input_bytes
    }

    /// Whether bytes that arrive are appended to the input. Once any have been discarded, none are
    /// appended any more: behind the gap, they would complete a message that was cut there.
    fn accepts_input(&self) -> bool {
        !self.has_discarded_input && !self.is_full()
    }

    /// Whether nothing more can be received.
    pub fn read_side_closed(&self) -> bool {
        matches!(self.state, State::HalfClosed | State::Ended)
    }

    /// The events that the connection waits for: readable, writable.
    pub fn interest(&self) -> (bool, bool) {
        let reads = match self.state {
            State::Open => self.discards_excess_input || !self.is_full(),
            State::Closing => self.flushed(),
            _ => false,
        };
        let writes =
            self.state == State::Dialing || (self.state != State::Ended && !self.flushed());
        (reads, writes)
    }

    /// Sets whether input beyond the buffer's limit is read and discarded, so that the peer's
    /// disconnection is noticed while no input is consumed. If reading stopped at the limit, the
    /// disconnection of a peer that has sent more than that would go unnoticed.
    pub fn set_discard_excess_input(&mut self, discard: bool) {
        self.discards_excess_input = discard;
    }

    /// Whether input was discarded for lack of buffer space, so that the buffered input is
    /// incomplete.
    pub fn has_discarded_input(&self) -> bool {
        self.has_discarded_input
    }

    /// Removes bytes from the front of the input; the memory of an emptied buffer is released.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Queues bytes and writes as many as possible. They are ignored if the connection is closing
    /// or has ended.
    pub fn send(&mut self, bytes: &[u8], owner: &mut impl Callbacks<S>) {
        if matches!(self.state, State::Ended | State::Closing) {
            return;
        }
        self.output.extend_from_slice(bytes);
        if self.state != State::Dialing {
            self.flush(owner);
        }
    }

    /// Closes the connection gracefully: queued output is written, the sending side is closed, and
    /// the connection waits for the peer to close its side. Closing the socket with unread input
    /// would reset the connection and could destroy output in flight.
    pub fn close(&mut self, owner: &mut impl Callbacks<S>) {
        let state_before = self.state;
        match state_before {
            State::Open | State::HalfClosed => self.state = State::Closing,
            State::Dialing => self.state = State::Ended,
            State::Closing | State::Ended => return,
        }
        self.input = Vec::new();
        if self.state == State::Closing && self.flushed() {
            self.stream.shutdown_write();
            if state_before == State::HalfClosed {
                self.end(owner);
            }
        }
    }

    /// Ends the connection at once, without a callback.
    pub fn abort(&mut self) {
        self.state = State::Ended;
    }

    /// Reads and writes as much as possible and notifies the owner.
    pub fn handle_ready(&mut self, readable: bool, writable: bool, owner: &mut impl Callbacks<S>) {
        if self.state == State::Dialing && (readable || writable) {
            if self.stream.connected().is_err() {
                return self.end(owner);
            }
            self.state = State::Open;
            owner.opened(self);
        }
        if writable {
            self.flush(owner);
        }
        if readable {
            self.read(owner);
        }
    }

    fn read(&mut self, owner: &mut impl Callbacks<S>) {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let unread_before = self.input.len();
        let mut discarded = 0;
        while matches!(self.state, State::Open | State::Closing)
            && (self.discards_excess_input || !self.is_full())
        {
            match self.stream.read(&mut chunk) {
                Ok(0) if self.state == State::Closing => return self.end(owner),
                Ok(0) => {
                    self.state = State::HalfClosed;
                    return owner.received(self);
                }
                Ok(size) if self.state == State::Closing => {
                    self.discarded_while_closing += size;
                    if self.discarded_while_closing > MAX_DISCARDED_BYTES {
                        return self.end(owner);
                    }
                    if size == READ_CHUNK_BYTES {
                        return;
                    }
                }
                Ok(size) if self.accepts_input() => self.input.extend_from_slice(&chunk[..size]),
                Ok(size) => {
                    self.has_discarded_input = true;
                    discarded += size;
                    if discarded > MAX_DISCARDED_BYTES {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    // Input that arrived before the error is still delivered.
                    if self.input.len() > unread_before {
                        owner.received(self);
                    }
                    return self.end(owner);
                }
            }
        }
        if self.input.len() > unread_before {
            owner.received(self);
        }
    }

    fn flush(&mut self, owner: &mut impl Callbacks<S>) {
        while !self.flushed()
            && matches!(self.state, State::Open | State::HalfClosed | State::Closing)
        {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return self.end(owner),
                Ok(size) => self.written += size,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.end(owner),
            }
        }
        if self.flushed() && self.written > 0 {
            self.written_before += self.written as u64;
            self.output = Vec::new();
            self.written = 0;
            if self.state == State::Closing {
                self.stream.shutdown_write();
            }
        }
    }

    fn end(&mut self, owner: &mut impl Callbacks<S>) {
        if self.state != State::Ended {
            self.state = State::Ended;
            owner.ended(self);
        }
    }
}
