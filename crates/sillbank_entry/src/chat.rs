//! JSON types of `POST /v1/chat/completions`, in the format that common client libraries use.

use bytes::{BufMut, BytesMut};
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;

/// Body of a request. Fields that sillbank does not use are accepted and ignored.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ChatRequest {
    /// Name of the pipeline.
    pub(crate) model: PipelineId,
    /// The conversation so far.
    pub(crate) messages: Vec<Message>,
    /// Maximum length of the answer, in tokens.
    #[serde(alias = "max_completion_tokens")]
    pub(crate) max_tokens: Option<u32>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub(crate) stream: bool,
    /// Seed for sampling; by default derived from organisation and request id.
    pub(crate) seed: Option<u64>,
    /// Priority from 0 to 9; greater is served first.
    pub(crate) priority: Option<u8>,
}

/// One message of the conversation.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Role of the author.
    pub(crate) role: String,
    /// Text of the message.
    pub(crate) content: String,
}

impl ChatRequest {
    /// The tokens of all messages, in order.
    pub(crate) fn prompt(&self) -> Vec<TokenId> {
        let words = |message: &Message| sillbank_model::tokenize(&message.content);
        self.messages.iter().flat_map(words).collect()
    }
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FinishReason {
    /// The model produced its end token.
    Stop,
    /// The maximum length was reached.
    Length,
}

/// One event of a streamed answer.
#[derive(Debug, Serialize)]
pub(crate) struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Debug, Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl<'a> Chunk<'a> {
    pub(crate) fn new(
        id: &'a str,
        model: &'a str,
        content: Option<&'a str>,
        finish_reason: Option<FinishReason>,
    ) -> Self {
        let choice = ChunkChoice { index: 0, delta: Delta { content }, finish_reason };
        Self { id, object: "chat.completion.chunk", model, choices: [choice] }
    }
}

/// Writes a chunk as JSON to the buffer.
pub(crate) fn write_chunk(buffer: &mut BytesMut, chunk: &Chunk<'_>) {
    serde_json::to_writer(buffer.writer(), chunk).ok();
}

/// The body of an answer that is not streamed.
pub(crate) fn complete_answer(
    id: &str,
    model: &str,
    text: String,
    prompt_tokens: u32,
    answer_tokens: u32,
    reason: FinishReason,
) -> serde_json::Value {
    serde_json::json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": Message { role: "assistant".to_owned(), content: text },
            "finish_reason": reason,
        }],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer_tokens,
            "total_tokens": prompt_tokens + answer_tokens,
        },
    })
}
