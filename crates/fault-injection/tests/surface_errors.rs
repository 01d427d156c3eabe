//! Pins the text of schedules, which are kept in files and played again, and of broken promises. They must not change
//! with a name in the code.

use postproxy_fault_injection::{Schedule, Step, Violation};

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
    Schedule(vec![
        Step::Kill(1),
        Step::Start(1),
        Step::Pause(2),
        Step::Wake(2),
        Step::Cut(0, 1),
        Step::Isolate(2),
        Step::Heal,
        Step::Loss(30),
        Step::Suspend(0, 3),
        Step::Resume(1, 3),
        Step::Rest(250),
    ])
}

#[test]
fn every_step_is_written_and_read_in_its_words() {
    assert_eq!(schedule().to_string(), TEXT);
    assert_eq!(TEXT.parse(), Ok(schedule()));
}

#[test]
fn a_line_that_is_no_step_is_named() {
    assert_eq!(
        "halt 1".parse::<Step>(),
        Err("'halt 1' is no step".to_owned())
    );
}

#[test]
fn a_broken_promise_names_its_time_step_and_place() {
    let broken = Violation {
        promise: "one answer",
        at: 1.5,
        seen: "two".into(),
        step: "kill 1".into(),
        place: Some(("n0.log".into(), 12)),
    };
    let expected = "at 1.500 s: one answer: two; the step before: kill 1; n0.log:12";
    assert_eq!(broken.to_string(), expected);
    let nowhere = Violation {
        place: None,
        ..broken
    };
    assert_eq!(
        nowhere.to_string(),
        "at 1.500 s: one answer: two; the step before: kill 1"
    );
}
