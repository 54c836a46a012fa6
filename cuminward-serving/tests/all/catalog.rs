//! Lookups in the catalog.

use std::time::Duration;

use cuminward_serving::catalog::{Catalog, Parts, Retry, Route, Target, Team};
use googletest::prelude::*;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        targets: Vec::new(),
        retry: Retry::Never,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        gap_objective: None,
        max_attempts: 1,
        priority: 0,
        is_anonymous: false,
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

#[gtest]
fn the_longest_prefix_selects_the_route() {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
        route("open", "d.example", "/x/y"),
    ];
    let catalog = Catalog::new(Parts { routes, ..Parts::default() });
    let cases = [
        Case { host: "a.example", path: "/x/1", expected: Some("short") },
        Case { host: "a.example", path: "/x/y/1", expected: Some("long") },
        Case { host: "a.example", path: "/x/y", expected: Some("short") },
        Case { host: "a.example", path: "/x", expected: None },
        Case { host: "a.example", path: "/", expected: None },
        Case { host: "b.example", path: "/x/y/1", expected: Some("other") },
        Case { host: "c.example", path: "/x/1", expected: None },
        Case { host: "a.example", path: "/x/y//", expected: Some("long") },
        Case { host: "a.example", path: "/x//y/1", expected: Some("short") },
        Case { host: "a.example", path: "//x/y/1", expected: None },
        Case { host: "a.example", path: "", expected: None },
        Case { host: "d.example", path: "/x/yz", expected: None },
    ];
    for case in cases {
        let found = catalog.route(case.host, case.path).map(|it| it.name.as_str());
        expect_that!(found, eq(case.expected), "{}{}", case.host, case.path);
    }
}

#[gtest]
fn any_key_of_a_team_identifies_it() {
    let team = Team {
        name: String::from("committees"),
        keys: vec![String::from("k1"), String::from("k2")],
        priority: None,
    };
    let catalog = Catalog::new(Parts { teams: vec![team], ..Parts::default() });
    for (key, expected) in [("k1", Some("committees")), ("k2", Some("committees")), ("k", None)] {
        expect_that!(catalog.team(key).map(|it| it.name.as_str()), eq(expected), "{key}");
    }
}

#[gtest]
fn weights_divide_the_requests_of_a_route() {
    let target = |service: &str, weight| Target { service: service.to_owned(), weight };
    let mut split = route("split", "a.example", "/");
    split.targets = vec![target("off", 0.0), target("old", 90.0), target("new", 10.0)];
    for (draw, expected) in [(0.0, "old"), (0.89, "old"), (0.91, "new"), (0.9999, "new")] {
        let service = split.target(draw).map(|it| it.service.as_str());
        expect_that!(service, some(eq(expected)), "{draw}");
    }
    split.targets.clear();
    expect_that!(split.target(0.5), none());
}
