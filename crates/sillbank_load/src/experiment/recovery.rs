//! How long goodput takes to come back after a fault.

use super::{is_answer, is_of, micros, spread};
use crate::client::Got;
use crate::mix::Top;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Width of a slice of time in which goodput is judged.
const SLICE: Duration = Duration::from_millis(100);
/// Goodput is back when it is at this share of what it was before.
const BACK: f64 = 0.95;
/// Gaps that begin so long after a fault, or are open when it comes, count as its.
const HIT: Duration = Duration::from_millis(1500);
/// Slices over which goodput is averaged when it is judged.
const AVERAGED: usize = 5;

/// For each fault and pipeline: time until goodput was back, and the longest gaps of the streams
/// that were on their way.
pub(super) fn recoveries(
    path: &Path,
    all: &[Got],
    tops: &[Top],
    clock: (Instant, SystemTime),
) -> Result<Value, Box<dyn std::error::Error>> {
    let started_ms = clock.1.duration_since(UNIX_EPOCH)?.as_millis() as u64;
    let text = std::fs::read_to_string(path)?;
    let mut faults = Vec::new();
    for line in text.lines() {
        let (ms, name) = line.split_once(' ').ok_or("a fault has no name")?;
        faults.push((Duration::from_millis(ms.parse::<u64>()?.saturating_sub(started_ms)), name));
    }
    let mut found = Vec::new();
    for (number, (at, name)) in faults.iter().enumerate() {
        let until = faults.get(number + 1).map_or(*at + Duration::from_secs(5), |next| next.0);
        let mut figures = json!({ "fault": name, "at_ms": at.as_millis() as u64 });
        for top in tops {
            let answers: Vec<&Got> =
                all.iter().filter(|got| is_of(got, top) && is_answer(got)).collect();
            figures[top.name] = recovery(&answers, clock.0, *at, until);
        }
        found.push(figures);
    }
    Ok(json!(found))
}

fn recovery(answers: &[&Got], started: Instant, at: Duration, until: Duration) -> Value {
    let slices = (until.as_millis() / SLICE.as_millis()) as usize + 1;
    let mut tokens = vec![0.0; slices];
    for time in answers.iter().flat_map(|got| &got.token_times) {
        let slice = time.saturating_duration_since(started).as_millis() / SLICE.as_millis();
        if let Some(count) = tokens.get_mut(slice as usize) {
            *count += 1.0;
        }
    }
    let first = (at.as_millis() / SLICE.as_millis()) as usize;
    let mean = |from: usize, to: usize| {
        let part = &tokens[from.min(slices)..to.min(slices)];
        part.iter().sum::<f64>() / part.len().max(1) as f64
    };
    let before = mean(first.saturating_sub(15), first);
    let back = (first + 1..slices.saturating_sub(AVERAGED))
        .find(|slice| mean(*slice, slice + AVERAGED) >= before * BACK);
    let (fault, end) = (started + at, started + at + HIT);
    let mut longest = Vec::new();
    for got in answers {
        let gaps = got.token_times.windows(2).filter(|p| p[1] >= fault && p[0] < end);
        longest.extend(gaps.map(|p| micros(p[0], p[1])).max());
    }
    json!({
        "goodput_before_tokens_per_s": before * 1000.0 / SLICE.as_millis() as f64,
        "back_after_ms": back.map(|slice| (slice - first) as u64 * SLICE.as_millis() as u64),
        "longest_gap_us": spread(longest),
    })
}
