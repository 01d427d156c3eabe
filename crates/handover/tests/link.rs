//! Two links against each other, cut anywhere, and one against whatever bytes come. Fixed seeds.

use postproxy_handover::{
    DecodeError, GREETING_MAGIC, Link, LinkEvent, MAX_FRAME_BYTES, Message, Role, StateUpdate,
    VERSION, frame, greeting,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn link(role: Role) -> Link {
    Link::new(role, "n1", "127.0.0.1:80", 100.0)
}

/// What a side has sent at first.
fn first(link: &Link) -> Vec<u8> {
    [greeting(), frame(&link.hello())].concat()
}

fn received(link: &mut Link, bytes: &[u8]) -> Result<Vec<LinkEvent>, DecodeError> {
    let mut news = Vec::new();
    link.receive(bytes, &mut news).map(|()| news)
}

/// Both sides after the greeting, the older one has told all.
fn joined() -> (Link, Link) {
    let (mut older, mut newer) = (link(Role::Older), link(Role::Newer));
    assert_eq!(
        received(&mut older, &first(&newer)),
        Ok(vec![LinkEvent::Greeted])
    );
    assert_eq!(
        received(&mut newer, &first(&older)),
        Ok(vec![LinkEvent::Greeted])
    );
    assert!(!older.is_joined() && !newer.is_joined());
    older.complete_snapshot();
    assert_eq!(
        received(&mut newer, &frame(&Message::SnapshotComplete)),
        Ok(vec![LinkEvent::SnapshotComplete])
    );
    assert!(older.is_joined() && newer.is_joined());
    (older, newer)
}

fn tale() -> impl Strategy<Value = StateUpdate> {
    let id = "[a-z0-9]{0,12}";
    prop_oneof![
        (id, any::<bool>()).prop_map(|(worker, again)| StateUpdate::WorkerSuspensionChanged {
            worker,
            resume: again
        }),
        (any::<bool>(), 0f32..9.0).prop_map(|(on, ago)| StateUpdate::DrainChanged {
            draining: on,
            seconds_ago: ago
        }),
        proptest::collection::vec(any::<u8>(), 0..600).prop_map(StateUpdate::WorkerList),
        (id, any::<bool>())
            .prop_map(|(id, counts)| StateUpdate::RequestAdmitted { id, is_new: counts }),
        (id, any::<u16>(), id, 0f32..9.0, any::<bool>()).prop_map(
            |(id, attempt, worker, ago, counts)| {
                StateUpdate::AttemptSent {
                    id,
                    attempt,
                    worker,
                    slots: 1.0,
                    expected_work: 0.5,
                    seconds_ago: ago,
                    is_new: counts,
                }
            }
        ),
        (id, any::<u16>()).prop_map(|(id, attempt)| StateUpdate::AttemptEnded { id, attempt }),
        id.prop_map(|id| StateUpdate::RequestFinished { id }),
        proptest::collection::vec(0f32..9.0, 0..50).prop_map(|taken| StateUpdate::BudgetHistory {
            admissions: taken,
            retries: vec![1.0]
        }),
    ]
}

fn run<S: Strategy>(cases: u32, strategy: S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
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
fn what_is_told_arrives_however_it_is_cut() {
    let cuts = proptest::collection::vec(1usize..40, 1..20);
    run(
        400,
        (proptest::collection::vec(tale(), 0..20), cuts),
        |(tales, cuts)| {
            let (_, mut newer) = joined();
            let bytes: Vec<u8> = tales
                .iter()
                .flat_map(|t| frame(&Message::StateUpdate(t.clone())))
                .collect();
            let (mut news, mut rest, mut cuts) = (Vec::new(), &bytes[..], cuts.iter().cycle());
            while !rest.is_empty() {
                let size = rest.len().min(*cuts.next().expect("a cycle"));
                newer
                    .receive(&rest[..size], &mut news)
                    .expect("sound messages");
                rest = &rest[size..];
            }
            prop_assert_eq!(
                news,
                tales
                    .into_iter()
                    .map(LinkEvent::StateUpdate)
                    .collect::<Vec<_>>()
            );
            Ok(())
        },
    );
}

/// Guards against bytes that panic, are held without a bound, or are taken for a greeting.
#[test]
fn foreign_bytes_end_in_a_fault() {
    run(
        2000,
        proptest::collection::vec(any::<u8>(), 0..300),
        |bytes| {
            let mut older = link(Role::Older);
            if let Ok(news) = received(&mut older, &bytes) {
                prop_assert!(news.is_empty(), "{:?}", news);
                prop_assert!(
                    GREETING_MAGIC.starts_with(&bytes[..bytes.len().min(GREETING_MAGIC.len())])
                );
            }
            // Behind a true greeting, too.
            let (_, mut newer) = joined();
            let _ = received(&mut newer, &bytes);
            Ok(())
        },
    );
}

/// Guards against going by another version, another node, a message out of turn, or a frame of any length.
#[test]
fn what_can_not_be_gone_by_is_named() {
    let mut other = GREETING_MAGIC.to_vec();
    other.extend((VERSION + 1).to_be_bytes());
    assert_eq!(
        received(&mut link(Role::Older), &other),
        Err(DecodeError::UnsupportedVersion(VERSION + 1))
    );
    assert_eq!(
        received(&mut link(Role::Older), b"GET / HTTP/1.1"),
        Err(DecodeError::UnknownProtocol)
    );
    let foreign = Link::new(Role::Newer, "n2", "127.0.0.1:80", 100.0);
    assert!(matches!(
        received(&mut link(Role::Older), &first(&foreign)),
        Err(DecodeError::OtherNode(_))
    ));
    let long = [
        greeting(),
        (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec(),
    ]
    .concat();
    assert_eq!(
        received(&mut link(Role::Older), &long),
        Err(DecodeError::FrameTooLong(MAX_FRAME_BYTES as u32 + 1))
    );
    let early = [greeting(), frame(&Message::ShuttingDown)].concat();
    assert_eq!(
        received(&mut link(Role::Older), &early),
        Err(DecodeError::UnexpectedMessage)
    );
    let client = Message::QuietConnection {
        input: Vec::new(),
        used_before: true,
    };
    let job = Message::Request {
        request: vec![1],
        input: Vec::new(),
        close_after_answer: false,
    };
    let (mut older, mut newer) = joined();
    for message in [
        link(Role::Older).hello(),
        Message::SnapshotComplete,
        Message::CallbackResult {
            number: 3,
            known: true,
        },
        client.clone(),
        job.clone(),
    ] {
        let (_, mut newer) = joined();
        assert_eq!(
            received(&mut newer, &frame(&message)),
            Err(DecodeError::UnexpectedMessage),
            "{message:?}"
        );
    }
    assert_eq!(
        received(&mut older, &frame(&Message::SnapshotComplete)),
        Err(DecodeError::UnexpectedMessage),
        "only the newer is told all"
    );
    assert_eq!(
        received(&mut newer, &frame(&Message::ShuttingDown)),
        Ok(vec![LinkEvent::ShuttingDown])
    );
    assert_eq!(
        received(&mut newer, &frame(&client)),
        Ok(vec![LinkEvent::QuietConnection {
            input: Vec::new(),
            used_before: true
        }])
    );
    assert_eq!(
        received(&mut newer, &frame(&job)),
        Ok(vec![LinkEvent::Request {
            request: vec![1],
            input: Vec::new(),
            close_after_answer: false
        }])
    );
    let mut empty = 0u32.to_be_bytes().to_vec();
    assert_eq!(received(&mut newer, &empty), Err(DecodeError::Malformed));
    empty = [3u32.to_be_bytes().to_vec(), vec![255, 255, 255]].concat();
    assert_eq!(
        received(&mut joined().0, &empty),
        Err(DecodeError::Malformed)
    );
}

/// Guards against a word that reaches another call, a call that waits for ever, and a greeting that does.
#[test]
fn each_call_has_its_word_or_its_time() {
    let (mut older, mut newer) = joined();
    let one = newer.forward_callback(100.0, 11, b"a".to_vec());
    let two = newer.forward_callback(100.5, 22, b"b".to_vec());
    let news = received(&mut older, &[frame(&one), frame(&two)].concat()).expect("calls");
    let [
        LinkEvent::Callback {
            number: first,
            body: a,
        },
        LinkEvent::Callback {
            number: second,
            body: b,
        },
    ] = &news[..]
    else {
        panic!("{news:?}")
    };
    assert_eq!(
        (&a[..], &b[..], newer.pending_callers()),
        (&b"a"[..], &b"b"[..], vec![11, 22])
    );
    let word = frame(&Message::CallbackResult {
        number: *second,
        known: true,
    });
    assert_eq!(
        received(&mut newer, &word),
        Ok(vec![LinkEvent::CallbackResult {
            caller: 22,
            known: true
        }])
    );
    assert_eq!(
        received(&mut newer, &word),
        Err(DecodeError::UnexpectedMessage),
        "one word a call"
    );
    assert!(newer.check_timeouts(101.9).is_ok());
    assert_eq!(
        (newer.check_timeouts(102.1), newer.pending_callers()),
        (Err(DecodeError::TimedOut), vec![11])
    );
    let word = frame(&Message::CallbackResult {
        number: *first,
        known: false,
    });
    let mut newer_two = joined().1;
    assert!(received(&mut newer_two, &word).is_err());
    assert!(link(Role::Newer).check_timeouts(100.9).is_ok());
    assert_eq!(
        link(Role::Newer).check_timeouts(101.1),
        Err(DecodeError::TimedOut)
    );
    assert!(
        older.check_timeouts(500.0).is_ok(),
        "a link on which nothing is owed lasts"
    );
}

/// What the model knows of one side.
#[derive(Clone, Default)]
struct Model {
    greeted: bool,
    told: bool,
    leaves: bool,
    /// Own calls that wait, by their number, with who waits.
    calls: Vec<(u64, u64)>,
    next: u64,
}

/// Guards against a link whose state is not what was said on it: two sides, random steps, bytes delivered in random
/// pieces, and sides that say what they may not. The model says which news, or that it is a fault.
#[test]
fn a_link_is_what_was_said_on_it() {
    let step = (0usize..9, any::<bool>(), 1usize..60);
    run(600, proptest::collection::vec(step, 1..120), |steps| {
        let mut links = [link(Role::Older), link(Role::Newer)];
        let mut models = [Model::default(), Model::default()];
        // Messages on their way to each side, their bytes, and how much of these has been delivered.
        let mut queues: [Vec<Message>; 2] = Default::default();
        let mut wires = [first(&links[1]), first(&links[0])];
        let mut sizes: [Vec<usize>; 2] = [vec![wires[0].len()], vec![wires[1].len()]];
        queues[0].push(links[1].hello());
        queues[1].push(links[0].hello());
        let mut delivered = [0, 0];
        let (mut who, now) = (0, 100.0);
        for (what, newer, size) in steps {
            let (at, to) = (usize::from(newer), usize::from(!newer));
            let message = match what {
                0 => Some(Message::StateUpdate(StateUpdate::RequestFinished {
                    id: format!("{who}"),
                })),
                1 => Some(Message::DescriptorsHeld(size as u32)),
                2 => {
                    who += 1;
                    let message = links[at].forward_callback(now, who, vec![7]);
                    models[at].next += 1;
                    let number = models[at].next;
                    prop_assert_eq!(
                        &message,
                        &Message::Callback {
                            number,
                            body: vec![7]
                        }
                    );
                    models[at].calls.push((number, who));
                    Some(message)
                }
                3 => Some(Message::CallbackResult {
                    number: size as u64 % 4 + 1,
                    known: newer,
                }),
                4 if at == 0 && models[0].greeted && !models[0].told => {
                    links[0].complete_snapshot();
                    models[0].told = true;
                    Some(Message::SnapshotComplete)
                }
                5 if size > 50 => Some(Message::ShuttingDown),
                6 if size > 40 => Some(Message::QuietConnection {
                    input: vec![1],
                    used_before: newer,
                }),
                _ => None,
            };
            if let Some(message) = message {
                let bytes = frame(&message);
                sizes[to].push(bytes.len());
                wires[to].extend(bytes);
                queues[to].push(message);
            }
            // A piece is delivered to the side of this step.
            let piece: Vec<u8> = wires[at].drain(..size.min(wires[at].len())).collect();
            delivered[at] += piece.len();
            let mut wanted = Vec::new();
            let mut fault = false;
            while sizes[at].first().is_some_and(|size| delivered[at] >= *size) && !fault {
                delivered[at] -= sizes[at].remove(0);
                let (message, model) = (queues[at].remove(0), &mut models[at]);
                let joined = model.greeted && model.told;
                let news = match message {
                    Message::Hello { .. } => {
                        model.greeted = true;
                        Some(LinkEvent::Greeted)
                    }
                    Message::SnapshotComplete => {
                        model.told = true;
                        Some(LinkEvent::SnapshotComplete)
                    }
                    Message::StateUpdate(tale) => Some(LinkEvent::StateUpdate(tale)),
                    Message::DescriptorsHeld(most) => Some(LinkEvent::DescriptorsHeld(most)),
                    Message::Callback { number, body } => {
                        Some(LinkEvent::Callback { number, body })
                    }
                    Message::CallbackResult { number, known } => {
                        let waits = model.calls.iter().position(|(n, _)| *n == number);
                        waits.map(|i| LinkEvent::CallbackResult {
                            caller: model.calls.remove(i).1,
                            known,
                        })
                    }
                    Message::ShuttingDown => {
                        model.leaves = true;
                        Some(LinkEvent::ShuttingDown)
                    }
                    Message::QuietConnection {
                        input,
                        used_before: useful,
                    } if joined && model.leaves => Some(LinkEvent::QuietConnection {
                        input,
                        used_before: useful,
                    }),
                    _ => None,
                };
                fault = news.is_none();
                wanted.extend(news);
            }
            let mut news = Vec::new();
            let received = links[at].receive(&piece, &mut news);
            prop_assert_eq!(&news, &wanted);
            prop_assert_eq!(received.is_err(), fault, "{:?}", received);
            if fault {
                return Ok(());
            }
            let (link, model) = (&links[at], &models[at]);
            prop_assert_eq!(link.is_greeted(), model.greeted);
            prop_assert_eq!(link.is_joined(), model.greeted && model.told);
            prop_assert_eq!(link.is_peer_shutting_down(), model.leaves);
            prop_assert_eq!(
                link.pending_callers(),
                model.calls.iter().map(|(_, who)| *who).collect::<Vec<_>>()
            );
        }
        Ok(())
    });
}
