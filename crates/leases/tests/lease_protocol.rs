//! The lease table, the holder, the granter and the fence by themselves: the response to each operation, and times at their limits.

use postproxy_leases::{
    Command, Effect, ExpiredLease, Fence, LeaseClaim, LeaseGranter, LeaseHolder, LeaseTable,
    LeaseTiming, MAX_LEASES, MAX_NAME_BYTES, MAX_VALUE_BYTES, Operation, Rejection, RenewedLease,
    Response, StaleToken,
};

struct Log {
    table: LeaseTable,
    sequence: u64,
}

impl Log {
    fn new() -> Self {
        Self {
            table: LeaseTable::default(),
            sequence: 0,
        }
    }

    fn call(&mut self, node: &str, operation: Operation) -> Response {
        self.sequence += 1;
        self.table.apply(&Command {
            node: node.into(),
            incarnation: 1,
            sequence: self.sequence,
            operation,
        })
    }

    fn owner(&self, lease: &str) -> Option<(String, u64)> {
        let owner = self.table.lease(lease)?.owner.clone()?;
        Some((owner.node, owner.token))
    }
}

fn d() -> String {
    "d".into()
}

fn claim(lease: &str, token: u64) -> LeaseClaim {
    LeaseClaim {
        lease: lease.into(),
        token,
    }
}

fn renewed(lease: &str, next_owner: Option<&str>) -> RenewedLease {
    RenewedLease {
        lease: lease.into(),
        next_owner: next_owner.map(str::to_owned),
    }
}

fn expired(lease: &str, token: u64, renewals: u64) -> ExpiredLease {
    ExpiredLease {
        lease: lease.into(),
        token,
        renewals,
    }
}

/// A lease has one owner, tokens are never reused, only the owner stores a value, and a rejection gives its reason.
#[test]
fn each_operation_has_its_response() {
    let mut log = Log::new();
    let rejected = Response::Rejected;
    assert_eq!(
        log.call(
            "a",
            Operation::Release {
                lease: d(),
                token: 1
            }
        ),
        rejected(Rejection::UnknownLease)
    );
    assert_eq!(
        log.call(
            "a",
            Operation::Transfer {
                lease: d(),
                token: None,
                to: "b".into()
            }
        ),
        rejected(Rejection::UnknownLease)
    );
    assert_eq!(
        log.call("a", Operation::Acquire { lease: d() }),
        Response::Granted {
            token: 1,
            value: Vec::new()
        }
    );
    assert_eq!(
        log.call("b", Operation::Acquire { lease: d() }),
        rejected(Rejection::OwnedByOther {
            owner: "a".into(),
            token: 1
        })
    );
    assert_eq!(
        log.call(
            "a",
            Operation::Save {
                lease: d(),
                token: 1,
                value: b"x".to_vec()
            }
        ),
        Response::Completed
    );
    assert_eq!(
        log.call(
            "b",
            Operation::Save {
                lease: d(),
                token: 2,
                value: b"y".to_vec()
            }
        ),
        rejected(Rejection::StaleToken(Some(1)))
    );
    // A new incarnation gets a new token: effects of the earlier one are rejected.
    assert_eq!(
        log.call("a", Operation::Acquire { lease: d() }),
        Response::Granted {
            token: 2,
            value: b"x".to_vec()
        }
    );
    assert_eq!(
        log.call(
            "a",
            Operation::Save {
                lease: d(),
                token: 1,
                value: b"y".to_vec()
            }
        ),
        rejected(Rejection::StaleToken(Some(2)))
    );
    let both = vec![claim("d", 2), claim("e", 2)];
    assert_eq!(
        log.call(
            "a",
            Operation::Renew {
                claims: both.clone()
            }
        ),
        Response::Renewed {
            renewed: vec![renewed("d", None)],
            lost: vec!["e".into()]
        }
    );
    assert_eq!(
        log.call("b", Operation::Renew { claims: both }),
        Response::Renewed {
            renewed: Vec::new(),
            lost: vec![d(), "e".into()]
        },
        "not its own"
    );
    // A transfer that an operator asks for is announced to the owner at its renewal; a release completes it, too.
    assert_eq!(
        log.call(
            "b",
            Operation::Transfer {
                lease: d(),
                token: None,
                to: "c".into()
            }
        ),
        Response::Completed
    );
    assert_eq!(log.owner("d"), Some(("a".into(), 2)));
    assert_eq!(
        log.call(
            "a",
            Operation::Renew {
                claims: vec![claim("d", 2)]
            }
        ),
        Response::Renewed {
            renewed: vec![renewed("d", Some("c"))],
            lost: Vec::new()
        }
    );
    assert_eq!(
        log.call(
            "a",
            Operation::Release {
                lease: d(),
                token: 2
            }
        ),
        Response::Completed
    );
    assert_eq!(log.owner("d"), Some(("c".into(), 3)));
    assert_eq!(
        log.call(
            "a",
            Operation::Release {
                lease: d(),
                token: 2
            }
        ),
        rejected(Rejection::StaleToken(Some(3)))
    );
    assert_eq!(
        log.call(
            "c",
            Operation::Transfer {
                lease: d(),
                token: Some(3),
                to: "a".into()
            }
        ),
        Response::Completed
    );
    assert_eq!(
        log.owner("d"),
        Some(("a".into(), 4)),
        "by its owner: at once"
    );
    // An expiry that has not seen a renewal, or names an earlier owner, changes nothing.
    let renewals = log.table.lease("d").expect("it is there").renewals;
    log.call(
        "a",
        Operation::Renew {
            claims: vec![claim("d", 4)],
        },
    );
    log.call(
        "v",
        Operation::Expire {
            leases: vec![
                expired("d", 4, renewals),
                expired("d", 3, renewals + 1),
                expired("e", 1, 1),
            ],
        },
    );
    assert_eq!(log.owner("d"), Some(("a".into(), 4)));
    log.call(
        "v",
        Operation::Expire {
            leases: vec![expired("d", 4, renewals + 1)],
        },
    );
    assert_eq!(log.owner("d"), None);
    assert_eq!(
        log.call(
            "a",
            Operation::Save {
                lease: d(),
                token: 4,
                value: Vec::new()
            }
        ),
        rejected(Rejection::StaleToken(None))
    );
    assert_eq!(
        log.call("b", Operation::Acquire { lease: d() }),
        Response::Granted {
            token: 5,
            value: b"x".to_vec()
        }
    );
    assert_eq!(log.table.latest_token(), 5);
}

