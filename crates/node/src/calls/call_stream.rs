//! The TCP stream of a client connection for calls.
//!
//! hyper parses interim answers and chunk sizes in a loop that ends only when no more bytes are
//! available. A peer that sends them without end would keep the task of the connection from
//! noticing that its call has ended, and the worker thread from running other tasks.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes after which a stream that still has more to read yields to other tasks.
const MAX_READ_BURST_BYTES: usize = 64 * 1024;

/// A TCP stream that yields to other tasks while bytes keep arriving.
#[derive(Debug)]
pub(super) struct CallStream {
    stream: TcpStream,
    /// Bytes read since the stream last yielded or had nothing to read.
    burst_bytes: usize,
}

impl CallStream {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            burst_bytes: 0,
        }
    }
}

impl Connection for CallStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl AsyncRead for CallStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst_bytes >= MAX_READ_BURST_BYTES {
            self.burst_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.burst_bytes = 0;
        }
        ready!(read)?;
        self.burst_bytes += buffer.filled().len() - filled_before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
