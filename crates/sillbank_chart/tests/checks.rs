//! Tests that chart files with errors are rejected with a message that says what is wrong.
#![allow(clippy::unwrap_used)]

use sillbank_chart::{Chart, ChartError, Transition, named_enum};

named_enum! {
    enum Door { Open = "open", Shut = "shut" }
}
named_enum! {
    enum Hand { Push = "push", Pull = "pull" }
}
named_enum! {
    enum Noise { Creak = "creak" }
}

type DoorChart = Chart<Door, Hand, Noise>;

const VALID: &str = r#"
initial = "shut"
[state.shut]
on.push = { to = "open", action = "creak" }
ignore = ["pull"]
[state.open]
on.pull = { to = "shut", action = "creak" }
ignore = ["push"]
"#;

/// A valid chart starts in its initial state, returns its transitions and ignores listed events.
#[test]
fn valid_chart_returns_its_transitions() {
    let chart = DoorChart::parse(VALID).unwrap();

    let step = chart.step(chart.initial(), Hand::Push);

    assert_eq!(step, Some(Transition { to: Door::Open, action: Noise::Creak }));
    assert_eq!(chart.step(Door::Shut, Hand::Pull), None);
}

/// Every state must handle or ignore every event.
#[test]
fn event_neither_handled_nor_ignored_is_rejected() {
    let text = VALID.replace("ignore = [\"pull\"]", "");

    let error = DoorChart::parse(&text).unwrap_err();

    assert_eq!(error, ChartError::Unhandled { state: "shut", event: "pull" });
}

/// A state must not handle and ignore the same event.
#[test]
fn event_both_handled_and_ignored_is_rejected() {
    let text = VALID.replace("[\"pull\"]", "[\"pull\", \"push\"]");

    let error = DoorChart::parse(&text).unwrap_err();

    assert_eq!(error, ChartError::Ambiguous { state: "shut", event: "push" });
}

/// Every state must be reachable from the initial state.
#[test]
fn unreachable_state_is_rejected() {
    let text = VALID.replace("to = \"open\"", "to = \"shut\"");

    let error = DoorChart::parse(&text).unwrap_err();

    assert_eq!(error, ChartError::Unreachable("open"));
}

/// Unknown states and actions are errors whose messages list the known names.
#[test]
fn unknown_names_are_rejected_with_the_known_names() {
    for (valid, invalid) in [("to = \"open\"", "to = \"ajar\""), ("\"creak\"", "\"bang\"")] {
        let error = DoorChart::parse(&VALID.replace(valid, invalid)).unwrap_err();

        assert!(matches!(error, ChartError::UnknownName { .. }), "{error}");
        assert!(error.to_string().contains("use one of"), "{error}");
    }
}

/// Every state that the code defines must have a table in the file.
#[test]
fn missing_state_is_rejected() {
    let text = VALID.split("[state.open]").next().unwrap();

    let error = DoorChart::parse(text).unwrap_err();

    assert_eq!(error, ChartError::MissingState("open"));
}
