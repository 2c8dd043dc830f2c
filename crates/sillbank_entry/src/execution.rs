//! Runs one [`Generation`]: feeds it events and performs its actions.

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

/// Pause between searches for a replacement endpoint when none is available.
const REPLACEMENT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// A request fails if a stage has no endpoint for this long.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Input for executing a generation.
pub(crate) struct ExecutionRequest {
    pub(crate) plan: Plan,
    pub(crate) chain: Vec<ChainLink>,
    pub(crate) pipeline: PipelineId,
    pub(crate) kv_tokens: u32,
    pub(crate) deadline: Instant,
    pub(crate) mailbox: Mailbox,
}

/// One generation and the endpoints of its stages. Dropping it releases the endpoints.
pub(crate) struct Execution {
    entry: Rc<Entry>,
    generation: Generation,
    uid: RequestUid,
    pipeline: PipelineId,
    kv_tokens: u32,
    stages: Vec<ChainLink>,
    /// Stages without an endpoint, and since when.
    without_endpoint: Vec<(StageIndex, Instant)>,
    mailbox: Mailbox,
    progress: Rc<Progress>,
    sink: Sink,
    started_at: Instant,
    last_token_at: Option<Instant>,
    stage_times: Vec<StageTime>,
}

/// Steps and time of one stage, for the logging span.
#[derive(Default, Clone)]
struct StageTime {
    steps: u32,
    total: Duration,
    sent_at: Option<Instant>,
}

/// Why the task of a generation was woken.
enum WakeReason {
    Mail(Mail),
    Deadline,
    CallerDisconnected,
    RetryReplacement,
}

/// Runs a generation until it ends.
pub(crate) async fn execute(
    entry: Rc<Entry>,
    request: ExecutionRequest,
    progress: Rc<Progress>,
    sink: Sink,
) {
    let deadline = request.deadline;
    let mut execution = Execution::new(entry, request, progress, sink);
    execution.handle(Event::Start);
    let mut timer = Timer::at(deadline);
    while !execution.generation.is_over() {
        if !execution.caller_keeps_up().await {
            execution.handle(Event::Cancel);
            break;
        }
        match execution.next_wake(&mut timer).await {
            WakeReason::Mail(Mail::Event(event)) => execution.handle(event),
            WakeReason::Mail(Mail::HandOver) => {
                execution.hand_over();
                return;
            }
            WakeReason::Deadline => execution.handle(Event::Deadline),
            WakeReason::CallerDisconnected => execution.handle(Event::Cancel),
            WakeReason::RetryReplacement => execution.find_replacements(),
        }
    }
    execution.report();
}

impl Execution {
    fn new(
        entry: Rc<Entry>,
        request: ExecutionRequest,
        progress: Rc<Progress>,
        sink: Sink,
    ) -> Self {
        Self {
            uid: request.plan.uid,
            generation: Generation::new(request.plan),
            stage_times: vec![StageTime::default(); request.chain.len()],
            pipeline: request.pipeline,
            kv_tokens: request.kv_tokens,
            stages: request.chain,
            without_endpoint: Vec::new(),
            mailbox: request.mailbox,
            progress,
            sink,
            started_at: Instant::now(),
            last_token_at: None,
            entry,
        }
    }

    /// Identifies this execution among those of the same request.
    fn id(&self) -> ExecutionId {
        execution_id(self.uid, self.generation.attempt())
    }

    /// Passes an event to the generation and performs the resulting actions.
    fn handle(&mut self, event: Event) {
        if let Event::Reply(stage, _) = &event {
            let time = &mut self.stage_times[*stage];
            time.total += time.sent_at.take().map_or(Duration::ZERO, |sent_at| sent_at.elapsed());
        }
        let mut actions = Vec::with_capacity(4);
        self.generation.on_event(event, &mut actions);
        for action in actions {
            self.perform(action);
        }
        let tokens = self.generation.answer().len() as u32;
        self.progress.record_state(self.generation.state(), tokens);
    }

