//! The holder, the granter and the fence in isolation, with times at their limits.

use postproxy_leases::{
    Command, Effect, ExpiredLease, Fence, LeaseClaim, LeaseGranter, LeaseHolder, LeaseTable,
    LeaseTiming, Operation, StaleToken,
};

fn claim(lease: &str, token: u64) -> LeaseClaim {
    LeaseClaim {
        lease: lease.into(),
        token,
    }
}

fn apply(table: &mut LeaseTable, node: &str, sequence: u64, operation: Operation) {
    table.apply(&Command {
        node: node.into(),
        incarnation: 1,
        sequence,
        operation,
    });
}

/// A lease ends by its owner's clock, and the response to a call from before a pause does not
/// extend it.
#[test]
fn a_lease_ends_by_the_owners_own_clock_and_a_pause_voids_it() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
    holder.detect_pause(10_000);
    assert_eq!(holder.permit(10_000, "d"), None);
    holder.record_grant(10_000, "d", 7);
    let permit = holder.permit(10_100, "d").expect("a permit");
    assert_eq!(
        (permit.lease(), permit.token(), permit.remaining_ms()),
        ("d", 7, 2840)
    );
    // Until the lease ends, after 3,000 ms less the drift of 2 %.
    let mut now = 10_000;
    while holder.permit(now, "d").is_some() {
        now += 20;
        assert!(!holder.detect_pause(now));
    }
    assert_eq!(now, 12_940);
    assert_eq!(
        holder.claims(),
        [claim("d", 7)],
        "an expired lease may still be renewed"
    );
    holder.record_grant(12_900, "d", 7);
    assert!(holder.permit(now, "d").is_some());
    assert_eq!(holder.renew_at(), Some(12_900 + 980));
    // A pause is detected in the middle of a turn that takes too long, and at the next turn.
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
        "requested before the pause"
    );
    holder.record_grant(now + 501, "d", 7);
    assert!(holder.permit(now + 501, "d").is_some());
    // Neither a late grant under a lower token nor its loss affects the lease under the higher one.
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

/// A granter expires a lease only after the lease has ended at its owner, and proposes the expiry
/// again only if it was not applied.
#[test]
fn a_granter_expires_a_lease_after_the_lease_duration_plus_drift() {
    let mut table = LeaseTable::default();
    let mut granter = LeaseGranter::new(LeaseTiming::default());
    apply(&mut table, "a", 1, Operation::Acquire { lease: "d".into() });
    granter.record_applied(1000, &table);
    assert_eq!(
        (granter.next_expiry(), granter.expire_due_leases(9000)),
        (None, None),
        "the node does not lead"
    );
    granter.set_leading(true);
    assert_eq!(
        (granter.next_expiry(), granter.expire_due_leases(4059)),
        (Some(4060), None)
    );
    let renewal = Operation::Renew {
        claims: vec![claim("d", 1)],
    };
    apply(&mut table, "a", 2, renewal);
    granter.record_applied(2000, &table);
    assert_eq!(granter.expire_due_leases(5059), None);
    let expiry = Operation::Expire {
        leases: vec![ExpiredLease {
            lease: "d".into(),
            token: 1,
            renewals: 2,
        }],
    };
    assert_eq!(granter.expire_due_leases(5060), Some(expiry.clone()));
    assert_eq!(
        (granter.expire_due_leases(5061), granter.next_expiry()),
        (None, Some(6060)),
        "the expiry has been proposed"
    );
    assert_eq!(
        granter.expire_due_leases(6060),
        Some(expiry.clone()),
        "the proposal was lost"
    );
    apply(&mut table, "v", 1, expiry);
    granter.record_applied(6100, &table);
    assert_eq!(
        (granter.expire_due_leases(60_000), granter.next_expiry()),
        (None, None)
    );
}

/// A fence rejects the effects of an earlier owner, admits those of the present one, and keeps its
/// state when it is stored and restored.
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
        lease: "d".into(),
        token: 3,
        highest_seen: 5,
    };
    assert_eq!(fence.admit(older), Err(stale.clone()));
    assert_eq!(
        stale.to_string(),
        "token 3 of lease 'd' is stale: token 5 has been seen"
    );
    // A restored fence still knows the highest token.
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
