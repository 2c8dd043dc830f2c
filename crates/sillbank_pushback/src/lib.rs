//! What endpoints ask of VMs in their answers, and how VMs keep it together.
//!
//! An endpoint may turn a VM away and ask it for rest, and one that leaves says so. Each VM keeps to what it was told itself.
//!
//! An endpoint in need names the requests a second that it takes from all VMs together. The limit is divided by a leader
//! among the VMs that want to send, by what they want; a VM sends by the permits that its part opens. A part is a lease: it
//! ends after a term unless it is renewed, and what it had counts as in use until then. So the parts that are in force never
//! pass the limit, in whatever order news come.
//!
//! - [`PushbackBook`] holds what a VM knows of endpoints that asked for something: the one place that whoever sends asks.
//! - [`Divider`] holds what a leader has given away.
//!
//! Pure: no sockets, no clock, no threads.

#![forbid(unsafe_code)]

mod book;
mod division;
mod limits;
mod news;
mod permits;
mod reason;
mod wanted;
mod word;

pub use book::PushbackBook;
pub use division::{Asker, Divider, PART_TERM, Part};
pub use news::{ChangeNumber, LimitNews, LimitsNews, PartNews, Want};
pub use reason::{PushbackEvent, Withheld, WithheldReason};
pub use word::{LimitWord, Pushback, RestWord};

/// The few types most users need.
pub mod prelude {
    pub use crate::{
        Asker, Divider, LimitNews, LimitWord, LimitsNews, Part, PartNews, Pushback, PushbackBook,
        PushbackEvent, RestWord, Want, Withheld,
    };
}
