//! Which halls a leader follows where entries name more of them than there are.

use sillbank_gateway::feed::{FollowedHalls, MAX_FOLLOWED_HALLS};
use std::collections::BTreeSet;

fn ids(prefix: &str, count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{prefix}{number:04}")).collect()
}

/// Guards against a leader that follows each of the halls that entries name: each costs a task, and reads of the store.
#[test]
fn many_halls_are_followed_in_turn() {
    let own = "own".to_owned();
    let listed: BTreeSet<String> = ids("h", 200).into_iter().chain([own.clone()]).collect();
    let mut followed = FollowedHalls::default();
    let mut seen = BTreeSet::new();
    for _ in 0..4 {
        let next = followed.take_next(&listed, &own);

        assert!(!next.is_empty() && next.len() <= MAX_FOLLOWED_HALLS);
        assert!(followed.take_next(&listed, &own).is_empty());
        for hall in next {
            assert!(!followed.goes_on(&hall, &listed));
            followed.on_ended(&hall);
            seen.insert(hall);
        }
    }

    assert_eq!(seen.len(), 200);
    assert!(!seen.contains(&own));
}

/// Few halls are all followed for as long as they are listed.
#[test]
fn few_halls_are_all_followed() {
    let own = "h0000".to_owned();
    let listed: BTreeSet<String> = ids("h", 5).into_iter().collect();
    let mut followed = FollowedHalls::default();

    let next = followed.take_next(&listed, &own);

    assert_eq!(next, ids("h", 5)[1..]);
    assert!(next.iter().all(|hall| followed.goes_on(hall, &listed)));
    assert!(!followed.goes_on(&"gone".to_owned(), &listed));
}
