//! Pins the encodings of commands, answers and the state of duties. Commands are entries of the replicated log and the
//! state is part of its snapshots; both are stored and sent to other nodes, which may run another version. So these bytes
//! must not change with a rename. The literals were written by the version before the renames.

use postproxy_duties::{
    Answer, Call, Command, Duty, Effect, Fence, MOST_DUTIES, MOST_NAME, MOST_VALUE, Refusal, Stale, State,
};
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;

/// Returns the bytes as lower-case hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the bytes that the hexadecimal digits stand for.
fn unhex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("digits"), 16).expect("a byte");
    pairs.map(byte).collect()
}

/// Asserts that the value is encoded as this literal, and decoded from it.
#[track_caller]
fn pin<T: Debug + DeserializeOwned + PartialEq + Serialize>(value: T, literal: &str) {
    let bytes = postcard::to_stdvec(&value).expect("an encoded value");
    assert_eq!(hex(&bytes), literal, "{value:?}");
    assert_eq!(postcard::from_bytes::<T>(&unhex(literal)).expect("a value"), value);
}

#[test]
fn limits_are_unchanged() {
    assert_eq!((MOST_NAME, MOST_VALUE, MOST_DUTIES), (64, 65_536, 4096));
}

#[test]
fn calls_keep_their_bytes() {
    pin(Call::Acquire("d-1".into()), "0003642d31");
    pin(Call::Renew(vec![("d-2".into(), 300), ("d-3".into(), 4)]), "010203642d32ac0203642d3304");
    pin(Call::Renew(Vec::new()), "0100");
    pin(Call::Release("d-4".into(), 5), "0203642d3405");
    pin(Call::Hand("d-5".into(), Some(6), "n-2".into()), "0303642d350106036e2d32");
    pin(Call::Hand("d-5".into(), None, "n-2".into()), "0303642d3500036e2d32");
    pin(Call::Save("d-6".into(), 7, vec![8, 9]), "0403642d3607020809");
    pin(Call::Save("d-6".into(), 7, Vec::new()), "0403642d360700");
    pin(Call::Expire(vec![("d-7".into(), 10, 11)]), "050103642d370a0b");
    pin(Call::Expire(Vec::new()), "0500");
}

#[test]
fn commands_keep_their_bytes() {
    let call = Call::Acquire("d-1".into());
    pin(
        Command { node: "n-1".into(), life: u64::MAX, number: 2, call },
        "036e2d31ffffffffffffffffff01020003642d31",
    );
    let call = Call::Renew(Vec::new());
    pin(Command { node: String::new(), life: 0, number: 0, call }, "0000000100");
}

#[test]
fn answers_keep_their_bytes() {
    pin(Answer::Owns(300, vec![1, 2]), "00ac02020102");
    pin(Answer::Owns(1, Vec::new()), "000100");
    let renewed = vec![("d-1".into(), Some("n-2".into())), ("d-2".into(), None)];
    pin(Answer::Renewed(renewed, vec!["d-3".into()]), "010203642d3101036e2d3203642d32000103642d33");
    pin(Answer::Renewed(Vec::new(), Vec::new()), "010000");
    pin(Answer::Done, "02");
    pin(Answer::Refused(Refusal::Owned("n-3".into(), 4)), "0300036e2d3304");
    pin(Answer::Refused(Refusal::Stale(Some(5))), "03010105");
    pin(Answer::Refused(Refusal::Stale(None)), "030100");
    pin(Answer::Refused(Refusal::Unknown), "0302");
    pin(Answer::Refused(Refusal::Malformed), "0303");
    pin(Answer::Refused(Refusal::Full), "0304");
    pin(Answer::Refused(Refusal::Old), "0305");
}

#[test]
fn duties_keep_their_bytes() {
    let (owner, next) = (Some(("n-1".to_owned(), 2)), Some("n-2".to_owned()));
    pin(Duty { owner, renewals: 3, next, value: vec![4, 5], saved: 6 }, "01036e2d31020301036e2d3202040506");
    pin(Duty::default(), "0000000000");
}

/// A state that these calls have led to: two duties, one of them without an owner, and two clients.
fn state() -> State {
    let calls = [
        ("n-1", 17, 1, Call::Acquire("audit".into())),
        ("n-1", 17, 2, Call::Save("audit".into(), 1, vec![0xaa, 0xbb])),
        ("n-2", 18, 1, Call::Acquire("other".into())),
        ("n-2", 18, 2, Call::Hand("audit".into(), None, "n-2".into())),
        ("n-2", 18, 3, Call::Release("other".into(), 2)),
        ("n-1", 17, 3, Call::Renew(vec![("audit".into(), 1)])),
    ];
    let mut state = State::default();
    for (node, life, number, call) in calls {
        state.apply(&Command { node: node.into(), life, number, call });
    }
    state
}

#[test]
fn state_keeps_its_bytes() {
    pin(
        state(),
        "0205617564697401036e2d31010201036e2d3202aabb01056f7468657200010000000202036e2d311103010105617564697401036e2d320006036e2d321203020506",
    );
    pin(State::default(), "00000000");
}

#[test]
fn fences_and_effects_keep_their_bytes() {
    let mut fence = Fence::default();
    pin(fence.clone(), "0000");
    fence.learn("d-1", 5).expect("a first token");
    fence.learn("d-2", 300).expect("a first token");
    fence.learn("d-1", 4).expect_err("a stale token");
    pin(fence, "0203642d310503642d32ac0201");
    pin(Stale { duty: "d-1".into(), token: 2, seen: 3 }, "03642d310203");
    // An effect can't be made without a permit, but it can be read: duty, token, content.
    let read: Effect<u8> = postcard::from_bytes(&unhex("03642d310509")).expect("an effect");
    assert_eq!((read.duty(), read.token()), ("d-1", 5));
    pin(read, "03642d310509");
}
