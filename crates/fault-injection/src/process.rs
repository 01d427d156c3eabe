//! A process of the program: started, stopped, woken, killed, told to end.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process, its log in a file. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    log: PathBuf,
    paused: bool,
}

impl Process {
    /// Starts the program; what it logs goes to the end of that file.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start(
        program: &Path,
        args: &[&str],
        environment: &[(&str, &str)],
        log: &Path,
    ) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(args)
            .envs(environment.iter().copied())
            .stdout(Stdio::null())
            .stderr(out);
        Ok(Self {
            child: command.spawn()?,
            log: log.to_owned(),
            paused: false,
        })
    }

    /// Starts a command as it is.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn of(command: &mut Command) -> io::Result<Self> {
        Ok(Self {
            child: command.spawn()?,
            log: PathBuf::new(),
            paused: false,
        })
    }

    /// Tells it to read its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    fn signal(&self, signal: Signal) {
        // The child is ours until it is waited for, so its number is no other's.
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops it where it is.
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.paused = true;
    }

    /// Lets it go on.
    pub fn wake(&mut self) {
        self.signal(Signal::CONT);
        self.paused = false;
    }

    /// Tells it to end in good order.
    pub fn end(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether it has ended, and well.
    pub fn ended(&mut self) -> Option<bool> {
        self.child.try_wait().ok()?.map(|status| status.success())
    }

    /// What it and its earlier lives have logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.paused {
            self.wake();
        }
        self.kill();
    }
}
