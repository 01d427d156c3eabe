//! Model checking of the real lease table, granter, holder and fence: two nodes compete for one
//! lease, either of two voters may lead the log, and one fence admits effects. Commands, responses
//! and effects are lost, delayed and reordered, and nodes are paused at any moment, including
//! between the check and the effect. Time is limited to a few ticks. Each safeguard is disabled in
//! turn, and the checker must then find a violation.

use postproxy_leases::{
    Command, Effect, Fence, LeaseClaim, LeaseGranter, LeaseHolder, LeasePermit, LeaseTable,
    LeaseTiming, Operation, Response,
};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The safeguards that are disabled.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
struct DisabledSafeguards {
    /// The fence rejects effects under stale tokens.
    fence: bool,
    /// A lease counts from the request, not from the arrival of the response.
    count_from_request: bool,
    /// A new leader does not expire a lease before it has observed it for the whole lease duration.
    granter_wait: bool,
    /// A node that was paused must renew its leases before it acts.
    pause_detection: bool,
    /// An expiry does not end a lease that has been renewed since the expiry was proposed.
    renewal_check: bool,
}

/// A command in transit to the log.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentCommand {
    caller: usize,
    requested_at: u64,
    command: Command,
}

/// A response in transit to a node.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SentResponse {
    caller: usize,
    requested_at: u64,
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
struct ModelState {
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
    /// The permit that each node has obtained and not yet used.
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
    disabled: DisabledSafeguards,
    ticks: u64,
    /// How many commands each node makes.
    max_commands: [u64; 2],
    timing: LeaseTiming,
}

const LEASE: &str = "d";
/// Stands for the leader as the caller of the expiries that it proposes.
const VOTER: usize = 2;

