//! Slots of keys of at-most-once calls: their leases, their claims, and claims at the holders of
//! slots that this VM does not hold.

use crate::lease_io::{LeaseIo, moment};
use crate::requests::send_request;
use crate::state::Control;
use sillbank_core::hash::rendezvous;
use sillbank_core::prelude::*;
use sillbank_lease::{Lease, LeaseState};
use sillbank_net::prelude::*;
use sillbank_once::key::is_hall_slot;
use sillbank_once::{CallKey, Claim, ClaimAnswer, Slot, SlotAcquisition, SlotId, mint, slot_names};
use sillbank_protocol::peer::PeerRequest;
use smol::Timer;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between checks of all slots.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A new VM does not acquire free slots during this time, in which it hears of the other VMs.
const STARTUP_DELAY: Duration = Duration::from_secs(2);
/// Maximum pause between checks of one slot.
const MAX_CHECK_PAUSE: Duration = Duration::from_secs(2);
/// Timeout of a request to another VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// VMs that are asked for a claim while the holder of the slot cannot be read from the platform. A slot is held by the
/// first in the ranking, or by one that ranked first when fewer VMs were known.
const MAX_LIKELY_HOLDERS: usize = 3;
/// How long a VM tries to acquire a slot whose claims were handed over to it.
const HAND_OVER_ACQUIRE_TIME: Duration = Duration::from_secs(20);

/// A slot, and when it is checked next.
struct WatchedSlot {
    slot: Slot,
    /// Whether a check is running.
    busy: bool,
    next_check: Instant,
}

/// All slots that this VM may hold, and the last known holders of other slots.
#[derive(Default)]
pub(crate) struct Slots {
    slots: RefCell<HashMap<SlotId, WatchedSlot>>,
    holders: RefCell<HashMap<SlotId, SocketAddr>>,
}

