//! Compares the decisions of the dispatcher with recorded runs: the same seed and the same events
//! must produce the same actions. With `UPDATE_RECORDED_DECISIONS=1` the recordings are updated and
//! the tests fail.

mod decisions;

use decisions::decider::{Direct, Drill};
use decisions::recording::{Recording, compare};
use decisions::scenario::{Scenario, scenarios};
use decisions::simulation::Simulation;

/// Scenarios that are also run with the program `postproxy-drill`.
const PROGRAM_SCENARIOS: [&str; 4] = ["queue-reports", "probes", "subjects", "cold-starts"];

fn run_in_process(scenario: &Scenario) -> Vec<String> {
    let decider = Direct::new(scenario.settings, scenario.seed);
    Simulation::new(scenario, Box::new(decider), scenario.operator).run()
}

fn run_with_program(scenario: &Scenario) -> Vec<String> {
    let decider = Drill::start(scenario.settings, scenario.seed);
    Simulation::new(scenario, Box::new(decider), false).run()
}

fn compare_all(runs: Vec<(String, Recording)>) {
    let failures: Vec<String> = runs
        .iter()
        .filter_map(|(name, recording)| compare(name, recording).err())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn same_seed_and_events_give_the_recorded_actions() {
    let record = |scenario: Scenario| {
        (
            scenario.name.to_owned(),
            Recording::new(&run_in_process(&scenario), scenario.lines_in_full),
        )
    };
    compare_all(scenarios().into_iter().map(record).collect());
}

#[test]
fn drill_program_writes_the_recorded_bytes() {
    let selected = scenarios()
        .into_iter()
        .filter(|scenario| PROGRAM_SCENARIOS.contains(&scenario.name));
    let record = |scenario: Scenario| {
        let name = format!("program-{}", scenario.name);
        (name, Recording::new(&run_with_program(&scenario), 80))
    };
    compare_all(selected.map(record).collect());
}
