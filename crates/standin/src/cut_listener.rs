//! A listener whose connections can all be lost at once, as in a crash.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::serve::Listener;
use kameo::actor::ActorRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::target_server::{ConnectionEvent, RunKeeper};

/// Accepts connections that are lost when the token that is current at that time is cancelled.
#[derive(Debug)]
pub(crate) struct CutListener {
    listener: TcpListener,
    current: watch::Receiver<CancellationToken>,
    keeper: ActorRef<RunKeeper>,
}

impl CutListener {
    pub(crate) fn new(
        listener: TcpListener,
        current: watch::Receiver<CancellationToken>,
        keeper: ActorRef<RunKeeper>,
    ) -> Self {
        Self {
            listener,
            current,
            keeper,
        }
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
        // A keeper that is gone counts nothing any more.
        let _ = self.keeper.tell(ConnectionEvent::Opened).try_send();
        let stream = CutStream {
            stream,
            cut: Box::pin(cut),
            keeper: self.keeper.clone(),
        };
        (stream, address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection that fails once its token is cancelled.
pub(crate) struct CutStream {
    stream: TcpStream,
    cut: Pin<Box<WaitForCancellationFutureOwned>>,
    keeper: ActorRef<RunKeeper>,
}

impl Drop for CutStream {
    fn drop(&mut self) {
        let _ = self.keeper.tell(ConnectionEvent::Closed).try_send();
    }
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
