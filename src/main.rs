//! The program `postproxy`.
//!
//! Without arguments it runs one node, configured by `RELAY_CONFIG`. SIGTERM and SIGINT shut it
//! down gracefully; SIGHUP reloads its configuration.
#![forbid(unsafe_code)]

mod cli;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run(cli::Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("postproxy: {error}");
            ExitCode::FAILURE
        }
    }
}
