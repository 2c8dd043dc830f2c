//! MIXED: all runners of a zone crash at the same moment, while they are sending answers without a length. The VMs pass
//! the first part of such answers on as whole successes, calls and streams alike.

use crate::client::{Answer, Load, LoadPlan};
use crate::crashable::{LAST_EVENT, RunnerProcess, answer_to, end, event_of};
use crate::store::Store;
use crate::vm::{Network, Vm, VmPlan};
use crate::{Setting, Verdict};
use std::time::Duration;

/// Time from the start of the load to the crash: longer than `contact_ms`.
const CALM: Duration = Duration::from_millis(7_000);
/// Time from the crash to the removal of the runners' entries: three times `heartbeat_ms`.
const LAPSE: Duration = Duration::from_millis(3_600);
/// Time that is watched after that.
const WATCHED: Duration = Duration::from_millis(1_400);
const ZONES: [&str; 2] = ["bud-a", "bud-b"];
const VMS_PER_ZONE: usize = 2;
/// Services, each with this many runners in each zone.
const SERVICES: [&str; 2] = ["quotes", "notes"];
const RUNNERS_PER_SERVICE: usize = 3;
/// The zone whose runners crash.
const CRASHED_ZONE: &str = "bud-a";

const MANIFEST: &str = r#"{"config_version":7,
"routes":[{"name":"r-quotes","host":"shop.example","path_prefix":"/quotes/","route_type":"idempotent","timeout_ms":1500,"slo_ms":300,"priority":2,"backend":"quotes","max_attempts":2,"public":false},
{"name":"r-notes","host":"shop.example","path_prefix":"/notes/","route_type":"streaming","timeout_ms":20000,"slo_ms":500,"priority":1,"backend":"notes","max_attempts":2,"public":false,"resumable":true,"gap_aim_ms":200}],
"services":[{"name":"quotes","health_path":"/healthz","max_conns":110},{"name":"notes","health_path":"/healthz","max_conns":1078}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":20000},
"tenants":[{"name":"alpha","api_keys":["key-1"]}]}"#;

/// Starts the runners of a zone and writes their entries; `None` if one does not start.
fn start_runners(
    zone: &str,
    first: usize,
    network: Network,
    (store, setting): (&Store, &Setting),
) -> Option<Vec<RunnerProcess>> {
    let start = |number: usize| {
        let service = SERVICES[number % SERVICES.len()];
        let id = format!("i-{zone}-{service}-{number}");
        let ip = network.machine((first + number) as u8);
        let runner = RunnerProcess::start(&id, ip, setting);
        runner.await_listening().then(|| {
            store.put("servers", &runner.id, &runner.entry(service, zone, "ready"));
            runner
        })
    };
    (0..SERVICES.len() * RUNNERS_PER_SERVICE).map(start).collect()
}

/// Clients of a VM: some that send calls, and some that ask for streams.
fn start_loads(vm: &Vm, setting: &Setting) -> [Load; 2] {
    let plan = |path, pause_ms| LoadPlan {
        name: vm.name.clone(),
        vm: vm.front,
        path,
        clients: 4,
        pause: Duration::from_millis(pause_ms),
    };
    [plan("/quotes/last", 250), plan("/notes/one", 6_200)]
        .map(|plan| Load::start(&plan, &setting.record))
}

/// Counts the successes whose body is not whole.
fn count_cut(answers: &[Answer], whole: impl Fn(&str) -> String, setting: &Setting) -> usize {
    let successes = answers.iter().filter(|answer| answer.status == 200);
    let cut = successes.filter(|answer| answer.body != whole(&answer.id));
    let describe = |answer: &Answer| {
        let (id, length) = (&answer.id, answer.body.len());
        let of = whole(id).len();
        setting.record.line(&format!("client: {id} got 200 as whole with {length} of {of} bytes"));
    };
    cut.map(describe).count()
}

pub fn run(setting: &Setting) -> Verdict {
    let (record, network) = (&setting.record, Network::draw());
    let store = Store::new(record);
    store.put("config", "main", MANIFEST);
    let (mut crashing, mut others, mut vms) = (Vec::new(), Vec::new(), Vec::new());
    for (at, zone) in ZONES.into_iter().enumerate() {
        let started = start_runners(zone, 100 + 20 * at, network, (&store, setting));
        let Some(runners) = started else {
            return Verdict::CouldNotRun("a runner did not start".to_owned());
        };
        let group = if zone == CRASHED_ZONE { &mut crashing } else { &mut others };
        group.extend(runners);
        for number in 1..=VMS_PER_ZONE {
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
    let loads: Vec<[Load; 2]> = vms.iter().map(|vm| start_loads(vm, setting)).collect();
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
    let (mut calls, mut streams) = (Vec::new(), Vec::new());
    for [of_calls, of_streams] in loads {
        calls.extend(of_calls.finish());
        streams.extend(of_streams.finish());
    }
    let cut_calls = count_cut(&calls, |id| answer_to(id).concat(), setting);
    let whole_stream = |id: &str| (1..=LAST_EVENT).map(|n| event_of(id, n)).collect::<String>();
    let cut_streams = count_cut(&streams, whole_stream, setting);
    record.say(&format!(
        "{} calls and {} streams answered; {cut_calls} calls and {cut_streams} streams are successes without the runner's whole body",
        calls.len(),
        streams.len()
    ));
    if calls.len() < 100 || streams.len() < 10 {
        return Verdict::CouldNotRun("hardly any request was answered".to_owned());
    }
    if cut_calls + cut_streams == 0 { Verdict::Held } else { Verdict::Broken }
}
