//! Status of the whole fleet: one VM of each hall writes what its hall looks like to the platform,
//! when it has changed, and any VM reads all halls when an operator asks.

use crate::lease_io::moment;
use crate::platform_client::{PlatformError, WriteAnswer};
use crate::state::Control;
use serde::{Deserialize, Serialize};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_protocol::platform::Version;
use smol::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Least time between two writes of one hall.
const PAUSE: Duration = Duration::from_secs(5);
/// Where the halls' statuses stand among all objects.
const PREFIX: &str = "status/";

/// One VM as its hall sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VmStatus {
    pub(crate) vm: VmId,
    pub(crate) hall: HallId,
    pub(crate) state: String,
    /// Version of the settings in force in its entry, if it was heard.
    pub(crate) in_force: Option<Version>,
}

/// One hall as one of its VMs sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HallStatus {
    pub(crate) hall: HallId,
    pub(crate) written_by: VmId,
    /// When it was written, in milliseconds since 1970.
    pub(crate) written_ms: u64,
    pub(crate) vms: Vec<VmStatus>,
    /// Stored objects that are not valid, with what is wrong.
    pub(crate) invalid: Vec<String>,
}

impl HallStatus {
    /// Whether two say the same, whoever wrote them and when.
    fn says_the_same(&self, other: &Self) -> bool {
        (&self.vms, &self.invalid) == (&other.vms, &other.invalid)
    }
}

/// Writes the hall's status.
pub(crate) struct FleetStatusPlugin;

impl Plugin<Control> for FleetStatusPlugin {
    fn build(self, app: &App<Control>) {
        app.spawn(run(app.state()));
    }
}

async fn run(control: Rc<Control>) {
    let mut written: Option<HallStatus> = None;
    loop {
        Timer::after(PAUSE.mul_f64(0.9 + 0.2 * control.chance.next_f64())).await;
        if !control.membership.borrow().is_chosen("status", 1) {
            written = None;
            continue;
        }
        let status = own_hall(&control);
        if written.as_ref().is_some_and(|old| old.says_the_same(&status)) {
            continue;
        }
        match write(&control, &status).await {
            Ok(true) => written = Some(status),
            Ok(false) => {}
            Err(error) => tracing::debug!("control: The hall's status was not written: {error}."),
        }
    }
}

/// The own hall, as heard by this VM.
pub(crate) fn own_hall(control: &Control) -> HallStatus {
    let hall = &control.settings.hall;
    let heard = control.heard.borrow();
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
        in_force: heard.get(&member.update.vm).map(|heard| heard.summary.in_force),
    }));
    vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    HallStatus {
        hall: hall.clone(),
        written_by: control.settings.vm.clone(),
        written_ms: moment().wall_ms,
        vms,
        invalid: invalid(control),
    }
}

/// Stored objects that are not valid, with what is wrong.
pub(crate) fn invalid(control: &Control) -> Vec<String> {
    let tree = control.store.tree();
    tree.invalid().values().flat_map(|problems| &problems.0).map(ToString::to_string).collect()
}

/// Writes over whatever is there; false if somebody else wrote meanwhile.
async fn write(control: &Control, status: &HallStatus) -> Result<bool, PlatformError> {
    let key = format!("{PREFIX}{}", status.hall);
    let here = control.platform.read(&key).await?;
    let version = here.filter(|object| !object.deleted).map(|object| object.version);
    let value = serde_json::to_string(status)?;
    let answer = control.platform.write(&key, version, Some(&value)).await?;
    Ok(matches!(answer, WriteAnswer::Written(_)))
}

/// All halls: the own one as heard now, the others as they last wrote.
pub(crate) async fn all_halls(control: &Control) -> Result<Vec<HallStatus>, PlatformError> {
    let listing = control.platform.list_prefix(PREFIX).await?;
    let own = own_hall(control);
    let live = listing.objects.iter().filter(|object| !object.deleted);
    let others = live.filter_map(|object| serde_json::from_str::<HallStatus>(&object.value).ok());
    let mut halls: Vec<HallStatus> = others.filter(|status| status.hall != own.hall).collect();
    halls.push(own);
    halls.sort_by(|a, b| a.hall.cmp(&b.hall));
    Ok(halls)
}
