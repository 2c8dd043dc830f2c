//! HTTP interface for administration, health and status.
//!
//! - `GET /v1/objects?prefix=P` lists objects, `GET /v1/objects/KEY` reads one.
//! - `PUT /v1/objects/KEY` and `DELETE /v1/objects/KEY` with `If-Match: VERSION` or
//!   `If-None-Match: *`, and `X-Why: REASON`.
//! - `GET /v1/effective/KEY` returns each setting in force and the object it comes from.
//! - `GET /v1/status` returns this VM's own view, `GET /v1/fleet` the status of all halls.

use crate::fleet_status;
use crate::state::Control;
use crate::write::{Write, execute};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use sillbank_core::prelude::*;
use sillbank_net::prelude::*;
use sillbank_net::telemetry::metrics_reply;
use sillbank_settings::objects::{WriteNote, hash_key, read_object_value};
use sillbank_settings::prelude::*;
use smol::net::TcpListener;
use std::rc::Rc;

/// Maximum size of an object, the platform's limit.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Serves the administration interface.
pub(crate) struct AdminPlugin {
    /// Listener of the admin address.
    pub(crate) listener: TcpListener,
}

impl Plugin<Control> for AdminPlugin {
    fn build(self, app: &App<Control>) {
        let handler = Rc::new(AdminHandler { control: app.state() });
        let limits = ServerLimits::default();
        app.spawn(serve(app.executor(), self.listener, limits, handler));
    }
}

/// Handles requests of operators and the platform's health checks.
struct AdminHandler {
    control: Rc<Control>,
}

/// An authenticated operator and the subtree in which it may write.
struct Operator {
    name: String,
    subtree: String,
}

