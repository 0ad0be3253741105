//! Splits the bytes of a connection into lines.

/// What a connection's bytes have completed.
#[derive(Clone, Debug, PartialEq)]
pub enum FramedLine {
    /// A line without its end.
    Line(Vec<u8>),
    /// A line was longer than allowed. It is reported once, as soon as this is known, and discarded to its end.
    TooLong,
}

/// Buffers an incomplete line until its end comes.
pub struct LineFramer {
    /// Most bytes in a line, without its LF; it may change between two lines.
    pub max_line_bytes: usize,
    buffer: Vec<u8>,
    /// The current line is too long: it is discarded to its end.
    discarding: bool,
}

impl LineFramer {
    /// An empty buffer for lines of `most` bytes at most.
    pub fn new(most: usize) -> Self {
        LineFramer { max_line_bytes: most, buffer: Vec::new(), discarding: false }
    }

    /// The lines that `bytes` complete.
    pub fn push(&mut self, mut bytes: &[u8]) -> Vec<FramedLine> {
        std::iter::from_fn(|| self.next_line(&mut bytes)).collect()
    }

    /// The next line that `bytes` complete; `bytes` is then what follows it. A CR before the LF belongs to the end.
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
            // Nothing of the line is kept until its end comes.
            self.discarding = true;
            self.buffer = Vec::new();
            return Some(FramedLine::TooLong);
        }
        self.buffer.extend_from_slice(rest);
        None
    }

    /// What has come of the current line.
    pub fn partial_line(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the current line is longer than allowed and goes on.
    pub fn is_discarding(&self) -> bool {
        self.discarding
    }
}

#[cfg(test)]
mod tests;
