//! Compares a connection with a model of its states over random steps.

use postproxy::net::transport::connection::{
    Callbacks, Connection, MAX_DISCARDED_BYTES, State, Stream,
};
use quickcheck::{Gen, QuickCheck};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;

/// Input that the connection buffers, in bytes.
const MAX_INPUT_BYTES: usize = 64;
/// Bytes that the stream returns from one read.
const READ_BYTES: usize = 16;

/// The byte at a position of the stream. The period is a prime number, so that a gap is noticed.
fn byte_at(position: usize) -> u8 {
    (position % 251) as u8
}

/// The state of the stream below the connection.
#[derive(Default)]
struct Wire {
    /// Bytes that can be read.
    readable: usize,
    /// Bytes that have been read.
    read: usize,
    /// Bytes that can be written.
    writable: usize,
    written: Vec<u8>,
    /// The peer has closed its sending side.
    peer_finished: bool,
    /// The connection has been reset.
    broken: bool,
    /// Connecting fails.
    refused: bool,
    /// Number of times that the sending side was closed.
    shutdown_calls: usize,
}

type SharedWire = Rc<RefCell<Wire>>;

/// A stream over a wire that the test controls.
struct TestStream(SharedWire);

impl Read for TestStream {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.readable.min(READ_BYTES).min(out.len());
        match size {
            _ if wire.broken => Err(ErrorKind::ConnectionReset.into()),
            0 if wire.peer_finished => Ok(0),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                wire.readable -= size;
                for byte in &mut out[..size] {
                    *byte = byte_at(wire.read);
                    wire.read += 1;
                }
                Ok(size)
            }
        }
    }
}

