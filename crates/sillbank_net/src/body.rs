//! Bodies of replies: whole, or written piece by piece through an [`Outbox`].

use crate::kept::UnreadBytes;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

/// Longest piece that a server takes at a time: it keeps what it has taken, and what waits is counted here.
const PIECE_BYTES: usize = 16 << 10;

/// The body ended before it was whole; the connection is cut so that the reader can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off; ask again from its last whole piece")]
pub struct BrokenOff;

#[derive(Debug, Default)]
struct OutboxState {
    buffer: BytesMut,
    closed: bool,
    broken: bool,
    reader_gone: bool,
    /// Whether the reader has gone as it was cut off.
    reader_cut: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Where what waits is counted.
    unread: Option<UnreadBytes>,
}

/// The writing end of a streamed body. What is written between two polls leaves as one chunk.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    state: Rc<RefCell<OutboxState>>,
}

impl Outbox {
    /// A new outbox and the body that sends what is written to it.
    pub fn new() -> (Self, OutboxBody) {
        let outbox = Self::default();
        let body = OutboxBody { state: outbox.state.clone() };
        (outbox, body)
    }

    /// Appends to the buffer with a function and wakes the sender.
    pub fn write_with(&self, write: impl FnOnce(&mut BytesMut)) {
        let mut state = self.state.borrow_mut();
        if state.closed || state.reader_gone {
            return;
        }
        let waiting_before = state.buffer.len();
        write(&mut state.buffer);
        let written = state.buffer.len() - waiting_before;
        if let Some(unread) = &state.unread {
            unread.on_waiting(written);
        }
        if let Some(waker) = state.reader.take() {
            waker.wake();
        }
    }

    /// Appends bytes.
    pub fn write(&self, bytes: &[u8]) {
        self.write_with(|buffer| buffer.extend_from_slice(bytes));
    }

    /// Ends the body after what is in the buffer.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        if let Some(waker) = state.reader.take() {
            waker.wake();
        }
    }

    /// Breaks the body off after what is in the buffer, so that it cannot be taken for whole.
    pub fn break_off(&self) {
        self.state.borrow_mut().broken = true;
        self.close();
    }

    /// Bytes that wait to be sent.
    pub fn waiting_bytes(&self) -> usize {
        self.state.borrow().buffer.len()
    }

    /// Whether nobody will read any more.
    pub fn reader_gone(&self) -> bool {
        self.state.borrow().reader_gone
    }

    /// Whether nobody will read any more as the reader read nothing and was cut off.
    pub fn reader_cut(&self) -> bool {
        self.state.borrow().reader_cut
    }

    /// Waits until at most `limit` bytes wait, or the reader has gone.
    pub async fn drained_to(&self, limit: usize) {
        std::future::poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.reader_gone || state.buffer.len() <= limit {
                return Poll::Ready(());
            }
            state.writer = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Ready when the reader has gone.
    pub fn poll_gone(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        if state.reader_gone {
            return Poll::Ready(());
        }
        state.writer = Some(context.waker().clone());
        Poll::Pending
    }
}

/// The reading end of an [`Outbox`].
#[derive(Debug)]
pub struct OutboxBody {
    state: Rc<RefCell<OutboxState>>,
}

impl OutboxBody {
    fn poll_chunk(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        let mut state = self.state.borrow_mut();
        if state.buffer.is_empty() {
            if state.broken {
                return Poll::Ready(Some(Err(BrokenOff)));
            }
            if state.closed {
                return Poll::Ready(None);
            }
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let length = state.buffer.len().min(PIECE_BYTES);
        let chunk = state.buffer.split_to(length).freeze();
        if let Some(waker) = state.writer.take() {
            waker.wake();
        }
        Poll::Ready(Some(Ok(chunk)))
    }
}

impl Drop for OutboxBody {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.reader_gone = true;
        state.reader_cut = state.unread.take().is_some_and(|unread| unread.is_cut());
        if let Some(waker) = state.writer.take() {
            waker.wake();
        }
    }
}

/// Body of a reply or of a request.
#[derive(Debug)]
pub enum ReplyBody {
    /// Known whole.
    Whole(Full<Bytes>),
    /// Written piece by piece.
    Stream(OutboxBody),
}

impl ReplyBody {
    /// Counts what waits of it from now on.
    fn count_in(&self, unread: &UnreadBytes) {
        match self {
            Self::Whole(whole) => {
                unread.on_waiting(whole.size_hint().exact().unwrap_or(0) as usize);
            }
            Self::Stream(stream) => {
                let mut state = stream.state.borrow_mut();
                unread.on_waiting(state.buffer.len());
                state.unread = Some(unread.clone());
            }
        }
    }
}

/// A body whose bytes are counted until its reader has them.
#[derive(Debug)]
pub(crate) struct CountedBody {
    body: ReplyBody,
    unread: UnreadBytes,
}

impl CountedBody {
    pub(crate) fn new(body: ReplyBody, unread: UnreadBytes) -> Self {
        body.count_in(&unread);
        Self { body, unread }
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.unread.on_dropped();
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            self.unread.on_taken(frame.data_ref().map_or(0, Bytes::len));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(whole) => Pin::new(whole)
                .poll_frame(context)
                .map(|frame| frame.map(|frame| frame.map_err(|never| match never {}))),
            Self::Stream(stream) => {
                stream.poll_chunk(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => whole.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A reply with a JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(text) => reply(status, "application/json", text.into()),
        Err(error) => {
            tracing::error!(%error, "net: A reply cannot be written as JSON.");
            text_reply(StatusCode::INTERNAL_SERVER_ERROR, "the reply cannot be written")
        }
    }
}

/// A reply with a text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Response<ReplyBody> {
    reply(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
}

/// A reply with a body of a stated type.
pub fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    let mut reply = Response::new(ReplyBody::Whole(Full::new(body)));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static(content_type));
    reply
}
