//! Reads the operators' file. Plain JSON is read here; a template is evaluated by `coppersail evaluate` in a process of
//! its own, which has bounds of time and memory and cannot take the director along.

use coppersail_operator_config::{sheet, Fault, Known, Sheet};
use std::path::Path;
use std::time::Duration;
use tokio::process::Command;

/// A file that takes longer is wrong; honest ones take some hundredths.
const TIME_MOST: Duration = Duration::from_secs(5);
/// Address space of the evaluation, in the shell's KiB: far more than any honest file takes.
const MEMORY_KIB: u64 = 1 << 20;
/// The file, and what it evaluates to.
const SIZE_MOST: u64 = 4 << 20;

fn fault(path: &str, expected: String) -> String {
    Fault { file: path.to_string(), line: 0, field: String::new(), expected }.to_string()
}

async fn evaluated(path: &str) -> Result<String, String> {
    let own = std::env::current_exe().map_err(|wrong| fault(path, format!("its evaluator ({wrong})")))?;
    let evaluator = own.with_file_name("coppersail");
    let script = format!("ulimit -v {MEMORY_KIB}; exec \"$0\" evaluate \"$1\"");
    let mut command = Command::new("/bin/sh");
    command.arg("-c").arg(script).arg(&evaluator).arg(path).kill_on_drop(true);
    let done = tokio::time::timeout(TIME_MOST, command.output()).await;
    let done =
        done.map_err(|_| fault(path, format!("a file that is evaluated in {} s", TIME_MOST.as_secs())))?;
    let done = done.map_err(|wrong| fault(path, format!("its evaluator to start ({wrong})")))?;
    if !done.status.success() {
        let said = String::from_utf8_lossy(&done.stderr).trim().replace('\n', "; ");
        return Err(if said.is_empty() {
            fault(path, "a file that can be evaluated within its bounds".into())
        } else {
            said
        });
    }
    String::from_utf8(done.stdout).map_err(|_| fault(path, "text".into()))
}

/// The file's settings, or all of its faults, a line each.
pub async fn read(path: &str, known: &Known) -> Result<Sheet, String> {
    let size = std::fs::metadata(path).map_err(|wrong| fault(path, format!("a file ({wrong})")))?.len();
    if size > SIZE_MOST {
        return Err(fault(path, format!("at most {SIZE_MOST} bytes")));
    }
    let source = std::fs::read_to_string(path).map_err(|wrong| fault(path, format!("a text ({wrong})")))?;
    let plain = Path::new(path).extension().is_some_and(|ending| ending == "json");
    let json = if plain { source.clone() } else { evaluated(path).await? };
    sheet(path, &source, &json, Some(known))
        .map_err(|faults| faults.iter().map(Fault::to_string).collect::<Vec<String>>().join("\n"))
}
