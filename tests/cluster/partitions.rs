//! Links that are cut, in one direction or both.

use crate::fleet_harness::FleetHarness;
use postproxy_fault_injection::LinkFaults;
use std::time::Duration;

#[test]
fn cut_links_are_reported_and_no_node_is_declared_failed() {
    let fleet = FleetHarness::new(3, 4);
    let cut = LinkFaults {
        partitioned: true,
        ..LinkFaults::default()
    };
    fleet.net.set_link(0, 1, cut);
    fleet.history.note("cut n0 to n1");
    fleet.wait_until("cut one way", &[0, 1, 2], |_, status| {
        status.health == "some pairs cut" && status.reasons == ["n1 does not hear n0"]
    });
    fleet.net.partition(&[0], &[1]);
    fleet.history.note("cut n1 to n0, too");
    fleet.wait_until("cut both ways", &[0, 1, 2], |_, status| {
        status.health == "some pairs cut"
            && status.reasons == ["n0 does not hear n1", "n1 does not hear n0"]
    });
    fleet.net.heal();
    fleet.wait_until_complete();
    (0..3).for_each(|n| fleet.assert_no_failure_logged(n));
}

#[test]
fn partition_of_two_and_three_heals_even_if_it_flaps() {
    let fleet = FleetHarness::new(5, 5);
    let minority = [0, 3];
    let majority = [1, 2, 4];
    fleet.net.partition(&minority, &majority);
    fleet.history.note("cut");
    fleet.wait_until("the minority", &minority, |_, status| {
        status.health == "cut off with a minority" && status.reasons.len() == 3
    });
    fleet.wait_until("the majority", &majority, |_, status| {
        status.health == "cut off with a majority" && status.reasons.len() == 2
    });
    fleet.net.heal();
    fleet.wait_until_complete();
    for _ in 0..8 {
        fleet.net.partition(&minority, &majority);
        std::thread::sleep(Duration::from_millis(700));
        fleet.net.heal();
        std::thread::sleep(Duration::from_millis(700));
    }
    fleet.wait_until_complete();
    fleet.net.set_all_links(LinkFaults {
        loss_rate: 0.1,
        duplication_rate: 0.2,
        max_delay: Duration::from_millis(300),
        ..LinkFaults::default()
    });
    std::thread::sleep(Duration::from_secs(5));
    fleet.net.heal();
    fleet.wait_until_complete();
}
