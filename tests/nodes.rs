//! Several processes of the real program that know each other, and faults between and in them.

#[path = "support/fleet_harness.rs"]
mod fleet_harness;

use fleet_harness::{Fleet, MOST, Node};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::{Worker, ask};
use postproxy_fault_injection::{Event, Link, Schedule, Step, addresses, check, wait};
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Guards against a death that is not seen, a leave that is told as one, and a node that is not back at once.
#[test]
fn a_node_is_killed_comes_back_and_leaves() {
    let mut fleet = Fleet::new(3, 1, false);
    fleet.kill(2);
    fleet.until("n2 has failed", &[0, 1], |_, p| {
        p.standing == "cut off with a majority"
            && p.members
                .iter()
                .any(|m| m.name == "n2" && m.state == "failed")
    });
    let table = fleet.told_by_command(0);
    assert!(
        table.contains("cut off with a majority") && table.contains("n2 is not reached"),
        "{table}"
    );
    fleet.start(2);
    fleet.whole();
    fleet.process(2).end();
    assert!(
        wait(MOST, || fleet.process(2).ended() == Some(true)),
        "it ends in good order"
    );
    fleet.nodes[2].process = None;
    fleet.until("n2 has left", &[0, 1], |_, p| {
        p.members
            .iter()
            .any(|m| m.name == "n2" && m.state == "left")
    });
    assert_eq!(
        fleet.lines(0, "peer failed"),
        1,
        "the kill alone: {}",
        fleet.told()
    );
}

/// Guards against a node that blames others for its own pause, or does not learn at once that it was given up.
#[test]
fn who_was_stopped_blames_nobody_and_is_back() {
    let mut fleet = Fleet::new(3, 2, false);
    for seconds in [1, 4, 20] {
        fleet.pause(&[1], Duration::from_secs(seconds));
        fleet.whole();
    }
    assert_eq!(
        fleet.lines(1, "peer failed"),
        0,
        "it blames nobody: {}",
        fleet.told()
    );
    assert!(
        fleet.lines(
            1,
            "rejoined the cluster after peers had declared this node failed"
        ) >= 1,
        "{}",
        fleet.told()
    );
    for n in [0, 2] {
        let blamed = fleet.lines(n, "peer failed");
        let it = fleet.lines(n, "peer failed name=\"n1\"");
        assert_eq!(blamed, it, "others hear each other: {}", fleet.told());
    }
    let picture = fleet.picture(1).expect("a picture");
    assert!(
        picture.missed_s > 20.0,
        "it knows what it missed: {}",
        picture.missed_s
    );
}

/// Guards against a fleet that falls apart where all were stopped at once, as on a machine that slept.
#[test]
fn a_whole_fleet_that_was_stopped_wakes_as_it_was() {
    let mut fleet = Fleet::new(3, 3, false);
    fleet.pause(&[0, 1, 2], Duration::from_secs(6));
    fleet.whole();
    (0..3).for_each(|n| assert_eq!(fleet.lines(n, "peer failed"), 0, "{}", fleet.told()));
}

/// Guards against a cut one way, or between two that meet through a third, that is not seen or is taken for a death.
#[test]
fn one_way_cuts_and_lines_are_named() {
    let fleet = Fleet::new(3, 4, false);
    fleet.net.set(
        0,
        1,
        Link {
            cut: true,
            ..Link::default()
        },
    );
    fleet.history.note("cut n0 to n1");
    fleet.until("one way", &[0, 1, 2], |_, p| {
        p.standing == "some pairs cut" && p.reasons == ["n1 does not hear n0"]
    });
    fleet.net.part(&[0], &[1]);
    fleet.history.note("cut n1 to n0, too");
    fleet.until("a line", &[0, 1, 2], |_, p| {
        p.standing == "some pairs cut"
            && p.reasons == ["n0 does not hear n1", "n1 does not hear n0"]
    });
    fleet.net.heal();
    fleet.whole();
    (0..3).for_each(|n| assert_eq!(fleet.lines(n, "peer failed"), 0, "{}", fleet.told()));
}

