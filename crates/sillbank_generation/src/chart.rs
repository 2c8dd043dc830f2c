//! The chart of a generation: names, and the file they are read from.

use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;

named_enum! {
    /// Where a generation stands.
    pub enum State {
        /// A step is on its way, or about to be.
        Running = "running",
        /// A stage waits for another endpoint.
        Recovering = "recovering",
        /// The answer is whole.
        Finished = "finished",
        /// The caller was given a failure.
        Failed = "failed",
        /// The caller has gone.
        Cancelled = "cancelled",
    }
}

named_enum! {
    pub(crate) enum ChartEvent {
        Start = "start",
        AlreadyWhole = "already_whole",
        Output = "output",
        LastOutput = "last_output",
        Stale = "stale",
        StepOverdue = "step_overdue",
        StateLost = "state_lost",
        StageLost = "stage_lost",
        Replaced = "replaced",
        ReplacedAll = "replaced_all",
        NoReplacement = "no_replacement",
        BudgetSpent = "budget_spent",
        OlderHolder = "older_holder",
        TakenOver = "taken_over",
        Deadline = "deadline",
        Cancel = "cancel",
    }
}

named_enum! {
    pub(crate) enum ChartAction {
        Nothing = "nothing",
        SendNext = "send_next",
        TakeOutput = "take_output",
        Finish = "finish",
        Resend = "resend",
        RebuildStage = "rebuild_stage",
        AskReplacement = "ask_replacement",
        FailLost = "fail_lost",
        FailNoChain = "fail_no_chain",
        FailTakenOver = "fail_taken_over",
        FailDeadline = "fail_deadline",
        Release = "release",
    }
}

pub(crate) type GenerationChart = Chart<State, ChartEvent, ChartAction>;

static CHART: LazyLock<GenerationChart> = LazyLock::new(|| {
    Chart::parse(include_str!("../charts/generation.toml"))
        .expect("the built-in chart is checked by a test")
});

pub(crate) fn chart() -> &'static GenerationChart {
    &CHART
}
