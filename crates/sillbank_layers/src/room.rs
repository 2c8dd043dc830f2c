//! How many layers fit an endpoint, and how much KV cache is left beside them.

/// Bytes in a megabyte, as the operator's figures count.
const MB: f64 = 1e6;

/// Memory figures of a model on one kind of accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemoryShape {
    /// Memory of the accelerator, in megabytes.
    pub memory_mb: f64,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// Layers of the model.
    pub layers: u16,
    /// KV cache of a token over all layers, in bytes.
    pub kv_token_bytes: f64,
}

/// Tokens whose KV cache fits beside so many layers.
pub fn tokens_that_fit(shape: &MemoryShape, held: u16) -> f64 {
    let free_mb = shape.memory_mb - f64::from(held) * shape.layer_mb;
    if free_mb <= 0.0 {
        return 0.0;
    }
    let bytes_per_token = shape.kv_token_bytes / f64::from(shape.layers) * f64::from(held.max(1));
    free_mb * MB / bytes_per_token
}

/// Most layers beside which the KV cache of `tokens` tokens fits.
pub fn layers_that_fit(shape: &MemoryShape, tokens: f64) -> u16 {
    let fits = |held: &u16| {
        f64::from(*held) * shape.layer_mb <= shape.memory_mb
            && tokens_that_fit(shape, *held) >= tokens
    };
    (1..=shape.layers).rev().find(fits).unwrap_or(0)
}
