//! What is sent: the mix of both users' requests, drawn from a seed.

use sillbank_core::prelude::*;

/// One request of the mix.
#[derive(Debug, Clone)]
pub struct Work {
    /// Organisation that calls.
    pub organisation: OrganisationId,
    /// Its key.
    pub key: String,
    /// Id the caller gives the request.
    pub request_id: String,
    /// What is asked for.
    pub kind: WorkKind,
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub enum WorkKind {
    /// A generated answer.
    Generate {
        /// Pipeline.
        pipeline: PipelineId,
        /// Words of the prompt.
        prompt: String,
        /// Longest answer.
        max_tokens: u32,
        /// Greater goes first.
        priority: u8,
    },
    /// A call to a plain service.
    Call {
        /// Service.
        service: ServiceId,
        /// Path at the service.
        path: String,
        /// Whether it may be sent again.
        repeatable: bool,
    },
}

/// Shares and sizes of a mix.
#[derive(Debug, Clone, Copy)]
pub struct MixShape {
    /// Share of service calls among all requests.
    pub call_share: f64,
    /// Factor on the length of generated answers.
    pub length_factor: f64,
    /// Which pipelines are asked.
    pub tops: &'static [Top],
}

/// One user's part of the tree, as `sillbank-load fleet` lays it out.
#[derive(Debug, Clone, Copy)]
pub struct Top {
    /// Top node.
    pub name: &'static str,
    /// Pipeline.
    pub pipeline: &'static str,
    /// Service whose calls may be sent again.
    pub repeatable_service: &'static str,
    /// Service whose calls may not.
    pub keyed_service: &'static str,
    /// Words in a prompt, at least and at most.
    pub prompt_words: (usize, usize),
    /// Tokens of an answer, at least and at most.
    pub answer_tokens: (u32, u32),
}

/// Market summaries, quote snapshots and partner notices.
pub const MARKET: Top = Top {
    name: "market",
    pipeline: "summaries",
    repeatable_service: "quotes",
    keyed_service: "notices",
    prompt_words: (30, 200),
    answer_tokens: (20, 80),
};
/// Drafts of first messages, match alerts and booking confirmations.
pub const MATCH: Top = Top {
    name: "match",
    pipeline: "drafts",
    repeatable_service: "alerts",
    keyed_service: "confirmations",
    prompt_words: (80, 400),
    answer_tokens: (60, 200),
};
/// Both users.
pub const BOTH: &[Top] = &[MARKET, MATCH];

/// Organisations of each user.
pub const ORGANISATIONS: usize = 10;

/// Name of an organisation.
pub fn organisation_name(top: &str, number: usize) -> String {
    format!("{top}-org{number}")
}

/// Key of an organisation of the local fleet. Real keys are drawn by operators.
pub fn organisation_key(name: &str) -> String {
    format!("local-key-{name}")
}

/// Draws requests.
#[derive(Debug)]
pub struct Mix {
    rng: fastrand::Rng,
    shape: MixShape,
    count: u64,
    run_name: String,
}

impl Mix {
    /// A mix drawn from a seed; the run's name begins every request id.
    pub fn new(seed: u64, shape: MixShape, run_name: String) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), shape, count: 0, run_name }
    }

    /// Time to the next arrival, in seconds, for a rate in requests a second.
    pub fn gap_s(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.f64()).ln() / rate
    }

    /// Draws the next request.
    pub fn draw(&mut self) -> Work {
        let top = self.shape.tops[self.rng.usize(..self.shape.tops.len())];
        // The first few organisations are large: a square of the draw favours them.
        let draw = self.rng.f64();
        let number = (draw * draw * ORGANISATIONS as f64) as usize;
        let organisation = organisation_name(top.name, number);
        self.count += 1;
        Work {
            key: organisation_key(&organisation),
            organisation,
            request_id: format!("{}-{}", self.run_name, self.count),
            kind: self.kind(top),
        }
    }

    fn kind(&mut self, top: Top) -> WorkKind {
        if self.rng.f64() < self.shape.call_share {
            let repeatable = self.rng.bool();
            let service = if repeatable { top.repeatable_service } else { top.keyed_service };
            return WorkKind::Call {
                service: service.to_owned(),
                path: format!("do/{}", self.rng.u32(..1000)),
                repeatable,
            };
        }
        let words = self.rng.usize(top.prompt_words.0..=top.prompt_words.1);
        let prompt: Vec<String> =
            (0..words).map(|_| format!("w{}", self.rng.u32(..5000))).collect();
        let (least, most) = top.answer_tokens;
        let tokens = f64::from(self.rng.u32(least..=most)) * self.shape.length_factor;
        WorkKind::Generate {
            pipeline: top.pipeline.to_owned(),
            prompt: prompt.join(" "),
            max_tokens: (tokens as u32).max(1),
            priority: if self.rng.f64() < 0.1 { 8 } else { 4 },
        }
    }
}
