//! Size of a request.

use sillbank_catalog::prelude::*;

/// Size of a request in tokens. At its end the request has all of them in the KV cache of each layer
/// that it passes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Expected tokens of the answer.
    pub answer_tokens: f64,
}

impl RequestSize {
    /// The service's usual request size.
    pub fn usual(figures: &EngineFigures) -> Self {
        Self {
            prompt_tokens: f64::from(figures.usual_prompt_tokens),
            answer_tokens: f64::from(figures.usual_answer_tokens),
        }
    }

    /// Tokens in the KV cache of each layer at the end of the request.
    pub fn kv_tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}
