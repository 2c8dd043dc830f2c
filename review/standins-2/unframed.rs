//! A runner crashes behind a cut and starts again there, while answers without a length are on their way.

use crate::gateway::{Gateway, free_address, record_process, root};
use crate::http::{Message, Reader};
use crate::link::Link;
use crate::runner::whole_body;
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, ExitCode};
use std::time::{Duration, Instant};

pub const HALLS: [&str; 3] = ["bud-a", "bud-b", "bud-c"];
const HOST: &str = "quotes.example";
const ROUTE_TIMEOUT_MS: u64 = 1_500;
const CALLER_LIMIT_MS: u64 = 3_000;
/// Time between the pieces of an answer; the whole takes eight of them.
const PIECE_MS: u64 = 50;
/// Requests that are under way when the link is cut.
const REQUESTS: usize = 24;
/// From the send of the requests until the cut, from there until the crash, the restart and the end of the cut.
const CUT_AFTER: Duration = Duration::from_millis(150);
const CRASH_AFTER: Duration = Duration::from_millis(50);
const DOWN_FOR: Duration = Duration::from_millis(500);
const HEAL_AFTER: Duration = Duration::from_millis(250);

struct Runner {
    id: String,
    hall: &'static str,
    real: SocketAddr,
    link: Link,
    child: Child,
}

pub fn start_process(folder: &Path, real: SocketAddr, id: &str) -> Child {
    let log = File::create(folder.join(format!("{id}.txt"))).expect("a log");
    let child = Command::new(root().join("target/review-2/standins"))
        .args(["runner", &real.to_string(), id, &PIECE_MS.to_string()])
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the stand-in starts");
    record_process(folder, &child);
    child
}

fn entry(runner: &Runner, seq: u64) -> String {
    format!(
        "{{\"backend\":\"quote-api\",\"address\":\"{}\",\"zone\":\"{}\",\"config_version\":\"v1\",\"slots\":24,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq}}}",
        runner.link.address, runner.hall
    )
}

pub fn manifest() -> String {
    format!(
        "{{\"config_version\":7,\"routes\":[{{\"name\":\"quote-snap\",\"host\":\"{HOST}\",\"path_prefix\":\"/snap/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":{ROUTE_TIMEOUT_MS},\"slo_ms\":300,\"priority\":2,\
         \"backend\":\"quote-api\",\"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"quote-api\",\
         \"health_path\":\"/healthz\",\"max_conns\":110}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"key-1\"]}}]}}"
    )
}

/// Sends one request on a channel of its own. `None` if there is no answer.
pub fn call(address: SocketAddr, id: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(CALLER_LIMIT_MS + 500))).ok()?;
    let body = "snap";
    let request = format!(
        "POST /snap/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {CALLER_LIMIT_MS}\r\n\
         X-Key: key-1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    Reader::new(stream).message(true)
}

/// What a caller got: a word for the record, and whether it breaks the rule.
pub fn judge(id: &str, got: &Option<Message>) -> (String, bool) {
    let Some(message) = got else { return ("no answer".to_owned(), false) };
    let (status, length) = (message.status(), message.body.len());
    let has_seal = message.header("x-response-seal").is_some();
    let is_success = (200..300).contains(&status);
    let is_whole = message.body == whole_body(id);
    let verdict = match (is_success, message.is_complete, is_whole) {
        (true, true, false) => "BROKEN: a success that looks complete and is not the whole body",
        (true, true, true) => "whole",
        (true, false, _) => "a success that is seen to be cut short",
        (false, ..) => "no success",
    };
    (
        format!("{status}, seal {has_seal}, {length} of 800 bytes, {verdict}"),
        is_success && message.is_complete && !is_whole,
    )
}

fn send_all(
    gateways: &[Gateway],
    prefix: &str,
) -> Vec<std::thread::JoinHandle<(String, Option<Message>)>> {
    (0..REQUESTS)
        .map(|number| {
            let address = gateways[number % gateways.len()].callers;
            let id = format!("{prefix}{number:02}");
            std::thread::spawn(move || (id.clone(), call(address, &id)))
        })
        .collect()
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
            let (real, id) = (free_address(), format!("i-first{number}"));
            let child = start_process(folder, real, &id);
            Runner { id, hall, real, link: Link::start(real), child }
        })
        .collect();
    for runner in &runners {
        store.put("servers", &runner.id, &entry(runner, 1));
    }
    let gateways: Vec<Gateway> = HALLS
        .iter()
        .map(|hall| Gateway::start(folder, &format!("front-{hall}-1"), hall, store.address))
        .collect();
    let is_up = gateways.iter().all(|gateway| gateway.await_ready(Duration::from_secs(20)));
    if !is_up {
        println!("a gateway was not ready");
        runners.iter_mut().for_each(|runner| drop((runner.child.kill(), runner.child.wait())));
        return ExitCode::from(2);
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut broken = 0;
    let mut record = |answers: Vec<std::thread::JoinHandle<(String, Option<Message>)>>| {
        for answer in answers {
            let (id, got) = answer.join().expect("no panic");
            let (text, is_broken) = judge(&id, &got);
            broken += u32::from(is_broken);
            println!("{id}: {text}");
        }
    };
    println!("before:");
    record(send_all(&gateways, "before"));
    println!("during:");
    let started = Instant::now();
    let answers = send_all(&gateways, "during");
    std::thread::sleep(CUT_AFTER);
    let runner = &mut runners[0];
    let say = |what: &str| println!("{:4} ms: {what}", started.elapsed().as_millis());
    if is_troubled {
        runner.link.set_cut(true);
        say("the runner of bud-a is cut off from all machines");
        std::thread::sleep(CRASH_AFTER);
        let _ = (runner.child.kill(), runner.child.wait());
        say("it crashes behind the cut (SIGKILL)");
        std::thread::sleep(DOWN_FOR);
        runner.id = "i-second0".to_owned();
        runner.child = start_process(folder, runner.real, &runner.id);
        say("it starts again behind the cut, with a new id");
        std::thread::sleep(HEAL_AFTER);
        runner.link.set_cut(false);
        say("the cut ends");
        let entry = entry(runner, 1);
        store.put("servers", &runner.id, &entry);
        say("its new entry is in the store");
    }
    record(answers);
    if is_troubled {
        store.remove("servers", "i-first0");
    }
    runners.iter_mut().for_each(|runner| drop((runner.child.kill(), runner.child.wait())));
    println!("result: {broken} answers broke the rule");
    ExitCode::from(u8::from(broken > 0))
}
