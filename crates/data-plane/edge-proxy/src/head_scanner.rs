//! Scans the bytes of a request head before hyper parses them, to detect a head that contains both
//! `Content-Length` and `Transfer-Encoding`. Such a head may be an attempt at request smuggling (RFC 9112,
//! section 6.3): hyper silently uses one of the two fields, and an endpoint might use the other.

/// Length of the longest header name that the scanner looks for, including the colon.
const LONGEST_NAME: usize = "transfer-encoding:".len();

/// The state of scanning one request head.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct HeadScanner {
    /// The beginning of the current line, in lower case and without whitespace.
    line: [u8; LONGEST_NAME],
    line_length: usize,
    /// Whether a non-empty line has ended; empty lines before the first one are skipped.
    begun: bool,
    complete: bool,
    has_content_length: bool,
    has_transfer_encoding: bool,
}

impl HeadScanner {
    /// Scans the next bytes. Bytes after the end of the head are ignored.
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

    /// Whether the complete head was scanned.
    pub(crate) fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether the head specifies the body length by both header fields.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.has_content_length && self.has_transfer_encoding
    }
}

#[cfg(test)]
mod tests;
