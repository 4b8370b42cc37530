//! Child processes with captured output; dropping one kills the process.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::error::Error;

const STARTUP_TIMEOUT: Duration = Duration::from_secs(20);
const RECENT_LINES_MAX: usize = 200;

/// Output stream of a child to capture.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// A running child process.
pub struct Process {
    name: String,
    child: Child,
    lines: Receiver<String>,
    recent_lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program and captures one of its output streams.
    ///
    /// # Errors
    /// The program cannot be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        output: Output,
    ) -> Result<Self, Error> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null());
        match output {
            Output::Stdout => command.stdout(Stdio::piped()).stderr(Stdio::inherit()),
            Output::Stderr => command.stdout(Stdio::null()).stderr(Stdio::piped()),
        };
        let mut child = command.spawn()?;
        let out = child
            .stdout
            .take()
            .map(|out| Box::new(out) as Box<dyn Read + Send>);
        let err = child
            .stderr
            .take()
            .map(|err| Box::new(err) as Box<dyn Read + Send>);
        let recent_lines = Arc::default();
        let lines = read_lines(out.or(err), &recent_lines);
        Ok(Self {
            name: name.to_owned(),
            child,
            lines,
            recent_lines,
        })
    }

    /// Reads lines until `parse` accepts one, and returns what it parsed.
    ///
    /// # Errors
    /// The output ends, or no further line arrives in time.
    pub fn wait_for_line<T>(&self, parse: impl Fn(&str) -> Option<T>) -> Result<T, Error> {
        while let Ok(line) = self.lines.recv_timeout(STARTUP_TIMEOUT) {
            if let Some(found) = parse(&line) {
                return Ok(found);
            }
        }
        let reason = format!(
            "did not print the expected line; recent output:\n{}",
            self.recent_lines().join("\n")
        );
        Err(Error::Process(self.name.clone(), reason))
    }

    /// The most recent lines of the captured output.
    #[must_use]
    pub fn recent_lines(&self) -> Vec<String> {
        self.recent_lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Process ID.
    #[must_use]
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has exited.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let Some(pid) = pid else {
            return Err(Error::Process(
                self.name.clone(),
                "has no process ID".to_owned(),
            ));
        };
        kill_process(pid, signal).map_err(|err| Error::Io(err.into()))
    }

    /// Sends SIGTERM and waits until the process exits.
    ///
    /// # Errors
    /// The process cannot be signalled or exits with a failure.
    pub fn stop(mut self) -> Result<(), Error> {
        self.signal(Signal::TERM)?;
        let status = self.child.wait()?;
        if status.success() {
            return Ok(());
        }
        Err(Error::Process(
            self.name.clone(),
            format!("exited with {status}"),
        ))
    }

    /// Kills the process and waits until it is gone.
    ///
    /// # Errors
    /// The process cannot be killed.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_lines(
    from: Option<Box<dyn Read + Send>>,
    recent_lines: &Arc<Mutex<Vec<String>>>,
) -> Receiver<String> {
    let (tx, rx) = mpsc::channel();
    let recent_lines = recent_lines.clone();
    thread::spawn(move || {
        let Some(from) = from else {
            return;
        };
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let mut recent = recent_lines.lock().unwrap_or_else(PoisonError::into_inner);
            if recent.len() == RECENT_LINES_MAX {
                recent.remove(0);
            }
            recent.push(line.clone());
            drop(recent);
            // Fails if the receiver was dropped; the line is still kept above.
            let _ = tx.send(line);
        }
    });
    rx
}
