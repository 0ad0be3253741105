//! Connections to hosts: kept, counted, and given up at the first doubt.
use crate::edge::Edge;
use crate::reply::Sent;
use crate::steer::{Lookout, Way};
use coppersail_load_balancing::health::FailureKind;
use coppersail_load_balancing::timeouts;
use coppersail_retry::SendFailure;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::rt::{Read, ReadBufCursor, Write};
use rustc_hash::FxHashMap;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// What a host sends that is not acknowledged for so long is lost: links deliver within half a second even when choked.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Read at once from a host or a client; answers are seldom longer.
pub const READ_SIZE: usize = 8 * 1024;
/// The most that hyper may hold for one connection to a host, heads included.
const HELD: usize = 16 * 1024;

/// A socket that hyper drives while its pool can look at it.
struct Wire(Rc<RefCell<Line>>);

/// A connection's socket, as far as the request that goes out on it next.
struct Line {
    stream: TcpStream,
    /// Looks out for what comes twice, where a plan steers.
    lookout: Option<Box<Lookout>>,
    out: Out,
    /// The socket took no more when last written to.
    choked: bool,
}

/// How much of a request the host may have.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Out {
    /// None of it. It may begin until then, unless the host has sent something or ended meanwhile.
    Due(Instant),
    /// None of it, and never any.
    Barred,
    /// Some of it, perhaps all.
    Begun,
}

impl Line {
    fn new(stream: TcpStream, until: Instant) -> Rc<RefCell<Line>> {
        Rc::new(RefCell::new(Line { stream, lookout: None, out: Out::Due(until), choked: false }))
    }

    /// Looked at right before a request's first byte: this process may have stood still since the connection was
    /// chosen, while the host's time to keep it ran on.
    fn may_write(&mut self) -> io::Result<()> {
        if let Out::Due(until) = self.out {
            if Instant::now() >= until || !quiet(&self.stream) {
                self.out = Out::Barred;
            }
        }
        if self.out == Out::Barred {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }

    /// Whether any of the request was written. If not, none of it is any more.
    fn begun(&mut self) -> bool {
        if self.out != Out::Begun {
            self.out = Out::Barred;
        }
        self.out == Out::Begun
    }

    fn written(&mut self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.choked = written.is_pending();
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.out = Out::Begun;
        }
        written
    }
}

impl Read for Wire {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_SIZE];
        let most = cursor.remaining().min(READ_SIZE);
        let mut read = ReadBuf::new(&mut bytes[..most]);
        let mut line = self.0.borrow_mut();
        ready!(Pin::new(&mut line.stream).poll_read(cx, &mut read))?;
        if let Some(lookout) = &mut line.lookout {
            lookout.read(read.filled());
        }
        cursor.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut line = self.0.borrow_mut();
        line.may_write()?;
        let written = Pin::new(&mut line.stream).poll_write(cx, bytes);
        line.written(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut line = self.0.borrow_mut();
        line.may_write()?;
        let written = Pin::new(&mut line.stream).poll_write_vectored(cx, bytes);
        line.written(written)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}

struct Idle {
    number: u64,
    sender: SendRequest<Sent>,
    line: Rc<RefCell<Line>>,
    since: Instant,
    /// The host has not counted its idle time from before this.
    at_least: Instant,
    keep: Option<Duration>,
}

thread_local! {
    /// When this thread last went to look for input, and the time before that.
    static LOOKED: Cell<[Option<Instant>; 2]> = const { Cell::new([None; 2]) };
}

/// The thread has nothing left to do and goes to look for input.
pub fn look() {
    let [last, _] = LOOKED.get();
    LOOKED.set([Some(Instant::now()), last]);
}

/// An answer to what was sent at `sent` has just been read. It may have waited here since a moment after this: it
/// had not come when the thread looked for input the time before last, and whatever stood still stood still after that.
fn may_have_come(sent: Instant) -> Instant {
    LOOKED.get()[1].map_or(sent, |looked| looked.max(sent))
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: u32,
}

#[derive(Default)]
pub struct Pools {
    hosts: FxHashMap<Rc<str>, Pool>,
    /// Connections that have come up.
    numbers: u64,
}

/// What a request asks of a connection.
pub struct Need<'a> {
    pub repeatable: bool,
    /// This edge's part of the host's connections.
    pub part: u32,
    /// For a new one to come up.
    pub most: Duration,
    /// Those that have carried the request before: a late second answer to that has the id of this request too.
    pub before: &'a [u64],
}

impl Pools {
    /// Connections to a host that gets no more requests.
    pub fn drop_idle(&mut self, ident: &str) {
        if let Some(pool) = self.hosts.get_mut(ident) {
            pool.idle.clear();
        }
    }

    pub fn sweep(&mut self, now: Instant) {
        for pool in self.hosts.values_mut() {
            pool.idle.retain(|idle| {
                !idle.sender.is_closed()
                    && now.duration_since(idle.since) < timeouts::idle_timeout(idle.keep, true)
            });
        }
        self.hosts.retain(|_, pool| pool.open > 0 || !pool.idle.is_empty());
    }

    /// The connection used last that may safely carry a request now.
    fn kept(&mut self, ident: &str, need: &Need<'_>) -> Option<Idle> {
        let idle = &mut self.hosts.get_mut(ident)?.idle;
        let now = Instant::now();
        for at in (0..idle.len()).rev() {
            let one = &idle[at];
            let since = if need.repeatable { one.since } else { one.at_least };
            let until = since + timeouts::idle_timeout(one.keep, need.repeatable);
            let over = now >= one.since + timeouts::idle_timeout(one.keep, true) || one.sender.is_closed();
            // It may still do for another request.
            if !over && (now >= until || need.before.contains(&one.number)) {
                continue;
            }
            let one = idle.remove(at);
            let ready = !over && one.sender.is_ready() && quiet(&one.line.borrow().stream);
            if ready {
                one.line.borrow_mut().out = Out::Due(until);
                return Some(one);
            }
        }
        None
    }
}

