//! A failure domain is partitioned from the others, and for some seeds from the platform.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, scenario, testbed},
};

/// Time for which the failure domain is partitioned.
const PARTITION: Duration = Duration::from_secs(6);

/// Time from the start and from the end of the partition to a configuration change.
const CHANGE_DELAY: Duration = Duration::from_secs(1);

/// A failure domain is partitioned from the others, and for some seeds from the platform.
#[derive(Debug, Clone, Copy)]
pub struct Partition;

impl Experiment for Partition {
    fn setup(&self) -> Setup {
        let duration = Duration::from_secs(18);
        Setup { views: true, comparable: false, duration, ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let domain = scenario::random_domain(random);
        let platform = random.random();
        testbed.partition(domain, platform).await;
        tokio::time::sleep(CHANGE_DELAY).await;
        testbed.apply(declare::team(&declare::TEAMS[0])).await;
        tokio::time::sleep(PARTITION - CHANGE_DELAY).await;
        testbed.heal(domain).await;
        tokio::time::sleep(CHANGE_DELAY).await;
        testbed.apply(declare::team(&declare::TEAMS[1])).await;
        Ok(())
    }
}
