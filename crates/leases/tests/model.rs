//! The real state, granter, holder and fence under a model checker: two nodes that want one duty, two voters of which either
//! may come to lead, a place where effects arrive; calls, answers and effects are lost, late and out of order, nodes stop at
//! any moment, also between the check and the effect. Time is a few ticks. Each guard is taken out in turn, and must be missed.

use postproxy_leases::{
    Command, Effect, Fence, LeaseGranter, LeaseHolder, LeasePermit, LeaseTable, LeaseTiming,
    Operation, Response,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// What is taken out of the protocol.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct Without {
    /// Effects are admitted whatever their token.
    fence: bool,
    /// A lease counts from when its answer comes.
    asked: bool,
    /// Who comes to lead takes leases for over that it has not seen run.
    wait: bool,
    /// A turn that comes late voids nothing.
    pause: bool,
    /// A lease that was renewed meanwhile ends all the same.
    renewal: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    now: u64,
    state: LeaseTable,
    granters: [LeaseGranter; 2],
    holders: [LeaseHolder; 2],
    /// Calls that each node has made.
    numbers: [u64; 2],
    asleep: [bool; 2],
    /// Calls on their way, with who makes them and when.
    calls: Vec<(usize, u64, Command)>,
    answers: Vec<(usize, u64, Operation, Response)>,
    checked: [Option<LeasePermit>; 2],
    effects: Vec<Effect<usize>>,
    fence: Fence,
    /// Effects done: the token, and whose.
    done: Vec<(u64, usize)>,
    expired: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Sleep(usize),
    Wake(usize),
    Acquire(usize),
    Renew(usize),
    Apply(usize),
    Response(usize),
    Expire(usize),
    Check(usize),
    Send(usize),
    Arrive(usize),
}

struct Duties {
    without: Without,
    ticks: u64,
    calls: [u64; 2],
    times: LeaseTiming,
}

const DUTY: &str = "d";
/// Makes the calls of whoever leads.
const VOTER: usize = 2;

impl Duties {
    fn new(without: Without, ticks: u64, calls: [u64; 2]) -> Self {
        // A lease of 2 ticks, clocks alike, a pause is more than a tick.
        Self {
            without,
            ticks,
            calls,
            times: LeaseTiming {
                lease: 2,
                drift: 0,
                late: 1,
            },
        }
    }
}

