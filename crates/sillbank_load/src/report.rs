//! The report of a run: a short text summary, one line of JSON, and an HTML page with plots.

use crate::check::CheckResult;
use crate::client::{Outcome, RequestRecord};
use crate::mix::RequestKind;
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
    /// Tokens in each 100 ms since the start.
    tokens_by_bucket: Vec<u64>,
    check_result: CheckResult,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are in range")
}

impl Report {
    /// Collects the figures of all requests.
    pub fn new(
        title: &str,
        requests: &[RequestRecord],
        check_result: &CheckResult,
        started: Instant,
    ) -> Self {
        let ended = requests.iter().map(|request| request.ended_at).max().unwrap_or(started);
        let mut report = Self {
            title: title.to_owned(),
            requests: requests.len(),
            seconds: ended.duration_since(started).as_secs_f64(),
            tokens: 0,
            resumed: 0,
            first_token_us: histogram(),
            gap_us: histogram(),
            call_us: histogram(),
            failures: BTreeMap::new(),
            tokens_by_bucket: Vec::new(),
            check_result: check_result.clone(),
        };
        requests.iter().for_each(|request| report.add(request, started));
        report
    }

    fn add(&mut self, request: &RequestRecord, started: Instant) {
        if request.tries > 1 {
            self.resumed += 1;
        }
        if let Outcome::Failed { code, run } = &request.outcome {
            *self.failures.entry(format!("{code}:{run:?}")).or_default() += 1;
        }
        if let RequestKind::Call { .. } = request.spec.kind {
            record_duration(&mut self.call_us, request.ended_at.duration_since(request.sent_at));
            return;
        }
        self.tokens += request.token_times.len() as u64;
        if let Some(first) = request.token_times.first() {
            record_duration(&mut self.first_token_us, first.duration_since(request.sent_at));
        }
        for pair in request.token_times.windows(2) {
            record_duration(&mut self.gap_us, pair[1].duration_since(pair[0]));
        }
        for time in &request.token_times {
            let bucket = (time.duration_since(started).as_millis() / 100) as usize;
            if self.tokens_by_bucket.len() <= bucket {
                self.tokens_by_bucket.resize(bucket + 1, 0);
            }
            self.tokens_by_bucket[bucket] += 1;
        }
    }

    /// Returns a summary of a few lines.
    pub fn summary(&self) -> String {
        let ms = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let mut text = String::new();
        let check_result = &self.check_result;
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
            check_result.whole, check_result.failed, self.resumed
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
        let verdict = if check_result.passed() { "passed" } else { "FAILED" };
        writeln!(text, "check {verdict}: {}", serde_json::json!(check_result)).ok();
        text
    }

    /// Returns the figures as JSON.
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
            "check": self.check_result,
            "passed": self.check_result.passed(),
        })
    }

    /// Writes `report.json` and `report.html` to a folder, which is created if needed.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        std::fs::create_dir_all(folder)?;
        std::fs::write(folder.join("report.json"), format!("{:#}\n", self.json()))?;
        std::fs::write(folder.join("report.html"), self.page())
    }

    fn page(&self) -> String {
        let rate: Vec<f64> = self.tokens_by_bucket.iter().map(|n| *n as f64 * 10.0).collect();
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

fn record_duration(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns a line plot as SVG.
fn plot(title: &str, values: &[f64]) -> String {
    let (width, height) = (720.0, 200.0);
    let max = values.iter().copied().fold(0.0, f64::max).max(1e-9);
    let step = width / (values.len().max(2) - 1) as f64;
    let point = |(index, value): (usize, &f64)| {
        format!("{:.1},{:.1}", index as f64 * step, height - value / max * height)
    };
    let points: Vec<String> = values.iter().enumerate().map(point).collect();
    format!(
        "<h3>{}</h3><svg viewBox=\"-60 -10 {} {}\" width=\"{}\"><rect width=\"{width}\" \
         height=\"{height}\" fill=\"none\" stroke=\"#ccc\"/><polyline points=\"{}\" fill=\"none\" \
         stroke=\"#06c\" stroke-width=\"1.5\"/><text x=\"-55\" y=\"8\">{max:.1}</text>\
         <text x=\"-55\" y=\"{height}\">0</text></svg>",
        escape(title),
        width + 80.0,
        height + 30.0,
        width + 80.0,
        points.join(" "),
    )
}

/// Returns the nearest-rank quantile `q` (0 to 1) of sorted values, or 0 if there are none.
pub fn quantile(sorted: &[u64], q: f64) -> u64 {
    match sorted.len() {
        0 => 0,
        count => sorted[((count - 1) as f64 * q).round() as usize],
    }
}
