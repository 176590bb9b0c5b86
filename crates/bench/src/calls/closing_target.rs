//! Test double of a target that accepts calls and closes the connection without an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use miette::{IntoDiagnostic, Result};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Maximum length of the request head that is inspected, in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 2_048;

/// Target that counts the calls it receives and answers none of them. It stops when dropped.
#[derive(Debug)]
pub(super) struct ClosingTarget {
    address: SocketAddr,
    received_calls: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl ClosingTarget {
    /// Starts a target on a free loopback port that counts requests with a path below `prefix`.
    /// Other requests, such as health checks, are closed without being counted.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub(super) async fn start(prefix: &str) -> Result<Self> {
        let bind_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(bind_address).await.into_diagnostic()?;
        let address = listener.local_addr().into_diagnostic()?;
        let received_calls = Arc::new(AtomicU64::new(0));
        let call_counter = Arc::clone(&received_calls);
        let request_prefix = format!("GET {prefix}");
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if read_request_head(stream)
                    .await
                    .starts_with(request_prefix.as_bytes())
                {
                    call_counter.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
        Ok(Self {
            address,
            received_calls,
            task,
        })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of calls that the target received.
    pub(super) fn received_calls(&self) -> u64 {
        self.received_calls.load(Ordering::Relaxed)
    }
}

impl Drop for ClosingTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn read_request_head(mut stream: TcpStream) -> Vec<u8> {
    let mut head = vec![0; MAX_REQUEST_HEAD_BYTES];
    let length = stream.read(&mut head).await.unwrap_or(0);
    head.truncate(length);
    head
}
