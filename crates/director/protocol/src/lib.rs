//! The messages of the sockets, read and written without I/O: what collectors say, calls to the relay and its news,
//! discovery's lists, load reports, the configuration. Their names end here. Only needed fields are parsed.

pub mod collector;
pub mod config;
pub mod discovery;
pub mod load;
pub mod relay;

/// What could not be used of a message, in words for one log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault(pub String);

impl Fault {
    fn missing(field: &str) -> Self {
        Fault(format!("field {field}: missing"))
    }

    fn odd(field: &str, expected: &str) -> Self {
        Fault(format!("field {field}: expected {expected}"))
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<serde_json::Error> for Fault {
    fn from(wrong: serde_json::Error) -> Self {
        // The text may quote the input, whose length nobody vouches for.
        Fault(wrong.to_string().chars().take(200).collect())
    }
}

/// A figure that counts or weighs something.
fn sound(value: f64, field: &str) -> Result<f64, Fault> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(Fault::odd(field, "a number of 0 or more"))
    }
}
