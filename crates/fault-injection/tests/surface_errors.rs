//! Pins the text of schedules, which are saved in files and run again, and of violations. Renaming
//! an identifier must not change them.

use postproxy_fault_injection::{LogPosition, Schedule, Step, Violation};

const TEXT: &str = "\
kill 1
start 1
pause 2
wake 2
cut 0 1
isolate 2
heal
loss 30
suspend 0 3
resume 1 3
rest 250
";

fn schedule() -> Schedule {
    Schedule {
        steps: vec![
            Step::Kill(1),
            Step::Start(1),
            Step::Pause(2),
            Step::Wake(2),
            Step::Cut { from: 0, to: 1 },
            Step::Isolate(2),
            Step::Heal,
            Step::Loss { percent: 30 },
            Step::Suspend { node: 0, worker: 3 },
            Step::Resume { node: 1, worker: 3 },
            Step::Rest(250),
        ],
    }
}

#[test]
fn every_step_is_printed_and_parsed() {
    assert_eq!(schedule().to_string(), TEXT);
    assert_eq!(TEXT.parse(), Ok(schedule()));
}

#[test]
fn a_line_that_is_not_a_step_is_rejected() {
    assert_eq!(
        "halt 1".parse::<Step>(),
        Err("'halt 1' is not a step".to_owned())
    );
}

#[test]
fn a_violation_names_its_time_step_and_position() {
    let violation = Violation {
        guarantee: "one answer",
        at_seconds: 1.5,
        observed: "two".into(),
        step: "kill 1".into(),
        position: Some(LogPosition {
            path: "n0.log".into(),
            line: 12,
        }),
    };
    let expected = "at 1.500 s: one answer: two; preceding step: kill 1; n0.log:12";
    assert_eq!(violation.to_string(), expected);
    let without_position = Violation {
        position: None,
        ..violation
    };
    assert_eq!(
        without_position.to_string(),
        "at 1.500 s: one answer: two; preceding step: kill 1"
    );
}
