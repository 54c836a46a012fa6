//! All hosts of a fabric domain fail and restart.

use std::time::Duration;

use cuminward_standin::engine::control::Fault;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::experiment::{Experiment, runner, scenario, testbed};

/// Time for which the hosts of the fabric domain are down.
const OUTAGE: Duration = Duration::from_secs(4);

/// Longest wait until all replicas are ready again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(6);

/// All hosts of a fabric domain fail and restart.
#[derive(Debug, Clone, Copy)]
pub struct FabricDark;

impl Experiment for FabricDark {
    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let domain = scenario::random_domain(random);
        let fabric = format!("{domain}-f{}", random.random_range(0..runner::FABRICS));
        testbed.inject_engine_fault(Fault::KillFabric { fabric: fabric.clone() }).await;
        tokio::time::sleep(OUTAGE).await;
        testbed.inject_engine_fault(Fault::RestartFabric { fabric }).await;
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let is_recovered = testbed.wait_ready(count, RECOVERY_TIMEOUT).await;
        testbed.record_event(format!("all replicas are whole again: {is_recovered}"));
        Ok(())
    }
}
