//! The real lease table, granter, holder and fence under a model checker: two nodes compete for one
//! lease, either of two voters may lead the log, and one fence admits effects. Commands, responses
//! and effects are lost, delayed and reordered, and nodes are paused at any moment, also between
//! the check and the effect. Time is a few ticks. Each safeguard is removed in turn, and the
//! checker must find the violation.

use postproxy_leases::{
    Command, Effect, Fence, LeaseClaim, LeaseGranter, LeaseHolder, LeasePermit, LeaseTable,
    LeaseTiming, Operation, Response,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The safeguards that are removed from the protocol.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Without {
    /// Effects are admitted whatever their token is.
    fence: bool,
    /// A lease counts from the arrival of the response, not from the request.
    asked: bool,
    /// A new leader expires leases at once that it has not seen run.
    wait: bool,
    /// A pause does not void the leases of a node.
    pause: bool,
    /// An expiry also ends a lease that has been renewed since it was proposed.
    renewal: bool,
}

/// A command in transit to the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentCommand {
    caller: usize,
    asked_at: u64,
    command: Command,
}

/// A response in transit to a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentResponse {
    caller: usize,
    asked_at: u64,
    operation: Operation,
    response: Response,
}

/// An effect that has been carried out.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct AdmittedEffect {
    token: u64,
    node: usize,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u64,
    table: LeaseTable,
    granters: [LeaseGranter; 2],
    holders: [LeaseHolder; 2],
    /// The number of commands that each node has made.
    sequences: [u64; 2],
    paused: [bool; 2],
    /// Commands in transit.
    commands: Vec<SentCommand>,
    /// Responses in transit.
    responses: Vec<SentResponse>,
    /// The permit that each node has obtained and not used yet.
    obtained: [Option<LeasePermit>; 2],
    effects: Vec<Effect<usize>>,
    fence: Fence,
    /// The effects that the fence has admitted, in order.
    admitted: Vec<AdmittedEffect>,
    /// The number of expiries that the voters have proposed.
    expiries: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Pause(usize),
    Resume(usize),
    Acquire(usize),
    Renew(usize),
    ApplyCommand(usize),
    ReceiveResponse(usize),
    ProposeExpiry(usize),
    ObtainPermit(usize),
    SendEffect(usize),
    AdmitEffect(usize),
}

struct LeaseModel {
    without: Without,
    ticks: u64,
    /// How many commands each node makes.
    max_commands: [u64; 2],
    timing: LeaseTiming,
}

const LEASE: &str = "d";
/// The caller of the commands that the leader proposes.
const VOTER: usize = 2;

impl LeaseModel {
    fn new(without: Without, ticks: u64, max_commands: [u64; 2]) -> Self {
        // A lease of 2 ticks, equal clocks, and a pause is more than one tick.
        Self {
            without,
            ticks,
            max_commands,
            timing: LeaseTiming {
                lease_ms: 2,
                drift_per_mille: 0,
                pause_threshold_ms: 1,
            },
        }
    }
}

