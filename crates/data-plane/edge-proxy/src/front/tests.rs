//! Tests of the module `front`.
use super::*;

#[test]
fn two_lengths_are_seen_however_they_are_cut() {
    let head =
        b"POST / HTTP/1.1\r\nHost: a\r\nCONTENT-length: 4\r\nTransfer-Encoding : chunked\r\n\r\nTransfer";
    for cut in 0..head.len() {
        let mut scan = Scan::default();
        scan.feed(&head[..cut]);
        scan.feed(&head[cut..]);
        assert!(scan.whole && scan.doubtful());
    }
    let mut scan = Scan::default();
    scan.feed(b"\r\nGET / HTTP/1.1\r\nContent-Length: 1\r\n\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert!(scan.whole && !scan.doubtful());
}
