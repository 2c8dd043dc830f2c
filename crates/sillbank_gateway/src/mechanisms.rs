//! Feature switches, by which the effect of each mechanism of a gateway can be measured.

use sillbank_settings::reader::FieldReader;

/// The mechanisms that are enabled. All are, unless the section `[mechanisms]` of the settings
/// disables them; `docs/DECISIONS.md` lists the effect of disabling each one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Only engines that have room are used; a request without a path that has room is refused.
    pub room: bool,
    /// Sends since an engine's last report count as load.
    pub unseen_sends: bool,
    /// Engines are asked for reports more often while one of them is nearly full.
    pub pressed_reports: bool,
    /// Engine reports are passed on as soon as they arrive.
    pub prompt_news: bool,
    /// `Retry-After` depends on how long a shortage has lasted, and spreads callers out.
    pub return_times: bool,
    /// VMs report their demand to their leaders, which pass it on; `Retry-After` is computed from
    /// the fleet's demand.
    pub fleet_demand: bool,
    /// Initial placements hold layers in pairs.
    pub pairs: bool,
    /// Running requests are moved around a lost engine.
    pub moves: bool,
    /// Paths through engines that are nearly full have a higher cost.
    pub crowd_cost: bool,
    /// An engine's free processing time counts as part of its capacity.
    pub time_share: bool,
    /// Paths through engines that failed or refused have a higher cost.
    pub health_cost: bool,
    /// More urgent requests are admitted first when not all fit.
    pub ladder: bool,
    /// Streams are forecast, and the forecasts are compared with what is observed.
    pub forecasts: bool,
    /// Calls are sent only to endpoints that are likely to answer in time.
    pub calls_in_time: bool,
    /// Forecasts are corrected by the errors of earlier ones.
    pub forecast_learning: bool,
    /// A VM near one of its limits leaves work to others, and refuses new requests at the limit.
    pub vm_limits: bool,
    /// Requests that crash the endpoints that run them are quarantined.
    pub quarantine: bool,
    /// Pushback in the answers of endpoints is respected.
    pub pushback: bool,
    /// Connections to endpoints to which a VM has lost its links go through other VMs.
    pub relay: bool,
    /// Endpoints are waited for longer while most of them answer late.
    pub reply_times: bool,
    /// A stopping VM takes the requests that it can finish. Otherwise it takes all until the load balancer has taken it out.
    pub drain_forecasts: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            room: true,
            unseen_sends: true,
            pressed_reports: true,
            prompt_news: true,
            return_times: true,
            fleet_demand: true,
            pairs: true,
            moves: true,
            crowd_cost: true,
            time_share: true,
            health_cost: true,
            ladder: true,
            forecasts: true,
            forecast_learning: true,
            calls_in_time: true,
            vm_limits: true,
            quarantine: true,
            pushback: true,
            relay: true,
            reply_times: true,
            drain_forecasts: true,
        }
    }
}

impl Mechanisms {
    /// Reads the section; a mechanism that is left out is enabled.
    pub fn read(reader: &mut FieldReader) -> Self {
        Self {
            room: reader.flag("room", true),
            unseen_sends: reader.flag("unseen_sends", true),
            pressed_reports: reader.flag("pressed_reports", true),
            prompt_news: reader.flag("prompt_news", true),
            return_times: reader.flag("return_times", true),
            fleet_demand: reader.flag("fleet_demand", true),
            pairs: reader.flag("pairs", true),
            moves: reader.flag("moves", true),
            crowd_cost: reader.flag("crowd_cost", true),
            time_share: reader.flag("time_share", true),
            health_cost: reader.flag("health_cost", true),
            ladder: reader.flag("ladder", true),
            forecasts: reader.flag("forecasts", true),
            forecast_learning: reader.flag("forecast_learning", true),
            calls_in_time: reader.flag("calls_in_time", true),
            vm_limits: reader.flag("vm_limits", true),
            quarantine: reader.flag("quarantine", true),
            pushback: reader.flag("pushback", true),
            relay: reader.flag("relay", true),
            reply_times: reader.flag("reply_times", true),
            drain_forecasts: reader.flag("drain_forecasts", true),
        }
    }
}
