//! A connection that can send its last answer twice.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};

/// Tells a connection to repeat what it sends next.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeat(Arc<AtomicBool>);

impl Repeat {
    /// Makes the connection send its next answer twice.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Passes everything through, and repeats what was written since the last flush when told to.
#[derive(Debug)]
pub(crate) struct Doubling<IO> {
    io: IO,
    repeat: Repeat,
    /// Written and to be repeated.
    copy: Vec<u8>,
}

impl<IO> Doubling<IO> {
    pub(crate) fn new(io: IO, repeat: Repeat) -> Self {
        Self {
            io,
            repeat,
            copy: Vec::new(),
        }
    }
}

impl<IO> AsyncRead for Doubling<IO>
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

impl<IO> AsyncWrite for Doubling<IO>
where
    IO: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        if self.repeat.is_set() {
            self.copy.extend_from_slice(&buf[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if !self.repeat.is_set() {
            return Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        }
        match bufs.iter().find(|buf| !buf.is_empty()) {
            Some(buf) => self.poll_write(cx, buf),
            None => Poll::Ready(Ok(0)),
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.copy.is_empty() {
            let Self { io, copy, .. } = &mut *self;
            let written = ready!(Pin::new(io).poll_write(cx, copy))?;
            copy.drain(..written);
            if copy.is_empty() {
                self.repeat.0.store(false, Ordering::Release);
            }
        }
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
