//! A process of the program under test, which can be paused, resumed, reloaded, shut down and
//! killed.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process, which is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Path of its log file; empty if the caller has configured its output.
    log: PathBuf,
    paused: bool,
}

impl Process {
    /// Starts the program and appends its log to the file `log`.
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

    /// Starts a command whose output the caller has configured.
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

    /// Makes it reload its configuration (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Kills it (SIGKILL) and waits for its exit.
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

    /// Makes it shut down gracefully (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns whether it exited with success; `None` while it is running.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok()?.map(|status| status.success())
    }

    /// Returns the content of its log file, including that of earlier processes with the same file.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        // The process is a child that hasn't been waited for, so its id can't have been reused.
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
