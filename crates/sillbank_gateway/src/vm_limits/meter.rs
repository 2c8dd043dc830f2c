//! What a VM uses of its link, memory, connections and processor, as parts of what it may use.

use std::time::{Duration, Instant};

/// Part of a limit from which a VM is near it. The fifth that is left takes in what comes until others
/// know: the figures are means of a second, and a balancer asks once a second.
const NEAR: f64 = 0.8;
/// Part of a limit below which a VM is no longer near it. Well below [`NEAR`], so that the callers who come
/// back do not turn it away again at once.
const CLEAR: f64 = 0.6;
/// Part of a limit from which new requests are refused. Beyond, a link holds packets and a process
/// is killed for its memory, which harms those that run.
const FULL: f64 = 0.95;
/// Window of the link's rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Weight of one reading of the timer in its mean: a mean of about five. A VM that stood still once is
/// not slow; one whose timers are late time and again is.
const LAG_WEIGHT: f64 = 0.2;
/// How late timers may be: half of the shortest pause between events that callers ask for, 250 ms. An event
/// passes a VM on one wake; the other half is the engine's.
const LAG_LIMIT: Duration = Duration::from_millis(125);
/// The most that one late timer counts, so that what lasted once is soon over.
const LAG_MOST: Duration = Duration::from_millis(250);
/// Bits of a byte, as links are told in Mbit/s.
const BYTE_BITS: f64 = 8.0;

/// A limit of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum VmLimit {
    /// Rate of its link.
    Link,
    /// Bytes that it keeps for callers and endpoints.
    Memory,
    /// Connections that its descriptors allow.
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

/// What a VM may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmCapacity {
    /// Rate of its link, in Mbit/s.
    pub link_mbps: f64,
    /// Most bytes that it keeps for callers and endpoints.
    pub kept_bytes: usize,
    /// Most connections of callers.
    pub connections: usize,
}

/// What a VM uses at a moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmReading {
    /// Bytes that passed the connections of callers and of VMs that ask this one since the process began,
    /// either way. What comes from a caller goes on to an endpoint and back, so each direction of the link
    /// carries both.
    pub passed_bytes: u64,
    /// Requests in progress.
    pub requests: u64,
    /// Bytes that it keeps for callers and endpoints.
    pub kept_bytes: usize,
    /// Connections of callers, and of VMs that ask this one.
    pub connections: usize,
    /// How late its timer was.
    pub timer_lag: Duration,
}

/// How near a VM is to each limit: 0 is free, 1 is at it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pressures {
    /// Of its link.
    pub link: f64,
    /// Of its memory.
    pub memory: f64,
    /// Of its descriptors.
    pub descriptors: f64,
    /// Of its processor.
    pub processor: f64,
}

impl Pressures {
    /// Each limit and how near it is.
    pub fn by_limit(&self) -> [(VmLimit, f64); 4] {
        [
            (VmLimit::Link, self.link),
            (VmLimit::Memory, self.memory),
            (VmLimit::Descriptors, self.descriptors),
            (VmLimit::Processor, self.processor),
        ]
    }

    /// The limit that is nearest, and how near.
    pub fn worst(&self) -> (VmLimit, f64) {
        let [first, rest @ ..] = self.by_limit();
        rest.into_iter().fold(first, |worst, next| if next.1 > worst.1 { next } else { worst })
    }

    /// How near the VM is to a limit beyond which it would harm those that it serves. Connections are none: each
    /// of them has a second descriptor kept for an endpoint, so callers who are connected can be served, and
    /// refusing them closes no connection. Nor is the processor: a slow answer is better than none, and how late
    /// timers are under the usual load of the smallest VM is not known well enough to refuse by.
    pub fn of_work(&self) -> f64 {
        self.link.max(self.memory)
    }
}

/// Where a VM stands to its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Standing {
    /// It has room.
    #[default]
    Clear,
    /// It is near a limit: others should lead and get new connections.
    Near,
    /// It is at a limit: it takes no new requests.
    Full,
}

/// Turns readings into pressures. All figures are means of about a second.
#[derive(Debug, Default)]
pub struct LimitMeter {
    last: Option<(Instant, VmReading)>,
    rate_bytes_per_s: f64,
    mean_requests: f64,
    mean_lag_s: f64,
    pressures: Pressures,
    standing: Standing,
}

impl LimitMeter {
    /// Takes a reading; answers whether the standing changed.
    pub fn on_reading(&mut self, now: Instant, reading: VmReading, capacity: VmCapacity) -> bool {
        if let Some((at, last)) = self.last {
            self.take_rate(now.saturating_duration_since(at), &last, &reading);
        }
        self.last = Some((now, reading));
        let lag_s = reading.timer_lag.min(LAG_MOST).as_secs_f64();
        self.mean_lag_s += LAG_WEIGHT * (lag_s - self.mean_lag_s);
        let link_bytes_per_s = capacity.link_mbps * 1e6 / BYTE_BITS;
        self.pressures = Pressures {
            link: part(self.expected_rate(reading.requests), link_bytes_per_s),
            memory: part(reading.kept_bytes as f64, capacity.kept_bytes as f64),
            descriptors: part(reading.connections as f64, capacity.connections as f64),
            processor: part(self.mean_lag_s, LAG_LIMIT.as_secs_f64()),
        };
        let standing = self.next_standing();
        std::mem::replace(&mut self.standing, standing) != standing
    }

    /// How near each limit is.
    pub fn pressures(&self) -> Pressures {
        self.pressures
    }

    /// Where the VM stands.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn take_rate(&mut self, passed: Duration, last: &VmReading, reading: &VmReading) {
        let passed_s = passed.as_secs_f64();
        if passed_s <= 0.0 {
            return;
        }
        let bytes = reading.passed_bytes.saturating_sub(last.passed_bytes) as f64;
        let weight = 1.0 - (-passed_s / RATE_WINDOW.as_secs_f64()).exp();
        self.rate_bytes_per_s += weight * (bytes / passed_s - self.rate_bytes_per_s);
        self.mean_requests += weight * (reading.requests as f64 - self.mean_requests);
    }

    /// The rate once those that were let in of late answer like those before them.
    fn expected_rate(&self, requests: u64) -> f64 {
        let growth = requests as f64 / self.mean_requests.max(1.0);
        self.rate_bytes_per_s * growth.max(1.0)
    }

    fn next_standing(&self) -> Standing {
        let (_, worst) = self.pressures.worst();
        let of_work = self.pressures.of_work();
        match self.standing {
            _ if of_work >= FULL => Standing::Full,
            Standing::Full if of_work >= NEAR => Standing::Full,
            _ if worst >= NEAR => Standing::Near,
            Standing::Near | Standing::Full if worst >= CLEAR => Standing::Near,
            _ => Standing::Clear,
        }
    }
}

fn part(used: f64, most: f64) -> f64 {
    if most > 0.0 { used / most } else { 0.0 }
}
