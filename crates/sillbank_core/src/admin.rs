//! Failures returned to operators by the administration interface.

use serde::{Deserialize, Serialize};

/// Kind of administration failure. Each kind has a code and a page in `docs/errors/`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminFailureKind {
    /// The operator's key is missing or unknown.
    UnknownOperator,
    /// The operator is not authorised for this part of the settings tree.
    NoRight,
    /// The object is invalid.
    Invalid,
    /// The request names no version, or cannot be parsed.
    Malformed,
    /// The object has been changed since the version that the request names.
    Conflict,
    /// The object or path does not exist.
    NotFound,
    /// The platform is unreachable; nothing was written.
    PlatformDown,
    /// The platform's answer to a write was lost, and reading the object back failed.
    WriteUnknown,
}

impl AdminFailureKind {
    /// All kinds, in order of their codes.
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

    /// Code of the failure, which names its page in `docs/errors/`.
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

    /// HTTP status of the response.
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

/// A failure as returned to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code} {message} {remedy}")]
pub struct AdminFailure {
    /// Kind of failure.
    pub kind: AdminFailureKind,
    /// Code of the failure, which names its page in `docs/errors/`.
    pub code: String,
    /// What happened, in one sentence.
    pub message: String,
    /// What the operator can do about it.
    pub remedy: String,
}

impl AdminFailure {
    /// Creates a failure with the code and remedy of its kind.
    pub fn new(kind: AdminFailureKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            code: kind.code().to_owned(),
            message: message.into(),
            remedy: kind.remedy().to_owned(),
        }
    }
}
