//! `postproxy fleet`: asks a running node what it knows of the others.

use super::Failure;
use clap::{Args, Subcommand};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::ask;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// What `fleet` does.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Who is there, who has failed or left, and how things stand, as one node sees it
    Members(Members),
    /// Counts a node that has failed no more, at all nodes: it will not come back
    Forget(Forget),
}

/// Which node is told, and of which.
#[derive(Args, Debug)]
pub struct Forget {
    /// The name of the node that will not come back
    name: String,
    /// Where the operators of some other node call
    #[arg(long, value_name = "ADDR")]
    mgmt: SocketAddr,
}

/// Which node, and how it is told.
#[derive(Args, Debug)]
pub struct Members {
    /// Where the node's operators call
    #[arg(long, value_name = "ADDR")]
    mgmt: SocketAddr,
    /// As the node tells it, in JSON
    #[arg(long)]
    json: bool,
    /// Again every second, until this program is ended
    #[arg(long)]
    watch: bool,
}

/// Does it.
///
/// # Errors
///
/// If the node can't be asked, or knows no others.
pub fn run(action: Action) -> Result<(), Failure> {
    let args = match action {
        Action::Members(args) => args,
        Action::Forget(args) => return forget(&args),
    };
    loop {
        let text = picture(args.mgmt)?;
        if args.json {
            println!("{}", text.trim_end());
        } else {
            print!("{}", table(&serde_json::from_str(&text)?));
        }
        if !args.watch {
            return Ok(());
        }
        println!();
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn forget(args: &Forget) -> Result<(), Failure> {
    let name =
        percent_encoding::utf8_percent_encode(&args.name, percent_encoding::NON_ALPHANUMERIC);
    let answer = ask(
        args.mgmt,
        "POST",
        &format!("/v1/fleet/members/{name}/forget"),
        &[],
        b"",
    )
    .map_err(|error| format!("{}: {error}", args.mgmt))?;
    let text = String::from_utf8_lossy(&answer.body);
    match answer.status {
        200 => println!("{} is forgotten", args.name),
        409 => {
            return Err(format!("{}: it has not failed; end it, then ask again", args.name).into());
        }
        _ => return Err(format!("{}: {}", args.name, text.trim_end()).into()),
    }
    Ok(())
}

fn picture(mgmt: SocketAddr) -> Result<String, Failure> {
    let answer = ask(mgmt, "GET", "/v1/fleet/members", &[], b"")
        .map_err(|error| format!("{mgmt}: {error}"))?;
    let text = String::from_utf8(answer.body)?;
    if answer.status == 200 {
        Ok(text)
    } else {
        Err(format!("{mgmt}: {}", text.trim_end()).into())
    }
}

/// What one node sees, for people.
pub fn table(picture: &ClusterStatus) -> String {
    let mut out = String::new();
    let mut line = |text: String| {
        // Writing to a string fails at nothing.
        let _ = writeln!(out, "{text}");
    };
    line(format!(
        "{} of {}: {}",
        picture.node, picture.cluster, picture.health
    ));
    picture
        .reasons
        .iter()
        .for_each(|reason| line(format!("  {reason}")));
    match picture.name_conflict {
        Some(at) => line(format!(
            "  no member: the process at {at} has this name, too"
        )),
        None if !picture.is_member => line("  no member yet".to_owned()),
        None => {}
    }
    line(format!(
        "{:<20} {:<8} {:<6} {:<22} incarnation",
        "node", "state", "votes", "address"
    ));
    for node in &picture.members {
        let votes = if node.is_voter { "yes" } else { "" };
        let address = node.address.to_string();
        line(format!(
            "{:<20} {:<8} {votes:<6} {address:<22} {}",
            node.name, node.state, node.incarnation
        ));
    }
    if !picture.unreachable_peers.is_empty() {
        line(format!(
            "not heard directly: {}",
            picture.unreachable_peers.join(", ")
        ));
    }
    if !picture.suspended_workers.is_empty() {
        line(format!(
            "out of use for the fleet: {}",
            picture.suspended_workers.join(", ")
        ));
    }
    if picture.skipped_seconds > 0.0 {
        line(format!(
            "this process missed {:.1} s; {:.1} of 8 from well",
            picture.skipped_seconds, picture.clock_slowdown
        ));
    }
    if !picture.dropped.is_empty() {
        let by: Vec<String> = picture
            .dropped
            .iter()
            .map(|(why, n)| format!("{why} {n}"))
            .collect();
        line(format!("datagrams and streams dropped: {}", by.join(", ")));
    }
    out
}
