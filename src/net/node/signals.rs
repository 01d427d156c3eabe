//! Signals to the event loop: streams on which a byte asks the node to stop or to reload its
//! configuration.

use crate::net::config::Config;
use crate::net::transport::reactor::{Reactor, SocketOwner};
use std::io::{self, Read};
use std::os::unix::net::UnixStream;

/// A stream on which a byte is a signal.
pub(super) struct Signal {
    stream: UnixStream,
    key: usize,
}

impl Signal {
    /// Registers the stream with the reactor.
    ///
    /// # Errors
    ///
    /// If the stream can't be registered with the system's poller.
    pub(super) fn new(reactor: &mut Reactor, stream: UnixStream) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        let key = reactor.register(&stream, SocketOwner::Signal)?;
        reactor.rearm(&stream, key, (true, false));
        Ok(Self { stream, key })
    }

    /// Returns the reactor's key of the stream.
    pub(super) fn key(&self) -> usize {
        self.key
    }

    /// Reads all pending bytes and returns whether there were any. A stream whose other end is
    /// closed is not polled any more.
    pub(super) fn consume(&mut self, reactor: &Reactor) -> bool {
        let mut bytes = [0; 64];
        let mut any = false;
        while let Ok(size) = self.stream.read(&mut bytes) {
            if size == 0 {
                return any;
            }
            any = true;
        }
        reactor.rearm(&self.stream, self.key, (true, false));
        any
    }
}

/// Reads a new configuration; returns `None` if there is no valid one.
pub(super) type ConfigSource = Box<dyn FnMut() -> Option<Config>>;

/// The reload signal, and where a new configuration comes from.
pub(super) struct ReloadSource {
    signal: Signal,
    source: ConfigSource,
}

impl ReloadSource {
    /// Pairs a signal with the source that it triggers.
    pub(super) fn new(signal: Signal, source: ConfigSource) -> Self {
        Self { signal, source }
    }

    /// Reads a new configuration if a reload was signalled. The signal is consumed before the
    /// source is read, so that a signal sent during the read causes another reload.
    pub(super) fn poll(&mut self, reactor: &Reactor) -> Option<Config> {
        if self.signal.consume(reactor) {
            (self.source)()
        } else {
            None
        }
    }
}
