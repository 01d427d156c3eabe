//! The program `postproxy`. Without arguments it is one node, configured by `RELAY_CONFIG`; SIGTERM and SIGINT
//! end it in good order, SIGHUP has it read its file again.
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
