//! `postproxy serve`: runs a node in this process until SIGTERM or SIGINT.

use super::{Failure, ServeArgs};
use postproxy::logging;
use postproxy::net::{Config, Node};
use postproxy::operator_config::OperatorConfig;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;

/// Runs a node.
///
/// # Errors
///
/// If the node can't be started, or polling its sockets fails.
pub fn run(args: ServeArgs) -> Result<(), Failure> {
    let mut config = Config::from_env()?;
    // Must precede every opening of a file, which could otherwise get the number of the inherited
    // descriptor.
    config.adopt_inherited_listener()?;
    let stop = signal_stream(&[SIGINT, SIGTERM])?;
    let reload = signal_stream(&[SIGHUP])?;
    let operator_config = operator_config(args)?;
    let _guard = logging::start(&operator_config.log)?;
    config.store = operator_config.store;
    config.fleet = operator_config.fleet;
    config.duties = operator_config.duties;
    config.audit = operator_config.audit;
    let name = config.name.clone();
    let mut node = Node::new(config, stop)?;
    let reloaded_name = name.clone();
    node.reload_on(reload, move || reload_config(&reloaded_name))?;
    tracing::info!(node = name, address = %node.address(), "listening");
    node.run()?;
    tracing::info!(node = name, "stopped");
    Ok(())
}

/// Returns a stream that becomes readable when the process receives one of these signals.
fn signal_stream(signals: &[i32]) -> Result<UnixStream, Failure> {
    let (receiver, sender) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, sender.try_clone()?)?;
    }
    Ok(receiver)
}

/// Returns the operator's configuration. The arguments of the command line take precedence over the
/// file.
fn operator_config(args: ServeArgs) -> Result<OperatorConfig, Failure> {
    let mut config = match &args.operator {
        Some(path) => OperatorConfig::from_file(path)?,
        None => OperatorConfig::default(),
    };
    if let Some(format) = args.log_format {
        config.log.format = format.into();
    }
    if let Some(levels) = args.log_levels {
        config.log.levels = levels;
    }
    Ok(config)
}

/// Reads the node's configuration again; logs an error and returns `None` if it is invalid.
fn reload_config(node: &str) -> Option<Config> {
    match Config::from_env_for_reload() {
        Ok(config) => {
            tracing::info!(node, discovery = %config.discovery, "configuration reloaded");
            Some(config)
        }
        Err(error) => {
            tracing::error!(
                node,
                error,
                "configuration rejected; keeping the previous one"
            );
            None
        }
    }
}
