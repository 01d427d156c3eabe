//! Measures simulated clusters: `cargo run --release -p postproxy-membership --example measure -- 3
//! 10 30`. Prints the tables of `docs/measure/members.md`; the seeds of the simulations are fixed.
//!
//! Arguments: sizes of clusters, each as `NODES`, `NODES:LOSS_PERCENT` or
//! `NODES:LOSS_PERCENT:KILLS`; or `heal` with sizes, to measure partitions that heal; or `hours`,
//! to simulate ten hours with pauses.

#[path = "../tests/simulation/mod.rs"]
mod simulation;

use postproxy_membership::{ClusterHealth, MembershipEvent, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulation::Simulation;

/// Shares of datagrams lost that are measured.
const LOSSES: [f64; 4] = [0.0, 0.01, 0.05, 0.3];
/// Shares of datagrams lost under which the healing of a partition is measured.
const HEALING_LOSSES: [f64; 3] = [0.0, 0.01, 0.05];
/// Bytes of an all-to-all heartbeat: the headers of UDP and IP, the envelope, a sender and a
/// number.
const HEARTBEAT_BYTES: f64 = 28.0 + 11.0 + 30.0 + 9.0;
/// Number of failures that are simulated with all-to-all heartbeats.
const HEARTBEAT_KILLS: usize = 200;
/// Seconds in an hour.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Returns the value of sorted samples at a quantile.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((last as f64 * share).round() as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

fn sorted(mut values: Vec<f64>) -> Vec<f64> {
    values.sort_by(f64::total_cmp);
    values
}

fn is_failure(event: &MembershipEvent) -> bool {
    matches!(event, MembershipEvent::Failed(_))
}

/// What is measured of the gossip protocol in one cluster.
struct SwimMeasurement {
    /// Seconds from each kill until the first node knows, sorted.
    first_knows: Vec<f64>,
    /// Seconds from each kill until all nodes know, sorted.
    all_know: Vec<f64>,
    /// Number of kills that not all nodes knew of after a minute.
    missed: usize,
    /// Nodes wrongly declared failed, per hour and node.
    wrongly_failed: f64,
    /// Datagrams per second and node.
    datagrams: f64,
    /// Bytes per second and node.
    bytes: f64,
}

/// Waits until all nodes know each other. It checks each second only: with many nodes a check at
/// each event takes hours.
fn wait_until_all_agree(simulation: &mut Simulation) {
    for _ in 0..60 {
        simulation.run(1.0);
        if simulation.all_agree() {
            return;
        }
    }
    println!("not all know each other after 60 s");
}

/// Measures an idle cluster for `quiet_seconds`, then kills one node after another, each of which
/// restarts after all nodes know.
fn measure_swim(
    nodes: usize,
    loss: f64,
    kills: usize,
    quiet_seconds: f64,
    seed: u64,
) -> SwimMeasurement {
    let mut simulation = Simulation::new(nodes, seed, Settings::default());
    wait_until_all_agree(&mut simulation);
    simulation.run(10.0);
    simulation.faults.loss = loss;
    let start = simulation.now;
    let total = |simulation: &Simulation| {
        let all = simulation.nodes.iter();
        let sums = all.map(|node| (node.datagrams_sent, node.bytes_sent));
        sums.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1))
    };
    let (datagrams_before, bytes_before) = total(&simulation);
    simulation.run(quiet_seconds);
    let (datagrams_after, bytes_after) = total(&simulation);
    let wrongly_failed = simulation.count_events(start, is_failure) as f64 / nodes as f64;
    let per_second_and_node = 1.0 / (quiet_seconds * nodes as f64);
    let mut measurement = SwimMeasurement {
        first_knows: Vec::new(),
        all_know: Vec::new(),
        missed: 0,
        wrongly_failed: wrongly_failed * SECONDS_PER_HOUR / quiet_seconds,
        datagrams: (datagrams_after - datagrams_before) as f64 * per_second_and_node,
        bytes: (bytes_after - bytes_before) as f64 * per_second_and_node,
    };
    for _ in 0..kills {
        measure_kill(&mut simulation, &mut measurement);
    }
    measurement.first_knows = sorted(measurement.first_knows);
    measurement.all_know = sorted(measurement.all_know);
    measurement
}

