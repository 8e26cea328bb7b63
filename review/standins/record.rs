//! The record of a run: one line for each thing that was sent, answered, run or done.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

pub fn open(directory: &Path) -> std::io::Result<()> {
    let file = File::create(directory.join("record.txt"))?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Returns the seconds since the start of the run.
pub fn elapsed() -> f64 {
    RECORD
        .get()
        .map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

/// Writes a line to the record.
pub fn log(line: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:8.3} {line}", start.elapsed().as_secs_f64());
    }
}

/// Writes a line to the record and to standard output.
pub fn note(line: &str) {
    println!("{:8.3} {line}", elapsed());
    log(line);
}
