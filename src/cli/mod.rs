//! The command line. The doc comments of commands and arguments are their help texts.

mod fleet;
mod fleet_trial;
mod serve;
mod store;
mod trial;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use postproxy::logging::Format;
use postproxy::net::Config;
use postproxy::operator_config::OperatorConfig;

/// The error of a failed command; its text is printed to standard error.
pub type Failure = Box<dyn std::error::Error>;

/// Route requests from clients to workers; without a command, run a node as `serve` does
#[derive(Debug, Parser)]
#[command(version, after_help = "Exit status: 0 done, 1 failed, 2 wrong usage.")]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a node until SIGTERM or SIGINT; RELAY_CONFIG names its configuration
    Serve(ServeArgs),
    /// Check an operator's file for errors
    Check {
        /// The operator's file
        file: String,
        /// A node's configuration file to check as well
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
    },
    /// Inspect or compact a store's files while its node is stopped
    #[command(subcommand)]
    Store(store::StoreCommand),
    /// Show or change the cluster membership through a running node
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Run a trial in one process: discovery, four workers, a node, and requests of two classes
    Try(trial::TrialArgs),
    /// Print a shell completion script
    Completions {
        /// The shell that the script is for
        shell: clap_complete::Shell,
    },
}

/// The arguments of `serve`.
#[derive(Args, Debug, Default)]
pub struct ServeArgs {
    /// The operator's file, which enables optional parts of the program
    #[arg(long, value_name = "FILE", env = "POSTPROXY_OPERATOR")]
    operator: Option<String>,
    /// Format of log lines; takes precedence over the operator's file
    #[arg(long, value_name = "FORMAT")]
    log_format: Option<LogFormat>,
    /// Log levels by module, such as info,postproxy::net::upstream::worker_list=debug; takes
    /// precedence over the operator's file
    #[arg(long, value_name = "LEVELS")]
    log_levels: Option<String>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// Human-readable text
    Text,
    /// One JSON object per line
    Json,
}

impl From<LogFormat> for Format {
    fn from(format: LogFormat) -> Self {
        match format {
            LogFormat::Text => Self::Text,
            LogFormat::Json => Self::Json,
        }
    }
}

/// Runs the command.
///
/// # Errors
///
/// If the command fails.
pub fn run(cli: Cli) -> Result<(), Failure> {
    match cli.command {
        None => serve::run(ServeArgs::default()),
        Some(Command::Serve(args)) => serve::run(args),
        Some(Command::Check { file, config }) => check(&file, config.as_deref()),
        Some(Command::Store(command)) => store::run(command),
        Some(Command::Fleet(command)) => fleet::run(command),
        Some(Command::Try(args)) => trial::run(&args),
        Some(Command::Completions { shell }) => {
            let mut command = Cli::command();
            clap_complete::generate(shell, &mut command, "postproxy", &mut std::io::stdout());
            Ok(())
        }
    }
}

/// Checks an operator's file and, if one is given, a node's configuration file.
fn check(file: &str, config: Option<&str>) -> Result<(), Failure> {
    OperatorConfig::from_file(file)?;
    if let Some(path) = config {
        let text =
            std::fs::read_to_string(path).map_err(|error| format!("reading {path}: {error}"))?;
        Config::from_json(&text, |_| None).map_err(|error| format!("{path}: {error}"))?;
    }
    println!("{file}: valid");
    Ok(())
}
