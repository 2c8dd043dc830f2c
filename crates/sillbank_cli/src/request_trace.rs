//! Collects the log lines about one request from the log files of several VMs.

use crate::CommandError;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Fields of a log line that name an endpoint.
const ENDPOINT_FIELDS: [&str; 2] = ["endpoint=\"", "at_fault=\""];
/// Prefixes, after the level, of log lines about the state of an endpoint.
const ENDPOINT_PREFIXES: [&str; 2] = ["endpoint: ", "order: "];
/// Time before a request's first line from which endpoint events are included: they still explain
/// its decisions.
const LOOKBACK: Duration = Duration::from_secs(5);
/// Upper bound of the time of a line, which is in seconds of its day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// One log line with its time and file.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    /// Seconds of the day.
    time_s: f64,
    file: String,
    text: String,
}

/// Prints every log line about a request, and the events of the endpoints it was sent to.
///
/// # Errors
/// If a file cannot be read, or no line is about the request.
pub(crate) fn print(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file)?);
    }
    let selected = select(lines, request);
    if selected.is_empty() {
        let remedy = "name the log files of all VMs of its hall; log lines may have been dropped";
        return Err(CommandError::Other(format!(
            "No log line is about request {request}; {remedy}."
        )));
    }
    for line in selected {
        println!("{}: {}", line.file, line.text);
    }
    Ok(())
}

/// Reads the lines of a log file that have a time.
fn read_lines(file: &Path) -> Result<Vec<Line>, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::Other(format!("{}: {error}", file.display())))?;
    let name = file.file_name().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let to_line = |text: &str| {
        Some(Line { time_s: read_time(text)?, file: name.clone(), text: text.to_owned() })
    };
    Ok(text.lines().filter_map(to_line).collect())
}

/// Returns the lines of the request, and the events of its endpoints while it was active or up to
/// [`LOOKBACK`] before, in the order of their times.
fn select(lines: Vec<Line>, request: &str) -> Vec<Line> {
    let request_field = format!("request=\"{request}\"");
    let request_lines: Vec<&Line> =
        lines.iter().filter(|line| line.text.contains(&request_field)).collect();
    let first = request_lines.iter().map(|line| line.time_s).fold(f64::INFINITY, f64::min);
    let last = request_lines.iter().map(|line| line.time_s).fold(0.0, f64::max);
    let endpoints: BTreeSet<&str> =
        request_lines.iter().flat_map(|line| endpoints_in(&line.text)).collect();
    let is_endpoint_event = |line: &&Line| {
        let is_in_time = (first - LOOKBACK.as_secs_f64()..=last).contains(&line.time_s);
        is_in_time
            && ENDPOINT_PREFIXES.iter().any(|prefix| line.text.contains(prefix))
            && endpoints_in(&line.text).iter().any(|id| endpoints.contains(id))
    };
    let endpoint_events =
        lines.iter().filter(|line| !line.text.contains(&request_field)).filter(is_endpoint_event);
    let mut selected: Vec<Line> =
        request_lines.into_iter().chain(endpoint_events).cloned().collect();
    selected.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    selected
}

/// Returns the endpoints that a line names.
fn endpoints_in(text: &str) -> Vec<&str> {
    let found = ENDPOINT_FIELDS.iter().filter_map(|field| {
        let (_, rest) = text.split_once(field)?;
        rest.split_once('"').map(|(id, _)| id)
    });
    found.collect()
}

/// Finds the first word of a line that is a time, such as `2026-12-02T14:14:40.436951Z`, and
/// returns its seconds of the day. Log collectors may put up to three words before it.
fn read_time(text: &str) -> Option<f64> {
    text.split_whitespace().take(4).find_map(|word| {
        let (_, clock) = word.split_once('T')?;
        let mut parts = clock.trim_end_matches('Z').split(':');
        let mut next = || parts.next()?.parse::<f64>().ok();
        let time_s = next()? * 3600.0 + next()? * 60.0 + next()?;
        (time_s < SECONDS_PER_DAY).then_some(time_s)
    })
}
