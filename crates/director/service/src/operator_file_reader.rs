//! Reads the operators' file.
//!
//! Plain JSON is parsed here. A template is evaluated by `coppersail evaluate` in a child process with limits of time
//! and memory, so that a faulty template cannot take the director down.

use coppersail_operator_config::{read_operator_file, Fault, OperatorFile, SettingsNames};
use std::fmt::{Arguments, Write as _};
use std::io;
use std::path::Path;
use std::process::Output;
use std::string::FromUtf8Error;
use std::time::Duration;
use tokio::process::Command;

/// A valid file is evaluated in some hundredths of a second; one that takes longer is treated as faulty.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of the evaluator's address space, in KiB as `ulimit -v` takes it: far more than any valid file needs.
const EVALUATION_MEMORY_KIB: u64 = 1 << 20;
/// Maximum size of the file, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// The program that evaluates templates, in the same directory as the director's.
const EVALUATOR: &str = "coppersail";
const JSON_EXTENSION: &str = "json";

/// Why the operators' file cannot be used. The texts have the form of a [`Fault`] that concerns the whole file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorFileError {
    /// The file does not exist, or its metadata cannot be read.
    #[error("{}", whole_file_fault(path, format_args!("a file ({source})")))]
    NotFound {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// It is longer than [`MAX_FILE_BYTES`].
    #[error("{}", whole_file_fault(path, format_args!("at most {MAX_FILE_BYTES} bytes")))]
    TooLarge {
        /// The file.
        path: String,
    },
    /// It cannot be read as UTF-8.
    #[error("{}", whole_file_fault(path, format_args!("a text ({source})")))]
    NotText {
        /// The file.
        path: String,
        /// The error of reading it.
        source: io::Error,
    },
    /// The path of the director's program is unknown, and with it that of the evaluator.
    #[error("{}", whole_file_fault(path, format_args!("its evaluator ({source})")))]
    NoEvaluator {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The shell that runs the evaluator cannot be started or waited for.
    #[error("{}", whole_file_fault(path, format_args!("its evaluator to start ({source})")))]
    EvaluatorNotStarted {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The evaluation took longer than [`EVALUATION_TIMEOUT`].
    #[error("{}", whole_file_fault(
        path,
        format_args!("a file that is evaluated in {} s", EVALUATION_TIMEOUT.as_secs()),
    ))]
    EvaluationTimeout {
        /// The file.
        path: String,
    },
    /// The evaluator failed without a message, as it does when it is out of memory.
    #[error("{}", whole_file_fault(path, format_args!("a file that can be evaluated within its bounds")))]
    EvaluationAborted {
        /// The file.
        path: String,
    },
    /// The evaluator reported an error in the file.
    #[error("{message}")]
    EvaluationFailed {
        /// The evaluator's message, on one line.
        message: String,
    },
    /// The evaluation's result is not UTF-8.
    #[error("{}", whole_file_fault(path, format_args!("text")))]
    ResultNotText {
        /// The file.
        path: String,
        /// The error, which tells the position of the first invalid byte.
        source: FromUtf8Error,
    },
    /// Some of its fields are invalid.
    #[error("{}", one_per_line(faults))]
    Invalid {
        /// All invalid fields.
        faults: Vec<Fault>,
    },
}

fn whole_file_fault(path: &str, expected: Arguments<'_>) -> Fault {
    Fault { file: path.to_string(), line: 0, field: String::new(), expected: expected.to_string() }
}

fn one_per_line(faults: &[Fault]) -> String {
    let mut text = String::new();
    for (index, fault) in faults.iter().enumerate() {
        let separator = if index > 0 { "\n" } else { "" };
        let _ = write!(text, "{separator}{fault}");
    }
    text
}

/// Reads the file; `known` are the names that it may refer to. The error's text has one line for each fault.
pub(crate) async fn read(path: &str, known: &SettingsNames) -> Result<OperatorFile, OperatorFileError> {
    let metadata = std::fs::metadata(path);
    let metadata =
        metadata.map_err(|source| OperatorFileError::NotFound { path: path.to_string(), source })?;
    if metadata.len() > MAX_FILE_BYTES {
        return Err(OperatorFileError::TooLarge { path: path.to_string() });
    }
    let source = std::fs::read_to_string(path);
    let source = source.map_err(|source| OperatorFileError::NotText { path: path.to_string(), source })?;
    let is_plain_json = Path::new(path).extension().is_some_and(|extension| extension == JSON_EXTENSION);
    let json = if is_plain_json { source.clone() } else { evaluate(path).await? };
    read_operator_file(path, &source, &json, Some(known))
        .map_err(|faults| OperatorFileError::Invalid { faults })
}

/// Evaluates the template and returns the resulting JSON.
async fn evaluate(path: &str) -> Result<String, OperatorFileError> {
    let output = run_evaluator(path).await?;
    if output.status.success() {
        let text = String::from_utf8(output.stdout);
        return text.map_err(|source| OperatorFileError::ResultNotText { path: path.to_string(), source });
    }
    let message = String::from_utf8_lossy(&output.stderr).trim().replace('\n', "; ");
    if message.is_empty() {
        return Err(OperatorFileError::EvaluationAborted { path: path.to_string() });
    }
    Err(OperatorFileError::EvaluationFailed { message })
}

/// Runs the evaluator within its limits of time and memory, and returns its output.
async fn run_evaluator(path: &str) -> Result<Output, OperatorFileError> {
    let own_program = std::env::current_exe()
        .map_err(|source| OperatorFileError::NoEvaluator { path: path.to_string(), source })?;
    let evaluator = own_program.with_file_name(EVALUATOR);
    let script = format!("ulimit -v {EVALUATION_MEMORY_KIB}; exec \"$0\" evaluate \"$1\"");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(script).arg(&evaluator).arg(path).kill_on_drop(true);
    let output = tokio::time::timeout(EVALUATION_TIMEOUT, command.output()).await;
    let output = output.map_err(|_| OperatorFileError::EvaluationTimeout { path: path.to_string() })?;
    output.map_err(|source| OperatorFileError::EvaluatorNotStarted { path: path.to_string(), source })
}

#[cfg(test)]
mod tests;
