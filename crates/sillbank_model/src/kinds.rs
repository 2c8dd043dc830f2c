//! Cost models of five accelerator kinds, for a stage of eight layers.

/// What steps cost on one kind.
#[derive(Debug, Clone, Copy)]
pub struct KindCost {
    /// Name.
    pub name: &'static str,
    /// Cost of a batch, whatever is in it, in microseconds.
    pub fixed_us: f64,
    /// Cost of each sequence in the batch, in microseconds.
    pub per_sequence_us: f64,
    /// Cost of each position of a prefill, in microseconds.
    pub prefill_us_per_token: f64,
    /// Positions of KV cache that fit.
    pub kv_tokens: u32,
    /// Sequences in one batch.
    pub max_batch: usize,
}

/// The kinds, quickest first; a factor of five lies between first and last.
pub const KINDS: [KindCost; 5] = [
    KindCost {
        name: "k1",
        fixed_us: 900.0,
        per_sequence_us: 20.0,
        prefill_us_per_token: 3.0,
        kv_tokens: 400_000,
        max_batch: 128,
    },
    KindCost {
        name: "k2",
        fixed_us: 1200.0,
        per_sequence_us: 28.0,
        prefill_us_per_token: 4.0,
        kv_tokens: 300_000,
        max_batch: 128,
    },
    KindCost {
        name: "k3",
        fixed_us: 1800.0,
        per_sequence_us: 45.0,
        prefill_us_per_token: 7.0,
        kv_tokens: 200_000,
        max_batch: 96,
    },
    KindCost {
        name: "k4",
        fixed_us: 2600.0,
        per_sequence_us: 70.0,
        prefill_us_per_token: 12.0,
        kv_tokens: 120_000,
        max_batch: 64,
    },
    KindCost {
        name: "k5",
        fixed_us: 4500.0,
        per_sequence_us: 110.0,
        prefill_us_per_token: 20.0,
        kv_tokens: 60_000,
        max_batch: 48,
    },
];

/// The kind of this name.
pub fn find_kind(name: &str) -> Option<KindCost> {
    KINDS.into_iter().find(|kind| kind.name == name)
}

impl KindCost {
    /// Most tokens a second of a stage of `layers` when each token of an answer brings
    /// `prompt_per_token` positions of prompt with it: full batches, one after another.
    pub fn most_tokens_per_s(&self, layers: usize, prompt_per_token: f64) -> f64 {
        let size = self.max_batch as f64;
        let per_token = self.per_sequence_us + self.prefill_us_per_token * prompt_per_token;
        let batch_us = (self.fixed_us + size * per_token) * layers as f64 / 8.0;
        size / batch_us * 1e6
    }
}
