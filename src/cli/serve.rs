//! `postproxy serve`: one node in this process, until a signal ends it.

use super::{Failure, Serve};
use postproxy::logging;
use postproxy::net::{Config, Node};
use postproxy::operator_config::OperatorConfig;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::os::unix::net::UnixStream;

/// Serves.
///
/// # Errors
///
/// If the node can't be started, or the system's poller fails.
pub fn run(args: Serve) -> Result<(), Failure> {
    // Before anything is opened that could bear the number of an inherited descriptor.
    let mut config = Config::from_env()?;
    config.take_over()?;
    let (stop, signal) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGINT, signal.try_clone()?)?;
    signal_hook::low_level::pipe::register(SIGTERM, signal)?;
    let (reload, signal) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(SIGHUP, signal)?;
    let mut operator = args
        .operator
        .as_deref()
        .map(OperatorConfig::from_file)
        .transpose()?
        .unwrap_or_default();
    let log = &mut operator.log;
    log.format = args.log_format.map_or(log.format, Into::into);
    log.levels = args.log_levels.unwrap_or_else(|| log.levels.clone());
    let _written_at_the_end = logging::start(log)?;
    config.store = operator.store;
    config.fleet = operator.fleet;
    config.duties = operator.duties;
    config.audit = operator.audit;
    let name = config.name.clone();
    let mut node = Node::new(config, stop)?;
    let words = name.clone();
    node.reload_on(reload, move || match Config::reloaded() {
        Ok(config) => {
            tracing::info!(node = words, discovery = %config.discovery, "reloaded");
            Some(config)
        }
        Err(error) => {
            tracing::error!(node = words, error, "the old configuration stays");
            None
        }
    })?;
    tracing::info!(node = name, address = %node.address(), "listening");
    node.run()?;
    tracing::info!(node = name, "stopped");
    Ok(())
}
