//! Request bodies of gRPC calls, whose unfinished messages are counted.

use std::error::Error;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;

use crate::http::{Held, Phase, RequestMemory};

/// Memory of a call, in bytes: the stream with its header fields, and the task that reads it.
const CALL_BYTES: usize = 16 * 1024;

/// Size of the flag and the length in front of a gRPC message, in bytes.
const PREFIX_BYTES: usize = 5;

/// The memory for requests is exhausted, and this call has waited longest for the end of a message.
#[derive(Debug, Error)]
#[error("the memory for requests is exhausted")]
struct Overloaded;

/// The memory of a connection and its calls.
#[derive(Debug)]
pub(crate) struct CallMemory {
    memory: RequestMemory,
    connection: Held,
    calls: AtomicUsize,
}

impl CallMemory {
    pub(crate) fn new(memory: RequestMemory, connection: Held) -> Self {
        Self {
            memory,
            connection,
            calls: AtomicUsize::new(0),
        }
    }

    pub(crate) fn poll_given_up(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.connection.poll_given_up(cx)
    }

    fn open_call(self: Arc<Self>) -> Option<Call> {
        let held = self.memory.open_stream(CALL_BYTES)?;
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.connection.set_phase(Phase::Work);
        Some(Call {
            connection: self,
            held,
            message: MessageProgress::default(),
        })
    }
}

/// The request body of a call.
#[derive(Debug)]
pub struct CallBody {
    body: Incoming,
    /// `None` if the call is not counted.
    call: Option<Call>,
    /// Whether there was no memory for the call.
    is_refused: bool,
}

impl CallBody {
    pub(crate) fn new(body: Incoming, memory: Option<Arc<CallMemory>>) -> Self {
        let is_counted = memory.is_some();
        let call = memory.and_then(CallMemory::open_call);
        Self {
            is_refused: is_counted && call.is_none(),
            body,
            call,
        }
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let Self {
            body,
            call,
            is_refused,
        } = &mut *self;
        let is_given_up = |call: &Call| call.held.poll_given_up(cx).is_ready();
        if *is_refused || call.as_ref().is_some_and(is_given_up) {
            return Poll::Ready(Some(Err(Overloaded.into())));
        }
        let frame = match ready!(Pin::new(body).poll_frame(cx)) {
            Some(Ok(frame)) => frame,
            Some(Err(err)) => return Poll::Ready(Some(Err(err.into()))),
            None => return Poll::Ready(None),
        };
        if let (Some(call), Some(data)) = (call, frame.data_ref())
            && !call.count(data)
        {
            return Poll::Ready(Some(Err(Overloaded.into())));
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The memory of one call.
#[derive(Debug)]
struct Call {
    connection: Arc<CallMemory>,
    held: Held,
    message: MessageProgress,
}

impl Call {
    /// Counts received data. Returns false if the call is given up.
    fn count(&mut self, data: &[u8]) -> bool {
        let was_unfinished = self.message.received > 0;
        let has_ended_message = self.message.advance(data);
        let unfinished = self.message.received;
        if has_ended_message {
            self.held.release();
        }
        if unfinished == 0 {
            self.held.set_phase(Phase::Work);
            return true;
        }
        // A message waits for its end from its own beginning.
        if has_ended_message || !was_unfinished {
            self.held.set_phase(Phase::Body);
        }
        self.held.hold(unfinished.min(data.len()))
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        if self.connection.calls.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.connection.connection.set_phase(Phase::Head);
        }
    }
}

/// How much has been received of the current message of a call.
#[derive(Debug, Default)]
struct MessageProgress {
    /// Bytes of the message with its prefix; 0 between messages.
    received: usize,
    prefix: [u8; PREFIX_BYTES],
}

impl MessageProgress {
    /// Advances over received data, and returns whether a message has ended in it.
    fn advance(&mut self, mut data: &[u8]) -> bool {
        let mut has_ended_message = false;
        while !data.is_empty() {
            let missing = match PREFIX_BYTES.checked_sub(self.received) {
                Some(missing) if missing > 0 => missing,
                _ => self.message_len() - self.received,
            };
            let (part, rest) = data.split_at(missing.min(data.len()));
            if self.received < PREFIX_BYTES {
                self.prefix[self.received..][..part.len()].copy_from_slice(part);
            }
            self.received += part.len();
            data = rest;
            if self.received >= PREFIX_BYTES && self.received == self.message_len() {
                self.received = 0;
                has_ended_message = true;
            }
        }
        has_ended_message
    }

    fn message_len(&self) -> usize {
        let [_, len @ ..] = self.prefix;
        PREFIX_BYTES + u32::from_be_bytes(len) as usize
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    /// Guards against an agent's messages that are taken for one that never ends, whatever the borders
    /// of its frames, so that its link would be given up.
    #[gtest]
    fn messages_end_whatever_the_borders_of_frames() {
        let messages = [&[0, 0, 0, 0, 2, 7, 7][..], &[0; 5], &[0, 0, 0, 0, 1, 7]].concat();
        for len in 1..=messages.len() {
            let mut progress = MessageProgress::default();
            let ended = messages.chunks(len).map(|part| progress.advance(part));
            expect_that!(ended.filter(|ended| *ended).count(), ge(1));
            expect_that!(progress.received, eq(0));
        }
        let mut progress = MessageProgress::default();
        expect_false!(progress.advance(&messages[..6]));
        expect_that!(progress.received, eq(6));
    }
}
