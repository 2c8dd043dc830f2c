//! Services, the performance figures of their engines, organisations, and limits on callers.

use serde::{Deserialize, Serialize};
use sillbank_core::prelude::{AcceleratorKind, OrganisationId, ServiceId};
use std::time::Duration;

/// Performance figures that the operator states for one kind of accelerator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceleratorFigures {
    /// Name of the accelerator kind.
    pub kind: AcceleratorKind,
    /// Memory for layers and KV cache, in megabytes.
    pub memory_mb: f64,
    /// Factor on the time of a token step.
    pub step_factor: f64,
    /// Factor on the time of a prefill.
    pub prefill_factor: f64,
}

/// Performance figures that the operator states for a model and the engines that run it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Number of layers of the model.
    pub layers: u16,
    /// Memory of one layer, in megabytes.
    pub layer_mb: f64,
    /// KV cache of one token across all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of one token step across all layers, in milliseconds.
    pub step_ms: f64,
    /// Time added to a step per request in it, in milliseconds.
    pub step_ms_per_request: f64,
    /// Time added to a step per thousand tokens of context of the requests in it, in milliseconds.
    pub step_ms_per_k_context: f64,
    /// Token steps that an engine runs in one pass; an event holds the tokens of one pass.
    pub steps_per_pass: u32,
    /// Prompt tokens prefilled per second across all layers.
    pub prefill_tokens_per_s: f64,
    /// Time added to a prefill per million pairs of a token and an earlier one, in milliseconds.
    pub prefill_ms_per_m_pairs: f64,
    /// Maximum number of prompt tokens prefilled along with one token step.
    pub prefill_tokens_per_step: u32,
    /// Typical number of tokens of a prompt.
    pub usual_prompt_tokens: u32,
    /// Typical number of tokens of an answer.
    pub usual_answer_tokens: u32,
    /// Time to load all layers, in milliseconds.
    pub load_ms: f64,
    /// Number of loads that run concurrently without slowing each other.
    pub loads_at_once: u32,
    /// Delay of an engine's reports, in milliseconds.
    pub report_lag_ms: f64,
    /// Figures of each accelerator kind.
    pub accelerators: Vec<AcceleratorFigures>,
}

impl EngineFigures {
    /// The figures of an accelerator kind.
    pub fn accelerator(&self, kind: &str) -> Option<&AcceleratorFigures> {
        self.accelerators.iter().find(|figures| figures.kind == kind)
    }

    /// Names of the figures for an engine's time that are missing or invalid: zero, negative or not
    /// finite.
    pub fn invalid_figures(&self) -> Vec<&'static str> {
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

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Path of its health check.
    pub health_path: String,
    /// Maximum number of connections to one endpoint, over all callers.
    pub max_connections: u32,
    /// Performance figures, if it runs a model whose layers are spread over endpoints.
    pub engine: Option<EngineFigures>,
}

/// An organisation whose callers use the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationId,
    /// API keys of its callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for a head, and for each pause within a body.
    pub head_timeout: Duration,
    /// Time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits of a configuration that sets none: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            max_body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
