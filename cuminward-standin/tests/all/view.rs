use std::time::Duration;

use cuminward_core::host;
use cuminward_standin::environment::{Domain, Environment, Options};
use googletest::prelude::*;

use crate::http;

const SHORT: Duration = Duration::from_millis(150);

#[gtest]
#[tokio::test]
async fn cuts_links_of_one_node_to_a_domain() -> Result<()> {
    let domains = vec![Domain::new("a", "r", 1), Domain::new("b", "r", 1)];
    let environment =
        Environment::start(Options { domains, ..Options::default() }).await.or_fail()?;
    let view = environment.start_view().await.or_fail()?;
    let listed = http::get(view.hosts_address(), "/v1/hosts").await.json();
    let listed: Vec<host::Entry> = serde_json::from_value(listed["hosts"].clone()).or_fail()?;
    let near = view.address("a-f0-h0").or_fail()?;
    let far = view.address("b-f0-h0").or_fail()?;
    let addresses: Vec<String> = listed.into_iter().map(|it| it.address).collect();
    verify_that!(addresses, eq(&vec![near.to_string(), far.to_string()]))?;
    view.cut_domain("b");
    verify_that!(http::get_within(SHORT, far, "/v1/host").await.status, eq(1))?;
    verify_that!(http::get(near, "/v1/host").await.status, eq(200))?;
    let direct = environment.fleet().entries()[1].address.clone();
    verify_that!(http::get(direct, "/v1/host").await.status, eq(200))?;
    view.heal_domain("b");
    verify_that!(http::get(far, "/v1/host").await.status, eq(200))?;
    view.cut_platform();
    let log = "/v1/streams/config/records";
    verify_that!(http::get_within(SHORT, view.log_address(), log).await.status, eq(1))
}