impl Model for LeaseModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut holders = [LeaseHolder::new(self.timing), LeaseHolder::new(self.timing)];
        holders.iter_mut().for_each(|holder| {
            holder.detect_pause(0);
        });
        let mut granters = [
            LeaseGranter::new(self.timing),
            LeaseGranter::new(self.timing),
        ];
        granters
            .iter_mut()
            .for_each(|granter| granter.set_leading(true));
        vec![World {
            now: 0,
            table: LeaseTable::default(),
            granters,
            holders,
            sequences: [0; 2],
            paused: [false; 2],
            commands: Vec::new(),
            responses: Vec::new(),
            obtained: [None, None],
            effects: Vec::new(),
            fence: Fence::default(),
            admitted: Vec::new(),
            expiries: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.ticks {
            steps.push(Step::Tick);
        }
        for n in 0..2 {
            if world.paused[n] {
                steps.push(Step::Resume(n));
                continue;
            }
            if !world.holders[n].claims().is_empty() {
                steps.push(Step::Pause(n));
            }
            if world.sequences[n] < self.max_commands[n] {
                steps.push(if world.holders[n].claims().is_empty() {
                    Step::Acquire(n)
                } else {
                    Step::Renew(n)
                });
            }
            if world.obtained[n].is_some() {
                steps.push(Step::SendEffect(n));
            } else if world.holders[n].permit(world.now, LEASE).is_some()
                && world.admitted.len() + world.effects.len() < 2
            {
                steps.push(Step::ObtainPermit(n));
            }
        }
        // A lost command is one that is never applied.
        steps.extend((0..world.commands.len()).map(Step::ApplyCommand));
        let running = |i: &usize| !world.paused[world.responses[*i].caller];
        steps.extend(
            (0..world.responses.len())
                .filter(running)
                .map(Step::ReceiveResponse),
        );
        steps.extend((0..world.effects.len()).map(Step::AdmitEffect));
        // Either voter may lead.
        steps.extend(
            [0, 1]
                .into_iter()
                .filter(|_| world.expiries < 2)
                .map(Step::ProposeExpiry),
        );
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let now = world.now;
        match step {
            Step::Tick => {
                world.now += 1;
                for n in 0..2 {
                    if !world.paused[n] {
                        world.holders[n].detect_pause(world.now);
                    }
                }
            }
            Step::Pause(n) => world.paused[n] = true,
            Step::Resume(n) => self.resume(&mut world, n),
            Step::Acquire(n) | Step::Renew(n) => send_command(&mut world, n),
            Step::ApplyCommand(i) => self.apply_command(&mut world, i),
            Step::ReceiveResponse(i) => self.receive_response(&mut world, i),
            Step::ProposeExpiry(leader) => self.propose_expiry(&mut world, leader)?,
            Step::ObtainPermit(n) => world.obtained[n] = world.holders[n].permit(now, LEASE),
            Step::SendEffect(n) => {
                let permit = world.obtained[n].take()?;
                world.effects.push(Effect::new(&permit, n));
            }
            Step::AdmitEffect(i) => self.admit_effect(&mut world, i)?,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // Safety rests on tokens alone, whatever is paused.
            Property::always(
                "no effect after a newer owner's, no token of two owners",
                |_, world: &World| {
                    world
                        .admitted
                        .windows(2)
                        .all(|two| two[0].token < two[1].token || two[0] == two[1])
                },
            ),
            // Leases add, as long as clocks keep their bound, that two nodes never have a permit at
            // once.
            Property::always("one owner at a time", |_, world: &World| {
                let has_permit = |n: &usize| {
                    !world.paused[*n] && world.holders[*n].permit(world.now, LEASE).is_some()
                };
                (0..2).filter(has_permit).count() < 2
            }),
            Property::sometimes("the second owner acts", |_, world: &World| {
                world.admitted.len() == 2 && world.admitted[0].node != world.admitted[1].node
            }),
            Property::sometimes("an effect is rejected", |_, world: &World| {
                world.fence.rejected_count() > 0
            }),
        ]
    }
}

impl LeaseModel {
    fn resume(&self, world: &mut World, n: usize) {
        world.paused[n] = false;
        if self.without.pause {
            // As if no time had passed: the missed turns are made up for.
            for tick in 0..=world.now {
                world.holders[n].detect_pause(tick);
            }
        } else {
            world.holders[n].detect_pause(world.now);
        }
    }

    fn apply_command(&self, world: &mut World, i: usize) {
        let SentCommand {
            caller,
            asked_at,
            mut command,
        } = world.commands.remove(i);
        if let Operation::Expire { leases } = &mut command.operation
            && self.without.renewal
        {
            // The renewals that the leader saw are replaced by those that there are now.
            for expired in leases {
                expired.renewals = world
                    .table
                    .lease(&expired.lease)
                    .map_or(0, |lease| lease.renewals);
            }
        }
        let response = world.table.apply(&command);
        if caller != VOTER {
            world.responses.push(SentResponse {
                caller,
                asked_at,
                operation: command.operation,
                response,
            });
        }
        for granter in &mut world.granters {
            granter.record_applied(world.now, &world.table);
        }
    }

    fn receive_response(&self, world: &mut World, i: usize) {
        let received = world.responses.remove(i);
        let asked_at = if self.without.asked {
            world.now
        } else {
            received.asked_at
        };
        let holder = &mut world.holders[received.caller];
        match (received.operation, received.response) {
            (_, Response::Granted { token, .. }) => holder.record_grant(asked_at, LEASE, token),
            (Operation::Renew { claims }, Response::Renewed { renewed, lost }) => {
                for LeaseClaim { lease, token } in claims {
                    if renewed.iter().any(|renewed| renewed.lease == lease) {
                        holder.record_grant(asked_at, &lease, token);
                    } else if lost.contains(&lease) {
                        holder.remove(&lease, token);
                    }
                }
            }
            _ => {}
        }
    }

    fn propose_expiry(&self, world: &mut World, leader: usize) -> Option<()> {
        let operation = if self.without.wait {
            // A granter that counts every lease from time 0.
            let mut granter = LeaseGranter::new(self.timing);
            granter.record_applied(0, &world.table);
            granter.set_leading(true);
            granter.expire_due_leases(world.now + 100)?
        } else {
            world.granters[leader].expire_due_leases(world.now)?
        };
        world.expiries += 1;
        let command = Command {
            node: "v".into(),
            incarnation: 1,
            sequence: world.expiries,
            operation,
        };
        world.commands.push(SentCommand {
            caller: VOTER,
            asked_at: world.now,
            command,
        });
        Some(())
    }

