//! All generation endpoints one VM knows.

use crate::chain::{ChainLink, ChainRequest};
use crate::endpoint::{Endpoint, EndpointSpec};
use crate::health::{HealthEvent, HealthLimits, HealthState};
use sillbank_core::prelude::*;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Place of an endpoint in the table; never used for another endpoint.
pub type EndpointSlot = u32;

/// Endpoints by slot.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    by_id: HashMap<EndpointId, EndpointSlot>,
    by_pipeline: HashMap<PipelineId, Vec<EndpointSlot>>,
    limits: HealthLimits,
}

impl EndpointTable {
    /// An empty table.
    pub fn new(limits: HealthLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// The endpoint in a slot.
    pub fn get(&self, slot: EndpointSlot) -> &Endpoint {
        &self.endpoints[slot as usize]
    }

    /// The endpoint in a slot, to change it.
    pub fn get_mut(&mut self, slot: EndpointSlot) -> &mut Endpoint {
        &mut self.endpoints[slot as usize]
    }

    /// All slots and endpoints.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointSlot, &Endpoint)> {
        self.endpoints.iter().enumerate().map(|(slot, endpoint)| (slot as EndpointSlot, endpoint))
    }

    /// Takes what settings say of an endpoint. Returns the slot that needs a connection, if the
    /// endpoint is new or has moved.
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

    /// Takes an endpoint out; its slot stays, so that what is in flight can still be told apart.
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

    /// Raises the health events that time alone brings.
    pub fn on_time(&mut self, now: Instant) {
        for endpoint in &mut self.endpoints {
            endpoint.health.on_time(now, &self.limits);
        }
    }

    /// Ejected endpoints whose time for a probe has come.
    pub fn probes_due(&self, now: Instant) -> Vec<EndpointSlot> {
        let due = |endpoint: &Endpoint| endpoint.health.probe_due(now, &self.limits);
        self.iter().filter(|(_, endpoint)| due(endpoint)).map(|(slot, _)| slot).collect()
    }

    /// Endpoints that may take a request, with the share of ordinary work each should get.
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
            .filter(|slot| Some(*slot) != request.except)
            .filter_map(|slot| Some((slot, self.share(slot, request.kv_tokens, now, last_resort)?)))
            .collect()
    }

    /// Steps that wait for each one in a batch, at the fullest engine of a chain.
    pub fn backlog(&self, chain: &[ChainLink]) -> f64 {
        let backlogs = chain.iter().map(|link| self.get(link.endpoint).cost.backlog());
        backlogs.fold(0.0, f64::max)
    }

    /// When a request on a chain is predicted to end, from now; unknown while an endpoint is.
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
