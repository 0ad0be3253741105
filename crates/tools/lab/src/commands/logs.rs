//! The command that merges the logs of several directors.

use crate::input_error::InputError;
use coppersail_lab::logs;
use std::path::PathBuf;

/// Which lines are shown.
pub(crate) struct Filter {
    /// Only lines that contain this, and those near them.
    pub(crate) about: Option<String>,
    /// How near, in seconds.
    pub(crate) near: f64,
    /// The first time that is shown, in seconds.
    pub(crate) from: f64,
    /// The last time that is shown, in seconds.
    pub(crate) to: f64,
}

impl Filter {
    fn apply(&self, entries: Vec<logs::Entry>) -> Vec<logs::Entry> {
        let times = self.from..=self.to;
        let entries: Vec<logs::Entry> =
            entries.into_iter().filter(|entry| times.contains(&entry.time_s)).collect();
        match &self.about {
            Some(word) => logs::around(&entries, word, self.near),
            None => entries,
        }
    }
}

/// The lines of all logs.
struct MergedLogs {
    /// In order of time.
    entries: Vec<logs::Entry>,
    /// How many lines have no time.
    without_time: usize,
    /// Names of the logs, in the order of the files.
    names: Vec<String>,
}

/// Prints the logs counted by kind of line, or line by line if `lines` is set or the filter names a word.
pub(crate) fn logs(files: &[PathBuf], began: &[f64], filter: &Filter, lines: bool) -> eyre::Result<bool> {
    let merged = read_logs(files, began)?;
    let entries = filter.apply(merged.entries);
    if lines || filter.about.is_some() {
        for entry in &entries {
            println!("{:9.3} {} {}", entry.time_s, merged.names[entry.log], entry.text);
        }
    } else {
        print!("{}", logs::table(&entries, &merged.names));
    }
    if merged.without_time > 0 {
        eprintln!("{} lines without a time are left out", merged.without_time);
    }
    Ok(true)
}

/// Reads and merges the logs. `began`: when each log's clock began, in seconds; empty if they share one clock.
fn read_logs(files: &[PathBuf], began: &[f64]) -> Result<MergedLogs, InputError> {
    if !began.is_empty() && began.len() != files.len() {
        return Err(InputError::Began { files: files.len() });
    }
    let mut all = Vec::new();
    let mut without_time = 0;
    let mut names = Vec::new();
    for (number, path) in files.iter().enumerate() {
        let bytes = std::fs::read(path).map_err(InputError::file(path))?;
        let offset_s = began.get(number).copied().unwrap_or(0.0);
        let parsed = logs::read(number, &String::from_utf8_lossy(&bytes), offset_s);
        all.push(parsed.entries);
        without_time += parsed.without_time;
        let stem = path.file_stem();
        names.push(stem.map_or_else(|| number.to_string(), |name| name.to_string_lossy().into_owned()));
    }
    Ok(MergedLogs { entries: logs::merged(all), without_time, names })
}
