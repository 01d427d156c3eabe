//! One connection: its buffers and its states. The owner is called back with what happens to it.

use std::io::{self, ErrorKind, Read, Write};

/// What a connection runs over.
pub trait Stream: Read + Write {
    /// Says that nothing more will be written.
    fn finish(&mut self);
    /// Whether connecting has ended well; asked when a dialled stream can first be written.
    ///
    /// # Errors
    ///
    /// If it has failed.
    fn connected(&mut self) -> io::Result<()>;
}

impl Stream for std::net::TcpStream {
    fn finish(&mut self) {
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
    /// It is being made.
    Dialing,
    /// Both sides may send.
    Open,
    /// The peer sends no more; what is owed to it can still be written.
    HalfOpen,
    /// What is left is written, then the peer's end is waited for; nothing of it is read any more.
    Closing,
    /// It is over.
    Ended,
}

/// Whom a connection calls back. Each call may use the connection again.
pub trait Callbacks<S> {
    /// It has been made.
    fn opened(&mut self, _connection: &mut Connection<S>) {}
    /// Bytes have arrived, or the peer's last word is said.
    fn received(&mut self, connection: &mut Connection<S>);
    /// It is over; called once, and not where the owner ended it.
    fn ended(&mut self, connection: &mut Connection<S>);
}

/// A connection and what is buffered on it.
pub struct Connection<S> {
    stream: S,
    state: State,
    /// What has arrived and has not been taken.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// How much of the output has been written.
    written: usize,
    /// How much was written and dropped from the output before.
    written_before: u64,
    /// The input is read up to this size.
    most: usize,
    /// What has been read and dropped since it closes.
    dropped: usize,
    /// What there is no room for is read and dropped, so that the peer's end is seen behind it; whether any was.
    spills: bool,
    spilled: bool,
}

/// So much is read at a time, and of a connection that closes in one call: others have their turn too.
const CHUNK: usize = 16 * 1024;
/// A peer that goes on sending beyond this, to a connection that closes, is cut off; and no more is dropped in one call of a connection
/// whose end is watched for.
pub const MOST_DROPPED: usize = 256 * 1024;

impl<S: Stream> Connection<S> {
    /// A connection over a stream, dialled or made already, that holds up to about `most` unread bytes.
    pub fn new(stream: S, dialing: bool, most: usize) -> Self {
        let state = if dialing { State::Dialing } else { State::Open };
        let (input, output, written, dropped) = (Vec::new(), Vec::new(), 0, 0);
        Self {
            stream,
            state,
            input,
            output,
            written,
            written_before: 0,
            most,
            dropped,
            spills: false,
            spilled: false,
        }
    }

    /// Its state.
    pub fn state(&self) -> State {
        self.state
    }

    /// The stream below.
    pub fn stream(&self) -> &S {
        &self.stream
    }

    /// The stream, for another owner; what was read from it and not taken is left.
    pub fn into_parts(self) -> (S, Vec<u8>) {
        (self.stream, self.input)
    }

    /// Whether all that was to be written has been.
    pub fn flushed(&self) -> bool {
        self.written == self.output.len()
    }

    /// How many bytes have been written since it was made. This stays true when it has ended.
    pub fn written(&self) -> u64 {
        self.written_before + self.written as u64
    }

    /// How many bytes have been written or are to be.
    pub fn queued(&self) -> u64 {
        self.written_before + self.output.len() as u64
    }

    /// Bytes that are still to be written.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.written
    }

    /// There is no room for more input: a message that has not come whole by now never will.
    pub fn is_full(&self) -> bool {
        self.input.len() >= self.most
    }

    /// The peer has said its last word.
    pub fn read_side_closed(&self) -> bool {
        matches!(self.state, State::HalfOpen | State::Ended)
    }

    /// What it waits for: to read, to write.
    pub fn interest(&self) -> (bool, bool) {
        let reads = match self.state {
            State::Open => self.spills || !self.is_full(),
            State::Closing => self.flushed(),
            _ => false,
        };
        let writes = self.state == State::Dialing || self.state != State::Ended && !self.flushed();
        (reads, writes)
    }

    /// Whether the peer's end is waited for while nothing is taken off the input: what there is no room for is dropped then.
    /// Danger: with reading off, a peer that has sent much and is gone would be waited for.
    pub fn set_discard_input(&mut self, on: bool) {
        self.spills = on;
    }

    /// Something was dropped for want of room: what the peer has sent is not whole.
    pub fn dropped_input(&self) -> bool {
        self.spilled
    }

    /// Takes bytes off the front of the input; an empty buffer is given back.
    pub fn consume(&mut self, bytes: usize) {
        self.input.drain(..bytes);
        if self.input.is_empty() {
            self.input = Vec::new();
        }
    }

    /// Adds bytes to be written and writes what goes at once.
    pub fn send(&mut self, bytes: &[u8], owner: &mut impl Callbacks<S>) {
        if matches!(self.state, State::Ended | State::Closing) {
            return;
        }
        self.output.extend_from_slice(bytes);
        if self.state != State::Dialing {
            self.flush(owner);
        }
    }

    /// Ends it in good order once what is owed has been written.
    pub fn close(&mut self, owner: &mut impl Callbacks<S>) {
        let before = self.state;
        match before {
            State::Open | State::HalfOpen => self.state = State::Closing,
            State::Dialing => self.state = State::Ended,
            State::Closing | State::Ended => return,
        }
        self.input = Vec::new();
        if self.state == State::Closing && self.flushed() {
            self.stream.finish();
            if before == State::HalfOpen {
                self.end(owner);
            }
        }
    }

    /// Ends it now, without a call back.
    pub fn abort(&mut self) {
        self.state = State::Ended;
    }

    /// Reads and writes what can be, and calls back.
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
        let mut chunk = [0; CHUNK];
        let before = self.input.len();
        let mut spilled = 0;
        while matches!(self.state, State::Open | State::Closing) && (self.spills || !self.is_full())
        {
            match self.stream.read(&mut chunk) {
                Ok(0) if self.state == State::Closing => return self.end(owner),
                Ok(0) => {
                    self.state = State::HalfOpen;
                    return owner.received(self);
                }
                Ok(size) if self.state == State::Closing => {
                    self.dropped += size;
                    if self.dropped > MOST_DROPPED {
                        return self.end(owner);
                    }
                    if size == CHUNK {
                        return;
                    }
                }
                Ok(size) if !self.is_full() => self.input.extend_from_slice(&chunk[..size]),
                Ok(size) => {
                    self.spilled = true;
                    spilled += size;
                    if spilled > MOST_DROPPED {
                        break;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    // What came before the break counts.
                    if self.input.len() > before {
                        owner.received(self);
                    }
                    return self.end(owner);
                }
            }
        }
        if self.input.len() > before {
            owner.received(self);
        }
    }

    fn flush(&mut self, owner: &mut impl Callbacks<S>) {
        while !self.flushed()
            && matches!(self.state, State::Open | State::HalfOpen | State::Closing)
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
            (self.output, self.written) = (Vec::new(), 0);
            if self.state == State::Closing {
                self.stream.finish();
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