/// Kills a random node, waits until all others know it, and restarts it.
fn measure_kill(simulation: &mut Simulation, measurement: &mut SwimMeasurement) {
    let nodes = simulation.nodes.len();
    let victim = simulation.random_below(nodes);
    let wait = simulation.uniform();
    simulation.run(wait);
    let name = simulation.nodes[victim].name.clone();
    let killed_at = simulation.now;
    simulation.kill(victim);
    let known_after = |node: &simulation::Node| {
        let is_of_victim = |event: &MembershipEvent| matches!(event, MembershipEvent::Failed(id) if *id.name == *name);
        let recent = node.events.iter().rev();
        recent
            .take_while(|(at, _)| *at > killed_at)
            .find(|(_, event)| is_of_victim(event))
            .map(|(at, _)| at - killed_at)
    };
    let nodes_that_know = |simulation: &Simulation| {
        simulation
            .live_nodes()
            .filter(|(_, node, _)| known_after(node).is_some())
            .count()
    };
    // The measured times are those of the events, so checking at intervals of 0.1 s doesn't distort
    // them.
    let mut checks_left = 600;
    while checks_left > 0 && nodes_that_know(simulation) < nodes - 1 {
        simulation.run(0.1);
        checks_left -= 1;
    }
    measurement.missed += usize::from(checks_left == 0);
    let times = sorted(simulation.nodes.iter().filter_map(known_after).collect());
    measurement.first_knows.extend(times.first());
    measurement.all_know.extend(times.last());
    simulation.start(victim);
    simulation.run(8.0);
}

/// What is measured of all-to-all heartbeats.
struct HeartbeatMeasurement {
    /// Seconds until all nodes know of a failure, at the 99th percentile.
    all_know_p99: f64,
    /// Nodes wrongly declared failed, per hour and node.
    wrongly_failed: f64,
}

/// Measures all-to-all heartbeats: each node sends one to every other each `period`, and is
/// declared failed if none arrives for `timeout`.
fn measure_heartbeats(nodes: usize, loss: f64, period: f64, timeout: f64) -> HeartbeatMeasurement {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut uniform = || (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let mut all_know = Vec::new();
    for _ in 0..HEARTBEAT_KILLS {
        let since_heartbeat = uniform() * period;
        // Each other node has received the last heartbeat that wasn't lost.
        let times = (1..nodes).map(|_| {
            let mut since_received = since_heartbeat;
            while uniform() < loss {
                since_received += period;
            }
            (timeout - since_received).max(0.0)
        });
        all_know.push(times.fold(0.0, f64::max));
    }
    // A node is wrongly declared failed if this number of its heartbeats is lost in a row.
    let lost_in_a_row = (timeout / period).round() as i32;
    let wrongly_failed =
        loss.powi(lost_in_a_row) * (1.0 - loss) * (nodes - 1) as f64 * SECONDS_PER_HOUR / period;
    HeartbeatMeasurement {
        all_know_p99: quantile(&sorted(all_know), 0.99),
        wrongly_failed,
    }
}

/// Simulates ten hours of ten nodes at 5 % loss, one of which is stopped for less than a second
/// every 5 to 10 s.
fn measure_pauses() {
    let mut simulation = Simulation::new(10, 77, Settings::default());
    simulation.run_until(60.0, Simulation::all_agree);
    simulation.faults.loss = 0.05;
    let start = simulation.now;
    let mut pauses = 0;
    while simulation.now < start + 10.0 * SECONDS_PER_HOUR {
        let node = simulation.random_below(10);
        let pause = simulation.uniform();
        let wait = 5.0 + 5.0 * simulation.uniform();
        simulation.pause(node, pause);
        simulation.run(wait);
        pauses += 1;
        if pauses % 500 == 0 {
            println!(
                "{:.1} h, {pauses} pauses, {} wrongly failed",
                (simulation.now - start) / SECONDS_PER_HOUR,
                simulation.count_events(start, is_failure)
            );
        }
    }
    println!(
        "10 h, {pauses} pauses: {} wrongly failed",
        simulation.count_events(start, is_failure)
    );
}

/// Measures the time from the end of a partition into halves until all nodes know each other as
/// members, and until all see a complete cluster.
fn measure_healing(nodes: usize, loss: f64, times: usize, seed: u64) {
    let mut simulation = Simulation::new(nodes, seed, Settings::default());
    simulation.run_until(60.0, Simulation::all_agree);
    let mut until_agreed = Vec::new();
    let mut until_complete = Vec::new();
    let mut never_agreed = 0;
    for _ in 0..times {
        simulation.run(20.0);
        let (even, odd): (Vec<usize>, Vec<usize>) = (0..nodes).partition(|n| n % 2 == 0);
        simulation.partition(&even, &odd);
        simulation.faults.loss = loss;
        let wait = 20.0 + 10.0 * simulation.uniform();
        simulation.run(wait);
        simulation.heal();
        let healed_at = simulation.now;
        if simulation.run_until(120.0, Simulation::all_agree) {
            until_agreed.push(simulation.now - healed_at);
        } else {
            never_agreed += 1;
        }
        if simulation.run_until(120.0, |simulation| {
            simulation.all_agree() && simulation.all_see_health(&ClusterHealth::Complete)
        }) {
            until_complete.push(simulation.now - healed_at);
        }
        simulation.faults.loss = 0.0;
    }
    let until_agreed = sorted(until_agreed);
    let until_complete = sorted(until_complete);
    println!(
        "| {nodes} | {} % | {:.2} / {:.2} | {:.2} / {:.2} | {never_agreed} of {times} | {} of {times} |",
        loss * 100.0,
        quantile(&until_agreed, 0.5),
        quantile(&until_agreed, 1.0),
        quantile(&until_complete, 0.5),
        quantile(&until_complete, 1.0),
        times - until_complete.len(),
    );
}

fn print_healing_table(sizes: impl Iterator<Item = usize>) {
    println!(
        "| nodes | loss | all know each other, s, median / max | all see a complete cluster, s, median / max | never know each other | never see a complete cluster |"
    );
    for nodes in sizes {
        let times = if nodes > 100 { 5 } else { 20 };
        for loss in HEALING_LOSSES {
            measure_healing(nodes, loss, times, 5 + nodes as u64);
        }
    }
}

/// A cluster to measure, from the command line.
struct Case {
    nodes: usize,
    /// Measure this loss only.
    loss: Option<f64>,
    /// Kill this number of nodes instead of the usual one.
    kills: Option<usize>,
}

impl Case {
    /// Parses `NODES`, `NODES:LOSS_PERCENT` or `NODES:LOSS_PERCENT:KILLS`.
    fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(':');
        let nodes = parts.next()?.parse().ok()?;
        let percent: Option<f64> = parts.next().and_then(|loss| loss.parse().ok());
        let kills = parts.next().and_then(|kills| kills.parse().ok());
        Some(Self {
            nodes,
            loss: percent.map(|percent| percent / 100.0),
            kills,
        })
    }
}