impl Model for Duties {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut holders = [LeaseHolder::new(self.times), LeaseHolder::new(self.times)];
        holders.iter_mut().for_each(|holder| {
            holder.turn(0);
        });
        let mut granters = [LeaseGranter::new(self.times), LeaseGranter::new(self.times)];
        granters.iter_mut().for_each(|granter| granter.lead(true));
        vec![World {
            now: 0,
            state: LeaseTable::default(),
            granters,
            holders,
            numbers: [0; 2],
            asleep: [false; 2],
            calls: Vec::new(),
            answers: Vec::new(),
            checked: [None, None],
            effects: Vec::new(),
            fence: Fence::default(),
            done: Vec::new(),
            expired: 0,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < self.ticks {
            steps.push(Step::Tick);
        }
        for n in 0..2 {
            if world.asleep[n] {
                steps.push(Step::Wake(n));
                continue;
            }
            if !world.holders[n].all().is_empty() {
                steps.push(Step::Sleep(n));
            }
            if world.numbers[n] < self.calls[n] {
                steps.push(if world.holders[n].all().is_empty() {
                    Step::Acquire(n)
                } else {
                    Step::Renew(n)
                });
            }
            if world.checked[n].is_some() {
                steps.push(Step::Send(n));
            } else if world.holders[n].may(world.now, DUTY).is_some()
                && world.done.len() + world.effects.len() < 2
            {
                steps.push(Step::Check(n));
            }
        }
        // One that is lost is one that is never applied.
        steps.extend((0..world.calls.len()).map(Step::Apply));
        let awake = |i: &usize| !world.asleep[world.answers[*i].0];
        steps.extend((0..world.answers.len()).filter(awake).map(Step::Response));
        steps.extend((0..world.effects.len()).map(Step::Arrive));
        // Whichever voter leads.
        steps.extend(
            [0, 1]
                .into_iter()
                .filter(|_| world.expired < 2)
                .map(Step::Expire),
        );
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let now = world.now;
        match step {
            Step::Tick => {
                world.now += 1;
                for n in 0..2 {
                    if !world.asleep[n] {
                        world.holders[n].turn(world.now);
                    }
                }
            }
            Step::Sleep(n) => world.asleep[n] = true,
            Step::Wake(n) => {
                world.asleep[n] = false;
                if self.without.pause {
                    // As if no time had passed: turns that were missed are made up for.
                    (0..=now).for_each(|tick| {
                        world.holders[n].turn(tick);
                    });
                } else {
                    world.holders[n].turn(now);
                }
            }
            Step::Acquire(n) | Step::Renew(n) => {
                let all = world.holders[n].all();
                let call = if all.is_empty() {
                    Operation::Acquire(DUTY.into())
                } else {
                    Operation::Renew(all)
                };
                world.numbers[n] += 1;
                let command = Command {
                    node: format!("n{n}"),
                    life: 1,
                    number: world.numbers[n],
                    call,
                };
                world.calls.push((n, now, command));
            }
            Step::Apply(i) => {
                let (n, asked, mut command) = world.calls.remove(i);
                if let Operation::Expire(all) = &mut command.call
                    && self.without.renewal
                {
                    // What was seen is taken for what there is by now.
                    let of = |name: &String| world.state.duty(name).map_or(0, |duty| duty.renewals);
                    all.iter_mut()
                        .for_each(|(name, _, renewals)| *renewals = of(name));
                }
                let answer = world.state.apply(&command);
                if n != VOTER {
                    world.answers.push((n, asked, command.call, answer));
                }
                self.applied(&mut world);
            }
            Step::Response(i) => {
                let (n, asked, call, answer) = world.answers.remove(i);
                let asked = if self.without.asked { now } else { asked };
                let holder = &mut world.holders[n];
                match (call, answer) {
                    (_, Response::Owns(token, _)) => holder.granted(asked, DUTY, token),
                    (Operation::Renew(all), Response::Renewed(renewed, lost)) => {
                        for (name, token) in all {
                            if renewed.iter().any(|(of, _)| *of == name) {
                                holder.granted(asked, &name, token);
                            } else if lost.contains(&name) {
                                holder.lost(&name, token);
                            }
                        }
                    }
                    _ => {}
                }
            }
            Step::Expire(leader) => {
                let call = if self.without.wait {
                    // It counts from nothing.
                    let mut granter = LeaseGranter::new(self.times);
                    granter.applied(0, &world.state);
                    granter.lead(true);
                    granter.due(now + 100)?
                } else {
                    world.granters[leader].due(now)?
                };
                world.expired += 1;
                let command = Command {
                    node: "v".into(),
                    life: 1,
                    number: world.expired,
                    call,
                };
                world.calls.push((VOTER, now, command));
            }
            Step::Check(n) => world.checked[n] = world.holders[n].may(now, DUTY),
            Step::Send(n) => {
                let permit = world.checked[n].take()?;
                world.effects.push(Effect::new(&permit, n));
            }
            Step::Arrive(i) => {
                let effect = world.effects.remove(i);
                let token = effect.token();
                if self.without.fence {
                    let mut open = Fence::default();
                    world.done.push((token, open.admit(effect).ok()?));
                } else if let Ok(n) = world.fence.admit(effect) {
                    world.done.push((token, n));
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // Safety: rests on tokens alone, whatever sleeps.
            Property::always(
                "no effect after a newer owner's, no token of two owners",
                |_, world: &World| {
                    world
                        .done
                        .windows(2)
                        .all(|two| two[0].0 < two[1].0 || two[0] == two[1])
                },
            ),
            // What leases add, where clocks keep within their bound: two never believe at once that they may.
            Property::always("one owner at a time", |_, world: &World| {
                let may = |n: &usize| {
                    !world.asleep[*n] && world.holders[*n].may(world.now, DUTY).is_some()
                };
                (0..2).filter(may).count() < 2
            }),
            Property::sometimes("the second owner acts", |_, world: &World| {
                world.done.len() == 2 && world.done[0].1 != world.done[1].1
            }),
            Property::sometimes("an effect is refused", |_, world: &World| {
                world.fence.refused() > 0
            }),
        ]
    }
}

impl Duties {
    fn applied(&self, world: &mut World) {
        let World {
            granters,
            state,
            now,
            ..
        } = world;
        granters
            .iter_mut()
            .for_each(|granter| granter.applied(*now, state));
    }
}

/// All states within so many steps of the first.
fn check(without: Without, calls: [u64; 2], depth: usize) -> (usize, usize, Vec<&'static str>) {
    let checker = Duties::new(without, 4, calls)
        .checker()
        .threads(4)
        .target_max_depth(depth);
    let (states, depth, found) = if without == Without::default() && depth < WHOLE {
        // Breadth first, so that all within the depth are seen.
        let checker = checker.spawn_bfs().join();
        (
            checker.unique_state_count(),
            checker.max_depth(),
            checker.discoveries(),
        )
    } else {
        // Depth first, which takes little memory: all states there are, or up to the first that is broken.
        let ends = if without == Without::default() {
            HasDiscoveries::AllFailures
        } else {
            HasDiscoveries::AnyFailures
        };
        let checker = checker.finish_when(ends).spawn_dfs().join();
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

/// Deeper than any path of a node with one call.
const WHOLE: usize = 1000;

/// In CI; `POSTPROXY_DEPTH` may ask for more.
fn depth() -> usize {
    std::env::var("POSTPROXY_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(11)
}

const SAFE: &str = "no effect after a newer owner's, no token of two owners";
const ONE: &str = "one owner at a time";

/// No state within that depth breaks a promise; with one call a node, none at all.
#[test]
fn no_state_breaks_a_promise() {
    let (states, depth, found) = check(Without::default(), [2, 2], depth());
    println!("two calls a node: {states} states, depth {depth}: {found:?}");
    assert!(!found.contains(&SAFE) && !found.contains(&ONE), "{found:?}");
    assert!(states > 100_000, "{states}");
    let (states, depth, found) = check(Without::default(), [1, 1], WHOLE);
    println!("one call a node: {states} states, depth {depth}: {found:?}");
    assert_eq!(
        found,
        ["an effect is refused", "the second owner acts"],
        "and what it is there for does happen"
    );
}

/// A turn that comes late is found by no state of this model: the clock goes on while a node sleeps, so its lease is over by
/// itself. Told here so that nobody takes the guard for more than it is.
#[test]
fn a_late_turn_is_missed_by_nothing_here() {
    let (_, _, found) = check(
        Without {
            pause: true,
            ..Without::default()
        },
        [1, 1],
        15,
    );
    assert!(!found.contains(&SAFE) && !found.contains(&ONE), "{found:?}");
}

/// Guards against guards that guard nothing: without each of them the checker finds a state that breaks a promise.
#[test]
fn each_guard_taken_out_is_missed() {
    let cases = [
        (
            "fence",
            Without {
                fence: true,
                ..Without::default()
            },
            [1, 1],
            SAFE,
        ),
        (
            "asked",
            Without {
                asked: true,
                ..Without::default()
            },
            [1, 1],
            ONE,
        ),
        (
            "wait",
            Without {
                wait: true,
                ..Without::default()
            },
            [1, 1],
            ONE,
        ),
        (
            "renewal",
            Without {
                renewal: true,
                ..Without::default()
            },
            [2, 1],
            ONE,
        ),
    ];
    for (name, without, calls, broken) in cases {
        let (states, depth, found) = check(without, calls, 20);
        println!("without {name}: {states} states, depth {depth}: {found:?}");
        assert!(found.contains(&broken), "without {name}: {found:?}");
    }
}
