//! Carries out what a [`Generation`] decides.

use crate::in_flight::Progress;
use crate::mailbox::{Mail, Mailbox};
use crate::sink::Sink;
use crate::state::Entry;
use sillbank_core::prelude::*;
use sillbank_generation::{Action, Event, Generation, Plan, StageIndex};
use sillbank_routing::prelude::*;
use smol::Timer;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Pause between looks for a replacement when none is to be had.
const REPLACE_PAUSE: Duration = Duration::from_millis(25);
/// How long a stage may stay without an endpoint before the request is given up.
const REPLACE_PATIENCE: Duration = Duration::from_secs(2);

/// What a generation is driven with.
pub(crate) struct DriveRequest {
    pub(crate) plan: Plan,
    pub(crate) chain: Vec<ChainLink>,
    pub(crate) pipeline: PipelineId,
    pub(crate) kv_tokens: u32,
    pub(crate) deadline: Instant,
    pub(crate) mailbox: Mailbox,
}

/// One generation with its endpoints. Dropping it counts it out of them.
pub(crate) struct Drive {
    entry: Rc<Entry>,
    generation: Generation,
    uid: RequestUid,
    pipeline: PipelineId,
    kv_tokens: u32,
    stages: Vec<ChainLink>,
    missing: Vec<(StageIndex, Instant)>,
    mailbox: Mailbox,
    progress: Rc<Progress>,
    sink: Sink,
    started: Instant,
    last_token: Option<Instant>,
    stage_times: Vec<StageTime>,
}

/// Time one stage took, for its span.
#[derive(Default, Clone)]
struct StageTime {
    steps: u32,
    sum: Duration,
    sent: Option<Instant>,
}

enum Woken {
    Mail(Mail),
    Deadline,
    CallerGone,
    LookAgain,
}

/// Drives a generation to its end.
pub(crate) async fn drive(
    entry: Rc<Entry>,
    request: DriveRequest,
    progress: Rc<Progress>,
    sink: Sink,
) {
    let deadline = request.deadline;
    let mut drive = Drive::new(entry, request, progress, sink);
    drive.take(Event::Start);
    let mut timer = Timer::at(deadline);
    while !drive.generation.is_over() {
        if !drive.caller_keeps_up().await {
            drive.take(Event::Cancel);
            break;
        }
        match drive.next_wake(&mut timer).await {
            Woken::Mail(Mail::Event(event)) => drive.take(event),
            Woken::Mail(Mail::HandOver) => {
                drive.hand_over();
                return;
            }
            Woken::Deadline => drive.take(Event::Deadline),
            Woken::CallerGone => drive.take(Event::Cancel),
            Woken::LookAgain => drive.look_again(),
        }
    }
    drive.report();
}

impl Drive {
    fn new(entry: Rc<Entry>, request: DriveRequest, progress: Rc<Progress>, sink: Sink) -> Self {
        Self {
            uid: request.plan.uid,
            generation: Generation::new(request.plan),
            stage_times: vec![StageTime::default(); request.chain.len()],
            pipeline: request.pipeline,
            kv_tokens: request.kv_tokens,
            stages: request.chain,
            missing: Vec::new(),
            mailbox: request.mailbox,
            progress,
            sink,
            started: Instant::now(),
            last_token: None,
            entry,
        }
    }

    /// Which try at the request this is.
    fn id(&self) -> ExecutionId {
        execution_id(self.uid, self.generation.attempt())
    }

    fn take(&mut self, event: Event) {
        if let Event::Reply(stage, _) = &event {
            let time = &mut self.stage_times[*stage];
            time.sum += time.sent.take().map_or(Duration::ZERO, |sent| sent.elapsed());
        }
        let mut actions = Vec::with_capacity(4);
        self.generation.on_event(event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        let tokens = self.generation.answer().len() as u32;
        self.progress.on_event(self.generation.state(), tokens);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send(stage, step) => {
                let time = &mut self.stage_times[stage];
                time.steps += 1;
                time.sent = Some(Instant::now());
                self.entry.metrics.steps.inc();
                self.progress.on_sent(stage, self.stages[stage].endpoint, &step);
                match self.entry.link(self.stages[stage].endpoint) {
                    Some(link) => {
                        link.send(stage, step, &self.mailbox);
                        self.entry.note_prefill(self.stages[stage].endpoint, &link);
                    }
                    None => self.mailbox.push(Event::StageLost(stage)),
                }
            }
            Action::Emit(number, token) => self.emit(number, token),
            Action::Replace(stage) => {
                if let Some(link) = self.entry.link(self.stages[stage].endpoint) {
                    link.forget(self.id());
                }
                self.missing.push((stage, Instant::now()));
                self.look_again();
            }
            Action::Release(stage) => {
                if let Some(link) = self.entry.link(self.stages[stage].endpoint) {
                    link.cancel(self.uid, self.generation.attempt());
                }
            }
            Action::Finish => self.sink.finish(),
            Action::Fail(failure) => self.sink.fail(self.with_retry_after(failure)),
        }
    }