fn print_failure_table(cases: &[Case]) {
    println!(
        "| nodes | loss | first knows, s | all know, s | unknown after 60 s | wrongly failed | datagrams/s | bytes/s | \
         heartbeats: all know p99, s | wrongly failed | datagrams/s | bytes/s |"
    );
    println!("|{}", " --- |".repeat(12));
    for case in cases {
        let is_wanted = |loss: &f64| case.loss.is_none_or(|wanted| wanted == *loss);
        for loss in LOSSES.into_iter().filter(is_wanted) {
            print_failure_row(case, loss);
        }
    }
}

fn print_failure_row(case: &Case, loss: f64) {
    let nodes = case.nodes;
    let (usual_kills, quiet_seconds) = match nodes {
        0..=100 => (60, 300.0),
        101..=300 => (20, 60.0),
        _ => (8, 20.0),
    };
    let kills = case.kills.unwrap_or(usual_kills);
    let swim = measure_swim(nodes, loss, kills, quiet_seconds, 7 + nodes as u64);
    // The timeout is the 99th percentile of SWIM, with four heartbeats in that time.
    let timeout = quantile(&swim.all_know, 0.99);
    let period = timeout / 4.0;
    let heartbeats = measure_heartbeats(nodes, loss, period, timeout);
    let heartbeat_datagrams = (nodes - 1) as f64 / period;
    println!(
        "| {nodes} | {} % | {:.2} / {:.2} | {:.2} / {:.2} | {} of {kills} | {:.2} | {:.1} | {:.0} | {:.2} | {:.2} | \
         {heartbeat_datagrams:.1} | {:.0} |",
        loss * 100.0,
        quantile(&swim.first_knows, 0.5),
        quantile(&swim.first_knows, 0.99),
        quantile(&swim.all_know, 0.5),
        quantile(&swim.all_know, 0.99),
        swim.missed,
        swim.wrongly_failed,
        swim.datagrams,
        swim.bytes,
        heartbeats.all_know_p99,
        heartbeats.wrongly_failed,
        heartbeat_datagrams * HEARTBEAT_BYTES,
    );
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("hours") => measure_pauses(),
        Some("heal") => {
            let sizes = arguments.iter().skip(1);
            print_healing_table(sizes.filter_map(|size| size.parse().ok()));
        }
        _ => {
            let cases = arguments.iter().filter_map(|text| Case::parse(text));
            print_failure_table(&cases.collect::<Vec<_>>());
        }
    }
}