impl Write for TestStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.writable.min(bytes.len());
        match size {
            _ if wire.broken => Err(ErrorKind::BrokenPipe.into()),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                wire.writable -= size;
                wire.written.extend(&bytes[..size]);
                Ok(size)
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stream for TestStream {
    fn shutdown_write(&mut self) {
        self.0.borrow_mut().shutdown_calls += 1;
    }

    fn connected(&mut self) -> io::Result<()> {
        if self.0.borrow().refused {
            Err(ErrorKind::ConnectionRefused.into())
        } else {
            Ok(())
        }
    }
}

/// Counts the callbacks.
#[derive(Clone, Debug, Default, PartialEq)]
struct CallbackCounter {
    opened: usize,
    ended: usize,
}

impl Callbacks<TestStream> for CallbackCounter {
    fn opened(&mut self, _: &mut Connection<TestStream>) {
        self.opened += 1;
    }

    fn received(&mut self, connection: &mut Connection<TestStream>) {
        assert!(
            !connection.input.is_empty() || connection.read_side_closed(),
            "called without input"
        );
    }

    fn ended(&mut self, _: &mut Connection<TestStream>) {
        self.ended += 1;
    }
}

/// The expected state of the connection.
#[derive(Clone, Debug, PartialEq)]
struct Model {
    state: State,
    /// Bytes that have been received and not consumed.
    input: usize,
    /// Bytes that are queued and not written.
    queued: usize,
    written: usize,
    owner: CallbackCounter,
}

impl Model {
    fn new(state: State) -> Self {
        Self {
            state,
            input: 0,
            queued: 0,
            written: 0,
            owner: CallbackCounter::default(),
        }
    }

    fn finish_dialing(&mut self, wire: &Wire) {
        if wire.refused {
            self.end();
        } else {
            self.state = State::Open;
            self.owner.opened = 1;
        }
    }

    fn send(&mut self, size: usize) {
        if !matches!(self.state, State::Closing | State::Ended) {
            self.queued += size;
        }
    }

    fn end(&mut self) {
        self.state = State::Ended;
        self.owner.ended += 1;
    }

    /// Reads and writes as much as the stream allows.
    fn apply_io(&mut self, wire: &mut Wire) {
        let alive = matches!(self.state, State::Open | State::HalfClosed | State::Closing);
        if alive && self.queued > 0 {
            if wire.broken {
                return self.end();
            }
            let size = self.queued.min(wire.writable);
            self.queued -= size;
            wire.writable -= size;
            self.written += size;
        }
        let reads = self.state == State::Open && self.input < MAX_INPUT_BYTES;
        let waits = self.state == State::Closing && self.queued == 0;
        if wire.broken && (reads || waits) {
            return self.end();
        }
        while self.state == State::Open && self.input < MAX_INPUT_BYTES && wire.readable > 0 {
            let size = wire.readable.min(READ_BYTES);
            wire.readable -= size;
            self.input += size;
        }
        match self.state {
            State::Open if self.input < MAX_INPUT_BYTES && wire.peer_finished => {
                self.state = State::HalfClosed
            }
            State::Closing if waits => {
                wire.readable = 0;
                if wire.peer_finished {
                    self.end();
                }
            }
            _ => {}
        }
    }

    fn close(&mut self) {
        match self.state {
            State::HalfClosed if self.queued == 0 => self.end(),
            State::Open | State::HalfClosed => self.state = State::Closing,
            State::Dialing => self.state = State::Ended,
            State::Closing | State::Ended => return,
        }
        self.input = 0;
    }
}

/// Acts as the poller: reports readiness as long as the connection waits for an event that is
/// possible.
fn poll_until_idle(
    connection: &mut Connection<TestStream>,
    owner: &mut CallbackCounter,
    wire: &SharedWire,
) {
    for _ in 0..100 {
        let (reads, writes) = connection.interest();
        let (readable, writable) = {
            let wire = wire.borrow();
            (
                wire.readable > 0 || wire.peer_finished || wire.broken,
                wire.writable > 0 || wire.broken,
            )
        };
        if !(reads && readable || writes && writable) || connection.state() == State::Dialing {
            return;
        }
        connection.handle_ready(reads && readable, writes && writable, owner);
    }
    panic!("the connection never becomes idle");
}

/// What a random step does; the ranges in [`Step::new`] are the weights.
enum Step {
    ReceiveBytes,
    AllowWriting,
    PeerFinishes,
    Break,
    FinishDialing,
    Send,
    Consume,
    Close,
    Nothing,
}

impl Step {
    fn new(number: u8, size: usize) -> Self {
        match number % 12 {
            0..=2 => Self::ReceiveBytes,
            3..=4 => Self::AllowWriting,
            5 => Self::PeerFinishes,
            6 if size > 48 => Self::Break,
            7 => Self::FinishDialing,
            8..=9 => Self::Send,
            10 => Self::Consume,
            11 if size > 40 => Self::Close,
            _ => Self::Nothing,
        }
    }

    /// Changes the state of the stream.
    fn apply_to_wire(&self, wire: &mut Wire, size: usize) {
        match self {
            Self::ReceiveBytes if !wire.peer_finished && !wire.broken => wire.readable += size,
            Self::AllowWriting => wire.writable += size,
            Self::PeerFinishes => wire.peer_finished = true,
            Self::Break => {
                wire.broken = true;
                wire.readable = 0;
            }
            Self::FinishDialing => wire.refused = size > 48,
            _ => {}
        }
    }
}

/// A connection and its model, which take the same steps.
struct Comparison {
    connection: Connection<TestStream>,
    owner: CallbackCounter,
    wire: SharedWire,
    model: Model,
    model_wire: Wire,
}

impl Comparison {
    fn new(dialing: bool) -> Self {
        let wire = SharedWire::default();
        let stream = TestStream(wire.clone());
        let (connection, state) = if dialing {
            let connection = Connection::dialing(stream, MAX_INPUT_BYTES);
            (connection, State::Dialing)
        } else {
            let connection = Connection::established(stream, MAX_INPUT_BYTES);
            (connection, State::Open)
        };
        Self {
            connection,
            owner: CallbackCounter::default(),
            wire,
            model: Model::new(state),
            model_wire: Wire::default(),
        }
    }

    fn take_step(&mut self, step: &Step, size: usize) {
        step.apply_to_wire(&mut self.wire.borrow_mut(), size);
        step.apply_to_wire(&mut self.model_wire, size);
        match step {
            Step::FinishDialing if self.model.state == State::Dialing => {
                self.connection.handle_ready(false, true, &mut self.owner);
                self.model.finish_dialing(&self.model_wire);
            }
            Step::Send => {
                self.model.send(size);
                self.connection.send(&vec![b'o'; size], &mut self.owner);
            }
            Step::Consume if self.model.input > 0 => {
                let consumed = size.min(self.model.input);
                self.model.input -= consumed;
                self.connection.consume(consumed);
            }
            Step::Close => {
                self.model.close();
                self.connection.close(&mut self.owner);
            }
            _ => {}
        }
        self.model.apply_io(&mut self.model_wire);
        poll_until_idle(&mut self.connection, &mut self.owner, &self.wire);
    }

    /// Whether the connection is in the model's state; prints the difference.
    fn matches(&self) -> bool {
        let model = &self.model;
        let wire = self.wire.borrow();
        let actual = Model {
            state: self.connection.state(),
            input: self.connection.input.len(),
            queued: model.queued,
            written: wire.written.len(),
            owner: self.owner.clone(),
        };
        let has_finished = model.state == State::Closing && model.queued == 0;
        let shutdown_calls_match =
            wire.shutdown_calls == usize::from(has_finished) || actual.state == State::Ended;
        let flushed_matches = self.connection.flushed() == (model.queued == 0);
        let matches = actual == *model && shutdown_calls_match && flushed_matches;
        if !matches {
            let shutdown_calls = wire.shutdown_calls;
            eprintln!("{actual:?} in place of {model:?}, {shutdown_calls} calls of shutdown_write");
        }
        matches
    }
}

/// Guards against bytes that are lost, duplicated or sent after the end, against wrong states,
/// against an end that is reported twice or not at all, and against waiting for events that can't
/// occur.
#[test]
fn a_connection_behaves_like_its_model() {
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(3000);
    check.quickcheck(holds as fn(bool, Vec<(u8, u8)>) -> bool);
    fn holds(dialing: bool, steps: Vec<(u8, u8)>) -> bool {
        let mut comparison = Comparison::new(dialing);
        steps.into_iter().all(|(number, size)| {
            let size = usize::from(size) / 4;
            comparison.take_step(&Step::new(number, size), size);
            comparison.matches()
        })
    }
}

/// Guards against reading forever from a peer that goes on sending after its last response, and
/// against spending a whole turn of the event loop on such a peer.
#[test]
fn a_peer_that_goes_on_sending_to_a_closing_connection_is_cut_off() {
    let (wire, mut owner) = (SharedWire::default(), CallbackCounter::default());
    let mut connection = Connection::established(TestStream(wire.clone()), MAX_INPUT_BYTES);
    connection.close(&mut owner);
    let total = MAX_DISCARDED_BYTES + 10 * READ_BYTES;
    wire.borrow_mut().readable = total;
    connection.handle_ready(true, false, &mut owner);
    assert_eq!((connection.state(), owner.ended), (State::Ended, 1));
    assert!(
        total - wire.borrow().readable <= MAX_DISCARDED_BYTES + READ_BYTES,
        "reading stops at the limit"
    );
}

/// Guards against a request that is completed with bytes of later ones: once excess input has been
/// discarded, nothing that arrives later may be appended to the input before the gap.
#[test]
fn buffered_input_never_has_a_gap() {
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(3000);
    check.quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let (wire, mut owner) = (SharedWire::default(), CallbackCounter::default());
        let mut connection = Connection::established(TestStream(wire.clone()), MAX_INPUT_BYTES);
        let mut consumed = 0;
        steps.into_iter().all(|(number, size)| {
            match number % 4 {
                0 | 1 => wire.borrow_mut().readable += usize::from(size),
                2 => {
                    let consumable = usize::from(size).min(connection.input.len());
                    connection.consume(consumable);
                    consumed += consumable;
                }
                _ => connection.set_discard_excess_input(size % 2 == 0),
            }
            poll_until_idle(&mut connection, &mut owner, &wire);
            let is_contiguous = |(offset, byte)| byte == byte_at(consumed + offset);
            let mut input = connection.input.iter().copied().enumerate();
            input.all(is_contiguous)
        })
    }
}
