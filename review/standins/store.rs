//! The platform's metadata store: objects with revisions, listings and watches.

use crate::http::{read_body, read_head, write_reply};
use crate::json::Json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that an answer takes, as on the small deployments.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Change {
    revision: u64,
    kind: String,
    gone: bool,
    object: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    history: Vec<Change>,
    /// How often the waiting watches of a link were cut so far.
    cuts: BTreeMap<Link, u64>,
    /// Watches that are waiting, by link and kind.
    waiting: Vec<(Link, String)>,
}

/// Number of the address at which a VM reaches the store: each VM has one of its own.
pub type Link = usize;

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

fn table(fields: &[(&str, Json)]) -> Json {
    Json::Table(fields.iter().map(|(name, value)| ((*name).to_owned(), value.clone())).collect())
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.field("spec") == Some(&spec)
        {
            return known.clone();
        }
        self.revision += 1;
        let metadata = table(&[
            ("name", Json::Text(name.to_owned())),
            ("revision", number(self.revision)),
            ("made", number(1)),
            ("finalizers", Json::List(Vec::new())),
            ("deleting", Json::Bool(false)),
        ]);
        let object = table(&[("metadata", metadata), ("spec", spec), ("status", Json::Null)]);
        self.objects.insert(key, object.clone());
        self.keep(kind, object.clone(), false);
        object
    }

    fn keep(&mut self, kind: &str, object: Json, gone: bool) {
        let (revision, kind) = (self.revision, kind.to_owned());
        self.history.push(Change { revision, kind, gone, object });
    }

    fn events(&self, kind: &str, since: u64) -> Vec<Json> {
        let new = self.history.iter().filter(|c| c.revision > since && c.kind == kind);
        let to_event =
            |c: &Change| table(&[("gone", Json::Bool(c.gone)), ("object", c.object.clone())]);
        new.map(to_event).collect()
    }
}

impl Store {
    /// Creates an empty store.
    pub fn new(record: &Record) -> Self {
        Self { state: Arc::default(), record: record.clone() }
    }

    /// Serves a VM on a free port. Returns the address.
    pub fn listen(&self, ip: Ipv4Addr, link: Link) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("the store's address is free");
        let address = listener.local_addr().expect("it is bound");
        let serving = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream, link));
            }
        });
        address
    }

    /// Writes an object, as the operator and runners do. It is acknowledged when this returns.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the stand-in writes JSON");
        let (state, changed) = &*self.state;
        state.lock().expect("no panic").put(kind, name, spec);
        changed.notify_all();
        self.record.line(&format!("store: acknowledged {kind}/{name}"));
    }

    /// Removes an object. Returns when this was acknowledged.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        if let Some(object) = state.objects.remove(&(kind.to_owned(), name.to_owned())) {
            state.revision += 1;
            state.keep(kind, object, true);
        }
        let acknowledged = Instant::now();
        drop(state);
        changed.notify_all();
        self.record.line(&format!("store: acknowledged the removal of {kind}/{name}"));
        acknowledged
    }

    /// Links on which a watch of a kind is waiting.
    pub fn watchers(&self, kind: &str) -> Vec<Link> {
        let state = self.state.0.lock().expect("no panic");
        let of_kind = state.waiting.iter().filter(|(_, known)| known == kind);
        let mut links: Vec<Link> = of_kind.map(|(link, _)| *link).collect();
        links.sort_unstable();
        links.dedup();
        links
    }

    /// Cuts the watches of a link that are waiting: their connections are closed without an answer.
    pub fn cut_watches(&self, link: Link) {
        let (state, changed) = &*self.state;
        *state.lock().expect("no panic").cuts.entry(link).or_default() += 1;
        changed.notify_all();
        self.record.line(&format!("store: cuts the waiting watches of link {link}"));
    }

    fn serve(&self, stream: TcpStream, link: Link) {
        stream.set_nodelay(true).expect("a socket");
        let mut writer = stream.try_clone().expect("a socket");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let (method, target) = (request.word(0).to_owned(), request.word(1).to_owned());
            let Some((status, answer)) = self.answer(&method, &target, &body, link) else { return };
            std::thread::sleep(ANSWER_TIME);
            let headers = [("Content-Type", "application/json")];
            if write_reply(&mut writer, status, &headers, answer.to_string().as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer to a call; `None` if it is a watch that was cut.
    fn answer(
        &self,
        method: &str,
        target: &str,
        body: &str,
        link: Link,
    ) -> Option<(&'static str, Json)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/objects/");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let parameter = |wanted: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == wanted).map(|(_, value)| value)
        };
        if method != "GET" {
            return Some(self.write(method, kind, name, body));
        }
        if let Some(since) = parameter("watch") {
            let wait_ms = parameter("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            let since = since.parse().unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait_ms), link);
        }
        let state = self.state.0.lock().expect("no panic");
        if let Some(name) = name {
            return Some(match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => ("200 OK", object.clone()),
                None => ("404 Not Found", Json::Null),
            });
        }
        let after = parameter("since_rev").unwrap_or("");
        let of_kind = state.objects.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items = of_kind.map(|(_, object)| object.clone()).collect();
        let (more, at) = (Json::Bool(false), number(state.revision));
        Some(("200 OK", table(&[("items", Json::List(items)), ("more", more), ("at", at)])))
    }

    fn watch(
        &self,
        kind: &str,
        since: u64,
        wait: Duration,
        link: Link,
    ) -> Option<(&'static str, Json)> {
        let (state, changed) = &*self.state;
        let ends_at = Instant::now() + wait;
        let mut state = state.lock().expect("no panic");
        let cuts_of = |state: &State| state.cuts.get(&link).copied().unwrap_or(0);
        let cuts_before = cuts_of(&state);
        let entry = (link, kind.to_owned());
        state.waiting.push(entry.clone());
        loop {
            let events = state.events(kind, since);
            let is_cut = cuts_of(&state) != cuts_before;
            let left = ends_at.saturating_duration_since(Instant::now());
            if is_cut || !events.is_empty() || left.is_zero() {
                if is_cut {
                    self.record.line(&format!("store: cut a watch of {kind} on link {link}"));
                }
                let position = state.waiting.iter().position(|known| *known == entry);
                position.map(|at| state.waiting.swap_remove(at));
                let at = number(state.revision);
                let answer = table(&[("events", Json::List(events)), ("at", at)]);
                return (!is_cut).then_some(("200 OK", answer));
            }
            state = changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn write(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        body: &str,
    ) -> (&'static str, Json) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let metadata = body.field("metadata").cloned().unwrap_or(Json::Null);
        let named = metadata.field("name").and_then(Json::text);
        let name = name.or(named).unwrap_or("").to_owned();
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let revision_of = |object: &Json| object.field("metadata")?.field("revision")?.number();
        let expected = metadata.field("revision").and_then(Json::number);
        match (method, known) {
            ("POST", Some(known)) => return ("409 Conflict", known),
            ("PUT", None) => return ("404 Not Found", Json::Null),
            ("PUT", Some(known)) if expected.is_some() && expected != revision_of(&known) => {
                return ("409 Conflict", known);
            }
            _ => {}
        }
        let spec = body.field("spec").cloned().unwrap_or(Json::Null);
        let object = state.put(kind, &name, spec);
        drop(state);
        changed.notify_all();
        ("200 OK", object)
    }
}
