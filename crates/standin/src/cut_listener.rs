//! A listener whose connections can all be lost at once, as in a crash.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::serve::Listener;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Accepts connections that are lost when the token that is current at that time is cancelled.
#[derive(Debug)]
pub(crate) struct CutListener {
    listener: TcpListener,
    current: watch::Receiver<CancellationToken>,
}

impl CutListener {
    pub(crate) fn new(listener: TcpListener, current: watch::Receiver<CancellationToken>) -> Self {
        Self { listener, current }
    }
}

impl Listener for CutListener {
    type Io = CutStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (CutStream, SocketAddr) {
        let (stream, address) = Listener::accept(&mut self.listener).await;
        // A connection without the option only answers later.
        let _ = stream.set_nodelay(true);
        let cut = self.current.borrow().clone().cancelled_owned();
        let cut = Box::pin(cut);
        (CutStream { stream, cut }, address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection that fails once its token is cancelled.
pub(crate) struct CutStream {
    stream: TcpStream,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl CutStream {
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if self.cut.as_mut().poll(context).is_ready() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
