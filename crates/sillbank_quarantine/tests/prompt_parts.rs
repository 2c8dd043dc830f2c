//! Tests of which parts of a prompt count as shared.

use sillbank_quarantine::prelude::*;

fn parts_of(all: &[PartId]) -> Vec<PartId> {
    PromptParts::new(all).expect("not too many").iter().collect()
}

/// The last part belongs to the request, and a part that is named twice counts once.
#[test]
fn last_part_is_not_shared_and_repeated_parts_count_once() {
    // Act, Assert
    assert!(parts_of(&[]).is_empty());
    assert!(parts_of(&[1]).is_empty());
    assert_eq!(parts_of(&[1, 2]), [1]);
    assert_eq!(parts_of(&[1, 2, 1, 3]), [1, 2]);
}

/// A list that is too long is refused as a whole, so that its length does not decide which parts count.
#[test]
fn too_many_parts_are_refused() {
    // Arrange
    let all: Vec<PartId> = (0..=MAX_PROMPT_PARTS as PartId).collect();

    // Act
    let result = PromptParts::new(&all);

    // Assert
    assert_eq!(result, Err(UnreadableParts::TooMany(MAX_PROMPT_PARTS + 1)));
    assert!(PromptParts::new(&all[1..]).is_ok());
}

/// Log lines name the first parts only.
#[test]
fn printed_parts_are_bounded() {
    // Arrange
    let few = PromptParts::new(&[10, 11, 12]).expect("not too many");
    let many = PromptParts::new(&(0..20).collect::<Vec<_>>()).expect("not too many");

    // Act, Assert
    assert_eq!(few.to_string(), "a,b");
    assert_eq!(many.to_string(), "0,1,2,3,4,5,6,7,..");
}
