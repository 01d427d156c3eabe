//! `postproxy fleet`: shows and changes the cluster membership through a running node.

use super::Failure;
use clap::{Args, Subcommand};
use postproxy::net::cluster::service::ClusterStatus;
use postproxy::stand_ins::send_request;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two queries of `members --watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// The subcommands of `fleet`.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Show the cluster's members and its health as one node sees them
    Members(MembersArgs),
    /// Mark a failed node that will not come back as left, at all nodes
    Forget(ForgetArgs),
}

/// The arguments of `fleet forget`.
#[derive(Args, Debug)]
pub struct ForgetArgs {
    /// The name of the failed node
    name: String,
    /// The management address of any other node
    #[arg(long, value_name = "ADDR")]
    mgmt: SocketAddr,
}

/// The arguments of `fleet members`.
#[derive(Args, Debug)]
pub struct MembersArgs {
    /// The management address of the node
    #[arg(long, value_name = "ADDR")]
    mgmt: SocketAddr,
    /// Print the status in JSON, as the node returns it
    #[arg(long)]
    json: bool,
    /// Print the status again every second until interrupted
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
            println!("{}: forgotten", args.name);
            Ok(())
        }
        409 => Err(format!(
            "{}: the node has not failed; stop it and try again",
            args.name
        )
        .into()),
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

/// Formats the cluster's status as one node sees it for output on a terminal.
pub fn table(status: &ClusterStatus) -> String {
    let mut out = String::new();
    // Writing to a string can't fail.
    let _ = write_summary(&mut out, status);
    let _ = write_members(&mut out, status);
    let _ = write_warnings(&mut out, status);
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
            "  not a member: the process at {address} has the same name"
        ),
        None if !status.is_member => writeln!(out, "  not a member yet"),
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

fn write_warnings(out: &mut String, status: &ClusterStatus) -> std::fmt::Result {
    if !status.unreachable_peers.is_empty() {
        writeln!(
            out,
            "not heard from directly: {}",
            status.unreachable_peers.join(", ")
        )?;
    }
    if !status.suspended_workers.is_empty() {
        writeln!(
            out,
            "suspended workers: {}",
            status.suspended_workers.join(", ")
        )?;
    }
    if status.skipped_seconds > 0.0 {
        writeln!(
            out,
            "this process did not run for {:.1} s; clock slowdown {:.1} (maximum 8)",
            status.skipped_seconds, status.clock_slowdown
        )?;
    }
    if !status.dropped.is_empty() {
        let counts: Vec<String> = status
            .dropped
            .iter()
            .map(|(reason, count)| format!("{reason} {count}"))
            .collect();
        writeln!(out, "dropped datagrams and streams: {}", counts.join(", "))?;
    }
    Ok(())
}
