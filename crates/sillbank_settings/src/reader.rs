//! Reader that takes fields out of a table, checks them and collects all problems.

use serde_json::{Map, Value};
use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// A problem in settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// File or object key.
    pub source: String,
    /// Path of the field within the source.
    pub path: String,
    /// What is wrong.
    pub reason: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}; {}", self.source, self.path, self.reason, self.remedy)
    }
}

/// All problems found in a source.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Problem::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Problems {}

/// Reader of one table. Getters record a problem and return a placeholder value when a field is invalid.
/// [`FieldReader::finish`] returns the recorded problems and refuses fields that were not read.
#[derive(Debug)]
pub struct FieldReader {
    source: String,
    prefix: String,
    fields: Map<String, Value>,
    problems: Vec<Problem>,
}

impl FieldReader {
    /// Creates a reader of a JSON value, which must be a table.
    pub fn new(source: &str, value: Value) -> Self {
        let mut reader = Self {
            source: source.to_owned(),
            prefix: String::new(),
            fields: Map::new(),
            problems: Vec::new(),
        };
        match value {
            Value::Object(fields) => reader.fields = fields,
            _ => reader.add_problem("", "it is not a table", "write fields as 'name = value'"),
        }
        reader
    }

    /// Creates a reader of TOML text.
    ///
    /// # Errors
    /// Returns one [`Problem`] with the line of the error if the text is not valid TOML.
    pub fn from_toml(source: &str, text: &str) -> Result<Self, Problems> {
        toml::from_str::<Value>(text).map(|value| Self::new(source, value)).map_err(|e| {
            let line = e.span().map_or(0, |s| text[..s.start].matches('\n').count() + 1);
            Problems(vec![Problem {
                source: source.to_owned(),
                path: format!("line {line}"),
                reason: e.message().to_owned(),
                remedy: "correct the TOML".to_owned(),
            }])
        })
    }

    /// Records a problem of a field.
    pub fn add_problem(
        &mut self,
        name: &str,
        reason: impl Into<String>,
        remedy: impl Into<String>,
    ) {
        let path = match (self.prefix.is_empty(), name.is_empty()) {
            (true, true) => "(top)".to_owned(),
            (true, false) => name.to_owned(),
            (false, true) => self.prefix.clone(),
            (false, false) => format!("{}.{name}", self.prefix),
        };
        self.problems.push(Problem {
            source: self.source.clone(),
            path,
            reason: reason.into(),
            remedy: remedy.into(),
        });
    }

    /// Removes and returns a field, if it is present.
    pub fn take(&mut self, name: &str) -> Option<Value> {
        self.fields.remove(name)
    }

    /// Whether a field is present and has not been read.
    pub fn has(&self, name: &str) -> bool {
        self.fields.contains_key(name)
    }

    /// Reads a required string, which must not be empty.
    pub fn text(&mut self, name: &str) -> String {
        match self.text_or_none(name) {
            Some(text) if !text.is_empty() => text,
            Some(_) => {
                self.add_problem(name, "it is empty", "give it a value");
                String::new()
            }
            None => {
                if !self.problems.iter().any(|p| p.path.ends_with(name)) {
                    self.add_problem(name, "it is missing", format!("add '{name} = \"...\"'"));
                }
                String::new()
            }
        }
    }

    /// Reads an optional string.
    pub fn text_or_none(&mut self, name: &str) -> Option<String> {
        match self.take(name)? {
            Value::String(text) => Some(text),
            other => {
                self.add_problem(name, format!("{other} is not a text"), "put it in quotes");
                None
            }
        }
    }

    /// Reads a required name, which consists of letters, digits, '-', '_' and '.'.
    pub fn name(&mut self, name: &str) -> String {
        let text = self.text(name);
        if !text.is_empty() && !is_name(&text) {
            self.add_problem(
                name,
                format!("'{text}' is not a name"),
                "use letters, digits, '-', '_', '.'",
            );
        }
        text
    }

