//! Stand-in of the platform's store: objects with revisions, conditional writes and watches.

use crate::http::{Reader, answer};
use crate::json::{Json, raw_field};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Clone)]
struct Change {
    kind: String,
    at: u64,
    gone: bool,
    object: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    history: Vec<Change>,
    /// Raised by each cut of the watches that wait.
    cuts: u64,
    /// Watches that wait now.
    waiting: u64,
}

impl State {
    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let (revision, spec) = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(render(name, *revision, spec))
    }

    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let at = self.revision;
        self.objects.insert((kind.to_owned(), name.to_owned()), (at, spec.to_owned()));
        let object = render(name, at, spec);
        self.history.push(Change {
            kind: kind.to_owned(),
            at,
            gone: false,
            object: object.clone(),
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some((_, spec)) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            let (at, object) = (self.revision, render(name, self.revision, &spec));
            self.history.push(Change { kind: kind.to_owned(), at, gone: true, object });
        }
    }
}

fn render(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// Answer of the store; `None` if it cuts a watch that waits.
type Answer = Option<(&'static str, String)>;

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { shared: Arc::default(), address };
        store.shared.0.lock().expect("no panic").revision = 4;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().expect("no panic").put(kind, name, spec);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().expect("no panic").remove(kind, name);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.message(false) {
            let mut words = request.line.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let Some((status, body)) = self.handle(method, &parts, query, &body) else { return };
            if answer(
                &mut reader.stream,
                status,
                "Content-Type: application/json\r\nStore-Era: 1\r\n",
                body.as_bytes(),
            )
            .is_err()
            {
                return;
            }
        }
    }

    fn handle(&self, method: &str, parts: &[&str], query: &str, body: &str) -> Answer {
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
                .map(|(_, v)| v)
        };
        let answered = match (method, parts) {
            ("GET", [kind]) => match parameter("watch").and_then(|text| text.parse::<u64>().ok()) {
                Some(since) => {
                    let wait_ms =
                        parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    ("200 OK", self.watch(kind, since, Duration::from_millis(wait_ms))?)
                }
                None => ("200 OK", self.list(kind)),
            },
            ("GET", [kind, name]) => {
                match self.shared.0.lock().expect("no panic").object(kind, name) {
                    Some(object) => ("200 OK", object),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("POST", [kind]) | ("PUT", [kind, _]) => self.write(method == "POST", kind, body),
            _ => ("400 Bad Request", "{}".to_owned()),
        };
        Some(answered)
    }

    /// Cuts all watches that wait: their connections are closed without an answer. Returns how many.
    pub fn cut_watches(&self) -> u64 {
        let mut state = self.shared.0.lock().expect("no panic");
        state.cuts += 1;
        self.shared.1.notify_all();
        state.waiting
    }

    fn list(&self, kind: &str) -> String {
        let state = self.shared.0.lock().expect("no panic");
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| render(name, *revision, spec)).collect();
        format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("no panic");
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                return None;
            }
            let new: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.kind == kind && change.at > since)
                .map(|change| format!("{{\"gone\":{},\"object\":{}}}", change.gone, change.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return Some(format!(
                    "{{\"events\":[{}],\"at\":{}}}",
                    new.join(","),
                    state.revision
                ));
            }
            state.waiting += 1;
            state = self.shared.1.wait_timeout(state, left).expect("no panic").0;
            state.waiting -= 1;
        }
    }

    fn write(&self, is_new: bool, kind: &str, body: &str) -> (&'static str, String) {
        let metadata = raw_field(body, "metadata").and_then(Json::parse);
        let name = metadata.as_ref().and_then(|m| m.get("name")).and_then(Json::text);
        let (Some(name), Some(spec)) = (name, raw_field(body, "spec")) else {
            return ("400 Bad Request", "{}".to_owned());
        };
        let expected = metadata.as_ref().and_then(|m| m.get("revision")).and_then(Json::number);
        let mut state = self.shared.0.lock().expect("no panic");
        let known =
            state.objects.get(&(kind.to_owned(), name.to_owned())).map(|(revision, _)| *revision);
        let is_refused = match (is_new, known) {
            (true, known) => known.is_some(),
            (false, None) => return ("404 Not Found", "{}".to_owned()),
            (false, Some(known)) => expected.is_some_and(|expected| expected != known),
        };
        if is_refused {
            return ("409 Conflict", state.object(kind, name).unwrap_or_default());
        }
        let object = state.put(kind, name, spec);
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", object)
    }
}
