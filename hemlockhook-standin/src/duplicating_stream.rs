//! A stream that can send a response twice.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};

/// Tells a [`DuplicatingStream`] to send its next response twice. Clones share the flag.
#[derive(Clone, Debug, Default)]
pub(crate) struct DuplicateFlag(Arc<AtomicBool>);

impl DuplicateFlag {
    /// Makes the stream send its next response twice.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Passes reads and writes through. While the flag is set, it records what is written and writes it
/// once more at the next flush, which clears the flag.
#[derive(Debug)]
pub(crate) struct DuplicatingStream<IO> {
    io: IO,
    flag: DuplicateFlag,
    /// Bytes that were written and are to be written again.
    duplicate: Vec<u8>,
}

impl<IO> DuplicatingStream<IO> {
    pub(crate) fn new(io: IO, flag: DuplicateFlag) -> Self {
        Self {
            io,
            flag,
            duplicate: Vec::new(),
        }
    }
}

impl<IO> AsyncRead for DuplicatingStream<IO>
where
    IO: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl<IO> AsyncWrite for DuplicatingStream<IO>
where
    IO: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        if self.flag.is_set() {
            self.duplicate.extend_from_slice(&buf[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.flag.is_set() {
            return Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        }
        match bufs.iter().find(|buf| !buf.is_empty()) {
            Some(buf) => self.poll_write(cx, buf),
            None => Poll::Ready(Ok(0)),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.duplicate.is_empty() {
            let Self { io, duplicate, .. } = &mut *self;
            let written = ready!(Pin::new(io).poll_write(cx, duplicate))?;
            duplicate.drain(..written);
            if duplicate.is_empty() {
                self.flag.0.store(false, Ordering::Release);
            }
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
