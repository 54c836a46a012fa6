//! Hosts of replicas die and come back.

use std::time::Duration;

use cuminward_standin::engine::control::Fault;
use rand::RngExt;
use rand_pcg::Pcg64;

use crate::experiment::{Experiment, runner, stage};

/// Time for which the hosts are dead.
const DEAD: Duration = Duration::from_secs(4);

/// Longest wait for the replicas to be whole again.
const WHOLE: Duration = Duration::from_secs(6);

/// Hosts of replicas die and come back.
#[derive(Debug, Clone, Copy)]
pub struct MemberLoss;

impl Experiment for MemberLoss {
    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let ready = stage.ready().await;
        let first = random.random_range(0..ready.len());
        let second = (first + random.random_range(1..ready.len())) % ready.len();
        let member = random.random_range(1..ready[first].members.len());
        // Another member than the head, and the head of another replica.
        let lost = [ready[first].members[member].clone(), ready[second].members[0].clone()];
        for host in &lost {
            stage.fault(Fault::Kill { host: host.clone() }).await;
        }
        tokio::time::sleep(DEAD).await;
        for host in &lost {
            stage.fault(Fault::Restart { host: host.clone() }).await;
        }
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let whole = stage.wait_ready(count, WHOLE).await;
        stage.note(format!("all replicas are whole again: {whole}"));
        Ok(())
    }
}
