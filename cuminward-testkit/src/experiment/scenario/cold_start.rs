//! Engine and plain hosts restart without warning under load.

use std::time::Duration;

use cuminward_standin::{engine::control::Fault, plain};
use rand_pcg::Pcg64;

use crate::{
    declare,
    experiment::{Experiment, Setup, runner, scenario, stage},
};

/// Longest wait for the replicas to be whole again.
const WHOLE: Duration = Duration::from_secs(4);

/// Time over which the restarted upstreams warm up.
const WARM: Duration = Duration::from_secs(3);

/// Engine and plain hosts restart without warning under load.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart;

impl Experiment for ColdStart {
    fn setup(&self) -> Setup {
        Setup { rate: 90.0, ..Setup::default() }
    }

    async fn disturb(&self, stage: &stage::Stage, random: &mut Pcg64) -> miette::Result<()> {
        let domain = scenario::domain(random);
        let ready = stage.ready().await;
        let restarted = ready.iter().filter(|it| it.members[0].starts_with(domain));
        for replica in restarted {
            stage.fault(Fault::Restart { host: replica.members[0].clone() }).await;
        }
        let host = format!("{domain}-{}-0", declare::DESK);
        stage.plain_fault(plain::Fault::Restart { host }).await;
        let count = runner::DOMAINS.len() * runner::REPLICAS as usize;
        let whole = stage.wait_ready(count, WHOLE).await;
        stage.note(format!("all replicas are whole again: {whole}"));
        tokio::time::sleep(WARM).await;
        Ok(())
    }
}
