//! Under any interleaving of replies with losses, duplicates, crashes and freezes, the caller receives the tokens
//! of a run without faults, each once and in order, and every engine runs each layer once for each position of an
//! attempt.

use arbitrary::Unstructured;
use sillbank_core::prelude::*;
use sillbank_generation::{Action, Event, Generation, Plan, StageIndex, State};
use sillbank_model::engine::EngineCore;
use sillbank_model::{END_TOKEN, reference_answer};
use sillbank_protocol::engine::{EngineLoad, Step, StepReply};
use sillbank_testing::for_fixed_seeds;
use std::collections::VecDeque;

const MODEL_LAYERS: u16 = 6;
/// Number of engines that hold the layers of each stage.
const ENGINES_PER_STAGE: usize = 3;

/// A generation, the engines that can run its stages, and the messages in flight.
struct World {
    generation: Generation,
    engines: Vec<Vec<EngineCore>>,
    frozen: Vec<Vec<bool>>,
    active: Vec<usize>,
    to_engines: VecDeque<(StageIndex, usize, Step)>,
    to_generation: VecDeque<(StageIndex, StepReply)>,
    emitted: Vec<TokenId>,
    failed: Option<Failure>,
    finished: bool,
    /// Number of stages reported lost before the generation ended.
    reported: u32,
    /// Whether an engine restarted unnoticed.
    restarted: bool,
}

fn plan(prompt: Vec<TokenId>, max_tokens: u32) -> Plan {
    let stages = (0..3).map(|s| LayerRange { first: s * 2, end: s * 2 + 2 }).collect();
    Plan {
        uid: RequestUid(3, 4),
        attempt: 5,
        seed: 11,
        priority: 4,
        prompt,
        known: Vec::new(),
        delivered_tokens: 0,
        max_tokens,
        end_token: END_TOKEN,
        stages,
        max_losses: 40,
    }
}

fn world(plan: Plan) -> World {
    let engine = |layers: &LayerRange| EngineCore::new(*layers, MODEL_LAYERS, 10_000);
    let engines: Vec<Vec<EngineCore>> =
        plan.stages.iter().map(|layers| vec![engine(layers); ENGINES_PER_STAGE]).collect();
    World {
        frozen: vec![vec![false; ENGINES_PER_STAGE]; engines.len()],
        active: vec![0; engines.len()],
        engines,
        generation: Generation::new(plan),
        to_engines: VecDeque::new(),
        to_generation: VecDeque::new(),
        emitted: Vec::new(),
        failed: None,
        finished: false,
        reported: 0,
        restarted: false,
    }
}

impl World {
    fn handle(&mut self, event: Event) {
        if matches!(event, Event::StageLost(_)) && !self.generation.is_over() {
            self.reported += 1;
        }
        let mut actions = Vec::new();
        self.generation.on_event(event, &mut actions);
        for action in actions {
            match action {
                Action::Send(stage, step) => {
                    self.to_engines.push_back((stage, self.active[stage], step));
                }
                Action::Emit(number, token) => {
                    assert_eq!(number as usize, self.emitted.len(), "a token is out of order");
                    self.emitted.push(token);
                }
                Action::Replace(stage) => {
                    self.active[stage] = (self.active[stage] + 1) % ENGINES_PER_STAGE;
                    self.handle(Event::Replaced(stage));
                }
                Action::Finish => self.finished = true,
                Action::Fail(failure) => self.failed = Some(failure),
                Action::Release(_) => {}
            }
        }
    }

    fn run_engine(&mut self) {
        let ready =
            self.to_engines.iter().position(|(stage, engine, _)| !self.frozen[*stage][*engine]);
        let Some((stage, engine, step)) = ready.and_then(|at| self.to_engines.remove(at)) else {
            return;
        };
        let outcome = self.engines[stage][engine].run_step(&step);
        let reply = StepReply {
            uid: step.uid,
            attempt: step.attempt,
            start: step.start,
            outcome,
            load: EngineLoad::default(),
        };
        self.to_generation.push_back((stage, reply));
    }

    fn deliver(&mut self, at: usize) {
        if let Some((stage, reply)) = self.to_generation.remove(at) {
            self.handle(Event::Reply(stage, reply));
        }
    }

