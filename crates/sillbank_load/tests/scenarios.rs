//! Scripted scenarios against real processes. Each test runs the script of its name. The
//! first comment of a script says which guarantee it checks.
#![allow(clippy::unwrap_used)]

mod support;

use sillbank_testing::golden::run_script;
use support::runner::Scenario;

fn run(name: &str) {
    let path = format!("{}/tests/scripts/{name}", env!("CARGO_MANIFEST_DIR"));
    run_script(&mut Scenario::new(), path);
}

macro_rules! scenarios {
    ($($(#[$attribute:meta])* $name:ident),+ $(,)?) => {
        $(#[test] $(#[$attribute])* fn $name() { run(stringify!($name)); })+
    };
}

scenarios! {
    stage_killed,
    stage_frozen_and_woken,
    stage_back_at_a_late_engine,
    leaving_stage_was_silent,
    reply_lost,
    two_stages_at_once,
    entry_killed,
    colliding_ids,
    same_request_twice,
    endpoint_leaving,
    endpoint_says_leaving,
    planned_stop,
    stop_past_its_limit,
    engine_forgets,
    service_not_repeated,
    once_two_vms,
    once_platform_out,
    once_platform_out_at_each_vm,
    once_planned_stop,
    orders_new_layers,
    orders_frozen_holder,
    link_cut_one_way,
    rolling_replacement,
    settings_race,
    settings_status,
    settings_lost_answer,
    settings_outage_new_vm,
    settings_invalid,
}
