//! How many layers fit into an endpoint's memory, and how many tokens of KV cache beside them.

/// The service's figures count decimal megabytes.
const BYTES_PER_MB: f64 = 1e6;

/// Memory sizes of a model on one kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryFigures {
    /// Memory of the accelerator, in megabytes.
    pub memory_mb: f64,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// Number of layers of the model.
    pub layers: u16,
    /// KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
}

/// Tokens whose KV cache fits beside `held` layers.
pub fn tokens_that_fit(figures: &MemoryFigures, held: u16) -> f64 {
    let free_mb = figures.memory_mb - f64::from(held) * figures.layer_mb;
    if free_mb <= 0.0 {
        return 0.0;
    }
    let bytes_per_token =
        figures.kv_token_bytes / f64::from(figures.layers) * f64::from(held.max(1));
    free_mb * BYTES_PER_MB / bytes_per_token
}

/// Maximum number of layers beside which the KV cache of `tokens` tokens fits.
pub fn layers_that_fit(figures: &MemoryFigures, tokens: f64) -> u16 {
    let fits = |held: &u16| {
        f64::from(*held) * figures.layer_mb <= figures.memory_mb
            && tokens_that_fit(figures, *held) >= tokens
    };
    (1..=figures.layers).rev().find(fits).unwrap_or(0)
}
