//! Switches for what a gateway does beyond the plain way, to measure what each of them is worth.

use sillbank_settings::reader::FieldReader;

/// Which mechanisms are on. All are, unless the section `[mechanisms]` of the settings says otherwise;
/// `docs/DECISIONS.md` tells what each was worth when it was switched off alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Only engines that have room are used, and a request for which there is no path is refused.
    pub room: bool,
    /// Sends since the state that an engine reported count as taken.
    pub unseen_sends: bool,
    /// Engines are asked more often while one of them is nearly full.
    pub pressed_reports: bool,
    /// What engines report is passed on as it comes.
    pub prompt_news: bool,
    /// Callers are told to come back by how long a shortage has lasted, one after the other.
    pub return_times: bool,
    /// VMs tell their leaders what they are asked for, and leaders tell it on; callers are told to come back by it.
    pub fleet_demand: bool,
    /// First placements hold layers in pairs.
    pub pairs: bool,
    /// Running requests are moved around a lost engine.
    pub moves: bool,
    /// Paths through engines that are nearly full cost more.
    pub crowd_cost: bool,
    /// The time that an engine has left counts as part of its room.
    pub time_share: bool,
    /// Paths through engines that failed or refused cost more.
    pub health_cost: bool,
    /// The more urgent requests are let in first when not all fit.
    pub ladder: bool,
    /// What streams will show is foretold, and compared with what they show.
    pub forecasts: bool,
    /// Calls are sent only to endpoints that are likely to answer in time.
    pub calls_in_time: bool,
    /// Forecasts are corrected by how earlier ones came true.
    pub forecast_learning: bool,
    /// A VM that is near a limit of its own gives way to others, and refuses new requests at it.
    pub vm_limits: bool,
    /// Requests that end the endpoints that run them are held back.
    pub quarantine: bool,
    /// What endpoints ask of VMs in their answers is kept.
    pub pushback: bool,
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
        }
    }
}

impl Mechanisms {
    /// Reads the section; what is left out is on.
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
        }
    }
}
