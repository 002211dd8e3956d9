//! One entry VM as a process.

use derive_more::Display;
use std::{
    fs::File,
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// How a process ended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Exit {
    /// By itself, with this code.
    #[display("code {_0}")]
    Code(i32),
    /// It did not end in time.
    #[display("it still runs")]
    Late,
    /// By a signal.
    #[display("a signal")]
    Signal,
}

/// Starts and signals the process of one VM.
#[derive(Debug)]
pub struct VmProcess {
    child: Child,
    log: PathBuf,
    program: PathBuf,
    settings: PathBuf,
    started: Instant,
}

impl VmProcess {
    /// Starts the process; its log goes to a file.
    ///
    /// # Errors
    ///
    /// Where the program or its log can't be opened.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        let child = spawn(program, settings, log)?;
        let (log, program, settings) = (log.into(), program.into(), settings.into());
        Ok(Self { child, log, program, settings, started: Instant::now() })
    }

    /// Starts it again after its end.
    ///
    /// # Errors
    ///
    /// As `start`.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.log)?;
        self.started = Instant::now();
        Ok(())
    }

    /// Whether it has only begun to start: it listens nowhere, and a signal may simply end it.
    pub fn is_new(&self) -> bool {
        self.started.elapsed() < Self::START
    }

    /// Time in which a process gets from its start to its signal handlers.
    pub const START: Duration = Duration::from_millis(300);

    /// Kills it at once.
    pub fn kill(&mut self) {
        // It may have ended already, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        if !status.is_ok_and(|status| status.success()) {
            eprintln!("soak: the process {id} took no {name}; it has ended");
        }
    }

    /// Waits for its end.
    pub async fn wait(&mut self, limit: Duration) -> Exit {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code().map_or(Exit::Signal, Exit::Code);
            }
            sleep(Duration::from_millis(20)).await;
        }
        Exit::Late
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        // A stopped process takes SIGKILL as well.
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
