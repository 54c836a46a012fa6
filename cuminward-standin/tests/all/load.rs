use std::time::Duration;

use cuminward_standin::load;
use googletest::prelude::*;

use crate::engine;

#[gtest]
#[tokio::test]
async fn checks_every_reply() -> Result<()> {
    let world = engine::world(2, engine::fast()).await;
    engine::ready(&world, "g", &[0, 1]).await;
    let target = load::Target::Engine {
        address: world.fleet().entries()[0].address.parse().or_fail()?,
        group: "g".to_owned(),
        generation: 1,
        version: "v1".to_owned(),
    };
    let options = load::OptionsBuilder::default()
        .rate(40.0)
        .duration(Duration::from_secs(1))
        .max_tokens(10_u64)
        .targets(vec![target])
        .build()
        .or_fail()?;
    let report = load::run(&options).await;
    verify_that!(report.all.sent, gt(20))?;
    verify_that!(report.all.complete, eq(report.all.sent))?;
    let wrong = load::Options { versions: vec!["v2".to_owned()], ..options };
    let report = load::run(&wrong).await;
    verify_that!(report.all.wrong, eq(report.all.sent))?;
    verify_that!(load::plot::svg(&report).or_fail()?, contains_substring("<svg"))
}
