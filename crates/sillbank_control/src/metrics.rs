//! Metrics of the control process. docs/operators/metrics.md lists names and units.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// All metrics of a control process.
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    pub(crate) datagrams_sent: Counter,
    pub(crate) datagrams_refused: Counter,
    pub(crate) requests_refused: Counter,
    pub(crate) orders: Counter,
    pub(crate) bytes_sent: Counter,
    pub(crate) bytes_received: Counter,
    pub(crate) pulls: Counter,
    pub(crate) pull_bytes: Counter,
    pub(crate) platform_bytes: Counter,
    pub(crate) platform_calls: Counter,
    pub(crate) platform_failures: Counter,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: sillbank_net::telemetry::new_registry("control"),
            datagrams_sent: Counter::default(),
            datagrams_refused: Counter::default(),
            requests_refused: Counter::default(),
            orders: Counter::default(),
            bytes_sent: Counter::default(),
            bytes_received: Counter::default(),
            pulls: Counter::default(),
            pull_bytes: Counter::default(),
            platform_bytes: Counter::default(),
            platform_calls: Counter::default(),
            platform_failures: Counter::default(),
        };
        let counters = [
            ("datagrams_sent", "Datagrams sent to other VMs", &metrics.datagrams_sent),
            ("datagrams_refused", "Datagrams with a wrong seal", &metrics.datagrams_refused),
            ("requests_refused", "Requests with a wrong seal", &metrics.requests_refused),
            ("orders", "Orders that engines took", &metrics.orders),
            ("gossip_sent_bytes", "Bytes of datagrams sent", &metrics.bytes_sent),
            ("gossip_received_bytes", "Bytes of datagrams received", &metrics.bytes_received),
            ("pulls", "Times settings were taken from a peer", &metrics.pulls),
            ("pull_bytes", "Bytes of settings from and to peers", &metrics.pull_bytes),
            ("platform_bytes", "Bytes to and from the platform", &metrics.platform_bytes),
            ("platform_calls", "Calls to follow the platform", &metrics.platform_calls),
            ("platform_failures", "Of these, calls that failed", &metrics.platform_failures),
        ];
        for (name, help, counter) in counters {
            metrics.registry.register(name, help, counter.clone());
        }
        metrics
    }
}
