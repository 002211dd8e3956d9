//! Entry VM as a child process.

use derive_more::Display;
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Exit status of a process.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Exit {
    /// Exited with this code.
    #[display("code {_0}")]
    Code(i32),
    /// Did not exit in time.
    #[display("it still runs")]
    Late,
    /// Terminated by a signal.
    #[display("a signal")]
    Signal,
}

/// Child process of a VM, killed on drop.
#[derive(Debug)]
pub struct VmProcess {
    child: Child,
    log: PathBuf,
    program: PathBuf,
    settings: PathBuf,
    /// Whether a signal that ends a process without a handler was sent while this one was new.
    signalled_early: bool,
    started: Instant,
}

impl VmProcess {
    /// Starts the process and appends its output to the log file.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started or the log can't be opened.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let child = spawn(program, settings, log)?;
        let (log, program, settings) = (log.into(), program.into(), settings.into());
        let started = Instant::now();
        Ok(Self { child, log, program, settings, signalled_early: false, started })
    }

    /// Starts the process again after it has exited.
    ///
    /// # Errors
    ///
    /// Fails for the same reasons as [`Self::start`].
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        (self.signalled_early, self.started) = (false, Instant::now());
        Ok(())
    }

    /// Whether the process may not have installed its signal handlers yet. It doesn't listen on any
    /// port then, and a signal may end it.
    pub fn is_new(&self) -> bool {
        self.started.elapsed() < Self::STARTUP_TIME
    }

    /// Whether a signal was sent while the process was new, which may have ended it.
    pub fn was_signalled_early(&self) -> bool {
        self.signalled_early
    }

    /// Time after its start by which a process has installed its signal handlers.
    pub const STARTUP_TIME: Duration = Duration::from_millis(300);

    /// Sends SIGKILL and reaps the process.
    pub fn kill(&mut self) {
        // Fails only if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&mut self, name: &str) {
        self.signalled_early |= self.is_new() && matches!(name, "HUP" | "TERM");
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        if !status.is_ok_and(|status| status.success()) {
            eprintln!("soak: can't send SIG{name} to process {id}; it may have exited");
        }
    }

    /// Waits up to `limit` for the process to exit.
    pub async fn wait(&mut self, limit: Duration) -> Exit {
        let start = Instant::now();
        loop {
            // Read first: the last look must be after the limit, however late a sleep ends.
            let is_last = start.elapsed() >= limit;
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code().map_or(Exit::Signal, Exit::Code);
            }
            if is_last {
                return Exit::Late;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        // SIGKILL also ends a process suspended by SIGSTOP.
        self.kill();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().append(true).create(true).open(log)?;
    Command::new(program)
        .arg("router")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}