    /// Runs an engine, delivers a reply or injects a fault, at random.
    fn inject_fault(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let stage = u.choose_index(self.engines.len())?;
        let engine = self.active[stage];
        match u.int_in_range(0..=11)? {
            0..=3 => self.run_engine(),
            4..=6 => self.deliver(0),
            7 if !self.to_generation.is_empty() => {
                // A reply is reordered, duplicated or lost.
                let at = u.choose_index(self.to_generation.len())?;
                match u.int_in_range(0..=2)? {
                    0 => self.deliver(at),
                    1 => self.to_generation.push_back(self.to_generation[at].clone()),
                    _ => drop(self.to_generation.remove(at)),
                }
            }
            8 => {
                // Crash: its state and the steps in flight to it are lost.
                self.engines[stage][engine].evict_all();
                self.to_engines.retain(|(s, e, _)| (*s, *e) != (stage, engine));
                self.handle(Event::StageLost(stage));
            }
            9 => {
                // Freeze: it is found silent, and later wakes up and runs the steps it was sent.
                self.frozen[stage][engine] = true;
                self.handle(Event::StageLost(stage));
            }
            10 => self.frozen[stage] = vec![false; ENGINES_PER_STAGE],
            11 if u.ratio(1, 4)? => {
                // Unnoticed restart.
                self.engines[stage][engine].evict_all();
                self.restarted = true;
            }
            _ => {}
        }
        Ok(())
    }

    /// Runs without further faults until the generation ends; overdue steps are sent again.
    fn run_to_end(&mut self) {
        self.frozen.iter_mut().for_each(|stage| stage.fill(false));
        for _ in 0..10_000 {
            if self.generation.is_over() {
                return;
            }
            if !self.to_engines.is_empty() {
                self.run_engine();
            } else if !self.to_generation.is_empty() {
                self.deliver(0);
            } else if let Some(stage) = self.generation.awaited_stage() {
                self.handle(Event::StepOverdue(stage));
            }
        }
        panic!("the generation does not end: {:?}", self.generation.state());
    }

    /// Checks that the attempts of each engine only increase, that each step of an attempt continues after the
    /// previous one or starts again at position 0, and that it runs each layer once.
    fn check_ledgers(&self) {
        for engine in self.engines.iter().flatten() {
            let mut last: Option<(Attempt, Position)> = None;
            for entry in &engine.ledger {
                assert!(entry.layers.windows(2).all(|pair| pair[1] == pair[0] + 1), "{entry:?}");
                match last {
                    Some((attempt, end)) if attempt == entry.attempt => {
                        assert!(entry.start == end || entry.start == 0, "{entry:?} after {end}");
                    }
                    Some((attempt, _)) => assert!(entry.attempt > attempt, "{entry:?}"),
                    None => {}
                }
                last = Some((entry.attempt, entry.end));
            }
        }
    }
}

/// Under any sequence of faults the caller receives the reference answer, or a prefix of it and the failure for
/// lost endpoints.
#[test]
fn every_interleaving_gives_the_reference_answer_or_fails_for_lost_endpoints() {
    let mut complete = 0;
    for_fixed_seeds(400, 600, |u| {
        let prompt: Vec<TokenId> = (0..u.int_in_range(1..=5)?).map(|n| n + 1).collect();
        let max_tokens = u.int_in_range(1..=12)?;
        let expected = reference_answer(&prompt, MODEL_LAYERS, 11, max_tokens);
        let mut world = world(plan(prompt, max_tokens));

        world.handle(Event::Start);
        for _ in 0..u.int_in_range(0..=150)? {
            world.inject_fault(u)?;
        }
        world.run_to_end();

        world.check_ledgers();
        if !world.restarted && world.failed.is_none() {
            let losses = world.generation.stats().losses;
            assert_eq!(losses, world.reported, "a stage was rebuilt without a reported loss");
        }
        assert!(expected.starts_with(&world.emitted), "{:?}", world.emitted);
        match &world.failed {
            Some(failure) => assert_eq!(failure.kind, FailureKind::EndpointsLost),
            None => {
                assert_eq!(world.emitted, expected);
                complete += 1;
            }
        }
        Ok(())
    });
    assert!(complete > 200, "only {complete} answers were complete");
}

/// A reply of an endpoint that was replaced counts as stale, and the step stays awaited.
#[test]
fn late_reply_of_a_replaced_endpoint_is_stale() {
    let mut world = world(plan(vec![1, 2, 3], 6));
    world.handle(Event::Start);
    world.run_engine();
    world.handle(Event::StageLost(0));

    world.deliver(0);

    assert_eq!(world.generation.stats().stale_replies, 1);
    assert_eq!(world.generation.awaited_stage(), Some(0), "the new endpoint has yet to build it");
}

/// After the loss of a stage only that stage is built again; the other stages continue.
#[test]
fn only_the_lost_stage_is_rebuilt() {
    let mut world = world(plan(vec![1, 2, 3], 6));
    world.handle(Event::Start);
    while world.emitted.len() < 3 {
        world.run_engine();
        world.deliver(0);
    }

    world.handle(Event::StageLost(1));
    world.run_to_end();

    assert!(world.finished);
    assert_eq!(world.emitted, reference_answer(&[1, 2, 3], MODEL_LAYERS, 11, 6));
    let attempts = |stage: usize, engine: usize| -> Vec<Position> {
        world.engines[stage][engine].ledger.iter().filter(|e| e.start == 0).map(|e| e.end).collect()
    };
    assert_eq!(attempts(0, 0).len(), 1, "the first stage was not rebuilt");
    assert_eq!(attempts(2, 0).len(), 1, "the last stage was not rebuilt");
    assert_eq!(attempts(1, 1).len(), 1, "the new endpoint built the lost stage");
}

