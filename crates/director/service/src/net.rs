//! What all connections share: a task that ends with its owner, and a dial with a limit.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Runs until it ends or this is dropped, and gives back with it whatever it holds.
pub struct Task(JoinHandle<()>);

impl Task {
    pub fn spawn(work: impl Future<Output = ()> + Send + 'static) -> Self {
        Task(tokio::spawn(work))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

pub fn late() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no progress in time")
}

/// A machine that vanished never answers a dial.
pub async fn dial(address: SocketAddr, most: Duration) -> io::Result<TcpStream> {
    tokio::time::timeout(most, TcpStream::connect(address)).await.map_err(|_| late())?
}
