//! One team asks for ten times its share: what the others get, and that refused requests never ran.

use std::time::Duration;

use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Time within which replicas have to be formed.
const FORMING: Duration = Duration::from_secs(15);

/// Time during which requests arrive.
const DURATION: Duration = Duration::from_secs(5);

/// Slots of the only replica.
const SLOTS: u32 = 16;

/// Requests a second of the quiet team: about 60% of its three quarters of the slots.
const QUIET: f64 = 20.0;

/// Requests a second of the hot team: about ten times its quarter.
const HOT: f64 = 110.0;

fn plan(cluster: &Cluster, team: &declare::Team, rate: f64) -> load::Options {
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
async fn a_hot_team_is_refused_early_and_truly_and_the_other_one_never() -> Result<()> {
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
    cluster.declare(1, 2, &limits).await.expect("declarations are right");
    cluster.wait_replicas(1, FORMING).await.expect("the hosts form a replica");
    let [quiet, hot] = &declare::TEAMS;
    let plans = [plan(&cluster, quiet, QUIET), plan(&cluster, hot, HOT)];
    let (quiet, hot) = tokio::join!(load::run(&plans[0]), load::run(&plans[1]));
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
