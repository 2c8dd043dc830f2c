//! Services, the figures of their engines, organisations, and limits on callers.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::{AcceleratorKind, OrganisationId, ServiceId};
use std::time::Duration;

/// What the operator tells of one kind of accelerator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorFigures {
    /// Name.
    pub kind: AcceleratorKind,
    /// Memory for layers and KV cache, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time of a prefill.
    pub prefill_factor: f64,
}

/// What the operator tells of a model and the engines that run it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Requests at once.
    pub slots: u32,
    /// Layers of the model.
    pub layers: u16,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of one token step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Time added to a step for each request in it, in milliseconds.
    pub step_ms_per_request: f64,
    /// Time added to a step for each thousand tokens of context of the requests in it, in milliseconds.
    pub step_ms_per_k_context: f64,
    /// Token steps that an engine plays in one pass; an event holds the tokens of one pass.
    pub steps_per_pass: u32,
    /// Prompt tokens read in a second over all layers.
    pub prefill_tokens_per_s: f64,
    /// Time added to the reading of a prompt for each million pairs of a token and one before it, in
    /// milliseconds.
    pub prefill_ms_per_m_pairs: f64,
    /// Most prompt tokens that are read beside one token step.
    pub prefill_tokens_per_step: u32,
    /// Usual tokens of a prompt.
    pub usual_prompt_tokens: u32,
    /// Usual tokens of an answer.
    pub usual_answer_tokens: u32,
    /// Time to load all layers, in milliseconds.
    pub load_ms: f64,
    /// Loads that run at once without slowing each other.
    pub loads_at_once: u32,
    /// How old an engine's report is, in milliseconds.
    pub report_lag_ms: f64,
    /// Accelerator kinds.
    pub accelerators: Vec<AcceleratorFigures>,
}

impl EngineFigures {
    /// The figures of an accelerator kind.
    pub fn accelerator(&self, kind: &str) -> Option<&AcceleratorFigures> {
        self.accelerators.iter().find(|figures| figures.kind == kind)
    }

    /// Names of the figures of an engine's time that are missing or cannot be: 0, below 0, or no number.
    pub fn unusable(&self) -> Vec<&'static str> {
        let is_positive = |value: f64| value > 0.0 && value.is_finite();
        let mut figures = vec![
            ("step_ms", self.step_ms),
            ("step_ms_per_request", self.step_ms_per_request),
            ("step_ms_per_k_context", self.step_ms_per_k_context),
            ("steps_per_pass", f64::from(self.steps_per_pass)),
            ("prefill_tokens_per_s", self.prefill_tokens_per_s),
            ("prefill_ms_per_m_pairs", self.prefill_ms_per_m_pairs),
            ("prefill_tokens_per_step", f64::from(self.prefill_tokens_per_step)),
            ("usual_prompt_tokens", f64::from(self.usual_prompt_tokens)),
            ("usual_answer_tokens", f64::from(self.usual_answer_tokens)),
        ];
        let kinds = &self.accelerators;
        figures.extend(kinds.iter().map(|kind| ("step_factor", kind.step_factor)));
        figures.extend(kinds.iter().map(|kind| ("prefill_factor", kind.prefill_factor)));
        figures.retain(|(_, value)| !is_positive(*value));
        let mut names: Vec<&str> = figures.into_iter().map(|(name, _)| name).collect();
        names.dedup();
        names
    }
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one endpoint takes from all callers.
    pub max_connections: u32,
    /// Figures, if it runs a model whose layers are spread over endpoints.
    pub engine: Option<EngineFigures>,
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name.
    pub name: OrganisationId,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Rank that goes before the route's; 0 goes first.
    pub priority: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest head.
    pub max_head_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Time for a head, and longest pause within a body.
    pub head_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Used until the first configuration is known: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
