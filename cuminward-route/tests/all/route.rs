//! Tests of routing.

use std::{sync::Arc, time::Duration};

use cuminward_core::{catalog, host, replica};
use cuminward_route::route::{self, Choice, Exclusions, Query, Registry, Table, policy, remote};
use googletest::prelude::*;

fn model(name: &str, versions: &[&str]) -> catalog::Model {
    catalog::Model {
        name: name.into(),
        model: format!("{name}-model"),
        versions: versions.iter().map(|it| (*it).to_owned()).collect(),
        hosts_per_replica: 2,
        replicas: [("d1".to_owned(), 3)].into(),
        teams: ["t1".to_owned()].into(),
        slots: 8,
        cold_slots: 2,
        warm_up: Duration::from_secs(30),
    }
}

fn domain(name: &str, service: catalog::Availability) -> (String, catalog::Domain) {
    let domain = catalog::Domain { name: name.into(), region: "r".into(), service };
    (name.into(), domain)
}

fn catalog() -> catalog::Catalog {
    catalog::Catalog {
        models: [("s".to_owned(), model("s", &["2", "1"]))].into(),
        domains: [
            domain("d1", catalog::Availability::InService),
            domain("d2", catalog::Availability::InService),
            domain("d3", catalog::Availability::TakenOut),
        ]
        .into(),
        ..Default::default()
    }
}

fn replica(group: &str, version: &str) -> replica::Replica {
    replica::Replica {
        group: group.into(),
        generation: 1,
        service: "s".into(),
        model: "s-model".into(),
        version: version.into(),
        members: vec![format!("{group}-h1"), format!("{group}-h2")],
        address: "127.0.0.1:1".into(),
        incarnation: 1,
        confirmed: Duration::ZERO,
    }
}

fn query<'a>(version: Option<&'a str>) -> Query<'a> {
    Query { model: "s-model", version, team: "t1", prefixes: &[], avoid: &[] }
}

fn name(choice: &Choice<'_>) -> String {
    match choice {
        Choice::Replica(it) => it.replica.group.clone(),
        Choice::NotFound => "not found".into(),
        Choice::Forbidden => "forbidden".into(),
        Choice::Unavailable => "unavailable".into(),
    }
}

#[gtest]
fn chooses_by_declaration() {
    struct Case {
        domain: &'static str,
        query: Query<'static>,
        excluded: Exclusions,
        drained: &'static str,
        expected: &'static str,
    }
    let base = || Case {
        domain: "d1",
        query: query(None),
        excluded: Exclusions::default(),
        drained: "",
        expected: "g2",
    };
    let group = |it: &str| Exclusions { groups: [it.to_owned()].into(), ..Exclusions::default() };
    let host = |it: &str| Exclusions { hosts: [it.to_owned()].into(), ..Exclusions::default() };
    let cases = [
        base(),
        Case { query: query(Some("1")), expected: "g1", ..base() },
        Case { query: query(Some("3")), expected: "not found", ..base() },
        Case { query: Query { model: "x", ..query(None) }, expected: "not found", ..base() },
        Case { query: Query { team: "t2", ..query(None) }, expected: "forbidden", ..base() },
        Case { domain: "d2", expected: "unavailable", ..base() },
        Case { domain: "d3", expected: "unavailable", ..base() },
        Case { excluded: group("g2"), expected: "g1", ..base() },
        Case { excluded: host("g2-h2"), expected: "g1", ..base() },
        Case { drained: "g2-h1", expected: "g1", ..base() },
        Case { excluded: group("g1"), query: query(Some("1")), expected: "unavailable", ..base() },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let replicas = [replica("g1", "1"), replica("g2", "2")];
        let mut catalog = catalog();
        catalog.drained.insert(case.drained.into());
        let mut registry = Registry::default();
        let table = Table::build(case.domain, &replicas, &catalog, &case.excluded, &mut registry);
        let choice = route::choose(&table, &case.query, &policy::Gauges, 7);
        expect_that!(name(&choice), eq(case.expected), "case {number}");
    }
}

