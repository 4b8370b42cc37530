//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record must be writable");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn now(&self) -> Duration {
        self.0.0.elapsed()
    }

    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
