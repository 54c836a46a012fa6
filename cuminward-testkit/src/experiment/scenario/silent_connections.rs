//! Open connections stop carrying data while new ones work.

use std::time::Duration;

use cuminward_standin::{engine::control::Fault, plain};
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, scenario, testbed},
};

/// Number of rounds in which connections are silenced.
const ROUNDS: u32 = 2;

/// Time after each round.
const ROUND_INTERVAL: Duration = Duration::from_secs(3);

/// Open connections stop carrying data while new ones work.
#[derive(Debug, Clone, Copy)]
pub struct SilentConnections;

impl Experiment for SilentConnections {
    fn setup(&self) -> Setup {
        Setup { duration: Duration::from_secs(18), ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        for _ in 0..ROUNDS {
            let domain = scenario::random_domain(random);
            for replica in testbed.ready_replicas().await {
                let host = replica.members[0].clone();
                if host.starts_with(domain) {
                    testbed.inject_engine_fault(Fault::Silence { host }).await;
                }
            }
            let host = format!("{domain}-{}-0", declare::DESK);
            testbed.inject_plain_fault(plain::Fault::Silence { host }).await;
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        Ok(())
    }
}
