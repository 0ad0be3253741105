//! Printing to standard output.

use crate::format;
use coppersail_admin_socket::Answer;
use std::io::Write;

/// Prints without empty lines at the end. The reader of a pipe may have gone: that is no failure of the command.
pub(crate) fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end_matches('\n'));
}

/// Prints a director's answer, as JSON or for a person.
pub(crate) fn print_answer(answer: &Answer, json: bool) {
    if json {
        print(&serde_json::to_string(answer).unwrap_or_default());
    } else if let Some(text) = format::answer(answer) {
        print(&text);
    }
}
