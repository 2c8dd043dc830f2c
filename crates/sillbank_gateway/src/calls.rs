//! Plain calls: one answer, read whole before it goes to the caller.

use crate::answers::{give_up, not_before, out_of_time, outcome_of, reply_of};
use crate::channels::Channel;
use crate::decisions::{Outcome, SendEnd};
use crate::endpoints::{Evidence, Share};
use crate::ends::{BrokenSend, on_broken_send};
use crate::gateway::Gateway;
use crate::job::Job;
use crate::metrics::KindLabel;
use crate::sending::{Destination, Sent, WholeReply, evidence_of, read_whole, send};
use crate::store::MetadataStore;
use crate::tries::{Left, Tries};
use crate::wire::Wire;
use hyper::Response;
use hyper::body::Incoming;
use sillbank_admission::calls::{
    CallAsk, CallCandidate, CallChoice, CallRefusal, CallRefused, CallTimes,
};
use sillbank_core::prelude::*;
use sillbank_fleet::prelude::*;
use sillbank_net::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Longest answer to a call that is held in memory.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// How many times the route's objective a call that may be repeated waits for one endpoint while
/// another can be asked. Work of the sites known is over in that time but for one in a hundred.
const PATIENCE: f64 = 1.5;

/// Answers a call.
pub async fn answer<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
) -> Response<ReplyBody> {
    let watch = CallWatch { gateway, job, ended: std::cell::Cell::new(false) };
    let late = async {
        smol::Timer::at(job.deadline).await;
        Err(out_of_time(job.run.get()))
    };
    let ended = futures_lite::future::or(work(gateway, job), late).await;
    watch.ended.set(true);
    match ended {
        Ok(reply) => {
            gateway.on_first_answer(job);
            gateway.on_end(job, Outcome::Answered, reply.status().as_u16(), 0, "");
            reply
        }
        Err(failure) => {
            let status = failure.kind.http_status();
            gateway.on_end(job, outcome_of(&failure), status, 0, &failure.reason);
            reply_of::<W>(&failure)
        }
    }
}

/// Logs a call whose caller left: the future is dropped then.
struct CallWatch<'a, W: Wire, S: MetadataStore> {
    gateway: &'a Gateway<W, S>,
    job: &'a Job,
    ended: std::cell::Cell<bool>,
}

impl<W: Wire, S: MetadataStore> Drop for CallWatch<'_, W, S> {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.gateway.on_end(self.job, Outcome::CallerLeft, 0, 0, "the caller left");
        }
    }
}

/// An endpoint to send a call to.
struct Choice {
    endpoint: EndpointId,
    address: SocketAddr,
    /// Whether there is another to turn to.
    has_other: bool,
}

async fn work<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
) -> Result<Response<ReplyBody>, Failure> {
    let mut tried: Vec<EndpointId> = Vec::new();
    let mut tries = Tries::default();
    let mut held: Option<WholeReply> = None;
    loop {
        let choice = choose(gateway, job, &tried);
        let withheld_for = gateway.note_withheld(job);
        let choice = match choice {
            Ok(choice) => choice,
            Err(refused) => {
                let least = withheld_for.filter(|_| refused.reason == CallRefusal::Withheld);
                let failure = || not_before(refuse(gateway, job, refused), least);
                return held.map(|whole| whole.reply).ok_or_else(failure);
            }
        };
        tries.begin(job);
        gateway.count_against_limit(&choice.endpoint);
        let sent_at = Instant::now();
        let (left, reason) = match try_once(gateway, job, &choice).await {
            Try::Done(reply) => {
                gateway.on_ran_well(job);
                return Ok(reply);
            }
            Try::Failed(whole) => {
                gateway.on_ran_well(job);
                let reason = format!("status {}", whole.reply.status().as_u16());
                held = Some(whole);
                (Left::MayHaveRun, reason)
            }
            Try::NotRun(reason) => (Left::NotRun, reason),
            Try::Misdirected(reason) => (Left::Misdirected, reason),
            Try::NotSent(reason) => (Left::NotSent, reason),
            Try::Late(reason) => (Left::MayHaveRun, reason),
            Try::Lost(reason) => {
                let (endpoint, address) = (choice.endpoint.clone(), choice.address);
                let broke_at = Instant::now();
                let send =
                    BrokenSend { endpoint, address, sent_at, broke_at, first_event_at: None };
                on_broken_send(gateway, job, send).await;
                (Left::MayHaveRun, reason)
            }
        };
        gateway.decisions.send_failed(
            job,
            &SendEnd {
                endpoint: &choice.endpoint,
                at_fault: None,
                run: job.run.get().state(),
                reason: &reason,
                after: sent_at.elapsed(),
            },
        );
        tried.push(choice.endpoint);
        let goes_on = tries.goes_on(gateway, job, left);
        if !goes_on {
            let held = held.map(|whole| whole.reply);
            return held.ok_or_else(|| give_up(job.run.get(), FailureKind::NoChain, &reason));
        }
    }
}

/// Refuses a call that is sent nowhere, or gives it up if it may have run.
fn refuse<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    refused: CallRefused,
) -> Failure {
    let kind = KindLabel { kind: refused.reason.name() };
    gateway.metrics.calls_refused.get_or_create(&kind).inc();
    let failure = give_up(job.run.get(), FailureKind::NoChain, refused.reason.text());
    match failure.retry_after {
        Some(_) if refused.reason != CallRefusal::NoEndpoint => {
            failure.retry_after(refused.come_back)
        }
        _ => failure,
    }
}