/// Guards against a side of a cut that takes itself for the other, and one that does not come together again.
#[test]
fn a_cut_in_two_and_three_of_five_heals_also_if_it_flaps() {
    let fleet = Fleet::new(5, 5, false);
    let (few, many) = ([0, 3], [1, 2, 4]);
    fleet.net.part(&few, &many);
    fleet.history.note("cut");
    fleet.until("the few", &few, |_, p| {
        p.standing == "cut off with a minority" && p.reasons.len() == 3
    });
    fleet.until("the many", &many, |_, p| {
        p.standing == "cut off with a majority" && p.reasons.len() == 2
    });
    fleet.net.heal();
    fleet.whole();
    for _ in 0..8 {
        fleet.net.part(&few, &many);
        std::thread::sleep(Duration::from_millis(700));
        fleet.net.heal();
        std::thread::sleep(Duration::from_millis(700));
    }
    fleet.whole();
    fleet.net.all(Link {
        loss: 0.1,
        twice: 0.2,
        late: Duration::from_millis(300),
        ..Link::default()
    });
    std::thread::sleep(Duration::from_secs(5));
    fleet.net.heal();
    fleet.whole();
}

/// Guards against bans that end at one node, that sides of a cut disagree on for ever, or that a restart of all forgets.
#[test]
fn bans_hold_for_the_fleet_over_cuts_and_restarts() {
    let mut fleet = Fleet::new(3, 6, true);
    assert_eq!(fleet.suspend(0, "w-0", false), "yes, at 3 of 3 nodes\n");
    fleet.bans("w-0 is out", &["w-0"]);
    fleet.net.part(&[0], &[1, 2]);
    fleet.history.note("cut");
    // Told while the cut is not known yet, or is: it holds where it was given, and there alone.
    assert_eq!(fleet.suspend(0, "w-0", true), "yes, at 1 of 3 nodes\n");
    assert_eq!(fleet.suspend(1, "w-1", false), "yes, at 2 of 3 nodes\n");
    fleet.suspend(0, "w-1", false);
    // A resume that has not heard of the other side's suspend.
    fleet.suspend(2, "w-1", true);
    fleet.net.heal();
    fleet.whole();
    fleet.bans("they agree", &["w-1"]);
    fleet.suspend(2, "w-2", false);
    fleet.bans("two are out", &["w-1", "w-2"]);
    // Long enough for the store's look at what has changed.
    std::thread::sleep(Duration::from_millis(2500));
    for n in 0..3 {
        fleet.kill(n);
    }
    for n in [2, 0, 1] {
        fleet.start(n);
    }
    fleet.whole();
    fleet.bans("kept", &["w-1", "w-2"]);
    assert_eq!(fleet.suspend(1, "w-1", true), "yes, at 3 of 3 nodes\n");
    fleet.bans("w-1 is back", &["w-2"]);
}

