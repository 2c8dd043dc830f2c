//! A small JSON reader and writer, as the stand-ins use no libraries.

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result as FmtResult, Write};

/// A JSON value. Numbers keep their text.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    /// A field of a table.
    pub fn field(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    /// The value as text.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// The value as a whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl Display for Json {
    fn fmt(&self, out: &mut Formatter<'_>) -> FmtResult {
        match self {
            Self::Null => out.write_str("null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Number(text) => out.write_str(text),
            Self::Text(text) => write_text(out, text),
            Self::List(items) => {
                out.write_char('[')?;
                for (at, item) in items.iter().enumerate() {
                    let comma = if at > 0 { "," } else { "" };
                    write!(out, "{comma}{item}")?;
                }
                out.write_char(']')
            }
            Self::Table(fields) => {
                out.write_char('{')?;
                for (at, (name, value)) in fields.iter().enumerate() {
                    out.write_str(if at > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut Formatter<'_>, text: &str) -> FmtResult {
    out.write_char('"')?;
    for letter in text.chars() {
        match letter {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => out.write_char(other)?,
        }
    }
    out.write_char('"')
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'{' => parse_table(bytes, at),
        b'[' => parse_list(bytes, at),
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => parse_word(bytes, at, "true", Json::Bool(true)),
        b'f' => parse_word(bytes, at, "false", Json::Bool(false)),
        b'n' => parse_word(bytes, at, "null", Json::Null),
        _ => parse_number(bytes, at),
    }
}

fn parse_word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn parse_number(bytes: &[u8], at: &mut usize) -> Option<Json> {
    let start = *at;
    while bytes.get(*at).is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte)) {
        *at += 1;
    }
    (*at > start).then(|| Json::Number(String::from_utf8_lossy(&bytes[start..*at]).into_owned()))
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let letter = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                        text.extend(letter.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

fn parse_list(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut items = Vec::new();
    loop {
        skip_blanks(bytes, at);
        match *bytes.get(*at)? {
            b']' => {
                *at += 1;
                return Some(Json::List(items));
            }
            b',' => *at += 1,
            _ => items.push(parse_value(bytes, at)?),
        }
    }
}

fn parse_table(bytes: &[u8], at: &mut usize) -> Option<Json> {
    *at += 1;
    let mut fields = BTreeMap::new();
    loop {
        skip_blanks(bytes, at);
        match *bytes.get(*at)? {
            b'}' => {
                *at += 1;
                return Some(Json::Table(fields));
            }
            b',' => *at += 1,
            b'"' => {
                let name = parse_text(bytes, at)?;
                skip_blanks(bytes, at);
                if *bytes.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.insert(name, parse_value(bytes, at)?);
            }
            _ => return None,
        }
    }
}
