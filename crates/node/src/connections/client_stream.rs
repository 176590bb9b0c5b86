//! The TCP stream of a client, which records the progress of its connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::client_connection::ClientConnection;

/// A TCP stream of a client.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: ClientConnection,
}

impl ClientStream {
    pub(crate) fn new(stream: TcpStream, connection: ClientConnection) -> Self {
        Self { stream, connection }
    }

    /// The connection of the stream.
    pub(crate) fn connection(&self) -> &ClientConnection {
        &self.connection
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.connection.set_write_blocked(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.connection.record_bytes(*bytes);
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.connection
            .record_received(buffer.filled().len() - filled_before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
