//! The life of one generated answer, apart from sockets, clocks and threads.
//!
//! [`Generation`] takes [`Event`]s and answers with [`Action`]s. It knows the stages of its chain
//! only by number; the driver knows which endpoint stands behind each.
//!
//! The rule that carries prefill, decoding and recovery alike: the next step goes to the first
//! stage that has built fewer positions than it has inputs for. A replaced stage has built none,
//! so its KV cache is rebuilt from the inputs that were kept, and no other stage runs again.

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

/// Number of a stage in its chain.
pub type StageIndex = usize;

/// What is asked of a generation.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The request.
    pub uid: RequestUid,
    /// First attempt number.
    pub attempt: Attempt,
    /// Seed for sampling.
    pub seed: u64,
    /// Greater goes first.
    pub priority: u8,
    /// Prompt tokens.
    pub prompt: Vec<TokenId>,
    /// Tokens of the answer that are known from an earlier VM.
    pub known: Vec<TokenId>,
    /// Tokens of the answer that the caller already has and does not get again.
    pub delivered_tokens: u32,
    /// Longest answer.
    pub max_tokens: u32,
    /// Token that ends the answer.
    pub end_token: TokenId,
    /// Layers of each stage, in order.
    pub stages: Vec<LayerRange>,
    /// How many stages may be lost before the request is given up.
    pub max_losses: u32,
}

/// What happens to a generation.
#[derive(Debug, Clone)]
pub enum Event {
    /// The chain is ready.
    Start,
    /// An engine answered a step.
    Reply(StageIndex, StepReply),
    /// A reply is late although its endpoint answers others: it may have been lost.
    StepOverdue(StageIndex),
    /// A stage is to be replaced: its endpoint died, froze, or refused for want of room.
    StageLost(StageIndex),
    /// Another endpoint stands behind the stage.
    Replaced(StageIndex),
    /// No other endpoint can take the stage.
    NoReplacement,
    /// The deadline passed.
    Deadline,
    /// The caller has gone.
    Cancel,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a step to the endpoint of a stage.
    Send(StageIndex, Step),
    /// Give the caller the token with this number in the answer, from 0.
    Emit(u32, TokenId),
    /// Find another endpoint for a stage, then report `Replaced` or `NoReplacement`.
    Replace(StageIndex),
    /// The answer is whole.
    Finish,
    /// Give the caller this failure.
    Fail(Failure),
    /// Tell the endpoint of a stage that the request has ended.
    Release(StageIndex),
}

/// Work done and done again, for reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Steps sent.
    pub steps: u32,
    /// Stages lost.
    pub losses: u32,
    /// Positions that had been built and were built again.
    pub replayed_tokens: u32,
    /// Replies that belonged to an attempt or position that was no longer asked for.
    pub stale_replies: u32,
}

/// One generated answer.
#[derive(Debug)]
pub struct Generation {
    plan: Plan,
    state: State,
    attempt: Attempt,
    stages: Stages,
    waiting_for: Option<(StageIndex, Position, u32)>,
    sequence: Vec<TokenId>,
    run: RunLog,
    tally: Tally,
}

