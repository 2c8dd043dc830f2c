//! What endpoints ask of VMs in their answers.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod book;
mod word;

pub use book::{PushbackBook, PushbackEvent};
pub use word::{LimitWord, Pushback};

/// The few types most users need.
pub mod prelude {
    pub use crate::{LimitWord, Pushback, PushbackBook, PushbackEvent};
}