/// What came of one send.
enum Try {
    /// The whole answer.
    Done(Response<ReplyBody>),
    /// The endpoint's own failure, whole.
    Failed(WholeReply),
    NotRun(String),
    /// The endpoint is not the one that was meant.
    Misdirected(String),
    NotSent(String),
    /// No answer came while another endpoint could be asked.
    Late(String),
    /// The connection ended without an answer, or the answer is none.
    Lost(String),
}

async fn try_once<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    choice: &Choice,
) -> Try {
    let now = Instant::now();
    gateway.decisions.sent(job, &choice.endpoint, None, None, gateway.knowledge.stamp(now));
    let _in_flight =
        gateway.book.begin(vec![Share { endpoint: choice.endpoint.clone(), kv: 0.0 }], now);
    let exchange = exchange(gateway, job, choice);
    let may_turn = job.may_repeat() && choice.has_other && job.may_send_again(now);
    if !may_turn {
        return exchange.await;
    }
    let patience = job.route.objective.mul_f64(PATIENCE);
    let impatient = async {
        smol::Timer::after(patience).await;
        gateway.on_evidence(&choice.endpoint, Evidence::Failed, now, "no answer in time");
        Try::Late(format!("no answer within {} ms", patience.as_millis()))
    };
    futures_lite::future::or(exchange, impatient).await
}

async fn exchange<W: Wire, S: MetadataStore>(
    gateway: &Rc<Gateway<W, S>>,
    job: &Rc<Job>,
    choice: &Choice,
) -> Try {
    let to = Destination { endpoint: &choice.endpoint, address: choice.address, path: None };
    let watch = gateway.call_book.watch(&job.service.name, &choice.endpoint, Instant::now());
    let sent_at = Instant::now();
    let sent = send(gateway, job, to, None).await;
    if let Some(evidence) = evidence_of(&sent) {
        gateway.on_evidence(&choice.endpoint, evidence, sent_at, "a call");
    }
    match sent {
        Sent::Success(reply, channel) => {
            match whole_answer(gateway, choice, reply, channel).await {
                Ok(whole) => {
                    watch.on_answer();
                    Try::Done(whole.reply)
                }
                Err(reason) => Try::Lost(reason),
            }
        }
        Sent::Failure(reply, channel) => {
            match whole_answer(gateway, choice, reply, channel).await {
                Ok(whole) => Try::Failed(whole),
                Err(reason) => Try::Lost(reason),
            }
        }
        Sent::NotRun(refusal) => {
            let reason = format!("the endpoint refused with status {}", refusal.status);
            if !refusal.misdirected {
                watch.on_full();
                return Try::NotRun(reason);
            }
            watch.on_nothing();
            let endpoint = &choice.endpoint;
            gateway.on_evidence(endpoint, Evidence::Unreachable, sent_at, "misdirected");
            Try::Misdirected(reason)
        }
        Sent::NotSent(reason) => {
            watch.on_nothing();
            Try::NotSent(reason)
        }
        Sent::Lost(reason) => Try::Lost(reason),
    }
}

/// Reads an answer whole and keeps its connection.
async fn whole_answer<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    choice: &Choice,
    reply: Response<Incoming>,
    channel: Channel,
) -> Result<WholeReply, String> {
    let whole = read_whole(reply, MAX_ANSWER_BYTES, &gateway.kept).await?;
    gateway.keep_channel(&choice.endpoint, channel, &whole.head);
    Ok(whole)
}

/// The endpoint that a call goes to: one that was not tried and can end it in time, preferably at home.
fn choose<W: Wire, S: MetadataStore>(
    gateway: &Gateway<W, S>,
    job: &Job,
    tried: &[EndpointId],
) -> Result<Choice, CallRefused> {
    let now = Instant::now();
    let settings = gateway.settings();
    let draw = || gateway.chance.next_f64();
    let views = gateway.views(now);
    gateway.knowledge.endpoints(|directory| {
        let usable = directory.usable_of(&job.service.name);
        let mut records: Vec<_> = usable.filter(|record| !tried.contains(&record.id)).collect();
        let takes_work = |record: &&EndpointRecord| gateway.book.takes_work(&record.id, now);
        // While all are left alone, the least bad is better than none.
        if records.iter().any(takes_work) {
            records.retain(takes_work);
        }
        if let [only] = records.as_slice()
            && !tried.contains(&only.id)
            && let Some(come_back) = gateway.kept_apart_for(job)
            && directory.usable_of(&job.service.name).filter(|r| takes_work(r)).count() == 1
        {
            return Err(CallRefused { reason: CallRefusal::KeptApart, come_back });
        }
        let had_records = !records.is_empty();
        records.retain(|record| views.may_send(&record.id));
        if had_records && records.is_empty() {
            let (reason, come_back) = (CallRefusal::Withheld, gateway.come_back(job));
            return Err(CallRefused { reason, come_back });
        }
        let candidates = records.iter().map(|record| CallCandidate {
            endpoint: &record.id,
            is_home: record.hall == settings.hall,
            in_flight: gateway.book.in_flight(&record.id),
            places: record.slots,
        });
        let candidates: Vec<CallCandidate<'_>> = candidates.collect();
        let ask = CallAsk {
            time_left: job.time_left(now),
            may_repeat: job.may_repeat(),
            rank: job.priority(),
        };
        let choice = match settings.mechanisms.calls_in_time {
            true => gateway
                .call_book
                .with(&job.service.name, |times| times.choose(&candidates, ask, now, draw)),
            // By what is in flight alone.
            false => CallTimes::default().choose(&candidates, ask, now, draw),
        };
        match choice {
            CallChoice::Refuse(refused) => Err(refused),
            CallChoice::Send(at) => Ok(Choice {
                endpoint: records[at].id.clone(),
                address: records[at].address,
                has_other: records.len() > 1,
            }),
        }
    })
}
