//! The council of a fleet in told time from seeds; the rig says which faults.

mod sim;

use postproxy_coordination::{Coordinator, Error, NotVotingReason, Operation};
use sim::{DUTIES, Node, Sim, Without};

fn range(least: &str) -> std::ops::Range<u64> {
    let range = std::env::var("POSTPROXY_RUNS").unwrap_or_else(|_| least.into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// One run; whether an effect of an old owner was done.
fn play(seed: u64, without: Without) -> (Sim, bool) {
    let mut sim = Sim::new([3, 5][seed as usize % 2], seed as usize % 3, seed, without);
    for _ in 0..7 {
        for _ in 0..100 + sim.draw(400) {
            sim.step();
        }
        sim.fault();
    }
    sim.mend();
    let old = sim
        .done
        .values()
        .any(|done| !done.windows(2).all(|two| two[0].0 <= two[1].0));
    (sim, old)
}

/// *No effect of an owner is done after one of a later owner*, *tokens have one owner*, *two never believe at once*; and after the
/// last fault every duty has an owner, a lost voter is added anew, and what is saved never goes back.
#[test]
fn one_owner_at_a_time_whatever_fails() {
    let (mut seen, mut longest, mut tokens, mut runs) = ([false; 4], 0, 0, 0);
    for seed in range("0..40") {
        let (mut sim, old) = play(seed, Without::default());
        assert!(!old, "seed {seed}: an old owner's effect was done");
        let mended = sim.now;
        for duty in DUTIES {
            sim.waits(30_000, "an owner", |sim| !sim.owners_of(duty).is_empty());
        }
        longest = longest.max(sim.now - mended);
        for ((_, duty), done) in &sim.done {
            for (token, n) in done {
                assert_eq!(
                    sim.owners.get(token),
                    Some(&format!("{duty} n{n}")),
                    "seed {seed}"
                );
            }
        }
        // Whoever has lost its promises gets a seat anew, and then whoever was made to give its own up: all founders vote in the end.
        let votes = |sim: &Sim, n: usize| {
            sim.nodes[n]
                .council
                .as_ref()
                .is_some_and(Coordinator::votes)
        };
        for _ in 0..20 {
            let lost = |n: &usize| {
                sim.nodes[*n]
                    .council
                    .as_ref()
                    .is_some_and(|c| c.view(0).why == Some(NotVotingReason::Lost))
            };
            let without = (0..sim.nodes.len())
                .find(lost)
                .or_else(|| (0..sim.founders.len()).find(|n| !votes(&sim, *n)));
            let Some(n) = without else { break };
            sim.seats(true, &format!("n{n}"));
            (0..200).for_each(|_| sim.step());
        }
        sim.waits(20_000, "all founders vote", |sim| {
            (0..sim.founders.len()).all(|n| votes(sim, n))
        });
        // A value is kept with a duty under its token alone, and every node comes to know it.
        let mut value = Vec::new();
        let saved = (0..10).any(|_| {
            (0..50).for_each(|_| sim.step());
            let owner = sim.owners_of("audit").first().copied();
            let Some((n, clock)) = owner.map(|n| (n, sim.clock(n))) else {
                return false;
            };
            let permit = sim.nodes[n]
                .council
                .as_ref()
                .and_then(|council| council.may(clock, "audit"));
            value = sim.now.to_be_bytes().to_vec();
            let call = Operation::Save(
                "audit".into(),
                permit.map_or(0, |permit| permit.token()),
                value.clone(),
            );
            sim.asks(n, |council, now, ticket, out| {
                council.call(now, ticket, call, out)
            }) == Some(Ok(()))
        });
        assert!(saved, "seed {seed}: nothing is saved: {}", sim.picture());
        let knows = move |node: &Node| {
            let state = node.council.as_ref().map(Coordinator::state);
            state
                .and_then(|state| state.duty("audit"))
                .is_some_and(|duty| duty.value == value)
        };
        sim.waits(10_000, "all know the value", |sim| {
            sim.nodes.iter().all(&knows)
        });
        for (all, one) in seen.iter_mut().zip(sim.seen) {
            *all |= one;
        }
        (tokens, runs) = (tokens + sim.owners.len(), runs + 1);
    }
    println!(
        "{runs} runs, {tokens} tokens, at most {longest} ms until all have owners; seen {seen:?}"
    );
    assert!(
        runs < 20 || seen == [true; 4],
        "a lost voter, a seat given, one taken, an old owner's effect refused"
    );
}

/// Guards against a fence that guards nothing.
#[test]
fn without_the_fence_an_old_owners_effect_is_done() {
    let found = (0..200).find(|seed| play(*seed, Without { fence: true }).1);
    assert!(found.is_some(), "no run missed the fence");
}

fn steady(founders: usize, others: usize, seed: u64) -> Sim {
    let mut sim = Sim::new(founders, others, seed, Without::default());
    sim.quiet = true;
    sim.waits(10_000, "owners", |sim| {
        DUTIES.iter().all(|duty| sim.owners_of(duty).len() == 1)
    });
    sim
}

/// Guards against voters that are changed at the cost of a majority, and against answers without a word on what to do.
#[test]
fn a_change_that_would_stop_the_voters_is_refused() {
    let mut sim = steady(3, 1, 3);
    assert_eq!(sim.seats(true, "n3"), Some(Ok(())));
    sim.waits(5000, "n3 votes", |sim| {
        sim.nodes[3]
            .council
            .as_ref()
            .is_some_and(Coordinator::votes)
    });
    assert_eq!(sim.seats(true, "n3"), Some(Ok(())), "twice is once");
    assert_eq!(sim.seats(false, "n3"), Some(Ok(())));
    sim.waits(5000, "n3 votes no more", |sim| {
        sim.nodes[3].council.as_ref().is_some_and(|c| !c.votes())
    });
    sim.kill(2);
    (0..300).for_each(|_| sim.step());
    assert_eq!(
        sim.seats(false, "n1"),
        Some(Err(Error::WouldStop { living: 1, of: 2 }))
    );
    assert_eq!(
        sim.seats(true, "n3"),
        Some(Err(Error::WouldStop { living: 2, of: 4 }))
    );
    assert_eq!(sim.seats(false, "n2"), Some(Ok(())), "the dead one goes");
    assert_eq!(sim.seats(false, "n0"), Some(Err(Error::Count)));
    assert_eq!(sim.seats(true, "n3"), Some(Ok(())));
    assert_eq!(sim.seats(true, ""), Some(Err(Error::Name)));
}

/// Guards against a duty that goes on without a majority, a silence in place of a reason, and a fleet that needs help afterwards.
#[test]
fn without_a_majority_nothing_is_owned_and_all_resumes_by_itself() {
    let mut sim = steady(3, 2, 4);
    sim.kill(0);
    sim.kill(1);
    sim.waits(8000, "it stops", |sim| {
        DUTIES.iter().all(|duty| sim.owners_of(duty).is_empty())
    });
    let came = sim.asks(2, |council, now, ticket, out| {
        council.call(now, ticket, Operation::Acquire("x".into()), out)
    });
    assert_eq!(
        came,
        Some(Err(Error::NoMajority(vec!["n0".into(), "n1".into()])))
    );
    // The second of two waits behind the first, and has its time all the same.
    let asked = sim.now;
    let mut two = Vec::new();
    let clock = sim.clock(2);
    if let Some(council) = &mut sim.nodes[2].council {
        council.call(clock, 1001, Operation::Acquire("y".into()), &mut two);
    }
    sim.carry(2, two);
    (0..200).for_each(|_| sim.step());
    let came = sim.asks(2, |council, now, ticket, out| {
        council.call(now, ticket, Operation::Acquire("z".into()), out)
    });
    assert!(
        matches!(came, Some(Err(Error::NoMajority(_)))) && sim.now < asked + 7300,
        "{came:?} after {}",
        sim.now - asked
    );
    sim.start(0);
    sim.waits(15_000, "owners", |sim| {
        DUTIES.iter().all(|duty| sim.owners_of(duty).len() == 1)
    });
    // Handed on by an operator's word at any node, to one that does not vote; and released.
    let n = sim.owners_of("bans")[0];
    let hand = Operation::Hand("bans".into(), None, "n3".into());
    assert_eq!(
        sim.asks(4, |council, now, ticket, out| council
            .call(now, ticket, hand, out)),
        Some(Ok(()))
    );
    sim.waits(6000, "n3 has it", |sim| sim.owners_of("bans") == [3]);
    assert_ne!(n, 3);
    let clock = sim.clock(3);
    let token = sim.nodes[3]
        .council
        .as_ref()
        .and_then(|c| c.may(clock, "bans"))
        .map_or(0, |permit| permit.token());
    let release = Operation::Release("bans".into(), token);
    assert_eq!(
        sim.asks(3, |council, now, ticket, out| council
            .call(now, ticket, release, out)),
        Some(Ok(()))
    );
    sim.waits(2000, "another has it", |sim| {
        sim.owners_of("bans").first().is_some_and(|n| *n != 3)
    });
}

/// An operator's release at another node reaches the owner through the log alone. The owner must stop acting as soon as its own
/// copy of the log shows the release, not with its next renewal, and must leave the duty to the other nodes for a lease.
#[test]
fn an_owner_stops_acting_once_its_log_shows_a_release_made_elsewhere() {
    for seed in range("0..40") {
        let mut sim = steady(3, 0, seed);
        let owner = sim.owners_of("bans")[0];
        let elsewhere = (owner + 1) % 3;
        let permit = |sim: &Sim| {
            sim.nodes[owner]
                .council
                .as_ref()?
                .may(sim.clock(owner), "bans")
        };
        let token = permit(&sim).map_or(0, |permit| permit.token());
        let release = Operation::Release("bans".into(), token);
        let released = sim.asks(elsewhere, |council, now, ticket, out| {
            council.call(now, ticket, release, out)
        });
        assert_eq!(released, Some(Ok(())), "seed {seed}");
        let mut next_owner = None;
        for _ in 0..300 {
            let state = sim.nodes[owner].council.as_ref().map(Coordinator::state);
            let known = state
                .and_then(|state| state.duty("bans"))
                .and_then(|duty| duty.owner.clone());
            let knows_release = known.as_ref().is_none_or(|(_, known)| *known != token);
            assert!(
                !knows_release || permit(&sim).is_none(),
                "seed {seed}: it acts on after the release"
            );
            next_owner = next_owner.or(known.filter(|(_, known)| *known > token));
            sim.step();
        }
        let next_owner = next_owner.map(|(name, _)| name);
        assert!(next_owner.is_some(), "seed {seed}: {}", sim.picture());
        assert_ne!(next_owner, Some(format!("n{owner}")), "seed {seed}");
    }
}