impl Generation {
    /// A generation that waits for [`Event::Start`].
    pub fn new(plan: Plan) -> Self {
        let mut sequence = plan.prompt.clone();
        sequence.extend(&plan.known);
        let stages = Stages::new(plan.stages.clone(), &sequence);
        Self {
            attempt: plan.attempt,
            state: chart::chart().initial(),
            stages,
            waiting_for: None,
            sequence,
            run: RunLog::default(),
            tally: Tally::default(),
            plan,
        }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Work done so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// What may be told to the caller of the work so far.
    pub fn run_state(&self) -> RunState {
        self.run.state()
    }

    /// Current attempt number.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Tokens of the answer so far.
    pub fn answer(&self) -> &[TokenId] {
        &self.sequence[self.plan.prompt.len()..]
    }

    /// Positions of the whole sequence so far, prompt included.
    pub fn sequence_len(&self) -> u32 {
        self.sequence.len() as u32
    }

    /// Most tokens that are still to come.
    pub fn tokens_left(&self) -> u32 {
        self.plan.max_tokens.saturating_sub(self.answer().len() as u32)
    }

    /// The stage whose reply is awaited, if any.
    pub fn awaited_stage(&self) -> Option<StageIndex> {
        self.waiting_for.map(|(stage, ..)| stage)
    }

    /// Whether the answer has ended, well or not.
    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Finished | State::Failed | State::Cancelled)
    }

    /// Takes an event and adds what is to be done about it.
    pub fn on_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        if matches!((&event, self.state), (Event::Start, State::Running)) {
            self.emit_known(actions);
        }
        let named = self.classify(&event);
        let chart: &GenerationChart = chart::chart();
        let Some(transition) = chart.step(self.state, named) else {
            return;
        };
        self.state = transition.to;
        self.carry_out(transition.action, event, actions);
    }

    fn classify(&mut self, event: &Event) -> ChartEvent {
        match event {
            Event::Start if self.is_whole() => ChartEvent::AlreadyWhole,
            Event::Start => ChartEvent::Start,
            Event::Reply(stage, reply) => self.classify_reply(*stage, reply),
            Event::StepOverdue(stage) if self.awaited_stage() != Some(*stage) => self.stale(),
            Event::StepOverdue(_) => ChartEvent::StepOverdue,
            Event::StageLost(_) => self.within_budget(ChartEvent::StageLost),
            Event::Replaced(stage) => {
                self.stages.replaced(*stage);
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
        let Some((waited_stage, start, count)) = self.waiting_for else {
            return self.stale();
        };
        if (stage, reply.start, reply.attempt) != (waited_stage, start, self.attempt) {
            return self.stale();
        }
        match &reply.outcome {
            StepOutcome::Done { outputs, token } => {
                let whole = outputs.len() == count as usize;
                if !whole || (self.stages.is_last(stage) && token.is_none()) {
                    return self.within_budget(ChartEvent::StateLost);
                }
                self.run.record_ran();
                match self.ends_with(stage, *token) {
                    true => ChartEvent::LastOutput,
                    false => ChartEvent::Output,
                }
            }
            StepOutcome::Refused(refusal) => {
                self.run.record_refused();
                match refusal {
                    // Who has built nothing yet is the newcomer and goes above; who has built
                    // something was taken over, and stays fenced out.
                    Refusal::StaleAttempt { newest } if !self.run.has_run() => {
                        self.attempt = raise_above(*newest, self.attempt);
                        ChartEvent::OlderHolder
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
        match self.tally.losses < self.plan.max_losses {
            true => event,
            false => ChartEvent::BudgetSpent,
        }
    }

    fn stale(&mut self) -> ChartEvent {
        self.tally.stale_replies += 1;
        ChartEvent::Stale
    }

    /// Whether the answer is whole with this token. The last stage only gets work when every
    /// stage before it has reached the end of the sequence, so its token is always a new one.
    fn ends_with(&self, stage: StageIndex, token: Option<TokenId>) -> bool {
        let answered = self.answer().len() as u32 + 1;
        self.stages.is_last(stage)
            && (token == Some(self.plan.end_token) || answered >= self.plan.max_tokens)
    }

    fn carry_out(&mut self, action: ChartAction, event: Event, actions: &mut Vec<Action>) {
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
            // The same step under the same attempt: an engine that ran it answers from memory.
            ChartAction::Resend => self.send_next(actions),
            ChartAction::RebuildStage => {
                if let Event::Reply(stage, _) = event {
                    self.lose(stage);
                    self.stages.replaced(stage);
                }
                self.send_next(actions);
            }
            ChartAction::AskReplacement => {
                if let Event::Reply(stage, _) | Event::StageLost(stage) = event {
                    self.lose(stage);
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
        self.waiting_for = Some((stage, start, inputs.len() as u32));
        self.run.record_sent();
        self.tally.steps += 1;
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
        self.waiting_for = None;
        self.stages.built(stage, reply.start, &outputs);
        if let (true, Some(token)) = (self.stages.is_last(stage), token) {
            self.take_token(token, actions);
        }
    }

    /// Gives the caller what an earlier VM had generated and the caller has not got.
    fn emit_known(&mut self, actions: &mut Vec<Action>) {
        let delivered = self.plan.delivered_tokens;
        let numbered = (0..).zip(self.answer().iter().copied());
        let missing = numbered.filter(|(number, _)| *number >= delivered);
        actions.extend(missing.map(|(number, token)| Action::Emit(number, token)));
    }

    fn is_whole(&self) -> bool {
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

    /// Gives up the stage's KV cache and fences every step sent so far.
    fn lose(&mut self, stage: StageIndex) {
        self.tally.losses += 1;
        self.tally.replayed_tokens += self.stages.lost(stage);
        self.waiting_for = None;
        self.attempt += ATTEMPT_INCREMENT;
    }

    fn fail(&mut self, kind: FailureKind, actions: &mut Vec<Action>) {
        self.release_all(actions);
        let reason = format!(
            "The answer ended after {} tokens and {} lost stages, in state '{}'.",
            self.answer().len(),
            self.tally.losses,
            self.state.name(),
        );
        actions.push(Action::Fail(Failure::new(kind, self.run.state(), reason)));
    }

    fn release_all(&mut self, actions: &mut Vec<Action>) {
        self.waiting_for = None;
        actions.extend((0..self.stages.count()).map(Action::Release));
    }
}

/// The least number above another that keeps the draw of one's own.
fn raise_above(newest: Attempt, own: Attempt) -> Attempt {
    let draw = own % ATTEMPT_INCREMENT;
    (newest / ATTEMPT_INCREMENT + 1) * ATTEMPT_INCREMENT + draw
}