/// Names, values and the number of leases are bounded.
#[test]
fn malformed_and_excessive_operations_are_rejected() {
    let mut log = Log::new();
    let malformed = Response::Rejected(Rejection::Malformed);
    for name in ["", &"x".repeat(MAX_NAME_BYTES + 1)] {
        assert_eq!(
            log.call("a", Operation::Acquire { lease: name.into() }),
            malformed
        );
        assert_eq!(log.call(name, Operation::Acquire { lease: d() }), malformed);
    }
    log.call("a", Operation::Acquire { lease: d() });
    assert_eq!(
        log.call(
            "a",
            Operation::Transfer {
                lease: d(),
                token: Some(1),
                to: String::new()
            }
        ),
        malformed
    );
    assert_eq!(
        log.call(
            "a",
            Operation::Save {
                lease: d(),
                token: 1,
                value: vec![0; MAX_VALUE_BYTES + 1]
            }
        ),
        malformed
    );
    for n in 1..MAX_LEASES {
        assert!(matches!(
            log.call(
                "a",
                Operation::Acquire {
                    lease: format!("d{n}")
                }
            ),
            Response::Granted { .. }
        ));
    }
    assert_eq!(
        log.call(
            "a",
            Operation::Acquire {
                lease: "one more".into()
            }
        ),
        Response::Rejected(Rejection::TooManyLeases)
    );
    assert_eq!(log.table.leases().count(), MAX_LEASES);
}

/// A command is applied once, also when it is retried because its response was lost; a superseded one is rejected.
#[test]
fn a_retried_command_has_the_response_of_the_first_attempt() {
    let mut table = LeaseTable::default();
    let command = |incarnation, sequence, operation| Command {
        node: "a".into(),
        incarnation,
        sequence,
        operation,
    };
    let first = command(1, 1, Operation::Acquire { lease: d() });
    assert_eq!(
        table.apply(&first),
        Response::Granted {
            token: 1,
            value: Vec::new()
        }
    );
    assert_eq!(
        table.apply(&first),
        Response::Granted {
            token: 1,
            value: Vec::new()
        },
        "no second token"
    );
    assert_eq!(
        table.apply(&command(
            1,
            2,
            Operation::Release {
                lease: d(),
                token: 1
            }
        )),
        Response::Completed
    );
    assert_eq!(
        table.apply(&first),
        Response::Rejected(Rejection::SupersededCommand)
    );
    assert_eq!(table.lease("d").and_then(|lease| lease.owner.clone()), None);
    assert_eq!(
        table.apply(&command(2, 1, Operation::Acquire { lease: d() })),
        Response::Granted {
            token: 2,
            value: Vec::new()
        },
        "another incarnation has its own numbers"
    );
    // The client that called longest ago is forgotten first.
    for n in 0..5000u64 {
        table.apply(&Command {
            node: format!("n{n}"),
            incarnation: 1,
            sequence: 1,
            operation: Operation::Acquire { lease: d() },
        });
    }
    assert!(postcard::to_stdvec(&table).expect("bytes").len() < 200_000);
}

