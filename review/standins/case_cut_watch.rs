//! DRAIN: the store cuts the waiting watches of the one VM that follows the list of runners, and a runner's entry is
//! removed. The other VMs, whose own channels work all the time, still send requests to that runner `drain_ms` after
//! the removal was acknowledged.

use crate::client::{Load, LoadPlan};
use crate::service::{Run, Runner};
use crate::store::Store;
use crate::vm::{Network, Vm, VmPlan};
use crate::{Setting, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

/// `drain_ms` of the small deployments.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time from the start of the load to the disruption: longer than `contact_ms`.
const CALM: Duration = Duration::from_millis(6_000);
/// Time that is watched after the removal.
const WATCHED: Duration = Duration::from_millis(5_000);
const ZONES: [&str; 3] = ["bud-a", "bud-b", "bud-c"];
/// Zones of the runners; the entry of the first one is removed.
const RUNNER_ZONES: [&str; 4] = ["bud-a", "bud-b", "bud-c", "bud-c"];
const VMS_PER_ZONE: usize = 2;

const MANIFEST: &str = r#"{"config_version":7,
"routes":[{"name":"r-quotes","host":"shop.example","path_prefix":"/quotes/","route_type":"idempotent","timeout_ms":1500,"slo_ms":300,"priority":2,"backend":"quotes","max_attempts":2,"public":false}],
"services":[{"name":"quotes","health_path":"/healthz","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000},
"tenants":[{"name":"alpha","api_keys":["key-1"]}]}"#;

/// Starts two VMs in each zone, each with a link of its own to the store.
fn start_vms(setting: &Setting, network: Network, store: &Store) -> Vec<Vm> {
    let mut vms = Vec::new();
    for zone in ZONES {
        for number in 1..=VMS_PER_ZONE {
            let link = vms.len();
            let name = format!("front-{zone}-{number}");
            let ip = network.machine(1 + link as u8);
            let store = store.listen(network.machine(201 + link as u8), link);
            let plan = VmPlan { name: &name, zone, ip, store };
            vms.push(Vm::start(&plan, setting));
        }
    }
    vms
}

pub fn run(setting: &Setting) -> Verdict {
    let (record, network) = (&setting.record, Network::draw());
    let store = Store::new(record);
    store.put("config", "main", MANIFEST);
    let mut runners = Vec::new();
    for (number, zone) in RUNNER_ZONES.iter().enumerate() {
        let address = SocketAddr::new(network.machine(100 + number as u8).into(), 0);
        let id = format!("i-{number}");
        let runner = Runner::start(&id, address, Duration::from_millis(20), record);
        store.put("servers", &id, &runner.entry("quotes", zone, "ready"));
        runners.push(runner);
    }
    let vms = start_vms(setting, network, &store);
    if !vms.iter().all(|vm| vm.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun("a VM did not become ready".to_owned());
    }
    let start_load = |vm: &Vm| {
        let plan = LoadPlan {
            name: vm.name.clone(),
            vm: vm.front,
            path: "/quotes/last",
            clients: 4,
            pause: Duration::from_millis(200),
        };
        Load::start(&plan, record)
    };
    let loads: Vec<Load> = vms.iter().map(start_load).collect();
    std::thread::sleep(CALM);
    let followers_of_store = store.watchers("servers");
    let [link] = followers_of_store.as_slice() else {
        let reason = format!("{} VMs follow the list of runners", followers_of_store.len());
        return Verdict::CouldNotRun(reason);
    };
    let disturbed = &vms[*link].name;
    record.line(&format!("vm {disturbed}: follows the list of runners, by link {link}"));
    if setting.has_trouble {
        store.cut_watches(*link);
    }
    let leaver = &runners[0];
    let removed_at = store.remove("servers", &leaver.id);
    std::thread::sleep(WATCHED);
    loads.into_iter().for_each(|load| drop(load.finish()));
    let runs = leaver.runs();
    let is_of_others = |run: &&Run| !run.id.starts_with(disturbed.as_str());
    let of_others: Vec<&Run> = runs.iter().filter(is_of_others).collect();
    let late = of_others.iter().filter(|run| run.at > removed_at + DRAIN).count();
    let last = of_others.iter().map(|run| run.at.saturating_duration_since(removed_at)).max();
    record.say(&format!(
        "runner {} ran {} requests of the VMs other than {disturbed}, {late} of them more than {} ms after its removal was acknowledged, the last {} ms after it",
        leaver.id,
        of_others.len(),
        DRAIN.as_millis(),
        last.unwrap_or_default().as_millis()
    ));
    if of_others.len() < 20 {
        return Verdict::CouldNotRun("the runner hardly got any requests".to_owned());
    }
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}
