//! The decisions of the dispatcher, compared with recorded runs: the same seed and the same events
//! give the same actions. `UPDATE_RECORDED_DECISIONS=1` writes the recordings anew and lets the
//! tests fail.

mod decisions;

use decisions::decider::{Direct, Drill};
use decisions::recording::{Recording, compare};
use decisions::scenario::{Scenario, scenarios};
use decisions::simulation::Simulation;

/// Scenarios that are run through the program `postproxy-drill` as well.
const THROUGH_THE_PROGRAM: [&str; 4] = ["queue-reports", "probes", "subjects", "cold-starts"];

fn run_directly(scenario: &Scenario) -> Vec<String> {
    let decider = Direct::new(scenario.settings, scenario.seed);
    Simulation::new(scenario, Box::new(decider), scenario.operator).run()
}

fn run_through_the_program(scenario: &Scenario) -> Vec<String> {
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
            Recording::of(&run_directly(&scenario), scenario.lines_in_full),
        )
    };
    compare_all(scenarios().into_iter().map(record).collect());
}

#[test]
fn drill_program_writes_the_recorded_bytes() {
    let chosen = scenarios()
        .into_iter()
        .filter(|scenario| THROUGH_THE_PROGRAM.contains(&scenario.name));
    let record = |scenario: Scenario| {
        let name = format!("program-{}", scenario.name);
        (name, Recording::of(&run_through_the_program(&scenario), 80))
    };
    compare_all(chosen.map(record).collect());
}
