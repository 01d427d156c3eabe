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

/// The error of a command that fails; its text is printed to standard error.
pub type Failure = Box<dyn std::error::Error>;

/// Pushes jobs to workers by lottery. Without a command it serves, as RELAY_CONFIG says.
#[derive(Debug, Parser)]
#[command(
    version,
    about,
    after_help = "Exit status: 0 done, 1 failed, 2 wrong usage."
)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a node until SIGTERM or SIGINT; RELAY_CONFIG names its configuration
    Serve(ServeArgs),
    /// Say what is wrong with an operator's file, or that nothing is
    Check {
        /// The operator's file
        file: String,
        /// A node's configuration to check with it
        #[arg(long, value_name = "FILE")]
        config: Option<String>,
    },
    /// Look at a store's files, with its node stopped
    #[command(subcommand)]
    Store(store::StoreCommand),
    /// Ask a running node about the other nodes
    #[command(subcommand)]
    Fleet(fleet::FleetCommand),
    /// Try it all in one process: discovery, four workers, a node, and jobs of two classes
    Try(trial::TrialArgs),
    /// Print a script that completes this program's words in a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// The arguments of `serve`.
#[derive(Args, Debug, Default)]
pub struct ServeArgs {
    /// The operator's file: which parts of the program are on
    #[arg(long, value_name = "FILE", env = "POSTPROXY_OPERATOR")]
    operator: Option<String>,
    /// How lines of the log look; goes before the operator's file
    #[arg(long, value_name = "FORMAT")]
    log_format: Option<LogFormat>,
    /// Levels by module, such as info,postproxy::net::upstream::worker_list=debug; goes before the
    /// operator's file
    #[arg(long, value_name = "LEVELS")]
    log_levels: Option<String>,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// For people
    Text,
    /// An object a line
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

/// Checks an operator's file, and a node's configuration with it.
fn check(file: &str, config: Option<&str>) -> Result<(), Failure> {
    OperatorConfig::from_file(file)?;
    if let Some(path) = config {
        let text =
            std::fs::read_to_string(path).map_err(|error| format!("reading {path}: {error}"))?;
        Config::from_json(&text, |_| None).map_err(|error| format!("{path}: {error}"))?;
    }
    println!("{file}: sound");
    Ok(())
}
