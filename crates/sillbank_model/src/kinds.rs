//! Cost models of five kinds of accelerators, for a stage of eight layers.

/// Costs of steps on one kind of accelerator.
#[derive(Debug, Clone, Copy)]
pub struct KindCost {
    /// Name of the kind.
    pub name: &'static str,
    /// Fixed cost of a batch, in microseconds.
    pub fixed_us: f64,
    /// Cost of each sequence in the batch, in microseconds.
    pub per_sequence_us: f64,
    /// Cost of each position of a prefill, in microseconds.
    pub prefill_us_per_token: f64,
    /// Size of the KV cache, in positions.
    pub kv_tokens: u32,
    /// Maximum number of sequences in one batch.
    pub max_batch: usize,
}

/// All kinds, fastest first; the last is about five times slower than the first.
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

/// The kind with this name.
pub fn find_kind(name: &str) -> Option<KindCost> {
    KINDS.into_iter().find(|kind| kind.name == name)
}

impl KindCost {
    /// Maximum throughput of a stage of `layers` layers, in answer tokens per second, with full batches
    /// one after another. For each answer token, `prompt_per_token` positions of prompt are prefilled.
    pub fn max_tokens_per_s(&self, layers: usize, prompt_per_token: f64) -> f64 {
        let batch_size = self.max_batch as f64;
        let per_token = self.per_sequence_us + self.prefill_us_per_token * prompt_per_token;
        let batch_us = (self.fixed_us + batch_size * per_token) * layers as f64 / 8.0;
        batch_size / batch_us * 1e6
    }
}