impl Slots {
    /// Names of the slots held now, sorted.
    pub(crate) fn held(&self) -> Vec<SlotId> {
        let now = moment();
        let slots = self.slots.borrow();
        let held = slots.iter().filter(|(_, watched)| watched.slot.lease.fence(now).is_some());
        let mut names: Vec<SlotId> = held.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Number of keys stored.
    pub(crate) fn key_count(&self) -> usize {
        self.slots.borrow().values().map(|watched| watched.slot.len()).sum()
    }
}

/// Acquires and keeps slots of keys.
pub(crate) struct OncePlugin;

impl Plugin<Control> for OncePlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

/// Acquires, renews and releases slots for as long as the process runs.
async fn run(control: Rc<Control>) {
    let io = LeaseIo::new(&control);
    for name in slot_names(&control.settings.hall) {
        let slot = WatchedSlot {
            slot: Slot::new(io.candidate(control.settings.once_term)),
            busy: false,
            next_check: Instant::now() + STARTUP_DELAY,
        };
        control.slots.slots.borrow_mut().insert(name, slot);
    }
    loop {
        Timer::after(CHECK_INTERVAL).await;
        let names: Vec<SlotId> = control.slots.slots.borrow().keys().cloned().collect();
        for name in names {
            if start_check(&control, &name) {
                control.executor.spawn(check_slot(control.clone(), name)).detach();
            }
        }
    }
}

/// Whether a slot is due for a check; marks it as busy if so.
fn start_check(control: &Control, name: &str) -> bool {
    let now = moment();
    let mut slots = control.slots.slots.borrow_mut();
    let Some(watched) = slots.get_mut(name) else {
        return false;
    };
    let slot = &watched.slot;
    if watched.busy || slot.is_handing_over() {
        return false;
    }
    let was_handed_over =
        slot.claims_received_at().is_some_and(|at| now.since(at) < HAND_OVER_ACQUIRE_TIME);
    if slot.lease.state() == LeaseState::Idle && !was_handed_over {
        if now.monotonic < watched.next_check {
            return false;
        }
        // Ranking all VMs costs time, so a slot of another VM is ranked only once per pause.
        watched.next_check = now.monotonic + MAX_CHECK_PAUSE;
        if !is_preferred_holder(control, name) {
            return false;
        }
    }
    watched.busy = true;
    true
}

/// Whether this VM ranks first for a slot among the VMs that may hold it.
fn is_preferred_holder(control: &Control, name: &str) -> bool {
    let membership = control.membership.borrow();
    let own = std::iter::once(control.settings.vm.as_str());
    let members = membership.members().all().filter(|member| member.is_live());
    let in_hall = |hall: &str| !is_hall_slot(name) || hall == control.settings.hall;
    let others = members.filter(|m| in_hall(&m.update.hall)).map(|m| m.update.vm.as_str());
    rendezvous(name, own.chain(others), 1) == [control.settings.vm.as_str()]
}

/// Checks one slot: reads its lease object or renews the lease, as the state of the lease requires.
async fn check_slot(control: Rc<Control>, name: SlotId) {
    let io = LeaseIo::new(&control);
    let key = lease_key(&name);
    let now = moment();
    let needs_read = match control.slots.slots.borrow().get(&name) {
        Some(watched) => watched.slot.lease.needs_read(),
        None => return,
    };
    let write = if needs_read {
        match io.read(&key).await {
            Ok(read) => {
                with_lease(&control, &name, |lease| lease.on_read(moment(), read, io.new_mark()))
            }
            Err(_) => None,
        }
    } else {
        with_lease(&control, &name, |lease| lease.on_tick(now, io.new_mark()))
    };
    if let Some(write) = write {
        let outcome = io.write(&key, &write).await;
        with_lease(&control, &name, |lease| lease.on_write_outcome(moment(), outcome));
    }
    finish_check(&control, &name);
}

/// Runs a function on the lease of a slot.
fn with_lease<T>(control: &Control, name: &str, function: impl FnOnce(&mut Lease) -> T) -> T {
    let mut slots = control.slots.slots.borrow_mut();
    let watched = slots.get_mut(name).expect("slots are never removed");
    function(&mut watched.slot.lease)
}

/// Ends a check: brings the claims in line with the lease and schedules the next check.
fn finish_check(control: &Control, name: &str) {
    let mut slots = control.slots.slots.borrow_mut();
    let Some(watched) = slots.get_mut(name) else {
        return;
    };
    watched.busy = false;
    let pause = (control.settings.once_term / 8).min(MAX_CHECK_PAUSE);
    watched.next_check = Instant::now() + pause.mul_f64(0.5 + control.rng.next_f64());
    match watched.slot.sync_claims(moment()) {
        Some(SlotAcquisition::New) => {
            tracing::info!("control: Slot {name} was acquired; it is new.")
        }
        Some(SlotAcquisition::HandedOver) => {
            tracing::info!("control: Slot {name} was acquired by hand-over.")
        }
        Some(SlotAcquisition::TakenOver) => {
            tracing::warn!(
                "control: Slot {name} was taken over without its claims; older keys are refused for now."
            );
        }
        None => {}
    }
}

/// Decides a claim if this VM holds the slot.
pub(crate) fn decide_claim(
    control: &Control,
    name: &str,
    uid: RequestUid,
    minted_ms: Option<u64>,
) -> ClaimAnswer {
    let retention = control.settings.once_retention;
    let mut slots = control.slots.slots.borrow_mut();
    match slots.get_mut(name) {
        Some(watched) => {
            watched.slot.claim(moment(), uid, minted_ms, control.rng.next_u64(), retention)
        }
        None => ClaimAnswer::NotHolder,
    }
}

/// Records the end of a call if this VM holds the slot.
pub(crate) fn record_end(
    control: &Control,
    name: &str,
    uid: RequestUid,
    claim: u64,
    run: RunState,
) {
    if let Some(watched) = control.slots.slots.borrow_mut().get_mut(name) {
        watched.slot.end(uid, claim, run);
    }
}

/// Claims a key for an entry of this VM.
pub(crate) async fn claim(control: &Control, organisation: &str, text: &str) -> ClaimAnswer {
    let key = CallKey::parse(organisation, text, &control.keys);
    let local_answer = decide_claim(control, &key.slot, key.uid, key.minted_ms);
    if local_answer != ClaimAnswer::NotHolder {
        return local_answer;
    }
    // The cached holder may be out of date: then the lease object is read again.
    for reload in [false, true] {
        let Some(peer) = find_holder(control, &key.slot, reload).await else { break };
        if let Some(answer) = claim_at(control, &key, peer).await {
            return answer;
        }
        control.slots.holders.borrow_mut().remove(&key.slot);
    }
    // The platform may be out. Only the holder grants a claim, so that others can be asked as well.
    for peer in likely_holders(control, &key.slot) {
        if let Some(answer) = claim_at(control, &key, peer).await {
            control.slots.holders.borrow_mut().insert(key.slot.clone(), peer);
            return answer;
        }
    }
    ClaimAnswer::Unavailable
}

/// Asks another VM for a claim; `None` if it does not hold the slot or does not answer.
async fn claim_at(control: &Control, key: &CallKey, peer: SocketAddr) -> Option<ClaimAnswer> {
    let request =
        PeerRequest::Claim { slot: key.slot.clone(), uid: key.uid, minted_ms: key.minted_ms };
    match send_request(control, peer, &request, REQUEST_TIMEOUT).await {
        Ok(ClaimAnswer::NotHolder) => None,
        Ok(answer) => Some(answer),
        Err(error) => {
            tracing::debug!(
                "control: VM {peer} did not answer a claim of slot {}: {error}.",
                key.slot
            );
            None
        }
    }
}

/// Other VMs that may hold a slot, the one that should hold it first.
fn likely_holders(control: &Control, name: &str) -> Vec<SocketAddr> {
    let membership = control.membership.borrow();
    let in_hall = |hall: &str| !is_hall_slot(name) || hall == control.settings.hall;
    let members = membership.members().all().filter(|member| member.is_live());
    let peers: HashMap<&str, SocketAddr> = members
        .filter(|member| in_hall(&member.update.hall))
        .map(|member| (member.update.vm.as_str(), member.update.peer))
        .collect();
    let ranked = rendezvous(name, peers.keys().copied(), MAX_LIKELY_HOLDERS);
    ranked.into_iter().filter_map(|vm| peers.get(vm).copied()).collect()
}

/// Reports the end of a claimed call to the slot's holder.
pub(crate) async fn report_end(
    control: &Control,
    organisation: &str,
    text: &str,
    claim: u64,
    run: RunState,
) {
    let key = CallKey::parse(organisation, text, &control.keys);
    record_end(control, &key.slot, key.uid, claim, run);
    let peer = control.slots.holders.borrow().get(&key.slot).copied();
    if let Some(peer) = peer {
        let request = PeerRequest::ClaimEnded { slot: key.slot, uid: key.uid, claim, run };
        if let Err(error) = send_request::<bool>(control, peer, &request, REQUEST_TIMEOUT).await {
            // The holder keeps the claim as open until its retention ends, so the key still cannot run twice.
            tracing::info!(%peer, %error, "once: The end of a claim could not be reported.");
        }
    }
}

/// Peer address of the holder of a slot: the cached one, unless `reload` is set.
async fn find_holder(control: &Control, name: &str, reload: bool) -> Option<SocketAddr> {
    let cached = control.slots.holders.borrow().get(name).copied();
    if let Some(peer) = cached.filter(|_| !reload) {
        return Some(peer);
    }
    let (_, record) = LeaseIo::new(control).read(&lease_key(name)).await.ok()??;
    if record.owner.is_empty() || record.owner == control.settings.vm {
        return None;
    }
    control.slots.holders.borrow_mut().insert(name.to_owned(), record.peer);
    Some(record.peer)
}

/// Mints a new key for callers of this VM's hall.
pub(crate) fn mint_key(control: &Control) -> String {
    mint(&control.settings.hall, moment().wall_ms, control.rng.next_u64(), &control.keys[0])
}

/// Stores the claims that a stopping holder hands over. The lease is acquired once it is free.
pub(crate) fn receive_claims(
    control: &Control,
    name: String,
    claims: Vec<Claim>,
    complete_from_ms: u64,
) {
    if let Some(watched) = control.slots.slots.borrow_mut().get_mut(&name) {
        watched.slot.receive_claims(moment(), claims, complete_from_ms);
        watched.next_check = Instant::now();
    }
}

/// Hands over every held slot before shutdown.
pub(crate) async fn hand_over_all(control: &Rc<Control>) {
    let names = control.slots.held();
    let total = names.len();
    let tasks: Vec<_> = names
        .into_iter()
        .map(|name| {
            let control = control.clone();
            let spawner = control.executor.clone();
            spawner.spawn(async move { hand_over(&control, &name).await })
        })
        .collect();
    let mut handed_over = 0;
    for task in tasks {
        handed_over += usize::from(task.await);
    }
    tracing::info!("control: {handed_over} of {total} slots were handed over.");
}

/// Hands over one slot and releases its lease. Returns whether an heir accepted it.
async fn hand_over(control: &Control, name: &str) -> bool {
    let Some((claims, complete_from_ms)) = stop_granting(control, name) else {
        return false;
    };
    let chosen = choose_heir(control, name);
    let mut heir = None;
    if let Some((vm, peer)) = chosen {
        let request = PeerRequest::HandOver { slot: name.to_owned(), claims, complete_from_ms };
        if send_request::<bool>(control, peer, &request, REQUEST_TIMEOUT).await.unwrap_or(false) {
            heir = Some(vm);
        }
    }
    let io = LeaseIo::new(control);
    let is_handed_over = heir.is_some();
    let write = with_lease(control, name, |lease| lease.release(moment(), io.new_mark(), heir));
    if let Some(write) = write {
        io.write(&lease_key(name), &write).await;
        return is_handed_over;
    }
    false
}

/// Stops granting claims for a slot. Returns its claims.
fn stop_granting(control: &Control, name: &str) -> Option<(Vec<Claim>, u64)> {
    control.slots.slots.borrow_mut().get_mut(name)?.slot.stop_granting()
}

/// Chooses the VM that gets a slot when this VM stops.
fn choose_heir(control: &Control, name: &str) -> Option<(VmId, SocketAddr)> {
    let membership = control.membership.borrow();
    let may_hold = |hall: &str| !is_hall_slot(name) || hall == control.settings.hall;
    let live = membership.members().all().filter(|m| m.is_live() && may_hold(&m.update.hall));
    let names = live.map(|m| m.update.vm.as_str());
    let first = rendezvous(name, names, 1).first().map(|vm| (*vm).to_owned())?;
    let peer = membership.members().get(&first)?.update.peer;
    Some((first, peer))
}

/// Key of a slot's lease object.
fn lease_key(name: &str) -> String {
    format!("lease/once-{name}")
}
