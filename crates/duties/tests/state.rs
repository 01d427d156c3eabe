//! The state, the holder and the granter by themselves: each answer of each call, and time at its edges.

use postproxy_duties::{
    Answer, Call, Command, Effect, Fence, Granter, Holder, MOST_DUTIES, MOST_NAME, MOST_VALUE, Refusal,
    Stale, State, Times,
};

struct Log {
    state: State,
    number: u64,
}

impl Log {
    fn new() -> Self {
        Self { state: State::default(), number: 0 }
    }

    fn call(&mut self, node: &str, call: Call) -> Answer {
        self.number += 1;
        self.state.apply(&Command { node: node.into(), life: 1, number: self.number, call })
    }

    fn owner(&self, duty: &str) -> Option<(String, u64)> {
        self.state.duty(duty)?.owner.clone()
    }
}

fn d() -> String {
    "d".into()
}

/// Guards against a duty of two, a token that comes again, a checkpoint by a token that is over, and answers that do not say why.
#[test]
fn each_call_comes_to_its_answer() {
    let mut log = Log::new();
    let refused = Answer::Refused;
    assert_eq!(log.call("a", Call::Release(d(), 1)), refused(Refusal::Unknown));
    assert_eq!(log.call("a", Call::Hand(d(), None, "b".into())), refused(Refusal::Unknown));
    assert_eq!(log.call("a", Call::Acquire(d())), Answer::Owns(1, Vec::new()));
    assert_eq!(log.call("b", Call::Acquire(d())), refused(Refusal::Owned("a".into(), 1)));
    assert_eq!(log.call("a", Call::Save(d(), 1, b"x".to_vec())), Answer::Done);
    assert_eq!(log.call("b", Call::Save(d(), 2, b"y".to_vec())), refused(Refusal::Stale(Some(1))));
    // In a new life it owns it anew: what the earlier one still does is refused.
    assert_eq!(log.call("a", Call::Acquire(d())), Answer::Owns(2, b"x".to_vec()));
    assert_eq!(log.call("a", Call::Save(d(), 1, b"y".to_vec())), refused(Refusal::Stale(Some(2))));
    let both = vec![(d(), 2), ("e".into(), 2)];
    assert_eq!(
        log.call("a", Call::Renew(both.clone())),
        Answer::Renewed(vec![(d(), None)], vec!["e".into()])
    );
    assert_eq!(
        log.call("b", Call::Renew(both)),
        Answer::Renewed(Vec::new(), vec![d(), "e".into()]),
        "not its own"
    );
    // Wanted by an operator: it is told to the owner, who hands it on; a release does so, too.
    assert_eq!(log.call("b", Call::Hand(d(), None, "c".into())), Answer::Done);
    assert_eq!(log.owner("d"), Some(("a".into(), 2)));
    assert_eq!(
        log.call("a", Call::Renew(vec![(d(), 2)])),
        Answer::Renewed(vec![(d(), Some("c".into()))], Vec::new())
    );
    assert_eq!(log.call("a", Call::Release(d(), 2)), Answer::Done);
    assert_eq!(log.owner("d"), Some(("c".into(), 3)));
    assert_eq!(log.call("a", Call::Release(d(), 2)), refused(Refusal::Stale(Some(3))));
    assert_eq!(log.call("c", Call::Hand(d(), Some(3), "a".into())), Answer::Done);
    assert_eq!(log.owner("d"), Some(("a".into(), 4)), "by its owner: at once");
    // An expiry that has not seen a renewal, or is of an earlier owner, ends nothing.
    let renewals = log.state.duty("d").expect("it is there").renewals;
    log.call("a", Call::Renew(vec![(d(), 4)]));
    log.call("v", Call::Expire(vec![(d(), 4, renewals), (d(), 3, renewals + 1), ("e".into(), 1, 1)]));
    assert_eq!(log.owner("d"), Some(("a".into(), 4)));
    log.call("v", Call::Expire(vec![(d(), 4, renewals + 1)]));
    assert_eq!(log.owner("d"), None);
    assert_eq!(log.call("a", Call::Save(d(), 4, Vec::new())), refused(Refusal::Stale(None)));
    assert_eq!(log.call("b", Call::Acquire(d())), Answer::Owns(5, b"x".to_vec()));
    assert_eq!(log.state.token(), 5);
}

/// Guards against names and values without bound, and against more duties than can be remembered.
#[test]
fn what_is_malformed_or_too_much_is_refused() {
    let mut log = Log::new();
    let malformed = Answer::Refused(Refusal::Malformed);
    for name in ["", &"x".repeat(MOST_NAME + 1)] {
        assert_eq!(log.call("a", Call::Acquire(name.into())), malformed);
        assert_eq!(log.call(name, Call::Acquire(d())), malformed);
    }
    log.call("a", Call::Acquire(d()));
    assert_eq!(log.call("a", Call::Hand(d(), Some(1), String::new())), malformed);
    assert_eq!(log.call("a", Call::Save(d(), 1, vec![0; MOST_VALUE + 1])), malformed);
    for n in 1..MOST_DUTIES {
        assert!(matches!(log.call("a", Call::Acquire(format!("d{n}"))), Answer::Owns(..)));
    }
    assert_eq!(log.call("a", Call::Acquire("one more".into())), Answer::Refused(Refusal::Full));
    assert_eq!(log.state.duties().count(), MOST_DUTIES);
}

