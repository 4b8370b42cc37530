//! Child processes with the lines that they print. Dropping one ends it.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use crate::error::Error;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const LINES_KEPT: usize = 200;

/// Output of a process that is read for its addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Out,
    /// Error output.
    Error,
}

/// A running child.
pub struct Process {
    name: String,
    child: Child,
    lines: Receiver<String>,
    latest: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a program.
    ///
    /// # Errors
    /// The program can not be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        output: Output,
    ) -> Result<Self, Error> {
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null());
        match output {
            Output::Out => command.stdout(Stdio::piped()).stderr(Stdio::inherit()),
            Output::Error => command.stdout(Stdio::null()).stderr(Stdio::piped()),
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
        let latest = Arc::default();
        let lines = read_lines(out.or(err), &latest);
        Ok(Self {
            name: name.to_owned(),
            child,
            lines,
            latest,
        })
    }

    /// Waits for a line that `wanted` takes something from.
    ///
    /// # Errors
    /// The line does not come in time.
    pub fn expect<T>(&self, wanted: impl Fn(&str) -> Option<T>) -> Result<T, Error> {
        while let Ok(line) = self.lines.recv_timeout(START_TIMEOUT) {
            if let Some(found) = wanted(&line) {
                return Ok(found);
            }
        }
        let reason = format!(
            "did not print its address; printed:\n{}",
            self.latest().join("\n")
        );
        Err(Error::Process(self.name.clone(), reason))
    }

    /// Latest lines.
    #[must_use]
    pub fn latest(&self) -> Vec<String> {
        self.latest
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let Some(pid) = pid else {
            return Err(Error::Process(self.name.clone(), "has no id".to_owned()));
        };
        kill_process(pid, signal).map_err(|err| Error::Io(err.into()))
    }

    /// Asks for a planned stop and waits for the end.
    ///
    /// # Errors
    /// The process can not be signalled or ends with a failure.
    pub fn stop(mut self) -> Result<(), Error> {
        self.signal(Signal::TERM)?;
        let status = self.child.wait()?;
        if status.success() {
            return Ok(());
        }
        Err(Error::Process(
            self.name.clone(),
            format!("ended with {status}"),
        ))
    }

    /// Ends the process without warning.
    ///
    /// # Errors
    /// The process can not be ended.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn read_lines(
    from: Option<Box<dyn Read + Send>>,
    latest: &Arc<Mutex<Vec<String>>>,
) -> Receiver<String> {
    let (tx, rx) = mpsc::channel();
    let latest = latest.clone();
    thread::spawn(move || {
        let Some(from) = from else {
            return;
        };
        for line in BufReader::new(from).lines().map_while(Result::ok) {
            let mut kept = latest.lock().unwrap_or_else(PoisonError::into_inner);
            if kept.len() == LINES_KEPT {
                kept.remove(0);
            }
            kept.push(line.clone());
            drop(kept);
            // Nobody waits for a line any more.
            let _ = tx.send(line);
        }
    });
    rx
}
