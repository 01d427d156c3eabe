//! The response of the lease table to each operation.

use postproxy_leases::{
    Command, ExpiredLease, LeaseClaim, LeaseTable, MAX_LEASES, MAX_NAME_BYTES, MAX_VALUE_BYTES,
    Operation, Rejection, RenewedLease, Response,
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

    fn acquire(&mut self, node: &str) -> Response {
        self.call(node, Operation::Acquire { lease: d() })
    }

    fn renew(&mut self, node: &str, claims: &[LeaseClaim]) -> Response {
        let claims = claims.to_vec();
        self.call(node, Operation::Renew { claims })
    }

    fn release(&mut self, node: &str, token: u64) -> Response {
        self.call(node, Operation::Release { lease: d(), token })
    }

    fn transfer(&mut self, node: &str, token: Option<u64>, to: &str) -> Response {
        let operation = Operation::Transfer {
            lease: d(),
            token,
            to: to.into(),
        };
        self.call(node, operation)
    }

    fn save(&mut self, node: &str, token: u64, value: &[u8]) -> Response {
        let operation = Operation::Save {
            lease: d(),
            token,
            value: value.to_vec(),
        };
        self.call(node, operation)
    }

    fn expire(&mut self, leases: Vec<ExpiredLease>) -> Response {
        self.call("v", Operation::Expire { leases })
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

fn granted(token: u64, value: &[u8]) -> Response {
    Response::Granted {
        token,
        value: value.to_vec(),
    }
}

/// A lease has one owner, and each grant has a new token; only the owner stores a value, which
/// stays with the lease.
#[test]
fn only_the_owner_under_its_token_may_change_a_lease() {
    let mut log = Log::new();
    let rejected = Response::Rejected;
    assert_eq!(log.release("a", 1), rejected(Rejection::UnknownLease));
    assert_eq!(
        log.transfer("a", None, "b"),
        rejected(Rejection::UnknownLease)
    );
    assert_eq!(log.acquire("a"), granted(1, b""));
    assert_eq!(
        log.acquire("b"),
        rejected(Rejection::OwnedByOther {
            owner: "a".into(),
            token: 1
        })
    );
    assert_eq!(log.save("a", 1, b"x"), Response::Completed);
    assert_eq!(
        log.save("b", 2, b"y"),
        rejected(Rejection::StaleToken(Some(1)))
    );
    // A repeated acquisition gets a new token, so that effects under the earlier one are rejected.
    assert_eq!(log.acquire("a"), granted(2, b"x"));
    assert_eq!(
        log.save("a", 1, b"y"),
        rejected(Rejection::StaleToken(Some(2)))
    );
}

/// A renewal reports which leases the caller still owns.
#[test]
fn a_renewal_reports_renewed_and_lost_leases() {
    let mut log = Log::new();
    log.acquire("a");
    assert_eq!(log.acquire("a"), granted(2, b""));
    let both = [claim("d", 2), claim("e", 2)];
    assert_eq!(
        log.renew("a", &both),
        Response::Renewed {
            renewed: vec![renewed("d", None)],
            lost: vec!["e".into()]
        }
    );
    assert_eq!(
        log.renew("b", &both),
        Response::Renewed {
            renewed: Vec::new(),
            lost: vec![d(), "e".into()]
        },
        "the leases of another node"
    );
}

/// A transfer that an operator requests is announced to the owner at its renewal and completed by
/// its release. A transfer by the owner itself takes effect immediately.
#[test]
fn a_transfer_is_completed_by_the_owner() {
    let mut log = Log::new();
    log.acquire("a");
    assert_eq!(log.acquire("a"), granted(2, b""));
    assert_eq!(log.transfer("b", None, "c"), Response::Completed);
    assert_eq!(log.owner("d"), Some(("a".into(), 2)));
    assert_eq!(
        log.renew("a", &[claim("d", 2)]),
        Response::Renewed {
            renewed: vec![renewed("d", Some("c"))],
            lost: Vec::new()
        }
    );
    assert_eq!(log.release("a", 2), Response::Completed);
    assert_eq!(log.owner("d"), Some(("c".into(), 3)));
    assert_eq!(
        log.release("a", 2),
        Response::Rejected(Rejection::StaleToken(Some(3)))
    );
    assert_eq!(log.transfer("c", Some(3), "a"), Response::Completed);
    assert_eq!(
        log.owner("d"),
        Some(("a".into(), 4)),
        "a transfer by the owner takes effect immediately"
    );
}

/// An expiry that names an earlier number of renewals or an earlier token changes nothing. The
/// value stays with the lease.
#[test]
fn an_expiry_ends_only_a_lease_that_has_not_changed() {
    let mut log = Log::new();
    log.acquire("a");
    log.save("a", 1, b"x");
    for token in 2..=4 {
        assert_eq!(log.acquire("a"), granted(token, b"x"));
    }
    let renewals = log.table.lease("d").expect("a lease").renewals;
    log.renew("a", &[claim("d", 4)]);
    log.expire(vec![
        expired("d", 4, renewals),
        expired("d", 3, renewals + 1),
        expired("e", 1, 1),
    ]);
    assert_eq!(log.owner("d"), Some(("a".into(), 4)));
    log.expire(vec![expired("d", 4, renewals + 1)]);
    assert_eq!(log.owner("d"), None);
    assert_eq!(
        log.save("a", 4, b""),
        Response::Rejected(Rejection::StaleToken(None))
    );
    assert_eq!(log.acquire("b"), granted(5, b"x"));
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

/// A command that is retried because its response was lost is applied only once; a superseded
/// command is rejected.
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
        "another incarnation has its own sequence numbers"
    );
    // The number of clients in the table is bounded.
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
