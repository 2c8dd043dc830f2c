//! Bodies of replies: complete ones, and those streamed through an [`Outbox`].

use crate::activity::Activity;
use crate::memory_budget::UnreadBytes;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, StatusCode};
use serde::Serialize;
use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};

/// Largest chunk that a server takes at a time. The server buffers what it has taken; the rest stays counted in the
/// outbox.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// The body was aborted before its end. The connection is closed, so that the reader notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body was aborted; request the rest after its last complete chunk")]
pub struct BodyAborted;

#[derive(Debug, Default)]
struct OutboxState {
    buffer: BytesMut,
    closed: bool,
    aborted: bool,
    reader_closed: bool,
    /// Whether the connection was cut because the reader did not read.
    reader_cut_off: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Counter of the unread bytes of the connection.
    unread: Option<UnreadBytes>,
    /// Activity of the connection.
    activity: Option<Rc<Activity>>,
}

/// Write end of a streamed body. Writes between two polls are sent as one chunk.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    state: Rc<RefCell<OutboxState>>,
}

impl Outbox {
    /// Creates an outbox and the body that sends what is written to it.
    pub fn new() -> (Self, OutboxBody) {
        let outbox = Self::default();
        let body = OutboxBody { state: outbox.state.clone() };
        (outbox, body)
    }

    /// Lets `write` append to the buffer, and wakes the task that sends the body.
    pub fn write_with(&self, write: impl FnOnce(&mut BytesMut)) {
        let mut state = self.state.borrow_mut();
        if state.closed || state.reader_closed {
            return;
        }
        let length_before = state.buffer.len();
        write(&mut state.buffer);
        let written = state.buffer.len() - length_before;
        if let Some(unread) = &state.unread {
            unread.on_queued(written);
        }
        if let Some(waker) = state.reader.take() {
            waker.wake();
        }
    }

    /// Appends bytes to the buffer.
    pub fn write(&self, bytes: &[u8]) {
        self.write_with(|buffer| buffer.extend_from_slice(bytes));
    }

    /// Ends the body after the buffered bytes.
    pub fn close(&self) {
        let mut state = self.state.borrow_mut();
        state.closed = true;
        if let Some(waker) = state.reader.take() {
            waker.wake();
        }
    }

    /// Aborts the body after the buffered bytes, so that the reader cannot take it for complete. A server writes the head
    /// of the reply and those bytes before it closes the connection.
    pub fn abort(&self) {
        self.state.borrow_mut().aborted = true;
        self.close();
    }

    /// Returns the number of bytes that wait to be sent.
    pub fn buffered_bytes(&self) -> usize {
        self.state.borrow().buffer.len()
    }

    /// Whether the read end has been dropped.
    pub fn reader_closed(&self) -> bool {
        self.state.borrow().reader_closed
    }

    /// Whether the connection was cut because the reader did not read.
    pub fn reader_cut_off(&self) -> bool {
        self.state.borrow().reader_cut_off
    }

    /// Waits until at most `limit` bytes are buffered, or the read end is dropped.
    pub async fn drained_to(&self, limit: usize) {
        std::future::poll_fn(|context| {
            let mut state = self.state.borrow_mut();
            if state.reader_closed || state.buffer.len() <= limit {
                return Poll::Ready(());
            }
            state.writer = Some(context.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Waits until the body has been written to its connection, or the connection has ended.
    pub async fn written(&self) {
        std::future::poll_fn(|context| self.poll_reader_closed(context)).await;
        let activity = self.state.borrow().activity.clone();
        if let Some(activity) = activity {
            std::future::poll_fn(|context| activity.poll_flushed(context)).await;
        }
    }

    /// Completes when the read end is dropped.
    pub fn poll_reader_closed(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        if state.reader_closed {
            return Poll::Ready(());
        }
        state.writer = Some(context.waker().clone());
        Poll::Pending
    }
}

/// Read end of an [`Outbox`].
#[derive(Debug)]
pub struct OutboxBody {
    state: Rc<RefCell<OutboxState>>,
}

impl OutboxBody {
    fn poll_chunk(&self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let mut state = self.state.borrow_mut();
        if state.buffer.is_empty() {
            if state.aborted {
                return Poll::Ready(Some(Err(BodyAborted)));
            }
            if state.closed {
                return Poll::Ready(None);
            }
            state.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let length = state.buffer.len().min(MAX_CHUNK_BYTES);
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
        state.reader_closed = true;
        state.reader_cut_off = state.unread.take().is_some_and(|unread| unread.is_cut());
        if let Some(waker) = state.writer.take() {
            waker.wake();
        }
    }
}

/// Body of a reply or of a request.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete body.
    Full(Full<Bytes>),
    /// Streamed body.
    Stream(OutboxBody),
}

impl ReplyBody {
    /// Counts the unread bytes of the body in those of its connection from now on.
    fn track_in(&self, unread: &UnreadBytes, activity: &Rc<Activity>) {
        match self {
            Self::Full(full) => {
                unread.on_queued(full.size_hint().exact().unwrap_or(0) as usize);
            }
            Self::Stream(stream) => {
                let mut state = stream.state.borrow_mut();
                unread.on_queued(state.buffer.len());
                state.unread = Some(unread.clone());
                state.activity = Some(activity.clone());
            }
        }
    }
}

/// Body whose bytes are counted until they have been written to the connection, and whose end is reported to the
/// activity of the connection.
#[derive(Debug)]
pub(crate) struct CountedBody {
    body: ReplyBody,
    unread: UnreadBytes,
    activity: Rc<Activity>,
}

impl CountedBody {
    pub(crate) fn new(body: ReplyBody, unread: UnreadBytes, activity: Rc<Activity>) -> Self {
        body.track_in(&unread, &activity);
        activity.on_part_taken();
        Self { body, unread, activity }
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        self.unread.on_dropped();
        self.activity.on_reply_taken();
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &frame {
            Some(Ok(frame)) => {
                self.unread.on_taken(frame.data_ref().map_or(0, Bytes::len));
                self.activity.on_part_taken();
            }
            // At an error the server closes the connection without writing what it has buffered.
            Some(Err(BodyAborted)) => ready!(self.activity.poll_flushed(context)),
            None => {}
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
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full)
                .poll_frame(context)
                .map(|frame| frame.map(|frame| frame.map_err(|never| match never {}))),
            Self::Stream(stream) => {
                stream.poll_chunk(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates a reply with a JSON body.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(text) => reply(status, "application/json", text.into()),
        Err(error) => {
            tracing::error!(%error, "net: A reply cannot be serialized as JSON.");
            text_reply(StatusCode::INTERNAL_SERVER_ERROR, "the reply cannot be written")
        }
    }
}

/// Creates a reply with a plain text body.
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Response<ReplyBody> {
    reply(status, "text/plain; charset=utf-8", Bytes::from(text.into()))
}

/// Creates a reply with a body of the given content type.
pub fn reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    let mut reply = Response::new(ReplyBody::Full(Full::new(body)));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static(content_type));
    reply
}