impl LeaseModel {
    fn new(disabled: DisabledSafeguards, ticks: u64, max_commands: [u64; 2]) -> Self {
        // A lease lasts 2 ticks, clocks do not drift, and more than one tick between two turns is a
        // pause.
        Self {
            disabled,
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
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
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
        vec![ModelState {
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

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.now < self.ticks {
            steps.push(Step::Tick);
        }
        for n in 0..2 {
            if state.paused[n] {
                steps.push(Step::Resume(n));
                continue;
            }
            if !state.holders[n].claims().is_empty() {
                steps.push(Step::Pause(n));
            }
            if state.sequences[n] < self.max_commands[n] {
                steps.push(if state.holders[n].claims().is_empty() {
                    Step::Acquire(n)
                } else {
                    Step::Renew(n)
                });
            }
            if state.obtained[n].is_some() {
                steps.push(Step::SendEffect(n));
            } else if state.holders[n].permit(state.now, LEASE).is_some()
                && state.admitted.len() + state.effects.len() < 2
            {
                steps.push(Step::ObtainPermit(n));
            }
        }
        // A lost command is modelled as one that is never applied.
        steps.extend((0..state.commands.len()).map(Step::ApplyCommand));
        let running = |i: &usize| !state.paused[state.responses[*i].caller];
        steps.extend(
            (0..state.responses.len())
                .filter(running)
                .map(Step::ReceiveResponse),
        );
        steps.extend((0..state.effects.len()).map(Step::AdmitEffect));
        // Either voter may propose as the leader.
        steps.extend(
            [0, 1]
                .into_iter()
                .filter(|_| state.expiries < 2)
                .map(Step::ProposeExpiry),
        );
    }

    fn next_state(&self, before: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = before.clone();
        let now = state.now;
        match step {
            Step::Tick => {
                state.now += 1;
                for n in 0..2 {
                    if !state.paused[n] {
                        state.holders[n].detect_pause(state.now);
                    }
                }
            }
            Step::Pause(n) => state.paused[n] = true,
            Step::Resume(n) => self.resume(&mut state, n),
            Step::Acquire(n) | Step::Renew(n) => send_command(&mut state, n),
            Step::ApplyCommand(i) => self.apply_command(&mut state, i),
            Step::ReceiveResponse(i) => self.receive_response(&mut state, i),
            Step::ProposeExpiry(leader) => self.propose_expiry(&mut state, leader)?,
            Step::ObtainPermit(n) => state.obtained[n] = state.holders[n].permit(now, LEASE),
            Step::SendEffect(n) => {
                let permit = state.obtained[n].take()?;
                state.effects.push(Effect::new(&permit, n));
            }
            Step::AdmitEffect(i) => self.admit_effect(&mut state, i)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // This depends on tokens alone, whichever processes are paused.
            Property::always(
                "no effect after a newer owner's, no token of two owners",
                |_, state: &ModelState| {
                    state
                        .admitted
                        .windows(2)
                        .all(|two| two[0].token < two[1].token || two[0] == two[1])
                },
            ),
            // As long as clocks keep within their bound, the durations of leases also ensure that
            // two nodes never have a permit at once.
            Property::always("one owner at a time", |_, state: &ModelState| {
                let has_permit = |n: &usize| {
                    !state.paused[*n] && state.holders[*n].permit(state.now, LEASE).is_some()
                };
                (0..2).filter(has_permit).count() < 2
            }),
            Property::sometimes("the second owner acts", |_, state: &ModelState| {
                state.admitted.len() == 2 && state.admitted[0].node != state.admitted[1].node
            }),
            Property::sometimes("an effect is rejected", |_, state: &ModelState| {
                state.fence.rejected_count() > 0
            }),
        ]
    }
}

impl LeaseModel {
    fn resume(&self, state: &mut ModelState, n: usize) {
        state.paused[n] = false;
        if self.disabled.pause_detection {
            // The missed turns are made up for, so that no pause is detected.
            for tick in 0..=state.now {
                state.holders[n].detect_pause(tick);
            }
        } else {
            state.holders[n].detect_pause(state.now);
        }
    }

    fn apply_command(&self, state: &mut ModelState, i: usize) {
        let SentCommand {
            caller,
            requested_at,
            mut command,
        } = state.commands.remove(i);
        if let Operation::Expire { leases } = &mut command.operation
            && self.disabled.renewal_check
        {
            // The number of renewals that the leader saw is replaced by the present one.
            for expired in leases {
                expired.renewals = state
                    .table
                    .lease(&expired.lease)
                    .map_or(0, |lease| lease.renewals);
            }
        }
        let response = state.table.apply(&command);
        if caller != VOTER {
            state.responses.push(SentResponse {
                caller,
                requested_at,
                operation: command.operation,
                response,
            });
        }
        for granter in &mut state.granters {
            granter.record_applied(state.now, &state.table);
        }
    }

    fn receive_response(&self, state: &mut ModelState, i: usize) {
        let received = state.responses.remove(i);
        let requested_at = if self.disabled.count_from_request {
            state.now
        } else {
            received.requested_at
        };
        let holder = &mut state.holders[received.caller];
        match (received.operation, received.response) {
            (_, Response::Granted { token, .. }) => holder.record_grant(requested_at, LEASE, token),
            (Operation::Renew { claims }, Response::Renewed { renewed, lost }) => {
                for LeaseClaim { lease, token } in claims {
                    if renewed.iter().any(|renewed| renewed.lease == lease) {
                        holder.record_grant(requested_at, &lease, token);
                    } else if lost.contains(&lease) {
                        holder.remove(&lease, token);
                    }
                }
            }
            _ => {}
        }
    }

    fn propose_expiry(&self, state: &mut ModelState, leader: usize) -> Option<()> {
        let operation = if self.disabled.granter_wait {
            // A new granter that measures every lease from time 0.
            let mut granter = LeaseGranter::new(self.timing);
            granter.record_applied(0, &state.table);
            granter.set_leading(true);
            granter.expire_due_leases(state.now + 100)?
        } else {
            state.granters[leader].expire_due_leases(state.now)?
        };
        state.expiries += 1;
        let command = Command {
            node: "v".into(),
            incarnation: 1,
            sequence: state.expiries,
            operation,
        };
        state.commands.push(SentCommand {
            caller: VOTER,
            requested_at: state.now,
            command,
        });
        Some(())
    }

    fn admit_effect(&self, state: &mut ModelState, i: usize) -> Option<()> {
        let effect = state.effects.remove(i);
        let token = effect.token();
        if self.disabled.fence {
            let mut empty = Fence::default();
            let node = empty.admit(effect).ok()?;
            state.admitted.push(AdmittedEffect { token, node });
        } else if let Ok(node) = state.fence.admit(effect) {
            state.admitted.push(AdmittedEffect { token, node });
        }
        Some(())
    }
}

fn send_command(state: &mut ModelState, n: usize) {
    let claims = state.holders[n].claims();
    let operation = if claims.is_empty() {
        Operation::Acquire {
            lease: LEASE.into(),
        }
    } else {
        Operation::Renew { claims }
    };
    state.sequences[n] += 1;
    let command = Command {
        node: format!("n{n}"),
        incarnation: 1,
        sequence: state.sequences[n],
        operation,
    };
    state.commands.push(SentCommand {
        caller: n,
        requested_at: state.now,
        command,
    });
}

/// Explores all states within this many steps of the first.
fn check(
    disabled: DisabledSafeguards,
    max_commands: [u64; 2],
    depth: usize,
) -> (usize, usize, Vec<&'static str>) {
    let checker = LeaseModel::new(disabled, 4, max_commands)
        .checker()
        .threads(4)
        .target_max_depth(depth);
    let (states, depth, found) =
        if disabled == DisabledSafeguards::default() && depth < UNLIMITED_DEPTH {
            // Breadth first, so that all states within the depth are explored.
            let checker = checker.spawn_bfs().join();
            (
                checker.unique_state_count(),
                checker.max_depth(),
                checker.discoveries(),
            )
        } else {
            // Depth first, which takes little memory: all states, or up to the first violation.
            let stop_condition = if disabled == DisabledSafeguards::default() {
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

/// Returns the depth to explore: 11, which CI uses, unless `POSTPROXY_DEPTH` sets another.
fn depth() -> usize {
    std::env::var("POSTPROXY_DEPTH")
        .ok()
        .and_then(|depth| depth.parse().ok())
        .unwrap_or(11)
}

const TOKENS_ARE_ORDERED: &str = "no effect after a newer owner's, no token of two owners";
const ONE_OWNER: &str = "one owner at a time";

/// With two commands per node, no state within the explored depth violates a safety property; with
/// one command per node, no state at all does.
#[test]
fn no_state_violates_a_property() {
    let (states, depth, found) = check(DisabledSafeguards::default(), [2, 2], depth());
    println!("two commands a node: {states} states, depth {depth}: {found:?}");
    assert!(
        !found.contains(&TOKENS_ARE_ORDERED) && !found.contains(&ONE_OWNER),
        "{found:?}"
    );
    assert!(states > 100_000, "{states}");
    let (states, depth, found) = check(DisabledSafeguards::default(), [1, 1], UNLIMITED_DEPTH);
    println!("one command a node: {states} states, depth {depth}: {found:?}");
    assert_eq!(
        found,
        ["an effect is rejected", "the second owner acts"],
        "the fence and the change of owners are exercised"
    );
}

/// In this model, pause detection prevents no violation: the clock advances while a node is paused,
/// so its lease ends by the clock alone. The test documents that safety does not depend on this
/// safeguard here.
#[test]
fn pause_detection_is_redundant_in_this_model() {
    let (_, _, found) = check(
        DisabledSafeguards {
            pause_detection: true,
            ..DisabledSafeguards::default()
        },
        [1, 1],
        15,
    );
    assert!(
        !found.contains(&TOKENS_ARE_ORDERED) && !found.contains(&ONE_OWNER),
        "{found:?}"
    );
}

/// With any of the other safeguards disabled, the checker finds a state that violates a property.
#[test]
fn removing_any_safeguard_is_detected() {
    let cases = [
        (
            "fence",
            DisabledSafeguards {
                fence: true,
                ..DisabledSafeguards::default()
            },
            [1, 1],
            TOKENS_ARE_ORDERED,
        ),
        (
            "count_from_request",
            DisabledSafeguards {
                count_from_request: true,
                ..DisabledSafeguards::default()
            },
            [1, 1],
            ONE_OWNER,
        ),
        (
            "granter_wait",
            DisabledSafeguards {
                granter_wait: true,
                ..DisabledSafeguards::default()
            },
            [1, 1],
            ONE_OWNER,
        ),
        (
            "renewal_check",
            DisabledSafeguards {
                renewal_check: true,
                ..DisabledSafeguards::default()
            },
            [2, 1],
            ONE_OWNER,
        ),
    ];
    for (name, disabled, max_commands, property) in cases {
        let (states, depth, found) = check(disabled, max_commands, 20);
        println!("without {name}: {states} states, depth {depth}: {found:?}");
        assert!(found.contains(&property), "without {name}: {found:?}");
    }
}
