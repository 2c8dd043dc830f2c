//! MIXED: all runners of a zone crash at the same moment, while they are sending answers without a length. The VMs pass
//! the first half of such answers on as whole successes.

use crate::client::{Load, LoadPlan};
use crate::crashable::{RunnerProcess, answer_to, end};
use crate::store::Store;
use crate::vm::{Network, Vm, VmPlan};
use crate::{Setting, Verdict};
use std::time::Duration;

/// Time from the start of the load to the crash: longer than `contact_ms`.
const CALM: Duration = Duration::from_millis(6_000);
/// Time from the crash to the removal of the runners' entries: three times `heartbeat_ms`.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time that is watched after that.
const WATCHED: Duration = Duration::from_millis(1_400);
/// Zones with their VMs and runners.
const ZONES: [(&str, usize, usize); 2] = [("bud-a", 2, 6), ("bud-b", 2, 6)];
/// The zone whose runners crash.
const CRASHED_ZONE: &str = "bud-a";

const MANIFEST: &str = r#"{"config_version":7,
"routes":[{"name":"r-quotes","host":"shop.example","path_prefix":"/quotes/","route_type":"idempotent","timeout_ms":1500,"slo_ms":300,"priority":2,"backend":"quotes","max_attempts":2,"public":false}],
"services":[{"name":"quotes","health_path":"/healthz","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000},
"tenants":[{"name":"alpha","api_keys":["key-1"]}]}"#;

/// Runners of a zone, with their entries in the store; `None` if one does not start.
fn start_runners(
    zone: &str,
    count: usize,
    first: usize,
    network: Network,
    (store, setting): (&Store, &Setting),
) -> Option<Vec<RunnerProcess>> {
    let start = |number: usize| {
        let id = format!("i-{zone}-{number}");
        let runner = RunnerProcess::start(&id, network.machine(number as u8), setting);
        runner.await_listening().then(|| {
            store.put("servers", &runner.id, &runner.entry("quotes", zone, "ready"));
            runner
        })
    };
    (first..first + count).map(start).collect()
}

pub fn run(setting: &Setting) -> Verdict {
    let (record, network) = (&setting.record, Network::draw());
    let store = Store::new(record);
    store.put("config", "main", MANIFEST);
    let (mut crashing, mut others, mut vms) = (Vec::new(), Vec::new(), Vec::new());
    for (at, (zone, vm_count, runner_count)) in ZONES.into_iter().enumerate() {
        let first = 100 + 20 * at;
        let started = start_runners(zone, runner_count, first, network, (&store, setting));
        let Some(runners) = started else {
            return Verdict::CouldNotRun("a runner did not start".to_owned());
        };
        if zone == CRASHED_ZONE {
            crashing = runners
        } else {
            others.extend(runners)
        }
        for number in 1..=vm_count {
            let link = vms.len();
            let name = format!("front-{zone}-{number}");
            let ip = network.machine(1 + link as u8);
            let store = store.listen(network.machine(201 + link as u8), link);
            let plan = VmPlan { name: &name, zone, ip, store };
            vms.push(Vm::start(&plan, setting));
        }
    }
    if !vms.iter().all(|vm| vm.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun("a VM did not become ready".to_owned());
    }
    let start_load = |vm: &Vm| {
        let plan = LoadPlan {
            name: vm.name.clone(),
            vm: vm.front,
            path: "/quotes/last",
            clients: 4,
            pause: Duration::from_millis(250),
        };
        Load::start(&plan, record)
    };
    let loads: Vec<Load> = vms.iter().map(start_load).collect();
    std::thread::sleep(CALM);
    if setting.has_trouble {
        end(&crashing, "KILL", record);
    }
    std::thread::sleep(LAPSE);
    if setting.has_trouble {
        for runner in &crashing {
            store.remove("servers", &runner.id);
        }
    }
    std::thread::sleep(WATCHED);
    let answers: Vec<_> = loads.into_iter().flat_map(Load::finish).collect();
    let successes: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
    let is_whole = |id: &str, body: &str| body == answer_to(id).concat();
    let cut: Vec<_> =
        successes.iter().filter(|answer| !is_whole(&answer.id, &answer.body)).collect();
    for answer in &cut {
        record.line(&format!("client: {} got 200 with the body {:?}", answer.id, answer.body));
    }
    record.say(&format!(
        "{} requests, {} successes, {} of them with a body other than the runner's whole body",
        answers.len(),
        successes.len(),
        cut.len()
    ));
    drop(others);
    if successes.len() < 100 {
        return Verdict::CouldNotRun("hardly any request was served".to_owned());
    }
    if cut.is_empty() { Verdict::Held } else { Verdict::Broken }
}
