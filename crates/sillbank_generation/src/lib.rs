//! State machine of the generation of one answer, without sockets, clocks or threads.
//!
//! [`Generation`] consumes [`Event`]s and returns [`Action`]s. It knows the stages of its chain only by index;
//! the driver maps each stage to an endpoint.
//!
//! One rule covers prefill, decoding and recovery: the next step goes to the first stage that has built fewer
//! positions than it has inputs. A replaced stage has built none, so its KV cache is rebuilt from the inputs that
//! were kept, and no other stage runs again.

#![forbid(unsafe_code)]

mod awaited;
mod chart;
mod stages;

pub use awaited::{AwaitedStep, AwaitedSteps};
pub use chart::State;

use chart::{ChartAction, ChartEvent, GenerationChart};
use sillbank_chart::Named;
use sillbank_core::prelude::*;
use sillbank_core::run::RunLog;
use sillbank_protocol::engine::{Refusal, Step, StepOutcome, StepReply};
use stages::Stages;

/// Index of a stage in its chain.
pub type StageIndex = usize;

/// Parameters of a generation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Id of the request.
    pub uid: RequestUid,
    /// Number of the first attempt.
    pub attempt: Attempt,
    /// Seed for sampling.
    pub seed: u64,
    /// Priority; steps with a greater value run first.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt: Vec<TokenId>,
    /// Tokens of the answer that another VM has already generated.
    pub known: Vec<TokenId>,
    /// Number of answer tokens that the caller already has; they are not delivered again.
    pub delivered_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Token that ends the answer.
    pub end_token: TokenId,
    /// Layers of each stage, in order.
    pub stages: Vec<LayerRange>,
    /// Maximum number of stage losses; a further loss fails the request.
    pub max_losses: u32,
}

/// Input of a generation.
#[derive(Debug, Clone)]
pub enum Event {
    /// The chain is ready to run.
    Start,
    /// An engine replied to a step.
    Reply(StageIndex, StepReply),
    /// A reply is overdue although its endpoint answers other steps; it may have been lost.
    StepOverdue(StageIndex),
    /// A stage must be replaced: its endpoint crashed, stopped responding or has no capacity.
    StageLost(StageIndex),
    /// Another endpoint has been assigned to the stage.
    Replaced(StageIndex),
    /// No other endpoint can run the stage.
    NoReplacement,
    /// The deadline of the request passed.
    Deadline,
    /// The caller disconnected.
    Cancel,
}

/// Output of a generation, to be carried out by the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a step to the endpoint of a stage.
    Send(StageIndex, Step),
    /// Deliver a token to the caller, with its index in the answer.
    Emit(u32, TokenId),
    /// Find another endpoint for a stage, then report [`Event::Replaced`] or [`Event::NoReplacement`].
    Replace(StageIndex),
    /// Complete the answer.
    Finish,
    /// Return this failure to the caller.
    Fail(Failure),
    /// Notify the endpoint of a stage that the request has ended.
    Release(StageIndex),
}

/// Counters of the work done and repeated, for reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GenerationStats {
    /// Steps sent.
    pub steps: u32,
    /// Stages lost.
    pub losses: u32,
    /// Positions lost with their stage, to be built again.
    pub replayed_tokens: u32,
    /// Replies and overdue reports for an attempt or position that was no longer awaited.
    pub stale_replies: u32,
}

/// Generation of one answer.
#[derive(Debug)]
pub struct Generation {
    plan: Plan,
    state: State,
    attempt: Attempt,
    stages: Stages,
    /// Stage, first position and number of positions of the step whose reply is awaited.
    awaited: Option<(StageIndex, Position, u32)>,
    /// Tokens of the prompt and of the answer so far.
    sequence: Vec<TokenId>,
    run: RunLog,
    stats: GenerationStats,
}

