//! The relay's answers to calls.

/// The answer to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The first orders of the call were applied, this many.
    Applied(usize),
    /// The whole call was rejected because of throttling and may be sent again later.
    Throttled,
    /// The relay could not parse the call.
    Invalid,
    /// The line is not a known answer.
    Unreadable,
}

impl Answer {
    /// Parses one line. Errors are recognized by a whole word anywhere in the line.
    pub fn parse(line: &[u8]) -> Self {
        let Ok(text) = std::str::from_utf8(line) else {
            return Answer::Unreadable;
        };
        let applied = text.strip_prefix("OK ").and_then(|count| count.trim().parse().ok());
        if let Some(count) = applied {
            return Answer::Applied(count);
        }
        if contains_word(text, "Throttling") {
            return Answer::Throttled;
        }
        if contains_word(text, "ValidationError") {
            return Answer::Invalid;
        }
        Answer::Unreadable
    }
}

fn contains_word(text: &str, expected: &str) -> bool {
    text.split(|character: char| !character.is_ascii_alphabetic()).any(|word| word == expected)
}