/// Guards against two members of one name, and against one that ends because of it.
#[test]
fn of_two_processes_of_one_name_one_serves_alone() {
    let mut fleet = Fleet::new(3, 7, false);
    // n2's second process: the same name, all else its own.
    let own = addresses(1)[0];
    let folder = fleet.folder.join("twin");
    std::fs::create_dir_all(&folder).expect("a folder");
    let change = |file: &str, changes: &[(&str, &str, String)]| {
        let text = std::fs::read_to_string(fleet.nodes[2].folder.join(file)).expect("text");
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        for (section, name, value) in changes {
            let at = if section.is_empty() {
                &mut json
            } else {
                &mut json[*section]
            };
            at[*name] = value.clone().into();
        }
        std::fs::write(folder.join(file), json.to_string()).expect("it is written");
    };
    let (client, door) = (SocketAddr::new(own, 8080), SocketAddr::new(own, 8081));
    change(
        "config.json",
        &[
            ("", "listen", client.to_string()),
            ("", "mgmt", door.to_string()),
        ],
    );
    let at = SocketAddr::new(own, 7946).to_string();
    change(
        "operator.json",
        &[("fleet", "listen", at.clone()), ("fleet", "advertise", at)],
    );
    fleet.nodes.push(Node {
        name: "n2".into(),
        process: None,
        client,
        door,
        folder,
        listener: None,
    });
    fleet.start(3);
    let apart = |n: usize| {
        fleet
            .picture(n)
            .is_some_and(|p| p.namesake.is_some() && !p.member)
    };
    assert!(
        wait(MOST, || apart(2) != apart(3)),
        "one of them is apart: {}",
        fleet.told()
    );
    let (one, other) = if apart(2) { (2, 3) } else { (3, 2) };
    let client = fleet.nodes[one].client;
    let served = || {
        let fields = [("X-Request-Id", "j-1"), ("X-Deadline", "5")];
        ask(client, "GET", "/-/ready", &fields, b"").is_ok_and(|a| a.status == 200)
    };
    assert!(wait(MOST, served), "it serves alone: {}", fleet.told());
    assert!(fleet.lines(one, "another process has this node's name") >= 1);
    // When the other is gone, the name is free.
    fleet.kill(other);
    fleet.until("it is a member", &[one], |_, p| {
        p.member && p.standing == "whole"
    });
}

