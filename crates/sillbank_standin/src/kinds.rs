//! Cost models of five accelerator kinds, for a stage of eight layers.

/// What steps cost on one kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KindCost {
    pub(crate) name: &'static str,
    /// Cost of a batch, whatever is in it, in microseconds.
    pub(crate) fixed_us: f64,
    /// Cost of each sequence in the batch, in microseconds.
    pub(crate) per_sequence_us: f64,
    /// Cost of each position of a prefill, in microseconds.
    pub(crate) prefill_us_per_token: f64,
    /// Positions of KV cache that fit.
    pub(crate) kv_tokens: u32,
    /// Sequences in one batch.
    pub(crate) max_batch: usize,
}

/// The kinds, quickest first; a factor of five lies between first and last.
pub(crate) const KINDS: [KindCost; 5] = [
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
pub(crate) fn kind(name: &str) -> Option<KindCost> {
    KINDS.into_iter().find(|kind| kind.name == name)
}
