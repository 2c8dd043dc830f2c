//! Matching of replies to awaited steps.
//!
//! An endpoint may answer an abandoned step late, or answer a step twice that was sent twice, while a newer step of
//! the same request is in flight to it. If such a stale reply is matched by the request alone, it removes the newer
//! step, whose own reply is then dropped, and the caller receives nothing until the deadline. This shows as requests
//! that stay in flight after a log line such as "was silent for 152 ms; 2 stages are replaced", each with
//! `"expected": false` in the status of the entry and one more of `sillbank_entry_stale_replies_total`.

#![allow(clippy::unwrap_used)]

use arbitrary::Unstructured;
use sillbank_core::prelude::*;
use sillbank_generation::{Action, AwaitedSteps, Event, Generation, Plan, StageIndex};
use sillbank_model::engine::EngineCore;
use sillbank_model::{END_TOKEN, reference_answer};
use sillbank_protocol::engine::{EngineLoad, Refusal, Step, StepOutcome, StepReply};
use sillbank_testing::for_fixed_seeds;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const MODEL_LAYERS: u16 = 6;
const SEED: u64 = 11;
/// Engines that hold the layers of each stage.
const ENGINES: usize = 2;
/// Simulated time after which a step is sent again.
const OVERDUE: Duration = Duration::from_millis(600);
/// Simulated time that passes with each fault.
const TICK: Duration = Duration::from_millis(100);

fn step(attempt: Attempt, start: Position) -> Step {
    let layers = LayerRange { first: 0, end: 2 };
    Step { uid: RequestUid(3, 4), attempt, start, layers, seed: SEED, priority: 4, inputs: vec![1] }
}

fn reply_to(step: &Step) -> StepReply {
    let outcome = StepOutcome::Refused(Refusal::Full);
    let load = EngineLoad::default();
    StepReply { uid: step.uid, attempt: step.attempt, start: step.start, outcome, load }
}

/// A late reply to an abandoned step does not remove the newer step of the same request.
#[test]
fn reply_to_an_abandoned_step_leaves_the_new_step_awaited() {
    let now = Instant::now();
    let (abandoned, new) = (step(5, 7), step(5 + ATTEMPT_INCREMENT, 0));
    let mut awaited = AwaitedSteps::default();
    awaited.on_sent(0, &abandoned, (), now);
    awaited.take_all();
    awaited.on_sent(0, &new, (), now);

    let late = awaited.on_reply(&reply_to(&abandoned));
    let own = awaited.on_reply(&reply_to(&new));

    assert!(late.is_none(), "the step was abandoned");
    assert!(own.is_some(), "the new step is answered");
}

/// The second reply to a step that was sent twice does not remove the next step.
#[test]
fn second_reply_to_a_resent_step_leaves_the_next_step_awaited() {
    let now = Instant::now();
    let (sent_twice, next) = (step(5, 7), step(5, 8));
    let mut awaited = AwaitedSteps::default();
    awaited.on_sent(0, &sent_twice, (), now);
    awaited.on_sent(0, &sent_twice, (), now);
    let first = awaited.on_reply(&reply_to(&sent_twice));
    awaited.on_sent(0, &next, (), now);

    let second = awaited.on_reply(&reply_to(&sent_twice));

    assert!(first.is_some());
    assert!(second.is_none(), "it was answered before");
    assert!(awaited.awaits(execution_id(next.uid, next.attempt)), "the next step is awaited");
}

/// The positions of a prefill are counted from its send to its reply.
#[test]
fn prefill_positions_count_until_the_reply() {
    let now = Instant::now();
    let prefill = Step { inputs: vec![1; 40], ..step(5, 0) };
    let mut awaited = AwaitedSteps::default();
    awaited.on_sent(0, &prefill, (), now);
    let in_flight = awaited.prefill_positions();

    awaited.on_reply(&reply_to(&prefill));

    assert_eq!((in_flight, awaited.prefill_positions()), (40, 0));
}

/// The time after which a step is sent again doubles with each resend.
#[test]
fn resend_limit_doubles() {
    let sent_at = Instant::now();
    let mut awaited = AwaitedSteps::default();
    awaited.on_sent(1, &step(5, 7), (), sent_at);
    let resent = |awaited: &mut AwaitedSteps<()>, limits: u32| {
        awaited.take_overdue(OVERDUE, sent_at + OVERDUE * limits + TICK).len()
    };

    assert_eq!(resent(&mut awaited, 1), 1);
    assert_eq!(resent(&mut awaited, 1), 0, "the limit is twice as long now");
    assert_eq!(resent(&mut awaited, 2), 1);
}

/// One connection to an engine. Steps and replies keep their order.
struct Connection {
    engine: EngineCore,
    steps: VecDeque<Step>,
    replies: VecDeque<StepReply>,
    awaited: AwaitedSteps<()>,
}

/// A generation whose events come only from connections, as in an entry.
struct Entry {
    generation: Generation,
    connections: Vec<Vec<Connection>>,
    active: Vec<usize>,
    emitted: Vec<TokenId>,
    now: Instant,
}

fn plan(prompt: Vec<TokenId>, max_tokens: u32) -> Plan {
    Plan {
        uid: RequestUid(3, 4),
        attempt: 5,
        seed: SEED,
        priority: 4,
        prompt,
        known: Vec::new(),
        delivered_tokens: 0,
        max_tokens,
        end_token: END_TOKEN,
        stages: (0..3).map(|stage| LayerRange { first: stage * 2, end: stage * 2 + 2 }).collect(),
        max_losses: 1000,
    }
}

