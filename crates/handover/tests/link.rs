//! Property tests, with fixed seeds: two links that exchange bytes in pieces of any size, and one
//! link that receives arbitrary bytes.

use postproxy_handover::{
    GREETING_MAGIC, Link, LinkError, LinkEvent, MAX_FRAME_BYTES, Message, Role, StateUpdate,
    VERSION, frame, greeting,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn new_link(role: Role) -> Link {
    Link::new(role, "n1", "127.0.0.1:80", 100.0)
}

/// The greeting and the hello, which a side sends first.
fn opening_bytes(link: &Link) -> Vec<u8> {
    [greeting(), frame(&link.hello())].concat()
}

fn receive(link: &mut Link, bytes: &[u8]) -> Result<Vec<LinkEvent>, LinkError> {
    let mut events = Vec::new();
    link.receive(bytes, &mut events).map(|()| events)
}

/// An older and a newer side that have exchanged their hellos and the snapshot.
fn synchronized_links() -> (Link, Link) {
    let mut older = new_link(Role::Older);
    let mut newer = new_link(Role::Newer);
    assert_eq!(
        receive(&mut older, &opening_bytes(&newer)),
        Ok(vec![LinkEvent::HelloReceived])
    );
    assert_eq!(
        receive(&mut newer, &opening_bytes(&older)),
        Ok(vec![LinkEvent::HelloReceived])
    );
    assert!(!older.is_synchronized() && !newer.is_synchronized());
    older.complete_snapshot();
    assert_eq!(
        receive(&mut newer, &frame(&Message::SnapshotComplete)),
        Ok(vec![LinkEvent::SnapshotComplete])
    );
    assert!(older.is_synchronized() && newer.is_synchronized());
    (older, newer)
}

fn any_state_update() -> impl Strategy<Value = StateUpdate> {
    let id = "[a-z0-9]{0,12}";
    prop_oneof![
        (id, any::<bool>())
            .prop_map(|(worker, resume)| StateUpdate::WorkerSuspensionChanged { worker, resume }),
        (any::<bool>(), 0f32..9.0).prop_map(|(draining, seconds_ago)| StateUpdate::DrainChanged {
            draining,
            seconds_ago
        }),
        proptest::collection::vec(any::<u8>(), 0..600).prop_map(StateUpdate::WorkerList),
        (id, any::<bool>()).prop_map(|(id, is_new)| StateUpdate::RequestAdmitted { id, is_new }),
        (id, any::<u16>(), id, 0f32..9.0, any::<bool>()).prop_map(
            |(id, attempt, worker, seconds_ago, is_new)| {
                StateUpdate::AttemptSent {
                    id,
                    attempt,
                    worker,
                    slots: 1.0,
                    expected_work: 0.5,
                    seconds_ago,
                    is_new,
                }
            }
        ),
        (id, any::<u16>()).prop_map(|(id, attempt)| StateUpdate::AttemptEnded { id, attempt }),
        id.prop_map(|id| StateUpdate::RequestFinished { id }),
        proptest::collection::vec(0f32..9.0, 0..50).prop_map(|admissions| {
            StateUpdate::BudgetHistory {
                admissions,
                retries: vec![1.0],
            }
        }),
    ]
}

fn check_property<S: Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), TestCaseError>,
) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, test)
        .expect("the property holds");
}

/// Guards against a message that is lost, duplicated or altered because its bytes arrive in pieces.
#[test]
fn state_updates_are_decoded_from_pieces_of_any_size() {
    let piece_sizes = proptest::collection::vec(1usize..40, 1..20);
    check_property(
        400,
        (
            proptest::collection::vec(any_state_update(), 0..20),
            piece_sizes,
        ),
        |(updates, piece_sizes)| {
            let (_, mut newer) = synchronized_links();
            let bytes: Vec<u8> = updates
                .iter()
                .flat_map(|update| frame(&Message::StateUpdate(update.clone())))
                .collect();
            let mut events = Vec::new();
            let mut rest = &bytes[..];
            let mut piece_sizes = piece_sizes.iter().cycle();
            while !rest.is_empty() {
                let size = rest.len().min(*piece_sizes.next().expect("a cycle"));
                newer
                    .receive(&rest[..size], &mut events)
                    .expect("valid messages");
                rest = &rest[size..];
            }
            prop_assert_eq!(
                events,
                updates
                    .into_iter()
                    .map(LinkEvent::StateUpdate)
                    .collect::<Vec<_>>()
            );
            Ok(())
        },
    );
}

