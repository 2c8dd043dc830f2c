//! All generation endpoints that a VM knows.

use crate::chain::{ChainLink, ChainRequest};
use crate::endpoint::{Endpoint, EndpointSpec};
use crate::health::{HealthEvent, HealthLimits, HealthState};
use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Index of an endpoint in the table; never reused for another endpoint.
pub type EndpointSlot = u32;

/// Table of endpoints, indexed by slot.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    by_id: HashMap<EndpointId, EndpointSlot>,
    by_pipeline: HashMap<PipelineId, Vec<EndpointSlot>>,
    limits: HealthLimits,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new(limits: HealthLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the endpoint in a slot.
    pub fn get(&self, slot: EndpointSlot) -> &Endpoint {
        &self.endpoints[slot as usize]
    }

    /// Returns the endpoint in a slot for modification.
    pub fn get_mut(&mut self, slot: EndpointSlot) -> &mut Endpoint {
        &mut self.endpoints[slot as usize]
    }

    /// Iterates over all slots and their endpoints, including removed ones.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointSlot, &Endpoint)> {
        self.endpoints.iter().enumerate().map(|(slot, endpoint)| (slot as EndpointSlot, endpoint))
    }

    /// Inserts or updates an endpoint. Returns the slot that needs a connection, if the endpoint is new or its
    /// address, layers or pipeline have changed.
    pub fn upsert(&mut self, spec: EndpointSpec, now: Instant) -> Option<EndpointSlot> {
        if let Some(slot) = self.by_id.get(&spec.id).copied() {
            let old = self.get_mut(slot);
            let moved = old.spec.address != spec.address
                || old.spec.layers != spec.layers
                || old.spec.pipeline != spec.pipeline;
            if !moved {
                let event = if spec.leaving { HealthEvent::Leave } else { HealthEvent::Stay };
                old.health.on_event(now, event);
                old.spec = spec;
                return None;
            }
            self.remove(&spec.id, now);
        }
        Some(self.insert(spec, now))
    }

    /// Removes an endpoint. Its slot is kept, so that requests in flight still refer to it.
    pub fn remove(&mut self, id: &str, now: Instant) -> Option<EndpointSlot> {
        let slot = self.by_id.remove(id)?;
        let endpoint = self.get_mut(slot);
        endpoint.present = false;
        endpoint.health.on_event(now, HealthEvent::Leave);
        let pipeline = endpoint.spec.pipeline.clone();
        if let Some(slots) = self.by_pipeline.get_mut(&pipeline) {
            slots.retain(|other| *other != slot);
        }
        Some(slot)
    }

    /// Ends slow starts whose time is over.
    pub fn on_tick(&mut self, now: Instant) {
        for endpoint in &mut self.endpoints {
            endpoint.health.on_tick(now, &self.limits);
        }
    }

    /// Returns the ejected endpoints that are due for a probe.
    pub fn probes_due(&self, now: Instant) -> Vec<EndpointSlot> {
        let due = |endpoint: &Endpoint| endpoint.health.probe_due(now, &self.limits);
        self.iter().filter(|(_, endpoint)| due(endpoint)).map(|(slot, _)| slot).collect()
    }

    /// Returns the endpoints that may serve a request, each with the share of its usual requests it should receive.
    ///
    /// With `last_resort`, ejected, disconnected and full endpoints are included, with a share of 0.1.
    pub fn candidates(
        &self,
        request: &ChainRequest<'_>,
        now: Instant,
        last_resort: bool,
    ) -> Vec<(EndpointSlot, f64)> {
        let slots = self.by_pipeline.get(request.pipeline).map_or(&[][..], Vec::as_slice);
        slots
            .iter()
            .copied()
            .filter(|slot| Some(*slot) != request.excluded)
            .filter_map(|slot| Some((slot, self.share(slot, request.kv_tokens, now, last_resort)?)))
            .collect()
    }

    /// Returns the highest ratio of queued steps to steps in a batch among the engines of a chain.
    pub fn backlog(&self, chain: &[ChainLink]) -> f64 {
        let backlogs = chain.iter().map(|link| self.get(link.endpoint).cost.backlog());
        backlogs.fold(0.0, f64::max)
    }

    /// Predicts how long a request takes on a chain, or returns `None` if an endpoint of it has no measurements.
    pub fn predict(&self, chain: &[ChainLink], prompt: u32, tokens: u32) -> Option<Duration> {
        let mut token_us = 0.0;
        let mut prompt_us = 0.0;
        for link in chain {
            let endpoint = self.get(link.endpoint);
            token_us += endpoint.cost.expected_us(endpoint.added_since_report)?;
            prompt_us += endpoint.cost.prefill_us(prompt);
        }
        let sum_us = prompt_us + token_us * f64::from(tokens);
        Some(Duration::from_micros(sum_us as u64))
    }

    fn share(
        &self,
        slot: EndpointSlot,
        kv_tokens: u32,
        now: Instant,
        last_resort: bool,
    ) -> Option<f64> {
        let endpoint = self.get(slot);
        let full = endpoint.kv_free_tokens.is_some_and(|free| free < kv_tokens);
        match endpoint.health.state() {
            HealthState::Leaving => None,
            HealthState::Ejected => last_resort.then_some(0.1),
            _ if !endpoint.connected || full => last_resort.then_some(0.1),
            _ => Some(endpoint.health.share(now, &self.limits)),
        }
    }

    fn insert(&mut self, spec: EndpointSpec, now: Instant) -> EndpointSlot {
        let slot = self.endpoints.len() as EndpointSlot;
        self.by_id.insert(spec.id.clone(), slot);
        self.by_pipeline.entry(spec.pipeline.clone()).or_default().push(slot);
        let leaving = spec.leaving;
        let mut endpoint = Endpoint::new(spec, now);
        if leaving {
            endpoint.health.on_event(now, HealthEvent::Leave);
        }
        self.endpoints.push(endpoint);
        slot
    }
}