impl Operator {
    fn may_write(&self, node_path: &str) -> bool {
        let rest = node_path.strip_prefix(self.subtree.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl AdminHandler {
    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ReplyBody>, AdminFailure> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        let is_get = head.method == Method::GET;
        match path {
            "/healthz" if is_get => return Ok(text_reply(StatusCode::OK, "ok")),
            "/readyz" if is_get => return Ok(self.readiness()),
            "/metrics" if is_get => return Ok(metrics_reply(&self.control.metrics.registry)),
            "/v1/status" if is_get => return Ok(json_reply(StatusCode::OK, &self.status())),
            _ => {}
        }
        let operator = self.operator(&head.headers)?;
        if path == "/v1/fleet" && is_get {
            return self.fleet().await;
        }
        if let Some(key) = path.strip_prefix("/v1/effective/").filter(|_| is_get) {
            return Ok(self.effective(key));
        }
        if path == "/v1/objects" && is_get {
            let query = head.uri.query().unwrap_or_default();
            let prefix = query.strip_prefix("prefix=").unwrap_or_default();
            return Ok(json_reply(StatusCode::OK, &self.control.store.objects().list(prefix)));
        }
        let Some(key) = path.strip_prefix("/v1/objects/") else {
            let message = format!("{} {path} is not served here.", head.method);
            return Err(AdminFailure::new(AdminFailureKind::NotFound, message));
        };
        match head.method {
            Method::GET => self.read(key),
            Method::PUT => self.put(&operator, key, &head.headers, read_body(body).await?).await,
            Method::DELETE => self.delete(&operator, key, &head.headers).await,
            _ => Err(AdminFailure::new(AdminFailureKind::NotFound, "The method is not served.")),
        }
    }

    fn readiness(&self) -> Response<ReplyBody> {
        match self.control.store.served_version() {
            None => text_reply(StatusCode::SERVICE_UNAVAILABLE, "no settings"),
            Some(_) => text_reply(StatusCode::OK, "ok"),
        }
    }

    /// This VM's state, and the last summary of each known VM.
    fn status(&self) -> serde_json::Value {
        let control = &self.control;
        let own = control.summary();
        let mut vms = vec![serde_json::json!({
            "vm": control.settings.vm,
            "hall": control.settings.hall,
            "state": "Alive",
            "in_force_version": own.in_force,
            "complete_version": own.complete,
            "platform_age_ms": own.platform_age_ms,
            "heard_ms": 0,
        })];
        let summaries = control.peer_summaries.borrow();
        for member in control.membership.borrow().members().all() {
            let peer = summaries.get(&member.update.vm);
            vms.push(serde_json::json!({
                "vm": member.update.vm,
                "hall": member.update.hall,
                "state": format!("{:?}", member.update.state),
                "in_force_version": peer.map(|p| p.summary.in_force),
                "complete_version": peer.map(|p| p.summary.complete),
                "platform_age_ms": peer.map(|p| p.summary.platform_age_ms),
                "heard_ms": peer.map(|p| p.received_at.elapsed().as_millis() as u64),
            }));
        }
        serde_json::json!({
            "vm": control.settings.vm,
            "complete_version": own.complete,
            "objects": control.store.objects().len(),
            "invalid": fleet_status::invalid_objects(control),
            "gives_orders": control.holds_orders_lease.get(),
            "slots": control.slots.held(),
            "claimed_keys": control.slots.key_count(),
            "vms": vms,
        })
    }

    /// All halls, their VMs and the settings version in force at each.
    async fn fleet(&self) -> Result<Response<ReplyBody>, AdminFailure> {
        let newest = self.control.store.objects().newest();
        match fleet_status::all_halls(&self.control).await {
            Ok(halls) => {
                let fleet = serde_json::json!({ "newest_version": newest, "halls": halls });
                Ok(json_reply(StatusCode::OK, &fleet))
            }
            Err(error) => {
                let message = format!("Other halls cannot be told: {error}.");
                Err(AdminFailure::new(AdminFailureKind::PlatformDown, message))
            }
        }
    }

    /// Path of a stored object's node in the tree.
    fn node_path_of(&self, key: &str) -> Option<String> {
        let control = &self.control;
        control.store.objects().get(key)?;
        control.store.tree().node_path_of(key)
    }

    /// The operator of the bearer key.
    fn operator(&self, headers: &HeaderMap) -> Result<Operator, AdminFailure> {
        let value = headers.get("authorization").and_then(|value| value.to_str().ok());
        let hash = value.and_then(|value| value.strip_prefix("Bearer ")).map(hash_key);
        let found = hash.and_then(|hash| {
            if self.control.settings.root_key_hashes.contains(&hash) {
                return Some(Operator { name: "root".to_owned(), subtree: "/".to_owned() });
            }
            let tree = self.control.store.tree();
            let (name, subtree) = tree.operator_of_key(&hash)?;
            Some(Operator { name: name.to_owned(), subtree: subtree.to_owned() })
        });
        found.ok_or_else(|| {
            AdminFailure::new(AdminFailureKind::UnknownOperator, "The operator key is not known.")
        })
    }

    fn read(&self, key: &str) -> Result<Response<ReplyBody>, AdminFailure> {
        let object =
            self.control.store.objects().get(key).cloned().ok_or_else(|| not_found(key))?;
        Ok(json_reply(StatusCode::OK, &object))
    }

    fn effective(&self, key: &str) -> Response<ReplyBody> {
        let effective = self.control.store.tree().effective(key);
        let values: serde_json::Map<String, serde_json::Value> = Policy::NAMES
            .iter()
            .map(|name| {
                let from = effective.origin.get(name);
                let entry = serde_json::json!({
                    "value": effective.policy.value(name),
                    "from": from,
                });
                ((*name).to_owned(), entry)
            })
            .collect();
        json_reply(StatusCode::OK, &values)
    }

    fn new_mark(&self) -> String {
        format!("{:032x}", self.control.unique_id())
    }

    async fn put(
        &self,
        operator: &Operator,
        key: &str,
        headers: &HeaderMap,
        body: Bytes,
    ) -> Result<Response<ReplyBody>, AdminFailure> {
        let expected = expected_version(headers)?;
        let mut value: serde_json::Value = serde_json::from_slice(&body)
            .map_err(|e| AdminFailure::new(AdminFailureKind::Malformed, format!("{e}.")))?;
        let invalid =
            |problems: Problems| AdminFailure::new(AdminFailureKind::Invalid, problems.to_string());
        let object = read_object_value(key, value.clone()).map_err(invalid)?;
        self.check_permission(operator, key, Some(&object.node_path(key)))?;
        self.control.store.tree().check_references(key, &object).map_err(invalid)?;
        let mark = self.new_mark();
        let note = WriteNote { by: operator.name.clone(), why: why(headers), mark: mark.clone() };
        if let Some(fields) = value.as_object_mut() {
            fields.insert("note".to_owned(), serde_json::json!(note));
        }
        let value = Some(value.to_string());
        self.write(Write { key: key.to_owned(), expected, value, mark }).await
    }

    async fn delete(
        &self,
        operator: &Operator,
        key: &str,
        headers: &HeaderMap,
    ) -> Result<Response<ReplyBody>, AdminFailure> {
        let expected = expected_version(headers)?;
        self.check_permission(operator, key, None)?;
        self.write(Write { key: key.to_owned(), expected, value: None, mark: self.new_mark() })
            .await
    }

    async fn write(&self, write: Write) -> Result<Response<ReplyBody>, AdminFailure> {
        let object = execute(&self.control.platform, &write).await?;
        self.control.store.apply(object.clone());
        tracing::info!("control: Object {} was written as version {}.", object.key, object.version);
        Ok(json_reply(StatusCode::OK, &object))
    }

    /// An operator needs permission for the object's current node and for its new one.
    fn check_permission(
        &self,
        operator: &Operator,
        key: &str,
        new_path: Option<&str>,
    ) -> Result<(), AdminFailure> {
        let old_path = self.node_path_of(key);
        let mut paths = old_path.iter().map(String::as_str).chain(new_path);
        match paths.find(|path| !operator.may_write(path)) {
            None => Ok(()),
            Some(path) => {
                let message = format!("'{}' may not write under {path}.", operator.name);
                Err(AdminFailure::new(AdminFailureKind::NoRight, message))
            }
        }
    }
}

impl Handler for AdminHandler {
    async fn handle(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        match self.answer(request).await {
            Ok(reply) => reply,
            Err(failure) => {
                let status = StatusCode::from_u16(failure.kind.http_status());
                json_reply(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &failure)
            }
        }
    }
}

fn not_found(key: &str) -> AdminFailure {
    AdminFailure::new(AdminFailureKind::NotFound, format!("There is no object {key}."))
}

async fn read_body(body: Incoming) -> Result<Bytes, AdminFailure> {
    let collected = Limited::new(body, MAX_OBJECT_BYTES).collect().await;
    collected.map(http_body_util::Collected::to_bytes).map_err(|e| {
        AdminFailure::new(AdminFailureKind::Malformed, format!("The body was not read: {e}."))
    })
}

/// The version in `If-Match`; `None` for `If-None-Match: *`.
fn expected_version(headers: &HeaderMap) -> Result<Option<u64>, AdminFailure> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    match (text("if-match").map(str::parse), text("if-none-match")) {
        (Some(Ok(version)), None) => Ok(Some(version)),
        (None, Some("*")) => Ok(None),
        _ => Err(AdminFailure::new(AdminFailureKind::Malformed, "The write names no version.")),
    }
}

/// The reason of a write, from `X-Why`.
fn why(headers: &HeaderMap) -> String {
    headers.get("x-why").and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}
