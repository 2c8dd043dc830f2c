//! The store cuts watches that wait, and a runner leaves meanwhile: its entry goes, and it serves on for a while.

use crate::gateway::{Gateway, free_address, record_process, root};
use crate::http::{Message, Reader};
use crate::plain::{unix_ms, whole_body};
use crate::store::Store;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const HALLS: [&str; 3] = ["bud-a", "bud-b", "bud-c"];
const HOST: &str = "quotes.example";
/// Bound of the rule, in ms.
const DRAIN_MS: u128 = 2_000;
/// Time between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(25);
/// When the store cuts the watches that wait, since the begin.
const CUTS_AT: [Duration; 3] =
    [Duration::from_millis(0), Duration::from_millis(1_300), Duration::from_millis(1_500)];
/// When the runner's entry goes.
const LEAVES_AT: Duration = Duration::from_millis(1_550);
/// How long it serves on after that: `drain_ms` and a little more.
const SERVES_ON: Duration = Duration::from_millis(2_150);
const LENGTH: Duration = Duration::from_millis(5_500);

struct Runner {
    id: String,
    child: Child,
}

fn start_runner(folder: &Path, address: SocketAddr, id: &str) -> Child {
    let log = File::create(folder.join(format!("{id}.txt"))).expect("a log");
    let child = Command::new(root().join("target/review-2/standins"))
        .args(["plain", &address.to_string(), id, "60"])
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the stand-in starts");
    record_process(folder, &child);
    child
}

fn entry(address: SocketAddr, hall: &str) -> String {
    format!(
        "{{\"backend\":\"quote-api\",\"address\":\"{address}\",\"zone\":\"{hall}\",\"config_version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}"
    )
}

fn manifest() -> String {
    format!(
        "{{\"config_version\":7,\"routes\":[{{\"name\":\"quote-snap\",\"host\":\"{HOST}\",\"path_prefix\":\"/snap/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":1500,\"slo_ms\":300,\"priority\":2,\
         \"backend\":\"quote-api\",\"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"quote-api\",\
         \"health_path\":\"/healthz\",\"max_conns\":110}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-1\"]}}]}}"
    )
}

fn call(address: SocketAddr, id: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(3_500))).ok()?;
    let request = format!(
        "POST /snap/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 3000\r\nX-Key: key-1\r\n\
         Content-Length: 4\r\n\r\nsnap"
    );
    stream.write_all(request.as_bytes()).ok()?;
    Reader::new(stream).message(true)
}

pub fn run(folder: &str) -> ExitCode {
    let folder = Path::new(folder);
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let store = Store::start();
    store.put("config", "main", &manifest());
    let mut runners: Vec<Runner> = HALLS
        .iter()
        .enumerate()
        .map(|(number, hall)| {
            let (address, id) = (free_address(), format!("i-runner{number}"));
            let child = start_runner(folder, address, &id);
            store.put("servers", &id, &entry(address, hall));
            Runner { id, child }
        })
        .collect();
    let gateways: Vec<Gateway> = HALLS
        .iter()
        .map(|hall| Gateway::start(folder, &format!("front-{hall}-1"), hall, store.address))
        .collect();
    let end = |runners: &mut Vec<Runner>| {
        runners.iter_mut().for_each(|runner| drop((runner.child.kill(), runner.child.wait())));
    };
    if !gateways.iter().all(|gateway| gateway.await_ready(Duration::from_secs(20))) {
        println!("a gateway was not ready");
        end(&mut runners);
        return ExitCode::from(2);
    }
    // Steady state: no machine was started within `contact_ms`.
    std::thread::sleep(Duration::from_secs(12));
    let is_over = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let callers: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(number, gateway)| {
            let (address, is_over, answers) = (gateway.callers, is_over.clone(), answers.clone());
            std::thread::spawn(move || {
                let mut count = 0;
                let mut calls = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let (id, answers) = (format!("r{number}-{count}"), answers.clone());
                    calls.push(std::thread::spawn(move || {
                        let text = match call(address, &id) {
                            Some(got) if got.status() == 200 && got.body == whole_body(&id) => {
                                "whole".to_owned()
                            }
                            Some(got) => format!("status {}", got.status()),
                            None => "no answer".to_owned(),
                        };
                        answers.lock().expect("no panic").insert(id, text);
                    }));
                    count += 1;
                    std::thread::sleep(REQUEST_PAUSE);
                }
                calls.into_iter().for_each(|call| drop(call.join()));
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    let started = Instant::now();
    let say = |what: &str| println!("{:5} ms: {what}", started.elapsed().as_millis());
    let sleep_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
    let mut steps: Vec<(Duration, u32)> = vec![(LEAVES_AT, 1), (LEAVES_AT + SERVES_ON, 2)];
    if is_troubled {
        steps.extend(CUTS_AT.iter().map(|at| (*at, 0)));
    }
    steps.sort();
    let mut acknowledged_at = 0;
    for (at, step) in steps {
        sleep_until(at);
        match step {
            0 => say(&format!("the store cuts the {} watches that wait", store.cut_watches())),
            1 => {
                store.remove("servers", &runners[0].id);
                acknowledged_at = unix_ms();
                say(
                    "the entry of the runner of bud-a is removed, which the store acknowledges; it serves on",
                );
            }
            _ => {
                let _ = (runners[0].child.kill(), runners[0].child.wait());
                say("that runner ends");
            }
        }
    }
    sleep_until(LENGTH);
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    end(&mut runners);
    let log =
        std::fs::read_to_string(folder.join(format!("{}.txt", runners[0].id))).unwrap_or_default();
    let answers = answers.lock().expect("no panic");
    let (mut late, mut lost) = (0, 0);
    for line in log.lines() {
        let mut words = line.split(' ');
        let (Some("arrives"), Some(at), Some(id)) = (words.next(), words.next(), words.next())
        else {
            continue;
        };
        let at: u128 = at.parse().unwrap_or(0);
        if at > acknowledged_at + DRAIN_MS {
            late += 1;
            let got = answers.get(id).map_or("nothing", String::as_str);
            lost += u32::from(got != "whole");
            println!(
                "{id} arrives {} ms after the acknowledgement; its caller got: {got}",
                at - acknowledged_at
            );
        }
    }
    let mut ends: BTreeMap<&str, u32> = BTreeMap::new();
    answers.values().for_each(|got| *ends.entry(got).or_default() += 1);
    println!("answers: {ends:?}");
    println!(
        "result: {late} requests arrived later than {DRAIN_MS} ms after the acknowledgement, {lost} of them were lost"
    );
    ExitCode::from(u8::from(late > 0))
}
