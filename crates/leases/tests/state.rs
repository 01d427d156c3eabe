//! The state, the holder and the granter by themselves: each answer of each call, and time at its edges.

use postproxy_leases::{
    Command, Effect, Fence, LeaseGranter, LeaseHolder, LeaseTable, LeaseTiming, MAX_LEASES,
    MAX_NAME_BYTES, MAX_VALUE_BYTES, Operation, Rejection, Response, StaleToken,
};

struct Log {
    state: LeaseTable,
    number: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            state: LeaseTable::default(),
            number: 0,
        }
    }

    fn call(&mut self, node: &str, call: Operation) -> Response {
        self.number += 1;
        self.state.apply(&Command {
            node: node.into(),
            life: 1,
            number: self.number,
            call,
        })
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
    let refused = Response::Refused;
    assert_eq!(
        log.call("a", Operation::Release(d(), 1)),
        refused(Rejection::Unknown)
    );
    assert_eq!(
        log.call("a", Operation::Hand(d(), None, "b".into())),
        refused(Rejection::Unknown)
    );
    assert_eq!(
        log.call("a", Operation::Acquire(d())),
        Response::Owns(1, Vec::new())
    );
    assert_eq!(
        log.call("b", Operation::Acquire(d())),
        refused(Rejection::Owned("a".into(), 1))
    );
    assert_eq!(
        log.call("a", Operation::Save(d(), 1, b"x".to_vec())),
        Response::Done
    );
    assert_eq!(
        log.call("b", Operation::Save(d(), 2, b"y".to_vec())),
        refused(Rejection::StaleToken(Some(1)))
    );
    // In a new life it owns it anew: what the earlier one still does is refused.
    assert_eq!(
        log.call("a", Operation::Acquire(d())),
        Response::Owns(2, b"x".to_vec())
    );
    assert_eq!(
        log.call("a", Operation::Save(d(), 1, b"y".to_vec())),
        refused(Rejection::StaleToken(Some(2)))
    );
    let both = vec![(d(), 2), ("e".into(), 2)];
    assert_eq!(
        log.call("a", Operation::Renew(both.clone())),
        Response::Renewed(vec![(d(), None)], vec!["e".into()])
    );
    assert_eq!(
        log.call("b", Operation::Renew(both)),
        Response::Renewed(Vec::new(), vec![d(), "e".into()]),
        "not its own"
    );
    // Wanted by an operator: it is told to the owner, who hands it on; a release does so, too.
    assert_eq!(
        log.call("b", Operation::Hand(d(), None, "c".into())),
        Response::Done
    );
    assert_eq!(log.owner("d"), Some(("a".into(), 2)));
    assert_eq!(
        log.call("a", Operation::Renew(vec![(d(), 2)])),
        Response::Renewed(vec![(d(), Some("c".into()))], Vec::new())
    );
    assert_eq!(log.call("a", Operation::Release(d(), 2)), Response::Done);
    assert_eq!(log.owner("d"), Some(("c".into(), 3)));
    assert_eq!(
        log.call("a", Operation::Release(d(), 2)),
        refused(Rejection::StaleToken(Some(3)))
    );
    assert_eq!(
        log.call("c", Operation::Hand(d(), Some(3), "a".into())),
        Response::Done
    );
    assert_eq!(
        log.owner("d"),
        Some(("a".into(), 4)),
        "by its owner: at once"
    );
    // An expiry that has not seen a renewal, or is of an earlier owner, ends nothing.
    let renewals = log.state.duty("d").expect("it is there").renewals;
    log.call("a", Operation::Renew(vec![(d(), 4)]));
    log.call(
        "v",
        Operation::Expire(vec![
            (d(), 4, renewals),
            (d(), 3, renewals + 1),
            ("e".into(), 1, 1),
        ]),
    );
    assert_eq!(log.owner("d"), Some(("a".into(), 4)));
    log.call("v", Operation::Expire(vec![(d(), 4, renewals + 1)]));
    assert_eq!(log.owner("d"), None);
    assert_eq!(
        log.call("a", Operation::Save(d(), 4, Vec::new())),
        refused(Rejection::StaleToken(None))
    );
    assert_eq!(
        log.call("b", Operation::Acquire(d())),
        Response::Owns(5, b"x".to_vec())
    );
    assert_eq!(log.state.token(), 5);
}

/// Guards against names and values without bound, and against more duties than can be remembered.
#[test]
fn what_is_malformed_or_too_much_is_refused() {
    let mut log = Log::new();
    let malformed = Response::Refused(Rejection::Malformed);
    for name in ["", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(log.call("a", Operation::Acquire(name.into())), malformed);
        assert_eq!(log.call(name, Operation::Acquire(d())), malformed);
    }
    log.call("a", Operation::Acquire(d()));
    assert_eq!(
        log.call("a", Operation::Hand(d(), Some(1), String::new())),
        malformed
    );
    assert_eq!(
        log.call("a", Operation::Save(d(), 1, vec![0; MAX_VALUE_BYTES + 1])),
        malformed
    );
    for n in 1..MAX_LEASES {
        assert!(matches!(
            log.call("a", Operation::Acquire(format!("d{n}"))),
            Response::Owns(..)
        ));
    }
    assert_eq!(
        log.call("a", Operation::Acquire("one more".into())),
        Response::Refused(Rejection::Full)
    );
    assert_eq!(log.state.duties().count(), MAX_LEASES);
}