impl Generation {
    /// Creates a generation that waits for [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let mut sequence = plan.prompt.clone();
        sequence.extend(&plan.known);
        let stages = Stages::new(plan.stages.clone(), &sequence);
        Self {
            attempt: plan.attempt,
            state: chart::chart().initial(),
            stages,
            awaited: None,
            sequence,
            run: RunLog::default(),
            stats: GenerationStats::default(),
            plan,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the counters so far.
    pub fn stats(&self) -> GenerationStats {
        self.stats
    }

    /// Returns the run state to report to the caller.
    pub fn run_state(&self) -> RunState {
        self.run.state()
    }

    /// Returns the number of the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the tokens of the answer so far.
    pub fn answer(&self) -> &[TokenId] {
        &self.sequence[self.plan.prompt.len()..]
    }

    /// Returns the length of the sequence so far, including the prompt.
    pub fn sequence_len(&self) -> u32 {
        self.sequence.len() as u32
    }

    /// Returns the maximum number of tokens still to generate.
    pub fn tokens_left(&self) -> u32 {
        self.plan.max_tokens.saturating_sub(self.answer().len() as u32)
    }

    /// Returns the stage whose reply is awaited, if any.
    pub fn awaited_stage(&self) -> Option<StageIndex> {
        self.awaited.map(|(stage, ..)| stage)
    }

    /// Whether the generation has finished, failed or been cancelled.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Finished | State::Failed | State::Cancelled)
    }

