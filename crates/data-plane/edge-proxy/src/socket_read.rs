//! Reads from a socket for hyper and passes the bytes to an observer first.
use hyper::rt::ReadBufCursor;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes per read; most responses are shorter.
const READ_SIZE: usize = 8 * 1024;

/// Reads the available bytes into hyper's buffer, after passing them to `observe`.
pub(crate) fn poll_read_observed(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    mut cursor: ReadBufCursor<'_>,
    observe: impl FnOnce(&[u8]),
) -> Poll<io::Result<()>> {
    let mut bytes = [0; READ_SIZE];
    let limit = cursor.remaining().min(READ_SIZE);
    let mut read = ReadBuf::new(&mut bytes[..limit]);
    ready!(Pin::new(stream).poll_read(cx, &mut read))?;
    observe(read.filled());
    cursor.put_slice(read.filled());
    Poll::Ready(Ok(()))
}
