//! Raw HTTP/1.1 responses for tests of everything that reads responses: malformed ones, and well-formed ones of every
//! framing (RFC 9112, sections 4 to 6).
use std::fmt;

const STATUS_LINE: &str = "HTTP/1.1 200 OK";
/// Stand for the length of the body in the tables, in decimal and in hexadecimal.
const LENGTH: &str = "{length}";
const HEX_LENGTH: &str = "{hex}";
const SOUND_LENGTH: &str = "Content-Length: {length}\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
/// Size (bytes) of the chunks of a long body.
const CHUNK_SIZE: usize = 50_000;

/// Header lines that do not state the length of the body unambiguously. The body is sent without chunks.
const SPOILT_LENGTHS: [&str; 21] = [
    "Content-Length:\r\n",
    "Content-Length: many\r\n",
    "Content-Length: +{length}\r\n",
    "Content-Length: -{length}\r\n",
    "Content-Length: 0x{hex}\r\n",
    "Content-Length: {length}.0\r\n",
    "Content-Length: {length} 1\r\n",
    "Content-Length: {length};\r\n",
    "Content-Length: \"{length}\"\r\n",
    "Content-Length: {length},\r\n",
    "Content-Length: {length}, 5\r\n",
    "Content-Length: 5\r\nContent-Length: {length}\r\n",
    "Content-Length: {length}\r\nContent-Length: \r\n",
    "Content-Length: 184467440737095516{length}\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Content-Length: {length}\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\nContent-Length: {length}\r\n",
];

/// Header lines that do not state unambiguously that the body is sent in chunks, which it is.
const SPOILT_CHUNKED: [&str; 13] = [
    "Transfer-Encoding: chunke\r\n",
    "Transfer-Encoding: chunked;q=1\r\n",
    "Transfer-Encoding: \"chunked\"\r\n",
    "Transfer-Encoding: chunked x\r\n",
    "Transfer-Encoding: chunked,\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
    "Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: many\r\n",
];

/// Lines that are no header field.
const SPOILT_LINES: [&str; 20] = [
    "no field at all\r\n",
    "nofield\r\n",
    ": no name\r\n",
    ":\r\n",
    "\x16\x03\x01\r\n",
    "Content Length: 5\r\n",
    "Content-Length : 5\r\n",
    "Content-Length\t: 5\r\n",
    "Content-Length\r\n",
    "X Name: 1\r\n",
    "X-Name : 1\r\n",
    "X\x01Name: 1\r\n",
    "X-\0: 1\r\n",
    "X\x7fName: 1\r\n",
    "X-N\u{e4}me: 1\r\n",
    "X(Name): 1\r\n",
    " X-Name: 1\r\n",
    "X-Name: 1\r\n folded\r\n",
    "X-Name: a\0b\r\n",
    "X-Name: a\rContent-Length: 5\r\n",
];

/// Status lines that are invalid, or whose status code is.
const SPOILT_STATUS_LINES: [&str; 18] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 001 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 777 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 2x0 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 200 O\x01K",
    "HTTP/1.2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
    "http/1.1 200 OK",
    "200 OK",
];

/// Header lines of a well-formed response without chunks.
const SOUND_LENGTHS: [&str; 8] = [
    "Content-Length: {length}\r\n",
    "content-length:{length}\r\n",
    "CONTENT-LENGTH: \t{length} \t\r\n",
    "Content-Length: 00{length}\r\n",
    "Content-Length: {length}, {length}\r\n",
    "Content-Length: {length}\r\nContent-Length: {length}\r\n",
    "X-Empty:\r\nContent-Length: {length}\r\nX-Text: \u{e4}\r\n",
    "Content-Length: {length}\r\nX-Names: Transfer-Encoding: gzip\r\n",
];

/// Header lines of a well-formed response in chunks.
const SOUND_CHUNKED: [&str; 4] = [
    "Transfer-Encoding: chunked\r\n",
    "transfer-encoding:Chunked \r\n",
    "TRANSFER-ENCODING: \tCHUNKED\r\n",
    "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n",
];

/// Status lines of well-formed responses that have a body.
const SOUND_STATUS_LINES: [&str; 5] = [
    "HTTP/1.1 200 ",
    "HTTP/1.1 200",
    "HTTP/1.1 200 Fine \u{e4}",
    "HTTP/1.0 200 OK",
    "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK",
];

