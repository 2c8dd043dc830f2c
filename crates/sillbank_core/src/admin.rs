//! The failures an operator may be given.

use serde::{Deserialize, Serialize};

/// Kind of failure of the administration interface. The number is the page in `docs/errors/`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminFailureKind {
    /// The operator's key is missing or not known.
    UnknownOperator,
    /// The operator has no right to this part of the tree.
    NoRight,
    /// The object is not valid.
    Invalid,
    /// The request names no version, or it is not readable.
    Malformed,
    /// Somebody else changed the object first.
    Conflict,
    /// There is no such object or path.
    NotFound,
    /// The platform cannot be reached; nothing was written.
    PlatformDown,
    /// The platform's answer was lost and could not be read back.
    WriteUnknown,
}

impl AdminFailureKind {
    /// Every kind, in order of its number.
    pub const ALL: [Self; 8] = [
        Self::UnknownOperator,
        Self::NoRight,
        Self::Invalid,
        Self::Malformed,
        Self::Conflict,
        Self::NotFound,
        Self::PlatformDown,
        Self::WriteUnknown,
    ];

    /// Number of the page that explains it.
    pub fn code(self) -> &'static str {
        match self {
            Self::UnknownOperator => "SB1001",
            Self::NoRight => "SB1002",
            Self::Invalid => "SB1003",
            Self::Malformed => "SB1004",
            Self::Conflict => "SB1005",
            Self::NotFound => "SB1006",
            Self::PlatformDown => "SB1007",
            Self::WriteUnknown => "SB1008",
        }
    }

    /// HTTP status that goes with it.
    pub fn http_status(self) -> u16 {
        match self {
            Self::UnknownOperator => 401,
            Self::NoRight => 403,
            Self::Invalid => 422,
            Self::Malformed => 400,
            Self::Conflict => 412,
            Self::NotFound => 404,
            Self::PlatformDown => 503,
            Self::WriteUnknown => 504,
        }
    }

    /// What the operator can do about it.
    pub fn remedy(self) -> &'static str {
        match self {
            Self::UnknownOperator => "Set SILLBANK_KEY to your operator key.",
            Self::NoRight => "Ask an operator of a higher node, or change only your own subtree.",
            Self::Invalid => "Correct each field as its line says and apply again.",
            Self::Malformed => {
                "Name the version with If-Match, or If-None-Match: * for a new object."
            }
            Self::Conflict => "Look at the newer value with 'sillbank get', then apply again.",
            Self::NotFound => "Check the key; list keys with 'sillbank get'.",
            Self::PlatformDown => "Nothing was written; apply again when the platform is back.",
            Self::WriteUnknown => {
                "Look with 'sillbank get' whether it is in force; apply again if not."
            }
        }
    }
}

/// A failure as an operator gets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code} {message} {remedy}")]
pub struct AdminFailure {
    /// Kind.
    pub kind: AdminFailureKind,
    /// Number of the page that explains it.
    pub code: String,
    /// One sentence on what happened.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl AdminFailure {
    /// A failure with its number and remedy.
    pub fn new(kind: AdminFailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            code: kind.code().to_owned(),
            message: message.into(),
            remedy: kind.remedy().to_owned(),
        }
    }
}