/// Guards against a datagram or a flood of them that changes the list, ends the process or holds up a job.
#[test]
fn noise_is_dropped_and_counted() {
    let fleet = Fleet::new(3, 8, false);
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let mut draw = 7u64;
    let mut next = || {
        draw = draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (draw >> 33) as u8
    };
    for length in 0..=1500 {
        let mut bytes: Vec<u8> = (0..length).map(|_| next()).collect();
        if length % 3 == 0 && length > 11 {
            bytes[..3].copy_from_slice(&[b'P', b'M', 1]);
        }
        socket
            .send_to(&bytes, fleet.net.relay(0))
            .expect("it is sent");
        if length % 50 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    fleet.until("it is counted", &[0], |_, p| {
        p.dropped.values().sum::<u64>() > 500
    });
    fleet.whole();
    assert!(
        fleet.lines(0, "datagrams or streams were dropped") <= 2,
        "one line a minute: {}",
        fleet.told()
    );
}

/// Guards against bans beyond a datagram that do not come over streams which break in their middle, stall, or are slow,
/// and against a node that comes late and is told a part.
#[test]
fn a_long_list_of_bans_arrives_over_streams_that_break() {
    let names: Vec<String> = (0..40)
        .map(|n| format!("w-{n:03}-{}", "x".repeat(200)))
        .collect();
    let mut fleet = Fleet::with(3, 11, true, &names);
    fleet.net.part(&[0], &[1, 2]);
    fleet.history.note("cut");
    for (n, name) in names.iter().enumerate() {
        fleet.suspend(if n % 2 == 0 { 0 } else { 1 }, name, false);
    }
    fleet.net.heal();
    let late = Duration::from_millis(20);
    fleet.net.all(Link {
        torn: 0.5,
        late,
        ..Link::default()
    });
    fleet.history.note("torn");
    let all: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.bans("torn, and they agree", &all);
    fleet.net.all(Link {
        slow: 8 << 10,
        ..Link::default()
    });
    fleet.history.note("slow");
    fleet.kill(2);
    // As on a new disk: what it knows of bans it must be told.
    std::fs::remove_dir_all(fleet.nodes[2].folder.join("store")).expect("its store");
    fleet.start(2);
    fleet.whole();
    fleet.bans("slow, and back with nothing", &all);
    fleet.net.heal();
}

/// Guards against a stream that lies, floods, or stalls at any byte and holds up jobs, the list of nodes or another stream.
#[test]
fn streams_that_lie_or_stall_hold_up_nothing() {
    use postproxy_streams::{PREAMBLE, Packet, encode_frame};
    use std::io::{Read, Write};
    use std::net::TcpStream;
    let fleet = Fleet::new(3, 12, false);
    let cluster = postproxy_membership::packet::cluster_number("riga");
    let hello = |n: usize| {
        let hello = Packet::Greeting {
            cluster,
            from: format!("x{n}"),
            process_nonce: 5,
            session: 1,
            to: "n0".into(),
        };
        [&PREAMBLE[..], &encode_frame(&hello)].concat()
    };
    let connect = || TcpStream::connect(fleet.net.relay(0)).expect("a connection");
    let whole = [
        hello(0),
        encode_frame(&Packet::Data {
            sequence: 1,
            message: vec![7; 40],
        }),
    ]
    .concat();
    // One stalls behind each byte; one claims 4 GiB; ten flood, and read nothing.
    let stalled: Vec<TcpStream> = (0..whole.len())
        .map(|cut| {
            let mut stream = connect();
            stream.write_all(&whole[..cut]).expect("it is written");
            stream
        })
        .collect();
    let mut liar = connect();
    liar.write_all(&[&hello(1)[..], &[0xff; 8]].concat())
        .expect("it is written");
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let floods: Vec<_> = (0..10)
        .map(|n| {
            let (mut stream, bytes, over) = (connect(), hello(2 + n), over.clone());
            let words: Vec<u8> = (1..5000)
                .flat_map(|sequence| {
                    encode_frame(&Packet::Data {
                        sequence,
                        message: vec![7; 100],
                    })
                })
                .collect();
            std::thread::spawn(move || {
                let _ = stream.write_all(&bytes);
                while !over.load(Ordering::SeqCst) && stream.write_all(&words).is_ok() {}
            })
        })
        .collect();
    for n in 0..50 {
        let id = format!("j-{n}");
        let fields = [("X-Request-Id", id.as_str()), ("X-Deadline", "5")];
        let answer =
            ask(fleet.nodes[0].client, "GET", "/-/ready", &fields, b"").expect("an answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(fleet.suspend(0, "w-0", false), "yes, at 3 of 3 nodes\n");
    fleet.whole();
    over.store(true, Ordering::SeqCst);
    floods
        .into_iter()
        .for_each(|flood| flood.join().expect("it ends"));
    let dropped =
        |picture: &ClusterStatus, why: &str| picture.dropped.get(why).copied().unwrap_or_default();
    fleet.until("dropped and counted", &[0], |_, p| {
        dropped(p, "stream: too long") == 1 && dropped(p, "stream: stalled") >= 1
    });
    liar.set_read_timeout(Some(MOST)).expect("a setting");
    let mut rest = Vec::new();
    let ended = liar.read_to_end(&mut rest);
    assert!(
        ended.is_err() || rest.len() < 64,
        "its welcome, and the end"
    );
    drop(stalled);
    fleet.until("none is left but sound ones", &[0], |_, p| {
        p.standing == "whole"
    });
}

/// Guards against a node that is gone for good and counts on, and one that is forgotten while it lives.
#[test]
fn a_node_that_will_not_come_back_is_forgotten() {
    let mut fleet = Fleet::new(3, 13, false);
    let forget = |fleet: &Fleet, name: &str| {
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_postproxy"))
            .args([
                "fleet",
                "forget",
                name,
                "--mgmt",
                &fleet.nodes[0].door.to_string(),
            ])
            .output()
            .expect("it runs");
        (
            output.status.success(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let (done, text) = forget(&fleet, "n2");
    assert!(!done && text.contains("it has not failed"), "{text}");
    let (done, text) = forget(&fleet, "nobody");
    assert!(!done && text.contains("nobody has that name"), "{text}");
    fleet.kill(2);
    fleet.until("n2 has failed", &[0, 1], |_, p| {
        p.members
            .iter()
            .any(|m| m.name == "n2" && m.state == "failed")
    });
    assert_eq!(fleet.suspend(1, "w-0", false), "yes, at 2 of 3 nodes\n");
    assert!(forget(&fleet, "n2").0);
    fleet.until("n2 is forgotten", &[0, 1], |_, p| {
        p.members
            .iter()
            .any(|m| m.name == "n2" && m.state == "left")
    });
    assert_eq!(fleet.suspend(1, "w-1", false), "yes, at 2 of 2 nodes\n");
    fleet.start(2);
    fleet.whole();
    fleet.bans("it is back and knows", &["w-0", "w-1"]);
}

/// Guards against two processes of one node that are two members while one takes over, or none, and against a ban that is
/// told to the one without a place among the nodes and goes no further.
#[test]
fn a_replacement_is_no_change_of_members() {
    let mut fleet = Fleet::new(3, 9, false);
    fleet.kill(1);
    fleet.lend_listener(1);
    fleet.start(1);
    fleet.whole();
    let before = [0, 2].map(|n| {
        (
            fleet.lines(n, "peer failed"),
            fleet.lines(n, "a node has left"),
        )
    });
    let first = fleet.picture(1).expect("a picture").members[0].incarnation;
    let old_door = fleet.nodes[1].door;
    let mut old = fleet.nodes[1].process.take().expect("it was started");
    // The second one has a door of its own; its place is still the first one's.
    fleet.nodes[1].door = SocketAddr::new(old_door.ip(), 8082);
    fleet.start(1);
    assert!(fleet.picture(1).is_none(), "one member, not two");
    assert_eq!(fleet.suspend(1, "w-1", false), "yes\n");
    fleet.until("told by the one that has the place", &[0, 2], |_, p| {
        p.bans == ["w-1"]
    });
    old.end();
    assert!(
        wait(MOST, || old.ended() == Some(true)),
        "the first one ends"
    );
    fleet.whole();
    fleet.bans("known to the second, too", &["w-1"]);
    assert!(fleet.picture(1).expect("a picture").members[0].incarnation > first);
    let after = [0, 2].map(|n| {
        (
            fleet.lines(n, "peer failed"),
            fleet.lines(n, "a node has left"),
        )
    });
    assert_eq!(before, after, "nobody failed or left: {}", fleet.told());
    assert_eq!(fleet.suspend(1, "w-1", true), "yes, at 3 of 3 nodes\n");
    fleet.bans("none is out", &[]);
}

impl Fleet {
    /// Changes a node's operator's file.
    fn change(&self, n: usize, change: impl FnOnce(&mut serde_json::Value)) {
        let file = self.nodes[n].folder.join("operator.json");
        let text = std::fs::read_to_string(&file).expect("text");
        let mut json: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        change(&mut json);
        std::fs::write(&file, json.to_string()).expect("it is written");
    }

    /// Gives a node that does not run a listener which outlives its processes.
    fn lend_listener(&mut self, n: usize) {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        listener.set_reuse_address(true).expect("a setting");
        listener
            .bind(&self.nodes[n].client.into())
            .expect("its address");
        listener.listen(64).expect("it listens");
        listener.set_cloexec(false).expect("it is inherited");
        self.nodes[n].listener = Some(listener);
    }
}

/// Guards against a ban that a node knows from a process without the section `fleet`, and that its fleet never hears of.
#[test]
fn bans_from_before_there_was_a_fleet_come_to_hold_for_it() {
    let mut fleet = Fleet::new(3, 14, false);
    fleet.kill(1);
    fleet.lend_listener(1);
    let mut section = serde_json::Value::Null;
    fleet.change(1, |json| section = json["fleet"].take());
    fleet.change(1, |json| *json = serde_json::json!({}));
    fleet.start(1);
    assert_eq!(fleet.suspend(1, "w-1", false), "yes\n");
    fleet.suspend(0, "w-2", false);
    fleet.suspend(0, "w-2", true);
    // Out of use here from before, and said by the fleet to be in use: the fleet's word counts.
    assert_eq!(fleet.suspend(1, "w-2", false), "yes\n");
    fleet.change(1, |json| json["fleet"] = section);
    let old_door = fleet.nodes[1].door;
    let mut old = fleet.nodes[1].process.take().expect("it was started");
    fleet.nodes[1].door = SocketAddr::new(old_door.ip(), 8082);
    fleet.start(1);
    fleet.whole();
    fleet.bans("known to all", &["w-1"]);
    old.end();
    assert!(
        wait(MOST, || old.ended() == Some(true)),
        "the first one ends"
    );
    fleet.bans("still", &["w-1"]);
}

/// Guards against a node that comes back with an older store, or a disk on which each sync takes 2 s, and takes the fleet's
/// bans back, or is none of the nodes because its disk is slow.
#[test]
fn old_state_and_a_slow_disk_change_nothing_that_the_fleet_knows() {
    let mut fleet = Fleet::new(3, 15, true);
    fleet.suspend(0, "w-0", false);
    fleet.suspend(0, "w-1", false);
    fleet.bans("two are out", &["w-0", "w-1"]);
    // Long enough for the store's look at what has changed.
    std::thread::sleep(Duration::from_millis(2500));
    fleet.process(2).end();
    assert!(
        wait(MOST, || fleet.process(2).ended() == Some(true)),
        "it ends"
    );
    fleet.nodes[2].process = None;
    let (store, old) = (
        fleet.nodes[2].folder.join("store"),
        fleet.nodes[2].folder.join("old"),
    );
    std::fs::create_dir_all(&old).expect("a folder");
    for entry in std::fs::read_dir(&store).expect("its store") {
        let path = entry.expect("a file").path();
        std::fs::copy(&path, old.join(path.file_name().expect("a name"))).expect("a copy");
    }
    fleet.start(2);
    fleet.whole();
    fleet.suspend(1, "w-1", true);
    fleet.suspend(1, "w-2", false);
    fleet.bans("as told last", &["w-0", "w-2"]);
    fleet.kill(2);
    std::fs::remove_dir_all(&store).expect("its store");
    std::fs::rename(&old, &store).expect("the older one");
    fleet.change(2, |json| json["store"]["sync_delay_ms"] = 2000.into());
    fleet.history.note("n2 has its older store, on a slow disk");
    fleet.start(2);
    fleet.whole();
    fleet.bans("the older store changes nothing", &["w-0", "w-2"]);
    assert_eq!(
        fleet.suspend(2, "w-2", true),
        "yes, at 3 of 3 nodes\n",
        "nor does it wait for the disk"
    );
    fleet.bans("w-2 is back", &["w-0"]);
    (0..2).for_each(|n| {
        let failed = fleet.lines(n, "peer failed");
        assert!(failed <= 1, "the kill alone: {}", fleet.told());
    });
}

/// Guards against a full disk, or one whose syncs fail, that takes a node out of the fleet, keeps bans from it, or has it
/// forget them although the disk was sound again before it died.
#[test]
fn a_full_disk_and_syncs_that_fail_are_no_change_of_members_and_lose_no_ban() {
    let mut fleet = Fleet::new(3, 16, true);
    fleet.process(1).end();
    assert!(
        wait(MOST, || fleet.process(1).ended() == Some(true)),
        "it ends"
    );
    let trouble = fleet.nodes[1].folder.join("trouble");
    fleet.change(1, |json| {
        json["store"]["trouble_file"] = trouble.display().to_string().into()
    });
    fleet.start(1);
    fleet.whole();
    for (n, (worker, word)) in [("w-0", "sync"), ("w-1", "full")].into_iter().enumerate() {
        std::fs::write(&trouble, word).expect("it is written");
        fleet.history.note(format!("n1's disk: {word}"));
        assert_eq!(fleet.suspend(1, worker, false), "yes, at 3 of 3 nodes\n");
        let troubled = || fleet.lines(1, "the store takes no writes") == n + 1;
        assert!(wait(MOST, troubled), "{}", fleet.told());
        fleet.whole();
        let client = fleet.nodes[1].client;
        let id = format!("j-{word}");
        let fields = [("X-Request-Id", id.as_str()), ("X-Deadline", "5")];
        assert_eq!(
            ask(client, "POST", "/reroute/x", &fields, b"s")
                .expect("an answer")
                .status,
            200,
            "safe jobs go on"
        );
        std::fs::remove_file(&trouble).expect("it was there");
        let sound = || fleet.lines(1, "the store takes writes again") == n + 1;
        assert!(wait(MOST, sound), "{}", fleet.told());
    }
    // Long enough for the store's look at what was refused.
    std::thread::sleep(Duration::from_millis(2500));
    (0..3).for_each(|n| fleet.kill(n));
    // It alone is back: what it knows is what it kept.
    fleet.start(1);
    fleet.until("kept", &[1], |_, p| p.bans == ["w-0", "w-1"]);
}

/// Guards against word of a node that others hear of only through a third: that it was stopped, for however long, or killed,
/// and against one that is called failed because it is on the far side of a line.
#[test]
fn a_node_heard_of_through_a_third_is_stopped_and_killed() {
    let mut fleet = Fleet::new(3, 17, false);
    fleet.net.part(&[0], &[2]);
    fleet.history.note("cut 0 2");
    let line = |picture: &ClusterStatus| {
        picture.standing == "some pairs cut" && picture.reasons.len() == 2
    };
    fleet.until("a line", &[0, 1, 2], |_, p| line(p));
    for seconds in [1, 4, 20] {
        fleet.pause(&[2], Duration::from_secs(seconds));
        fleet.until("a line again", &[0, 1, 2], |_, p| {
            line(p) && p.members.iter().all(|m| m.state != "failed")
        });
        assert_eq!(
            fleet.lines(2, "peer failed"),
            0,
            "it blames nobody: {}",
            fleet.told()
        );
    }
    fleet.kill(2);
    fleet.until("known through the middle", &[0, 1], |_, p| {
        p.standing == "cut off with a majority"
            && p.members
                .iter()
                .any(|m| m.name == "n2" && m.state == "failed")
    });
    assert_eq!(
        fleet.lines(0, "peer failed name=\"n1\""),
        0,
        "{}",
        fleet.told()
    );
    fleet.net.heal();
    fleet.start(2);
    fleet.whole();
}

/// Guards against a node that is taken for its earlier life, or for another's, when it is back at another address.
#[test]
fn a_restart_at_another_address_is_the_same_node() {
    let mut fleet = Fleet::new(3, 10, false);
    fleet.kill(2);
    let at = SocketAddr::new(addresses(1)[0], 7946).to_string();
    fleet.change(2, |json| {
        json["fleet"]["listen"] = at.clone().into();
        json["fleet"]["advertise"] = at.clone().into();
    });
    fleet.start(2);
    fleet.whole();
    fleet.until("at its new address", &[0, 1], |_, p| {
        p.members
            .iter()
            .any(|m| m.name == "n2" && m.address.to_string() == at)
    });
}

impl Fleet {
    /// An operator's word at a node, which may have been started just now and not have the list yet; what was said yes to
    /// is noted.
    fn word(&mut self, n: usize, worker: usize, again: bool) {
        let word = if again { "resume" } else { "suspend" };
        let call = format!("/v1/route-workers/w-{worker}/{word}");
        let answer =
            ask(self.nodes[n].door, "POST", &call, &[], b"").expect("a node that lives answers");
        self.history.note(format!(
            "{}: {}",
            answer.status,
            String::from_utf8_lossy(&answer.body).trim_end()
        ));
        assert!([200, 404].contains(&answer.status), "{}", self.told());
        if answer.status == 200 {
            self.words.push((worker, again));
        }
    }

    /// Takes one step of a schedule.
    fn take(&mut self, step: &Step) {
        self.history.note(step.to_string());
        let count = self.nodes.len();
        match *step {
            Step::Kill(n) => self.kill(n),
            Step::Start(n) => self.start(n),
            Step::Pause(n) => self.process(n).pause(),
            Step::Wake(n) => self.process(n).wake(),
            Step::Cut(a, b) => self.net.set(
                a,
                b,
                Link {
                    cut: true,
                    ..Link::default()
                },
            ),
            Step::Isolate(n) => {
                let others: Vec<usize> = (0..count).filter(|other| *other != n).collect();
                self.net.part(&[n], &others);
            }
            Step::Heal => self.net.heal(),
            Step::Loss(share) => self.net.all(Link {
                loss: f64::from(share) / 100.0,
                ..Link::default()
            }),
            Step::Suspend(n, worker) => self.word(n, worker, false),
            Step::Resume(n, worker) => self.word(n, worker, true),
            Step::Rest(ms) => std::thread::sleep(Duration::from_millis(ms)),
        }
    }
}

/// Guards against any order of kills, pauses, cuts, losses and bans after which nodes that can reach each other again
/// do not know each other, or disagree on what is out of use. `POSTPROXY_SCHEDULES=FROM..TO` plays other seeds.
#[test]
fn after_any_schedule_all_is_whole_and_all_agree() {
    let range = std::env::var("POSTPROXY_SCHEDULES").unwrap_or_else(|_| "0..2".into());
    let (from, to) = range.split_once("..").expect("FROM..TO");
    for seed in from.parse::<u64>().expect("a seed")..to.parse().expect("a seed") {
        let schedule = Schedule::from_seed(seed, 5, 3, 12);
        let mut fleet = Fleet::new(5, seed, true);
        fleet.history.note(format!("seed {seed}"));
        let over = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..3).map(|number| fleet.client(number, &over)).collect();
        schedule.0.iter().for_each(|step| fleet.take(step));
        fleet.take(&Step::Heal);
        for n in 0..5 {
            if fleet.nodes[n].process.is_some() {
                fleet.take(&Step::Wake(n));
            } else {
                fleet.take(&Step::Start(n));
            }
        }
        fleet.whole();
        over.store(true, Ordering::SeqCst);
        clients
            .into_iter()
            .for_each(|client| client.join().expect("a client without a complaint"));
        let served = fleet
            .history
            .all()
            .iter()
            .filter(|(_, e)| matches!(e, Event::Answered(_, Some(200), _)))
            .count();
        assert!(
            served > 100,
            "seed {seed}: {served} served: {}",
            fleet.told()
        );
        for (job, times) in fleet.workers.iter().flat_map(Worker::runs) {
            fleet.history.add(Event::Ran(job, times));
        }
        // Its class may be tried three times.
        if let Err(broken) = check::answers(&fleet.history, 3)
            .and_then(|()| check::blame(&fleet.history, &fleet.logs()))
        {
            panic!("seed {seed}: {broken}\n{}", fleet.told());
        }
        let agree = || {
            let bans: Vec<_> = (0..5)
                .filter_map(|n| Some(fleet.picture(n)?.bans))
                .collect();
            bans.len() == 5 && bans.windows(2).all(|pair| pair[0] == pair[1])
        };
        assert!(
            wait(MOST, agree),
            "seed {seed}, they agree: {}",
            fleet.told()
        );
        // Out of use by a word that nobody took back, wherever it was given.
        let bans = fleet.picture(0).expect("a picture").bans;
        for worker in 0..3 {
            let words: Vec<bool> = fleet
                .words
                .iter()
                .filter(|(w, _)| *w == worker)
                .map(|(_, again)| !again)
                .collect();
            let out = bans.contains(&format!("w-{worker}"));
            if words.iter().all(|suspend| *suspend) {
                assert_eq!(
                    out,
                    !words.is_empty(),
                    "seed {seed}, w-{worker}: {}",
                    fleet.told()
                );
            }
        }
    }
}

/// Guards against a trial that shows nothing, or that ends well where a step does not come to what it should.
#[test]
fn try_with_a_fleet_shows_each_step() {
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_postproxy"))
        .args(["try", "--fleet", "3"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    // Others' connections take their ports at this address, so that a node's can be gone before it is there.
    assert!(!text.contains(" 127.0.0.1:"), "{text}");
    for step in [
        "yes, at 3 of 3 nodes",
        "cut off with a majority",
        "gave it up",
        "node-2 has left",
        "served",
    ] {
        assert!(text.contains(step), "{step}: {text}");
    }
}
