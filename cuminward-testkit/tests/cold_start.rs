//! Load on replicas that restart unexpectedly: the stand-in engines count requests beyond the limit
//! of a replica that is still warming up.

use std::time::Duration;

use cuminward_standin::{engine, environment, load};
use cuminward_testkit::{
    cluster::{self, Cluster},
    declare,
};
use googletest::prelude::*;

/// Time within which replicas have to be formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of hosts of each replica.
const HOSTS: u32 = 2;

/// Number of replicas.
const REPLICAS: u32 = 2;

/// Duration of the load.
const DURATION: Duration = Duration::from_secs(7);

/// Time between two unexpected restarts.
const RESTART_INTERVAL: Duration = Duration::from_millis(2_500);

fn load_options(cluster: &Cluster) -> load::Options {
    let targets = cluster.callers().into_iter().map(|address| load::Target::Chat { address });
    let team = |it: &declare::Team| load::Team {
        name: it.name.to_owned(),
        key: it.key.to_owned(),
        weight: 1.0,
    };
    load::Options {
        rate: 40.0,
        duration: DURATION,
        targets: targets.collect(),
        teams: declare::TEAMS.iter().map(team).collect(),
        model: declare::MODEL.to_owned(),
        versions: vec![declare::VERSION.to_owned()],
        max_tokens: 48,
        ..load::Options::default()
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn replicas_that_restart_without_warning_get_no_more_than_they_bear() -> Result<()> {
    let options = cluster::Options {
        environment: environment::Options {
            domains: vec![environment::Domain::new("a", "r", REPLICAS * HOSTS)],
            ..environment::Options::default()
        },
        nodes_per_domain: 3,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(options).await.expect("loopback ports are free");
    let engine = engine::Options::default();
    let limits = declare::Limits {
        slots: engine.slots,
        cold_slots: engine.cold_bound,
        warm_up: engine.warm_up,
    };
    cluster.declare(REPLICAS, HOSTS, &limits).await.expect("the declarations are valid");
    cluster
        .wait_replicas(REPLICAS as usize, FORMATION_TIMEOUT)
        .await
        .expect("the hosts form replicas");
    let fleet = cluster.environment.fleet();
    let restarts = async {
        for index in 0..2 {
            tokio::time::sleep(RESTART_INTERVAL).await;
            let heads = fleet.counters().begun_by_host;
            let host = heads.into_keys().nth(index).expect("every replica has run requests");
            fleet.inject(&engine::control::Fault::Restart { host }).await;
        }
    };
    let plan = load_options(&cluster);
    let (report, ()) = tokio::join!(load::run(&plan), restarts);
    let counters = fleet.counters();
    expect_that!(counters.cold_overruns, eq(0));
    expect_that!(counters.cold_most_in_flight, le(counters.cold_bound_then));
    expect_that!(counters.formed, ge(u64::from(REPLICAS) + 2));
    expect_that!(report.all.wrong + report.all.cut_off, eq(0), "{:?}", report.all.details);
    let not_run =
        |it: &load::Sample| it.end == load::End::Refused && it.detail.starts_with("not-run");
    let refused = report.samples.iter().filter(|it| not_run(it)).count() as u64;
    expect_that!(report.all.complete + refused, eq(report.all.sent), "{:?}", report.all.details);
    cluster.stop().await;
    Ok(())
}
