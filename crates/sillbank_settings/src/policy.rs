//! Settings that nodes of the tree define and their children inherit.

use crate::reader::FieldReader;
use serde::{Deserialize, Serialize};
use serde_json::Value;

macro_rules! policy {
    ($($(#[$meta:meta])* $field:ident: $type:ty = $default:expr, $read:ident $range:expr;)+) => {
        /// Effective values of all settings.
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        pub struct Policy { $($(#[$meta])* pub $field: $type),+ }

        /// Settings that one object of the tree overrides; the others are inherited.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        pub struct PolicyPatch {
            $($(#[$meta])* #[serde(skip_serializing_if = "Option::is_none")] pub $field: Option<$type>),+
        }

        impl Default for Policy {
            fn default() -> Self { Self { $($field: $default),+ } }
        }

        impl Policy {
            /// Names of all settings, in the order of the fields.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($field)),+];

            /// Overrides these values with those of a patch, and calls `on_override` with the name of each.
            pub fn override_with(&mut self, patch: &PolicyPatch, mut on_override: impl FnMut(&'static str)) {
                $(if let Some(value) = patch.$field {
                    self.$field = value;
                    on_override(stringify!($field));
                })+
            }

            /// Returns the value of a setting as JSON.
            pub fn value(&self, name: &str) -> Option<Value> {
                match name {
                    $(stringify!($field) => Some(Value::from(self.$field)),)+
                    _ => None,
                }
            }
        }

        impl PolicyPatch {
            /// Reads and checks the settings that one object overrides.
            pub fn read(reader: &mut FieldReader) -> Self {
                Self { $($field: reader.$read(stringify!($field), $range)),+ }
            }
        }
    };
}

policy! {
    /// Maximum length of an answer, in tokens.
    max_answer_tokens: u64 = 1024, number_or_none 1..=1_000_000;
    /// Default deadline of a request, in milliseconds.
    deadline_ms: u64 = 60_000, number_or_none 10..=3_600_000;
    /// Default priority of a request; greater values go first.
    priority: u64 = 4, number_or_none 0..=9;
    /// Time without a reply after which an endpoint with outstanding work counts as lost, in milliseconds.
    silence_ms: u64 = 1_000, number_or_none 20..=600_000;
    /// Number of stage losses after which a request fails.
    max_losses: u64 = 8, number_or_none 0..=1_000;
    /// Maximum number of requests in flight per organisation and VM.
    max_in_flight: u64 = 512, number_or_none 1..=1_000_000;
    /// Maximum number of tokens of queued work per pipeline and VM.
    queue_tokens: u64 = 200_000, number_or_none 1..=1_000_000_000;
    /// Weight of an organisation in fair queueing.
    weight: f64 = 1.0, fraction_or_none 0.001..=1000.0;
}
