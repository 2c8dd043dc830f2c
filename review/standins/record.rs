//! What was sent, answered and run, with the time since the start in seconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started_at: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the folder can be written to");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    /// Seconds from the start to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about a moment.
    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().expect("no panic");
        writeln!(file, "{:9.4} {text}", self.seconds(at)).expect("the file can be written to");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Nobody may read the output any more.
        drop(writeln!(std::io::stdout(), "{text}"));
    }
}
