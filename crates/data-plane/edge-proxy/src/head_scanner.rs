//! Scans the bytes of a request's head before hyper parses them: a head with two ways to tell the body's length is
//! request smuggling (RFC 9112, 6.3). hyper would choose one without a word, an endpoint perhaps the other.

/// The longest header name that is looked for, with its colon.
const LONGEST_NAME: usize = "transfer-encoding:".len();

/// What was seen of a head so far.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeadScanner {
    /// The beginning of the current line, in lower case and without blanks.
    line: [u8; LONGEST_NAME],
    line_length: usize,
    /// A line of the head has ended; empty lines before that are skipped.
    begun: bool,
    complete: bool,
    has_content_length: bool,
    has_transfer_encoding: bool,
}

impl HeadScanner {
    /// Scans further bytes; those after the head are ignored.
    pub(crate) fn scan(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.complete {
                return;
            }
            self.scan_byte(byte);
        }
    }

    fn scan_byte(&mut self, byte: u8) {
        match byte {
            b'\n' if self.line_length == 0 => self.complete = self.begun,
            b'\n' => (self.line_length, self.begun) = (0, true),
            b'\r' | b' ' | b'\t' => {}
            _ if self.line_length < LONGEST_NAME => {
                self.line[self.line_length] = byte.to_ascii_lowercase();
                self.line_length += 1;
                if byte == b':' {
                    let name = &self.line[..self.line_length - 1];
                    self.has_content_length |= name == b"content-length";
                    self.has_transfer_encoding |= name == b"transfer-encoding";
                }
            }
            _ => {}
        }
    }

    /// Whether all of the head was scanned.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the head tells the body's length in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.has_content_length && self.has_transfer_encoding
    }
}

#[cfg(test)]
mod tests;
