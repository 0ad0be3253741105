//! Splits the bytes of a connection into lines.

/// What a connection's bytes have completed.
#[derive(Clone, Debug, PartialEq)]
pub enum Framed {
    /// A line without its end.
    Line(Vec<u8>),
    /// A line was longer than allowed. It is reported once, as soon as this is known, and discarded to its end.
    TooLong,
}

/// Buffers an incomplete line until its end comes.
pub struct Framer {
    /// Most bytes in a line, without its LF; it may change between two lines.
    pub most: usize,
    buffer: Vec<u8>,
    /// The current line is too long: it is discarded to its end.
    discarding: bool,
}

impl Framer {
    /// An empty buffer for lines of `most` bytes at most.
    pub fn new(most: usize) -> Self {
        Framer { most, buffer: Vec::new(), discarding: false }
    }

    /// The lines that `bytes` complete.
    pub fn take(&mut self, mut bytes: &[u8]) -> Vec<Framed> {
        std::iter::from_fn(|| self.next(&mut bytes)).collect()
    }

    /// The next line that `bytes` complete; `bytes` is then what follows it. A CR before the LF belongs to the end.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Option<Framed> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (head, rest) = (&bytes[..end], &bytes[end + 1..]);
            *bytes = rest;
            let mut line = std::mem::take(&mut self.buffer);
            if std::mem::take(&mut self.discarding) {
                continue;
            }
            if line.len() + head.len() > self.most {
                return Some(Framed::TooLong);
            }
            line.extend_from_slice(head);
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Some(Framed::Line(line));
        }
        let rest = std::mem::take(bytes);
        if self.discarding {
            return None;
        }
        if self.buffer.len() + rest.len() > self.most {
            // Nothing of the line is kept until its end comes.
            self.discarding = true;
            self.buffer = Vec::new();
            return Some(Framed::TooLong);
        }
        self.buffer.extend_from_slice(rest);
        None
    }

    /// What has come of the current line.
    pub fn line(&self) -> &[u8] {
        &self.buffer
    }

    /// Whether the current line is longer than allowed and goes on.
    pub fn passing(&self) -> bool {
        self.discarding
    }
}

#[cfg(test)]
mod tests;
