//! A listener whose connections can all be reset at once, to simulate a crash.

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

use crate::target_server::{ConnectionEvent, TargetActor};

/// Accepts connections that are reset when the token that was current at the accept is cancelled.
#[derive(Debug)]
pub(crate) struct ResettableListener {
    listener: TcpListener,
    reset_token: watch::Receiver<CancellationToken>,
    actor: ActorRef<TargetActor>,
}

impl ResettableListener {
    pub(crate) fn new(
        listener: TcpListener,
        reset_token: watch::Receiver<CancellationToken>,
        actor: ActorRef<TargetActor>,
    ) -> Self {
        Self {
            listener,
            reset_token,
            actor,
        }
    }
}

impl Listener for ResettableListener {
    type Io = ResettableStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (ResettableStream, SocketAddr) {
        let (stream, address) = Listener::accept(&mut self.listener).await;
        // Without the option a connection only has a higher latency.
        let _ = stream.set_nodelay(true);
        let reset = self.reset_token.borrow().clone().cancelled_owned();
        // The actor may have stopped; its counters are no longer needed then.
        let _ = self.actor.tell(ConnectionEvent::Opened).try_send();
        let stream = ResettableStream {
            stream,
            reset: Box::pin(reset),
            actor: self.actor.clone(),
        };
        (stream, address)
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// A connection whose I/O fails with `ConnectionReset` once its token is cancelled.
pub(crate) struct ResettableStream {
    stream: TcpStream,
    reset: Pin<Box<WaitForCancellationFutureOwned>>,
    actor: ActorRef<TargetActor>,
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        let _ = self.actor.tell(ConnectionEvent::Closed).try_send();
    }
}

impl ResettableStream {
    fn check_reset(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        if self.reset.as_mut().poll(context).is_ready() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_reset(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_reset(context)?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
