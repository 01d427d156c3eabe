//! A model of a connection's states, against which random steps are checked.

use postproxy::net::transport::connection::{
    Callbacks, Connection, MAX_DISCARDED_BYTES, State, Stream,
};
use quickcheck::{Gen, QuickCheck};
use std::cell::RefCell;
use std::io::{self, ErrorKind, Read, Write};
use std::rc::Rc;

const MOST: usize = 64;
const PIECE: usize = 16;

/// The wire below: what has come in, how much may go out, and how it is.
#[derive(Default)]
struct Wire {
    came: usize,
    room: usize,
    wrote: Vec<u8>,
    over: bool,
    broken: bool,
    refused: bool,
    finished: usize,
}

type Shared = Rc<RefCell<Wire>>;
struct End(Shared);

impl Read for End {
    fn read(&mut self, out: &mut [u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.came.min(PIECE).min(out.len());
        match size {
            _ if wire.broken => Err(ErrorKind::ConnectionReset.into()),
            0 if wire.over => Ok(0),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                wire.came -= size;
                out[..size].fill(b'i');
                Ok(size)
            }
        }
    }
}

impl Write for End {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut wire = self.0.borrow_mut();
        let size = wire.room.min(bytes.len());
        match size {
            _ if wire.broken => Err(ErrorKind::BrokenPipe.into()),
            0 => Err(ErrorKind::WouldBlock.into()),
            _ => {
                wire.room -= size;
                wire.wrote.extend(&bytes[..size]);
                Ok(size)
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Stream for End {
    fn finish(&mut self) {
        self.0.borrow_mut().finished += 1;
    }

    fn connected(&mut self) -> io::Result<()> {
        if self.0.borrow().refused {
            Err(ErrorKind::ConnectionRefused.into())
        } else {
            Ok(())
        }
    }
}

/// Counts the calls back.
#[derive(Clone, Debug, Default, PartialEq)]
struct Owner {
    opened: usize,
    ended: usize,
}

impl Callbacks<End> for Owner {
    fn opened(&mut self, _: &mut Connection<End>) {
        self.opened += 1;
    }

    fn received(&mut self, connection: &mut Connection<End>) {
        assert!(
            !connection.input.is_empty() || connection.read_side_closed(),
            "called for nothing"
        );
    }

    fn ended(&mut self, _: &mut Connection<End>) {
        self.ended += 1;
    }
}

/// What the connection should be.
#[derive(Clone, Debug, PartialEq)]
struct Model {
    state: State,
    input: usize,
    owed: usize,
    wrote: usize,
    owner: Owner,
}

impl Model {
    fn end(&mut self) {
        self.state = State::Ended;
        self.owner.ended += 1;
    }

    /// Plays what the wire lets happen.
    fn settle(&mut self, wire: &mut Wire) {
        let alive = matches!(self.state, State::Open | State::HalfClosed | State::Closing);
        if alive && self.owed > 0 {
            if wire.broken {
                return self.end();
            }
            let size = self.owed.min(wire.room);
            (self.owed, wire.room, self.wrote) =
                (self.owed - size, wire.room - size, self.wrote + size);
        }
        let reads = self.state == State::Open && self.input < MOST;
        let waits = self.state == State::Closing && self.owed == 0;
        if wire.broken && (reads || waits) {
            return self.end();
        }
        while self.state == State::Open && self.input < MOST && wire.came > 0 {
            let size = wire.came.min(PIECE);
            (wire.came, self.input) = (wire.came - size, self.input + size);
        }
        match self.state {
            State::Open if self.input < MOST && wire.over => self.state = State::HalfClosed,
            State::Closing if waits => {
                wire.came = 0;
                if wire.over {
                    self.end();
                }
            }
            _ => {}
        }
    }

    fn close(&mut self) {
        match self.state {
            State::HalfClosed if self.owed == 0 => self.end(),
            State::Open | State::HalfClosed => self.state = State::Closing,
            State::Dialing => self.state = State::Ended,
            State::Closing | State::Ended => return,
        }
        self.input = 0;
    }
}

/// What the poller would do: calls as long as the connection waits for what is there.
fn turn(connection: &mut Connection<End>, owner: &mut Owner, wire: &Shared) {
    for _ in 0..100 {
        let (reads, writes) = connection.interest();
        let (readable, writable) = {
            let w = wire.borrow();
            (w.came > 0 || w.over || w.broken, w.room > 0 || w.broken)
        };
        if !(reads && readable || writes && writable) || connection.state() == State::Dialing {
            return;
        }
        connection.handle_ready(reads && readable, writes && writable, owner);
    }
    panic!("it goes on for ever");
}

fn play(dialing: bool, steps: &[(u8, u8)]) -> bool {
    let wire = Shared::default();
    let stream = End(wire.clone());
    let mut connection = if dialing {
        Connection::dialing(stream, MOST)
    } else {
        Connection::established(stream, MOST)
    };
    let state = if dialing { State::Dialing } else { State::Open };
    let mut owner = Owner::default();
    let mut model = Model {
        state,
        input: 0,
        owed: 0,
        wrote: 0,
        owner: Owner::default(),
    };
    let mut shadow = Wire::default();
    for &(step, size) in steps {
        let size = usize::from(size) / 4;
        for wire in [&mut *wire.borrow_mut(), &mut shadow] {
            match step % 12 {
                0..=2 if !wire.over && !wire.broken => wire.came += size,
                3..=4 => wire.room += size,
                5 => wire.over = true,
                6 if size > 48 => (wire.broken, wire.came) = (true, 0),
                7 => wire.refused = size > 48,
                _ => {}
            }
        }
        match step % 12 {
            7 if model.state == State::Dialing => {
                connection.handle_ready(false, true, &mut owner);
                if shadow.refused {
                    model.end();
                } else {
                    (model.state, model.owner.opened) = (State::Open, 1);
                }
            }
            8..=9 => {
                if !matches!(model.state, State::Closing | State::Ended) {
                    model.owed += size;
                }
                connection.send(&vec![b'o'; size], &mut owner);
            }
            10 if model.input > 0 => {
                let taken = size.min(model.input);
                model.input -= taken;
                connection.consume(taken);
            }
            11 if size > 40 => {
                model.close();
                connection.close(&mut owner);
            }
            _ => {}
        }
        model.settle(&mut shadow);
        turn(&mut connection, &mut owner, &wire);
        let (wrote, finished) = (wire.borrow().wrote.len(), wire.borrow().finished);
        let input = connection.input.len();
        let seen = Model {
            state: connection.state(),
            input,
            owed: model.owed,
            wrote,
            owner: owner.clone(),
        };
        let told = finished == usize::from(model.state == State::Closing && model.owed == 0)
            || seen.state == State::Ended;
        if seen != model || !told || connection.flushed() != (model.owed == 0) {
            eprintln!("{step} {size}: {seen:?} in place of {model:?}, finished {finished} times");
            return false;
        }
    }
    true
}

/// Guards against bytes lost, doubled or sent after the end, states that don't follow from what happened,
/// an end told twice or not at all, and waiting for what can't come.
#[test]
fn a_connection_does_as_its_model() {
    let mut check = QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 11))
        .tests(3000);
    check.quickcheck(play_all as fn(bool, Vec<(u8, u8)>) -> bool);
    fn play_all(dialing: bool, steps: Vec<(u8, u8)>) -> bool {
        play(dialing, &steps)
    }
}

/// Guards against reading for ever from a peer that goes on sending after its last answer, and against a turn
/// of the loop that it has for itself.
#[test]
fn a_peer_that_sends_on_and_on_is_cut_off() {
    let (wire, mut owner) = (Shared::default(), Owner::default());
    let mut connection = Connection::established(End(wire.clone()), MOST);
    connection.close(&mut owner);
    let total = MAX_DISCARDED_BYTES + 10 * PIECE;
    wire.borrow_mut().came = total;
    connection.handle_ready(true, false, &mut owner);
    assert_eq!((connection.state(), owner.ended), (State::Ended, 1));
    assert!(
        total - wire.borrow().came <= MAX_DISCARDED_BYTES + PIECE,
        "no more is read than it takes"
    );
}
