//! Safety and progress of the coordinators of a cluster in simulation.

mod simulation;

use postproxy_coordination::{Coordinator, Error, Operation, VoterAction};
use simulation::{DisabledSafeguards, Exercised, LEASES, Node, Simulation};

fn seeds(default: &str) -> std::ops::Range<u64> {
    let range = std::env::var("POSTPROXY_RUNS").unwrap_or_else(|_| default.into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Runs the simulation of a seed with random faults and repairs them at the end.
fn run_with_faults(seed: u64, disabled: DisabledSafeguards) -> Simulation {
    let mut sim = Simulation::new([3, 5][seed as usize % 2], seed as usize % 3, seed, disabled);
    for _ in 0..7 {
        for _ in 0..100 + sim.draw(400) {
            sim.step();
        }
        sim.inject_fault();
    }
    sim.repair();
    sim
}

/// Returns whether a fence has admitted an effect of an earlier owner after one of a later owner.
fn has_stale_effect(sim: &Simulation) -> bool {
    let mut all_admitted = sim.admitted.values();
    all_admitted.any(|admitted| !admitted.windows(2).all(|two| two[0].token <= two[1].token))
}

/// No effect of an owner is admitted after one of a later owner, each token has one owner, and no
/// two nodes may act for a lease at once. After the last fault every lease gets an owner, voters
/// that have lost their stores vote again once they are added again, and a stored value reaches all
/// nodes.
#[test]
fn one_owner_at_a_time_whatever_fails() {
    let mut exercised = Exercised::default();
    let mut longest_ms = 0;
    let mut tokens = 0;
    let mut runs = 0;
    for seed in seeds("0..40") {
        let mut sim = run_with_faults(seed, DisabledSafeguards::default());
        assert!(!has_stale_effect(&sim), "seed {seed}: a stale effect");
        let repaired_at = sim.now;
        for lease in LEASES {
            sim.wait_until(30_000, "an owner", |sim| {
                !sim.acting_owners(lease).is_empty()
            });
        }
        longest_ms = longest_ms.max(sim.now - repaired_at);
        assert_effects_are_the_owners(&sim);
        add_lost_voters(&mut sim);
        assert_value_reaches_all_nodes(&mut sim);
        exercised.promises_lost |= sim.exercised.promises_lost;
        exercised.voter_added |= sim.exercised.voter_added;
        exercised.voter_removed |= sim.exercised.voter_removed;
        exercised.effect_rejected |= sim.exercised.effect_rejected;
        tokens += sim.token_owners.len();
        runs += 1;
    }
    println!(
        "{runs} runs, {tokens} tokens, at most {longest_ms} ms until all have owners; {exercised:?}"
    );
    let all = Exercised {
        promises_lost: true,
        voter_added: true,
        voter_removed: true,
        effect_rejected: true,
    };
    assert!(runs < 20 || exercised == all, "{exercised:?}");
}

/// Asserts that each admitted effect was made by the owner of its token.
fn assert_effects_are_the_owners(sim: &Simulation) {
    for ((_, lease), admitted) in &sim.admitted {
        for effect in admitted {
            assert_eq!(
                sim.token_owners.get(&effect.token),
                Some(&format!("{lease} n{}", effect.node)),
                "seed {}",
                sim.seed
            );
        }
    }
}

/// Adds the initial voters that have lost their stores, then those that were removed, until all
/// vote.
fn add_lost_voters(sim: &mut Simulation) {
    let count = sim.initial_voters.len();
    for _ in 0..20 {
        let missing = (0..sim.nodes.len())
            .find(|n| sim.nodes[*n].has_lost_promises())
            .or_else(|| (0..count).find(|n| !sim.nodes[*n].is_voter()));
        let Some(n) = missing else { break };
        sim.change_membership(VoterAction::Add, &format!("n{n}"));
        (0..200).for_each(|_| sim.step());
    }
    sim.wait_until(20_000, "all initial voters vote", |sim| {
        sim.nodes[..count].iter().all(Node::is_voter)
    });
}

/// Asserts that the owner of a lease can store a value with it, and that the value reaches every
/// node.
fn assert_value_reaches_all_nodes(sim: &mut Simulation) {
    let mut value = Vec::new();
    let saved = (0..10).any(|_| {
        (0..50).for_each(|_| sim.step());
        let Some(n) = sim.acting_owners("audit").first().copied() else {
            return false;
        };
        value = sim.now.to_be_bytes().to_vec();
        let operation = Operation::Save {
            lease: "audit".into(),
            token: held_token(sim, n, "audit"),
            value: value.clone(),
        };
        call(sim, n, operation) == Some(Ok(()))
    });
    assert!(
        saved,
        "seed {}: no value is stored: {}",
        sim.seed,
        sim.describe()
    );
    let knows_value = move |node: &Node| {
        let table = node.coordinator.as_ref().map(Coordinator::lease_table);
        table
            .and_then(|table| table.lease("audit"))
            .is_some_and(|lease| lease.value == value)
    };
    sim.wait_until(10_000, "all nodes know the value", |sim| {
        sim.nodes.iter().all(&knows_value)
    });
}

/// Returns the token under which a node holds a lease, 0 if it does not.
fn held_token(sim: &Simulation, n: usize, lease: &str) -> u64 {
    let coordinator = sim.nodes[n].coordinator.as_ref();
    coordinator
        .and_then(|coordinator| coordinator.permit(sim.clock(n), lease))
        .map_or(0, |permit| permit.token())
}

fn call(sim: &mut Simulation, n: usize, operation: Operation) -> Option<Result<(), Error>> {
    sim.call(n, |coordinator, now, ticket, out| {
        coordinator.call(now, ticket, operation, out)
    })
}

/// Without fences, some run admits an effect of an earlier owner after one of a later owner.
#[test]
fn removing_the_fence_is_detected() {
    let found = (0..200).find(|seed| {
        let sim = run_with_faults(*seed, DisabledSafeguards { fence: true });
        has_stale_effect(&sim)
    });
    assert!(found.is_some(), "no run has a stale effect");
}

/// Runs without faults until all leases have an owner.
fn run_until_owned(initial_voters: usize, others: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(initial_voters, others, seed, DisabledSafeguards::default());
    sim.without_pauses = true;
    sim.wait_until(10_000, "owners", |sim| {
        LEASES
            .iter()
            .all(|lease| sim.acting_owners(lease).len() == 1)
    });
    sim
}

/// A membership change that would leave no majority of live voters is rejected, with the reason.
#[test]
fn a_membership_change_that_would_lose_the_majority_is_rejected() {
    let mut sim = run_until_owned(3, 1, 3);
    assert_eq!(sim.change_membership(VoterAction::Add, "n3"), Some(Ok(())));
    sim.wait_until(5000, "n3 votes", |sim| sim.nodes[3].is_voter());
    assert_eq!(
        sim.change_membership(VoterAction::Add, "n3"),
        Some(Ok(())),
        "n3 already votes"
    );
    assert_eq!(
        sim.change_membership(VoterAction::Remove, "n3"),
        Some(Ok(()))
    );
    sim.wait_until(5000, "n3 stops voting", |sim| {
        sim.nodes[3].coordinator.is_some() && !sim.nodes[3].is_voter()
    });
    sim.kill(2);
    (0..300).for_each(|_| sim.step());
    assert_eq!(
        sim.change_membership(VoterAction::Remove, "n1"),
        Some(Err(Error::WouldLoseMajority { live: 1, total: 2 }))
    );
    assert_eq!(
        sim.change_membership(VoterAction::Add, "n3"),
        Some(Err(Error::WouldLoseMajority { live: 2, total: 4 }))
    );
    assert_eq!(
        sim.change_membership(VoterAction::Remove, "n2"),
        Some(Ok(())),
        "a dead voter is removed"
    );
    assert_eq!(
        sim.change_membership(VoterAction::Remove, "n0"),
        Some(Err(Error::VoterCount))
    );
    assert_eq!(sim.change_membership(VoterAction::Add, "n3"), Some(Ok(())));
    assert_eq!(
        sim.change_membership(VoterAction::Add, ""),
        Some(Err(Error::InvalidName))
    );
}

/// Without a majority the owners stop, and calls fail with an error that names the silent voters.
/// Once there is a majority again, leases have owners without intervention. Leases can be
/// transferred and released at any node.
#[test]
fn leases_stop_without_a_majority_and_resume_with_one() {
    let mut sim = run_until_owned(3, 2, 4);
    sim.kill(0);
    sim.kill(1);
    sim.wait_until(8000, "the owners stop", |sim| {
        LEASES
            .iter()
            .all(|lease| sim.acting_owners(lease).is_empty())
    });
    let acquire = |lease: &str| Operation::Acquire {
        lease: lease.into(),
    };
    assert_eq!(
        call(&mut sim, 2, acquire("x")),
        Some(Err(Error::NoMajority(vec!["n0".into(), "n1".into()])))
    );
    // Of two calls, the second is queued behind the first, but still fails by its own deadline.
    let requested_at = sim.now;
    let clock = sim.clock(2);
    let mut out = Vec::new();
    if let Some(coordinator) = &mut sim.nodes[2].coordinator {
        coordinator.call(clock, 1001, acquire("y"), &mut out);
    }
    sim.carry_out(2, out);
    (0..200).for_each(|_| sim.step());
    let result = call(&mut sim, 2, acquire("z"));
    assert!(
        matches!(result, Some(Err(Error::NoMajority(_)))) && sim.now < requested_at + 7300,
        "{result:?} after {}",
        sim.now - requested_at
    );
    sim.start(0);
    sim.wait_until(15_000, "owners", |sim| {
        LEASES
            .iter()
            .all(|lease| sim.acting_owners(lease).len() == 1)
    });
    // A call at any node transfers a lease, here to a node that does not vote, which then releases
    // it.
    let owner = sim.acting_owners("bans")[0];
    let transfer = Operation::Transfer {
        lease: "bans".into(),
        token: None,
        to: "n3".into(),
    };
    assert_eq!(call(&mut sim, 4, transfer), Some(Ok(())));
    sim.wait_until(6000, "n3 has it", |sim| sim.acting_owners("bans") == [3]);
    assert_ne!(owner, 3);
    let release = Operation::Release {
        lease: "bans".into(),
        token: held_token(&sim, 3, "bans"),
    };
    assert_eq!(call(&mut sim, 3, release), Some(Ok(())));
    sim.wait_until(2000, "another has it", |sim| {
        sim.acting_owners("bans").first().is_some_and(|n| *n != 3)
    });
}

/// A release that an operator requests at another node reaches the owner only through the log. The
/// owner must stop acting as soon as its own copy of the log shows the release, not at its next
/// renewal, and must not acquire the lease again for the duration of a lease.
#[test]
fn an_owner_stops_acting_once_its_log_shows_a_release_made_elsewhere() {
    for seed in seeds("0..40") {
        let mut sim = run_until_owned(3, 0, seed);
        let owner = sim.acting_owners("bans")[0];
        let elsewhere = (owner + 1) % 3;
        let token = held_token(&sim, owner, "bans");
        let release = Operation::Release {
            lease: "bans".into(),
            token,
        };
        let released = call(&mut sim, elsewhere, release);
        assert_eq!(released, Some(Ok(())), "seed {seed}");
        let mut next_owner = None;
        for _ in 0..300 {
            let table = sim.nodes[owner]
                .coordinator
                .as_ref()
                .map(Coordinator::lease_table);
            let known = table
                .and_then(|table| table.lease("bans"))
                .and_then(|lease| lease.owner.clone());
            let knows_release = known.as_ref().is_none_or(|known| known.token != token);
            assert!(
                !knows_release || held_token(&sim, owner, "bans") == 0,
                "seed {seed}: the owner still acts after the release"
            );
            next_owner = next_owner.or(known.filter(|known| known.token > token));
            sim.step();
        }
        let next_owner = next_owner.map(|next| next.node);
        assert!(next_owner.is_some(), "seed {seed}: {}", sim.describe());
        assert_ne!(next_owner, Some(format!("n{owner}")), "seed {seed}");
    }
}