/// A generation that has run steps and meets a newer attempt fails as taken over.
#[test]
fn taken_over_generation_stays_fenced_out() {
    let mut world = world(plan(vec![1, 2], 6));
    world.handle(Event::Start);
    for _ in 0..3 {
        world.run_engine();
        world.deliver(0);
    }
    let newer = Plan { attempt: 5 + 2 * ATTEMPT_INCREMENT, ..plan(vec![1, 2], 6) };
    let mut second = Generation::new(newer);
    let mut actions = Vec::new();
    second.on_event(Event::Start, &mut actions);
    let Some(Action::Send(0, step)) = actions.pop() else { panic!("no step") };
    world.engines[0][0].run_step(&step);

    world.run_to_end();

    let failure = world.failed.expect("the older one fails");
    assert_eq!(failure.kind, FailureKind::TakenOver);
    assert_eq!(world.generation.state(), State::Failed);
}

/// A generation that has run nothing and meets a greater attempt raises its own above it and keeps its random bits.
#[test]
fn new_generation_raises_its_attempt_above_an_older_one() {
    let mut world = world(plan(vec![1, 2], 4));
    let ahead = Step {
        uid: RequestUid(3, 4),
        attempt: 5 + 9 * ATTEMPT_INCREMENT,
        start: 0,
        layers: LayerRange { first: 0, end: 2 },
        seed: 11,
        priority: 4,
        inputs: vec![1, 2],
    };
    world.engines[0][0].run_step(&ahead);

    world.handle(Event::Start);
    world.run_to_end();

    assert!(world.finished, "{:?}", world.failed);
    let own = world.generation.attempt();
    assert!(own > ahead.attempt);
    assert_eq!(
        own % ATTEMPT_INCREMENT,
        5,
        "it keeps its random bits, so two new generations differ"
    );
}

/// A resumed answer does not deliver the tokens that the caller already has.
#[test]
fn resumed_answer_delivers_only_missing_tokens() {
    let expected = reference_answer(&[1, 2, 3], MODEL_LAYERS, 11, 8);
    let mut actions = Vec::new();
    let resumed = Plan { delivered_tokens: 5, ..plan(vec![1, 2, 3], 8) };
    let mut generation = Generation::new(resumed);
    let mut engines = world(plan(vec![1], 1)).engines;
    let mut emitted = Vec::new();

    generation.on_event(Event::Start, &mut actions);
    while let Some(action) = actions.pop() {
        match action {
            Action::Send(stage, step) => {
                let outcome = engines[stage][0].run_step(&step);
                let reply = StepReply {
                    uid: step.uid,
                    attempt: step.attempt,
                    start: step.start,
                    outcome,
                    load: EngineLoad::default(),
                };
                generation.on_event(Event::Reply(stage, reply), &mut actions);
            }
            Action::Emit(number, token) => emitted.push((number, token)),
            _ => {}
        }
    }

    emitted.sort_unstable();
    let wanted: Vec<(u32, TokenId)> = (5..8).map(|n| (n, expected[n as usize])).collect();
    assert_eq!(emitted, wanted);
}

/// A takeover continues after the tokens that another VM had generated, and delivers only those that the caller lacks.
#[test]
fn takeover_with_known_tokens_continues_and_delivers_only_missing_tokens() {
    let expected = reference_answer(&[1, 2, 3], MODEL_LAYERS, 11, 8);
    for known in [3, 6, 8] {
        let taken_over = Plan {
            known: expected[..known].to_vec(),
            delivered_tokens: 2,
            ..plan(vec![1, 2, 3], 8)
        };
        let mut world = world(taken_over);
        // The caller already has the first two tokens.
        world.emitted = expected[..2].to_vec();

        world.handle(Event::Start);
        world.run_to_end();

        assert!(world.finished);
        assert_eq!(world.emitted, expected, "with {known} known tokens");
        let steps = world.generation.stats().steps;
        assert!(steps <= 3 * (8 - known as u32), "{steps} steps with {known} known tokens");
    }
}

/// A request that every endpoint refused fails with the run state `NotRun`, and no engine ran a step.
#[test]
fn request_refused_by_every_endpoint_is_reported_as_not_run() {
    let mut world = world(plan(vec![1, 2], 4));
    world.engines[0].iter_mut().for_each(|engine| engine.leaving = true);
    world.handle(Event::Start);

    world.run_to_end();

    let failure = world.failed.expect("it fails");
    assert_eq!(failure.run, RunState::NotRun);
    assert!(world.engines.iter().flatten().all(|engine| engine.ledger.is_empty()));
}