/// A lease ends by its owner's clock, and a response to a call from before a pause does not bring it back.
#[test]
fn a_lease_ends_by_the_owners_own_clock_and_a_pause_voids_it() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
    holder.detect_pause(10_000);
    assert_eq!(holder.permit(10_000, "d"), None);
    holder.record_grant(10_000, "d", 7);
    let permit = holder.permit(10_100, "d").expect("it runs");
    assert_eq!(
        (permit.lease(), permit.token(), permit.remaining_ms()),
        ("d", 7, 2840)
    );
    // To its end: 3,000 ms less the drift of 2 %.
    let mut now = 10_000;
    while holder.permit(now, "d").is_some() {
        now += 20;
        assert!(!holder.detect_pause(now));
    }
    assert_eq!(now, 12_940);
    assert_eq!(holder.claims(), [claim("d", 7)], "it may still be renewed");
    holder.record_grant(12_900, "d", 7);
    assert!(holder.permit(now, "d").is_some());
    assert_eq!(holder.renew_at(), Some(12_900 + 980));
    // In the middle of a turn that takes too long, and at the next.
    assert!(holder.permit(now + 500, "d").is_some() && holder.permit(now + 501, "d").is_none());
    assert!(holder.detect_pause(now + 501));
    assert_eq!(
        (holder.permit(now + 501, "d"), holder.renew_at()),
        (None, Some(0))
    );
    holder.record_grant(now + 400, "d", 7);
    assert_eq!(
        holder.permit(now + 501, "d"),
        None,
        "asked before the pause"
    );
    holder.record_grant(now + 501, "d", 7);
    assert!(holder.permit(now + 501, "d").is_some());
    // Neither the late grant of a lower token nor its loss changes anything.
    holder.record_grant(now + 501, "d", 9);
    holder.record_grant(now + 501, "d", 7);
    holder.remove("d", 7);
    assert_eq!(
        holder.permit(now + 501, "d").map(|permit| permit.token()),
        Some(9)
    );
    holder.remove("d", 9);
    assert!(holder.claims().is_empty());
}

/// A granter expires a lease only after its owner has, and proposes the expiry again only if it was lost.
#[test]
fn a_granter_expires_a_lease_after_the_lease_duration_plus_drift() {
    let (mut log, mut granter) = (Log::new(), LeaseGranter::new(LeaseTiming::default()));
    log.call("a", Operation::Acquire { lease: d() });
    granter.record_applied(1000, &log.table);
    assert_eq!(
        (granter.next_expiry(), granter.expire_due_leases(9000)),
        (None, None),
        "it does not lead"
    );
    granter.set_leading(true);
    assert_eq!(
        (granter.next_expiry(), granter.expire_due_leases(4059)),
        (Some(4060), None)
    );
    log.call(
        "a",
        Operation::Renew {
            claims: vec![claim("d", 1)],
        },
    );
    granter.record_applied(2000, &log.table);
    assert_eq!(granter.expire_due_leases(5059), None);
    let expiry = Operation::Expire {
        leases: vec![expired("d", 1, 2)],
    };
    assert_eq!(granter.expire_due_leases(5060), Some(expiry.clone()));
    assert_eq!(
        (granter.expire_due_leases(5061), granter.next_expiry()),
        (None, Some(6060)),
        "it has been proposed"
    );
    assert_eq!(
        granter.expire_due_leases(6060),
        Some(expiry.clone()),
        "it was lost"
    );
    log.call("v", expiry);
    granter.record_applied(6100, &log.table);
    assert_eq!(
        (granter.expire_due_leases(60_000), granter.next_expiry()),
        (None, None)
    );
}

/// A fence rejects the effects of an earlier owner, admits those of the present one, and can be stored.
#[test]
fn a_fence_rejects_tokens_below_the_highest() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
    holder.detect_pause(0);
    let mut effect = |token, payload| {
        holder.record_grant(0, "d", token);
        Effect::new(&holder.permit(0, "d").expect("a permit"), payload)
    };
    let (old, older) = (effect(3, "old"), effect(3, "older"));
    let new = effect(5, "new");
    let mut fence = Fence::default();
    assert_eq!(fence.admit(old), Ok("old"));
    assert_eq!(fence.admit(new), Ok("new"));
    let stale = StaleToken {
        lease: d(),
        token: 3,
        highest_seen: 5,
    };
    assert_eq!(fence.admit(older), Err(stale.clone()));
    assert_eq!(stale.to_string(), "token 3 of 'd' is over: 5 has been seen");
    // A stored fence goes on where it stopped.
    let stored = postcard::to_stdvec(&fence).expect("bytes");
    let mut restored: Fence = postcard::from_bytes(&stored).expect("a fence");
    assert_eq!(
        (
            restored.highest_seen("d"),
            restored.rejected_count(),
            restored.observe("d", 4).is_err()
        ),
        (Some(5), 1, true)
    );
    assert_eq!(restored.observe("d", 6), Ok(()));
}
