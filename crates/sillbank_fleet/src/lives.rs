//! Which of two lives of one endpoint is the newer one.
//!
//! An endpoint may start again under its id. It then holds and knows nothing of before, so what was known
//! of an older life says nothing of a newer one.

use crate::record::BornMs;

/// How the life that news tell of stands to the newest one known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LifeOrder {
    /// The news are of a life that has ended.
    Older,
    /// They are of the life that is known, or one of the two is not told.
    Same,
    /// The endpoint has started again.
    Newer,
}

/// Compares the life that news tell of with the newest one known. Where one of them is not told, nothing
/// shows that they differ.
pub fn compare_lives(news: Option<BornMs>, known: Option<BornMs>) -> LifeOrder {
    let (Some(news), Some(known)) = (news, known) else {
        return LifeOrder::Same;
    };
    match news.cmp(&known) {
        std::cmp::Ordering::Less => LifeOrder::Older,
        std::cmp::Ordering::Equal => LifeOrder::Same,
        std::cmp::Ordering::Greater => LifeOrder::Newer,
    }
}
