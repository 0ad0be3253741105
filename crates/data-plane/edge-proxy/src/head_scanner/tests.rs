//! Tests with request heads that specify the body length by two header fields.
use super::*;

#[test]
fn two_body_lengths_are_detected_wherever_the_head_is_split() {
    let head =
        b"POST / HTTP/1.1\r\nHost: a\r\nCONTENT-length: 4\r\nTransfer-Encoding : chunked\r\n\r\nTransfer";
    for split in 0..head.len() {
        let mut scanner = HeadScanner::default();
        scanner.scan(&head[..split]);
        scanner.scan(&head[split..]);
        assert!(scanner.is_complete() && scanner.is_ambiguous());
    }
    let mut scanner = HeadScanner::default();
    scanner.scan(b"\r\nGET / HTTP/1.1\r\nContent-Length: 1\r\n\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert!(scanner.is_complete() && !scanner.is_ambiguous());
}
