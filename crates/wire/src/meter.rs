//! Byte counters for streams, so that control traffic is measured where it leaves the node.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Totals of the bytes sent and received over any number of connections.
#[derive(Debug, Default)]
pub struct ByteMeter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl ByteMeter {
    /// Returns the number of bytes written so far.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes read so far.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A stream that adds the bytes it reads and writes to any number of meters.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meters: Vec<Arc<ByteMeter>>,
}

impl<S> MeteredStream<S> {
    /// Wraps `stream`; each meter counts every byte.
    pub fn new(stream: S, meters: Vec<Arc<ByteMeter>>) -> Self {
        Self { stream, meters }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = (buffer.filled().len() - before) as u64;
        for meter in &self.meters {
            meter.received.fetch_add(read, Ordering::Relaxed);
        }
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = &poll {
            for meter in &self.meters {
                meter.sent.fetch_add(*written as u64, Ordering::Relaxed);
            }
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
