//! Watches a running stream and checks it while it is silent. Its events are passed on meanwhile.

use super::loss::{ActiveRoute, Loss, Move, Silence, SilenceTimer, detect_loss, move_request};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::store::MetadataStore;
use crate::wire::Wire;
use sillbank_catalog::prelude::*;
use smol::{Task, Timer};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum silence after which another endpoint is looked for although all engines seem to work.
/// Callers give a stream up after two seconds without an event, and opening it elsewhere takes some
/// hundred milliseconds.
const MIN_UNEXPLAINED_SILENCE: Duration = Duration::from_millis(900);
/// The same as a multiple of the time that was forecast for the first event: under load engines that
/// work take long for it.
const UNEXPLAINED_SILENCE_FORECASTS: u32 = 3;

/// What a check found.
pub(super) enum Finding {
    /// Nothing that the stream has to do.
    Nothing,
    /// The stream was moved to another path.
    Moved(Move),
    /// The endpoint may be lost.
    Doubted(Loss),
}

/// Watches one stream at one endpoint.
pub(super) struct SilenceWatch<W: Wire, S: MetadataStore> {
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    silence_timer: SilenceTimer,
    timer: Timer,
    last_data_at: Instant,
    check: Option<Check>,
}

/// A check in progress. Dropping it may leave a move unknown that the endpoint has accepted.
pub(super) struct Check {
    silence: Silence,
    started_at: Instant,
    task: Task<Finding>,
}

impl<W: Wire, S: MetadataStore> SilenceWatch<W, S> {
    /// Begins to watch a stream.
    pub(super) fn new(gateway: &Rc<Gateway<W, S>>, job: &Rc<Job>) -> Self {
        let silence_timer = SilenceTimer::new(gap_objective(job));
        let timer = Timer::after(silence_timer.wait());
        Self {
            gateway: gateway.clone(),
            job: job.clone(),
            silence_timer,
            timer,
            last_data_at: Instant::now(),
            check: None,
        }
    }

    /// Waits for a check that an earlier watch of the stream at the same endpoint began.
    pub(super) fn with_check(mut self, check: Option<Check>) -> Self {
        self.check = check;
        self
    }

    /// Ends the watch. Returns the check in progress.
    pub(super) fn into_check(self) -> Option<Check> {
        self.check
    }

    /// Data arrived.
    pub(super) fn on_data(&mut self, now: Instant) {
        self.silence_timer.on_data(self.silent_for(now));
        self.last_data_at = now;
        self.timer.set_after(self.silence_timer.wait());
    }

    /// Reading was suspended, so that the time since the last data is no pause of the endpoint.
    pub(super) fn on_suspended(&mut self) {
        self.last_data_at = Instant::now();
        self.timer.set_after(self.silence_timer.wait());
    }

    /// Time since the last data.
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_data_at)
    }

    /// Waits until a check is due, and for its result. The future may be dropped at any time.
    pub(super) async fn next(&mut self, route: impl Fn() -> ActiveRoute) -> Finding {
        let Some(check) = &mut self.check else {
            (&mut self.timer).await;
            let silence = self.silence_timer.on_silence();
            let check = check_silence(self.gateway.clone(), self.job.clone(), route(), silence);
            let task = self.gateway.executor.spawn(check);
            self.check = Some(Check { silence, started_at: Instant::now(), task });
            return Finding::Nothing;
        };
        let finding = (&mut check.task).await;
        let (silence, started_at) = (check.silence, check.started_at);
        self.check = None;
        self.timer.set_after(self.silence_timer.wait());
        let has_data_since = self.last_data_at >= started_at;
        match finding {
            Finding::Nothing if silence != Silence::Long => self.silence_timer.on_false_alarm(),
            Finding::Nothing if !has_data_since && self.is_unexplained() => {
                return Finding::Doubted(Loss::unexplained());
            }
            Finding::Doubted(_) if has_data_since => return Finding::Nothing,
            // After a short silence the stream is moved if possible, and otherwise stays.
            Finding::Doubted(loss) if silence != Silence::Long && !loss.is_pressing() => {}
            Finding::Nothing => {}
            found => return found,
        }
        Finding::Nothing
    }

    fn is_unexplained(&self) -> bool {
        let forecast = self.job.forecast().map(|forecast| forecast.corrected.first_event);
        let usual = forecast.filter(|_| self.job.delivery.first().is_none()).unwrap_or_default();
        let min_silence = MIN_UNEXPLAINED_SILENCE.max(usual * UNEXPLAINED_SILENCE_FORECASTS);
        self.silent_for(Instant::now()) >= min_silence
    }
}

/// Checks a silent stream once, and moves it around lost engines.
async fn check_silence<W: Wire, S: MetadataStore>(
    gateway: Rc<Gateway<W, S>>,
    job: Rc<Job>,
    route: ActiveRoute,
    silence: Silence,
) -> Finding {
    // A send is taken back with its link. A hall that counts as lost proves nothing of this connection, so that where the
    // route allows no further send, the link to the endpoint itself is checked.
    if gateway.has_lost_link(&route.endpoint, route.transit)
        && (job.may_send_again(Instant::now()) || gateway.confirms_lost_link(&route.endpoint).await)
    {
        return Finding::Doubted(Loss::of_link("the link to the endpoint is lost"));
    }
    if silence == Silence::Long
        && let Some(vm) = route.hop
        && gateway.hop_is_lost(vm, &route.endpoint, route.address).await
    {
        return Finding::Doubted(Loss::of_link("the VM in between does not answer"));
    }
    let Some(loss) = detect_loss(&gateway, &job, &route, silence).await else {
        return Finding::Nothing;
    };
    match move_request(&gateway, &job, &route, &loss).await {
        Some(moved) => {
            job.delivery.on_moved();
            Finding::Moved(moved)
        }
        None => Finding::Doubted(loss),
    }
}

fn gap_objective(job: &Job) -> Option<Duration> {
    match job.route.kind {
        WorkKind::Stream(rules) => rules.gap_objective,
        WorkKind::Call(_) => None,
    }
}
