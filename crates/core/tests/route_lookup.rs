//! Guards against requests that reach the wrong route or target, count for the wrong
//! organisation or get the wrong priority.

use std::time::Duration;

use cuminpick::ids::FastMap;
use cuminpick::routing::CallerLimits;
use cuminpick::routing::KeyError;
use cuminpick::routing::OrganisationRule;
use cuminpick::routing::RepeatRule;
use cuminpick::routing::RouteRule;
use cuminpick::routing::RouteTarget;
use cuminpick::routing::RoutingTable;

fn route(name: &str, host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_string(),
        host: host.to_string(),
        prefix: prefix.to_string(),
        targets: vec![RouteTarget { service: "model".to_string(), weight: 1 }],
        repeat: RepeatRule::Idempotent,
        streaming: false,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        max_event_gap: Some(Duration::from_millis(120)),
        priority: 1,
        max_attempts: 2,
        public: name == "public",
    }
}

fn table() -> RoutingTable {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("public", "b.example", "/"),
        RouteRule {
            max_event_gap: Some(Duration::from_millis(80)),
            ..route("tight", "c.example", "/")
        },
    ];
    let mut keys = FastMap::default();
    let rule = OrganisationRule { name: "org".to_string(), priority: None };
    keys.insert("key".to_string(), rule);
    RoutingTable::new(3, routes, FastMap::default(), CallerLimits::default(), Some(keys))
}

fn name(host: &str, path: &str) -> Option<String> {
    table().find_route(host, path).map(|route| route.name.clone())
}

#[test]
fn longest_prefix() {
    assert_eq!(name("a.example", "/x/y/1").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("a.example", "/x"), None);
    assert_eq!(name("b.example", "/anything").as_deref(), Some("public"));
    assert_eq!(name("d.example", "/x/"), None);
}

#[test]
fn organisation_before_route() {
    let plain = RouteRule { priority: 3, ..route("plain", "a.example", "/") };
    let urgent = OrganisationRule { name: "urgent".to_string(), priority: Some(0) };
    let unset = OrganisationRule { name: "unset".to_string(), priority: None };
    assert_eq!(plain.priority_for(Some(&urgent)), 0);
    assert_eq!(plain.priority_for(Some(&unset)), 3);
    assert_eq!(plain.priority_for(None), 3);
}

#[test]
fn keys_checked() {
    let table = table();
    let private = table.find_route("a.example", "/x/").unwrap();
    let public = table.find_route("b.example", "/").unwrap();
    assert_eq!(table.authenticate(private, None), Err(KeyError::Missing));
    assert_eq!(table.authenticate(private, Some("other")), Err(KeyError::Unknown));
    assert_eq!(table.authenticate(private, Some("key")).unwrap().unwrap().name, "org");
    assert_eq!(table.authenticate(public, Some("other")), Ok(None));
    assert_eq!(table.authenticate(public, Some("key")).unwrap().unwrap().name, "org");
}

#[test]
fn weighted_targets() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![
        RouteTarget { service: "most".to_string(), weight: 90 },
        RouteTarget { service: "some".to_string(), weight: 10 },
    ];
    let most = (0..1_000).filter(|random| split.pick_target(*random).unwrap() == "most").count();
    assert_eq!(most, 900);
}

#[test]
fn shortest_event_gap() {
    assert_eq!(table().shortest_event_gap("model"), Some(Duration::from_millis(80)));
    assert_eq!(table().shortest_event_gap("other"), None);
}

/// Guards against classes without an order: the organisations of a deployment may all have the
/// same priority, and then urgent requests waited behind less urgent ones with a longer target.
#[test]
fn equal_organisations() {
    let rule = |priority| OrganisationRule { name: "org".to_string(), priority };
    let routes: Vec<RouteRule> = [(0, "urgent"), (1, "usual"), (2, "patient")]
        .into_iter()
        .map(|(priority, name)| RouteRule { priority, ..route(name, "a.example", "/") })
        .collect();
    let mut keys = FastMap::default();
    keys.insert("equal".to_string(), rule(Some(1)));
    keys.insert("later".to_string(), rule(Some(4)));
    let services = FastMap::default();
    let limits = CallerLimits::default();
    let table = RoutingTable::new(1, routes.clone(), services, limits, Some(keys));
    let rank = |index: usize, priority| table.urgency_rank(&routes[index], Some(&rule(priority)));
    assert!(rank(0, Some(1)) < rank(1, Some(1)));
    assert!(rank(1, Some(1)) < rank(2, Some(1)));
    assert!(rank(2, Some(1)) < rank(0, Some(4)), "the organisation's priority goes first");
    assert!(rank(0, None) < rank(1, None) && rank(1, None) < rank(2, None));
    assert_eq!(table.urgency_rank(&routes[0], None), 0);
}
