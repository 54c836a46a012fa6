//! A failure domain is cut off from the others, and for some seeds from the platform.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, scenario, stage},
};

/// Time for which the failure domain is cut off.
const CUT: Duration = Duration::from_secs(6);

/// Time from the cut to a change of the configuration.
const CHANGE: Duration = Duration::from_secs(1);

/// A failure domain is cut off from the others, and for odd seeds from the platform.
#[derive(Debug, Clone, Copy)]
pub struct Partition;

impl Experiment for Partition {
    fn setup(&self) -> Setup {
        let duration = Duration::from_secs(18);
        Setup { views: true, comparable: false, duration, ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let domain = scenario::domain(random);
        let platform = random.random();
        stage.cut(domain, platform).await;
        tokio::time::sleep(CHANGE).await;
        stage.apply(declare::team(&declare::TEAMS[0])).await;
        tokio::time::sleep(CUT - CHANGE).await;
        stage.heal(domain).await;
        tokio::time::sleep(CHANGE).await;
        stage.apply(declare::team(&declare::TEAMS[1])).await;
        Ok(())
    }
}
