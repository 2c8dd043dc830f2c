//! Status of the whole fleet. One VM of each hall writes the hall's status to the platform when it
//! has changed, and any VM reads the status of all halls when an operator asks for it.

use crate::lease_io::moment;
use crate::platform_client::{PlatformError, WriteReply};
use crate::state::Control;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::Version;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Interval, within 10 %, between checks for a changed status. A hall writes at most once in each.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Key prefix of the halls' statuses.
const STATUS_PREFIX: &str = "status/";

/// Status of one VM, as seen by the VM that writes the hall's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VmStatus {
    pub(crate) vm: VmId,
    pub(crate) hall: HallId,
    pub(crate) state: String,
    /// Version of the settings in force in its entry; `None` if nothing was heard from the VM.
    pub(crate) in_force: Option<Version>,
}

/// Status of one hall, as seen by one of its VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HallStatus {
    pub(crate) hall: HallId,
    pub(crate) written_by: VmId,
    /// Time of writing, in milliseconds since the Unix epoch.
    pub(crate) written_ms: u64,
    pub(crate) vms: Vec<VmStatus>,
    /// Problems of stored objects that are invalid.
    pub(crate) invalid: Vec<String>,
}

impl HallStatus {
    /// Whether two statuses differ at most in who wrote them and when.
    fn has_same_content(&self, other: &Self) -> bool {
        (&self.vms, &self.invalid) == (&other.vms, &other.invalid)
    }
}

/// Writes the hall's status to the platform.
pub(crate) struct FleetStatusPlugin;

impl Plugin<Control> for FleetStatusPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

/// Writes the hall's status when it has changed, while this VM is the chosen writer.
async fn run(control: Rc<Control>) {
    let mut written: Option<HallStatus> = None;
    loop {
        Timer::after(WRITE_INTERVAL.mul_f64(0.9 + 0.2 * control.rng.next_f64())).await;
        if !control.membership.borrow().is_chosen("status", 1) {
            written = None;
            continue;
        }
        let status = local_hall(&control);
        if written.as_ref().is_some_and(|old| old.has_same_content(&status)) {
            continue;
        }
        match write(&control, &status).await {
            Ok(true) => written = Some(status),
            Ok(false) => {}
            Err(error) => tracing::debug!("control: Writing the hall's status failed: {error}."),
        }
    }
}

/// Status of the local hall, as seen by this VM.
pub(crate) fn local_hall(control: &Control) -> HallStatus {
    let hall = &control.settings.hall;
    let summaries = control.peer_summaries.borrow();
    let mut vms = vec![VmStatus {
        vm: control.settings.vm.clone(),
        hall: hall.clone(),
        state: "Alive".to_owned(),
        in_force: Some(control.in_force.get()),
    }];
    let membership = control.membership.borrow();
    let others = membership.members().all().filter(|m| m.update.hall == *hall);
    vms.extend(others.map(|member| VmStatus {
        vm: member.update.vm.clone(),
        hall: hall.clone(),
        state: format!("{:?}", member.update.state),
        in_force: summaries.get(&member.update.vm).map(|peer| peer.summary.in_force),
    }));
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    HallStatus {
        hall: hall.clone(),
        written_by: control.settings.vm.clone(),
        written_ms: moment().wall_ms,
        vms,
        invalid: invalid_objects(control),
    }
}

/// Problems of stored objects that are invalid.
pub(crate) fn invalid_objects(control: &Control) -> Vec<String> {
    let tree = control.store.tree();
    tree.invalid().values().flat_map(|problems| &problems.0).map(ToString::to_string).collect()
}

/// Overwrites the stored status. Returns false if another VM wrote in the meantime.
async fn write(control: &Control, status: &HallStatus) -> Result<bool, PlatformError> {
    let key = format!("{STATUS_PREFIX}{}", status.hall);
    let current = control.platform.read(&key).await?;
    let version = current.filter(|object| !object.deleted).map(|object| object.version);
    let value = serde_json::to_string(status)?;
    let answer = control.platform.write(&key, version, Some(&value)).await?;
    Ok(matches!(answer, WriteReply::Written(_)))
}

/// Status of all halls: the local hall as seen now, the others as last written.
pub(crate) async fn all_halls(control: &Control) -> Result<Vec<HallStatus>, PlatformError> {
    let listing = control.platform.list_prefix(STATUS_PREFIX).await?;
    let local = local_hall(control);
    let live = listing.objects.iter().filter(|object| !object.deleted);
    let others = live.filter_map(|object| serde_json::from_str::<HallStatus>(&object.value).ok());
    let mut halls: Vec<HallStatus> = others.filter(|status| status.hall != local.hall).collect();
    halls.push(local);
    halls.sort_by(|a, b| a.hall.cmp(&b.hall));
    Ok(halls)
}
