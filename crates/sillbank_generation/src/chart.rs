//! State chart of a generation, read from `charts/generation.toml`.

use sillbank_chart::{Chart, named_enum};
use std::sync::LazyLock;

named_enum! {
    /// State of a generation.
    pub enum State {
        /// A step is in flight or about to be sent.
        Running = "running",
        /// At least one lost stage has no endpoint yet.
        Recovering = "recovering",
        /// The answer is complete.
        Finished = "finished",
        /// The request failed.
        Failed = "failed",
        /// The caller disconnected.
        Cancelled = "cancelled",
    }
}

named_enum! {
    pub(crate) enum ChartEvent {
        Start = "start",
        AlreadyComplete = "already_whole",
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
        AttemptTooLow = "older_holder",
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