/// Guards against a call that is carried out twice because its answer was lost, and one that comes late.
#[test]
fn a_call_that_is_repeated_comes_to_what_it_came_to() {
    let mut state = LeaseTable::default();
    let command = |life, number, call| Command {
        node: "a".into(),
        life,
        number,
        call,
    };
    let first = command(1, 1, Operation::Acquire(d()));
    assert_eq!(state.apply(&first), Response::Owns(1, Vec::new()));
    assert_eq!(
        state.apply(&first),
        Response::Owns(1, Vec::new()),
        "no second token"
    );
    assert_eq!(
        state.apply(&command(1, 2, Operation::Release(d(), 1))),
        Response::Done
    );
    assert_eq!(state.apply(&first), Response::Refused(Rejection::Old));
    assert_eq!(state.duty("d").and_then(|duty| duty.owner.clone()), None);
    assert_eq!(
        state.apply(&command(2, 1, Operation::Acquire(d()))),
        Response::Owns(2, Vec::new()),
        "another life's numbers"
    );
    // Clients that come and go are forgotten in the order of their last call.
    for n in 0..5000u64 {
        state.apply(&Command {
            node: format!("n{n}"),
            life: 1,
            number: 1,
            call: Operation::Acquire(d()),
        });
    }
    assert!(postcard::to_stdvec(&state).expect("bytes").len() < 200_000);
}

/// Guards against a lease that runs too long by its owner's clock, or that an answer from before a pause gives back.
#[test]
fn a_lease_ends_by_the_owners_own_clock_and_a_late_turn_voids_it() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
    holder.turn(10_000);
    assert_eq!(holder.may(10_000, "d"), None);
    holder.granted(10_000, "d", 7);
    let permit = holder.may(10_100, "d").expect("it runs");
    assert_eq!(
        (permit.duty(), permit.token(), permit.left()),
        ("d", 7, 2840)
    );
    // Turn by turn to its end: 3,000 ms less the drift of 2 %.
    let mut now = 10_000;
    while holder.may(now, "d").is_some() {
        now += 20;
        assert!(!holder.turn(now));
    }
    assert_eq!(now, 12_940);
    assert_eq!(
        holder.all(),
        [("d".to_owned(), 7)],
        "it may still be renewed"
    );
    holder.granted(12_900, "d", 7);
    assert!(holder.may(now, "d").is_some());
    assert_eq!(holder.renew_at(), Some(12_900 + 980));
    // In the middle of a turn that takes too long, and at the next.
    assert!(holder.may(now + 500, "d").is_some() && holder.may(now + 501, "d").is_none());
    assert!(holder.turn(now + 501));
    assert_eq!(
        (holder.may(now + 501, "d"), holder.renew_at()),
        (None, Some(0))
    );
    holder.granted(now + 400, "d", 7);
    assert_eq!(holder.may(now + 501, "d"), None, "asked before the pause");
    holder.granted(now + 501, "d", 7);
    assert!(holder.may(now + 501, "d").is_some());
    // An older grant that comes late counts for nothing; neither does the loss of an older one.
    holder.granted(now + 501, "d", 9);
    holder.granted(now + 501, "d", 7);
    holder.lost("d", 7);
    assert_eq!(
        holder.may(now + 501, "d").map(|permit| permit.token()),
        Some(9)
    );
    holder.lost("d", 9);
    assert!(holder.all().is_empty());
}

/// Guards against a granter that ends a lease before its owner has, that never does, or that proposes it each turn.
#[test]
fn a_granter_ends_a_lease_once_it_has_seen_it_run_out() {
    let (mut log, mut granter) = (Log::new(), LeaseGranter::new(LeaseTiming::default()));
    log.call("a", Operation::Acquire(d()));
    granter.applied(1000, &log.state);
    assert_eq!(
        (granter.next(), granter.due(9000)),
        (None, None),
        "it does not lead"
    );
    granter.lead(true);
    assert_eq!((granter.next(), granter.due(4059)), (Some(4060), None));
    log.call("a", Operation::Renew(vec![(d(), 1)]));
    granter.applied(2000, &log.state);
    assert_eq!(granter.due(5059), None);
    let over = Operation::Expire(vec![(d(), 1, 2)]);
    assert_eq!(granter.due(5060), Some(over.clone()));
    assert_eq!(
        (granter.due(5061), granter.next()),
        (None, Some(6060)),
        "it is on its way"
    );
    assert_eq!(granter.due(6060), Some(over.clone()), "it was lost");
    log.call("v", over);
    granter.applied(6100, &log.state);
    assert_eq!((granter.due(60_000), granter.next()), (None, None));
}

/// Guards against an old owner whose effect is taken, and against a fence that forgets or refuses its own.
#[test]
fn a_fence_takes_no_token_below_the_highest() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
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
    let stale = StaleToken {
        duty: d(),
        token: 3,
        seen: 5,
    };
    assert_eq!(fence.admit(older), Err(stale.clone()));
    assert_eq!(stale.to_string(), "token 3 of 'd' is over: 5 has been seen");
    // What it knows is kept, and is enough.
    let kept = postcard::to_stdvec(&fence).expect("bytes");
    let mut again: Fence = postcard::from_bytes(&kept).expect("what was kept");
    assert_eq!(
        (
            again.known("d"),
            again.refused(),
            again.learn("d", 4).is_err()
        ),
        (Some(5), 1, true)
    );
    assert_eq!(again.learn("d", 6), Ok(()));
}
