//! What a process has used, as `/proc/PID/stat` and `/proc/PID/status` report it (proc(5)).

/// The kernel reports processor time to user space in hundredths of a second, whatever its own tick is.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `stat` between the program's name and `utime`, which `stime` follows.
const FIELDS_BEFORE_UTIME: usize = 11;
const KB_PER_MB: f64 = 1024.0;

/// Processor time and memory of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time since its start, user and system, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MB.
    pub resident_mb: f64,
    /// The highest resident memory since its start, in MB.
    pub peak_resident_mb: f64,
}

/// A text of `/proc` without a field that is needed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UsageError {
    /// `stat` has no processor times where they are expected.
    #[error("no processor times in {stat:?}")]
    ProcessorTime {
        /// The text that was read.
        stat: String,
    },
    /// `status` has no such field with a number.
    #[error("no number for {field} in the status")]
    Memory {
        /// The field's name.
        field: &'static str,
    },
}

impl ProcessUsage {
    /// Parses the texts of `/proc/PID/stat` and `/proc/PID/status`.
    ///
    /// # Errors
    /// A field is missing or no number.
    pub fn parse(stat: &str, status: &str) -> Result<ProcessUsage, UsageError> {
        let cpu_seconds =
            cpu_seconds(stat).ok_or_else(|| UsageError::ProcessorTime { stat: stat.to_string() })?;
        let memory_mb = |field: &'static str| memory_mb(status, field).ok_or(UsageError::Memory { field });
        Ok(ProcessUsage {
            cpu_seconds,
            resident_mb: memory_mb("VmRSS")?,
            peak_resident_mb: memory_mb("VmHWM")?,
        })
    }
}

fn cpu_seconds(stat: &str) -> Option<f64> {
    // The program's name may contain spaces and brackets; what follows it does not.
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(FIELDS_BEFORE_UTIME);
    let mut ticks = || fields.next()?.parse::<f64>().ok();
    Some((ticks()? + ticks()?) / TICKS_PER_SECOND)
}

fn memory_mb(status: &str, field: &str) -> Option<f64> {
    let value = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kilobytes = value.trim_start_matches(':').split_whitespace().next()?;
    Some(kilobytes.parse::<f64>().ok()? / KB_PER_MB)
}
