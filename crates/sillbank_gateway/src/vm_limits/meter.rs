//! Measures a VM's use of its link, memory, connections and processor as shares of its limits.

use std::time::{Duration, Instant};

/// Share of a limit from which a VM is near it. The remaining fifth absorbs the load that arrives
/// until others react: usage is averaged over a second, and a balancer checks readiness once a
/// second.
const NEAR_SHARE: f64 = 0.8;
/// Share of a limit below which a VM is no longer near it. Well below [`NEAR_SHARE`], so that
/// returning callers do not make it unready again at once.
const CLEAR_SHARE: f64 = 0.6;
/// Share of a limit from which new requests are refused. Beyond it, a link queues packets and a
/// process is killed for its memory use, which harms running requests.
const FULL_SHARE: f64 = 0.95;
/// Averaging window of the link's rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of one timer reading in the moving average, which spans about five readings: a VM that
/// stalled once is not slow, one whose timers are late again and again is.
const LAG_WEIGHT: f64 = 0.2;
/// Lag of timers at which the processor counts as used up: half of the shortest gap between events
/// that callers ask for, 250 ms. An event passes a VM on one wake-up; the other half is the
/// engine's.
const MAX_TIMER_LAG: Duration = Duration::from_millis(125);
/// Cap on a single timer reading, so that one stall is soon forgotten.
const MAX_COUNTED_LAG: Duration = Duration::from_millis(250);
/// Bits per byte; the link's rate is set in Mbit/s.
const BITS_PER_BYTE: f64 = 8.0;

/// A resource limit of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmLimit {
    /// Rate of its link.
    Link,
    /// Bytes buffered for callers and endpoints.
    Memory,
    /// Connections that its file descriptors allow.
    Descriptors,
    /// Its share of a processor.
    Processor,
}

impl VmLimit {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Link => "link",
            Self::Memory => "memory",
            Self::Descriptors => "descriptors",
            Self::Processor => "processor",
        }
    }
}

/// Resources that a VM may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmCapacity {
    /// Rate of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Maximum bytes buffered for callers and endpoints.
    pub max_buffered_bytes: usize,
    /// Maximum connections of callers.
    pub max_connections: usize,
}

/// Resources that a VM uses at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmReading {
    /// Bytes, in both directions, on connections of callers and of VMs that ask this one, since the
    /// process started. What arrives from a caller is passed on to an endpoint and back, so each
    /// direction of the link carries both.
    pub transferred_bytes: u64,
    /// Requests in progress.
    pub requests: u64,
    /// Bytes buffered for callers and endpoints.
    pub buffered_bytes: usize,
    /// Connections of callers, and of VMs that ask this one.
    pub connections: usize,
    /// Lag of the reading's timer.
    pub timer_lag: Duration,
}

/// Use of each limit: 0 is unused, 1 is at the limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pressures {
    /// Use of the link.
    pub link: f64,
    /// Use of the memory.
    pub memory: f64,
    /// Use of the descriptors.
    pub descriptors: f64,
    /// Use of the processor.
    pub processor: f64,
}

impl Pressures {
    /// Each limit with its use.
    pub fn by_limit(&self) -> [(VmLimit, f64); 4] {
        [
            (VmLimit::Link, self.link),
            (VmLimit::Memory, self.memory),
            (VmLimit::Descriptors, self.descriptors),
            (VmLimit::Processor, self.processor),
        ]
    }

    /// The most used limit and its use.
    pub fn worst(&self) -> (VmLimit, f64) {
        let [first, rest @ ..] = self.by_limit();
        rest.into_iter().fold(first, |worst, next| if next.1 > worst.1 { next } else { worst })
    }

    /// Highest use of a limit at which requests in progress would be harmed. Connections do not
    /// count: each has a second descriptor reserved for an endpoint, so connected callers can be
    /// served, and refusing them closes no connection. The processor does not count either: a slow
    /// answer is better than none, and the usual timer lag on the smallest VM is not known well
    /// enough to refuse requests by it.
    pub fn request_pressure(&self) -> f64 {
        self.link.max(self.memory)
    }
}

/// A VM's state in relation to its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitState {
    /// It has room.
    #[default]
    Clear,
    /// It is near a limit: other VMs should lead and get new connections.
    Near,
    /// It is at a limit: it refuses new requests.
    Full,
}

/// Computes pressures from readings, averaged over about a second.
#[derive(Debug, Default)]
pub struct LimitMeter {
    last: Option<(Instant, VmReading)>,
    rate_bytes_per_s: f64,
    mean_requests: f64,
    mean_lag_s: f64,
    pressures: Pressures,
    state: LimitState,
}

impl LimitMeter {
    /// Takes a reading. Returns whether the state changed.
    pub fn on_reading(&mut self, now: Instant, reading: VmReading, capacity: VmCapacity) -> bool {
        if let Some((at, last)) = self.last {
            self.update_rates(now.saturating_duration_since(at), &last, &reading);
        }
        self.last = Some((now, reading));
        let lag_s = reading.timer_lag.min(MAX_COUNTED_LAG).as_secs_f64();
        self.mean_lag_s += LAG_WEIGHT * (lag_s - self.mean_lag_s);
        let link_bytes_per_s = capacity.link_mbps * 1e6 / BITS_PER_BYTE;
        self.pressures = Pressures {
            link: use_of(self.expected_rate(reading.requests), link_bytes_per_s),
            memory: use_of(reading.buffered_bytes as f64, capacity.max_buffered_bytes as f64),
            descriptors: use_of(reading.connections as f64, capacity.max_connections as f64),
            processor: use_of(self.mean_lag_s, MAX_TIMER_LAG.as_secs_f64()),
        };
        let state = self.next_state();
        std::mem::replace(&mut self.state, state) != state
    }

    /// Current use of each limit.
    pub fn pressures(&self) -> Pressures {
        self.pressures
    }

    /// Current state.
    pub fn state(&self) -> LimitState {
        self.state
    }

    fn update_rates(&mut self, elapsed: Duration, last: &VmReading, reading: &VmReading) {
        let elapsed_s = elapsed.as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        let bytes = reading.transferred_bytes.saturating_sub(last.transferred_bytes) as f64;
        let weight = 1.0 - (-elapsed_s / RATE_WINDOW.as_secs_f64()).exp();
        self.rate_bytes_per_s += weight * (bytes / elapsed_s - self.rate_bytes_per_s);
        self.mean_requests += weight * (reading.requests as f64 - self.mean_requests);
    }

    /// Predicted rate once recently admitted requests are answered at the same rate as the ones
    /// before.
    fn expected_rate(&self, requests: u64) -> f64 {
        let growth = requests as f64 / self.mean_requests.max(1.0);
        self.rate_bytes_per_s * growth.max(1.0)
    }

    fn next_state(&self) -> LimitState {
        let (_, worst) = self.pressures.worst();
        let request_pressure = self.pressures.request_pressure();
        match self.state {
            _ if request_pressure >= FULL_SHARE => LimitState::Full,
            LimitState::Full if request_pressure >= NEAR_SHARE => LimitState::Full,
            _ if worst >= NEAR_SHARE => LimitState::Near,
            LimitState::Near | LimitState::Full if worst >= CLEAR_SHARE => LimitState::Near,
            _ => LimitState::Clear,
        }
    }
}

fn use_of(used: f64, limit: f64) -> f64 {
    if limit > 0.0 { used / limit } else { 0.0 }
}
