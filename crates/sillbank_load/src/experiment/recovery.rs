//! Time that goodput takes to recover after a fault.

use super::{belongs_to, distribution, is_generation, micros};
use crate::client::RequestRecord;
use crate::mix::Workload;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Width of the time buckets in which tokens are counted.
const BUCKET: Duration = Duration::from_millis(100);
/// Goodput has recovered when it reaches this share of the goodput before the fault.
const RECOVERED_SHARE: f64 = 0.95;
/// Gaps between tokens that overlap this time after a fault are attributed to it.
const FAULT_WINDOW: Duration = Duration::from_millis(1500);
/// Number of buckets over which goodput is averaged.
const AVERAGED_BUCKETS: usize = 5;

/// Returns, for each fault and workload, the time until goodput recovered and the longest gap of
/// each stream that was active.
///
/// # Errors
/// If the file cannot be read or a line is not `MILLISECONDS NAME`.
pub(super) fn recovery_figures(
    path: &Path,
    records: &[RequestRecord],
    workloads: &[Workload],
    clock: (Instant, SystemTime),
) -> Result<Value, Box<dyn std::error::Error>> {
    let started_ms = clock.1.duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let text = std::fs::read_to_string(path)?;
    let mut faults = Vec::new();
    for line in text.lines() {
        let (ms, name) =
            line.split_once(' ').ok_or("a line of the faults file is not MILLISECONDS NAME")?;
        faults.push((Duration::from_millis(ms.parse::<u64>()?.saturating_sub(started_ms)), name));
    }
    let mut figures_by_fault = Vec::new();
    for (number, (at, name)) in faults.iter().enumerate() {
        let until = faults.get(number + 1).map_or(*at + Duration::from_secs(5), |next| next.0);
        let mut figures = json!({ "fault": name, "at_ms": at.as_millis() as u64 });
        for workload in workloads {
            let answers: Vec<&RequestRecord> = records
                .iter()
                .filter(|record| belongs_to(record, workload) && is_generation(record))
                .collect();
            figures[workload.name] = fault_figures(&answers, clock.0, *at, until);
        }
        figures_by_fault.push(figures);
    }
    Ok(json!(figures_by_fault))
}

fn fault_figures(
    answers: &[&RequestRecord],
    started: Instant,
    at: Duration,
    until: Duration,
) -> Value {
    let buckets = (until.as_millis() / BUCKET.as_millis()) as usize + 1;
    let mut tokens = vec![0.0; buckets];
    for time in answers.iter().flat_map(|record| &record.token_times) {
        let bucket = time.saturating_duration_since(started).as_millis() / BUCKET.as_millis();
        if let Some(count) = tokens.get_mut(bucket as usize) {
            *count += 1.0;
        }
    }
    let fault_bucket = (at.as_millis() / BUCKET.as_millis()) as usize;
    let mean = |from: usize, to: usize| {
        let range = &tokens[from.min(buckets)..to.min(buckets)];
        range.iter().sum::<f64>() / range.len().max(1) as f64
    };
    let before = mean(fault_bucket.saturating_sub(15), fault_bucket);
    let recovered = (fault_bucket + 1..buckets.saturating_sub(AVERAGED_BUCKETS))
        .find(|bucket| mean(*bucket, bucket + AVERAGED_BUCKETS) >= before * RECOVERED_SHARE);
    let (fault, end) = (started + at, started + at + FAULT_WINDOW);
    let mut longest_gap_us = Vec::new();
    for record in answers {
        let gaps = record.token_times.windows(2).filter(|p| p[1] >= fault && p[0] < end);
        longest_gap_us.extend(gaps.map(|p| micros(p[0], p[1])).max());
    }
    json!({
        "goodput_before_tokens_per_s": before * 1000.0 / BUCKET.as_millis() as f64,
        "back_after_ms": recovered.map(|bucket| (bucket - fault_bucket) as u64 * BUCKET.as_millis() as u64),
        "longest_gap_us": distribution(longest_gap_us),
    })
}