    /// Handles an event and appends the resulting actions.
    pub fn on_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        if matches!((&event, self.state), (Event::Start, State::Running)) {
            self.emit_undelivered(actions);
        }
        let chart_event = self.classify(&event);
        let chart: &GenerationChart = chart::chart();
        let Some(transition) = chart.step(self.state, chart_event) else {
            return;
        };
        self.state = transition.to;
        self.perform(transition.action, event, actions);
    }

    fn classify(&mut self, event: &Event) -> ChartEvent {
        match event {
            Event::Start if self.is_complete() => ChartEvent::AlreadyComplete,
            Event::Start => ChartEvent::Start,
            Event::Reply(stage, reply) => self.classify_reply(*stage, reply),
            Event::StepOverdue(stage) if self.awaited_stage() != Some(*stage) => self.stale(),
            Event::StepOverdue(_) => ChartEvent::StepOverdue,
            Event::StageLost(_) => self.within_budget(ChartEvent::StageLost),
            Event::Replaced(stage) => {
                self.stages.mark_replaced(*stage);
                match self.stages.any_missing() {
                    true => ChartEvent::Replaced,
                    false => ChartEvent::ReplacedAll,
                }
            }
            Event::NoReplacement => ChartEvent::NoReplacement,
            Event::Deadline => ChartEvent::Deadline,
            Event::Cancel => ChartEvent::Cancel,
        }
    }

    fn classify_reply(&mut self, stage: StageIndex, reply: &StepReply) -> ChartEvent {
        let Some((awaited_stage, start, count)) = self.awaited else {
            return self.stale();
        };
        if (stage, reply.start, reply.attempt) != (awaited_stage, start, self.attempt) {
            return self.stale();
        }
        match &reply.outcome {
            StepOutcome::Done { outputs, token } => {
                let complete = outputs.len() == count as usize;
                if !complete || (self.stages.is_last(stage) && token.is_none()) {
                    return self.within_budget(ChartEvent::StateLost);
                }
                self.run.record_ran();
                match self.completes_answer(stage, *token) {
                    true => ChartEvent::LastOutput,
                    false => ChartEvent::Output,
                }
            }
            StepOutcome::Refused(refusal) => {
                self.run.record_refused();
                match refusal {
                    // A generation that has run nothing yet is the newer one and raises its attempt. One
                    // that has run something was taken over and stays fenced out.
                    Refusal::StaleAttempt { newest } if !self.run.has_run() => {
                        self.attempt = next_attempt(*newest, self.attempt);
                        ChartEvent::AttemptTooLow
                    }
                    Refusal::StaleAttempt { .. } => ChartEvent::TakenOver,
                    Refusal::NotNext { .. } => self.within_budget(ChartEvent::StateLost),
                    Refusal::WrongLayers | Refusal::Full | Refusal::Leaving => {
                        self.classify(&Event::StageLost(stage))
                    }
                }
            }
        }
    }

    fn within_budget(&self, event: ChartEvent) -> ChartEvent {
        match self.stats.losses < self.plan.max_losses {
            true => event,
            false => ChartEvent::BudgetSpent,
        }
    }

    fn stale(&mut self) -> ChartEvent {
        self.stats.stale_replies += 1;
        ChartEvent::Stale
    }

    /// Whether this token completes the answer. The last stage receives work only when all stages before it have
    /// reached the end of the sequence, so its token is always a new one.
    fn completes_answer(&self, stage: StageIndex, token: Option<TokenId>) -> bool {
        let answered = self.answer().len() as u32 + 1;
        self.stages.is_last(stage)
            && (token == Some(self.plan.end_token) || answered >= self.plan.max_tokens)
    }

    fn perform(&mut self, action: ChartAction, event: Event, actions: &mut Vec<Action>) {
        match action {
            ChartAction::Nothing => {}
            ChartAction::SendNext => self.send_next(actions),
            ChartAction::TakeOutput => {
                self.take_output(event, actions);
                self.send_next(actions);
            }
            ChartAction::Finish => {
                self.take_output(event, actions);
                self.release_all(actions);
                actions.push(Action::Finish);
            }
            // The same step under the same attempt: an engine that has run it repeats its stored reply.
            ChartAction::Resend => self.send_next(actions),
            ChartAction::RebuildStage => {
                if let Event::Reply(stage, _) = event {
                    self.discard_stage(stage);
                    self.stages.mark_replaced(stage);
                }
                self.send_next(actions);
            }
            ChartAction::AskReplacement => {
                if let Event::Reply(stage, _) | Event::StageLost(stage) = event {
                    self.discard_stage(stage);
                    actions.push(Action::Replace(stage));
                }
            }
            ChartAction::FailLost => self.fail(FailureKind::EndpointsLost, actions),
            ChartAction::FailNoChain => self.fail(FailureKind::NoChain, actions),
            ChartAction::FailTakenOver => self.fail(FailureKind::TakenOver, actions),
            ChartAction::FailDeadline => self.fail(FailureKind::DeadlineExceeded, actions),
            ChartAction::Release => self.release_all(actions),
        }
    }

    fn send_next(&mut self, actions: &mut Vec<Action>) {
        let Some((stage, start)) = self.stages.next_work() else {
            return;
        };
        let inputs = self.stages.inputs_from(stage, start).to_vec();
        self.awaited = Some((stage, start, inputs.len() as u32));
        self.run.record_sent();
        self.stats.steps += 1;
        let step = Step {
            uid: self.plan.uid,
            attempt: self.attempt,
            start,
            layers: self.stages.layers(stage),
            seed: self.plan.seed,
            priority: self.plan.priority,
            inputs,
        };
        actions.push(Action::Send(stage, step));
    }

    fn take_output(&mut self, event: Event, actions: &mut Vec<Action>) {
        let Event::Reply(stage, reply) = event else {
            return;
        };
        let StepOutcome::Done { outputs, token } = reply.outcome else {
            return;
        };
        self.awaited = None;
        self.stages.record_outputs(stage, reply.start, &outputs);
        if let (true, Some(token)) = (self.stages.is_last(stage), token) {
            self.take_token(token, actions);
        }
    }

    /// Delivers the tokens that another VM had generated and the caller does not have.
    fn emit_undelivered(&mut self, actions: &mut Vec<Action>) {
        let delivered = self.plan.delivered_tokens;
        let numbered = (0..).zip(self.answer().iter().copied());
        let missing = numbered.filter(|(number, _)| *number >= delivered);
        actions.extend(missing.map(|(number, token)| Action::Emit(number, token)));
    }

    fn is_complete(&self) -> bool {
        let answer = self.answer();
        answer.last() == Some(&self.plan.end_token) || answer.len() as u32 >= self.plan.max_tokens
    }

    fn take_token(&mut self, token: TokenId, actions: &mut Vec<Action>) {
        let number = self.answer().len() as u32;
        self.sequence.push(token);
        self.stages.add_token(token);
        if number >= self.plan.delivered_tokens {
            actions.push(Action::Emit(number, token));
        }
    }

    /// Discards the KV cache of a stage and fences out every step sent so far.
    fn discard_stage(&mut self, stage: StageIndex) {
        self.stats.losses += 1;
        self.stats.replayed_tokens += self.stages.mark_lost(stage);
        self.awaited = None;
        self.attempt += ATTEMPT_INCREMENT;
    }

    fn fail(&mut self, kind: FailureKind, actions: &mut Vec<Action>) {
        self.release_all(actions);
        let reason = format!(
            "The answer ended after {} tokens and {} lost stages, in state '{}'.",
            self.answer().len(),
            self.stats.losses,
            self.state.name(),
        );
        actions.push(Action::Fail(Failure::new(kind, self.run.state(), reason)));
    }

    fn release_all(&mut self, actions: &mut Vec<Action>) {
        self.awaited = None;
        actions.extend((0..self.stages.count()).map(Action::Release));
    }
}

/// Returns the lowest attempt above `newest` that keeps the random bits of `own`.
fn next_attempt(newest: Attempt, own: Attempt) -> Attempt {
    let random_bits = own % ATTEMPT_INCREMENT;
    (newest / ATTEMPT_INCREMENT + 1) * ATTEMPT_INCREMENT + random_bits
}
