//! Delivers the tokens of an answer, as a stream of events or as one reply.

use crate::chat::{Chunk, FinishReason, write_chunk};
use bytes::BufMut;
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use smol::channel::Sender;
use std::fmt::Write;
use std::task::{Context, Poll};

/// Start of a reply, for which the handler waits before it answers the caller.
pub(crate) enum ReplyHead {
    /// The first token is available: the stream can start.
    Stream,
    /// The complete answer.
    Complete {
        /// Its text.
        text: String,
        /// Its number of tokens.
        tokens: u32,
        /// Why it ended.
        reason: FinishReason,
    },
}

/// How the answer is delivered.
enum Mode {
    Stream { started: bool },
    Complete { text: String },
}

/// Output of one generation to its caller.
pub(crate) struct Sink {
    mode: Mode,
    outbox: Outbox,
    head: Sender<Result<ReplyHead, Failure>>,
    answer_id: String,
    model: PipelineId,
    tokens: u32,
    reason: FinishReason,
    end_token: TokenId,
    span: tracing::Span,
}

impl Sink {
    pub(crate) fn new(
        stream: bool,
        outbox: Outbox,
        head: Sender<Result<ReplyHead, Failure>>,
        answer_id: String,
        model: PipelineId,
        span: tracing::Span,
    ) -> Self {
        let mode = match stream {
            true => Mode::Stream { started: false },
            false => Mode::Complete { text: String::new() },
        };
        Self {
            mode,
            outbox,
            head,
            answer_id,
            model,
            tokens: 0,
            reason: FinishReason::Length,
            end_token: sillbank_model::END_TOKEN,
            span,
        }
    }

    /// Logging span of the caller's request.
    pub(crate) fn span(&self) -> &tracing::Span {
        &self.span
    }

    /// Delivers the token with the given index in the answer.
    pub(crate) fn token(&mut self, number: u32, token: TokenId) {
        self.tokens = number + 1;
        let is_end = token == self.end_token;
        if is_end {
            self.reason = FinishReason::Stop;
        }
        match &mut self.mode {
            Mode::Complete { text } if !is_end => text.push_str(&sillbank_model::detokenize(token)),
            Mode::Complete { .. } => {}
            Mode::Stream { started } => {
                if !std::mem::replace(started, true) {
                    self.send_head(Ok(ReplyHead::Stream));
                }
                if !is_end {
                    let text = sillbank_model::detokenize(token);
                    self.write_chunk(Some(&text), None);
                }
            }
        }
    }

    /// Completes the answer.
    pub(crate) fn finish(&mut self) {
        if let Mode::Complete { text } = &mut self.mode {
            let text = std::mem::take(text);
            let head = ReplyHead::Complete { text, tokens: self.tokens, reason: self.reason };
            self.send_head(Ok(head));
            return;
        }
        // A resumed answer may be complete with no token left to deliver.
        self.send_head(Ok(ReplyHead::Stream));
        self.write_chunk(None, Some(self.reason));
        self.outbox.write(b"data: [DONE]\n\n");
        self.outbox.close();
    }

    /// Ends an answer with a failure.
    pub(crate) fn fail(&mut self, failure: Failure) {
        if let Mode::Stream { started: true } = self.mode {
            let body = sillbank_net::failures::failure_json(&failure);
            self.outbox.write(format!("event: error\ndata: {body}\n\n").as_bytes());
            self.outbox.close();
            return;
        }
        self.send_head(Err(failure));
    }

    /// Tells the caller to resume at another VM after the tokens it has received.
    pub(crate) fn hand_over(&mut self, run: RunState) {
        if let Mode::Stream { started: true } = self.mode {
            let event =
                format!("event: resume\nid: {}\ndata: {{\"resume\":true}}\n\n", self.tokens);
            self.outbox.write(event.as_bytes());
            self.outbox.close();
            return;
        }
        let reason = "The VM stops and the answer is not whole; the same X-Request-Id goes on.";
        self.send_head(Err(Failure::new(FailureKind::Stopping, run, reason)));
    }

    /// Sends the start of the reply to the task that answers the caller; only the first one is used.
    fn send_head(&self, head: Result<ReplyHead, Failure>) {
        if let Err(error) = self.head.try_send(head) {
            // An earlier head was sent, or the caller has disconnected: nothing waits for this one.
            tracing::debug!(answer = %self.answer_id, %error, "caller: A reply head was discarded.");
        }
    }

    /// Bytes that the caller has not read yet.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.outbox.buffered_bytes()
    }

    /// Waits until at most `limit` bytes are unread.
    pub(crate) async fn drained_to(&self, limit: usize) {
        self.outbox.drained_to(limit).await;
    }

    /// Ready once the caller has disconnected.
    pub(crate) fn poll_reader_closed(&self, context: &mut Context<'_>) -> Poll<()> {
        self.outbox.poll_reader_closed(context)
    }

    fn write_chunk(&self, content: Option<&str>, reason: Option<FinishReason>) {
        let chunk = Chunk::new(&self.answer_id, &self.model, content, reason);
        self.outbox.write_with(|buffer| {
            let mut number = String::new();
            write!(number, "id: {}\ndata: ", self.tokens).ok();
            buffer.put_slice(number.as_bytes());
            write_chunk(buffer, &chunk);
            buffer.put_slice(b"\n\n");
        });
    }
}
