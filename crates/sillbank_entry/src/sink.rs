//! Where the tokens of an answer go: into a stream of events, or into one whole reply.

use crate::chat::{Chunk, FinishReason, write_chunk};
use bytes::BufMut;
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use smol::channel::Sender;
use std::fmt::Write;
use std::task::{Context, Poll};

/// What the handler waits for before it can answer the caller.
pub(crate) enum Head {
    /// The first token is there: the stream may begin.
    Stream,
    /// The whole answer.
    Whole {
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
    Stream { begun: bool },
    Whole { text: String },
}

/// The caller's side of one generation.
pub(crate) struct Sink {
    mode: Mode,
    outbox: Outbox,
    head: Sender<Result<Head, Failure>>,
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
        head: Sender<Result<Head, Failure>>,
        answer_id: String,
        model: PipelineId,
        span: tracing::Span,
    ) -> Self {
        let mode = match stream {
            true => Mode::Stream { begun: false },
            false => Mode::Whole { text: String::new() },
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

    /// Span of the caller's request.
    pub(crate) fn span(&self) -> &tracing::Span {
        &self.span
    }

    /// Delivers a token.
    pub(crate) fn token(&mut self, number: u32, token: TokenId) {
        self.tokens = number + 1;
        let ends = token == self.end_token;
        if ends {
            self.reason = FinishReason::Stop;
        }
        match &mut self.mode {
            Mode::Whole { text } if !ends => text.push_str(&sillbank_model::detokenize(token)),
            Mode::Whole { .. } => {}
            Mode::Stream { begun } => {
                if !std::mem::replace(begun, true) {
                    self.send_head(Ok(Head::Stream));
                }
                if !ends {
                    let text = sillbank_model::detokenize(token);
                    self.write_chunk(Some(&text), None);
                }
            }
        }
    }

    /// Ends a whole answer.
    pub(crate) fn finish(&mut self) {
        if let Mode::Whole { text } = &mut self.mode {
            let text = std::mem::take(text);
            let head = Head::Whole { text, tokens: self.tokens, reason: self.reason };
            self.send_head(Ok(head));
            return;
        }
        // A resumed answer may be whole without any token left to deliver.
        self.send_head(Ok(Head::Stream));
        self.write_chunk(None, Some(self.reason));
        self.outbox.write(b"data: [DONE]\n\n");
        self.outbox.close();
    }

    /// Ends an answer with a failure.
    pub(crate) fn fail(&mut self, failure: Failure) {
        if let Mode::Stream { begun: true } = self.mode {
            let body = sillbank_net::failures::failure_json(&failure);
            self.outbox.write(format!("event: error\ndata: {body}\n\n").as_bytes());
            self.outbox.close();
            return;
        }
        self.send_head(Err(failure));
    }

    /// Tells the caller to go on with another VM from what it has.
    pub(crate) fn hand_over(&mut self, run: RunState) {
        if let Mode::Stream { begun: true } = self.mode {
            let event =
                format!("event: resume\nid: {}\ndata: {{\"resume\":true}}\n\n", self.tokens);
            self.outbox.write(event.as_bytes());
            self.outbox.close();
            return;
        }
        let reason = "The VM stops and the answer is not whole; the same X-Request-Id goes on.";
        self.send_head(Err(Failure::new(FailureKind::Stopping, run, reason)));
    }

    /// Hands the head over to the task that answers the caller, once.
    fn send_head(&self, head: Result<Head, Failure>) {
        if let Err(error) = self.head.try_send(head) {
            // A head went before, or the caller has gone: nobody waits for this one.
            tracing::debug!(answer = %self.answer_id, %error, "caller: A head was not needed.");
        }
    }

    /// Bytes the caller has not read.
    pub(crate) fn waiting_bytes(&self) -> usize {
        self.outbox.buffered_bytes()
    }

    /// Waits until the caller has read all but `limit` bytes.
    pub(crate) async fn drained_to(&self, limit: usize) {
        self.outbox.drained_to(limit).await;
    }

    /// Whether the caller has gone.
    pub(crate) fn poll_gone(&self, context: &mut Context<'_>) -> Poll<()> {
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
