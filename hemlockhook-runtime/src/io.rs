//! TCP streams that call `read` only when data may be available.

use std::io::{self, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};
use hyper::rt::ReadBufCursor;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// A TCP stream that remembers that its receive buffer was drained, so that a poll that was woken
/// for another reason makes no system call.
#[derive(Debug)]
pub struct Stream {
    io: Arc<Async<TcpStream>>,
    /// Whether the last read drained the receive buffer. The next read then waits until the reactor
    /// reports the socket as readable.
    drained: bool,
    /// Time that a write may wait for the peer.
    write_timeout: Duration,
    /// Set while a write waits for the peer.
    write_timer: Option<Timer>,
}

impl Stream {
    pub(crate) fn new(stream: async_net::TcpStream, write_timeout: Duration) -> Self {
        Self {
            io: stream.into(),
            drained: false,
            write_timeout,
            write_timer: None,
        }
    }

    /// Returns the peer of the connection.
    pub fn peer(&self) -> Peer {
        Peer {
            io: self.io.clone(),
        }
    }

    /// Returns the underlying socket.
    pub(crate) fn socket(&self) -> Arc<Async<TcpStream>> {
        self.io.clone()
    }
}

/// The peer of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    io: Arc<Async<TcpStream>>,
}

impl Peer {
    /// Returns whether the peer has closed the connection, or its sending side, as far as the kernel
    /// knows. What was received and not read yet makes no difference.
    pub fn has_left(&self) -> bool {
        let socket = self.io.get_ref();
        match socket.peek(&mut [0]) {
            Ok(0) => true,
            // The end of the stream may follow the data.
            Ok(_) => {
                let mut fds = [PollFd::new(socket, PollFlags::RDHUP)];
                let polled = poll(&mut fds, Some(&Timespec::default()));
                let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                polled.is_ok_and(|_| fds[0].revents().intersects(ended))
            }
            Err(err) => !matches!(
                err.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.drained {
                ready!(self.io.poll_readable(cx))?;
                self.drained = false;
            }
            match self.io.get_ref().read(buf) {
                Ok(len) => {
                    self.drained = len > 0 && len < buf.len();
                    return Poll::Ready(Ok(len));
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => self.drained = true,
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl Stream {
    fn poll_write_with<F>(&mut self, cx: &mut Context<'_>, mut write: F) -> Poll<io::Result<usize>>
    where
        F: FnMut(&TcpStream) -> io::Result<usize>,
    {
        loop {
            match write(self.io.get_ref()) {
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.poll_writable(cx))?;
                }
                Err(err) if err.kind() == io::ErrorKind::Interrupted => {}
                written => {
                    self.write_timer = None;
                    return Poll::Ready(written);
                }
            }
        }
    }

    fn poll_writable(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Poll::Ready(res) = self.io.poll_writable(cx) {
            return Poll::Ready(res);
        }
        let timeout = self.write_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Timer::after(timeout));
        ready!(Pin::new(timer).poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |mut socket| socket.write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |mut socket| socket.write_vectored(bufs))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.io.get_ref().shutdown(Shutdown::Write) {
            Err(err) if err.kind() != io::ErrorKind::NotConnected => Poll::Ready(Err(err)),
            _ => Poll::Ready(Ok(())),
        }
    }
}

/// Adapts a stream to hyper's I/O traits. Reads go through a buffer that is zeroed once for each
/// connection rather than for every read.
#[derive(Debug)]
pub(crate) struct HyperIo<IO> {
    io: IO,
    buf: Box<[u8]>,
}

impl<IO> HyperIo<IO> {
    /// Wraps a stream and reads at most `buf_len` bytes from it at once.
    pub(crate) fn new(io: IO, buf_len: usize) -> Self {
        Self {
            io,
            buf: vec![0; buf_len].into_boxed_slice(),
        }
    }

    pub(crate) fn into_inner(self) -> IO {
        self.io
    }
}

impl<IO> hyper::rt::Read for HyperIo<IO>
where
    IO: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { io, buf } = &mut *self;
        let max = buf.len().min(cursor.remaining());
        let len = ready!(Pin::new(io).poll_read(cx, &mut buf[..max]))?;
        cursor.put_slice(&buf[..len]);
        Poll::Ready(Ok(()))
    }
}

impl<IO> hyper::rt::Write for HyperIo<IO>
where
    IO: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
