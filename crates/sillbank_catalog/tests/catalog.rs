//! Validation of catalogs and look-ups in them.

use sillbank_catalog::prelude::*;
use std::time::Duration;

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: "Market.Example".to_owned(),
        path_prefix: prefix.to_owned(),
        kind: WorkKind::Call(Idempotency::Idempotent),
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 1,
        targets: targets
            .iter()
            .map(|(service, weight)| Target { service: (*service).to_owned(), weight: *weight })
            .collect(),
        max_attempts: 2,
        public: false,
    }
}

fn catalog(routes: Vec<Route>) -> Catalog {
    let organisation =
        Organisation { name: "alpha".into(), keys: vec!["key-1".into()], priority: None };
    let parts = CatalogParts {
        version: 3,
        routes,
        organisations: Some(vec![organisation]),
        ..CatalogParts::default()
    };
    Catalog::new(parts).expect("it is valid")
}

/// The route with the longest prefix of whole path segments is chosen; host case and port are
/// ignored.
#[test]
fn longest_matching_prefix_wins() {
    let catalog = catalog(vec![
        route("short", "/a/", &[("s", 1)]),
        route("long", "/a/b/", &[("s", 1)]),
        route("all", "/", &[("s", 1)]),
    ]);

    let found = |path| catalog.route("market.example:80", path).map(|route| route.name.clone());

    assert_eq!(found("/a/b/c"), Some("long".to_owned()));
    assert_eq!(found("/a/b/"), Some("long".to_owned()));
    assert_eq!(found("/a/b"), Some("short".to_owned()));
    assert_eq!(found("/ab/c"), Some("all".to_owned()));
    assert!(catalog.route("other.example", "/a/b/c").is_none());
}

/// A known key yields its organisation, an unknown one yields none.
#[test]
fn key_identifies_its_organisation() {
    let catalog = catalog(vec![]);

    assert_eq!(catalog.organisation("key-1").map(|o| o.name.clone()), Some("alpha".to_owned()));
    assert!(catalog.organisation("key-2").is_none());
}

/// A catalog with a route without service, a bad prefix or a duplicate prefix is rejected.
#[test]
fn invalid_routes_are_rejected() {
    let parts = |routes| CatalogParts { routes, ..CatalogParts::default() };

    let no_target = Catalog::new(parts(vec![route("a", "/a/", &[])]));
    let bad_prefix = Catalog::new(parts(vec![route("a", "/a", &[("s", 1)])]));
    let same =
        Catalog::new(parts(vec![route("a", "/a/", &[("s", 1)]), route("b", "/a/", &[("s", 1)])]));

    assert_eq!(no_target.err(), Some(CatalogError::NoTarget("a".into())));
    assert_eq!(bad_prefix.err(), Some(CatalogError::BadPrefix("a".into())));
    assert_eq!(same.err(), Some(CatalogError::SamePrefix("a".into(), "b".into())));
}

/// The random number selects a target in proportion to its weight; a weight of 0 is never selected.
#[test]
fn services_are_chosen_by_weight() {
    let split = route("a", "/a/", &[("x", 0), ("y", 3), ("z", 1)]);
    let service = |draw| split.choose_service(draw).cloned();

    assert_eq!(service(0.0), Some("y".to_owned()));
    assert_eq!(service(0.74), Some("y".to_owned()));
    assert_eq!(service(0.76), Some("z".to_owned()));
    assert_eq!(service(1.0), Some("z".to_owned()));
}
