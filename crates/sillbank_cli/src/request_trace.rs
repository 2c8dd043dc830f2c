//! The story of one request, out of the log files of several VMs.

use crate::CommandError;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Fields of a log line that name an endpoint.
const ENDPOINT_FIELDS: [&str; 2] = ["endpoint=\"", "at_fault=\""];
/// Lines that tell a change of a belief about an endpoint begin like this after their level.
const BELIEF_PREFIXES: [&str; 2] = ["endpoint: ", "order: "];
/// How long before a request's first line beliefs still explain what was decided.
const BEFORE: Duration = Duration::from_secs(5);
/// Times of a line are seconds of its day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// One line with its time.
#[derive(Debug, Clone, PartialEq)]
struct Line {
    /// Seconds of the day.
    time_s: f64,
    file: String,
    text: String,
}

/// Prints every line about a request, and what was believed of the endpoints it was sent to.
pub(crate) fn tell(request: &str, files: &[PathBuf]) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_lines(file)?);
    }
    let told = select(lines, request);
    if told.is_empty() {
        let remedy = "name the log files of all VMs of its hall; lines may have been left out";
        return Err(CommandError::Other(format!("No line has request {request}; {remedy}.")));
    }
    for line in told {
        println!("{}: {}", line.file, line.text);
    }
    Ok(())
}

fn read_lines(file: &Path) -> Result<Vec<Line>, CommandError> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| CommandError::Other(format!("{}: {error}", file.display())))?;
    let name = file.file_name().map_or_else(String::new, |n| n.to_string_lossy().into_owned());
    let to_line = |text: &str| {
        Some(Line { time_s: read_time(text)?, file: name.clone(), text: text.to_owned() })
    };
    Ok(text.lines().filter_map(to_line).collect())
}

/// Lines of the request, and beliefs about its endpoints while it was there or shortly before, in
/// the order of their times.
fn select(lines: Vec<Line>, request: &str) -> Vec<Line> {
    let named = format!("request=\"{request}\"");
    let own: Vec<&Line> = lines.iter().filter(|line| line.text.contains(&named)).collect();
    let first = own.iter().map(|line| line.time_s).fold(f64::INFINITY, f64::min);
    let last = own.iter().map(|line| line.time_s).fold(0.0, f64::max);
    let endpoints: BTreeSet<&str> = own.iter().flat_map(|line| endpoints_in(&line.text)).collect();
    let is_belief = |line: &&Line| {
        let near = (first - BEFORE.as_secs_f64()..=last).contains(&line.time_s);
        near && BELIEF_PREFIXES.iter().any(|prefix| line.text.contains(prefix))
            && endpoints_in(&line.text).iter().any(|id| endpoints.contains(id))
    };
    let beliefs = lines.iter().filter(|line| !line.text.contains(&named)).filter(is_belief);
    let mut told: Vec<Line> = own.into_iter().chain(beliefs).cloned().collect();
    told.sort_by(|a, b| a.time_s.total_cmp(&b.time_s));
    told
}

fn endpoints_in(text: &str) -> Vec<&str> {
    let found = ENDPOINT_FIELDS.iter().filter_map(|field| {
        let (_, rest) = text.split_once(field)?;
        rest.split_once('"').map(|(id, _)| id)
    });
    found.collect()
}

/// Seconds of the day in the first word of a line that is a time such as
/// `2026-12-02T14:14:40.436951Z`; a word before it (as a collector adds) does no harm.
fn read_time(text: &str) -> Option<f64> {
    text.split_whitespace().take(4).find_map(|word| {
        let (_, clock) = word.split_once('T')?;
        let mut parts = clock.trim_end_matches('Z').split(':');
        let mut next = || parts.next()?.parse::<f64>().ok();
        let time_s = next()? * 3600.0 + next()? * 60.0 + next()?;
        (time_s < SECONDS_PER_DAY).then_some(time_s)
    })
}
