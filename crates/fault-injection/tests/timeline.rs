//! Drawings of timelines.

use postproxy_fault_injection::{MAX_WIDTH, Timeline};

fn timeline_with_a_known_fault() -> Timeline {
    let mut timeline = Timeline::new(["n0", "n1", "worker"]);
    timeline.set_state(1000, 0, "owner 7");
    timeline.add_message(1200, 0, 2, "do 7");
    timeline.set_state(1250, 0, "stopped");
    timeline.set_state(4300, 1, "owner 8");
    timeline.add_message(4400, 1, 2, "do 8");
    timeline.set_state(5000, 0, "");
    timeline.add_message(5010, 0, 2, "do 7");
    timeline.add_event(5010, 2, "refused 7");
    timeline
}

/// A drawing makes a known fault visible: a message of the old lease owner takes effect after that
/// of the new one.
#[test]
fn a_known_fault_is_visible_in_the_drawing() {
    let drawn = timeline_with_a_known_fault().draw(10);
    let expected = "         \
         n0                      n1                      worker
      0  [owner 7]               |                       |
    200  o--------------------do 7---------------------->
    250  [stopped]               |                       |
         :                       |                       |
   3300  :                       [owner 8]               |
   3400  :                       o--------do 8---------->
         :                       #                       |
   4000  |                       #                       |
   4010  o--------------------do 7---------------------->
         |                       #                       *refused 7
";
    assert_eq!(drawn, expected, "\n{drawn}\n{expected}");
    let order = |what: &str| drawn.find(what).unwrap_or(usize::MAX);
    assert!(
        order("do 8") < drawn.rfind("do 7").unwrap_or(0),
        "the late message is drawn below that of the new lease owner"
    );
}

/// A drawing is at most `MAX_WIDTH` wide, a part of a timeline keeps the states from before its
/// start, and an unchanged state is drawn once.
#[test]
fn a_drawing_has_a_bounded_width_keeps_earlier_states_and_draws_a_state_once() {
    let part = timeline_with_a_known_fault().since(4350).draw(10);
    assert!(
        part.lines()
            .nth(1)
            .is_some_and(|line| line.contains("[stopped]")),
        "{part}"
    );
    assert!(
        !part.contains("[owner 7]") && part.contains("[owner 8]"),
        "{part}"
    );
    let mut wide = Timeline::new((0..18).map(|n| format!("a-node-with-a-long-name-{n}")));
    wide.add_message(
        5,
        17,
        0,
        "a message with a name that is longer than all there is room for, by far",
    );
    wide.add_global_event(6, "x".repeat(400));
    wide.set_state(7, 3, "a state that says a good deal");
    wide.set_state(8, 3, "a state that says a good deal");
    let drawn = wide.draw(1);
    assert!(
        drawn.lines().all(|line| line.chars().count() <= MAX_WIDTH),
        "{drawn}"
    );
    assert_eq!(drawn.lines().count(), 4, "{drawn}");
}