/// Guards against a call that is carried out twice because its answer was lost, and one that comes late.
#[test]
fn a_call_that_is_repeated_comes_to_what_it_came_to() {
    let mut state = State::default();
    let command = |life, number, call| Command { node: "a".into(), life, number, call };
    let first = command(1, 1, Call::Acquire(d()));
    assert_eq!(state.apply(&first), Answer::Owns(1, Vec::new()));
    assert_eq!(state.apply(&first), Answer::Owns(1, Vec::new()), "no second token");
    assert_eq!(state.apply(&command(1, 2, Call::Release(d(), 1))), Answer::Done);
    assert_eq!(state.apply(&first), Answer::Refused(Refusal::Old));
    assert_eq!(state.duty("d").and_then(|duty| duty.owner.clone()), None);
    assert_eq!(
        state.apply(&command(2, 1, Call::Acquire(d()))),
        Answer::Owns(2, Vec::new()),
        "another life's numbers"
    );
    // Clients that come and go are forgotten in the order of their last call.
    for n in 0..5000u64 {
        state.apply(&Command { node: format!("n{n}"), life: 1, number: 1, call: Call::Acquire(d()) });
    }
    assert!(postcard::to_stdvec(&state).expect("bytes").len() < 200_000);
}

/// Guards against a lease that runs too long by its owner's clock, or that an answer from before a pause gives back.
#[test]
fn a_lease_ends_by_the_owners_own_clock_and_a_late_turn_voids_it() {
    let mut holder = Holder::new(Times::default());
    holder.turn(10_000);
    assert_eq!(holder.may(10_000, "d"), None);
    holder.granted(10_000, "d", 7);
    let permit = holder.may(10_100, "d").expect("it runs");
    assert_eq!((permit.duty(), permit.token(), permit.left()), ("d", 7, 2840));
    // Turn by turn to its end: 3,000 ms less the drift of 2 %.
    let mut now = 10_000;
    while holder.may(now, "d").is_some() {
        now += 20;
        assert!(!holder.turn(now));
    }
    assert_eq!(now, 12_940);
    assert_eq!(holder.all(), [("d".to_owned(), 7)], "it may still be renewed");
    holder.granted(12_900, "d", 7);
    assert!(holder.may(now, "d").is_some());
    assert_eq!(holder.renew_at(), Some(12_900 + 980));
    // In the middle of a turn that takes too long, and at the next.
    assert!(holder.may(now + 500, "d").is_some() && holder.may(now + 501, "d").is_none());
    assert!(holder.turn(now + 501));
    assert_eq!((holder.may(now + 501, "d"), holder.renew_at()), (None, Some(0)));
    holder.granted(now + 400, "d", 7);
    assert_eq!(holder.may(now + 501, "d"), None, "asked before the pause");
    holder.granted(now + 501, "d", 7);
    assert!(holder.may(now + 501, "d").is_some());
    // An older grant that comes late counts for nothing; neither does the loss of an older one.
    holder.granted(now + 501, "d", 9);
    holder.granted(now + 501, "d", 7);
    holder.lost("d", 7);
    assert_eq!(holder.may(now + 501, "d").map(|permit| permit.token()), Some(9));
    holder.lost("d", 9);
    assert!(holder.all().is_empty());
}

/// Guards against a granter that ends a lease before its owner has, that never does, or that proposes it each turn.
#[test]
fn a_granter_ends_a_lease_once_it_has_seen_it_run_out() {
    let (mut log, mut granter) = (Log::new(), Granter::new(Times::default()));
    log.call("a", Call::Acquire(d()));
    granter.applied(1000, &log.state);
    assert_eq!((granter.next(), granter.due(9000)), (None, None), "it does not lead");
    granter.lead(true);
    assert_eq!((granter.next(), granter.due(4059)), (Some(4060), None));
    log.call("a", Call::Renew(vec![(d(), 1)]));
    granter.applied(2000, &log.state);
    assert_eq!(granter.due(5059), None);
    let over = Call::Expire(vec![(d(), 1, 2)]);
    assert_eq!(granter.due(5060), Some(over.clone()));
    assert_eq!((granter.due(5061), granter.next()), (None, Some(6060)), "it is on its way");
    assert_eq!(granter.due(6060), Some(over.clone()), "it was lost");
    log.call("v", over);
    granter.applied(6100, &log.state);
    assert_eq!((granter.due(60_000), granter.next()), (None, None));
}

/// Guards against an old owner whose effect is taken, and against a fence that forgets or refuses its own.
#[test]
fn a_fence_takes_no_token_below_the_highest() {
    let mut holder = Holder::new(Times::default());
    holder.turn(0);
    let mut effect = |token, what| {
        holder.granted(0, "d", token);
        Effect::new(&holder.may(0, "d").expect("a permit"), what)
    };
    let (old, older) = (effect(3, "old"), effect(3, "older"));
    let new = effect(5, "new");
    let mut fence = Fence::default();
    assert_eq!(fence.admit(old), Ok("old"));
    assert_eq!(fence.admit(new), Ok("new"));
    let stale = Stale { duty: d(), token: 3, seen: 5 };
    assert_eq!(fence.admit(older), Err(stale.clone()));
    assert_eq!(stale.to_string(), "token 3 of 'd' is over: 5 has been seen");
    // What it knows is kept, and is enough.
    let kept = postcard::to_stdvec(&fence).expect("bytes");
    let mut again: Fence = postcard::from_bytes(&kept).expect("what was kept");
    assert_eq!((again.known("d"), again.refused(), again.learn("d", 4).is_err()), (Some(5), 1, true));
    assert_eq!(again.learn("d", 6), Ok(()));
}
