//! One member's connection, kept alive between calls, with its bytes counted.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of all members since they were last taken.
#[derive(Default)]
pub(crate) struct ByteCounters {
    received: AtomicU64,
    sent: AtomicU64,
}

impl ByteCounters {
    /// Bytes received and bytes sent since the last call.
    pub(crate) fn take(&self) -> (u64, u64) {
        (self.received.swap(0, Relaxed), self.sent.swap(0, Relaxed))
    }
}

struct CountedStream {
    stream: TcpStream,
    counters: Arc<ByteCounters>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.counters.received.fetch_add((buf.filled().len() - before) as u64, Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            self.counters.sent.fetch_add(written as u64, Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Why there is no complete response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectionError {
    #[error("can't connect")]
    Connect(#[from] std::io::Error),
    #[error("the request is invalid")]
    Request(#[from] hyper::http::Error),
    #[error("the connection failed")]
    Http(#[from] hyper::Error),
}

/// A complete response.
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// The header `Location`.
    pub(crate) location: Option<String>,
    pub(crate) body: Vec<u8>,
}

type Sender = SendRequest<Full<Bytes>>;

struct OpenConnection {
    target: String,
    sender: Sender,
}

/// At most one open connection, to the node that was called last.
pub(crate) struct Connection {
    open: Option<OpenConnection>,
    counters: Arc<ByteCounters>,
}

impl Connection {
    pub(crate) fn new(counters: Arc<ByteCounters>) -> Connection {
        Connection { open: None, counters }
    }

    /// The next call opens a new connection.
    pub(crate) fn close(&mut self) {
        self.open = None;
    }

    /// Sends a JSON body to a node, over the open connection if it leads there.
    pub(crate) async fn post(
        &mut self,
        target: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, ConnectionError> {
        // It is put back only after a complete response, so that a cancelled call leaves none half used.
        let reusable = self.open.take().filter(|open| open.target == target && !open.sender.is_closed());
        let mut sender = match reusable {
            Some(open) => open.sender,
            None => self.connect(target).await?,
        };
        sender.ready().await?;
        let request = Request::post(path).header("Host", target).header("Content-Type", "application/json");
        let response = sender.send_request(request.body(Full::from(body))?).await?;
        let answer = read_answer(response).await?;
        self.open = Some(OpenConnection { target: target.to_string(), sender });
        Ok(answer)
    }

    async fn connect(&self, target: &str) -> Result<Sender, ConnectionError> {
        let stream = TcpStream::connect(target).await?;
        stream.set_nodelay(true)?;
        let counted = CountedStream { stream, counters: self.counters.clone() };
        let (sender, connection) = handshake(TokioIo::new(counted)).await?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

async fn read_answer(response: Response<Incoming>) -> Result<Answer, ConnectionError> {
    let location = response.headers().get("Location").and_then(|value| value.to_str().ok());
    let location = location.map(str::to_owned);
    let status = response.status().as_u16();
    let body = response.into_body().collect().await?.to_bytes().to_vec();
    Ok(Answer { status, location, body })
}