/// A response, to which a test adds further header fields.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawResponse {
    /// The status line without its end, after interim responses if there are any.
    pub status_line: String,
    /// Complete header lines.
    pub fields: String,
    /// The body as it is sent.
    pub body: String,
}

impl RawResponse {
    /// A response with a body that is sent without chunks. In `fields`, `{length}` stands for the body's length.
    pub fn plain(status_line: &str, fields: &str, body: &str) -> RawResponse {
        let length = body.len();
        let fields = fields.replace(LENGTH, &length.to_string()).replace(HEX_LENGTH, &format!("{length:x}"));
        RawResponse { status_line: status_line.into(), fields, body: body.into() }
    }

    /// A response with a body that is sent in chunks.
    pub fn chunked(status_line: &str, fields: &str, body: &str) -> RawResponse {
        RawResponse { body: in_chunks(body), ..RawResponse::plain(status_line, fields, body) }
    }

    /// The bytes of the response. `more_fields` are complete header lines, which go first.
    pub fn to_bytes(&self, more_fields: &str) -> Vec<u8> {
        let RawResponse { status_line, fields, body } = self;
        format!("{status_line}\r\n{more_fields}{fields}\r\n{body}").into_bytes()
    }
}

/// Names the response in the message of a failed test.
impl fmt::Display for RawResponse {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:?} {:?}, {} bytes", self.status_line, self.fields, self.body.len())
    }
}

/// The body in chunks, with the last one.
pub fn in_chunks(body: &str) -> String {
    let mut framed = String::new();
    for chunk in body.as_bytes().chunks(CHUNK_SIZE) {
        framed += &format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk));
    }
    framed + "0\r\n\r\n"
}

/// Responses with this ASCII body that are not well-formed, or do not state unambiguously where the body ends.
pub fn malformed(body: &str) -> Vec<RawResponse> {
    let plain = |line: &str, fields: &str| RawResponse::plain(line, fields, body);
    let chunked = |line: &str, fields: &str| RawResponse::chunked(line, fields, body);
    let mut responses = Vec::new();
    responses.extend(SPOILT_LENGTHS.map(|fields| plain(STATUS_LINE, fields)));
    responses.extend(SPOILT_CHUNKED.map(|fields| chunked(STATUS_LINE, fields)));
    for line in SPOILT_LINES {
        responses.push(plain(STATUS_LINE, &(SOUND_LENGTH.to_string() + line)));
        responses.push(plain(STATUS_LINE, &(line.to_string() + SOUND_LENGTH)));
    }
    responses.extend(SPOILT_STATUS_LINES.map(|line| plain(line, SOUND_LENGTH)));
    responses.push(chunked("HTTP/1.0 200 OK", CHUNKED));
    responses.push(plain("HTTP/1.0 200 OK", "Transfer-Encoding: identity\r\n"));
    // A body where the status allows none.
    responses.push(plain("HTTP/1.1 204 No Content", SOUND_LENGTH));
    responses.push(chunked("HTTP/1.1 204 No Content", CHUNKED));
    responses.push(plain("HTTP/1.1 100 Continue", SOUND_LENGTH));
    responses.push(chunked("HTTP/1.1 103 Early Hints", CHUNKED));
    responses
}

/// Responses whose body ends with the connection. They are well-formed, but a truncated body cannot be told from a
/// complete one.
pub fn ending_with_connection(body: &str) -> Vec<RawResponse> {
    ["HTTP/1.1 200 OK", "HTTP/1.0 200 OK"]
        .map(|line| RawResponse::plain(line, "X-Length: {length}\r\n", body))
        .into()
}

/// Responses with status 200 and this ASCII body that are well-formed and state where the body ends.
pub fn well_formed(body: &str) -> Vec<RawResponse> {
    let mut responses = Vec::new();
    responses.extend(SOUND_LENGTHS.map(|fields| RawResponse::plain(STATUS_LINE, fields, body)));
    responses.extend(SOUND_CHUNKED.map(|fields| RawResponse::chunked(STATUS_LINE, fields, body)));
    responses.extend(SOUND_STATUS_LINES.map(|line| RawResponse::plain(line, SOUND_LENGTH, body)));
    responses
}
