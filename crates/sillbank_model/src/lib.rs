//! Stand-in model for tests: a deterministic function in place of a neural network.
//!
//! Each layer mixes its input activation with its own key/value digest, and the digest with the
//! resulting activation. Every token therefore depends on every layer having run exactly once and in
//! order at every earlier position: a skipped, repeated or reordered layer changes the answer.

#![forbid(unsafe_code)]

pub mod engine;
pub mod kinds;

use sillbank_core::prelude::*;

/// Number of token ids.
pub const VOCABULARY: u32 = 4096;
/// Token that ends an answer.
pub const END_TOKEN: TokenId = 0;

/// The key/value digests of a contiguous range of layers for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvDigest {
    layers: LayerRange,
    digests: Vec<u64>,
}

impl KvDigest {
    /// Creates an empty cache for the layers.
    pub fn new(layers: LayerRange) -> Self {
        Self { layers, digests: vec![0; layers.len()] }
    }

    /// Runs every layer once and returns the output activation of the last.
    pub fn run(&mut self, activation: u64) -> u64 {
        (self.layers.first..self.layers.end)
            .fold(activation, |activation, layer| self.run_layer(activation, layer))
    }

    /// Runs one layer and returns its output activation. Public for fault injection: a stand-in can skip
    /// or repeat a layer.
    pub fn run_layer(&mut self, activation: u64, layer: u16) -> u64 {
        let digest = &mut self.digests[usize::from(layer - self.layers.first)];
        let out = mix(activation ^ mix(u64::from(layer) + 1) ^ digest.rotate_left(7));
        *digest = mix(*digest ^ out);
        out
    }
}

/// Samples a token from the last layer's activation.
pub fn sample(activation: u64, seed: u64) -> TokenId {
    (mix(activation ^ seed) % u64::from(VOCABULARY)) as TokenId
}

/// The input activation of layer 0 for a token.
pub fn embed(token: TokenId) -> u64 {
    u64::from(token)
}

/// Splits text at whitespace and maps each word to a token id.
pub fn tokenize(text: &str) -> Vec<TokenId> {
    text.split_whitespace().map(token_of_word).collect()
}

/// The text of a generated token, with a leading space.
pub fn detokenize(token: TokenId) -> String {
    const SYLLABLES: [&str; 16] = [
        "ka", "lo", "mi", "ne", "ra", "su", "ta", "vo", "be", "du", "fi", "go", "ha", "je", "pu",
        "zi",
    ];
    let part = |shift: u32| SYLLABLES[(token >> shift & 15) as usize];
    format!(" {}{}{}", part(8), part(4), part(0))
}

/// Computes a whole answer with all layers in one place; a distributed run must give the same answer.
pub fn reference_answer(
    prompt: &[TokenId],
    layers: u16,
    seed: u64,
    max_tokens: u32,
) -> Vec<TokenId> {
    let mut kv = KvDigest::new(LayerRange { first: 0, end: layers });
    let mut last = 0;
    for token in prompt {
        last = kv.run(embed(*token));
    }
    let mut answer = Vec::new();
    while answer.len() < max_tokens as usize {
        let token = sample(last, seed);
        answer.push(token);
        if token == END_TOKEN {
            break;
        }
        last = kv.run(embed(token));
    }
    answer
}

fn token_of_word(word: &str) -> TokenId {
    let hash = word.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |h, b| mix(h ^ u64::from(b)));
    (hash % u64::from(VOCABULARY - 1)) as TokenId + 1
}

fn mix(value: u64) -> u64 {
    let a = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let b = (a ^ (a >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    b ^ (b >> 31)
}
