//! Slots of keys of calls not to be repeated: their leases, their claims, and claims at the
//! holders of other slots.

use crate::lease_io::{LeaseIo, moment};
use crate::requests::ask;
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

/// Pause between looks at the slots.
const LOOK: Duration = Duration::from_millis(250);
/// A new VM leaves free slots alone until it has heard of the others.
const FIRST_LOOK: Duration = Duration::from_secs(2);
/// Longest pause between looks at one slot.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Time for asking another VM.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an heir tries for a slot that it was handed.
const HEIR_PATIENCE: Duration = Duration::from_secs(20);

/// A slot, and when to look at it.
struct WatchedSlot {
    slot: Slot,
    busy: bool,
    look_at: Instant,
}

/// All slots this VM may hold, and where others were last found.
#[derive(Default)]
pub(crate) struct Slots {
    slots: RefCell<HashMap<SlotId, WatchedSlot>>,
    holders: RefCell<HashMap<SlotId, SocketAddr>>,
}

impl Slots {
    /// Names of the slots held now.
    pub(crate) fn held(&self) -> Vec<SlotId> {
        let now = moment();
        let slots = self.slots.borrow();
        let held = slots.iter().filter(|(_, watched)| watched.slot.lease.fence(now).is_some());
        let mut names: Vec<SlotId> = held.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Number of keys kept.
    pub(crate) fn keys(&self) -> usize {
        self.slots.borrow().values().map(|watched| watched.slot.len()).sum()
    }
}

/// Holds slots of keys.
pub(crate) struct OncePlugin;

impl Plugin<Control> for OncePlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

/// Takes, renews and drops slots for ever.
async fn run(control: Rc<Control>) {
    let io = LeaseIo::new(&control);
    for name in slot_names(&control.settings.hall) {
        let slot = WatchedSlot {
            slot: Slot::new(io.candidate(control.settings.once_term)),
            busy: false,
            look_at: Instant::now() + FIRST_LOOK,
        };
        control.slots.slots.borrow_mut().insert(name, slot);
    }
    loop {
        Timer::after(LOOK).await;
        let names: Vec<SlotId> = control.slots.slots.borrow().keys().cloned().collect();
        for name in names {
            if should_work(&control, &name) {
                control.executor.spawn(work(control.clone(), name)).detach();
            }
        }
    }
}

/// Whether something is to be done about a slot now; marks it as busy if so.
fn should_work(control: &Control, name: &str) -> bool {
    let now = moment();
    let mut slots = control.slots.slots.borrow_mut();
    let Some(watched) = slots.get_mut(name) else {
        return false;
    };
    let slot = &watched.slot;
    if watched.busy || slot.is_handing_over() {
        return false;
    }
    let heir = slot.claims_received_at().is_some_and(|at| now.since(at) < HEIR_PATIENCE);
    if slot.lease.state() == LeaseState::Idle && !heir {
        if now.monotonic < watched.look_at {
            return false;
        }
        // Ranking all VMs costs time: a slot that is somebody else's is only ranked now and then.
        watched.look_at = now.monotonic + LONGEST_PAUSE;
        if !is_wanted(control, name) {
            return false;
        }
    }
    watched.busy = true;
    true
}

/// Whether this VM is the first choice for a slot among those that may hold it.
fn is_wanted(control: &Control, name: &str) -> bool {
    let membership = control.membership.borrow();
    let own = std::iter::once(control.settings.vm.as_str());
    let members = membership.members().all().filter(|member| member.is_live());
    let in_hall = |hall: &str| !is_hall_slot(name) || hall == control.settings.hall;
    let others = members.filter(|m| in_hall(&m.update.hall)).map(|m| m.update.vm.as_str());
    rendezvous(name, own.chain(others), 1) == [control.settings.vm.as_str()]
}

/// One look at a slot: reads its object or renews it, as its lease says.
async fn work(control: Rc<Control>, name: SlotId) {
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
                with_lease(&control, &name, |lease| lease.on_read(moment(), read, io.mark()))
            }
            Err(_) => None,
        }
    } else {
        with_lease(&control, &name, |lease| lease.on_tick(now, io.mark()))
    };
    if let Some(write) = write {
        let end = io.write(&key, &write).await;
        with_lease(&control, &name, |lease| lease.on_write_outcome(moment(), end));
    }
    settle(&control, &name);
}

