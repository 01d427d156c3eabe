//! Two links against each other, with bytes cut anywhere, and one link against arbitrary bytes.
//! Fixed seeds.

use postproxy_handover::{
    DecodeError, GREETING_MAGIC, Link, LinkEvent, MAX_FRAME_BYTES, Message, Role, StateUpdate,
    VERSION, frame, greeting,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn new_link(role: Role) -> Link {
    Link::new(role, "n1", "127.0.0.1:80", 100.0)
}

/// The bytes that a side sends first.
fn opening_bytes(link: &Link) -> Vec<u8> {
    [greeting(), frame(&link.hello())].concat()
}

fn receive(link: &mut Link, bytes: &[u8]) -> Result<Vec<LinkEvent>, DecodeError> {
    let mut events = Vec::new();
    link.receive(bytes, &mut events).map(|()| events)
}

/// Both sides after the greeting and the older side's snapshot.
fn joined_links() -> (Link, Link) {
    let mut older = new_link(Role::Older);
    let mut newer = new_link(Role::Newer);
    assert_eq!(
        receive(&mut older, &opening_bytes(&newer)),
        Ok(vec![LinkEvent::Greeted])
    );
    assert_eq!(
        receive(&mut newer, &opening_bytes(&older)),
        Ok(vec![LinkEvent::Greeted])
    );
    assert!(!older.is_joined() && !newer.is_joined());
    older.complete_snapshot();
    assert_eq!(
        receive(&mut newer, &frame(&Message::SnapshotComplete)),
        Ok(vec![LinkEvent::SnapshotComplete])
    );
    assert!(older.is_joined() && newer.is_joined());
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
        .expect("it holds");
}

/// Guards against a message that is lost, doubled or changed by where its bytes are cut.
#[test]
fn state_updates_arrive_however_the_bytes_are_cut() {
    let cuts = proptest::collection::vec(1usize..40, 1..20);
    check_property(
        400,
        (proptest::collection::vec(any_state_update(), 0..20), cuts),
        |(updates, cuts)| {
            let (_, mut newer) = joined_links();
            let bytes: Vec<u8> = updates
                .iter()
                .flat_map(|t| frame(&Message::StateUpdate(t.clone())))
                .collect();
            let mut events = Vec::new();
            let mut rest = &bytes[..];
            let mut cuts = cuts.iter().cycle();
            while !rest.is_empty() {
                let size = rest.len().min(*cuts.next().expect("a cycle"));
                newer
                    .receive(&rest[..size], &mut events)
                    .expect("sound messages");
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

/// Guards against bytes that cause a panic, are buffered without a bound, or pass for a greeting.
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
            // After a valid greeting, too.
            let (_, mut newer) = joined_links();
            let _ = receive(&mut newer, &bytes);
            Ok(())
        },
    );
}

/// Guards against accepting another version, another node, an unexpected message, or a frame of any
/// length.
#[test]
fn each_protocol_violation_has_its_error() {
    let mut other = GREETING_MAGIC.to_vec();
    other.extend((VERSION + 1).to_be_bytes());
    assert_eq!(
        receive(&mut new_link(Role::Older), &other),
        Err(DecodeError::UnsupportedVersion(VERSION + 1))
    );
    assert_eq!(
        receive(&mut new_link(Role::Older), b"GET / HTTP/1.1"),
        Err(DecodeError::UnknownProtocol)
    );
    let foreign = Link::new(Role::Newer, "n2", "127.0.0.1:80", 100.0);
    assert!(matches!(
        receive(&mut new_link(Role::Older), &opening_bytes(&foreign)),
        Err(DecodeError::OtherNode(_))
    ));
    let long = [
        greeting(),
        (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec(),
    ]
    .concat();
    assert_eq!(
        receive(&mut new_link(Role::Older), &long),
        Err(DecodeError::FrameTooLong(MAX_FRAME_BYTES as u32 + 1))
    );
    let premature = [greeting(), frame(&Message::ShuttingDown)].concat();
    assert_eq!(
        receive(&mut new_link(Role::Older), &premature),
        Err(DecodeError::UnexpectedMessage)
    );
    let client = Message::QuietConnection {
        input: Vec::new(),
        used_before: true,
    };
    let request = Message::Request {
        request: vec![1],
        input: Vec::new(),
        close_after_answer: false,
    };
    let (mut older, mut newer) = joined_links();
    for message in [
        new_link(Role::Older).hello(),
        Message::SnapshotComplete,
        Message::CallbackResult {
            number: 3,
            known: true,
        },
        client.clone(),
        request.clone(),
    ] {
        let (_, mut newer) = joined_links();
        assert_eq!(
            receive(&mut newer, &frame(&message)),
            Err(DecodeError::UnexpectedMessage),
            "{message:?}"
        );
    }
    assert_eq!(
        receive(&mut older, &frame(&Message::SnapshotComplete)),
        Err(DecodeError::UnexpectedMessage),
        "only the newer side receives a snapshot"
    );
    assert_eq!(
        receive(&mut newer, &frame(&Message::ShuttingDown)),
        Ok(vec![LinkEvent::ShuttingDown])
    );
    assert_eq!(
        receive(&mut newer, &frame(&client)),
        Ok(vec![LinkEvent::QuietConnection {
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
    let mut empty = 0u32.to_be_bytes().to_vec();
    assert_eq!(receive(&mut newer, &empty), Err(DecodeError::Malformed));
    empty = [3u32.to_be_bytes().to_vec(), vec![255, 255, 255]].concat();
    assert_eq!(
        receive(&mut joined_links().0, &empty),
        Err(DecodeError::Malformed)
    );
}

/// Guards against a result that reaches another call-back, and a call-back or a greeting that is
/// awaited for ever.
#[test]
fn each_callback_gets_its_result_or_times_out() {
    let (mut older, mut newer) = joined_links();
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
        Err(DecodeError::UnexpectedMessage),
        "one result for each call-back"
    );
    assert!(newer.check_timeouts(101.9).is_ok());
    assert_eq!(
        (newer.check_timeouts(102.1), newer.pending_callers()),
        (Err(DecodeError::TimedOut), vec![11])
    );
    let result = frame(&Message::CallbackResult {
        number: *first,
        known: false,
    });
    let mut newer_two = joined_links().1;
    assert!(receive(&mut newer_two, &result).is_err());
    assert!(new_link(Role::Newer).check_timeouts(100.9).is_ok());
    assert_eq!(
        new_link(Role::Newer).check_timeouts(101.1),
        Err(DecodeError::TimedOut)
    );
    assert!(
        older.check_timeouts(500.0).is_ok(),
        "a link on which nothing is awaited stays open"
    );
}

/// The model's state of one side.
#[derive(Clone, Default)]
struct Model {
    greeted: bool,
    has_snapshot: bool,
    peer_shutting_down: bool,
    /// Own call-backs that wait: their numbers and callers.
    callbacks: Vec<(u64, u64)>,
    last_callback: u64,
}

impl Model {
    /// Predicts the event of a message; `None` if the message is not allowed.
    fn handle(&mut self, message: Message) -> Option<LinkEvent> {
        let joined = self.greeted && self.has_snapshot;
        match message {
            Message::Hello { .. } => {
                self.greeted = true;
                Some(LinkEvent::Greeted)
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
            Message::QuietConnection { input, used_before }
                if joined && self.peer_shutting_down =>
            {
                Some(LinkEvent::QuietConnection { input, used_before })
            }
            _ => None,
        }
    }

    fn pending_callers(&self) -> Vec<u64> {
        self.callbacks.iter().map(|(_, caller)| *caller).collect()
    }
}

/// One side of a link with its model, and what is in transit to it.
struct Side {
    link: Link,
    model: Model,
    /// Messages in transit, and the sizes of their frames.
    messages: Vec<Message>,
    frame_sizes: Vec<usize>,
    /// Bytes in transit.
    stream: Vec<u8>,
    /// Bytes that were delivered and belong to no complete frame yet.
    delivered: usize,
}

impl Side {
    /// A side to which the other one's greeting and hello are in transit.
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

    /// Predicts the events of the frames that are complete; `Err` with those before a message that
    /// is not allowed.
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
        prop_assert_eq!(link.is_greeted(), model.greeted);
        prop_assert_eq!(link.is_joined(), model.greeted && model.has_snapshot);
        prop_assert_eq!(link.is_peer_shutting_down(), model.peer_shutting_down);
        prop_assert_eq!(link.pending_callers(), model.pending_callers());
        Ok(true)
    }

    /// Forwards a call-back, and returns its message.
    fn forward_callback(&mut self, caller: u64) -> Result<Message, TestCaseError> {
        let message = self.link.forward_callback(100.0, caller, vec![7]);
        self.model.last_callback += 1;
        let number = self.model.last_callback;
        let body = vec![7];
        prop_assert_eq!(&message, &Message::Callback { number, body });
        self.model.callbacks.push((number, caller));
        Ok(message)
    }

    /// Completes the snapshot of the older side, if it is due, and returns the message.
    fn complete_snapshot(&mut self) -> Option<Message> {
        let is_due = self.model.greeted && !self.model.has_snapshot;
        is_due.then(|| {
            self.link.complete_snapshot();
            self.model.has_snapshot = true;
            Message::SnapshotComplete
        })
    }
}

/// Guards against a link whose state differs from the messages on it: two sides, random steps,
/// bytes delivered in random pieces, and messages that are not allowed. The model predicts the
/// events, or an error.
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
                6 if size > 40 => Some(Message::QuietConnection {
                    input: vec![1],
                    used_before: newer,
                }),
                _ => None,
            };
            if let Some(message) = message {
                sides[usize::from(!newer)].add_in_transit(message);
            }
            // A piece is delivered to the side of this step.
            if !sides[usize::from(newer)].deliver(size)? {
                return Ok(());
            }
        }
        Ok(())
    });
}
