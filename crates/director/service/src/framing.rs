//! Cuts what comes on a connection into lines.

/// A line without its end, or one that was longer than allowed and is passed over.
#[derive(Clone, Debug, PartialEq)]
pub enum Framed {
    Line(Vec<u8>),
    TooLong,
}

pub struct Framer {
    /// Most bytes in a line.
    pub most: usize,
    buffer: Vec<u8>,
    /// The rest of a line that is too long.
    passing: bool,
}

impl Framer {
    pub fn new(most: usize) -> Self {
        Framer { most, buffer: Vec::new(), passing: false }
    }

    /// The lines that `bytes` complete.
    pub fn take(&mut self, mut bytes: &[u8]) -> Vec<Framed> {
        std::iter::from_fn(|| self.next(&mut bytes)).collect()
    }

    /// The next line that `bytes` complete, which are then the rest; a CR before the LF belongs to the end.
    pub fn next(&mut self, bytes: &mut &[u8]) -> Option<Framed> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (head, rest) = (&bytes[..end], &bytes[end + 1..]);
            *bytes = rest;
            let mut line = std::mem::take(&mut self.buffer);
            if std::mem::take(&mut self.passing) {
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
        if !self.passing && self.buffer.len() + rest.len() > self.most {
            // The end will come some time; until then nothing of it is kept.
            (self.passing, self.buffer) = (true, Vec::new());
            return Some(Framed::TooLong);
        }
        if !self.passing {
            self.buffer.extend_from_slice(rest);
        }
        None
    }

    /// The line begun.
    pub fn line(&self) -> &[u8] {
        &self.buffer
    }

    /// It was longer than allowed, and goes on.
    pub fn passing(&self) -> bool {
        self.passing
    }
}

#[cfg(test)]
mod tests;
