//! Each way in which a head states the length of its body, sound or not.
use coppersail_response_framing::MalformedResponse::*;
use coppersail_response_framing::{content_length, BodyFraming, MalformedResponse, ResponseHead};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version};
use test_case::test_case;

const LARGEST: &str = "18446744073709551615";
const TOO_LARGE: &str = "18446744073709551616";

/// Values of `Content-Length` and of `Transfer-Encoding`, one for each line.
type Fields<'a> = (&'a [&'a str], &'a [&'a str]);

fn headers((lengths, codings): Fields<'_>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, values) in [(CONTENT_LENGTH, lengths), (TRANSFER_ENCODING, codings)] {
        for value in values {
            headers.append(name.clone(), HeaderValue::from_str(value).unwrap());
        }
    }
    headers
}

fn framing(
    method: Method,
    status: u16,
    version: Version,
    fields: Fields<'_>,
) -> Result<BodyFraming, MalformedResponse> {
    let (headers, status) = (headers(fields), StatusCode::from_u16(status).unwrap());
    ResponseHead { status, version, headers: &headers }.body_framing(&method)
}

#[test_case((&["0"], &[]), Ok(BodyFraming::Length(0)) ; "a length of zero")]
#[test_case((&["007"], &[]), Ok(BodyFraming::Length(7)) ; "leading zeros")]
#[test_case((&[" \t7 "], &[]), Ok(BodyFraming::Length(7)) ; "optional whitespace")]
#[test_case((&["7, 7,7"], &[]), Ok(BodyFraming::Length(7)) ; "a list of equal lengths")]
#[test_case((&["7", "07"], &[]), Ok(BodyFraming::Length(7)) ; "equal lengths")]
#[test_case((&[LARGEST], &[]), Ok(BodyFraming::Length(u64::MAX)) ; "the largest length")]
#[test_case((&[], &["chunked"]), Ok(BodyFraming::Chunked) ; "chunks")]
#[test_case((&[], &["\tChunKED "]), Ok(BodyFraming::Chunked) ; "chunks in another case")]
#[test_case((&[], &[]), Ok(BodyFraming::UntilClose) ; "neither field")]
#[test_case((&[TOO_LARGE], &[]), Err(ContentLength) ; "a length that does not fit")]
#[test_case((&[""], &[]), Err(ContentLength) ; "no length")]
#[test_case((&["+7"], &[]), Err(ContentLength) ; "a positive sign")]
#[test_case((&["-7"], &[]), Err(ContentLength) ; "a negative sign")]
#[test_case((&["7 7"], &[]), Err(ContentLength) ; "two numbers")]
#[test_case((&["0x7"], &[]), Err(ContentLength) ; "a hexadecimal length")]
#[test_case((&["7,"], &[]), Err(ContentLength) ; "a list with an empty element")]
#[test_case((&["7, 8"], &[]), Err(ContentLength) ; "a list of different lengths")]
#[test_case((&["7", "8"], &[]), Err(ContentLength) ; "different lengths")]
#[test_case((&["7", "x"], &[]), Err(ContentLength) ; "a second length that is no number")]
#[test_case((&[], &[""]), Err(TransferCoding) ; "no coding")]
#[test_case((&[], &["identity"]), Err(TransferCoding) ; "another coding")]
#[test_case((&[], &["xchunked"]), Err(TransferCoding) ; "a misspelt coding")]
#[test_case((&[], &["chunked;a=b"]), Err(TransferCoding) ; "a parameter")]
#[test_case((&[], &["gzip, chunked"]), Err(TransferCoding) ; "another coding before chunks")]
#[test_case((&[], &["chunked, gzip"]), Err(TransferCoding) ; "another coding after chunks")]
#[test_case((&[], &["gzip", "chunked"]), Err(TransferCoding) ; "another coding in a line of its own")]
#[test_case((&[], &["chunked", "chunked"]), Err(TransferCoding) ; "chunks twice")]
#[test_case((&["7"], &["chunked"]), Err(LengthAndTransferCoding) ; "both fields")]
#[test_case((&["7"], &["gzip"]), Err(TransferCoding) ; "a length and another coding")]
#[test_case((&["x"], &["chunked"]), Err(ContentLength) ; "an invalid length and chunks")]
fn the_framing_of_a_body(fields: Fields<'_>, expected: Result<BodyFraming, MalformedResponse>) {
    for status in [200, 299, 404, 500, 599] {
        assert_eq!(framing(Method::GET, status, Version::HTTP_11, fields), expected, "{status}");
    }
    // The fields must be valid also where there is no body.
    for (method, status) in [(Method::HEAD, 200), (Method::GET, 304), (Method::HEAD, 304)] {
        let expected = expected.map(|_| BodyFraming::NoBody);
        assert_eq!(framing(method, status, Version::HTTP_11, fields), expected, "{status}");
    }
}

#[test]
fn http_1_0_has_no_transfer_codings() {
    let framing =
        |lengths: &[&str], codings: &[&str]| framing(Method::GET, 200, Version::HTTP_10, (lengths, codings));
    assert_eq!(framing(&["7"], &[]), Ok(BodyFraming::Length(7)));
    assert_eq!(framing(&[], &[]), Ok(BodyFraming::UntilClose));
    for coding in ["chunked", "identity", ""] {
        assert_eq!(framing(&[], &[coding]), Err(TransferCodingInHttp10));
    }
}

#[test]
fn a_status_is_100_to_599_and_some_have_no_body() {
    for status in 100..1000 {
        let framing = |fields| framing(Method::GET, status, Version::HTTP_11, fields);
        let code = StatusCode::from_u16(status).unwrap();
        let (zero, seven, chunked) =
            (framing((&["0"], &[])), framing((&["7"], &[])), framing((&[], &["chunked"])));
        let expected = match status {
            600.. => [Err(Status(code)); 3],
            100..200 | 204 => [Ok(BodyFraming::NoBody), Err(UnexpectedBody(code)), Err(UnexpectedBody(code))],
            304 => [Ok(BodyFraming::NoBody); 3],
            _ => [Ok(BodyFraming::Length(0)), Ok(BodyFraming::Length(7)), Ok(BodyFraming::Chunked)],
        };
        assert_eq!([zero, seven, chunked], expected, "{status}");
    }
}

#[test]
fn a_body_that_ends_with_its_connection_is_not_delimited() {
    let framing = |method: Method, fields| {
        let headers = headers(fields);
        let head = ResponseHead { status: StatusCode::OK, version: Version::HTTP_11, headers: &headers };
        head.delimited_body_framing(&method)
    };
    assert_eq!(framing(Method::GET, (&[], &[])), Err(UnknownEnd));
    assert_eq!(framing(Method::HEAD, (&[], &[])), Ok(BodyFraming::NoBody));
    assert_eq!(framing(Method::GET, (&["7"], &[])), Ok(BodyFraming::Length(7)));
    assert_eq!(framing(Method::GET, (&[], &["chunked"])), Ok(BodyFraming::Chunked));
    assert_eq!(framing(Method::GET, (&["x"], &[])), Err(ContentLength));
}

#[test]
fn a_repeated_length_has_one_value() {
    assert_eq!(content_length(&headers((&["7", "7, 7"], &[]))), Ok(Some(7)));
    assert_eq!(content_length(&headers((&[], &["chunked"]))), Ok(None));
}
