//! The record of a case: a line for each thing that was sent, answered or run, with the time since the start.
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    pub started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = BufWriter::new(File::create(path)?);
        Ok(Record { started: Instant::now(), file: Arc::new(Mutex::new(file)) })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: &str) -> f64 {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:9.3}  {text}");
        now
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) -> f64 {
        let now = self.line(text);
        println!("{now:9.3}  {text}");
        let _ = self.file.lock().unwrap().flush();
        now
    }
}
