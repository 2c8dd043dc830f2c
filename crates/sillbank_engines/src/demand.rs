//! What a request asks of engines.

use sillbank_catalog::prelude::*;

/// Tokens that a request keeps in the KV cache of each layer that it passes, when it ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Tokens of the prompt.
    pub prompt_tokens: f64,
    /// Tokens that are likely to come out.
    pub answer_tokens: f64,
}

impl Demand {
    /// A request of the service's usual size.
    pub fn usual(figures: &EngineFigures) -> Self {
        Self {
            prompt_tokens: f64::from(figures.usual_prompt_tokens),
            answer_tokens: f64::from(figures.usual_answer_tokens),
        }
    }

    /// Tokens in the KV cache of a layer at the end.
    pub fn kv_tokens(&self) -> f64 {
        self.prompt_tokens + self.answer_tokens
    }
}
