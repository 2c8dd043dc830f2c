//! The settings that nodes of the tree carry and their children inherit.

use crate::reader::FieldReader;
use serde::{Deserialize, Serialize};
use serde_json::Value;

macro_rules! policy {
    ($($(#[$meta:meta])* $field:ident: $type:ty = $default:expr, $read:ident $range:expr;)+) => {
        /// Every setting with a value in force.
        #[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
        pub struct Policy { $($(#[$meta])* pub $field: $type),+ }

        /// The settings one node gives; the rest is inherited.
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

            /// Puts a node's values over these and calls `took` with the name of each.
            pub fn override_with(&mut self, patch: &PolicyPatch, mut took: impl FnMut(&'static str)) {
                $(if let Some(value) = patch.$field {
                    self.$field = value;
                    took(stringify!($field));
                })+
            }

            /// A setting's value as JSON.
            pub fn value(&self, name: &str) -> Option<Value> {
                match name {
                    $(stringify!($field) => Some(Value::from(self.$field)),)+
                    _ => None,
                }
            }
        }

        impl PolicyPatch {
            /// Reads and checks the settings of one node.
            pub fn read(reader: &mut FieldReader) -> Self {
                Self { $($field: reader.$read(stringify!($field), $range)),+ }
            }
        }
    };
}

policy! {
    /// Longest answer, in tokens.
    max_answer_tokens: u64 = 1024, number_or_none 1..=1_000_000;
    /// Deadline of a request that names none, in milliseconds.
    deadline_ms: u64 = 60_000, number_or_none 10..=3_600_000;
    /// Priority of a request that names none; greater goes first.
    priority: u64 = 4, number_or_none 0..=9;
    /// Longest silence of an endpoint with work outstanding before it counts as lost.
    silence_ms: u64 = 1_000, number_or_none 20..=600_000;
    /// How many stages a request may lose before it is given up.
    max_losses: u64 = 8, number_or_none 0..=1_000;
    /// Requests in flight for one organisation on one VM.
    max_in_flight: u64 = 512, number_or_none 1..=1_000_000;
    /// Tokens of work that may wait for one pipeline on one VM.
    queue_tokens: u64 = 200_000, number_or_none 1..=1_000_000_000;
    /// Weight of an organisation in fair queuing.
    weight: f64 = 1.0, fraction_or_none 0.001..=1000.0;
}