    fn admit_effect(&self, world: &mut World, i: usize) -> Option<()> {
        let effect = world.effects.remove(i);
        let token = effect.token();
        if self.without.fence {
            let mut empty = Fence::default();
            let node = empty.admit(effect).ok()?;
            world.admitted.push(AdmittedEffect { token, node });
        } else if let Ok(node) = world.fence.admit(effect) {
            world.admitted.push(AdmittedEffect { token, node });
        }
        Some(())
    }
}

fn send_command(world: &mut World, n: usize) {
    let claims = world.holders[n].claims();
    let operation = if claims.is_empty() {
        Operation::Acquire {
            lease: LEASE.into(),
        }
    } else {
        Operation::Renew { claims }
    };
    world.sequences[n] += 1;
    let command = Command {
        node: format!("n{n}"),
        incarnation: 1,
        sequence: world.sequences[n],
        operation,
    };
    world.commands.push(SentCommand {
        caller: n,
        asked_at: world.now,
        command,
    });
}

/// Explores all states within this many steps of the first.
fn check(
    without: Without,
    max_commands: [u64; 2],
    depth: usize,
) -> (usize, usize, Vec<&'static str>) {
    let checker = LeaseModel::new(without, 4, max_commands)
        .checker()
        .threads(4)
        .target_max_depth(depth);
    let (states, depth, found) = if without == Without::default() && depth < UNLIMITED_DEPTH {
        // Breadth first, so that all states within the depth are seen.
        let checker = checker.spawn_bfs().join();
        (
            checker.unique_state_count(),
            checker.max_depth(),
            checker.discoveries(),
        )
    } else {
        // Depth first, which takes little memory: all states, or up to the first violation.
        let stop_condition = if without == Without::default() {
            HasDiscoveries::AllFailures
        } else {
            HasDiscoveries::AnyFailures
        };
        let checker = checker.finish_when(stop_condition).spawn_dfs().join();
        (
            checker.unique_state_count(),
            checker.max_depth(),
            checker.discoveries(),
        )
    };
    let mut found: Vec<&'static str> = found.into_keys().collect();
    found.sort_unstable();
    (states, depth, found)
}

/// Deeper than any path of nodes with one command each.
const UNLIMITED_DEPTH: usize = 1000;

/// The depth in CI; `POSTPROXY_DEPTH` sets another.
fn depth() -> usize {
    std::env::var("POSTPROXY_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(11)
}

const TOKENS_ARE_ORDERED: &str = "no effect after a newer owner's, no token of two owners";
const ONE_OWNER: &str = "one owner at a time";

/// No state within that depth violates a property; with one command a node, none at all.
#[test]
fn no_state_violates_a_property() {
    let (states, depth, found) = check(Without::default(), [2, 2], depth());
    println!("two commands a node: {states} states, depth {depth}: {found:?}");
    assert!(
        !found.contains(&TOKENS_ARE_ORDERED) && !found.contains(&ONE_OWNER),
        "{found:?}"
    );
    assert!(states > 100_000, "{states}");
    let (states, depth, found) = check(Without::default(), [1, 1], UNLIMITED_DEPTH);
    println!("one command a node: {states} states, depth {depth}: {found:?}");
    assert_eq!(
        found,
        ["an effect is rejected", "the second owner acts"],
        "the fence and the change of owners are exercised"
    );
}

/// The model has no state in which the detection of pauses matters: the clock goes on while a node
/// is paused, so its lease expires by itself. Pinned here so that nobody takes this safeguard for
/// more than it is.
#[test]
fn pause_detection_is_redundant_in_this_model() {
    let (_, _, found) = check(
        Without {
            pause: true,
            ..Without::default()
        },
        [1, 1],
        15,
    );
    assert!(
        !found.contains(&TOKENS_ARE_ORDERED) && !found.contains(&ONE_OWNER),
        "{found:?}"
    );
}

/// Without each of the safeguards the checker finds a state that violates a property.
#[test]
fn removing_any_safeguard_is_detected() {
    let cases = [
        (
            "fence",
            Without {
                fence: true,
                ..Without::default()
            },
            [1, 1],
            TOKENS_ARE_ORDERED,
        ),
        (
            "asked",
            Without {
                asked: true,
                ..Without::default()
            },
            [1, 1],
            ONE_OWNER,
        ),
        (
            "wait",
            Without {
                wait: true,
                ..Without::default()
            },
            [1, 1],
            ONE_OWNER,
        ),
        (
            "renewal",
            Without {
                renewal: true,
                ..Without::default()
            },
            [2, 1],
            ONE_OWNER,
        ),
    ];
    for (name, without, max_commands, property) in cases {
        let (states, depth, found) = check(without, max_commands, 20);
        println!("without {name}: {states} states, depth {depth}: {found:?}");
        assert!(found.contains(&property), "without {name}: {found:?}");
    }
}