fn entry(plan: Plan) -> Entry {
    let connection = |layers: &LayerRange| Connection {
        engine: EngineCore::new(*layers, MODEL_LAYERS, 10_000),
        steps: VecDeque::new(),
        replies: VecDeque::new(),
        awaited: AwaitedSteps::default(),
    };
    let of_stage = |layers| (0..ENGINES).map(|_| connection(layers)).collect();
    let connections: Vec<Vec<Connection>> = plan.stages.iter().map(of_stage).collect();
    Entry {
        active: vec![0; connections.len()],
        connections,
        generation: Generation::new(plan),
        emitted: Vec::new(),
        now: Instant::now(),
    }
}

impl Entry {
    /// Handles an event. A lost stage is assigned to the engine `next`, which may be the one it was lost at.
    fn handle(&mut self, event: Event, next: usize) {
        let mut actions = Vec::new();
        self.generation.on_event(event, &mut actions);
        for action in actions {
            let id = execution_id(RequestUid(3, 4), self.generation.attempt());
            match action {
                Action::Send(stage, step) => {
                    let connection = &mut self.connections[stage][self.active[stage]];
                    connection.awaited.on_sent(stage, &step, (), self.now);
                    connection.steps.push_back(step);
                }
                Action::Replace(stage) => {
                    self.connections[stage][self.active[stage]].awaited.take(id);
                    self.active[stage] = next;
                    self.handle(Event::Replaced(stage), next);
                }
                Action::Emit(_, token) => self.emitted.push(token),
                Action::Finish | Action::Fail(_) | Action::Release(_) => {}
            }
        }
    }

    fn run_engine(&mut self, stage: StageIndex, engine: usize) {
        let connection = &mut self.connections[stage][engine];
        if let Some(step) = connection.steps.pop_front() {
            let outcome = connection.engine.run_step(&step);
            connection.replies.push_back(StepReply { outcome, ..reply_to(&step) });
        }
    }

    fn deliver(&mut self, stage: StageIndex, engine: usize) {
        let connection = &mut self.connections[stage][engine];
        let Some(reply) = connection.replies.pop_front() else { return };
        if let Some(step) = connection.awaited.on_reply(&reply) {
            self.handle(Event::Reply(step.stage, reply), engine);
        }
    }

    /// The endpoint is found silent, or its connection has closed.
    fn lose(&mut self, stage: StageIndex, engine: usize, next: usize) {
        for lost in self.connections[stage][engine].awaited.take_all() {
            self.handle(Event::StageLost(lost.stage), next);
        }
    }

    fn resend_overdue(&mut self, stage: StageIndex, engine: usize) {
        let overdue = self.connections[stage][engine].awaited.take_overdue(OVERDUE, self.now);
        for (stage, ()) in overdue {
            self.handle(Event::StepOverdue(stage), engine);
        }
    }

    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        self.now += TICK;
        let stage = u.choose_index(self.connections.len())?;
        let engine = u.choose_index(ENGINES)?;
        match u.int_in_range(0..=9)? {
            0..=3 => self.run_engine(stage, engine),
            4..=6 => self.deliver(stage, engine),
            7 => self.resend_overdue(stage, engine),
            8 => {
                let next = u.choose_index(ENGINES)?;
                self.lose(stage, engine, next);
            }
            _ => {
                // Crash: its state and the messages in flight are lost.
                self.connections[stage][engine].engine.evict_all();
                self.connections[stage][engine].steps.clear();
                self.connections[stage][engine].replies.clear();
                let next = u.choose_index(ENGINES)?;
                self.lose(stage, engine, next);
            }
        }
        Ok(())
    }

    /// Whether a connection tracks the step that the generation waits for.
    fn is_tracked(&self) -> bool {
        let id = execution_id(RequestUid(3, 4), self.generation.attempt());
        let awaited =
            |stage: StageIndex| self.connections[stage][self.active[stage]].awaited.awaits(id);
        self.generation.is_over() || self.generation.awaited_stage().is_some_and(awaited)
    }

    /// Runs without further faults until the generation ends; overdue steps are sent again.
    fn run_to_end(&mut self) {
        for _ in 0..10_000 {
            self.now += TICK;
            for stage in 0..self.connections.len() {
                for engine in 0..ENGINES {
                    self.run_engine(stage, engine);
                    self.deliver(stage, engine);
                    self.resend_overdue(stage, engine);
                }
            }
            if self.generation.is_over() {
                return;
            }
        }
        panic!("the generation does not end: {:?}", self.generation.state());
    }
}

/// Engines reply late or twice, are found silent and crash, in any order, and a lost stage is assigned to another
/// engine or to the same one. At each moment a connection tracks the step that the generation waits for.
#[test]
fn awaited_step_is_always_tracked_by_a_connection() {
    for_fixed_seeds(600, 600, |u| {
        let prompt: Vec<TokenId> = (0..u.int_in_range(1..=5)?).map(|n| n + 1).collect();
        let max_tokens = u.int_in_range(1..=12)?;
        let expected = reference_answer(&prompt, MODEL_LAYERS, SEED, max_tokens);
        let mut entry = entry(plan(prompt, max_tokens));

        entry.handle(Event::Start, 0);
        for _ in 0..u.int_in_range(0..=150)? {
            entry.inject_fault(u)?;
            assert!(entry.is_tracked(), "it waits for {:?}", entry.generation.awaited_stage());
        }
        entry.run_to_end();

        assert_eq!(entry.emitted, expected);
        Ok(())
    });
}