    fn emit(&mut self, number: u32, token: TokenId) {
        let now = Instant::now();
        match self.last_token.replace(now) {
            None => {
                let first = now.duration_since(self.started).as_secs_f64();
                self.entry.metrics.first_token_seconds.observe(first);
            }
            Some(last) => {
                let gap = now.duration_since(last).as_secs_f64();
                self.entry.metrics.token_gap_seconds.observe(gap);
            }
        }
        self.entry.metrics.tokens.inc();
        self.sink.token(number, token);
    }

    fn with_retry_after(&self, failure: Failure) -> Failure {
        match failure.kind {
            FailureKind::TakenOver | FailureKind::DeadlineExceeded => failure,
            _ => failure.retry_after(Duration::from_secs(1)),
        }
    }

    /// Looks for endpoints for the stages that have none.
    fn look_again(&mut self) {
        for (stage, since) in std::mem::take(&mut self.missing) {
            match self.replacement(stage) {
                Some(endpoint) => {
                    self.entry.leave_endpoint(self.stages[stage].endpoint);
                    self.stages[stage].endpoint = endpoint;
                    self.mailbox.push(Event::Replaced(stage));
                }
                None if since.elapsed() > REPLACE_PATIENCE => {
                    self.mailbox.push(Event::NoReplacement);
                }
                None => self.missing.push((stage, since)),
            }
        }
    }

    /// Another endpoint for a stage; the old one only if there is no other.
    fn replacement(&self, stage: StageIndex) -> Option<EndpointSlot> {
        let old = self.stages[stage].endpoint;
        self.usable_endpoint(stage).or_else(|| self.entry.take_leaving_endpoint(old))
    }

    /// An endpoint for a stage that may be given new work.
    fn usable_endpoint(&self, stage: StageIndex) -> Option<EndpointSlot> {
        let old = self.stages[stage];
        let others = [Some(old.endpoint), None];
        others.into_iter().find_map(|excluded| {
            let request = ChainRequest {
                pipeline: &self.pipeline,
                layers: old.layers,
                kv_tokens: self.kv_tokens,
                prefill_tokens: self.generation.sequence_len(),
                tokens: self.generation.tokens_left(),
                excluded,
            };
            let chain = self.entry.take_chain(&request)?;
            match chain[..] {
                [link] if self.entry.link(link.endpoint).is_some() => Some(link.endpoint),
                _ => {
                    chain.iter().for_each(|link| self.entry.leave_endpoint(link.endpoint));
                    None
                }
            }
        })
    }

    /// Waits while the caller's buffer is full. Answers false if the caller stalls.
    async fn caller_keeps_up(&self) -> bool {
        let limit = self.entry.settings.stream_buffer_bytes;
        if self.sink.waiting_bytes() <= limit {
            return true;
        }
        let stall = self.entry.settings.caller_stall;
        let drained = async {
            self.sink.drained_to(limit / 2).await;
            true
        };
        let late = async {
            Timer::after(stall).await;
            false
        };
        let in_time = futures_lite::future::or(drained, late).await;
        if !in_time {
            self.entry.metrics.stalled_callers.inc();
            tracing::info!("entry: The caller of {} stopped reading.", self.uid);
        }
        in_time
    }

    async fn next_wake(&self, deadline: &mut Timer) -> Woken {
        let mut look_again = (!self.missing.is_empty()).then(|| Timer::after(REPLACE_PAUSE));
        std::future::poll_fn(|context| {
            if let Poll::Ready(mail) = self.mailbox.poll_next(context) {
                return Poll::Ready(Woken::Mail(mail));
            }
            if self.sink.poll_gone(context).is_ready() {
                return Poll::Ready(Woken::CallerGone);
            }
            if Pin::new(&mut *deadline).poll(context).is_ready() {
                return Poll::Ready(Woken::Deadline);
            }
            if let Some(timer) = &mut look_again
                && Pin::new(timer).poll(context).is_ready()
            {
                return Poll::Ready(Woken::LookAgain);
            }
            Poll::Pending
        })
        .await
    }

    /// Tells the caller where to go on; the engines keep what they hold for the next VM.
    fn hand_over(&mut self) {
        self.sink.hand_over(self.generation.run_state());
        for stage in &self.stages {
            if let Some(link) = self.entry.link(stage.endpoint) {
                link.forget(self.id());
            }
        }
        self.report();
    }

    fn report(&self) {
        let tally = self.generation.stats();
        let metrics = &self.entry.metrics;
        metrics.replayed_tokens.inc_by(u64::from(tally.replayed_tokens));
        metrics.stages_lost.inc_by(u64::from(tally.losses));
        metrics.count_answer(self.generation.state());
        for (link, time) in self.stages.iter().zip(&self.stage_times) {
            tracing::debug!(
                parent: self.sink.span(),
                "entry: Stage {}..{} took {} steps and {} us at slot {}.",
                link.layers.first, link.layers.end, time.steps, time.sum.as_micros(), link.endpoint,
            );
        }
    }
}

impl Drop for Drive {
    fn drop(&mut self) {
        for stage in &self.stages {
            self.entry.leave_endpoint(stage.endpoint);
        }
    }
}
