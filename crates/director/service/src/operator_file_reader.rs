//! Reads the operators' file.
//!
//! Plain JSON is read here. A template is evaluated by `coppersail evaluate` in a process of its own, which has limits
//! of time and memory and cannot take the director down with it.

use coppersail_operator_config::{read_operator_file, Fault, OperatorFile, SettingsNames};
use std::fmt::{Arguments, Write as _};
use std::io;
use std::path::Path;
use std::process::Output;
use std::string::FromUtf8Error;
use std::time::Duration;
use tokio::process::Command;

/// A file that takes longer is wrong; honest ones take some hundredths of a second.
const EVALUATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Address space of the evaluation, in the shell's KiB: far more than any honest file takes.
const EVALUATION_MEMORY_KIB: u64 = 1 << 20;
/// Of the file, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;
/// A program beside the director's own.
const EVALUATOR: &str = "coppersail";
const JSON_EXTENSION: &str = "json";

/// Why the operators' file cannot be used. The texts have the form of a [`Fault`] of the whole file.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorFileError {
    /// There is no file, or it may not be looked at.
    #[error("{}", whole_file_fault(path, format_args!("a file ({source})")))]
    NotFound {
        /// The file.
        path: String,
        /// What the operating system answered.
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
        /// What reading it failed with.
        source: io::Error,
    },
    /// Where the director's own program is, and so its evaluator, is unknown.
    #[error("{}", whole_file_fault(path, format_args!("its evaluator ({source})")))]
    NoEvaluator {
        /// The file.
        path: String,
        /// What the operating system answered.
        source: io::Error,
    },
    /// The shell that runs the evaluator cannot be started or waited for.
    #[error("{}", whole_file_fault(path, format_args!("its evaluator to start ({source})")))]
    EvaluatorNotStarted {
        /// The file.
        path: String,
        /// What the operating system answered.
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
    /// The evaluator ended without a word, as it does when it is out of memory.
    #[error("{}", whole_file_fault(path, format_args!("a file that can be evaluated within its bounds")))]
    EvaluationAborted {
        /// The file.
        path: String,
    },
    /// The evaluator found the file to be wrong.
    #[error("{message}")]
    EvaluationFailed {
        /// What it printed, on one line.
        message: String,
    },
    /// The evaluation's result is not UTF-8.
    #[error("{}", whole_file_fault(path, format_args!("text")))]
    ResultNotText {
        /// The file.
        path: String,
        /// Where the first bad byte is.
        source: FromUtf8Error,
    },
    /// Its fields are wrong.
    #[error("{}", one_per_line(faults))]
    Invalid {
        /// All of them.
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

/// The file's settings, or all of its faults, a line each. `known` is what they may refer to.
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

/// The JSON that the template evaluates to.
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

/// What the evaluator has printed, within its limits of time and memory.
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
