//! The listener for clients: heads are checked before they are read as requests, idle and slow connections end.
use crate::conns::READ_SIZE;
use crate::edge::{Edge, Stay};
use crate::{pass, reply};
use hyper::body::Incoming;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

/// hyper takes no smaller buffer.
const LEAST_BUFFER: usize = 8192;
/// Descriptors that are no connections: hosts' are at most half, listeners and the rest are few.
const SPARE_FILES: u64 = 200;

/// How often a connection is looked at while the process only waits for its end.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Phase {
    /// Between requests.
    Idle,
    /// A head has begun.
    Head,
    /// A request is under way.
    Busy,
}

/// What is known of a connection outside of hyper.
pub struct Watch {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    scan: RefCell<Scan>,
}

impl Watch {
    fn new() -> Rc<Watch> {
        Rc::new(Watch {
            phase: Cell::new(Phase::Head),
            since: Cell::new(Instant::now()),
            scan: RefCell::default(),
        })
    }

    fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    fn read(&self, bytes: &[u8]) {
        if self.phase.get() == Phase::Busy {
            return;
        }
        if self.phase.get() == Phase::Idle && !bytes.is_empty() {
            self.turn(Phase::Head);
        }
        self.scan.borrow_mut().feed(bytes);
    }

    fn begin(&self) -> Scan {
        self.turn(Phase::Busy);
        self.scan.take()
    }
}

/// Dropped when an answer has been handed over whole, or given up.
pub struct Done(Rc<Watch>);

impl Drop for Done {
    fn drop(&mut self) {
        self.0.turn(Phase::Idle);
    }
}

/// Looks for two ways to tell a body's length in one head: hyper would quietly choose one, a host perhaps the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct Scan {
    line: [u8; 18],
    used: usize,
    begun: bool,
    pub whole: bool,
    length: bool,
    coding: bool,
}

impl Scan {
    pub fn feed(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if self.whole {
                return;
            }
            match byte {
                b'\n' if self.used == 0 => self.whole = self.begun,
                b'\n' => (self.used, self.begun) = (0, true),
                b'\r' | b' ' | b'\t' => {}
                _ if self.used < self.line.len() => {
                    self.line[self.used] = byte.to_ascii_lowercase();
                    self.used += 1;
                    if byte == b':' {
                        let name = &self.line[..self.used - 1];
                        self.length |= name == b"content-length";
                        self.coding |= name == b"transfer-encoding";
                    }
                }
                _ => {}
            }
        }
    }

    pub fn doubtful(&self) -> bool {
        self.length && self.coding
    }
}

/// A client's socket as hyper sees it.
struct Line {
    stream: TcpStream,
    watch: Rc<Watch>,
}

impl Read for Line {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_SIZE];
        let most = cursor.remaining().min(READ_SIZE);
        let mut read = ReadBuf::new(&mut bytes[..most]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.watch.read(read.filled());
        cursor.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Line {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

pub fn listen(address: &str) -> eyre::Result<TcpListener> {
    let address: SocketAddr = address.parse()?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    // A full queue costs a client seconds; a waiting connection costs next to nothing.
    Ok(socket.listen(1024)?)
}

/// Takes connections until the process stops taking them.
pub async fn accept(edge: Rc<Edge>, listener: TcpListener) {
    let mut stay = edge.stay.subscribe();
    loop {
        let taken = tokio::select! {
            taken = listener.accept() => taken,
            _ = stay.wait_for(|stay| *stay == Stay::Closing) => return,
        };
        let Ok((stream, from)) = taken else {
            // Out of descriptors, as a rule: others must end first.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let most = edge.boot.borrow().open_files.saturating_sub(SPARE_FILES) / 2;
        // Closed unread, it costs the client a new connection elsewhere and nothing else.
        if (edge.open.get() as u64) < most {
            tokio::task::spawn_local(serve(edge.clone(), stream, from.ip()));
        }
    }
}

struct Open(Rc<Edge>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn serve(edge: Rc<Edge>, stream: TcpStream, from: IpAddr) {
    edge.open.set(edge.open.get() + 1);
    let _open = Open(edge.clone());
    let _ = SockRef::from(&stream).set_tcp_nodelay(true);
    let (watch, caps) = (Watch::new(), edge.caps());
    let service = service_fn(|request: Request<Incoming>| {
        let (edge, watch) = (edge.clone(), watch.clone());
        async move {
            let (scan, done) = (watch.begin(), Done(watch));
            let mut answer = pass::serve(&edge, request, scan, from).await;
            if edge.leaving() {
                answer = reply::closing(answer);
            }
            answer.body_mut().done = Some(done);
            Ok::<_, Infallible>(answer)
        }
    });
    let mut connection = http1::Builder::new()
        .max_header_size(caps.head_size)
        .max_buf_size(caps.head_size.max(LEAST_BUFFER))
        .header_read_timeout(None)
        .auto_date_header(false)
        .serve_connection(Line { stream, watch: watch.clone() }, service);
    let mut stay = edge.stay.subscribe();
    let timer = tokio::time::sleep_until(Instant::now() + caps.head_wait.min(caps.quiet));
    tokio::pin!(timer);
    let mut closing = false;
    loop {
        tokio::select! {
            _ = &mut connection => return,
            _ = &mut timer => {}
            _ = stay.wait_for(|stay| *stay == Stay::Closing), if !closing => closing = true,
        }
        if closing {
            if watch.phase.get() == Phase::Idle {
                return;
            }
            timer.as_mut().reset(Instant::now() + LOOK);
            continue;
        }
        let most = match watch.phase.get() {
            Phase::Head => caps.head_wait,
            Phase::Idle | Phase::Busy => caps.quiet,
        };
        let end = watch.since.get() + most;
        if end > Instant::now() {
            // What begins anew in between is seen at the sooner of both ends.
            timer.as_mut().reset(end.min(Instant::now() + caps.head_wait));
            continue;
        }
        match watch.phase.get() {
            Phase::Busy => timer.as_mut().reset(Instant::now() + caps.head_wait.min(caps.quiet)),
            Phase::Idle => return,
            Phase::Head => {
                let mut stream = connection.into_parts().io.stream;
                let late: &[u8] =
                    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                let _ = stream.write_all(late).await;
                let _ = stream.shutdown().await;
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