fn with_lease<T>(control: &Control, name: &str, act: impl FnOnce(&mut Lease) -> T) -> T {
    let mut slots = control.slots.slots.borrow_mut();
    let watched = slots.get_mut(name).expect("slots are never removed");
    act(&mut watched.slot.lease)
}

/// Ends a look: the claims fit the lease again.
fn settle(control: &Control, name: &str) {
    let mut slots = control.slots.slots.borrow_mut();
    let Some(watched) = slots.get_mut(name) else {
        return;
    };
    watched.busy = false;
    let pause = (control.settings.once_term / 8).min(LONGEST_PAUSE);
    watched.look_at = Instant::now() + pause.mul_f64(0.5 + control.chance.next_f64());
    match watched.slot.sync_claims(moment()) {
        Some(SlotAcquisition::New) => tracing::info!("control: Slot {name} is held; it is new."),
        Some(SlotAcquisition::HandedOver) => {
            tracing::info!("control: Slot {name} was handed over.")
        }
        Some(SlotAcquisition::TakenOver) => {
            tracing::warn!("control: Slot {name} was taken over; older keys are refused for now.");
        }
        None => {}
    }
}

/// Decides a claim at the slot's holder, if this VM is it.
pub(crate) fn decide(
    control: &Control,
    name: &str,
    uid: RequestUid,
    minted_ms: Option<u64>,
) -> ClaimAnswer {
    let retention = control.settings.once_retention;
    let mut slots = control.slots.slots.borrow_mut();
    match slots.get_mut(name) {
        Some(watched) => {
            watched.slot.claim(moment(), uid, minted_ms, control.chance.next_u64(), retention)
        }
        None => ClaimAnswer::NotHolder,
    }
}

/// Notes at the slot's holder that a call has ended.
pub(crate) fn end_here(control: &Control, name: &str, uid: RequestUid, claim: u64, run: RunState) {
    if let Some(watched) = control.slots.slots.borrow_mut().get_mut(name) {
        watched.slot.end(uid, claim, run);
    }
}

/// Claims a key for an entry of this VM.
pub(crate) async fn claim(control: &Control, organisation: &str, text: &str) -> ClaimAnswer {
    let key = CallKey::parse(organisation, text, &control.keys);
    let here = decide(control, &key.slot, key.uid, key.minted_ms);
    if here != ClaimAnswer::NotHolder {
        return here;
    }
    // The first look may be at a holder that has gone since: then its object is read again.
    for fresh in [false, true] {
        let Some(peer) = holder(control, &key.slot, fresh).await else {
            return ClaimAnswer::Unavailable;
        };
        let request =
            PeerRequest::Claim { slot: key.slot.clone(), uid: key.uid, minted_ms: key.minted_ms };
        match ask(control, peer, &request, ASK_TIMEOUT).await {
            Ok(ClaimAnswer::NotHolder) => {}
            Ok(answer) => return answer,
            Err(error) => {
                tracing::debug!("control: The holder of {} gave no answer: {error}.", key.slot);
            }
        }
        control.slots.holders.borrow_mut().remove(&key.slot);
    }
    ClaimAnswer::Unavailable
}

