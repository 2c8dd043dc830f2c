//! Parts of a prompt that requests share, as named by callers.

use std::fmt;

/// Id of a part of a prompt, as its caller names it.
pub type PartId = u128;

/// Maximum number of parts of one prompt. Longer lists are not read: a prompt is divided into a system prompt, a few
/// documents and a session.
pub const MAX_PROMPT_PARTS: usize = 32;

/// Number of parts that are printed in a log line.
const MAX_PRINTED_PARTS: usize = 8;

/// Parts of a prompt that it may share with other requests, each named once, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptParts(Vec<PartId>);

/// Why the parts of a prompt are unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum UnreadableParts {
    /// There are too many parts.
    #[error("the prompt has {0} parts; name at most {MAX_PROMPT_PARTS}")]
    TooMany(usize),
    /// An entry of the list is not valid.
    #[error("part {position} of the prompt, '{entry}', {reason}")]
    Entry {
        /// Position in the list, from 1.
        position: usize,
        /// The entry, shortened.
        entry: String,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// The list is not text.
    #[error("the list of the prompt's parts has bytes other than visible ASCII characters")]
    NotText,
}

impl PromptParts {
    /// The parts of a prompt that shares none.
    pub const NONE: Self = Self(Vec::new());

    /// Parts of a prompt from the ids of all its parts. The last one belongs to the request or its session and is left
    /// out.
    ///
    /// # Errors
    /// [`UnreadableParts::TooMany`] if there are more than [`MAX_PROMPT_PARTS`].
    pub fn new(all: &[PartId]) -> Result<Self, UnreadableParts> {
        if all.len() > MAX_PROMPT_PARTS {
            return Err(UnreadableParts::TooMany(all.len()));
        }
        let mut shared: Vec<PartId> = Vec::new();
        let but_last = all.split_last().map_or(&[][..], |(_, others)| others);
        for part in but_last {
            if !shared.contains(part) {
                shared.push(*part);
            }
        }
        Ok(Self(shared))
    }

    /// The parts.
    pub fn iter(&self) -> impl Iterator<Item = PartId> + '_ {
        self.0.iter().copied()
    }

    /// Whether the prompt has no shared part.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for PromptParts {
    /// Writes the first parts in hexadecimal, separated by commas.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, part) in self.0.iter().take(MAX_PRINTED_PARTS).enumerate() {
            let separator = if position == 0 { "" } else { "," };
            write!(formatter, "{separator}{part:x}")?;
        }
        match self.0.len() > MAX_PRINTED_PARTS {
            true => formatter.write_str(",.."),
            false => Ok(()),
        }
    }
}
