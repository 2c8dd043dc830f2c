//! A chart file with a fault is refused, and the message names it.
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

const GOOD: &str = r#"
initial = "shut"
[state.shut]
on.push = { to = "open", action = "creak" }
ignore = ["pull"]
[state.open]
on.pull = { to = "shut", action = "creak" }
ignore = ["push"]
"#;

#[test]
fn a_good_chart_gives_its_transitions() {
    let chart = DoorChart::parse(GOOD).unwrap();

    let step = chart.step(chart.initial(), Hand::Push);

    assert_eq!(step, Some(Transition { to: Door::Open, action: Noise::Creak }));
    assert_eq!(chart.step(Door::Shut, Hand::Pull), None);
}

#[test]
fn an_event_left_out_is_refused() {
    let text = GOOD.replace("ignore = [\"pull\"]", "");

    let error = DoorChart::parse(&text).unwrap_err();

    assert_eq!(error, ChartError::Unhandled { state: "shut", event: "pull" });
}

#[test]
fn an_event_both_handled_and_ignored_is_refused() {
    let text = GOOD.replace("[\"pull\"]", "[\"pull\", \"push\"]");

    let error = DoorChart::parse(&text).unwrap_err();

    assert_eq!(error, ChartError::Ambiguous { state: "shut", event: "push" });
}

#[test]
fn a_state_without_a_way_to_it_is_refused() {
    let text = GOOD.replace("to = \"open\"", "to = \"shut\"");

    let error = DoorChart::parse(&text).unwrap_err();

    assert_eq!(error, ChartError::Unreachable("open"));
}

#[test]
fn unknown_names_are_refused_with_the_known_ones() {
    for (good, bad) in [("to = \"open\"", "to = \"ajar\""), ("\"creak\"", "\"bang\"")] {
        let error = DoorChart::parse(&GOOD.replace(good, bad)).unwrap_err();

        assert!(matches!(error, ChartError::UnknownName { .. }), "{error}");
        assert!(error.to_string().contains("use one of"), "{error}");
    }
}

#[test]
fn a_missing_state_is_refused() {
    let text = GOOD.split("[state.open]").next().unwrap();

    let error = DoorChart::parse(text).unwrap_err();

    assert_eq!(error, ChartError::MissingState("open"));
}
