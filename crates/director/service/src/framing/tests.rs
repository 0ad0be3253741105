//! Tests of the module `framing`.
use super::*;
use test_case::test_case;

fn line(text: &str) -> FramedLine {
    FramedLine::Line(text.as_bytes().to_vec())
}

#[test_case(&["ab\ncd", "\n"], vec![line("ab"), line("cd")] ; "pieces")]
#[test_case(&["ab\r\n\r\n"], vec![line("ab"), line("")] ; "a CR before the end")]
#[test_case(&["abcdefg\nab\n"], vec![FramedLine::TooLong, line("ab")] ; "too long at once")]
#[test_case(&["abcdef", "gh", "ij\nab\n"], vec![FramedLine::TooLong, line("ab")] ; "too long in pieces, told once")]
#[test_case(&["abcd"], vec![] ; "no end yet")]
fn bytes_are_split_into_lines(pieces: &[&str], expected: Vec<FramedLine>) {
    let mut framer = LineFramer::new(5);
    let lines: Vec<FramedLine> = pieces.iter().flat_map(|piece| framer.push(piece.as_bytes())).collect();
    assert_eq!(lines, expected);
}

#[test]
fn a_line_that_never_ends_is_reported_once_and_not_buffered() {
    let mut framer = LineFramer::new(5);
    let reported: usize = (0..100).map(|_| framer.push(b"abc").len()).sum();
    assert_eq!((reported, framer.buffer.len()), (1, 0));
}