/// Passes the end of a claimed call on to the slot's holder.
pub(crate) async fn end(
    control: &Control,
    organisation: &str,
    text: &str,
    claim: u64,
    run: RunState,
) {
    let key = CallKey::parse(organisation, text, &control.keys);
    end_here(control, &key.slot, key.uid, claim, run);
    let peer = control.slots.holders.borrow().get(&key.slot).copied();
    if let Some(peer) = peer {
        let request = PeerRequest::ClaimEnded { slot: key.slot, uid: key.uid, claim, run };
        if let Err(error) = ask::<bool>(control, peer, &request, ASK_TIMEOUT).await {
            // The holder keeps the claim as running until its retention ends: no key runs twice by it.
            tracing::info!(%peer, %error, "once: The end of a claim was not told.");
        }
    }
}

/// Where the holder of a slot can be asked.
async fn holder(control: &Control, name: &str, fresh: bool) -> Option<SocketAddr> {
    let known = control.slots.holders.borrow().get(name).copied();
    if let Some(peer) = known.filter(|_| !fresh) {
        return Some(peer);
    }
    let (_, record) = LeaseIo::new(control).read(&lease_key(name)).await.ok()??;
    if record.owner.is_empty() || record.owner == control.settings.vm {
        return None;
    }
    control.slots.holders.borrow_mut().insert(name.to_owned(), record.peer);
    Some(record.peer)
}

/// A new key for callers of this VM's hall.
pub(crate) fn mint_key(control: &Control) -> String {
    mint(&control.settings.hall, moment().wall_ms, control.chance.next_u64(), &control.keys[0])
}

/// Takes the claims that a leaving holder hands over; the lease is taken when it is free.
pub(crate) fn inherit(control: &Control, name: String, claims: Vec<Claim>, complete_from_ms: u64) {
    if let Some(watched) = control.slots.slots.borrow_mut().get_mut(&name) {
        watched.slot.receive_claims(moment(), claims, complete_from_ms);
        watched.look_at = Instant::now();
    }
}

/// Hands every slot over before a planned stop.
pub(crate) async fn hand_over_all(control: &Rc<Control>) {
    let names = control.slots.held();
    let count = names.len();
    let tasks: Vec<_> = names
        .into_iter()
        .map(|name| {
            let control = control.clone();
            let spawner = control.executor.clone();
            spawner.spawn(async move { hand_over(&control, &name).await })
        })
        .collect();
    let mut handed = 0;
    for task in tasks {
        handed += usize::from(task.await);
    }
    tracing::info!("control: {handed} of {count} slots are handed over.");
}

async fn hand_over(control: &Control, name: &str) -> bool {
    let Some((claims, complete_from_ms)) = freeze(control, name) else {
        return false;
    };
    let heir = heir(control, name);
    let mut handed = None;
    if let Some((vm, peer)) = heir {
        let request = PeerRequest::HandOver { slot: name.to_owned(), claims, complete_from_ms };
        if ask::<bool>(control, peer, &request, ASK_TIMEOUT).await.unwrap_or(false) {
            handed = Some(vm);
        }
    }
    let io = LeaseIo::new(control);
    let done = handed.is_some();
    let write = with_lease(control, name, |lease| lease.release(moment(), io.mark(), handed));
    if let Some(write) = write {
        io.write(&lease_key(name), &write).await;
        return done;
    }
    false
}

/// Grants nothing more for a slot; answers its claims.
fn freeze(control: &Control, name: &str) -> Option<(Vec<Claim>, u64)> {
    control.slots.slots.borrow_mut().get_mut(name)?.slot.stop_granting()
}

/// Who gets a slot when this VM leaves.
fn heir(control: &Control, name: &str) -> Option<(VmId, SocketAddr)> {
    let membership = control.membership.borrow();
    let may = |hall: &str| !is_hall_slot(name) || hall == control.settings.hall;
    let live = membership.members().all().filter(|m| m.is_live() && may(&m.update.hall));
    let names = live.map(|m| m.update.vm.as_str());
    let first = rendezvous(name, names, 1).first().map(|vm| (*vm).to_owned())?;
    let peer = membership.members().get(&first)?.update.peer;
    Some((first, peer))
}

fn lease_key(name: &str) -> String {
    format!("lease/once-{name}")
}
