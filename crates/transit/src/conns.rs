//! Connections to hosts: kept, counted, and given up at the first doubt.
use crate::edge::Edge;
use crate::reply::Sent;
use crate::steer::{Lookout, Way};
use course::health::Sign;
use course::pause;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderValue;
use hyper::rt::{Read, ReadBufCursor, Write};
use rustc_hash::FxHashMap;
use socket2::SockRef;
use std::cell::RefCell;
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
use verdict::Unsent;

/// What a host sends that is not acknowledged for so long is lost: links deliver within half a second even when choked.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Read at once from a host or a client; answers are seldom longer.
pub const READ_SIZE: usize = 8 * 1024;
/// The most that hyper may hold for one connection to a host, heads included.
const HELD: usize = 16 * 1024;

/// A socket that hyper drives while its pool can look at it.
struct Wire(Rc<RefCell<Line>>);

/// A connection's socket, and who looks out for what comes twice on it, where a plan steers.
struct Line(TcpStream, Option<Box<Lookout>>);

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
        ready!(Pin::new(&mut line.0).poll_read(cx, &mut read))?;
        if let Some(lookout) = &mut line.1 {
            lookout.read(read.filled());
        }
        cursor.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Wire {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().0).poll_write(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().0).poll_write_vectored(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().0).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().0).poll_shutdown(cx)
    }
}

struct Idle {
    sender: SendRequest<Sent>,
    stream: Rc<RefCell<Line>>,
    since: Instant,
    keep: Option<Duration>,
}

#[derive(Default)]
struct Pool {
    idle: Vec<Idle>,
    open: u32,
}

#[derive(Default)]
pub struct Pools(FxHashMap<Rc<str>, Pool>);

impl Pools {
    /// Connections to a host that gets no more requests.
    pub fn drop_idle(&mut self, ident: &str) {
        if let Some(pool) = self.0.get_mut(ident) {
            pool.idle.clear();
        }
    }

    pub fn sweep(&mut self, now: Instant) {
        for pool in self.0.values_mut() {
            pool.idle.retain(|idle| {
                !idle.sender.is_closed() && now.duration_since(idle.since) < pause::kept(idle.keep, true)
            });
        }
        self.0.retain(|_, pool| pool.open > 0 || !pool.idle.is_empty());
    }

    /// The connection used last that may safely carry a request now.
    fn kept(&mut self, ident: &str, repeatable: bool) -> Option<(SendRequest<Sent>, Rc<RefCell<Line>>)> {
        let idle = &mut self.0.get_mut(ident)?.idle;
        while let Some(one) = idle.pop() {
            if one.since.elapsed() >= pause::kept(one.keep, true) || one.sender.is_closed() {
                continue;
            }
            if one.since.elapsed() >= pause::kept(one.keep, repeatable) {
                // Those below it have waited for longer; it may still do for another request.
                idle.push(one);
                return None;
            }
            if one.sender.is_ready() && quiet(&one.stream) {
                return Some((one.sender, one.stream));
            }
        }
        None
    }
}

/// Whether nothing has come, neither bytes that nobody asked for nor the end.
fn quiet(stream: &RefCell<Line>) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(&stream.borrow().0).peek(&mut byte), Err(wrong) if wrong.kind() == io::ErrorKind::WouldBlock)
}

/// A connection's place in its host's count.
struct Seat(Rc<Edge>, Rc<str>);

impl Drop for Seat {
    fn drop(&mut self) {
        if let Some(pool) = self.0.pools.borrow_mut().0.get_mut(&self.1) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// A connection in use by one request; it ends when dropped and lives on when given back.
pub struct Lease {
    edge: Rc<Edge>,
    ident: Rc<str>,
    pub sender: SendRequest<Sent>,
    stream: Rc<RefCell<Line>>,
    pub keep: Option<Duration>,
    pub reused: bool,
}

impl Lease {
    /// A kept connection, or a new one within this edge's part of the host's.
    pub async fn take(
        edge: &Rc<Edge>,
        ident: &Rc<str>,
        address: SocketAddr,
        repeatable: bool,
        part: u32,
        most: Duration,
    ) -> Result<Lease, Unsent> {
        let (edge, ident) = (edge.clone(), ident.clone());
        let kept = edge.pools.borrow_mut().kept(&ident, repeatable);
        if let Some((sender, stream)) = kept {
            return Ok(Lease { edge, ident, sender, stream, keep: None, reused: true });
        }
        let seat = {
            let mut pools = edge.pools.borrow_mut();
            let pool = pools.0.entry(ident.clone()).or_default();
            if pool.open >= part {
                // Idle ones that this request must not use make room for one that it may.
                if pool.idle.is_empty() {
                    return Err(Unsent::Full);
                }
                pool.idle.remove(0);
            }
            pool.open += 1;
            Seat(edge.clone(), ident.clone())
        };
        let stream = match timeout(most, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            _ => return Err(Unsent::Unreachable),
        };
        let socket = SockRef::from(&stream);
        let _ = socket.set_tcp_nodelay(true);
        let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let stream = Rc::new(RefCell::new(Line(stream, None)));
        let wire = Wire(stream.clone());
        let handshake = http1::Builder::new().max_buf_size(HELD).handshake(wire).await;
        let Ok((sender, connection)) = handshake else { return Err(Unsent::Unreachable) };
        tokio::task::spawn_local(async move {
            let _seat = seat;
            let _ = connection.await;
        });
        Ok(Lease { edge, ident, sender, stream, keep: None, reused: false })
    }

    /// Looks out for a second answer to the request that goes out next, if a plan asks for it.
    pub fn watch(&self, edge: &Rc<Edge>, id: &HeaderValue, way: Option<&Way>, route: &str) {
        let mut line = self.stream.borrow_mut();
        let last = line.1.take();
        line.1 = way.map(|way| Lookout::next(last, edge, id, way, route));
    }

    /// After a whole answer that leaves no doubt.
    pub fn give_back(self) {
        let Lease { edge, ident, mut sender, stream, keep, .. } = self;
        if sender.is_closed() || keep.is_some_and(|keep| keep.is_zero()) {
            return;
        }
        if sender.is_ready() {
            edge.keep(&ident, Idle { sender, stream, since: Instant::now(), keep });
            return;
        }
        let since = Instant::now();
        tokio::task::spawn_local(async move {
            if sender.ready().await.is_ok() {
                edge.keep(&ident, Idle { sender, stream, since, keep });
            }
        });
    }
}

impl Edge {
    fn keep(&self, ident: &str, idle: Idle) {
        let usable = self.book.borrow().host(ident).is_some_and(|host| host.usable(self.now()));
        if let (true, Some(pool)) = (usable, self.pools.borrow_mut().0.get_mut(ident)) {
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
        if let Some(host) = edge.book.borrow_mut().host_mut(ident) {
            host.load.own += 1;
            host.health.begin();
        }
        Working { edge: edge.clone(), ident: ident.clone(), judged: false }
    }

    pub fn good(&mut self) {
        self.judged = true;
        if let Some(host) = self.edge.book.borrow_mut().host_mut(&self.ident) {
            host.health.good();
        }
    }

    pub fn bad(&mut self, sign: Sign) {
        self.judged = true;
        if let Some(host) = self.edge.book.borrow_mut().host_mut(&self.ident) {
            host.health.bad(sign, self.edge.now());
        }
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        if let Some(host) = self.edge.book.borrow_mut().host_mut(&self.ident) {
            host.load.own = host.load.own.saturating_sub(1);
            if !self.judged {
                host.health.untried();
            }
        }
    }
}
