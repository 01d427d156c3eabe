//! Measures fleets in simulation, with told time: `cargo run --release -p postproxy-membership --example measure -- 3 10 30`.
//! Prints the table of `docs/measure/members.md`; seeds are fixed.

#[path = "../tests/sim/mod.rs"]
mod sim;

use postproxy_membership::{ClusterHealth, MembershipEvent, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sim::Sim;

const LOSSES: [f64; 4] = [0.0, 0.01, 0.05, 0.3];
/// Bytes of a heartbeat: the heads of UDP and IP, the envelope, a sender, a number.
const BEAT: f64 = 28.0 + 11.0 + 30.0 + 9.0;

fn at(sorted: &[f64], share: f64) -> f64 {
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

struct Line {
    first: Vec<f64>,
    all: Vec<f64>,
    missed: usize,
    wrong: f64,
    datagrams: f64,
    bytes: f64,
}

/// Waits until all know each other, looking each second: to look at each news takes hours of many nodes.
fn together(sim: &mut Sim) {
    for _ in 0..60 {
        sim.run(1.0);
        if sim.agree() {
            return;
        }
    }
    println!("not all know each other after 60 s");
}

/// Kills one node after another, each back after the fleet knows.
fn swim(count: usize, loss: f64, kills: usize, quiet: f64, seed: u64) -> Line {
    let mut sim = Sim::new(count, seed, Settings::default());
    together(&mut sim);
    sim.run(10.0);
    sim.faults.loss = loss;
    let from = sim.now;
    let sent: Vec<(u64, u64)> = sim.nodes.iter().map(|n| (n.sent, n.bytes)).collect();
    sim.run(quiet);
    let wrong =
        sim.told(from, |news| matches!(news, MembershipEvent::Failed(_))) as f64 / count as f64;
    let share = 1.0 / (quiet * count as f64);
    let datagrams: u64 = sim
        .nodes
        .iter()
        .zip(&sent)
        .map(|(n, (before, _))| n.sent - before)
        .sum();
    let bytes: u64 = sim
        .nodes
        .iter()
        .zip(&sent)
        .map(|(n, (_, before))| n.bytes - before)
        .sum();
    let mut line = Line {
        first: Vec::new(),
        all: Vec::new(),
        missed: 0,
        wrong: wrong * 3600.0 / quiet,
        datagrams: datagrams as f64 * share,
        bytes: bytes as f64 * share,
    };
    for _ in 0..kills {
        let (victim, wait) = (sim.draw(count), sim.uniform());
        sim.run(wait);
        let (name, killed) = (sim.nodes[victim].name.clone(), sim.now);
        sim.kill(victim);
        let told = |node: &sim::Node| {
            let about = |news: &MembershipEvent| matches!(news, MembershipEvent::Failed(id) if *id.name == *name);
            let mut recent = node.news.iter().rev().take_while(|(at, _)| *at > killed);
            recent
                .find(|(_, news)| about(news))
                .map(|(at, _)| at - killed)
        };
        let knows = |sim: &Sim| {
            sim.living()
                .filter(|(_, node, _)| told(node).is_some())
                .count()
        };
        // Looked at now and then: the times are those of the news.
        let mut left = 600;
        while left > 0 && knows(&sim) < count - 1 {
            sim.run(0.1);
            left -= 1;
        }
        line.missed += usize::from(left == 0);
        let times = sorted(sim.nodes.iter().filter_map(told).collect());
        line.first.extend(times.first());
        line.all.extend(times.last());
        sim.start(victim);
        sim.run(8.0);
    }
    (line.first, line.all) = (sorted(line.first), sorted(line.all));
    line
}

/// All-to-all heartbeats: every `period` to everybody, failed after `timeout` without any.
fn heartbeats(
    count: usize,
    loss: f64,
    kills: usize,
    period: f64,
    timeout: f64,
    seed: u64,
) -> (f64, f64) {
    let mut draws = Pcg64Mcg::seed_from_u64(seed);
    let mut uniform = || (draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
    let mut all = Vec::new();
    for _ in 0..kills {
        let since = uniform() * period;
        // Each other node has heard the last beat that was not lost.
        let times = (1..count).map(|_| {
            let mut last = since;
            while uniform() < loss {
                last += period;
            }
            (timeout - last).max(0.0)
        });
        all.push(times.fold(0.0, f64::max));
    }
    // Wrongly failed: so many beats in a row are lost, of each of the others, an hour and node.
    let row = (timeout / period).round() as i32;
    let wrong = loss.powi(row) * (1.0 - loss) * (count - 1) as f64 * 3600.0 / period;
    (at(&sorted(all), 0.99), wrong)
}

/// Ten hours of ten nodes at 5 % loss, one of them stopped for less than a second every five to ten seconds.
fn hours() {
    let mut sim = Sim::new(10, 77, Settings::default());
    sim.until(60.0, Sim::agree);
    sim.faults.loss = 0.05;
    let (from, mut pauses) = (sim.now, 0);
    while sim.now < from + 36_000.0 {
        let (node, pause, wait) = (sim.draw(10), sim.uniform(), 5.0 + 5.0 * sim.uniform());
        sim.pause(node, pause);
        sim.run(wait);
        pauses += 1;
        if pauses % 500 == 0 {
            println!(
                "{:.1} h, {pauses} pauses, {} wrongly failed",
                (sim.now - from) / 3600.0,
                sim.told(from, |n| matches!(n, MembershipEvent::Failed(_)))
            );
        }
    }
    println!(
        "10 h, {pauses} pauses: {} wrongly failed",
        sim.told(from, |news| matches!(news, MembershipEvent::Failed(_)))
    );
}

/// How long it takes until all agree again after a cut in two halves is over: all are members, and stand whole.
fn heal(count: usize, loss: f64, times: usize, seed: u64) {
    let mut sim = Sim::new(count, seed, Settings::default());
    sim.until(60.0, Sim::agree);
    let (mut members, mut whole, mut never) = (Vec::new(), Vec::new(), 0);
    for _ in 0..times {
        sim.run(20.0);
        let halves: (Vec<usize>, Vec<usize>) = (0..count).partition(|n| n % 2 == 0);
        sim.part(&halves.0, &halves.1);
        sim.faults.loss = loss;
        let wait = 20.0 + 10.0 * sim.uniform();
        sim.run(wait);
        sim.heal();
        let from = sim.now;
        if sim.until(120.0, Sim::agree) {
            members.push(sim.now - from);
        } else {
            never += 1;
        }
        if sim.until(120.0, |sim| {
            sim.agree() && sim.all_stand(&ClusterHealth::Whole)
        }) {
            whole.push(sim.now - from);
        }
        sim.faults.loss = 0.0;
    }
    let (members, whole) = (sorted(members), sorted(whole));
    println!(
        "| {count} | {} % | {:.2} / {:.2} | {:.2} / {:.2} | {never} of {times} | {} of {times} |",
        loss * 100.0,
        at(&members, 0.5),
        at(&members, 1.0),
        at(&whole, 0.5),
        at(&whole, 1.0),
        times - whole.len(),
    );
}

fn main() {
    let mut words = std::env::args().skip(1).peekable();
    if words.peek().is_some_and(|word| word == "hours") {
        return hours();
    }
    if words.peek().is_some_and(|word| word == "heal") {
        println!(
            "| nodes | loss | all are members, s, median / most | all stand whole, s | never | never whole |"
        );
        for count in words.skip(1).filter_map(|size| size.parse().ok()) {
            for loss in [0.0, 0.01, 0.05] {
                heal(
                    count,
                    loss,
                    if count > 100 { 5 } else { 20 },
                    5 + count as u64,
                );
            }
        }
        return;
    }
    // A size, or a size and a loss in hundredths and perhaps the number of kills: `300`, `300:5` or `300:5:100`.
    let parse = |word: String| {
        let parts: Vec<&str> = word.split(':').collect();
        let loss = parts
            .get(1)
            .and_then(|loss| loss.parse::<f64>().ok())
            .map(|loss| loss / 100.0);
        Some((
            parts[0].parse::<usize>().ok()?,
            loss,
            parts.get(2).and_then(|kills| kills.parse().ok()),
        ))
    };
    let sizes: Vec<(usize, Option<f64>, Option<usize>)> = words.filter_map(parse).collect();
    println!(
        "| nodes | loss | first knows, s | all know, s | unknown after 60 s | wrongly failed | datagrams/s | bytes/s | \
         heartbeats: all know p99, s | wrongly failed | datagrams/s | bytes/s |"
    );
    println!("|{}", " --- |".repeat(12));
    for &(count, only, wanted) in &sizes {
        for loss in LOSSES
            .into_iter()
            .filter(|loss| only.is_none_or(|only| only == *loss))
        {
            let (kills, quiet) = match count {
                0..=100 => (60, 300.0),
                101..=300 => (20, 60.0),
                _ => (8, 20.0),
            };
            let kills = wanted.unwrap_or(kills);
            let line = swim(count, loss, kills, quiet, 7 + count as u64);
            // Four beats in the time that SWIM took at its 99th percentile.
            let timeout = at(&line.all, 0.99);
            let period = timeout / 4.0;
            let (p99, wrong) = heartbeats(count, loss, 200, period, timeout, 9);
            let beats = (count - 1) as f64 / period;
            println!(
                "| {count} | {} % | {:.2} / {:.2} | {:.2} / {:.2} | {} of {kills} | {:.2} | {:.1} | {:.0} | {p99:.2} | \
                 {wrong:.2} | {beats:.1} | {:.0} |",
                loss * 100.0,
                at(&line.first, 0.5),
                at(&line.first, 0.99),
                at(&line.all, 0.5),
                at(&line.all, 0.99),
                line.missed,
                line.wrong,
                line.datagrams,
                line.bytes,
                beats * BEAT,
            );
        }
    }
}
