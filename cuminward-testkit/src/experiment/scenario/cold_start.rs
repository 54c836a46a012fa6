//! Engine and plain hosts restart without warning under load.

use std::time::Duration;

use cuminward_standin::{engine::control::Fault, plain};
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, runner, scenario, testbed},
};

/// Longest wait until all replicas are ready again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(4);

/// Warm-up time of the restarted upstreams.
const WARM_UP: Duration = Duration::from_secs(3);

/// Engine and plain hosts restart without warning under load.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart;

impl Experiment for ColdStart {
    fn setup(&self) -> Setup {
        Setup { rate: 90.0, ..Setup::default() }
    }

    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let domain = scenario::random_domain(random);
        let ready = testbed.ready_replicas().await;
        let restarted = ready.iter().filter(|it| it.members[0].starts_with(domain));
        for replica in restarted {
            testbed.inject_engine_fault(Fault::Restart { host: replica.members[0].clone() }).await;
        }
        let host = format!("{domain}-{}-0", declare::DESK);
        testbed.inject_plain_fault(plain::Fault::Restart { host }).await;
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let is_recovered = testbed.wait_ready(count, RECOVERY_TIMEOUT).await;
        testbed.record_event(format!("all replicas are whole again: {is_recovered}"));
        tokio::time::sleep(WARM_UP).await;
        Ok(())
    }
}
