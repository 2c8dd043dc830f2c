//! ORDER: a runner that has said that it leaves ends, `drain_ms` and a little later, while it is sending streams without
//! a length. The VMs end these streams as complete.

use crate::client::{Load, LoadPlan};
use crate::crashable::{LAST_EVENT, RunnerProcess, end, event_of};
use crate::store::Store;
use crate::vm::{Network, Vm, VmPlan};
use crate::{Setting, Verdict};
use std::time::Duration;

/// Time from the start of the load to the announcement: longer than `contact_ms`.
const CALM: Duration = Duration::from_millis(9_000);
/// Time from the announcement to the runner's end: `drain_ms` and a little more.
const SERVES_ON: Duration = Duration::from_millis(2_300);
/// Time that is watched after that.
const WATCHED: Duration = Duration::from_millis(7_000);
const ZONES: [&str; 3] = ["bud-a", "bud-b", "bud-c"];
/// Zones of the runners; the first one leaves.
const RUNNER_ZONES: [&str; 4] = ["bud-a", "bud-b", "bud-c", "bud-c"];

const MANIFEST: &str = r#"{"config_version":7,
"routes":[{"name":"r-notes","host":"shop.example","path_prefix":"/notes/","route_type":"streaming","timeout_ms":20000,"slo_ms":500,"priority":1,"backend":"notes","max_attempts":2,"public":false,"resumable":true,"gap_aim_ms":200}],
"services":[{"name":"notes","health_path":"/healthz","max_conns":1078}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000},
"tenants":[{"name":"alpha","api_keys":["key-1"]}]}"#;

pub fn run(setting: &Setting) -> Verdict {
    let (record, network) = (&setting.record, Network::draw());
    let store = Store::new(record);
    store.put("config", "main", MANIFEST);
    let (mut runners, mut vms) = (Vec::new(), Vec::new());
    for (number, zone) in RUNNER_ZONES.iter().enumerate() {
        let ip = network.machine(100 + number as u8);
        let runner = RunnerProcess::start(&format!("i-{number}"), ip, setting);
        if !runner.await_listening() {
            return Verdict::CouldNotRun("a runner did not start".to_owned());
        }
        store.put("servers", &runner.id, &runner.entry("notes", zone, "ready"));
        runners.push(runner);
    }
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("front-{zone}-1");
        let store = store.listen(network.machine(201 + number as u8), number);
        let plan = VmPlan { name: &name, zone, ip: network.machine(1 + number as u8), store };
        vms.push(Vm::start(&plan, setting));
    }
    if !vms.iter().all(|vm| vm.await_ready(Duration::from_secs(10))) {
        return Verdict::CouldNotRun("a VM did not become ready".to_owned());
    }
    let start_load = |vm: &Vm| {
        let plan = LoadPlan {
            name: vm.name.clone(),
            vm: vm.front,
            path: "/notes/one",
            clients: 6,
            pause: Duration::from_millis(6_200),
        };
        Load::start(&plan, record)
    };
    let loads: Vec<Load> = vms.iter().map(start_load).collect();
    std::thread::sleep(CALM);
    let leaver = &runners[0];
    store.put("servers", &leaver.id, &leaver.entry("notes", RUNNER_ZONES[0], "draining"));
    std::thread::sleep(SERVES_ON);
    if setting.has_trouble {
        end(&runners[..1], "TERM", record);
        store.remove("servers", &leaver.id);
    }
    std::thread::sleep(WATCHED);
    let answers: Vec<_> = loads.into_iter().flat_map(Load::finish).collect();
    let successes: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
    let whole = |id: &str| (1..=LAST_EVENT).map(|n| event_of(id, n)).collect::<String>();
    let cut: Vec<_> = successes.iter().filter(|answer| answer.body != whole(&answer.id)).collect();
    for answer in &cut {
        let events = answer.body.matches("id: ").count();
        record.line(&format!("client: {} ended as complete with {events} events", answer.id));
    }
    record.say(&format!(
        "{} streams, {} of them ended as complete, {} of these without all {LAST_EVENT} events",
        answers.len(),
        successes.len(),
        cut.len()
    ));
    if successes.len() < 20 {
        return Verdict::CouldNotRun("hardly any stream was served".to_owned());
    }
    if cut.is_empty() { Verdict::Held } else { Verdict::Broken }
}
