//! Decides whether the head of an HTTP/1.1 response is well-formed, and how its body is framed (RFC 9112, sections 6
//! and 6.3).
//!
//! The HTTP libraries reject heads that they cannot parse: lines that are not header fields, field names with
//! whitespace or control characters, and status lines of another form. They are lenient about the fields that frame the
//! body, each in its own way, so that every reader of responses checks the parsed head here. A response with an
//! error is not an answer: the request may have been processed, and the connection cannot be used again, because it is
//! unknown where the response ends.
//!
//! ```
//! use coppersail_response_framing::{BodyFraming, MalformedResponse, ResponseHead};
//! use http::{header::TRANSFER_ENCODING, HeaderMap, HeaderValue, Method, StatusCode, Version};
//!
//! let framing = |coding| {
//!     let mut headers = HeaderMap::new();
//!     headers.insert(TRANSFER_ENCODING, HeaderValue::from_static(coding));
//!     let head = ResponseHead { status: StatusCode::OK, version: Version::HTTP_11, headers: &headers };
//!     head.body_framing(&Method::GET)
//! };
//! assert_eq!(framing("chunked"), Ok(BodyFraming::Chunked));
//! assert_eq!(framing("gzip, chunked"), Err(MalformedResponse::TransferCoding));
//! ```
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, Version};

/// The largest valid status code (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// The one transfer coding that is supported. Other codings would have to be removed from the body, and are sent only
/// to recipients that ask for them.
const CHUNKED: &str = "chunked";

/// How the end of a response's body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The response has no body, because of its status or of the request's method.
    NoBody,
    /// The body has this number of bytes.
    Length(u64),
    /// The body consists of chunks, of which the last one is empty.
    Chunked,
    /// The body ends with the connection, so that a truncated one cannot be told from a complete one.
    UntilClose,
}

/// Why a response is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedResponse {
    /// The status code is out of range.
    #[error("status {0}, expected 100 to 599")]
    Status(StatusCode),
    /// The length is not a number, does not fit into 64 bits, or occurs with different values.
    #[error("invalid Content-Length")]
    ContentLength,
    /// The transfer coding is not exactly "chunked".
    #[error("unsupported Transfer-Encoding")]
    TransferCoding,
    /// HTTP/1.0 has no transfer codings.
    #[error("Transfer-Encoding in HTTP/1.0")]
    TransferCodingInHttp10,
    /// The two fields contradict each other about the end of the body.
    #[error("both Content-Length and Transfer-Encoding")]
    LengthAndTransferCoding,
    /// The body ends with the connection, and the reader needs to know whether it is complete.
    #[error("neither Content-Length nor Transfer-Encoding")]
    UnknownEnd,
    /// The status does not allow a body, and the head states that there is one.
    #[error("a body with status {0}")]
    UnexpectedBody(StatusCode),
}

/// The head of a response, as an HTTP library has parsed it.
#[derive(Debug, Clone, Copy)]
pub struct ResponseHead<'a> {
    /// The status code.
    pub status: StatusCode,
    /// The version of the message.
    pub version: Version,
    /// All header fields, unchanged.
    pub headers: &'a HeaderMap,
}

impl<'a, B> From<&'a Response<B>> for ResponseHead<'a> {
    fn from(response: &'a Response<B>) -> ResponseHead<'a> {
        ResponseHead { status: response.status(), version: response.version(), headers: response.headers() }
    }
}

impl ResponseHead<'_> {
    /// Checks the head of the response to a request with this method, which is not CONNECT, and returns how its body
    /// is framed.
    ///
    /// # Errors
    /// When the head is not well-formed or does not state unambiguously where the body ends. The fields about the
    /// length are checked also if there is no body.
    pub fn body_framing(&self, method: &Method) -> Result<BodyFraming, MalformedResponse> {
        if self.status.as_u16() > MAX_STATUS {
            return Err(MalformedResponse::Status(self.status));
        }
        let length = content_length(self.headers)?;
        let chunked = self.is_chunked()?;
        if chunked && self.headers.contains_key(CONTENT_LENGTH) {
            return Err(MalformedResponse::LengthAndTransferCoding);
        }
        if self.status.is_informational() || self.status == StatusCode::NO_CONTENT {
            // These responses have no fields about a body (RFC 9110, section 8.6). A length of 0 does no harm.
            let is_empty = !chunked && length.unwrap_or(0) == 0;
            return is_empty
                .then_some(BodyFraming::NoBody)
                .ok_or(MalformedResponse::UnexpectedBody(self.status));
        }
        if method == Method::HEAD || self.status == StatusCode::NOT_MODIFIED {
            // The fields describe the body that a response to GET would have.
            return Ok(BodyFraming::NoBody);
        }
        Ok(match length {
            _ if chunked => BodyFraming::Chunked,
            Some(length) => BodyFraming::Length(length),
            None => BodyFraming::UntilClose,
        })
    }

    /// [`ResponseHead::body_framing`] for a reader that must tell a truncated body from a complete one.
    ///
    /// # Errors
    /// As [`ResponseHead::body_framing`], and [`MalformedResponse::UnknownEnd`] instead of
    /// [`BodyFraming::UntilClose`].
    pub fn delimited_body_framing(&self, method: &Method) -> Result<BodyFraming, MalformedResponse> {
        match self.body_framing(method)? {
            BodyFraming::UntilClose => Err(MalformedResponse::UnknownEnd),
            framing => Ok(framing),
        }
    }

    /// Whether the body is sent in chunks.
    fn is_chunked(&self) -> Result<bool, MalformedResponse> {
        let mut codings = self.headers.get_all(TRANSFER_ENCODING).iter();
        let Some(coding) = codings.next() else { return Ok(false) };
        if self.version < Version::HTTP_11 {
            return Err(MalformedResponse::TransferCodingInHttp10);
        }
        let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED.as_bytes());
        if is_chunked && codings.next().is_none() {
            Ok(true)
        } else {
            Err(MalformedResponse::TransferCoding)
        }
    }
}

/// The value of `Content-Length`, if the field is present. It may be repeated with the same value (RFC 9110, section
/// 8.6); a sender that passes such a message on must state the value once.
///
/// # Errors
/// [`MalformedResponse::ContentLength`].
pub fn content_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedResponse> {
    let mut length = None;
    for text in headers.get_all(CONTENT_LENGTH).iter().flat_map(list_elements) {
        let value = parse_length(text).ok_or(MalformedResponse::ContentLength)?;
        if length.is_some_and(|length| length != value) {
            return Err(MalformedResponse::ContentLength);
        }
        length = Some(value);
    }
    Ok(length)
}

fn list_elements(value: &HeaderValue) -> impl Iterator<Item = &[u8]> {
    value.as_bytes().split(|byte| *byte == b',').map(<[u8]>::trim_ascii)
}

/// Parses decimal digits; a sign, which `u64::from_str` accepts, is an error.
fn parse_length(text: &[u8]) -> Option<u64> {
    let digits = text.iter().all(u8::is_ascii_digit).then_some(text)?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