    /// Reads one of several known strings, or the default.
    pub fn choice(&mut self, name: &str, known: &[&str], default: &str) -> String {
        let text = self.text_or_none(name).unwrap_or_else(|| default.to_owned());
        if !known.contains(&text.as_str()) {
            let all = known.join(", ");
            self.add_problem(name, format!("'{text}' is not known"), format!("use one of: {all}"));
        }
        text
    }

    /// Reads a required IP address with a port.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let text = self.text(name);
        self.parse_address(name, &text)
    }

    /// Reads a list of IP addresses with ports, empty by default.
    pub fn addresses(&mut self, name: &str) -> Vec<SocketAddr> {
        let texts = self.texts(name);
        texts.iter().map(|text| self.parse_address(name, text)).collect()
    }

    /// Reads a list of strings, empty by default.
    pub fn texts(&mut self, name: &str) -> Vec<String> {
        match self.take(name) {
            None => Vec::new(),
            Some(Value::Array(items)) if items.iter().all(Value::is_string) => {
                items.iter().filter_map(Value::as_str).map(str::to_owned).collect()
            }
            Some(_) => {
                self.add_problem(name, "it is not a list of texts", "write it as [\"a\", \"b\"]");
                Vec::new()
            }
        }
    }

    /// Reads an integer within a range, or the default.
    pub fn number(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        self.number_or_none(name, range).unwrap_or(default)
    }

    /// Reads an optional integer within a range.
    pub fn number_or_none(&mut self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.take(name)?;
        match value.as_u64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let (low, high) = range.into_inner();
                let remedy = format!("use a whole number from {low} to {high}");
                self.add_problem(name, format!("{value} is out of range"), remedy);
                None
            }
        }
    }

    /// Reads a number within a range, or the default.
    pub fn fraction(&mut self, name: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        self.fraction_or_none(name, range).unwrap_or(default)
    }

    /// Reads an optional number within a range.
    pub fn fraction_or_none(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.take(name)?;
        match value.as_f64() {
            Some(number) if range.contains(&number) => Some(number),
            _ => {
                let remedy = format!("use a number from {} to {}", range.start(), range.end());
                self.add_problem(name, format!("{value} is out of range"), remedy);
                None
            }
        }
    }

    /// Reads a duration in milliseconds, or the default.
    pub fn millis(
        &mut self,
        name: &str,
        default_ms: u64,
        range_ms: RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number(name, default_ms, range_ms))
    }

    /// Reads a boolean, or the default.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.take(name) {
            None => default,
            Some(Value::Bool(flag)) => flag,
            Some(other) => {
                self.add_problem(
                    name,
                    format!("{other} is not true or false"),
                    "use true or false",
                );
                default
            }
        }
    }

    /// Reads a nested table, which is empty by default.
    pub fn table<T>(&mut self, name: &str, read: impl FnOnce(&mut FieldReader) -> T) -> T {
        let value = self.take(name).unwrap_or_else(|| Value::Object(Map::new()));
        let mut inner = FieldReader::new(&self.source, value);
        inner.prefix = match self.prefix.is_empty() {
            true => name.to_owned(),
            false => format!("{}.{name}", self.prefix),
        };
        let read = read(&mut inner);
        inner.refuse_unknown();
        self.problems.append(&mut inner.problems);
        read
    }

    /// Finishes reading.
    ///
    /// # Errors
    /// Returns all recorded problems, and one for each field that was not read.
    pub fn finish(mut self) -> Result<(), Problems> {
        self.refuse_unknown();
        match self.problems.is_empty() {
            true => Ok(()),
            false => Err(Problems(self.problems)),
        }
    }

    fn refuse_unknown(&mut self) {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.add_problem(&name, "it is not a known field", "correct its name or remove it");
        }
    }

    fn parse_address(&mut self, name: &str, text: &str) -> SocketAddr {
        text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                let reason = format!("'{text}' is not an IP address with a port");
                self.add_problem(name, reason, "write it as '127.0.0.1:8080'");
            }
            SocketAddr::from(([127, 0, 0, 1], 0))
        })
    }
}

fn is_name(text: &str) -> bool {
    text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
}