    /// Performs one action of the generation.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Send(stage, step) => {
                let time = &mut self.stage_times[stage];
                time.steps += 1;
                time.sent_at = Some(Instant::now());
                self.entry.metrics.steps.inc();
                self.progress.record_step(stage, self.stages[stage].endpoint, &step);
                match self.entry.link(self.stages[stage].endpoint) {
                    Some(link) => {
                        link.send(stage, step, &self.mailbox);
                        self.entry.update_prefill(self.stages[stage].endpoint, &link);
                    }
                    None => self.mailbox.push(Event::StageLost(stage)),
                }
            }
            Action::Emit(number, token) => self.emit(number, token),
            Action::Replace(stage) => {
                if let Some(link) = self.entry.link(self.stages[stage].endpoint) {
                    link.stop_awaiting(self.id());
                }
                self.without_endpoint.push((stage, Instant::now()));
                self.find_replacements();
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

    /// Delivers a token to the caller and records its latency.
    fn emit(&mut self, number: u32, token: TokenId) {
        let now = Instant::now();
        match self.last_token_at.replace(now) {
            None => {
                let first = now.duration_since(self.started_at).as_secs_f64();
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

    /// Adds a retry-after time to a failure, unless the request was taken over or its deadline has passed.
    fn with_retry_after(&self, failure: Failure) -> Failure {
        match failure.kind {
            FailureKind::TakenOver | FailureKind::DeadlineExceeded => failure,
            _ => failure.retry_after(Duration::from_secs(1)),
        }
    }

    /// Searches for endpoints for the stages that have none.
    fn find_replacements(&mut self) {
        for (stage, since) in std::mem::take(&mut self.without_endpoint) {
            match self.reserve_replacement(stage) {
                Some(endpoint) => {
                    self.entry.release_endpoint(self.stages[stage].endpoint);
                    self.stages[stage].endpoint = endpoint;
                    self.mailbox.push(Event::Replaced(stage));
                }
                None if since.elapsed() > REPLACEMENT_TIMEOUT => {
                    self.mailbox.push(Event::NoReplacement);
                }
                None => self.without_endpoint.push((stage, since)),
            }
        }
    }

    /// Reserves another endpoint for a stage; the old one only if there is no other.
    fn reserve_replacement(&self, stage: StageIndex) -> Option<EndpointSlot> {
        let old = self.stages[stage].endpoint;
        self.reserve_usable_endpoint(stage).or_else(|| self.entry.reserve_leaving_endpoint(old))
    }

    /// Reserves an endpoint that accepts new work for a stage, preferably not the old one.
    fn reserve_usable_endpoint(&self, stage: StageIndex) -> Option<EndpointSlot> {
        let old = self.stages[stage];
        let exclusions = [Some(old.endpoint), None];
        exclusions.into_iter().find_map(|excluded| {
            let request = ChainRequest {
                pipeline: &self.pipeline,
                layers: old.layers,
                kv_tokens: self.kv_tokens,
                prefill_tokens: self.generation.sequence_len(),
                tokens: self.generation.tokens_left(),
                excluded,
            };
            let chain = self.entry.reserve_chain(&request)?;
            match chain[..] {
                [link] if self.entry.link(link.endpoint).is_some() => Some(link.endpoint),
                _ => {
                    chain.iter().for_each(|link| self.entry.release_endpoint(link.endpoint));
                    None
                }
            }
        })
    }

    /// Waits while the caller's buffer is full. Returns false if the caller stalls.
    async fn caller_keeps_up(&self) -> bool {
        let limit = self.entry.settings.stream_buffer_bytes;
        if self.sink.buffered_bytes() <= limit {
            return true;
        }
        let stall_timeout = self.entry.settings.caller_stall;
        let drained = async {
            self.sink.drained_to(limit / 2).await;
            true
        };
        let timed_out = async {
            Timer::after(stall_timeout).await;
            false
        };
        let in_time = futures_lite::future::or(drained, timed_out).await;
        if !in_time {
            self.entry.metrics.stalled_callers.inc();
            tracing::info!("entry: The caller of request {} stopped reading.", self.uid);
        }
        in_time
    }

    async fn next_wake(&self, deadline: &mut Timer) -> WakeReason {
        let mut retry_timer =
            (!self.without_endpoint.is_empty()).then(|| Timer::after(REPLACEMENT_RETRY_INTERVAL));
        std::future::poll_fn(|context| {
            if let Poll::Ready(mail) = self.mailbox.poll_next(context) {
                return Poll::Ready(WakeReason::Mail(mail));
            }
            if self.sink.poll_reader_closed(context).is_ready() {
                return Poll::Ready(WakeReason::CallerDisconnected);
            }
            if Pin::new(&mut *deadline).poll(context).is_ready() {
                return Poll::Ready(WakeReason::Deadline);
            }
            if let Some(timer) = &mut retry_timer
                && Pin::new(timer).poll(context).is_ready()
            {
                return Poll::Ready(WakeReason::RetryReplacement);
            }
            Poll::Pending
        })
        .await
    }

    /// Tells the caller to resume at another VM. The engines keep the request's state for that VM.
    fn hand_over(&mut self) {
        self.sink.hand_over(self.generation.run_state());
        for stage in &self.stages {
            if let Some(link) = self.entry.link(stage.endpoint) {
                link.stop_awaiting(self.id());
            }
        }
        self.report();
    }

    /// Records metrics and logs the time of each stage.
    fn report(&self) {
        let stats = self.generation.stats();
        let metrics = &self.entry.metrics;
        metrics.replayed_tokens.inc_by(u64::from(stats.replayed_tokens));
        metrics.stages_lost.inc_by(u64::from(stats.losses));
        metrics.count_answer(self.generation.state());
        for (link, time) in self.stages.iter().zip(&self.stage_times) {
            tracing::debug!(
                parent: self.sink.span(),
                "entry: Stage {}..{} took {} steps and {} us at slot {}.",
                link.layers.first, link.layers.end, time.steps, time.total.as_micros(), link.endpoint,
            );
        }
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        for stage in &self.stages {
            self.entry.release_endpoint(stage.endpoint);
        }
    }
}
