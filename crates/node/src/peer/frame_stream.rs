//! The stream of a control connection, which reserves memory for each frame before it is read.
//!
//! The codec keeps a frame until it is complete, and a frame may have 16 MB.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use agatedeck_wire::LENGTH_PREFIX_BYTES;
use bytes::BytesMut;
use futures::future::BoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::connections::{ClientConnection, ClientStream};
use crate::memory::{MemoryAccount, MemoryReservation, MemoryShort};

/// Size up to which frames need no reservation. Each connection has a buffer of this size anyway.
const FREE_FRAME_BYTES: usize = 8 * 1_024;

/// Number of bytes read at a time until the length of the frame is known, and of a frame with a reservation.
const READ_BYTES: usize = FREE_FRAME_BYTES;
const BURST_BYTES: usize = 64 * 1_024;

/// How far the current frame has arrived.
#[derive(Debug, Default)]
struct FrameProgress {
    /// Bytes of the length that have arrived, while it is not complete.
    prefix_bytes: usize,
    length: usize,
    /// Bytes of the frame that have not arrived.
    missing_bytes: usize,
}

/// How much of received bytes may be passed on.
#[derive(Debug, Default)]
struct FrameStep {
    passed_bytes: usize,
    /// Whether a frame was completed.
    is_completed: bool,
    /// Size of a frame that needs a reservation before the last byte of its length is passed on. The codec
    /// allocates memory for the frame at that byte.
    needed_bytes: Option<usize>,
}

impl FrameProgress {
    /// Follows received bytes to the end of the current frame with a reservation, or to the next frame that
    /// needs one.
    fn advance(&mut self, bytes: &[u8], mut is_reserved: bool) -> FrameStep {
        let mut step = FrameStep::default();
        while let Some(byte) = bytes.get(step.passed_bytes) {
            if self.missing_bytes > 0 {
                let taken = self.missing_bytes.min(bytes.len() - step.passed_bytes);
                self.missing_bytes -= taken;
                step.passed_bytes += taken;
                step.is_completed |= self.missing_bytes == 0;
                if step.is_completed && is_reserved {
                    return step;
                }
                continue;
            }
            let length = self.length << 8 | usize::from(*byte);
            let is_last = self.prefix_bytes + 1 == LENGTH_PREFIX_BYTES;
            if is_last && length > FREE_FRAME_BYTES && !is_reserved {
                step.needed_bytes = Some(length);
                return step;
            }
            step.passed_bytes += 1;
            if is_last {
                (self.prefix_bytes, self.length, self.missing_bytes) = (0, 0, length);
                is_reserved &= length > FREE_FRAME_BYTES;
            } else {
                (self.prefix_bytes, self.length) = (self.prefix_bytes + 1, length);
            }
        }
        step
    }
}

type PendingReservation = BoxFuture<'static, Result<MemoryReservation, MemoryShort>>;

/// Reserves memory for the frames that a stream receives.
pub(super) struct FrameStream {
    stream: ClientStream,
    connection: ClientConnection,
    account: MemoryAccount,
    frame: FrameProgress,
    /// Received bytes that wait for a reservation.
    held: BytesMut,
    /// Held until the frame is complete.
    reservation: Option<MemoryReservation>,
    pending: Option<PendingReservation>,
}

impl FrameStream {
    pub(super) fn new(stream: ClientStream, account: &MemoryAccount) -> Self {
        Self {
            connection: stream.connection().clone(),
            stream,
            account: account.clone(),
            frame: FrameProgress::default(),
            held: BytesMut::new(),
            reservation: None,
            pending: None,
        }
    }

    fn poll_reservation(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(pending) = &mut self.pending else {
            return Poll::Ready(Ok(()));
        };
        let reserved = ready!(pending.as_mut().poll(context));
        self.pending = None;
        self.reservation = Some(reserved.map_err(io::Error::other)?);
        self.connection.record_progress();
        Poll::Ready(Ok(()))
    }

    /// Returns how many of the received bytes may be passed on, and begins to reserve memory for those after
    /// them.
    fn follow(&mut self, received: &[u8]) -> usize {
        let step = self.frame.advance(received, self.reservation.is_some());
        if step.is_completed {
            self.reservation = None;
            self.connection.record_progress();
        }
        if let Some(bytes) = step.needed_bytes {
            let mut reservation = self.account.reservation();
            self.pending = Some(Box::pin(async move {
                reservation.grow_to(bytes).await?;
                Ok(reservation)
            }));
        }
        step.passed_bytes
    }

    /// Passes on bytes that were received before; returns whether there were any.
    fn pass_held(&mut self, buffer: &mut ReadBuf<'_>) -> bool {
        let mut held = std::mem::take(&mut self.held);
        let offered = held.len().min(buffer.remaining());
        let passed = self.follow(&held[..offered]);
        buffer.put_slice(&held.split_to(passed));
        self.held = held;
        passed > 0
    }

    /// Receives bytes, and passes on those that need no reservation.
    fn poll_receive(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        let limit = match self.reservation {
            Some(_) => self.frame.missing_bytes.min(BURST_BYTES),
            None => READ_BYTES,
        };
        let limit = limit.min(buffer.remaining());
        let mut received = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut received);
        self.connection
            .set_reading(read.is_pending() && self.reservation.is_some());
        ready!(read)?;
        let received = received.filled();
        let (length, passed) = (received.len(), self.follow(received));
        self.held.extend_from_slice(&received[passed..]);
        buffer.advance(passed);
        Poll::Ready(Ok(length))
    }
}

impl AsyncRead for FrameStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while buffer.remaining() > 0 {
            ready!(self.poll_reservation(context))?;
            if !self.held.is_empty() {
                if self.pass_held(buffer) {
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            let filled_before = buffer.filled().len();
            let received = ready!(self.poll_receive(context, buffer))?;
            if received == 0 || buffer.filled().len() > filled_before {
                return Poll::Ready(Ok(()));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for FrameStream {
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
}
