//! Runners crash while their links lose packets, and answers without a length are on their way.

use crate::gateway::{Gateway, free_address};
use crate::http::Message;
use crate::lossy_link::LossyLink;
use crate::store::Store;
use crate::unframed::{HALLS, call, judge, manifest, start_process};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ExitCode};
use std::thread::{JoinHandle, sleep};
use std::time::Duration;

const ROUNDS: usize = 10;
/// Rounds in which the link loses the opening packets of new channels: three in ten.
const LOSSY_ROUNDS: [usize; 3] = [2, 5, 8];
/// Requests of a round, all of them to one gateway.
const REQUESTS: usize = 6;
const CRASH_AFTER: Duration = Duration::from_millis(150);
/// Time after which an opening packet is sent again, at the earliest.
const SENT_AGAIN_AFTER: Duration = Duration::from_millis(900);
const DOWN_FOR: Duration = Duration::from_millis(1_500);

struct Runner {
    id: String,
    hall: &'static str,
    link: LossyLink,
    child: Child,
}

impl Runner {
    fn start(folder: &Path, store: &Store, id: String, hall: &'static str) -> Self {
        let real = free_address();
        let child = start_process(folder, real, &id);
        let link = LossyLink::start(real);
        store.put("servers", &id, &entry(link.address, hall));
        Self { id, hall, link, child }
    }
}

fn entry(address: SocketAddr, hall: &str) -> String {
    format!(
        "{{\"backend\":\"quote-api\",\"address\":\"{address}\",\"zone\":\"{hall}\",\"config_version\":\"v1\",\
         \"slots\":24,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}"
    )
}

pub fn run(folder: &str) -> ExitCode {
    let folder = Path::new(folder);
    let is_troubled = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let store = Store::start();
    store.put("config", "main", &manifest());
    let mut runners: Vec<Runner> = HALLS
        .iter()
        .enumerate()
        .map(|(number, hall)| Runner::start(folder, &store, format!("i-0-{number}"), hall))
        .collect();
    let gateways: Vec<Gateway> = HALLS
        .iter()
        .map(|hall| Gateway::start(folder, &format!("front-{hall}-1"), hall, store.address))
        .collect();
    if !gateways.iter().all(|gateway| gateway.await_ready(Duration::from_secs(20))) {
        println!("a gateway was not ready");
        runners.iter_mut().for_each(|runner| drop((runner.child.kill(), runner.child.wait())));
        return ExitCode::from(2);
    }
    sleep(Duration::from_secs(2));
    let mut broken = [0; 2];
    for round in 0..ROUNDS {
        let is_lossy = LOSSY_ROUNDS.contains(&round);
        let callers = gateways[0].callers;
        let answers: Vec<JoinHandle<(String, Option<Message>)>> = (0..REQUESTS)
            .map(|number| {
                let id = format!("round{round}-{number}");
                std::thread::spawn(move || (id.clone(), call(callers, &id)))
            })
            .collect();
        sleep(CRASH_AFTER);
        let victim = &mut runners[round % HALLS.len()];
        if is_troubled {
            println!(
                "round {round}: {} crashes (SIGKILL); opening packets to it {}",
                victim.id,
                if is_lossy { "are lost for 0.9 s, and refused then" } else { "are refused" }
            );
            match is_lossy {
                true => victim.link.lose_openings(),
                false => victim.link.refuse(),
            }
            let _ = (victim.child.kill(), victim.child.wait());
        }
        for answer in answers {
            let (id, got) = answer.join().expect("no panic");
            let (text, is_broken) = judge(&id, &got);
            broken[usize::from(is_lossy)] += u32::from(is_broken);
            println!("{id}: {text}");
        }
        if is_troubled {
            sleep(SENT_AGAIN_AFTER);
            victim.link.refuse();
            sleep(DOWN_FOR);
            let old = std::mem::replace(
                victim,
                Runner::start(folder, &store, format!("i-{}-0", round + 1), victim.hall),
            );
            store.remove("servers", &old.id);
            sleep(Duration::from_millis(1_000));
        }
    }
    runners.iter_mut().for_each(|runner| drop((runner.child.kill(), runner.child.wait())));
    println!(
        "result: {} answers broke the rule, {} of them in rounds without lost packets",
        broken[0] + broken[1],
        broken[0]
    );
    ExitCode::from(u8::from(broken[0] + broken[1] > 0))
}
