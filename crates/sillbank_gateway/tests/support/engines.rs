//! A service with engines and their figures.

use sillbank_catalog::prelude::*;

/// Layers of the model.
pub(crate) const LAYERS: u16 = 20;
/// Slots of each engine.
pub(crate) const SLOTS: u32 = 192;

/// The service, with a fast and a slow kind of accelerator.
pub(crate) fn service() -> Service {
    let accelerators = [("quick", 3.1), ("slow", 16.0)].map(|(kind, factor)| AcceleratorFigures {
        kind: kind.to_owned(),
        memory_mb: 36_000.0,
        step_factor: factor,
        prefill_factor: factor,
    });
    let engine = EngineFigures {
        slots: SLOTS,
        layers: LAYERS,
        layer_mb: 1750.0,
        kv_token_bytes: 459_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.003,
        step_ms_per_k_context: 0.006,
        steps_per_pass: 5,
        prefill_tokens_per_s: 252_000.0,
        prefill_ms_per_m_pairs: 0.2,
        prefill_tokens_per_step: 512,
        usual_prompt_tokens: 772,
        usual_answer_tokens: 154,
        load_ms: 14_000.0,
        loads_at_once: 6,
        report_lag_ms: 200.0,
        accelerators: accelerators.to_vec(),
    };
    Service {
        name: "gen".to_owned(),
        health_path: "/healthz".to_owned(),
        max_connections: 100,
        engine: Some(engine),
    }
}
