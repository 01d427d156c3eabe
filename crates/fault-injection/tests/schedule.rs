//! Schedules of faults: generated from a seed, printed as text, and parsed from it.

use postproxy_fault_injection::{Schedule, Step};
use std::collections::BTreeSet;

/// A schedule is reproducible from its seed and from its text, its steps are valid in sequence, and
/// a line that is not a step is rejected.
#[test]
fn a_schedule_is_reproducible_from_its_seed_and_its_text() {
    for seed in 0..200 {
        let schedule = Schedule::from_seed(seed, 5, 3, 20);
        assert_eq!(schedule, Schedule::from_seed(seed, 5, 3, 20));
        assert_eq!(schedule.to_string().parse(), Ok(schedule.clone()));
        let (mut dead, mut paused) = (BTreeSet::new(), BTreeSet::new());
        for step in &schedule.steps {
            let is_valid = match step {
                Step::Kill(n) => !paused.contains(n) && dead.insert(*n),
                Step::Start(n) => dead.remove(n),
                Step::Pause(n) => !dead.contains(n) && paused.insert(*n),
                Step::Wake(n) => paused.remove(n),
                Step::Suspend { node, .. } | Step::Resume { node, .. } => {
                    !dead.contains(node) && !paused.contains(node)
                }
                _ => true,
            };
            assert!(
                is_valid && dead.len() + paused.len() < 5,
                "seed {seed}: {step}"
            );
        }
    }
    for line in ["kill", "kill x", "cut 1", "loss 101", "rest -1", "sleep 3"] {
        assert!(line.parse::<Step>().is_err(), "{line}");
    }
}
