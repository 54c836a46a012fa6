//! One team sends ten times its share of requests: the other team has to be served completely, and
//! refused requests must never reach an engine.

use std::time::Duration;

use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Time within which replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Duration of the load.
const DURATION: Duration = Duration::from_secs(5);

/// Concurrency limit of the only replica, in requests.
const SLOTS: u32 = 16;

/// Request rate of the quiet team, per second: about 60% of what three quarters of the slots serve.
const QUIET_RATE: f64 = 20.0;

/// Request rate of the hot team, per second: about ten times what a quarter of the slots serves.
const HOT_RATE: f64 = 110.0;

fn load_options(cluster: &Cluster, team: &declare::Team, rate: f64) -> load::Options {
    let targets = cluster.callers().into_iter().map(|address| load::Target::Chat { address });
    load::Options {
        rate,
        duration: DURATION,
        targets: targets.collect(),
        teams: vec![load::Team {
            name: team.name.to_owned(),
            key: team.key.to_owned(),
            weight: 1.0,
        }],
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: 32,
        ..load::Options::default()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn only_the_overloading_team_is_refused_and_its_refused_requests_never_run() -> Result<()> {
    let engine = engine::Options {
        slots: SLOTS,
        cold_bound: SLOTS,
        warm_up: Duration::from_millis(1),
        decode: Duration::from_millis(10),
        decode_growth_permille: 0,
        ..engine::Options::default()
    };
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", 2)],
            engine,
            ..environment::Options::default()
        },
        nodes_per_domain: 2,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    let limits =
        declare::Limits { slots: SLOTS, cold_slots: SLOTS, warm_up: Duration::from_millis(1) };
    cluster.declare(1, 2, &limits).await.expect("the declarations are valid");
    cluster.wait_replicas(1, FORMATION_TIMEOUT).await.expect("the hosts form a replica");
    let [quiet, hot] = &declare::TEAMS;
    let loads = [load_options(&cluster, quiet, QUIET_RATE), load_options(&cluster, hot, HOT_RATE)];
    let (quiet, hot) = tokio::join!(load::run(&loads[0]), load::run(&loads[1]));
    expect_that!(quiet.all.complete, eq(quiet.all.sent), "{:?}", quiet.all.details);
    expect_that!(hot.all.refused, gt(0));
    expect_that!(hot.all.complete + hot.all.refused, eq(hot.all.sent), "{:?}", hot.all.details);
    let refused = hot.samples.iter().filter(|it| it.end == load::End::Refused);
    expect_that!(refused.filter(|it| !it.detail.starts_with("not-run")).count(), eq(0));
    let counters = cluster.environment.fleet().counters();
    let begun: u64 = counters.begun_by_domain.values().sum();
    expect_that!(begun, eq(quiet.all.complete + hot.all.complete));
    expect_that!(counters.overloaded + counters.cold_overruns, eq(0));
    cluster.stop().await;
    Ok(())
}
