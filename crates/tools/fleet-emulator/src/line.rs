//! One member's connection, kept between calls, with its bytes counted.
use bytes::Bytes;
use eyre::{eyre, Result};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of all members, and whether they are to end.
#[derive(Default)]
pub struct Traffic {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    over: AtomicBool,
}

impl Traffic {
    /// Bytes in and out since it was asked last.
    pub fn take(&self) -> (u64, u64) {
        (self.bytes_in.swap(0, Relaxed), self.bytes_out.swap(0, Relaxed))
    }

    pub fn end(&self) {
        self.over.store(true, Relaxed);
    }

    pub fn over(&self) -> bool {
        self.over.load(Relaxed)
    }
}

struct Counted(TcpStream, Arc<Traffic>);

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(cx, buf);
        self.1.bytes_in.fetch_add((buf.filled().len() - before) as u64, Relaxed);
        polled
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            self.1.bytes_out.fetch_add(written as u64, Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

#[derive(Default)]
pub struct Line {
    open: Option<(String, SendRequest<Full<Bytes>>)>,
}

impl Line {
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Status, `Location` and body of the answer.
    pub async fn post(
        &mut self,
        target: &str,
        path: &str,
        body: Vec<u8>,
        traffic: &Arc<Traffic>,
    ) -> Result<(u16, Option<String>, Vec<u8>)> {
        // Taken out: a call that is given up leaves no half-used connection behind.
        let kept = self.open.take().filter(|(to, sender)| to == target && !sender.is_closed());
        let mut sender = match kept {
            Some((_, sender)) => sender,
            None => {
                let stream = TcpStream::connect(target).await?;
                stream.set_nodelay(true)?;
                let (sender, connection) = handshake(TokioIo::new(Counted(stream, traffic.clone()))).await?;
                tokio::spawn(connection);
                sender
            }
        };
        sender.ready().await?;
        let request = Request::post(path).header("Host", target).header("Content-Type", "application/json");
        let answer = sender.send_request(request.body(Full::from(body))?).await?;
        let location =
            answer.headers().get("Location").and_then(|value| value.to_str().ok()).map(str::to_owned);
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.map_err(|e| eyre!("{e}"))?.to_bytes().to_vec();
        self.open = Some((target.to_string(), sender));
        Ok((status, location, body))
    }
}