/// Whether nothing has come, neither bytes that nobody asked for nor the end.
fn quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock)
}

/// A connection's place in its host's count.
struct Seat(Rc<Edge>, Rc<str>);

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(pool) = self.0.pools.borrow_mut().hosts.get_mut(&self.1) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// A connection in use by one request; it ends when dropped and lives on when given back.
pub struct Lease {
    edge: Rc<Edge>,
    ident: Rc<str>,
    pub number: u64,
    pub sender: SendRequest<Sent>,
    line: Rc<RefCell<Line>>,
    taken: Instant,
    pub keep: Option<Duration>,
    pub reused: bool,
}

impl Lease {
    /// A kept connection, or a new one within this edge's part of the host's.
    pub async fn take(
        edge: &Rc<Edge>,
        ident: &Rc<str>,
        address: SocketAddr,
        need: Need<'_>,
    ) -> Result<Lease, SendFailure> {
        let (edge, ident) = (edge.clone(), ident.clone());
        let keep = None;
        let kept = edge.pools.borrow_mut().kept(&ident, &need);
        if let Some(Idle { number, sender, line, .. }) = kept {
            let taken = Instant::now();
            return Ok(Lease { edge, ident, number, sender, line, taken, keep, reused: true });
        }
        let (seat, number) = {
            let mut pools = edge.pools.borrow_mut();
            pools.numbers += 1;
            let number = pools.numbers;
            let pool = pools.hosts.entry(ident.clone()).or_default();
            if pool.open >= need.part {
                // Idle ones that this request must not use make room for one that it may.
                if pool.idle.is_empty() {
                    return Err(SendFailure::ConnectionLimit);
                }
                pool.idle.remove(0);
            }
            pool.open += 1;
            (Seat(edge.clone(), ident.clone()), number)
        };
        let stream = match timeout(need.most, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => return Err(SendFailure::Unreachable),
        };
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let taken = Instant::now();
        let line = Line::new(stream, taken + timeouts::idle_timeout(keep, need.repeatable));
        let wire = Wire(line.clone());
        let handshake = http1::Builder::new().max_buf_size(HELD).handshake(wire).await;
        let Ok((sender, connection)) = handshake else { return Err(SendFailure::Unreachable) };
        tokio::task::spawn_local(async move {
            let _seat = seat;
            let _ = connection.await;
        });
        Ok(Lease { edge, ident, number, sender, line, taken, keep, reused: false })
    }

    pub fn begun(&self) -> bool {
        self.line.borrow_mut().begun()
    }

    /// Whether bytes of the request still wait for the socket.
    pub fn choked(&self) -> bool {
        self.line.borrow().choked
    }

    /// Looks out for a second answer to the request that goes out next, if a plan asks for it.
    pub fn watch(&self, edge: &Rc<Edge>, id: &HeaderValue, way: Option<&Way>, route: &str) {
        let mut line = self.line.borrow_mut();
        let last = line.lookout.take();
        line.lookout = way.map(|way| Lookout::next(last, edge, id, way, route));
    }

    /// After a whole answer that leaves no doubt.
    pub fn give_back(self) {
        let Lease { edge, ident, number, mut sender, line, taken, keep, .. } = self;
        if sender.is_closed() || keep.is_some_and(|keep| keep.is_zero()) {
            return;
        }
        let (since, at_least) = (Instant::now(), may_have_come(taken));
        if sender.is_ready() {
            edge.keep(&ident, Idle { number, sender, line, since, at_least, keep });
            return;
        }
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_ok() {
                edge.keep(&ident, Idle { number, sender, line, since, at_least, keep });
            }
        });
    }
}

impl Edge {
    fn keep(&self, ident: &str, idle: Idle) {
        let usable = self.book.borrow().endpoint(ident).is_some_and(|host| host.usable(self.now()));
        if let (true, Some(pool)) = (usable, self.pools.borrow_mut().hosts.get_mut(ident)) {
            pool.idle.push(idle);
        }
    }
}

/// One request's share in what is known of its host's load and health.
pub struct Working {
    edge: Rc<Edge>,
    ident: Rc<str>,
    judged: bool,
}

impl Working {
    pub fn new(edge: &Rc<Edge>, ident: &Rc<str>) -> Working {
        if let Some(host) = edge.book.borrow_mut().endpoint_mut(ident) {
            host.load.in_flight += 1;
            host.health.begin_request();
        }
        Working { edge: edge.clone(), ident: ident.clone(), judged: false }
    }

    pub fn good(&mut self) {
        self.judged = true;
        if let Some(host) = self.edge.book.borrow_mut().endpoint_mut(&self.ident) {
            host.health.record_success();
        }
    }

    pub fn bad(&mut self, sign: FailureKind) {
        self.judged = true;
        if let Some(host) = self.edge.book.borrow_mut().endpoint_mut(&self.ident) {
            host.health.record_failure(sign, self.edge.now());
        }
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        if let Some(host) = self.edge.book.borrow_mut().endpoint_mut(&self.ident) {
            host.load.in_flight = host.load.in_flight.saturating_sub(1);
            if !self.judged {
                host.health.cancel_request();
            }
        }
    }
}

#[cfg(test)]
#[path = "conns_tests.rs"]
mod tests;
