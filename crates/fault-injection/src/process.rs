//! A process of the program under test: it can be paused, resumed, reloaded, shut down and killed.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The file that it logs to; empty if the caller has set up its output.
    log: PathBuf,
    paused: bool,
}

impl Process {
    /// Starts the program; what it logs is appended to the file `log`.
    ///
    /// # Errors
    ///
    /// If the file can't be opened or the program can't be started.
    pub fn start(
        program: &Path,
        args: &[&str],
        environment: &[(&str, &str)],
        log: &Path,
    ) -> io::Result<Self> {
        let log_file = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(args)
            .envs(environment.iter().copied())
            .stdout(Stdio::null())
            .stderr(log_file);
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
    pub fn spawn(command: &mut Command) -> io::Result<Self> {
        Ok(Self {
            child: command.spawn()?,
            log: PathBuf::new(),
            paused: false,
        })
    }

    /// Has it reload its configuration (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills it and waits for its end (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses it (SIGSTOP).
    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.paused = true;
    }

    /// Resumes it after a pause (SIGCONT).
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
        self.paused = false;
    }

    /// Has it shut down gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns whether it has exited with success; `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok()?.map(|status| status.success())
    }

    /// Returns all text in its log file, also that of earlier processes with the same file.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        // The process is our child and hasn't been waited for, so that its id can't be another
        // process's.
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.paused {
            self.resume();
        }
        self.kill();
    }
}
