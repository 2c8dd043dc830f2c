//! Order of the incarnations of one endpoint.
//!
//! An endpoint may restart under the same id. It then holds no state from before, so what was known
//! of an older incarnation does not apply to a newer one.

use crate::record::BornMs;

/// How the incarnation that an update describes compares to the newest one known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationOrder {
    /// The update is about an incarnation that has ended.
    Older,
    /// The update is about the known incarnation, or one of the two is not stated.
    Same,
    /// The endpoint has restarted.
    Newer,
}

/// Compares the incarnation that an update describes with the newest one known. If either is not
/// stated, they count as the same.
pub fn compare_incarnations(update: Option<BornMs>, known: Option<BornMs>) -> IncarnationOrder {
    let (Some(update), Some(known)) = (update, known) else {
        return IncarnationOrder::Same;
    };
    match update.cmp(&known) {
        std::cmp::Ordering::Less => IncarnationOrder::Older,
        std::cmp::Ordering::Equal => IncarnationOrder::Same,
        std::cmp::Ordering::Greater => IncarnationOrder::Newer,
    }
}
