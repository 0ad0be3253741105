//! Splits the bytes of a connection into lines.

/// A line that a connection's bytes have completed, or one that is too long.
#[derive(Clone, Debug, PartialEq)]
pub enum FramedLine {
    /// A line without its end.
    Line(Vec<u8>),
    /// A line was longer than allowed. It is reported once, as soon as the limit is exceeded, and discarded up to its
    /// end.
    TooLong,
}

/// Buffers an incomplete line until its end arrives.
pub struct LineFramer {
    /// Maximum length of a line in bytes, without its LF; it may be changed between two lines.
    pub max_line_bytes: usize,
    buffer: Vec<u8>,
    /// The current line is too long and is discarded up to its end.
    discarding: bool,
}

impl LineFramer {
    /// Creates an empty buffer for lines of at most `max_line_bytes`.
    pub fn new(max_line_bytes: usize) -> Self {
        LineFramer { max_line_bytes, buffer: Vec::new(), discarding: false }
    }

    /// Returns the lines that `bytes` complete.
    pub fn push(&mut self, mut bytes: &[u8]) -> Vec<FramedLine> {
        std::iter::from_fn(|| self.next_line(&mut bytes)).collect()
    }

    /// Returns the next line that `bytes` complete, and leaves in `bytes` what follows it. A CR before the LF is part
    /// of the line's end.
    pub fn next_line(&mut self, bytes: &mut &[u8]) -> Option<FramedLine> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (head, rest) = (&bytes[..end], &bytes[end + 1..]);
            *bytes = rest;
            let mut line = std::mem::take(&mut self.buffer);
            if std::mem::take(&mut self.discarding) {
                continue;
            }
            if line.len() + head.len() > self.max_line_bytes {
                return Some(FramedLine::TooLong);
            }
            line.extend_from_slice(head);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Some(FramedLine::Line(line));
        }
        let rest = std::mem::take(bytes);
        if self.discarding {
            return None;
        }
        if self.buffer.len() + rest.len() > self.max_line_bytes {
            // The rest of the line is not buffered.
            self.discarding = true;
            self.buffer = Vec::new();
            return Some(FramedLine::TooLong);
        }
        self.buffer.extend_from_slice(rest);
        None
    }

    /// The bytes received so far of the current line.
    pub fn partial_line(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the current line is too long and its end has not arrived yet.
    pub fn is_discarding(&self) -> bool {
        self.discarding
    }
}

#[cfg(test)]
mod tests;
