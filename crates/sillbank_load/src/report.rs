//! Figures of a run: a short summary for people, one line of JSON, and a page with plots.

use crate::check::Checked;
use crate::client::{End, Got};
use crate::mix::WorkKind;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::{Duration, Instant};

/// Figures of one run.
pub struct Report {
    title: String,
    requests: usize,
    seconds: f64,
    tokens: u64,
    resumed: usize,
    first_token_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    call_us: Histogram<u64>,
    failures: BTreeMap<String, u64>,
    tokens_by_tenth: Vec<u64>,
    checked: Checked,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in range")
}

impl Report {
    /// Gathers the figures.
    pub fn new(title: &str, all: &[Got], checked: &Checked, started: Instant) -> Self {
        let ended = all.iter().map(|got| got.ended_at).max().unwrap_or(started);
        let mut report = Self {
            title: title.to_owned(),
            requests: all.len(),
            seconds: ended.duration_since(started).as_secs_f64(),
            tokens: 0,
            resumed: 0,
            first_token_us: histogram(),
            gap_us: histogram(),
            call_us: histogram(),
            failures: BTreeMap::new(),
            tokens_by_tenth: Vec::new(),
            checked: checked.clone(),
        };
        all.iter().for_each(|got| report.take(got, started));
        report
    }

    fn take(&mut self, got: &Got, started: Instant) {
        if got.tries > 1 {
            self.resumed += 1;
        }
        if let End::Failed { code, run } = &got.end {
            *self.failures.entry(format!("{code}:{run:?}")).or_default() += 1;
        }
        if let WorkKind::Call { .. } = got.work.kind {
            record(&mut self.call_us, got.ended_at.duration_since(got.sent_at));
            return;
        }
        self.tokens += got.token_times.len() as u64;
        if let Some(first) = got.token_times.first() {
            record(&mut self.first_token_us, first.duration_since(got.sent_at));
        }
        for pair in got.token_times.windows(2) {
            record(&mut self.gap_us, pair[1].duration_since(pair[0]));
        }
        for time in &got.token_times {
            let tenth = (time.duration_since(started).as_millis() / 100) as usize;
            if self.tokens_by_tenth.len() <= tenth {
                self.tokens_by_tenth.resize(tenth + 1, 0);
            }
            self.tokens_by_tenth[tenth] += 1;
        }
    }

    /// A few lines for people.
    pub fn summary(&self) -> String {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let mut text = String::new();
        let checked = &self.checked;
        writeln!(
            text,
            "{} requests in {:.1} s, {:.0} tokens/s",
            self.requests,
            self.seconds,
            self.tokens as f64 / self.seconds
        )
        .ok();
        writeln!(
            text,
            "whole {}  failed {}  resumed {}",
            checked.whole, checked.failed, self.resumed
        )
        .ok();
        writeln!(
            text,
            "first token  p50 {:.1} ms  p95 {:.1} ms",
            ms(&self.first_token_us, 0.5),
            ms(&self.first_token_us, 0.95)
        )
        .ok();
        writeln!(
            text,
            "token gap    p50 {:.1} ms  p95 {:.1} ms  max {:.1} ms",
            ms(&self.gap_us, 0.5),
            ms(&self.gap_us, 0.95),
            ms(&self.gap_us, 1.0)
        )
        .ok();
        writeln!(
            text,
            "service call p50 {:.1} ms  p95 {:.1} ms",
            ms(&self.call_us, 0.5),
            ms(&self.call_us, 0.95)
        )
        .ok();
        for (failure, count) in &self.failures {
            writeln!(text, "failure {failure}: {count}").ok();
        }
        let verdict = if checked.passed() { "passed" } else { "FAILED" };
        writeln!(text, "check {verdict}: {}", serde_json::json!(checked)).ok();
        text
    }

    /// One line for machines.
    pub fn json(&self) -> serde_json::Value {
        let quantiles = |h: &Histogram<u64>| {
            serde_json::json!({
                "p50_us": h.value_at_quantile(0.5),
                "p95_us": h.value_at_quantile(0.95),
                "max_us": h.max(),
                "count": h.len(),
            })
        };
        serde_json::json!({
            "title": self.title,
            "requests": self.requests,
            "seconds": self.seconds,
            "tokens": self.tokens,
            "tokens_per_s": self.tokens as f64 / self.seconds,
            "resumed": self.resumed,
            "first_token": quantiles(&self.first_token_us),
            "gap": quantiles(&self.gap_us),
            "call": quantiles(&self.call_us),
            "failures": self.failures,
            "check": self.checked,
            "passed": self.checked.passed(),
        })
    }

    /// Writes `report.json` and `report.html`.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join("report.json"), format!("{:#}\n", self.json()))?;
        std::fs::write(folder.join("report.html"), self.page())
    }

    fn page(&self) -> String {
        let rate: Vec<f64> = self.tokens_by_tenth.iter().map(|n| *n as f64 * 10.0).collect();
        let quantile_curve = |h: &Histogram<u64>| -> Vec<f64> {
            (0..=100).map(|q| h.value_at_quantile(f64::from(q) / 100.0) as f64 / 1000.0).collect()
        };
        let plots = [
            plot("Tokens a second over time (tenths of a second)", &rate),
            plot("First token, ms by percentile", &quantile_curve(&self.first_token_us)),
            plot("Gap between tokens, ms by percentile", &quantile_curve(&self.gap_us)),
            plot("Service call, ms by percentile", &quantile_curve(&self.call_us)),
        ];
        format!(
            "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><style>body{{font:14px \
             sans-serif;margin:2em}}svg{{display:block;margin:1em 0}}</style><h1>{0}</h1>\
             <pre>{1}</pre>{2}\n",
            escape(&self.title),
            escape(&self.summary()),
            plots.join("\n"),
        )
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A line plot as SVG.
fn plot(title: &str, values: &[f64]) -> String {
    let (width, height) = (720.0, 200.0);
    let top = values.iter().copied().fold(0.0, f64::max).max(1e-9);
    let step = width / (values.len().max(2) - 1) as f64;
    let point = |(at, value): (usize, &f64)| {
        format!("{:.1},{:.1}", at as f64 * step, height - value / top * height)
    };
    let points: Vec<String> = values.iter().enumerate().map(point).collect();
    format!(
        "<h3>{}</h3><svg viewBox=\"-60 -10 {} {}\" width=\"{}\"><rect width=\"{width}\" \
         height=\"{height}\" fill=\"none\" stroke=\"#ccc\"/><polyline points=\"{}\" fill=\"none\" \
         stroke=\"#06c\" stroke-width=\"1.5\"/><text x=\"-55\" y=\"8\">{top:.1}</text>\
         <text x=\"-55\" y=\"{height}\">0</text></svg>",
        escape(title),
        width + 80.0,
        height + 30.0,
        width + 80.0,
        points.join(" "),
    )
}

/// The value below which a share of sorted values lies.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    match sorted.len() {
        0 => 0,
        count => sorted[((count - 1) as f64 * q).round() as usize],
    }
}