/// Guards against invalid bytes that cause a panic, are accepted as a greeting, or are buffered
/// instead of rejected.
#[test]
fn invalid_bytes_are_rejected() {
    check_property(
        2000,
        proptest::collection::vec(any::<u8>(), 0..300),
        |bytes| {
            let mut older = new_link(Role::Older);
            if let Ok(events) = receive(&mut older, &bytes) {
                prop_assert!(events.is_empty(), "{:?}", events);
                prop_assert!(
                    GREETING_MAGIC.starts_with(&bytes[..bytes.len().min(GREETING_MAGIC.len())])
                );
            }
            // The same after a valid greeting, hello and snapshot.
            let (_, mut newer) = synchronized_links();
            let _ = receive(&mut newer, &bytes);
            Ok(())
        },
    );
}

/// Guards against a link that accepts another protocol version, another node, an unexpected message
/// or a frame over the limit.
#[test]
fn each_protocol_violation_has_its_error() {
    let mut other_version = GREETING_MAGIC.to_vec();
    other_version.extend((VERSION + 1).to_be_bytes());
    assert_eq!(
        receive(&mut new_link(Role::Older), &other_version),
        Err(LinkError::UnsupportedVersion(VERSION + 1))
    );
    assert_eq!(
        receive(&mut new_link(Role::Older), b"GET / HTTP/1.1"),
        Err(LinkError::UnknownProtocol)
    );
    let other_node = Link::new(Role::Newer, "n2", "127.0.0.1:80", 100.0);
    assert!(matches!(
        receive(&mut new_link(Role::Older), &opening_bytes(&other_node)),
        Err(LinkError::OtherNode(_))
    ));
    let long = [
        greeting(),
        (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec(),
    ]
    .concat();
    assert_eq!(
        receive(&mut new_link(Role::Older), &long),
        Err(LinkError::FrameTooLong(MAX_FRAME_BYTES as u32 + 1))
    );
    let premature = [greeting(), frame(&Message::ShuttingDown)].concat();
    assert_eq!(
        receive(&mut new_link(Role::Older), &premature),
        Err(LinkError::UnexpectedMessage)
    );
    let connection = Message::IdleConnection {
        input: Vec::new(),
        used_before: true,
    };
    let request = Message::Request {
        request: vec![1],
        input: Vec::new(),
        close_after_answer: false,
    };
    let (mut older, mut newer) = synchronized_links();
    for message in [
        new_link(Role::Older).hello(),
        Message::SnapshotComplete,
        Message::CallbackResult {
            number: 3,
            known: true,
        },
        connection.clone(),
        request.clone(),
    ] {
        let (_, mut newer) = synchronized_links();
        assert_eq!(
            receive(&mut newer, &frame(&message)),
            Err(LinkError::UnexpectedMessage),
            "{message:?}"
        );
    }
    assert_eq!(
        receive(&mut older, &frame(&Message::SnapshotComplete)),
        Err(LinkError::UnexpectedMessage),
        "only the newer side receives a snapshot"
    );
    assert_eq!(
        receive(&mut newer, &frame(&Message::ShuttingDown)),
        Ok(vec![LinkEvent::ShuttingDown])
    );
    assert_eq!(
        receive(&mut newer, &frame(&connection)),
        Ok(vec![LinkEvent::IdleConnection {
            input: Vec::new(),
            used_before: true
        }])
    );
    assert_eq!(
        receive(&mut newer, &frame(&request)),
        Ok(vec![LinkEvent::Request {
            request: vec![1],
            input: Vec::new(),
            close_after_answer: false
        }])
    );
    let empty = 0u32.to_be_bytes();
    assert_eq!(receive(&mut newer, &empty), Err(LinkError::Malformed));
    let undecodable = [3u32.to_be_bytes().to_vec(), vec![255, 255, 255]].concat();
    assert_eq!(
        receive(&mut synchronized_links().0, &undecodable),
        Err(LinkError::Malformed)
    );
}

/// Guards against a result that is attributed to another callback, and against a link that waits
/// for a result or a hello without a limit.
#[test]
fn each_callback_gets_its_result_or_times_out() {
    let (mut older, mut newer) = synchronized_links();
    let one = newer.forward_callback(100.0, 11, b"a".to_vec());
    let two = newer.forward_callback(100.5, 22, b"b".to_vec());
    let events = receive(&mut older, &[frame(&one), frame(&two)].concat()).expect("callbacks");
    let [
        LinkEvent::Callback {
            number: first,
            body: a,
        },
        LinkEvent::Callback {
            number: second,
            body: b,
        },
    ] = &events[..]
    else {
        panic!("{events:?}")
    };
    assert_eq!(
        (&a[..], &b[..], newer.pending_callers()),
        (&b"a"[..], &b"b"[..], vec![11, 22])
    );
    let result = frame(&Message::CallbackResult {
        number: *second,
        known: true,
    });
    assert_eq!(
        receive(&mut newer, &result),
        Ok(vec![LinkEvent::CallbackResult {
            caller: 22,
            known: true
        }])
    );
    assert_eq!(
        receive(&mut newer, &result),
        Err(LinkError::UnexpectedMessage),
        "one result for each callback"
    );
    assert!(newer.check_timeouts(101.9).is_ok());
    assert_eq!(
        (newer.check_timeouts(102.1), newer.pending_callers()),
        (Err(LinkError::TimedOut), vec![11])
    );
    let result = frame(&Message::CallbackResult {
        number: *first,
        known: false,
    });
    let mut other_link = synchronized_links().1;
    assert!(receive(&mut other_link, &result).is_err());
    assert!(new_link(Role::Newer).check_timeouts(100.9).is_ok());
    assert_eq!(
        new_link(Role::Newer).check_timeouts(101.1),
        Err(LinkError::TimedOut)
    );
    assert!(
        older.check_timeouts(500.0).is_ok(),
        "a link on which nothing is awaited stays open"
    );
}

/// A model of one side, which predicts its events.
#[derive(Clone, Default)]
struct Model {
    hello_received: bool,
    has_snapshot: bool,
    peer_shutting_down: bool,
    /// The numbers and callers of this side's callbacks whose results are outstanding.
    callbacks: Vec<(u64, u64)>,
    last_callback: u64,
}

impl Model {
    /// Predicts the event of a message; `None` if the message is not allowed.
    fn handle(&mut self, message: Message) -> Option<LinkEvent> {
        let synchronized = self.hello_received && self.has_snapshot;
        match message {
            Message::Hello { .. } => {
                self.hello_received = true;
                Some(LinkEvent::HelloReceived)
            }
            Message::SnapshotComplete => {
                self.has_snapshot = true;
                Some(LinkEvent::SnapshotComplete)
            }
            Message::StateUpdate(update) => Some(LinkEvent::StateUpdate(update)),
            Message::DescriptorsHeld(count) => Some(LinkEvent::DescriptorsHeld(count)),
            Message::Callback { number, body } => Some(LinkEvent::Callback { number, body }),
            Message::CallbackResult { number, known } => {
                let index = self.callbacks.iter().position(|(own, _)| *own == number)?;
                let (_, caller) = self.callbacks.remove(index);
                Some(LinkEvent::CallbackResult { caller, known })
            }
            Message::ShuttingDown => {
                self.peer_shutting_down = true;
                Some(LinkEvent::ShuttingDown)
            }
            Message::IdleConnection { input, used_before }
                if synchronized && self.peer_shutting_down =>
            {
                Some(LinkEvent::IdleConnection { input, used_before })
            }
            _ => None,
        }
    }

    fn pending_callers(&self) -> Vec<u64> {
        self.callbacks.iter().map(|(_, caller)| *caller).collect()
    }
}

/// One side of a link, its model, and the messages that are in transit to it.
struct Side {
    link: Link,
    model: Model,
    /// Messages that have not been delivered in whole.
    messages: Vec<Message>,
    /// Sizes of the frames of `messages`.
    frame_sizes: Vec<usize>,
    /// Bytes that have not been delivered.
    stream: Vec<u8>,
    /// Number of bytes delivered of the first frame of `frame_sizes`.
    delivered: usize,
}

impl Side {
    /// Returns a side to which the greeting and the hello of `peer` are in transit.
    fn new(role: Role, peer: &Link) -> Self {
        let stream = opening_bytes(peer);
        Self {
            link: new_link(role),
            model: Model::default(),
            messages: vec![peer.hello()],
            frame_sizes: vec![stream.len()],
            stream,
            delivered: 0,
        }
    }

    fn add_in_transit(&mut self, message: Message) {
        let bytes = frame(&message);
        self.frame_sizes.push(bytes.len());
        self.stream.extend(bytes);
        self.messages.push(message);
    }

    /// Predicts the events of the frames that have been delivered in whole; `Err` with the events
    /// before a message that is not allowed.
    fn predict_events(&mut self) -> Result<Vec<LinkEvent>, Vec<LinkEvent>> {
        let mut events = Vec::new();
        while let Some(size) = self.frame_sizes.first()
            && self.delivered >= *size
        {
            self.delivered -= self.frame_sizes.remove(0);
            match self.model.handle(self.messages.remove(0)) {
                Some(event) => events.push(event),
                None => return Err(events),
            }
        }
        Ok(events)
    }

    /// Delivers up to `size` bytes and compares the link with the model; returns whether the link
    /// stays open.
    fn deliver(&mut self, size: usize) -> Result<bool, TestCaseError> {
        let piece: Vec<u8> = self.stream.drain(..size.min(self.stream.len())).collect();
        self.delivered += piece.len();
        let predicted = self.predict_events();
        let invalid = predicted.is_err();
        let expected = predicted.unwrap_or_else(|events| events);
        let mut events = Vec::new();
        let result = self.link.receive(&piece, &mut events);
        prop_assert_eq!(&events, &expected);
        prop_assert_eq!(result.is_err(), invalid, "{:?}", result);
        if invalid {
            return Ok(false);
        }
        let (link, model) = (&self.link, &self.model);
        prop_assert_eq!(link.is_hello_received(), model.hello_received);
        prop_assert_eq!(
            link.is_synchronized(),
            model.hello_received && model.has_snapshot
        );
        prop_assert_eq!(link.is_peer_shutting_down(), model.peer_shutting_down);
        prop_assert_eq!(link.pending_callers(), model.pending_callers());
        Ok(true)
    }

    /// Forwards a callback, and returns its message.
    fn forward_callback(&mut self, caller: u64) -> Result<Message, TestCaseError> {
        let message = self.link.forward_callback(100.0, caller, vec![7]);
        self.model.last_callback += 1;
        let number = self.model.last_callback;
        let body = vec![7];
        prop_assert_eq!(&message, &Message::Callback { number, body });
        self.model.callbacks.push((number, caller));
        Ok(message)
    }

    /// Completes the snapshot, unless the hello is outstanding or the snapshot is complete, and
    /// returns the message.
    fn complete_snapshot(&mut self) -> Option<Message> {
        let is_due = self.model.hello_received && !self.model.has_snapshot;
        is_due.then(|| {
            self.link.complete_snapshot();
            self.model.has_snapshot = true;
            Message::SnapshotComplete
        })
    }
}

/// Guards against a link whose state or events do not follow from the messages that it has
/// received. Two sides take random steps, some of which send messages that are not allowed, and
/// bytes are delivered in random pieces. A model predicts the events or an error.
#[test]
fn link_state_follows_its_messages() {
    let step = (0usize..9, any::<bool>(), 1usize..60);
    check_property(600, proptest::collection::vec(step, 1..120), |steps| {
        let mut sides = [
            Side::new(Role::Older, &new_link(Role::Newer)),
            Side::new(Role::Newer, &new_link(Role::Older)),
        ];
        let mut caller = 0;
        for (action, newer, size) in steps {
            let sender = &mut sides[usize::from(newer)];
            let message = match action {
                0 => Some(Message::StateUpdate(StateUpdate::RequestFinished {
                    id: format!("{caller}"),
                })),
                1 => Some(Message::DescriptorsHeld(size as u32)),
                2 => {
                    caller += 1;
                    Some(sender.forward_callback(caller)?)
                }
                3 => Some(Message::CallbackResult {
                    number: size as u64 % 4 + 1,
                    known: newer,
                }),
                4 if !newer => sender.complete_snapshot(),
                5 if size > 50 => Some(Message::ShuttingDown),
                6 if size > 40 => Some(Message::IdleConnection {
                    input: vec![1],
                    used_before: newer,
                }),
                _ => None,
            };
            if let Some(message) = message {
                sides[usize::from(!newer)].add_in_transit(message);
            }
            // The side that has taken the step then receives a piece of what is in transit to it.
            if !sides[usize::from(newer)].deliver(size)? {
                return Ok(());
            }
        }
        Ok(())
    });
}
