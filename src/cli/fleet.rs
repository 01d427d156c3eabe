//! `postproxy fleet`: shows and changes the cluster membership through a running node.

use super::Failure;
use clap::{Args, Subcommand};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::send_request;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// How long `members --watch` waits between two queries.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The subcommands of `fleet`.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Who is there, who has failed or left, and how things stand, as one node sees it
    Members(MembersArgs),
    /// Counts a node that has failed no more, at all nodes: it will not come back
    Forget(ForgetArgs),
}

/// The arguments of `fleet forget`.
#[derive(Args, Debug)]
pub struct ForgetArgs {
    /// The name of the node that will not come back
    name: String,
    /// Where the operators of some other node call
    #[arg(long, value_name = "ADDR")]
    mgmt: SocketAddr,
}

/// The arguments of `fleet members`.
#[derive(Args, Debug)]
pub struct MembersArgs {
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

/// Runs a subcommand of `fleet`.
///
/// # Errors
///
/// If the node can't be reached or rejects the call.
pub fn run(command: FleetCommand) -> Result<(), Failure> {
    match command {
        FleetCommand::Members(args) => show_members(&args),
        FleetCommand::Forget(args) => forget(&args),
    }
}

fn show_members(args: &MembersArgs) -> Result<(), Failure> {
    loop {
        let text = fetch_status(args.mgmt)?;
        if args.json {
            println!("{}", text.trim_end());
        } else {
            print!("{}", table(&serde_json::from_str(&text)?));
        }
        if !args.watch {
            return Ok(());
        }
        println!();
        std::thread::sleep(WATCH_INTERVAL);
    }
}

fn forget(args: &ForgetArgs) -> Result<(), Failure> {
    let name =
        percent_encoding::utf8_percent_encode(&args.name, percent_encoding::NON_ALPHANUMERIC);
    let target = format!("/v1/fleet/members/{name}/forget");
    let response = send_request(args.mgmt, "POST", &target, &[], b"")
        .map_err(|error| format!("{}: {error}", args.mgmt))?;
    match response.status {
        200 => {
            println!("{} is forgotten", args.name);
            Ok(())
        }
        409 => Err(format!("{}: it has not failed; end it, then ask again", args.name).into()),
        _ => {
            let text = String::from_utf8_lossy(&response.body);
            Err(format!("{}: {}", args.name, text.trim_end()).into())
        }
    }
}

/// Returns the JSON text of the cluster's status as the node with this management address sees it.
fn fetch_status(mgmt: SocketAddr) -> Result<String, Failure> {
    let response = send_request(mgmt, "GET", "/v1/fleet/members", &[], b"")
        .map_err(|error| format!("{mgmt}: {error}"))?;
    let text = String::from_utf8(response.body)?;
    if response.status == 200 {
        Ok(text)
    } else {
        Err(format!("{mgmt}: {}", text.trim_end()).into())
    }
}

/// Returns the cluster's status as one node sees it, as text for people.
pub fn table(status: &ClusterStatus) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_summary(&mut out, status);
    let _ = write_members(&mut out, status);
    let _ = write_remarks(&mut out, status);
    out
}

fn write_summary(out: &mut String, status: &ClusterStatus) -> std::fmt::Result {
    writeln!(
        out,
        "{} of {}: {}",
        status.node, status.cluster, status.health
    )?;
    for reason in &status.reasons {
        writeln!(out, "  {reason}")?;
    }
    match status.name_conflict {
        Some(address) => writeln!(
            out,
            "  no member: the process at {address} has this name, too"
        ),
        None if !status.is_member => writeln!(out, "  no member yet"),
        None => Ok(()),
    }
}

fn write_members(out: &mut String, status: &ClusterStatus) -> std::fmt::Result {
    writeln!(
        out,
        "{:<20} {:<8} {:<6} {:<22} incarnation",
        "node", "state", "votes", "address"
    )?;
    for node in &status.members {
        let votes = if node.is_voter { "yes" } else { "" };
        let address = node.address.to_string();
        writeln!(
            out,
            "{:<20} {:<8} {votes:<6} {address:<22} {}",
            node.name, node.state, node.incarnation
        )?;
    }
    Ok(())
}

fn write_remarks(out: &mut String, status: &ClusterStatus) -> std::fmt::Result {
    if !status.unreachable_peers.is_empty() {
        writeln!(
            out,
            "not heard directly: {}",
            status.unreachable_peers.join(", ")
        )?;
    }
    if !status.suspended_workers.is_empty() {
        writeln!(
            out,
            "out of use for the fleet: {}",
            status.suspended_workers.join(", ")
        )?;
    }
    if status.skipped_seconds > 0.0 {
        writeln!(
            out,
            "this process missed {:.1} s; {:.1} of 8 from well",
            status.skipped_seconds, status.clock_slowdown
        )?;
    }
    if !status.dropped.is_empty() {
        let counts: Vec<String> = status
            .dropped
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        writeln!(out, "datagrams and streams dropped: {}", counts.join(", "))?;
    }
    Ok(())
}