#[gtest]
fn affinity_decides_up_to_the_load_bound() {
    let replicas = [replica("g1", "2"), replica("g2", "2"), replica("g3", "2")];
    let mut registry = Registry::default();
    let table = Table::build("d1", &replicas, &catalog(), &Exclusions::default(), &mut registry);
    let gauge = |group: &str| {
        let mut candidates = table.candidates();
        Arc::clone(
            &candidates.find(|it| it.replica.group == group).expect("the replica exists").gauge,
        )
    };
    gauge("g2").prefixes().insert_all(&[5, 6]);
    let query = Query { prefixes: &[5, 6, 7], ..query(None) };
    for random in 0..50 {
        expect_that!(name(&route::choose(&table, &query, &policy::Gauges, random)), eq("g2"));
    }
    let guards: Vec<_> = (0..6).map(|_| gauge("g2").enter()).collect();
    let random = 1 << 32;
    expect_that!(name(&route::choose(&table, &query, &policy::Gauges, random)), not(eq("g2")));
    drop(guards);
    expect_that!(gauge("g2").in_flight(), eq(0));
    let avoid = ["g2".to_owned()];
    let query = Query { avoid: &avoid, ..query };
    expect_that!(name(&route::choose(&table, &query, &policy::Gauges, 0)), not(eq("g2")));
}

#[gtest]
fn gauges_outlive_snapshots_but_not_formations() {
    let mut registry = Registry::default();
    let mut build = |generation| {
        let replicas = [replica::Replica { generation, ..replica("g1", "2") }];
        registry.retain(&replicas);
        let table =
            Table::build("d1", &replicas, &catalog(), &Exclusions::default(), &mut registry);
        Arc::clone(&table.candidates().next().expect("the replica exists").gauge)
    };
    let first = build(1);
    let _guard = first.enter();
    let age = Duration::ZERO;
    first.report(&host::Load { running: 4, queued: 1, cache_permille: 0, age });
    expect_that!(build(1).load(), eq(5));
    expect_that!(build(2).load(), eq(0));
}

#[gtest]
fn remote_domains_are_used_while_their_state_is_fresh() {
    let candidate = |domain: &str, confirmed, free, round_trip| remote::Candidate {
        domain: domain.into(),
        confirmed: Duration::from_millis(confirmed),
        free,
        round_trip: Duration::from_millis(round_trip),
    };
    let list = [
        candidate("d1", 7_999, 9, 1),
        candidate("d2", 8_000, 1, 5),
        candidate("d3", 9_999, 9, 1),
        candidate("d1", 9_999, 0, 1),
    ];
    let now = Duration::from_secs(10);
    let chosen = choose_remote(remote::Strategy::Nearest, &list, now, 0);
    expect_that!(chosen.map(|it| it.domain.as_str()), some(eq("d2")));
    let later = now + Duration::from_millis(1);
    let chosen = choose_remote(remote::Strategy::Nearest, &list[..2], later, 0);
    expect_that!(chosen.is_none(), eq(true));
}

#[gtest]
fn remote_domains_are_chosen_in_proportion_to_their_free_capacity() {
    let now = Duration::from_secs(10);
    let candidate = |domain: &str, free| remote::Candidate {
        domain: domain.to_owned(),
        confirmed: now,
        free,
        round_trip: Duration::ZERO,
    };
    let list = [candidate("d1", 1), candidate("d2", 3)];
    let counts = (0..400).fold([0, 0], |mut counts, random| {
        let chosen = choose_remote(remote::Strategy::Weighted, &list, now, random);
        counts[usize::from(chosen.is_some_and(|it| it.domain == "d2"))] += 1;
        counts
    });
    expect_that!(counts, eq([100, 300]));
    expect_that!(choose_remote(remote::Strategy::Never, &list, now, 0), none());
    expect_that!(choose_remote(remote::Strategy::Weighted, &[], now, 0), none());
}

fn choose_remote(
    strategy: remote::Strategy,
    candidates: &[remote::Candidate],
    now: Duration,
    random: u64,
) -> Option<&remote::Candidate> {
    static CATALOG: std::sync::LazyLock<catalog::Catalog> = std::sync::LazyLock::new(catalog);
    remote::choose(strategy, candidates, &CATALOG, now, remote::DEFAULT_MAX_AGE, random)
}
