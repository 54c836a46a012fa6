//! Hosts of replicas fail and restart.

use std::time::Duration;

use cuminward_standin::engine::control::Fault;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::experiment::{Experiment, runner, testbed};

/// Time for which the hosts are down.
const DOWNTIME: Duration = Duration::from_secs(4);

/// Longest wait until all replicas are ready again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(6);

/// Hosts of replicas fail and restart.
#[derive(Debug, Clone, Copy)]
pub struct MemberLoss;

impl Experiment for MemberLoss {
    async fn inject_faults(
        &self,
        testbed: &testbed::Testbed,
        random: &mut Pcg64,
    ) -> miette::Result<()> {
        let ready = testbed.ready_replicas().await;
        let first = random.random_range(0..ready.len());
        let second = (first + random.random_range(1..ready.len())) % ready.len();
        let member = random.random_range(1..ready[first].members.len());
        // A member of one replica that isn't its head, and the head of another replica.
        let lost = [ready[first].members[member].clone(), ready[second].members[0].clone()];
        for host in &lost {
            testbed.inject_engine_fault(Fault::Kill { host: host.clone() }).await;
        }
        tokio::time::sleep(DOWNTIME).await;
        for host in &lost {
            testbed.inject_engine_fault(Fault::Restart { host: host.clone() }).await;
        }
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let is_recovered = testbed.wait_ready(count, RECOVERY_TIMEOUT).await;
        testbed.record_event(format!("all replicas are whole again: {is_recovered}"));
        Ok(())
    }
}
