//! Random schedules of kills, pauses, cut links, lost datagrams and suspensions.

use crate::fleet_harness::{AcceptedAction, FleetHarness, MAX_WAIT, WorkerAction};
use postproxy::stand_ins::{Worker, send_request};
use postproxy_fault_injection::{Event, LinkFaults, Schedule, Step, check, wait_until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Number of nodes in the cluster.
const NODES: usize = 5;
/// Number of workers.
const WORKERS: usize = 3;
/// Number of attempts that the class of the requests allows.
const MAX_ATTEMPTS: u32 = 3;

impl FleetHarness {
    /// Suspends or resumes a worker at a node, and records the action if the node accepts it. A
    /// node that has just started may not know the worker yet, and reject it.
    fn try_worker_action(&mut self, n: usize, worker: usize, action: WorkerAction) {
        let path = format!("/v1/route-workers/w-{worker}/{}", action.name());
        let answer = send_request(self.nodes[n].management_address, "POST", &path, &[], b"")
            .expect("a running node answers");
        let body = String::from_utf8_lossy(&answer.body);
        self.history
            .note(format!("{}: {}", answer.status, body.trim_end()));
        assert!([200, 404].contains(&answer.status), "{}", self.describe());
        if answer.status == 200 {
            self.accepted_actions
                .push(AcceptedAction { worker, action });
        }
    }

    /// Runs one step of a schedule.
    fn run_step(&mut self, step: &Step) {
        self.history.note(step.to_string());
        let count = self.nodes.len();
        match *step {
            Step::Kill(n) => self.kill(n),
            Step::Start(n) => self.start(n),
            Step::Pause(n) => self.process(n).pause(),
            Step::Wake(n) => self.process(n).resume(),
            Step::Cut { from: a, to: b } => self.net.set_link(
                a,
                b,
                LinkFaults {
                    partitioned: true,
                    ..LinkFaults::default()
                },
            ),
            Step::Isolate(n) => {
                let others: Vec<usize> = (0..count).filter(|other| *other != n).collect();
                self.net.partition(&[n], &others);
            }
            Step::Heal => self.net.heal(),
            Step::Loss { percent: share } => self.net.set_all_links(LinkFaults {
                loss_rate: f64::from(share) / 100.0,
                ..LinkFaults::default()
            }),
            Step::Suspend { node: n, worker } => {
                self.try_worker_action(n, worker, WorkerAction::Suspend)
            }
            Step::Resume { node: n, worker } => {
                self.try_worker_action(n, worker, WorkerAction::Resume)
            }
            Step::Rest(ms) => std::thread::sleep(Duration::from_millis(ms)),
        }
    }

    /// Ends all faults: heals the network, resumes paused processes and starts killed nodes.
    fn end_faults(&mut self) {
        self.run_step(&Step::Heal);
        for n in 0..self.nodes.len() {
            if self.nodes[n].process.is_some() {
                self.run_step(&Step::Wake(n));
            } else {
                self.run_step(&Step::Start(n));
            }
        }
    }

    /// Checks the responses that clients received, and that only nodes with a fault were declared
    /// failed.
    fn check_history(&self, seed: u64) {
        let served = self
            .history
            .entries()
            .iter()
            .filter(|entry| {
                matches!(
                    entry.event,
                    Event::ResponseReceived {
                        status: Some(200),
                        ..
                    }
                )
            })
            .count();
        assert!(
            served > 100,
            "seed {seed}: {served} served: {}",
            self.describe()
        );
        for (request, times) in self.workers.iter().flat_map(Worker::runs) {
            self.history.record(Event::RequestRun {
                key: request,
                run_count: times,
            });
        }
        let result = check::check_responses(&self.history, MAX_ATTEMPTS)
            .and_then(|()| check::check_failure_reports(&self.history, &self.logs()));
        if let Err(violation) = result {
            panic!("seed {seed}: {violation}\n{}", self.describe());
        }
    }

    /// Checks that all nodes agree on the suspended workers, and that no suspend got lost.
    fn check_suspensions(&self, seed: u64) {
        let all_agree = || {
            let suspended: Vec<Vec<String>> = (0..NODES)
                .filter_map(|n| Some(self.status(n)?.suspended_workers))
                .collect();
            suspended.len() == NODES && suspended.windows(2).all(|pair| pair[0] == pair[1])
        };
        assert!(
            wait_until(MAX_WAIT, all_agree),
            "seed {seed}, they agree: {}",
            self.describe()
        );
        let suspended = self.status(0).expect("a status").suspended_workers;
        for worker in 0..WORKERS {
            let mut actions = self
                .accepted_actions
                .iter()
                .filter(|accepted| accepted.worker == worker)
                .map(|accepted| accepted.action)
                .peekable();
            let any = actions.peek().is_some();
            // A worker that was never resumed is suspended if and only if it was suspended at any
            // node.
            if actions.all(|action| action == WorkerAction::Suspend) {
                assert_eq!(
                    suspended.contains(&format!("w-{worker}")),
                    any,
                    "seed {seed}, w-{worker}: {}",
                    self.describe()
                );
            }
        }
    }
}

/// The environment variable `POSTPROXY_SCHEDULES=FROM..TO` sets other seeds.
#[test]
fn cluster_is_complete_and_agrees_after_any_schedule() {
    let range = std::env::var("POSTPROXY_SCHEDULES").unwrap_or_else(|_| "0..2".into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    for seed in from.parse::<u64>().expect("a seed")..to.parse().expect("a seed") {
        let schedule = Schedule::from_seed(seed, NODES, WORKERS, 12);
        let mut fleet = FleetHarness::with_stores(NODES, seed);
        fleet.history.note(format!("seed {seed}"));
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..3)
            .map(|number| fleet.spawn_client(number, &stop))
            .collect();
        schedule.steps.iter().for_each(|step| fleet.run_step(step));
        fleet.end_faults();
        fleet.wait_until_complete();
        stop.store(true, Ordering::SeqCst);
        for client in clients {
            client.join().expect("a client without a failed assertion");
        }
        fleet.check_history(seed);
        fleet.check_suspensions(seed);
    }
}
